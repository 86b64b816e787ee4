//! Simulation of control states on a virtual clock, with a platform and links that can be cut.

use std::collections;
use std::net;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_control::action;
use samphiremoor_control::capacity;
use samphiremoor_control::message;
use samphiremoor_control::state;
use samphiremoor_head::relay;
use samphiremoor_membership::daemons;
use samphiremoor_membership::gossip;
use samphiremoor_platform::cloud;
use samphiremoor_records::bundle;
use samphiremoor_records::file;
use samphiremoor_records::revision;
use samphiremoor_view::zone;

/// Time between two ticks in milliseconds, as in the control thread.
const TICK_MS: u64 = 50;
/// Default round-trip time of a call in milliseconds.
pub(crate) const ROUND_TRIP_MS: u64 = 40;
/// Timeout of a call in milliseconds, as in the example settings.
pub(crate) const CALL_TIMEOUT_MS: u64 = 500;

/// A simulated daemon with its latest view.
pub(crate) struct RunningDaemon {
    pub(crate) state: state::ControlState,
    pub(crate) view: Option<zone::ZoneView>,
    pub(crate) is_cut: bool,
    pub(crate) is_stopped: bool,
    seen_revision: quantity::RevisionNumber,
}

/// Daemons, the platform and the messages in flight.
pub(crate) struct ControlSimulation {
    pub(crate) now: u64,
    /// Round-trip time in milliseconds of calls that start from now on.
    pub(crate) round_trip: u64,
    pub(crate) daemons: Vec<RunningDaemon>,
    pub(crate) entries: Vec<cloud::VmEntry>,
    pub(crate) notices: Vec<cloud::ReclaimNotice>,
    pub(crate) marks: Vec<capacity::DrainMark>,
    revisions: Vec<relay::RevisionContent>,
    in_flight: collections::BTreeMap<(u64, u64), (usize, action::ControlInput)>,
    sent_count: u64,
}

pub(crate) fn entry_vm(index: usize, zone: &str) -> cloud::VmEntry {
    let address = |port: usize| {
        let port = u16::try_from(port).expect("port numbers fit in 16 bits");
        net::SocketAddr::from(([127, 0, 0, 1], port))
    };
    cloud::VmEntry {
        id: format!("vm-{index}").parse().expect("a valid VM id"),
        zone: zone.parse().expect("a valid zone id"),
        class: "class".parse().expect("a valid VM class"),
        reclaimable: true,
        price: quantity::MicroPrice::new(1),
        state: cloud::VmState::Live,
        role: cloud::VmRole::Entry {
            http_address: address(1_000 + index),
            peer_address: address(2_000 + index),
            control_address: address(3_000 + index),
        },
    }
}

fn index_at(address: net::SocketAddr) -> usize {
    usize::from(address.port()) - 3_000
}

fn content(number: u64) -> relay::RevisionContent {
    let text = include_str!("../../../../deploy/examples/records-v1.toml");
    let limit = format!("max_in_progress = {}", 64 + number);
    let text = text.replace("max_in_progress = 64", &limit);
    let entries = file::parse(&text).expect("the example can be parsed").entries;
    let bundle = bundle::RecordBundle::new(entries);
    relay::RevisionContent {
        revision: quantity::RevisionNumber::new(number),
        digest: bundle.digest(),
        write_id: format!("write-{number}").parse().expect("a valid write id"),
        bundle: std::sync::Arc::new(bundle),
    }
}

impl ControlSimulation {
    /// Creates a simulation without daemons, with revision 1 written.
    pub(crate) fn new() -> Self {
        let mut simulation = ControlSimulation {
            now: 0,
            round_trip: ROUND_TRIP_MS,
            daemons: Vec::new(),
            entries: Vec::new(),
            notices: Vec::new(),
            marks: Vec::new(),
            revisions: Vec::new(),
            in_flight: collections::BTreeMap::new(),
            sent_count: 0,
        };
        simulation.write();
        simulation
    }

    /// Starts a number of daemons in each of the zones, and lets them discover each other.
    pub(crate) fn running(zones: &[&str], daemons_each: usize) -> Self {
        let mut simulation = ControlSimulation::new();
        for zone in zones {
            (0..daemons_each).for_each(|_| _ = simulation.start(zone));
        }
        simulation.advance(10_000);
        simulation
    }

