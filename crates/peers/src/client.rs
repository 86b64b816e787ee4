//! Client of another daemon's peer requests.

use std::error;
use std::fmt;
use std::net;
use std::sync;

use async_std::channel;
use async_std::future;
use async_std::task;
use samphiremoor_base::event;
use samphiremoor_base::log_event;
use samphiremoor_base::time;
use serde::Serialize;
use serde::de;

/// Why a request got no response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerError {
    /// The server can't be reached and did not receive the request.
    Unreachable,
    /// No response arrived in time on two connections; the server may have received the request.
    Timeout,
    /// The request can't be encoded or the response can't be decoded.
    Codec,
    /// The nng library failed.
    Library,
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PeerError::Unreachable => "the daemon can't be reached; check its address and process",
            PeerError::Timeout => "the daemon does not respond; it may have received the request",
            PeerError::Codec => "the message can't be decoded; run the same version on both ends",
            PeerError::Library => "the nng messaging library failed",
        })
    }
}

impl error::Error for PeerError {}

/// Client of one daemon; its connection is opened at the first call and shared by concurrent calls.
#[derive(Debug)]
pub struct PeerClient {
    address: net::SocketAddr,
    /// Time to wait for a connection, and for a response on each connection.
    timeout: time::Millis,
    /// Open connection, if there is one.
    socket: sync::Mutex<Option<nng::Socket>>,
}

impl PeerClient {
    /// Creates a client of the daemon at `address` that waits `timeout` for a connection, and for a
    /// response on each connection.
    pub fn new(address: net::SocketAddr, timeout: time::Millis) -> Self {
        PeerClient { address, timeout, socket: sync::Mutex::new(None) }
    }

    /// Returns the server's address.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Sends a request and waits for its response.
    ///
    /// If a connection is silent, the request is sent once more on a new one, so the server may
    /// receive it twice: requests must be idempotent.
    ///
    /// # Errors
    ///
    /// The error tells whether the server may have received the request.
    pub async fn call<Req, Res>(&self, request: &Req) -> Result<Res, PeerError>
    where
        Req: Serialize + Sync,
        Res: de::DeserializeOwned,
    {
        let bytes = postcard::to_stdvec(request).map_err(|_| PeerError::Codec)?;
        let response = match self.exchange(&bytes).await {
            Err(PeerError::Timeout) => {
                log_event!(event::LogEvent::PeerSilent, address = self.address);
                // The server may have received the first request, whatever the error of the second.
                self.exchange(&bytes).await.map_err(|_| PeerError::Timeout)?
            }
            result => result?,
        };
        postcard::from_bytes(&response).map_err(|_| PeerError::Codec)
    }

    /// Sends a request once and waits for its response. Closes the connection on an error.
    async fn exchange(&self, bytes: &[u8]) -> Result<Vec<u8>, PeerError> {
        let socket = self.connect().await?;
        let result = exchange_on_socket(&socket, bytes, self.timeout).await;
        if result.is_err() {
            self.drop_socket(&socket);
        }
        result
    }

    /// Returns the open connection, or opens one.
    async fn connect(&self) -> Result<nng::Socket, PeerError> {
        if let Some(socket) = self.lock_socket().as_ref() {
            return Ok(socket.clone());
        }
        let dial_task = task::spawn_blocking({
            let address = self.address;
            move || dial(address)
        });
        // The library's own connect timeout for a host that drops packets is minutes long.
        let dial_result = future::timeout(self.timeout.to_duration(), dial_task).await;
        let new_socket = dial_result.map_err(|_| PeerError::Unreachable)??;
        // A concurrent call may have opened a connection too; both calls use the one stored first.
        Ok(self.lock_socket().get_or_insert(new_socket).clone())
    }

    fn lock_socket(&self) -> sync::MutexGuard<'_, Option<nng::Socket>> {
        self.socket.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Closes a connection that failed, so that the next call opens a new one.
    fn drop_socket(&self, failed_socket: &nng::Socket) {
        let mut stored_socket = self.lock_socket();
        if stored_socket.as_ref() == Some(failed_socket) {
            *stored_socket = None;
        }
        drop(stored_socket);
        // Closing a socket blocks until the library's threads are done with it.
        let failed_socket = failed_socket.clone();
        task::spawn_blocking(move || failed_socket.close());
    }
}

fn dial(address: net::SocketAddr) -> Result<nng::Socket, PeerError> {
    let socket = nng::Socket::new(nng::Protocol::Req0).map_err(|_| PeerError::Library)?;
    socket.dial(&format!("tcp://{address}")).map_err(|_| PeerError::Unreachable)?;
    Ok(socket)
}

async fn exchange_on_socket(
    socket: &nng::Socket,
    bytes: &[u8],
    timeout: time::Millis,
) -> Result<Vec<u8>, PeerError> {
    let (sender, receiver) = channel::bounded(1);
    let context = nng::Context::new(socket).map_err(|_| PeerError::Library)?;
    let callback_context = context.clone();
    let aio = nng::Aio::new(move |aio, aio_result| {
        let result = match aio_result {
            nng::AioResult::Send(Ok(())) => match callback_context.recv(&aio) {
                Ok(()) => return,
                Err(_) => Err(PeerError::Library),
            },
            nng::AioResult::Recv(Ok(message)) => Ok(message.as_slice().to_vec()),
            _ => Err(PeerError::Timeout),
        };
        // A full channel means that this exchange already has its result.
        let _ = sender.try_send(result);
    })
    .map_err(|_| PeerError::Library)?;
    aio.set_timeout(Some(timeout.to_duration())).map_err(|_| PeerError::Library)?;
    let operation = PendingOperation { aio: Some(aio) };
    operation.start(&context, bytes)?;
    let result = receiver.recv().await.unwrap_or(Err(PeerError::Library));
    operation.finish();
    result
}

/// Pending operation of the library. It must not be freed inside its own callback, because the
/// library would wait there for that callback to return.
struct PendingOperation {
    /// `None` once the operation is finished.
    aio: Option<nng::Aio>,
}

impl PendingOperation {
    fn start(&self, context: &nng::Context, bytes: &[u8]) -> Result<(), PeerError> {
        let Some(aio) = &self.aio else { return Err(PeerError::Library) };
        context.send(aio, bytes).map_err(|_| PeerError::Library)
    }

    /// Frees a completed operation after waiting for the rest of its callback.
    fn finish(mut self) {
        if let Some(aio) = self.aio.take() {
            aio.wait();
        }
    }
}

impl Drop for PendingOperation {
    fn drop(&mut self) {
        let Some(aio) = self.aio.take() else { return };
        aio.cancel();
        // The callback may be about to start receiving, which then ends only with its timeout.
        task::spawn_blocking(move || aio.wait());
    }
}
