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
    idle_since: time::MonotonicTime,
    max_idle: time::Millis,
}

impl IdlePool {
    /// Takes the most recently used connection to the replica at this address that may be reused.
    /// Closes the more recently used ones, which may not.
    pub fn take(
        &mut self,
        replica: &id::ReplicaId,
        address: net::SocketAddr,
        is_repeatable: bool,
        now: time::MonotonicTime,
    ) -> Option<connection::RawConnection> {
        let list = self.connections.get_mut(replica)?;
        while let Some(idle) = list.pop() {
            let age = now.since(idle.idle_since);
            let is_fresh =
                age <= idle.max_idle && (is_repeatable || age <= MAX_IDLE_NON_REPEATABLE);
            if idle.address == address && is_fresh {
                return Some(idle.raw);
            }
        }
        None
    }

    /// Adds a connection that has been idle since `idle_since` and may be reused for `max_idle`.
    pub fn put(
        &mut self,
        replica: &id::ReplicaId,
        raw: connection::RawConnection,
        address: net::SocketAddr,
        idle_since: time::MonotonicTime,
        max_idle: time::Millis,
    ) {
        let idle = IdleConnection { raw, address, idle_since, max_idle };
        self.connections.entry(replica.clone()).or_default().push(idle);
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
