//! Opening of a shard by a new holder: reads the journal and seals earlier groups.
//!
//! Both happen after the lease was taken, so nothing that an earlier holder makes durable later can
//! be missed: the table refuses its writes, and a sealed peer its copies.

use std::collections;

use samphiremoor_base::time;
use samphiremoor_lease::row;

use crate::journal;

/// Time after which a failed step of the opening is tried again.
pub const OPENING_RETRY: time::Millis = time::Millis::new(300);

/// A peer's answer to a request to seal it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SealAnswer {
    /// It refuses earlier holders' copies from now on; this is what it kept of them.
    Sealed(Vec<journal::JournalBatch>),
    /// It lives another life, or its VM is gone: what it kept is lost.
    Gone,
    /// No answer.
    Failed,
}

/// What the opening wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OpeningAction {
    /// Read every row of the journal.
    ReadJournal,
    /// Seal a daemon.
    Seal(row::DaemonInstance),
}

/// Progress of the opening.
#[derive(Clone, Debug)]
pub struct ShardOpening {
    groups: Vec<CopyGroup>,
    journal: Option<Vec<journal::JournalBatch>>,
    copies: collections::BTreeMap<journal::BatchId, journal::JournalBatch>,
    is_reading: bool,
    retry_at: Option<time::MonotonicTime>,
    /// How long a shard whose copies are all lost stays closed; absent means for good.
    lost_wait: Option<time::Millis>,
}

/// Daemons of which one must be sealed.
#[derive(Clone, Debug)]
struct CopyGroup {
    members: Vec<GroupMember>,
    is_sealed: bool,
    lost_at: Option<time::MonotonicTime>,
}

#[derive(Clone, Debug)]
struct GroupMember {
    life: row::DaemonInstance,
    state: MemberState,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum MemberState {
    Idle,
    Asked,
    Gone,
}

impl ShardOpening {
    /// An opening under a lease that was just taken.
    pub fn new(lease: &row::LeaseRow, lost_wait: Option<time::Millis>) -> Self {
        let group = |lives: &row::CopySet| CopyGroup {
            members: lives.iter().map(GroupMember::new).collect(),
            is_sealed: false,
            lost_at: None,
        };
        ShardOpening {
            groups: lease.unsealed.iter().map(group).collect(),
            journal: None,
            copies: collections::BTreeMap::new(),
            is_reading: false,
            retry_at: None,
            lost_wait,
        }
    }

    /// Starts what can be started now.
    pub fn drive(&mut self, now: time::MonotonicTime, actions: &mut Vec<OpeningAction>) {
        if self.retry_at.is_some_and(|retry| now < retry) {
            return;
        }
        self.retry_at = None;
        if self.journal.is_none() && !self.is_reading {
            self.is_reading = true;
            actions.push(OpeningAction::ReadJournal);
        }
        for group in self.groups.iter_mut().filter(|group| !group.is_sealed) {
            group.drive(actions);
        }
    }

    /// Settles the reading of the journal; absent where it failed.
    pub fn journal_read(
        &mut self,
        now: time::MonotonicTime,
        journal: Option<Vec<journal::JournalBatch>>,
    ) {
        self.is_reading = false;
        if journal.is_none() {
            self.retry_at = Some(now + OPENING_RETRY);
        }
        self.journal = journal;
    }

    /// Settles the sealing of a daemon.
    pub fn seal_answered(
        &mut self,
        now: time::MonotonicTime,
        life: &row::DaemonInstance,
        answer: &SealAnswer,
    ) {
        for group in &mut self.groups {
            group.seal_answered(now, life, answer);
        }
        match answer {
            SealAnswer::Sealed(batches) => {
                let batches = batches.iter().cloned().map(|batch| (batch.id, batch));
                self.copies.extend(batches);
            }
            SealAnswer::Gone => {}
            SealAnswer::Failed => self.retry_at = Some(now + OPENING_RETRY),
        }
    }

    /// Rows of the journal, once they were read.
    pub fn journal(&self) -> Option<&[journal::JournalBatch]> {
        self.journal.as_deref()
    }

    /// Whether everything that earlier holders made durable is known.
    pub fn is_complete(&self, now: time::MonotonicTime) -> bool {
        let lost_wait = self.lost_wait;
        self.journal.is_some() && self.groups.iter().all(|group| group.is_settled(now, lost_wait))
    }

    /// Batches that only peers kept.
    pub fn unwritten_copies(&self) -> Vec<journal::JournalBatch> {
        let journal = self.journal.iter().flatten();
        let written: collections::BTreeSet<_> = journal.map(|batch| batch.id).collect();
        let copies = self.copies.values();
        copies.filter(|batch| !written.contains(&batch.id)).cloned().collect()
    }

    /// When the opening wants to be driven again, if not by an answer.
    pub fn next_wakeup(&self) -> Option<time::MonotonicTime> {
        self.retry_at
    }
}

impl CopyGroup {
    fn drive(&mut self, actions: &mut Vec<OpeningAction>) {
        let idle = self.members.iter_mut().filter(|member| member.state == MemberState::Idle);
        for member in idle {
            member.state = MemberState::Asked;
            actions.push(OpeningAction::Seal(member.life.clone()));
        }
    }

    fn seal_answered(
        &mut self,
        now: time::MonotonicTime,
        life: &row::DaemonInstance,
        answer: &SealAnswer,
    ) {
        for member in self.members.iter_mut().filter(|member| member.life == *life) {
            match answer {
                SealAnswer::Sealed(_) => self.is_sealed = true,
                SealAnswer::Gone => member.state = MemberState::Gone,
                SealAnswer::Failed => member.state = MemberState::Idle,
            }
        }
        let is_lost = self.members.iter().all(|member| member.state == MemberState::Gone);
        if is_lost && self.lost_at.is_none() {
            self.lost_at = Some(now);
        }
    }

    fn is_settled(&self, now: time::MonotonicTime, lost_wait: Option<time::Millis>) -> bool {
        let is_over = |lost_at| lost_wait.is_some_and(|wait| now.since(lost_at) >= wait);
        self.is_sealed || self.lost_at.is_some_and(is_over)
    }
}

impl GroupMember {
    fn new(life: &row::DaemonInstance) -> Self {
        GroupMember { life: life.clone(), state: MemberState::Idle }
    }
}
