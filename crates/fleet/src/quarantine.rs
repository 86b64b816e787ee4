//! Quarantine of requests and of prompt segments under which replicas crash.
//!
//! A crash ends all requests of a replica. The suspect at fault is the one with which no response ever
//! survives: crashes count against the requests that had not survived at the replica and against the
//! segments of their prompts, a response that survives clears both, and crashes that one suspect
//! explains don't count against others. Daemons announce crashes, survivals and verdicts to each other.
//!
//! Two load patterns matter, each at any daemon beside many sound requests: one request that comes
//! again and again, and a few requests a second that have one segment in common.

mod evidence;
mod notice;

use std::collections;
use std::hash::Hasher as _;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use siphasher::sip;
use smallvec::SmallVec;

pub use self::notice::NoticeSource;
pub use self::notice::NoticesWire;
pub use self::notice::QuarantineNotice;
pub use self::notice::RequestNoticeWire;
pub use self::notice::SegmentNoticeWire;
use crate::clock_instant;
use crate::suspect;

/// Number of quarantined suspects.
const MAX_VERDICTS: usize = 64;
/// Time until the first test of a verdict, and the longest time between two tests.
const TEST_INTERVALS: (time::Millis, time::Millis) =
    (time::Millis::new(300_000), time::Millis::new(3_600_000));
/// Time until the first test of a verdict on several suspects, of which all but one may be sound.
const TIED_TEST_INTERVAL: time::Millis = time::Millis::new(10_000);
/// Time without refused requests after which a verdict is forgotten.
const VERDICT_MEMORY: time::Millis = time::Millis::new(1_800_000);
/// Longest delay before a daemon announces that a suspect survived. Most daemons then have learned so
/// from another one.
const MAX_SURVIVAL_DELAY: time::Millis = time::Millis::new(300);
/// Shortest time between two announcements of the same verdict or of survivals of the same suspect.
const ANNOUNCEMENT_INTERVAL: time::Millis = time::Millis::new(1_000);
/// Time after which a verdict by which requests are refused is announced again.
const REFRESH_INTERVAL: time::Millis = time::Millis::new(60_000);
/// Time for which a daemon's crash reports don't count after one of them proved wrong, and for which
/// they did not count before. Its own path to replicas may be broken.
const DISTRUST_TIME: time::Millis = time::Millis::new(5_000);
/// Time for which a crash report is recent.
const RECENT_REPORT_TIME: time::Millis = time::Millis::new(5_000);
/// Number of crash reports that proved wrong that are remembered.
const MAX_REFUTED: usize = 64;

/// Change of the quarantine, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuarantineChange {
    /// A suspect was quarantined after this many crashes; 0 if a peer announced it.
    Quarantined(suspect::SuspectId, usize),
    /// The verdict on a suspect was lifted: a response with it survived, or an operator lifted it.
    Released(suspect::SuspectId),
    /// A replica that was reported to have crashed is alive; the daemons that reported it.
    Refuted(id::ReplicaId, SmallVec<[id::DaemonId; 2]>),
}

/// Changes that result from one observation.
pub type QuarantineChanges = SmallVec<[QuarantineChange; 2]>;

/// Verdict on a suspect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SuspectVerdict {
    /// Since when the suspect is quarantined, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// When one request with it may be sent, in milliseconds since the Unix epoch.
    pub next_test_ms: u64,
    /// When this daemon last refused a request by the verdict, or received a notice of it.
    used_at: time::MonotonicTime,
    announced_at: time::MonotonicTime,
}

/// A notice that a suspect survived, which is not sent yet.
#[derive(Clone, Copy, Debug)]
struct PendingSurvival {
    due_at: time::MonotonicTime,
    /// Time of the crash or verdict that the survival must follow to matter, in milliseconds since the
    /// Unix epoch.
    needed_ms: u64,
}

/// A crash that was reported and did not happen.
#[derive(Clone, Debug)]
struct RefutedCrash {
    replica: id::ReplicaId,
    incarnation: quantity::Incarnation,
    /// When it was noticed, in milliseconds since the Unix epoch.
    crash_ms: u64,
}

