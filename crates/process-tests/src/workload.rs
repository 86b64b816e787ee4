//! Callers that send requests until they are stopped, and check every response.

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time::Duration;
use std::time::Instant;

use async_std::future;
use async_std::task;
use rand::Rng as _;
use rand::SeedableRng as _;
use samphiremoor_base::outcome;

use crate::audit;
use crate::caller;
use crate::control;
use crate::records;

/// Maximum number of sends of one call.
const MAX_SENDS: u32 = 12;

/// Number of reattachments after which a caller treats the request's daemon as lost and sends the
/// call again.
const MAX_REATTACHMENTS: u32 = 3;

/// Pause between two sends of one call.
const RESEND_PAUSE: Duration = Duration::from_millis(400);

/// Parameters of the workload.
#[derive(Clone, Debug)]
pub struct WorkloadPlan {
    /// Addresses of the entry daemons. Each send goes to a random one.
    pub entries: Vec<net::SocketAddr>,
    /// Number of concurrent callers.
    pub callers: u32,
    /// Pause of a caller between two calls.
    pub pause: Duration,
    /// Share of calls that request a streamed response, per mille. The other calls are bookings.
    pub chats_per_mille: u32,
    /// Number of tokens of a streamed response.
    pub chat_tokens: u64,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Interval between two readiness probes of an entry daemon.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of a readiness probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Load balancer of the platform: tracks which entry daemons passed their last readiness probe.
#[derive(Clone, Debug)]
struct ReadinessBalancer {
    ready: sync::Arc<[atomic::AtomicBool]>,
}

impl ReadinessBalancer {
    fn new(count: usize) -> Self {
        ReadinessBalancer { ready: (0..count).map(|_| atomic::AtomicBool::new(true)).collect() }
    }

    /// Returns the indexes of the ready entry daemons, or of all of them if none is ready.
    fn indexes(&self) -> Vec<usize> {
        let all = 0..self.ready.len();
        let is_ready = |index: &usize| self.ready[*index].load(atomic::Ordering::Relaxed);
        let ready: Vec<_> = all.clone().filter(is_ready).collect();
        if ready.is_empty() { all.collect() } else { ready }
    }

    /// Probes one entry daemon until the callers stop.
    async fn probe(
        self,
        index: usize,
        entry: net::SocketAddr,
        stop: sync::Arc<atomic::AtomicBool>,
    ) {
        while !stop.load(atomic::Ordering::Relaxed) {
            let probing = Box::pin(control::status_of(entry, "/readyz"));
            let status = future::timeout(PROBE_TIMEOUT, probing).await.ok().flatten();
            self.ready[index].store(status == Some(200), atomic::Ordering::Relaxed);
            task::sleep(PROBE_INTERVAL).await;
        }
    }
}

/// Running callers of a workload.
pub struct WorkloadRunner {
    stop: sync::Arc<atomic::AtomicBool>,
    callers: Vec<task::JoinHandle<WorkloadReport>>,
}

/// Results of the callers.
#[derive(Clone, Debug, Default)]
pub struct WorkloadReport {
    /// Number of sends, including repeated ones.
    pub sends: u64,
    /// Number of calls by kind and final outcome.
    pub outcomes: collections::BTreeMap<String, u64>,
    /// Number of refused and failed sends by kind, reason and outcome.
    pub refusals: collections::BTreeMap<String, u64>,
    /// Results of all sends.
    pub samples: Vec<SendSample>,
    /// Outcomes that callers received for each key.
    pub ledger: audit::OutcomeLedger,
    /// Descriptions of streams that violated a guarantee.
    pub stream_violations: Vec<String>,
}

/// Result of one send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SendSample {
    /// Index of the entry daemon.
    pub entry: usize,
    /// Kind of the send.
    pub kind: SendKind,
    /// Outcome that the response reported.
    pub outcome: caller::ReportedOutcome,
    /// Time of the send.
    pub sent: Instant,
    /// Time from the send to the end of the response.
    pub length: Duration,
}

/// Kind of the send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendKind {
    /// Call that must not be repeated.
    Booking,
    /// Call with a streamed response.
    Chat,
    /// Reattachment to a streamed response.
    Attach,
}

impl SendKind {
    /// Returns the name in reports.
    pub fn label(self) -> &'static str {
        match self {
            SendKind::Booking => "booking",
            SendKind::Chat => "chat",
            SendKind::Attach => "attach",
        }
    }
}

impl WorkloadRunner {
    /// Starts callers that send to all entry daemons, whether ready or not.
    pub fn start(plan: &WorkloadPlan) -> Self {
        let stop = sync::Arc::new(atomic::AtomicBool::new(false));
        WorkloadRunner::start_with(plan, &ReadinessBalancer::new(plan.entries.len()), stop)
    }

