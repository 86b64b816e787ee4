//! Pool of idle connections to replicas.

use std::collections;
use std::net;

use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_httpio::connection;

/// Idle time after which a connection is not reused for requests that must not run twice.
const MAX_IDLE_NON_REPEATABLE: time::Millis = time::Millis::new(2_000);

/// Pool of idle connections to each replica, with the most recently used one last.
#[derive(Debug, Default)]
pub struct IdlePool {
    connections: collections::HashMap<id::ReplicaId, Vec<IdleConnection>>,
}

#[derive(Debug)]
struct IdleConnection {
    raw: connection::RawConnection,
    address: net::SocketAddr,
    /// Daemon that relays the connection; `None` if it is direct.
    relay: Option<net::SocketAddr>,
    idle_since: time::MonotonicTime,
    max_idle: time::Millis,
}

impl IdlePool {
    /// Takes the most recently used connection to the replica at this address that may be reused, and
    /// the daemon that relays it, if any. Closes the more recently used ones, which may not.
    ///
    /// Connections are direct, unless the path is suspected since `suspected_since`: then they are
    /// relayed, or direct and were used since.
    pub fn take(
        &mut self,
        replica: &id::ReplicaId,
        address: net::SocketAddr,
        is_repeatable: bool,
        suspected_since: Option<time::MonotonicTime>,
        now: time::MonotonicTime,
    ) -> Option<(connection::RawConnection, Option<net::SocketAddr>)> {
        let list = self.connections.get_mut(replica)?;
        while let Some(idle) = list.pop() {
            let age = now.since(idle.idle_since);
            let is_fresh =
                age <= idle.max_idle && (is_repeatable || age <= MAX_IDLE_NON_REPEATABLE);
            let has_path = match (idle.relay, suspected_since) {
                (None, since) => since.is_none_or(|since| idle.idle_since > since),
                (Some(_), since) => since.is_some(),
            };
            if idle.address == address && is_fresh && has_path {
                return Some((idle.raw, idle.relay));
            }
        }
        None
    }

    /// Adds a connection that has been idle since `idle_since` and may be reused for `max_idle`.
    pub fn put(
        &mut self,
        replica: &id::ReplicaId,
        (raw, relay): (connection::RawConnection, Option<net::SocketAddr>),
        address: net::SocketAddr,
        idle_since: time::MonotonicTime,
        max_idle: time::Millis,
    ) {
        let idle = IdleConnection { raw, address, relay, idle_since, max_idle };
        self.connections.entry(replica.clone()).or_default().push(idle);
    }

    /// Closes the idle connections that a daemon relays.
    pub fn remove_relayed(&mut self, relay: net::SocketAddr) {
        for list in self.connections.values_mut() {
            list.retain(|idle| idle.relay != Some(relay));
        }
    }

    /// Closes all idle connections to a replica.
    pub fn remove(&mut self, replica: &id::ReplicaId) {
        self.connections.remove(replica);
    }

    /// Closes the connections whose idle time has expired.
    pub fn sweep(&mut self, now: time::MonotonicTime) {
        for list in self.connections.values_mut() {
            list.retain(|idle| now.since(idle.idle_since) <= idle.max_idle);
        }
        self.connections.retain(|_, list| !list.is_empty());
    }
}
