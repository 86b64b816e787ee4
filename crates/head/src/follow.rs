//! State machine of a daemon that follows the head row. It only moves to higher revisions.

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_records::revision;

use crate::relay;

/// Intervals between reads of the head row, and the response timeout.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FollowTimings {
    /// Time between two reads of the head row by a reader of the availability zone.
    pub reader_interval: time::Millis,
    /// Time between two reads of the head row by a daemon that is not a reader.
    pub non_reader_interval: time::Millis,
    /// Time after which a response is considered late.
    pub response_timeout: time::Millis,
}

impl Default for FollowTimings {
    fn default() -> Self {
        FollowTimings {
            reader_interval: time::Millis::new(500),
            non_reader_interval: time::Millis::new(15_000),
            response_timeout: time::Millis::new(1_500),
        }
    }
}

/// Role of a daemon in reading the head row for its availability zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReaderRole {
    /// Reads the head row at the short interval.
    Reader,
    /// Learns of changes from its peers, and reads the head row at the long interval.
    NonReader,
}

/// Input of the state machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FollowInput {
    /// The daemon has joined: a peer has registered it, or no peer can be reached.
    Joined,
    /// Time passed. The role is the current one of the daemon.
    Tick(ReaderRole),
    /// The head row was read; `None` if no revision was written yet.
    HeadRead(Option<revision::HeadRow>),
    /// The head row could not be read.
    HeadFailed,
    /// The row of a revision was read; `None` if it does not exist or cannot be read.
    RevisionRead(Option<relay::RevisionContent>),
    /// A peer reported its revision in force.
    PeerRevision(id::DaemonId, quantity::RevisionNumber),
    /// A peer responded with the requested revision; `None` if the request failed.
    PeerResponse(Option<relay::RevisionDelta>),
}

/// Action of the state machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FollowAction {
    /// Read the head row.
    ReadHead,
    /// Read the row of this revision.
    ReadRevision(quantity::RevisionNumber),
    /// Request the newest revision of the peer.
    RequestFromPeer(id::DaemonId),
    /// Serve by this revision, and report it to the peers.
    PutInForce(relay::RevisionContent),
}

/// Deadline of a pending response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ResponseDeadline {
    None,
    At(time::MonotonicTime),
}

impl ResponseDeadline {
    /// Returns whether no response is pending or the pending one is late.
    fn is_expired(self, now: time::MonotonicTime) -> bool {
        match self {
            ResponseDeadline::None => true,
            ResponseDeadline::At(deadline) => now >= deadline,
        }
    }
}

/// State of one daemon that follows the head row.
#[derive(Clone, Debug)]
pub struct HeadFollower {
    timings: FollowTimings,
    cache: relay::RevisionCache,
    is_joined: bool,
    next_head_read_at: time::MonotonicTime,
    /// Deadline of the pending read of the head row.
    head_deadline: ResponseDeadline,
    /// Deadline of the pending request for a revision, to the platform or to a peer.
    content_deadline: ResponseDeadline,
}

impl HeadFollower {
    /// Creates the state of a daemon without a revision.
    ///
    /// The daemon requests nothing before it has joined. An operator who is told that a change is
    /// in force has queried every daemon that is known to some daemon. A daemon that no other one
    /// knows must therefore not start to serve by a response that is older than its registration.
    pub fn new(timings: FollowTimings) -> Self {
        HeadFollower {
            timings,
            cache: relay::RevisionCache::default(),
            is_joined: false,
            next_head_read_at: time::MonotonicTime::default(),
            head_deadline: ResponseDeadline::None,
            content_deadline: ResponseDeadline::None,
        }
    }

    /// Returns the revision in force, or 0 if there is none.
    pub fn in_force(&self) -> quantity::RevisionNumber {
        self.cache.newest().map(|content| content.revision).unwrap_or_default()
    }

    /// Returns the revision in force with its records.
    pub fn content(&self) -> Option<&relay::RevisionContent> {
        self.cache.newest()
    }

