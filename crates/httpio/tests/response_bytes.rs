//! The bytes of responses on a server's connection.

use std::io::Read as _;
use std::io::Write as _;
use std::net as std_net;
use std::sync;
use std::thread;
use std::time::Duration;

use async_std::net;
use async_std::task;
use async_trait::async_trait;
use http_types::Body;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_httpio::body;
use samphiremoor_httpio::client;
use samphiremoor_httpio::server;

const LIMIT: time::Millis = time::Millis::new(1_000);

/// Responds to `/short` with fewer bytes than declared, and to other paths with the body's length.
struct ShortHandler {
    /// Address of the server whose response is relayed.
    source: std_net::SocketAddr,
}

#[async_trait]
impl server::HttpHandler for ShortHandler {
    async fn handle(&self, mut request: Request) -> Response {
        let mut response = Response::new(StatusCode::Ok);
        if request.url().path() == "/relayed" {
            let limits = client::CallLimits { connect: LIMIT, head: LIMIT, silence: LIMIT };
            let url = client::url(self.source, "/").expect("the path is valid");
            let relayed = client::send(self.source, Request::new(Method::Get, url), limits).await;
            response.set_body(relayed.expect("the source responds").take_body());
            return response;
        }
        if request.url().path() == "/short" {
            response.set_body(Body::from_reader(futures_lite::io::Cursor::new("abc"), Some(10)));
            return response;
        }
        let limit = quantity::ByteCount::new(1_000_000);
        let bytes = body::read(request.take_body(), limit).await.expect("the body is whole");
        response.set_body(format!("{}{}", bytes.len(), "x".repeat(100_000)));
        response
    }
}

/// Starts a server that closes the connection after a part of the body.
fn start_cut_source() -> std_net::SocketAddr {
    let listener = std_net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection is accepted");
            let _ = stream.read(&mut [0; 4096]);
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
        }
    });
    address
}

fn start() -> (std_net::SocketAddr, server::StopSignal) {
    let listener = task::block_on(net::TcpListener::bind("127.0.0.1:0")).expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let stop = server::StopSignal::new();
    let handler = sync::Arc::new(ShortHandler { source: start_cut_source() });
    task::spawn(server::serve(listener, server::ServerLimits::default(), handler, stop.clone()));
    (address, stop)
}

/// Returns all bytes that arrive until the connection is silent or ends, and whether it ended.
fn receive(address: std_net::SocketAddr, sent: &str) -> (String, bool) {
    let mut stream = std_net::TcpStream::connect(address).expect("the server listens");
    stream.set_read_timeout(Some(Duration::from_millis(400))).expect("the option is accepted");
    stream.write_all(sent.as_bytes()).expect("the server reads");
    let (mut received, mut bytes) = (Vec::new(), [0; 65_536]);
    loop {
        match stream.read(&mut bytes) {
            Ok(0) => return (String::from_utf8_lossy(&received).into_owned(), true),
            Ok(count) => received.extend_from_slice(&bytes[..count]),
            Err(_) => return (String::from_utf8_lossy(&received).into_owned(), false),
        }
    }
}

/// Checks that the response to `path`, whose body ends early, is the last one on its connection.
fn check_short(path: &str) {
    let (address, stop) = start();
    let requests =
        format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\nGET /next HTTP/1.1\r\nHost: a\r\n\r\n");
    let (received, has_ended) = receive(address, &requests);
    stop.trigger();
    let shown: String = received.chars().take(400).collect();
    assert_eq!(received.matches("HTTP/1.1 ").count(), 1, "{shown:?}");
    assert!(has_ended);
}

samphiremoor_base::cases! {
    next_response_is_written_into_a_short_body => check_short("/short");
    next_response_is_written_into_a_relayed_body_that_is_cut_off => check_short("/relayed");
}

// An interim response must precede the response.
#[test]
fn interim_response_is_written_into_the_response() {
    let (address, stop) = start();
    let request = "POST /echo HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody";
    let misplaced = (0..300).filter(|_| {
        let interim = receive(address, request).0.find("HTTP/1.1 100 Continue");
        interim.is_some_and(|position| position > 0)
    });
    let count = misplaced.count();
    stop.trigger();
    assert_eq!(count, 0, "misplaced interim responses in 300");
}
