//! Plain HTTP/1.1 over blocking sockets, for the stand-ins.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A message without its body.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or("")
    }
}

/// A connection with its received bytes.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_millis(1_000)).map(Connection::new)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads a head; `None` if the connection ends before one is complete.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first_line = lines.next().unwrap_or_default().to_owned();
                let field = |line: &str| {
                    line.split_once(':').map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
                };
                return Ok(Some(Head { first_line, fields: lines.filter_map(field).collect() }));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    pub fn read_exact(&mut self, length: usize) -> io::Result<Option<Vec<u8>>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
        Ok(Some(self.buffer.drain(..length).collect()))
    }

    fn read_line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(Some(line));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads a request with its body.
    pub fn read_request(&mut self) -> io::Result<Option<(Head, Vec<u8>)>> {
        let Some(head) = self.read_head()? else { return Ok(None) };
        let length = head.field("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        Ok(self.read_exact(length)?.map(|body| (head, body)))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

/// What a client got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if no head arrived.
    pub status: u16,
    pub head: Head,
    /// Body as far as it arrived.
    pub body: Vec<u8>,
    /// Whether the answer ended as HTTP says that it does.
    pub is_complete: bool,
    /// Longest time without a byte, in milliseconds.
    pub gap_ms: u128,
}

/// Reads an answer until `deadline`.
pub fn read_answer(connection: &mut Connection, deadline: Instant) -> Answer {
    let mut answer = Answer::default();
    let left = deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let _ = connection.stream.set_read_timeout(Some(left));
    let Ok(Some(head)) = connection.read_head() else { return answer };
    answer.status = head.word(1).parse().unwrap_or(0);
    answer.head = head;
    let chunked = answer.head.field("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
    if !chunked {
        let length = answer.head.field("content-length").and_then(|text| text.parse().ok());
        let Some(length) = length else { return answer };
        if let Ok(Some(body)) = connection.read_exact(length) {
            answer.body = body;
            answer.is_complete = true;
        }
        return answer;
    }
    let mut last = Instant::now();
    loop {
        let left = deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        let _ = connection.stream.set_read_timeout(Some(left));
        let Ok(Some(line)) = connection.read_line() else { return answer };
        let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return answer };
        let Ok(Some(mut chunk)) = connection.read_exact(size + 2) else { return answer };
        answer.gap_ms = answer.gap_ms.max(last.elapsed().as_millis());
        last = Instant::now();
        chunk.truncate(size);
        answer.body.extend_from_slice(&chunk);
        if size == 0 {
            answer.is_complete = true;
            return answer;
        }
    }
}
