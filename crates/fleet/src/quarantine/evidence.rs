//! Evidence of crashes and of responses that survived, and the verdict that follows from both.

use std::cmp;
use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use smallvec::SmallVec;

use crate::suspect;

/// Time for which crashes count, and for which a suspect that survived may be sent again after a crash.
pub(super) const EVIDENCE_TIME: time::Millis = time::Millis::new(600_000);
/// Time within which reports of a replica without a known incarnation are of one crash. It is back
/// later than that.
pub(super) const SAME_CRASH_TIME: time::Millis = time::Millis::new(1_000);
/// Number of crashes that are remembered.
const MAX_CRASHES: usize = 256;
/// Number of suspects of one crash, of each kind.
const MAX_SUSPECTS: usize = 128;
/// Numbers of segments and of requests of one crash that a daemon reports.
const MAX_REPORTED_SUSPECTS: [usize; 2] = [16, 16];
/// Number of suspects in each of the two generations of those that survived.
const GENERATION_SIZE: usize = 4_096;
/// Number of crashes after which requests that can't be told apart are all quarantined. Before that,
/// the next response or crash tells which of them is at fault.
const TIED_REQUEST_CRASHES: usize = 5;

/// Crashes after which a suspect is quarantined.
struct VerdictRule {
    /// Number of crashes.
    crashes: usize,
    /// Time after the last of these crashes in which other daemons can announce a survival.
    settle: time::Millis,
    /// Time after the first crash from which [`LATER_CRASHES`] of them must be.
    span: time::Millis,
}

/// Number of crashes that are not of the moment of the first one.
const LATER_CRASHES: usize = 2;

/// When a daemon learned of a crash under a suspect, and when it happened, in milliseconds since the Unix
/// epoch.
type Sighting = (time::MonotonicTime, u64);
/// Crashes by suspect, in the order in which the daemon learned of them.
type Sightings = collections::BTreeMap<suspect::SuspectId, Vec<Sighting>>;

impl VerdictRule {
    /// Returns when a daemon had learned of enough crashes, in the order in which it did.
    fn satisfied_at(&self, sightings: &[Sighting]) -> Option<time::MonotonicTime> {
        let first_ms = sightings.iter().map(|(_, at_ms)| *at_ms).min()?;
        let mut later = 0;
        for (index, (learned_at, at_ms)) in sightings.iter().enumerate() {
            later += usize::from(*at_ms >= first_ms + self.span.get());
            if index + 1 >= self.crashes && later >= LATER_CRASHES {
                return Some(*learned_at);
            }
        }
        None
    }
}

/// Rule for segments that never survived.
const NEW_SEGMENT: VerdictRule =
    VerdictRule { crashes: 4, settle: time::Millis::new(600), span: time::Millis::new(0) };
/// Rule for segments that survived before the crashes. They may be popular: some response with them
/// survives within the settle time.
const KNOWN_SEGMENT: VerdictRule =
    VerdictRule { crashes: 5, settle: time::Millis::new(1_500), span: time::Millis::new(0) };
/// Rule for requests that did not survive lately. Daemons that restarted learn of survivals from others
/// within the settle time.
const NEW_REQUEST: VerdictRule =
    VerdictRule { crashes: 3, settle: time::Millis::new(1_200), span: time::Millis::new(0) };
/// Rule for requests that survived shortly before the crashes. A whole service may crash at one moment,
/// under many copies of a frequent sound request.
const KNOWN_REQUEST: VerdictRule =
    VerdictRule { crashes: 5, settle: time::Millis::new(600), span: time::Millis::new(1_000) };

/// Longest time from the last survival of a frequent request to a crash.
const FREQUENT_TIME: time::Millis = time::Millis::new(10_000);
/// Number of crashes after which a request is not sent again.
const REPEATED_REQUEST_CRASHES: usize = 2;

/// Which suspects of a crash are not at fault, as a quarantined one is.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
enum ExplainedCrash {
    /// Any suspect may be at fault.
    #[default]
    Open,
    /// Other requests are not at fault. A segment may be at fault for the quarantined request as well.
    ByRequest,
    /// No other suspect is at fault.
    BySegment,
}

impl ExplainedCrash {
    /// Whether the crash counts against suspects of a kind.
    fn counts_against(self, is_request: bool) -> bool {
        match self {
            ExplainedCrash::Open => true,
            ExplainedCrash::ByRequest => !is_request,
            ExplainedCrash::BySegment => false,
        }
    }
}

