//! Properties of the request state machine under random sequences of inputs.

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

/// Random event. The first number of an event about an attempt counts attempts back from the last
/// dispatched one; the second number of `Token` counts tokens ahead of the last delivered one.
#[derive(Clone, Debug)]
enum RequestEvent {
    Claimed,
    /// Chooses the replica with this number.
    Chosen(u8),
    NoReplica,
    Head(u32),
    Token(u32, u64),
    Completed(u32),
    Failed(u32, input::AttemptFailure),
    Overdue(u32),
    /// Advances the clock by milliseconds and fires the timer.
    Advance(u64),
    Abandoned,
}

const FAILURES: [input::AttemptFailure; 9] = [
    input::AttemptFailure::ReplicaCrashed,
    input::AttemptFailure::ConnectFailed,
    input::AttemptFailure::RefusedNotRun,
    input::AttemptFailure::ServerError,
    input::AttemptFailure::UnconfirmedRefusal,
    input::AttemptFailure::ConnectionClosed,
    input::AttemptFailure::ConnectionSilent,
    input::AttemptFailure::InvalidResponse,
    input::AttemptFailure::ReplicaLeaving,
];

fn events() -> impl strategy::Strategy<Value = Vec<RequestEvent>> {
    let failed = (0..3_u32, proptest::sample::select(&FAILURES[..]));
    let event = proptest::prop_oneof![
        2 => strategy::Just(RequestEvent::Claimed),
        6 => (0..4_u8).prop_map(RequestEvent::Chosen),
        1 => strategy::Just(RequestEvent::NoReplica),
        2 => (0..3_u32).prop_map(RequestEvent::Head),
        8 => (0..3_u32, 0..4_u64)
            .prop_map(|(attempts_back, ahead)| RequestEvent::Token(attempts_back, ahead)),
        2 => (0..3_u32).prop_map(RequestEvent::Completed),
        6 => failed
            .prop_map(|(attempts_back, failure)| RequestEvent::Failed(attempts_back, failure)),
        1 => (0..3_u32).prop_map(RequestEvent::Overdue),
        4 => (0..3_000_u64).prop_map(RequestEvent::Advance),
        1 => strategy::Just(RequestEvent::Abandoned),
    ];
    proptest::collection::vec(event, 1..60)
}

/// A request, with a count of the attempts that upstreams ran and a log of its actions.
struct RequestModel {
    request: common::SimulatedRequest,
    /// Number of the last dispatched attempt.
    last_attempt: u32,
    /// Number of attempts that an upstream ran or may still run.
    runs: u32,
    /// Offsets of the delivered tokens, in the order of their delivery.
    delivered: Vec<u64>,
    /// Outcomes with which the request ended.
    outcomes: Vec<outcome::CallOutcome>,
    /// Whether the response to a current attempt was complete.
    is_complete: bool,
}

impl RequestModel {
    fn new(repeat: policy::RepeatPolicy) -> Self {
        let params = common::RequestParams { repeat, ..common::RequestParams::default() };
        RequestModel {
            request: common::SimulatedRequest::new(params),
            last_attempt: 0,
            runs: 0,
            delivered: Vec::new(),
            outcomes: Vec::new(),
            is_complete: false,
        }
    }

    fn attempt_before_last(&self, attempts_back: u32) -> input::AttemptNumber {
        input::AttemptNumber::new(self.last_attempt.saturating_sub(attempts_back))
    }

    fn is_current(&self, attempt: input::AttemptNumber) -> bool {
        matches!(
            self.request.machine.state(),
            machine::RequestState::Dispatched(current) | machine::RequestState::Streaming(current)
                if current == attempt
        )
    }

    fn apply_event(&mut self, event: &RequestEvent) {
        let input = match event {
            RequestEvent::Claimed => RequestInput::Claimed,
            RequestEvent::Chosen(replica) => {
                let replica = format!("r{replica}").parse().expect("a valid identifier");
                RequestInput::ReplicaChosen(replica)
            }
            RequestEvent::NoReplica => RequestInput::NoReplica { retry_after: None },
            RequestEvent::Head(attempts_back) => {
                RequestInput::HeadReceived(self.attempt_before_last(*attempts_back))
            }
            RequestEvent::Token(attempts_back, tokens_ahead) => {
                let token_number = self.request.machine.delivered().get() + tokens_ahead;
                let offset = quantity::TokenCount::new(token_number.saturating_sub(1));
                RequestInput::TokenReceived {
                    attempt: self.attempt_before_last(*attempts_back),
                    offset,
                }
            }
            RequestEvent::Completed(attempts_back) => {
                RequestInput::ResponseComplete(self.attempt_before_last(*attempts_back))
            }
            RequestEvent::Failed(attempts_back, failure) => {
                let attempt = self.attempt_before_last(*attempts_back);
                // The failure of the current attempt proves that the upstream did not run the call.
                if failure.proves_not_run() && self.is_current(attempt) {
                    self.runs -= 1;
                }
                RequestInput::AttemptFailed { attempt, failure: *failure }
            }
            RequestEvent::Overdue(attempts_back) => {
                RequestInput::AttemptOverdue(self.attempt_before_last(*attempts_back))
            }
            RequestEvent::Advance(duration_ms) => {
                self.request.advance(*duration_ms);
                RequestInput::TimerFired
            }
            RequestEvent::Abandoned => RequestInput::Abandoned,
        };
        self.step(input);
    }

