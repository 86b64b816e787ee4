//! Passes the bytes of a connection on to another one, unchanged.

use std::net::Shutdown;
use std::time;

use async_std::future;
use async_std::io::ReadExt as _;
use async_std::io::WriteExt as _;
use async_std::net;

/// Size of the buffer of each direction.
const BUFFER_BYTES: usize = 16 * 1024;
/// Time after the end of an upstream's bytes in which the requester reads them and closes.
const LINGER_TIME: time::Duration = time::Duration::from_millis(500);

/// How one direction ends.
enum CopyEnd {
    /// The sender closed its side, and all bytes were passed on.
    Closed,
    /// A connection failed.
    Failed,
}

/// Passes bytes on between a requester and an upstream until one of them closes. A full buffer stops the
/// reading, and a reset of one connection resets the other.
pub async fn relay(requester: &net::TcpStream, upstream: &net::TcpStream) {
    let from_upstream = async { (copy(upstream, requester).await, true) };
    let from_requester = async { (copy(requester, upstream).await, false) };
    match futures_lite::future::or(from_upstream, from_requester).await {
        (CopyEnd::Closed, true) => {
            // Closing with unread bytes would reset the connection before the requester has read its
            // own.
            let _ = requester.shutdown(Shutdown::Write);
            let mut rest = [0; 1024];
            let mut reader = requester;
            let draining = async { while matches!(reader.read(&mut rest).await, Ok(1..)) {} };
            let _ = future::timeout(LINGER_TIME, draining).await;
        }
        // Requesters never close one side only.
        (CopyEnd::Closed, false) => {}
        (CopyEnd::Failed, _) => {
            for stream in [requester, upstream] {
                // Without a linger time, the close is a reset.
                let no_linger = Some(time::Duration::ZERO);
                if let Err(cause) = rustix::net::sockopt::set_socket_linger(stream, no_linger) {
                    log::debug!("failed to reset a relayed connection ({cause})");
                }
            }
        }
    }
}

async fn copy(mut from: &net::TcpStream, mut to: &net::TcpStream) -> CopyEnd {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        match from.read(&mut buffer).await {
            Ok(0) => return CopyEnd::Closed,
            Ok(count) if to.write_all(&buffer[..count]).await.is_ok() => {}
            _ => return CopyEnd::Failed,
        }
    }
}
