//! State of the replicas, from their entries in the table, this daemon's own dispatches and the
//! digests of peers.

use std::collections;
use std::error;
use std::fmt;
use std::hash::Hasher as _;
use std::net;
use std::str;
use std::sync;

use samphiremoor_base::id;
use samphiremoor_base::position;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use serde::Deserialize;
use serde::Serialize;
use siphasher::sip;
use smallvec::SmallVec;

use crate::decay;
use crate::entry_copy;
use crate::load;
use crate::read_budget;
use crate::send_state;

/// Shortest time without a response of the table that counts as an outage. A running replica keeps
/// its entry for longer than that without a report.
const MIN_OUTAGE: time::Millis = time::Millis::new(1_500);
/// Time for which a removed replica is remembered. The table returns from copies that are younger.
const REMOVAL_MEMORY: time::Millis = time::Millis::new(60_000);
/// Time after the return of the table from an older copy in which it drops the entry of a replica
/// that is gone: a few intervals between a replica's reports.
const RESTORE_GRACE: time::Millis = time::Millis::new(6_000);
/// Weight of a response in the failure rate (EWMA) of a replica, which covers about the last ten
/// responses.
const FAILURE_WEIGHT: f64 = 0.1;
/// Half-life of a failure rate: a replica that fails some of its requests is tried again every few
/// seconds.
const FAILURE_HALF_LIFE: time::Millis = time::Millis::new(3_000);
/// Time for which streams stay on a draining replica whose VM is not reclaimed. Such a replica
/// serves for two seconds or more.
const MIGRATION_DELAY: time::Millis = time::Millis::new(900);
/// Maximum age of a digest from which a peer's load is counted.
const DIGEST_MAX_AGE: time::Millis = time::Millis::new(2_500);
/// Time constant of the pending prompt tokens that a peer reported, which decay to about a third in
/// this time. An engine prefills some ten thousand tokens meanwhile.
const PENDING_TIME_CONSTANT: time::Millis = time::Millis::new(300);

/// Incarnation in the entry of a replica that reports none.
const UNKNOWN_INCARNATION: quantity::Incarnation = quantity::Incarnation::new(0);

/// Maximum length of a software version, in bytes.
pub const MAX_VERSION_BYTES: usize = 200;

/// Error for a text that is not a valid software version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VersionError {
    /// The text is empty.
    Empty,
    /// The text has this many bytes, more than [`MAX_VERSION_BYTES`].
    TooLong(usize),
    /// The text contains a control character.
    ControlCharacter,
}

impl fmt::Display for VersionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            VersionError::Empty => f.write_str("the version is empty; give at least one character"),
            VersionError::TooLong(length) => {
                write!(f, "the version has {length} bytes; shorten it to {MAX_VERSION_BYTES}")
            }
            VersionError::ControlCharacter => {
                f.write_str("the version holds a control character; use printable ones")
            }
        }
    }
}

impl error::Error for VersionError {}

/// Version of the software that a replica runs, as opposed to that of its weights. Versions have no
/// order.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct SoftwareVersion(sync::Arc<str>);

impl TryFrom<String> for SoftwareVersion {
    type Error = VersionError;

    fn try_from(text: String) -> Result<Self, VersionError> {
        text.parse()
    }
}

impl From<SoftwareVersion> for String {
    fn from(version: SoftwareVersion) -> Self {
        version.as_str().to_owned()
    }
}

impl SoftwareVersion {
    /// Returns the version as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl str::FromStr for SoftwareVersion {
    type Err = VersionError;

    fn from_str(text: &str) -> Result<Self, VersionError> {
        if text.is_empty() {
            return Err(VersionError::Empty);
        }
        if text.len() > MAX_VERSION_BYTES {
            return Err(VersionError::TooLong(text.len()));
        }
        if text.chars().any(char::is_control) {
            return Err(VersionError::ControlCharacter);
        }
        Ok(SoftwareVersion(text.into()))
    }
}

/// Software version that a replica must state to continue a stream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum RequiredVersion {
    /// Any, or none.
    #[default]
    Any,
    /// This one.
    Stated(SoftwareVersion),
    /// Any except these, or none. New requests have it while these versions get none.
    Except(SmallVec<[SoftwareVersion; 2]>),
    /// None, as the replica that began the stream. It fits to no version for certain.
    Unstated,
}

