//! Stand-ins for the platform's store, the cloud, replicas and callers, and control of the daemons.

use std::collections::BTreeMap;
use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// The operator's key of the only tenant.
pub const API_KEY: &str = "desk-key-1";
/// Host of all routes.
pub const HOST: &str = "desk.example";

pub fn sleep_ms(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

/// Writes `record.txt`, one line for each event, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        let file = fs::File::create(path).expect("record.txt can be written");
        Record { started_at: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{:>7} ms  {text}", self.ms()).expect("record.txt can be written");
    }
}

/// Head and body of a request or of a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        let found = self.fields.iter().find(|(field, _)| field.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads from a connection, with what was received and not used yet.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Reader { stream, buffer: Vec::new() }
    }

    /// Receives more bytes. Returns `false` at the end of the connection or an error.
    fn fill(&mut self) -> bool {
        let mut chunk = [0; 16 * 1024];
        match self.stream.read(&mut chunk) {
            Ok(0) | Err(_) => false,
            Ok(count) => {
                self.buffer.extend_from_slice(&chunk[..count]);
                true
            }
        }
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).take(end).collect();
                return Some(String::from_utf8_lossy(&line).into_owned());
            }
            if !self.fill() {
                return None;
            }
        }
    }

    /// Reads the first line and the header fields.
    pub fn head(&mut self) -> Option<Message> {
        let mut message = Message { first_line: self.line()?, ..Message::default() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Some(message);
            }
            let (name, value) = line.split_once(':')?;
            message.fields.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }

    /// Reads this many bytes.
    fn exactly(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill() {
                return None;
            }
        }
        Some(self.buffer.drain(..count).collect())
    }

    /// Reads the body that follows a head into `message`. Returns whether it is complete.
    pub fn body(&mut self, message: &mut Message) -> bool {
        if message.field("transfer-encoding").eq_ignore_ascii_case("chunked") {
            loop {
                let Some(line) = self.line() else { return false };
                let digits = line.split(';').next().unwrap_or("");
                let Ok(size) = usize::from_str_radix(digits.trim(), 16) else { return false };
                let Some(mut chunk) = self.exactly(size + 2) else {
                    message.body.append(&mut self.buffer);
                    return false;
                };
                chunk.truncate(size);
                message.body.append(&mut chunk);
                if size == 0 {
                    return true;
                }
            }
        }
        let length = message.field("content-length").parse().unwrap_or(0);
        match self.exactly(length) {
            Some(body) => {
                message.body = body;
                true
            }
            None => false,
        }
    }
}

/// Accepts connections and serves the requests on each, one after the other, on a thread of its own.
/// `respond` returns whether the connection stays open.
pub fn serve(
    listener: TcpListener,
    respond: impl Fn(Message, &mut TcpStream) -> bool + Send + Sync + 'static,
) {
    let respond = Arc::new(respond);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { return };
            let respond = respond.clone();
            thread::spawn(move || serve_connection(stream, &*respond));
        }
    });
}

pub fn serve_connection(stream: TcpStream, respond: &dyn Fn(Message, &mut TcpStream) -> bool) {
    stream.set_nodelay(true).ok();
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = Reader::new(stream);
    while let Some(mut request) = reader.head() {
        if !reader.body(&mut request) || !respond(request, &mut writer) {
            break;
        }
    }
    writer.shutdown(Shutdown::Both).ok();
}

pub fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener has an address");
    (listener, address)
}

/// Ports for daemons. They lie below those that the system gives to outgoing connections, which could
/// take one between this check and the start of the daemon.
const DAEMON_PORTS: std::ops::Range<u32> = 10_000..26_000;

