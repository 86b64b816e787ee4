//! Which replicas this daemon reaches directly, and by way of which daemons it reaches the others.
//!
//! A daemon may lose its path to some or all replicas while its callers and peers reach it. Replicas of
//! one service and zone share a path. One replica that fails to accept a connection proves little: it may
//! have crashed or pause.

use std::collections;
use std::fmt;
use std::hash::Hasher as _;
use std::net;

use samphiremoor_base::id;
use samphiremoor_base::time;
use serde::Deserialize;
use serde::Serialize;
use siphasher::sip;
use smallvec::SmallVec;

use crate::replica;

/// Time within which failures to connect to two replicas speak against the path.
const FAILURE_WINDOW: time::Millis = time::Millis::new(2_000);
/// Interval between probes of a suspected path.
const PROBE_INTERVAL: time::Millis = time::Millis::new(500);
/// Time for which a relay that failed is not chosen.
const RELAY_BACKOFF: time::Millis = time::Millis::new(2_000);
/// Number of relays that are tried for one connection.
const MAX_RELAYS: usize = 3;

/// Replicas that share a path: those of one service in one availability zone.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct PathGroup {
    /// Service of the replicas.
    pub service: id::ServiceId,
    /// Availability zone of the replicas.
    pub zone: id::ZoneId,
}

impl PathGroup {
    /// Returns the group of a replica.
    pub fn of(entry: &replica::ReplicaEntry) -> Self {
        PathGroup { service: entry.service.clone(), zone: entry.zone.clone() }
    }
}

impl fmt::Display for PathGroup {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.service, self.zone)
    }
}

/// State of the path to a group.
#[derive(Clone, Debug, Default)]
struct PathState {
    /// Replicas that failed to accept a connection since one of the group did.
    failures: SmallVec<[(id::ReplicaId, time::MonotonicTime); 2]>,
    /// Since when the path is suspected to be broken.
    suspected_since: Option<time::MonotonicTime>,
    /// Whether probes of several groups failed, so that the failures of single replicas don't matter.
    has_failed_probe: bool,
    probed_at: Option<time::MonotonicTime>,
}

/// Change of a path, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PathChange {
    /// The path to a group is suspected to be broken.
    Suspected(PathGroup),
    /// A connection to a replica of the group opened.
    Restored(PathGroup),
}

/// Changes that result from one observation.
pub type PathChanges = SmallVec<[PathChange; 1]>;

/// Paths from this daemon to replicas.
#[derive(Clone, Debug, Default)]
pub struct PathTable {
    /// Groups to which connections failed.
    groups: collections::BTreeMap<PathGroup, PathState>,
    /// Replicas that only relays have reached, and since when. Paths may differ within a group.
    relayed: collections::BTreeMap<id::ReplicaId, RelayedReplica>,
    /// When a replica last sent data over a direct connection.
    last_data_at: Option<time::MonotonicTime>,
}

/// A replica that only relays have reached.
#[derive(Clone, Debug)]
struct RelayedReplica {
    since: time::MonotonicTime,
    probed_at: time::MonotonicTime,
}

impl PathTable {
    /// Returns since when the path to a replica of a group is suspected to be broken.
    pub fn suspected_since(
        &self,
        group: &PathGroup,
        replica: &id::ReplicaId,
    ) -> Option<time::MonotonicTime> {
        let relayed = self.relayed.get(replica).map(|relayed| relayed.since);
        relayed.or_else(|| self.groups.get(group)?.suspected_since)
    }

    /// Returns the groups whose paths are suspected to be broken.
    pub fn suspected_groups(&self) -> impl Iterator<Item = &PathGroup> {
        let suspected = self.groups.iter().filter(|(_, state)| state.suspected_since.is_some());
        suspected.map(|(group, _)| group)
    }

    /// Observes that a replica sent data over a direct connection.
    pub fn on_data(&mut self, now: time::MonotonicTime) {
        self.last_data_at = Some(now);
    }

    /// Returns when a replica last sent data over a direct connection.
    pub fn last_data_at(&self) -> Option<time::MonotonicTime> {
        self.last_data_at
    }

    /// Observes that a direct connection to a replica of a group opened.
    pub fn on_opened(&mut self, group: &PathGroup, replica: &id::ReplicaId) -> PathChanges {
        self.relayed.remove(replica);
        let mut changes = PathChanges::new();
        let state = self.groups.remove(group);
        if state.is_some_and(|state| state.suspected_since.is_some()) {
            changes.push(PathChange::Restored(group.clone()));
        }
        changes
    }

    /// Observes that a direct connection to a replica of a group of `group_size` replicas was refused or
    /// did not open in time.
    pub fn on_failure(
        &mut self,
        group: &PathGroup,
        replica: &id::ReplicaId,
        group_size: usize,
        now: time::MonotonicTime,
    ) -> PathChanges {
        // A daemon that has lost one path has likely lost others.
        let has_suspected = self.suspected_groups().next().is_some();
        let needed = if has_suspected { 1 } else { group_size.clamp(1, 2) };
        let state = self.groups.entry(group.clone()).or_default();
        state.failures.retain(|(failed, failed_at)| {
            failed != replica && now.since(*failed_at) < FAILURE_WINDOW
        });
        state.failures.push((replica.clone(), now));
        let mut changes = PathChanges::new();
        if state.suspected_since.is_none() && state.failures.len() >= needed {
            state.suspected_since = Some(now);
            changes.push(PathChange::Suspected(group.clone()));
        }
        changes
    }