    /// Starts a daemon that the platform lists, and returns its index.
    pub(crate) fn start(&mut self, zone: &str) -> usize {
        let index = self.daemons.len();
        let entry = entry_vm(index, zone);
        let mut local = daemons::from_vm_entry(&entry).expect("the VM is an entry VM");
        local.status.incarnation = quantity::Incarnation::new(1 + self.now);
        self.entries.push(entry);
        let now = time::MonotonicTime::new(self.now);
        let state = state::ControlState::new(local, Vec::new(), index as u64, now);
        self.daemons.push(RunningDaemon {
            state,
            view: None,
            is_cut: false,
            is_stopped: false,
            seen_revision: quantity::RevisionNumber::default(),
        });
        index
    }

    /// Stops a daemon gracefully.
    pub(crate) fn stop(&mut self, index: usize) {
        let now = time::MonotonicTime::new(self.now);
        let actions = self.daemons[index].state.shut_down(now);
        self.perform_all(index, actions);
        self.daemons[index].is_stopped = true;
    }

    /// Writes the next revision and returns its number.
    pub(crate) fn write(&mut self) -> u64 {
        let revision = self.revisions.len() as u64 + 1;
        self.revisions.push(content(revision));
        revision
    }

    pub(crate) fn revision_at(&self, index: usize) -> u64 {
        self.daemons[index].state.revision().get()
    }

    /// Returns the status of the daemon `subject` as known by the daemon `observer`.
    pub(crate) fn status(&self, observer: usize, subject: usize) -> Option<gossip::DaemonStatus> {
        let id: id::DaemonId = format!("vm-{subject}").parse().expect("a valid daemon id");
        let info = self.daemons[observer].state.membership().daemons().get(&id);
        info.map(|info| info.status)
    }

