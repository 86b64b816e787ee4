//! Stand-in of the platform: the metadata store and the cloud's calls.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, Json, Message, base64};

/// Name of a table and key of a row.
type RowName = (String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    /// Value in base64, or `None` of a removed row, with its version.
    rows: BTreeMap<RowName, (Option<String>, u64)>,
}

/// The store. It answers at once and loses nothing.
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    started_at: Instant,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Arc<Store> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let store = Arc::new(Store {
            rows: Mutex::default(),
            changed: Condvar::new(),
            started_at: Instant::now(),
            address,
        });
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(request) = connection.message() {
                        let (status, body) = store.answer(&request);
                        let fields = "Content-Type: application/json\r\n";
                        if connection.respond(status, fields, body.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        store
    }

    /// Writes a row as the operator or a replica does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().expect("no thread panics with the lock");
        rows.version += 1;
        let version = rows.version;
        let value = Some(base64(value.as_bytes()));
        rows.rows.insert((table.to_owned(), key.to_owned()), (value, version));
        self.changed.notify_all();
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.rows.lock().expect("no thread panics with the lock");
        rows.version += 1;
        let version = rows.version;
        rows.rows.insert((table.to_owned(), key.to_owned()), (None, version));
        self.changed.notify_all();
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(key, value)| (key.to_owned(), decode(value)))
            .collect();
        let text = |key: &str| query.get(key).cloned().unwrap_or_default();
        match (request.method(), path) {
            ("GET", "/rows-get") => {
                let rows = self.rows.lock().expect("no thread panics with the lock");
                let (table, from, to) = (text("table"), text("from"), query.get("to"));
                let found = rows.rows.iter().filter(|((of, key), (value, _))| {
                    *of == table && *key >= from && to.is_none_or(|to| key < to) && value.is_some()
                });
                let limit = text("limit").parse().unwrap_or(500);
                let found: Vec<_> = found.take(limit).collect();
                ("200 OK", self.encode(&found, rows.version))
            }
            ("GET", "/rows-feed") => {
                let after: u64 = text("after").parse().unwrap_or_default();
                let wait = Duration::from_millis(text("wait_ms").parse().unwrap_or_default());
                let (table, end) = (text("table"), Instant::now() + wait);
                let mut rows = self.rows.lock().expect("no thread panics with the lock");
                loop {
                    let mut found: Vec<_> = rows
                        .rows
                        .iter()
                        .filter(|((of, _), (_, version))| *of == table && *version > after)
                        .collect();
                    found.sort_by_key(|(_, (_, version))| *version);
                    let left = end.saturating_duration_since(Instant::now());
                    if !found.is_empty() || left.is_zero() {
                        return ("200 OK", self.encode(&found, rows.version));
                    }
                    let waited = self.changed.wait_timeout(rows, left);
                    rows = waited.expect("no thread panics with the lock").0;
                }
            }
            ("POST", "/rows-tx") => self.commit(&request.body),
            // The cloud takes each usage report and each order.
            ("POST", "/usage" | "/scale") => ("200 OK", "{}".to_owned()),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn commit(&self, body: &[u8]) -> (&'static str, String) {
        let body = String::from_utf8_lossy(body);
        let Some(wire) = Json::parse(&body) else { return ("400 Bad Request", "{}".to_owned()) };
        let mut rows = self.rows.lock().expect("no thread panics with the lock");
        let name = |row: &Json| (row.text("table"), row.text("key"));
        let is_met = wire.list("expected").iter().all(|row| {
            let current = rows.rows.get(&name(row)).filter(|(value, _)| value.is_some());
            current.map_or(0, |(_, version)| *version) == row.number("ver") as u64
        });
        if !is_met {
            return ("412 Precondition Failed", r#"{"rows":[]}"#.to_owned());
        }
        rows.version += 1;
        let version = rows.version;
        for row in wire.list("put") {
            rows.rows.insert(name(row), (Some(row.text("value")), version));
        }
        for row in wire.list("remove") {
            rows.rows.insert(name(row), (None, version));
        }
        self.changed.notify_all();
        ("200 OK", format!(r#"{{"ver":{version},"now_ms":{}}}"#, self.now_ms()))
    }

    fn encode(&self, found: &[(&RowName, &(Option<String>, u64))], version: u64) -> String {
        let rows: Vec<String> = found
            .iter()
            .map(|((table, key), (value, version))| {
                let value = match value {
                    Some(value) => format!(r#""value":"{value}""#),
                    None => r#""tombstone":true"#.to_owned(),
                };
                format!(r#"{{"table":"{table}","part":"","key":"{key}",{value},"ver":{version}}}"#)
            })
            .collect();
        let (rows, now_ms) = (rows.join(","), self.now_ms());
        format!(r#"{{"rows":[{rows}],"truncated":false,"ver":{version},"now_ms":{now_ms}}}"#)
    }

    fn now_ms(&self) -> u128 {
        self.started_at.elapsed().as_millis()
    }
}

/// Decodes the escapes of a query.
fn decode(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.as_bytes());
    while let Some((first, after)) = rest.split_first() {
        let escaped = after.get(..2).filter(|_| *first == b'%');
        let code = escaped.and_then(|digits| std::str::from_utf8(digits).ok());
        let code = code.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        bytes.push(code.unwrap_or(*first));
        rest = if code.is_some() { &after[2..] } else { after };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
