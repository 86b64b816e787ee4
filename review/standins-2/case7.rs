//! The daemon that reads the replicas' entries for the others is killed and starts again, while one
//! replica is replaced by another one. Checks DRAIN at the other daemons, to which nothing happens.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{self, Deployment, Record};
use crate::http;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-book","host":"desk.example","prefix":"/book/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":100,"priority":0,"service":"courier-app","max_attempts":2,"public":false,"sticky":false,"resumable":false}],"services":[{"name":"courier-app","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"hule930","api_keys":["key-1"],"priority":1,"unit":"tokens","plain_tokens":200,"rate_per_s":267115,"burst":267115}]}"#;
/// Pieces and work of an answer: 800 bytes after 15 ms.
const SCRIPT: [&str; 3] = ["30", "15", "length"];
/// `drain_ms`: time after the removal of an entry in which requests may still reach the replica.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time for which the replica serves after its entry was removed.
const SERVES: Duration = Duration::from_secs(9);
/// Time from the kill of the daemon to its restart.
const RESTART: Duration = Duration::from_millis(300);
/// How long a caller waits.
const LIMIT: Duration = Duration::from_millis(1_500);

/// What the callers sent, and when.
type SentRequests = Mutex<Vec<(String, Instant)>>;

pub fn run(path: &str, has_trouble: bool) -> i32 {
    let record = Record::new(path);
    let mut deployment = Deployment::new(&record, CONFIG);
    let zones = ["bayanzurkh", "songino", "khan-uul", "sukhbaatar"];
    for (number, zone) in zones.iter().enumerate() {
        deployment.add_replica(&format!("i-{}", number + 1), "courier-app", zone, &SCRIPT);
    }
    if !deployment.start_gateways() {
        return 2;
    }
    // All daemons are in touch by then.
    thread::sleep(Duration::from_millis(5_000));
    let is_done = Arc::new(AtomicBool::new(false));
    let sent: Arc<SentRequests> = Arc::default();
    // The first daemon, which is killed, gets no requests.
    let callers: Vec<_> = (1..deployment.gateways.len())
        .map(|number| {
            let address = deployment.gateways[number].callers;
            let (record, sent, is_done) = (record.clone(), sent.clone(), is_done.clone());
            thread::spawn(move || call(&record, address, number, &sent, &is_done))
        })
        .collect();
    thread::sleep(Duration::from_millis(1_500));
    if has_trouble {
        deployment.signal_gateway(0, deployment::KILL);
    }
    deployment.add_replica("i-5", "courier-app", zones[0], &SCRIPT);
    deployment.unlist_replica(0);
    let removed_at = Instant::now();
    if has_trouble {
        thread::sleep(RESTART);
        deployment.start_gateway(0);
    }
    thread::sleep(SERVES.saturating_sub(removed_at.elapsed()));
    deployment.kill_replica(0);
    thread::sleep(Duration::from_millis(1_500));
    is_done.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| caller.join().expect("a caller ends"));
    let runs = record.find("replica: run i-1 ");
    let sent = sent.lock().unwrap();
    let is_late = |request: &str, at: Instant| {
        at > removed_at + DRAIN && runs.iter().any(|run| run == request)
    };
    let late: Vec<_> = sent.iter().filter(|(request, at)| is_late(request, *at)).collect();
    for (request, at) in late.iter().take(10) {
        let after = at.duration_since(removed_at).as_millis();
        record.add(&format!("BROKEN: {request} was sent {after} ms after the removal of i-1 and ran there"));
    }
    let new = record.find("replica: run i-5 ").len();
    record.add(&format!("{} of {} requests ran at i-1 too late, {new} at i-5", late.len(), sent.len()));
    match (late.len(), sent.len()) {
        (_, 0) => 2,
        (0, _) => 0,
        _ => 1,
    }
}

/// Sends requests on channels that are used several times.
fn call(record: &Record, address: SocketAddr, caller: usize, sent: &SentRequests, is_done: &AtomicBool) {
    let limit = LIMIT.as_millis();
    for number in 0.. {
        let Ok(mut connection) = http::Connection::connect(address) else { return };
        for turn in 0..10 {
            if is_done.load(Ordering::SeqCst) {
                return;
            }
            let request = format!("c{caller}n{number}t{turn}");
            let text = format!("POST /book/2f HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {request}\r\nX-Deadline-Ms: {limit}\r\nAuthorization: Token key-1\r\nContent-Length: 5\r\n\r\nhello");
            sent.lock().unwrap().push((request.clone(), Instant::now()));
            let _ = connection.write(text.as_bytes());
            let answer = http::read_answer(&mut connection, Instant::now() + LIMIT);
            record.add(&format!("caller got {request}: status {}", answer.status));
            if !answer.is_complete {
                break;
            }
            thread::sleep(Duration::from_millis(30));
        }
    }
}
