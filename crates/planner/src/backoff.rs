//! Exponential backoff of offers whose VM starts the cloud refused.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_platform::cloud;

/// Delay after the first counted refusal; each further one doubles it.
const INITIAL_DELAY: time::Millis = time::Millis::new(5_000);
/// Maximum delay after a refusal.
const MAX_DELAY: time::Millis = time::Millis::new(120_000);

/// Identity of an offer: all fields except the price, which changes.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct OfferKey {
    class: id::VmClass,
    zone: id::ZoneId,
    reclaimable: bool,
}

impl From<&cloud::VmOffer> for OfferKey {
    fn from(offer: &cloud::VmOffer) -> Self {
        OfferKey {
            class: offer.class.clone(),
            zone: offer.zone.clone(),
            reclaimable: offer.reclaimable,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct BackoffState {
    /// Number of counted refusals since the last accepted start.
    refusals: u32,
    /// Time from which the offer may be tried again.
    retry_at: time::MonotonicTime,
}

/// Backoff state of every offer that was refused since its last accepted start.
#[derive(Clone, Debug, Default)]
pub struct OfferBackoff {
    states: collections::BTreeMap<OfferKey, BackoffState>,
}

impl OfferBackoff {
    /// Records a refused start and returns when the offer may be tried again.
    pub fn on_start_refused(
        &mut self,
        offer: &cloud::VmOffer,
        now: time::MonotonicTime,
    ) -> time::MonotonicTime {
        let initial = BackoffState { refusals: 0, retry_at: now };
        let state = self.states.entry(OfferKey::from(offer)).or_insert(initial);
        // A plan can start several VMs of one offer; their refusals count as one.
        if now < state.retry_at {
            return state.retry_at;
        }
        let doubled_ms = INITIAL_DELAY.get().saturating_mul(1 << state.refusals.min(16));
        state.refusals = state.refusals.saturating_add(1);
        state.retry_at = now + time::Millis::new(doubled_ms.min(MAX_DELAY.get()));
        state.retry_at
    }

    /// Records an accepted start, which ends the backoff of the offer.
    pub fn on_start_accepted(&mut self, offer: &cloud::VmOffer) {
        self.states.remove(&OfferKey::from(offer));
    }

    /// Returns whether the offer may be tried.
    pub fn allows(&self, offer: &cloud::VmOffer, now: time::MonotonicTime) -> bool {
        self.states.get(&OfferKey::from(offer)).is_none_or(|state| now >= state.retry_at)
    }
}
