//! Simulation of daemons, replicas that crash, and the notices between the daemons.

use std::collections;

use rand::Rng as _;
use rand::SeedableRng as _;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_fleet::clock_instant;
use samphiremoor_fleet::quarantine;
use samphiremoor_fleet::suspect;

/// Step of the simulation, in milliseconds.
const STEP_MS: u64 = 50;
/// Number of steps after which a daemon looks for news to send.
const CHANGE_STEPS: u64 = 2;
/// Number of steps between digests, in one group and with groups by zone.
const DIGEST_STEPS: (u64, u64) = (6, 10);
/// Largest number of daemons that form one group.
const MAX_GROUP: usize = 16;
/// Number of segments that many requests share.
const POPULAR_SEGMENTS: u64 = 3;
/// Share of lost datagrams.
const LOSS: f64 = 0.02;
/// Time from an event until the response has gone on, in milliseconds.
const SURVIVAL_MS: u64 = 300;
/// Unix time at the start, in milliseconds.
const START_MS: u64 = 1_700_000_000_000;

/// The segment under which replicas crash.
pub(crate) const BAD_SEGMENT: suspect::SuspectId = suspect::SuspectId::Segment(0xbad);

/// The request under which replicas crash, if they do under one request.
pub(crate) const BAD_REQUEST: suspect::SuspectId =
    suspect::SuspectId::Request(suspect::RequestFingerprint::new(0xbad));
/// The sound request that comes again and again.
const POPULAR_REQUEST: suspect::SuspectId =
    suspect::SuspectId::Request(suspect::RequestFingerprint::new(0x50));
/// Share of the sound requests that are [`POPULAR_REQUEST`].
const POPULAR_SHARE: f64 = 0.8;
/// Number of replicas to which a plain request is sent at most.
const MAX_ATTEMPTS: u32 = 3;
/// Time in which a daemon without a path to replicas reports crashes, in milliseconds.
const FALSE_REPORTS_MS: std::ops::Range<u64> = 6_000..9_000;

/// A deployment and its load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SimSettings {
    pub(crate) daemons: usize,
    pub(crate) zones: usize,
    pub(crate) replicas: usize,
    /// Sound and bad requests a second of all daemons together.
    pub(crate) rates: (f64, f64),
    /// Number of segments between the popular one and the request's own.
    pub(crate) middle_segments: u64,
    /// Plain crashes a second.
    pub(crate) plain_crashes: f64,
    /// Share of the replicas that crash at one moment every five seconds.
    pub(crate) wave: f64,
    /// Restarts of daemons a second.
    pub(crate) restarts: f64,
    /// Whether the first zone is cut off from the others for some seconds.
    pub(crate) has_cut: bool,
    /// Whether the bad segment was sound at first.
    pub(crate) turns_bad: bool,
    /// Whether requests are plain, and replicas crash under one request instead of a segment.
    pub(crate) has_plain_requests: bool,
    /// Whether callers send a request with a prompt again after a crash, as the same request.
    pub(crate) has_retries: bool,
    /// Whether the path of one daemon to the replicas breaks, so that it reports crashes of replicas that
    /// live.
    pub(crate) has_false_witness: bool,
    pub(crate) seconds: u64,
    pub(crate) seed: u64,
}

/// What the replicas and callers saw.
#[derive(Clone, Debug, Default)]
pub(crate) struct SimReport {
    /// Crashes under the bad segment, in milliseconds from the start.
    pub(crate) crashes_ms: Vec<u64>,
    /// Arrivals of bad requests at replicas, in milliseconds, from daemons in touch.
    pub(crate) bad_arrivals_ms: Vec<u64>,
    /// Sound requests that were refused.
    pub(crate) refused_sound: u32,
    /// Sound requests.
    pub(crate) sound: u32,
    /// Sound segments that were quarantined by some daemon.
    pub(crate) wrong: collections::BTreeSet<suspect::SuspectId>,
    /// Largest number of bytes of notices that a daemon received in a second.
    pub(crate) notice_bytes: u64,
    /// Requests that crashed more replicas than one attempt after the first allows.
    pub(crate) excessive_attempts: u32,
}

impl SimReport {
    /// Returns the arrivals of bad requests later than 3 s after this many crashes.
    pub(crate) fn late_arrivals(&self, crashes: usize) -> usize {
        let Some(crash_ms) = self.crashes_ms.get(crashes - 1) else { return 0 };
        self.bad_arrivals_ms.iter().filter(|at_ms| **at_ms > crash_ms + 3_000).count()
    }
}

