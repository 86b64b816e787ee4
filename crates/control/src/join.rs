//! Decides how a daemon that starts comes to know its peers.

use std::net;

use samphiremoor_base::time;

/// Between two attempts to join.
const JOIN_INTERVAL: time::Millis = time::Millis::new(500);

/// A daemon that reached no peer by then serves without one.
const JOIN_LIMIT: time::Millis = time::Millis::new(3_000);

/// What a daemon that has not joined does now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum JoinStep {
    /// Wait for answers.
    Wait,
    /// Ask these control addresses.
    Ask(Vec<net::SocketAddr>),
    /// Go on without a peer.
    GoOn,
}

/// The attempts of a daemon to join.
#[derive(Debug)]
pub(crate) struct JoinAttempts {
    seeds: Vec<net::SocketAddr>,
    started_at: time::MonotonicTime,
    next_attempt: time::MonotonicTime,
    is_list_tried: bool,
}

impl JoinAttempts {
    /// No attempt was made yet.
    pub(crate) fn new(seeds: Vec<net::SocketAddr>, now: time::MonotonicTime) -> Self {
        JoinAttempts { seeds, started_at: now, next_attempt: now, is_list_tried: false }
    }

    /// The VM list was read, or could not be.
    pub(crate) fn list_tried(&mut self) {
        self.is_list_tried = true;
    }

    /// What to do now, where this many daemons are known, the own one included.
    pub(crate) fn step(&mut self, now: time::MonotonicTime, daemon_count: usize) -> JoinStep {
        let is_alone = self.is_list_tried && self.seeds.is_empty() && daemon_count == 1;
        if is_alone || now.since(self.started_at) >= JOIN_LIMIT {
            return JoinStep::GoOn;
        }
        if now < self.next_attempt {
            return JoinStep::Wait;
        }
        self.next_attempt = now + JOIN_INTERVAL;
        JoinStep::Ask(self.seeds.clone())
    }
}
