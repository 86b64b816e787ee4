//! Retry budget: retries stay in proportion to traffic.

use samphiremoor_base::quantity;

/// Size of a retry budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BudgetPolicy {
    /// Retries earned by each accepted request, in thousandths.
    pub ratio: quantity::PerMille,
    /// Retries that can be saved up.
    pub burst: u32,
}

/// A token bucket that requests fill and retries empty.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryBudget {
    policy: BudgetPolicy,
    saved_per_mille: u64,
}

/// Price of one retry, in thousandths.
const RETRY_COST: u64 = 1_000;

impl RetryBudget {
    /// A full budget.
    pub fn new(policy: BudgetPolicy) -> Self {
        RetryBudget { policy, saved_per_mille: u64::from(policy.burst) * RETRY_COST }
    }

    /// A budget with nothing saved, for a process that may have spent it before a restart.
    pub fn empty(policy: BudgetPolicy) -> Self {
        RetryBudget { policy, saved_per_mille: 0 }
    }

    /// Changes the size; what is saved above it is lost.
    pub fn resize(&mut self, policy: BudgetPolicy) {
        self.policy = policy;
        self.saved_per_mille = self.saved_per_mille.min(u64::from(policy.burst) * RETRY_COST);
    }

    /// Earns the share of one accepted request.
    pub fn deposit(&mut self) {
        let earned = self.saved_per_mille + u64::from(self.policy.ratio.get());
        self.saved_per_mille = earned.min(u64::from(self.policy.burst) * RETRY_COST);
    }

    /// Takes one retry; false where the budget is spent.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(left) = self.saved_per_mille.checked_sub(RETRY_COST) else { return false };
        self.saved_per_mille = left;
        true
    }

    /// Whole retries that are left.
    pub fn balance(&self) -> u64 {
        self.saved_per_mille / RETRY_COST
    }
}