/// Returns an address at which nothing listens, over TCP or UDP.
pub fn free_address() -> SocketAddr {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    // Scripts that run at the same time begin at different ports.
    let first = process::id().wrapping_mul(7_919);
    loop {
        let count = COUNT.fetch_add(1, Ordering::SeqCst) as u32;
        let port = DAEMON_PORTS.start + first.wrapping_add(count) % DAEMON_PORTS.len() as u32;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

pub fn write_response(
    stream: &mut TcpStream,
    status: &str,
    fields: &str,
    body: &str,
) -> bool {
    let text =
        format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes()).is_ok()
}

/// A JSON value.
#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut rest = text.trim_start();
        Json::take(&mut rest)
    }

    fn take(rest: &mut &str) -> Option<Json> {
        *rest = rest.trim_start();
        let first = rest.chars().next()?;
        match first {
            '{' => {
                let mut fields = Vec::new();
                *rest = rest[1..].trim_start();
                while !rest.starts_with('}') {
                    let Json::Text(name) = Json::take(rest)? else { return None };
                    *rest = rest.trim_start().strip_prefix(':')?;
                    fields.push((name, Json::take(rest)?));
                    *rest = rest.trim_start();
                    *rest = rest.strip_prefix(',').unwrap_or(rest).trim_start();
                }
                *rest = &rest[1..];
                Some(Json::Table(fields))
            }
            '[' => {
                let mut items = Vec::new();
                *rest = rest[1..].trim_start();
                while !rest.starts_with(']') {
                    items.push(Json::take(rest)?);
                    *rest = rest.trim_start();
                    *rest = rest.strip_prefix(',').unwrap_or(rest).trim_start();
                }
                *rest = &rest[1..];
                Some(Json::List(items))
            }
            '"' => {
                let mut text = String::new();
                let mut characters = rest[1..].char_indices();
                while let Some((index, character)) = characters.next() {
                    match character {
                        '"' => {
                            *rest = &rest[index + 2..];
                            return Some(Json::Text(text));
                        }
                        '\\' => match characters.next()?.1 {
                            'n' => text.push('\n'),
                            't' => text.push('\t'),
                            other => text.push(other),
                        },
                        other => text.push(other),
                    }
                }
                None
            }
            _ => {
                let end = rest.find([',', '}', ']', ' ', '\n']).unwrap_or(rest.len());
                let (word, after) = rest.split_at(end);
                *rest = after;
                Some(word.parse().map_or(Json::Null, Json::Number))
            }
        }
    }

    pub fn get(&self, name: &str) -> &Json {
        let Json::Table(fields) = self else { return &Json::Null };
        fields.iter().find(|(field, _)| field == name).map_or(&Json::Null, |(_, value)| value)
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Json::Number(number) = self { *number as u64 } else { 0 }
    }

    pub fn items(&self) -> &[Json] {
        if let Json::List(items) = self { items } else { &[] }
    }
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0_u32;
        for index in 0..3 {
            bits = bits << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

pub fn decode_base64(text: &str) -> String {
    let digit = |byte: u8| match byte {
        b'A'..=b'Z' => u32::from(byte - b'A'),
        b'a'..=b'z' => u32::from(byte - b'a') + 26,
        b'0'..=b'9' => u32::from(byte - b'0') + 52,
        b'+' => 62,
        _ => 63,
    };
    let mut bytes = Vec::new();
    for group in text.trim_end_matches('=').as_bytes().chunks(4) {
        let bits = group.iter().fold(0, |bits, byte| bits << 6 | digit(*byte));
        let bits = bits << (6 * (4 - group.len()));
        bytes.extend_from_slice(&bits.to_be_bytes()[1..group.len()]);
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

type RowKey = (String, String);

/// Rows of the store, with their versions, and the history of removals.
#[derive(Clone, Default)]
pub struct Rows {
    version: u64,
    /// Version and encoded value of each row, by table and key.
    rows: BTreeMap<RowKey, (u64, String)>,
    removed: Vec<(RowKey, u64)>,
}

impl Rows {
    /// Returns the keys of a table's rows, in order.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let keys = self.rows.keys().filter(|(name, _)| name == table);
        keys.map(|(_, key)| key.clone()).collect()
    }

    /// Returns the decoded value of a row.
    pub fn value(&self, table: &str, key: &str) -> Option<String> {
        let row = self.rows.get(&(table.to_owned(), key.to_owned()))?;
        Some(decode_base64(&row.1))
    }
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<StoreState>,
}

struct StoreState {
    rows: Mutex<Rows>,
    era: AtomicU64,
    is_away: AtomicBool,
    /// Changes of the lease on the duties, for the record.
    record: Record,
}

impl Store {
    pub fn start(record: &Record) -> Self {
        let (listener, address) = bind();
        let shared = Arc::new(StoreState {
            rows: Mutex::default(),
            era: AtomicU64::new(1),
            is_away: AtomicBool::new(false),
            record: record.clone(),
        });
        let state = shared.clone();
        serve(listener, move |request, stream| state.respond(&request, stream));
        Store { address, shared }
    }

    /// Writes a row as the operator or a replica does, unless it has this value.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let encoded = encode_base64(value.as_bytes());
        let mut rows = self.shared.rows.lock().unwrap();
        let row_key = (table.to_owned(), key.to_owned());
        if rows.rows.get(&row_key).is_some_and(|(_, current)| *current == encoded) {
            return;
        }
        rows.version += 1;
        let version = rows.version;
        rows.rows.insert(row_key, (version, encoded));
    }

    /// Returns a copy of all rows.
    pub fn copy(&self) -> Rows {
        self.shared.rows.lock().unwrap().clone()
    }

    /// Answers no call until [`Store::restore`].
    pub fn go_away(&self) {
        self.shared.is_away.store(true, Ordering::SeqCst);
    }

    /// Comes back with the rows of a copy, in the next era.
    pub fn restore(&self, copy: &Rows) {
        *self.shared.rows.lock().unwrap() = copy.clone();
        self.shared.era.fetch_add(1, Ordering::SeqCst);
        self.shared.is_away.store(false, Ordering::SeqCst);
    }
}

impl StoreState {
    fn is_away(&self) -> bool {
        self.is_away.load(Ordering::SeqCst)
    }

    /// Answers one call; closes the connection without an answer while the store is away.
    fn respond(&self, request: &Message, stream: &mut TcpStream) -> bool {
        if self.is_away() {
            return false;
        }
        let target = request.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        // An answer takes 4 ms.
        sleep_ms(4);
        let (status, body) = match path {
            "/rows-get" => (200, self.get(query)),
            "/rows-feed" => self.feed(query),
            "/rows-tx" => self.commit(&String::from_utf8_lossy(&request.body)),
            _ => (404, "{}".to_owned()),
        };
        if self.is_away() {
            return false;
        }
        let fields = format!(
            "Store-Era: {}\r\nContent-Type: application/json\r\n",
            self.era.load(Ordering::SeqCst)
        );
        write_response(stream, &format!("{status} Status"), &fields, &body)
    }

    fn get(&self, query: &str) -> String {
        let (table, from) = (parameter(query, "table"), parameter(query, "from"));
        let to = parameter(query, "to");
        let limit = parameter(query, "limit").parse().unwrap_or(500_usize).min(500);
        let rows = self.rows.lock().unwrap();
        let matching = rows.rows.iter().filter(|((name, key), _)| {
            *name == table && *key >= from && (to.is_empty() || *key < to)
        });
        let matching: Vec<_> = matching.collect();
        let encoded: Vec<String> =
            matching.iter().take(limit).map(|(key, row)| encode_row(key, row)).collect();
        format!(
            r#"{{"rows":[{}],"truncated":{},"ver":{},"now_ms":{}}}"#,
            encoded.join(","),
            matching.len() > limit,
            rows.version,
            self.record.ms()
        )
    }

    fn feed(&self, query: &str) -> (u16, String) {
        let table = parameter(query, "table");
        let after: u64 = parameter(query, "after").parse().unwrap_or(0);
        let wait_ms: u64 = parameter(query, "wait_ms").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            {
                let rows = self.rows.lock().unwrap();
                if after > rows.version {
                    return (410, "{}".to_owned());
                }
                let written = rows.rows.iter().filter(|((name, _), _)| *name == table);
                let mut changed: Vec<(u64, String)> = written
                    .filter(|(_, (version, _))| *version > after)
                    .map(|(key, row)| (row.0, encode_row(key, row)))
                    .collect();
                for (key, version) in &rows.removed {
                    if key.0 == table && *version > after && !rows.rows.contains_key(key) {
                        let text = format!(
                            r#"{{"table":"{}","part":"","key":"{}","ver":{version},"tombstone":true}}"#,
                            key.0, key.1
                        );
                        changed.push((*version, text));
                    }
                }
                changed.sort();
                if !changed.is_empty() || Instant::now() >= deadline || self.is_away() {
                    let texts: Vec<String> = changed.into_iter().map(|(_, text)| text).collect();
                    let body = format!(
                        r#"{{"rows":[{}],"truncated":false,"ver":{},"now_ms":{}}}"#,
                        texts.join(","),
                        rows.version,
                        self.record.ms()
                    );
                    return (200, body);
                }
            }
            sleep_ms(5);
        }
    }

    fn commit(&self, body: &str) -> (u16, String) {
        let Some(transaction) = Json::parse(body) else { return (400, "{}".to_owned()) };
        let key = |row: &Json| (row.get("table").text().to_owned(), row.get("key").text().to_owned());
        let mut rows = self.rows.lock().unwrap();
        for row in transaction.get("expected").items() {
            let current = rows.rows.get(&key(row)).map_or(0, |(version, _)| *version);
            if row.get("ver").number() != current {
                return (412, r#"{"rows":[]}"#.to_owned());
            }
        }
        rows.version += 1;
        let version = rows.version;
        for row in transaction.get("put").items() {
            let value = row.get("value").text().to_owned();
            if key(row).0 == "duty" {
                self.record.line(&format!("store    lease row {}", decode_base64(&value)));
            }
            rows.rows.insert(key(row), (version, value));
        }
        for row in transaction.get("remove").items() {
            if rows.rows.remove(&key(row)).is_some() {
                rows.removed.push((key(row), version));
            }
        }
        (200, format!(r#"{{"ver":{version},"now_ms":{}}}"#, self.record.ms()))
    }
}

/// Returns the decoded value of a parameter of a query.
fn parameter(query: &str, name: &str) -> String {
    let mut parameters = query.split('&').filter_map(|parameter| parameter.split_once('='));
    let value = parameters.find(|(found, _)| *found == name).map_or("", |(_, value)| value);
    let mut bytes = Vec::new();
    let mut rest = value.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
        let text = String::from_utf8_lossy(&digits).into_owned();
        bytes.push(u8::from_str_radix(&text, 16).unwrap_or(0));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn encode_row((table, key): &RowKey, (version, value): &(u64, String)) -> String {
    format!(r#"{{"table":"{table}","part":"","key":"{key}","value":"{value}","ver":{version}}}"#)
}

/// Times after which TCP sends a packet again that was not acknowledged, in milliseconds: the first
/// after 200 ms, each next after twice the time.
const RETRANSMISSIONS_MS: [u64; 8] = [0, 200, 600, 1_400, 3_000, 6_200, 12_600, 25_400];

/// The link of one machine to a server, which can be cut. Bytes that are sent during a cut arrive when
/// TCP sends them again after it, unless their sender has reset the connection. Connections that are
/// opened during a cut don't open.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Link {
    pub fn start(server: SocketAddr) -> Self {
        let (listener, address) = bind();
        let is_cut = Arc::new(AtomicBool::new(false));
        let link = Link { address, is_cut };
        let accepting = link.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { return };
                let link = accepting.clone();
                thread::spawn(move || link.pass_on(stream, server));
            }
        });
        link
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    fn is_cut(&self) -> bool {
        self.is_cut.load(Ordering::SeqCst)
    }

    fn pass_on(&self, client: TcpStream, server: SocketAddr) {
        if self.is_cut() {
            // Nothing that is sent on it arrives.
            while self.is_cut() {
                sleep_ms(10);
            }
            return;
        }
        let Ok(server) = TcpStream::connect(server) else { return };
        let (from_server, to_client) = (server.try_clone(), client.try_clone());
        let (Ok(from_server), Ok(to_client)) = (from_server, to_client) else { return };
        let link = self.clone();
        let responses = thread::spawn(move || link.copy(from_server, to_client));
        self.copy(client, server);
        responses.join().ok();
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        from.set_nodelay(true).ok();
        to.set_nodelay(true).ok();
        let mut chunk = [0; 16 * 1024];
        while let Ok(count @ 1..) = from.read(&mut chunk) {
            let sent_at = Instant::now();
            let is_passed = RETRANSMISSIONS_MS.iter().any(|offset_ms| {
                let due_at = sent_at + Duration::from_millis(*offset_ms);
                thread::sleep(due_at.saturating_duration_since(Instant::now()));
                !self.is_cut()
            });
            if !is_passed || was_reset(&from) || to.write_all(&chunk[..count]).is_err() {
                break;
            }
        }
        to.shutdown(Shutdown::Write).ok();
    }
}

/// Returns whether the peer has reset a connection, as opposed to closing it.
fn was_reset(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).ok();
    let result = stream.peek(&mut [0]);
    stream.set_nonblocking(false).ok();
    result.is_err_and(|cause| cause.kind() != std::io::ErrorKind::WouldBlock)
}

/// A call that the platform accepted from the holder of a duty.
#[derive(Clone, Debug)]
pub struct DutyCall {
    pub at_ms: u64,
    pub path: String,
    pub holder: String,
    pub token: u64,
    pub body: String,
}

/// The platform's API for the duties.
#[derive(Clone)]
pub struct Cloud {
    pub address: SocketAddr,
    calls: Arc<Mutex<Vec<DutyCall>>>,
}

impl Cloud {
    /// Starts the API. It has no replicas that may be reclaimed if `is_sold_out` is set.
    pub fn start(record: &Record, is_sold_out: bool) -> Self {
        let (listener, address) = bind();
        let calls: Arc<Mutex<Vec<DutyCall>>> = Arc::default();
        let (accepted, record) = (calls.clone(), record.clone());
        serve(listener, move |request, stream| {
            let call = DutyCall {
                at_ms: record.ms(),
                path: request.word(1).to_owned(),
                holder: request.field("X-Duty-Holder").to_owned(),
                token: request.field("X-Fencing-Token").parse().unwrap_or(0),
                body: String::from_utf8_lossy(&request.body).into_owned(),
            };
            record.line(&format!(
                "platform {} from holder {} with number {}: {}",
                call.path, call.holder, call.token, call.body
            ));
            let is_refused = is_sold_out && call.body.contains(r#""spot":true"#);
            accepted.lock().unwrap().push(call);
            if is_refused {
                return write_response(stream, "409 Conflict", "", "{}");
            }
            write_response(stream, "200 OK", "", "{}")
        });
        Cloud { address, calls }
    }

    pub fn calls(&self) -> Vec<DutyCall> {
        self.calls.lock().unwrap().clone()
    }
}

/// Returns the value of a replica's row.
pub fn server_row(service: &str, address: SocketAddr, zone: &str, state: &str) -> String {
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":16,"state":"{state}","cold_left_ms":0,"sequence":1,"born":{born}}}"#
    )
}

/// Returns a config with these routes: prefix, kind, most attempts, and whether it may be resumed.
/// `service_fields` are further fields of the service, each with a comma before it.
pub fn config(
    version: u64,
    service: &str,
    service_fields: &str,
    routes: &[(&str, &str, u32, bool)],
) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|(prefix, kind, attempts, resumable)| {
            format!(
                r#"{{"name":"r-{prefix}","host":"{HOST}","prefix":"/{prefix}/","kind":"{kind}","timeout_ms":15000,"target_latency_ms":800,"priority":1,"service":"{service}","max_attempts":{attempts},"public":false,"resumable":{resumable},"gap_aim_ms":300}}"#
            )
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"{service}","health_path":"/healthz","max_conns":370,"protocol":"h1","tls":false{service_fields}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"clinic","api_keys":["{API_KEY}"],"priority":1}}]}}"#,
        routes.join(",")
    )
}

