//! Quarantine of prompt segments under which replicas crash.
//!
//! A crash ends all requests of a replica, and sound requests share most segments with the one that
//! caused it. The segment at fault is the one with which no response ever goes on: crashes count
//! against the segments of the requests that had not gone on at the replica, a response that goes on
//! clears its segments, and crashes that one segment explains don't count against others.
//!
//! Daemons tell each other of crashes, of suspects that went on, and of verdicts. The load pattern
//! that matters is a few bad requests a second at any daemon, beside many sound ones that share their
//! other segments.

use std::collections;
use std::fmt;
use std::hash::Hasher as _;
use std::num;
use std::str;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use serde::Deserialize;
use serde::Serialize;
use siphasher::sip;
use smallvec::SmallVec;

use crate::clock_instant;
use crate::selection;

/// Number of crashes with a segment that never went on after which it is quarantined.
const NEW_SEGMENT_CRASHES: usize = 4;
/// Number of crashes, since it last went on, after which a segment that did is quarantined.
const KNOWN_SEGMENT_CRASHES: usize = 5;
/// Time after the last of these crashes in which other daemons can say that they saw the segment go
/// on.
const NEW_SEGMENT_SETTLE: time::Millis = time::Millis::new(600);
/// The same for a segment that went on before, which may be popular: some request with it goes on in
/// this time.
const KNOWN_SEGMENT_SETTLE: time::Millis = time::Millis::new(1_500);
/// Time for which crashes count, and for which a segment that went on may be sent again after a
/// crash.
const EVIDENCE_TIME: time::Millis = time::Millis::new(600_000);
/// Time within which reports of a replica without a known incarnation are of one crash. It is back
/// later than that.
const SAME_CRASH_TIME: time::Millis = time::Millis::new(1_000);
/// Number of crashes that are remembered.
const MAX_CRASHES: usize = 256;
/// Number of suspects of one crash.
const MAX_SUSPECTS: usize = 64;
/// Number of suspects of one crash that a daemon reports.
const MAX_REPORTED_SUSPECTS: usize = 16;
/// Number of quarantined segments.
const MAX_VERDICTS: usize = 64;
/// Number of segments in each of the two generations of those that went on.
const GENERATION_SIZE: usize = 4_096;
/// Time until the first test of a verdict, and the longest time between two tests.
const TEST_INTERVALS: (time::Millis, time::Millis) =
    (time::Millis::new(300_000), time::Millis::new(3_600_000));
/// Time until the first test of a verdict on several segments, of which all but one may be sound.
const TIED_TEST_INTERVAL: time::Millis = time::Millis::new(10_000);
/// Time without refused requests after which a verdict is forgotten.
const VERDICT_MEMORY: time::Millis = time::Millis::new(1_800_000);
/// Time for which a notice is repeated, as datagrams get lost.
const NOTICE_REPEAT_TIME: time::Millis = time::Millis::new(2_000);
/// Interval between two sends of a notice.
const NOTICE_INTERVAL: time::Millis = time::Millis::new(500);
/// Number of notices that are repeated; the newest ones are.
const MAX_NOTICES: usize = 128;
/// Longest delay before a daemon says that a suspect went on. Most daemons then have heard so from
/// another one.
const MAX_SURVIVAL_DELAY: time::Millis = time::Millis::new(300);
/// Shortest time between two announcements of the same verdict or of the same segment going on.
const ANNOUNCEMENT_INTERVAL: time::Millis = time::Millis::new(1_000);
/// Time after which a verdict by which requests are refused is announced again.
const REFRESH_INTERVAL: time::Millis = time::Millis::new(60_000);

/// Segment of prompts, by the hash of its name.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct SegmentId(u64);

impl SegmentId {
    /// Creates the ID of a segment from the hash of its name.
    pub const fn new(hash: u64) -> Self {
        SegmentId(hash)
    }
}

impl fmt::Display for SegmentId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl str::FromStr for SegmentId {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, num::ParseIntError> {
        u64::from_str_radix(text, 16).map(SegmentId)
    }
}

/// Some segments.
pub type SegmentIds = SmallVec<[SegmentId; 4]>;