/// A request at a replica.
struct SimRequest {
    daemon: usize,
    /// What the response clears.
    survivors: suspect::SuspectIds,
    /// What a crash speaks against.
    suspects: suspect::SuspectIds,
    is_bad: bool,
    /// Number of replicas that the request was sent to.
    attempts: u32,
    sent_at: time::MonotonicTime,
    /// When its response begins.
    begins_ms: u64,
    /// Whether its response went on.
    has_survived: bool,
    /// When its response ends.
    ends_ms: u64,
}

struct SimReplica {
    incarnation: u64,
    up_from_ms: u64,
    requests: Vec<SimRequest>,
}

struct SimDaemon {
    table: quarantine::QuarantineTable,
    sent_version: u64,
    /// Until when the daemon counts as out of touch, in milliseconds.
    disturbed_until_ms: u64,
    received_bytes: u64,
    /// Incarnation of each replica that answered, and when the last such request was sent.
    answered: collections::HashMap<id::ReplicaId, (quantity::Incarnation, time::MonotonicTime)>,
}

/// A message that arrives at a daemon.
struct SimMessage {
    to: usize,
    from_zone: usize,
    notices: Vec<quarantine::QuarantineNotice>,
    source: quarantine::NoticeSource,
}

struct Simulation {
    settings: SimSettings,
    daemons: Vec<SimDaemon>,
    replicas: Vec<SimReplica>,
    messages: Vec<SimMessage>,
    step: u64,
    rng: rand_chacha::ChaCha8Rng,
    report: SimReport,
}

/// Runs a simulation.
pub(crate) fn run(settings: SimSettings) -> SimReport {
    let mut simulation = Simulation {
        settings,
        daemons: (0..settings.daemons).map(|index| SimDaemon::new(index, 0)).collect(),
        replicas: (0..settings.replicas)
            .map(|_| SimReplica { incarnation: 1, up_from_ms: 0, requests: Vec::new() })
            .collect(),
        messages: Vec::new(),
        step: 0,
        rng: rand_chacha::ChaCha8Rng::seed_from_u64(settings.seed),
        report: SimReport::default(),
    };
    while simulation.now_ms() < settings.seconds * 1_000 {
        simulation.run_step();
    }
    simulation.report
}

impl SimDaemon {
    fn new(index: usize, disturbed_until_ms: u64) -> Self {
        let daemon = format!("d{index:03}").parse().expect("a valid ID");
        SimDaemon {
            table: quarantine::QuarantineTable::new(daemon),
            sent_version: 0,
            disturbed_until_ms,
            received_bytes: 0,
            answered: collections::HashMap::new(),
        }
    }
}

impl Simulation {
    fn now_ms(&self) -> u64 {
        self.step * STEP_MS
    }

    fn instant(&self) -> clock_instant::ClockInstant {
        clock_instant::ClockInstant {
            now: time::MonotonicTime::new(self.now_ms() + 1_000_000),
            unix_ms: START_MS + self.now_ms(),
        }
    }

    fn zone(&self, daemon: usize) -> usize {
        daemon % self.settings.zones
    }

    fn is_zonal(&self) -> bool {
        self.settings.daemons > MAX_GROUP
    }

    fn group(&self, daemon: usize) -> usize {
        if self.is_zonal() { self.zone(daemon) } else { 0 }
    }

    fn is_cut(&self, from_zone: usize, to: usize) -> bool {
        let is_cut = self.settings.has_cut && (8_000..12_000).contains(&self.now_ms());
        is_cut && (from_zone == 0) != (self.zone(to) == 0)
    }

    fn run_step(&mut self) {
        self.step += 1;
        self.deliver();
        self.finish_requests();
        self.disturb();
        self.send_requests();
        self.exchange();
        let instant = self.instant();
        for index in 0..self.daemons.len() {
            let SimDaemon { table, answered, .. } = &mut self.daemons[index];
            let last_answered = |replica: &id::ReplicaId, incarnation| {
                let (answered_by, sent_at) = answered.get(replica)?;
                (*answered_by == incarnation).then_some(*sent_at)
            };
            let mut changes = table.refute_answered(last_answered, instant);
            changes.extend(table.evaluate(instant));
            changes.extend(table.sweep(instant.now));
            self.note(&changes);
        }
        if self.now_ms().is_multiple_of(1_000) {
            for daemon in &mut self.daemons {
                let bytes = std::mem::take(&mut daemon.received_bytes);
                self.report.notice_bytes = self.report.notice_bytes.max(bytes);
            }
        }
    }

