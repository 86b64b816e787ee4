//! Polls the cache events of the engines in this daemon's availability zone, for routing.
//!
//! A fixed number of polls a second bounds the traffic: with many engines each is polled more
//! rarely, and routing falls back on what it sent where.

use std::collections::HashMap;
use std::net;
use std::sync::Arc;

use async_std::task;
use http_types::Method;
use http_types::Request;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_httpio::body;
use samphiremoor_httpio::client;
use samphiremoor_routing::picker;
use samphiremoor_routing::prefix;
use samphiremoor_view::zone;
use serde::Deserialize;
use smallvec::smallvec;

use crate::core;

/// One event as engines publish it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
pub struct PublishedEvent {
    /// Its number; a number that is left out is a lost event.
    pub serial: u64,
    /// What changed.
    #[serde(flatten)]
    pub change: PublishedChange,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PublishedChange {
    /// The block was stored.
    Stored(prefix::PrefixHash),
    /// The block was evicted.
    Evicted(prefix::PrefixHash),
}

impl From<PublishedChange> for picker::CacheEvent {
    fn from(change: PublishedChange) -> Self {
        match change {
            PublishedChange::Stored(block) => picker::CacheEvent::Stored(smallvec![block]),
            PublishedChange::Evicted(block) => picker::CacheEvent::Evicted(smallvec![block]),
        }
    }
}

/// Events whose numbers follow each other.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EventRun {
    /// Number of the first.
    pub first: u64,
    /// The events.
    pub events: Vec<picker::CacheEvent>,
}

/// Splits published events at the lost ones.
pub fn runs(published: &[PublishedEvent]) -> Vec<EventRun> {
    let mut runs: Vec<EventRun> = Vec::new();
    for event in published {
        let change = picker::CacheEvent::from(event.change);
        match runs.last_mut() {
            Some(run) if run.first + run.events.len() as u64 == event.serial => {
                run.events.push(change);
            }
            _ => runs.push(EventRun { first: event.serial, events: vec![change] }),
        }
    }
    runs
}

/// Polls until the daemon ends.
pub async fn watch(core: Arc<core::EntryCore>) {
    let pause = time::Millis::new(MILLIS_OF_SECOND / core.settings.upstreams.cache_polls.max(1));
    let mut watch = CacheWatch { core, seen: HashMap::new(), next: 0 };
    while !watch.core.ending.is_triggered() {
        task::sleep(pause.to_duration()).await;
        watch.poll_next().await;
    }
}

const MILLIS_OF_SECOND: u64 = 1_000;

/// Largest answer that is read; more events than that are lost events.
const MAX_EVENTS_BYTES: quantity::ByteCount = quantity::ByteCount::new(256 * 1024);

/// Age of the newest event of an answer: engines publish late and name no time, and a use of a block
/// that is younger than the event must outweigh it.
const ASSUMED_AGE: time::Millis = time::Millis::new(500);

struct CacheWatch {
    core: Arc<core::EntryCore>,
    /// Number of the last event of each engine.
    seen: HashMap<id::ReplicaId, u64>,
    /// Place of the next engine among those of the zone.
    next: usize,
}

impl CacheWatch {
    async fn poll_next(&mut self) {
        let Some(snapshot) = self.core.view() else { return };
        let engines: Vec<&zone::ReplicaView> = snapshot
            .view
            .replicas
            .iter()
            .filter(|replica| is_polled(replica, &self.core.settings.zone))
            .collect();
        if engines.is_empty() {
            return;
        }
        let engine = engines[self.next % engines.len()];
        self.next = (self.next + 1) % engines.len();
        self.poll(&engine.id, engine.address).await;
        if self.next == 0 {
            self.seen.retain(|seen, _| engines.iter().any(|engine| engine.id == *seen));
        }
    }

    async fn poll(&mut self, replica: &id::ReplicaId, address: net::SocketAddr) {
        let after = self.seen.get(replica).copied().unwrap_or(0);
        let Some(published) = self.fetch(address, after).await else { return };
        let Some(last) = published.last() else { return };
        self.seen.insert(replica.clone(), last.serial);
        for run in runs(&published) {
            self.core.cache_events(&picker::CacheBatch {
                replica,
                first_number: run.first,
                events: &run.events,
                age: ASSUMED_AGE,
                now: self.core.now(),
            });
        }
    }

    async fn fetch(&self, address: net::SocketAddr, after: u64) -> Option<Vec<PublishedEvent>> {
        let url = client::url(address, &format!("/cache/events?after={after}")).ok()?;
        let limits = self.core.settings.call_limits();
        let request = Request::new(Method::Get, url);
        let mut response = client::send(address, request, limits).await.ok()?;
        let bytes = body::read(response.take_body(), MAX_EVENTS_BYTES).await.ok()?;
        serde_json::from_slice(&bytes).ok()
    }
}

fn is_polled(replica: &zone::ReplicaView, zone: &id::ZoneId) -> bool {
    replica.zone == *zone
        && replica.state == zone::UpstreamState::Live
        && !replica.models.is_empty()
}