/// Returns the segments of a prompt that other requests may share: all but the last one.
pub fn shared_segments(prompt: Option<&selection::PromptSize>) -> SegmentIds {
    let segments = prompt.map_or(&[][..], |prompt| &prompt.segments);
    let shared = segments.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(|segment| SegmentId::new(segment.hash)).collect()
}

/// Returns all segments of a prompt. The last one may become a shared one as a session goes on.
pub fn all_segments(prompt: Option<&selection::PromptSize>) -> SegmentIds {
    let segments = prompt.map_or(&[][..], |prompt| &prompt.segments);
    segments.iter().map(|segment| SegmentId::new(segment.hash)).collect()
}

/// What a daemon tells its peers about crashes and segments. All times are in milliseconds since the
/// Unix epoch.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum QuarantineNotice {
    /// A replica crashed under requests with these segments, which had not gone on there.
    Crash {
        /// The replica.
        replica: id::ReplicaId,
        /// Its incarnation; the default if that is not known.
        incarnation: quantity::Incarnation,
        /// When it was noticed.
        at_ms: u64,
        /// The segments.
        suspects: Vec<SegmentId>,
    },
    /// A response to a request with this segment went on.
    Survival {
        /// The segment.
        segment: SegmentId,
        /// When the last such response went on.
        at_ms: u64,
    },
    /// A segment is quarantined.
    Verdict {
        /// The segment.
        segment: SegmentId,
        /// Since when.
        since_ms: u64,
        /// When one request with the segment may be sent, to test the verdict.
        next_test_ms: u64,
    },
}

/// How a daemon learned of a notice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoticeSource {
    /// By its own requests. It tells all daemons of its group.
    Local,
    /// From a daemon of its group. The group's aggregator passes it on to other groups.
    Member,
    /// From another group.
    Remote,
}

/// Change of the quarantine, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineChange {
    /// A segment was quarantined after this many crashes; 0 if a peer said so.
    Quarantined(SegmentId, usize),
    /// The verdict on a segment was lifted, since a response with it went on or an operator said so.
    Released(SegmentId),
}

/// Changes that result from one observation.
pub type QuarantineChanges = SmallVec<[QuarantineChange; 2]>;

/// A crash of a replica.
#[derive(Clone, Debug)]
struct CrashRecord {
    replica: id::ReplicaId,
    incarnation: quantity::Incarnation,
    at_ms: u64,
    learned_at: time::MonotonicTime,
    suspects: Vec<SegmentId>,
}

/// Verdict on a segment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SegmentVerdict {
    /// Since when the segment is quarantined, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// When one request with it may be sent, in milliseconds since the Unix epoch.
    pub next_test_ms: u64,
    /// When this daemon last refused a request by the verdict, or heard of it.
    used_at: time::MonotonicTime,
    announced_at: time::MonotonicTime,
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

/// A notice that a suspect went on, which is not sent yet.
#[derive(Clone, Copy, Debug)]
struct PendingSurvival {
    due_at: time::MonotonicTime,
    /// Time of the crash or verdict that the survival must follow to matter, in milliseconds since the
    /// Unix epoch.
    needed_ms: u64,
}

/// When segments last went on, in milliseconds since the Unix epoch. Segments that are not seen for
/// two generations are forgotten.
#[derive(Clone, Debug, Default)]
struct SurvivorMemory {
    current: collections::HashMap<SegmentId, u64>,
    previous: collections::HashMap<SegmentId, u64>,
}

impl SurvivorMemory {
    fn insert(&mut self, segment: SegmentId, at_ms: u64) {
        if self.current.len() >= GENERATION_SIZE && !self.current.contains_key(&segment) {
            self.previous = std::mem::take(&mut self.current);
        }
        let last_ms = self.current.entry(segment).or_default();
        *last_ms = at_ms.max(*last_ms);
    }

    fn get(&self, segment: SegmentId) -> Option<u64> {
        let last_ms = self.current.get(&segment).or_else(|| self.previous.get(&segment));
        last_ms.copied()
    }
}

