//! Notices by which daemons share what they know of crashes, and when each is due to be sent.

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use serde::Deserialize;
use serde::Serialize;

use crate::suspect;

/// Time for which a notice is repeated, as datagrams get lost.
pub(super) const NOTICE_REPEAT_TIME: time::Millis = time::Millis::new(2_000);
/// The same for notices of crashes, which are many when replicas crash one after the other.
const CRASH_REPEAT_TIME: time::Millis = time::Millis::new(1_000);
/// Interval between two sends of a notice.
const NOTICE_INTERVAL: time::Millis = time::Millis::new(500);
/// Number of notices that are repeated; the newest ones are.
const MAX_NOTICES: usize = 128;

/// Notice from one daemon to its peers. All times are in milliseconds since the Unix epoch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuarantineNotice {
    /// A replica crashed under requests with these suspects, which had not survived there.
    Crash {
        /// The replica.
        replica: id::ReplicaId,
        /// Its incarnation; the default if that is not known.
        incarnation: quantity::Incarnation,
        /// When it was noticed.
        at_ms: u64,
        /// The daemon that reports it; `None` if it is of an earlier release.
        reporter: Option<id::DaemonId>,
        /// The suspects.
        suspects: Vec<suspect::SuspectId>,
    },
    /// A response to a request with this suspect survived.
    Survival {
        /// The suspect.
        suspect: suspect::SuspectId,
        /// When the last such response survived.
        at_ms: u64,
    },
    /// A suspect is quarantined.
    Verdict {
        /// The suspect.
        suspect: suspect::SuspectId,
        /// Since when.
        since_ms: u64,
        /// When one request with the suspect may be sent, to test the verdict.
        next_test_ms: u64,
    },
    /// A replica answered a request that was sent after its crash was reported.
    Alive {
        /// The replica.
        replica: id::ReplicaId,
        /// Its incarnation.
        incarnation: quantity::Incarnation,
        /// When the crash that did not happen was noticed.
        crash_ms: u64,
    },
}

/// How a daemon learned of a notice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoticeSource {
    /// By its own requests. It is sent to all daemons of the group.
    Local,
    /// From a daemon of the group. The group's aggregator passes it on to other groups.
    Member,
    /// From another group.
    Remote,
}

/// A notice that is announced until a time.
#[derive(Clone, Debug)]
struct OutgoingNotice {
    notice: QuarantineNotice,
    source: NoticeSource,
    until: time::MonotonicTime,
    /// When the notice is due to be sent to the daemons of the group.
    member_due_at: time::MonotonicTime,
    /// When the notice is due to be sent to other groups.
    group_due_at: time::MonotonicTime,
}

/// Notices that are being announced.
#[derive(Clone, Debug, Default)]
pub(super) struct NoticeQueue {
    outgoing: Vec<OutgoingNotice>,
    /// Number of notices for the daemons of this group so far.
    pub(super) version: u64,
    /// Number of notices for other groups so far.
    pub(super) group_version: u64,
}

impl NoticeQueue {
    /// Announces a notice.
    pub(super) fn push(
        &mut self,
        notice: QuarantineNotice,
        source: NoticeSource,
        now: time::MonotonicTime,
    ) {
        self.group_version += 1;
        if source == NoticeSource::Local {
            self.version += 1;
        }
        if self.outgoing.len() == MAX_NOTICES {
            self.outgoing.remove(0);
        }
        let is_crash = matches!(notice, QuarantineNotice::Crash { .. });
        let until = now + if is_crash { CRASH_REPEAT_TIME } else { NOTICE_REPEAT_TIME };
        let (member_due_at, group_due_at) = (now, now);
        self.outgoing.push(OutgoingNotice { notice, source, until, member_due_at, group_due_at });
    }

    /// Withdraws this daemon's notices of a crash and returns their suspects.
    pub(super) fn withdraw_crash(
        &mut self,
        replica: &id::ReplicaId,
        incarnation: quantity::Incarnation,
    ) -> Vec<suspect::SuspectId> {
        let is_same = |outgoing: &mut OutgoingNotice| match &outgoing.notice {
            QuarantineNotice::Crash { replica: other, incarnation: other_incarnation, .. } => {
                outgoing.source == NoticeSource::Local
                    && other == replica
                    && *other_incarnation == incarnation
            }
            _ => false,
        };
        let withdrawn = self.outgoing.extract_if(.., is_same);
        let suspects = withdrawn.flat_map(|outgoing| match outgoing.notice {
            QuarantineNotice::Crash { suspects, .. } => suspects,
            _ => Vec::new(),
        });
        suspects.collect()
    }

    /// Drops notices that were repeated long enough.
    pub(super) fn sweep(&mut self, now: time::MonotonicTime) {
        self.outgoing.retain(|outgoing| now < outgoing.until);
    }

