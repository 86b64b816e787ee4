//! Forwards the events of a replica's stream to a caller, complete and in order.

use std::fmt;
use std::fmt::Write as _;
use std::sync;

use async_std::future;
use async_std::io::WriteExt as _;
use async_std::net;
use samphiremoor_base::event;
use samphiremoor_base::log_event;
use samphiremoor_base::time;
use samphiremoor_httpio::connection;
use samphiremoor_httpio::message;

use crate::events;
use crate::upstream;

/// Time without data after which a replica's stream counts as silent. Callers give up after two
/// seconds or more; engines pause for a few hundred milliseconds at most during prefill.
const SILENCE_TIMEOUT: time::Millis = time::Millis::new(1_500);

/// Writes a response to a caller's connection.
pub struct ResponseSink {
    stream: net::TcpStream,
    /// ID of the request, for the log.
    request_id: Option<sync::Arc<str>>,
    /// What was written so far.
    pub written: WrittenResponse,
    /// Whether the connection closes after the response.
    pub closes_connection: bool,
}

/// What one write carries of a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResponsePart {
    /// Whether the bytes begin with the response's head.
    pub begins: bool,
    /// Whether the bytes end with the end of the response.
    pub ends: bool,
}

impl ResponsePart {
    /// A response that is written at once.
    pub const WHOLE: ResponsePart = ResponsePart { begins: true, ends: true };
}

/// What was written to a caller's connection in response to one request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WrittenResponse {
    /// Bytes handed to the connection, including those of a write that was abandoned.
    pub bytes: u64,
    heads: u32,
    ends: u32,
}

impl WrittenResponse {
    /// Whether any byte was written.
    pub fn is_started(&self) -> bool {
        self.bytes > 0
    }

    /// Returns how far the response came, as a label for logs and metrics.
    pub fn label(&self) -> &'static str {
        match (self.heads, self.ends) {
            (0, 0) => "none",
            (1, 0) => "cut",
            (1, 1) => "complete",
            _ => "malformed",
        }
    }
}

impl fmt::Display for WrittenResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

/// How a replica's stream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamEnd {
    /// The whole stream was delivered.
    Complete,
    /// The connection failed, or the bytes are not a valid stream.
    Broken,
    /// The replica sent no data for too long.
    Silent,
    /// The replica is leaving; the stream is still in progress there.
    Leaving,
    /// The caller closed the connection.
    CallerGone,
}

impl ResponseSink {
    /// Creates a sink that writes to a caller's connection.
    pub fn new(
        stream: net::TcpStream,
        request_id: Option<sync::Arc<str>>,
        closes_connection: bool,
    ) -> Self {
        ResponseSink { stream, request_id, written: WrittenResponse::default(), closes_connection }
    }

    /// Returns the ID of the request, or a placeholder for the log if it has none.
    pub fn request_id(&self) -> &str {
        self.request_id.as_deref().unwrap_or("-")
    }

    /// Whether any byte of the response was written.
    pub fn is_started(&self) -> bool {
        self.written.is_started()
    }

    /// Writes a part of the response. Returns `false` if the connection fails.
    pub async fn write(&mut self, part: ResponsePart, bytes: &[u8]) -> bool {
        self.written.bytes += bytes.len() as u64;
        self.written.heads += u32::from(part.begins);
        let is_written = self.stream.write_all(bytes).await.is_ok();
        self.written.ends += u32::from(part.ends && is_written);
        log_event!(
            event::LogEvent::ResponseWritten,
            request = self.request_id(),
            begins = part.begins,
            ends = part.ends,
            bytes = bytes.len(),
            accepted = is_written,
        );
        is_written
    }
}

/// Encodes the head of a replica's response for the caller, with chunked framing if `length` is
/// `None`.
pub fn encode_head(
    head: &message::ResponseHead,
    length: Option<usize>,
    closes_connection: bool,
) -> Vec<u8> {
    let mut text = String::with_capacity(512);
    let _ = write!(text, "HTTP/1.1 {} {}\r\n", head.status, reason_phrase(head.status));
    let mut out = text.into_bytes();
    for field in head.fields.iter().filter(|field| !message::is_hop_by_hop(&field.name)) {
        message::write_field(&mut out, &field.name, &field.value);
    }
    match length {
        Some(_) if matches!(head.status, 204 | 304) => {}
        Some(length) => {
            message::write_field(&mut out, "Content-Length", length.to_string().as_bytes())
        }
        None => message::write_field(&mut out, "Transfer-Encoding", b"chunked"),
    }
    if closes_connection {
        message::write_field(&mut out, "Connection", b"close");
    }
    out.extend_from_slice(b"\r\n");
    out
}

fn reason_phrase(status: u16) -> &'static str {
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

/// A stream of one replica.
pub struct ReplicaStream {
    /// Connection to the replica.
    pub connection: upstream::UpstreamConnection,
    /// Head of the replica's response.
    pub response: upstream::ReplicaResponse,
    reader: connection::BodyReader,
}

impl ReplicaStream {
    /// Creates the stream of a response whose head was read.
    pub fn new(
        connection: upstream::UpstreamConnection,
        response: upstream::ReplicaResponse,
    ) -> Self {
        let reader = connection::BodyReader::new(response.framing);
        ReplicaStream { connection, response, reader }
    }

    /// Forwards events until the stream ends or should migrate. `on_first_event` is called at the
    /// first event, `should_migrate` after each read from then on.
    pub async fn forward_events(
        &mut self,
        splitter: &mut events::EventSplitter,
        sink: &mut ResponseSink,
        mut on_first_event: impl FnMut(),
        should_migrate: impl Fn() -> bool,
    ) -> StreamEnd {
        let mut has_first_event = false;
        loop {
            let read = self.reader.read(&mut self.connection.raw, splitter.buffer());
            let is_body_end = match future::timeout(SILENCE_TIMEOUT.to_duration(), read).await {
                Ok(Ok(is_body_end)) => is_body_end,
                Ok(Err(_)) => return StreamEnd::Broken,
                Err(_) => return StreamEnd::Silent,
            };
            let mut events = Vec::new();
            let is_in_order = splitter.take_events(&mut events);
            if !events.is_empty() && !has_first_event {
                has_first_event = true;
                on_first_event();
            }
            let is_complete = is_body_end && is_in_order && !splitter.is_incomplete();
            if !write_events(&self.response, sink, &events, is_complete).await {
                return StreamEnd::CallerGone;
            }
            if is_complete {
                return StreamEnd::Complete;
            }
            if is_body_end || !is_in_order {
                return StreamEnd::Broken;
            }
            if has_first_event && should_migrate() {
                return StreamEnd::Leaving;
            }
        }
    }
}

/// Writes events as one chunk, preceded by the head if nothing was written yet and followed by the
/// last chunk if `is_last` is set. Returns `false` if the caller's connection fails.
async fn write_events(
    response: &upstream::ReplicaResponse,
    sink: &mut ResponseSink,
    events: &[u8],
    is_last: bool,
) -> bool {
    if events.is_empty() && !is_last {
        return true;
    }
    let part = ResponsePart { begins: !sink.is_started(), ends: is_last };
    let mut out = match part.begins {
        true => encode_head(&response.head, None, sink.closes_connection),
        false => Vec::with_capacity(events.len() + 32),
    };
    if !events.is_empty() {
        out.extend_from_slice(format!("{:x}\r\n", events.len()).as_bytes());
        out.extend_from_slice(events);
        out.extend_from_slice(b"\r\n");
    }
    if is_last {
        out.extend_from_slice(b"0\r\n\r\n");
    }
    sink.write(part, &out).await
}
