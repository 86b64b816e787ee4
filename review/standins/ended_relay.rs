//! A daemon that relays streams is killed, and the streams' callers see them end as if complete.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::common;

const SERVICE: &str = "assist";
/// Rounds in which streams begin, and the streams of each.
const ROUNDS: usize = 3;
const STREAMS: usize = 4;
/// The replica whose answers may have no length.
const UNFRAMED_REPLICA: &str = "i-0";
/// Events of each stream, and the time between two of them.
const EVENTS: u64 = 40;
const EVENT_INTERVAL_MS: u64 = 100;
/// Time for which the first packets of new connections are lost.
const LOSS_MS: u64 = 30;
/// Time within which the connection that fills the queue opens.
const FILLER_TIMEOUT: Duration = Duration::from_millis(10);
/// Time between two rounds, and between the last round and the kill.
const ROUND_MS: u64 = 600;
/// Number of plain requests, whose answers have a length.
const PLAIN_REQUESTS: usize = 280;

unsafe extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
}

/// A replica whose link can lose the first packets of new connections.
struct Replica {
    listener: TcpListener,
    address: SocketAddr,
    is_accepting: AtomicBool,
    /// A connection that fills the queue of new ones.
    filler: Mutex<Option<TcpStream>>,
    served: Arc<Mutex<BTreeMap<&'static str, u32>>>,
}

impl Replica {
    fn start(id: &str, record: &common::Record) -> Arc<Self> {
        let (listener, address) = common::bind();
        listener.set_nonblocking(true).expect("the listener accepts the option");
        let replica = Arc::new(Replica {
            listener,
            address,
            is_accepting: AtomicBool::new(true),
            filler: Mutex::new(None),
            served: Arc::default(),
        });
        let (accepting, record, id) = (replica.clone(), record.clone(), id.to_owned());
        thread::spawn(move || {
            loop {
                if !accepting.is_accepting.load(Ordering::SeqCst) {
                    common::sleep_ms(1);
                    continue;
                }
                let Ok((stream, _)) = accepting.listener.accept() else {
                    common::sleep_ms(1);
                    continue;
                };
                stream.set_nonblocking(false).ok();
                let (record, id, served) = (record.clone(), id.clone(), accepting.served.clone());
                thread::spawn(move || {
                    common::serve_connection(stream, &|request, stream| {
                        respond(&id, &served, &record, &request, stream)
                    });
                });
            }
        });
        replica
    }

    /// Loses the first packet of each new connection until [`Replica::open`]: the queue of new
    /// connections is full.
    fn lose_first_packets(&self) {
        self.is_accepting.store(false, Ordering::SeqCst);
        common::sleep_ms(5);
        // SAFETY: the socket listens already; the call changes the length of its queue.
        unsafe { listen(self.listener.as_raw_fd(), 0) };
        // It does not open if another connection has filled the queue already.
        *self.filler.lock().unwrap() =
            TcpStream::connect_timeout(&self.address, FILLER_TIMEOUT).ok();
        common::sleep_ms(2);
    }

    fn open(&self) {
        // SAFETY: as above.
        unsafe { listen(self.listener.as_raw_fd(), 128) };
        self.is_accepting.store(true, Ordering::SeqCst);
        self.filler.lock().unwrap().take();
    }
}

/// Answers a request. The streams that begin at one replica have no length and end with their
/// connection; all other answers have chunks or a length.
fn respond(
    id: &str,
    served: &Mutex<BTreeMap<&'static str, u32>>,
    record: &common::Record,
    request: &common::Message,
    stream: &mut TcpStream,
) -> bool {
    let request_id = request.field("X-Request-Id").to_owned();
    if request.field("X-Expect-Instance") != id {
        return common::write_response(stream, "421 Misdirected Request", "", "");
    }
    let fields = format!("X-Request-Id: {request_id}\r\nX-Response-Signature: s-{request_id}\r\n");
    if !request.word(1).starts_with("/draft/") {
        *served.lock().unwrap().entry("with a length").or_default() += 1;
        common::sleep_ms(15);
        return common::write_response(stream, "200 OK", &fields, "done");
    }
    let first = request.field("Last-Event-Id").parse().map_or(1, |last: u64| last + 1);
    let is_chunked = id != UNFRAMED_REPLICA || first > 1;
    let framing = if is_chunked { "with chunks" } else { "without a length" };
    *served.lock().unwrap().entry(framing).or_default() += 1;
    record.line(&format!("replica  {id} runs {request_id} from event {first}, answer {framing}"));
    let coding = if is_chunked { "Transfer-Encoding: chunked\r\n" } else { "" };
    let head =
        format!("HTTP/1.1 200 OK\r\n{fields}{coding}Content-Type: text/event-stream\r\n\r\n");
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for event in first..=EVENTS {
        common::sleep_ms(EVENT_INTERVAL_MS);
        let mut text = format!("id: {event}\ndata: piece {event}\n\n");
        if is_chunked {
            text = format!("{:x}\r\n{text}\r\n", text.len());
        }
        if stream.write_all(text.as_bytes()).is_err() {
            record.line(&format!("replica  {id} can't send event {event} of {request_id}"));
            return false;
        }
    }
    if is_chunked {
        stream.write_all(b"0\r\n\r\n").ok();
    }
    record.line(&format!("replica  {id} has sent all events of {request_id}"));
    is_chunked
}