/// Crashes, suspects and verdicts that a daemon knows.
#[derive(Clone, Debug, Default)]
pub struct QuarantineTable {
    /// Crashes from the oldest to the newest.
    crashes: Vec<CrashRecord>,
    survivors: SurvivorMemory,
    verdicts: collections::BTreeMap<SegmentId, SegmentVerdict>,
    outgoing: Vec<OutgoingNotice>,
    /// When this daemon last announced that a suspect went on.
    announced_survivals: collections::BTreeMap<SegmentId, time::MonotonicTime>,
    /// Suspects that went on, which other daemons may not know.
    pending_survivals: collections::BTreeMap<SegmentId, PendingSurvival>,
    /// When a daemon last joined, which does not know the verdicts.
    joined_at: Option<time::MonotonicTime>,
    /// Number of notices for the daemons of this group.
    version: u64,
    /// Number of notices for other groups.
    group_version: u64,
}

impl QuarantineTable {
    /// Observes that a replica crashed under requests with these segments, which had not gone on.
    pub fn observe_crash(
        &mut self,
        replica: &id::ReplicaId,
        incarnation: quantity::Incarnation,
        suspects: &[SegmentId],
        instant: clock_instant::ClockInstant,
    ) -> QuarantineChanges {
        let mut suspects: Vec<SegmentId> = suspects.to_vec();
        self.limit_suspects(&mut suspects);
        let notice = QuarantineNotice::Crash {
            replica: replica.clone(),
            incarnation,
            at_ms: instant.unix_ms,
            suspects,
        };
        self.observe_notice(&notice, NoticeSource::Local, instant)
    }

    /// Keeps the suspects that a daemon reports. Those that never went on are more likely at fault.
    fn limit_suspects(&self, suspects: &mut Vec<SegmentId>) {
        suspects.sort_by_key(|segment| (self.survivors.get(*segment), *segment));
        suspects.dedup();
        suspects.truncate(MAX_REPORTED_SUSPECTS);
    }

    /// Observes that a response to a request with these segments went on.
    pub fn observe_survival(
        &mut self,
        segments: &[SegmentId],
        instant: clock_instant::ClockInstant,
    ) -> QuarantineChanges {
        let mut changes = QuarantineChanges::new();
        for segment in segments {
            let suspected_ms = self.suspected_ms(*segment);
            self.survivors.insert(*segment, instant.unix_ms);
            if let Some(suspected_ms) = suspected_ms {
                changes.extend(self.clear(*segment, instant.unix_ms));
                self.schedule_survival(*segment, suspected_ms, instant.now);
            }
        }
        changes
    }

    /// Lifts the verdict on a segment, as an operator said.
    pub fn release(
        &mut self,
        segment: SegmentId,
        instant: clock_instant::ClockInstant,
    ) -> QuarantineChanges {
        self.observe_survival(&[segment], instant)
    }

    /// Observes a notice.
    pub fn observe_notice(
        &mut self,
        notice: &QuarantineNotice,
        source: NoticeSource,
        instant: clock_instant::ClockInstant,
    ) -> QuarantineChanges {
        let mut changes = QuarantineChanges::new();
        let is_news = match notice {
            QuarantineNotice::Crash { replica, incarnation, at_ms, suspects } => {
                self.add_crash(replica, *incarnation, *at_ms, suspects, instant)
            }
            QuarantineNotice::Survival { segment, at_ms } => {
                let is_news = self.survivors.get(*segment).is_none_or(|last_ms| *at_ms > last_ms);
                if is_news {
                    self.survivors.insert(*segment, *at_ms);
                    changes.extend(self.clear(*segment, *at_ms));
                }
                let pending = self.pending_survivals.get(segment);
                if pending.is_some_and(|pending| *at_ms > pending.needed_ms) {
                    self.pending_survivals.remove(segment);
                }
                is_news
            }
            QuarantineNotice::Verdict { segment, since_ms, next_test_ms } => {
                self.adopt_verdict(*segment, (*since_ms, *next_test_ms), instant, &mut changes)
            }
        };
        if is_news && source != NoticeSource::Remote {
            self.announce(notice.clone(), source, instant.now);
        }
        changes
    }

