//! A replica crashes amid an answer without a length, and the gateway that has the request can't see so
//! at once: it stands still, or doesn't reach the replica's address.

use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::deployment::{Deployment, Record};
use crate::http::{Connection, Message, wait_until};
use crate::{EVENTS, event, plain_body};

const CONFIG: &str = r#"{"version":1,"routes":[
{"name":"lease-draft","host":"fit.example","prefix":"/draft/","kind":"streaming","timeout_ms":15000,"target_latency_ms":1200,"gap_aim_ms":400,"priority":0,"service":"assist-llm","max_attempts":2,"public":true,"resumable":true},
{"name":"slot-book","host":"fit.example","prefix":"/book/","kind":"unsafe","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"courier-app","max_attempts":1,"public":true}],
"services":[{"name":"assist-llm","health_path":"/healthz"},{"name":"courier-app","health_path":"/healthz"}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[]}"#;

/// What happens to the replica that runs the request.
pub enum Crash {
    /// It crashes and starts again at its address, while the gateway stands still.
    Restart(Restart),
    /// The ways to it are cut in one direction, and it crashes behind the cut.
    BehindCut,
}

/// Times of a restart, and how the replica starts again.
pub struct Restart {
    /// Time between the stop of the gateway and the crash of the replica.
    crash_delay: Duration,
    /// Time for which the replica is down.
    down_time: Duration,
    /// Time between the replica's start and the end of the gateway's stop.
    up_time: Duration,
    /// Whether the replica starts under its former ID.
    keeps_id: bool,
}

/// A start under the former ID.
pub const SAME_ID: Crash = Crash::Restart(Restart {
    crash_delay: Duration::from_millis(200),
    down_time: Duration::from_millis(300),
    up_time: Duration::from_millis(700),
    keeps_id: true,
});

/// A start under a new ID, soon after the crash.
pub const SOON: Crash = Crash::Restart(Restart {
    crash_delay: Duration::from_millis(50),
    down_time: Duration::from_millis(100),
    up_time: Duration::from_millis(200),
    keeps_id: false,
});

/// A crash behind a cut.
pub const ONE_WAY: Crash = Crash::BehindCut;

/// Time between the cut and the crash behind it.
const CUT_TIME: Duration = Duration::from_millis(300);

/// Response as the client has received it.
struct Received {
    head: Message,
    body: Vec<u8>,
    /// Whether it ended as a complete one does.
    is_complete: bool,
}

/// Sends a request and reads its response in a thread.
fn send(
    deployment: &Deployment,
    path: &str,
    request_id: &str,
    deadline_ms: u64,
) -> JoinHandle<Option<Received>> {
    let address = deployment.gateways[0].callers;
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: fit.example\r\nX-Request-Id: {request_id}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    deployment.record.note(&format!("client sends {request_id}: POST {path}"));
    thread::spawn(move || {
        let mut connection = Connection::open(address).ok()?;
        connection.write(request.as_bytes()).ok()?;
        let head = connection.head().ok()?;
        let (body, is_complete) = connection.body(&head);
        Some(Received { head, body, is_complete })
    })
}

/// Crashes the replica that runs a request. Returns whether there is one.
fn trouble(deployment: &mut Deployment, request_id: &str, crash: &Crash) -> bool {
    let runs = deployment.record.find(&format!("runs {request_id}")).unwrap_or_default();
    let running = deployment.replicas.iter().position(|replica| runs.contains(&replica.id));
    let Some(index) = running else { return false };
    match crash {
        Crash::Restart(restart) => restart_replica(deployment, index, restart),
        Crash::BehindCut => crash_behind_cut(deployment, index),
    }
    true
}

/// Stops the gateway, crashes a replica and starts it again, and lets the gateway go on.
fn restart_replica(deployment: &mut Deployment, index: usize, restart: &Restart) {
    let record = deployment.record.clone();
    let id = deployment.replicas[index].id.clone();
    deployment.gateways[0].process.signal("-STOP");
    record.note("gateway front-1 is frozen");
    thread::sleep(restart.crash_delay);
    // Dropping the process kills it.
    deployment.replicas[index].process = None;
    record.note(&format!("replica {id} is killed"));
    thread::sleep(restart.down_time);
    if !restart.keeps_id {
        deployment.replicas[index].id = format!("{id}b");
    }
    deployment.start_replica(index);
    let started = &deployment.replicas[index];
    record.note(&format!("replica {} is started at its address (born {})", started.id, started.born));
    thread::sleep(restart.up_time);
    deployment.gateways[0].process.signal("-CONT");
    record.note("gateway front-1 goes on");
}

/// Cuts the ways to a replica in one direction and crashes it.
fn crash_behind_cut(deployment: &mut Deployment, index: usize) {
    let record = deployment.record.clone();
    let replica = &mut deployment.replicas[index];
    record.note(&format!("nothing reaches replica {} any more; what it sends arrives", replica.id));
    if let Some(link) = &mut replica.link {
        link.cut(false);
        link.close();
    }
    thread::sleep(CUT_TIME);
    replica.process = None;
    record.note(&format!("replica {} is killed", replica.id));
}

/// Runs the case and returns the exit code.
pub fn run(folder: &str, crash: &Crash) -> i32 {
    let Ok(record) = Record::create(folder) else { return 2 };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let has_links = matches!(crash, Crash::BehindCut);
    let mut deployment = Deployment::start(record.clone(), CONFIG);
    for number in 1..=4 {
        deployment.add_replica(&format!("i-assist{number}"), "assist-llm", has_links);
        deployment.add_replica(&format!("i-courier{number}"), "courier-app", has_links);
    }
    for number in 1..=3 {
        deployment.add_gateway(&format!("front-{number}"));
    }
    if !deployment.wait_ready() {
        record.note("the gateways are not ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(3));
    deployment.write_rows();

    let mut broken = false;
    for (path, request_id, deadline_ms, begun) in [
        ("/draft/1", "stream-1", 15_000, Duration::from_millis(1_000)),
        ("/book/1", "booking-1", 4_000, Duration::from_millis(100)),
    ] {
        let client = send(&deployment, path, request_id, deadline_ms);
        let is_running = || record.find(&format!("runs {request_id}")).is_some();
        if !wait_until(Duration::from_secs(3), is_running) {
            record.note(&format!("no replica runs {request_id}"));
            return 2;
        }
        thread::sleep(begun);
        if has_trouble && !trouble(&mut deployment, request_id, crash) {
            return 2;
        }
        let received = client.join().ok().flatten();
        broken |= judge(&record, path, request_id, received);
        thread::sleep(Duration::from_secs(1));
    }
    for line in deployment.log_lines("front-1", "1").iter().filter(|line| {
        line.contains("upstream-identified") || line.contains("stream-1") || line.contains("booking-1")
    }) {
        record.note(&format!("log of front-1: {line}"));
    }
    record.note(if broken { "BROKEN" } else { "held" });
    i32::from(broken)
}

/// Records what a client received. Returns whether a response that looks complete is not whole.
fn judge(record: &Record, path: &str, request_id: &str, received: Option<Received>) -> bool {
    let Some(Received { head, body, is_complete }) = received else {
        record.note(&format!("client gets no answer to {request_id}"));
        return false;
    };
    let whole: Vec<u8> = match path.starts_with("/draft/") {
        true => (1..=EVENTS).flat_map(|number| event(request_id, number).into_bytes()).collect(),
        false => plain_body(request_id),
    };
    let is_success = (200..300).contains(&head.status());
    record.note(&format!(
        "client gets {} for {request_id}: {} of {} bytes, {}, signature {}",
        head.status(),
        body.len(),
        whole.len(),
        if is_complete { "complete" } else { "cut off" },
        head.field("x-response-signature").unwrap_or("none"),
    ));
    is_success && is_complete && body != whole
}
