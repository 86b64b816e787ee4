//! Random interleavings of everything that can happen to a request.

mod common;

use proptest::prelude;
use proptest::prelude::Strategy as _;
use proptest::strategy;
use proptest::test_runner;
use samphiremoor_base::outcome;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_requests::action::RequestAction;
use samphiremoor_requests::backoff;
use samphiremoor_requests::input;
use samphiremoor_requests::input::RequestInput;
use samphiremoor_requests::machine;
use samphiremoor_requests::policy;

/// What can happen, with attempts and offsets relative to the last ones.
#[derive(Clone, Debug)]
enum Event {
    Claimed,
    Chosen(u8),
    NoReplica,
    Head(u32),
    Token(u32, u64),
    Ended(u32),
    Failed(u32, input::AttemptFailure),
    Pass(u64),
    Abandoned,
}

const FAILURES: [input::AttemptFailure; 7] = [
    input::AttemptFailure::ConnectFailed,
    input::AttemptFailure::RefusedNotRun,
    input::AttemptFailure::ServerError,
    input::AttemptFailure::ConnectionClosed,
    input::AttemptFailure::ConnectionSilent,
    input::AttemptFailure::InvalidResponse,
    input::AttemptFailure::ReplicaLeaving,
];

fn events() -> impl strategy::Strategy<Value = Vec<Event>> {
    let failed = (0..3_u32, proptest::sample::select(&FAILURES[..]));
    let event = proptest::prop_oneof![
        2 => strategy::Just(Event::Claimed),
        6 => (0..4_u8).prop_map(Event::Chosen),
        1 => strategy::Just(Event::NoReplica),
        2 => (0..3_u32).prop_map(Event::Head),
        8 => (0..3_u32, 0..4_u64).prop_map(|(back, offset)| Event::Token(back, offset)),
        2 => (0..3_u32).prop_map(Event::Ended),
        6 => failed.prop_map(|(back, failure)| Event::Failed(back, failure)),
        4 => (0..3_000_u64).prop_map(Event::Pass),
        1 => strategy::Just(Event::Abandoned),
    ];
    proptest::collection::vec(event, 1..60)
}

/// A request with what the upstreams ran of it.
struct World {
    trial: common::Trial,
    attempts: u32,
    /// Dispatches that an upstream has run or may still run.
    runs: u32,
    delivered: Vec<u64>,
    ends: Vec<outcome::CallOutcome>,
    is_whole: bool,
}

impl World {
    fn new(repeat: policy::RepeatPolicy) -> Self {
        let request = common::TrialRequest { repeat, ..common::TrialRequest::default() };
        World {
            trial: common::Trial::new(request),
            attempts: 0,
            runs: 0,
            delivered: Vec::new(),
            ends: Vec::new(),
            is_whole: false,
        }
    }

    fn attempt(&self, back: u32) -> input::AttemptNumber {
        input::AttemptNumber::new(self.attempts.saturating_sub(back))
    }

    fn is_current(&self, attempt: input::AttemptNumber) -> bool {
        matches!(
            self.trial.machine.state(),
            machine::RequestState::Dispatched(current) | machine::RequestState::Streaming(current)
                if current == attempt
        )
    }

    fn run(&mut self, event: &Event) {
        let input = match event {
            Event::Claimed => RequestInput::Claimed,
            Event::Chosen(replica) => {
                let replica = format!("r{replica}").parse().expect("a valid identifier");
                RequestInput::ReplicaChosen(replica)
            }
            Event::NoReplica => RequestInput::NoReplica { retry_after: None },
            Event::Head(back) => RequestInput::HeadReceived(self.attempt(*back)),
            Event::Token(back, ahead) => {
                let next = self.trial.machine.delivered().get() + ahead;
                let offset = quantity::TokenCount::new(next.saturating_sub(1));
                RequestInput::TokenReceived { attempt: self.attempt(*back), offset }
            }
            Event::Ended(back) => RequestInput::ResponseComplete(self.attempt(*back)),
            Event::Failed(back, failure) => {
                let attempt = self.attempt(*back);
                // The upstream of the present dispatch says, or shows, that it ran nothing.
                if failure.is_not_run() && self.is_current(attempt) {
                    self.runs -= 1;
                }
                RequestInput::AttemptFailed { attempt, failure: *failure }
            }
            Event::Pass(length) => {
                self.trial.pass(*length);
                RequestInput::TimerFired
            }
            Event::Abandoned => RequestInput::Abandoned,
        };
        self.give(input);
    }