    /// Adds a crash or further suspects of a known one. Returns whether there was something to add.
    fn add_crash(
        &mut self,
        replica: &id::ReplicaId,
        incarnation: quantity::Incarnation,
        at_ms: u64,
        suspects: &[SegmentId],
        instant: clock_instant::ClockInstant,
    ) -> bool {
        let quarantined: SegmentIds =
            suspects.iter().copied().filter(|s| self.verdicts.contains_key(s)).collect();
        for segment in quarantined {
            // The daemon that reports it may not know the verdict.
            self.announce_verdict(segment, instant.now);
        }
        let is_unknown = incarnation == quantity::Incarnation::default();
        let is_same = |crash: &CrashRecord| {
            crash.replica == *replica
                && crash.incarnation == incarnation
                && (!is_unknown || crash.at_ms.abs_diff(at_ms) < SAME_CRASH_TIME.get())
        };
        let known_index = self.crashes.iter().position(is_same);
        let mut is_news = known_index.is_none();
        let index = match known_index {
            Some(index) => index,
            None => {
                if self.crashes.len() == MAX_CRASHES {
                    self.crashes.remove(0);
                }
                self.crashes.push(CrashRecord {
                    replica: replica.clone(),
                    incarnation,
                    at_ms,
                    learned_at: instant.now,
                    suspects: Vec::new(),
                });
                self.crashes.len() - 1
            }
        };
        for segment in suspects {
            let last_ms = self.survivors.get(*segment);
            let is_cleared = last_ms.is_some_and(|last_ms| last_ms > self.crashes[index].at_ms);
            if last_ms.is_some() {
                let needed_ms = if is_cleared { self.crashes[index].at_ms } else { 0 };
                self.schedule_survival(*segment, needed_ms, instant.now);
            }
            let crash = &mut self.crashes[index];
            let is_known = crash.suspects.contains(segment);
            if !is_known && !is_cleared && crash.suspects.len() < MAX_SUSPECTS {
                is_news = true;
                crash.suspects.push(*segment);
            }
        }
        is_news
    }

    /// Stops counting the crashes before `at_ms` against a segment, and lifts an earlier verdict.
    fn clear(&mut self, segment: SegmentId, at_ms: u64) -> Option<QuarantineChange> {
        for crash in self.crashes.iter_mut().filter(|crash| crash.at_ms < at_ms) {
            crash.suspects.retain(|suspect| *suspect != segment);
        }
        if self.verdicts.get(&segment).is_none_or(|verdict| verdict.since_ms >= at_ms) {
            return None;
        }
        self.verdicts.remove(&segment);
        Some(QuarantineChange::Released(segment))
    }

    /// Adopts the verdict of a peer. Returns whether it is new or was tested meanwhile.
    fn adopt_verdict(
        &mut self,
        segment: SegmentId,
        (since_ms, next_test_ms): (u64, u64),
        instant: clock_instant::ClockInstant,
        changes: &mut QuarantineChanges,
    ) -> bool {
        if self.survivors.get(segment).is_some_and(|last_ms| last_ms > since_ms) {
            self.schedule_survival(segment, since_ms, instant.now);
            return false;
        }
        match self.verdicts.get_mut(&segment) {
            Some(verdict) => {
                verdict.used_at = instant.now;
                let is_news = next_test_ms > verdict.next_test_ms;
                verdict.next_test_ms = verdict.next_test_ms.max(next_test_ms);
                is_news
            }
            None => {
                self.add_verdict(segment, (since_ms, next_test_ms), instant.now);
                changes.push(QuarantineChange::Quarantined(segment, 0));
                true
            }
        }
    }

    fn add_verdict(
        &mut self,
        segment: SegmentId,
        (since_ms, next_test_ms): (u64, u64),
        now: time::MonotonicTime,
    ) {
        if self.verdicts.len() >= MAX_VERDICTS
            && let Some((oldest, _)) = self.verdicts.iter().min_by_key(|(_, v)| v.used_at)
        {
            let oldest = *oldest;
            self.verdicts.remove(&oldest);
        }
        let verdict = SegmentVerdict { since_ms, next_test_ms, used_at: now, announced_at: now };
        self.verdicts.insert(segment, verdict);
        // The segment explains the crashes; other suspects of them are not at fault.
        self.crashes.retain(|crash| !crash.suspects.contains(&segment));
    }

