//! Polls the prefix-cache events of the engines in this daemon's availability zone, for cache-aware
//! routing.
//!
//! A fixed number of polls per second, over all engines, bounds the traffic. With many engines each
//! one is polled less often, and routing relies on its own dispatch history.

use std::collections::HashMap;
use std::net;
use std::sync::Arc;

use async_std::task;
use futures_lite::AsyncReadExt as _;
use http_types::Method;
use http_types::Request;
use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_httpio::client;
use samphiremoor_routing::picker;
use samphiremoor_routing::prefix;
use samphiremoor_view::zone;
use serde::Deserialize;
use smallvec::smallvec;

use crate::core;

/// A cache event as published by an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
pub struct PublishedEvent {
    /// Sequence number. A gap in the numbers means that events were lost.
    pub serial: u64,
    /// Change of the prefix cache.
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

/// Events with contiguous sequence numbers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EventRun {
    /// Sequence number of the first event.
    pub first_serial: u64,
    /// The events, in order.
    pub events: Vec<picker::CacheEvent>,
}

/// Splits published events into runs, at the gaps left by lost events.
pub fn contiguous_runs(published: &[PublishedEvent]) -> Vec<EventRun> {
    let mut runs: Vec<EventRun> = Vec::new();
    for event in published {
        let change = picker::CacheEvent::from(event.change);
        match runs.last_mut() {
            Some(run) if run.first_serial + run.events.len() as u64 == event.serial => {
                run.events.push(change);
            }
            _ => runs.push(EventRun { first_serial: event.serial, events: vec![change] }),
        }
    }
    runs
}

/// Parses the whole events at the start of a JSON array, which may be truncated.
pub fn parse_events(bytes: &[u8]) -> Vec<PublishedEvent> {
    let mut events = Vec::new();
    let mut rest = bytes.trim_ascii_start().strip_prefix(b"[");
    while let Some(items) = rest {
        let mut parser = serde_json::Deserializer::from_slice(items).into_iter();
        let Some(Ok(event)) = parser.next() else { break };
        events.push(event);
        rest = items[parser.byte_offset()..].trim_ascii_start().strip_prefix(b",");
    }
    events
}

/// Polls the cache events of the zone's engines, one engine at a time, until the daemon shuts down.
pub async fn poll_engines(core: Arc<core::EntryCore>) {
    let interval =
        time::Millis::new(MILLIS_PER_SECOND / core.settings.upstreams.cache_polls.max(1));
    let mut poller = CachePoller { core, last_serials: HashMap::new(), next_index: 0 };
    while !poller.core.shutdown.is_triggered() {
        task::sleep(interval.to_duration()).await;
        poller.poll_next().await;
    }
}

const MILLIS_PER_SECOND: u64 = 1_000;

/// Size of the part of a response that is read. The next poll requests the events after it.
const MAX_EVENTS_BYTES: u64 = 256 * 1024;

/// Assumed age of the events in a response. Engines publish events with a delay and without a
/// timestamp. With an age of 0 an event would override a more recent use of its block.
const ASSUMED_AGE: time::Millis = time::Millis::new(500);

struct CachePoller {
    core: Arc<core::EntryCore>,
    /// Sequence number of the last event of each engine.
    last_serials: HashMap<id::ReplicaId, u64>,
    /// Index of the next engine among the polled ones.
    next_index: usize,
}

impl CachePoller {
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
        let engine = engines[self.next_index % engines.len()];
        self.next_index = (self.next_index + 1) % engines.len();
        self.poll(&engine.id, engine.address).await;
        if self.next_index == 0 {
            self.last_serials
                .retain(|replica, _| engines.iter().any(|engine| engine.id == *replica));
        }
    }

    async fn poll(&mut self, replica: &id::ReplicaId, address: net::SocketAddr) {
        let after_serial = self.last_serials.get(replica).copied().unwrap_or(0);
        let Some(published) = self.fetch(address, after_serial).await else { return };
        let Some(last_event) = published.last() else { return };
        self.last_serials.insert(replica.clone(), last_event.serial);
        for run in contiguous_runs(&published) {
            self.core.report_cache_events(&picker::CacheBatch {
                replica,
                first_number: run.first_serial,
                events: &run.events,
                age: ASSUMED_AGE,
                now: self.core.now(),
            });
        }
    }

    async fn fetch(
        &self,
        address: net::SocketAddr,
        after_serial: u64,
    ) -> Option<Vec<PublishedEvent>> {
        let url = client::url(address, &format!("/cache/events?after={after_serial}")).ok()?;
        let limits = self.core.settings.call_limits();
        let request = Request::new(Method::Get, url);
        let mut response = client::send(address, request, limits).await.ok()?;
        let mut bytes = Vec::new();
        response.take_body().take(MAX_EVENTS_BYTES).read_to_end(&mut bytes).await.ok()?;
        Some(parse_events(&bytes))
    }
}

fn is_polled(replica: &zone::ReplicaView, zone: &id::ZoneId) -> bool {
    replica.zone == *zone
        && replica.state == zone::UpstreamState::Live
        && !replica.models.is_empty()
}