impl RequiredVersion {
    /// Returns the requirement on those that continue what a replica of a version began.
    pub fn like(version: Option<&SoftwareVersion>) -> Self {
        version
            .map_or(RequiredVersion::Unstated, |version| RequiredVersion::Stated(version.clone()))
    }

    /// Returns whether a replica of a version meets the requirement.
    pub fn allows(&self, version: Option<&SoftwareVersion>) -> bool {
        match self {
            RequiredVersion::Any => true,
            RequiredVersion::Stated(required) => version == Some(required),
            RequiredVersion::Except(excluded) => {
                version.is_none_or(|version| !excluded.contains(version))
            }
            RequiredVersion::Unstated => version.is_none(),
        }
    }
}

impl fmt::Display for RequiredVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RequiredVersion::Any => f.write_str("-"),
            RequiredVersion::Stated(version) => version.fmt(f),
            RequiredVersion::Except(excluded) => {
                f.write_str("not")?;
                excluded.iter().try_for_each(|version| write!(f, " {version}"))
            }
            RequiredVersion::Unstated => f.write_str("unstated"),
        }
    }
}

/// Entry with which a replica registers itself in the table.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaEntry {
    /// Id of the replica.
    pub id: id::ReplicaId,
    /// Service of the replica.
    pub service: id::ServiceId,
    /// Address at which the replica accepts requests.
    pub address: net::SocketAddr,
    /// Availability zone of the replica.
    pub zone: id::ZoneId,
    /// Version of the replica's software; `None` if not reported.
    pub version: Option<SoftwareVersion>,
    /// Number of requests that the replica processes concurrently.
    pub slots: u32,
    /// Whether the replica is draining, that is, accepts no new requests.
    pub is_draining: bool,
    /// Incarnation of the replica: its start in milliseconds since the Unix epoch; 0 if not
    /// reported.
    pub incarnation: quantity::Incarnation,
    /// Whether the cloud may reclaim the replica's VM.
    pub is_reclaimable: bool,
    /// Remaining time of the replica when the entry was written, if its VM is being reclaimed.
    pub time_to_reclaim: Option<time::Millis>,
}

impl ReplicaEntry {
    /// Whether the entry is of the replica's start with this incarnation and address. Starts without
    /// a known incarnation are told apart by their addresses.
    pub fn is_of_start(
        &self,
        incarnation: quantity::Incarnation,
        address: net::SocketAddr,
    ) -> bool {
        let is_unknown = self.has_no_incarnation() || incarnation == UNKNOWN_INCARNATION;
        self.address == address && (is_unknown || self.incarnation == incarnation)
    }

    /// Returns the fingerprint of the entry.
    ///
    /// Covers all fields except whether and when the replica leaves: daemons learn of a departure in
    /// several ways and at different times.
    pub fn fingerprint(&self) -> entry_copy::EntriesFingerprint {
        let mut hasher = sip::SipHasher13::new();
        let version = self.version.as_ref().map_or("", SoftwareVersion::as_str);
        for text in [self.id.as_str(), self.service.as_str(), self.zone.as_str(), version] {
            hasher.write_u64((text.len() as u64).to_le());
            hasher.write(text.as_bytes());
        }
        match self.address.ip() {
            net::IpAddr::V4(ip) => hasher.write(&ip.octets()),
            net::IpAddr::V6(ip) => hasher.write(&ip.octets()),
        }
        hasher.write(&self.address.port().to_le_bytes());
        hasher.write(&self.slots.to_le_bytes());
        hasher.write(&self.incarnation.get().to_le_bytes());
        hasher.write(&[u8::from(self.is_reclaimable)]);
        entry_copy::EntriesFingerprint::new(hasher.finish())
    }

    /// Whether two entries are of one start of a replica.
    fn is_same_start(&self, other: &ReplicaEntry) -> bool {
        self.is_of_start(other.incarnation, other.address)
    }

    fn has_no_incarnation(&self) -> bool {
        self.incarnation == UNKNOWN_INCARNATION
    }
}

