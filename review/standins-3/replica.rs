//! Stand-in of a replica, in a process of its own. Its answers to drafts and bookings in halves have no
//! length and end with their channels. Each line on its standard output says what it does.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use crate::http::{Connection, Message};
use crate::{EVENTS, event, now_ms, plain_body};

/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// Work of a booking.
const BOOKING_WORK: Duration = Duration::from_millis(15);
/// Work between the two halves of a plain answer.
const PLAIN_WORK: Duration = Duration::from_millis(600);

/// Of the bookings that a failing replica runs, one in this number fails.
const FAILING_SHARE: u64 = 3;

/// Number of bookings that this process has run.
static BOOKINGS: AtomicU64 = AtomicU64::new(0);

/// Whether this process leaves, which it says in all its answers.
static IS_LEAVING: AtomicBool = AtomicBool::new(false);

/// Serves requests; never returns. A line on the standard input says that the replica leaves. If `is_failing` is set, a share of the bookings fails with a 503 at the
/// end of their run.
pub fn run(address: SocketAddr, id: &str, is_failing: bool) {
    // The port of a process that was killed may be free some milliseconds later.
    let listener = loop {
        match TcpListener::bind(address) {
            Ok(listener) => break listener,
            Err(_) => std::thread::sleep(Duration::from_millis(5)),
        }
    };
    println!("{} {id} starts", now_ms());
    std::thread::spawn(|| {
        let mut line = String::new();
        if std::io::stdin().read_line(&mut line).is_ok_and(|count| count > 0) {
            IS_LEAVING.store(true, Ordering::SeqCst);
        }
    });
    for stream in listener.incoming().flatten() {
        let id = id.to_owned();
        std::thread::spawn(move || {
            let mut connection = Connection::new(stream);
            while let Ok(request) = connection.message() {
                if !serve(&mut connection, &request, &id, is_failing) {
                    return;
                }
            }
        });
    }
}

/// Serves a request. Returns whether the channel stays open.
fn serve(connection: &mut Connection, request: &Message, id: &str, is_failing: bool) -> bool {
    let request_id = request.field("x-request-id").unwrap_or_default();
    if request.field("x-expect-instance").is_some_and(|expected| expected != id) {
        println!("{} {id} refuses {request_id}: 421", now_ms());
        let fields = format!("X-Request-Id: {request_id}\r\nX-Not-Executed: 1\r\n");
        return connection.respond("421 Misdirected Request", &fields, b"").is_ok();
    }
    if request.target() == "/healthz" {
        let fields = format!("X-Instance-Id: {id}\r\n");
        println!("{} {id} says that it is healthy", now_ms());
        return connection.respond("200 OK", &fields, b"").is_ok();
    }
    println!("{} {id} runs {request_id}", now_ms());
    if request.target().starts_with("/slot/") {
        std::thread::sleep(BOOKING_WORK);
        let number = BOOKINGS.fetch_add(1, Ordering::SeqCst);
        let is_failure = is_failing && number % FAILING_SHARE == 0;
        let status = if is_failure { "503 Service Unavailable" } else { "200 OK" };
        println!("{} {id} ends {request_id}: {status}", now_ms());
        let fields = format!(
            "X-Request-Id: {request_id}\r\nX-Response-Signature: {id}.{request_id}\r\nX-Instance-Id: {id}\r\n{}",
            if IS_LEAVING.load(Ordering::SeqCst) { "Server-Leaving: 1\r\n" } else { "" }
        );
        return connection.respond(status, &fields, &plain_body(request_id)).is_ok();
    }
    let head = |media_type: &str| {
        format!(
            "HTTP/1.1 200 OK\r\nContent-Type: {media_type}\r\nX-Request-Id: {request_id}\r\n\
             X-Response-Signature: {id}.{request_id}\r\nX-Instance-Id: {id}\r\nConnection: close\r\n\r\n"
        )
    };
    if request.target().starts_with("/draft/") {
        let last_id = request.field("last-event-id").and_then(|text| text.parse().ok());
        let mut bytes = head("text/event-stream").into_bytes();
        for number in last_id.unwrap_or(0) + 1..=EVENTS {
            bytes.extend_from_slice(event(request_id, number).as_bytes());
            if connection.write(&bytes).is_err() {
                println!("{} {id} drops {request_id}", now_ms());
                return false;
            }
            bytes.clear();
            std::thread::sleep(EVENT_INTERVAL);
        }
    } else {
        let body = plain_body(request_id);
        let (first, second) = body.split_at(body.len() / 2);
        let is_written = connection.write(&[head("text/plain").as_bytes(), first].concat()).is_ok();
        println!("{} {id} has written half of {request_id}", now_ms());
        std::thread::sleep(PLAIN_WORK);
        if !is_written || connection.write(second).is_err() {
            println!("{} {id} drops {request_id}", now_ms());
            return false;
        }
    }
    println!("{} {id} ends {request_id}", now_ms());
    false
}
