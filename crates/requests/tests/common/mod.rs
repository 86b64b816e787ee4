//! A request, the budget that it shares and its clock.

// Each test file uses a part of this one.
#![allow(dead_code)]

use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_requests::action;
use samphiremoor_requests::backoff;
use samphiremoor_requests::budget;
use samphiremoor_requests::input;
use samphiremoor_requests::machine;
use samphiremoor_requests::policy;

/// A retry budget with a fixed jitter.
pub(crate) struct FixedGate {
    pub(crate) budget: budget::RetryBudget,
}

impl policy::RetryContext for FixedGate {
    fn try_withdraw(&mut self) -> bool {
        self.budget.try_withdraw()
    }

    fn draw_jitter(&mut self) -> backoff::JitterDraw {
        backoff::JitterDraw::new(500)
    }
}

/// What a trial request is like.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TrialRequest {
    pub(crate) repeat: policy::RepeatPolicy,
    pub(crate) deadline_ms: u64,
    pub(crate) max_attempts: u32,
    pub(crate) retries: u32,
    pub(crate) delivered: u64,
}

impl Default for TrialRequest {
    fn default() -> Self {
        TrialRequest {
            repeat: policy::RepeatPolicy::Repeatable,
            deadline_ms: 10_000,
            max_attempts: 5,
            retries: 10,
            delivered: 0,
        }
    }
}

/// One request in simulated time.
pub(crate) struct Trial {
    pub(crate) now: time::MonotonicTime,
    pub(crate) machine: machine::RequestMachine,
    pub(crate) gate: FixedGate,
}

impl Trial {
    pub(crate) fn new(request: TrialRequest) -> Self {
        let policy = policy::RequestPolicy {
            repeat: request.repeat,
            max_attempts: request.max_attempts,
            backoff: backoff::BackoffPolicy {
                base: time::Millis::new(20),
                max: time::Millis::new(1_000),
            },
            replica_wait: time::Millis::new(1_000),
            replica_poll: time::Millis::new(100),
            retry_after: time::Millis::new(700),
        };
        let deadline = time::MonotonicTime::new(request.deadline_ms);
        let delivered = quantity::TokenCount::new(request.delivered);
        let ratio = quantity::PerMille::new(100);
        let burst = budget::BudgetPolicy { ratio, burst: request.retries };
        Trial {
            now: time::MonotonicTime::new(0),
            machine: machine::RequestMachine::new(policy, deadline, delivered),
            gate: FixedGate { budget: budget::RetryBudget::new(burst) },
        }
    }

    pub(crate) fn give(&mut self, input: input::RequestInput) -> action::ActionList {
        self.machine.step(self.now, input, &mut self.gate)
    }

    pub(crate) fn pass(&mut self, length: u64) {
        self.now = self.now + time::Millis::new(length);
    }
}
