//! A client that keeps one connection to a server open and sends one request at a time on it.

use std::fmt::Write as _;
use std::net::SocketAddr;

use async_std::future;
use async_std::sync;
use samphiremoor_base::time;

use crate::client;
use crate::connection;
use crate::message;

/// Client of one server with a persistent connection.
#[derive(Debug)]
pub struct PersistentClient {
    address: SocketAddr,
    connect_timeout: time::Millis,
    idle: sync::Mutex<Option<connection::RawConnection>>,
}

/// A request.
#[derive(Clone, Debug)]
pub struct ClientRequest<'a> {
    /// The method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Header fields besides `Host` and `Content-Length`.
    pub fields: &'a [(&'a str, &'a str)],
    /// The body.
    pub body: &'a [u8],
    /// Timeout for the whole call.
    pub limit: time::Millis,
}

/// A response with its whole body.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// The status code.
    pub status: u16,
    /// The header fields.
    pub fields: message::HeaderFields,
    /// The body.
    pub body: Vec<u8>,
}

impl PersistentClient {
    /// Creates a client. The first call opens the connection.
    pub fn new(address: SocketAddr, connect_timeout: time::Millis) -> Self {
        PersistentClient { address, connect_timeout, idle: sync::Mutex::new(None) }
    }

    /// Sends a request and returns the response. A connection that failed or timed out is not reused.
    ///
    /// # Errors
    ///
    /// Fails if the call gets no response. The error says whether the server may have received it.
    pub async fn call(
        &self,
        request: &ClientRequest<'_>,
    ) -> Result<ClientResponse, client::CallError> {
        let mut idle = self.idle.lock().await;
        let mut connection = match idle.take() {
            Some(connection) if connection.is_idle().await => connection,
            _ => connection::RawConnection::connect(self.address, self.connect_timeout)
                .await
                .map_err(client::CallError::NotConnected)?,
        };
        let exchange = exchange(&mut connection, self.address, request);
        match future::timeout(request.limit.to_duration(), exchange).await {
            Ok(Ok((response, is_keep_alive))) => {
                *idle = is_keep_alive.then_some(connection);
                Ok(response)
            }
            Ok(Err(cause)) => Err(client::CallError::Broken(format!("{cause:?}"))),
            Err(_) => Err(client::CallError::TimedOut),
        }
    }
}

/// Sends a request on a connection; also returns whether the connection can be reused.
async fn exchange(
    connection: &mut connection::RawConnection,
    address: SocketAddr,
    request: &ClientRequest<'_>,
) -> Result<(ClientResponse, bool), connection::ReadError> {
    let mut head = format!("{} {} HTTP/1.1\r\nHost: {address}\r\n", request.method, request.target);
    for (name, value) in request.fields {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let _ = write!(head, "Content-Length: {}\r\n\r\n", request.body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(request.body);
    connection.write(&bytes).await?;
    let head = connection.response_head().await?;
    let framing = message::response_framing(&head, request.method)?;
    let body = connection.body(framing, connection::MAX_RESPONSE_BODY).await?;
    let is_keep_alive = head.is_keep_alive && framing != message::BodyFraming::UntilClose;
    Ok((
        ClientResponse { status: head.status, fields: head.fields, body },
        is_keep_alive && connection.buffered().is_empty(),
    ))
}