/// A daemon of the system, started with the command of the deploy file.
pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    directory: PathBuf,
    process: process::Child,
}

/// Time between SIGTERM and SIGKILL.
const GRACE_MS: u64 = 8_000;

/// Starts the process of a daemon whose settings are in a folder.
fn start_process(name: &str, directory: &Path) -> process::Child {
    let log = fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(directory.join(format!("{name}.log")))
        .unwrap_or_else(|cause| could_not_run(&format!("no log file: {cause}")));
    let process = process::Command::new("target/release/samphiremoor-gateway")
        .arg("--settings")
        .arg(directory.join(format!("{name}.toml")))
        .env("ASYNC_STD_THREAD_COUNT", "1")
        .stdout(log.try_clone().expect("a log file"))
        .stderr(log)
        .spawn()
        .unwrap_or_else(|cause| could_not_run(&format!("the daemon doesn't start: {cause}")));
    STARTED.lock().unwrap().push(process.id());
    process
}

impl Daemon {
    /// Starts a daemon with the settings that the template of the deploy file gives.
    pub fn start(
        name: &str,
        zone: &str,
        store: SocketAddr,
        cloud: SocketAddr,
        directory: &Path,
    ) -> Self {
        let (front, ready) = (free_address(), free_address());
        let settings = format!(
            r#"daemon = "{name}"
availability_zone = "{zone}"
log = "info"

[listen]
callers = "{front}"
ready = "{ready}"
peers = "{}"
metrics = "{}"

[platform]
table = "{}"
cloud = "{}"
reports_usage = true
orders_replicas = true

[times]
stop_s = 8
lease_ms = 3000
departure_ms = 2000
policy_ms = 2000
usage_window_s = 5
usage_due_s = 10

[shared]
retry_ratio = 0.2
retry_slack = 58
quota_window_s = 8
quota_over = 0.1
quota_slack = 140000
memory_mb = 260
"#,
            free_address(),
            free_address(),
            store,
            cloud
        );
        let path = directory.join(format!("{name}.toml"));
        fs::write(&path, settings).expect("the temporary folder can be written");
        let process = start_process(name, directory);
        let (name, directory) = (name.to_owned(), directory.to_owned());
        Daemon { name, front, ready, directory, process }
    }

