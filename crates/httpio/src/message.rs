//! Parsing of the heads and the body framing of raw HTTP/1.1 messages, without I/O.
//!
//! Used for the responses to clients and for connections on which bodies are relayed unchanged. To
//! prevent request smuggling, messages that two parsers could read differently are refused: two
//! lengths, a length together with chunked coding, folded lines, lines that end with a bare LF, and
//! chunk sizes that are not plain hexadecimal numbers.

use std::error;
use std::fmt;

use samphiremoor_base::quantity;

/// Maximum number of header fields of a message.
const MAX_FIELDS: usize = 96;
/// Maximum length of a chunk-size line with its extensions, and of a trailer line, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 1024;
/// Maximum size of the trailers of a body.
const MAX_TRAILER_BYTES: usize = 64 * 1024;

/// One header field.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeaderField {
    /// The name, in the case in which it was sent.
    pub name: Box<str>,
    /// The value, without surrounding white space.
    pub value: Box<[u8]>,
}

/// Header fields in the order in which they were sent.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HeaderFields(Vec<HeaderField>);

/// Head of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestHead {
    /// The method.
    pub method: Box<str>,
    /// Path and query.
    pub target: Box<str>,
    /// Header fields.
    pub fields: HeaderFields,
}

/// Head of a response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// Header fields.
    pub fields: HeaderFields,
    /// Whether the connection persists after this response.
    pub is_keep_alive: bool,
}

/// How a body is delimited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyFraming {
    /// By its length in bytes.
    Length(u64),
    /// By chunked transfer coding.
    Chunked,
    /// By the close of the connection.
    UntilClose,
}

/// Error for bytes that are not a valid message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MessageError {
    /// The head is larger than the limit.
    TooLarge,
    /// The bytes violate the protocol in this part of the message.
    Malformed(&'static str),
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MessageError::TooLarge => {
                f.write_str("the head is too large; send fewer or shorter headers")
            }
            MessageError::Malformed(cause) => {
                write!(f, "malformed message ({cause}); send plain HTTP/1.1")
            }
        }
    }
}

impl error::Error for MessageError {}

impl HeaderFields {
    /// Returns the value of the first field with a name.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        let mut found = self.0.iter().filter(|field| field.name.eq_ignore_ascii_case(name));
        found.next().map(|field| &*field.value)
    }

    /// Returns the value of the first field with a name as text, if it is valid UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok()
    }

    /// Returns the values of all fields with a name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let found = self.0.iter().filter(move |field| field.name.eq_ignore_ascii_case(name));
        found.map(|field| &*field.value)
    }

    /// Returns all fields.
    pub fn iter(&self) -> impl Iterator<Item = &HeaderField> {
        self.0.iter()
    }

    /// Whether the comma-separated list in the fields with a name contains the token.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name).any(|value| {
            let mut tokens = value.split(|byte| *byte == b',').map(<[u8]>::trim_ascii);
            tokens.any(|found| found.eq_ignore_ascii_case(token.as_bytes()))
        })
    }
}

impl FromIterator<HeaderField> for HeaderFields {
    fn from_iter<I: IntoIterator<Item = HeaderField>>(fields: I) -> Self {
        HeaderFields(fields.into_iter().collect())
    }
}

/// Whether a field applies to one connection only and must not be forwarded.
pub fn is_hop_by_hop(name: &str) -> bool {
    const HOP_FIELDS: &[&str] = &[
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    ];
    HOP_FIELDS.iter().any(|hop| hop.eq_ignore_ascii_case(name))
}

/// Whether the body of a response is declared to be a stream of server-sent events.
pub fn is_event_stream(head: &ResponseHead) -> bool {
    let media_type = head.fields.text("content-type").unwrap_or_default();
    let essence = media_type.split(';').next().unwrap_or_default();
    essence.trim().eq_ignore_ascii_case("text/event-stream")
}

/// Appends one header field.
pub fn write_field(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Parses the head of a request and returns it with its length; `None` while it is incomplete.
///
/// # Errors
///
/// Fails if the head exceeds the limit or is not strict HTTP/1.1.
pub fn parse_request(
    bytes: &[u8],
    limit: quantity::ByteCount,
) -> Result<Option<(RequestHead, usize)>, MessageError> {
    let mut slots = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Request::new(&mut slots);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return refuse_large(bytes, limit),
        Err(httparse::Error::TooManyHeaders) => return Err(MessageError::TooLarge),
        Err(_) => return Err(MessageError::Malformed("head")),
    };
    if length as u64 > limit.get() {
        return Err(MessageError::TooLarge);
    }
    check_line_ends(&bytes[..length])?;
    if parsed.version != Some(1) {
        return Err(MessageError::Malformed("version"));
    }
    let (Some(method), Some(target)) = (parsed.method, parsed.path) else {
        return Err(MessageError::Malformed("request line"));
    };
    if !target.starts_with('/') {
        return Err(MessageError::Malformed("target"));
    }
    let fields = collect_fields(parsed.headers);
    if fields.all("host").count() != 1 {
        return Err(MessageError::Malformed("host"));
    }
    Ok(Some((RequestHead { method: method.into(), target: target.into(), fields }, length)))
}

