//! Records of the service and the software version at which streams began.
//!
//! What replicas of two versions write does not fit together, so a stream may be resumed only at
//! the version that began it. A caller that resumes a stream names the attempt that brought its
//! first event. The daemon that served that attempt stores a record of it and copies the record to
//! a few holders. They are chosen by rendezvous hashing of the attempt, so that every daemon can
//! tell whom to ask.

use std::collections;
use std::fmt;
use std::hash;
use std::net;
use std::num;
use std::str;

use samphiremoor_base::id;
use samphiremoor_base::time;
use siphasher::sip;
use smallvec::SmallVec;

use crate::replica;

/// Largest number of records that a daemon stores.
pub const MAX_RECORDS: usize = 16_384;
/// Longest lifetime of a record. A stream is not taken up later than that after its beginning.
pub const MAX_LIFETIME: time::Millis = time::Millis::new(600_000);
/// Number of other daemons that get a copy of a record.
const HOLDERS: usize = 3;
/// Largest number of daemons that are asked for a record: all of a small deployment, or two of each
/// availability zone of a large one.
const MAX_ASKED: usize = 24;

/// Hash of the request ID of a caller's attempt.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AttemptHash(u64);

impl AttemptHash {
    /// Wraps the number of a hash.
    pub const fn new(value: u64) -> Self {
        AttemptHash(value)
    }

    /// Returns the hash of a request ID.
    pub fn of(request_id: &str) -> Self {
        let mut hasher = sip::SipHasher13::new();
        hash::Hasher::write(&mut hasher, request_id.as_bytes());
        AttemptHash(hash::Hasher::finish(&hasher))
    }

    /// Returns the number of the hash.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the rendezvous-hash rank of a daemon for the attempt.
    fn rank(self, daemon: &id::DaemonId) -> u64 {
        let mut hasher = sip::SipHasher13::new_with_keys(self.0, 0);
        hash::Hasher::write(&mut hasher, daemon.as_str().as_bytes());
        hash::Hasher::finish(&hasher)
    }
}

impl fmt::Display for AttemptHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl str::FromStr for AttemptHash {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, num::ParseIntError> {
        u64::from_str_radix(text, 16).map(AttemptHash)
    }
}

/// Service and software version at which a stream began.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamOrigin {
    /// Service of the replica that wrote the first event.
    pub service: id::ServiceId,
    /// Software version of that replica.
    pub version: replica::SoftwareVersion,
}

/// Record of an attempt that brought the first event of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptRecord {
    /// The attempt.
    pub attempt: AttemptHash,
    /// Where the stream began.
    pub origin: StreamOrigin,
    /// When the record expires.
    pub expires_at: time::MonotonicTime,
}

/// Records that a daemon stores, of its own attempts and of those that peers copied to it.
#[derive(Clone, Debug, Default)]
pub struct AttemptStore {
    records: collections::HashMap<AttemptHash, AttemptRecord>,
    expiries: collections::BTreeSet<(time::MonotonicTime, AttemptHash)>,
}

impl AttemptStore {
    /// Inserts a record, or extends the lifetime of the one that is stored. Drops the records that
    /// expired, and the first to expire of more than [`MAX_RECORDS`].
    pub fn insert(&mut self, record: AttemptRecord, now: time::MonotonicTime) {
        let AttemptRecord { attempt, expires_at, .. } = record;
        match self.records.get_mut(&attempt) {
            // An attempt has one origin, so a second record can only extend the first one.
            Some(stored) if stored.expires_at < expires_at => {
                self.expiries.remove(&(stored.expires_at, attempt));
                stored.expires_at = expires_at;
            }
            Some(_) => return,
            None => {
                self.records.insert(attempt, record);
            }
        }
        self.expiries.insert((expires_at, attempt));
        while let Some((expires_at, attempt)) = self.expiries.first().copied()
            && (expires_at <= now || self.records.len() > MAX_RECORDS)
        {
            self.expiries.pop_first();
            self.records.remove(&attempt);
        }
    }

    /// Returns the record of an attempt.
    pub fn get(&self, attempt: AttemptHash, now: time::MonotonicTime) -> Option<&AttemptRecord> {
        self.records.get(&attempt).filter(|record| record.expires_at > now)
    }

