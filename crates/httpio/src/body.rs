//! Reads message bodies up to a size limit, and detects truncated ones.

use std::error;
use std::fmt;
use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;

use futures_lite::AsyncBufRead;
use futures_lite::AsyncRead;
use futures_lite::AsyncReadExt;
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
pub(crate) fn fail_if_truncated(body: Body) -> Body {
    let Some(length) = body.len() else { return body };
    // The reader after the body is reached only if bytes are missing.
    Body::from_reader(AsyncReadExt::chain(body, TruncatedReader), Some(length))
}

/// A reader that fails.
struct TruncatedReader;

fn truncated<T>() -> task::Poll<io::Result<T>> {
    task::Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()))
}

impl AsyncRead for TruncatedReader {
    fn poll_read(
        self: pin::Pin<&mut Self>,
        _: &mut task::Context<'_>,
        _: &mut [u8],
    ) -> task::Poll<io::Result<usize>> {
        truncated()
    }
}

impl AsyncBufRead for TruncatedReader {
    fn poll_fill_buf(
        self: pin::Pin<&mut Self>,
        _: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<&[u8]>> {
        truncated()
    }

    fn consume(self: pin::Pin<&mut Self>, _: usize) {}
}

/// Failure of a body that was split off by [`split_failure`], and the bytes that may be read of it.
#[derive(Clone, Debug, Default)]
pub struct BodyFailure {
    kind: sync::Arc<sync::OnceLock<io::ErrorKind>>,
    /// Number of bytes read since the last use.
    unused_bytes: sync::Arc<atomic::AtomicUsize>,
}

impl BodyFailure {
    /// Returns the kind of the failed read, or `None` if no read has failed. It is
    /// [`io::ErrorKind::FileTooLarge`] if too many bytes were read without a use.
    pub fn kind(&self) -> Option<io::ErrorKind> {
        self.kind.get().copied()
    }

    /// Records that what was read so far was of use.
    pub fn record_use(&self) {
        self.unused_bytes.store(0, atomic::Ordering::Relaxed);
    }
}

/// Returns a body that ends where a read of the given one fails, and a handle to that failure. Reads
/// also fail after [`MAX_UNUSED_BYTES`] without a use that the handle records.
///
/// The decoder of event streams drops an incomplete event at the end of a body, but must not be
/// given a failed read inside a line: it asserts that there is none.
pub fn split_failure(body: Body) -> (Body, BodyFailure) {
    let failure = BodyFailure::default();
    let reader = FailureReader { body, failure: failure.clone() };
    (Body::from_reader(BufReader::new(reader), None), failure)
}

/// Largest number of bytes of an event stream between two events that are of use.
pub const MAX_UNUSED_BYTES: usize = 1024 * 1024;

/// A reader that records a failed read and reports the end instead.
struct FailureReader {
    body: Body,
    failure: BodyFailure,
}

impl AsyncRead for FailureReader {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        out: &mut [u8],
    ) -> task::Poll<io::Result<usize>> {
        if self.failure.kind().is_some() {
            return task::Poll::Ready(Ok(0));
        }
        let read = futures_lite::ready!(pin::Pin::new(&mut self.body).poll_read(cx, out));
        let unused_bytes = &self.failure.unused_bytes;
        let read = read.and_then(|count| {
            let previous_bytes = unused_bytes.fetch_add(count, atomic::Ordering::Relaxed);
            match previous_bytes + count > MAX_UNUSED_BYTES {
                true => Err(io::ErrorKind::FileTooLarge.into()),
                false => Ok(count),
            }
        });
        task::Poll::Ready(read.or_else(|cause| {
            self.failure.kind.get_or_init(|| cause.kind());
            Ok(0)
        }))
    }
}
