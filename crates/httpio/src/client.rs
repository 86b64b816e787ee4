//! The client side: one request on a fresh connection.

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

use crate::timeout_stream;

/// Time limits of one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallLimits {
    /// Time to connect.
    pub connect: time::Millis,
    /// Time to the head of the answer.
    pub head: time::Millis,
    /// Time without a byte of the answer's body after which the connection is silent.
    pub silence: time::Millis,
}

/// Why a call has no answer.
#[derive(Debug)]
pub enum CallError {
    /// No connection was made: the other end got no byte of the call.
    NotConnected(io::Error),
    /// The connection was silent for longer than the limit; the other end may have got the call.
    TimedOut,
    /// The connection failed or its answer is malformed; the other end may have got the call.
    Broken(String),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::NotConnected(cause) => {
                write!(f, "no connection ({cause}); check the address and the process behind it")
            }
            CallError::TimedOut => {
                f.write_str("no answer in time; the call may have been received")
            }
            CallError::Broken(cause) => {
                write!(f, "the connection failed ({cause}); the call may have been received")
            }
        }
    }
}

impl error::Error for CallError {}

/// The URL of a path on an address.
///
/// # Errors
///
/// Fails where the path makes no URL.
pub fn url(address: SocketAddr, path: &str) -> Result<Url, http_types::url::ParseError> {
    Url::parse(&format!("http://{address}{path}"))
}

/// Sends a request on a fresh connection and returns the answer's head; the body streams.
///
/// Dropping the answer closes the connection.
///
/// # Errors
///
/// Says whether the other end may have got the call.
pub async fn send(
    address: SocketAddr,
    request: Request,
    limits: CallLimits,
) -> Result<Response, CallError> {
    let connecting = net::TcpStream::connect(address);
    let stream = match future::timeout(limits.connect.to_duration(), connecting).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(cause)) => return Err(CallError::NotConnected(cause)),
        Err(_) => return Err(CallError::NotConnected(io::ErrorKind::TimedOut.into())),
    };
    // Without this small writes wait for the acknowledgement of the one before.
    stream.set_nodelay(true).map_err(CallError::NotConnected)?;
    let guarded = timeout_stream::TimeoutStream::new(stream, limits.head, limits.head);
    let read_limit = guarded.read_limit();
    let exchange = async_h1::connect(guarded, request);
    match future::timeout(limits.head.to_duration(), exchange).await {
        Ok(Ok(response)) => {
            // From here on reads are those of the body.
            read_limit.set(limits.silence);
            Ok(response)
        }
        Ok(Err(cause)) => Err(CallError::Broken(cause.to_string())),
        Err(_) => Err(CallError::TimedOut),
    }
}