    /// Returns the number of stored records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no record is stored.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

/// Another daemon that can hold records.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HolderCandidate {
    /// Id of the daemon.
    pub daemon: id::DaemonId,
    /// Availability zone of the daemon.
    pub zone: id::ZoneId,
    /// Address at which the daemon responds to peers.
    pub address: net::SocketAddr,
    /// Whether the daemon is believed to run.
    pub is_live: bool,
}

/// Addresses of the daemons that hold the record of an attempt.
pub type HolderAddresses = SmallVec<[net::SocketAddr; HOLDERS]>;

/// Chooses the daemons to which a daemon in `local_zone` copies the record of an attempt: the
/// first-ranked live ones of its own zone and of two other zones, or the next in rank where there
/// are fewer zones.
pub fn choose_holders(
    attempt: AttemptHash,
    local_zone: &id::ZoneId,
    candidates: &[HolderCandidate],
) -> HolderAddresses {
    let mut ranked: Vec<&HolderCandidate> =
        candidates.iter().filter(|candidate| candidate.is_live).collect();
    ranked.sort_by_cached_key(|candidate| std::cmp::Reverse(attempt.rank(&candidate.daemon)));
    let mut holders: SmallVec<[&HolderCandidate; HOLDERS]> = SmallVec::new();
    holders.extend(ranked.iter().find(|candidate| candidate.zone == *local_zone).copied());
    for needs_new_zone in [true, false] {
        for candidate in &ranked {
            let is_zone_held = holders.iter().any(|holder| holder.zone == candidate.zone);
            let is_chosen = holders.iter().any(|holder| holder.daemon == candidate.daemon);
            let is_excluded = is_chosen || (needs_new_zone && is_zone_held);
            if holders.len() < HOLDERS && !is_excluded {
                holders.push(candidate);
            }
        }
    }
    holders.iter().map(|holder| holder.address).collect()
}

/// Returns the daemons that may hold the record of an attempt, whichever daemon wrote it: the
/// first-ranked one of each zone, then the second-ranked ones, and so on.
pub fn likely_holders(
    attempt: AttemptHash,
    candidates: &[HolderCandidate],
) -> Vec<net::SocketAddr> {
    let mut ranked: Vec<&HolderCandidate> = candidates.iter().collect();
    ranked.sort_by_cached_key(|candidate| std::cmp::Reverse(attempt.rank(&candidate.daemon)));
    let mut zone_counts: collections::HashMap<&id::ZoneId, usize> = collections::HashMap::new();
    let mut positions: Vec<(usize, net::SocketAddr)> = Vec::with_capacity(ranked.len());
    for candidate in ranked {
        let count = zone_counts.entry(&candidate.zone).or_default();
        positions.push((*count, candidate.address));
        *count += 1;
    }
    positions.sort_by_key(|(position, _)| *position);
    positions.into_iter().take(MAX_ASKED).map(|(_, address)| address).collect()
}

/// State of a lookup after an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LookupState {
    /// Some daemons have not answered yet.
    Pending,
    /// A daemon has the record.
    Found(StreamOrigin),
    /// No daemon that was asked has the record.
    Unknown,
}

/// Lookup of the record of one attempt at other daemons.
#[derive(Clone, Debug)]
pub struct AttemptLookup {
    /// Daemons that have not answered yet.
    unanswered: Vec<net::SocketAddr>,
}

impl AttemptLookup {
    /// Creates a lookup at some daemons.
    pub fn new(asked: Vec<net::SocketAddr>) -> Self {
        AttemptLookup { unanswered: asked }
    }

    /// Returns the daemons that have not answered yet.
    pub fn unanswered(&self) -> &[net::SocketAddr] {
        &self.unanswered
    }

    /// Observes the answer of a daemon; `None` if it has no record. Answers of daemons that were
    /// not asked do not count.
    pub fn on_answer(
        &mut self,
        sender: net::SocketAddr,
        origin: Option<StreamOrigin>,
    ) -> LookupState {
        let Some(position) = self.unanswered.iter().position(|asked| *asked == sender) else {
            return LookupState::Pending;
        };
        self.unanswered.swap_remove(position);
        match origin {
            Some(origin) => LookupState::Found(origin),
            None if self.unanswered.is_empty() => LookupState::Unknown,
            None => LookupState::Pending,
        }
    }
}
