//! A TCP connection with a read buffer that carries raw HTTP/1.1 messages.

use std::io;
use std::net::SocketAddr;
use std::pin;

use async_std::future;
use async_std::io::ReadExt as _;
use async_std::io::WriteExt as _;
use async_std::net;
use samphiremoor_base::pause_watch;
use samphiremoor_base::quantity;
use samphiremoor_base::time;

use crate::boot_clock;
use crate::message;
use crate::relay;

/// Size of the read buffer of an idle connection, and the step by which the buffer grows.
const READ_BUFFER_BYTES: usize = 8 * 1024;
/// Maximum size of a response head, and of the interim responses before it.
pub(crate) const MAX_RESPONSE_HEAD: quantity::ByteCount = quantity::ByteCount::new(64 * 1024);
/// Maximum size of a response body that is buffered whole.
pub const MAX_RESPONSE_BODY: quantity::ByteCount = quantity::ByteCount::new(16 * 1024 * 1024);
/// Bytes of pipelined requests that are buffered; further bytes stay in the socket.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;

/// Number of bytes after whose receipt other tasks run, even if more bytes are there.
const MAX_TURN_BYTES: usize = 256 * 1024;

/// Time in which the reactor reports a connection that opened during a pause of the process.
const REACTOR_TIME: time::Millis = time::Millis::new(5);

/// A connection and the bytes that were received on it and not consumed yet.
#[derive(Debug)]
pub struct RawConnection {
    stream: net::TcpStream,
    /// The received bytes are `buffer[start..end]`; a cancelled read leaves `end` unchanged.
    buffer: Vec<u8>,
    start: usize,
    end: usize,
    /// Number of bytes received since other tasks could run.
    turn_bytes: usize,
    /// Reader of what a relay passes on; `None` if the peer itself sends the bytes.
    relayed: Option<Box<relay::RelayedReader>>,
    /// Pauses in what was received of the last response.
    pauses: pause_watch::PauseWatch,
}

/// Error of reading a message.
#[derive(Debug)]
pub enum ReadError {
    /// The connection closed before the first byte of the message.
    Closed,
    /// The connection failed, or closed inside the message.
    Broken(io::Error),
    /// The bytes are not a valid message.
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
    /// Wraps an open TCP stream.
    ///
    /// # Errors
    ///
    /// Fails if the socket options can't be set.
    pub fn new(stream: net::TcpStream) -> io::Result<Self> {
        // Nagle's algorithm would delay small writes until earlier ones are acknowledged.
        stream.set_nodelay(true)?;
        let buffer = Vec::new();
        Ok(RawConnection {
            stream,
            buffer,
            start: 0,
            end: 0,
            turn_bytes: 0,
            relayed: None,
            pauses: pause_watch::PauseWatch::default(),
        })
    }

    /// Makes the bytes from here on those that a relay passes on. Their end is an error of the
    /// connection unless the relay says that its upstream ended them.
    ///
    /// # Errors
    ///
    /// Fails if the bytes that were received already don't have the framing.
    pub fn begin_relayed(&mut self, framing: relay::RelayFraming) -> io::Result<()> {
        let mut reader = relay::RelayedReader::new(framing);
        let received = self.buffered().to_vec();
        self.consume(received.len());
        let mut bytes = Vec::new();
        reader.decode(&received, &mut bytes)?;
        self.append(&bytes);
        self.relayed = Some(Box::new(reader));
        Ok(())
    }

    /// Opens a connection to an address.
    ///
    /// # Errors
    ///
    /// Fails if the connection is refused or not open within `timeout`.
    pub async fn connect(address: SocketAddr, timeout: time::Millis) -> io::Result<Self> {
        let mut connecting = pin::pin!(net::TcpStream::connect(address));
        let connected = match future::timeout(timeout.to_duration(), connecting.as_mut()).await {
            Ok(connected) => connected,
            // After a pause of the process the timer fires before the reactor has reported that the
            // connection is open.
            Err(_) => {
                let reported = future::timeout(REACTOR_TIME.to_duration(), connecting).await;
                reported.map_err(|_| io::ErrorKind::TimedOut)?
            }
        };
        RawConnection::new(connected?)
    }

    /// Returns a handle to the socket, to write to it while this value reads.
    pub fn stream(&self) -> net::TcpStream {
        self.stream.clone()
    }

    /// Returns the bytes that were received and not consumed yet.
    pub fn buffered(&self) -> &[u8] {
        &self.buffer[self.start..self.end]
    }

    /// Removes bytes from the start of the buffer, and shrinks an empty buffer.
    pub fn consume(&mut self, count: usize) {
        self.start += count;
        if self.start < self.end {
            return;
        }
        self.start = 0;
        self.end = 0;
        if self.buffer.len() > READ_BUFFER_BYTES {
            self.buffer.truncate(READ_BUFFER_BYTES);
            self.buffer.shrink_to_fit();
        }
    }

