//! Replicas as their entries in the table, the own dispatches and the peers' digests show them.

use std::collections;
use std::net;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use smallvec::SmallVec;

use crate::decay;
use crate::load;

/// Entries that vanished while the table was away are believed for this long after its return;
/// a living replica has registered again by then.
const RETURN_GRACE: time::Millis = time::Millis::new(2_000);
/// First time for which a replica that can't be reached gets no requests; short, as one reset
/// connection proves little.
const DOWN_MIN: time::Millis = time::Millis::new(250);
/// Longest time for which an unreachable replica is not tried again.
const DOWN_MAX: time::Millis = time::Millis::new(4_000);
/// Weight of one answer in the share of failures of a replica: the last ten or so count.
const FAILURE_WEIGHT: f64 = 0.1;
/// Time in which a share of failures fades to half: a replica that fails part of its requests is
/// tried again every few seconds.
const FAILURE_HALF_LIFE: time::Millis = time::Millis::new(3_000);
/// Streams stay this long on a replica that leaves by plan: it serves for two seconds or more.
const LINGER: time::Millis = time::Millis::new(900);
/// A digest older than this says nothing of a peer's load any more.
const DIGEST_BELIEVED: time::Millis = time::Millis::new(2_500);
/// Time in which the unread prompts that a peer told of fade to about a third: an engine reads some
/// ten thousand tokens meanwhile.
const PENDING_FADE: time::Millis = time::Millis::new(300);

/// What a replica says of itself in the table.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ReplicaEntry {
    /// The replica.
    pub id: id::ReplicaId,
    /// Service that it serves.
    pub service: id::ServiceId,
    /// Address that takes requests.
    pub address: net::SocketAddr,
    /// Its availability zone.
    pub zone: id::ZoneId,
    /// Requests that it works on at the same time.
    pub slots: u32,
    /// Whether it takes no new requests.
    pub is_draining: bool,
    /// Start of its present life, in Unix milliseconds; 0 where it does not say.
    pub incarnation: quantity::Incarnation,
    /// Whether the cloud may reclaim its VM.
    pub is_reclaimable: bool,
    /// Time that is left to a replica whose VM is reclaimed, as of the entry.
    pub time_to_reclaim: Option<time::Millis>,
}

/// A replica and what this daemon knows of it.
#[derive(Clone, Debug)]
pub struct KnownReplica {
    /// Its entry.
    pub entry: ReplicaEntry,
    /// Load of this daemon.
    pub local_load: load::ReplicaLoad,
    failures: f64,
    failures_at: time::MonotonicTime,
    /// Instant of the last bytes that came from it.
    pub last_contact: Option<time::MonotonicTime>,
    /// When it was first known to leave.
    leaving_at: Option<time::MonotonicTime>,
    down_until: Option<time::MonotonicTime>,
    down_for: time::Millis,
    vanished_at: Option<time::MonotonicTime>,
}

/// All replicas of a deployment.
#[derive(Clone, Debug, Default)]
pub struct ReplicaTable {
    replicas: collections::BTreeMap<id::ReplicaId, KnownReplica>,
    by_service: collections::HashMap<id::ServiceId, Vec<id::ReplicaId>>,
    peers: collections::HashMap<id::DaemonId, PeerLoads>,
    /// Rises with each change of what peers that follow need to know.
    number: u64,
    /// Last instant at which the table did not answer.
    outage_at: Option<time::MonotonicTime>,
    is_out: bool,
}

#[derive(Clone, Debug)]
struct PeerLoads {
    at: time::MonotonicTime,
    loads: collections::HashMap<id::ReplicaId, load::ReplicaLoad>,
}

/// A change of what is known, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplicaChange {
    /// A replica, or a new life of one, is in service.
    Joined(id::ReplicaId),
    /// A replica takes no new requests.
    Leaving(id::ReplicaId),
    /// A replica is gone.
    Removed(id::ReplicaId),
}

/// Changes of one update.
pub type ReplicaChanges = SmallVec<[ReplicaChange; 4]>;

