//! What a shard's holder knows of each key.

use std::collections;
use std::mem;

use samphiremoor_base::digest;
use samphiremoor_base::id;
use samphiremoor_base::time;
use smallvec::SmallVec;

use crate::journal;
use crate::key;

/// Number of a waiting send of a call, given by the shell.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallNumber(pub u64);

/// A send that waits for the call's end.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaitingCall {
    /// The send.
    pub call: CallNumber,
    /// Its request.
    pub request: id::RequestId,
    /// When it is given up.
    pub deadline: time::MonotonicTime,
}

/// Sends that wait for one call.
pub type WaitingCalls = SmallVec<[WaitingCall; 1]>;

/// State of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallState {
    /// The claim is not known to be durable yet.
    Claiming {
        /// Batch of the claim.
        batch: journal::BatchId,
        /// When the claim is given up.
        expires: time::MonotonicTime,
        /// Who waits.
        waiting: WaitingCalls,
    },
    /// The call was given to the runner.
    Running {
        /// Who waits.
        waiting: WaitingCalls,
    },
    /// The call ended with an answer, which may have been too large to keep.
    Finished(Option<journal::EncodedResult>),
    /// The call may have run, and its answer is not known.
    Uncertain,
}

/// One key that the holder knows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyRecord {
    /// Digest of the call.
    pub digest: digest::HexDigest,
    /// State of the call.
    pub state: CallState,
    /// When the call ended.
    pub ended_at: Option<time::MonotonicTime>,
}

/// The keys of one shard. Ended ones are forgotten after the retention time.
#[derive(Clone, Debug)]
pub struct KeyLedger {
    retention: time::Millis,
    records: collections::BTreeMap<key::CallKey, KeyRecord>,
    ended: collections::VecDeque<EndedKey>,
}

#[derive(Clone, Debug)]
struct EndedKey {
    at: time::MonotonicTime,
    key: key::CallKey,
}

impl KeyLedger {
    /// An empty ledger.
    pub fn new(retention: time::Millis) -> Self {
        KeyLedger {
            retention,
            records: collections::BTreeMap::new(),
            ended: collections::VecDeque::new(),
        }
    }

    /// Number of known keys.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// What is known of a key.
    pub fn get(&self, key: &key::CallKey) -> Option<&KeyRecord> {
        self.records.get(key)
    }

    /// What is known of a key, to change it.
    pub fn get_mut(&mut self, key: &key::CallKey) -> Option<&mut KeyRecord> {
        self.records.get_mut(key)
    }

    /// Notes a new claim.
    pub fn insert(&mut self, key: key::CallKey, record: KeyRecord) {
        self.records.insert(key, record);
    }

    /// Forgets a key whose call was certainly not run.
    pub fn remove(&mut self, key: &key::CallKey) -> Option<KeyRecord> {
        self.records.remove(key)
    }

    /// Moves a call to its end and gives the sends that waited for it.
    pub fn end(
        &mut self,
        now: time::MonotonicTime,
        key: &key::CallKey,
        state: CallState,
    ) -> WaitingCalls {
        let Some(record) = self.records.get_mut(key) else { return WaitingCalls::new() };
        let before = mem::replace(&mut record.state, state);
        record.ended_at = Some(now);
        self.ended.push_back(EndedKey { at: now, key: key.clone() });
        match before {
            CallState::Claiming { waiting, .. } | CallState::Running { waiting } => waiting,
            CallState::Finished(_) | CallState::Uncertain => WaitingCalls::new(),
        }
    }

    /// Applies an entry of the journal that an earlier holder wrote.
    pub fn replay(&mut self, now: time::MonotonicTime, entry: &journal::JournalEntry) {
        match entry {
            journal::JournalEntry::Claimed { key, digest } => {
                let record = KeyRecord {
                    digest: digest.clone(),
                    state: CallState::Uncertain,
                    ended_at: Some(now),
                };
                self.records.insert(key.clone(), record);
                self.ended.push_back(EndedKey { at: now, key: key.clone() });
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

    /// Forgets the keys whose retention time has passed.
    pub fn expire(&mut self, now: time::MonotonicTime) {
        while let Some(first) = self.ended.front() {
            if now.since(first.at) < self.retention {
                return;
            }
            let Some(first) = self.ended.pop_front() else { return };
            // The key may have been released and claimed anew since.
            let record = self.records.get(&first.key);
            if record.is_some_and(|record| record.ended_at == Some(first.at)) {
                self.records.remove(&first.key);
            }
        }
    }
}
