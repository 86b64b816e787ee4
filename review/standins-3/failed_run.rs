//! A replica whose status check is good runs bookings and fails a share of them with a 503 that doesn't say
//! that they weren't run.

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

use crate::deployment::{Deployment, Record};
use crate::http::{Connection, Message};

const CONFIG: &str = r#"{"version":1,"routes":[
{"name":"slot-book","host":"fit.example","prefix":"/slot/","kind":"unsafe","timeout_ms":800,"target_latency_ms":100,"priority":2,"service":"courier-app","max_attempts":1,"public":true}],
"services":[{"name":"courier-app","health_path":"/healthz"}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[]}"#;

/// Number of bookings.
const BOOKINGS: u32 = 60;
/// Statuses that promise that a request hasn't run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Sends one attempt of a booking and returns its response.
fn send(deployment: &Deployment, number: u32, request_id: &str) -> Option<Message> {
    let gateway = &deployment.gateways[number as usize % deployment.gateways.len()];
    let mut connection = Connection::open(gateway.callers).ok()?;
    let request = format!(
        "POST /slot/{number} HTTP/1.1\r\nHost: fit.example\r\nX-Request-Id: {request_id}\r\n\
         X-Deadline-Ms: 1500\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    connection.write(request.as_bytes()).ok()?;
    connection.message().ok()
}

/// Runs the case and returns the exit code.
pub fn run(folder: &str) -> i32 {
    let Ok(record) = Record::create(folder) else { return 2 };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let mut deployment = Deployment::start(record.clone(), CONFIG);
    for number in 1..=4 {
        let id = format!("i-courier{number}");
        match has_trouble && number == 1 {
            true => deployment.add_failing_replica(&id, "courier-app"),
            false => deployment.add_replica(&id, "courier-app", false),
        }
    }
    for number in 1..=3 {
        deployment.add_gateway(&format!("front-{number}"));
    }
    if !deployment.wait_ready() {
        record.note("the gateways are not ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(3));

    let mut promised = BTreeMap::new();
    for number in 0..BOOKINGS {
        // A client comes back once after a promise, as a new attempt with an ID of its own.
        for attempt in 1..=2 {
            let request_id = format!("booking-{number}-{attempt}");
            record.note(&format!("client sends {request_id}"));
            let Some(response) = send(&deployment, number, &request_id) else {
                record.note(&format!("client gets no answer to {request_id}"));
                break;
            };
            let signature = response.field("x-response-signature").unwrap_or("none");
            let status = response.status();
            record.note(&format!("client gets {status} for {request_id}, signature {signature}"));
            if !PROMISES.contains(&status) {
                break;
            }
            promised.insert(request_id, status);
        }
        thread::sleep(Duration::from_millis(40));
    }
    thread::sleep(Duration::from_secs(1));

    let mut broken = 0;
    for (request_id, status) in promised {
        if let Some(run) = record.find(&format!("runs {request_id}")) {
            broken += 1;
            record.note(&format!("{request_id} was answered {status} and has run: {run}"));
        }
    }
    record.note(&format!("{broken} requests that have run were said not to have run"));
    record.note(if broken > 0 { "BROKEN" } else { "held" });
    i32::from(broken > 0)
}
