//! Orders that were sent to upstreams, so that none is repeated while it takes effect.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_planner::plan;
use samphiremoor_records::set;
use smallvec::SmallVec;

/// An order is sent again if the state of the upstream shows no effect after this time.
const ORDER_RETRY_INTERVAL: time::Millis = time::Millis::new(30_000);

/// Sent orders by replica.
#[derive(Clone, Debug, Default)]
pub(crate) struct SentOrders {
    by_replica: collections::BTreeMap<id::ReplicaId, SmallVec<[SentOrder; 2]>>,
}

/// An order with its send time.
#[derive(Clone, Debug)]
struct SentOrder {
    action: plan::PlanAction,
    sent_at: time::MonotonicTime,
}

impl SentOrders {
    /// Removes the orders that may be sent again.
    pub(crate) fn remove_expired(&mut self, now: time::MonotonicTime) {
        self.by_replica.retain(|_, orders| {
            orders.retain(|order| now.since(order.sent_at) < ORDER_RETRY_INTERVAL);
            !orders.is_empty()
        });
    }

    /// Returns the models that a replica was ordered to load.
    pub(crate) fn pending_loads(
        &self,
        replica: &id::ReplicaId,
    ) -> impl Iterator<Item = &set::LoadedModel> {
        let orders = self.by_replica.get(replica).into_iter().flatten();
        orders.filter_map(|order| match &order.action {
            plan::PlanAction::Load { model, .. } => Some(model),
            _ => None,
        })
    }

    /// Records an order and returns whether it is new.
    pub(crate) fn record(
        &mut self,
        now: time::MonotonicTime,
        replica: id::ReplicaId,
        action: &plan::PlanAction,
    ) -> bool {
        let orders = self.by_replica.entry(replica).or_default();
        if orders.iter().any(|order| order.action == *action) {
            return false;
        }
        orders.push(SentOrder { action: action.clone(), sent_at: now });
        true
    }
}