/// State of one replica as this daemon knows it.
#[derive(Clone, Debug)]
pub struct KnownReplica {
    /// Entry of the replica.
    pub entry: ReplicaEntry,
    /// Fingerprint of the entry.
    fingerprint: entry_copy::EntriesFingerprint,
    /// Load that this daemon places on the replica.
    pub local_load: load::ReplicaLoad,
    /// Moving average (EWMA) of failures, as of `failures_updated_at`.
    average_failures: f64,
    failures_updated_at: time::MonotonicTime,
    /// When the replica last responded or closed a connection.
    pub last_contact: Option<time::MonotonicTime>,
    /// When the last request that the replica answered was sent.
    pub last_answered: Option<time::MonotonicTime>,
    /// When the replica was first found draining.
    draining_since: Option<time::MonotonicTime>,
    /// What keeps requests of this daemon away for a while.
    send_state: send_state::SendState,
    /// When the entry was found missing from the table during or shortly after an outage.
    missing_since: Option<time::MonotonicTime>,
}

/// Entries as a list of the table has them.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEntries {
    /// The entries.
    pub entries: Vec<ReplicaEntry>,
    /// Replicas whose rows are no entries. What was known of them holds.
    pub unreadable: Vec<id::ReplicaId>,
    /// Whether each row is of one of these. Else a replica that is not listed may be there.
    pub is_whole: bool,
}

impl From<Vec<ReplicaEntry>> for ListedEntries {
    fn from(entries: Vec<ReplicaEntry>) -> Self {
        ListedEntries { entries, unreadable: Vec::new(), is_whole: true }
    }
}

/// All replicas of the deployment.
#[derive(Clone, Debug, Default)]
pub struct ReplicaTable {
    replicas: collections::BTreeMap<id::ReplicaId, KnownReplica>,
    /// Ids of the replicas of each service.
    by_service: collections::HashMap<id::ServiceId, Vec<id::ReplicaId>>,
    /// Loads that each peer places on replicas.
    peers: collections::HashMap<id::DaemonId, PeerLoads>,
    /// Version of the entries, which increases with each change that other daemons need to learn.
    version: u64,
    /// Sum of the entries' fingerprints.
    fingerprint: entry_copy::EntriesFingerprint,
    /// Position of the table that the entries match, if known.
    position: Option<position::StorePosition>,
    /// Replicas that were removed recently.
    removed: collections::BTreeMap<id::ReplicaId, RemovedReplica>,
    /// Entries of removed replicas that an older copy of the table brought back, and when they are
    /// used if the table still has them.
    restored: collections::BTreeMap<id::ReplicaId, (ReplicaEntry, time::MonotonicTime)>,
    /// When the table last responded to this daemon or to the peer that reads it for this daemon.
    last_response_at: Option<time::MonotonicTime>,
    /// When the table first responded again after the last outage.
    last_outage_at: Option<time::MonotonicTime>,
    is_table_unavailable: bool,
    /// Whether an entry may be retained that is missing in the table.
    has_missing: bool,
    /// Time within which all daemons must know that a replica leaves.
    departure_budget: read_budget::ReadBudget,
}

/// A replica whose entry was removed from the table.
#[derive(Clone, Debug)]
struct RemovedReplica {
    entry: ReplicaEntry,
    removed_at: time::MonotonicTime,
    /// Era of the table in which the entry was removed.
    era: quantity::StoreEra,
}

/// Loads that a peer places on replicas, from its last digest.
#[derive(Clone, Debug)]
struct PeerLoads {
    received_at: time::MonotonicTime,
    loads: collections::HashMap<id::ReplicaId, load::ReplicaLoad>,
}

/// Change of the known replicas, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplicaChange {
    /// A replica, or a new incarnation of one, is in service.
    Joined(id::ReplicaId),
    /// A replica is draining and accepts no new requests.
    Leaving(id::ReplicaId),
    /// A replica was removed from the table.
    Removed(id::ReplicaId),
}

/// Changes that result from one update.
pub type ReplicaChanges = SmallVec<[ReplicaChange; 4]>;

