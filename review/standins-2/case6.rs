//! Replicas crash and start again while a daemon stands still. The streams that they were writing have no
//! length and end with their channels. Checks MIXED: what ended early must not look complete.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{self, Deployment, Record};
use crate::http;
use crate::replica;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-draft","host":"desk.example","prefix":"/draft/","kind":"streaming","timeout_ms":15000,"target_latency_ms":1200,"priority":0,"service":"assist-llm","max_attempts":2,"public":false,"sticky":false,"resumable":true,"gap_aim_ms":400}],"services":[{"name":"assist-llm","health_path":"/healthz","max_conns":370,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"hule930","api_keys":["key-1"],"priority":1,"unit":"tokens","plain_tokens":200,"rate_per_s":267115,"burst":267115}]}"#;
/// Events of a stream.
const EVENTS: u64 = 64;
/// Replicas of the service, and how many of them crash: a share of 0.17.
const REPLICAS: usize = 18;
const KILLED: usize = 3;
/// Requests, two for each replica.
const REQUESTS: usize = 36;
/// How long a caller waits.
const LIMIT: Duration = Duration::from_secs(15);
/// Time for which the killed replicas are down.
const DOWN: Duration = Duration::from_millis(2_000);
/// Time for which the daemon stands still before and after that.
const MARGIN: Duration = Duration::from_millis(300);

pub fn run(path: &str, has_trouble: bool) -> i32 {
    let record = Record::new(path);
    let mut deployment = Deployment::new(&record, CONFIG);
    let events = EVENTS.to_string();
    for number in 0..REPLICAS {
        let zone = ["bayanzurkh", "songino", "khan-uul", "sukhbaatar"][number % 4];
        deployment.add_replica(&format!("i-{number}"), "assist-llm", zone, &[&events, "60", "close"]);
    }
    if !deployment.start_gateways() {
        return 2;
    }
    thread::sleep(Duration::from_millis(3_500));
    let address = deployment.gateways[0].callers;
    let callers: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || call(&record, address, &format!("q{number}")))
        })
        .collect();
    thread::sleep(Duration::from_millis(1_200));
    if has_trouble {
        deployment.signal_gateway(0, deployment::STOP);
        thread::sleep(MARGIN);
        (0..KILLED).for_each(|index| deployment.kill_replica(index));
        thread::sleep(DOWN);
        (0..KILLED).for_each(|index| {
            deployment.reboot_replica(index, &format!("i-{index}-again"));
        });
        thread::sleep(MARGIN);
        deployment.signal_gateway(0, deployment::CONTINUE);
    }
    let verdicts = callers.into_iter().map(|caller| caller.join().expect("a caller ends"));
    let verdicts: Vec<Option<bool>> = verdicts.collect();
    let broken = verdicts.iter().filter(|verdict| **verdict == Some(false)).count();
    let whole = verdicts.iter().filter(|verdict| **verdict == Some(true)).count();
    record.add(&format!("{whole} whole answers, {broken} that look complete and are not"));
    match (broken, whole) {
        (0, 0) => 2,
        (0, _) => 0,
        _ => 1,
    }
}

/// Sends a request. Returns whether a complete success was the replica's whole body.
fn call(record: &Record, address: SocketAddr, request: &str) -> Option<bool> {
    let mut connection = http::Connection::connect(address).ok()?;
    let limit = LIMIT.as_millis();
    let text = format!("POST /draft/2f HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {request}\r\nX-Deadline-Ms: {limit}\r\nAuthorization: Token key-1\r\nContent-Length: 5\r\n\r\nhello");
    record.add(&format!("caller sends {request}"));
    connection.write(text.as_bytes()).ok()?;
    let answer = http::read_answer(&mut connection, Instant::now() + LIMIT);
    let (status, length, gap) = (answer.status, answer.body.len(), answer.gap_ms);
    let end = if answer.is_complete { "complete" } else { "cut off" };
    record.add(&format!("caller got {request}: status {status}, {length} bytes, {end}, longest pause {gap} ms"));
    if status != 200 || !answer.is_complete {
        return None;
    }
    let whole: String = (1..=EVENTS).map(|number| replica::piece(request, number)).collect();
    let is_whole = answer.body == whole.as_bytes();
    if !is_whole {
        record.add(&format!("BROKEN: {request} got {length} of {} bytes as a complete success", whole.len()));
    }
    Some(is_whole)
}