    fn note(&mut self, changes: &[quarantine::QuarantineChange]) {
        for change in changes {
            if let quarantine::QuarantineChange::Quarantined(segment, _) = change
                && *segment != BAD_SEGMENT
                && *segment != BAD_REQUEST
            {
                self.report.wrong.insert(*segment);
            }
        }
    }

    /// Delivers the messages of the last step; aggregators pass those of other groups on.
    fn deliver(&mut self) {
        let instant = self.instant();
        for message in std::mem::take(&mut self.messages) {
            if self.rng.random_bool(LOSS) || self.is_cut(message.from_zone, message.to) {
                continue;
            }
            let SimMessage { to, notices, source, .. } = message;
            let daemon = &mut self.daemons[to];
            let wire = quarantine::NoticesWire::from(&notices[..]);
            let encoded = postcard::to_stdvec(&wire).expect("notices can be encoded");
            daemon.received_bytes += encoded.len() as u64;
            for notice in &notices {
                let changes = self.daemons[to].table.observe_notice(notice, source, instant);
                self.note(&changes);
            }
            if source == quarantine::NoticeSource::Remote && to < self.settings.zones {
                self.send(to, &notices, quarantine::NoticeSource::Remote);
            }
        }
    }

    /// Sends notices to the other daemons of the sender's group.
    fn send(
        &mut self,
        from: usize,
        notices: &[quarantine::QuarantineNotice],
        source: quarantine::NoticeSource,
    ) {
        for to in 0..self.daemons.len() {
            if to != from && self.group(to) == self.group(from) {
                let (notices, from_zone) = (notices.to_vec(), self.zone(from));
                self.messages.push(SimMessage { to, from_zone, notices, source });
            }
        }
    }

    fn exchange(&mut self) {
        let interval = if self.is_zonal() { DIGEST_STEPS.1 } else { DIGEST_STEPS.0 };
        let now = self.instant().now;
        for from in 0..self.daemons.len() {
            let phase = self.step + from as u64;
            let table = &self.daemons[from].table;
            let is_first = from < if self.is_zonal() { self.settings.zones } else { 1 };
            let passes_on = self.is_zonal() && is_first;
            let version = if passes_on { table.group_version() } else { table.version() };
            let has_news =
                phase.is_multiple_of(CHANGE_STEPS) && version != self.daemons[from].sent_version;
            if !has_news && !phase.is_multiple_of(interval) {
                continue;
            }
            self.daemons[from].sent_version = version;
            let mut notices = self.daemons[from].table.member_notices(now);
            if is_first {
                notices.extend(self.daemons[from].table.join_notices(now));
            }
            if !notices.is_empty() {
                self.send(from, &notices, quarantine::NoticeSource::Member);
            }
            let notices = self.daemons[from].table.group_notices(now);
            if passes_on && !notices.is_empty() {
                for to in (0..self.settings.zones).filter(|to| *to != from) {
                    let (notices, from_zone) = (notices.clone(), self.zone(from));
                    let source = quarantine::NoticeSource::Remote;
                    self.messages.push(SimMessage { to, from_zone, notices, source });
                }
            }
        }
    }

    /// Begins and ends responses, and crashes the replicas that begin a bad one.
    fn finish_requests(&mut self) {
        let (now_ms, instant) = (self.now_ms(), self.instant());
        let is_bad_now = !self.settings.turns_bad || now_ms >= 6_000;
        for index in 0..self.replicas.len() {
            let begins_bad = |request: &SimRequest| request.is_bad && now_ms >= request.begins_ms;
            if is_bad_now && self.replicas[index].requests.iter().any(begins_bad) {
                self.report.crashes_ms.push(now_ms);
                self.crash(index);
                continue;
            }
            let mut survived = Vec::new();
            let replica = &mut self.replicas[index];
            for request in &mut replica.requests {
                let goes_on =
                    now_ms >= request.begins_ms + SURVIVAL_MS || now_ms >= request.ends_ms;
                if goes_on && !request.has_survived {
                    request.has_survived = true;
                    survived.push((request.daemon, request.survivors.clone(), request.sent_at));
                }
            }
            replica.requests.retain(|request| now_ms < request.ends_ms);
            let incarnation = quantity::Incarnation::new(replica.incarnation);
            for (daemon, survivors, sent_at) in survived {
                let daemon = &mut self.daemons[daemon];
                daemon.answered.insert(replica_id(index), (incarnation, sent_at));
                let changes = daemon.table.observe_survival(&survivors, instant);
                self.note(&changes);
            }
        }
    }

