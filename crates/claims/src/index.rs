//! Index of a shard's calls by their keys.

use std::collections;
use std::mem;

use samphiremoor_base::digest;
use samphiremoor_base::id;
use samphiremoor_base::time;
use smallvec::SmallVec;

use crate::journal;
use crate::key;

/// Number of a submission of a call, assigned by the caller of this crate.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SubmissionId(pub u64);

/// A submission that waits for the outcome of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaitingSubmission {
    /// Number of the submission.
    pub id: SubmissionId,
    /// Id of the request.
    pub request: id::RequestId,
    /// Deadline of the caller.
    pub deadline: time::MonotonicTime,
}

/// Submissions that wait for the same call.
pub type WaitingSubmissions = SmallVec<[WaitingSubmission; 1]>;

/// State of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallState {
    /// The claim is not durable yet.
    Claiming {
        /// Batch that contains the claim.
        batch: journal::BatchId,
        /// When the claim is released if it is not durable by then.
        expires: time::MonotonicTime,
        /// Submissions that wait for the call.
        waiting: WaitingSubmissions,
    },
    /// The call was passed to the runner.
    Running {
        /// Submissions that wait for the call.
        waiting: WaitingSubmissions,
    },
    /// The upstream responded; `None` if the result was too large to store.
    Finished(Option<journal::EncodedResult>),
    /// The call may have run, and its result is not known.
    OutcomeUnknown,
}

/// A call in the index of a shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallRecord {
    /// Digest of the call's content.
    pub digest: digest::HexDigest,
    /// State of the call.
    pub state: CallState,
    /// When the call finished, or when it was replayed from the journal of an earlier holder.
    pub finished_at: Option<time::MonotonicTime>,
}

/// The calls of one shard. A finished call is removed after the retention time.
#[derive(Clone, Debug)]
pub struct CallIndex {
    retention: time::Millis,
    /// Calls by their keys.
    records: collections::BTreeMap<key::CallKey, CallRecord>,
    /// Finished calls, in the order in which their retention time ends.
    finished: collections::VecDeque<FinishedCall>,
}

#[derive(Clone, Debug)]
struct FinishedCall {
    finished_at: time::MonotonicTime,
    key: key::CallKey,
}

impl CallIndex {
    /// Creates an empty index.
    pub fn new(retention: time::Millis) -> Self {
        CallIndex {
            retention,
            records: collections::BTreeMap::new(),
            finished: collections::VecDeque::new(),
        }
    }

    /// Returns the number of calls in the index.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the index contains no call.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the record of a call.
    pub fn get(&self, key: &key::CallKey) -> Option<&CallRecord> {
        self.records.get(key)
    }

    /// Returns the mutable record of a call.
    pub fn get_mut(&mut self, key: &key::CallKey) -> Option<&mut CallRecord> {
        self.records.get_mut(key)
    }

    /// Adds a call whose claim is not durable yet.
    pub fn insert(&mut self, key: key::CallKey, record: CallRecord) {
        self.records.insert(key, record);
    }

    /// Removes a call that is certain not to have run.
    pub fn remove(&mut self, key: &key::CallKey) -> Option<CallRecord> {
        self.records.remove(key)
    }

    /// Sets the final state of a call and returns the submissions that waited for it.
    pub fn finish(
        &mut self,
        now: time::MonotonicTime,
        key: &key::CallKey,
        state: CallState,
    ) -> WaitingSubmissions {
        let Some(record) = self.records.get_mut(key) else { return WaitingSubmissions::new() };
        let previous_state = mem::replace(&mut record.state, state);
        record.finished_at = Some(now);
        self.finished.push_back(FinishedCall { finished_at: now, key: key.clone() });
        match previous_state {
            CallState::Claiming { waiting, .. } | CallState::Running { waiting } => waiting,
            CallState::Finished(_) | CallState::OutcomeUnknown => WaitingSubmissions::new(),
        }
    }

    /// Applies a journal entry of an earlier holder. A claimed call has an unknown outcome until a
    /// later entry contains its result.
    pub fn replay(&mut self, now: time::MonotonicTime, entry: &journal::JournalEntry) {
        match entry {
            journal::JournalEntry::Claimed { key, digest } => {
                let record = CallRecord {
                    digest: digest.clone(),
                    state: CallState::OutcomeUnknown,
                    finished_at: Some(now),
                };
                self.records.insert(key.clone(), record);
                self.finished.push_back(FinishedCall { finished_at: now, key: key.clone() });
            }
            journal::JournalEntry::Finished { key, result } => {
                if let Some(record) = self.records.get_mut(key) {
                    record.state = CallState::Finished(result.clone());
                }
            }
            journal::JournalEntry::Released { key } => {
                self.records.remove(key);
            }
        }
    }

    /// Removes the calls whose retention time has passed.
    pub fn expire(&mut self, now: time::MonotonicTime) {
        while let Some(earliest) = self.finished.front() {
            if now.since(earliest.finished_at) < self.retention {
                return;
            }
            let Some(earliest) = self.finished.pop_front() else { return };
            // The key may have been released and claimed again in the meantime.
            let record = self.records.get(&earliest.key);
            if record.is_some_and(|record| record.finished_at == Some(earliest.finished_at)) {
                self.records.remove(&earliest.key);
            }
        }
    }
}
