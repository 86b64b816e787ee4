//! Loaded models of the engine and the orders that change them.

use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_records::set;

use crate::wire;

/// Reason for the refusal of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderRefusal {
    /// The order's fencing token is older than this token, which was the last one accepted.
    StaleToken(quantity::FencingToken),
    /// The order's validity expired before its execution.
    Expired,
    /// The engine already holds the maximum number of models.
    MaxModels,
}

/// Loaded and loading models, the role and the last accepted fencing token.
#[derive(Clone, Debug)]
pub struct OrderBook {
    checks_fencing: bool,
    max_models: usize,
    load_time: time::Millis,
    fence: quantity::FencingToken,
    role: wire::EngineRole,
    models: Vec<ModelSlot>,
}

#[derive(Clone, Debug)]
struct ModelSlot {
    model: set::LoadedModel,
    ready_at: time::MonotonicTime,
}

impl OrderBook {
    /// Creates an order book with models that are loaded at startup.
    pub fn new(
        checks_fencing: bool,
        max_models: usize,
        load_time: time::Millis,
        models: &[set::LoadedModel],
    ) -> Self {
        let ready_at = time::MonotonicTime::default();
        let models =
            models.iter().map(|model| ModelSlot { model: model.clone(), ready_at }).collect();
        OrderBook {
            checks_fencing,
            max_models,
            load_time,
            fence: quantity::FencingToken::default(),
            role: wire::EngineRole::Both,
            models,
        }
    }

    /// Executes an order that arrived at `received`.
    ///
    /// # Errors
    ///
    /// Returns an error for an old fencing token if tokens are checked, for an expired order, and
    /// for a load that exceeds the maximum number of models.
    pub fn execute(
        &mut self,
        order: &wire::EngineOrder,
        received: time::MonotonicTime,
        now: time::MonotonicTime,
    ) -> Result<(), OrderRefusal> {
        if now.since(received) > order.valid_ms {
            return Err(OrderRefusal::Expired);
        }
        if self.checks_fencing && order.fence < self.fence {
            return Err(OrderRefusal::StaleToken(self.fence));
        }
        match &order.action {
            wire::OrderAction::Load(model) => self.load(model, now)?,
            wire::OrderAction::Unload(model) => self.models.retain(|slot| slot.model != *model),
            wire::OrderAction::Role(role) => self.role = *role,
        }
        self.fence = order.fence;
        Ok(())
    }

    /// Returns the fencing token of the last executed order.
    pub fn fence(&self) -> quantity::FencingToken {
        self.fence
    }

    /// Returns the current role.
    pub fn role(&self) -> wire::EngineRole {
        self.role
    }

    /// Returns the models that are loaded at `now`.
    pub fn loaded_models(&self, now: time::MonotonicTime) -> Vec<set::LoadedModel> {
        let ready_slots = self.models.iter().filter(|slot| slot.ready_at <= now);
        ready_slots.map(|slot| slot.model.clone()).collect()
    }

    fn load(
        &mut self,
        model: &set::LoadedModel,
        now: time::MonotonicTime,
    ) -> Result<(), OrderRefusal> {
        if self.models.iter().any(|slot| slot.model == *model) {
            return Ok(());
        }
        if self.models.len() >= self.max_models {
            return Err(OrderRefusal::MaxModels);
        }
        self.models.push(ModelSlot { model: model.clone(), ready_at: now + self.load_time });
        Ok(())
    }
}