    /// Quarantines the segments that the crashes speak against. To be called several times a second.
    pub fn evaluate(&mut self, instant: clock_instant::ClockInstant) -> QuarantineChanges {
        let now = instant.now;
        self.crashes.retain(|crash| now.since(crash.learned_at) < EVIDENCE_TIME);
        self.announce_survivals(now);
        let mut changes = QuarantineChanges::new();
        let found = self.find_culprits(now);
        let interval = if found.len() > 1 { TIED_TEST_INTERVAL } else { TEST_INTERVALS.0 };
        for (segment, crashes) in found {
            let since_ms = instant.unix_ms;
            self.add_verdict(segment, (since_ms, since_ms + interval.get()), now);
            self.announce_verdict_now(segment, now);
            changes.push(QuarantineChange::Quarantined(segment, crashes));
        }
        changes
    }

    /// Returns the segments to quarantine, with the number of their crashes.
    fn find_culprits(&self, now: time::MonotonicTime) -> SmallVec<[(SegmentId, usize); 2]> {
        if self.crashes.len() < NEW_SEGMENT_CRASHES {
            return SmallVec::new();
        }
        let mut learned: collections::BTreeMap<SegmentId, Vec<time::MonotonicTime>> =
            collections::BTreeMap::new();
        for crash in self.crashes.iter().filter(|crash| !self.is_explained(crash)) {
            for segment in &crash.suspects {
                learned.entry(*segment).or_default().push(crash.learned_at);
            }
        }
        // Segments that never went on come first, then those with most crashes.
        let rank = |(segment, times): (&SegmentId, &Vec<time::MonotonicTime>)| {
            let is_new = self.survivors.get(*segment).is_none();
            let needed = if is_new { NEW_SEGMENT_CRASHES } else { KNOWN_SEGMENT_CRASHES };
            (times.len() >= needed).then_some((is_new, times.len()))
        };
        let Some(best) = learned.iter().filter_map(rank).max() else { return SmallVec::new() };
        let (needed, settle) = match best.0 {
            true => (NEW_SEGMENT_CRASHES, NEW_SEGMENT_SETTLE),
            false => (KNOWN_SEGMENT_CRASHES, KNOWN_SEGMENT_SETTLE),
        };
        let is_settled = |times: &Vec<time::MonotonicTime>| {
            let mut times = times.clone();
            times.sort_unstable();
            now.since(times[needed - 1]) >= settle
        };
        let tied = learned.iter().filter(|entry| rank(*entry) == Some(best));
        tied.filter(|(_, times)| is_settled(times))
            .map(|(segment, times)| (*segment, times.len()))
            .collect()
    }

    /// Whether a quarantined segment explains a crash.
    fn is_explained(&self, crash: &CrashRecord) -> bool {
        crash.suspects.iter().any(|segment| self.verdicts.contains_key(segment))
    }

    /// Returns when crashes or a verdict last spoke against a segment, in milliseconds since the Unix
    /// epoch.
    fn suspected_ms(&self, segment: SegmentId) -> Option<u64> {
        let verdict_ms = self.verdicts.get(&segment).map(|verdict| verdict.since_ms);
        let crashes = self.crashes.iter().filter(|crash| crash.suspects.contains(&segment));
        crashes.map(|crash| crash.at_ms).max().max(verdict_ms)
    }

    /// Returns a quarantined segment among `segments` and the time until its next test.
    pub fn find_quarantined(
        &self,
        segments: &[SegmentId],
        instant: clock_instant::ClockInstant,
    ) -> Option<(SegmentId, time::Millis)> {
        if self.verdicts.is_empty() {
            return None;
        }
        let verdicts = segments.iter().filter_map(|segment| {
            let verdict = self.verdicts.get(segment)?;
            let wait = verdict.next_test_ms.saturating_sub(instant.unix_ms);
            Some((*segment, time::Millis::new(wait)))
        });
        verdicts.max_by_key(|(_, wait)| *wait)
    }

    /// Records that a request was refused by the verdict on a segment.
    pub fn record_refusal(&mut self, segment: SegmentId, now: time::MonotonicTime) {
        let Some(verdict) = self.verdicts.get_mut(&segment) else { return };
        verdict.used_at = now;
        if now.since(verdict.announced_at) >= REFRESH_INTERVAL {
            self.announce_verdict_now(segment, now);
        }
    }

