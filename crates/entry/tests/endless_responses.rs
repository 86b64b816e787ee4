//! Upstreams send bytes that are no answer without end. The daemon reads a bounded number of them,
//! ends the call and closes the connection.

mod fixture;

use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use fixture::caller::TestCall;
use http_types::Method;

/// Bytes that the daemon may read of one response, and those that wait in the sockets of both ends.
const MAX_READ_BYTES: u64 = 16 * 1024 * 1024;
/// Time within which a call ends, with its retries.
const END_TIME: time::Duration = time::Duration::from_secs(5);

/// Where the bytes without end begin.
#[derive(Clone, Copy, Debug)]
enum EndlessPoint {
    /// Instead of the status line.
    StatusLine,
    /// In a header field.
    HeaderField,
    /// In the number of header fields.
    HeaderFields,
    /// Interim responses.
    InterimResponses,
    /// In a body without a length.
    Body,
    /// In a body whose length is beyond all limits.
    LongBody,
    /// In the chunks of a body.
    Chunks,
    /// In the size of a chunk.
    ChunkSize,
    /// In the trailers of a body.
    Trailers,
    /// In a line of an event.
    EventLine,
    /// In the lines of an event.
    EventLines,
    /// In comments between events.
    Comments,
    /// In events of another response.
    ForeignEvents,
    /// In the body of an error.
    ErrorBody,
}

/// Returns what comes before the bytes without end, and the bytes.
fn encode(point: EndlessPoint) -> (String, String) {
    let head = |framing: &str| {
        format!("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{framing}\r\n")
    };
    let chunked = "transfer-encoding: chunked\r\n";
    let long_text = "x".repeat(16 * 1024);
    match point {
        EndlessPoint::StatusLine => (String::new(), long_text),
        EndlessPoint::HeaderField => ("HTTP/1.1 200 OK\r\nx-long: ".to_owned(), long_text),
        EndlessPoint::HeaderFields => {
            ("HTTP/1.1 200 OK\r\n".to_owned(), "x-many: 1\r\n".repeat(100))
        }
        EndlessPoint::InterimResponses => {
            (String::new(), "HTTP/1.1 100 Continue\r\n\r\n".repeat(100))
        }
        EndlessPoint::Body => (head(""), long_text),
        EndlessPoint::LongBody => (head("content-length: 99999999999\r\n"), long_text),
        EndlessPoint::Chunks => (head(chunked), format!("4000\r\n{long_text}\r\n")),
        EndlessPoint::ChunkSize => (head(chunked), "0".repeat(1024)),
        EndlessPoint::Trailers => (head(chunked) + "0\r\n", "x-many: 1\r\n".repeat(100)),
        EndlessPoint::EventLine => (head("") + "data: ", long_text),
        EndlessPoint::EventLines => (head(""), "data: more\n".repeat(100)),
        EndlessPoint::Comments => (head(""), ": more\n\n".repeat(100)),
        EndlessPoint::ForeignEvents => {
            let chunk = r#"{"id":"entry-x:019a0000-0000-7000-8000-000000000000","choices":[]}"#;
            (head(""), format!("data: {chunk}\n\n").repeat(100))
        }
        EndlessPoint::ErrorBody => ("HTTP/1.1 500 No\r\n\r\n".to_owned(), long_text),
    }
}

/// An upstream that sends bytes without end.
struct EndlessUpstream {
    address: net::SocketAddr,
    /// Number of bytes written.
    written: sync::Arc<atomic::AtomicU64>,
    /// Number of connections, and of those that the daemon closed.
    opened: sync::Arc<atomic::AtomicU64>,
    closed: sync::Arc<atomic::AtomicU64>,
}

impl EndlessUpstream {
    fn start(point: EndlessPoint) -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
        let upstream = EndlessUpstream {
            address: listener.local_addr().expect("the listener has an address"),
            written: sync::Arc::default(),
            opened: sync::Arc::default(),
            closed: sync::Arc::default(),
        };
        let (written, opened, closed) =
            (upstream.written.clone(), upstream.opened.clone(), upstream.closed.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                opened.fetch_add(1, atomic::Ordering::SeqCst);
                let (written, closed) = (written.clone(), closed.clone());
                thread::spawn(move || {
                    write_endless(stream, point, &written);
                    closed.fetch_add(1, atomic::Ordering::SeqCst);
                });
            }
        });
        upstream
    }
}

fn write_endless(mut stream: net::TcpStream, point: EndlessPoint, written: &atomic::AtomicU64) {
    let mut request = [0; 64 * 1024];
    if !matches!(stream.read(&mut request), Ok(1..)) {
        return;
    }
    let (start, endless) = encode(point);
    if stream.write_all(start.as_bytes()).is_err() {
        return;
    }
    while let Ok(count) = stream.write(endless.as_bytes()) {
        written.fetch_add(count as u64, atomic::Ordering::SeqCst);
    }
}

