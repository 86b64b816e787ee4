//! A cluster of daemons in simulated time: messages arrive at once or are cut.

use std::collections;
use std::net;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_membership::daemons;
use samphiremoor_membership::gossip;
use samphiremoor_membership::state;
use samphiremoor_platform::cloud;
use samphiremoor_view::zone;
use smallvec::SmallVec;

/// Between two ticks of every daemon.
const TICK: time::Millis = time::Millis::new(50);

/// Between two reads of the platform's list by a daemon that reads.
const LIST_INTERVAL: time::Millis = time::Millis::new(1_000);

#[derive(Debug)]
pub(crate) struct Cluster {
    pub(crate) now: time::MonotonicTime,
    pub(crate) daemons: collections::BTreeMap<id::DaemonId, state::MembershipState>,
    /// Messages from the first to the second are lost.
    pub(crate) cuts: collections::BTreeSet<(id::DaemonId, id::DaemonId)>,
    pub(crate) entries: Vec<cloud::VmEntry>,
    /// Daemons whose list is the one of the start of an outage, or does not come.
    pub(crate) is_platform_down: bool,
    pub(crate) answers: collections::BTreeMap<id::VmId, gossip::PollResult>,
    pub(crate) largest_message: usize,
    next_list: time::MonotonicTime,
    lives: u64,
}

fn address(port: usize) -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], u16::try_from(port).expect("few daemons")))
}

impl Cluster {
    pub(crate) fn new() -> Self {
        Cluster {
            now: time::MonotonicTime::new(1_000),
            daemons: collections::BTreeMap::new(),
            cuts: collections::BTreeSet::new(),
            entries: Vec::new(),
            is_platform_down: false,
            answers: collections::BTreeMap::new(),
            largest_message: 0,
            next_list: time::MonotonicTime::default(),
            lives: 0,
        }
    }

    /// An entry VM is listed, and its daemon starts.
    pub(crate) fn add_daemon(&mut self, name: &str, zone: &str) {
        let port = 1_000 + 10 * self.entries.len();
        self.entries.push(cloud::VmEntry {
            id: name.parse().expect("a VM"),
            zone: zone.parse().expect("a zone"),
            class: "small".parse().expect("a class"),
            reclaimable: false,
            price: quantity::MicroPrice::new(1),
            state: cloud::VmState::Live,
            role: cloud::VmRole::Entry {
                http_address: address(port),
                peer_address: address(port + 1),
                control_address: address(port + 2),
            },
        });
        self.start(name);
    }

    /// A daemon starts, or starts anew without what it knew.
    pub(crate) fn start(&mut self, name: &str) {
        self.lives += 1;
        let entry = self.entries.iter().find(|entry| entry.id.as_str() == name);
        let mut own = daemons::from_vm_entry(entry.expect("listed")).expect("an entry VM");
        own.status.incarnation = quantity::Incarnation::new(self.lives * 1_000);
        let limits = state::MembershipLimits::default();
        let mut member = state::MembershipState::new(own.clone(), limits, self.lives, self.now);
        member.set_live(self.now);
        member.list_read(self.now, &self.entries);
        self.daemons.insert(own.id, member);
    }

    pub(crate) fn kill(&mut self, name: &str) {
        self.daemons.remove(&name.parse().expect("a daemon"));
    }

    pub(crate) fn add_upstream(&mut self, name: &str, zone: &str) {
        self.entries.push(cloud::VmEntry {
            id: name.parse().expect("a VM"),
            zone: zone.parse().expect("a zone"),
            class: "gpu".parse().expect("a class"),
            reclaimable: true,
            price: quantity::MicroPrice::new(7),
            state: cloud::VmState::Live,
            role: cloud::VmRole::Upstream {
                pool: "pool".parse().expect("a pool"),
                address: address(9_000 + self.entries.len()),
            },
        });
        self.answer(name, ready(0));
    }

    pub(crate) fn answer(&mut self, name: &str, answer: gossip::PollResult) {
        self.answers.insert(name.parse().expect("a VM"), answer);
    }

    pub(crate) fn unlist(&mut self, name: &str) {
        self.entries.retain(|entry| entry.id.as_str() != name);
    }

