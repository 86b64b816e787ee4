//! A TCP connection with a read buffer, for raw HTTP/1.1 messages.

use std::io;
use std::net::SocketAddr;

use async_std::future;
use async_std::io::ReadExt as _;
use async_std::io::WriteExt as _;
use async_std::net;
use samphiremoor_base::quantity;
use samphiremoor_base::time;

use crate::message;

/// Bytes that are read at once.
const READ_BYTES: usize = 8 * 1024;
/// Largest head of an answer.
const ANSWER_HEAD: quantity::ByteCount = quantity::ByteCount::new(64 * 1024);
/// Largest body of a plain answer.
pub const MAX_RESPONSE_BODY: quantity::ByteCount = quantity::ByteCount::new(16 * 1024 * 1024);
/// Bytes that a peer may send ahead of its turn before they are left in the socket.
const AHEAD_BYTES: usize = 64 * 1024;

/// A connection and what was read from it ahead.
#[derive(Debug)]
pub struct RawConnection {
    stream: net::TcpStream,
    /// Room for what is read; a read that is given up midway leaves no bytes in it.
    buffer: Vec<u8>,
    start: usize,
    end: usize,
}

/// Why a message can't be read.
#[derive(Debug)]
pub enum ReadError {
    /// The connection ended before the message's first byte.
    Closed,
    /// The connection failed or ended inside the message.
    Broken(io::Error),
    /// The bytes are no message.
    Message(message::MessageError),
    /// The body is larger than the limit.
    BodyTooLarge,
}

impl From<io::Error> for ReadError {
    fn from(cause: io::Error) -> Self {
        ReadError::Broken(cause)
    }
}

impl From<message::MessageError> for ReadError {
    fn from(cause: message::MessageError) -> Self {
        ReadError::Message(cause)
    }
}

impl RawConnection {
    /// Wraps an accepted connection.
    ///
    /// # Errors
    ///
    /// Fails where the socket takes no options.
    pub fn new(stream: net::TcpStream) -> io::Result<Self> {
        // Without this small writes wait for the acknowledgement of the one before.
        stream.set_nodelay(true)?;
        Ok(RawConnection { stream, buffer: Vec::new(), start: 0, end: 0 })
    }

    /// Connects to an address within a time.
    ///
    /// # Errors
    ///
    /// Fails where nobody listens there or the time is over.
    pub async fn connect(address: SocketAddr, limit: time::Millis) -> io::Result<Self> {
        let connecting = net::TcpStream::connect(address);
        let connected = future::timeout(limit.to_duration(), connecting).await;
        RawConnection::new(connected.map_err(|_| io::ErrorKind::TimedOut)??)
    }

    /// The socket, to write while another part reads.
    pub fn stream(&self) -> net::TcpStream {
        self.stream.clone()
    }

    /// Bytes that were read and not taken yet.
    pub fn buffered(&self) -> &[u8] {
        &self.buffer[self.start..self.end]
    }

    /// Takes bytes off the buffer.
    pub fn consume(&mut self, count: usize) {
        self.start += count;
        if self.start < self.end {
            return;
        }
        self.start = 0;
        self.end = 0;
        if self.buffer.len() > READ_BYTES {
            self.buffer.truncate(READ_BYTES);
            self.buffer.shrink_to_fit();
        }
    }

