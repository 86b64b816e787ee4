//! Passes the events of a replica's stream on to a caller, whole and in order.

use std::cell;
use std::fmt::Write as _;

use async_std::future;
use async_std::io::WriteExt as _;
use async_std::net;
use samphiremoor_base::time;
use samphiremoor_httpio::connection;
use samphiremoor_httpio::message;

use crate::events;
use crate::upstream;

/// Time without an event after which a replica counts as silent. Callers give up after two seconds or
/// more; engines pause for a few hundred milliseconds at most while they read prompts.
const SILENCE: time::Millis = time::Millis::new(1_500);

/// The caller's side of an answer.
pub struct AnswerSink {
    stream: net::TcpStream,
    /// Whether any byte of the answer was written.
    pub is_begun: cell::Cell<bool>,
    /// Whether the connection is closed after the answer.
    pub closes: bool,
}

/// How one run of a stream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The last event was delivered.
    Complete,
    /// The replica's connection failed or its bytes are no stream.
    Broken,
    /// The replica was silent.
    Silent,
    /// The replica leaves; the run is still in progress there.
    Leaving,
    /// The caller does not take the answer.
    CallerGone,
}

impl AnswerSink {
    /// A sink that writes to a caller's connection.
    pub fn new(stream: net::TcpStream, closes: bool) -> Self {
        AnswerSink { stream, is_begun: cell::Cell::new(false), closes }
    }

    /// Writes bytes; false where the caller does not take them.
    pub async fn write(&mut self, bytes: &[u8]) -> bool {
        self.is_begun.set(true);
        self.stream.write_all(bytes).await.is_ok()
    }
}

/// Writes the head of an answer that is passed on.
pub fn write_head(head: &message::ResponseHead, length: Option<usize>, closes: bool) -> Vec<u8> {
    let mut text = String::with_capacity(512);
    let _ = write!(text, "HTTP/1.1 {} {}\r\n", head.status, reason(head.status));
    let mut out = text.into_bytes();
    for field in head.fields.iter().filter(|field| !message::is_hop_field(&field.name)) {
        message::write_field(&mut out, &field.name, &field.value);
    }
    match length {
        Some(_) if matches!(head.status, 204 | 304) => {}
        Some(length) => {
            message::write_field(&mut out, "Content-Length", length.to_string().as_bytes())
        }
        None => message::write_field(&mut out, "Transfer-Encoding", b"chunked"),
    }
    if closes {
        message::write_field(&mut out, "Connection", b"close");
    }
    out.extend_from_slice(b"\r\n");
    out
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

/// One run of a stream at a replica.
pub struct StreamRun {
    /// The connection.
    pub open: upstream::UpstreamConnection,
    /// The head of the replica's answer.
    pub answer: upstream::ReplicaAnswer,
    reader: connection::BodyReader,
}

impl StreamRun {
    /// A run of which the head came.
    pub fn new(open: upstream::UpstreamConnection, answer: upstream::ReplicaAnswer) -> Self {
        let reader = connection::BodyReader::new(answer.framing);
        StreamRun { open, answer, reader }
    }

    /// Passes events on until the run ends or is to be left. `on_first` is called at its first event,
    /// `should_migrate` after each further one.
    pub async fn pass_on(
        &mut self,
        splitter: &mut events::EventSplitter,
        sink: &mut AnswerSink,
        mut on_first: impl FnMut(),
        is_to_be_left: impl Fn() -> bool,
    ) -> RunEnd {
        let mut has_first = false;
        loop {
            let read = self.reader.read(&mut self.open.raw, splitter.buffer());
            let is_end = match future::timeout(SILENCE.to_duration(), read).await {
                Ok(Ok(is_end)) => is_end,
                Ok(Err(_)) => return RunEnd::Broken,
                Err(_) => return RunEnd::Silent,
            };
            let mut whole = Vec::new();
            let is_whole = splitter.take(&mut whole);
            if !whole.is_empty() && !has_first {
                has_first = true;
                on_first();
            }
            let is_last = is_end && is_whole && !splitter.is_torn();
            if !deliver(&self.answer, sink, &whole, is_last).await {
                return RunEnd::CallerGone;
            }
            if is_last {
                return RunEnd::Complete;
            }
            if is_end || !is_whole {
                return RunEnd::Broken;
            }
            if has_first && is_to_be_left() {
                return RunEnd::Leaving;
            }
        }
    }
}

/// Writes events as one chunk, after the head where the answer was not begun and before the last
/// chunk where it ends.
async fn deliver(
    answer: &upstream::ReplicaAnswer,
    sink: &mut AnswerSink,
    whole: &[u8],
    is_last: bool,
) -> bool {
    if whole.is_empty() && !is_last {
        return true;
    }
    let mut out = match sink.is_begun.get() {
        true => Vec::with_capacity(whole.len() + 32),
        false => write_head(&answer.head, None, sink.closes),
    };
    if !whole.is_empty() {
        out.extend_from_slice(format!("{:x}\r\n", whole.len()).as_bytes());
        out.extend_from_slice(whole);
        out.extend_from_slice(b"\r\n");
    }
    if is_last {
        out.extend_from_slice(b"0\r\n\r\n");
    }
    sink.write(&out).await
}
