//! Callers that send until they are told to stop, and check every answer.

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

/// Sends of one call until the caller gives up.
const MAX_SENDS: u32 = 12;

/// Times that a caller attaches until it takes the request's daemon for lost and sends anew.
const MAX_ATTACHES: u32 = 3;

/// Time between two sends of one call.
const RESEND_PAUSE: Duration = Duration::from_millis(400);

/// What the callers do.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Entry daemons, chosen at random for each send.
    pub entries: Vec<net::SocketAddr>,
    /// Callers at the same time.
    pub callers: u32,
    /// Pause of a caller between two calls.
    pub pause: Duration,
    /// Calls in a thousand that ask for a streamed answer; the others are bookings.
    pub chats_per_mille: u32,
    /// Tokens of a streamed answer.
    pub chat_tokens: u64,
    /// Seed of all choices.
    pub seed: u64,
}

/// Time between two probes of the balancer.
const PROBE_PAUSE: Duration = Duration::from_millis(250);

/// Time in which an entry daemon must answer the balancer's probe.
const PROBE_LIMIT: Duration = Duration::from_millis(250);

/// The platform's balancer: knows which entry daemons said lately that they take requests.
#[derive(Clone, Debug)]
struct ReadyEntries {
    ready: sync::Arc<[atomic::AtomicBool]>,
}

impl ReadyEntries {
    fn new(count: usize) -> Self {
        ReadyEntries { ready: (0..count).map(|_| atomic::AtomicBool::new(true)).collect() }
    }

    /// Entry daemons that get new work; all of them where none is ready.
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
            let status = future::timeout(PROBE_LIMIT, probing).await.ok().flatten();
            self.ready[index].store(status == Some(200), atomic::Ordering::Relaxed);
            task::sleep(PROBE_PAUSE).await;
        }
    }
}

/// Running callers.
pub struct CallerFleet {
    stop: sync::Arc<atomic::AtomicBool>,
    callers: Vec<task::JoinHandle<FleetReport>>,
}

/// What the callers saw.
#[derive(Clone, Debug, Default)]
pub struct FleetReport {
    /// Sends, repeated ones included.
    pub sends: u64,
    /// Calls by kind and by what was told in the end.
    pub outcomes: collections::BTreeMap<String, u64>,
    /// Refusals and failures of single sends by kind, reason and outcome.
    pub refusals: collections::BTreeMap<String, u64>,
    /// The answers to all sends.
    pub samples: Vec<SendSample>,
    /// What was told of each key.
    pub ledger: audit::ToldLedger,
    /// Streams that broke a promise.
    pub stream_violations: Vec<String>,
}

/// The answer to one send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SendSample {
    /// Index of the entry daemon.
    pub entry: usize,
    /// What was sent.
    pub kind: SendKind,
    /// What was told.
    pub told: caller::ToldOutcome,
    /// When it was sent.
    pub sent: Instant,
    /// Time to the end of the answer.
    pub length: Duration,
}

/// What was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendKind {
    /// A call that may not be repeated.
    Booking,
    /// A streamed answer.
    Chat,
    /// A caller that attached to a streamed answer again.
    Attach,
}

impl SendKind {
    /// Name in reports.
    pub fn label(self) -> &'static str {
        match self {
            SendKind::Booking => "booking",
            SendKind::Chat => "chat",
            SendKind::Attach => "attach",
        }
    }
}

impl CallerFleet {
    /// Starts callers that send to any entry daemon, whether it is ready or not.
    pub fn start(plan: &FleetPlan) -> Self {
        let stop = sync::Arc::new(atomic::AtomicBool::new(false));
        CallerFleet::start_with(plan, &ReadyEntries::new(plan.entries.len()), stop)
    }

    /// Starts callers behind a balancer, which sends to the entry daemons that are ready.
    pub fn start_balanced(plan: &FleetPlan) -> Self {
        let stop = sync::Arc::new(atomic::AtomicBool::new(false));
        let ready = ReadyEntries::new(plan.entries.len());
        for (index, entry) in plan.entries.iter().enumerate() {
            task::spawn(ready.clone().probe(index, *entry, stop.clone()));
        }
        CallerFleet::start_with(plan, &ready, stop)
    }

