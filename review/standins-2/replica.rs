//! A replica as a process of its own: `standins replica ID ADDRESS PIECES PAUSE_MS FRAMING`.
//!
//! Prints `run REPLICA REQUEST` when it begins to work on a request and `end REPLICA REQUEST` after its
//! last piece.

use std::io::Write as _;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use crate::http;

/// How a replica answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    /// With a stream of events that has neither a length nor chunks and ends with its channel.
    UntilClose,
    /// With all pieces at once, after one pause.
    Length,
}

/// Returns a piece of the answer to a request.
pub fn piece(request: &str, number: u64) -> String {
    format!("id: {number}\ndata: {request} piece {number}\n\n")
}

pub fn run(words: &[String]) {
    let [id, address, pieces, pause, framing] = words else { return };
    let pieces = pieces.parse().expect("the number of pieces is a number");
    let pause = Duration::from_millis(pause.parse().expect("the pause is a number"));
    let framing = if framing == "close" { Framing::UntilClose } else { Framing::Length };
    let listener = TcpListener::bind(address).expect("the address is free");
    for stream in listener.incoming().flatten() {
        let id = id.clone();
        thread::spawn(move || {
            let mut connection = http::Connection::new(stream);
            while let Ok(Some((head, _))) = connection.read_request() {
                if !answer(&mut connection, &head, &id, (pieces, pause, framing)) {
                    return;
                }
            }
        });
    }
}

/// Prints a line at once.
fn print(line: &str) {
    println!("{line}");
    let _ = std::io::stdout().flush();
}

/// Answers a request. Returns whether the connection stays open.
fn answer(
    connection: &mut http::Connection,
    head: &http::Head,
    id: &str,
    (pieces, pause, framing): (u64, Duration, Framing),
) -> bool {
    if head.word(1) == "/healthz" {
        let text = format!("HTTP/1.1 200 OK\r\nX-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
        return connection.write(text.as_bytes()).is_ok();
    }
    let Some(request) = head.field("x-request-id") else {
        let text = "HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        return connection.write(text.as_bytes()).is_ok();
    };
    if head.field("x-expect-instance").is_some_and(|expected| expected != id) {
        let text = format!("HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: {request}\r\nX-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
        return connection.write(text.as_bytes()).is_ok();
    }
    print(&format!("run {id} {request}"));
    let last: Option<u64> = head.field("last-event-id").and_then(|text| text.parse().ok());
    let numbers = last.unwrap_or(0) + 1..=pieces;
    let fields = format!("X-Request-Id: {request}\r\nX-Response-Signature: {id}.{request}");
    if framing == Framing::Length {
        thread::sleep(pause);
        let body: String = numbers.map(|number| piece(request, number)).collect();
        print(&format!("end {id} {request}"));
        let length = body.len();
        let text = format!("HTTP/1.1 200 OK\r\n{fields}\r\nContent-Length: {length}\r\n\r\n{body}");
        return connection.write(text.as_bytes()).is_ok();
    }
    let text = format!("HTTP/1.1 200 OK\r\n{fields}\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n");
    if connection.write(text.as_bytes()).is_err() {
        return false;
    }
    for number in numbers {
        if connection.write(piece(request, number).as_bytes()).is_err() {
            return false;
        }
        thread::sleep(pause);
    }
    print(&format!("end {id} {request}"));
    false
}
