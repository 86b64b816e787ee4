//! Messages to a control thread from its peers and from the command line.

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_head::relay;
use samphiremoor_membership::gossip;
use samphiremoor_membership::state;
use samphiremoor_view::zone;
use serde::Deserialize;
use serde::Serialize;

/// What a control thread is asked. Every question may come twice.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum PeerRequest {
    /// News, for news.
    Gossip(Box<state::GossipMessage>),
    /// A daemon that starts makes itself known.
    Join(gossip::DaemonInfo),
    /// The revision in force, if it is higher than the asker's.
    Revision {
        /// The asker, which the answering daemon knows of from here on.
        requester: gossip::DaemonInfo,
        /// The asker's revision.
        known_revision: quantity::RevisionNumber,
    },
    /// Whether the daemon is reached from here.
    Probe(gossip::DaemonInfo),
    /// Which revision is in force here, and which daemons are known.
    InForce,
    /// What the daemon knows.
    View,
}

/// What a control thread answers.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum PeerResponse {
    /// News.
    Gossip(Box<state::GossipMessage>),
    /// Daemons that are known.
    Joined(Vec<gossip::DaemonInfo>),
    /// The revision in force; none where the asker has it.
    Revision(Option<relay::RevisionDelta>),
    /// Whether the daemon is reached from here.
    Probe(bool),
    /// The revision in force and the daemons that are known.
    InForce(InForceReport),
    /// The view; none where no revision is known yet.
    View(Option<Box<zone::ZoneView>>),
    /// The daemon is stopping.
    Stopping,
}

/// Which revision is in force at a daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct InForceReport {
    /// The daemon.
    pub daemon: id::DaemonId,
    /// Its availability zone.
    pub zone: id::ZoneId,
    /// The revision by which its entry daemon serves; 0 where there is none.
    pub revision: quantity::RevisionNumber,
    /// Time since the revision came into force here.
    pub age: time::Millis,
    /// Every daemon that may serve callers, as far as it knows.
    pub known_daemons: Vec<gossip::DaemonInfo>,
}
