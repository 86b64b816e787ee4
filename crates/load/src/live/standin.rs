//! Control and counts of stand-ins.

use std::net;

use http_types::Method;
use http_types::Request;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_httpio::body;
use samphiremoor_httpio::client;
use samphiremoor_standin_engine::wire;

/// Limits of one call.
const LIMITS: client::CallLimits = client::CallLimits {
    connect: time::Millis::new(1_000),
    head: time::Millis::new(5_000),
    silence: time::Millis::new(5_000),
};
/// Largest answer.
const MAX_BODY: quantity::ByteCount = quantity::ByteCount::new(64 * 1024);

/// Token counts of an engine, where it answers.
pub async fn counts(address: net::SocketAddr) -> Option<wire::EngineCounts> {
    let url = client::url(address, "/control/counts").ok()?;
    let request = Request::new(Method::Get, url);
    let mut response = client::send(address, request, LIMITS).await.ok()?;
    let bytes = body::read(response.take_body(), MAX_BODY).await.ok()?;
    serde_json::from_slice(&bytes).ok()
}

/// Gives an order; true where the stand-in took it.
pub async fn order(address: net::SocketAddr, path: &str, text: &str) -> bool {
    let Ok(url) = client::url(address, path) else { return false };
    let mut request = Request::new(Method::Post, url);
    request.set_body(text);
    request.insert_header("Content-Type", "application/json");
    let answered = client::send(address, request, LIMITS).await;
    answered.is_ok_and(|response| response.status().is_success())
}
