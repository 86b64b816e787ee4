//! Writes the response to one request to a caller's connection.

use std::fmt;
use std::fmt::Write as _;
use std::sync;

use async_std::io::WriteExt as _;
use async_std::net;
use samphiremoor_base::event;
use samphiremoor_base::log_event;
use samphiremoor_httpio::message;

/// Writes one response: at once, or as a stream of events. After the head of a stream only its
/// events and its end are written.
pub struct ResponseSink {
    stream: net::TcpStream,
    /// ID of the request, for the log.
    request_id: Option<sync::Arc<str>>,
    state: ResponseState,
    /// Whether the request's method allows a body in the response.
    allows_body: bool,
    /// Bytes handed to the connection, including those of a write that was abandoned.
    bytes: u64,
    closes_connection: bool,
}

/// How far a response was written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseState {
    /// No byte was written.
    Unstarted,
    /// The response has begun and has not ended. It stays in this state if it is cut off.
    Begun,
    /// The whole response was written.
    Complete,
}

/// Why a part of a response was not written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteError {
    /// Another response to the request has begun.
    AlreadyBegun,
    /// The caller's connection failed.
    CallerGone,
}

impl fmt::Display for ResponseState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

impl ResponseState {
    /// Returns the state in which a response ended, as a label for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            ResponseState::Unstarted => "none",
            ResponseState::Begun => "cut",
            ResponseState::Complete => "complete",
        }
    }
}

impl ResponseSink {
    /// Creates a sink that writes the response to a request with `method` to a caller's connection,
    /// which closes after the response if `closes_connection` is set.
    pub fn new(
        stream: net::TcpStream,
        method: &str,
        request_id: Option<sync::Arc<str>>,
        closes_connection: bool,
    ) -> Self {
        let allows_body = method != "HEAD";
        let state = ResponseState::Unstarted;
        ResponseSink { stream, request_id, state, allows_body, bytes: 0, closes_connection }
    }

    /// Returns the ID of the request, or a placeholder for the log if it has none.
    pub fn request_id(&self) -> &str {
        self.request_id.as_deref().unwrap_or("-")
    }

    /// Returns how far the response was written.
    pub fn state(&self) -> ResponseState {
        self.state
    }

    /// Returns the length of what was written, in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Whether the response has begun.
    pub fn has_begun(&self) -> bool {
        self.state != ResponseState::Unstarted
    }

    /// Whether the connection closes after the response.
    pub fn closes_connection(&self) -> bool {
        self.closes_connection
    }

    /// Writes an encoded response from its head to its end.
    ///
    /// # Errors
    ///
    /// Fails without writing if a response has begun, and if the connection fails.
    pub async fn write_whole(&mut self, encoded: &[u8]) -> Result<(), WriteError> {
        if self.has_begun() {
            return Err(WriteError::AlreadyBegun);
        }
        self.write(encoded, true).await
    }

    /// Writes a replica's response whose body was read whole.
    ///
    /// # Errors
    ///
    /// Fails without writing if a response has begun, and if the connection fails.
    pub async fn write_buffered(
        &mut self,
        head: &message::ResponseHead,
        body: &[u8],
    ) -> Result<(), WriteError> {
        let has_body = self.has_body(head);
        let framing = has_body.then_some(message::BodyFraming::Length(body.len() as u64));
        let mut out = encode_head(head, framing, self.closes_connection);
        if has_body {
            out.extend_from_slice(body);
        }
        self.write_whole(&out).await
    }

    /// Writes whole events as one chunk, followed by the end of the stream if `is_last` is set.
    /// Begins the stream with `head` unless it has begun; the head of a replica that resumes the
    /// stream is not written.
    ///
    /// # Errors
    ///
    /// Fails without writing if the response has ended, and if the connection fails.
    pub async fn write_events(
        &mut self,
        head: &message::ResponseHead,
        events: &[u8],
        is_last: bool,
    ) -> Result<(), WriteError> {
        if events.is_empty() && !is_last {
            return Ok(());
        }
        if !self.has_begun() && !self.has_body(head) {
            return self.write_buffered(head, &[]).await;
        }
        let mut out = match self.state {
            ResponseState::Unstarted => {
                encode_head(head, Some(message::BodyFraming::Chunked), self.closes_connection)
            }
            ResponseState::Begun => Vec::with_capacity(events.len() + 32),
            ResponseState::Complete => return Err(WriteError::AlreadyBegun),
        };
        if !events.is_empty() {
            out.extend_from_slice(format!("{:x}\r\n", events.len()).as_bytes());
            out.extend_from_slice(events);
            out.extend_from_slice(b"\r\n");
        }
        if is_last {
            out.extend_from_slice(b"0\r\n\r\n");
        }
        self.write(&out, is_last).await
    }

    /// Whether a response with this head has a body.
    fn has_body(&self, head: &message::ResponseHead) -> bool {
        self.allows_body && !matches!(head.status, 204 | 304)
    }

    async fn write(&mut self, bytes: &[u8], is_last: bool) -> Result<(), WriteError> {
        let begins = !self.has_begun();
        self.state = ResponseState::Begun;
        self.bytes += bytes.len() as u64;
        let is_written = self.stream.write_all(bytes).await.is_ok();
        log_event!(
            event::LogEvent::ResponseWritten,
            request = self.request_id(),
            begins = begins,
            ends = is_last,
            bytes = bytes.len(),
            accepted = is_written,
        );
        if !is_written {
            return Err(WriteError::CallerGone);
        }
        if is_last {
            self.state = ResponseState::Complete;
        }
        Ok(())
    }
}

/// Encodes the head of a replica's response for the caller; `framing` is `None` if the response has
/// no body.
fn encode_head(
    head: &message::ResponseHead,
    framing: Option<message::BodyFraming>,
    closes_connection: bool,
) -> Vec<u8> {
    let mut text = String::with_capacity(512);
    let _ = write!(text, "HTTP/1.1 {} {}\r\n", head.status, reason_phrase(head.status));
    let mut out = text.into_bytes();
    for field in head.fields.iter().filter(|field| !message::is_hop_by_hop(&field.name)) {
        message::write_field(&mut out, &field.name, &field.value);
    }
    match framing {
        Some(message::BodyFraming::Length(length)) => {
            message::write_field(&mut out, "Content-Length", length.to_string().as_bytes())
        }
        Some(message::BodyFraming::Chunked) => {
            message::write_field(&mut out, "Transfer-Encoding", b"chunked")
        }
        Some(message::BodyFraming::UntilClose) | None => {}
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
