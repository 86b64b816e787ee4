//! The platform: its store of rows with versions, transactions and feeds, and the calls of the duties.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{self, Json};

/// Time that a call takes.
const CALL_TIME: Duration = Duration::from_millis(3);
/// Largest number of rows in an answer.
const MAX_ROWS: usize = 500;
/// Longest wait of a feed.
const MAX_WAIT_MS: u64 = 30_000;

/// Table, part and key of a row.
type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    /// Values in base64 with their versions.
    rows: BTreeMap<Key, (String, u64)>,
    /// Changes with their versions; the value is `None` if the row was removed.
    changes: Vec<(u64, Key, Option<String>)>,
    ver: u64,
}

impl Rows {
    fn put(&mut self, key: Key, value: Option<String>) {
        match &value {
            Some(value) => self.rows.insert(key.clone(), (value.clone(), self.ver)),
            None => self.rows.remove(&key),
        };
        self.changes.push((self.ver, key, value));
    }
}

/// The store of one deployment.
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
}

/// Status line and body of an answer.
type StoreAnswer = (&'static str, String);

impl Store {
    pub fn new() -> Arc<Self> {
        Arc::new(Store { rows: Mutex::default(), changed: Condvar::new(), started: Instant::now() })
    }

    /// Writes a row for the operator or for a replica; `None` removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let mut rows = self.rows.lock().unwrap();
        rows.ver += 1;
        let key = (table.to_owned(), String::new(), key.to_owned());
        rows.put(key, value.map(|value| json::to_base64(value.as_bytes())));
        self.changed.notify_all();
    }

    /// Serves the store. Returns its address.
    pub fn listen(self: &Arc<Self>) -> SocketAddr {
        let store = self.clone();
        serve(move |head, body| store.answer(head, body))
    }

    fn answer(&self, head: &http::Head, body: &[u8]) -> StoreAnswer {
        let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
        thread::sleep(CALL_TIME);
        match (head.word(0), path) {
            ("POST", "/rows-tx") => self.transact(body),
            ("GET", "/rows-get") => self.get(query),
            ("GET", "/rows-feed") => self.feed(query),
            _ => ("404 Not Found", String::new()),
        }
    }

    fn get(&self, query: &str) -> StoreAnswer {
        let table = parameter(query, "table").unwrap_or_default();
        let from = parameter(query, "from").unwrap_or_default();
        let to = parameter(query, "to");
        let limit = parameter(query, "limit").and_then(|text| text.parse().ok());
        let limit = limit.unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let rows = self.rows.lock().unwrap();
        let is_asked = |(name, part, key): &Key| {
            *name == table && part.is_empty() && *key >= from && to.as_ref().is_none_or(|to| key < to)
        };
        let mut found: Vec<_> = rows.rows.iter().filter(|(key, _)| is_asked(key)).collect();
        let truncated = found.len() > limit;
        found.truncate(limit);
        let found = found.iter().map(|(key, (value, ver))| encode_row(key, Some(value), *ver));
        ("200 OK", self.encode(found.collect(), &format!(r#""truncated":{truncated},"#), rows.ver))
    }

    fn feed(&self, query: &str) -> StoreAnswer {
        let number = |name| parameter(query, name).and_then(|text| text.parse().ok()).unwrap_or(0);
        let table = parameter(query, "table").unwrap_or_default();
        let after: u64 = number("after");
        let until = Instant::now() + Duration::from_millis(number("wait_ms").min(MAX_WAIT_MS));
        let mut rows = self.rows.lock().unwrap();
        loop {
            if after > rows.ver {
                return ("410 Gone", String::new());
            }
            let is_new = |ver: u64, key: &Key| ver > after && key.0 == table;
            let found = rows.changes.iter().filter(|(ver, key, _)| is_new(*ver, key));
            let found: Vec<_> =
                found.map(|(ver, key, value)| encode_row(key, value.as_ref(), *ver)).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                return ("200 OK", self.encode(found, "", rows.ver));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> StoreAnswer {
        let Some(call) = json::parse(body) else { return ("400 Bad Request", String::new()) };
        let text = |row: &Json, name: &str| row.get(name).text().to_owned();
        let key = |row: &Json| -> Key { (text(row, "table"), text(row, "part"), text(row, "key")) };
        let mut written = call.get("put").items().iter().chain(call.get("remove").items());
        if written.any(|row| matches!(row.get("table").text(), "op" | "servers")) {
            return ("403 Forbidden", String::new());
        }
        let mut rows = self.rows.lock().unwrap();
        let expected = call.get("expected").items();
        let ver = |row: &Json| rows.rows.get(&key(row)).map_or(0, |(_, ver)| *ver);
        if expected.iter().any(|row| ver(row) != row.get("ver").number()) {
            let current = |row: &Json| {
                let (value, ver) = rows.rows.get(&key(row))?;
                Some(encode_row(&key(row), Some(value), *ver))
            };
            let found = expected.iter().filter_map(current).collect();
            return ("412 Precondition Failed", self.encode(found, "", rows.ver));
        }
        rows.ver += 1;
        for row in call.get("put").items() {
            rows.put(key(row), Some(text(row, "value")));
        }
        for row in call.get("remove").items() {
            rows.put(key(row), None);
        }
        self.changed.notify_all();
        ("200 OK", format!(r#"{{"ver":{},"now_ms":{}}}"#, rows.ver, self.started.elapsed().as_millis()))
    }

    fn encode(&self, rows: Vec<String>, fields: &str, ver: u64) -> String {
        let now_ms = self.started.elapsed().as_millis();
        format!(r#"{{"rows":[{}],{fields}"ver":{ver},"now_ms":{now_ms}}}"#, rows.join(","))
    }
}

/// Accepts the calls of the duties. Returns the address.
pub fn listen_cloud() -> SocketAddr {
    serve(|_, _| ("200 OK", String::new()))
}

/// Answers requests on a free address.
fn serve(answer: impl Fn(&http::Head, &[u8]) -> StoreAnswer + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let answer = Arc::new(answer);
    let serve_one = move |stream: TcpStream| {
        let answer = answer.clone();
        thread::spawn(move || {
            let mut connection = http::Connection::new(stream);
            while let Ok(Some((head, body))) = connection.read_request() {
                let (status, body) = answer(&head, &body);
                let length = body.len();
                let text = format!("HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}");
                if connection.write(text.as_bytes()).is_err() {
                    return;
                }
            }
        });
    };
    thread::spawn(move || listener.incoming().flatten().for_each(serve_one));
    address
}

fn encode_row((table, part, key): &Key, value: Option<&String>, ver: u64) -> String {
    let [table, part, key] = [table, part, key].map(|text| json::quote(text));
    let rest = match value {
        Some(value) => format!(r#""value":"{value}""#),
        None => r#""tombstone":true"#.to_owned(),
    };
    format!(r#"{{"table":{table},"part":{part},"key":{key},"ver":{ver},{rest}}}"#)
}

/// Returns a parameter of a query.
fn parameter(query: &str, name: &str) -> Option<String> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(known, _)| *known == name).map(|(_, value)| unescape(value))
}

fn unescape(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            out.push(byte);
            continue;
        }
        let digits: Vec<u8> = bytes.by_ref().take(2).collect();
        let code = u8::from_str_radix(&String::from_utf8_lossy(&digits), 16);
        out.push(code.unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&out).into_owned()
}
