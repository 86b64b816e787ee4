//! Reads bodies up to a limit.

use std::error;
use std::fmt;

use futures_lite::AsyncReadExt as _;
use http_types::Body;
use samphiremoor_base::quantity;

/// Why a body was not read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// The body is larger than the limit.
    TooLarge(quantity::ByteCount),
    /// The sender made no progress in time.
    TimedOut,
    /// The connection ended in the middle.
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

/// Reads a body whole.
///
/// # Errors
///
/// Refuses a body over `limit` bytes, a slow one and a broken one.
pub async fn read(body: Body, limit: quantity::ByteCount) -> Result<Vec<u8>, BodyError> {
    if body.len().is_some_and(|length| length as u64 > limit.get()) {
        return Err(BodyError::TooLarge(limit));
    }
    let declared = body.len();
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
    if declared.is_some_and(|length| length != bytes.len()) {
        return Err(BodyError::Truncated);
    }
    Ok(bytes)
}
