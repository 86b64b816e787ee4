//! A client that keeps one connection to a server open and sends one request at a time on it.

use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;

use async_std::future;
use async_std::sync;
use samphiremoor_base::time;

use crate::boot_clock;
use crate::client;
use crate::connection;
use crate::message;
use crate::withdrawal;

/// Client of one server with a persistent connection.
#[derive(Debug)]
pub struct PersistentClient {
    address: SocketAddr,
    connect_timeout: time::Millis,
    idle: sync::Mutex<Option<connection::RawConnection>>,
}

/// Number of bytes of a body that must arrive in time if a call is limited by its progress.
const PROGRESS_BYTES: usize = 16 * 1024;

/// Timeout of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallLimit {
    /// The whole response must arrive within this time after the connection is open.
    Whole(time::Millis),
    /// The whole response must arrive within this time, and no byte of the call is sent later.
    Expiring(time::Millis),
    /// The response may be of any size as long as it goes on.
    Progress {
        /// Time within which the head must arrive.
        head: time::Millis,
        /// Time within which each 16 KiB of the body, or its end, must arrive.
        step: time::Millis,
    },
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
    /// Timeout of the call.
    pub limit: CallLimit,
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

    /// Closes the idle connection, whose next bytes may not answer the next request.
    pub async fn disconnect(&self) {
        self.idle.lock().await.take();
    }

    /// Sends a request and returns the response. A connection that failed or timed out is not reused, and
    /// what was not delivered of the call then is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the call gets no response. The error says whether the server may have received it.
    pub async fn call(
        &self,
        request: &ClientRequest<'_>,
    ) -> Result<ClientResponse, client::CallError> {
        let started_at = boot_clock::now();
        let mut idle = self.idle.lock().await;
        let mut connection = match idle.take() {
            Some(connection) if connection.is_idle().await => connection,
            _ => {
                let timeout = match request.limit {
                    CallLimit::Expiring(limit) => self.connect_timeout.min(limit),
                    CallLimit::Whole(_) | CallLimit::Progress { .. } => self.connect_timeout,
                };
                let connecting = connection::RawConnection::connect(self.address, timeout);
                connecting.await.map_err(client::CallError::NotConnected)?
            }
        };
        let limit = match request.limit {
            CallLimit::Whole(limit) | CallLimit::Progress { head: limit, .. } => limit,
            // The process may have been suspended since the call began.
            CallLimit::Expiring(limit) => limit.saturating_sub(boot_clock::now().since(started_at)),
        };
        if limit == time::Millis::default() {
            return Err(client::CallError::NotConnected(io::ErrorKind::TimedOut.into()));
        }
        withdrawal::arm(&connection.stream(), limit);
        let exchange = exchange(&mut connection, self.address, request);
        let result = match request.limit {
            CallLimit::Whole(_) | CallLimit::Expiring(_) => {
                future::timeout(limit.to_duration(), exchange).await
            }
            CallLimit::Progress { .. } => Ok(exchange.await),
        };
        match result {
            Ok(Ok((response, is_keep_alive))) => {
                withdrawal::disarm(&connection.stream());
                *idle = is_keep_alive.then_some(connection);
                Ok(response)
            }
            Ok(Err(ExchangeError::Read(cause))) => {
                Err(client::CallError::Broken(format!("{cause:?}")))
            }
            Ok(Err(ExchangeError::TimedOut)) | Err(_) => Err(client::CallError::TimedOut),
        }
    }
}

/// Why a call got no response.
enum ExchangeError {
    /// The connection failed, or the response is invalid.
    Read(connection::ReadError),
    /// The response did not go on in time.
    TimedOut,
}

impl From<connection::ReadError> for ExchangeError {
    fn from(cause: connection::ReadError) -> Self {
        ExchangeError::Read(cause)
    }
}

impl From<io::Error> for ExchangeError {
    fn from(cause: io::Error) -> Self {
        ExchangeError::Read(cause.into())
    }
}

impl From<message::MessageError> for ExchangeError {
    fn from(cause: message::MessageError) -> Self {
        ExchangeError::Read(cause.into())
    }
}

impl From<future::TimeoutError> for ExchangeError {
    fn from(_: future::TimeoutError) -> Self {
        ExchangeError::TimedOut
    }
}

/// Sends a request on a connection; also returns whether the connection can be reused.
async fn exchange(
    connection: &mut connection::RawConnection,
    address: SocketAddr,
    request: &ClientRequest<'_>,
) -> Result<(ClientResponse, bool), ExchangeError> {
    let head = match request.limit {
        CallLimit::Whole(_) | CallLimit::Expiring(_) => {
            exchange_heads(connection, address, request).await?
        }
        CallLimit::Progress { head: limit, .. } => {
            let heads = exchange_heads(connection, address, request);
            future::timeout(limit.to_duration(), heads).await??
        }
    };
    let framing = message::response_framing(&head, request.method)?;
    let body = match request.limit {
        CallLimit::Whole(_) | CallLimit::Expiring(_) => {
            connection.body(framing, connection::MAX_RESPONSE_BODY).await?
        }
        CallLimit::Progress { step, .. } => read_body(connection, framing, step).await?,
    };
    let is_keep_alive = head.is_keep_alive && framing != message::BodyFraming::UntilClose;
    Ok((
        ClientResponse { status: head.status, fields: head.fields, body },
        is_keep_alive && connection.buffered().is_empty(),
    ))
}

/// Sends a request and reads the head of the response.
async fn exchange_heads(
    connection: &mut connection::RawConnection,
    address: SocketAddr,
    request: &ClientRequest<'_>,
) -> Result<message::ResponseHead, connection::ReadError> {
    let mut head = format!("{} {} HTTP/1.1\r\nHost: {address}\r\n", request.method, request.target);
    for (name, value) in request.fields {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let _ = write!(head, "Content-Length: {}\r\n\r\n", request.body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(request.body);
    connection.write(&bytes).await?;
    connection.response_head().await
}

/// Reads a body of which each [`PROGRESS_BYTES`] must arrive within `step`.
async fn read_body(
    connection: &mut connection::RawConnection,
    framing: message::BodyFraming,
    step: time::Millis,
) -> Result<Vec<u8>, ExchangeError> {
    let mut reader = connection::WholeBodyReader::new(framing, connection::MAX_RESPONSE_BODY)?;
    loop {
        let reading = reader.read_more(connection, PROGRESS_BYTES);
        if future::timeout(step.to_duration(), reading).await?? {
            return Ok(reader.body);
        }
    }
}
