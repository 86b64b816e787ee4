//! Simulation of a document on its way from the table to all daemons, over links with a rate and a
//! delay.

#![allow(dead_code, reason = "some items are used by the other users only")]

use std::cmp;
use std::collections;
use std::net;

use rand::Rng as _;
use rand::SeedableRng as _;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_fleet::document;
use samphiremoor_fleet::document_fetch;

/// Bytes of one segment on a link.
const SEGMENT_BYTES: u64 = 4 * 1024;
/// Bytes of a request, and of a response without a body.
const MESSAGE_BYTES: u64 = 200;
/// Bytes of an announcement.
const ANNOUNCEMENT_BYTES: u64 = 600;
/// Time for which a daemon that reads whole documents waits for one, in milliseconds.
const WHOLE_LIMIT_MS: f64 = 800.0;
/// Time for which a daemon that reads parts waits for one, in milliseconds.
const PARTS_LIMIT_MS: f64 = 500.0;
/// Interval of announcements of daemons that read whole documents, in milliseconds.
const WHOLE_INTERVAL_MS: f64 = 500.0;
/// Longest time until a daemon announces a revision, in milliseconds.
const ANNOUNCEMENT_MS: f64 = 100.0;
/// Interval of announcements that are repeated, in milliseconds.
const REPEAT_MS: f64 = 500.0;
/// Longest time from a change in the table until a reader asks for it, in milliseconds.
const READER_MS: f64 = 30.0;
/// Time after which another daemon reads the table in place of one that gets no documents, in
/// milliseconds.
const TAKEOVER_MS: f64 = 1_500.0;

/// How daemons get a new revision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Strategy {
    /// In parts, from daemons that have it.
    Parts,
    /// Whole, all from the daemon that announces it first.
    WholeFromReader,
}

/// What happens to the readers of the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReaderFault {
    /// Nothing.
    Sound,
    /// The reader of the first zone gets no documents from the table.
    FailsForDocument,
    /// The reader of the first zone accepts reads of documents and sends nothing.
    HangsForPeers,
    /// The reader of the first zone stops after the daemons have begun to read from it.
    Stops,
}

/// A deployment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Deployment {
    pub(crate) zones: usize,
    pub(crate) daemons: usize,
    /// Rate of a daemon's link, in bytes per millisecond.
    pub(crate) link_rate: f64,
    /// Rate of the link of the first daemon of each zone, in bytes per millisecond.
    pub(crate) first_link_rate: f64,
    /// Delay of a link, in milliseconds.
    pub(crate) delay_ms: f64,
    /// Processor time that a daemon needs for a megabyte of a document, in milliseconds.
    pub(crate) cpu_ms_per_mb: f64,
    pub(crate) strategy: Strategy,
    pub(crate) fault: ReaderFault,
    /// Share of datagrams that are lost.
    pub(crate) loss: f64,
    pub(crate) seed: u64,
}

/// Outcome for one revision.
#[derive(Clone, Debug)]
pub(crate) struct DistributionReport {
    /// Time from the change until it was in force, in milliseconds, for each daemon that has it.
    pub(crate) in_force_ms: Vec<f64>,
    /// Bytes of documents that each daemon sent to others.
    pub(crate) sent: Vec<u64>,
    /// Bytes of documents that each daemon received, from the table too.
    pub(crate) received: Vec<u64>,
}

impl DistributionReport {
    /// Returns the time after which a share of the daemons had the revision, in milliseconds.
    pub(crate) fn quantile_ms(&self, share: f64) -> f64 {
        let mut sorted = self.in_force_ms.clone();
        sorted.sort_by(f64::total_cmp);
        let index = (sorted.len() as f64 * share).ceil() as usize;
        sorted.get(index.saturating_sub(1)).copied().unwrap_or(f64::INFINITY)
    }
}