impl ReplicaTable {
    /// Adds or updates an entry that was written. Ignores entries of an earlier incarnation.
    pub fn upsert(&mut self, mut entry: ReplicaEntry) -> ReplicaChanges {
        let mut changes = ReplicaChanges::new();
        let id = entry.id.clone();
        self.restored.remove(&id);
        if let Some(removed) = self.removed.remove(&id)
            && removed.entry.is_same_start(&entry)
        {
            entry.is_draining |= removed.entry.is_draining;
        }
        let is_draining = entry.is_draining;
        match self.replicas.get_mut(&id) {
            Some(replica) if replica.entry.is_same_start(&entry) => {
                replica.missing_since = None;
                let previous = std::mem::replace(&mut replica.entry, entry);
                if replica.entry.has_no_incarnation() {
                    replica.entry.incarnation = previous.incarnation;
                }
                // A replica never stops draining, so an entry that says otherwise is outdated.
                replica.entry.is_draining |= previous.is_draining;
                if replica.entry.version.is_none() {
                    // Daemons that don't know versions pass entries on without them.
                    replica.entry.version = previous.version;
                } else if replica.entry.version != previous.version {
                    self.version += 1;
                }
                let fingerprint = replica.entry.fingerprint();
                let previous_fingerprint = std::mem::replace(&mut replica.fingerprint, fingerprint);
                self.fingerprint = self.fingerprint - previous_fingerprint + fingerprint;
                if is_draining && !previous.is_draining {
                    self.version += 1;
                    changes.push(ReplicaChange::Leaving(id));
                }
                return changes;
            }
            Some(replica)
                if !entry.has_no_incarnation() && replica.entry.incarnation > entry.incarnation =>
            {
                return changes;
            }
            _ => {
                let replica = KnownReplica::new(entry);
                self.fingerprint = self.fingerprint + replica.fingerprint;
                if let Some(previous) = self.replicas.insert(id.clone(), replica) {
                    self.fingerprint = self.fingerprint - previous.fingerprint;
                }
                changes.push(ReplicaChange::Joined(id.clone()));
                if is_draining {
                    changes.push(ReplicaChange::Leaving(id));
                }
            }
        }
        self.rebuild_index();
        changes
    }

    /// Creates a table without replicas, whose departures all daemons must know within a time.
    pub fn new(departure_budget: read_budget::ReadBudget) -> Self {
        ReplicaTable { departure_budget, ..ReplicaTable::default() }
    }

    /// Removes a replica whose entry is no longer in the table. During an outage of the table and
    /// the grace period after it, the replica is only marked as missing.
    pub fn remove(&mut self, id: &id::ReplicaId, now: time::MonotonicTime) -> ReplicaChanges {
        let mut changes = ReplicaChanges::new();
        self.restored.remove(id);
        if self.is_in_outage_grace(now) {
            if let Some(replica) = self.replicas.get_mut(id) {
                replica.missing_since.get_or_insert(now);
                self.has_missing = true;
            }
            return changes;
        }
        if let Some(replica) = self.replicas.remove(id) {
            self.remember(replica, now);
            changes.push(ReplicaChange::Removed(id.clone()));
            self.rebuild_index();
        }
        changes
    }

    /// Returns whether the entries match a later position of the table.
    pub fn is_ahead_of(&self, position: position::StorePosition) -> bool {
        self.position.is_some_and(|current| current > position)
    }

    /// Returns the position of the table that the entries match, if known.
    pub fn position(&self) -> Option<position::StorePosition> {
        self.position
    }

    /// Sets the position of the table that the entries match, unless they match a later one. If the
    /// table has returned from an older copy, replicas that registered since the copy have the time
    /// to do so again that they have after an outage.
    pub fn advance(&mut self, position: position::StorePosition, now: time::MonotonicTime) {
        if self.is_ahead_of(position) {
            return;
        }
        if self.position.is_some_and(|current| current.era < position.era) {
            self.last_outage_at = Some(now);
        }
        self.position = Some(position);
    }

    /// Replaces all entries by those of the table at a position, or by those of a peer that does not
    /// report its position. Entries of an earlier position are ignored.
    pub fn replace(
        &mut self,
        list: impl Into<ListedEntries>,
        position: Option<position::StorePosition>,
        now: time::MonotonicTime,
    ) -> ReplicaChanges {
        let mut changes = ReplicaChanges::new();
        if let Some(position) = position {
            if self.is_ahead_of(position) {
                return changes;
            }
            self.advance(position, now);
        }
        let ListedEntries { entries, unreadable, is_whole } = list.into();
        let mut listed_ids: collections::BTreeSet<_> =
            entries.iter().map(|entry| entry.id.clone()).collect();
        listed_ids.extend(unreadable);
        self.restored.retain(|id, _| listed_ids.contains(id));
        for entry in entries {
            if self.may_be_restored(&entry, position) {
                let used_from = now + RESTORE_GRACE;
                self.restored.entry(entry.id.clone()).or_insert((entry, used_from));
                continue;
            }
            changes.extend(self.upsert(entry));
        }
        if !is_whole {
            return changes;
        }
        let missing_ids: Vec<_> =
            self.replicas.keys().filter(|id| !listed_ids.contains(*id)).cloned().collect();
        for id in missing_ids {
            changes.extend(self.remove(&id, now));
        }
        changes
    }

