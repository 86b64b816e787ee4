//! Client that polls upstreams and sends orders to them.

use std::net;

use async_trait::async_trait;
use http_types::Method;
use http_types::Request;
use http_types::StatusCode;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_httpio::body;
use samphiremoor_httpio::client;
use samphiremoor_membership::gossip;
use samphiremoor_records::set;
use samphiremoor_view::zone;
use serde::Deserialize;
use serde::Serialize;
use serde::de;

/// Timeouts of a poll or an order.
const REQUEST_LIMITS: client::CallLimits = client::CallLimits {
    connect: time::Millis::new(300),
    head: time::Millis::new(700),
    silence: time::Millis::new(700),
};

/// Maximum size of the response of an upstream to a poll.
const MAX_POLL_RESPONSE: quantity::ByteCount = quantity::ByteCount::new(64 * 1024);

/// Polls upstreams and sends orders to them.
#[async_trait]
pub trait UpstreamClient: Send + Sync {
    /// Polls the state and load of the upstream at the address.
    async fn poll(&self, address: net::SocketAddr) -> gossip::PollResult;

    /// Sends an order. Its effect shows in the state of the upstream.
    async fn send_order(&self, address: net::SocketAddr, order: &UpstreamOrder) -> OrderOutcome;
}

/// Body of `POST /orders`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct UpstreamOrder {
    /// Fencing token of the lease holder that sends the order.
    pub fence: quantity::FencingToken,
    /// Time after the receipt in which the order may be executed.
    pub valid_ms: time::Millis,
    /// The action to execute.
    #[serde(flatten)]
    pub action: OrderAction,
}

/// Action of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderAction {
    /// Load a model.
    Load(set::LoadedModel),
    /// Unload a model.
    Unload(set::LoadedModel),
    /// Switch to a role.
    Role(UpstreamRole),
}

/// Role of an engine in prefill/decode disaggregation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamRole {
    /// Runs both prefill and decode.
    Both,
}

/// Result of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The upstream accepted the order.
    Accepted,
    /// The upstream refused the order with this HTTP status.
    Refused(u16),
    /// The upstream did not respond, and may have accepted the order.
    Unknown,
}

/// Client of upstreams over HTTP.
#[derive(Clone, Copy, Debug, Default)]
pub struct HttpUpstream;

#[async_trait]
impl UpstreamClient for HttpUpstream {
    async fn poll(&self, address: net::SocketAddr) -> gossip::PollResult {
        match poll_upstream(address).await {
            Some(result) => result,
            None => gossip::PollResult::NoResponse,
        }
    }

    async fn send_order(&self, address: net::SocketAddr, order: &UpstreamOrder) -> OrderOutcome {
        let Ok(url) = client::url(address, "/orders") else { return OrderOutcome::Unknown };
        let mut request = Request::new(Method::Post, url);
        request.set_body(serde_json::to_string(order).expect("an order can be serialized"));
        request.insert_header("Content-Type", "application/json");
        match client::send(address, request, REQUEST_LIMITS).await {
            Ok(response) if response.status().is_success() => OrderOutcome::Accepted,
            Ok(response) => OrderOutcome::Refused(u16::from(response.status())),
            Err(_) => OrderOutcome::Unknown,
        }
    }
}

/// Response to `GET /state`, with only the fields that the control thread needs.
#[derive(Debug, Deserialize)]
struct StateWire {
    ready: bool,
    #[serde(default)]
    draining: bool,
    #[serde(default)]
    models: Vec<set::LoadedModel>,
}

/// Response to `GET /load`.
#[derive(Debug, Deserialize)]
struct LoadWire {
    running: u32,
    queued: u32,
    #[serde(default)]
    queued_tokens: quantity::TokenCount,
}

async fn poll_upstream(address: net::SocketAddr) -> Option<gossip::PollResult> {
    let state: StateWire = get_json(address, "/state").await?;
    if !state.ready && !state.draining {
        return Some(gossip::PollResult::NotReady);
    }
    // A plain service need not report its load.
    let load: Option<LoadWire> = get_json(address, "/load").await;
    let report = load.map(|load| zone::LoadReport {
        running: load.running,
        queued: load.queued,
        queued_tokens: load.queued_tokens,
        ..zone::LoadReport::default()
    });
    let load = gossip::QuantizedLoad::from_report(&report.unwrap_or_default());
    if state.draining {
        return Some(gossip::PollResult::Draining { load });
    }
    Some(gossip::PollResult::Ready { models: state.models.into(), load })
}

/// Sends a GET request and parses the JSON response, or returns `None` if either fails.
async fn get_json<A: de::DeserializeOwned>(address: net::SocketAddr, path: &str) -> Option<A> {
    let url = client::url(address, path).ok()?;
    let request = Request::new(Method::Get, url);
    let mut response = client::send(address, request, REQUEST_LIMITS).await.ok()?;
    if response.status() != StatusCode::Ok {
        return None;
    }
    let bytes = body::read(response.take_body(), MAX_POLL_RESPONSE).await.ok()?;
    serde_json::from_slice(&bytes).ok()
}
