//! Differences between revisions, as peers send them to one another.

use std::collections;
use std::sync;

use samphiremoor_base::digest;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_records::bundle;
use samphiremoor_records::entry;
use serde::Deserialize;
use serde::Serialize;

/// Revisions that a daemon keeps to make differences from.
const KEPT_BUNDLES: usize = 32;

/// A revision with its records.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RevisionContent {
    /// The revision.
    pub revision: quantity::RevisionNumber,
    /// Digest of its records.
    pub digest: digest::HexDigest,
    /// The write that made it.
    pub write_id: id::WriteId,
    /// Its records.
    pub bundle: sync::Arc<bundle::RecordBundle>,
}

/// A revision as the difference from an older one, or whole.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RevisionDelta {
    /// The revision.
    pub revision: quantity::RevisionNumber,
    /// Digest of its records.
    pub digest: digest::HexDigest,
    /// The write that made it.
    pub write_id: id::WriteId,
    /// The revision that the difference is from; none where the records are whole.
    pub base: Option<quantity::RevisionNumber>,
    /// Records that were added or replaced.
    pub put: Vec<entry::RecordEntry>,
    /// Records that were withdrawn.
    pub removed: Vec<entry::RecordKey>,
}

impl RevisionDelta {
    /// The revision that the difference makes of `own`; none where it does not fit or the digest
    /// does not match.
    pub fn apply(self, own: Option<&RevisionContent>) -> Option<RevisionContent> {
        let mut bundle = match self.base {
            None => bundle::RecordBundle::default(),
            Some(base) => {
                let own = own.filter(|own| own.revision == base)?;
                bundle::RecordBundle::clone(&own.bundle)
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

/// The last revisions that were in force here.
#[derive(Clone, Debug, Default)]
pub struct RevisionCache {
    kept: collections::VecDeque<RevisionContent>,
}

impl RevisionCache {
    /// Keeps a revision, and forgets the oldest one where there are too many.
    pub fn keep(&mut self, content: RevisionContent) {
        if self.kept.len() == KEPT_BUNDLES {
            self.kept.pop_front();
        }
        self.kept.push_back(content);
    }

    /// The newest revision.
    pub fn newest(&self) -> Option<&RevisionContent> {
        self.kept.back()
    }

    /// The newest revision for a daemon that has `have`; none where that daemon is as new.
    pub fn delta_for(&self, have: quantity::RevisionNumber) -> Option<RevisionDelta> {
        let newest = self.newest().filter(|newest| newest.revision > have)?;
        let base = self.kept.iter().find(|content| content.revision == have);
        let empty = bundle::RecordBundle::default();
        let base_bundle = base.map_or(&empty, |base| &*base.bundle);
        let changed = newest.bundle.changed_keys(base_bundle);
        let (put, removed) =
            changed.into_iter().partition::<Vec<_>, _>(|key| newest.bundle.get(key).is_some());
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
