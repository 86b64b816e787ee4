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
use samphiremoor_membership::news;
use samphiremoor_records::set;
use samphiremoor_view::zone;
use serde::Deserialize;
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
pub trait UpstreamPoller: Send + Sync {
    /// State and load of the upstream at the address; silent where it does not answer in time.
    async fn poll(&self, address: net::SocketAddr) -> news::ReplicaAnswer;
}

/// Asks upstreams over HTTP.
#[derive(Clone, Copy, Debug, Default)]
pub struct HttpPoller;

#[async_trait]
impl UpstreamPoller for HttpPoller {
    async fn poll(&self, address: net::SocketAddr) -> news::ReplicaAnswer {
        match ask(address).await {
            Some(answer) => answer,
            None => news::ReplicaAnswer::Silent,
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

async fn ask(address: net::SocketAddr) -> Option<news::ReplicaAnswer> {
    let state: StateWire = get(address, "/state").await?;
    if state.draining {
        return Some(news::ReplicaAnswer::Draining);
    }
    if !state.ready {
        return Some(news::ReplicaAnswer::NotReady);
    }
    // A plain service may report no load.
    let load: Option<LoadWire> = get(address, "/load").await;
    let report = load.map(|load| zone::LoadReport {
        running: load.running,
        queued: load.queued,
        queued_tokens: load.queued_tokens,
        ..zone::LoadReport::default()
    });
    Some(news::ReplicaAnswer::Ready {
        models: state.models.into(),
        load: news::LoadLevel::of(&report.unwrap_or_default()),
    })
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
