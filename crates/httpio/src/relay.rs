//! Passes the bytes of a connection on to another one, unchanged.
//!
//! A relay that dies closes its connections, which looks like the end of the upstream's bytes. So a
//! relay sends the upstream's bytes in chunks, as of the chunked transfer coding, and the last chunk
//! only after the upstream has closed.

use std::io;
use std::net::Shutdown;
use std::time;

use async_std::future;
use async_std::io::ReadExt as _;
use async_std::io::WriteExt as _;
use async_std::net;

use crate::message;

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

/// How a relay passes the bytes of an upstream on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayFraming {
    /// In chunks. The last one says that the upstream has closed.
    Chunked,
    /// As they are. Nothing tells the upstream's close from that of the relay.
    Unmarked,
}

/// Decodes what a relay sends.
#[derive(Debug)]
pub struct RelayedReader {
    framing: RelayFraming,
    decoder: message::ChunkDecoder,
    /// Bytes that were received and not decoded yet.
    encoded: Vec<u8>,
}

impl RelayedReader {
    /// Creates a reader at the start of the upstream's bytes.
    pub fn new(framing: RelayFraming) -> Self {
        RelayedReader { framing, decoder: message::ChunkDecoder::default(), encoded: Vec::new() }
    }

    /// Appends the upstream's bytes in what was `received` to `out`.
    ///
    /// # Errors
    ///
    /// Fails if the relay sends no chunks.
    pub fn decode(&mut self, received: &[u8], out: &mut Vec<u8>) -> io::Result<()> {
        if self.framing == RelayFraming::Unmarked {
            out.extend_from_slice(received);
            return Ok(());
        }
        self.encoded.extend_from_slice(received);
        let decoded = self.decoder.decode(&self.encoded, out);
        let count = decoded.map_err(|cause| io::Error::new(io::ErrorKind::InvalidData, cause))?;
        self.encoded.drain(..count);
        Ok(())
    }

    /// Whether the relay has said that the upstream closed.
    pub fn is_ended(&self) -> bool {
        self.framing == RelayFraming::Chunked && self.decoder.is_done()
    }

    /// Reads more of the upstream's bytes; none means that the upstream has closed.
    ///
    /// # Errors
    ///
    /// Fails if the connection to the relay fails, or ends before the upstream's bytes.
    pub(crate) async fn read(&mut self, stream: &mut net::TcpStream) -> io::Result<Vec<u8>> {
        let mut out = Vec::new();
        let mut received = vec![0; BUFFER_BYTES];
        while out.is_empty() && !self.is_ended() {
            match stream.read(&mut received).await? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                count => self.decode(&received[..count], &mut out)?,
            }
        }
        Ok(out)
    }
}

/// Passes bytes on between a requester and an upstream until one of them closes; those of the upstream
/// with a framing. A full buffer stops the reading, and a reset of one connection resets the other.
pub async fn relay(requester: &net::TcpStream, upstream: &net::TcpStream, framing: RelayFraming) {
    let from_upstream = async { (copy_framed(upstream, requester, framing).await, true) };
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

/// Copies the bytes of an upstream, and marks their end if the framing does.
async fn copy_framed(
    mut from: &net::TcpStream,
    mut to: &net::TcpStream,
    framing: RelayFraming,
) -> CopyEnd {
    if framing == RelayFraming::Unmarked {
        return copy(from, to).await;
    }
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut chunk = Vec::with_capacity(BUFFER_BYTES + 16);
    loop {
        let Ok(count) = from.read(&mut buffer).await else { return CopyEnd::Failed };
        chunk.clear();
        // The chunk without bytes is the last one.
        chunk.extend_from_slice(format!("{count:x}\r\n").as_bytes());
        chunk.extend_from_slice(&buffer[..count]);
        chunk.extend_from_slice(b"\r\n");
        match (to.write_all(&chunk).await, count) {
            (Err(_), _) => return CopyEnd::Failed,
            (Ok(()), 0) => return CopyEnd::Closed,
            (Ok(()), _) => {}
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