    pub(crate) fn run(&mut self, length: time::Millis) {
        let end = self.now + length;
        while self.now < end {
            self.now = self.now + TICK;
            self.read_lists();
            let names: Vec<id::DaemonId> = self.daemons.keys().cloned().collect();
            for name in names {
                let Some(member) = self.daemons.get_mut(&name) else { continue };
                let actions = member.tick(self.now);
                actions.into_iter().for_each(|action| self.act(&name, action));
            }
        }
    }

    fn read_lists(&mut self) {
        if self.now < self.next_list || self.is_platform_down {
            return;
        }
        self.next_list = self.now + LIST_INTERVAL;
        for member in self.daemons.values_mut().filter(|member| member.is_reader()) {
            member.list_read(self.now, &self.entries);
        }
    }

    fn act(&mut self, name: &id::DaemonId, action: state::MembershipAction) {
        match action {
            state::MembershipAction::Call(peer) => self.call(name, &peer),
            state::MembershipAction::ProbeThrough { through, target } => {
                let is_reached = self.is_open(name, &through) && self.is_open(&through, &target);
                let now = self.now;
                let member = self.daemons.get_mut(name).expect("it acts");
                member.probe_answered(now, &target, is_reached);
            }
            state::MembershipAction::Poll(upstream) => {
                let answer = self.answers.get(&upstream.vm).cloned();
                let answer = answer.unwrap_or(gossip::PollResult::Silent);
                let now = self.now;
                let member = self.daemons.get_mut(name).expect("it acts");
                member.polled(now, &upstream.vm, answer);
            }
            state::MembershipAction::DaemonChanged(_)
            | state::MembershipAction::UpstreamChanged(_) => {}
        }
    }

    /// Whether a question and its answer both arrive.
    fn is_open(&self, from: &id::DaemonId, to: &id::DaemonId) -> bool {
        let pair = (from.clone(), to.clone());
        let back = (to.clone(), from.clone());
        self.daemons.contains_key(to) && !self.cuts.contains(&pair) && !self.cuts.contains(&back)
    }

    fn call(&mut self, from: &id::DaemonId, to: &id::DaemonId) {
        let revision = quantity::RevisionNumber::default();
        let now = self.now;
        let caller = self.daemons.get_mut(from).expect("it acts");
        let question = caller.message_for(to, revision);
        self.measure(&question);
        let is_heard =
            self.daemons.contains_key(to) && !self.cuts.contains(&(from.clone(), to.clone()));
        let answer = is_heard.then(|| {
            let callee = self.daemons.get_mut(to).expect("checked above");
            callee.answer(now, question, revision)
        });
        let answer = answer.filter(|_| !self.cuts.contains(&(to.clone(), from.clone())));
        match answer {
            Some(answer) => {
                self.measure(&answer);
                let caller = self.daemons.get_mut(from).expect("it acts");
                caller.heard(now, answer);
            }
            None => {
                let caller = self.daemons.get_mut(from).expect("it acts");
                let probes = caller.call_failed(now, to);
                probes.into_iter().for_each(|probe| self.act(from, probe));
            }
        }
    }

    fn measure(&mut self, message: &state::GossipMessage) {
        let bytes = postcard::to_stdvec(message).expect("a message is plain data").len();
        self.largest_message = self.largest_message.max(bytes);
    }

    /// What a daemon thinks of another one.
    pub(crate) fn standing(&self, viewer: &str, name: &str) -> String {
        let viewer = &self.daemons[&viewer.parse::<id::DaemonId>().expect("a daemon")];
        let id: id::DaemonId = name.parse().expect("a daemon");
        match viewer.daemons().get(&id) {
            None => "unknown".to_owned(),
            Some(news) if !daemons::is_gone(news) && !daemons::is_reachable(news) => {
                format!("{}?", news.status.state)
            }
            Some(news) => news.status.state.to_string(),
        }
    }

    /// What a daemon shows of an upstream.
    pub(crate) fn shown(&self, viewer: &str, name: &str) -> Option<zone::ReplicaView> {
        let viewer = &self.daemons[&viewer.parse::<id::DaemonId>().expect("a daemon")];
        let views = viewer.upstreams().views(self.now);
        views.into_iter().find(|view| view.vm.as_str() == name)
    }
}

/// A ready upstream with so many requests in its batch.
pub(crate) fn ready(running: u32) -> gossip::PollResult {
    let load = zone::LoadReport { running, ..zone::LoadReport::default() };
    gossip::PollResult::Ready { models: SmallVec::new(), load: gossip::LoadLevel::of(&load) }
}