impl ReplicaTable {
    /// Takes over one entry that was written. Entries of an earlier life are passed over.
    pub fn upsert(&mut self, entry: ReplicaEntry) -> ReplicaChanges {
        let mut changes = ReplicaChanges::new();
        let id = entry.id.clone();
        let is_draining = entry.is_draining;
        match self.replicas.get_mut(&id) {
            Some(known) if known.entry.incarnation > entry.incarnation => return changes,
            Some(known)
                if known.entry.incarnation == entry.incarnation
                    && known.entry.address == entry.address =>
            {
                known.vanished_at = None;
                let was_draining = known.entry.is_draining;
                known.entry = entry;
                // A replica that leaves does not stay after all; what says so is older.
                known.entry.is_draining |= was_draining;
                if is_draining && !was_draining {
                    self.number += 1;
                    changes.push(ReplicaChange::Leaving(id));
                }
                return changes;
            }
            _ => {
                self.replicas.insert(id.clone(), KnownReplica::new(entry));
                changes.push(ReplicaChange::Joined(id.clone()));
                if is_draining {
                    changes.push(ReplicaChange::Leaving(id));
                }
            }
        }
        self.index();
        changes
    }

    /// An entry is not in the table any more.
    pub fn remove(&mut self, id: &id::ReplicaId, now: time::MonotonicTime) -> ReplicaChanges {
        let mut changes = ReplicaChanges::new();
        if self.is_after_outage(now) {
            if let Some(known) = self.replicas.get_mut(id) {
                known.vanished_at.get_or_insert(now);
            }
            return changes;
        }
        if self.replicas.remove(id).is_some() {
            changes.push(ReplicaChange::Removed(id.clone()));
            self.index();
        }
        changes
    }

    /// Takes over all entries of the table.
    pub fn replace(
        &mut self,
        entries: Vec<ReplicaEntry>,
        now: time::MonotonicTime,
    ) -> ReplicaChanges {
        let listed: collections::BTreeSet<_> =
            entries.iter().map(|entry| entry.id.clone()).collect();
        let mut changes = ReplicaChanges::new();
        for entry in entries {
            changes.extend(self.upsert(entry));
        }
        let absent: Vec<_> =
            self.replicas.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        for id in absent {
            changes.extend(self.remove(&id, now));
        }
        changes
    }

    /// The table did not answer.
    pub fn on_table_unavailable(&mut self, now: time::MonotonicTime) {
        self.outage_at = Some(now);
        self.is_out = true;
    }

    /// The table answered; entries that stayed away for long enough after an outage are dropped.
    pub fn on_table_response(&mut self, now: time::MonotonicTime) -> ReplicaChanges {
        if self.is_out {
            // The time of grace counts from the return.
            self.is_out = false;
            self.outage_at = Some(now);
        }
        let mut changes = ReplicaChanges::new();
        if self.is_after_outage(now) {
            return changes;
        }
        self.replicas.retain(|id, known| {
            if known.vanished_at.is_some() {
                changes.push(ReplicaChange::Removed(id.clone()));
            }
            known.vanished_at.is_none()
        });
        if !changes.is_empty() {
            self.index();
        }
        changes
    }

    /// A peer saw a replica leave, in the life that it names.
    pub fn on_peer_departure(
        &mut self,
        id: &id::ReplicaId,
        born: quantity::Incarnation,
    ) -> Option<ReplicaChange> {
        let known = self.replicas.get_mut(id)?;
        if known.entry.incarnation != born || known.entry.is_draining {
            return None;
        }
        known.entry.is_draining = true;
        Some(ReplicaChange::Leaving(id.clone()))
    }

    /// Number of the present entries: another one where they changed.
    pub fn version(&self) -> u64 {
        self.number
    }

    /// Whether the entries are as the table has them: none is kept through an outage.
    pub fn matches_table(&self, now: time::MonotonicTime) -> bool {
        !self.is_after_outage(now)
    }

    fn is_after_outage(&self, now: time::MonotonicTime) -> bool {
        self.is_out || self.outage_at.is_some_and(|at| now.since(at) < RETURN_GRACE)
    }

    /// Takes over the loads that a peer puts on replicas.
    pub fn set_peer_loads(
        &mut self,
        daemon: &id::DaemonId,
        loads: &[load::LoadEntry],
        now: time::MonotonicTime,
    ) {
        let loads = loads.iter().map(|line| (line.replica.clone(), line.load)).collect();
        self.peers.insert(daemon.clone(), PeerLoads { at: now, loads });
        self.peers.retain(|_, known| now.since(known.at) < DIGEST_BELIEVED);
    }

