//! Inputs and actions of the control state.

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

/// Input of the control state: a tick, or the result of a call.
#[derive(Debug)]
pub enum ControlInput {
    /// Time passed.
    Tick,
    /// The head row was read; `None` if no revision was written yet.
    HeadRead(Option<revision::HeadRow>),
    /// The row of a revision was read; `None` if it does not exist or cannot be parsed.
    RevisionRead(Option<relay::RevisionContent>),
    /// The VM list was read.
    ListRead(Vec<cloud::VmEntry>),
    /// Reclaim notices were read.
    NoticesRead(Vec<cloud::ReclaimNotice>),
    /// Drain marks were read.
    DrainMarksRead(Vec<capacity::DrainMark>),
    /// VM offers were read.
    OffersRead(Vec<cloud::VmOffer>),
    /// The lease row for the duties of the zone was read.
    DutyRead(Option<table::TableRow>),
    /// The write of the lease row completed.
    DutyWritten(commit_outcome::CommitOutcome),
    /// The cloud responded to the start of a VM.
    StartCompleted(cloud::StartRequest, cloud::StartResponse),
    /// A read from the platform failed.
    ReadFailed(PlatformRead),
    /// A peer responded to a gossip message.
    GossipCompleted(Box<state::GossipMessage>),
    /// A peer did not respond to a gossip message.
    GossipFailed(id::DaemonId),
    /// A seed registered this daemon and returned the daemons that it knows.
    Joined(Vec<gossip::DaemonInfo>),
    /// A request for the revision of a peer completed; `None` if it failed or the peer has no
    /// higher revision.
    RevisionReceived(Option<relay::RevisionDelta>),
    /// An indirect probe completed.
    ProbeCompleted {
        /// The probed daemon.
        target: id::DaemonId,
        /// Whether the probed daemon responded.
        is_reached: bool,
    },
    /// A poll of an upstream completed.
    PollCompleted {
        /// VM of the upstream.
        vm: id::VmId,
        /// Result of the poll.
        result: gossip::PollResult,
    },
}

/// A read from the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlatformRead {
    /// The head row of the records.
    Head,
    /// The row of a revision.
    Revision(quantity::RevisionNumber),
    /// The VM list.
    List,
    /// Reclaim notices with higher serial numbers than this one.
    Notices(u64),
    /// Drain marks on VMs.
    DrainMarks,
    /// VM offers of the cloud.
    Offers,
    /// The lease row for the duties of the zone.
    Duty,
}

/// Action of the control state: a call to make or a change to report.
#[derive(Debug)]
pub enum ControlAction {
    /// Read from the platform.
    Read(PlatformRead),
    /// Register this daemon at the address.
    Join(net::SocketAddr, gossip::DaemonInfo),
    /// Send a gossip message to a peer.
    Gossip(gossip::DaemonInfo, state::GossipMessage),
    /// Request the revision in force from a peer.
    RequestRevision(gossip::DaemonInfo, message::PeerRequest),
    /// Ask a peer to probe a daemon.
    IndirectProbe {
        /// The peer that probes.
        prober: gossip::DaemonInfo,
        /// The daemon to probe.
        target: gossip::DaemonInfo,
    },
    /// Poll an upstream for its state and load.
    Poll(gossip::UpstreamInfo),
    /// Report that a revision came into force.
    RevisionChanged(quantity::RevisionNumber),
    /// Report that the records of a revision are invalid. The previous revision stays in force.
    RevisionRefused(quantity::RevisionNumber, String),
    /// Log that the status of a daemon changed.
    DaemonChanged(gossip::DaemonInfo),
    /// Log that the status of an upstream changed.
    UpstreamChanged(gossip::UpstreamInfo),
    /// Write the lease row for the duties of the zone.
    WriteDuty(table::TableTransaction),
    /// Execute a plan step under this fencing token.
    ExecuteStep(capacity::PlanStep, quantity::FencingToken),
    /// Log that the lease on the duties of the zone was taken under this fencing token, or lost.
    DutyChanged(Option<quantity::FencingToken>),
    /// Log that the cloud refused to start a VM, and that the offer is not used again for this
    /// time.
    StartRefused(cloud::VmOffer, time::Millis),
    /// Publish a view to the entry daemon.
    Publish(Box<zone::ZoneView>),
}

impl PlatformRead {
    /// Returns the label for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            PlatformRead::Head => "head",
            PlatformRead::Revision(_) => "revision",
            PlatformRead::List => "list",
            PlatformRead::Notices(_) => "notices",
            PlatformRead::DrainMarks => "drains",
            PlatformRead::Offers => "offers",
            PlatformRead::Duty => "duty",
        }
    }
}
