//! Reads a response whose body is streamed from its connection.

use std::future;
use std::io;
use std::pin;
use std::task;

use futures_lite::io::AsyncBufRead;
use futures_lite::io::AsyncRead;
use http_types::Body;
use http_types::Method;
use http_types::Response;
use http_types::StatusCode;
use http_types::headers;

use crate::connection;
use crate::message;
use crate::relay;
use crate::timeout_stream;

/// Size of one read from the connection.
const READ_BYTES: usize = 8 * 1024;

/// Reads the head of the response to a request with `method` and skips interim (1xx) responses.
/// Reads of the body fail if it is malformed or truncated. `framing` is that of a relay between the
/// server and this end.
///
/// # Errors
///
/// Fails if the connection fails or ends before the end of the head, or if the head is malformed.
pub(crate) async fn read(
    stream: timeout_stream::TimeoutStream,
    framing: Option<relay::RelayFraming>,
    method: Method,
) -> io::Result<Response> {
    let relayed = framing.map(relay::RelayedReader::new);
    let mut source = ByteSource { stream, received: Vec::new(), relayed };
    let mut interim_bytes = message::InterimBytes::default();
    let head = loop {
        match message::parse_response(&source.received, connection::MAX_RESPONSE_HEAD) {
            Ok(Some((head, length))) => {
                source.received.drain(..length);
                if head.status >= 200 {
                    break head;
                }
                interim_bytes.add(length, connection::MAX_RESPONSE_HEAD).map_err(malformed)?;
            }
            Ok(None) => {
                if !future::poll_fn(|cx| source.poll_fill(cx)).await? {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            Err(cause) => return Err(malformed(cause)),
        }
    };
    let framing = message::response_framing(&head, method.as_ref()).map_err(malformed)?;
    let mut response = decode_head(&head)?;
    let body = ResponseBody {
        source,
        decoder: message::BodyDecoder::new(framing),
        decoded: Vec::new(),
        position: 0,
        failure: None,
        is_ended: false,
    };
    let length = match framing {
        message::BodyFraming::Length(length) => {
            Some(usize::try_from(length).map_err(|_| io::ErrorKind::InvalidData)?)
        }
        message::BodyFraming::Chunked | message::BodyFraming::UntilClose => None,
    };
    let has_type = response.header(headers::CONTENT_TYPE).is_some();
    response.set_body(Body::from_reader(body, length));
    if !has_type {
        // `set_body` sets a content type if there is none.
        response.remove_header(headers::CONTENT_TYPE);
    }
    Ok(response)
}

fn decode_head(head: &message::ResponseHead) -> io::Result<Response> {
    let status = StatusCode::try_from(head.status).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut response = Response::new(status);
    for field in head.fields.iter() {
        let name = headers::HeaderName::from_bytes(field.name.as_bytes().to_vec());
        let value = headers::HeaderValue::from_bytes(field.value.to_vec());
        let (Ok(name), Ok(value)) = (name, value) else {
            return Err(malformed(message::MessageError::Malformed("header field")));
        };
        response.append_header(name, value);
    }
    Ok(response)
}

fn malformed(cause: message::MessageError) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, cause)
}

/// A connection and the bytes that were received on it and not consumed yet.
#[derive(Debug)]
struct ByteSource {
    stream: timeout_stream::TimeoutStream,
    received: Vec<u8>,
    /// Decoder of what a relay passes on; `None` if the connection is direct.
    relayed: Option<relay::RelayedReader>,
}

impl ByteSource {
    /// Receives more bytes; `false` means that the connection ended.
    fn poll_fill(&mut self, cx: &mut task::Context<'_>) -> task::Poll<io::Result<bool>> {
        let mut bytes = [0; READ_BYTES];
        let known_length = self.received.len();
        loop {
            if self.relayed.as_ref().is_some_and(relay::RelayedReader::is_ended) {
                return task::Poll::Ready(Ok(false));
            }
            let stream = pin::Pin::new(&mut self.stream);
            let count = futures_lite::ready!(stream.poll_read(cx, &mut bytes))?;
            let Some(reader) = &mut self.relayed else {
                self.received.extend_from_slice(&bytes[..count]);
                return task::Poll::Ready(Ok(count > 0));
            };
            if count == 0 {
                return task::Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
            }
            reader.decode(&bytes[..count], &mut self.received)?;
            if self.received.len() > known_length {
                return task::Poll::Ready(Ok(true));
            }
        }
    }
}

/// Body of a response.
#[derive(Debug)]
struct ResponseBody {
    source: ByteSource,
    decoder: message::BodyDecoder,
    /// The bytes that were decoded last, of which those before `position` were consumed.
    decoded: Vec<u8>,
    position: usize,
    /// Error behind the decoded bytes.
    failure: Option<message::MessageError>,
    /// Whether the connection ended.
    is_ended: bool,
}

impl ResponseBody {
    /// Decodes more bytes once all were consumed; without more bytes, the body is complete.
    fn poll_decode(&mut self, cx: &mut task::Context<'_>) -> task::Poll<io::Result<()>> {
        while self.position == self.decoded.len() {
            self.decoded.clear();
            self.position = 0;
            if let Some(cause) = self.failure {
                return task::Poll::Ready(Err(malformed(cause)));
            }
            match self.decoder.decode(&self.source.received, &mut self.decoded) {
                Ok(count) => drop(self.source.received.drain(..count)),
                Err(cause) => {
                    self.failure = Some(cause);
                    continue;
                }
            }
            let is_complete =
                self.decoder.is_done() || self.is_ended && self.decoder.is_done_at_close();
            if is_complete || !self.decoded.is_empty() {
                break;
            }
            if self.is_ended {
                return task::Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
            }
            self.is_ended = !futures_lite::ready!(self.source.poll_fill(cx))?;
        }
        task::Poll::Ready(Ok(()))
    }
}

impl AsyncBufRead for ResponseBody {
    fn poll_fill_buf(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        futures_lite::ready!(this.poll_decode(cx))?;
        task::Poll::Ready(Ok(&this.decoded[this.position..]))
    }

    fn consume(mut self: pin::Pin<&mut Self>, count: usize) {
        self.position += count;
    }
}

impl AsyncRead for ResponseBody {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        out: &mut [u8],
    ) -> task::Poll<io::Result<usize>> {
        futures_lite::ready!(self.poll_decode(cx))?;
        let available = &self.decoded[self.position..];
        let count = available.len().min(out.len());
        out[..count].copy_from_slice(&available[..count]);
        self.position += count;
        task::Poll::Ready(Ok(count))
    }
}
