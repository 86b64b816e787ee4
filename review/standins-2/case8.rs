//! The operator writes a valid version with a tenant whose name has a space; the same version takes a key
//! away from another tenant. Checks CONFIG.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, Record};
use crate::http;

/// `config_apply_ms`: time after the store's ack by which a version is in force.
const APPLY: Duration = Duration::from_millis(2_000);
/// How long a caller waits.
const LIMIT: Duration = Duration::from_millis(1_500);
const ROUNDS: usize = 5;

fn tenant(name: &str, keys: &str) -> String {
    format!(r#"{{"name":"{name}","api_keys":[{keys}],"priority":1,"unit":"tokens","plain_tokens":200,"rate_per_s":267115,"burst":267115}}"#)
}

fn config(version: u64, tenants: &[String]) -> String {
    let tenants = tenants.join(",");
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-book","host":"desk.example","prefix":"/book/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":100,"priority":0,"service":"courier-app","max_attempts":2,"public":false,"sticky":false,"resumable":false}}],"services":[{{"name":"courier-app","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{tenants}]}}"#
    )
}

pub fn run(path: &str, has_trouble: bool) -> i32 {
    let record = Record::new(path);
    let first = config(7, &[tenant("hule930", r#""key-a","key-b""#)]);
    let mut deployment = Deployment::new(&record, &first);
    for (id, zone) in [("i-1", "bayanzurkh"), ("i-2", "songino")] {
        deployment.add_replica(id, "courier-app", zone, &["30", "15", "length"]);
    }
    if !deployment.start_gateways() {
        return 2;
    }
    thread::sleep(Duration::from_millis(3_500));
    // Without the trouble, the version differs by the hyphen alone.
    let name = if has_trouble { "Winter desk" } else { "Winter-desk" };
    let second = config(9, &[tenant("hule930", r#""key-a""#), tenant(name, r#""key-c""#)]);
    deployment.store.put("op", "config", Some(&second));
    record.add(&format!("the store has version 9: key-b is gone, key-c belongs to {name:?}"));
    thread::sleep(APPLY + Duration::from_millis(1_000));
    let (mut broken, mut sent) = (0, 0);
    for round in 0..ROUNDS {
        for (index, gateway) in deployment.gateways.iter().enumerate() {
            for (key, expected) in [("key-a", 200), ("key-b", 401), ("key-c", 200)] {
                let request = format!("round{round}daemon{index}{key}");
                let status = call(gateway.callers, &request, key);
                record.add(&format!("caller got {request}: status {status}"));
                sent += 1;
                if status != expected {
                    broken += 1;
                    record.add(&format!("BROKEN: {request} was handled as only version 7 allows"));
                }
            }
        }
        thread::sleep(Duration::from_millis(1_000));
    }
    record.add(&format!("{broken} of {sent} requests were handled as only version 7 allows"));
    i32::from(broken > 0)
}

/// Sends a request with a key. Returns the status of its answer.
fn call(address: SocketAddr, request: &str, key: &str) -> u16 {
    let Ok(mut connection) = http::Connection::connect(address) else { return 0 };
    let limit = LIMIT.as_millis();
    let text = format!("POST /book/2f HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {request}\r\nX-Deadline-Ms: {limit}\r\nAuthorization: Token {key}\r\nContent-Length: 0\r\n\r\n");
    let _ = connection.write(text.as_bytes());
    http::read_answer(&mut connection, Instant::now() + LIMIT).status
}