/// Parses the head of a response and returns it with its length; `None` while it is incomplete.
///
/// # Errors
///
/// Fails if the head exceeds the limit or is not HTTP/1, or if no response to a request of this
/// project has the status.
pub fn parse_response(
    bytes: &[u8],
    limit: quantity::ByteCount,
) -> Result<Option<(ResponseHead, usize)>, MessageError> {
    let mut slots = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Response::new(&mut slots);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return refuse_large(bytes, limit),
        Err(httparse::Error::TooManyHeaders) => return Err(MessageError::TooLarge),
        Err(_) => return Err(MessageError::Malformed("head")),
    };
    let status = parsed.code.filter(|status| is_expected_status(*status));
    let Some(status) = status else { return Err(MessageError::Malformed("status")) };
    let is_http_1_1 = parsed.version == Some(1);
    let fields = collect_fields(parsed.headers);
    let is_keep_alive = is_http_1_1 && !fields.has_token("connection", "close");
    Ok(Some((ResponseHead { status, fields, is_keep_alive }, length)))
}

/// Whether a response may have a status: one that HTTP defines, except that for another protocol, which
/// no request asks for.
fn is_expected_status(status: u16) -> bool {
    const SWITCHING_PROTOCOLS: u16 = 101;
    matches!(status, 100..=599) && status != SWITCHING_PROTOCOLS
}

/// Size of the interim (1xx) responses before a response.
#[derive(Clone, Copy, Debug, Default)]
pub struct InterimBytes(usize);

impl InterimBytes {
    /// Adds the length of an interim response.
    ///
    /// # Errors
    ///
    /// Fails if the sum exceeds the limit.
    pub fn add(&mut self, length: usize, limit: quantity::ByteCount) -> Result<(), MessageError> {
        self.0 += length;
        match self.0 as u64 > limit.get() {
            true => Err(MessageError::TooLarge),
            false => Ok(()),
        }
    }
}

/// Determines how the body of a request is delimited.
///
/// # Errors
///
/// Fails on two lengths, a length together with chunked coding, and other transfer codings.
pub fn request_framing(fields: &HeaderFields) -> Result<BodyFraming, MessageError> {
    let framing = declared_framing(fields)?;
    Ok(framing.unwrap_or(BodyFraming::Length(0)))
}

/// Determines how the body of the response to a request with `method` is delimited.
///
/// # Errors
///
/// Fails on two lengths, a length together with chunked coding, and other transfer codings.
pub fn response_framing(head: &ResponseHead, method: &str) -> Result<BodyFraming, MessageError> {
    let is_bodiless = method == "HEAD" || matches!(head.status, 100..=199 | 204 | 304);
    if is_bodiless {
        return Ok(BodyFraming::Length(0));
    }
    let framing = declared_framing(&head.fields)?;
    Ok(framing.unwrap_or(BodyFraming::UntilClose))
}

fn declared_framing(fields: &HeaderFields) -> Result<Option<BodyFraming>, MessageError> {
    let mut lengths = fields.all("content-length");
    let length = lengths.next();
    if lengths.next().is_some() {
        return Err(MessageError::Malformed("two lengths"));
    }
    let mut codings = fields.all("transfer-encoding");
    let coding = codings.next();
    if codings.next().is_some() {
        return Err(MessageError::Malformed("two transfer codings"));
    }
    match (length, coding) {
        (Some(_), Some(_)) => Err(MessageError::Malformed("length with chunked coding")),
        (None, Some(coding)) if coding.eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(BodyFraming::Chunked))
        }
        (None, Some(_)) => Err(MessageError::Malformed("transfer coding")),
        (Some(length), None) => {
            let is_plain = !length.is_empty() && length.iter().all(u8::is_ascii_digit);
            let text = std::str::from_utf8(length).ok().filter(|_| is_plain);
            let length = text.and_then(|text| text.parse().ok());
            length
                .map(|length| Some(BodyFraming::Length(length)))
                .ok_or(MessageError::Malformed("length"))
        }
        (None, None) => Ok(None),
    }
}

fn collect_fields(headers: &[httparse::Header<'_>]) -> HeaderFields {
    let field = |header: &httparse::Header<'_>| HeaderField {
        name: header.name.into(),
        value: header.value.trim_ascii().into(),
    };
    headers.iter().map(field).collect()
}

fn refuse_large<T>(bytes: &[u8], limit: quantity::ByteCount) -> Result<Option<T>, MessageError> {
    if bytes.len() as u64 > limit.get() {
        return Err(MessageError::TooLarge);
    }
    Ok(None)
}

fn check_line_ends(head: &[u8]) -> Result<(), MessageError> {
    let ends = head.iter().enumerate().filter(|(_, byte)| **byte == b'\n');
    for (index, _) in ends {
        if index == 0 || head[index - 1] != b'\r' {
            return Err(MessageError::Malformed("bare line end"));
        }
    }
    Ok(())
}

