//! Exchange of state digests between the daemons.
//!
//! Each daemon sends its digest to the other daemons of its group several times a second, in one
//! datagram; the next digest makes up for a lost one. In a small deployment all daemons are one
//! group. In a large deployment each availability zone is a group: the first live daemon of a zone,
//! in order of their IDs, aggregates the zone's digests, sends the sum to the aggregators of the
//! other zones, and relays the sums it receives to its own zone. The first daemon of a group whose
//! reads of the replica entries succeed reads these for the others, and likewise for the policy.
//! Daemons discover each other through one row per daemon in the table.

use std::cell;
use std::collections;
use std::net::SocketAddr;
use std::rc;

use async_std::net;
use async_std::task;
use async_trait::async_trait;
use samphiremoor_base::event;
use samphiremoor_base::id;
use samphiremoor_base::log_event;
use samphiremoor_base::position;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_fleet::attempt_message;
use samphiremoor_fleet::attempt_record;
use samphiremoor_fleet::digest;
use samphiremoor_fleet::document_fetch;
use samphiremoor_fleet::limit;
use samphiremoor_fleet::load;
use samphiremoor_fleet::quarantine;
use samphiremoor_fleet::reachability;
use samphiremoor_fleet::rollout;
use samphiremoor_fleet::transit;
use samphiremoor_fleet::usage;

use crate::attempt_exchange;
use crate::core;
use crate::daemon_rows;
use crate::document_exchange;
use crate::known_peer;
use crate::lease_state;
use crate::vital_task;

/// Interval between digests. Older load figures mislead replica selection.
const DIGEST_INTERVAL: time::Millis = time::Millis::new(300);
/// Interval between checks for replica changes, which are sent at once, and between batches of
/// attempt records.
const CHANGE_INTERVAL: time::Millis = time::Millis::new(100);
/// Interval between digests if groups are zones. It is longer because processor time on a small VM
/// limits the rate.
const ZONE_DIGEST_INTERVAL: time::Millis = time::Millis::new(500);
/// Time after which all daemons know of an event at this one: one digest interval and the transit
/// of a datagram.
const GROUP_PROPAGATION_TIME: time::Millis = time::Millis::new(450);
/// Time after which all daemons know of an event at this one if zone sums are relayed: about
/// three intervals.
const ZONE_PROPAGATION_TIME: time::Millis = time::Millis::new(1_400);
/// Largest number of daemons that form a single group. With more, each daemon's message rate would
/// grow with the deployment.
const MAX_GROUP_SIZE: usize = 16;
/// Number of daemons in another zone that receive the sum while the zone's aggregator is unknown.
const AGGREGATOR_CANDIDATES: usize = 3;
/// Two times without contact: after the first, a peer is sent digests only every
/// [`SILENT_PEER_INTERVAL`]; after the second, the peer is removed.
const SILENCE_TIMES: (time::Millis, time::Millis) =
    (time::Millis::new(5_000), time::Millis::new(60_000));
/// Interval between digests to a peer that does not respond.
const SILENT_PEER_INTERVAL: time::Millis = time::Millis::new(2_000);
/// Number of rounds in which one digest contains all retained usage windows.
const RETAINED_USAGE_ROUNDS: u64 = 4;
/// Largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 60 * 1024;
/// The daemon that aggregates another zone's digests.
struct ZoneAggregator {
    daemon: id::DaemonId,
    address: SocketAddr,
    incarnation: quantity::Incarnation,
    last_contact: time::MonotonicTime,
    /// Policy revision that it applies.
    revision: quantity::RevisionNumber,
    /// Number of daemons whose digests it aggregates, as it last reported.
    members: u32,
}

/// Exchange of digests with the other daemons.
struct DigestExchange {
    core: rc::Rc<core::GatewayCore>,
    socket: net::UdpSocket,
    lease_state: lease_state::LeaseState,
    state: cell::RefCell<ExchangeState>,
    is_fetching_policy: cell::Cell<bool>,
}