/// A crash of a replica.
#[derive(Clone, Debug)]
pub(super) struct CrashRecord {
    pub(super) replica: id::ReplicaId,
    pub(super) incarnation: quantity::Incarnation,
    pub(super) at_ms: u64,
    pub(super) learned_at: time::MonotonicTime,
    pub(super) suspects: Vec<suspect::SuspectId>,
    /// Daemons that report the crash, as far as they are named.
    pub(super) reporters: SmallVec<[id::DaemonId; 2]>,
    /// What a quarantined suspect explains of the crash.
    explained: ExplainedCrash,
}

/// When suspects last survived, in milliseconds since the Unix epoch. Suspects that are not seen for
/// two generations are forgotten.
#[derive(Clone, Debug, Default)]
struct SurvivorMemory {
    current: collections::HashMap<suspect::SuspectId, u64>,
    previous: collections::HashMap<suspect::SuspectId, u64>,
}

impl SurvivorMemory {
    fn insert(&mut self, suspect: suspect::SuspectId, at_ms: u64) {
        if self.current.len() >= GENERATION_SIZE && !self.current.contains_key(&suspect) {
            self.previous = std::mem::take(&mut self.current);
        }
        let last_ms = self.current.entry(suspect).or_default();
        *last_ms = at_ms.max(*last_ms);
    }

    fn get(&self, suspect: suspect::SuspectId) -> Option<u64> {
        let last_ms = self.current.get(&suspect).or_else(|| self.previous.get(&suspect));
        last_ms.copied()
    }
}

/// Crashes and survivals that a daemon knows.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashEvidence {
    /// Crashes from the oldest to the newest.
    crashes: Vec<CrashRecord>,
    /// Segments that survived. Requests, of which most come once, don't displace them.
    segments: SurvivorMemory,
    /// Requests that survived.
    requests: SurvivorMemory,
}

impl CrashEvidence {
    /// Returns when a suspect last survived, in milliseconds since the Unix epoch.
    pub(super) fn last_survival(&self, suspect: suspect::SuspectId) -> Option<u64> {
        match suspect.is_request() {
            true => self.requests.get(suspect),
            false => self.segments.get(suspect),
        }
    }

    /// Records that a suspect survived.
    pub(super) fn record_survival(&mut self, suspect: suspect::SuspectId, at_ms: u64) {
        match suspect.is_request() {
            true => self.requests.insert(suspect, at_ms),
            false => self.segments.insert(suspect, at_ms),
        }
    }

    /// Returns the crashes, from the oldest to the newest.
    pub(super) fn crashes(&self) -> &[CrashRecord] {
        &self.crashes
    }

    /// Whether crashes speak against requests.
    pub(super) fn has_request_suspects(&self) -> bool {
        self.crashes.iter().any(|crash| crash.suspects.iter().any(|suspect| suspect.is_request()))
    }

    /// Returns when a daemon last learned of a crash that it reports itself, under a request that may be
    /// at fault.
    pub(super) fn last_report(&self, daemon: &id::DaemonId) -> Option<time::MonotonicTime> {
        let is_repeated = |suspect: &suspect::SuspectId| {
            suspect.is_request() && self.crash_count(*suspect) >= REPEATED_REQUEST_CRASHES
        };
        let own = self.crashes.iter().filter(|crash| crash.reporters.contains(daemon));
        let repeated = own.filter(|crash| crash.suspects.iter().any(is_repeated));
        repeated.map(|crash| crash.learned_at).max()
    }

    /// Returns the crashes that speak against a suspect.
    fn crashes_of(&self, suspect: suspect::SuspectId) -> impl Iterator<Item = &CrashRecord> {
        self.crashes.iter().filter(move |crash| {
            crash.explained.counts_against(suspect.is_request())
                && crash.suspects.contains(&suspect)
        })
    }

    /// Keeps the suspects that a daemon reports. Those that never survived are most likely at fault, and
    /// of requests those with most crashes, as only the one at fault comes again.
    pub(super) fn limit_suspects(&self, suspects: &mut Vec<suspect::SuspectId>) {
        suspects.sort_by_key(|suspect| {
            let crashes = if suspect.is_request() { self.crash_count(*suspect) } else { 0 };
            (self.last_survival(*suspect), cmp::Reverse(crashes), *suspect)
        });
        suspects.dedup();
        let mut remaining = MAX_REPORTED_SUSPECTS;
        suspects.retain(|suspect| {
            let remaining = &mut remaining[usize::from(suspect.is_request())];
            let is_kept = *remaining > 0;
            *remaining = remaining.saturating_sub(1);
            is_kept
        });
    }

