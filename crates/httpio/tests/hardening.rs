//! What callers can do to a server, over loopback.

use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync;
use std::time::Duration;

use async_std::net;
use async_std::task;
use async_trait::async_trait;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use samphiremoor_base::cases;
use samphiremoor_base::quantity;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_httpio::body;
use samphiremoor_httpio::problem;
use samphiremoor_httpio::server;

const MAX_BODY: quantity::ByteCount = quantity::ByteCount::new(1_000);

/// Answers with the length of the body and keeps the refusals that the server made.
#[derive(Default)]
struct LengthHandler {
    refusals: sync::Mutex<Vec<reason::RefusalReason>>,
}

#[async_trait]
impl server::HttpHandler for LengthHandler {
    async fn handle(&self, mut request: Request) -> Response {
        match body::read(request.take_body(), MAX_BODY).await {
            Ok(bytes) => {
                let mut response = Response::new(StatusCode::Ok);
                response.set_body(bytes.len().to_string());
                response
            }
            Err(cause) => problem::CallProblem::not_run(
                StatusCode::PayloadTooLarge,
                reason::RefusalReason::TooLarge,
                &cause.to_string(),
            )
            .to_response(),
        }
    }

    fn refused(&self, reason: reason::RefusalReason) {
        self.refusals.lock().expect("no test panics while it holds the lock").push(reason);
    }
}

/// A running server and its handler.
struct RunningServer {
    address: SocketAddr,
    handler: sync::Arc<LengthHandler>,
    stop: server::StopSignal,
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        self.stop.trigger();
    }
}

fn start() -> RunningServer {
    let limits = server::ServerLimits {
        max_connections: 3,
        max_request: quantity::ByteCount::new(64 * 1024),
        head_timeout: time::Millis::new(300),
        read_timeout: time::Millis::new(200),
        write_timeout: time::Millis::new(500),
    };
    let listener = task::block_on(net::TcpListener::bind("127.0.0.1:0")).expect("a free port");
    let address = listener.local_addr().expect("the listener has an address");
    let handler = sync::Arc::new(LengthHandler::default());
    let stop = server::StopSignal::new();
    task::spawn(server::serve(listener, limits, handler.clone(), stop.clone()));
    RunningServer { address, handler, stop }
}

fn connect(server: &RunningServer) -> TcpStream {
    let stream = TcpStream::connect(server.address).expect("the server listens");
    let limit = Some(Duration::from_secs(10));
    stream.set_read_timeout(limit).expect("the limit is not zero");
    stream
}

/// Reads until the server closes the connection.
fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    match stream.read_to_end(&mut bytes) {
        Ok(_) => {}
        // A reset after the answer: the server closed before reading everything that was sent.
        Err(cause) if cause.kind() == io::ErrorKind::ConnectionReset => {}
        Err(cause) => panic!("the server neither answers nor closes: {cause}"),
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn check(sent: &str, expected_parts: &[&str], expected_refusal: Option<reason::RefusalReason>) {
    let server = start();
    let mut stream = connect(&server);
    // The server may close before all is sent.
    let _ = stream.write_all(sent.as_bytes());
    let answer = read_all(&mut stream);
    for part in expected_parts {
        assert!(answer.contains(part), "{part:?} is not in {answer:?}");
    }
    let refusals = server.handler.refusals.lock().expect("no test panics with the lock");
    assert_eq!(refusals.first().copied(), expected_refusal);
}

fn oversized_head() -> String {
    format!("GET / HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n", "y".repeat(9_000))
}

fn endless_line() -> String {
    "G".repeat(70 * 1024)
}

fn oversized_chunks() -> String {
    let chunk = format!("400\r\n{}\r\n", "z".repeat(0x400));
    format!("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n{}", chunk.repeat(2))
}

cases! {
    whole_body_is_read => check(
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\nconnection: close\r\n\r\nabc",
        &["HTTP/1.1 200", "\r\n\r\n3"],
        None,
    );
    two_requests_on_one_connection => check(
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nabPOST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\nconnection: close\r\n\r\nc",
        &["\r\n\r\n2", "\r\n\r\n1"],
        None,
    );
    text_that_is_not_http => check(
        "hello there\r\n\r\n",
        &["HTTP/1.1 400", "application/problem+json", "malformed-http", "\"outcome\":\"not-run\""],
        Some(reason::RefusalReason::MalformedHttp),
    );
    binary_rubbish => check(
        "\u{0}\u{1}\u{7f}\r\n\r\n",
        &["HTTP/1.1 400", "malformed-http"],
        Some(reason::RefusalReason::MalformedHttp),
    );
    missing_host => check(
        "GET / HTTP/1.1\r\n\r\n",
        &["HTTP/1.1 400"],
        Some(reason::RefusalReason::MalformedHttp),
    );
    length_and_chunks_together => check(
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        &["HTTP/1.1 400"],
        Some(reason::RefusalReason::MalformedHttp),
    );
    head_over_its_limit => check(
        &oversized_head(),
        &["HTTP/1.1 431", "too-large"],
        Some(reason::RefusalReason::TooLarge),
    );
    line_without_end => check(
        &endless_line(),
        &["HTTP/1.1 431", "too-large"],
        Some(reason::RefusalReason::TooLarge),
    );
    declared_body_over_its_limit => check(
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 999999999\r\n\r\n",
        &["HTTP/1.1 413", "too-large"],
        None,
    );
    chunked_body_over_its_limit => check(
        &oversized_chunks(),
        &["HTTP/1.1 413", "too-large"],
        None,
    );
    slow_body_is_given_up => check(
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nabc",
        &["HTTP/1.1 413", "too slowly"],
        None,
    );
    slow_head_is_given_up => check(
        "GET / HT",
        &["HTTP/1.1 408", "slow-caller"],
        Some(reason::RefusalReason::SlowCaller),
    );
    silent_caller_is_closed => check("", &[], None);
}

#[test]
fn connections_over_the_limit_are_refused_with_a_time_to_come_back() {
    let server = start();
    let held: Vec<TcpStream> = (0..3).map(|_| connect(&server)).collect();
    let mut one_more = connect(&server);
    let answer = read_all(&mut one_more);
    assert!(answer.contains("HTTP/1.1 503"), "{answer}");
    assert!(answer.to_ascii_lowercase().contains("retry-after: 1"), "{answer}");
    drop(held);
}

#[test]
fn stopped_server_takes_no_new_request_on_open_connections() {
    let server = start();
    let mut stream = connect(&server);
    server.stop.trigger();
    assert_eq!(read_all(&mut stream), "");
}

proptest::proptest! {
    #![proptest_config(samphiremoor_testkit::config(48))]

    /// Whatever a caller sends, the server answers or closes, and serves the next caller.
    #[test]
    fn any_bytes_leave_the_server_serving(bytes in proptest::collection::vec(0_u8.., 0..600)) {
        let server = start();
        let mut stream = connect(&server);
        let _ = stream.write_all(&bytes);
        let _ = stream.shutdown(std::net::Shutdown::Write);
        let _ = read_all(&mut stream);
        let mut next = connect(&server);
        next.write_all(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n").expect("it is open");
        let answer = read_all(&mut next);
        proptest::prop_assert!(answer.contains("HTTP/1.1 200"), "{}", answer);
    }
}
