//! A TCP stream that fails instead of waiting for ever.

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

/// A stream whose reads and writes end with [`io::ErrorKind::TimedOut`] after a time without progress.
#[derive(Debug)]
pub struct TimeoutStream {
    stream: net::TcpStream,
    read_limit: ReadTimeout,
    write_timeout: time::Millis,
    read_timer: Option<async_io::Timer>,
    write_timer: Option<async_io::Timer>,
}

/// A time that a read may wait for progress; a change holds from the next wait on.
#[derive(Clone, Debug)]
pub struct ReadTimeout(sync::Arc<atomic::AtomicU64>);

impl ReadTimeout {
    fn new(limit: time::Millis) -> Self {
        ReadTimeout(sync::Arc::new(atomic::AtomicU64::new(limit.get())))
    }

    /// Changes the limit.
    pub fn set(&self, limit: time::Millis) {
        self.0.store(limit.get(), atomic::Ordering::Relaxed);
    }

    fn get(&self) -> time::Millis {
        time::Millis::new(self.0.load(atomic::Ordering::Relaxed))
    }
}

impl TimeoutStream {
    /// Guards a stream with one limit for each direction.
    pub fn new(
        stream: net::TcpStream,
        read_timeout: time::Millis,
        write_timeout: time::Millis,
    ) -> Self {
        let read_limit = ReadTimeout::new(read_timeout);
        TimeoutStream { stream, read_limit, write_timeout, read_timer: None, write_timer: None }
    }

    /// Changes the time that a read may wait for progress.
    pub fn set_read_timeout(&mut self, limit: time::Millis) {
        self.read_limit.set(limit);
        self.read_timer = None;
    }

    /// The time that a read may wait for progress, to be changed while another owns the stream.
    pub fn read_limit(&self) -> ReadTimeout {
        self.read_limit.clone()
    }

    /// The stream below.
    pub fn inner(&self) -> &net::TcpStream {
        &self.stream
    }
}

impl Clone for TimeoutStream {
    fn clone(&self) -> Self {
        let stream = self.stream.clone();
        TimeoutStream::new(stream, self.read_limit.get(), self.write_timeout)
    }
}

/// Passes on a ready result; while pending, fails once the timer has run out.
fn bounded<T>(
    polled: task::Poll<io::Result<T>>,
    timer: &mut Option<async_io::Timer>,
    limit: time::Millis,
    cx: &mut task::Context<'_>,
) -> task::Poll<io::Result<T>> {
    if polled.is_ready() {
        *timer = None;
        return polled;
    }
    let timer = timer.get_or_insert_with(|| async_io::Timer::after(limit.to_duration()));
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
        bounded(polled, &mut this.read_timer, this.read_limit.get(), cx)
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
        bounded(polled, &mut this.write_timer, this.write_timeout, cx)
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