    /// Starts callers behind a load balancer, which sends only to ready entry daemons.
    pub fn start_balanced(plan: &WorkloadPlan) -> Self {
        let stop = sync::Arc::new(atomic::AtomicBool::new(false));
        let ready = ReadinessBalancer::new(plan.entries.len());
        for (index, entry) in plan.entries.iter().enumerate() {
            task::spawn(ready.clone().probe(index, *entry, stop.clone()));
        }
        WorkloadRunner::start_with(plan, &ready, stop)
    }

    fn start_with(
        plan: &WorkloadPlan,
        ready: &ReadinessBalancer,
        stop: sync::Arc<atomic::AtomicBool>,
    ) -> Self {
        let callers = (0..plan.callers)
            .map(|number| {
                let caller = WorkloadCaller::new(plan.clone(), ready.clone(), number);
                task::spawn(caller.run(stop.clone()))
            })
            .collect();
        WorkloadRunner { stop, callers }
    }

    /// Lets each caller finish its call, stops the callers and returns their merged results.
    pub fn finish(self) -> WorkloadReport {
        self.stop.store(true, atomic::Ordering::Relaxed);
        let mut merged = WorkloadReport::default();
        for caller in self.callers {
            merged.merge(task::block_on(caller));
        }
        merged
    }
}

impl WorkloadReport {
    /// Returns the number of calls with the label, which consists of kind and final outcome.
    pub fn count(&self, label: &str) -> u64 {
        self.outcomes.get(label).copied().unwrap_or(0)
    }

    fn record_outcome(&mut self, label: String) {
        *self.outcomes.entry(label).or_default() += 1;
    }

    fn record_send(&mut self, sample: SendSample, reason: Option<&str>) {
        self.sends += 1;
        self.samples.push(sample);
        if let Some(reason) = reason {
            let label = format!("{} {reason} {}", sample.kind.label(), label(sample.outcome));
            *self.refusals.entry(label).or_default() += 1;
        }
    }

    /// Merges the results of other callers into this report.
    pub fn merge(&mut self, other: WorkloadReport) {
        self.sends += other.sends;
        self.samples.extend(other.samples);
        for (label, count) in other.refusals {
            *self.refusals.entry(label).or_default() += count;
        }
        for (label, count) in other.outcomes {
            *self.outcomes.entry(label).or_default() += count;
        }
        self.ledger.merge(other.ledger);
        self.stream_violations.extend(other.stream_violations);
    }
}

struct WorkloadCaller {
    plan: WorkloadPlan,
    ready: ReadinessBalancer,
    number: u32,
    random: rand_chacha::ChaCha8Rng,
    report: WorkloadReport,
}

impl WorkloadCaller {
    fn new(plan: WorkloadPlan, ready: ReadinessBalancer, number: u32) -> Self {
        let seed = plan.seed.wrapping_mul(1_000_003).wrapping_add(u64::from(number));
        let random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        WorkloadCaller { plan, ready, number, random, report: WorkloadReport::default() }
    }

    async fn run(mut self, stop: sync::Arc<atomic::AtomicBool>) -> WorkloadReport {
        let mut call_number = 0_u64;
        while !stop.load(atomic::Ordering::Relaxed) {
            call_number += 1;
            let name = format!("call-{}-{}-{call_number}", self.plan.seed, self.number);
            if self.random.random_range(0..1_000) < self.plan.chats_per_mille {
                self.chat(&name).await;
            } else {
                self.make_booking(&name).await;
            }
            task::sleep(self.plan.pause).await;
        }
        self.report
    }

    /// Makes a booking under one key. Sends it again until the outcome is complete or unknown, or
    /// the sends are exhausted.
    async fn make_booking(&mut self, key: &str) {
        let caller = caller::TestCaller::new();
        let mut last = caller::ReportedOutcome::Missing;
        for _ in 0..MAX_SENDS {
            let entry = self.pick_entry();
            let sent = Instant::now();
            let response =
                caller.call(self.plan.entries[entry], records::BOOKING, Some(key), key).await;
            let kind = SendKind::Booking;
            let sample =
                SendSample { entry, kind, outcome: response.outcome, sent, length: sent.elapsed() };
            self.report.record_send(sample, response.reason().as_deref());
            self.report.ledger.record(key, &response);
            if response.outcome != caller::ReportedOutcome::Missing {
                last = response.outcome;
            }
            let complete = caller::ReportedOutcome::Reported(outcome::CallOutcome::Complete);
            let unknown = caller::ReportedOutcome::Reported(outcome::CallOutcome::Unknown);
            if last == complete || last == unknown {
                break;
            }
            task::sleep(RESEND_PAUSE).await;
        }
        self.report.record_outcome(format!("booking {}", label(last)));
    }

    /// Reads a stream to its end. Reattaches or sends the call again if the response asks for that
    /// or breaks off.
    async fn chat(&mut self, prompt: &str) {
        let mut response = self.send_chat(prompt).await;
        let mut reattachments = 0;
        for _ in 0..MAX_SENDS {
            let next = next_send(&response);
            if next == NextSend::None {
                break;
            }
            task::sleep(RESEND_PAUSE).await;
            response = match (next, response.request_id.clone()) {
                (NextSend::Reattach, Some(id)) if reattachments < MAX_REATTACHMENTS => {
                    reattachments += 1;
                    self.send_reattach(&id, response).await
                }
                _ => {
                    reattachments = 0;
                    self.send_chat(prompt).await
                }
            };
        }
        self.check_stream(prompt, &response);
    }

