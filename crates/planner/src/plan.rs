//! Plans with their reasons, as operators see them.

use std::fmt;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_platform::cloud;
use samphiremoor_records::set;

/// What is to be done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlanAction {
    /// Start a VM for a pool.
    Start {
        /// The pool.
        pool: id::RecordId,
        /// What is bought.
        offer: cloud::VmOffer,
    },
    /// Drain a VM and give it back.
    Release {
        /// The pool.
        pool: id::RecordId,
        /// The VM.
        vm: id::VmId,
        /// Its availability zone.
        zone: id::ZoneId,
    },
    /// Load a model.
    Load {
        /// The replica.
        replica: id::ReplicaId,
        /// The model.
        model: set::LoadedModel,
    },
    /// Unload a model.
    Unload {
        /// The replica.
        replica: id::ReplicaId,
        /// The model.
        model: set::LoadedModel,
    },
    /// Make an engine compute prompts and answers.
    UnifyRole {
        /// The replica.
        replica: id::ReplicaId,
    },
}

/// Why it is to be done.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PlanReason {
    /// The pool has fewer replicas than its record's minimum.
    BelowMinimum,
    /// The demand needs more replicas to keep the latency target.
    Demand,
    /// The demand could not be served after the loss of an availability zone's reclaimable VMs.
    ZoneLoss,
    /// A cheaper VM can take the place of a dearer one.
    Cheaper,
    /// The pool has more replicas than it needs.
    Surplus,
    /// The pool has more replicas than its record's maximum.
    AboveMaximum,
    /// A service needs the model and too few replicas have it.
    ModelWanted,
    /// No service needs the model any more.
    ModelUnused,
    /// The model makes room for one that is wanted.
    ModelReplaced,
    /// Routing does not split prompts from answers.
    RoleUnused,
}

impl PlanReason {
    /// The text of the reason.
    pub const fn label(self) -> &'static str {
        match self {
            PlanReason::BelowMinimum => "below-minimum",
            PlanReason::Demand => "demand",
            PlanReason::ZoneLoss => "zone-loss",
            PlanReason::Cheaper => "cheaper",
            PlanReason::Surplus => "surplus",
            PlanReason::AboveMaximum => "above-maximum",
            PlanReason::ModelWanted => "model-wanted",
            PlanReason::ModelUnused => "model-unused",
            PlanReason::ModelReplaced => "model-replaced",
            PlanReason::RoleUnused => "role-unused",
        }
    }
}

/// One action with its reason.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannedAction {
    /// What is to be done.
    pub action: PlanAction,
    /// Why.
    pub reason: PlanReason,
}

/// What a pool needs and has.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolPlan {
    /// The pool.
    pub pool: id::RecordId,
    /// Requests at the fading peak.
    pub demand: u32,
    /// Replicas that are wanted.
    pub wanted: u32,
    /// Replicas that must be left after the loss of an availability zone's reclaimable VMs.
    pub after_loss: u32,
    /// Replicas that count, started ones included.
    pub held: u32,
    /// Price of those that are held.
    pub price: quantity::MicroPrice,
}

/// A whole plan.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FleetPlan {
    /// Every pool.
    pub pools: Vec<PoolPlan>,
    /// The actions, in the order in which they are to be carried out.
    pub actions: Vec<PlannedAction>,
}

impl fmt::Display for PlanReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

impl PlanAction {
    /// Availability zone of a VM that is started or given back.
    pub fn zone(&self) -> Option<&id::ZoneId> {
        match self {
            PlanAction::Start { offer, .. } => Some(&offer.zone),
            PlanAction::Release { zone, .. } => Some(zone),
            _ => None,
        }
    }
}

impl fmt::Display for PlanAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlanAction::Start { pool, offer } => {
                let kind = if offer.reclaimable { "reclaimable" } else { "on-demand" };
                let (class, zone, price) = (&offer.class, &offer.zone, offer.price);
                write!(f, "start pool={pool} class={class} zone={zone} {kind} price={price}")
            }
            PlanAction::Release { pool, vm, zone } => {
                write!(f, "release pool={pool} vm={vm} zone={zone}")
            }
            PlanAction::Load { replica, model } => {
                write!(f, "load replica={replica} {}", ModelText(model))
            }
            PlanAction::Unload { replica, model } => {
                write!(f, "unload replica={replica} {}", ModelText(model))
            }
            PlanAction::UnifyRole { replica } => write!(f, "unify-role replica={replica}"),
        }
    }
}

struct ModelText<'a>(&'a set::LoadedModel);

impl fmt::Display for ModelText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let set::LoadedModel { model, version, adapter } = self.0;
        write!(f, "model={model} version={version}")?;
        match adapter {
            Some(adapter) => write!(f, " adapter={adapter}"),
            None => Ok(()),
        }
    }
}

impl fmt::Display for FleetPlan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for pool in &self.pools {
            writeln!(
                f,
                "pool={} demand={} wanted={} after_loss={} held={} price={}",
                pool.pool, pool.demand, pool.wanted, pool.after_loss, pool.held, pool.price
            )?;
        }
        for planned in &self.actions {
            writeln!(f, "{} reason={}", planned.action, planned.reason)?;
        }
        Ok(())
    }
}