/// Returns whether the rule was kept; `None` if the case couldn't run.
pub fn run(record: &common::Record, has_trouble: bool) -> Option<bool> {
    let folder = common::Folder::new("ended-relay");
    let store = common::Store::start(record);
    let cloud = common::Cloud::start(record, false);
    let routes = [("draft", "streaming", 2, true), ("again", "safe", 2, false)];
    store.put("op", "config", &common::config(3, SERVICE, "", &routes));
    let replicas: Vec<_> = (0..2)
        .map(|index| {
            let id = format!("i-{index}");
            let replica = Replica::start(&id, record);
            store.put("servers", &id, &common::server_row(SERVICE, replica.address, "z0", "ready"));
            replica
        })
        .collect();
    let mut daemons: Vec<_> = [("front-a", "z1"), ("front-b", "z1"), ("front-c", "z0"), ("front-d", "z2")]
        .into_iter()
        .map(|(name, zone)| common::Daemon::start(name, zone, store.address, cloud.address, &folder.0))
        .collect();
    for daemon in &daemons {
        daemon.await_ready();
    }
    // The daemons get to know each other.
    common::sleep_ms(3_000);
    let others = [daemons[2].front, daemons[3].front];
    let send_plain = |count: usize, prefix: &str| {
        (0..count)
            .filter(|number| {
                common::sleep_ms(20);
                let id = format!("{prefix}{number}");
                common::call(others[number % 2], "GET", "/again/1", &id, 1_500).status == 200
            })
            .count()
    };
    let answered = send_plain(PLAIN_REQUESTS, "p");
    record.line(&format!("callers  {answered} plain requests were answered"));
    let front = daemons[0].front;
    let mut callers = Vec::new();
    for round in 0..ROUNDS {
        if has_trouble {
            record.line("link     from z1 to z0 loses the first packets of new connections to the replicas");
            replicas.iter().for_each(|replica| replica.lose_first_packets());
        }
        for number in 0..STREAMS {
            callers.push(thread::spawn(move || {
                let id = format!("s{}", round * STREAMS + number);
                common::call(front, "POST", "/draft/1", &id, 15_000)
            }));
        }
        common::sleep_ms(LOSS_MS);
        if has_trouble {
            replicas.iter().for_each(|replica| replica.open());
            record.line("link     from z1 to z0 passes all packets on");
        }
        common::sleep_ms(ROUND_MS);
    }
    if has_trouble {
        daemons[1].kill();
        record.line(&format!("killed   {}", daemons[1].name));
    }
    let mut is_kept = true;
    for (number, caller) in callers.into_iter().enumerate() {
        let answer = caller.join().ok()?;
        let text = String::from_utf8_lossy(&answer.message.body).into_owned();
        let ids: Vec<u64> = text
            .lines()
            .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
            .collect();
        let last = ids.last().copied().unwrap_or(0);
        record.line(&format!(
            "callers  stream s{number}: {}, {} events, last {last}, {}",
            answer.status,
            ids.len(),
            if answer.is_complete { "with its end" } else { "broken off" }
        ));
        let is_in_order = ids.iter().enumerate().all(|(index, id)| *id == index as u64 + 1);
        if !is_in_order {
            record.line(&format!("BROKEN   ORDER: stream s{number} has events {ids:?}"));
            is_kept = false;
        }
        if answer.status == 200 && answer.is_complete && last < EVENTS {
            record.line(&format!(
                "BROKEN   ORDER, MIXED: stream s{number} ends as complete after event {last} of {EVENTS}"
            ));
            is_kept = false;
        }
    }
    for (index, replica) in replicas.iter().enumerate() {
        record.line(&format!("replica  i-{index} gave answers {:?}", replica.served.lock().unwrap()));
    }
    Some(is_kept)
}
