//! What the engine has loaded, and the orders that change it.

use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_records::set;

use crate::wire;

/// Why an order was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderRefusal {
    /// The order has a fencing number that is older than this one.
    OldFence(quantity::FencingToken),
    /// The order's validity ended before it was carried out.
    Expired,
    /// The engine has no room for another model.
    NoRoom,
}

/// Loaded models, those that are being loaded, the role and the last fencing number.
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
    ready: time::MonotonicTime,
}

impl OrderBook {
    /// A book with models that are loaded from the start.
    pub fn new(
        checks_fencing: bool,
        max_models: usize,
        load_time: time::Millis,
        models: &[set::LoadedModel],
    ) -> Self {
        let ready = time::MonotonicTime::default();
        let models = models.iter().map(|model| ModelSlot { model: model.clone(), ready }).collect();
        OrderBook {
            checks_fencing,
            max_models,
            load_time,
            fence: quantity::FencingToken::default(),
            role: wire::EngineRole::Both,
            models,
        }
    }

    /// Carries out an order that came at `received`.
    ///
    /// # Errors
    ///
    /// Refuses an old fencing number where they are checked, an expired order, and a load for which
    /// there is no room.
    pub fn carry_out(
        &mut self,
        order: &wire::EngineOrder,
        received: time::MonotonicTime,
        now: time::MonotonicTime,
    ) -> Result<(), OrderRefusal> {
        if now.since(received) > order.valid_ms {
            return Err(OrderRefusal::Expired);
        }
        if self.checks_fencing && order.fence < self.fence {
            return Err(OrderRefusal::OldFence(self.fence));
        }
        match &order.action {
            wire::OrderAction::Load(model) => self.load(model, now)?,
            wire::OrderAction::Unload(model) => self.models.retain(|slot| slot.model != *model),
            wire::OrderAction::Role(role) => self.role = *role,
        }
        self.fence = order.fence;
        Ok(())
    }

    /// Fencing number of the last order that was carried out.
    pub fn fence(&self) -> quantity::FencingToken {
        self.fence
    }

    /// The present role.
    pub fn role(&self) -> wire::EngineRole {
        self.role
    }

    /// Models that are loaded.
    pub fn loaded(&self, now: time::MonotonicTime) -> Vec<set::LoadedModel> {
        let ready = self.models.iter().filter(|slot| slot.ready <= now);
        ready.map(|slot| slot.model.clone()).collect()
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
            return Err(OrderRefusal::NoRoom);
        }
        self.models.push(ModelSlot { model: model.clone(), ready: now + self.load_time });
        Ok(())
    }
}