#[derive(Default)]
struct ExchangeState {
    peers: collections::BTreeMap<id::DaemonId, known_peer::KnownPeer>,
    aggregators: collections::BTreeMap<id::ZoneId, ZoneAggregator>,
    digest_aggregator: digest::DigestAggregator,
}

/// Starts the digest exchange on a bound socket.
pub fn start(core: &rc::Rc<core::GatewayCore>, socket: net::UdpSocket) {
    let exchange = rc::Rc::new(DigestExchange {
        core: core.clone(),
        socket,
        lease_state: core.lease_state.clone(),
        state: cell::RefCell::default(),
        is_fetching_policy: cell::Cell::new(false),
    });
    core.attempts.connect(exchange.clone());
    core.relays.connect(exchange.clone());
    vital_task::spawn(daemon_rows::write(core.clone()));
    let reader = exchange.clone();
    vital_task::spawn(daemon_rows::read(core.clone(), move |daemon, row| {
        reader.add_peer(daemon, row.address, &row.zone);
    }));
    vital_task::spawn(receive_digests(exchange.clone()));
    vital_task::spawn(run_rounds(exchange));
}

/// Receives and applies the digests of other daemons; never returns.
async fn receive_digests(exchange: rc::Rc<DigestExchange>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, sender) = match exchange.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(cause) => {
                // Datagrams to a peer that is not running are answered with ICMP errors, which
                // `recv_from` reports.
                log::trace!("failed to receive a datagram ({cause})");
                continue;
            }
        };
        let bytes = &buffer[..length];
        if bytes.first() == Some(&attempt_message::MESSAGE_MARK) {
            let core = &exchange.core;
            core.attempts.receive(bytes, sender, core.now()).await;
            continue;
        }
        let (digest, notices) = match digest::decode(bytes) {
            Ok(decoded) => decoded,
            Err(cause) => {
                log::warn!("{sender} sent an invalid digest ({cause})");
                continue;
            }
        };
        exchange.core.apply_limit_notices(&notices.limits);
        if let Some(version) = digest.lease_version {
            let position = position::StorePosition { era: notices.lease_era, version };
            exchange.lease_state.observe_peer(position, exchange.core.now());
        }
        for report in &notices.decided_reports {
            exchange.core.state.borrow_mut().decided_reports.record(report);
        }
        let source = exchange.notice_source(&digest);
        exchange.core.apply_quarantine_notices(&notices.quarantine, source);
        exchange.receive_digest(digest, &notices, sender, bytes).await;
    }
}

/// Sends this daemon's digest, and the zone's sum if it aggregates the zone, in each round; never
/// returns.
async fn run_rounds(exchange: rc::Rc<DigestExchange>) {
    for round in 0_u64.. {
        let is_full = round.is_multiple_of(RETAINED_USAGE_ROUNDS);
        let usage = if is_full { usage::WindowScope::Retained } else { usage::WindowScope::Recent };
        let local_digest = exchange.build_digest(usage);
        let is_zonal = exchange.is_zonal();
        let members = exchange.due_members(is_zonal);
        let notices =
            exchange.notices(exchange.member_notices(), usage, rollout::NoticeScope::Local);
        exchange.send(&local_digest, &notices, &members).await;
        if is_zonal && let Some((sum, recipients)) = exchange.zone_sum(&local_digest, usage) {
            let notices =
                exchange.notices(exchange.group_notices(), usage, rollout::NoticeScope::Group);
            exchange.send(&sum, &notices, &recipients).await;
        }
        exchange.update_daemon_count(is_zonal);
        exchange.choose_readers(is_zonal);
        exchange.await_round(if is_zonal { ZONE_DIGEST_INTERVAL } else { DIGEST_INTERVAL }).await;
    }
}

async fn fetch_policy(exchange: rc::Rc<DigestExchange>) {
    let peers: rc::Rc<dyn document_exchange::DocumentPeers> = exchange.clone();
    document_exchange::catch_up(&exchange.core, &peers).await;
    exchange.is_fetching_policy.set(false);
}

