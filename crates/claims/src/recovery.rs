//! Recovery of a shard by a new holder, which reads the journal and seals the copy sets of earlier
//! holders.
//!
//! Both happen after the new holder has acquired the lease. Earlier holders can then no longer make
//! anything durable that the recovery would miss: the table rejects their writes, and sealed peers
//! reject their copies.

use std::collections;

use samphiremoor_base::time;
use samphiremoor_lease::row;

use crate::journal;

/// Delay before a failed step of the recovery is retried.
pub const RECOVERY_RETRY_DELAY: time::Millis = time::Millis::new(300);

/// A peer's response to a seal request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SealResponse {
    /// The peer rejects copies of earlier holders from now on; these are the batches that it
    /// stored.
    Sealed(Vec<journal::JournalBatch>),
    /// The daemon has restarted or its VM no longer exists, so its copies are lost.
    CopiesLost,
    /// The request failed or timed out.
    Failed,
}

/// An action that the caller of the recovery carries out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecoveryAction {
    /// Reads every row of the journal.
    ReadJournal,
    /// Seals a daemon.
    Seal(row::DaemonInstance),
}

/// State of a shard's recovery.
#[derive(Clone, Debug)]
pub struct ShardRecovery {
    groups: Vec<CopyGroup>,
    /// Batches of the journal; `None` until they have been read.
    journal: Option<Vec<journal::JournalBatch>>,
    /// Batches that sealed daemons returned.
    copies: collections::BTreeMap<journal::BatchId, journal::JournalBatch>,
    is_reading_journal: bool,
    /// When the next step may start after a failed one.
    retry_at: Option<time::MonotonicTime>,
    /// Time for which a shard stays closed when all copies of a group are lost; `None` means that
    /// it never opens.
    lost_copies_wait: Option<time::Millis>,
}

/// An earlier holder and its copy set, of which one daemon must be sealed.
#[derive(Clone, Debug)]
struct CopyGroup {
    members: Vec<GroupMember>,
    is_sealed: bool,
    /// When the last daemon of the group was found to have lost its copies.
    copies_lost_at: Option<time::MonotonicTime>,
}

#[derive(Clone, Debug)]
struct GroupMember {
    instance: row::DaemonInstance,
    state: MemberState,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum MemberState {
    /// No seal request is in flight.
    Idle,
    /// The daemon was sent a seal request, which has not failed.
    Requested,
    /// The daemon has restarted or its VM no longer exists.
    CopiesLost,
}

impl ShardRecovery {
    /// Creates the recovery of a shard whose lease was just acquired.
    pub fn new(lease: &row::LeaseRow, lost_copies_wait: Option<time::Millis>) -> Self {
        let new_group = |instances: &row::CopySet| CopyGroup {
            members: instances.iter().map(GroupMember::new).collect(),
            is_sealed: false,
            copies_lost_at: None,
        };
        ShardRecovery {
            groups: lease.unsealed.iter().map(new_group).collect(),
            journal: None,
            copies: collections::BTreeMap::new(),
            is_reading_journal: false,
            retry_at: None,
            lost_copies_wait,
        }
    }

    /// Adds the actions that are due.
    pub fn push_due_actions(
        &mut self,
        now: time::MonotonicTime,
        actions: &mut Vec<RecoveryAction>,
    ) {
        if self.retry_at.is_some_and(|retry_at| now < retry_at) {
            return;
        }
        self.retry_at = None;
        if self.journal.is_none() && !self.is_reading_journal {
            self.is_reading_journal = true;
            actions.push(RecoveryAction::ReadJournal);
        }
        for group in self.groups.iter_mut().filter(|group| !group.is_sealed) {
            group.push_seal_requests(actions);
        }
    }

    /// Handles the end of reading the journal; `None` means that the read failed.
    pub fn handle_journal(
        &mut self,
        now: time::MonotonicTime,
        journal: Option<Vec<journal::JournalBatch>>,
    ) {
        self.is_reading_journal = false;
        if journal.is_none() {
            self.retry_at = Some(now + RECOVERY_RETRY_DELAY);
        }
        self.journal = journal;
    }

    /// Handles a daemon's response to a seal request.
    pub fn handle_seal_response(
        &mut self,
        now: time::MonotonicTime,
        instance: &row::DaemonInstance,
        response: &SealResponse,
    ) {
        for group in &mut self.groups {
            group.handle_seal_response(now, instance, response);
        }
        match response {
            SealResponse::Sealed(batches) => {
                let batches = batches.iter().cloned().map(|batch| (batch.id, batch));
                self.copies.extend(batches);
            }
            SealResponse::CopiesLost => {}
            SealResponse::Failed => self.retry_at = Some(now + RECOVERY_RETRY_DELAY),
        }
    }

    /// Returns the batches of the journal, or `None` until they have been read.
    pub fn journal(&self) -> Option<&[journal::JournalBatch]> {
        self.journal.as_deref()
    }

    /// Returns whether everything that earlier holders made durable is known.
    pub fn is_complete(&self, now: time::MonotonicTime) -> bool {
        let lost_copies_wait = self.lost_copies_wait;
        self.journal.is_some()
            && self.groups.iter().all(|group| group.is_resolved(now, lost_copies_wait))
    }

    /// Returns the batches that peers stored and the table does not contain.
    pub fn unwritten_copies(&self) -> Vec<journal::JournalBatch> {
        let journal = self.journal.iter().flatten();
        let written: collections::BTreeSet<_> = journal.map(|batch| batch.id).collect();
        let copies = self.copies.values();
        copies.filter(|batch| !written.contains(&batch.id)).cloned().collect()
    }

    /// Returns when [`ShardRecovery::push_due_actions`] must be called again if no response arrives
    /// first.
    pub fn next_wakeup(&self) -> Option<time::MonotonicTime> {
        self.retry_at
    }
}

impl CopyGroup {
    /// Adds a seal request for each daemon without one.
    fn push_seal_requests(&mut self, actions: &mut Vec<RecoveryAction>) {
        let idle_members =
            self.members.iter_mut().filter(|member| member.state == MemberState::Idle);
        for member in idle_members {
            member.state = MemberState::Requested;
            actions.push(RecoveryAction::Seal(member.instance.clone()));
        }
    }

    fn handle_seal_response(
        &mut self,
        now: time::MonotonicTime,
        instance: &row::DaemonInstance,
        response: &SealResponse,
    ) {
        for member in self.members.iter_mut().filter(|member| member.instance == *instance) {
            match response {
                SealResponse::Sealed(_) => self.is_sealed = true,
                SealResponse::CopiesLost => member.state = MemberState::CopiesLost,
                SealResponse::Failed => member.state = MemberState::Idle,
            }
        }
        let are_copies_lost =
            self.members.iter().all(|member| member.state == MemberState::CopiesLost);
        if are_copies_lost && self.copies_lost_at.is_none() {
            self.copies_lost_at = Some(now);
        }
    }

    /// Returns whether the group no longer keeps the shard closed: a daemon is sealed, or all
    /// copies are lost and the wait is over.
    fn is_resolved(
        &self,
        now: time::MonotonicTime,
        lost_copies_wait: Option<time::Millis>,
    ) -> bool {
        let is_wait_over =
            |copies_lost_at| lost_copies_wait.is_some_and(|wait| now.since(copies_lost_at) >= wait);
        self.is_sealed || self.copies_lost_at.is_some_and(is_wait_over)
    }
}

impl GroupMember {
    fn new(instance: &row::DaemonInstance) -> Self {
        GroupMember { instance: instance.clone(), state: MemberState::Idle }
    }
}