    /// Returns the notices that are due to be sent to the daemons of this group.
    pub(super) fn take_member_notices(
        &mut self,
        now: time::MonotonicTime,
    ) -> Vec<QuarantineNotice> {
        let local =
            self.outgoing.iter_mut().filter(|outgoing| outgoing.source == NoticeSource::Local);
        take_due(local.map(|outgoing| (&outgoing.notice, &mut outgoing.member_due_at)), now)
    }

    /// Returns the notices that are due to be sent to other groups.
    pub(super) fn take_group_notices(&mut self, now: time::MonotonicTime) -> Vec<QuarantineNotice> {
        let all = self.outgoing.iter_mut();
        take_due(all.map(|outgoing| (&outgoing.notice, &mut outgoing.group_due_at)), now)
    }
}

/// Returns the notices that are due, and sets when they are due again.
fn take_due<'a>(
    notices: impl Iterator<Item = (&'a QuarantineNotice, &'a mut time::MonotonicTime)>,
    now: time::MonotonicTime,
) -> Vec<QuarantineNotice> {
    let due = notices.filter(|(_, due_at)| now >= **due_at);
    due.map(|(notice, due_at)| {
        *due_at = now + NOTICE_INTERVAL;
        notice.clone()
    })
    .collect()
}

/// Notice about segments, as all releases encode it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum SegmentNoticeWire {
    /// [`QuarantineNotice::Crash`].
    Crash {
        /// The replica.
        replica: id::ReplicaId,
        /// Its incarnation.
        incarnation: quantity::Incarnation,
        /// When it was noticed.
        at_ms: u64,
        /// The segments.
        suspects: Vec<u64>,
    },
    /// [`QuarantineNotice::Survival`].
    Survival {
        /// The segment.
        segment: u64,
        /// When the last such response survived.
        at_ms: u64,
    },
    /// [`QuarantineNotice::Verdict`].
    Verdict {
        /// The segment.
        segment: u64,
        /// Since when.
        since_ms: u64,
        /// When the verdict may be tested.
        next_test_ms: u64,
    },
}

/// What earlier releases don't know: notices about requests, and who reports a crash.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum RequestNoticeWire {
    /// [`QuarantineNotice::Crash`]; its segments are in the [`SegmentNoticeWire`] of the same crash.
    Crash {
        /// The replica.
        replica: id::ReplicaId,
        /// Its incarnation.
        incarnation: quantity::Incarnation,
        /// When it was noticed.
        at_ms: u64,
        /// The daemon that reports it.
        reporter: Option<id::DaemonId>,
        /// Fingerprints of the requests.
        requests: Vec<[u8; 16]>,
    },
    /// [`QuarantineNotice::Survival`].
    Survival {
        /// Fingerprint of the request.
        request: [u8; 16],
        /// When the last such response survived.
        at_ms: u64,
    },
    /// [`QuarantineNotice::Verdict`].
    Verdict {
        /// Fingerprint of the request.
        request: [u8; 16],
        /// Since when.
        since_ms: u64,
        /// When the verdict may be tested.
        next_test_ms: u64,
    },
    /// [`QuarantineNotice::Alive`].
    Alive {
        /// The replica.
        replica: id::ReplicaId,
        /// Its incarnation.
        incarnation: quantity::Incarnation,
        /// When the crash that did not happen was noticed.
        crash_ms: u64,
    },
}

/// Encoded form of several notices.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct NoticesWire {
    /// Notices that all releases read.
    pub segments: Vec<SegmentNoticeWire>,
    /// Notices that earlier releases ignore.
    pub requests: Vec<RequestNoticeWire>,
}

fn encode_fingerprint(fingerprint: suspect::RequestFingerprint) -> [u8; 16] {
    fingerprint.bits().to_le_bytes()
}

fn decode_fingerprint(bytes: [u8; 16]) -> suspect::SuspectId {
    suspect::SuspectId::Request(suspect::RequestFingerprint::new(u128::from_le_bytes(bytes)))
}

impl From<&[QuarantineNotice]> for NoticesWire {
    fn from(notices: &[QuarantineNotice]) -> Self {
        let mut wire = NoticesWire::default();
        for notice in notices {
            wire.push(notice);
        }
        wire
    }
}

