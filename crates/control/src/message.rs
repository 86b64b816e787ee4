//! Requests to a control thread from other daemons and from the command line, and its responses.

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_head::relay;
use samphiremoor_membership::gossip;
use samphiremoor_membership::state;
use samphiremoor_view::zone;
use serde::Deserialize;
use serde::Serialize;

/// A request to a control thread. Every request is idempotent because it may arrive twice.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum PeerRequest {
    /// Exchanges gossip messages.
    Gossip(Box<state::GossipMessage>),
    /// Registers a daemon that starts.
    Join(gossip::DaemonInfo),
    /// Requests the revision in force, if it is higher than the requester's.
    Revision {
        /// The requesting daemon, which the responding daemon adds to its membership.
        requester: gossip::DaemonInfo,
        /// The revision that is in force at the requester.
        known_revision: quantity::RevisionNumber,
    },
    /// Asks the receiver to probe the daemon.
    Probe(gossip::DaemonInfo),
    /// Requests the revision in force at the receiver, and the daemons that the receiver knows.
    InForce,
    /// Requests the view that the receiver serves by.
    View,
}

/// A response of a control thread.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum PeerResponse {
    /// The gossip message of the responder.
    Gossip(Box<state::GossipMessage>),
    /// Daemons that the responder knows.
    Joined(Vec<gossip::DaemonInfo>),
    /// The revision in force, or `None` if the requester already has it.
    Revision(Option<relay::RevisionDelta>),
    /// Whether the probed daemon responded.
    Probe(bool),
    /// The revision in force and the known daemons.
    InForce(InForceReport),
    /// The view, or `None` if no view has been published yet.
    View(Option<Box<zone::ZoneView>>),
    /// The daemon is stopping or overloaded and did not handle the request.
    Stopping,
}

/// The revision that is in force at a daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct InForceReport {
    /// The reporting daemon.
    pub daemon: id::DaemonId,
    /// Availability zone of the daemon.
    pub zone: id::ZoneId,
    /// The revision that the entry daemon serves by, or 0 if there is none.
    pub revision: quantity::RevisionNumber,
    /// Time since the revision came into force at the daemon.
    pub age: time::Millis,
    /// All known daemons that may be serving callers.
    pub known_daemons: Vec<gossip::DaemonInfo>,
}