impl document_exchange::DocumentPeers for DigestExchange {
    fn holders(&self, revision: quantity::RevisionNumber) -> Vec<document_fetch::DocumentHolder> {
        let now = self.core.now();
        let is_zonal = self.is_zonal();
        let state = self.state.borrow();
        let has_revision = |peer: &&known_peer::KnownPeer| {
            peer.digest.as_ref().is_some_and(|digest| digest.revision > revision)
                && peer.is_live(now)
                && (!is_zonal || self.is_local_zone(&peer.zone))
        };
        let members = state
            .peers
            .values()
            .filter(has_revision)
            .map(|peer| document_fetch::DocumentHolder { address: peer.address, is_remote: false });
        let aggregators = state.aggregators.values().filter(|aggregator| {
            is_zonal
                && aggregator.revision > revision
                && now.since(aggregator.last_contact) < digest::LIVENESS_TIMEOUT
        });
        let aggregators = aggregators.map(|aggregator| document_fetch::DocumentHolder {
            address: aggregator.address,
            is_remote: true,
        });
        members.chain(aggregators).collect()
    }
}

impl DigestExchange {
    fn add_peer(&self, daemon: &id::DaemonId, address: SocketAddr, zone: &id::ZoneId) {
        if *daemon == self.core.settings.daemon {
            return;
        }
        let mut state = self.state.borrow_mut();
        if state.peers.get(daemon).is_some_and(|peer| peer.address == address) {
            return;
        }
        let peer = known_peer::KnownPeer::new(address, zone.clone(), self.core.now());
        state.peers.insert(daemon.clone(), peer);
        self.core.on_daemon_joined();
        log_event!(event::LogEvent::DaemonJoined, daemon = daemon, address = address);
    }

    fn is_zonal(&self) -> bool {
        self.state.borrow().peers.len() + 1 > MAX_GROUP_SIZE
    }

    fn is_local_zone(&self, zone: &id::ZoneId) -> bool {
        *zone == self.core.settings.availability_zone
    }

    /// Returns the addresses of the group's members that are due a digest, and removes peers
    /// without contact for too long.
    fn due_members(&self, is_zonal: bool) -> Vec<SocketAddr> {
        let now = self.core.now();
        let mut state = self.state.borrow_mut();
        state.peers.retain(|daemon, peer| {
            let is_in_group = !is_zonal || self.is_local_zone(&peer.zone);
            let silence = now.since(peer.last_contact.unwrap_or(peer.added_at));
            let is_kept = !is_in_group || silence < SILENCE_TIMES.1;
            if !is_kept {
                log_event!(event::LogEvent::DaemonGone, daemon = daemon);
            }
            is_kept
        });
        let mut due_addresses = Vec::new();
        for peer in state.peers.values_mut() {
            if is_zonal && !self.is_local_zone(&peer.zone) {
                continue;
            }
            let is_silent =
                now.since(peer.last_contact.unwrap_or(peer.added_at)) >= SILENCE_TIMES.0;
            let is_recent = is_silent
                && peer.last_sent.is_some_and(|sent_at| now.since(sent_at) < SILENT_PEER_INTERVAL);
            if !is_recent {
                peer.last_sent = Some(now);
                due_addresses.push(peer.address);
            }
        }
        due_addresses
    }

    /// Returns whether this daemon aggregates its zone: the first live daemon of a zone does.
    fn is_aggregator(&self, state: &ExchangeState, now: time::MonotonicTime) -> bool {
        let local_daemon = &self.core.settings.daemon;
        let mut preceding_peers = state.peers.range(..local_daemon.clone());
        !preceding_peers.any(|(_, peer)| self.is_local_zone(&peer.zone) && peer.is_live(now))
    }