    /// Advances the time.
    pub(crate) fn advance(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += TICK_MS;
            self.deliver();
            for index in 0..self.daemons.len() {
                self.step(index, action::ControlInput::Tick);
            }
        }
    }

    /// Advances the time until a condition holds, and returns how long that took.
    pub(crate) fn advance_until(
        &mut self,
        limit: u64,
        holds: impl Fn(&Self) -> bool,
    ) -> Option<u64> {
        let begin = self.now;
        while !holds(self) {
            if self.now - begin >= limit {
                return None;
            }
            self.advance(TICK_MS);
        }
        Some(self.now - begin)
    }

    fn deliver(&mut self) {
        while let Some(first) = self.in_flight.first_entry() {
            if first.key().0 > self.now {
                return;
            }
            let (index, input) = first.remove();
            self.step(index, input);
        }
    }

    fn step(&mut self, index: usize, input: action::ControlInput) {
        if self.daemons[index].is_stopped {
            return;
        }
        let now = time::MonotonicTime::new(self.now);
        let actions = self.daemons[index].state.step(now, input);
        self.perform_all(index, actions);
    }

    fn perform_all(&mut self, index: usize, actions: Vec<action::ControlAction>) {
        actions.into_iter().for_each(|action| self.perform(index, action));
        let daemon = &mut self.daemons[index];
        let revision = daemon.state.revision();
        assert!(revision >= daemon.seen_revision, "a revision reverted at daemon {index}");
        daemon.seen_revision = revision;
    }

    fn send(&mut self, index: usize, delay: u64, input: action::ControlInput) {
        self.sent_count += 1;
        self.in_flight.insert((self.now + delay, self.sent_count), (index, input));
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let is_running =
            |index: usize| self.daemons.get(index).is_some_and(|daemon| !daemon.is_stopped);
        is_running(to) && !self.daemons[from].is_cut && !self.daemons[to].is_cut
    }

    fn perform(&mut self, index: usize, action: action::ControlAction) {
        match action {
            action::ControlAction::Read(read) => self.read(index, read),
            action::ControlAction::Join(address, local) => self.join(index, address, local),
            action::ControlAction::Gossip(peer, message) => self.gossip(index, &peer, message),
            action::ControlAction::RequestRevision(peer, request) => {
                self.request_revision(index, &peer, request);
            }
            action::ControlAction::IndirectProbe { prober, target } => {
                let (by, to) = (index_at(prober.control_address), index_at(target.control_address));
                let is_reached = self.reaches(index, by) && self.reaches(by, to);
                let input = action::ControlInput::ProbeCompleted { target: target.id, is_reached };
                self.send(index, if is_reached { self.round_trip } else { CALL_TIMEOUT_MS }, input);
            }
            action::ControlAction::RevisionRefused(revision, cause) => {
                panic!("revision {revision} is refused: {cause}");
            }
            action::ControlAction::Publish(view) => {
                let previous_view = self.daemons[index].view.replace(*view);
                let view = self.daemons[index].view.as_ref().expect("the view was published above");
                let previous =
                    previous_view.map(|previous| (previous.serial, previous.records.revision));
                assert!(previous.is_none_or(|previous| previous.0 < view.serial));
                assert!(previous.is_none_or(|previous| previous.1 <= view.records.revision));
            }
            // These tests have no upstreams, and the duty lease has its own tests.
            _ => {}
        }
    }

    fn read(&mut self, index: usize, read: action::PlatformRead) {
        if self.daemons[index].is_cut {
            return self.send(index, CALL_TIMEOUT_MS, action::ControlInput::ReadFailed(read));
        }
        let newest = self.revisions.last().map(|content| revision::HeadRow {
            revision: content.revision,
            digest: content.digest.clone(),
            write_id: content.write_id.clone(),
        });
        let input = match read {
            action::PlatformRead::Head => action::ControlInput::HeadRead(newest),
            action::PlatformRead::Revision(number) => {
                let mut revisions = self.revisions.iter();
                let content = revisions.find(|content| content.revision == number).cloned();
                action::ControlInput::RevisionRead(content)
            }
            action::PlatformRead::List => action::ControlInput::ListRead(self.entries.clone()),
            action::PlatformRead::Notices(after) => {
                let newer = self.notices.iter().filter(|notice| notice.serial > after);
                action::ControlInput::NoticesRead(newer.cloned().collect())
            }
            action::PlatformRead::DrainMarks => {
                action::ControlInput::DrainMarksRead(self.marks.clone())
            }
            action::PlatformRead::Offers => action::ControlInput::OffersRead(Vec::new()),
            action::PlatformRead::Duty => action::ControlInput::DutyRead(None),
        };
        self.send(index, self.round_trip, input);
    }

    fn join(&mut self, index: usize, address: net::SocketAddr, local: gossip::DaemonInfo) {
        let peer = index_at(address);
        if self.reaches(index, peer) {
            let now = time::MonotonicTime::new(self.now);
            let known_daemons = self.daemons[peer].state.handle_join(now, local);
            self.send(index, self.round_trip, action::ControlInput::Joined(known_daemons));
        }
    }

    fn gossip(
        &mut self,
        index: usize,
        peer: &gossip::DaemonInfo,
        message: samphiremoor_membership::state::GossipMessage,
    ) {
        let to = index_at(peer.control_address);
        if !self.reaches(index, to) {
            let failed = action::ControlInput::GossipFailed(peer.id.clone());
            return self.send(index, CALL_TIMEOUT_MS, failed);
        }
        let now = time::MonotonicTime::new(self.now);
        let mut actions = Vec::new();
        let response = self.daemons[to].state.handle_gossip(now, message, &mut actions);
        self.send(
            index,
            self.round_trip,
            action::ControlInput::GossipCompleted(Box::new(response)),
        );
        self.perform_all(to, actions);
    }

    fn request_revision(
        &mut self,
        index: usize,
        peer: &gossip::DaemonInfo,
        request: message::PeerRequest,
    ) {
        let message::PeerRequest::Revision { requester, known_revision } = request else {
            panic!("not a revision request: {request:?}");
        };
        let to = index_at(peer.control_address);
        if !self.reaches(index, to) {
            return self.send(index, CALL_TIMEOUT_MS, action::ControlInput::RevisionReceived(None));
        }
        let now = time::MonotonicTime::new(self.now);
        let delta = self.daemons[to].state.handle_revision_request(now, requester, known_revision);
        self.send(index, self.round_trip, action::ControlInput::RevisionReceived(delta));
    }
}
