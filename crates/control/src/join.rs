//! Decides how a daemon that starts joins its peers.

use std::net;

use samphiremoor_base::time;

/// Time between two join attempts.
const JOIN_INTERVAL: time::Millis = time::Millis::new(500);

/// Time after the start at which a daemon that reached no peer continues without one.
const JOIN_TIMEOUT: time::Millis = time::Millis::new(3_000);

/// Next step of a daemon that has not joined.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum JoinStep {
    /// Wait for responses or for the next attempt.
    Wait,
    /// Send join requests to these control addresses.
    SendRequests(Vec<net::SocketAddr>),
    /// Continue without a response of a peer.
    Continue,
}

/// State of the join attempts of a daemon.
#[derive(Debug)]
pub(crate) struct JoinAttempts {
    /// Control addresses to send join requests to.
    seeds: Vec<net::SocketAddr>,
    started_at: time::MonotonicTime,
    next_attempt_at: time::MonotonicTime,
    /// Whether a read of the VM list has succeeded or failed.
    is_list_read_done: bool,
}

impl JoinAttempts {
    /// Creates the state before the first attempt.
    pub(crate) fn new(seeds: Vec<net::SocketAddr>, now: time::MonotonicTime) -> Self {
        JoinAttempts { seeds, started_at: now, next_attempt_at: now, is_list_read_done: false }
    }

    /// Records that a read of the VM list succeeded or failed.
    pub(crate) fn record_list_read(&mut self) {
        self.is_list_read_done = true;
    }

    /// Returns the next step. `daemon_count` is the number of known daemons, including the local
    /// daemon.
    pub(crate) fn step(&mut self, now: time::MonotonicTime, daemon_count: usize) -> JoinStep {
        let is_alone = self.is_list_read_done && self.seeds.is_empty() && daemon_count == 1;
        if is_alone || now.since(self.started_at) >= JOIN_TIMEOUT {
            return JoinStep::Continue;
        }
        if now < self.next_attempt_at {
            return JoinStep::Wait;
        }
        self.next_attempt_at = now + JOIN_INTERVAL;
        JoinStep::SendRequests(self.seeds.clone())
    }
}
