//! Server of other daemons' peer requests.

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

/// Number of requests that one server processes at the same time.
const CONTEXT_COUNT: usize = 64;

/// Largest request that a server accepts, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Future of a response.
pub type ResponseFuture<R> = pin::Pin<Box<dyn future::Future<Output = R> + Send>>;

/// Handles the requests of other daemons.
pub trait PeerHandler: Send + Sync + 'static {
    /// Request message.
    type Request: de::DeserializeOwned + Send;
    /// Response message.
    type Response: Serialize + Send;

    /// Computes the response. A request can arrive twice, so handling must be idempotent.
    fn handle(&self, request: Self::Request) -> ResponseFuture<Self::Response>;
}

/// The server failed to start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenError {
    /// Address to listen on.
    pub address: net::SocketAddr,
    /// Error of the nng library.
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
    // Dropping an operation would stop its worker, so they are kept here.
    workers: Vec<(nng::Context, nng::Aio)>,
    is_stopped: sync::Arc<atomic::AtomicBool>,
}

impl PeerServer {
    /// Starts to listen on `address` and to respond through `handler`.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use or the library fails.
    pub fn start<H: PeerHandler>(
        address: net::SocketAddr,
        handler: sync::Arc<H>,
    ) -> Result<PeerServer, ListenError> {
        let listen_error = |cause| ListenError { address, cause };
        let socket = nng::Socket::new(nng::Protocol::Rep0).map_err(listen_error)?;
        let is_stopped = sync::Arc::new(atomic::AtomicBool::new(false));
        let mut workers = Vec::with_capacity(CONTEXT_COUNT);
        for _ in 0..CONTEXT_COUNT {
            let context = nng::Context::new(&socket).map_err(listen_error)?;
            let aio = new_worker(context.clone(), handler.clone(), is_stopped.clone())
                .map_err(listen_error)?;
            workers.push((context, aio));
        }
        let listener =
            nng::Listener::new(&socket, &format!("tcp://{address}")).map_err(listen_error)?;
        for (context, aio) in &workers {
            context.recv(aio).map_err(listen_error)?;
        }
        Ok(PeerServer { socket, listener, workers, is_stopped })
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        self.is_stopped.store(true, atomic::Ordering::Release);
        // The address can be bound again when this returns.
        self.listener.close();
        // Closing the socket can block forever, or fail, while responses are being computed. A
        // process has one server, so its contexts and socket are leaked until the process exits.
        mem::forget(mem::take(&mut self.workers));
        mem::forget(self.socket.clone());
    }
}

/// Creates an operation whose callback receives requests one after the other and responds to them.
fn new_worker<H: PeerHandler>(
    context: nng::Context,
    handler: sync::Arc<H>,
    is_stopped: sync::Arc<atomic::AtomicBool>,
) -> Result<nng::Aio, nng::Error> {
    nng::Aio::new(move |aio, result| match result {
        // Clients run into their timeout and connect again.
        _ if is_stopped.load(atomic::Ordering::Acquire) => {}
        nng::AioResult::Send(_) | nng::AioResult::Sleep(_) => receive_next(&context, &aio),
        nng::AioResult::Recv(Ok(message)) => handle_message(&context, &aio, &handler, &message),
        // The socket is closed, so the worker ends.
        nng::AioResult::Recv(Err(_)) => {}
    })
}

fn receive_next(context: &nng::Context, aio: &nng::Aio) {
    // Fails only if the socket is closed, which ends the worker.
    let _ = context.recv(aio);
}

/// Handles a request and sends the response. An invalid request is dropped.
fn handle_message<H: PeerHandler>(
    context: &nng::Context,
    aio: &nng::Aio,
    handler: &sync::Arc<H>,
    message: &nng::Message,
) {
    if message.len() > MAX_MESSAGE_BYTES {
        return receive_next(context, aio);
    }
    let Ok(request) = postcard::from_bytes(message.as_slice()) else {
        return receive_next(context, aio);
    };
    let future = handler.handle(request);
    let context = context.clone();
    let aio = aio.clone();
    task::spawn(async move {
        let response = future.await;
        let is_sent = match postcard::to_stdvec(&response) {
            Ok(bytes) => context.send(&aio, bytes.as_slice()).is_ok(),
            Err(_) => false,
        };
        if !is_sent {
            receive_next(&context, &aio);
        }
    });
}