    /// Receives more bytes into the buffer and returns their number; 0 means that the peer closed.
    ///
    /// # Errors
    ///
    /// Fails if the read from the socket fails.
    pub async fn fill(&mut self) -> io::Result<usize> {
        if self.start > 0 {
            self.buffer.copy_within(self.start..self.end, 0);
            self.end -= self.start;
            self.start = 0;
        }
        if self.buffer.len() < self.end + READ_BUFFER_BYTES / 2 {
            // Vec::resize would double the capacity.
            let missing = self.end + READ_BUFFER_BYTES - self.buffer.len();
            self.buffer.reserve_exact(missing);
            self.buffer.resize(self.end + READ_BUFFER_BYTES, 0);
        }
        if self.turn_bytes >= MAX_TURN_BYTES {
            self.turn_bytes = 0;
            futures_lite::future::yield_now().await;
        }
        let read = match &mut self.relayed {
            None => {
                let read = self.stream.read(&mut self.buffer[self.end..]).await?;
                self.end += read;
                read
            }
            Some(reader) => {
                let bytes = reader.read(&mut self.stream).await?;
                self.append(&bytes);
                bytes.len()
            }
        };
        self.turn_bytes += read;
        self.pauses.observe(boot_clock::now());
        Ok(read)
    }

    /// Whether the body of the last response paused up to a short time ago. At its peer's address there
    /// may have been another process since.
    pub fn has_just_paused(&self) -> bool {
        self.pauses.has_just_paused(boot_clock::now())
    }

