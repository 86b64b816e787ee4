//! A client that keeps one connection to a server and makes one call at a time on it.

use std::fmt::Write as _;
use std::net::SocketAddr;

use async_std::future;
use async_std::sync;
use samphiremoor_base::time;

use crate::client;
use crate::connection;
use crate::message;

/// Client of one server.
#[derive(Debug)]
pub struct PersistentClient {
    address: SocketAddr,
    connect_limit: time::Millis,
    kept: sync::Mutex<Option<connection::RawConnection>>,
}

/// A call.
#[derive(Clone, Debug)]
pub struct ClientRequest<'a> {
    /// The method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Further header fields.
    pub fields: &'a [(&'a str, &'a str)],
    /// The body.
    pub body: &'a [u8],
    /// Time for the whole call.
    pub limit: time::Millis,
}

/// An answer with its whole body.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// The status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

impl PersistentClient {
    /// A client that is not connected yet.
    pub fn new(address: SocketAddr, connect_limit: time::Millis) -> Self {
        PersistentClient { address, connect_limit, kept: sync::Mutex::new(None) }
    }

    /// Makes a call. A connection that failed or was silent is never used again.
    ///
    /// # Errors
    ///
    /// Says whether the server may have got the call.
    pub async fn call(
        &self,
        call: &ClientRequest<'_>,
    ) -> Result<ClientResponse, client::CallError> {
        let mut kept = self.kept.lock().await;
        let mut open = match kept.take() {
            Some(open) if open.is_idle().await => open,
            _ => connection::RawConnection::connect(self.address, self.connect_limit)
                .await
                .map_err(client::CallError::NotConnected)?,
        };
        let exchange = exchange(&mut open, self.address, call);
        match future::timeout(call.limit.to_duration(), exchange).await {
            Ok(Ok((answer, is_keep_alive))) => {
                *kept = is_keep_alive.then_some(open);
                Ok(answer)
            }
            Ok(Err(cause)) => Err(client::CallError::Broken(format!("{cause:?}"))),
            Err(_) => Err(client::CallError::TimedOut),
        }
    }
}

async fn exchange(
    open: &mut connection::RawConnection,
    address: SocketAddr,
    call: &ClientRequest<'_>,
) -> Result<(ClientResponse, bool), connection::ReadError> {
    let mut head = format!("{} {} HTTP/1.1\r\nHost: {address}\r\n", call.method, call.target);
    for (name, value) in call.fields {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let _ = write!(head, "Content-Length: {}\r\n\r\n", call.body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(call.body);
    open.write(&bytes).await?;
    let head = open.response_head().await?;
    let framing = message::response_framing(&head, call.method)?;
    let body = open.body(framing, connection::MAX_RESPONSE_BODY).await?;
    let is_keep_alive = head.is_keep_alive && framing != message::BodyFraming::UntilClose;
    Ok((ClientResponse { status: head.status, body }, is_keep_alive && open.buffered().is_empty()))
}
