//! A TCP stream with read and write timeouts.

use std::future::Future as _;
use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;

use async_std::net;
use futures_lite::io::AsyncRead;
use futures_lite::io::AsyncWrite;
use samphiremoor_base::time;

/// A TCP stream whose reads and writes fail with [`io::ErrorKind::TimedOut`] if they make no progress.
#[derive(Debug)]
pub struct TimeoutStream {
    stream: net::TcpStream,
    read_timeout: ReadTimeout,
    write_timeout: time::Millis,
    read_timer: Option<async_io::Timer>,
    write_timer: Option<async_io::Timer>,
}

/// Handle to the read timeout of a stream. A change applies from the next wait on.
#[derive(Clone, Debug)]
pub struct ReadTimeout(sync::Arc<atomic::AtomicU64>);

impl ReadTimeout {
    fn new(timeout: time::Millis) -> Self {
        ReadTimeout(sync::Arc::new(atomic::AtomicU64::new(timeout.get())))
    }

    /// Changes the timeout.
    pub fn set(&self, timeout: time::Millis) {
        self.0.store(timeout.get(), atomic::Ordering::Relaxed);
    }

    fn get(&self) -> time::Millis {
        time::Millis::new(self.0.load(atomic::Ordering::Relaxed))
    }
}

impl TimeoutStream {
    /// Wraps a stream with a timeout for each direction.
    pub fn new(
        stream: net::TcpStream,
        read_timeout: time::Millis,
        write_timeout: time::Millis,
    ) -> Self {
        let read_timeout = ReadTimeout::new(read_timeout);
        TimeoutStream { stream, read_timeout, write_timeout, read_timer: None, write_timer: None }
    }

    /// Changes the read timeout, and restarts it for a read in progress.
    pub fn set_read_timeout(&mut self, timeout: time::Millis) {
        self.read_timeout.set(timeout);
        self.read_timer = None;
    }

    /// Returns a handle that changes the read timeout while another value owns the stream.
    pub fn read_timeout(&self) -> ReadTimeout {
        self.read_timeout.clone()
    }

    /// Returns the wrapped stream.
    pub fn inner(&self) -> &net::TcpStream {
        &self.stream
    }
}

impl Clone for TimeoutStream {
    fn clone(&self) -> Self {
        let stream = self.stream.clone();
        TimeoutStream::new(stream, self.read_timeout.get(), self.write_timeout)
    }
}

/// Returns a ready result unchanged; fails a pending one once the timer has expired.
fn with_timeout<T>(
    polled: task::Poll<io::Result<T>>,
    timer: &mut Option<async_io::Timer>,
    timeout: time::Millis,
    cx: &mut task::Context<'_>,
) -> task::Poll<io::Result<T>> {
    if polled.is_ready() {
        *timer = None;
        return polled;
    }
    let timer = timer.get_or_insert_with(|| async_io::Timer::after(timeout.to_duration()));
    match pin::Pin::new(timer).poll(cx) {
        task::Poll::Ready(_) => task::Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
        task::Poll::Pending => task::Poll::Pending,
    }
}

impl AsyncRead for TimeoutStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut [u8],
    ) -> task::Poll<io::Result<usize>> {
        let this = &mut *self;
        let polled = pin::Pin::new(&mut this.stream).poll_read(cx, buf);
        with_timeout(polled, &mut this.read_timer, this.read_timeout.get(), cx)
    }
}

impl AsyncWrite for TimeoutStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let this = &mut *self;
        let polled = pin::Pin::new(&mut this.stream).poll_write(cx, buf);
        with_timeout(polled, &mut this.write_timer, this.write_timeout, cx)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_close(cx)
    }
}
