//! Gossip messages, and the actions that the membership state machine returns.

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use serde::Deserialize;
use serde::Serialize;

use crate::gossip;

/// A gossip message. Requests and responses have the same form.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct GossipMessage {
    /// Identity and status of the sender.
    pub sender: gossip::DaemonInfo,
    /// The record revision that is in force at the sender.
    pub revision: quantity::RevisionNumber,
    /// What the sender knows about the receiver, if the sender considers it unreachable. The
    /// receiver refutes it with a higher incarnation.
    pub receiver: Option<gossip::DaemonInfo>,
    /// Updates on daemons, upstreams and poll results.
    pub updates: Vec<gossip::GossipUpdate>,
}

/// An action that the caller of the state machine performs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipAction {
    /// Send a gossip message to the daemon.
    Gossip(id::DaemonId),
    /// Ask `prober` whether it reaches `target`.
    IndirectProbe {
        /// The daemon that probes.
        prober: id::DaemonId,
        /// The daemon that did not respond to a gossip message.
        target: id::DaemonId,
    },
    /// Poll the upstream for its state and load.
    Poll(gossip::UpstreamInfo),
    /// Log that the status of a daemon changed.
    DaemonChanged(gossip::DaemonInfo),
    /// Log that the status of an upstream changed.
    UpstreamChanged(gossip::UpstreamInfo),
}