    /// Reads more bytes; 0 at the end of the connection.
    ///
    /// # Errors
    ///
    /// Fails as the socket does.
    pub async fn fill(&mut self) -> io::Result<usize> {
        if self.start > 0 {
            self.buffer.copy_within(self.start..self.end, 0);
            self.end -= self.start;
            self.start = 0;
        }
        if self.buffer.len() < self.end + READ_BYTES / 2 {
            self.buffer.resize(self.end + READ_BYTES, 0);
        }
        let read = self.stream.read(&mut self.buffer[self.end..]).await?;
        self.end += read;
        Ok(read)
    }

    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// Fails as the socket does.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Waits for the other end to close, and keeps what it sends before.
    pub async fn wait_closed(&mut self) {
        loop {
            if self.buffered().len() >= AHEAD_BYTES {
                // The rest stays in the socket until it is its turn.
                return std::future::pending().await;
            }
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    /// Whether nothing came since the last message: neither bytes nor the end of the connection.
    pub async fn is_idle(&self) -> bool {
        if !self.buffered().is_empty() {
            return false;
        }
        let mut byte = [0];
        futures_lite::future::poll_once(self.stream.peek(&mut byte)).await.is_none()
    }

    /// Reads the head of a request.
    ///
    /// # Errors
    ///
    /// Fails where the connection ends or the bytes are no head.
    pub async fn request_head(
        &mut self,
        limit: quantity::ByteCount,
    ) -> Result<message::RequestHead, ReadError> {
        loop {
            if let Some((head, length)) = message::parse_request(self.buffered(), limit)? {
                self.consume(length);
                return Ok(head);
            }
            self.fill_head().await?;
        }
    }

    /// Reads the head of an answer; interim answers are passed over.
    ///
    /// # Errors
    ///
    /// Fails where the connection ends or the bytes are no head.
    pub async fn response_head(&mut self) -> Result<message::ResponseHead, ReadError> {
        loop {
            if let Some((head, length)) = message::parse_response(self.buffered(), ANSWER_HEAD)? {
                self.consume(length);
                if head.status >= 200 {
                    return Ok(head);
                }
                continue;
            }
            self.fill_head().await?;
        }
    }

    async fn fill_head(&mut self) -> Result<(), ReadError> {
        if self.fill().await? > 0 {
            return Ok(());
        }
        match self.buffered().is_empty() {
            true => Err(ReadError::Closed),
            false => Err(ReadError::Broken(io::ErrorKind::UnexpectedEof.into())),
        }
    }

    /// Reads a whole body of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails where the body is larger, malformed or cut short.
    pub async fn body(
        &mut self,
        framing: message::BodyFraming,
        limit: quantity::ByteCount,
    ) -> Result<Vec<u8>, ReadError> {
        let mut reader = BodyReader::new(framing);
        let mut body = Vec::new();
        if let message::BodyFraming::Length(length) = framing
            && length > limit.get()
        {
            return Err(ReadError::BodyTooLarge);
        }
        while !reader.read(self, &mut body).await? {
            if body.len() as u64 > limit.get() {
                return Err(ReadError::BodyTooLarge);
            }
        }
        match body.len() as u64 > limit.get() {
            true => Err(ReadError::BodyTooLarge),
            false => Ok(body),
        }
    }
}

/// Reads one body piece by piece.
#[derive(Clone, Copy, Debug)]
pub struct BodyReader {
    framing: message::BodyFraming,
    left: u64,
    decoder: message::ChunkDecoder,
}

impl BodyReader {
    /// A reader of a body that was not begun.
    pub fn new(framing: message::BodyFraming) -> Self {
        let left = match framing {
            message::BodyFraming::Length(length) => length,
            _ => 0,
        };
        BodyReader { framing, left, decoder: message::ChunkDecoder::default() }
    }

    /// Takes what was read already, else waits for more, and appends it; true at the body's end.
    ///
    /// # Errors
    ///
    /// Fails where the body is malformed or cut short.
    pub async fn read(
        &mut self,
        connection: &mut RawConnection,
        out: &mut Vec<u8>,
    ) -> Result<bool, ReadError> {
        let is_first = !connection.buffered().is_empty();
        if self.take(connection, out)? {
            return Ok(true);
        }
        // What came together with the head is passed on before more is waited for.
        if is_first && connection.buffered().is_empty() {
            return Ok(false);
        }
        if connection.fill().await? == 0 {
            return match self.framing {
                message::BodyFraming::UntilClose => Ok(true),
                _ => Err(ReadError::Broken(io::ErrorKind::UnexpectedEof.into())),
            };
        }
        self.take(connection, out)
    }

    /// Takes what was read already; true at the body's end.
    fn take(
        &mut self,
        connection: &mut RawConnection,
        out: &mut Vec<u8>,
    ) -> Result<bool, ReadError> {
        let pending = connection.buffered();
        let taken = match self.framing {
            message::BodyFraming::Chunked => self.decoder.decode(pending, out)?,
            message::BodyFraming::UntilClose => {
                out.extend_from_slice(pending);
                pending.len()
            }
            message::BodyFraming::Length(_) => {
                let count = pending.len().min(usize::try_from(self.left).unwrap_or(usize::MAX));
                out.extend_from_slice(&pending[..count]);
                self.left -= count as u64;
                count
            }
        };
        connection.consume(taken);
        Ok(match self.framing {
            message::BodyFraming::Chunked => self.decoder.is_done(),
            message::BodyFraming::Length(_) => self.left == 0,
            message::BodyFraming::UntilClose => false,
        })
    }
}
