//! The answering side.

use std::error;
use std::fmt;
use std::future;
use std::mem;
use std::net;
use std::pin;
use std::sync;
use std::sync::atomic;

use async_std::task;
use serde::Serialize;
use serde::de;

/// Messages that one server works on at the same time.
const CONTEXT_COUNT: usize = 64;

/// Largest message that a server takes, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// An answer that is being made.
pub type ResponseFuture<A> = pin::Pin<Box<dyn future::Future<Output = A> + Send>>;

/// Answers the messages of other daemons.
pub trait PeerHandler: Send + Sync + 'static {
    /// Message that is asked.
    type Request: de::DeserializeOwned + Send;
    /// Message that is answered.
    type Response: Serialize + Send;

    /// Makes the answer. Messages can come twice and must be idempotent.
    fn handle(&self, question: Self::Request) -> ResponseFuture<Self::Response>;
}

/// The server can't be started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenError {
    /// The address that was asked for.
    pub address: net::SocketAddr,
    /// The library's reason.
    pub cause: nng::Error,
}

impl fmt::Display for ListenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "can't listen on {} ({}); set a free peer address", self.address, self.cause)
    }
}

impl error::Error for ListenError {}

/// A running server; it stops when dropped.
#[derive(Debug)]
pub struct PeerServer {
    socket: nng::Socket,
    listener: nng::Listener,
    // Dropping an operation would end its worker.
    workers: Vec<(nng::Context, nng::Aio)>,
    ended: sync::Arc<atomic::AtomicBool>,
}

impl PeerServer {
    /// Listens on `address` and answers through `handler`.
    ///
    /// # Errors
    ///
    /// Fails where the address is taken or the library fails.
    pub fn start<H: PeerHandler>(
        address: net::SocketAddr,
        handler: sync::Arc<H>,
    ) -> Result<PeerServer, ListenError> {
        let fail = |cause| ListenError { address, cause };
        let socket = nng::Socket::new(nng::Protocol::Rep0).map_err(fail)?;
        let ended = sync::Arc::new(atomic::AtomicBool::new(false));
        let mut workers = Vec::with_capacity(CONTEXT_COUNT);
        for _ in 0..CONTEXT_COUNT {
            let context = nng::Context::new(&socket).map_err(fail)?;
            let aio = worker(context.clone(), handler.clone(), ended.clone()).map_err(fail)?;
            workers.push((context, aio));
        }
        let listener = nng::Listener::new(&socket, &format!("tcp://{address}")).map_err(fail)?;
        for (context, aio) in &workers {
            context.recv(aio).map_err(fail)?;
        }
        Ok(PeerServer { socket, listener, workers, ended })
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        self.ended.store(true, atomic::Ordering::Release);
        // The address is free again when this returns.
        self.listener.close();
        // The library's close can wait for ever, or fail, while answers are being made. A process
        // has one server, so what is left of it stays until the process ends.
        mem::forget(mem::take(&mut self.workers));
        mem::forget(self.socket.clone());
    }
}

fn worker<H: PeerHandler>(
    context: nng::Context,
    handler: sync::Arc<H>,
    ended: sync::Arc<atomic::AtomicBool>,
) -> Result<nng::Aio, nng::Error> {
    nng::Aio::new(move |aio, result| match result {
        // Callers see silence and dial anew.
        _ if ended.load(atomic::Ordering::Acquire) => {}
        nng::AioResult::Send(_) | nng::AioResult::Sleep(_) => receive_next(&context, &aio),
        nng::AioResult::Recv(Ok(message)) => answer_one(&context, &aio, &handler, &message),
        // The socket is closed: the worker ends.
        nng::AioResult::Recv(Err(_)) => {}
    })
}

fn receive_next(context: &nng::Context, aio: &nng::Aio) {
    // Fails only when the socket is closed, and then the worker ends.
    let _ = context.recv(aio);
}

fn answer_one<H: PeerHandler>(
    context: &nng::Context,
    aio: &nng::Aio,
    handler: &sync::Arc<H>,
    message: &nng::Message,
) {
    if message.len() > MAX_MESSAGE_BYTES {
        return receive_next(context, aio);
    }
    let Ok(question) = postcard::from_bytes(message.as_slice()) else {
        return receive_next(context, aio);
    };
    let future = handler.handle(question);
    let context = context.clone();
    let aio = aio.clone();
    task::spawn(async move {
        let answer = future.await;
        let sent = match postcard::to_stdvec(&answer) {
            Ok(bytes) => context.send(&aio, bytes.as_slice()).is_ok(),
            Err(_) => false,
        };
        if !sent {
            receive_next(&context, &aio);
        }
    });
}
