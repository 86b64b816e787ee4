//! A stream that yields the bytes of one request and none of the next one.
//!
//! The async-h1 decoder reads through its own buffer and discards the buffer at the end of a
//! request, including bytes of the next request on the connection. [`RequestStream`] therefore
//! yields the header section and chunked bodies byte by byte, and a body of known length up to that
//! length.

use std::io;
use std::pin;
use std::sync;
use std::task;

use futures_lite::io::AsyncRead;
use futures_lite::io::AsyncWrite;
use samphiremoor_base::quantity;
use samphiremoor_base::time;

use crate::timeout_stream;

/// Size of the read buffer of a connection.
const BUFFER_BYTES: usize = 8 * 1024;

/// A connection that is read one request at a time. Clones share the connection and its buffer.
///
/// The decoder of a request writes the interim response `100 Continue` from a task of its own. Such
/// a write is dropped once the response to the request has begun.
#[derive(Clone, Debug)]
pub struct RequestStream {
    shared: sync::Arc<sync::Mutex<SharedState>>,
    writer: timeout_stream::TimeoutStream,
    /// Number of the request that this value was cloned for.
    request: u64,
}

#[derive(Debug)]
struct SharedState {
    reader: timeout_stream::TimeoutStream,
    buffer: Box<[u8]>,
    start: usize,
    end: usize,
    max_bytes: quantity::ByteCount,
    body_remaining: u64,
    is_body_chunked: bool,
    bytes_read: u64,
    /// Number of the request whose response has not begun yet.
    open_request: Option<u64>,
}

impl RequestStream {
    /// Wraps a connection.
    pub fn new(stream: timeout_stream::TimeoutStream) -> Self {
        let state = SharedState {
            reader: stream.clone(),
            buffer: vec![0; BUFFER_BYTES].into_boxed_slice(),
            start: 0,
            end: 0,
            max_bytes: quantity::ByteCount::new(0),
            body_remaining: 0,
            is_body_chunked: false,
            bytes_read: 0,
            open_request: None,
        };
        let shared = sync::Arc::new(sync::Mutex::new(state));
        RequestStream { shared, writer: stream, request: 0 }
    }

    /// Starts the next request, of at most `max_bytes` bytes.
    ///
    /// Reads beyond `max_bytes` fail with [`io::ErrorKind::FileTooLarge`], and reads that wait longer
    /// than `read_timeout` fail with [`io::ErrorKind::TimedOut`].
    pub fn start_request(&mut self, max_bytes: quantity::ByteCount, read_timeout: time::Millis) {
        self.request += 1;
        let mut state = self.state();
        state.open_request = Some(self.request);
        state.max_bytes = max_bytes;
        state.body_remaining = 0;
        state.is_body_chunked = false;
        state.bytes_read = 0;
        state.reader.set_read_timeout(read_timeout);
    }

    /// Starts the body of the request; `length` is its size, or `None` for a chunked body.
    pub fn start_body(&self, length: Option<usize>, read_timeout: time::Millis) {
        let mut state = self.state();
        state.body_remaining = length.map_or(0, |length| length as u64);
        state.is_body_chunked = length.is_none();
        state.reader.set_read_timeout(read_timeout);
    }

    /// Starts the response to the request.
    pub fn start_response(&self) {
        self.state().open_request = None;
    }

    /// Whether any byte of the current request was read.
    pub fn has_started(&self) -> bool {
        self.state().bytes_read > 0
    }

    fn state(&self) -> sync::MutexGuard<'_, SharedState> {
        self.shared.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl SharedState {
    fn poll_fill(&mut self, cx: &mut task::Context<'_>) -> task::Poll<io::Result<()>> {
        if self.start < self.end {
            return task::Poll::Ready(Ok(()));
        }
        let reader = pin::Pin::new(&mut self.reader);
        let count = futures_lite::ready!(reader.poll_read(cx, &mut self.buffer))?;
        self.start = 0;
        self.end = count;
        task::Poll::Ready(Ok(()))
    }

    /// Copies buffered bytes to `out`: up to the end of a body of known length, else one byte.
    fn take(&mut self, out: &mut [u8]) -> usize {
        let allowed = usize::try_from(self.body_remaining.max(1)).unwrap_or(usize::MAX);
        let count = (self.end - self.start).min(out.len()).min(allowed);
        out[..count].copy_from_slice(&self.buffer[self.start..self.start + count]);
        self.start += count;
        self.body_remaining = self.body_remaining.saturating_sub(count as u64);
        self.bytes_read += count as u64;
        count
    }
}

impl AsyncRead for RequestStream {
    fn poll_read(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        out: &mut [u8],
    ) -> task::Poll<io::Result<usize>> {
        let mut state = self.state();
        if state.bytes_read >= state.max_bytes.get() {
            return task::Poll::Ready(Err(io::ErrorKind::FileTooLarge.into()));
        }
        futures_lite::ready!(state.poll_fill(cx))?;
        if state.is_body_chunked {
            // The decoder of chunked bodies returns `Pending` inside the trailer section without
            // another read, so that nothing else would wake the task.
            cx.waker().wake_by_ref();
        }
        task::Poll::Ready(Ok(state.take(out)))
    }
}

impl AsyncWrite for RequestStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let this = &mut *self;
        // The lock is held during the write, so that the response can't begin in the meantime.
        let state = this.shared.lock().unwrap_or_else(sync::PoisonError::into_inner);
        if state.open_request != Some(this.request) {
            return task::Poll::Ready(Ok(bytes.len()));
        }
        pin::Pin::new(&mut this.writer).poll_write(cx, bytes)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.writer).poll_flush(cx)
    }

    fn poll_close(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.writer).poll_close(cx)
    }
}
