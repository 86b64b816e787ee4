//! Retry budget, which keeps the number of retries in proportion to the traffic.

use samphiremoor_base::quantity;

/// Refill rate and size of a retry budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BudgetPolicy {
    /// Retries credited for each accepted request, in thousandths of a retry.
    pub ratio: quantity::PerMille,
    /// Maximum number of retries in the budget.
    pub burst: u32,
}

/// Token bucket that accepted requests fill and retries drain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryBudget {
    policy: BudgetPolicy,
    balance_per_mille: u64,
}

/// Cost of one retry, in thousandths of a retry.
const RETRY_COST_PER_MILLE: u64 = 1_000;

impl RetryBudget {
    /// Creates a budget that is filled up to the burst.
    pub fn new(policy: BudgetPolicy) -> Self {
        RetryBudget { policy, balance_per_mille: u64::from(policy.burst) * RETRY_COST_PER_MILLE }
    }

    /// Creates an empty budget, for a process that may have consumed its budget before a restart.
    pub fn empty(policy: BudgetPolicy) -> Self {
        RetryBudget { policy, balance_per_mille: 0 }
    }

    /// Changes the policy; any balance above the new burst is lost.
    pub fn resize(&mut self, policy: BudgetPolicy) {
        self.policy = policy;
        self.balance_per_mille =
            self.balance_per_mille.min(u64::from(policy.burst) * RETRY_COST_PER_MILLE);
    }

    /// Credits the budget for one accepted request.
    pub fn deposit(&mut self) {
        let credited = self.balance_per_mille + u64::from(self.policy.ratio.get());
        self.balance_per_mille = credited.min(u64::from(self.policy.burst) * RETRY_COST_PER_MILLE);
    }

    /// Withdraws one retry; returns `false` if the budget is exhausted.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(remaining) = self.balance_per_mille.checked_sub(RETRY_COST_PER_MILLE) else {
            return false;
        };
        self.balance_per_mille = remaining;
        true
    }

    /// Returns the number of whole retries that are available.
    pub fn balance(&self) -> u64 {
        self.balance_per_mille / RETRY_COST_PER_MILLE
    }
}