    /// Returns the record of a crash, which is added if it is new, and whether it is.
    pub(super) fn record_of(
        &mut self,
        replica: &id::ReplicaId,
        incarnation: quantity::Incarnation,
        at_ms: u64,
        now: time::MonotonicTime,
    ) -> (usize, bool) {
        let is_unknown = incarnation == quantity::Incarnation::default();
        let is_same = |crash: &CrashRecord| {
            crash.replica == *replica
                && crash.incarnation == incarnation
                && (!is_unknown || crash.at_ms.abs_diff(at_ms) < SAME_CRASH_TIME.get())
        };
        if let Some(index) = self.crashes.iter().position(is_same) {
            return (index, false);
        }
        if self.crashes.len() == MAX_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push(CrashRecord {
            replica: replica.clone(),
            incarnation,
            at_ms,
            learned_at: now,
            suspects: Vec::new(),
            reporters: SmallVec::new(),
            explained: ExplainedCrash::Open,
        });
        (self.crashes.len() - 1, true)
    }

    /// Returns when the crash of a record was noticed, in milliseconds since the Unix epoch.
    pub(super) fn crash_ms(&self, index: usize) -> u64 {
        self.crashes[index].at_ms
    }

    /// Adds a daemon that reports the crash of a record.
    pub(super) fn add_reporter(&mut self, index: usize, reporter: &id::DaemonId) {
        let reporters = &mut self.crashes[index].reporters;
        if !reporters.contains(reporter) {
            reporters.push(reporter.clone());
        }
    }

    /// Adds a suspect to the crash of a record. Returns whether it is new.
    pub(super) fn add_suspect(&mut self, index: usize, suspect: suspect::SuspectId) -> bool {
        let suspects = &mut self.crashes[index].suspects;
        let same_kind =
            suspects.iter().filter(|other| other.is_request() == suspect.is_request()).count();
        let is_new = !suspects.contains(&suspect) && same_kind < MAX_SUSPECTS;
        if is_new {
            suspects.push(suspect);
        }
        is_new
    }

    /// Stops counting the crashes before `at_ms` against a suspect.
    pub(super) fn clear(&mut self, suspect: suspect::SuspectId, at_ms: u64) {
        for crash in self.crashes.iter_mut().filter(|crash| crash.at_ms < at_ms) {
            crash.suspects.retain(|other| *other != suspect);
        }
    }

    /// Marks the crashes that a quarantined suspect explains; other suspects of them are not at fault.
    pub(super) fn explain(&mut self, suspect: suspect::SuspectId) {
        let explained = match suspect.is_request() {
            true => ExplainedCrash::ByRequest,
            false => ExplainedCrash::BySegment,
        };
        for crash in self.crashes.iter_mut().filter(|crash| crash.suspects.contains(&suspect)) {
            crash.explained = crash.explained.max(explained);
        }
    }

    /// Drops a crash that did not happen, and returns its reporters.
    pub(super) fn remove_crash(
        &mut self,
        replica: &id::ReplicaId,
        incarnation: quantity::Incarnation,
        crash_ms: u64,
    ) -> SmallVec<[id::DaemonId; 2]> {
        let is_same = |crash: &mut CrashRecord| {
            crash.replica == *replica
                && crash.incarnation == incarnation
                && crash.at_ms.abs_diff(crash_ms) < SAME_CRASH_TIME.get()
        };
        self.crashes.extract_if(.., is_same).flat_map(|crash| crash.reporters).collect()
    }

    /// Drops the crashes that only these daemons reported since a time.
    pub(super) fn remove_reports(
        &mut self,
        reporters: &[id::DaemonId],
        since: time::MonotonicTime,
    ) {
        self.crashes.retain(|crash| {
            let is_theirs = !crash.reporters.is_empty()
                && crash.reporters.iter().all(|reporter| reporters.contains(reporter));
            !is_theirs || crash.learned_at < since
        });
    }

    /// Drops crashes that count no more.
    pub(super) fn sweep(&mut self, now: time::MonotonicTime) {
        self.crashes.retain(|crash| now.since(crash.learned_at) < EVIDENCE_TIME);
    }

    /// Returns when a crash last spoke against a suspect, in milliseconds since the Unix epoch.
    pub(super) fn last_crash_ms(&self, suspect: suspect::SuspectId) -> Option<u64> {
        let crashes = self.crashes.iter().filter(|crash| crash.suspects.contains(&suspect));
        crashes.map(|crash| crash.at_ms).max()
    }

    /// Returns the number of crashes that speak against a suspect.
    pub(super) fn crash_count(&self, suspect: suspect::SuspectId) -> usize {
        self.crashes_of(suspect).count()
    }

