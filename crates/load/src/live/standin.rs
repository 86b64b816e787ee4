//! Client of the control API of stand-ins.

use std::net;

use http_types::Method;
use http_types::Request;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_httpio::body;
use samphiremoor_httpio::client;
use samphiremoor_standin_engine::wire;

/// Time limits of a control request.
const LIMITS: client::CallLimits = client::CallLimits {
    connect: time::Millis::new(1_000),
    head: time::Millis::new(5_000),
    silence: time::Millis::new(5_000),
};
/// Maximum size of a response body.
const MAX_BODY: quantity::ByteCount = quantity::ByteCount::new(64 * 1024);

/// Reads the token counts of an engine; returns `None` if the engine does not respond.
pub async fn read_counts(address: net::SocketAddr) -> Option<wire::EngineCounts> {
    let url = client::url(address, "/control/counts").ok()?;
    let request = Request::new(Method::Get, url);
    let mut response = client::send(address, request, LIMITS).await.ok()?;
    let bytes = body::read(response.take_body(), MAX_BODY).await.ok()?;
    serde_json::from_slice(&bytes).ok()
}

/// Posts a control request; returns whether the stand-in accepted it.
pub async fn post_control(address: net::SocketAddr, path: &str, body_text: &str) -> bool {
    let Ok(url) = client::url(address, path) else { return false };
    let mut request = Request::new(Method::Post, url);
    request.set_body(body_text);
    request.insert_header("Content-Type", "application/json");
    let result = client::send(address, request, LIMITS).await;
    result.is_ok_and(|response| response.status().is_success())
}
