//! The other daemons that this daemon knows, and which of them read the table for it.

use std::net::SocketAddr;

use samphiremoor_base::event;
use samphiremoor_base::id;
use samphiremoor_base::log_event;
use samphiremoor_base::time;
use samphiremoor_fleet::digest;
use samphiremoor_fleet::entry_copy;
use samphiremoor_fleet::reachability;
use samphiremoor_fleet::read_budget;
use samphiremoor_fleet::transit;

use crate::core;

/// Another daemon that this daemon exchanges digests with.
pub(crate) struct KnownPeer {
    pub(crate) address: SocketAddr,
    pub(crate) zone: id::ZoneId,
    pub(crate) last_contact: Option<time::MonotonicTime>,
    /// When a digest was last sent to the peer.
    pub(crate) last_sent: Option<time::MonotonicTime>,
    pub(crate) added_at: time::MonotonicTime,
    /// Last digest of a peer in this daemon's group.
    pub(crate) digest: Option<digest::PeerDigest>,
    /// Version of this daemon's entries at which the departures in that digest were applied.
    pub(crate) entries_version: Option<u64>,
    /// When the peer last read the replica entries and the policy for others, by that digest.
    pub(crate) reads: PeerReads,
    /// Delay of the peer's digests.
    pub(crate) transit: transit::TransitEstimate,
    /// Fingerprint of the peer's entries, as it said with that digest.
    pub(crate) entries_fingerprint: Option<entry_copy::EntriesFingerprint>,
    /// Paths that the peer has lost, by that digest.
    pub(crate) lost_paths: Vec<reachability::PathGroup>,
}

impl KnownPeer {
    /// Creates a peer that was not heard of yet.
    pub(crate) fn new(address: SocketAddr, zone: id::ZoneId, now: time::MonotonicTime) -> Self {
        KnownPeer {
            address,
            zone,
            last_contact: None,
            last_sent: None,
            added_at: now,
            digest: None,
            entries_version: None,
            reads: PeerReads::default(),
            transit: transit::TransitEstimate::default(),
            entries_fingerprint: None,
            lost_paths: Vec::new(),
        }
    }

    /// Whether the peer was heard of a short time ago.
    pub(crate) fn is_live(&self, now: time::MonotonicTime) -> bool {
        self.last_contact.is_some_and(|contact_at| now.since(contact_at) < digest::LIVENESS_TIMEOUT)
    }

    /// Whether the peer may read for others if its reads succeed.
    fn may_read(&self) -> bool {
        self.digest.as_ref().is_some_and(|digest| !digest.is_stopping)
    }

    /// Returns the reader that the peer is, which is to be followed for `limit` after its last read, or
    /// `None` if its digests don't say that its reads of the replica entries succeed.
    fn table_reader(&self, limit: time::Millis) -> Option<core::TableReader> {
        let digest = self.digest.as_ref()?;
        let read_at = self.reads.entries_at?;
        Some(core::TableReader {
            address: self.address,
            entries: entry_copy::OfferedEntries {
                stamp: entry_copy::EntriesStamp {
                    daemon: digest.daemon.clone(),
                    incarnation: digest.incarnation,
                    version: digest.entries_version,
                },
                fingerprint: self.entries_fingerprint,
            },
            read_at,
            valid_until: read_at + limit,
        })
    }
}

/// When a peer last read the table for others, on this daemon's clock. What its digests say of ages goes on
/// growing after they were made.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerReads {
    /// Start of the read of the replica entries; `None` if the peer does not read them itself.
    entries_at: Option<time::MonotonicTime>,
    /// The same for the policy. Earlier releases say so for the replica entries only.
    policy_at: Option<time::MonotonicTime>,
}

impl PeerReads {
    /// Returns the times of the reads that a digest names which was made at `made_at`.
    pub(crate) fn new(
        digest: &digest::PeerDigest,
        policy_read: Option<digest::PolicyRead>,
        made_at: time::MonotonicTime,
    ) -> Self {
        let before =
            |age: time::Millis| time::MonotonicTime::new(made_at.get().saturating_sub(age.get()));
        let policy_age = policy_read.map_or(digest.table_age, |policy_read| policy_read.age);
        PeerReads { entries_at: digest.table_age.map(before), policy_at: policy_age.map(before) }
    }
}

/// Chooses the daemons that read the replica entries and the policy for this one: of each, the first
/// daemon of the group, in order of their IDs, that precedes this one and whose reads of them succeed.
/// If the table refuses that daemon, the next one takes over; without one, this daemon reads the table
/// itself. `preceding_peers` are those of the group.
pub(crate) fn choose_readers<'a>(
    core: &core::GatewayCore,
    preceding_peers: impl Iterator<Item = &'a KnownPeer> + Clone,
) {
    let now = core.now();
    let times = &core.settings.times;
    let table_reader =
        find_reader(preceding_peers.clone(), times.departure_budget(), now, |peer| {
            peer.reads.entries_at
        });
    let table_reader = table_reader.and_then(|(peer, limit)| peer.table_reader(limit));
    let policy_reader =
        find_reader(preceding_peers, times.policy_budget(), now, |peer| peer.reads.policy_at);
    let policy_reader = policy_reader.and_then(|(peer, limit)| {
        let valid_until = peer.reads.policy_at? + limit;
        Some(core::PolicyReader { address: peer.address, valid_until })
    });
    let mut core_state = core.state.borrow_mut();
    let readers = (
        table_reader.as_ref().map(|reader| reader.address),
        policy_reader.map(|reader| reader.address),
    );
    let previous_table = std::mem::replace(&mut core_state.table_reader, table_reader);
    let previous_policy = std::mem::replace(&mut core_state.policy_reader, policy_reader);
    drop(core_state);
    log_reader("entries", previous_table.map(|reader| reader.address), readers.0);
    log_reader("policy", previous_policy.map(|reader| reader.address), readers.1);
}

/// Returns the first peer that may be followed, and how long after its last read. A daemon without a live
/// peer between the reader and itself reads next, so it gives the reader up before the others.
fn find_reader<'a>(
    mut peers: impl Iterator<Item = &'a KnownPeer> + Clone,
    budget: read_budget::ReadBudget,
    now: time::MonotonicTime,
    read_at: impl Fn(&KnownPeer) -> Option<time::MonotonicTime>,
) -> Option<(&'a KnownPeer, time::Millis)> {
    while let Some(peer) = peers.next() {
        let Some(read_at) = read_at(peer).filter(|_| peer.may_read()) else { continue };
        let has_successor = peers.clone().any(|other| other.may_read() && other.is_live(now));
        let limit = match has_successor {
            true => budget.follow_limit(),
            false => budget.takeover_limit(),
        };
        if now.since(read_at) < limit {
            return Some((peer, limit));
        }
    }
    None
}

/// Logs the choice of another reader.
fn log_reader(records: &str, previous: Option<SocketAddr>, reader: Option<SocketAddr>) {
    if previous != reader {
        let name = reader.map_or_else(|| "none".to_owned(), |address| address.to_string());
        log_event!(event::LogEvent::ReaderChosen, records = records, reader = name);
    }
}
