//! Policies that decide which VMs are bought and which are released.

use samphiremoor_platform::cloud;

use crate::fleet;
use crate::plan;

/// Target size of a pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PoolTarget {
    /// Number of replicas wanted for the demand, within the minimum and the maximum.
    pub wanted: u32,
    /// Number of replicas that must remain after an availability zone loses its reclaimable VMs.
    pub after_loss: u32,
    /// Minimum number of replicas, from the record of the pool.
    pub minimum: u32,
    /// Maximum number of replicas, from the record of the pool.
    pub maximum: u32,
}

/// An offer to buy, with the reason.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PurchaseChoice {
    /// The offer.
    pub offer: cloud::VmOffer,
    /// Reason for the purchase.
    pub reason: plan::PlanReason,
}

/// Policy that decides which VMs a pool buys and releases.
pub trait PurchasePolicy: Send {
    /// Returns the next offer to buy for a pool with these VMs; `None` if the pool needs no more.
    fn next_purchase(
        &self,
        target: &PoolTarget,
        vm_counts: &fleet::VmCounts,
        offers: &[cloud::VmOffer],
    ) -> Option<PurchaseChoice>;

    /// Returns whether the pool can release the VM. By default, it can if it has more VMs than are
    /// wanted.
    fn can_release(
        &self,
        target: &PoolTarget,
        vm_counts: &fleet::VmCounts,
        _pool_vm: &fleet::PoolVm,
    ) -> bool {
        vm_counts.count() > target.wanted
    }
}

/// Buys the cheapest mix of VMs that can still serve the demand after an availability zone loses
/// its reclaimable VMs.
#[derive(Clone, Copy, Debug, Default)]
pub struct BalancedPurchase;

/// Buys only VMs that the cloud may not reclaim.
#[derive(Clone, Copy, Debug, Default)]
pub struct OnDemandPurchase;

/// Buys the cheapest VMs.
#[derive(Clone, Copy, Debug, Default)]
pub struct CheapestPurchase;

impl PurchasePolicy for BalancedPurchase {
    fn next_purchase(
        &self,
        target: &PoolTarget,
        vm_counts: &fleet::VmCounts,
        offers: &[cloud::VmOffer],
    ) -> Option<PurchaseChoice> {
        let reason = count_shortfall(target, vm_counts)
            .or_else(|| zone_loss_shortfall(target, vm_counts))?;
        let candidates =
            offers.iter().map(|offer| (gain_per_price(target, vm_counts, offer), offer));
        let (gain_per_price, offer) =
            candidates.max_by(|(left_gain, left), (right_gain, right)| {
                left_gain
                    .total_cmp(right_gain)
                    .then_with(|| right.price.cmp(&left.price))
                    .then_with(|| {
                        vm_counts.in_zone(&right.zone).cmp(&vm_counts.in_zone(&left.zone))
                    })
            })?;
        (gain_per_price > 0.0).then(|| PurchaseChoice { offer: offer.clone(), reason })
    }

    fn can_release(
        &self,
        target: &PoolTarget,
        vm_counts: &fleet::VmCounts,
        pool_vm: &fleet::PoolVm,
    ) -> bool {
        let remaining = vm_counts.count_after_loss_without(&pool_vm.zone, pool_vm.reclaimable);
        vm_counts.count() > target.wanted && remaining >= target.after_loss
    }
}

impl PurchasePolicy for OnDemandPurchase {
    fn next_purchase(
        &self,
        target: &PoolTarget,
        vm_counts: &fleet::VmCounts,
        offers: &[cloud::VmOffer],
    ) -> Option<PurchaseChoice> {
        let reason = count_shortfall(target, vm_counts)?;
        let on_demand = offers.iter().filter(|offer| !offer.reclaimable);
        let offer = on_demand.min_by_key(|offer| (vm_counts.in_zone(&offer.zone), offer.price))?;
        Some(PurchaseChoice { offer: offer.clone(), reason })
    }
}

impl PurchasePolicy for CheapestPurchase {
    fn next_purchase(
        &self,
        target: &PoolTarget,
        vm_counts: &fleet::VmCounts,
        offers: &[cloud::VmOffer],
    ) -> Option<PurchaseChoice> {
        let reason = count_shortfall(target, vm_counts)?;
        let offer = offers.iter().min_by_key(|offer| offer.price)?;
        Some(PurchaseChoice { offer: offer.clone(), reason })
    }
}

/// Returns the reason to buy a VM if the pool has fewer VMs than are wanted.
fn count_shortfall(target: &PoolTarget, vm_counts: &fleet::VmCounts) -> Option<plan::PlanReason> {
    if vm_counts.count() < target.minimum {
        return Some(plan::PlanReason::BelowMinimum);
    }
    (vm_counts.count() < target.wanted).then_some(plan::PlanReason::Demand)
}

/// Returns the reason to buy a VM if too few VMs would remain after the loss of an availability
/// zone's reclaimable VMs.
fn zone_loss_shortfall(
    target: &PoolTarget,
    vm_counts: &fleet::VmCounts,
) -> Option<plan::PlanReason> {
    let has_room = vm_counts.count() < target.maximum;
    let is_short = vm_counts.count_after_zone_loss() < target.after_loss;
    (has_room && is_short).then_some(plan::PlanReason::ZoneLoss)
}

/// Returns by how much an offer reduces the two shortfalls, below the wanted number and after the
/// loss of a zone, per unit of its price.
fn gain_per_price(target: &PoolTarget, vm_counts: &fleet::VmCounts, offer: &cloud::VmOffer) -> f64 {
    let is_below_wanted = vm_counts.count() < target.wanted;
    let shortfall_before = target.after_loss.saturating_sub(vm_counts.count_after_zone_loss());
    let remaining = vm_counts.count_after_loss_with(&offer.zone, offer.reclaimable);
    let shortfall_after = target.after_loss.saturating_sub(remaining);
    let reduction = u32::from(is_below_wanted) + shortfall_before.saturating_sub(shortfall_after);
    f64::from(reduction) / offer.price.get().max(1) as f64
}