    async fn send_chat(&mut self, prompt: &str) -> caller::StreamResponse {
        let entry = self.pick_entry();
        let sent = Instant::now();
        let caller = caller::TestCaller::new();
        let response = caller.chat(self.plan.entries[entry], prompt, self.plan.chat_tokens).await;
        self.record_stream(entry, SendKind::Chat, sent, &response);
        response
    }

    /// Reattaches to a stream. The returned response contains all tokens received so far.
    async fn send_reattach(
        &mut self,
        id: &str,
        before: caller::StreamResponse,
    ) -> caller::StreamResponse {
        let entry = self.pick_entry();
        let sent = Instant::now();
        let caller = caller::TestCaller::new();
        let last_event = before.last_event.as_deref();
        let rest = caller.reattach(self.plan.entries[entry], id, last_event).await;
        self.record_stream(entry, SendKind::Attach, sent, &rest);
        let tokens = [before.tokens, rest.tokens].concat();
        let last_event = rest.last_event.or(before.last_event);
        caller::StreamResponse {
            request_id: Some(id.to_owned()),
            tokens,
            last_event,
            end: rest.end,
            reason: rest.reason,
        }
    }

    fn record_stream(
        &mut self,
        entry: usize,
        kind: SendKind,
        sent: Instant,
        response: &caller::StreamResponse,
    ) {
        let outcome = match response.end {
            caller::StreamEnd::Done => {
                caller::ReportedOutcome::Reported(outcome::CallOutcome::Complete)
            }
            caller::StreamEnd::Error(outcome) | caller::StreamEnd::Refused(_, outcome) => outcome,
            caller::StreamEnd::Disconnected => caller::ReportedOutcome::Missing,
        };
        let sample = SendSample { entry, kind, outcome, sent, length: sent.elapsed() };
        self.report.record_send(sample, response.reason.as_deref());
    }

    fn check_stream(&mut self, prompt: &str, response: &caller::StreamResponse) {
        let expected = caller::expected_tokens(prompt, 0, self.plan.chat_tokens);
        let is_prefix = expected.starts_with(&response.tokens);
        if !is_prefix {
            self.report.stream_violations.push(format!("{prompt}: a wrong token"));
        }
        if response.end == caller::StreamEnd::Done && response.tokens.len() != expected.len() {
            let found = response.tokens.len();
            self.report.stream_violations.push(format!("{prompt}: complete with {found} tokens"));
        }
        if next_send(response) != NextSend::None {
            self.report.stream_violations.push(format!("{prompt}: no response"));
        }
        let not_run = caller::ReportedOutcome::Reported(outcome::CallOutcome::NotRun);
        if response.end == caller::StreamEnd::Error(not_run) && !response.tokens.is_empty() {
            self.report.stream_violations.push(format!("{prompt}: outcome not-run after a token"));
        }
        self.report.record_outcome(match &response.end {
            caller::StreamEnd::Done => "chat complete".to_owned(),
            caller::StreamEnd::Error(outcome) => format!("chat error {}", label(*outcome)),
            caller::StreamEnd::Refused(status, outcome) => {
                format!("chat {status} {}", label(*outcome))
            }
            caller::StreamEnd::Disconnected => "chat no response".to_owned(),
        });
    }

    fn pick_entry(&mut self) -> usize {
        let ready = self.ready.indexes();
        ready[self.random.random_range(0..ready.len())]
    }
}

/// Next step of a caller after a streamed response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum NextSend {
    /// The response is final.
    None,
    /// Reattach to the request by its id.
    Reattach,
    /// Send the call again as a new request.
    SendAgain,
}

fn next_send(response: &caller::StreamResponse) -> NextSend {
    let has_request_id = response.request_id.is_some();
    match (&response.end, response.reason.as_deref()) {
        (caller::StreamEnd::Disconnected, _) if has_request_id => NextSend::Reattach,
        (caller::StreamEnd::Disconnected, _) => NextSend::SendAgain,
        // The request's owner has changed or is unreachable; the request may continue there.
        (caller::StreamEnd::Error(_), Some("stopping" | "owner-unreachable")) => NextSend::Reattach,
        (caller::StreamEnd::Refused(..), Some("owner-unreachable")) => NextSend::Reattach,
        (caller::StreamEnd::Refused(..), Some("unknown-request")) => NextSend::SendAgain,
        _ => NextSend::None,
    }
}

/// Returns the name of an outcome in reports.
pub fn label(outcome: caller::ReportedOutcome) -> &'static str {
    match outcome {
        caller::ReportedOutcome::Reported(outcome) => outcome.label(),
        caller::ReportedOutcome::Missing => "no response",
    }
}
