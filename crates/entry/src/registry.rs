//! Registry of the kept requests, bounded by memory and retention time.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync;
use std::sync::Arc;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;

use crate::kept;

/// Limits of the registry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RegistryLimits {
    /// Size limit over all kept requests.
    pub max_bytes: quantity::ByteCount,
    /// Time for which a finished request is retained.
    pub retention: time::Millis,
}

/// Kept requests by id.
#[derive(Debug)]
pub struct RequestRegistry {
    limits: RegistryLimits,
    entries: sync::Mutex<RegistryEntries>,
}

#[derive(Debug, Default)]
struct RegistryEntries {
    by_id: HashMap<id::RequestId, Arc<kept::KeptRequest>>,
    /// Requests in progress, indexed separately because they are far fewer than the finished ones.
    in_progress: HashMap<id::RequestId, Arc<kept::KeptRequest>>,
    /// Finished requests, the oldest first, with the bytes that each adds to `bytes`.
    finished: VecDeque<FinishedEntry>,
    /// Initial size of the requests in progress plus the full size of the finished ones.
    bytes: u64,
}

#[derive(Debug)]
struct FinishedEntry {
    id: id::RequestId,
    bytes: u64,
}

/// Size of the registry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RegistrySize {
    /// Number of kept requests.
    pub requests: usize,
    /// Bytes of the kept requests.
    pub bytes: u64,
}

/// Result of adding a request to the registry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InsertOutcome {
    /// The request was added.
    Inserted,
    /// The registry already holds a request with this id.
    Duplicate,
    /// The requests in progress use up the size limit.
    Full,
}

impl RequestRegistry {
    /// Creates an empty registry.
    pub fn new(limits: RegistryLimits) -> Self {
        RequestRegistry { limits, entries: sync::Mutex::default() }
    }

    /// Adds a request, evicting the oldest finished ones if the size limit requires it.
    pub fn insert(&self, kept: Arc<kept::KeptRequest>) -> InsertOutcome {
        let mut entries = self.lock();
        if entries.by_id.contains_key(&kept.info.id) {
            return InsertOutcome::Duplicate;
        }
        let bytes = kept.initial_bytes();
        while entries.bytes + bytes > self.limits.max_bytes.get() {
            if !entries.evict_oldest() {
                return InsertOutcome::Full;
            }
        }
        entries.bytes += bytes;
        entries.in_progress.insert(kept.info.id.clone(), kept.clone());
        entries.by_id.insert(kept.info.id.clone(), kept);
        InsertOutcome::Inserted
    }

    /// Ends a request by calling `finish` and counts the bytes of its response. Evicts the oldest
    /// finished requests if the size limit requires it.
    pub fn finish_request(&self, kept: &kept::KeptRequest, finish: impl FnOnce()) {
        finish();
        let mut entries = self.lock();
        entries.in_progress.remove(&kept.info.id);
        let total_bytes = kept.bytes();
        let response_bytes = total_bytes.saturating_sub(kept.initial_bytes());
        entries.bytes = entries.bytes.saturating_add(response_bytes);
        entries.finished.push_back(FinishedEntry { id: kept.info.id.clone(), bytes: total_bytes });
        while entries.bytes > self.limits.max_bytes.get() && entries.evict_oldest() {}
    }

    /// Returns the request with the id.
    pub fn get(&self, id: &id::RequestId) -> Option<Arc<kept::KeptRequest>> {
        self.lock().by_id.get(id).cloned()
    }

    /// Returns the requests in progress.
    pub fn in_progress(&self) -> Vec<Arc<kept::KeptRequest>> {
        self.lock().in_progress.values().cloned().collect()
    }

    /// Removes the finished requests that exceed the retention time, and returns the size of the
    /// rest.
    pub fn remove_expired(&self, now: time::MonotonicTime) -> RegistrySize {
        let mut entries = self.lock();
        while entries.is_oldest_expired(now, self.limits.retention) {
            entries.evict_oldest();
        }
        RegistrySize { requests: entries.by_id.len(), bytes: entries.bytes }
    }

    fn lock(&self) -> sync::MutexGuard<'_, RegistryEntries> {
        self.entries.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl RegistryEntries {
    fn evict_oldest(&mut self) -> bool {
        let Some(oldest) = self.finished.pop_front() else { return false };
        self.bytes = self.bytes.saturating_sub(oldest.bytes);
        self.by_id.remove(&oldest.id);
        true
    }

    fn is_oldest_expired(&self, now: time::MonotonicTime, retention: time::Millis) -> bool {
        let Some(oldest) = self.finished.front() else { return false };
        let Some(kept) = self.by_id.get(&oldest.id) else { return true };
        kept.ended_at().is_some_and(|ended_at| now.since(ended_at) >= retention)
    }
}
