//! Reads message bodies up to a size limit, and detects truncated ones.

use std::error;
use std::fmt;
use std::io;
use std::pin;
use std::task;

use futures_lite::AsyncRead;
use futures_lite::AsyncReadExt as _;
use futures_lite::io::BufReader;
use http_types::Body;
use samphiremoor_base::quantity;

/// Error of reading a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// The body is larger than this limit.
    TooLarge(quantity::ByteCount),
    /// The sender sent no data within the read timeout.
    TimedOut,
    /// The connection failed or ended inside the body.
    Truncated,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BodyError::TooLarge(limit) => write!(f, "the body exceeds {limit} bytes; send less"),
            BodyError::TimedOut => f.write_str("the body came too slowly; send it without pauses"),
            BodyError::Truncated => f.write_str("the body ended early; send it whole"),
        }
    }
}

impl error::Error for BodyError {}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// Fails if the body exceeds the limit, times out or is truncated.
pub async fn read(body: Body, limit: quantity::ByteCount) -> Result<Vec<u8>, BodyError> {
    if body.len().is_some_and(|length| length as u64 > limit.get()) {
        return Err(BodyError::TooLarge(limit));
    }
    let declared_length = body.len();
    let mut bytes = Vec::new();
    let mut limited = body.take(limit.get().saturating_add(1));
    limited.read_to_end(&mut bytes).await.map_err(|cause| match cause.kind() {
        io::ErrorKind::TimedOut => BodyError::TimedOut,
        io::ErrorKind::FileTooLarge => BodyError::TooLarge(limit),
        _ => BodyError::Truncated,
    })?;
    if bytes.len() as u64 > limit.get() {
        return Err(BodyError::TooLarge(limit));
    }
    if declared_length.is_some_and(|length| length != bytes.len()) {
        return Err(BodyError::Truncated);
    }
    Ok(bytes)
}

/// Returns the body with reads that fail if it ends before its declared length.
///
/// A server that passes the body on would otherwise send its next response in place of the missing
/// bytes.
pub fn fail_if_truncated(body: Body) -> Body {
    let Some(length) = body.len() else { return body };
    // The reader after the body is reached only if bytes are missing.
    let reader = futures_lite::AsyncReadExt::chain(body, TruncatedReader);
    Body::from_reader(BufReader::new(reader), Some(length))
}

/// A reader that fails.
struct TruncatedReader;

impl AsyncRead for TruncatedReader {
    fn poll_read(
        self: pin::Pin<&mut Self>,
        _: &mut task::Context<'_>,
        _: &mut [u8],
    ) -> task::Poll<io::Result<usize>> {
        task::Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()))
    }
}