/// A form of call.
#[derive(Clone, Copy, Debug)]
enum CallForm {
    Stream,
    Whole,
    Lookup,
    Booking,
}

fn call(address: net::SocketAddr, form: CallForm) -> TestCall {
    match form {
        CallForm::Stream => TestCall::chat(address, "hello", true),
        CallForm::Whole => TestCall::chat(address, "hello", false),
        CallForm::Lookup => {
            TestCall::new(address, Method::Get, "/v1/services/lookup/x", fixture::KEY)
        }
        CallForm::Booking => {
            let path = "/v1/services/booking/x";
            let call = TestCall::new(address, Method::Post, path, fixture::KEY);
            call.header("idempotency-key", "visit-18").body("{}")
        }
    }
}

fn check(form: CallForm, point: EndlessPoint) {
    let upstream = EndlessUpstream::start(point);
    let view = match form {
        CallForm::Stream | CallForm::Whole => fixture::SharedView::new(&[upstream.address], &[]),
        CallForm::Lookup | CallForm::Booking => fixture::SharedView::new(&[], &[upstream.address]),
    };
    let daemon = fixture::TestDaemon::start(&view);
    if matches!(form, CallForm::Booking) {
        daemon.wait_for_shards();
    }
    let sent_at = time::Instant::now();
    let call = call(daemon.entry.address(), form).header("samphiremoor-timeout-ms", "3000");
    let response = call.full_blocking();
    let ended_after = sent_at.elapsed();
    assert_ne!(response.outcome.as_deref(), Some("complete"), "{response:?}");
    assert!(ended_after < END_TIME, "ended after {ended_after:?}");
    fixture::wait_until("all connections are closed", || {
        upstream.opened.load(atomic::Ordering::SeqCst)
            == upstream.closed.load(atomic::Ordering::SeqCst)
    });
    let opened = upstream.opened.load(atomic::Ordering::SeqCst);
    let written = upstream.written.load(atomic::Ordering::SeqCst);
    assert!(opened > 0, "the upstream was called");
    assert!(written <= opened * MAX_READ_BYTES, "{written} bytes on {opened} connections");
}

samphiremoor_base::cases! {
    status_line_of_a_stream => check(CallForm::Stream, EndlessPoint::StatusLine);
    status_line_of_a_call => check(CallForm::Lookup, EndlessPoint::StatusLine);
    header_field_of_a_stream => check(CallForm::Stream, EndlessPoint::HeaderField);
    header_field_of_a_keyed_call => check(CallForm::Booking, EndlessPoint::HeaderField);
    header_fields_of_a_stream => check(CallForm::Stream, EndlessPoint::HeaderFields);
    interim_responses_of_a_stream => check(CallForm::Stream, EndlessPoint::InterimResponses);
    interim_responses_of_a_keyed_call => check(CallForm::Booking, EndlessPoint::InterimResponses);
    body_of_a_stream => check(CallForm::Stream, EndlessPoint::Body);
    body_of_a_call => check(CallForm::Lookup, EndlessPoint::Body);
    body_of_a_keyed_call => check(CallForm::Booking, EndlessPoint::Body);
    long_body_of_a_stream => check(CallForm::Stream, EndlessPoint::LongBody);
    long_body_of_a_call => check(CallForm::Lookup, EndlessPoint::LongBody);
    chunks_of_a_stream => check(CallForm::Stream, EndlessPoint::Chunks);
    chunks_of_a_keyed_call => check(CallForm::Booking, EndlessPoint::Chunks);
    chunk_size_of_a_stream => check(CallForm::Stream, EndlessPoint::ChunkSize);
    chunk_size_of_a_call => check(CallForm::Lookup, EndlessPoint::ChunkSize);
    trailers_of_a_stream => check(CallForm::Stream, EndlessPoint::Trailers);
    trailers_of_a_call => check(CallForm::Lookup, EndlessPoint::Trailers);
    trailers_of_a_keyed_call => check(CallForm::Booking, EndlessPoint::Trailers);
    event_line_of_a_stream => check(CallForm::Stream, EndlessPoint::EventLine);
    event_line_of_a_whole_response => check(CallForm::Whole, EndlessPoint::EventLine);
    event_lines_of_a_stream => check(CallForm::Stream, EndlessPoint::EventLines);
    comments_of_a_stream => check(CallForm::Stream, EndlessPoint::Comments);
    events_of_another_response => check(CallForm::Stream, EndlessPoint::ForeignEvents);
    error_body_of_a_stream => check(CallForm::Stream, EndlessPoint::ErrorBody);
    error_body_of_a_keyed_call => check(CallForm::Booking, EndlessPoint::ErrorBody);
}
