//! A request in simulated time, with its retry budget.

// Each test file uses only some of these helpers.
#![allow(dead_code)]

use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_requests::action;
use samphiremoor_requests::backoff;
use samphiremoor_requests::budget;
use samphiremoor_requests::input;
use samphiremoor_requests::machine;
use samphiremoor_requests::policy;

/// Retry budget with a fixed jitter.
pub(crate) struct FixedJitterContext {
    pub(crate) budget: budget::RetryBudget,
}

impl policy::RetryContext for FixedJitterContext {
    fn try_withdraw(&mut self) -> bool {
        self.budget.try_withdraw()
    }

    fn draw_jitter(&mut self) -> backoff::JitterDraw {
        backoff::JitterDraw::new(500)
    }
}

/// Parameters of a simulated request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestParams {
    pub(crate) repeat: policy::RepeatPolicy,
    pub(crate) deadline_ms: u64,
    pub(crate) max_attempts: u32,
    /// Number of retries in the budget at the start, and its burst.
    pub(crate) retries: u32,
    /// Number of response tokens that are already delivered at the start.
    pub(crate) delivered: u64,
}

impl Default for RequestParams {
    fn default() -> Self {
        RequestParams {
            repeat: policy::RepeatPolicy::Repeatable,
            deadline_ms: 10_000,
            max_attempts: 5,
            retries: 10,
            delivered: 0,
        }
    }
}

/// One request in simulated time.
pub(crate) struct SimulatedRequest {
    pub(crate) now: time::MonotonicTime,
    pub(crate) machine: machine::RequestMachine,
    pub(crate) context: FixedJitterContext,
}

impl SimulatedRequest {
    pub(crate) fn new(params: RequestParams) -> Self {
        let policy = policy::RequestPolicy {
            repeat: params.repeat,
            max_attempts: params.max_attempts,
            backoff: backoff::BackoffPolicy {
                base: time::Millis::new(20),
                max: time::Millis::new(1_000),
            },
            replica_wait: time::Millis::new(1_000),
            replica_poll: time::Millis::new(100),
            retry_after: time::Millis::new(700),
        };
        let deadline = time::MonotonicTime::new(params.deadline_ms);
        let delivered = quantity::TokenCount::new(params.delivered);
        let ratio = quantity::PerMille::new(100);
        let budget_policy = budget::BudgetPolicy { ratio, burst: params.retries };
        SimulatedRequest {
            now: time::MonotonicTime::new(0),
            machine: machine::RequestMachine::new(policy, deadline, delivered),
            context: FixedJitterContext { budget: budget::RetryBudget::new(budget_policy) },
        }
    }

    pub(crate) fn step(&mut self, input: input::RequestInput) -> action::ActionList {
        self.machine.step(self.now, input, &mut self.context)
    }

    pub(crate) fn advance(&mut self, duration_ms: u64) {
        self.now = self.now + time::Millis::new(duration_ms);
    }
}