/// Decodes the chunked transfer coding of a body incrementally.
#[derive(Clone, Copy, Debug, Default)]
pub struct ChunkDecoder {
    state: ChunkState,
    /// Number of bytes of the trailers so far.
    trailer_bytes: usize,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum ChunkState {
    #[default]
    Size,
    Data(u64),
    DataEnd,
    Trailer,
    Done,
}

impl ChunkDecoder {
    /// Appends the decoded `bytes` to `out` and returns the number of bytes consumed.
    ///
    /// Bytes after the end of the body are not consumed.
    ///
    /// # Errors
    ///
    /// Fails on malformed chunk sizes and lines.
    pub fn decode(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, MessageError> {
        let mut consumed = 0;
        loop {
            let rest = &bytes[consumed..];
            match self.state {
                ChunkState::Done => return Ok(consumed),
                ChunkState::Data(remaining) => {
                    let count = rest.len().min(usize::try_from(remaining).unwrap_or(usize::MAX));
                    out.extend_from_slice(&rest[..count]);
                    consumed += count;
                    if (count as u64) < remaining {
                        self.state = ChunkState::Data(remaining - count as u64);
                        return Ok(consumed);
                    }
                    self.state = ChunkState::DataEnd;
                }
                ChunkState::DataEnd => {
                    if rest.len() < 2 {
                        return Ok(consumed);
                    }
                    if &rest[..2] != b"\r\n" {
                        return Err(MessageError::Malformed("end of chunk"));
                    }
                    consumed += 2;
                    self.state = ChunkState::Size;
                }
                ChunkState::Size => {
                    let Some(line) = split_line(rest)? else { return Ok(consumed) };
                    consumed += line.len() + 2;
                    self.state = match chunk_size(line)? {
                        0 => ChunkState::Trailer,
                        size => ChunkState::Data(size),
                    };
                }
                ChunkState::Trailer => {
                    let Some(line) = split_line(rest)? else { return Ok(consumed) };
                    consumed += line.len() + 2;
                    self.trailer_bytes += line.len() + 2;
                    if self.trailer_bytes > MAX_TRAILER_BYTES {
                        return Err(MessageError::TooLarge);
                    }
                    if line.is_empty() {
                        self.state = ChunkState::Done;
                    }
                }
            }
        }
    }

    /// Whether the last chunk and the trailers were consumed.
    pub fn is_done(&self) -> bool {
        self.state == ChunkState::Done
    }
}

/// Decodes a body incrementally.
#[derive(Clone, Copy, Debug)]
pub struct BodyDecoder {
    framing: BodyFraming,
    /// Bytes left of a body that is delimited by its length.
    remaining: u64,
    chunks: ChunkDecoder,
}

impl BodyDecoder {
    /// Creates a decoder at the start of a body.
    pub fn new(framing: BodyFraming) -> Self {
        let remaining = match framing {
            BodyFraming::Length(length) => length,
            BodyFraming::Chunked | BodyFraming::UntilClose => 0,
        };
        BodyDecoder { framing, remaining, chunks: ChunkDecoder::default() }
    }

    /// Appends the decoded `bytes` to `out` and returns the number of bytes consumed.
    ///
    /// Bytes after the end of the body are not consumed.
    ///
    /// # Errors
    ///
    /// Fails on malformed chunks.
    pub fn decode(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, MessageError> {
        match self.framing {
            BodyFraming::Chunked => self.chunks.decode(bytes, out),
            BodyFraming::UntilClose => {
                out.extend_from_slice(bytes);
                Ok(bytes.len())
            }
            BodyFraming::Length(_) => {
                let count = bytes.len().min(usize::try_from(self.remaining).unwrap_or(usize::MAX));
                out.extend_from_slice(&bytes[..count]);
                self.remaining -= count as u64;
                Ok(count)
            }
        }
    }

    /// Whether the body is complete while the connection is open.
    pub fn is_done(&self) -> bool {
        match self.framing {
            BodyFraming::Chunked => self.chunks.is_done(),
            BodyFraming::Length(_) => self.remaining == 0,
            BodyFraming::UntilClose => false,
        }
    }

    /// Whether the body is complete if the connection closes now.
    pub fn is_done_at_close(&self) -> bool {
        self.framing == BodyFraming::UntilClose || self.is_done()
    }
}

/// Returns the first line without its CRLF; `None` while the line is incomplete.
fn split_line(bytes: &[u8]) -> Result<Option<&[u8]>, MessageError> {
    let Some(end) = bytes.iter().position(|byte| *byte == b'\n') else {
        if bytes.len() > MAX_CHUNK_LINE_BYTES {
            return Err(MessageError::Malformed("long chunk line"));
        }
        return Ok(None);
    };
    match bytes[..end].strip_suffix(b"\r") {
        Some(line) if line.len() <= MAX_CHUNK_LINE_BYTES && !line.contains(&b'\r') => {
            Ok(Some(line))
        }
        _ => Err(MessageError::Malformed("chunk line")),
    }
}

fn chunk_size(line: &[u8]) -> Result<u64, MessageError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let is_plain = (1..=8).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| is_plain);
    let size = text.and_then(|text| u64::from_str_radix(text, 16).ok());
    size.ok_or(MessageError::Malformed("chunk size"))
}