    /// Returns the sum of the zone's digests and the daemons of other zones to send it to, or
    /// `None` if this daemon does not aggregate its zone.
    fn zone_sum(
        &self,
        local_digest: &digest::PeerDigest,
        usage: usage::WindowScope,
    ) -> Option<(digest::PeerDigest, Vec<SocketAddr>)> {
        let now = self.core.now();
        let mut state = self.state.borrow_mut();
        if !self.is_aggregator(&state, now) {
            return None;
        }
        let ExchangeState { peers, aggregators, digest_aggregator } = &mut *state;
        let is_member =
            |daemon: &_| peers.get(daemon).is_some_and(|peer| self.is_local_zone(&peer.zone));
        let usage = self.core.state.borrow().usage.group_windows(usage, is_member);
        let live_peers = peers.values().filter(|peer| peer.is_live(now));
        let digests = live_peers.filter_map(|peer| peer.digest.as_ref());
        let sum = digest_aggregator.aggregate(local_digest, digests, usage);
        let mut recipients = Vec::new();
        let mut candidate_counts: collections::BTreeMap<&id::ZoneId, usize> =
            collections::BTreeMap::new();
        for peer in peers.values().filter(|peer| !self.is_local_zone(&peer.zone)) {
            let aggregator = aggregators.get(&peer.zone);
            match aggregator
                .filter(|aggregator| now.since(aggregator.last_contact) < digest::LIVENESS_TIMEOUT)
            {
                Some(aggregator) if aggregator.address == peer.address => {
                    recipients.push(peer.address)
                }
                Some(_) => {}
                None => {
                    let candidate_count = candidate_counts.entry(&peer.zone).or_default();
                    *candidate_count += 1;
                    if *candidate_count <= AGGREGATOR_CANDIDATES {
                        recipients.push(peer.address);
                    }
                }
            }
        }
        Some((sum, recipients))
    }

    async fn send(
        &self,
        digest: &digest::PeerDigest,
        notices: &digest::DigestNotices,
        recipients: &[SocketAddr],
    ) {
        let bytes = match digest::encode(digest, notices) {
            Ok(bytes) => bytes,
            Err(cause) => {
                log::warn!("failed to encode a digest ({cause}); skipping it");
                return;
            }
        };
        self.send_bytes(&bytes, recipients).await;
    }

    /// Returns the notices of the quarantine for this daemon's group. The first daemon of the group also
    /// sends all verdicts to daemons that joined.
    fn member_notices(&self) -> Vec<quarantine::QuarantineNotice> {
        let now = self.core.now();
        let is_first = self.is_aggregator(&self.state.borrow(), now);
        let table = &mut self.core.state.borrow_mut().quarantine;
        let mut notices = table.member_notices(now);
        if is_first {
            notices.extend(table.join_notices(now));
        }
        notices
    }

    /// Whether a peer runs and doesn't stop, as far as known: daemons of other groups send no digests to
    /// this one.
    fn may_relay(&self, peer: &known_peer::KnownPeer, now: time::MonotonicTime) -> bool {
        let is_in_group = !self.is_zonal() || self.is_local_zone(&peer.zone);
        let is_stopping = peer.digest.as_ref().is_some_and(|digest| digest.is_stopping);
        !is_in_group || peer.is_live(now) && !is_stopping
    }

    /// Returns the notices of the quarantine in this daemon's group for other groups.
    fn group_notices(&self) -> Vec<quarantine::QuarantineNotice> {
        let now = self.core.now();
        self.core.state.borrow_mut().quarantine.group_notices(now)
    }

    /// Returns whether the sender of a digest is of this daemon's group.
    fn notice_source(&self, digest: &digest::PeerDigest) -> quarantine::NoticeSource {
        let is_member =
            digest.members == 0 && (!self.is_zonal() || self.is_local_zone(&digest.zone));
        match is_member {
            true => quarantine::NoticeSource::Member,
            false => quarantine::NoticeSource::Remote,
        }
    }

    fn notices(
        &self,
        quarantine: Vec<quarantine::QuarantineNotice>,
        scope: usage::WindowScope,
        rollout_scope: rollout::NoticeScope,
    ) -> digest::DigestNotices {
        let now = self.core.now();
        // A zone's sum has the version of the member that holds the lease.
        let local = self.lease_state.local_position.get();
        let known = local.or(self.lease_state.peer_position.get().map(|(position, _)| position));
        let lease_era = known.map(|position| position.era).unwrap_or_default();
        let state = self.core.state.borrow();
        let reads_itself = state.policy_reader.is_none();
        let read_at = state.policy_read_at.filter(|_| reads_itself);
        let age = read_at.map(|read_at| now.since(read_at));
        digest::DigestNotices {
            limits: state.limits.notices(now),
            policy_read: Some(digest::PolicyRead { age }),
            quarantine,
            lost_paths: state.paths.suspected_groups().cloned().collect(),
            lease_era,
            decided_reports: self.decided_reports(scope),
            rollouts: state.rollouts.notices(rollout_scope, now),
            entries_fingerprint: Some(state.replicas.fingerprint()),
            sent_at: Some(time::Millis::new(now.get())),
        }
    }