/// Returns a document with `routes` routes besides those that each revision has.
pub(crate) fn document_text(revision: u64, routes: usize) -> Vec<u8> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(7);
    let entries: Vec<String> = (0..routes + 20)
        .map(|_| {
            let (name, host): (u64, u32) = (rng.random(), rng.random_range(10..99));
            let prefix = rng.random_range(100..9_999_999);
            format!(
                r#"{{"name":"r-{name:x}","host":"ficu{host}.example","prefix":"/pufi{prefix}/","kind":"streaming","timeout_ms":12000,"target_latency_ms":1000,"priority":1,"service":"huvo11a","max_attempts":1,"public":false,"sticky":true,"resumable":false,"gap_aim_ms":500}}"#
            )
        })
        .collect();
    let text = format!(
        r#"{{"version":{revision},"routes":[{}],"limits":{{"max_body_bytes":100000,"idle_timeout_ms":{}}}}}"#,
        entries.join(","),
        15_000 + revision
    );
    text.into_bytes()
}

/// What happens at a moment.
#[derive(Debug)]
enum SimEvent {
    /// The table holds a revision.
    Written(usize),
    /// A daemon has read a revision from the table.
    ReadFromTable(usize, usize),
    /// A daemon puts a revision in force.
    InForce(usize, usize),
    /// A daemon announces the revision that it has.
    Announce(usize),
    /// An announcement of a revision by one daemon arrives at another one.
    Announced { holder: usize, follower: usize, revision: usize },
    /// A daemon takes its next step.
    Step(usize),
    /// A request arrives.
    Request { follower: usize, source: usize, step: document_fetch::FetchStep, call: u64 },
    /// A segment of a response leaves the source's link.
    Segment { transfer: usize },
    /// A response has arrived.
    Response { follower: usize, outcome: document_fetch::FetchOutcome, call: u64 },
    /// The time for a call is over.
    Timeout { follower: usize, call: u64 },
    /// A daemon stops.
    Stop(usize),
}

#[derive(Debug)]
struct Scheduled {
    at_ms: f64,
    order: u64,
    event: SimEvent,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == cmp::Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        other.at_ms.total_cmp(&self.at_ms).then(other.order.cmp(&self.order))
    }
}

/// A response on its way.
struct Transfer {
    source: usize,
    follower: usize,
    call: u64,
    rest: u64,
    bytes: Vec<u8>,
    slot: Option<document_fetch::UploadSlot>,
    /// When the last segment arrives.
    arrives_ms: f64,
}

/// A daemon of the simulation.
struct SimDaemon {
    /// Revision in force, as an index into the documents.
    revision: Option<usize>,
    uploads: document_fetch::UploadLimit,
    fetch: Option<document_fetch::DocumentFetch>,
    /// Revisions that other daemons announced.
    holders: collections::BTreeMap<usize, usize>,
    call: u64,
    step: Option<document_fetch::FetchStep>,
    /// Until when the link is busy, in each direction.
    up_until_ms: f64,
    down_until_ms: f64,
    sent: u64,
    received: u64,
    /// Whether the daemon reads the table itself, as no other daemon serves it.
    reads_table: bool,
    is_stopped: bool,
}

struct Simulation<'a> {
    deployment: Deployment,
    documents: &'a [(Vec<u8>, document::DocumentManifest)],
    daemons: Vec<SimDaemon>,
    transfers: Vec<Transfer>,
    events: collections::BinaryHeap<Scheduled>,
    order: u64,
    now_ms: f64,
    /// Newest revision in the table.
    written: usize,
    /// Compressed parts by revision and ranges.
    compressed: collections::HashMap<(usize, String), Vec<u8>>,
    rng: rand_chacha::ChaCha8Rng,
    in_force_ms: Vec<Vec<Option<f64>>>,
}

