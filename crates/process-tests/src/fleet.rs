//! Callers that send until they are told to stop, and check every answer.

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time::Duration;

use async_std::task;
use rand::Rng as _;
use rand::SeedableRng as _;
use samphiremoor_base::outcome;

use crate::audit;
use crate::caller;
use crate::records;

/// Sends of one call until the caller gives up.
const MAX_SENDS: u32 = 12;

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
    /// What was told of each key.
    pub ledger: audit::ToldLedger,
    /// Streams that broke a promise.
    pub stream_violations: Vec<String>,
}

impl CallerFleet {
    /// Starts the callers.
    pub fn start(plan: &FleetPlan) -> Self {
        let stop = sync::Arc::new(atomic::AtomicBool::new(false));
        let callers = (0..plan.callers)
            .map(|number| {
                let caller = FleetCaller::new(plan.clone(), number);
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

    fn merge(&mut self, other: FleetReport) {
        self.sends += other.sends;
        for (label, count) in other.outcomes {
            *self.outcomes.entry(label).or_default() += count;
        }
        self.ledger.merge(other.ledger);
        self.stream_violations.extend(other.stream_violations);
    }
}

struct FleetCaller {
    plan: FleetPlan,
    number: u32,
    random: rand_chacha::ChaCha8Rng,
    report: FleetReport,
}

impl FleetCaller {
    fn new(plan: FleetPlan, number: u32) -> Self {
        let seed = plan.seed.wrapping_mul(1_000_003).wrapping_add(u64::from(number));
        let random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        FleetCaller { plan, number, random, report: FleetReport::default() }
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
            self.report.sends += 1;
            let answer = caller.call(entry, records::BOOKING, Some(key), key).await;
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

    /// Reads a stream to its end and attaches again where the connection broke.
    async fn chat(&mut self, prompt: &str) {
        let caller = caller::TestCaller::new();
        let tokens = self.plan.chat_tokens;
        let entry = self.any_entry();
        self.report.sends += 1;
        let mut answer = caller.chat(entry, prompt, tokens).await;
        for _ in 0..MAX_SENDS {
            if answer.end != caller::StreamEnd::Cut {
                break;
            }
            task::sleep(RESEND_PAUSE).await;
            let entry = self.any_entry();
            self.report.sends += 1;
            answer = match answer.request_id.clone() {
                Some(id) => attach(&caller, entry, &id, answer).await,
                None => caller.chat(entry, prompt, tokens).await,
            };
        }
        self.check_stream(prompt, &answer);
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
        if answer.end == caller::StreamEnd::Cut {
            self.report.stream_violations.push(format!("{prompt}: no answer"));
        }
        self.report.note(match &answer.end {
            caller::StreamEnd::Done => "chat complete".to_owned(),
            caller::StreamEnd::Error(told) => format!("chat error {}", label(*told)),
            caller::StreamEnd::Refused(status, told) => format!("chat {status} {}", label(*told)),
            caller::StreamEnd::Cut => "chat no answer".to_owned(),
        });
    }

    fn any_entry(&mut self) -> net::SocketAddr {
        let index = self.random.random_range(0..self.plan.entries.len());
        self.plan.entries[index]
    }
}

async fn attach(
    caller: &caller::TestCaller,
    entry: net::SocketAddr,
    id: &str,
    before: caller::StreamAnswer,
) -> caller::StreamAnswer {
    let rest = caller.attach(entry, id, before.last_event.as_deref()).await;
    let tokens = [before.tokens, rest.tokens].concat();
    let last_event = rest.last_event.or(before.last_event);
    caller::StreamAnswer { request_id: Some(id.to_owned()), tokens, last_event, end: rest.end }
}

fn label(told: caller::ToldOutcome) -> &'static str {
    match told {
        caller::ToldOutcome::Told(outcome) => outcome.label(),
        caller::ToldOutcome::Nothing => "no answer",
    }
}