    /// Returns the decided usage reports for the peers, which a table that reports no era never loses.
    fn decided_reports(&self, scope: usage::WindowScope) -> Vec<usage::WindowCount> {
        if scope != usage::WindowScope::Retained || self.core.adapter.table.era().is_none() {
            return Vec::new();
        }
        self.core.state.borrow().decided_reports.recent().cloned().collect()
    }

    async fn send_bytes(&self, bytes: &[u8], recipients: &[SocketAddr]) {
        for address in recipients {
            if let Err(cause) = self.socket.send_to(bytes, address).await {
                log::trace!(
                    "failed to send a datagram to {address} ({cause}); digests and queries are repeated"
                );
            }
        }
    }

    fn update_daemon_count(&self, is_zonal: bool) {
        let now = self.core.now();
        let state = self.state.borrow();
        let live_peers = state.peers.values().filter(|peer| peer.is_live(now)).count();
        let zone_members =
            state.aggregators.values().filter(|_| is_zonal).map(|aggregator| aggregator.members);
        let live_daemons = 1 + live_peers as u32 + zone_members.sum::<u32>();
        let daemon_count = state.peers.len() + 1;
        let propagation_time =
            if is_zonal { ZONE_PROPAGATION_TIME } else { GROUP_PROPAGATION_TIME };
        let mut core_state = self.core.state.borrow_mut();
        core_state.live_daemons = live_daemons;
        core_state.propagation = propagation_time;
        core_state.quota.set_propagation(daemon_count, propagation_time);
        core_state.observe_versions(now);
        let instant = core_state.clock_instant(now);
        core_state.limits.set_turn(self.daemon_turn(&state, is_zonal), instant);
        self.core.metrics.set_limited_replicas(core_state.sweep_limits(now));
        let paused = core_state.replicas.iter().filter(|other| other.paused_until(now).is_some());
        self.core.metrics.set_paused_replicas(paused.count());
        let budget = &core_state.body_budget;
        self.core.metrics.set_callers(budget.connections(), budget.used());
    }

    /// Returns the position of this daemon among all daemons that are known to run or may run behind
    /// a partition, ordered by zone and ID.
    fn daemon_turn(&self, state: &ExchangeState, is_zonal: bool) -> limit::DaemonTurn {
        let local_daemon = &self.core.settings.daemon;
        let local_zone = &self.core.settings.availability_zone;
        let is_member = |peer: &&known_peer::KnownPeer| !is_zonal || peer.zone == *local_zone;
        let members = state.peers.values().filter(is_member).count();
        let preceding_peers = state.peers.range(..local_daemon.clone()).map(|(_, peer)| peer);
        let mut turn = limit::DaemonTurn {
            index: preceding_peers.filter(is_member).count() as u32,
            daemons: members as u32 + 1,
        };
        if !is_zonal {
            return turn;
        }
        let mut zone_members: collections::BTreeMap<&id::ZoneId, u32> =
            collections::BTreeMap::new();
        for peer in state.peers.values().filter(|peer| peer.zone != *local_zone) {
            *zone_members.entry(&peer.zone).or_default() += 1;
        }
        // The rows of daemons that are gone remain, so the sum of a zone counts more.
        let sums = state.aggregators.iter();
        zone_members.extend(sums.map(|(zone, aggregator)| (zone, aggregator.members)));
        for (zone, count) in zone_members {
            turn.daemons += count;
            if zone < local_zone {
                turn.index += count;
            }
        }
        turn
    }