    /// Stops the process by SIGTERM and starts it again with the same settings, as the platform does.
    pub fn restart(&mut self) {
        self.stop();
        STARTED.lock().unwrap().retain(|process| *process != self.process.id());
        sleep_ms(200);
        self.process = start_process(&self.name, &self.directory);
    }

    /// Sends SIGTERM, and SIGKILL after `grace_s`.
    fn stop(&mut self) {
        // SAFETY: the process was started by this one and not waited for.
        unsafe { kill(self.process.id() as i32, 15) };
        for _ in 0..GRACE_MS / 50 {
            if matches!(self.process.try_wait(), Ok(Some(_))) {
                return;
            }
            sleep_ms(50);
        }
        self.process.kill().ok();
        self.process.wait().ok();
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        STARTED.lock().unwrap().retain(|process| *process != self.process.id());
        self.process.kill().ok();
        self.process.wait().ok();
    }

    /// Returns whether the daemon says that it is ready.
    pub fn is_ready(&self) -> bool {
        is_ready(self.ready)
    }

    pub fn await_ready(&self) {
        for _ in 0..150 {
            if self.is_ready() {
                return;
            }
            sleep_ms(100);
        }
        could_not_run(&format!("{} is not ready after 15 s", self.name));
    }
}

/// Returns whether the daemon at a `ready` address says that it is ready.
pub fn is_ready(ready: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(ready) else { return false };
    stream.set_read_timeout(Some(Duration::from_millis(500))).ok();
    let request = "GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n";
    if stream.write_all(request.as_bytes()).is_err() {
        return false;
    }
    Reader::new(stream).head().is_some_and(|response| response.status() == 200)
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Processes that were started and have not ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Temporary folders that were made.
static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// Ends the script with the exit code for a case that couldn't run, and the processes that it started.
pub fn could_not_run(cause: &str) -> ! {
    eprintln!("the case could not run: {cause}");
    for process in STARTED.lock().unwrap().iter() {
        // SAFETY: the process was started by this one and not waited for.
        unsafe { kill(*process as i32, 9) };
    }
    for folder in FOLDERS.lock().unwrap().iter() {
        fs::remove_dir_all(folder).ok();
    }
    process::exit(2)
}

/// What a caller got for one request.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub message: Message,
    /// Whether the answer has its end, by its length or its last chunk.
    pub is_complete: bool,
}

/// Sends one request on a new connection and reads its answer.
pub fn call(front: SocketAddr, method: &str, path: &str, id: &str, deadline_ms: u64) -> Answer {
    let timeout = Duration::from_millis(deadline_ms);
    let Ok(mut stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
        return Answer::default();
    };
    stream.set_nodelay(true).ok();
    stream.set_read_timeout(Some(timeout)).ok();
    let body = if method == "POST" { "{}" } else { "" };
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {API_KEY}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    if stream.write_all(request.as_bytes()).is_err() {
        return Answer::default();
    }
    let mut reader = Reader::new(stream);
    let Some(mut message) = reader.head() else { return Answer::default() };
    let is_complete = reader.body(&mut message);
    Answer { status: message.status(), message, is_complete }
}

/// A temporary folder, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(case: &str) -> Self {
        let path = std::env::temp_dir().join(format!("review-{case}-{}", process::id()));
        fs::create_dir_all(&path).expect("the temporary folder can be made");
        FOLDERS.lock().unwrap().push(path.clone());
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            fs::remove_dir_all(&self.0).ok();
        }
    }
}