/// Writes the documents one after the other at `written_ms`, and returns the outcome for each.
pub(crate) fn distribute(
    deployment: Deployment,
    texts: &[Vec<u8>],
    written_ms: &[f64],
) -> Vec<DistributionReport> {
    let split = |(index, text): (usize, &Vec<u8>)| {
        let revision = quantity::RevisionNumber::new(index as u64 + 1);
        (text.clone(), document::DocumentManifest::split(revision, text))
    };
    let documents: Vec<_> = texts.iter().enumerate().map(split).collect();
    let mut simulation = Simulation {
        deployment,
        documents: &documents,
        daemons: (0..deployment.daemons).map(|_| SimDaemon::new()).collect(),
        transfers: Vec::new(),
        events: collections::BinaryHeap::new(),
        order: 0,
        now_ms: 0.0,
        written: 0,
        compressed: collections::HashMap::new(),
        rng: rand_chacha::ChaCha8Rng::seed_from_u64(deployment.seed),
        in_force_ms: vec![vec![None; deployment.daemons]; texts.len()],
    };
    // All daemons begin with the first document.
    for daemon in &mut simulation.daemons {
        daemon.revision = Some(0);
    }
    for (index, at_ms) in written_ms.iter().enumerate() {
        simulation.schedule(*at_ms, SimEvent::Written(index + 1));
    }
    simulation.run();
    let sent: Vec<u64> = simulation.daemons.iter().map(|daemon| daemon.sent).collect();
    let received: Vec<u64> = simulation.daemons.iter().map(|daemon| daemon.received).collect();
    let report = |(index, at_ms): (usize, &f64)| DistributionReport {
        in_force_ms: simulation.in_force_ms[index + 1]
            .iter()
            .flatten()
            .map(|in_force_ms| in_force_ms - at_ms)
            .collect(),
        sent: sent.clone(),
        received: received.clone(),
    };
    written_ms.iter().enumerate().map(report).collect()
}

fn address(daemon: usize) -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], daemon as u16 + 1))
}

impl SimDaemon {
    fn new() -> Self {
        SimDaemon {
            revision: None,
            uploads: document_fetch::UploadLimit::default(),
            fetch: None,
            holders: collections::BTreeMap::new(),
            call: 0,
            step: None,
            up_until_ms: 0.0,
            down_until_ms: 0.0,
            sent: 0,
            received: 0,
            reads_table: false,
            is_stopped: false,
        }
    }
}