    /// Waits for the next round, which starts early if the known replicas or the policy change, and
    /// copies attempt records meanwhile.
    async fn await_round(&self, interval: time::Millis) {
        let started_at = self.core.now();
        let passes_on = self.is_zonal() && self.is_aggregator(&self.state.borrow(), started_at);
        let version = || {
            let state = self.core.state.borrow();
            let quarantine = &state.quarantine;
            let quarantine_version =
                if passes_on { quarantine.group_version() } else { quarantine.version() };
            let notices = (state.limits.version(), quarantine_version);
            let has_peers = !self.state.borrow().peers.is_empty();
            let rollouts = state.rollouts.urgent_state(self.core.now());
            // The other followers of a reader that is lost wait for the first read of the next one.
            let is_reader = state.table_reader.is_none() && state.table_read_at.is_some();
            let changes = (state.replicas.version(), state.revision(), rollouts);
            (changes, notices, has_peers, is_reader)
        };
        let initial_version = version();
        while self.core.now().since(started_at) < interval && version() == initial_version {
            task::sleep(CHANGE_INTERVAL.to_duration()).await;
            let now = self.core.now();
            self.core.state.borrow_mut().pauses.observe(now);
            let changes = self.core.state.borrow_mut().replicas.drop_missing(now);
            self.core.apply_changes(&changes, "return");
            self.core.update_quarantine();
            let local_zone = &self.core.settings.availability_zone;
            self.core.attempts.copy_records(local_zone, self.core.now()).await;
        }
    }

    /// Chooses the daemons of this one's group that read the table for it.
    fn choose_readers(&self, is_zonal: bool) {
        let state = self.state.borrow();
        let peers = state.peers.range(..self.core.settings.daemon.clone()).map(|(_, peer)| peer);
        let preceding_peers = peers.filter(|peer| !is_zonal || self.is_local_zone(&peer.zone));
        known_peer::choose_readers(&self.core, preceding_peers);
    }

    fn build_digest(&self, usage: usage::WindowScope) -> digest::PeerDigest {
        let core = &self.core;
        let now = core.now();
        let mut state = core.state.borrow_mut();
        let loads =
            state.replicas.iter().filter(|known_replica| known_replica.local_load.running > 0);
        let loads = loads
            .map(|known_replica| load::LoadEntry {
                replica: known_replica.entry.id.clone(),
                load: known_replica.local_load,
            })
            .collect();
        let service_demands = state
            .prompt_sums
            .iter()
            .map(|(service, sum)| digest::ServiceDemand {
                service: service.clone(),
                prompt_rate: sum.per_second(now) as f32,
            })
            .collect();
        digest::PeerDigest {
            daemon: core.settings.daemon.clone(),
            zone: core.settings.availability_zone.clone(),
            members: 0,
            incarnation: core.incarnation,
            address: core.settings.listen.peers,
            is_stopping: state.stopping_since.is_some(),
            revision: state.revision(),
            unix_ms: u64::try_from(state.wall_clock.local(now)).unwrap_or(0),
            table_age: self.table_age(&state, now),
            entries_version: state.replicas.version(),
            lease_version: self.lease_state.local_position.get().map(|position| position.version),
            loads,
            workspace_demands: state.quota.local_demands(now),
            service_demands,
            usage: state.usage.local_windows(usage),
            departed: state
                .departures
                .iter()
                .map(|(_, id, incarnation)| (id.clone(), *incarnation))
                .collect(),
        }
    }

    /// Returns the age of this daemon's last table read if others may follow it: this daemon reads
    /// the table itself, and none of its entries is only retained through a table outage.
    fn table_age(&self, state: &core::CoreState, now: time::MonotonicTime) -> Option<time::Millis> {
        let may_be_followed = state.table_reader.is_none() && state.replicas.matches_table(now);
        state.table_read_at.filter(|_| may_be_followed).map(|read_at| now.since(read_at))
    }