    fn start_with(
        plan: &FleetPlan,
        ready: &ReadyEntries,
        stop: sync::Arc<atomic::AtomicBool>,
    ) -> Self {
        let callers = (0..plan.callers)
            .map(|number| {
                let caller = FleetCaller::new(plan.clone(), ready.clone(), number);
                task::spawn(caller.run(stop.clone()))
            })
            .collect();
        CallerFleet { stop, callers }
    }

    /// Lets each caller end its call and returns what they saw.
    pub fn finish(self) -> FleetReport {
        self.stop.store(true, atomic::Ordering::Relaxed);
        let mut whole = FleetReport::default();
        for caller in self.callers {
            whole.merge(task::block_on(caller));
        }
        whole
    }
}

impl FleetReport {
    /// Calls of the kind that were told this in the end.
    pub fn count(&self, label: &str) -> u64 {
        self.outcomes.get(label).copied().unwrap_or(0)
    }

    fn note(&mut self, label: String) {
        *self.outcomes.entry(label).or_default() += 1;
    }

    fn note_send(&mut self, sample: SendSample, reason: Option<&str>) {
        self.sends += 1;
        self.samples.push(sample);
        if let Some(reason) = reason {
            let label = format!("{} {reason} {}", sample.kind.label(), label(sample.told));
            *self.refusals.entry(label).or_default() += 1;
        }
    }

