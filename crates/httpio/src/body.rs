//! Reads message bodies up to a size limit.

use std::error;
use std::fmt;

use futures_lite::AsyncReadExt as _;
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
        std::io::ErrorKind::TimedOut => BodyError::TimedOut,
        std::io::ErrorKind::FileTooLarge => BodyError::TooLarge(limit),
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
