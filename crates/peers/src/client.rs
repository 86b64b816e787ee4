//! The asking side.

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

/// Why a message got no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerError {
    /// The other end can't be reached; it did not get the message.
    Unreachable,
    /// No answer came in time on two connections; the other end may have got the message.
    Timeout,
    /// The message or its answer can't be encoded or decoded.
    Codec,
    /// The library failed.
    Library,
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PeerError::Unreachable => "the daemon can't be reached; check its address and process",
            PeerError::Timeout => "the daemon does not answer; it may have got the message",
            PeerError::Codec => "the message can't be decoded; run the same version on both ends",
            PeerError::Library => "the messaging library failed; see the log line before",
        })
    }
}

impl error::Error for PeerError {}

/// A connection to one daemon, dialled at the first call and shared by concurrent calls.
#[derive(Debug)]
pub struct PeerClient {
    address: net::SocketAddr,
    timeout: time::Millis,
    socket: sync::Mutex<Option<nng::Socket>>,
}

impl PeerClient {
    /// A link to the daemon at `address`; an answer is awaited for `timeout` on each connection.
    pub fn new(address: net::SocketAddr, timeout: time::Millis) -> Self {
        PeerClient { address, timeout, socket: sync::Mutex::new(None) }
    }

    /// The other end's address.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Sends a message and awaits its answer.
    ///
    /// A silent connection is replaced and the message sent once more, so the other end may get it
    /// twice: messages must be idempotent.
    ///
    /// # Errors
    ///
    /// Says whether the other end may have got the message.
    pub async fn call<Q, A>(&self, question: &Q) -> Result<A, PeerError>
    where
        Q: Serialize + Sync,
        A: de::DeserializeOwned,
    {
        let bytes = postcard::to_stdvec(question).map_err(|_| PeerError::Codec)?;
        let answer = match self.exchange(&bytes).await {
            Err(PeerError::Timeout) => {
                log_event!(event::LogEvent::PeerSilent, address = self.address);
                // The other end may have got the first message, whatever becomes of the second.
                self.exchange(&bytes).await.map_err(|_| PeerError::Timeout)?
            }
            settled => settled?,
        };
        postcard::from_bytes(&answer).map_err(|_| PeerError::Codec)
    }

    async fn exchange(&self, bytes: &[u8]) -> Result<Vec<u8>, PeerError> {
        let socket = self.connected().await?;
        let settled = exchange_on(&socket, bytes, self.timeout).await;
        if settled.is_err() {
            self.forget(&socket);
        }
        settled
    }

    async fn connected(&self) -> Result<nng::Socket, PeerError> {
        if let Some(socket) = self.slot().as_ref() {
            return Ok(socket.clone());
        }
        let dialling = task::spawn_blocking({
            let address = self.address;
            move || dial(address)
        });
        // The library's own limit for a host that drops packets is minutes long.
        let dialled = future::timeout(self.timeout.to_duration(), dialling).await;
        let fresh = dialled.map_err(|_| PeerError::Unreachable)??;
        // A concurrent call may have dialled too; the first connection serves both.
        Ok(self.slot().get_or_insert(fresh).clone())
    }

    fn slot(&self) -> sync::MutexGuard<'_, Option<nng::Socket>> {
        self.socket.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn forget(&self, failed: &nng::Socket) {
        let mut slot = self.slot();
        if slot.as_ref() == Some(failed) {
            *slot = None;
        }
        drop(slot);
        // Closing waits for the library's threads.
        let failed = failed.clone();
        task::spawn_blocking(move || failed.close());
    }
}

fn dial(address: net::SocketAddr) -> Result<nng::Socket, PeerError> {
    let socket = nng::Socket::new(nng::Protocol::Req0).map_err(|_| PeerError::Library)?;
    socket.dial(&format!("tcp://{address}")).map_err(|_| PeerError::Unreachable)?;
    Ok(socket)
}

async fn exchange_on(
    socket: &nng::Socket,
    bytes: &[u8],
    timeout: time::Millis,
) -> Result<Vec<u8>, PeerError> {
    let (sender, receiver) = channel::bounded(1);
    let context = nng::Context::new(socket).map_err(|_| PeerError::Library)?;
    let callback_context = context.clone();
    let aio = nng::Aio::new(move |aio, result| {
        let settled = match result {
            nng::AioResult::Send(Ok(())) => match callback_context.recv(&aio) {
                Ok(()) => return,
                Err(_) => Err(PeerError::Library),
            },
            nng::AioResult::Recv(Ok(message)) => Ok(message.as_slice().to_vec()),
            _ => Err(PeerError::Timeout),
        };
        // A full channel means that this exchange is settled already.
        let _ = sender.try_send(settled);
    })
    .map_err(|_| PeerError::Library)?;
    aio.set_timeout(Some(timeout.to_duration())).map_err(|_| PeerError::Library)?;
    let operation = OpenOperation { aio: Some(aio) };
    operation.start(&context, bytes)?;
    let settled = receiver.recv().await.unwrap_or(Err(PeerError::Library));
    operation.finish();
    settled
}

/// An operation of the library, which must not be freed inside its own callback: the library would
/// wait there for the end of that callback.
struct OpenOperation {
    aio: Option<nng::Aio>,
}

impl OpenOperation {
    fn start(&self, context: &nng::Context, bytes: &[u8]) -> Result<(), PeerError> {
        let Some(aio) = &self.aio else { return Err(PeerError::Library) };
        context.send(aio, bytes).map_err(|_| PeerError::Library)
    }

    /// Frees a settled operation; waits for the few steps that its callback has left.
    fn finish(mut self) {
        if let Some(aio) = self.aio.take() {
            aio.wait();
        }
    }
}

impl Drop for OpenOperation {
    fn drop(&mut self) {
        let Some(aio) = self.aio.take() else { return };
        aio.cancel();
        // The callback may be about to receive, and ends only with its timeout.
        task::spawn_blocking(move || aio.wait());
    }
}