    /// Crashes a replica. The daemons of its requests report it.
    fn crash(&mut self, index: usize) {
        let now_ms = self.now_ms();
        let down_ms = self.rng.random_range(1_000..4_000);
        let replica = &mut self.replicas[index];
        if now_ms < replica.up_from_ms {
            return;
        }
        let incarnation = quantity::Incarnation::new(replica.incarnation);
        replica.incarnation += 1;
        replica.up_from_ms = now_ms + down_ms;
        let requests = std::mem::take(&mut replica.requests);
        for request in requests {
            self.report_crash(index, incarnation, request);
        }
    }

    /// Reports the end of a request as a crash of its replica, and sends the request once more if it may
    /// be.
    fn report_crash(
        &mut self,
        index: usize,
        incarnation: quantity::Incarnation,
        request: SimRequest,
    ) {
        if request.has_survived {
            return;
        }
        let instant = self.instant();
        let table = &mut self.daemons[request.daemon].table;
        let changes =
            table.observe_crash(&replica_id(index), incarnation, &request.suspects, instant);
        let may_repeat = table.may_repeat(&request.suspects, instant);
        let is_refused = table.find_quarantined(&request.suspects, instant).is_some();
        self.note(&changes);
        if self.settings.has_plain_requests
            && may_repeat
            && !is_refused
            && request.attempts < MAX_ATTEMPTS
        {
            self.report.excessive_attempts += u32::from(request.is_bad && request.attempts >= 2);
            self.dispatch(request);
        } else if self.settings.has_retries && request.attempts < MAX_ATTEMPTS {
            let daemon = self.rng.random_range(0..self.daemons.len());
            let table = &self.daemons[daemon].table;
            let is_refused = table.find_quarantined(&request.suspects, instant).is_some();
            self.report.refused_sound += u32::from(is_refused && !request.is_bad);
            if !is_refused {
                self.dispatch(SimRequest { daemon, ..request });
            }
        }
    }

    /// Reports the requests of a daemon whose path is broken as crashes of replicas that live.
    fn report_falsely(&mut self) {
        const FALSE_WITNESS: usize = 1;
        let now = self.instant().now;
        for index in 0..self.replicas.len() {
            let replica = &mut self.replicas[index];
            let incarnation = quantity::Incarnation::new(replica.incarnation);
            let lost = replica.requests.extract_if(.., |request| request.daemon == FALSE_WITNESS);
            let lost: Vec<_> = lost.collect();
            if self.daemons[FALSE_WITNESS].table.trusts_itself(now) {
                for request in lost {
                    let attempts = MAX_ATTEMPTS;
                    self.report_crash(index, incarnation, SimRequest { attempts, ..request });
                }
            }
        }
    }

    /// Crashes replicas and restarts daemons without a request's fault.
    fn disturb(&mut self) {
        let per_step = STEP_MS as f64 / 1_000.0;
        if self.rng.random_bool((self.settings.plain_crashes * per_step).min(1.0)) {
            let index = self.rng.random_range(0..self.replicas.len());
            self.crash(index);
        }
        if self.settings.wave > 0.0 && self.now_ms().is_multiple_of(5_000) {
            for index in 0..self.replicas.len() {
                if self.rng.random_bool(self.settings.wave) {
                    self.crash(index);
                }
            }
        }
        if self.rng.random_bool((self.settings.restarts * per_step).min(1.0)) {
            let index = self.rng.random_range(0..self.daemons.len());
            self.daemons[index] = SimDaemon::new(index, self.now_ms() + 3_000);
            let now = self.instant().now;
            for daemon in &mut self.daemons {
                daemon.table.on_daemon_joined(now);
            }
        }
        if self.settings.has_false_witness && FALSE_REPORTS_MS.contains(&self.now_ms()) {
            self.report_falsely();
        }
        if self.settings.has_cut && (8_000..12_000).contains(&self.now_ms()) {
            let until_ms = self.now_ms() + 3_000;
            for daemon in self.daemons.iter_mut().step_by(self.settings.zones) {
                daemon.disturbed_until_ms = until_ms;
            }
        }
    }