    /// Observes that a relay reached a replica that a direct connection did not reach.
    pub fn on_relayed(&mut self, replica: &id::ReplicaId, now: time::MonotonicTime) {
        let relayed = RelayedReplica { since: now, probed_at: now };
        self.relayed.entry(replica.clone()).or_insert(relayed);
    }

    /// Observes that a replica refused a connection by way of another daemon: it is down, which doesn't
    /// speak against the path.
    pub fn on_replica_down(&mut self, group: &PathGroup, replica: &id::ReplicaId) -> PathChanges {
        let mut changes = PathChanges::new();
        self.relayed.remove(replica);
        let Some(state) = self.groups.get_mut(group) else { return changes };
        state.failures.retain(|(failed, _)| failed != replica);
        if state.failures.is_empty() && !state.has_failed_probe {
            let state = self.groups.remove(group);
            if state.is_some_and(|state| state.suspected_since.is_some()) {
                changes.push(PathChange::Restored(group.clone()));
            }
        }
        changes
    }

    /// Observes that no replica sent data since `since`, and that those that were probed accepted no
    /// connection.
    pub fn on_silence(
        &mut self,
        groups: impl IntoIterator<Item = PathGroup>,
        since: time::MonotonicTime,
    ) -> PathChanges {
        let mut changes = PathChanges::new();
        for group in groups {
            let state = self.groups.entry(group.clone()).or_default();
            state.has_failed_probe = true;
            if state.suspected_since.is_none() {
                state.suspected_since = Some(since);
                changes.push(PathChange::Suspected(group));
            }
        }
        changes
    }

    /// Returns the suspected groups whose paths are due to be probed, each by one connection.
    pub fn take_due_probes(&mut self, now: time::MonotonicTime) -> Vec<PathGroup> {
        let suspected = self.groups.iter_mut().filter(|(_, state)| state.suspected_since.is_some());
        let due = suspected.filter(|(_, state)| {
            state.probed_at.is_none_or(|probed_at| now.since(probed_at) >= PROBE_INTERVAL)
        });
        due.map(|(group, state)| {
            state.probed_at = Some(now);
            group.clone()
        })
        .collect()
    }

    /// Returns the replicas that only relays have reached and whose paths are due to be probed.
    pub fn take_due_replicas(&mut self, now: time::MonotonicTime) -> Vec<id::ReplicaId> {
        let due = self
            .relayed
            .iter_mut()
            .filter(|(_, relayed)| now.since(relayed.probed_at) >= PROBE_INTERVAL);
        due.map(|(replica, relayed)| {
            relayed.probed_at = now;
            replica.clone()
        })
        .collect()
    }

    /// Forgets groups without replicas, and replicas that are not known any more.
    pub fn retain(
        &mut self,
        has_replicas: impl Fn(&PathGroup) -> bool,
        is_known: impl Fn(&id::ReplicaId) -> bool,
    ) {
        self.groups.retain(|group, _| has_replicas(group));
        self.relayed.retain(|replica, _| is_known(replica));
    }
}

/// A daemon that may relay connections.
#[derive(Clone, Debug)]
pub struct RelayCandidate {
    /// Address at which it serves other daemons.
    pub address: net::SocketAddr,
    /// Availability zone of the daemon.
    pub zone: id::ZoneId,
    /// Whether the daemon is believed to run and not to stop.
    pub is_live: bool,
    /// Whether the daemon announces that it has lost the path itself.
    pub has_lost_path: bool,
}

/// Relays that failed recently.
#[derive(Clone, Debug, Default)]
pub struct RelayBackoff {
    failed: collections::HashMap<net::SocketAddr, time::MonotonicTime>,
}

impl RelayBackoff {
    /// Records that a relay failed.
    pub fn record_failure(&mut self, relay: net::SocketAddr, now: time::MonotonicTime) {
        self.failed.retain(|_, failed_at| now.since(*failed_at) < RELAY_BACKOFF);
        self.failed.insert(relay, now);
    }

    fn is_failed(&self, relay: net::SocketAddr, now: time::MonotonicTime) -> bool {
        self.failed.get(&relay).is_some_and(|failed_at| now.since(*failed_at) < RELAY_BACKOFF)
    }
}

/// Addresses of relays in the order in which they are tried.
pub type RelayAddresses = SmallVec<[net::SocketAddr; MAX_RELAYS]>;

/// Chooses the relays for a connection: those of the same zone first, in an order that `draw`
/// determines, so that the connections of several daemons are spread.
pub fn choose_relays(
    candidates: &[RelayCandidate],
    backoff: &RelayBackoff,
    local_zone: &id::ZoneId,
    draw: u64,
    now: time::MonotonicTime,
) -> RelayAddresses {
    let rank = |candidate: &&RelayCandidate| {
        let mut hasher = sip::SipHasher13::new_with_keys(draw, 0);
        hasher.write(candidate.address.to_string().as_bytes());
        let is_failed = backoff.is_failed(candidate.address, now);
        (is_failed, candidate.zone != *local_zone, hasher.finish())
    };
    let usable =
        candidates.iter().filter(|candidate| candidate.is_live && !candidate.has_lost_path);
    let mut ranked: Vec<&RelayCandidate> = usable.collect();
    ranked.sort_by_cached_key(rank);
    ranked.into_iter().take(MAX_RELAYS).map(|candidate| candidate.address).collect()
}