impl NoticesWire {
    fn push(&mut self, notice: &QuarantineNotice) {
        match notice.clone() {
            QuarantineNotice::Crash { replica, incarnation, at_ms, reporter, suspects } => {
                let (mut segments, mut requests) = (Vec::new(), Vec::new());
                for suspect in suspects {
                    match suspect {
                        suspect::SuspectId::Segment(hash) => segments.push(hash),
                        suspect::SuspectId::Request(fingerprint) => {
                            requests.push(encode_fingerprint(fingerprint))
                        }
                    }
                }
                if !segments.is_empty() {
                    let (replica, suspects) = (replica.clone(), segments);
                    let crash = SegmentNoticeWire::Crash { replica, incarnation, at_ms, suspects };
                    self.segments.push(crash);
                }
                let crash =
                    RequestNoticeWire::Crash { replica, incarnation, at_ms, reporter, requests };
                self.requests.push(crash);
            }
            QuarantineNotice::Survival { suspect: suspect::SuspectId::Segment(segment), at_ms } => {
                self.segments.push(SegmentNoticeWire::Survival { segment, at_ms });
            }
            QuarantineNotice::Survival {
                suspect: suspect::SuspectId::Request(fingerprint),
                at_ms,
            } => {
                let request = encode_fingerprint(fingerprint);
                self.requests.push(RequestNoticeWire::Survival { request, at_ms });
            }
            QuarantineNotice::Verdict { suspect, since_ms, next_test_ms } => match suspect {
                suspect::SuspectId::Segment(segment) => {
                    let verdict = SegmentNoticeWire::Verdict { segment, since_ms, next_test_ms };
                    self.segments.push(verdict);
                }
                suspect::SuspectId::Request(fingerprint) => {
                    let request = encode_fingerprint(fingerprint);
                    let verdict = RequestNoticeWire::Verdict { request, since_ms, next_test_ms };
                    self.requests.push(verdict);
                }
            },
            QuarantineNotice::Alive { replica, incarnation, crash_ms } => {
                let alive = RequestNoticeWire::Alive { replica, incarnation, crash_ms };
                self.requests.push(alive);
            }
        }
    }

    /// Takes the segments of the crash that a request notice names.
    fn take_segments(
        segments: &mut Vec<SegmentNoticeWire>,
        (replica, incarnation, at_ms): (&id::ReplicaId, quantity::Incarnation, u64),
    ) -> Vec<suspect::SuspectId> {
        let is_same = |notice: &SegmentNoticeWire| {
            matches!(notice, SegmentNoticeWire::Crash { replica: other, incarnation: other_incarnation, at_ms: other_ms, .. }
                if other == replica && *other_incarnation == incarnation && *other_ms == at_ms)
        };
        let Some(index) = segments.iter().position(is_same) else { return Vec::new() };
        match segments.remove(index) {
            SegmentNoticeWire::Crash { suspects, .. } => {
                suspects.into_iter().map(suspect::SuspectId::Segment).collect()
            }
            _ => Vec::new(),
        }
    }
}

impl From<NoticesWire> for Vec<QuarantineNotice> {
    fn from(wire: NoticesWire) -> Self {
        let NoticesWire { mut segments, requests } = wire;
        let mut notices = Vec::with_capacity(segments.len() + requests.len());
        for request in requests {
            notices.push(match request {
                RequestNoticeWire::Crash { replica, incarnation, at_ms, reporter, requests } => {
                    let key = (&replica, incarnation, at_ms);
                    let mut suspects = NoticesWire::take_segments(&mut segments, key);
                    suspects.extend(requests.into_iter().map(decode_fingerprint));
                    QuarantineNotice::Crash { replica, incarnation, at_ms, reporter, suspects }
                }
                RequestNoticeWire::Survival { request, at_ms } => {
                    QuarantineNotice::Survival { suspect: decode_fingerprint(request), at_ms }
                }
                RequestNoticeWire::Verdict { request, since_ms, next_test_ms } => {
                    let suspect = decode_fingerprint(request);
                    QuarantineNotice::Verdict { suspect, since_ms, next_test_ms }
                }
                RequestNoticeWire::Alive { replica, incarnation, crash_ms } => {
                    QuarantineNotice::Alive { replica, incarnation, crash_ms }
                }
            });
        }
        notices.extend(segments.into_iter().map(QuarantineNotice::from));
        notices
    }
}

impl From<SegmentNoticeWire> for QuarantineNotice {
    fn from(wire: SegmentNoticeWire) -> Self {
        match wire {
            SegmentNoticeWire::Crash { replica, incarnation, at_ms, suspects } => {
                let suspects = suspects.into_iter().map(suspect::SuspectId::Segment).collect();
                QuarantineNotice::Crash { replica, incarnation, at_ms, reporter: None, suspects }
            }
            SegmentNoticeWire::Survival { segment, at_ms } => {
                QuarantineNotice::Survival { suspect: suspect::SuspectId::Segment(segment), at_ms }
            }
            SegmentNoticeWire::Verdict { segment, since_ms, next_test_ms } => {
                let suspect = suspect::SuspectId::Segment(segment);
                QuarantineNotice::Verdict { suspect, since_ms, next_test_ms }
            }
        }
    }
}