    fn send_requests(&mut self) {
        let (sound, bad) = self.settings.rates;
        for (rate, is_bad) in [(sound, false), (bad, true)] {
            if is_bad && self.now_ms() < 4_000 && !self.settings.turns_bad {
                continue;
            }
            let mut expected = rate * STEP_MS as f64 / 1_000.0;
            while expected > 0.0 {
                if self.rng.random_bool(expected.min(1.0)) {
                    self.send_request(is_bad);
                }
                expected -= 1.0;
            }
        }
    }

    fn send_request(&mut self, is_bad: bool) {
        let instant = self.instant();
        let daemon = self.rng.random_range(0..self.daemons.len());
        let (survivors, suspects) = match self.settings.has_plain_requests {
            true => {
                let request = suspect::SuspectIds::from_slice(&[self.draw_request(is_bad)]);
                (request.clone(), request)
            }
            false => self.draw_prompt(is_bad),
        };
        let is_refused = self.daemons[daemon].table.find_quarantined(&suspects, instant).is_some();
        if !is_bad {
            self.report.sound += 1;
            self.report.refused_sound += u32::from(is_refused);
        }
        if is_refused {
            return;
        }
        let has_survived = false;
        let (begins_ms, ends_ms, sent_at) = (0, 0, instant.now);
        self.dispatch(SimRequest {
            daemon,
            survivors,
            suspects,
            is_bad,
            attempts: 0,
            sent_at,
            begins_ms,
            has_survived,
            ends_ms,
        });
    }

    /// Returns the fingerprint of a plain request.
    fn draw_request(&mut self, is_bad: bool) -> suspect::SuspectId {
        if is_bad {
            return BAD_REQUEST;
        }
        if self.rng.random_bool(POPULAR_SHARE) {
            return POPULAR_REQUEST;
        }
        let bits = self.rng.random_range(1_000_000..u128::MAX);
        suspect::SuspectId::Request(suspect::RequestFingerprint::new(bits))
    }

    /// Returns the segments and the shared segments of a prompt.
    fn draw_prompt(&mut self, is_bad: bool) -> (suspect::SuspectIds, suspect::SuspectIds) {
        let mut segments = suspect::SuspectIds::new();
        segments.push(suspect::SuspectId::Segment(self.rng.random_range(1..=POPULAR_SEGMENTS)));
        if is_bad {
            segments.push(BAD_SEGMENT);
        }
        if self.settings.middle_segments > 0 {
            let middle = 10_000 + self.rng.random_range(0..self.settings.middle_segments);
            segments.push(suspect::SuspectId::Segment(middle));
        }
        let mut shared = segments.clone();
        let own = self.rng.random_range(1_000_000..u64::MAX);
        segments.push(suspect::SuspectId::Segment(own));
        if self.settings.has_retries {
            let request = suspect::RequestFingerprint::new(u128::from(own));
            for suspects in [&mut segments, &mut shared] {
                suspects.push(suspect::SuspectId::Request(request));
            }
        }
        (segments, shared)
    }

    /// Sends a request to a replica that is up, if there is one.
    fn dispatch(&mut self, request: SimRequest) {
        let (now_ms, instant) = (self.now_ms(), self.instant());
        let is_up = |replica: &&mut SimReplica| now_ms >= replica.up_from_ms;
        let up_count = self.replicas.iter_mut().filter(is_up).count();
        if up_count == 0 {
            return;
        }
        let chosen = self.rng.random_range(0..up_count);
        let (begins, runs) = match self.settings.has_plain_requests {
            true => (0..150, 10..60),
            false => (50..400, 100..2_000),
        };
        let begins_ms = now_ms + self.rng.random_range(begins);
        let ends_ms = begins_ms + self.rng.random_range(runs);
        if request.is_bad && now_ms >= self.daemons[request.daemon].disturbed_until_ms {
            self.report.bad_arrivals_ms.push(now_ms);
        }
        let replica = self.replicas.iter_mut().filter(is_up).nth(chosen);
        let replica = replica.expect("the replica is up");
        let attempts = request.attempts + 1;
        let sent_at = instant.now;
        replica.requests.push(SimRequest { attempts, sent_at, begins_ms, ends_ms, ..request });
    }
}

fn replica_id(index: usize) -> id::ReplicaId {
    format!("replica-{index}").parse().expect("a valid ID")
}