    /// Takes in what other callers saw.
    pub fn merge(&mut self, other: FleetReport) {
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

struct FleetCaller {
    plan: FleetPlan,
    ready: ReadyEntries,
    number: u32,
    random: rand_chacha::ChaCha8Rng,
    report: FleetReport,
}

impl FleetCaller {
    fn new(plan: FleetPlan, ready: ReadyEntries, number: u32) -> Self {
        let seed = plan.seed.wrapping_mul(1_000_003).wrapping_add(u64::from(number));
        let random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        FleetCaller { plan, ready, number, random, report: FleetReport::default() }
    }

    async fn run(mut self, stop: sync::Arc<atomic::AtomicBool>) -> FleetReport {
        let mut call_number = 0_u64;
        while !stop.load(atomic::Ordering::Relaxed) {
            call_number += 1;
            let name = format!("call-{}-{}-{call_number}", self.plan.seed, self.number);
            if self.random.random_range(0..1_000) < self.plan.chats_per_mille {
                self.chat(&name).await;
            } else {
                self.book(&name).await;
            }
            task::sleep(self.plan.pause).await;
        }
        self.report
    }

    /// Books under one key and sends again until the outcome is known or the sends are used up.
    async fn book(&mut self, key: &str) {
        let caller = caller::TestCaller::new();
        let mut last = caller::ToldOutcome::Nothing;
        for _ in 0..MAX_SENDS {
            let entry = self.any_entry();
            let sent = Instant::now();
            let answer =
                caller.call(self.plan.entries[entry], records::BOOKING, Some(key), key).await;
            let kind = SendKind::Booking;
            let sample =
                SendSample { entry, kind, told: answer.told, sent, length: sent.elapsed() };
            self.report.note_send(sample, answer.reason().as_deref());
            self.report.ledger.note(key, &answer);
            if answer.told != caller::ToldOutcome::Nothing {
                last = answer.told;
            }
            let is_complete = caller::ToldOutcome::Told(outcome::CallOutcome::Complete);
            let is_unknown = caller::ToldOutcome::Told(outcome::CallOutcome::Unknown);
            if last == is_complete || last == is_unknown {
                break;
            }
            task::sleep(RESEND_PAUSE).await;
        }
        self.report.note(format!("booking {}", label(last)));
    }

    /// Reads a stream to its end; attaches again or sends anew where an answer says so or breaks off.
    async fn chat(&mut self, prompt: &str) {
        let mut answer = self.send_chat(prompt).await;
        let mut attaches = 0;
        for _ in 0..MAX_SENDS {
            let next = next_send(&answer);
            if next == NextSend::None {
                break;
            }
            task::sleep(RESEND_PAUSE).await;
            answer = match (next, answer.request_id.clone()) {
                (NextSend::Attach, Some(id)) if attaches < MAX_ATTACHES => {
                    attaches += 1;
                    self.send_attach(&id, answer).await
                }
                _ => {
                    attaches = 0;
                    self.send_chat(prompt).await
                }
            };
        }
        self.check_stream(prompt, &answer);
    }

    async fn send_chat(&mut self, prompt: &str) -> caller::StreamAnswer {
        let entry = self.any_entry();
        let sent = Instant::now();
        let caller = caller::TestCaller::new();
        let answer = caller.chat(self.plan.entries[entry], prompt, self.plan.chat_tokens).await;
        self.note_stream(entry, SendKind::Chat, sent, &answer);
        answer
    }

    /// Attaches again; the answer holds all tokens so far.
    async fn send_attach(
        &mut self,
        id: &str,
        before: caller::StreamAnswer,
    ) -> caller::StreamAnswer {
        let entry = self.any_entry();
        let sent = Instant::now();
        let caller = caller::TestCaller::new();
        let last_event = before.last_event.as_deref();
        let rest = caller.attach(self.plan.entries[entry], id, last_event).await;
        self.note_stream(entry, SendKind::Attach, sent, &rest);
        let tokens = [before.tokens, rest.tokens].concat();
        let last_event = rest.last_event.or(before.last_event);
        caller::StreamAnswer {
            request_id: Some(id.to_owned()),
            tokens,
            last_event,
            end: rest.end,
            reason: rest.reason,
        }
    }

    fn note_stream(
        &mut self,
        entry: usize,
        kind: SendKind,
        sent: Instant,
        answer: &caller::StreamAnswer,
    ) {
        let told = match answer.end {
            caller::StreamEnd::Done => caller::ToldOutcome::Told(outcome::CallOutcome::Complete),
            caller::StreamEnd::Error(told) | caller::StreamEnd::Refused(_, told) => told,
            caller::StreamEnd::Cut => caller::ToldOutcome::Nothing,
        };
        let sample = SendSample { entry, kind, told, sent, length: sent.elapsed() };
        self.report.note_send(sample, answer.reason.as_deref());
    }

    fn check_stream(&mut self, prompt: &str, answer: &caller::StreamAnswer) {
        let expected = caller::expected_tokens(prompt, 0, self.plan.chat_tokens);
        let is_prefix = expected.starts_with(&answer.tokens);
        if !is_prefix {
            self.report.stream_violations.push(format!("{prompt}: a wrong token"));
        }
        if answer.end == caller::StreamEnd::Done && answer.tokens.len() != expected.len() {
            let found = answer.tokens.len();
            self.report.stream_violations.push(format!("{prompt}: whole with {found} tokens"));
        }
        if next_send(answer) != NextSend::None {
            self.report.stream_violations.push(format!("{prompt}: no answer"));
        }
        let not_run = caller::ToldOutcome::Told(outcome::CallOutcome::NotRun);
        if answer.end == caller::StreamEnd::Error(not_run) && !answer.tokens.is_empty() {
            self.report.stream_violations.push(format!("{prompt}: told not-run after a token"));
        }
        self.report.note(match &answer.end {
            caller::StreamEnd::Done => "chat complete".to_owned(),
            caller::StreamEnd::Error(told) => format!("chat error {}", label(*told)),
            caller::StreamEnd::Refused(status, told) => format!("chat {status} {}", label(*told)),
            caller::StreamEnd::Cut => "chat no answer".to_owned(),
        });
    }

    fn any_entry(&mut self) -> usize {
        let ready = self.ready.indexes();
        ready[self.random.random_range(0..ready.len())]
    }
}

/// What a caller does after an answer to a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum NextSend {
    /// Nothing: this is the answer.
    None,
    /// It attaches again by the request's id.
    Attach,
    /// It sends the call anew.
    Anew,
}

fn next_send(answer: &caller::StreamAnswer) -> NextSend {
    let is_known = answer.request_id.is_some();
    match (&answer.end, answer.reason.as_deref()) {
        (caller::StreamEnd::Cut, _) if is_known => NextSend::Attach,
        (caller::StreamEnd::Cut, _) => NextSend::Anew,
        // The owner has moved or can't be reached now; the request may go on.
        (caller::StreamEnd::Error(_), Some("stopping" | "owner-unreachable")) => NextSend::Attach,
        (caller::StreamEnd::Refused(..), Some("owner-unreachable")) => NextSend::Attach,
        (caller::StreamEnd::Refused(..), Some("unknown-request")) => NextSend::Anew,
        _ => NextSend::None,
    }
}

/// Name of an outcome in reports.
pub fn label(told: caller::ToldOutcome) -> &'static str {
    match told {
        caller::ToldOutcome::Told(outcome) => outcome.label(),
        caller::ToldOutcome::Nothing => "no answer",
    }
}