    fn step(&mut self, input: RequestInput) {
        let is_completing =
            matches!(&input, RequestInput::ResponseComplete(attempt) if self.is_current(*attempt));
        self.is_complete |= is_completing;
        for action in self.request.step(input) {
            match action {
                RequestAction::Dispatch(command) => {
                    self.last_attempt = command.attempt.get();
                    self.runs += 1;
                }
                RequestAction::DeliverToken(offset) => self.delivered.push(offset.get()),
                RequestAction::Finish(end) => self.outcomes.push(end.outcome),
                _ => {}
            }
        }
    }

    fn check(&self, repeat: policy::RepeatPolicy) -> Result<(), test_runner::TestCaseError> {
        if repeat == policy::RepeatPolicy::AtMostOnce {
            prelude::prop_assert!(self.runs <= 1, "{} runs", self.runs);
        }
        prelude::prop_assert!(self.outcomes.len() <= 1, "ended {} times", self.outcomes.len());
        let expected: Vec<u64> = (0..self.delivered.len() as u64).collect();
        prelude::prop_assert_eq!(
            &self.delivered,
            &expected,
            "each token is delivered once, in order"
        );
        match self.outcomes.first() {
            Some(outcome::CallOutcome::NotRun) => prelude::prop_assert_eq!(self.runs, 0),
            Some(outcome::CallOutcome::Complete) => prelude::prop_assert!(self.is_complete),
            _ => {}
        }
        Ok(())
    }

    /// Advances the clock beyond the deadline, which ends a request in any state.
    fn pass_deadline(&mut self) -> Result<(), test_runner::TestCaseError> {
        self.apply_event(&RequestEvent::Advance(100_000));
        prelude::prop_assert_eq!(self.outcomes.len(), 1, "the request ends exactly once");
        Ok(())
    }
}

/// Runs the events under one repeat policy and checks the result against another.
fn run_events(
    repeat: policy::RepeatPolicy,
    expected_repeat: policy::RepeatPolicy,
    events: &[RequestEvent],
) -> Result<(), test_runner::TestCaseError> {
    let mut model = RequestModel::new(repeat);
    model.step(RequestInput::Start);
    for event in events {
        model.apply_event(event);
        model.check(expected_repeat)?;
    }
    model.pass_deadline()?;
    model.check(expected_repeat)
}

fn config() -> test_runner::Config {
    samphiremoor_testkit::config(1_024)
}

proptest::proptest! {
    #![proptest_config(config())]

    #[test]
    fn repeatable_request_ends_once_with_a_correct_outcome(events in events()) {
        run_events(policy::RepeatPolicy::Repeatable, policy::RepeatPolicy::Repeatable, &events)?;
    }

    #[test]
    fn at_most_once_request_is_run_at_most_once(events in events()) {
        run_events(policy::RepeatPolicy::AtMostOnce, policy::RepeatPolicy::AtMostOnce, &events)?;
    }

    #[test]
    fn backoff_delay_stays_within_bounds(
        retry_number in 0..200_u32,
        random in proptest::num::u32::ANY,
    ) {
        let base = time::Millis::new(20);
        let max = time::Millis::new(1_000);
        let policy = backoff::BackoffPolicy { base, max };
        let delay = policy.delay(retry_number, backoff::JitterDraw::new(random));
        prelude::prop_assert!(delay >= time::Millis::new(10) && delay <= max, "{}", delay);
    }
}

#[test]
fn second_run_of_repeatable_request_is_detected() {
    let mut runner = test_runner::TestRunner::new(config());
    let result = runner.run(&events(), |events| {
        run_events(policy::RepeatPolicy::Repeatable, policy::RepeatPolicy::AtMostOnce, &events)
    });
    let failure = result.expect_err("a repeatable call runs twice");
    assert!(failure.to_string().contains("2 runs"), "{failure}");
}

#[test]
fn retries_stay_within_ratio_and_burst() {
    use samphiremoor_requests::budget;
    let ratio = quantity::PerMille::new(100);
    let mut budget = budget::RetryBudget::new(budget::BudgetPolicy { ratio, burst: 5 });
    let mut granted = 0;
    for _ in 0..1_000 {
        budget.deposit();
        // Every request fails and asks for two retries.
        granted += u32::from(budget.try_withdraw()) + u32::from(budget.try_withdraw());
    }
    // The bucket starts full, so the deposit of the first request is lost.
    assert_eq!(granted, 104, "a tenth of the requests plus the initial burst");
}
