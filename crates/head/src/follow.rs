//! A daemon that follows the head: it moves to higher revisions only.

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_records::revision;

use crate::relay;

/// How often the head is read, and how long answers are awaited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FollowTimings {
    /// Between two reads of the head by a reader of the availability zone.
    pub reader_interval: time::Millis,
    /// Between two reads of the head by every other daemon.
    pub other_interval: time::Millis,
    /// After this time an answer is not awaited any more.
    pub answer_timeout: time::Millis,
}

impl Default for FollowTimings {
    fn default() -> Self {
        FollowTimings {
            reader_interval: time::Millis::new(500),
            other_interval: time::Millis::new(15_000),
            answer_timeout: time::Millis::new(1_500),
        }
    }
}

/// Whether the daemon reads the head for its availability zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReaderRole {
    /// It reads the head often.
    Reader,
    /// It hears of changes from its peers, and reads the head rarely.
    Other,
}

/// What happened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FollowInput {
    /// A peer knows of this daemon, or none can be reached.
    Joined,
    /// Time passed.
    Tick(ReaderRole),
    /// The head was read; none where no revision was written yet.
    HeadRead(Option<revision::HeadRow>),
    /// The head could not be read.
    HeadFailed,
    /// The row of a revision was read; none where it does not exist or can't be read.
    RevisionRead(Option<relay::RevisionContent>),
    /// A peer says which revision it has.
    PeerHas(id::DaemonId, quantity::RevisionNumber),
    /// A peer sent the revision that it was asked for; none where it failed.
    PeerSent(Option<relay::RevisionDelta>),
}

/// What to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FollowAction {
    /// Read the head row.
    ReadHead,
    /// Read the row of this revision.
    ReadRevision(quantity::RevisionNumber),
    /// Ask the peer for its newest revision.
    AskPeer(id::DaemonId),
    /// Serve by this revision, and tell the peers.
    PutInForce(relay::RevisionContent),
}

/// What is awaited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Awaited {
    Nothing,
    Until(time::MonotonicTime),
}

impl Awaited {
    fn is_over(self, now: time::MonotonicTime) -> bool {
        match self {
            Awaited::Nothing => true,
            Awaited::Until(end) => now >= end,
        }
    }
}

/// The state of one daemon.
#[derive(Clone, Debug)]
pub struct HeadFollower {
    times: FollowTimings,
    store: relay::RevisionCache,
    is_joined: bool,
    next_head_read: time::MonotonicTime,
    head: Awaited,
    content: Awaited,
}

impl HeadFollower {
    /// A daemon that knows no revision yet.
    ///
    /// It asks for nothing before it has joined: an operator who is told that a change is in force
    /// has asked every daemon that some daemon knows of, so a daemon that nobody knows of must not
    /// begin to serve by an answer that is older than its registration.
    pub fn new(times: FollowTimings) -> Self {
        HeadFollower {
            times,
            store: relay::RevisionCache::default(),
            is_joined: false,
            next_head_read: time::MonotonicTime::default(),
            head: Awaited::Nothing,
            content: Awaited::Nothing,
        }
    }

    /// The revision in force; 0 where there is none.
    pub fn in_force(&self) -> quantity::RevisionNumber {
        self.store.newest().map(|content| content.revision).unwrap_or_default()
    }

    /// The revision in force with its records.
    pub fn content(&self) -> Option<&relay::RevisionContent> {
        self.store.newest()
    }

    /// The revision in force for a peer that has `have`.
    pub fn delta_for(&self, have: quantity::RevisionNumber) -> Option<relay::RevisionDelta> {
        self.store.delta_for(have)
    }

    /// Whether the daemon has joined.
    pub fn is_joined(&self) -> bool {
        self.is_joined
    }

    /// Takes an input and says what to do.
    pub fn step(&mut self, now: time::MonotonicTime, input: FollowInput) -> Option<FollowAction> {
        match input {
            FollowInput::Joined => {
                self.is_joined = true;
                None
            }
            _ if !self.is_joined => None,
            FollowInput::Tick(duty) => self.tick(now, duty),
            FollowInput::HeadRead(head) => {
                let is_late = self.head.is_over(now);
                self.head = Awaited::Nothing;
                if is_late && self.store.newest().is_none() {
                    None
                } else {
                    self.head_read(now, head)
                }
            }
            FollowInput::HeadFailed => {
                self.head = Awaited::Nothing;
                None
            }
            FollowInput::RevisionRead(content) => {
                let is_late = self.content.is_over(now);
                self.content = Awaited::Nothing;
                self.offer(content?, is_late)
            }
            FollowInput::PeerHas(peer, revision) => self.peer_has(now, peer, revision),
            FollowInput::PeerSent(delta) => {
                let is_late = self.content.is_over(now);
                self.content = Awaited::Nothing;
                let content = delta?.apply(self.store.newest())?;
                self.offer(content, is_late)
            }
        }
    }

    fn tick(&mut self, now: time::MonotonicTime, duty: ReaderRole) -> Option<FollowAction> {
        let interval = match duty {
            ReaderRole::Reader => self.times.reader_interval,
            ReaderRole::Other => self.times.other_interval,
        };
        // A daemon that became a reader does not wait for the end of the longer interval.
        self.next_head_read = self.next_head_read.min(now + interval);
        if now < self.next_head_read || !self.head.is_over(now) {
            return None;
        }
        self.next_head_read = now + interval;
        self.head = Awaited::Until(now + self.times.answer_timeout);
        Some(FollowAction::ReadHead)
    }

    fn head_read(
        &mut self,
        now: time::MonotonicTime,
        head: Option<revision::HeadRow>,
    ) -> Option<FollowAction> {
        let head = head.filter(|head| head.revision > self.in_force())?;
        self.await_content(now)?;
        Some(FollowAction::ReadRevision(head.revision))
    }

    fn peer_has(
        &mut self,
        now: time::MonotonicTime,
        peer: id::DaemonId,
        revision: quantity::RevisionNumber,
    ) -> Option<FollowAction> {
        if revision <= self.in_force() {
            return None;
        }
        self.await_content(now)?;
        Some(FollowAction::AskPeer(peer))
    }

    /// One answer is awaited at a time; none where another one is still due.
    fn await_content(&mut self, now: time::MonotonicTime) -> Option<()> {
        if !self.content.is_over(now) {
            return None;
        }
        self.content = Awaited::Until(now + self.times.answer_timeout);
        Some(())
    }

    /// Answers come late and crossed: only a higher revision is put in force.
    ///
    /// A daemon that was paused before its first revision must not begin by a late answer: others
    /// may have forgotten it meanwhile, and an operator may have been told that a newer revision is
    /// in force everywhere.
    fn offer(&mut self, content: relay::RevisionContent, is_late: bool) -> Option<FollowAction> {
        let is_first = self.store.newest().is_none();
        if content.revision <= self.in_force() || (is_first && is_late) {
            return None;
        }
        self.store.keep(content.clone());
        Some(FollowAction::PutInForce(content))
    }
}

impl From<revision::RevisionRow> for relay::RevisionContent {
    fn from(row: revision::RevisionRow) -> Self {
        let bundle = std::sync::Arc::new(row.bundle());
        relay::RevisionContent {
            revision: row.revision,
            digest: row.digest,
            write_id: row.write_id,
            bundle,
        }
    }
}
