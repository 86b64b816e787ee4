//! Plans with their reasons, as shown to operators.

use std::fmt;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_platform::cloud;
use samphiremoor_records::set;

/// Action of a plan.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlanAction {
    /// Starts a VM for a pool.
    Start {
        /// The pool.
        pool: id::RecordId,
        /// The offer to buy.
        offer: cloud::VmOffer,
    },
    /// Drains a VM and releases it.
    Release {
        /// The pool.
        pool: id::RecordId,
        /// The VM.
        vm: id::VmId,
        /// Availability zone of the VM.
        zone: id::ZoneId,
    },
    /// Loads a model.
    Load {
        /// The replica.
        replica: id::ReplicaId,
        /// The model.
        model: set::LoadedModel,
    },
    /// Unloads a model.
    Unload {
        /// The replica.
        replica: id::ReplicaId,
        /// The model.
        model: set::LoadedModel,
    },
    /// Sets the role of an engine back to both prefill and decode.
    UnifyRole {
        /// The replica.
        replica: id::ReplicaId,
    },
}

/// Reason for an action.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PlanReason {
    /// The pool has fewer replicas than the minimum in its record.
    BelowMinimum,
    /// The demand needs more replicas to meet the latency target.
    Demand,
    /// The demand could not be served after the loss of an availability zone's reclaimable VMs.
    ZoneLoss,
    /// A cheaper VM can replace a more expensive one.
    Cheaper,
    /// The pool has more replicas than it needs.
    Surplus,
    /// The pool has more replicas than the maximum in its record.
    AboveMaximum,
    /// A service needs the model, and too few replicas have it.
    ModelWanted,
    /// No service needs the model any more.
    ModelUnused,
    /// The model makes room for a wanted one.
    ModelReplaced,
    /// Routing does not separate prefill from decode.
    RoleUnused,
}

impl PlanReason {
    /// Returns the reason as text.
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

/// An action with its reason.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannedAction {
    /// The action.
    pub action: PlanAction,
    /// Reason for the action.
    pub reason: PlanReason,
}

/// Target and actual size of a pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolPlan {
    /// The pool.
    pub pool: id::RecordId,
    /// Decayed peak of the requests in the pool.
    pub demand: u32,
    /// Number of wanted replicas.
    pub wanted: u32,
    /// Number of replicas that must remain after an availability zone loses its reclaimable VMs.
    pub after_loss: u32,
    /// Number of live, joining and started replicas.
    pub held: u32,
    /// Total price of these replicas.
    pub price: quantity::MicroPrice,
}

/// Plan for all pools.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FleetPlan {
    /// Size of each pool.
    pub pools: Vec<PoolPlan>,
    /// Actions, in the order in which they are to be carried out.
    pub actions: Vec<PlannedAction>,
}

impl fmt::Display for PlanReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

impl PlanAction {
    /// Returns the availability zone of a VM that is started or released.
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
