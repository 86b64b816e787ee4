//! Orders that upstreams were sent, so that none is sent again while it takes effect.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_planner::plan;
use samphiremoor_records::set;
use smallvec::SmallVec;

/// An order that shows no effect in the upstream's state after this time is given again.
const ORDER_MEMORY: time::Millis = time::Millis::new(30_000);

/// Orders by the replica that they were sent to.
#[derive(Clone, Debug, Default)]
pub(crate) struct SentOrders {
    by_replica: collections::BTreeMap<id::ReplicaId, SmallVec<[SentOrder; 2]>>,
}

#[derive(Clone, Debug)]
struct SentOrder {
    action: plan::PlanAction,
    at: time::MonotonicTime,
}

impl SentOrders {
    /// Forgets the orders that may be given again.
    pub(crate) fn forget_old(&mut self, now: time::MonotonicTime) {
        self.by_replica.retain(|_, orders| {
            orders.retain(|order| now.since(order.at) < ORDER_MEMORY);
            !orders.is_empty()
        });
    }

    /// Models that a replica was ordered to load.
    pub(crate) fn loads(&self, replica: &id::ReplicaId) -> impl Iterator<Item = &set::LoadedModel> {
        let orders = self.by_replica.get(replica).into_iter().flatten();
        orders.filter_map(|order| match &order.action {
            plan::PlanAction::Load { model, .. } => Some(model),
            _ => None,
        })
    }

    /// Notes an order; false where the same one was sent already.
    pub(crate) fn note(
        &mut self,
        now: time::MonotonicTime,
        replica: id::ReplicaId,
        action: &plan::PlanAction,
    ) -> bool {
        let orders = self.by_replica.entry(replica).or_default();
        if orders.iter().any(|order| order.action == *action) {
            return false;
        }
        orders.push(SentOrder { action: action.clone(), at: now });
        true
    }
}
