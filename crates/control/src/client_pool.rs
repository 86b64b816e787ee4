//! Calls other control threads over a bounded number of connections.

use std::collections;
use std::net;
use std::sync;

use samphiremoor_base::time;
use samphiremoor_membership::gossip;
use samphiremoor_peers::client;
use serde::Serialize;

use crate::message;
use crate::metrics;

/// Links to peers, by address; the one that was used longest ago makes room for a new one.
#[derive(Debug)]
pub struct PeerCaller {
    timeout: time::Millis,
    max_links: usize,
    metrics: metrics::ControlMetrics,
    links: sync::Mutex<LinkTable>,
}

#[derive(Debug, Default)]
struct LinkTable {
    links: collections::HashMap<net::SocketAddr, UsedLink>,
    uses: u64,
}

#[derive(Debug)]
struct UsedLink {
    link: sync::Arc<client::PeerClient>,
    last_use: u64,
}

impl PeerCaller {
    /// A caller that awaits an answer for `timeout` and keeps `max_links` connections.
    pub fn new(timeout: time::Millis, max_links: usize, metrics: metrics::ControlMetrics) -> Self {
        PeerCaller { timeout, max_links, metrics, links: sync::Mutex::default() }
    }

    /// The peer's answer; none where it does not come in time. `name` labels the metric.
    pub async fn call(
        &self,
        peer: &gossip::DaemonInfo,
        question: &message::PeerRequest,
        name: &'static str,
    ) -> Option<message::PeerResponse> {
        self.call_at(peer.control_address, question, name).await
    }

    /// The answer of the daemon at the address; none where it does not come in time.
    pub async fn call_at(
        &self,
        address: net::SocketAddr,
        question: &message::PeerRequest,
        name: &'static str,
    ) -> Option<message::PeerResponse> {
        self.count("out", question);
        let answer = self.link(address).call(question).await;
        let result = if answer.is_ok() { "answered" } else { "failed" };
        self.metrics.peer_calls.with_label_values(&[name, result]).inc();
        let answer: message::PeerResponse = answer.ok()?;
        self.count("in", &answer);
        Some(answer)
    }

    fn count(&self, direction: &str, message: &impl Serialize) {
        let size = postcard::serialize_with_flavor(message, postcard::ser_flavors::Size::default());
        let size = u64::try_from(size.unwrap_or_default()).unwrap_or(u64::MAX);
        self.metrics.peer_bytes.with_label_values(&[direction]).inc_by(size);
    }

    fn link(&self, address: net::SocketAddr) -> sync::Arc<client::PeerClient> {
        let mut table = self.links.lock().unwrap_or_else(sync::PoisonError::into_inner);
        table.make_room(address, self.max_links);
        table.uses += 1;
        let last_use = table.uses;
        let used = table.links.entry(address).or_insert_with(|| UsedLink {
            link: sync::Arc::new(client::PeerClient::new(address, self.timeout)),
            last_use,
        });
        used.last_use = last_use;
        used.link.clone()
    }
}

impl LinkTable {
    fn make_room(&mut self, address: net::SocketAddr, max_links: usize) {
        if self.links.len() < max_links || self.links.contains_key(&address) {
            return;
        }
        let oldest = self.links.iter().min_by_key(|(_, used)| used.last_use);
        if let Some(oldest) = oldest.map(|(address, _)| *address) {
            self.links.remove(&oldest);
        }
    }
}
