//! Cluster of daemons on simulated time. Messages arrive immediately unless the link is cut.

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

/// Time between two ticks of every daemon.
const TICK_INTERVAL: time::Millis = time::Millis::new(50);

/// Time between two reads of the VM list by each reader.
const LIST_READ_INTERVAL: time::Millis = time::Millis::new(1_000);

/// Daemons with the VM list and the poll results that they read.
#[derive(Debug)]
pub(crate) struct Cluster {
    pub(crate) now: time::MonotonicTime,
    pub(crate) daemons: collections::BTreeMap<id::DaemonId, state::MembershipState>,
    /// Links whose messages from the first daemon to the second are lost.
    pub(crate) cuts: collections::BTreeSet<(id::DaemonId, id::DaemonId)>,
    /// VM list of the platform.
    pub(crate) entries: Vec<cloud::VmEntry>,
    /// Whether the VM list cannot be read.
    pub(crate) is_platform_down: bool,
    /// Results of polls by VM. An upstream without a result does not respond.
    pub(crate) poll_results: collections::BTreeMap<id::VmId, gossip::PollResult>,
    /// Size of the largest message so far.
    pub(crate) largest_message_bytes: usize,
    next_list_read_at: time::MonotonicTime,
    /// Number of daemon starts so far. It determines the incarnations and the random seeds.
    start_count: u64,
}

fn address(port: usize) -> net::SocketAddr {
    net::SocketAddr::from((
        [127, 0, 0, 1],
        u16::try_from(port).expect("port numbers fit in 16 bits"),
    ))
}

impl Cluster {
    pub(crate) fn new() -> Self {
        Cluster {
            now: time::MonotonicTime::new(1_000),
            daemons: collections::BTreeMap::new(),
            cuts: collections::BTreeSet::new(),
            entries: Vec::new(),
            is_platform_down: false,
            poll_results: collections::BTreeMap::new(),
            largest_message_bytes: 0,
            next_list_read_at: time::MonotonicTime::default(),
            start_count: 0,
        }
    }