/// Crashes, suspects and verdicts that a daemon knows.
#[derive(Clone, Debug, Default)]
pub struct QuarantineTable {
    /// This daemon; `None` if it does not name itself in its reports.
    daemon: Option<id::DaemonId>,
    evidence: evidence::CrashEvidence,
    verdicts: collections::BTreeMap<suspect::SuspectId, SuspectVerdict>,
    queue: notice::NoticeQueue,
    /// When this daemon last announced that a suspect survived.
    announced_survivals: collections::BTreeMap<suspect::SuspectId, time::MonotonicTime>,
    /// Suspects that survived, which other daemons may not know.
    pending_survivals: collections::BTreeMap<suspect::SuspectId, PendingSurvival>,
    /// The last crashes that did not happen, from the oldest to the newest.
    refuted: Vec<RefutedCrash>,
    /// Daemons whose crash reports don't count, and until when.
    distrusted: collections::BTreeMap<id::DaemonId, time::MonotonicTime>,
    /// When a daemon last joined, which does not know the verdicts.
    joined_at: Option<time::MonotonicTime>,
}

impl QuarantineTable {
    /// Creates the empty table of a daemon.
    pub fn new(daemon: id::DaemonId) -> Self {
        QuarantineTable { daemon: Some(daemon), ..QuarantineTable::default() }
    }

    /// Observes that a replica crashed under requests with these suspects, which had not survived.
    pub fn observe_crash(
        &mut self,
        replica: &id::ReplicaId,
        incarnation: quantity::Incarnation,
        suspects: &[suspect::SuspectId],
        instant: clock_instant::ClockInstant,
    ) -> QuarantineChanges {
        let mut suspects: Vec<_> = suspects.to_vec();
        self.evidence.limit_suspects(&mut suspects);
        let notice = QuarantineNotice::Crash {
            replica: replica.clone(),
            incarnation,
            at_ms: instant.unix_ms,
            reporter: self.daemon.clone(),
            suspects,
        };
        self.observe_notice(&notice, NoticeSource::Local, instant)
    }

    /// Observes that a response to a request with these suspects survived.
    pub fn observe_survival(
        &mut self,
        suspects: &[suspect::SuspectId],
        instant: clock_instant::ClockInstant,
    ) -> QuarantineChanges {
        let mut changes = QuarantineChanges::new();
        for suspect in suspects {
            let suspected_ms = self.suspected_ms(*suspect);
            self.evidence.record_survival(*suspect, instant.unix_ms);
            if let Some(suspected_ms) = suspected_ms {
                changes.extend(self.clear(*suspect, instant.unix_ms));
                self.schedule_survival(*suspect, suspected_ms, instant.now);
            }
        }
        changes
    }