    fn give(&mut self, input: RequestInput) {
        let is_end =
            matches!(&input, RequestInput::ResponseComplete(attempt) if self.is_current(*attempt));
        self.is_whole |= is_end;
        for action in self.trial.give(input) {
            match action {
                RequestAction::Dispatch(order) => {
                    self.attempts = order.attempt.get();
                    self.runs += 1;
                }
                RequestAction::DeliverToken(offset) => self.delivered.push(offset.get()),
                RequestAction::Finish(end) => self.ends.push(end.outcome),
                _ => {}
            }
        }
    }

    fn check(&self, repeat: policy::RepeatPolicy) -> Result<(), test_runner::TestCaseError> {
        if repeat == policy::RepeatPolicy::AtMostOnce {
            prelude::prop_assert!(self.runs <= 1, "{} runs", self.runs);
        }
        prelude::prop_assert!(self.ends.len() <= 1, "ended {} times", self.ends.len());
        let expected: Vec<u64> = (0..self.delivered.len() as u64).collect();
        prelude::prop_assert_eq!(&self.delivered, &expected, "tokens are in order, each once");
        match self.ends.first() {
            Some(outcome::CallOutcome::NotRun) => prelude::prop_assert_eq!(self.runs, 0),
            Some(outcome::CallOutcome::Complete) => prelude::prop_assert!(self.is_whole),
            _ => {}
        }
        Ok(())
    }

    /// Whatever happened, the deadline ends the request.
    fn end(&mut self) -> Result<(), test_runner::TestCaseError> {
        self.run(&Event::Pass(100_000));
        prelude::prop_assert_eq!(self.ends.len(), 1, "the request has one end");
        Ok(())
    }
}

/// Runs the events under one rule and checks them under another.
fn run(
    served: policy::RepeatPolicy,
    checked: policy::RepeatPolicy,
    events: &[Event],
) -> Result<(), test_runner::TestCaseError> {
    let mut world = World::new(served);
    world.give(RequestInput::Start);
    for event in events {
        world.run(event);
        world.check(checked)?;
    }
    world.end()?;
    world.check(checked)
}

fn config() -> test_runner::Config {
    samphiremoor_testkit::config(1_024)
}

proptest::proptest! {
    #![proptest_config(config())]

    #[test]
    fn repeatable_request_has_one_honest_end(events in events()) {
        run(policy::RepeatPolicy::Repeatable, policy::RepeatPolicy::Repeatable, &events)?;
    }

    #[test]
    fn once_only_request_runs_at_most_once(events in events()) {
        run(policy::RepeatPolicy::AtMostOnce, policy::RepeatPolicy::AtMostOnce, &events)?;
    }

    #[test]
    fn delay_stays_within_its_bounds(retry in 0..200_u32, random in proptest::num::u32::ANY) {
        let base = time::Millis::new(20);
        let max = time::Millis::new(1_000);
        let policy = backoff::BackoffPolicy { base, max };
        let delay = policy.delay(retry, backoff::JitterDraw::new(random));
        prelude::prop_assert!(delay >= time::Millis::new(10) && delay <= max, "{}", delay);
    }
}

#[test]
fn without_the_rule_the_second_run_is_found() {
    let mut runner = test_runner::TestRunner::new(config());
    let found = runner.run(&events(), |events| {
        run(policy::RepeatPolicy::Repeatable, policy::RepeatPolicy::AtMostOnce, &events)
    });
    let failure = found.expect_err("a call under the other rule runs twice");
    assert!(failure.to_string().contains("2 runs"), "{failure}");
}

#[test]
fn retries_stay_in_proportion_to_requests() {
    use samphiremoor_requests::budget;
    let ratio = quantity::PerMille::new(100);
    let mut budget = budget::RetryBudget::new(budget::BudgetPolicy { ratio, burst: 5 });
    let mut granted = 0;
    for _ in 0..1_000 {
        budget.deposit();
        // Every request fails and asks for two retries.
        granted += u32::from(budget.try_withdraw()) + u32::from(budget.try_withdraw());
    }
    // The first request finds the savings full and adds nothing.
    assert_eq!(granted, 104, "a tenth of the requests and the savings");
}