    /// Applies a received digest, and relays another zone's sum to this daemon's zone.
    async fn receive_digest(
        self: &rc::Rc<Self>,
        digest: digest::PeerDigest,
        notices: &digest::DigestNotices,
        sender: SocketAddr,
        bytes: &[u8],
    ) {
        let is_zonal = self.is_zonal();
        if digest.members == 0 {
            self.add_peer(&digest.daemon, digest.address, &digest.zone);
            if !is_zonal || self.is_local_zone(&digest.zone) {
                self.receive_member(digest, notices);
            }
            return;
        }
        if !is_zonal || self.is_local_zone(&digest.zone) {
            return;
        }
        let (Some(is_new), is_from_aggregator) =
            (self.update_aggregator(&digest), sender == digest.address)
        else {
            return;
        };
        let key = format!("zone:{}", digest.zone).parse();
        let Ok(key) = key else { return };
        if is_new {
            // The new aggregator's totals lack what its zone admitted before it began to sum.
            self.core.state.borrow_mut().quota.remove_peer(&key);
        }
        let is_aggregator = self.is_aggregator(&self.state.borrow(), self.core.now());
        let members: Vec<SocketAddr> = match is_from_aggregator && is_aggregator {
            true => {
                let state = self.state.borrow();
                let members = state.peers.values().filter(|peer| self.is_local_zone(&peer.zone));
                members.map(|peer| peer.address).collect()
            }
            false => Vec::new(),
        };
        self.apply(&key, quantity::Incarnation::default(), &digest, &digest.departed);
        self.apply_rollouts((&key, quantity::Incarnation::default()), true, notices);
        self.send_bytes(bytes, &members).await;
    }

    fn receive_member(
        self: &rc::Rc<Self>,
        digest: digest::PeerDigest,
        notices: &digest::DigestNotices,
    ) {
        let (now, sender) = (self.core.now(), digest.address);
        if digest.is_stopping {
            self.core.state.borrow_mut().idle_pool.remove_relayed(digest.address);
        }
        let mut repeats_departures = false;
        if let Some(peer) = self.state.borrow_mut().peers.get_mut(&digest.daemon) {
            let silence = now.since(peer.last_contact.unwrap_or(peer.added_at));
            if let Some(last) = &peer.digest {
                if digest.is_outdated(last, silence) {
                    return;
                }
                if digest.incarnation != last.incarnation {
                    self.core.on_daemon_joined();
                    peer.transit = transit::TransitEstimate::default();
                }
            }
            let delay = notices.sent_at.map(|sent_at| peer.transit.observe(sent_at, now));
            let delay = delay.unwrap_or_default();
            let made_at = time::MonotonicTime::new(now.get().saturating_sub(delay.get()));
            peer.reads = known_peer::PeerReads::new(&digest, notices.policy_read, made_at);
            let entries_version = self.core.state.borrow().replicas.version();
            repeats_departures = peer.entries_version.replace(entries_version)
                == Some(entries_version)
                && peer.digest.as_ref().is_some_and(|last| last.departed == digest.departed);
            peer.last_contact = Some(now);
            peer.entries_fingerprint = notices.entries_fingerprint;
            peer.lost_paths.clone_from(&notices.lost_paths);
        }
        let departed = if repeats_departures { &[][..] } else { &digest.departed };
        self.apply(&digest.daemon, digest.incarnation, &digest, departed);
        self.apply_rollouts((&digest.daemon, digest.incarnation), false, notices);
        if let Some(peer) = self.state.borrow_mut().peers.get_mut(&digest.daemon) {
            peer.digest = Some(digest);
        }
        let state = self.core.state.borrow();
        let readers = (
            state.table_reader.as_ref().map(|reader| reader.address),
            state.policy_reader.map(|reader| reader.address),
        );
        drop(state);
        let has_readers = readers.0.is_some() && readers.1.is_some();
        if !has_readers || readers.0 == Some(sender) || readers.1 == Some(sender) {
            self.choose_readers(self.is_zonal());
        }
    }

    /// Applies the notices of rollouts of a daemon or, if `is_group`, of a zone.
    fn apply_rollouts(
        &self,
        sender: (&id::DaemonId, quantity::Incarnation),
        is_group: bool,
        notices: &digest::DigestNotices,
    ) {
        let now = self.core.now();
        let mut state = self.core.state.borrow_mut();
        state.rollouts.apply_notices(sender, is_group, &notices.rollouts, now);
    }

