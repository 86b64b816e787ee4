//! Requests of the demonstration's callers.

use std::io::Write as _;
use std::net;
use std::time::Duration;

use async_std::stream::StreamExt as _;
use async_std::task;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use samphiremoor_httpio::client;
use samphiremoor_httpio::problem;
use serde_json::Value;
use serde_json::json;

use crate::system;

/// Time limits of a request.
const LIMITS: client::CallLimits = client::CallLimits {
    connect: samphiremoor_base::time::Millis::new(1_000),
    head: samphiremoor_base::time::Millis::new(20_000),
    silence: samphiremoor_base::time::Millis::new(20_000),
};

/// Maximum number of attempts of a call that is refused with a `Retry-After` header.
const MAX_ATTEMPTS: u32 = 20;

/// Prefixes of the printed metrics.
const METRIC_PREFIXES: [&str; 3] =
    ["samphiremoor_requests_total", "samphiremoor_refusals_total", "samphiremoor_retries_total"];

/// Streams a draft in each zone, sends a booking to both zones with one idempotency key, and sends
/// a look-up.
pub(crate) async fn send_requests(system: &system::DemoSystem) -> Result<(), String> {
    for (zone, workspace, model) in [
        (&system.zones[0], "municipal-rental", "rental-draft"),
        (&system.zones[1], "records-office", "letter-draft"),
    ] {
        println!("\nstreamed {model} for {workspace} in {}:", zone.spec.zone);
        stream_draft(zone.addresses.http, workspace, model).await?;
    }
    let booking = "{\"household\": 17, \"slot\": \"2026-12-04T09\"}";
    for zone in &system.zones {
        println!("\nbooking with the key visit-17 in {}:", zone.spec.zone);
        let path = "/v1/services/courier-slot/bookings";
        call_service(zone.addresses.http, "courier-crews", path, Some("visit-17"), booking).await?;
    }
    println!("\nlook-up in {}:", system.zones[1].spec.zone);
    let path = "/v1/services/redirect-check/orders";
    call_service(system.zones[1].addresses.http, "counters-casablanca", path, None, "{}").await
}

/// Prints the nonzero request metrics of each entry daemon.
pub(crate) async fn print_metrics(system: &system::DemoSystem) -> Result<(), String> {
    for zone in &system.zones {
        println!("\nmetrics in {}:", zone.spec.zone);
        let request = request(zone.addresses.http, Method::Get, "/metrics")?;
        let mut response = send(zone.addresses.http, request).await?;
        let text = response.body_string().await.map_err(|cause| cause.to_string())?;
        let has_prefix =
            |line: &&str| METRIC_PREFIXES.iter().any(|prefix| line.starts_with(prefix));
        let is_nonzero = |line: &&str| !line.ends_with(" 0");
        text.lines().filter(has_prefix).filter(is_nonzero).for_each(|line| println!("  {line}"));
    }
    Ok(())
}

/// Returns the status of a GET request, or `None` if there is no response.
pub(crate) async fn read_status(address: net::SocketAddr, path: &str) -> Option<u16> {
    let request = request(address, Method::Get, path).ok()?;
    let response = client::send(address, request, LIMITS).await.ok()?;
    Some(u16::from(response.status()))
}

async fn stream_draft(
    address: net::SocketAddr,
    workspace: &str,
    model: &str,
) -> Result<(), String> {
    let body = json!({
        "model": model,
        "stream": true,
        "max_tokens": 24,
        "messages": [{"role": "user", "content": "Draft a lease for a treadmill until May."}],
    });
    let mut request = request(address, Method::Post, "/v1/chat/completions")?;
    request.insert_header("Authorization", format!("Bearer {}", system::key_of(workspace)));
    request.insert_header("Content-Type", "application/json");
    request.set_body(body.to_string());
    let response = expect_success(send(address, request).await?).await?;
    print_head(&response);
    let mut events = async_sse::decode(response);
    let mut count = 0;
    print!("  ");
    while let Some(event) = events.next().await {
        let async_sse::Event::Message(message) = event.map_err(|cause| cause.to_string())? else {
            continue;
        };
        if message.data() == b"[DONE]" {
            println!("\n  complete: {count} tokens");
            return Ok(());
        }
        count += print_delta(message.data());
    }
    Err("the stream ended without its end marker".to_owned())
}

/// Prints the text of one event and returns the number of tokens in it.
fn print_delta(data: &[u8]) -> usize {
    let event: Value = serde_json::from_slice(data).unwrap_or(Value::Null);
    let Some(text) = event["choices"][0]["delta"]["content"].as_str() else { return 0 };
    print!("{text}");
    // A closed terminal does not stop the demonstration.
    let _ = std::io::stdout().flush();
    usize::from(!text.is_empty())
}

async fn call_service(
    address: net::SocketAddr,
    workspace: &str,
    path: &str,
    key: Option<&str>,
    body: &str,
) -> Result<(), String> {
    let mut attempts = 0;
    loop {
        let mut request = request(address, Method::Post, path)?;
        request.insert_header("Authorization", format!("Bearer {}", system::key_of(workspace)));
        request.insert_header("Content-Type", "application/json");
        if let Some(key) = key {
            request.insert_header("Idempotency-Key", key);
        }
        request.set_body(body);
        let mut response = send(address, request).await?;
        attempts += 1;
        if let Some(delay) = retry_delay(&response).filter(|_| attempts < MAX_ATTEMPTS) {
            println!("  {} not run, retrying in {delay:?}", response.status());
            task::sleep(delay).await;
            continue;
        }
        response = expect_success(response).await?;
        print_head(&response);
        let text = response.body_string().await.map_err(|cause| cause.to_string())?;
        println!("  {text}");
        return Ok(());
    }
}

/// Returns the delay before a retry if the response says that the call was not run and may be
/// retried.
fn retry_delay(response: &Response) -> Option<Duration> {
    let outcome = response.header(problem::OUTCOME_HEADER)?.as_str();
    let seconds = response.header("Retry-After")?.as_str().parse().ok()?;
    (outcome == "not-run").then_some(Duration::from_secs(seconds))
}

fn print_head(response: &Response) {
    let header = |name: &str| response.header(name).map_or("-", |value| value.as_str()).to_owned();
    println!(
        "  {} request {} outcome {}",
        response.status(),
        header(problem::REQUEST_ID_HEADER),
        header(problem::OUTCOME_HEADER)
    );
}

async fn expect_success(mut response: Response) -> Result<Response, String> {
    if response.status().is_success() {
        return Ok(response);
    }
    let text = response.body_string().await.unwrap_or_default();
    Err(format!("the call was refused with {}: {text}", response.status()))
}

fn request(address: net::SocketAddr, method: Method, path: &str) -> Result<Request, String> {
    let url = client::url(address, path).map_err(|cause| cause.to_string())?;
    Ok(Request::new(method, url))
}

async fn send(address: net::SocketAddr, request: Request) -> Result<Response, String> {
    client::send(address, request, LIMITS).await.map_err(|cause| cause.to_string())
}
