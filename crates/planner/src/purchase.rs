//! What is bought and what is given back.

use samphiremoor_platform::cloud;

use crate::fleet;
use crate::plan;

/// What a pool needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PoolTarget {
    /// Replicas in all.
    pub wanted: u32,
    /// Replicas that must be left after the loss of an availability zone's reclaimable VMs.
    pub after_loss: u32,
    /// Least number by the record.
    pub minimum: u32,
    /// Greatest number by the record.
    pub maximum: u32,
}

/// An offer that is to be bought, and why.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PurchaseChoice {
    /// The offer.
    pub offer: cloud::VmOffer,
    /// Why.
    pub reason: plan::PlanReason,
}

/// A way to buy.
pub trait PurchasePolicy: Send {
    /// The next offer to buy for a pool that holds these VMs, or none where nothing is missing.
    fn next_purchase(
        &self,
        need: &PoolTarget,
        held: &fleet::VmCounts,
        offers: &[cloud::VmOffer],
    ) -> Option<PurchaseChoice>;

    /// Whether the pool could do without the VM; by default where it holds more than is wanted.
    fn can_release(
        &self,
        need: &PoolTarget,
        held: &fleet::VmCounts,
        _holding: &fleet::PoolVm,
    ) -> bool {
        held.count() > need.wanted
    }
}

/// Buys the cheapest mix that keeps the demand served after the loss of an availability zone's
/// reclaimable VMs.
#[derive(Clone, Copy, Debug, Default)]
pub struct BalancedPurchase;

/// Buys VMs that can't be reclaimed.
#[derive(Clone, Copy, Debug, Default)]
pub struct OnDemandPurchase;

/// Buys whatever is cheapest.
#[derive(Clone, Copy, Debug, Default)]
pub struct CheapestPurchase;

impl PurchasePolicy for BalancedPurchase {
    fn next_purchase(
        &self,
        need: &PoolTarget,
        held: &fleet::VmCounts,
        offers: &[cloud::VmOffer],
    ) -> Option<PurchaseChoice> {
        let reason = missing_count(need, held).or_else(|| missing_after_loss(need, held))?;
        let gained = offers.iter().map(|offer| (gain(need, held, offer), offer));
        let (gain, offer) = gained.max_by(|(left_gain, left), (right_gain, right)| {
            left_gain
                .total_cmp(right_gain)
                .then_with(|| right.price.cmp(&left.price))
                .then_with(|| held.in_zone(&right.zone).cmp(&held.in_zone(&left.zone)))
        })?;
        (gain > 0.0).then(|| PurchaseChoice { offer: offer.clone(), reason })
    }

    fn can_release(
        &self,
        need: &PoolTarget,
        held: &fleet::VmCounts,
        holding: &fleet::PoolVm,
    ) -> bool {
        let left = held.count_after_loss_without(&holding.zone, holding.reclaimable);
        held.count() > need.wanted && left >= need.after_loss
    }
}

impl PurchasePolicy for OnDemandPurchase {
    fn next_purchase(
        &self,
        need: &PoolTarget,
        held: &fleet::VmCounts,
        offers: &[cloud::VmOffer],
    ) -> Option<PurchaseChoice> {
        let reason = missing_count(need, held)?;
        let on_demand = offers.iter().filter(|offer| !offer.reclaimable);
        let offer = on_demand.min_by_key(|offer| (held.in_zone(&offer.zone), offer.price))?;
        Some(PurchaseChoice { offer: offer.clone(), reason })
    }
}

impl PurchasePolicy for CheapestPurchase {
    fn next_purchase(
        &self,
        need: &PoolTarget,
        held: &fleet::VmCounts,
        offers: &[cloud::VmOffer],
    ) -> Option<PurchaseChoice> {
        let reason = missing_count(need, held)?;
        let offer = offers.iter().min_by_key(|offer| offer.price)?;
        Some(PurchaseChoice { offer: offer.clone(), reason })
    }
}

fn missing_count(need: &PoolTarget, held: &fleet::VmCounts) -> Option<plan::PlanReason> {
    if held.count() < need.minimum {
        return Some(plan::PlanReason::BelowMinimum);
    }
    (held.count() < need.wanted).then_some(plan::PlanReason::Demand)
}

fn missing_after_loss(need: &PoolTarget, held: &fleet::VmCounts) -> Option<plan::PlanReason> {
    let has_room = held.count() < need.maximum;
    let is_short = held.count_after_zone_loss() < need.after_loss;
    (has_room && is_short).then_some(plan::PlanReason::ZoneLoss)
}

/// What an offer does against what is missing, for its price.
fn gain(need: &PoolTarget, held: &fleet::VmCounts, offer: &cloud::VmOffer) -> f64 {
    let counts = held.count() < need.wanted;
    let before = need.after_loss.saturating_sub(held.count_after_zone_loss());
    let left = held.count_after_loss_with(&offer.zone, offer.reclaimable);
    let after = need.after_loss.saturating_sub(left);
    let helped = u32::from(counts) + before.saturating_sub(after);
    f64::from(helped) / offer.price.get().max(1) as f64
}
