//! What the membership sends, and the calls that it asks for.

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use serde::Deserialize;
use serde::Serialize;

use crate::gossip;

/// A message between two daemons, as question and as answer.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct GossipMessage {
    /// News on the sender.
    pub sender: gossip::DaemonInfo,
    /// The sender's revision in force.
    pub revision: quantity::RevisionNumber,
    /// What the sender knows of the receiver, where it does not take it for live.
    pub receiver: Option<gossip::DaemonInfo>,
    /// News.
    pub updates: Vec<gossip::GossipUpdate>,
}

/// A call to make.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipAction {
    /// Send a message to the daemon.
    Call(id::DaemonId),
    /// Ask `through` whether it reaches `target`.
    ProbeThrough {
        /// The daemon that is asked.
        through: id::DaemonId,
        /// The daemon that did not answer.
        target: id::DaemonId,
    },
    /// Ask the upstream for its state and its load.
    Poll(gossip::UpstreamInfo),
    /// A daemon's standing changed.
    DaemonChanged(gossip::DaemonInfo),
    /// An upstream's state changed.
    UpstreamChanged(gossip::UpstreamInfo),
}
