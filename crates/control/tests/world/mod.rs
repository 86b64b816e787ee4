//! Control states on a virtual clock, with a platform and links that can be cut.

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

/// Between two ticks, as in the control thread.
const TICK: u64 = 50;
/// A call takes this long there and back, where no test says otherwise.
pub(crate) const ROUND_TRIP: u64 = 40;
/// A call that is not answered fails after this time, as with the settings of the example.
pub(crate) const CALL_TIMEOUT: u64 = 500;

/// A daemon, and what it said last.
pub(crate) struct RunningDaemon {
    pub(crate) state: state::ControlState,
    pub(crate) view: Option<zone::ZoneView>,
    pub(crate) is_cut: bool,
    pub(crate) is_dead: bool,
    seen_revision: quantity::RevisionNumber,
}

/// Daemons, the platform and what is under way between them.
pub(crate) struct ControlWorld {
    pub(crate) now: u64,
    /// Answers of calls that start from now on take this long.
    pub(crate) round_trip: u64,
    pub(crate) daemons: Vec<RunningDaemon>,
    pub(crate) entries: Vec<cloud::VmEntry>,
    pub(crate) notices: Vec<cloud::ReclaimNotice>,
    pub(crate) marks: Vec<capacity::DrainMark>,
    revisions: Vec<relay::RevisionContent>,
    under_way: collections::BTreeMap<(u64, u64), (usize, action::ControlInput)>,
    sent: u64,
}

