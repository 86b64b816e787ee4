//! Pool of idle connections to replicas.

use std::collections;
use std::net;

use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_fleet::attempt_record;
use samphiremoor_httpio::connection;
use smallvec::SmallVec;

/// Idle time after which a connection is not reused for requests that must not run twice.
const MAX_IDLE_NON_REPEATABLE: time::Millis = time::Millis::new(2_000);

/// Requests that a replica refused on one connection. It may write such a refusal once more, which is
/// told from that of the next request by its ID alone.
pub type RefusedAttempts = SmallVec<[attempt_record::AttemptHash; 2]>;

/// A connection to a replica that may be reused.
#[derive(Debug)]
pub struct ReusableConnection {
    /// The raw connection.
    pub raw: connection::RawConnection,
    /// Daemon that relays the connection; `None` if it is direct.
    pub relay: Option<net::SocketAddr>,
    /// Requests that the replica refused on it, which it must not carry again.
    pub refused: RefusedAttempts,
}

impl ReusableConnection {
    /// Wraps a connection that carried no request yet.
    pub fn new(raw: connection::RawConnection, relay: Option<net::SocketAddr>) -> Self {
        ReusableConnection { raw, relay, refused: RefusedAttempts::new() }
    }
}

/// Pool of idle connections to each replica, with the most recently used one last.
#[derive(Debug, Default)]
pub struct IdlePool {
    connections: collections::HashMap<id::ReplicaId, Vec<IdleConnection>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: ReusableConnection,
    address: net::SocketAddr,
    idle_since: time::MonotonicTime,
    max_idle: time::Millis,
}

impl IdlePool {
    /// Takes the most recently used connection to the replica at this address that may carry the
    /// attempt. Closes the more recently used ones, which may not.
    ///
    /// Connections are direct, unless the path is suspected since `suspected_since`: then they are
    /// relayed, or direct and were used since.
    pub fn take(
        &mut self,
        replica: &id::ReplicaId,
        address: net::SocketAddr,
        attempt: attempt_record::AttemptHash,
        is_repeatable: bool,
        suspected_since: Option<time::MonotonicTime>,
        now: time::MonotonicTime,
    ) -> Option<ReusableConnection> {
        let list = self.connections.get_mut(replica)?;
        while let Some(idle) = list.pop() {
            let age = now.since(idle.idle_since);
            let is_fresh =
                age <= idle.max_idle && (is_repeatable || age <= MAX_IDLE_NON_REPEATABLE);
            let has_path = match (idle.connection.relay, suspected_since) {
                (None, since) => since.is_none_or(|since| idle.idle_since > since),
                (Some(_), since) => since.is_some(),
            };
            let was_refused = idle.connection.refused.contains(&attempt);
            if idle.address == address && is_fresh && has_path && !was_refused {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Adds a connection that has been idle since `idle_since` and may be reused for `max_idle`.
    pub fn put(
        &mut self,
        replica: &id::ReplicaId,
        connection: ReusableConnection,
        address: net::SocketAddr,
        idle_since: time::MonotonicTime,
        max_idle: time::Millis,
    ) {
        let idle = IdleConnection { connection, address, idle_since, max_idle };
        self.connections.entry(replica.clone()).or_default().push(idle);
    }

    /// Closes the idle connections that a daemon relays.
    pub fn remove_relayed(&mut self, relay: net::SocketAddr) {
        for list in self.connections.values_mut() {
            list.retain(|idle| idle.connection.relay != Some(relay));
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
