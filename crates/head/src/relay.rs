//! Deltas between revisions that peers send to one another.

use std::collections;
use std::sync;

use samphiremoor_base::digest;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_records::bundle;
use samphiremoor_records::entry;
use serde::Deserialize;
use serde::Serialize;

/// Number of revisions that a daemon keeps to compute deltas from.
const MAX_CACHED_REVISIONS: usize = 32;

/// A revision with its records.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RevisionContent {
    /// Number of the revision.
    pub revision: quantity::RevisionNumber,
    /// Digest of all records of the revision.
    pub digest: digest::HexDigest,
    /// Id of the write that created the revision.
    pub write_id: id::WriteId,
    /// All records of the revision.
    pub bundle: sync::Arc<bundle::RecordBundle>,
}

/// A revision as a delta to an older one, or with all its records.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RevisionDelta {
    /// Number of the revision.
    pub revision: quantity::RevisionNumber,
    /// Digest of all records of the revision.
    pub digest: digest::HexDigest,
    /// Id of the write that created the revision.
    pub write_id: id::WriteId,
    /// The revision that the delta is based on, or `None` if the delta contains all records.
    pub base: Option<quantity::RevisionNumber>,
    /// Records that were added or replaced.
    pub put: Vec<entry::RecordEntry>,
    /// Keys of the records that were removed.
    pub removed: Vec<entry::RecordKey>,
}

impl RevisionDelta {
    /// Applies the delta to `current`. Returns `None` if `current` is not the base or the digest
    /// does not match.
    pub fn apply(self, current: Option<&RevisionContent>) -> Option<RevisionContent> {
        let mut bundle = match self.base {
            None => bundle::RecordBundle::default(),
            Some(base) => {
                let current = current.filter(|current| current.revision == base)?;
                bundle::RecordBundle::clone(&current.bundle)
            }
        };
        for key in &self.removed {
            bundle.remove(key).ok()?;
        }
        self.put.into_iter().for_each(|entry| bundle.put(entry));
        if bundle.digest() != self.digest {
            return None;
        }
        Some(RevisionContent {
            revision: self.revision,
            digest: self.digest,
            write_id: self.write_id,
            bundle: sync::Arc::new(bundle),
        })
    }
}

/// The latest revisions that were in force at this daemon.
#[derive(Clone, Debug, Default)]
pub struct RevisionCache {
    /// Revisions from the oldest to the newest.
    revisions: collections::VecDeque<RevisionContent>,
}

impl RevisionCache {
    /// Adds a revision, and evicts the oldest one if the cache is full.
    pub fn push(&mut self, content: RevisionContent) {
        if self.revisions.len() == MAX_CACHED_REVISIONS {
            self.revisions.pop_front();
        }
        self.revisions.push_back(content);
    }

    /// Returns the newest revision.
    pub fn newest(&self) -> Option<&RevisionContent> {
        self.revisions.back()
    }

    /// Returns the delta from the revision of a peer to the newest revision, or `None` if the
    /// revision of the peer is not lower. The delta contains all records if the revision of the peer
    /// is not in the cache.
    pub fn delta_for(&self, known_revision: quantity::RevisionNumber) -> Option<RevisionDelta> {
        let newest = self.newest().filter(|newest| newest.revision > known_revision)?;
        let base = self.revisions.iter().find(|content| content.revision == known_revision);
        let empty_bundle = bundle::RecordBundle::default();
        let base_bundle = base.map_or(&empty_bundle, |base| &*base.bundle);
        let changed_keys = newest.bundle.changed_keys(base_bundle);
        let (put, removed) =
            changed_keys.into_iter().partition::<Vec<_>, _>(|key| newest.bundle.get(key).is_some());
        Some(RevisionDelta {
            revision: newest.revision,
            digest: newest.digest.clone(),
            write_id: newest.write_id.clone(),
            base: base.map(|base| base.revision),
            put: put.iter().filter_map(|key| newest.bundle.get(key)).cloned().collect(),
            removed,
        })
    }
}