pub(crate) fn entry_vm(index: usize, zone: &str) -> cloud::VmEntry {
    let address = |port: usize| {
        let port = u16::try_from(port).expect("few daemons");
        net::SocketAddr::from(([127, 0, 0, 1], port))
    };
    cloud::VmEntry {
        id: format!("vm-{index}").parse().expect("a VM"),
        zone: zone.parse().expect("a zone"),
        class: "class".parse().expect("a class"),
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
    let entries = file::parse(&text).expect("the example is read").entries;
    let bundle = bundle::RecordBundle::new(entries);
    relay::RevisionContent {
        revision: quantity::RevisionNumber::new(number),
        digest: bundle.digest(),
        write_id: format!("write-{number}").parse().expect("a write id"),
        bundle: std::sync::Arc::new(bundle),
    }
}

impl ControlWorld {
    /// A world without a daemon, with revision 1 written.
    pub(crate) fn new() -> Self {
        let mut world = ControlWorld {
            now: 0,
            round_trip: ROUND_TRIP,
            daemons: Vec::new(),
            entries: Vec::new(),
            notices: Vec::new(),
            marks: Vec::new(),
            revisions: Vec::new(),
            under_way: collections::BTreeMap::new(),
            sent: 0,
        };
        world.write();
        world
    }

    /// Starts so many daemons in each of the zones, and lets them find one another.
    pub(crate) fn running(zones: &[&str], daemons_each: usize) -> Self {
        let mut world = ControlWorld::new();
        for zone in zones {
            (0..daemons_each).for_each(|_| _ = world.start(zone));
        }
        world.pass(10_000);
        world
    }

    /// Starts a daemon that the platform lists.
    pub(crate) fn start(&mut self, zone: &str) -> usize {
        let index = self.daemons.len();
        let entry = entry_vm(index, zone);
        let mut own = daemons::from_vm_entry(&entry).expect("an entry VM");
        own.status.incarnation = quantity::Incarnation::new(1 + self.now);
        self.entries.push(entry);
        let now = time::MonotonicTime::new(self.now);
        let state = state::ControlState::new(own, Vec::new(), index as u64, now);
        self.daemons.push(RunningDaemon {
            state,
            view: None,
            is_cut: false,
            is_dead: false,
            seen_revision: quantity::RevisionNumber::default(),
        });
        index
    }

    /// Ends a daemon as its stop does.
    pub(crate) fn stop(&mut self, index: usize) {
        let now = time::MonotonicTime::new(self.now);
        let actions = self.daemons[index].state.end(now);
        self.act_all(index, actions);
        self.daemons[index].is_dead = true;
    }

    /// Writes the next revision, and returns its number.
    pub(crate) fn write(&mut self) -> u64 {
        let number = self.revisions.len() as u64 + 1;
        self.revisions.push(content(number));
        number
    }

    pub(crate) fn revision_at(&self, index: usize) -> u64 {
        self.daemons[index].state.revision().get()
    }

    /// Standing of one daemon as another one knows it.
    pub(crate) fn standing(&self, at: usize, of: usize) -> Option<gossip::DaemonStatus> {
        let id: id::DaemonId = format!("vm-{of}").parse().expect("a daemon");
        let known = self.daemons[at].state.membership().daemons().get(&id);
        known.map(|news| news.status)
    }

    /// Lets time pass.
    pub(crate) fn pass(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += TICK;
            self.deliver();
            for index in 0..self.daemons.len() {
                self.step(index, action::ControlInput::Tick);
            }
        }
    }

    /// Lets time pass until something holds, and says how long that took.
    pub(crate) fn pass_until(&mut self, limit: u64, holds: impl Fn(&Self) -> bool) -> Option<u64> {
        let begin = self.now;
        while !holds(self) {
            if self.now - begin >= limit {
                return None;
            }
            self.pass(TICK);
        }
        Some(self.now - begin)
    }

    fn deliver(&mut self) {
        while let Some(first) = self.under_way.first_entry() {
            if first.key().0 > self.now {
                return;
            }
            let (index, input) = first.remove();
            self.step(index, input);
        }
    }

    fn step(&mut self, index: usize, input: action::ControlInput) {
        if self.daemons[index].is_dead {
            return;
        }
        let now = time::MonotonicTime::new(self.now);
        let actions = self.daemons[index].state.step(now, input);
        self.act_all(index, actions);
    }

    fn act_all(&mut self, index: usize, actions: Vec<action::ControlAction>) {
        actions.into_iter().for_each(|action| self.act(index, action));
        let daemon = &mut self.daemons[index];
        let revision = daemon.state.revision();
        assert!(revision >= daemon.seen_revision, "a revision reverted at daemon {index}");
        daemon.seen_revision = revision;
    }

    fn send(&mut self, index: usize, delay: u64, input: action::ControlInput) {
        self.sent += 1;
        self.under_way.insert((self.now + delay, self.sent), (index, input));
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let is_there = |index: usize| self.daemons.get(index).is_some_and(|daemon| !daemon.is_dead);
        is_there(to) && !self.daemons[from].is_cut && !self.daemons[to].is_cut
    }

    fn act(&mut self, index: usize, action: action::ControlAction) {
        match action {
            action::ControlAction::Read(read) => self.read(index, read),
            action::ControlAction::Join(address, own) => self.join(index, address, own),
            action::ControlAction::Gossip(peer, message) => self.gossip(index, &peer, message),
            action::ControlAction::AskRevision(peer, question) => {
                self.ask_revision(index, &peer, question);
            }
            action::ControlAction::Probe { through, target } => {
                let (by, to) =
                    (index_at(through.control_address), index_at(target.control_address));
                let is_reached = self.reaches(index, by) && self.reaches(by, to);
                let input = action::ControlInput::ProbeAnswered { target: target.id, is_reached };
                self.send(index, if is_reached { self.round_trip } else { CALL_TIMEOUT }, input);
            }
            action::ControlAction::RevisionRefused(revision, cause) => {
                panic!("revision {revision} is refused: {cause}");
            }
            action::ControlAction::Publish(view) => {
                let last = self.daemons[index].view.replace(*view);
                let view = self.daemons[index].view.as_ref().expect("it was shown now");
                let last = last.map(|last| (last.serial, last.records.revision));
                assert!(last.is_none_or(|last| last.0 < view.serial));
                assert!(last.is_none_or(|last| last.1 <= view.records.revision));
            }
            // No test here has upstreams, and duties have tests of their own.
            _ => {}
        }
    }

    fn read(&mut self, index: usize, read: action::PlatformRead) {
        if self.daemons[index].is_cut {
            return self.send(index, CALL_TIMEOUT, action::ControlInput::ReadFailed(read));
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
            action::PlatformRead::Drains => action::ControlInput::DrainsRead(self.marks.clone()),
            action::PlatformRead::Offers => action::ControlInput::OffersRead(Vec::new()),
            action::PlatformRead::Duty => action::ControlInput::DutyRead(None),
        };
        self.send(index, self.round_trip, input);
    }

    fn join(&mut self, index: usize, address: net::SocketAddr, own: gossip::DaemonInfo) {
        let peer = index_at(address);
        if self.reaches(index, peer) {
            let now = time::MonotonicTime::new(self.now);
            let known = self.daemons[peer].state.join(now, own);
            self.send(index, self.round_trip, action::ControlInput::Joined(known));
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
            let failed = action::ControlInput::CallFailed(peer.id.clone());
            return self.send(index, CALL_TIMEOUT, failed);
        }
        let now = time::MonotonicTime::new(self.now);
        let mut actions = Vec::new();
        let answer = self.daemons[to].state.gossip(now, message, &mut actions);
        self.send(index, self.round_trip, action::ControlInput::GossipAnswered(Box::new(answer)));
        self.act_all(to, actions);
    }

    fn ask_revision(
        &mut self,
        index: usize,
        peer: &gossip::DaemonInfo,
        question: message::PeerRequest,
    ) {
        let message::PeerRequest::Revision { requester: asker, known_revision: have } = question
        else {
            panic!("not a question for a revision: {question:?}");
        };
        let to = index_at(peer.control_address);
        if !self.reaches(index, to) {
            return self.send(index, CALL_TIMEOUT, action::ControlInput::PeerSent(None));
        }
        let now = time::MonotonicTime::new(self.now);
        let delta = self.daemons[to].state.revision_for(now, asker, have);
        self.send(index, self.round_trip, action::ControlInput::PeerSent(delta));
    }
}
