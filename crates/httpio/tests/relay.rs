//! The end of what a relay passes on is told from the end of the relay.

use std::io;
use std::time;

use async_std::future;
use async_std::io::ReadExt as _;
use async_std::io::WriteExt as _;
use async_std::net;
use async_std::task;
use http_types::Method;
use http_types::Request;
use samphiremoor_base::quantity;
use samphiremoor_base::time::Millis;
use samphiremoor_httpio::body;
use samphiremoor_httpio::client;
use samphiremoor_httpio::connection;
use samphiremoor_httpio::relay;

/// Part of a response with neither a length nor chunks.
const PART: &[u8] = b"HTTP/1.1 200 OK\r\n\r\nwho";
/// Length of a body that fills the buffers of a relay several times.
const LARGE_BODY: usize = 1024 * 1024;
/// Time in which bytes pass the relay.
const PASS_TIME: time::Duration = time::Duration::from_millis(100);
const TIMEOUT: Millis = Millis::new(5_000);

/// How the response behind a relay ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ResponseEnd {
    /// The upstream closes.
    Closed,
    /// The upstream resets the connection.
    Reset,
    /// The relay ends, and its system closes the connections.
    RelayGone,
}

async fn connect() -> (net::TcpStream, net::TcpStream) {
    let listener = net::TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let near = net::TcpStream::connect(address).await.expect("the listener accepts");
    let (far, _) = listener.accept().await.expect("the connection is there");
    (near, far)
}

/// Returns a connection by way of a relay, on which an upstream sends the rest of a response and ends it.
async fn start(
    rest: Vec<u8>,
    end: ResponseEnd,
    framing: relay::RelayFraming,
) -> (net::TcpStream, task::JoinHandle<()>) {
    let (requester, relay_requester) = connect().await;
    let (relay_upstream, mut upstream) = connect().await;
    let relaying = task::spawn(async move {
        let relaying = relay::relay(&relay_requester, &relay_upstream, framing);
        match end {
            ResponseEnd::RelayGone => drop(future::timeout(2 * PASS_TIME, relaying).await),
            ResponseEnd::Closed | ResponseEnd::Reset => relaying.await,
        }
    });
    let sending = task::spawn(async move {
        // Closing with unread bytes would be a reset.
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            upstream.read_exact(&mut byte).await.expect("the relay passes the request on");
            request.extend(byte);
        }
        upstream.write_all(PART).await.expect("the relay reads");
        upstream.write_all(&rest).await.expect("the relay reads");
        match end {
            ResponseEnd::Closed => drop(upstream),
            ResponseEnd::Reset => {
                task::sleep(PASS_TIME).await;
                let no_linger = Some(time::Duration::ZERO);
                rustix::net::sockopt::set_socket_linger(&upstream, no_linger)
                    .expect("the socket accepts the option");
                drop(upstream);
            }
            ResponseEnd::RelayGone => {
                // The relay closes first.
                let _ = upstream.read(&mut [0; 64]).await;
            }
        }
        relaying.await;
    });
    (requester, sending)
}

/// Reads the response on a raw connection.
async fn read_raw(
    requester: net::TcpStream,
    framing: relay::RelayFraming,
) -> Result<Vec<u8>, String> {
    let mut raw = connection::RawConnection::new(requester).expect("the socket is open");
    raw.begin_relayed(framing).expect("nothing was received");
    raw.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n").await.map_err(|cause| cause.to_string())?;
    let head = raw.response_head().await.map_err(|cause| format!("{cause:?}"))?;
    assert_eq!(head.status, 200);
    let framing = samphiremoor_httpio::message::BodyFraming::UntilClose;
    let body = raw.body(framing, connection::MAX_RESPONSE_BODY).await;
    body.map_err(|cause| format!("{cause:?}"))
}

/// Reads the response of a call.
async fn read_call(
    stream: net::TcpStream,
    framing: relay::RelayFraming,
) -> Result<Vec<u8>, String> {
    let url: http_types::Url = "http://127.0.0.1/".parse().expect("the text is a URL");
    let request = Request::new(Method::Get, url);
    let limits = client::CallLimits { connect: TIMEOUT, head: TIMEOUT, silence: TIMEOUT };
    let connection = client::ClientStream { stream, framing: Some(framing) };
    let mut response =
        client::send_on(connection, request, limits).await.map_err(|cause| cause.to_string())?;
    let limit = quantity::ByteCount::new(2 * LARGE_BODY as u64);
    body::read(response.take_body(), limit).await.map_err(|cause| cause.to_string())
}

fn check(framing: relay::RelayFraming, end: ResponseEnd, rest: &[u8], is_whole: bool) {
    task::block_on(async {
        for is_raw in [true, false] {
            let (requester, sending) = start(rest.to_vec(), end, framing).await;
            let body = match is_raw {
                true => read_raw(requester, framing).await,
                false => read_call(requester, framing).await,
            };
            assert_eq!(body.is_ok(), is_whole, "raw: {is_raw}, {:?}", body.as_ref().err());
            let expected = [b"who", rest].concat();
            assert!(body.is_err() || body == Ok(expected), "the body has other bytes");
            sending.await;
        }
    });
}

const CHUNKED: relay::RelayFraming = relay::RelayFraming::Chunked;
const UNMARKED: relay::RelayFraming = relay::RelayFraming::Unmarked;

samphiremoor_base::cases! {
    end_of_the_upstream_is_an_error => check(CHUNKED, ResponseEnd::Closed, b"le", true);
    end_of_a_large_response_is_an_error =>
        check(CHUNKED, ResponseEnd::Closed, &[b'x'; LARGE_BODY], true);
    chunks_of_the_upstream_are_those_of_the_relay =>
        check(CHUNKED, ResponseEnd::Closed, b"\r\n0\r\n\r\n", true);
    reset_of_the_upstream_is_an_end => check(CHUNKED, ResponseEnd::Reset, b"", false);
    end_of_the_relay_is_an_end => check(CHUNKED, ResponseEnd::RelayGone, b"", false);
    end_that_nobody_marks_is_an_end => check(UNMARKED, ResponseEnd::Closed, b"", false);
    end_of_an_earlier_relay_is_an_end => check(UNMARKED, ResponseEnd::RelayGone, b"", false);
}

/// A relay that sends no chunks is an error of the connection.
#[test]
fn bytes_without_chunks_are_passed_on() {
    let mut reader = relay::RelayedReader::new(CHUNKED);
    let decoded = reader.decode(b"HTTP/1.1 200 OK\r\n", &mut Vec::new());
    assert_eq!(decoded.map_err(|cause| cause.kind()), Err(io::ErrorKind::InvalidData));
}