    /// Returns the memory that the read buffer uses, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.buffer.capacity()
    }

    /// Returns the memory that the read buffer may use after the next [`RawConnection::fill`], in
    /// bytes.
    pub fn next_held_bytes(&self) -> usize {
        self.buffer.capacity().max(self.buffered().len() + READ_BUFFER_BYTES)
    }

    /// Waits for bytes in the socket, without a read buffer if nothing is buffered. Returns `false`
    /// if the peer closed. The connection must not be relayed.
    ///
    /// # Errors
    ///
    /// Fails if the connection failed.
    pub async fn wait_readable(&mut self) -> io::Result<bool> {
        if self.buffered().is_empty() {
            self.buffer = Vec::new();
            self.start = 0;
            self.end = 0;
        }
        Ok(self.stream.peek(&mut [0]).await? > 0)
    }

    /// Appends bytes to the received ones.
    fn append(&mut self, bytes: &[u8]) {
        self.buffer.truncate(self.end);
        self.buffer.extend_from_slice(bytes);
        self.end = self.buffer.len();
    }

    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// Fails if the write to the socket fails.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Waits until the peer closes the connection, and buffers the bytes that it sends until then, as
    /// long as `may_hold` permits the size of the read buffer. The connection must not be relayed.
    pub async fn wait_closed(&mut self, may_hold: impl Fn(usize) -> bool) {
        loop {
            if !matches!(self.wait_readable().await, Ok(true)) {
                return;
            }
            let is_full = self.buffered().len() >= MAX_PIPELINED_BYTES;
            if is_full || !may_hold(self.next_held_bytes()) {
                // Further requests stay in the socket until the earlier ones are served.
                return std::future::pending().await;
            }
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    /// Whether nothing was received since the last message: neither bytes nor the close.
    pub async fn is_idle(&self) -> bool {
        let has_ended = self.relayed.as_ref().is_some_and(|reader| reader.is_ended());
        if has_ended || !self.buffered().is_empty() {
            return false;
        }
        let mut byte = [0];
        futures_lite::future::poll_once(self.stream.peek(&mut byte)).await.is_none()
    }

    /// Reads the head of a request, of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails if the connection closes or the bytes are not a valid head.
    pub async fn request_head(
        &mut self,
        limit: quantity::ByteCount,
    ) -> Result<message::RequestHead, ReadError> {
        loop {
            if let Some((head, _)) = self.take_request_head(limit)? {
                return Ok(head);
            }
            self.fill_head().await?;
        }
    }

    /// Takes the head of a request, of at most `limit` bytes, from the received bytes. Returns it
    /// with its length, or `None` while it is incomplete.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a valid head.
    pub fn take_request_head(
        &mut self,
        limit: quantity::ByteCount,
    ) -> Result<Option<(message::RequestHead, usize)>, ReadError> {
        let parsed = message::parse_request(self.buffered(), limit)?;
        if let Some((_, length)) = &parsed {
            self.consume(*length);
        }
        Ok(parsed)
    }

    /// Reads the head of a response and skips interim (1xx) responses.
    ///
    /// # Errors
    ///
    /// Fails if the connection closes, the bytes are not a valid head, or the interim responses are
    /// too large.
    pub async fn response_head(&mut self) -> Result<message::ResponseHead, ReadError> {
        let mut interim_bytes = message::InterimBytes::default();
        loop {
            if let Some((head, length)) =
                message::parse_response(self.buffered(), MAX_RESPONSE_HEAD)?
            {
                self.consume(length);
                if head.status >= 200 {
                    self.pauses = pause_watch::PauseWatch::default();
                    self.pauses.observe(boot_clock::now());
                    return Ok(head);
                }
                interim_bytes.add(length, MAX_RESPONSE_HEAD)?;
                continue;
            }
            self.fill_head().await?;
        }
    }

    /// Receives more bytes of a head.
    ///
    /// # Errors
    ///
    /// Fails if the connection closes or fails.
    pub async fn fill_head(&mut self) -> Result<(), ReadError> {
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
    /// Fails if the body is larger, malformed or truncated.
    pub async fn body(
        &mut self,
        framing: message::BodyFraming,
        limit: quantity::ByteCount,
    ) -> Result<Vec<u8>, ReadError> {
        let mut reader = WholeBodyReader::new(framing, limit)?;
        reader.read_more(self, usize::MAX).await?;
        Ok(reader.body)
    }
}

/// Reads a whole body of a limited size.
#[derive(Debug)]
pub struct WholeBodyReader {
    framing: message::BodyFraming,
    reader: BodyReader,
    limit: quantity::ByteCount,
    /// The bytes that were read.
    pub body: Vec<u8>,
}

impl WholeBodyReader {
    /// Creates a reader at the start of a body of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails if the body has a length and is larger.
    pub fn new(
        framing: message::BodyFraming,
        limit: quantity::ByteCount,
    ) -> Result<Self, ReadError> {
        match framing {
            message::BodyFraming::Length(length) if length > limit.get() => {
                Err(ReadError::BodyTooLarge)
            }
            _ => {
                let reader = BodyReader::new(framing);
                Ok(WholeBodyReader { framing, reader, limit, body: Vec::new() })
            }
        }
    }

    /// Returns the capacity that the body needs for the next read, in bytes. It grows by a quarter,
    /// and not beyond the length of the body.
    pub fn next_capacity(&self, connection: &RawConnection) -> usize {
        // One read takes at most what the read buffer holds.
        let room = connection.next_held_bytes().max(2 * READ_BUFFER_BYTES);
        let (length, capacity) = (self.body.len(), self.body.capacity());
        let whole = match self.framing {
            message::BodyFraming::Length(whole) => usize::try_from(whole).unwrap_or(usize::MAX),
            _ => usize::MAX,
        };
        match capacity >= (length + room).min(whole) {
            true => capacity,
            false => (length + room.max(length / 4)).min(whole),
        }
    }

    /// Reserves memory so that the body has a capacity.
    pub fn reserve_to(&mut self, capacity: usize) {
        self.body.reserve_exact(capacity.saturating_sub(self.body.len()));
    }

    /// Reads at least `count` more bytes, or to the end of the body. Returns whether that is reached.
    ///
    /// # Errors
    ///
    /// Fails if the body is larger than the limit, malformed or truncated.
    pub async fn read_more(
        &mut self,
        connection: &mut RawConnection,
        count: usize,
    ) -> Result<bool, ReadError> {
        let target_length = self.body.len().saturating_add(count);
        loop {
            let is_done = self.reader.read(connection, &mut self.body).await?;
            if self.body.len() as u64 > self.limit.get() {
                return Err(ReadError::BodyTooLarge);
            }
            if is_done || self.body.len() >= target_length {
                return Ok(is_done);
            }
        }
    }
}

/// Reads one body incrementally.
#[derive(Clone, Copy, Debug)]
pub struct BodyReader {
    decoder: message::BodyDecoder,
}

impl BodyReader {
    /// Creates a reader at the start of a body.
    pub fn new(framing: message::BodyFraming) -> Self {
        BodyReader { decoder: message::BodyDecoder::new(framing) }
    }

    /// Appends body bytes to `out` and returns whether the body is complete.
    ///
    /// Consumes the buffered bytes if there are any, otherwise waits for more.
    ///
    /// # Errors
    ///
    /// Fails if the body is malformed or truncated.
    pub async fn read(
        &mut self,
        connection: &mut RawConnection,
        out: &mut Vec<u8>,
    ) -> Result<bool, ReadError> {
        let had_buffered = !connection.buffered().is_empty();
        if self.take(connection, out)? {
            return Ok(true);
        }
        // Bytes that arrived together with the head are relayed without waiting for more.
        if had_buffered && connection.buffered().is_empty() {
            return Ok(false);
        }
        if connection.fill().await? == 0 {
            return match self.decoder.is_done_at_close() {
                true => Ok(true),
                false => Err(ReadError::Broken(io::ErrorKind::UnexpectedEof.into())),
            };
        }
        self.take(connection, out)
    }

    /// Consumes the buffered bytes and returns whether the body is complete.
    fn take(
        &mut self,
        connection: &mut RawConnection,
        out: &mut Vec<u8>,
    ) -> Result<bool, ReadError> {
        let taken = self.decoder.decode(connection.buffered(), out)?;
        connection.consume(taken);
        Ok(self.decoder.is_done())
    }
}
