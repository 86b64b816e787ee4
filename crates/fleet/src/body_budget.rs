//! Limits what callers' connections hold together: received bytes and the connections themselves.
//!
//! Addresses callers that send many large bodies at once, or open many connections, and stop short
//! of the end. When a limit is reached, the connections without progress for longest are dropped
//! first; what still exceeds the limit is refused.

use std::collections;

use samphiremoor_base::quantity;
use samphiremoor_base::time;
use smallvec::SmallVec;

/// Time without progress after which a connection may be dropped. Callers send a request without
/// pauses; half a second covers one lost packet.
pub const STALL_TIME: time::Millis = time::Millis::new(500);
/// Size up to which the received bytes of a connection may use half as much memory again, so that
/// ordinary requests pass beside large ones. It is that of the read buffer and of a long prompt.
pub const SMALL_BYTES: u64 = 64 * 1024;
/// Connections that may exceed the limit while those that were dropped close.
const CLOSING_CONNECTIONS: usize = 16;

/// A caller's connection.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ReceiverId(u64);

/// Connections to drop.
pub type DroppedReceivers = SmallVec<[ReceiverId; 4]>;

/// What a connection does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReceivePhase {
    /// It waits for a request.
    Idle,
    /// A request is being received.
    Receiving,
    /// A whole request is being served. Such a connection is not dropped.
    Serving,
}

/// Limits of all connections together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BudgetLimits {
    /// Received bytes that were not released.
    pub bytes: quantity::ByteCount,
    /// Open connections.
    pub connections: usize,
}

/// Whether a connection may hold more bytes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GrowVerdict {
    /// The bytes are counted.
    Granted,
    /// The bytes will fit once these connections, and those dropped before, have released theirs.
    AfterDrops(DroppedReceivers),
    /// The bytes don't fit; the request must be refused.
    Refused,
}

/// Whether a connection may be opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OpenVerdict {
    /// It is counted.
    Opened(ReceiverId),
    /// It is counted, and the second one must be dropped.
    Replaces(ReceiverId, ReceiverId),
    /// It must be refused.
    Refused,
}

/// Received bytes and connections of all callers.
#[derive(Debug)]
pub struct BodyBudget {
    limits: BudgetLimits,
    used_bytes: u64,
    last_id: u64,
    receivers: collections::BTreeMap<ReceiverId, Receiver>,
    /// Connections that may be dropped, by the time of their last progress.
    by_progress: collections::BTreeSet<(time::MonotonicTime, ReceiverId)>,
    /// Number of connections that were told to close and have not, and the bytes that they hold.
    dropped_count: usize,
    dropped_bytes: u64,
}

#[derive(Debug)]
struct Receiver {
    bytes: u64,
    progress_at: time::MonotonicTime,
    is_dropped: bool,
}

impl BodyBudget {
    /// Creates the budget of a daemon without connections.
    pub fn new(limits: BudgetLimits) -> Self {
        BodyBudget {
            limits,
            used_bytes: 0,
            last_id: 0,
            receivers: collections::BTreeMap::new(),
            by_progress: collections::BTreeSet::new(),
            dropped_count: 0,
            dropped_bytes: 0,
        }
    }

    /// Returns the limits.
    pub fn limits(&self) -> BudgetLimits {
        self.limits
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.receivers.len()
    }

    /// Returns the received bytes of all connections.
    pub fn used(&self) -> quantity::ByteCount {
        quantity::ByteCount::new(self.used_bytes)
    }

    /// Counts a new connection. At the limit it replaces the one without progress for longest.
    pub fn open(&mut self, now: time::MonotonicTime) -> OpenVerdict {
        if self.receivers.len() >= self.limits.connections + CLOSING_CONNECTIONS {
            return OpenVerdict::Refused;
        }
        let mut replaced = None;
        if self.receivers.len() - self.dropped_count >= self.limits.connections {
            let Some(oldest) = self.stalled(now).next() else { return OpenVerdict::Refused };
            replaced = Some(oldest);
        }
        self.last_id += 1;
        let id = ReceiverId(self.last_id);
        let receiver = Receiver { bytes: 0, progress_at: now, is_dropped: false };
        self.receivers.insert(id, receiver);
        self.by_progress.insert((now, id));
        let Some(replaced) = replaced else { return OpenVerdict::Opened(id) };
        self.mark_dropped(replaced);
        OpenVerdict::Replaces(id, replaced)
    }