    /// Observes that the table did not respond.
    pub fn on_table_unavailable(&mut self) {
        self.is_table_unavailable = true;
    }

    /// Observes that the table responded at `responded_at`, which is before `now` if a peer reads
    /// the table. This ends an outage, if any. Drops entries that are still missing after the grace
    /// period.
    pub fn on_table_response(
        &mut self,
        responded_at: time::MonotonicTime,
        now: time::MonotonicTime,
    ) -> ReplicaChanges {
        let previous_at = self.last_response_at.replace(responded_at);
        let was_unavailable = std::mem::take(&mut self.is_table_unavailable);
        if was_unavailable {
            // What was found missing during the outage is known to be so from now on.
            for replica in self.replicas.values_mut() {
                let since = replica.missing_since.as_mut();
                if let Some(since) = since.filter(|since| previous_at.is_none_or(|at| **since > at))
                {
                    *since = now;
                }
            }
        }
        if was_unavailable
            && previous_at.is_none_or(|previous_at| responded_at.since(previous_at) >= MIN_OUTAGE)
        {
            // The grace period starts at the end of the outage.
            self.last_outage_at = Some(now);
        }
        self.removed.retain(|_, removed| now.since(removed.removed_at) < REMOVAL_MEMORY);
        let mut changes = self.use_restored(now);
        changes.extend(self.drop_missing(now));
        changes
    }

    /// Drops retained entries whose grace period is over. That of an entry ends at the latest when all daemons
    /// must know that it is missing, also if the table fails again meanwhile.
    pub fn drop_missing(&mut self, now: time::MonotonicTime) -> ReplicaChanges {
        let mut changes = ReplicaChanges::new();
        if !self.has_missing {
            return changes;
        }
        let is_over = !self.is_in_outage_grace(now);
        let grace = self.departure_budget.outage_grace();
        let is_expired = |since| is_over || now.since(since) >= grace;
        let missing = self
            .replicas
            .extract_if(.., |_, replica| replica.missing_since.is_some_and(is_expired));
        let missing_replicas: Vec<_> = missing.map(|(_, replica)| replica).collect();
        self.has_missing = self.replicas.values().any(|replica| replica.missing_since.is_some());
        if missing_replicas.is_empty() {
            return changes;
        }
        for replica in missing_replicas {
            changes.push(ReplicaChange::Removed(replica.entry.id.clone()));
            self.remember(replica, now);
        }
        self.rebuild_index();
        changes
    }

    /// Uses the restored entries of removed replicas that the table has kept.
    fn use_restored(&mut self, now: time::MonotonicTime) -> ReplicaChanges {
        let kept = self.restored.extract_if(.., |_, (_, used_from)| now >= *used_from);
        let kept_entries: Vec<_> = kept.map(|(_, (entry, _))| entry).collect();
        kept_entries.into_iter().flat_map(|entry| self.upsert(entry)).collect()
    }

    /// Remembers a replica that was removed, and takes it out of the fingerprint.
    fn remember(&mut self, replica: KnownReplica, now: time::MonotonicTime) {
        self.fingerprint = self.fingerprint - replica.fingerprint;
        let era = self.position.unwrap_or_default().era;
        let entry = replica.entry;
        self.removed.insert(entry.id.clone(), RemovedReplica { entry, removed_at: now, era });
    }

    /// Whether a listed entry may be of a replica that was removed since it was written: the table
    /// has returned from an older copy, or the position of the list is not known.
    fn may_be_restored(
        &self,
        entry: &ReplicaEntry,
        position: Option<position::StorePosition>,
    ) -> bool {
        self.removed.get(&entry.id).is_some_and(|removed| {
            removed.entry.is_same_start(entry)
                && position.is_none_or(|position| position.era > removed.era)
        })
    }

