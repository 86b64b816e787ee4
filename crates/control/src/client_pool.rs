//! Clients to other control threads over a bounded number of connections.

use std::collections;
use std::net;
use std::sync;

use samphiremoor_base::time;
use samphiremoor_membership::gossip;
use samphiremoor_peers::client;
use serde::Serialize;

use crate::message;
use crate::metrics;

/// Clients to peers by address, with least-recently-used eviction.
#[derive(Debug)]
pub struct ClientPool {
    timeout: time::Millis,
    max_clients: usize,
    metrics: metrics::ControlMetrics,
    clients: sync::Mutex<ClientTable>,
}

/// Clients by the control address of their peer.
#[derive(Debug, Default)]
struct ClientTable {
    clients: collections::HashMap<net::SocketAddr, PooledClient>,
    /// Number of uses so far. It orders the clients by their last use.
    use_count: u64,
}

#[derive(Debug)]
struct PooledClient {
    client: sync::Arc<client::PeerClient>,
    /// Value of [`ClientTable::use_count`] at the last use.
    last_use: u64,
}

impl ClientPool {
    /// Creates a pool of at most `max_clients` connections, with `timeout` for each request.
    pub fn new(
        timeout: time::Millis,
        max_clients: usize,
        metrics: metrics::ControlMetrics,
    ) -> Self {
        ClientPool { timeout, max_clients, metrics, clients: sync::Mutex::default() }
    }

    /// Sends a request to a peer and returns its response, or `None` if the request fails.
    /// `label` is the metric label of the request.
    pub async fn request(
        &self,
        peer: &gossip::DaemonInfo,
        request: &message::PeerRequest,
        label: &'static str,
    ) -> Option<message::PeerResponse> {
        self.request_at(peer.control_address, request, label).await
    }

    /// Sends a request to the daemon at the address and returns its response, or `None` if the
    /// request fails.
    pub async fn request_at(
        &self,
        address: net::SocketAddr,
        request: &message::PeerRequest,
        label: &'static str,
    ) -> Option<message::PeerResponse> {
        self.count_bytes("out", request);
        let response = self.client(address).call(request).await;
        let result = if response.is_ok() { "answered" } else { "failed" };
        self.metrics.peer_calls.with_label_values(&[label, result]).inc();
        let response: message::PeerResponse = response.ok()?;
        self.count_bytes("in", &response);
        Some(response)
    }

    /// Adds the encoded size of a message to the metrics.
    fn count_bytes(&self, direction: &str, message: &impl Serialize) {
        let size = postcard::serialize_with_flavor(message, postcard::ser_flavors::Size::default());
        let size = u64::try_from(size.unwrap_or_default()).unwrap_or(u64::MAX);
        self.metrics.peer_bytes.with_label_values(&[direction]).inc_by(size);
    }

    /// Returns the client for an address, and creates it if there is none.
    fn client(&self, address: net::SocketAddr) -> sync::Arc<client::PeerClient> {
        let mut table = self.clients.lock().unwrap_or_else(sync::PoisonError::into_inner);
        table.evict_if_full(address, self.max_clients);
        table.use_count += 1;
        let last_use = table.use_count;
        let pooled = table.clients.entry(address).or_insert_with(|| PooledClient {
            client: sync::Arc::new(client::PeerClient::new(address, self.timeout)),
            last_use,
        });
        pooled.last_use = last_use;
        pooled.client.clone()
    }
}

impl ClientTable {
    /// Removes the least recently used client if there is no room for a new one at the address.
    fn evict_if_full(&mut self, address: net::SocketAddr, max_clients: usize) {
        if self.clients.len() < max_clients || self.clients.contains_key(&address) {
            return;
        }
        let least_recent = self.clients.iter().min_by_key(|(_, pooled)| pooled.last_use);
        if let Some(least_recent) = least_recent.map(|(address, _)| *address) {
            self.clients.remove(&least_recent);
        }
    }
}