    /// Counts `bytes` for a connection in place of what it held. A connection that holds less, or
    /// is the only one that holds bytes, is not refused.
    pub fn resize(&mut self, id: ReceiverId, bytes: u64, now: time::MonotonicTime) -> GrowVerdict {
        let Some(receiver) = self.receivers.get(&id) else { return GrowVerdict::Refused };
        let held_bytes = receiver.bytes;
        let other_bytes = self.used_bytes - held_bytes;
        let limit = self.limits.bytes.get();
        let limit = if bytes <= SMALL_BYTES { limit + limit / 2 } else { limit };
        if bytes <= held_bytes || other_bytes == 0 || other_bytes + bytes <= limit {
            self.set_bytes(id, bytes);
            return GrowVerdict::Granted;
        }
        let Some(dropped) = self.choose_dropped(id, other_bytes + bytes - limit, now) else {
            return GrowVerdict::Refused;
        };
        for id in &dropped {
            self.mark_dropped(*id);
        }
        GrowVerdict::AfterDrops(dropped)
    }

    /// Returns the connections to drop so that they and those dropped before release `excess` bytes,
    /// or `None` if there are not enough.
    fn choose_dropped(
        &self,
        id: ReceiverId,
        excess: u64,
        now: time::MonotonicTime,
    ) -> Option<DroppedReceivers> {
        let held = |id: ReceiverId| self.receivers.get(&id).map_or(0, |receiver| receiver.bytes);
        let is_dropped = self.receivers.get(&id).is_some_and(|receiver| receiver.is_dropped);
        let mut released = self.dropped_bytes - if is_dropped { held(id) } else { 0 };
        let mut dropped = DroppedReceivers::new();
        for other in self.stalled(now).filter(|other| *other != id && held(*other) > 0) {
            if released >= excess {
                break;
            }
            released += held(other);
            dropped.push(other);
        }
        (released >= excess).then_some(dropped)
    }

    /// Returns the connections that may be dropped and made no progress for [`STALL_TIME`], those without
    /// progress for longest first.
    fn stalled(&self, now: time::MonotonicTime) -> impl Iterator<Item = ReceiverId> {
        let is_stalled =
            move |progress_at: time::MonotonicTime| now.since(progress_at) >= STALL_TIME;
        let oldest = self.by_progress.iter();
        oldest.take_while(move |(progress_at, _)| is_stalled(*progress_at)).map(|(_, id)| *id)
    }

    /// Records that a connection does something else, or that bytes arrived on it. A connection that
    /// was to be dropped and whose request is whole is served.
    pub fn progress(&mut self, id: ReceiverId, phase: ReceivePhase, now: time::MonotonicTime) {
        let Some(receiver) = self.receivers.get_mut(&id) else { return };
        self.by_progress.remove(&(receiver.progress_at, id));
        receiver.progress_at = now;
        let is_serving = phase == ReceivePhase::Serving;
        if is_serving && std::mem::take(&mut receiver.is_dropped) {
            self.dropped_count -= 1;
            self.dropped_bytes -= receiver.bytes;
        }
        if !is_serving && !receiver.is_dropped {
            self.by_progress.insert((now, id));
        }
    }

    /// Releases a connection and its bytes.
    pub fn close(&mut self, id: ReceiverId) {
        self.set_bytes(id, 0);
        let Some(receiver) = self.receivers.remove(&id) else { return };
        self.by_progress.remove(&(receiver.progress_at, id));
        self.dropped_count -= usize::from(receiver.is_dropped);
    }

    fn set_bytes(&mut self, id: ReceiverId, bytes: u64) {
        let Some(receiver) = self.receivers.get_mut(&id) else { return };
        self.used_bytes = self.used_bytes - receiver.bytes + bytes;
        if receiver.is_dropped {
            self.dropped_bytes = self.dropped_bytes - receiver.bytes + bytes;
        }
        receiver.bytes = bytes;
    }

    fn mark_dropped(&mut self, id: ReceiverId) {
        let Some(receiver) = self.receivers.get_mut(&id) else { return };
        self.by_progress.remove(&(receiver.progress_at, id));
        if !std::mem::replace(&mut receiver.is_dropped, true) {
            self.dropped_count += 1;
            self.dropped_bytes += receiver.bytes;
        }
    }
}