    /// Load of all daemons on a replica.
    pub fn load(&self, known: &KnownReplica, now: time::MonotonicTime) -> load::ReplicaLoad {
        let mut sum = known.local_load;
        for peer in self.peers.values() {
            let age = now.since(peer.at);
            if age >= DIGEST_BELIEVED {
                continue;
            }
            let Some(load) = peer.loads.get(&known.entry.id) else { continue };
            sum.running += load.running;
            sum.pending_tokens += (f64::from(load.pending_tokens)
                * decay::remaining_fraction(age, PENDING_FADE))
                as u32;
        }
        sum
    }

    /// One replica.
    pub fn get(&self, id: &id::ReplicaId) -> Option<&KnownReplica> {
        self.replicas.get(id)
    }

    /// One replica, to change what is known of it.
    pub fn get_mut(&mut self, id: &id::ReplicaId) -> Option<&mut KnownReplica> {
        self.replicas.get_mut(id)
    }

    /// Replicas of a service, in the order of their ids.
    pub fn of_service(&self, service: &id::ServiceId) -> impl Iterator<Item = &KnownReplica> {
        let ids = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        ids.iter().filter_map(|id| self.replicas.get(id))
    }

    /// All replicas, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &KnownReplica> {
        self.replicas.values()
    }

    /// Notes that replicas came or went.
    fn index(&mut self) {
        self.number += 1;
        self.by_service.clear();
        for (id, known) in &self.replicas {
            self.by_service.entry(known.entry.service.clone()).or_default().push(id.clone());
        }
    }
}

impl KnownReplica {
    fn new(entry: ReplicaEntry) -> Self {
        KnownReplica {
            entry,
            local_load: load::ReplicaLoad::default(),
            failures: 0.0,
            failures_at: time::MonotonicTime::default(),
            last_contact: None,
            leaving_at: None,
            down_until: None,
            down_for: DOWN_MIN,
            vanished_at: None,
        }
    }

    /// Whether new requests may be sent to it.
    pub fn is_available(&self, now: time::MonotonicTime) -> bool {
        !self.entry.is_draining && self.down_until.is_none_or(|until| now >= until)
    }

    /// Whether streams in progress there had better go on elsewhere: at once where its VM is reclaimed,
    /// else after the time in which most streams end by themselves.
    pub fn should_migrate(&mut self, now: time::MonotonicTime) -> bool {
        if !self.entry.is_draining {
            return false;
        }
        let leaving_at = *self.leaving_at.get_or_insert(now);
        self.entry.time_to_reclaim.is_some() || now.since(leaving_at) >= LINGER
    }

    /// The replica answered a request; `is_failure` where it failed it.
    pub fn on_response(&mut self, is_failure: bool, now: time::MonotonicTime) {
        self.last_contact = Some(now);
        self.sample_failure(is_failure, now);
        if !is_failure {
            self.down_until = None;
            self.down_for = DOWN_MIN;
        }
    }

    /// The replica can't be reached or is silent: it is left alone for a while, longer each time.
    pub fn on_unreachable(&mut self, now: time::MonotonicTime) {
        self.sample_failure(true, now);
        self.down_until = Some(now + self.down_for);
        let doubled = time::Millis::new(self.down_for.get() * 2);
        self.down_for = doubled.min(DOWN_MAX);
    }

    /// Share of failures among the last answers, 0 to 1; fades, so that the replica is tried again.
    pub fn failure_rate(&self, now: time::MonotonicTime) -> f64 {
        let age = now.since(self.failures_at).get() as f64;
        self.failures * 0.5_f64.powf(age / FAILURE_HALF_LIFE.get() as f64)
    }

    fn sample_failure(&mut self, is_failure: bool, now: time::MonotonicTime) {
        let sample = if is_failure { 1.0 } else { 0.0 };
        let share = self.failure_rate(now);
        self.failures = share + FAILURE_WEIGHT * (sample - share);
        self.failures_at = now;
    }
}