    /// Returns the delta from the revision of a peer to the revision in force, or `None` if the
    /// revision of the peer is not lower.
    pub fn delta_for(
        &self,
        known_revision: quantity::RevisionNumber,
    ) -> Option<relay::RevisionDelta> {
        self.cache.delta_for(known_revision)
    }

    /// Returns whether the daemon has joined.
    pub fn is_joined(&self) -> bool {
        self.is_joined
    }

    /// Handles an input and returns the action to perform.
    pub fn step(&mut self, now: time::MonotonicTime, input: FollowInput) -> Option<FollowAction> {
        match input {
            FollowInput::Joined => {
                self.is_joined = true;
                None
            }
            _ if !self.is_joined => None,
            FollowInput::Tick(role) => self.tick(now, role),
            FollowInput::HeadRead(head) => {
                let is_late = self.head_deadline.is_expired(now);
                self.head_deadline = ResponseDeadline::None;
                if is_late && self.cache.newest().is_none() {
                    None
                } else {
                    self.handle_head(now, head)
                }
            }
            FollowInput::HeadFailed => {
                self.head_deadline = ResponseDeadline::None;
                None
            }
            FollowInput::RevisionRead(content) => {
                let is_late = self.content_deadline.is_expired(now);
                self.content_deadline = ResponseDeadline::None;
                self.accept(content?, is_late)
            }
            FollowInput::PeerRevision(peer, revision) => {
                self.handle_peer_revision(now, peer, revision)
            }
            FollowInput::PeerResponse(delta) => {
                let is_late = self.content_deadline.is_expired(now);
                self.content_deadline = ResponseDeadline::None;
                let content = delta?.apply(self.cache.newest())?;
                self.accept(content, is_late)
            }
        }
    }

    /// Returns the read of the head row if it is due.
    fn tick(&mut self, now: time::MonotonicTime, role: ReaderRole) -> Option<FollowAction> {
        let interval = match role {
            ReaderRole::Reader => self.timings.reader_interval,
            ReaderRole::NonReader => self.timings.non_reader_interval,
        };
        // A daemon that becomes a reader does not wait for the end of its longer interval.
        self.next_head_read_at = self.next_head_read_at.min(now + interval);
        if now < self.next_head_read_at || !self.head_deadline.is_expired(now) {
            return None;
        }
        self.next_head_read_at = now + interval;
        self.head_deadline = ResponseDeadline::At(now + self.timings.response_timeout);
        Some(FollowAction::ReadHead)
    }

    /// Returns the read of the newest revision's row if it is higher than the one in force.
    fn handle_head(
        &mut self,
        now: time::MonotonicTime,
        head: Option<revision::HeadRow>,
    ) -> Option<FollowAction> {
        let head = head.filter(|head| head.revision > self.in_force())?;
        self.start_content_request(now)?;
        Some(FollowAction::ReadRevision(head.revision))
    }

    /// Returns the request to the peer if its revision is higher than the one in force.
    fn handle_peer_revision(
        &mut self,
        now: time::MonotonicTime,
        peer: id::DaemonId,
        revision: quantity::RevisionNumber,
    ) -> Option<FollowAction> {
        if revision <= self.in_force() {
            return None;
        }
        self.start_content_request(now)?;
        Some(FollowAction::RequestFromPeer(peer))
    }

    /// Starts waiting for a revision. Returns `None` if another response is still pending, because
    /// only one request is in flight at a time.
    fn start_content_request(&mut self, now: time::MonotonicTime) -> Option<()> {
        if !self.content_deadline.is_expired(now) {
            return None;
        }
        self.content_deadline = ResponseDeadline::At(now + self.timings.response_timeout);
        Some(())
    }

    /// Puts a received revision in force if it is higher than the current one, since responses may
    /// arrive late and out of order.
    ///
    /// A daemon without a revision ignores late responses. If it was paused while waiting, other
    /// daemons may have removed it in the meantime, and an operator may have been told that a newer
    /// revision is in force everywhere.
    fn accept(&mut self, content: relay::RevisionContent, is_late: bool) -> Option<FollowAction> {
        let is_first = self.cache.newest().is_none();
        if content.revision <= self.in_force() || (is_first && is_late) {
            return None;
        }
        self.cache.push(content.clone());
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
