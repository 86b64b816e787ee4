//! Asks upstreams for their state and their load.

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

/// Time limits of a poll.
const POLL_LIMITS: client::CallLimits = client::CallLimits {
    connect: time::Millis::new(300),
    head: time::Millis::new(700),
    silence: time::Millis::new(700),
};

/// Largest answer of an upstream to a poll.
const MAX_POLL_ANSWER: quantity::ByteCount = quantity::ByteCount::new(64 * 1024);

/// Asks upstreams.
#[async_trait]
pub trait UpstreamClient: Send + Sync {
    /// State and load of the upstream at the address; silent where it does not answer in time.
    async fn poll(&self, address: net::SocketAddr) -> gossip::PollResult;

    /// Gives an order; what became of it shows in the upstream's state.
    async fn order(&self, address: net::SocketAddr, order: &UpstreamOrder) -> OrderOutcome;
}

/// The body of `POST /orders`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct UpstreamOrder {
    /// Fencing number of who orders.
    pub fence: quantity::FencingToken,
    /// Time from the receipt in which the order may be carried out.
    pub valid_ms: time::Millis,
    /// What is ordered.
    #[serde(flatten)]
    pub action: OrderAction,
}

/// What is ordered.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderAction {
    /// Load a model.
    Load(set::LoadedModel),
    /// Unload a model.
    Unload(set::LoadedModel),
    /// Take a role.
    Role(UpstreamRole),
}

/// Role of an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamRole {
    /// Computes prompts and answers.
    Both,
}

/// What an upstream answered to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// It was accepted.
    Accepted,
    /// It was refused with this HTTP status.
    Refused(u16),
    /// No answer: it may have been accepted.
    NotKnown,
}

/// Asks upstreams over HTTP.
#[derive(Clone, Copy, Debug, Default)]
pub struct HttpUpstream;

#[async_trait]
impl UpstreamClient for HttpUpstream {
    async fn poll(&self, address: net::SocketAddr) -> gossip::PollResult {
        match ask(address).await {
            Some(answer) => answer,
            None => gossip::PollResult::NoResponse,
        }
    }

    async fn order(&self, address: net::SocketAddr, order: &UpstreamOrder) -> OrderOutcome {
        let Ok(url) = client::url(address, "/orders") else { return OrderOutcome::NotKnown };
        let mut request = Request::new(Method::Post, url);
        request.set_body(serde_json::to_string(order).expect("an order has only plain fields"));
        request.insert_header("Content-Type", "application/json");
        match client::send(address, request, POLL_LIMITS).await {
            Ok(response) if response.status().is_success() => OrderOutcome::Accepted,
            Ok(response) => OrderOutcome::Refused(u16::from(response.status())),
            Err(_) => OrderOutcome::NotKnown,
        }
    }
}

/// The answer of `GET /state`; what control does not need is left out.
#[derive(Debug, Deserialize)]
struct StateWire {
    ready: bool,
    #[serde(default)]
    draining: bool,
    #[serde(default)]
    models: Vec<set::LoadedModel>,
}

/// The answer of `GET /load`.
#[derive(Debug, Deserialize)]
struct LoadWire {
    running: u32,
    queued: u32,
    #[serde(default)]
    queued_tokens: quantity::TokenCount,
}

async fn ask(address: net::SocketAddr) -> Option<gossip::PollResult> {
    let state: StateWire = get(address, "/state").await?;
    if !state.ready && !state.draining {
        return Some(gossip::PollResult::NotReady);
    }
    // A plain service may report no load.
    let load: Option<LoadWire> = get(address, "/load").await;
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

async fn get<A: de::DeserializeOwned>(address: net::SocketAddr, path: &str) -> Option<A> {
    let url = client::url(address, path).ok()?;
    let request = Request::new(Method::Get, url);
    let mut response = client::send(address, request, POLL_LIMITS).await.ok()?;
    if response.status() != StatusCode::Ok {
        return None;
    }
    let bytes = body::read(response.take_body(), MAX_POLL_ANSWER).await.ok()?;
    serde_json::from_slice(&bytes).ok()
}