    /// Lifts the verdict on a suspect for an operator.
    pub fn release(
        &mut self,
        suspect: suspect::SuspectId,
        instant: clock_instant::ClockInstant,
    ) -> QuarantineChanges {
        self.observe_survival(&[suspect], instant)
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
            QuarantineNotice::Crash { replica, incarnation, at_ms, reporter, suspects } => {
                let reporter = reporter.as_ref();
                let crash = (replica, *incarnation, *at_ms);
                self.is_credible(crash, reporter, instant.now)
                    && self.add_crash(crash, reporter, suspects, instant)
            }
            QuarantineNotice::Survival { suspect, at_ms } => {
                let last_ms = self.evidence.last_survival(*suspect);
                let is_news = last_ms.is_none_or(|last_ms| *at_ms > last_ms);
                if is_news {
                    self.evidence.record_survival(*suspect, *at_ms);
                    changes.extend(self.clear(*suspect, *at_ms));
                }
                let pending = self.pending_survivals.get(suspect);
                if pending.is_some_and(|pending| *at_ms > pending.needed_ms) {
                    self.pending_survivals.remove(suspect);
                }
                is_news
            }
            QuarantineNotice::Verdict { suspect, since_ms, next_test_ms } => {
                self.adopt_verdict(*suspect, (*since_ms, *next_test_ms), instant, &mut changes)
            }
            QuarantineNotice::Alive { replica, incarnation, crash_ms } => {
                self.refute((replica, *incarnation, *crash_ms), instant.now, &mut changes)
            }
        };
        if is_news && source != NoticeSource::Remote {
            self.announce(notice.clone(), source, instant.now);
        }
        changes
    }

    /// Returns whether the report of a crash counts.
    fn is_credible(
        &self,
        (replica, incarnation, at_ms): (&id::ReplicaId, quantity::Incarnation, u64),
        reporter: Option<&id::DaemonId>,
        now: time::MonotonicTime,
    ) -> bool {
        let is_refuted = self.refuted.iter().any(|refuted| {
            refuted.replica == *replica
                && refuted.incarnation == incarnation
                && at_ms < refuted.crash_ms + evidence::SAME_CRASH_TIME.get()
        });
        !is_refuted && reporter.is_none_or(|reporter| self.trusts(reporter, now))
    }

    fn trusts(&self, daemon: &id::DaemonId, now: time::MonotonicTime) -> bool {
        self.distrusted.get(daemon).is_none_or(|until| now >= *until)
    }

    /// Returns whether this daemon's own reports count.
    pub fn trusts_itself(&self, now: time::MonotonicTime) -> bool {
        self.daemon.as_ref().is_none_or(|daemon| self.trusts(daemon, now))
    }

    /// Adds a crash or further suspects of a known one. Returns whether there was something to add.
    fn add_crash(
        &mut self,
        (replica, incarnation, at_ms): (&id::ReplicaId, quantity::Incarnation, u64),
        reporter: Option<&id::DaemonId>,
        suspects: &[suspect::SuspectId],
        instant: clock_instant::ClockInstant,
    ) -> bool {
        let (index, mut is_news) =
            self.evidence.record_of(replica, incarnation, at_ms, instant.now);
        if let Some(reporter) = reporter {
            self.evidence.add_reporter(index, reporter);
        }
        let crash_ms = self.evidence.crash_ms(index);
        for suspect in suspects {
            let last_ms = self.evidence.last_survival(*suspect);
            let is_cleared = last_ms.is_some_and(|last_ms| last_ms > crash_ms);
            if last_ms.is_some() {
                let needed_ms = if is_cleared { crash_ms } else { 0 };
                self.schedule_survival(*suspect, needed_ms, instant.now);
            }
            is_news |= !is_cleared && self.evidence.add_suspect(index, *suspect);
        }
        let quarantined = suspects.iter().filter(|suspect| self.verdicts.contains_key(suspect));
        let quarantined: suspect::SuspectIds = quarantined.copied().collect();
        for suspect in quarantined {
            self.evidence.explain(suspect);
            // The daemon that reports the crash may not know the verdict.
            self.announce_verdict(suspect, instant.now);
        }
        is_news
    }

    /// Drops a crash that did not happen, with the other recent reports of its reporters. Returns
    /// whether that was not known.
    fn refute(
        &mut self,
        (replica, incarnation, crash_ms): (&id::ReplicaId, quantity::Incarnation, u64),
        now: time::MonotonicTime,
        changes: &mut QuarantineChanges,
    ) -> bool {
        let is_known = self.refuted.iter().any(|refuted| {
            refuted.replica == *replica
                && refuted.incarnation == incarnation
                && refuted.crash_ms + evidence::SAME_CRASH_TIME.get() >= crash_ms
        });
        if is_known {
            return false;
        }
        if self.refuted.len() == MAX_REFUTED {
            self.refuted.remove(0);
        }
        let replica = replica.clone();
        let reporters = self.evidence.remove_crash(&replica, incarnation, crash_ms);
        self.refuted.push(RefutedCrash { replica: replica.clone(), incarnation, crash_ms });
        for reporter in &reporters {
            self.distrusted.insert(reporter.clone(), now + DISTRUST_TIME);
        }
        let since = time::MonotonicTime::new(now.get().saturating_sub(DISTRUST_TIME.get()));
        self.evidence.remove_reports(&reporters, since);
        changes.push(QuarantineChange::Refuted(replica, reporters));
        true
    }

    /// Drops the crashes of replicas that have answered since. `last_answered` returns when the last
    /// request that an incarnation of a replica answered was sent, by the clock of this daemon.
    pub fn refute_answered(
        &mut self,
        last_answered: impl Fn(&id::ReplicaId, quantity::Incarnation) -> Option<time::MonotonicTime>,
        instant: clock_instant::ClockInstant,
    ) -> QuarantineChanges {
        let mut changes = QuarantineChanges::new();
        let answered = self.evidence.crashes().iter().filter(|crash| {
            // A replica without a known incarnation may have started again later.
            let is_unknown = crash.incarnation == quantity::Incarnation::default();
            let is_same_start = |sent_at: time::MonotonicTime| {
                !is_unknown || sent_at.since(crash.learned_at) < evidence::SAME_CRASH_TIME
            };
            let sent_at = last_answered(&crash.replica, crash.incarnation);
            sent_at.is_some_and(|sent_at| sent_at > crash.learned_at && is_same_start(sent_at))
        });
        let notices: Vec<_> = answered
            .map(|crash| QuarantineNotice::Alive {
                replica: crash.replica.clone(),
                incarnation: crash.incarnation,
                crash_ms: crash.at_ms,
            })
            .collect();
        for notice in notices {
            changes.extend(self.observe_notice(&notice, NoticeSource::Local, instant));
        }
        changes
    }

    /// Stops counting the crashes before `at_ms` against a suspect, and lifts an earlier verdict.
    fn clear(&mut self, suspect: suspect::SuspectId, at_ms: u64) -> Option<QuarantineChange> {
        self.evidence.clear(suspect, at_ms);
        if self.verdicts.get(&suspect).is_none_or(|verdict| verdict.since_ms >= at_ms) {
            return None;
        }
        self.verdicts.remove(&suspect);
        Some(QuarantineChange::Released(suspect))
    }

    /// Adopts the verdict of a peer. Returns whether it is new or was tested meanwhile.
    fn adopt_verdict(
        &mut self,
        suspect: suspect::SuspectId,
        (since_ms, next_test_ms): (u64, u64),
        instant: clock_instant::ClockInstant,
        changes: &mut QuarantineChanges,
    ) -> bool {
        if self.evidence.last_survival(suspect).is_some_and(|last_ms| last_ms > since_ms) {
            self.schedule_survival(suspect, since_ms, instant.now);
            return false;
        }
        match self.verdicts.get_mut(&suspect) {
            Some(verdict) => {
                verdict.used_at = instant.now;
                let is_news = next_test_ms > verdict.next_test_ms;
                verdict.next_test_ms = verdict.next_test_ms.max(next_test_ms);
                is_news
            }
            None => {
                self.add_verdict(suspect, (since_ms, next_test_ms), instant.now);
                changes.push(QuarantineChange::Quarantined(suspect, 0));
                true
            }
        }
    }

    fn add_verdict(
        &mut self,
        suspect: suspect::SuspectId,
        (since_ms, next_test_ms): (u64, u64),
        now: time::MonotonicTime,
    ) {
        if self.verdicts.len() >= MAX_VERDICTS
            && let Some((oldest, _)) = self.verdicts.iter().min_by_key(|(_, v)| v.used_at)
        {
            let oldest = *oldest;
            self.verdicts.remove(&oldest);
        }
        let verdict = SuspectVerdict { since_ms, next_test_ms, used_at: now, announced_at: now };
        self.verdicts.insert(suspect, verdict);
        self.evidence.explain(suspect);
    }

    /// Quarantines the suspects that the crashes speak against. To be called several times a second.
    pub fn evaluate(&mut self, instant: clock_instant::ClockInstant) -> QuarantineChanges {
        let now = instant.now;
        self.evidence.sweep(now);
        self.announce_survivals(now);
        let mut changes = QuarantineChanges::new();
        let found = self.evidence.find_culprits(now);
        let interval = if found.len() > 1 { TIED_TEST_INTERVAL } else { TEST_INTERVALS.0 };
        for (suspect, crashes) in found {
            let since_ms = instant.unix_ms;
            self.add_verdict(suspect, (since_ms, since_ms + interval.get()), now);
            self.announce_verdict_now(suspect, now);
            changes.push(QuarantineChange::Quarantined(suspect, crashes));
        }
        changes
    }

    /// Returns when crashes or a verdict last spoke against a suspect, in milliseconds since the Unix
    /// epoch.
    fn suspected_ms(&self, suspect: suspect::SuspectId) -> Option<u64> {
        let verdict_ms = self.verdicts.get(&suspect).map(|verdict| verdict.since_ms);
        self.evidence.last_crash_ms(suspect).max(verdict_ms)
    }

    /// Whether crashes or verdicts speak against requests, so that their fingerprints are needed.
    pub fn has_request_suspects(&self) -> bool {
        self.verdicts.keys().any(|suspect| suspect.is_request())
            || self.evidence.has_request_suspects()
    }

    /// Whether this daemon recently reported a crash under a request that may be at fault. It lacks the
    /// verdict, if there is one, while no peer reaches it.
    pub fn has_recent_report(&self, now: time::MonotonicTime) -> bool {
        let reported_at = self.daemon.as_ref().and_then(|daemon| self.evidence.last_report(daemon));
        reported_at.is_some_and(|at| now.since(at) < RECENT_REPORT_TIME)
    }

    /// Returns a quarantined suspect among `suspects` and the time until its next test.
    pub fn find_quarantined(
        &self,
        suspects: &[suspect::SuspectId],
        instant: clock_instant::ClockInstant,
    ) -> Option<(suspect::SuspectId, time::Millis)> {
        if self.verdicts.is_empty() {
            return None;
        }
        let verdicts = suspects.iter().filter_map(|suspect| {
            let verdict = self.verdicts.get(suspect)?;
            let wait = verdict.next_test_ms.saturating_sub(instant.unix_ms);
            Some((*suspect, time::Millis::new(wait)))
        });
        verdicts.max_by_key(|(_, wait)| *wait)
    }

    /// Records that a request was refused by the verdict on a suspect.
    pub fn record_refusal(&mut self, suspect: suspect::SuspectId, now: time::MonotonicTime) {
        let Some(verdict) = self.verdicts.get_mut(&suspect) else { return };
        verdict.used_at = now;
        if now.since(verdict.announced_at) >= REFRESH_INTERVAL {
            self.announce_verdict_now(suspect, now);
        }
    }

    /// Begins the test of a verdict by one request, if it is due. Only the daemon that holds the duty
    /// lease may call this, so that all daemons together send one request.
    pub fn begin_test(
        &mut self,
        suspect: suspect::SuspectId,
        instant: clock_instant::ClockInstant,
    ) -> bool {
        let Some(verdict) = self.verdicts.get_mut(&suspect) else { return false };
        if instant.unix_ms < verdict.next_test_ms {
            return false;
        }
        let (shortest, longest) = TEST_INTERVALS;
        let elapsed = time::Millis::new(instant.unix_ms.saturating_sub(verdict.since_ms));
        let interval = elapsed.clamp(shortest, longest);
        verdict.next_test_ms = instant.unix_ms + interval.get();
        self.announce_verdict_now(suspect, instant.now);
        true
    }

    /// Returns whether a request may be sent once more after a replica crashed under it: all of its
    /// shared segments survived before, and few crashes since speak against them and the request.
    pub fn may_repeat(
        &self,
        suspects: &[suspect::SuspectId],
        instant: clock_instant::ClockInstant,
    ) -> bool {
        suspects.iter().all(|suspect| self.evidence.may_repeat(*suspect, instant.unix_ms))
    }

    /// Returns whether one of the suspects is quarantined, or crashes speak against it and it never
    /// survived.
    pub fn is_suspect(
        &self,
        suspects: &[suspect::SuspectId],
        instant: clock_instant::ClockInstant,
    ) -> bool {
        if self.evidence.crashes().is_empty() && self.verdicts.is_empty() {
            return false;
        }
        self.find_quarantined(suspects, instant).is_some()
            || suspects.iter().any(|suspect| self.evidence.is_new_suspect(*suspect))
    }

    /// Returns the quarantined suspects.
    pub fn verdicts(&self) -> impl Iterator<Item = (&suspect::SuspectId, &SuspectVerdict)> {
        self.verdicts.iter()
    }

    /// Returns the number of notices for the daemons of this group so far.
    pub fn version(&self) -> u64 {
        self.queue.version
    }

    /// Returns the number of notices for other groups so far, which the aggregator of this group sends.
    pub fn group_version(&self) -> u64 {
        self.queue.group_version
    }

    /// Observes that a daemon joined or restarted, which must learn of all verdicts.
    pub fn on_daemon_joined(&mut self, now: time::MonotonicTime) {
        self.joined_at = Some(now);
    }

    /// Drops verdicts by which no request was refused for long, and notices that were repeated long
    /// enough.
    pub fn sweep(&mut self, now: time::MonotonicTime) -> QuarantineChanges {
        self.queue.sweep(now);
        self.distrusted.retain(|_, until| now < *until);
        self.announced_survivals
            .retain(|_, announced_at| now.since(*announced_at) < ANNOUNCEMENT_INTERVAL);
        let unused =
            self.verdicts.extract_if(.., |_, verdict| now.since(verdict.used_at) >= VERDICT_MEMORY);
        unused.map(|(suspect, _)| QuarantineChange::Released(suspect)).collect()
    }

    /// Returns the notices that are due to be sent to the daemons of this group.
    pub fn member_notices(&mut self, now: time::MonotonicTime) -> Vec<QuarantineNotice> {
        self.queue.take_member_notices(now)
    }

    /// Returns the notices that are due to be sent by the aggregator of this group to other groups.
    pub fn group_notices(&mut self, now: time::MonotonicTime) -> Vec<QuarantineNotice> {
        self.queue.take_group_notices(now)
    }

    /// Returns all verdicts if a daemon joined recently. The first daemon of a group sends them.
    pub fn join_notices(&self, now: time::MonotonicTime) -> Vec<QuarantineNotice> {
        let has_joined =
            self.joined_at.is_some_and(|at| now.since(at) < notice::NOTICE_REPEAT_TIME);
        let verdicts = self.verdicts.iter().filter(|_| has_joined);
        verdicts.map(|(suspect, verdict)| verdict_notice(*suspect, verdict)).collect()
    }

    fn announce(
        &mut self,
        mut notice: QuarantineNotice,
        source: NoticeSource,
        now: time::MonotonicTime,
    ) {
        // One notice has the suspects of all requests of this daemon that ended with the replica.
        if source == NoticeSource::Local
            && let QuarantineNotice::Crash { replica, incarnation, suspects, .. } = &mut notice
        {
            suspects.extend(self.queue.withdraw_crash(replica, *incarnation));
            self.evidence.limit_suspects(suspects);
        }
        self.queue.push(notice, source, now);
    }

    /// Announces that a suspect survived, unless another daemon does so first. The time of the survival
    /// differs from daemon to daemon, and so does the delay; few are short.
    fn schedule_survival(
        &mut self,
        suspect: suspect::SuspectId,
        needed_ms: u64,
        now: time::MonotonicTime,
    ) {
        let mut hasher = sip::SipHasher13::new();
        match suspect {
            suspect::SuspectId::Segment(hash) => hasher.write_u64(hash),
            suspect::SuspectId::Request(fingerprint) => hasher.write_u128(fingerprint.bits()),
        }
        hasher.write_u64(self.evidence.last_survival(suspect).unwrap_or_default());
        let draw = hasher.finish() as f64 / u64::MAX as f64;
        let delay_ms = MAX_SURVIVAL_DELAY.get() as f64 * draw.cbrt();
        let due_at = now + time::Millis::new(delay_ms as u64);
        let pending = PendingSurvival { due_at, needed_ms };
        let pending = self.pending_survivals.entry(suspect).or_insert(pending);
        pending.needed_ms = pending.needed_ms.max(needed_ms);
    }

    /// Announces the survivals that are due and were not announced recently.
    fn announce_survivals(&mut self, now: time::MonotonicTime) {
        let announced = &self.announced_survivals;
        let is_due = |suspect: &suspect::SuspectId, pending: &mut PendingSurvival| {
            let announced_at = announced.get(suspect);
            now >= pending.due_at
                && announced_at.is_none_or(|at| now.since(*at) >= ANNOUNCEMENT_INTERVAL)
        };
        let due: Vec<_> = self.pending_survivals.extract_if(.., is_due).collect();
        for (suspect, _) in due {
            let Some(at_ms) = self.evidence.last_survival(suspect) else { continue };
            self.announced_survivals.insert(suspect, now);
            self.announce(QuarantineNotice::Survival { suspect, at_ms }, NoticeSource::Local, now);
        }
    }

    /// Announces a verdict unless that was done recently.
    fn announce_verdict(&mut self, suspect: suspect::SuspectId, now: time::MonotonicTime) {
        let verdict = self.verdicts.get(&suspect);
        if verdict.is_some_and(|verdict| now.since(verdict.announced_at) >= ANNOUNCEMENT_INTERVAL) {
            self.announce_verdict_now(suspect, now);
        }
    }

    fn announce_verdict_now(&mut self, suspect: suspect::SuspectId, now: time::MonotonicTime) {
        let Some(verdict) = self.verdicts.get_mut(&suspect) else { return };
        verdict.announced_at = now;
        let notice = verdict_notice(suspect, verdict);
        self.announce(notice, NoticeSource::Local, now);
    }
}

fn verdict_notice(suspect: suspect::SuspectId, verdict: &SuspectVerdict) -> QuarantineNotice {
    QuarantineNotice::Verdict {
        suspect,
        since_ms: verdict.since_ms,
        next_test_ms: verdict.next_test_ms,
    }
}
