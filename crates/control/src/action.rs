//! What goes into the control state and what comes out of it.

use std::net;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_head::relay;
use samphiremoor_lease::commit_outcome;
use samphiremoor_membership::gossip;
use samphiremoor_membership::state;
use samphiremoor_platform::cloud;
use samphiremoor_platform::table;
use samphiremoor_records::revision;
use samphiremoor_view::zone;

use crate::capacity;
use crate::message;

/// What a call that the state asked for came to.
#[derive(Debug)]
pub enum ControlInput {
    /// Time passed.
    Tick,
    /// The head was read.
    HeadRead(Option<revision::HeadRow>),
    /// A revision's row was read.
    RevisionRead(Option<relay::RevisionContent>),
    /// The VM list was read.
    ListRead(Vec<cloud::VmEntry>),
    /// Notices were read.
    NoticesRead(Vec<cloud::ReclaimNotice>),
    /// Marks on VMs that leave were read.
    DrainsRead(Vec<capacity::DrainMark>),
    /// Offers were read.
    OffersRead(Vec<cloud::VmOffer>),
    /// The lease row of the zone's duties was read.
    DutyRead(Option<table::TableRow>),
    /// The table answered the write of the lease row.
    DutyWritten(commit_outcome::CommitOutcome),
    /// The cloud answered a start.
    StartAnswered(cloud::VmStart, cloud::StartResponse),
    /// The platform did not answer this read.
    ReadFailed(PlatformRead),
    /// A peer answered a message.
    GossipAnswered(Box<state::GossipMessage>),
    /// A peer did not answer a message.
    CallFailed(id::DaemonId),
    /// A seed or peer knows of this daemon now, and names those that it knows.
    Joined(Vec<gossip::DaemonInfo>),
    /// A peer sent its revision, or failed to.
    PeerSent(Option<relay::RevisionDelta>),
    /// A peer tried a daemon.
    ProbeAnswered {
        /// The daemon that was tried.
        target: id::DaemonId,
        /// Whether it answered.
        is_reached: bool,
    },
    /// An upstream answered a poll.
    Polled {
        /// The upstream's VM.
        vm: id::VmId,
        /// Its answer.
        answer: gossip::PollResult,
    },
}

/// Something that is read from the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlatformRead {
    /// The head row.
    Head,
    /// A revision's row.
    Revision(quantity::RevisionNumber),
    /// The VM list.
    List,
    /// Notices after a serial.
    Notices(u64),
    /// Rows that mark VMs as leaving.
    Drains,
    /// Offers of the cloud.
    Offers,
    /// The lease row of the zone's duties.
    Duty,
}

/// A call to make or a thing to tell.
#[derive(Debug)]
pub enum ControlAction {
    /// Read from the platform.
    Read(PlatformRead),
    /// Make this daemon known at the address.
    Join(net::SocketAddr, gossip::DaemonInfo),
    /// Send a message to a peer.
    Gossip(gossip::DaemonInfo, state::GossipMessage),
    /// Ask a peer for its revision.
    AskRevision(gossip::DaemonInfo, message::PeerRequest),
    /// Ask a peer to try a daemon.
    Probe {
        /// The peer that is asked.
        through: gossip::DaemonInfo,
        /// The daemon to try.
        target: gossip::DaemonInfo,
    },
    /// Ask an upstream for its state and load.
    Poll(gossip::UpstreamInfo),
    /// A revision came into force.
    RevisionChanged(quantity::RevisionNumber),
    /// The records of a revision can't be served; the last one stays in force.
    RevisionRefused(quantity::RevisionNumber, String),
    /// A daemon's standing changed.
    DaemonChanged(gossip::DaemonInfo),
    /// An upstream's state changed.
    UpstreamChanged(gossip::UpstreamInfo),
    /// Write the lease row of the zone's duties.
    WriteDuty(table::TableTransaction),
    /// Carry out a step of the plan under this fencing number.
    CarryOut(capacity::CapacityStep, quantity::FencingToken),
    /// The duties of the zone are held under this fencing number, or no more.
    DutyChanged(Option<quantity::FencingToken>),
    /// The cloud refused a start, and the offer waits for this long.
    StartRefused(cloud::VmOffer, time::Millis),
    /// Show this view to the entry daemon.
    Publish(Box<zone::ZoneView>),
}

impl PlatformRead {
    /// Short name for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            PlatformRead::Head => "head",
            PlatformRead::Revision(_) => "revision",
            PlatformRead::List => "list",
            PlatformRead::Notices(_) => "notices",
            PlatformRead::Drains => "drains",
            PlatformRead::Offers => "offers",
            PlatformRead::Duty => "duty",
        }
    }
}
