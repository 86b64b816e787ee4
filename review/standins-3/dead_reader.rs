//! A replica leaves while the gateway that reads the replicas' rows for the others is cut off from the store,
//! and is then killed.

use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, Record};
use crate::http::{Connection, wait_until};
use crate::now_ms;

const CONFIG: &str = r#"{"version":1,"routes":[
{"name":"slot-book","host":"fit.example","prefix":"/slot/","kind":"unsafe","timeout_ms":800,"target_latency_ms":100,"priority":2,"service":"courier-app","max_attempts":1,"public":true}],
"services":[{"name":"courier-app","health_path":"/healthz"}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[]}"#;

/// Time within which no gateway may send a leaving replica any more requests.
const DRAIN_MS: u128 = 2_000;
/// Time from the reader's last read to its end: a cut of less than a second.
const KILL_TIME: Duration = Duration::from_millis(860);
/// Time from the replica's departure after which requests come again, and to the last of them.
const REQUEST_TIMES: (Duration, Duration) = (Duration::from_millis(2_080), Duration::from_millis(2_600));
/// Rounds, as the moments at which the gateways look at each other are not known.
const ROUNDS: usize = 9;

/// Sends a request in a thread.
fn send(deployment: &Deployment, gateway: usize, request_id: String) {
    let address = deployment.gateways[gateway].callers;
    let record = deployment.record.clone();
    thread::spawn(move || {
        let Ok(mut connection) = Connection::open(address) else { return };
        record.note(&format!("client sends {request_id} to gateway {}", gateway + 1));
        let request = format!(
            "POST /slot/1 HTTP/1.1\r\nHost: fit.example\r\nX-Request-Id: {request_id}\r\n\
             X-Deadline-Ms: 1500\r\nContent-Length: 2\r\n\r\n{{}}"
        );
        if connection.write(request.as_bytes()).is_ok()
            && let Ok(response) = connection.message()
        {
            record.note(&format!("client gets {} for {request_id}", response.status()));
        }
    });
}

/// Returns how long after a replica left, in milliseconds, requests reached it later than `DRAIN_MS`.
fn late_runs(record: &Record, id: &str, left_ms: u128) -> Vec<u128> {
    let runs = record.find_all(&format!("{id} runs "));
    let times = runs.iter().filter_map(|line| line.split(' ').next()?.parse::<u128>().ok());
    let delays = times.map(|ran_ms| ran_ms.saturating_sub(left_ms));
    delays.filter(|delay| *delay > DRAIN_MS).collect()
}

/// Runs the case and returns the exit code.
pub fn run(folder: &str) -> i32 {
    let Ok(record) = Record::create(folder) else { return 2 };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let mut deployment = Deployment::start(record.clone(), CONFIG);
    for number in 1..=4 {
        deployment.add_replica(&format!("i-courier{number}"), "courier-app", false);
    }
    // The first one in the order of names reads the rows for the others.
    deployment.add_linked_gateway("front-1");
    deployment.add_gateway("front-2");
    deployment.add_gateway("front-3");
    let mut late = 0;
    for round in 0..ROUNDS {
        if !deployment.wait_ready() {
            record.note("the gateways are not ready");
            return 2;
        }
        // The machines are in touch, and the reader is known to the others.
        thread::sleep(Duration::from_secs(4));
        for gateway in 1..3 {
            send(&deployment, gateway, format!("calm-{round}-{gateway}"));
        }
        thread::sleep(Duration::from_millis(300));
        let Some((id, left_ms)) = play(&mut deployment, round, has_trouble) else { return 2 };
        let delays = late_runs(&record, &id, left_ms);
        if let (Some(first), Some(last)) = (delays.iter().min(), delays.iter().max()) {
            late += 1;
            let count = delays.len();
            record.note(&format!(
                "{id} left at {left_ms}; {count} requests reached it {first} to {last} ms later"
            ));
        }
        // The replica that left has ended, and another one has taken its place.
        deployment.end_replica(0);
        deployment.add_replica(&format!("i-courier{}", 5 + round), "courier-app", false);
        if has_trouble {
            deployment.gateways.remove(0);
            deployment.add_linked_gateway("front-1");
            deployment.gateways.rotate_right(1);
        }
    }
    record.note(&format!("{late} of {ROUNDS} departures were not heeded in time"));
    record.note(if late > 0 { "BROKEN" } else { "held" });
    i32::from(late > 0)
}

/// Lets the first replica leave, amid the disruption if there is one, and sends requests after it. Returns
/// the replica, and when the store had its departure.
fn play(deployment: &mut Deployment, round: usize, has_trouble: bool) -> Option<(String, u128)> {
    let record = deployment.record.clone();
    let id = deployment.replicas[0].id.clone();
    let last_read = deployment.gateways[0].store_link.as_ref()?.last_read.clone();
    let read_before = *last_read.lock().ok()?;
    if !wait_until(Duration::from_secs(2), || last_read.lock().is_ok_and(|read| *read != read_before)) {
        record.note("front-1 doesn't read the rows of the replicas");
        return None;
    }
    let read_at = (*last_read.lock().ok()?)?;
    thread::sleep(Duration::from_millis(10));
    let link = deployment.gateways[0].store_link.as_mut()?;
    if has_trouble {
        link.cut(true);
        record.note("front-1 is cut off from the store");
    }
    deployment.leave(0);
    let (left_at, left_ms) = (Instant::now(), now_ms());
    record.note(&format!("replica {id} leaves; the store has it"));
    if has_trouble {
        deployment.gateways[0].store_link.as_mut()?.close();
        thread::sleep(KILL_TIME.saturating_sub(read_at.elapsed()));
        deployment.gateways[0].process.signal("-KILL");
        record.note("front-1 is killed");
    }
    thread::sleep(REQUEST_TIMES.0.saturating_sub(left_at.elapsed()));
    let mut number = 0;
    while left_at.elapsed() < REQUEST_TIMES.1 {
        for gateway in 1..3 {
            number += 1;
            send(deployment, gateway, format!("late-{round}-{number}"));
        }
        thread::sleep(Duration::from_millis(10));
    }
    thread::sleep(Duration::from_millis(500));
    Some((id, left_ms))
}