    /// Begins the test of a verdict by one request, if it is due. Only the daemon that holds the duty
    /// lease may call this, so that all daemons together send one request.
    pub fn begin_test(&mut self, segment: SegmentId, instant: clock_instant::ClockInstant) -> bool {
        let Some(verdict) = self.verdicts.get_mut(&segment) else { return false };
        if instant.unix_ms < verdict.next_test_ms {
            return false;
        }
        let (shortest, longest) = TEST_INTERVALS;
        let elapsed = time::Millis::new(instant.unix_ms.saturating_sub(verdict.since_ms));
        let interval = elapsed.clamp(shortest, longest);
        verdict.next_test_ms = instant.unix_ms + interval.get();
        self.announce_verdict_now(segment, instant.now);
        true
    }

    /// Returns whether a request may be sent once more after a replica crashed under it: all of its
    /// shared segments went on, and no more than one crash since speaks against them.
    pub fn may_repeat(&self, shared: &[SegmentId], instant: clock_instant::ClockInstant) -> bool {
        shared.iter().all(|segment| {
            let last_ms = self.survivors.get(*segment);
            let is_known =
                last_ms.is_some_and(|last_ms| instant.unix_ms < last_ms + EVIDENCE_TIME.get());
            let crashes = self
                .crashes
                .iter()
                .filter(|crash| crash.suspects.contains(segment) && !self.is_explained(crash));
            is_known && crashes.take(KNOWN_SEGMENT_CRASHES).count() < KNOWN_SEGMENT_CRASHES
        })
    }

    /// Returns whether one of the segments is quarantined, or crashes speak against it and it never
    /// went on.
    pub fn is_suspect(&self, shared: &[SegmentId], instant: clock_instant::ClockInstant) -> bool {
        if self.crashes.is_empty() && self.verdicts.is_empty() {
            return false;
        }
        let is_new_suspect = |segment: &SegmentId| {
            self.survivors.get(*segment).is_none() && self.suspected_ms(*segment).is_some()
        };
        self.find_quarantined(shared, instant).is_some() || shared.iter().any(is_new_suspect)
    }

    /// Returns the quarantined segments.
    pub fn verdicts(&self) -> impl Iterator<Item = (&SegmentId, &SegmentVerdict)> {
        self.verdicts.iter()
    }

    /// Returns the number of notices for the daemons of this group so far.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of notices for other groups so far, which the aggregator of this group sends.
    pub fn group_version(&self) -> u64 {
        self.group_version
    }

    /// Observes that a daemon joined or restarted, which must learn of all verdicts.
    pub fn on_daemon_joined(&mut self, now: time::MonotonicTime) {
        self.joined_at = Some(now);
    }

    /// Drops verdicts by which no request was refused for long, and notices that were repeated long
    /// enough.
    pub fn sweep(&mut self, now: time::MonotonicTime) -> QuarantineChanges {
        self.outgoing.retain(|outgoing| now < outgoing.until);
        self.announced_survivals
            .retain(|_, announced_at| now.since(*announced_at) < ANNOUNCEMENT_INTERVAL);
        let unused =
            self.verdicts.extract_if(.., |_, verdict| now.since(verdict.used_at) >= VERDICT_MEMORY);
        unused.map(|(segment, _)| QuarantineChange::Released(segment)).collect()
    }

    /// Returns the notices that are due to be sent to the daemons of this group.
    pub fn member_notices(&mut self, now: time::MonotonicTime) -> Vec<QuarantineNotice> {
        let local =
            self.outgoing.iter_mut().filter(|outgoing| outgoing.source == NoticeSource::Local);
        take_due(local.map(|outgoing| (&outgoing.notice, &mut outgoing.member_due_at)), now)
    }

    /// Returns the notices that are due to be sent by the aggregator of this group to other groups.
    pub fn group_notices(&mut self, now: time::MonotonicTime) -> Vec<QuarantineNotice> {
        let all = self.outgoing.iter_mut();
        take_due(all.map(|outgoing| (&outgoing.notice, &mut outgoing.group_due_at)), now)
    }

    /// Returns all verdicts if a daemon joined recently. The first daemon of a group sends them.
    pub fn join_notices(&self, now: time::MonotonicTime) -> Vec<QuarantineNotice> {
        let has_joined = self.joined_at.is_some_and(|at| now.since(at) < NOTICE_REPEAT_TIME);
        let verdicts = self.verdicts.iter().filter(|_| has_joined);
        verdicts.map(|(segment, verdict)| verdict_notice(*segment, verdict)).collect()
    }

