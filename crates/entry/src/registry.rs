//! The kept requests of this daemon, within their limits of memory and time.

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
    /// Bytes over all kept requests.
    pub max_bytes: quantity::ByteCount,
    /// Time for which an ended request is kept.
    pub retention: time::Millis,
}

/// The kept requests by id.
#[derive(Debug)]
pub struct RequestRegistry {
    limits: RegistryLimits,
    entries: sync::Mutex<RegistryEntries>,
}

#[derive(Debug, Default)]
struct RegistryEntries {
    by_id: HashMap<id::RequestId, Arc<kept::KeptRequest>>,
    /// Those that go on; far fewer than those that are kept.
    in_progress: HashMap<id::RequestId, Arc<kept::KeptRequest>>,
    /// Ended requests, the oldest first, with the bytes that each was counted with.
    ended: VecDeque<EndedEntry>,
    bytes: u64,
}

#[derive(Debug)]
struct EndedEntry {
    id: id::RequestId,
    bytes: u64,
}

/// Size of the registry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RegistrySize {
    /// Kept requests.
    pub requests: usize,
    /// Bytes that they take.
    pub bytes: u64,
}

/// Whether a request is kept.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeepVerdict {
    /// It is kept now.
    Kept,
    /// It was kept before.
    KnownBefore,
    /// Requests in progress take all the room.
    NoRoom,
}

impl RequestRegistry {
    /// An empty registry.
    pub fn new(limits: RegistryLimits) -> Self {
        RequestRegistry { limits, entries: sync::Mutex::default() }
    }

    /// Keeps a request; the oldest ended ones make room.
    pub fn keep(&self, kept: Arc<kept::KeptRequest>) -> KeepVerdict {
        let mut entries = self.lock();
        if entries.by_id.contains_key(&kept.head.id) {
            return KeepVerdict::KnownBefore;
        }
        let bytes = kept.first_bytes();
        while entries.bytes + bytes > self.limits.max_bytes.get() {
            if !entries.drop_oldest() {
                return KeepVerdict::NoRoom;
            }
        }
        entries.bytes += bytes;
        entries.in_progress.insert(kept.head.id.clone(), kept.clone());
        entries.by_id.insert(kept.head.id.clone(), kept);
        KeepVerdict::Kept
    }

    /// Ends a request by `finish` and counts what its answer takes.
    pub fn ended(&self, kept: &kept::KeptRequest, finish: impl FnOnce()) {
        finish();
        let mut entries = self.lock();
        entries.in_progress.remove(&kept.head.id);
        let grown = kept.bytes();
        let answer = grown.saturating_sub(kept.first_bytes());
        entries.bytes = entries.bytes.saturating_add(answer);
        entries.ended.push_back(EndedEntry { id: kept.head.id.clone(), bytes: grown });
        while entries.bytes > self.limits.max_bytes.get() && entries.drop_oldest() {}
    }

    /// The request with the id.
    pub fn get(&self, id: &id::RequestId) -> Option<Arc<kept::KeptRequest>> {
        self.lock().by_id.get(id).cloned()
    }

    /// The requests that go on.
    pub fn in_progress(&self) -> Vec<Arc<kept::KeptRequest>> {
        self.lock().in_progress.values().cloned().collect()
    }

    /// Drops what was kept for longer than the retention time.
    pub fn sweep(&self, now: time::MonotonicTime) -> RegistrySize {
        let mut entries = self.lock();
        while entries.is_oldest_expired(now, self.limits.retention) {
            entries.drop_oldest();
        }
        RegistrySize { requests: entries.by_id.len(), bytes: entries.bytes }
    }

    fn lock(&self) -> sync::MutexGuard<'_, RegistryEntries> {
        self.entries.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl RegistryEntries {
    fn drop_oldest(&mut self) -> bool {
        let Some(oldest) = self.ended.pop_front() else { return false };
        self.bytes = self.bytes.saturating_sub(oldest.bytes);
        self.by_id.remove(&oldest.id);
        true
    }

    fn is_oldest_expired(&self, now: time::MonotonicTime, retention: time::Millis) -> bool {
        let Some(oldest) = self.ended.front() else { return false };
        let Some(kept) = self.by_id.get(&oldest.id) else { return true };
        kept.ended_at().is_some_and(|ended_at| now.since(ended_at) >= retention)
    }
}