    /// Stores the aggregator of a zone. Returns whether it replaces another one, or `None` if a
    /// daemon that precedes it still aggregates the zone.
    fn update_aggregator(&self, digest: &digest::PeerDigest) -> Option<bool> {
        let now = self.core.now();
        let mut state = self.state.borrow_mut();
        let current = state.aggregators.get(&digest.zone);
        if current.is_some_and(|current| {
            current.daemon < digest.daemon
                && now.since(current.last_contact) < digest::LIVENESS_TIMEOUT
        }) {
            return None;
        }
        let is_new = current.is_none_or(|current| {
            current.daemon != digest.daemon || current.incarnation != digest.incarnation
        });
        let aggregator = ZoneAggregator {
            daemon: digest.daemon.clone(),
            address: digest.address,
            incarnation: digest.incarnation,
            last_contact: now,
            revision: digest.revision,
            members: digest.members,
        };
        state.aggregators.insert(digest.zone.clone(), aggregator);
        Some(is_new)
    }

    /// Applies the contents of a digest under the key of a daemon or a zone. `departed` are the
    /// departures in it that are not known to be applied.
    fn apply(
        self: &rc::Rc<Self>,
        key: &id::DaemonId,
        incarnation: quantity::Incarnation,
        digest: &digest::PeerDigest,
        departed: &[(id::ReplicaId, quantity::Incarnation)],
    ) {
        let core = &self.core;
        let now = core.now();
        let mut state = core.state.borrow_mut();
        state.replicas.set_peer_loads(key, &digest.loads, now);
        state.quota.observe_peer_demands(key, incarnation, &digest.workspace_demands, now);
        state.usage.merge_peer(key, incarnation, &digest.usage);
        state.wall_clock.observe_peer(key, i64::try_from(digest.unix_ms).unwrap_or(0), now);
        state.store_peer_prompt_rates(key, &digest.service_demands, now);
        let current_revision = state.revision();
        let mut changes = Vec::new();
        for (replica, incarnation) in departed {
            changes.extend(state.replicas.on_peer_departure(replica, *incarnation));
        }
        drop(state);
        core.apply_changes(&changes, "peer");
        if digest.revision > current_revision && !self.is_fetching_policy.replace(true) {
            task::spawn_local(fetch_policy(self.clone()));
        }
    }
}

#[async_trait(?Send)]
impl attempt_exchange::PeerNetwork for DigestExchange {
    fn candidates(&self) -> Vec<attempt_record::HolderCandidate> {
        let now = self.core.now();
        let is_zonal = self.is_zonal();
        let state = self.state.borrow();
        let candidate = |(daemon, peer): (&id::DaemonId, &known_peer::KnownPeer)| {
            let is_in_group = !is_zonal || self.is_local_zone(&peer.zone);
            // Daemons of other groups send no digests to this one.
            let is_live = peer.is_live(now) || !is_in_group;
            let (daemon, zone) = (daemon.clone(), peer.zone.clone());
            attempt_record::HolderCandidate { daemon, zone, address: peer.address, is_live }
        };
        state.peers.iter().map(candidate).collect()
    }

    fn relays(&self, group: &reachability::PathGroup) -> Vec<reachability::RelayCandidate> {
        let now = self.core.now();
        let state = self.state.borrow();
        let candidate = |peer: &known_peer::KnownPeer| reachability::RelayCandidate {
            address: peer.address,
            zone: peer.zone.clone(),
            is_live: self.may_relay(peer, now),
            has_lost_path: peer.lost_paths.contains(group),
        };
        state.peers.values().map(candidate).collect()
    }

    fn is_live(&self, daemon: SocketAddr) -> bool {
        let now = self.core.now();
        let state = self.state.borrow();
        state.peers.values().any(|peer| peer.address == daemon && self.may_relay(peer, now))
    }

    async fn send_datagram(&self, bytes: &[u8], recipients: &[SocketAddr]) {
        self.send_bytes(bytes, recipients).await;
    }
}