    /// Marks a replica as draining after a peer saw it leave, if `incarnation` is the current one.
    pub fn on_peer_departure(
        &mut self,
        id: &id::ReplicaId,
        incarnation: quantity::Incarnation,
    ) -> Option<ReplicaChange> {
        self.mark_leaving(id, |entry| entry.incarnation == incarnation)
    }

    /// Marks a replica as draining after a response said so, if it is of the current start.
    pub fn on_response_departure(
        &mut self,
        id: &id::ReplicaId,
        incarnation: quantity::Incarnation,
        address: net::SocketAddr,
    ) -> Option<ReplicaChange> {
        self.mark_leaving(id, |entry| entry.is_of_start(incarnation, address))
    }

    fn mark_leaving(
        &mut self,
        id: &id::ReplicaId,
        is_current: impl FnOnce(&ReplicaEntry) -> bool,
    ) -> Option<ReplicaChange> {
        let replica = self.replicas.get_mut(id)?;
        if replica.entry.is_draining || !is_current(&replica.entry) {
            return None;
        }
        replica.entry.is_draining = true;
        self.version += 1;
        Some(ReplicaChange::Leaving(id.clone()))
    }

    /// Returns the version of the entries, which increases with each change that other daemons need
    /// to learn.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the fingerprint of the entries.
    pub fn fingerprint(&self) -> entry_copy::EntriesFingerprint {
        self.fingerprint
    }

    /// Whether the entries match the table. During an outage and the grace period after it, missing
    /// entries may be retained; they are dropped at the first response after that.
    pub fn matches_table(&self, now: time::MonotonicTime) -> bool {
        let has_missing = self.has_missing
            && self.replicas.values().any(|replica| replica.missing_since.is_some());
        !self.is_in_outage_grace(now) && !has_missing
    }

    fn is_in_outage_grace(&self, now: time::MonotonicTime) -> bool {
        let grace = self.departure_budget.outage_grace();
        self.is_table_unavailable
            || self.last_outage_at.is_some_and(|outage_at| now.since(outage_at) < grace)
    }

    /// Sets the loads that a peer places on replicas, and drops those of peers whose last digest is
    /// too old.
    pub fn set_peer_loads(
        &mut self,
        daemon: &id::DaemonId,
        loads: &[load::LoadEntry],
        now: time::MonotonicTime,
    ) {
        let loads = loads.iter().map(|entry| (entry.replica.clone(), entry.load)).collect();
        self.peers.insert(daemon.clone(), PeerLoads { received_at: now, loads });
        self.peers.retain(|_, peer| now.since(peer.received_at) < DIGEST_MAX_AGE);
    }

    /// Returns the load that all daemons place on a replica.
    pub fn load(&self, replica: &KnownReplica, now: time::MonotonicTime) -> load::ReplicaLoad {
        let mut sum = replica.local_load;
        for peer in self.peers.values() {
            let age = now.since(peer.received_at);
            if age >= DIGEST_MAX_AGE {
                continue;
            }
            let Some(load) = peer.loads.get(&replica.entry.id) else { continue };
            let remaining = decay::remaining_fraction(age, PENDING_TIME_CONSTANT);
            let pending_tokens = (f64::from(load.pending_tokens) * remaining) as u32;
            sum = sum.plus(load::ReplicaLoad { pending_tokens, ..*load });
        }
        sum
    }

    /// Returns a replica by its id.
    pub fn get(&self, id: &id::ReplicaId) -> Option<&KnownReplica> {
        self.replicas.get(id)
    }

    /// Returns a replica by its id, to update its state.
    pub fn get_mut(&mut self, id: &id::ReplicaId) -> Option<&mut KnownReplica> {
        self.replicas.get_mut(id)
    }

    /// Iterates over the replicas of a service, ordered by id.
    pub fn of_service(&self, service: &id::ServiceId) -> impl Iterator<Item = &KnownReplica> {
        let ids = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        ids.iter().filter_map(|id| self.replicas.get(id))
    }

    /// Iterates over all replicas, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = &KnownReplica> {
        self.replicas.values()
    }

    /// Rebuilds the index by service after replicas were added or removed, and increases the
    /// version.
    fn rebuild_index(&mut self) {
        self.version += 1;
        self.by_service.clear();
        for (id, replica) in &self.replicas {
            self.by_service.entry(replica.entry.service.clone()).or_default().push(id.clone());
        }
    }
}