    /// Returns whether a request with a suspect may be sent once more after a crash: few crashes speak
    /// against it, and a segment has survived before.
    pub(super) fn may_repeat(&self, suspect: suspect::SuspectId, unix_ms: u64) -> bool {
        let last_ms = self.last_survival(suspect);
        let is_known = last_ms.is_some_and(|last_ms| unix_ms < last_ms + EVIDENCE_TIME.get());
        let crashes = self.crash_count(suspect);
        match suspect.is_request() {
            true => crashes < REPEATED_REQUEST_CRASHES,
            false => is_known && crashes < KNOWN_SEGMENT.crashes,
        }
    }

    /// Returns whether crashes speak against a suspect that never survived.
    pub(super) fn is_new_suspect(&self, suspect: suspect::SuspectId) -> bool {
        let needed = if suspect.is_request() { REPEATED_REQUEST_CRASHES } else { 1 };
        self.last_survival(suspect).is_none() && self.crash_count(suspect) >= needed
    }

    /// Returns the suspects to quarantine, with the number of their crashes. Requests come first, unless a
    /// segment explains their crashes, too.
    pub(super) fn find_culprits(
        &self,
        now: time::MonotonicTime,
    ) -> SmallVec<[(suspect::SuspectId, usize); 2]> {
        if self.crashes.len() < NEW_REQUEST.crashes {
            return SmallVec::new();
        }
        let mut sightings = Sightings::new();
        for crash in &self.crashes {
            let counted = crash
                .suspects
                .iter()
                .filter(|suspect| crash.explained.counts_against(suspect.is_request()));
            for suspect in counted {
                sightings.entry(*suspect).or_default().push((crash.learned_at, crash.at_ms));
            }
        }
        sightings.values_mut().for_each(|times| times.sort_unstable());
        let mut requests = self.find_kind(&sightings, true, now);
        requests.retain(|(request, _)| !self.is_victim(*request));
        let is_tied = requests.len() > 1;
        let is_certain = requests.iter().all(|(_, crashes)| *crashes >= TIED_REQUEST_CRASHES);
        match requests.is_empty() || is_tied && !is_certain {
            true => self.find_kind(&sightings, false, now),
            false => requests,
        }
    }

    /// Whether a segment that never survived explains the crashes of a request, all but one at most, as not
    /// all suspects of a crash are reported. The request may have been sent again beside others with the
    /// segment.
    fn is_victim(&self, request: suspect::SuspectId) -> bool {
        let mut counts: collections::HashMap<suspect::SuspectId, usize> =
            collections::HashMap::new();
        let mut crashes = 0;
        for crash in self.crashes_of(request) {
            crashes += 1;
            for segment in crash.suspects.iter().filter(|suspect| !suspect.is_request()) {
                *counts.entry(*segment).or_default() += 1;
            }
        }
        counts
            .into_iter()
            .any(|(segment, count)| count + 1 >= crashes && self.last_survival(segment).is_none())
    }

    /// Whether a suspect counts as one that never survived. A request that comes seldom may have been
    /// sound once.
    fn is_new(&self, suspect: suspect::SuspectId, sightings: &[Sighting]) -> bool {
        let Some(last_ms) = self.last_survival(suspect) else { return true };
        let first_ms = sightings.iter().map(|(_, at_ms)| *at_ms).min().unwrap_or_default();
        suspect.is_request() && last_ms + FREQUENT_TIME.get() < first_ms
    }

    /// Returns the suspects of one kind to quarantine: those that never survived come first, then
    /// those with most crashes.
    fn find_kind(
        &self,
        sightings: &Sightings,
        is_request: bool,
        now: time::MonotonicTime,
    ) -> SmallVec<[(suspect::SuspectId, usize); 2]> {
        let rule = |is_new| match (is_request, is_new) {
            (true, true) => &NEW_REQUEST,
            (true, false) => &KNOWN_REQUEST,
            (false, true) => &NEW_SEGMENT,
            (false, false) => &KNOWN_SEGMENT,
        };
        let rank = |(suspect, times): (&suspect::SuspectId, &Vec<Sighting>)| {
            let is_new = self.is_new(*suspect, times);
            rule(is_new).satisfied_at(times)?;
            (suspect.is_request() == is_request).then_some((is_new, times.len()))
        };
        let Some(best) = sightings.iter().filter_map(rank).max() else { return SmallVec::new() };
        let rule = rule(best.0);
        let is_settled = |times: &[Sighting]| {
            rule.satisfied_at(times).is_some_and(|at| now.since(at) >= rule.settle)
        };
        let tied = sightings.iter().filter(|entry| rank(*entry) == Some(best));
        tied.filter(|(_, times)| is_settled(times))
            .map(|(suspect, times)| (*suspect, times.len()))
            .collect()
    }
}
