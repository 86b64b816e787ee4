//! HTTP client that opens a new connection for each request.

use std::error;
use std::fmt;
use std::io;
use std::net::SocketAddr;

use async_std::future;
use async_std::net;
use http_types::Request;
use http_types::Response;
use http_types::Url;
use samphiremoor_base::time;

use crate::relay;
use crate::response_reader;
use crate::timeout_stream;
use crate::withdrawal;

/// Timeouts of one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallLimits {
    /// Timeout for opening the connection.
    pub connect: time::Millis,
    /// Timeout for sending the request and receiving the response head.
    pub head: time::Millis,
    /// Idle timeout: the longest time without a byte of the response body.
    pub silence: time::Millis,
}

/// A connection on which no request was sent yet.
#[derive(Debug)]
pub struct ClientStream {
    /// The connection.
    pub stream: net::TcpStream,
    /// How a relay passes the bytes of the server on; `None` if the connection is direct.
    pub framing: Option<relay::RelayFraming>,
}

impl From<net::TcpStream> for ClientStream {
    fn from(stream: net::TcpStream) -> Self {
        ClientStream { stream, framing: None }
    }
}

/// Error of a call that got no response.
#[derive(Debug)]
pub enum CallError {
    /// The connection could not be opened: the other end received no part of the call.
    NotConnected(io::Error),
    /// The response timed out; the other end may have received the call.
    TimedOut,
    /// The connection failed or the response is malformed; the other end may have received the call.
    Broken(String),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::NotConnected(cause) => {
                write!(f, "can't connect ({cause}); check the address and the process behind it")
            }
            CallError::TimedOut => {
                f.write_str("the response timed out; the call may have been received")
            }
            CallError::Broken(cause) => {
                write!(f, "the connection failed ({cause}); the call may have been received")
            }
        }
    }
}

impl error::Error for CallError {}

/// Builds the URL of a path on an address.
///
/// # Errors
///
/// Fails if the path is not valid in a URL.
pub fn url(address: SocketAddr, path: &str) -> Result<Url, http_types::url::ParseError> {
    Url::parse(&format!("http://{address}{path}"))
}

/// Sends a request on a new connection and returns the response once its head is received.
///
/// The body of the response is streamed. Dropping the response closes the connection.
///
/// # Errors
///
/// Fails if the call gets no response. The error says whether the other end may have received the
/// call.
pub async fn send(
    address: SocketAddr,
    request: Request,
    limits: CallLimits,
) -> Result<Response, CallError> {
    send_on(connect(address, limits.connect).await?.into(), request, limits).await
}

/// Opens a connection to an address.
///
/// # Errors
///
/// Fails if the connection is refused or not open within `timeout`.
pub async fn connect(
    address: SocketAddr,
    timeout: time::Millis,
) -> Result<net::TcpStream, CallError> {
    let connecting = net::TcpStream::connect(address);
    match future::timeout(timeout.to_duration(), connecting).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(cause)) => Err(CallError::NotConnected(cause)),
        Err(_) => Err(CallError::NotConnected(io::ErrorKind::TimedOut.into())),
    }
}

/// Sends a request on a connection, like [`send`].
///
/// # Errors
///
/// Fails if the call gets no response. The error says whether the other end may have received the
/// call.
pub async fn send_on(
    connection: ClientStream,
    request: Request,
    limits: CallLimits,
) -> Result<Response, CallError> {
    let ClientStream { stream, framing } = connection;
    // Nagle's algorithm would delay small writes until earlier ones are acknowledged.
    stream.set_nodelay(true).map_err(CallError::NotConnected)?;
    withdrawal::arm(&stream, limits.head);
    let socket = stream.clone();
    let mut stream = timeout_stream::TimeoutStream::new(stream, limits.head, limits.head);
    let read_timeout = stream.read_timeout();
    let method = request.method();
    let exchange = async {
        let mut encoder = async_h1::client::Encoder::new(request);
        futures_lite::io::copy(&mut encoder, &mut stream).await?;
        response_reader::read(stream, framing, method).await
    };
    match future::timeout(limits.head.to_duration(), exchange).await {
        Ok(Ok(response)) => {
            withdrawal::disarm(&socket);
            // All further reads are of the body.
            read_timeout.set(limits.silence);
            Ok(response)
        }
        Ok(Err(cause)) => Err(CallError::Broken(cause.to_string())),
        Err(_) => Err(CallError::TimedOut),
    }
}
