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
    /// Whether calls between this daemon and the platform or peers fail.
    pub(crate) is_isolated: bool,
    pub(crate) is_stopped: bool,
    /// Revision in force after the last input.
    last_revision: quantity::RevisionNumber,
}

/// Daemons, the platform and the messages in flight.
pub(crate) struct ControlSimulation {
    /// Current time in milliseconds.
    pub(crate) now_ms: u64,
    /// Round-trip time in milliseconds of calls that start from now on.
    pub(crate) round_trip_ms: u64,
    pub(crate) daemons: Vec<RunningDaemon>,
    /// VM list of the platform.
    pub(crate) entries: Vec<cloud::VmEntry>,
    /// Reclaim notices of the platform.
    pub(crate) notices: Vec<cloud::ReclaimNotice>,
    pub(crate) drain_marks: Vec<capacity::DrainMark>,
    revisions: Vec<relay::RevisionContent>,
    /// Inputs to daemons by delivery time in milliseconds and send order, with the index of the
    /// daemon.
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

fn index_by_address(address: net::SocketAddr) -> usize {
    usize::from(address.port()) - 3_000
}

fn revision_content(number: u64) -> relay::RevisionContent {
    let text = include_str!("../../../../deploy/examples/records-v1.toml");
    let limit_line = format!("max_in_progress = {}", 64 + number);
    let text = text.replace("max_in_progress = 64", &limit_line);
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
            now_ms: 0,
            round_trip_ms: ROUND_TRIP_MS,
            daemons: Vec::new(),
            entries: Vec::new(),
            notices: Vec::new(),
            drain_marks: Vec::new(),
            revisions: Vec::new(),
            in_flight: collections::BTreeMap::new(),
            sent_count: 0,
        };
        simulation.write();
        simulation
    }

    /// Starts a number of daemons in each of the zones, and lets them discover one another.
    pub(crate) fn running(zones: &[&str], daemons_per_zone: usize) -> Self {
        let mut simulation = ControlSimulation::new();
        for zone in zones {
            (0..daemons_per_zone).for_each(|_| _ = simulation.start(zone));
        }
        simulation.advance(10_000);
        simulation
    }

    /// Starts a daemon that the platform lists, and returns its index.
    pub(crate) fn start(&mut self, zone: &str) -> usize {
        let index = self.daemons.len();
        let entry = entry_vm(index, zone);
        let mut local = daemons::from_vm_entry(&entry).expect("the VM is an entry VM");
        local.status.incarnation = quantity::Incarnation::new(1 + self.now_ms);
        self.entries.push(entry);
        let now = time::MonotonicTime::new(self.now_ms);
        let state = state::ControlState::new(local, Vec::new(), index as u64, now);
        self.daemons.push(RunningDaemon {
            state,
            view: None,
            is_isolated: false,
            is_stopped: false,
            last_revision: quantity::RevisionNumber::default(),
        });
        index
    }

    /// Stops a daemon gracefully.
    pub(crate) fn stop(&mut self, index: usize) {
        let now = time::MonotonicTime::new(self.now_ms);
        let actions = self.daemons[index].state.shut_down(now);
        self.perform_all(index, actions);
        self.daemons[index].is_stopped = true;
    }

    /// Writes the next revision and returns its number.
    pub(crate) fn write(&mut self) -> u64 {
        let revision = self.revisions.len() as u64 + 1;
        self.revisions.push(revision_content(revision));
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

    /// Advances the time by a number of milliseconds.
    pub(crate) fn advance(&mut self, millis: u64) {
        let end_ms = self.now_ms + millis;
        while self.now_ms < end_ms {
            self.now_ms += TICK_MS;
            self.deliver();
            for index in 0..self.daemons.len() {
                self.step(index, action::ControlInput::Tick);
            }
        }
    }

    /// Advances the time until a condition holds, and returns how many
    /// milliseconds that took, or `None` if it does not hold within the limit.
    pub(crate) fn advance_until(
        &mut self,
        limit_ms: u64,
        is_met: impl Fn(&Self) -> bool,
    ) -> Option<u64> {
        let started_at_ms = self.now_ms;
        while !is_met(self) {
            if self.now_ms - started_at_ms >= limit_ms {
                return None;
            }
            self.advance(TICK_MS);
        }
        Some(self.now_ms - started_at_ms)
    }

    /// Delivers the inputs whose delivery time has come.
    fn deliver(&mut self) {
        while let Some(earliest) = self.in_flight.first_entry() {
            if earliest.key().0 > self.now_ms {
                return;
            }
            let (index, input) = earliest.remove();
            self.step(index, input);
        }
    }

    fn step(&mut self, index: usize, input: action::ControlInput) {
        if self.daemons[index].is_stopped {
            return;
        }
        let now = time::MonotonicTime::new(self.now_ms);
        let actions = self.daemons[index].state.step(now, input);
        self.perform_all(index, actions);
    }

    fn perform_all(&mut self, index: usize, actions: Vec<action::ControlAction>) {
        actions.into_iter().for_each(|action| self.perform(index, action));
        let daemon = &mut self.daemons[index];
        let revision = daemon.state.revision();
        assert!(revision >= daemon.last_revision, "a revision reverted at daemon {index}");
        daemon.last_revision = revision;
    }

    /// Schedules the delivery of an input to a daemon.
    fn schedule_input(&mut self, index: usize, delay_ms: u64, input: action::ControlInput) {
        self.sent_count += 1;
        self.in_flight.insert((self.now_ms + delay_ms, self.sent_count), (index, input));
    }

    /// Returns whether calls between two daemons succeed.
    fn reaches(&self, from: usize, to: usize) -> bool {
        let is_running =
            |index: usize| self.daemons.get(index).is_some_and(|daemon| !daemon.is_stopped);
        is_running(to) && !self.daemons[from].is_isolated && !self.daemons[to].is_isolated
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
                let (prober_index, target_index) = (
                    index_by_address(prober.control_address),
                    index_by_address(target.control_address),
                );
                let is_reached =
                    self.reaches(index, prober_index) && self.reaches(prober_index, target_index);
                let input = action::ControlInput::ProbeCompleted { target: target.id, is_reached };
                self.schedule_input(
                    index,
                    if is_reached { self.round_trip_ms } else { CALL_TIMEOUT_MS },
                    input,
                );
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
            action::ControlAction::Poll(upstream) => {
                let load = gossip::QuantizedLoad::default();
                let result = gossip::PollResult::Ready { models: Default::default(), load };
                let input = action::ControlInput::PollCompleted { vm: upstream.vm, result };
                self.schedule_input(index, self.round_trip_ms, input);
            }
            // The duty lease has its own tests.
            _ => {}
        }
    }

    fn read(&mut self, index: usize, read: action::PlatformRead) {
        if self.daemons[index].is_isolated {
            return self.schedule_input(
                index,
                CALL_TIMEOUT_MS,
                action::ControlInput::ReadFailed(read),
            );
        }
        let head = self.revisions.last().map(|content| revision::HeadRow {
            revision: content.revision,
            digest: content.digest.clone(),
            write_id: content.write_id.clone(),
        });
        let input = match read {
            action::PlatformRead::Head => action::ControlInput::HeadRead(head),
            action::PlatformRead::Revision(number) => {
                let mut revisions = self.revisions.iter();
                let content = revisions.find(|content| content.revision == number).cloned();
                action::ControlInput::RevisionRead(content)
            }
            action::PlatformRead::List => action::ControlInput::ListRead(self.entries.clone()),
            action::PlatformRead::Notices(after_serial) => {
                let newer = self.notices.iter().filter(|notice| notice.serial > after_serial);
                action::ControlInput::NoticesRead(newer.cloned().collect())
            }
            action::PlatformRead::DrainMarks => {
                action::ControlInput::DrainMarksRead(self.drain_marks.clone())
            }
            action::PlatformRead::Offers => action::ControlInput::OffersRead(Vec::new()),
            action::PlatformRead::Duty => action::ControlInput::DutyRead(None),
        };
        self.schedule_input(index, self.round_trip_ms, input);
    }

    fn join(&mut self, index: usize, address: net::SocketAddr, local: gossip::DaemonInfo) {
        let peer = index_by_address(address);
        if self.reaches(index, peer) {
            let now = time::MonotonicTime::new(self.now_ms);
            let known_daemons = self.daemons[peer].state.handle_join(now, local);
            self.schedule_input(
                index,
                self.round_trip_ms,
                action::ControlInput::Joined(known_daemons),
            );
        }
    }

    fn gossip(
        &mut self,
        index: usize,
        peer: &gossip::DaemonInfo,
        message: samphiremoor_membership::state::GossipMessage,
    ) {
        let peer_index = index_by_address(peer.control_address);
        if !self.reaches(index, peer_index) {
            let failed = action::ControlInput::GossipFailed(peer.id.clone());
            return self.schedule_input(index, CALL_TIMEOUT_MS, failed);
        }
        let now = time::MonotonicTime::new(self.now_ms);
        let mut actions = Vec::new();
        let response = self.daemons[peer_index].state.handle_gossip(now, message, &mut actions);
        self.schedule_input(
            index,
            self.round_trip_ms,
            action::ControlInput::GossipCompleted(Box::new(response)),
        );
        self.perform_all(peer_index, actions);
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
        let peer_index = index_by_address(peer.control_address);
        if !self.reaches(index, peer_index) {
            return self.schedule_input(
                index,
                CALL_TIMEOUT_MS,
                action::ControlInput::RevisionReceived(None),
            );
        }
        let now = time::MonotonicTime::new(self.now_ms);
        let delta =
            self.daemons[peer_index].state.handle_revision_request(now, requester, known_revision);
        self.schedule_input(
            index,
            self.round_trip_ms,
            action::ControlInput::RevisionReceived(delta),
        );
    }
}