impl Simulation<'_> {
    fn schedule(&mut self, at_ms: f64, event: SimEvent) {
        self.order += 1;
        self.events.push(Scheduled { at_ms, order: self.order, event });
    }

    fn after(&mut self, delay_ms: f64, event: SimEvent) {
        self.schedule(self.now_ms + delay_ms, event);
    }

    fn now(&self) -> time::MonotonicTime {
        time::MonotonicTime::new(self.now_ms as u64 + 1_000)
    }

    fn zone(&self, daemon: usize) -> usize {
        daemon % self.deployment.zones
    }

    /// Returns the rate of a daemon's link, in bytes per millisecond.
    fn link_rate(&self, daemon: usize) -> f64 {
        match self.is_reader(daemon) {
            true => self.deployment.first_link_rate,
            false => self.deployment.link_rate,
        }
    }

    /// Whether the daemon reads the table for its zone.
    fn is_reader(&self, daemon: usize) -> bool {
        daemon < self.deployment.zones
    }

    fn run(&mut self) {
        while let Some(scheduled) = self.events.pop() {
            self.now_ms = scheduled.at_ms;
            let newest = self.documents.len() - 1;
            let is_done = self.daemons.iter().all(|d| d.is_stopped || d.revision == Some(newest));
            if self.now_ms > 30_000.0 || is_done && self.now_ms > 0.0 {
                return;
            }
            self.handle(scheduled.event);
        }
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Written(revision) => self.on_written(revision),
            SimEvent::ReadFromTable(daemon, revision) => self.take(daemon, revision),
            SimEvent::InForce(daemon, revision) => self.on_in_force(daemon, revision),
            SimEvent::Announce(daemon) => self.announce(daemon),
            SimEvent::Announced { holder, follower, revision } => {
                self.on_announced(holder, follower, revision);
            }
            SimEvent::Step(daemon) => self.step(daemon),
            SimEvent::Request { follower, source, step, call } => {
                self.on_request(follower, source, &step, call);
            }
            SimEvent::Segment { transfer } => self.on_segment(transfer),
            SimEvent::Response { follower, outcome, call } => {
                self.on_response(follower, outcome, call);
            }
            SimEvent::Timeout { follower, call } => {
                self.on_response(follower, document_fetch::FetchOutcome::Failed, call);
            }
            SimEvent::Stop(daemon) => self.daemons[daemon].is_stopped = true,
        }
    }

    fn on_written(&mut self, revision: usize) {
        self.written = revision;
        for zone in 0..self.deployment.zones {
            let mut wait_ms = self.rng.random_range(0.0..READER_MS);
            let mut daemon = zone;
            if self.daemons[daemon].is_stopped {
                daemon += self.deployment.zones;
            }
            if zone == 0 && self.deployment.fault == ReaderFault::FailsForDocument {
                daemon += self.deployment.zones;
                wait_ms += TAKEOVER_MS;
            }
            self.read_table(daemon, revision, wait_ms);
        }
    }

    /// A daemon reads a revision from the table after a while.
    fn read_table(&mut self, daemon: usize, revision: usize, wait_ms: f64) {
        // The table encodes documents in base64.
        let bytes = self.documents[revision].0.len() as u64 * 4 / 3;
        self.daemons[daemon].received += bytes;
        let read_ms = bytes as f64 / self.link_rate(daemon);
        self.after(wait_ms + read_ms, SimEvent::ReadFromTable(daemon, revision));
    }

    /// A daemon has received a revision, and puts it in force once it has decoded it.
    fn take(&mut self, daemon: usize, revision: usize) {
        let megabytes = self.documents[revision].0.len() as f64 / 1e6;
        let cpu_ms = megabytes * self.deployment.cpu_ms_per_mb;
        self.after(cpu_ms, SimEvent::InForce(daemon, revision));
    }

    fn on_in_force(&mut self, daemon: usize, revision: usize) {
        if self.daemons[daemon].revision >= Some(revision) {
            return;
        }
        self.daemons[daemon].revision = Some(revision);
        self.daemons[daemon].reads_table = false;
        self.daemons[daemon].fetch = None;
        for known in 1..=revision {
            self.in_force_ms[known][daemon].get_or_insert(self.now_ms);
        }
        let longest_ms = match self.deployment.strategy {
            Strategy::Parts => ANNOUNCEMENT_MS,
            Strategy::WholeFromReader => WHOLE_INTERVAL_MS,
        };
        let wait_ms = self.rng.random_range(0.0..longest_ms);
        self.after(wait_ms, SimEvent::Announce(daemon));
        if daemon == 0 && self.deployment.fault == ReaderFault::Stops {
            self.after(wait_ms + 60.0, SimEvent::Stop(daemon));
        }
    }

    fn announce(&mut self, holder: usize) {
        let Some(revision) = self.daemons[holder].revision else { return };
        if self.daemons[holder].is_stopped {
            return;
        }
        for follower in 0..self.daemons.len() {
            // The first daemon of a zone announces to the other zones, too.
            if follower == holder
                || self.zone(follower) != self.zone(holder) && !self.is_reader(holder)
                || self.rng.random_bool(self.deployment.loss)
            {
                continue;
            }
            let arrives_ms = self.send(holder, ANNOUNCEMENT_BYTES);
            self.schedule(arrives_ms, SimEvent::Announced { holder, follower, revision });
        }
        self.after(REPEAT_MS, SimEvent::Announce(holder));
    }

    /// Puts bytes on a daemon's link and returns when they arrive.
    fn send(&mut self, daemon: usize, bytes: u64) -> f64 {
        let rate = self.link_rate(daemon);
        let sender = &mut self.daemons[daemon];
        sender.up_until_ms = sender.up_until_ms.max(self.now_ms) + bytes as f64 / rate;
        sender.up_until_ms + self.deployment.delay_ms
    }

    /// Takes bytes from a daemon's link, at which they arrive at `arrives_ms`, and returns when all
    /// are there.
    fn receive(&mut self, daemon: usize, bytes: u64, arrives_ms: f64) -> f64 {
        let rate = self.link_rate(daemon);
        let receiver = &mut self.daemons[daemon];
        receiver.received += bytes;
        receiver.down_until_ms = receiver.down_until_ms.max(arrives_ms) + bytes as f64 / rate;
        receiver.down_until_ms
    }

    fn on_announced(&mut self, holder: usize, follower: usize, revision: usize) {
        let daemon = &mut self.daemons[follower];
        daemon.holders.insert(holder, revision);
        if daemon.is_stopped || daemon.revision >= Some(revision) || daemon.fetch.is_some() {
            return;
        }
        if self.deployment.strategy == Strategy::WholeFromReader
            && self.zone(holder) != self.zone(follower)
        {
            return;
        }
        let mut fetch = document_fetch::DocumentFetch::new(self.now());
        if let Some(current) = self.daemons[follower].revision {
            let (text, manifest) = &self.documents[current];
            fetch.add_known(manifest, text);
        }
        self.daemons[follower].fetch = Some(fetch);
        match self.deployment.strategy {
            Strategy::Parts => self.step(follower),
            Strategy::WholeFromReader => {
                let step = document_fetch::FetchStep::ReadWhole(address(holder));
                self.request(follower, holder, step);
            }
        }
    }

    fn step(&mut self, follower: usize) {
        let now = self.now();
        let draw = self.rng.random();
        let current = self.daemons[follower].revision;
        let zone = self.zone(follower);
        let holders: Vec<_> = self.daemons[follower]
            .holders
            .iter()
            .filter(|(_, revision)| Some(**revision) > current)
            .map(|(holder, _)| document_fetch::DocumentHolder {
                address: address(*holder),
                is_remote: holder % self.deployment.zones != zone,
            })
            .collect();
        let Some(fetch) = &mut self.daemons[follower].fetch else { return };
        let is_stalled = fetch.is_stalled(now);
        if is_stalled && !std::mem::replace(&mut self.daemons[follower].reads_table, true) {
            self.read_table(follower, self.written, 0.0);
        }
        let Some(fetch) = &mut self.daemons[follower].fetch else { return };
        match fetch.next_step(&holders, now, draw) {
            document_fetch::FetchStep::Wait(wait) => {
                self.after(wait.get() as f64, SimEvent::Step(follower));
            }
            document_fetch::FetchStep::Finished(text) => {
                let revision = self.documents.iter().position(|(known, _)| *known == text);
                self.daemons[follower].fetch = None;
                self.take(follower, revision.expect("the text is that of a revision"));
            }
            step @ (document_fetch::FetchStep::ReadManifest(source)
            | document_fetch::FetchStep::ReadParts(source, ..)
            | document_fetch::FetchStep::ReadWhole(source)) => {
                self.request(follower, usize::from(source.port()) - 1, step);
            }
        }
    }

    fn request(&mut self, follower: usize, source: usize, step: document_fetch::FetchStep) {
        let daemon = &mut self.daemons[follower];
        daemon.call += 1;
        let call = daemon.call;
        daemon.step = Some(step.clone());
        // A connection opens first.
        let arrives_ms = self.send(follower, MESSAGE_BYTES) + 2.0 * self.deployment.delay_ms;
        self.schedule(arrives_ms, SimEvent::Request { follower, source, step, call });
        let limit_ms = match self.deployment.strategy {
            Strategy::Parts => PARTS_LIMIT_MS,
            Strategy::WholeFromReader => WHOLE_LIMIT_MS,
        };
        self.after(limit_ms, SimEvent::Timeout { follower, call });
    }

    fn on_request(
        &mut self,
        follower: usize,
        source: usize,
        step: &document_fetch::FetchStep,
        call: u64,
    ) {
        let is_silent = source == 0 && self.deployment.fault == ReaderFault::HangsForPeers;
        if self.daemons[source].is_stopped || is_silent {
            return;
        }
        let Some(revision) = self.daemons[source].revision else { return };
        let (text, manifest) = &self.documents[revision];
        let is_limited = !matches!(step, document_fetch::FetchStep::ReadWhole(_));
        let now = self.now();
        let uploads = &mut self.daemons[source].uploads;
        let slot = match step {
            document_fetch::FetchStep::ReadManifest(_) => uploads.admit_reader(now),
            document_fetch::FetchStep::ReadParts(..) => uploads.take(),
            _ => None,
        };
        let bytes = match step {
            _ if is_limited && slot.is_none() => {
                return self.respond(follower, source, document_fetch::FetchOutcome::Busy, call);
            }
            document_fetch::FetchStep::ReadManifest(_) => {
                manifest.encode().expect("the manifest can be encoded")
            }
            document_fetch::FetchStep::ReadParts(_, requested, ranges)
                if *requested == manifest.revision =>
            {
                let key = (revision, document::encode_ranges(ranges));
                let compress =
                    || manifest.compress(text, ranges).expect("the ranges are in the document");
                self.compressed.entry(key).or_insert_with(compress).clone()
            }
            document_fetch::FetchStep::ReadParts(..) => {
                let outcome = document_fetch::FetchOutcome::Unsupported;
                return self.respond(follower, source, outcome, call);
            }
            _ => text.clone(),
        };
        let rest = bytes.len() as u64 + MESSAGE_BYTES;
        let transfer = Transfer { source, follower, call, rest, bytes, slot, arrives_ms: 0.0 };
        self.transfers.push(transfer);
        self.after(0.0, SimEvent::Segment { transfer: self.transfers.len() - 1 });
    }

    fn respond(
        &mut self,
        follower: usize,
        source: usize,
        outcome: document_fetch::FetchOutcome,
        call: u64,
    ) {
        let arrives_ms = self.send(source, MESSAGE_BYTES);
        self.schedule(arrives_ms, SimEvent::Response { follower, outcome, call });
    }

    /// Sends the next segment of a response, unless its reader has given up.
    fn on_segment(&mut self, index: usize) {
        let Transfer { source, follower, call, rest, .. } = self.transfers[index];
        if self.daemons[follower].call != call || self.daemons[source].is_stopped {
            self.transfers[index].slot = None;
            return;
        }
        let segment = rest.min(SEGMENT_BYTES);
        self.daemons[source].sent += segment;
        let arrives_ms = self.send(source, segment);
        let received_ms = self.receive(follower, segment, arrives_ms);
        let left_ms = self.daemons[source].up_until_ms;
        let transfer = &mut self.transfers[index];
        transfer.rest -= segment;
        transfer.arrives_ms = received_ms;
        if transfer.rest > 0 {
            return self.schedule(left_ms, SimEvent::Segment { transfer: index });
        }
        transfer.slot = None;
        let outcome = document_fetch::FetchOutcome::Served(std::mem::take(&mut transfer.bytes));
        self.schedule(received_ms, SimEvent::Response { follower, outcome, call });
    }

    fn on_response(&mut self, follower: usize, outcome: document_fetch::FetchOutcome, call: u64) {
        let (now, draw) = (self.now(), self.rng.random());
        let daemon = &mut self.daemons[follower];
        if daemon.call != call || daemon.is_stopped {
            return;
        }
        daemon.call += 1;
        let Some(step) = daemon.step.take() else { return };
        let Some(fetch) = &mut daemon.fetch else { return };
        let whole = fetch.on_outcome(&step, outcome, now, draw);
        if let Some(text) = whole {
            daemon.fetch = None;
            let revision = self.documents.iter().position(|(known, _)| *known == text);
            return self.take(follower, revision.expect("the text is that of a revision"));
        }
        match self.deployment.strategy {
            Strategy::Parts => self.step(follower),
            // The next announcement begins another read.
            Strategy::WholeFromReader => daemon.fetch = None,
        }
    }
}