    /// Adds an entry VM to the VM list and starts its daemon.
    pub(crate) fn add_daemon(&mut self, name: &str, zone: &str) {
        let port = 1_000 + 10 * self.entries.len();
        self.entries.push(cloud::VmEntry {
            id: name.parse().expect("a valid VM id"),
            zone: zone.parse().expect("a valid zone id"),
            class: "small".parse().expect("a valid VM class"),
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

    /// Starts or restarts a daemon with an empty state.
    pub(crate) fn start(&mut self, name: &str) {
        self.start_count += 1;
        let entry = self.entries.iter().find(|entry| entry.id.as_str() == name);
        let mut local = daemons::from_vm_entry(entry.expect("the daemon is listed"))
            .expect("the VM is an entry VM");
        local.status.incarnation = quantity::Incarnation::new(self.start_count * 1_000);
        let limits = state::MembershipLimits::default();
        let mut member =
            state::MembershipState::new(local.clone(), limits, self.start_count, self.now);
        member.set_live(self.now);
        member.apply_vm_list(self.now, &self.entries);
        self.daemons.insert(local.id, member);
    }

    pub(crate) fn kill(&mut self, name: &str) {
        self.daemons.remove(&name.parse().expect("a valid daemon id"));
    }

    pub(crate) fn add_upstream(&mut self, name: &str, zone: &str) {
        self.entries.push(cloud::VmEntry {
            id: name.parse().expect("a valid VM id"),
            zone: zone.parse().expect("a valid zone id"),
            class: "gpu".parse().expect("a valid VM class"),
            reclaimable: true,
            price: quantity::MicroPrice::new(7),
            state: cloud::VmState::Live,
            role: cloud::VmRole::Upstream {
                pool: "pool".parse().expect("a valid pool id"),
                address: address(9_000 + self.entries.len()),
            },
        });
        self.set_poll_result(name, ready(0));
    }

    pub(crate) fn set_poll_result(&mut self, name: &str, result: gossip::PollResult) {
        self.poll_results.insert(name.parse().expect("a valid VM id"), result);
    }

    pub(crate) fn unlist(&mut self, name: &str) {
        self.entries.retain(|entry| entry.id.as_str() != name);
    }

    pub(crate) fn run(&mut self, duration: time::Millis) {
        let end_at = self.now + duration;
        while self.now < end_at {
            self.now = self.now + TICK_INTERVAL;
            self.read_lists();
            let names: Vec<id::DaemonId> = self.daemons.keys().cloned().collect();
            for name in names {
                let Some(member) = self.daemons.get_mut(&name) else { continue };
                let actions = member.tick(self.now);
                actions.into_iter().for_each(|action| self.perform(&name, action));
            }
        }
    }

    /// Passes the VM list to each reader if the next read is due.
    fn read_lists(&mut self) {
        if self.now < self.next_list_read_at || self.is_platform_down {
            return;
        }
        self.next_list_read_at = self.now + LIST_READ_INTERVAL;
        for member in self.daemons.values_mut().filter(|member| member.is_reader()) {
            member.apply_vm_list(self.now, &self.entries);
        }
    }

    fn perform(&mut self, name: &id::DaemonId, action: state::MembershipAction) {
        match action {
            state::MembershipAction::Gossip(peer) => self.exchange_gossip(name, &peer),
            state::MembershipAction::IndirectProbe { prober, target } => {
                let is_reached =
                    self.is_connected(name, &prober) && self.is_connected(&prober, &target);
                let now = self.now;
                let member = self.daemons.get_mut(name).expect("the daemon is running");
                member.probe_completed(now, &target, is_reached);
            }
            state::MembershipAction::Poll(upstream) => {
                let result = self.poll_results.get(&upstream.vm).cloned();
                let result = result.unwrap_or(gossip::PollResult::NoResponse);
                let now = self.now;
                let member = self.daemons.get_mut(name).expect("the daemon is running");
                member.poll_completed(now, &upstream.vm, result);
            }
            state::MembershipAction::DaemonChanged(_)
            | state::MembershipAction::UpstreamChanged(_) => {}
        }
    }

    /// Returns whether a request and its response both arrive.
    fn is_connected(&self, from: &id::DaemonId, to: &id::DaemonId) -> bool {
        let link = (from.clone(), to.clone());
        let reverse_link = (to.clone(), from.clone());
        self.daemons.contains_key(to)
            && !self.cuts.contains(&link)
            && !self.cuts.contains(&reverse_link)
    }

    /// Sends a gossip request and delivers the response, unless a link is cut.
    fn exchange_gossip(&mut self, from: &id::DaemonId, to: &id::DaemonId) {
        let revision = quantity::RevisionNumber::default();
        let now = self.now;
        let caller = self.daemons.get_mut(from).expect("the daemon is running");
        let request = caller.message_for(to, revision);
        self.record_message_size(&request);
        let is_delivered =
            self.daemons.contains_key(to) && !self.cuts.contains(&(from.clone(), to.clone()));
        let response = is_delivered.then(|| {
            let callee = self.daemons.get_mut(to).expect("the daemon is running");
            callee.respond(now, request, revision)
        });
        let response = response.filter(|_| !self.cuts.contains(&(to.clone(), from.clone())));
        match response {
            Some(response) => {
                self.record_message_size(&response);
                let caller = self.daemons.get_mut(from).expect("the daemon is running");
                caller.receive(now, response);
            }
            None => {
                let caller = self.daemons.get_mut(from).expect("the daemon is running");
                let probes = caller.gossip_failed(now, to);
                probes.into_iter().for_each(|probe| self.perform(from, probe));
            }
        }
    }

    /// Records the encoded size of a message if it is the largest one.
    fn record_message_size(&mut self, message: &state::GossipMessage) {
        let bytes = postcard::to_stdvec(message).expect("messages can be serialized").len();
        self.largest_message_bytes = self.largest_message_bytes.max(bytes);
    }

    /// Returns the state of a daemon as seen by another one; `?` marks a suspected daemon.
    pub(crate) fn daemon_state(&self, viewer: &str, name: &str) -> String {
        let viewer = &self.daemons[&viewer.parse::<id::DaemonId>().expect("a valid daemon id")];
        let id: id::DaemonId = name.parse().expect("a valid daemon id");
        match viewer.daemons().get(&id) {
            None => "unknown".to_owned(),
            Some(info) if !daemons::is_gone(info) && !daemons::is_reachable(info) => {
                format!("{}?", info.status.state)
            }
            Some(info) => info.status.state.to_string(),
        }
    }

    /// Returns the view that a daemon has of an upstream.
    pub(crate) fn replica_view(&self, viewer: &str, name: &str) -> Option<zone::ReplicaView> {
        let viewer = &self.daemons[&viewer.parse::<id::DaemonId>().expect("a valid daemon id")];
        let views = viewer.upstreams().views(self.now);
        views.into_iter().find(|view| view.vm.as_str() == name)
    }
}

/// Returns a ready poll result with the given number of requests in the batch.
pub(crate) fn ready(running: u32) -> gossip::PollResult {
    let load = zone::LoadReport { running, ..zone::LoadReport::default() };
    gossip::PollResult::Ready {
        models: SmallVec::new(),
        load: gossip::QuantizedLoad::from_report(&load),
    }
}