impl KnownReplica {
    fn new(entry: ReplicaEntry) -> Self {
        KnownReplica {
            fingerprint: entry.fingerprint(),
            entry,
            local_load: load::ReplicaLoad::default(),
            average_failures: 0.0,
            failures_updated_at: time::MonotonicTime::default(),
            last_contact: None,
            last_answered: None,
            draining_since: None,
            send_state: send_state::SendState::default(),
            missing_since: None,
        }
    }

    /// Whether the replica leaves and gets no new requests.
    pub fn is_leaving(&self) -> bool {
        self.entry.is_draining
    }

    /// Returns whether this daemon may send a request to the replica now, but for the limit that the
    /// replica names; [`SendGate`](crate::send_gate::SendGate) knows that one, too.
    pub fn verdict(&self, now: time::MonotonicTime) -> send_state::SendVerdict {
        match self.is_leaving() {
            true => send_state::SendVerdict::Held {
                reason: send_state::HoldReason::Leaving,
                until: None,
            },
            false => self.send_state.verdict(now),
        }
    }

    /// Returns when the pause ends that the replica asked this daemon for, if one is in force.
    pub fn paused_until(&self, now: time::MonotonicTime) -> Option<time::MonotonicTime> {
        self.send_state.paused_until(now)
    }

    /// Whether streams in progress should migrate to another replica: at once if the VM is
    /// reclaimed, otherwise after the time in which most streams end by themselves.
    pub fn should_migrate(&mut self, now: time::MonotonicTime) -> bool {
        if !self.is_leaving() {
            return false;
        }
        let draining_since = *self.draining_since.get_or_insert(now);
        self.entry.time_to_reclaim.is_some() || now.since(draining_since) >= MIGRATION_DELAY
    }

    /// Observes that the replica responded or closed a connection; `is_failure` if the request
    /// failed.
    pub fn on_response(&mut self, is_failure: bool, now: time::MonotonicTime) {
        self.on_data(now);
        self.update_failures(is_failure, now);
        if !is_failure {
            self.send_state.on_success();
        }
    }

    /// Observes that a request is sent to the replica.
    pub fn on_sent(&mut self, now: time::MonotonicTime) {
        self.send_state.on_sent(now);
    }

    /// Observes that the replica asks this daemon for a pause. `draw` is a uniform random number from 0
    /// to 1. Returns whether no pause was in force.
    pub fn on_pause(&mut self, length: time::Millis, draw: f64, now: time::MonotonicTime) -> bool {
        self.send_state.on_pause(length, draw, now)
    }

    /// Observes that the replica answered a request that was sent at `sent_at`.
    pub fn on_answer(&mut self, sent_at: time::MonotonicTime) {
        self.send_state.on_answer(sent_at);
        self.last_answered = self.last_answered.max(Some(sent_at));
    }

    /// Observes that the replica sent data, which ends its silence.
    pub fn on_data(&mut self, now: time::MonotonicTime) {
        self.last_contact = Some(now);
        self.send_state.on_data();
    }

    /// Observes that the replica has sent no data for a request for too long. It may still respond
    /// to that request.
    pub fn on_silent(&mut self, now: time::MonotonicTime) {
        self.update_failures(true, now);
        self.send_state.on_silent(now);
    }

    /// Observes that the replica is unreachable, which starts a backoff.
    pub fn on_unreachable(&mut self, now: time::MonotonicTime) {
        self.update_failures(true, now);
        self.send_state.on_unreachable(now);
    }

    /// Returns the failure rate of recent responses, from 0 to 1. It decays over time, so that the
    /// replica is tried again.
    pub fn failure_rate(&self, now: time::MonotonicTime) -> f64 {
        let age = now.since(self.failures_updated_at).get() as f64;
        self.average_failures * 0.5_f64.powf(age / FAILURE_HALF_LIFE.get() as f64)
    }

    fn update_failures(&mut self, is_failure: bool, now: time::MonotonicTime) {
        let sample = if is_failure { 1.0 } else { 0.0 };
        let average = self.failure_rate(now);
        self.average_failures = average + FAILURE_WEIGHT * (sample - average);
        self.failures_updated_at = now;
    }
}
