//! Minimal HTTP/1.1 messages over blocking sockets, and JSON, with the standard library alone.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Head and body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or_default()
    }
}

/// Connection with a read buffer.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Connection::new)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 65536];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).take(end).collect();
                return Ok(String::from_utf8_lossy(&line).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads a head. The body is left unread.
    pub fn head(&mut self) -> io::Result<Message> {
        let start = self.line()?;
        let mut fields = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(Message { start, fields, body: Vec::new() });
            }
            let (name, value) = line.split_once(':').unwrap_or((&line, ""));
            fields.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }

    /// Reads a whole message. The error says that it ended early.
    pub fn message(&mut self) -> io::Result<Message> {
        let mut message = self.head()?;
        let (body, is_whole) = self.body(&message);
        message.body = body;
        match is_whole {
            true => Ok(message),
            false => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    }

    /// Reads a body up to its end, or to the end of the connection. Returns whether it is complete
    /// by its length or its last chunk.
    pub fn body(&mut self, head: &Message) -> (Vec<u8>, bool) {
        let mut body = Vec::new();
        if head.field("transfer-encoding").is_some_and(|coding| coding.contains("chunked")) {
            loop {
                let Ok(line) = self.line() else { return (body, false) };
                let Ok(length) = usize::from_str_radix(line.trim(), 16) else { return (body, false) };
                let Ok(chunk) = self.exact(length + 2) else { return (body, false) };
                body.extend_from_slice(&chunk[..length]);
                if length == 0 {
                    return (body, true);
                }
            }
        }
        let Some(length) = head.field("content-length") else {
            return (body, !head.start.starts_with("HTTP/"));
        };
        let length = length.parse().unwrap_or_default();
        match self.exact(length) {
            Ok(bytes) => (bytes, true),
            Err(_) => (std::mem::take(&mut self.buffer), false),
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn respond(&mut self, status: &str, fields: &str, body: &[u8]) -> io::Result<()> {
        let head =
            format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n", body.len());
        self.write(&[head.as_bytes(), body].concat())
    }
}

/// JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes: Vec<char> = text.chars().collect();
        let mut position = 0;
        parse_value(&bytes, &mut position)
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Table(table) => table.get(key),
            _ => None,
        }
    }

    pub fn text(&self, key: &str) -> String {
        match self.get(key) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, key: &str) -> f64 {
        match self.get(key) {
            Some(Json::Number(number)) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self, key: &str) -> &[Json] {
        match self.get(key) {
            Some(Json::List(list)) => list,
            _ => &[],
        }
    }
}

fn skip_space(text: &[char], position: &mut usize) {
    while text.get(*position).is_some_and(|letter| letter.is_whitespace()) {
        *position += 1;
    }
}

fn parse_value(text: &[char], position: &mut usize) -> Option<Json> {
    skip_space(text, position);
    match text.get(*position)? {
        '{' => {
            *position += 1;
            let mut table = BTreeMap::new();
            loop {
                skip_space(text, position);
                match text.get(*position)? {
                    '}' => {
                        *position += 1;
                        return Some(Json::Table(table));
                    }
                    ',' => *position += 1,
                    _ => {
                        let Json::Text(key) = parse_value(text, position)? else { return None };
                        skip_space(text, position);
                        *position += 1;
                        table.insert(key, parse_value(text, position)?);
                    }
                }
            }
        }
        '[' => {
            *position += 1;
            let mut list = Vec::new();
            loop {
                skip_space(text, position);
                match text.get(*position)? {
                    ']' => {
                        *position += 1;
                        return Some(Json::List(list));
                    }
                    ',' => *position += 1,
                    _ => list.push(parse_value(text, position)?),
                }
            }
        }
        '"' => {
            *position += 1;
            let mut value = String::new();
            loop {
                let letter = *text.get(*position)?;
                *position += 1;
                match letter {
                    '"' => return Some(Json::Text(value)),
                    '\\' => {
                        let escaped = *text.get(*position)?;
                        *position += 1;
                        match escaped {
                            'n' => value.push('\n'),
                            't' => value.push('\t'),
                            'r' => value.push('\r'),
                            'u' => {
                                let code: String = text.get(*position..*position + 4)?.iter().collect();
                                *position += 4;
                                value.push(char::from_u32(u32::from_str_radix(&code, 16).ok()?)?);
                            }
                            other => value.push(other),
                        }
                    }
                    letter => value.push(letter),
                }
            }
        }
        _ => {
            let start = *position;
            while text.get(*position).is_some_and(|letter| !",]} \n\r\t".contains(*letter)) {
                *position += 1;
            }
            let word: String = text[start..*position].iter().collect();
            match word.as_str() {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}

const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let bits = group.iter().enumerate().fold(0u32, |bits, (index, byte)| {
            bits | u32::from(*byte) << (16 - 8 * index)
        });
        for index in 0..4 {
            match index <= group.len() {
                true => text.push(char::from(LETTERS[(bits >> (18 - 6 * index) & 63) as usize])),
                false => text.push('='),
            }
        }
    }
    text
}

/// Waits until `is_done` or a timeout; returns whether it is done.
pub fn wait_until(timeout: Duration, mut is_done: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + timeout;
    loop {
        if is_done() {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}