    fn announce(
        &mut self,
        notice: QuarantineNotice,
        source: NoticeSource,
        now: time::MonotonicTime,
    ) {
        self.group_version += 1;
        if source == NoticeSource::Local {
            self.version += 1;
        }
        let notice = match source {
            NoticeSource::Local => self.merge_crash(notice),
            _ => notice,
        };
        if self.outgoing.len() == MAX_NOTICES {
            self.outgoing.remove(0);
        }
        let until = now + NOTICE_REPEAT_TIME;
        let (member_due_at, group_due_at) = (now, now);
        self.outgoing.push(OutgoingNotice { notice, source, until, member_due_at, group_due_at });
    }

    /// Replaces this daemon's earlier notice of the same crash by one with the suspects of both.
    fn merge_crash(&mut self, mut notice: QuarantineNotice) -> QuarantineNotice {
        let QuarantineNotice::Crash { replica, incarnation, suspects, .. } = &mut notice else {
            return notice;
        };
        let is_same = |outgoing: &mut OutgoingNotice| match &outgoing.notice {
            QuarantineNotice::Crash { replica: other, incarnation: other_incarnation, .. } => {
                outgoing.source == NoticeSource::Local
                    && other == replica
                    && other_incarnation == incarnation
            }
            _ => false,
        };
        let earlier: Vec<_> = self.outgoing.extract_if(.., is_same).collect();
        for outgoing in earlier {
            if let QuarantineNotice::Crash { suspects: others, .. } = outgoing.notice {
                suspects.extend(others);
            }
        }
        self.limit_suspects(suspects);
        notice
    }

    /// Lets the other daemons know that a suspect went on, unless one of them says so first. The time
    /// of the survival differs from daemon to daemon, and so does the delay; few are short.
    fn schedule_survival(&mut self, segment: SegmentId, needed_ms: u64, now: time::MonotonicTime) {
        let mut hasher = sip::SipHasher13::new();
        hasher.write_u64(segment.0);
        hasher.write_u64(self.survivors.get(segment).unwrap_or_default());
        let draw = hasher.finish() as f64 / u64::MAX as f64;
        let delay_ms = MAX_SURVIVAL_DELAY.get() as f64 * draw.cbrt();
        let due_at = now + time::Millis::new(delay_ms as u64);
        let pending = PendingSurvival { due_at, needed_ms };
        let pending = self.pending_survivals.entry(segment).or_insert(pending);
        pending.needed_ms = pending.needed_ms.max(needed_ms);
    }

    /// Announces the survivals that are due and were not announced recently.
    fn announce_survivals(&mut self, now: time::MonotonicTime) {
        let announced = &self.announced_survivals;
        let is_due = |segment: &SegmentId, pending: &mut PendingSurvival| {
            let announced_at = announced.get(segment);
            now >= pending.due_at
                && announced_at.is_none_or(|at| now.since(*at) >= ANNOUNCEMENT_INTERVAL)
        };
        let due: Vec<_> = self.pending_survivals.extract_if(.., is_due).collect();
        for (segment, _) in due {
            let Some(at_ms) = self.survivors.get(segment) else { continue };
            self.announced_survivals.insert(segment, now);
            self.announce(QuarantineNotice::Survival { segment, at_ms }, NoticeSource::Local, now);
        }
    }

    /// Announces a verdict unless that was done recently.
    fn announce_verdict(&mut self, segment: SegmentId, now: time::MonotonicTime) {
        let verdict = self.verdicts.get(&segment);
        if verdict.is_some_and(|verdict| now.since(verdict.announced_at) >= ANNOUNCEMENT_INTERVAL) {
            self.announce_verdict_now(segment, now);
        }
    }

    fn announce_verdict_now(&mut self, segment: SegmentId, now: time::MonotonicTime) {
        let Some(verdict) = self.verdicts.get_mut(&segment) else { return };
        verdict.announced_at = now;
        let notice = verdict_notice(segment, verdict);
        self.announce(notice, NoticeSource::Local, now);
    }
}

/// Returns the notices that are due, and when they are due again.
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

fn verdict_notice(segment: SegmentId, verdict: &SegmentVerdict) -> QuarantineNotice {
    QuarantineNotice::Verdict {
        segment,
        since_ms: verdict.since_ms,
        next_test_ms: verdict.next_test_ms,
    }
}
