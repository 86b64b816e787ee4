//! Exponential backoff of offers whose VM starts the cloud refused.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_platform::cloud;

/// Delay after the first refusal; each further refusal doubles it.
const INITIAL_DELAY: time::Millis = time::Millis::new(5_000);
/// Maximum delay.
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
    refusals: u32,
    until: time::MonotonicTime,
}

/// Backoff state of every offer that was refused.
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
        let initial = BackoffState { refusals: 0, until: now };
        let state = self.states.entry(OfferKey::from(offer)).or_insert(initial);
        // Counts refused starts of one plan as a single refusal.
        if now < state.until {
            return state.until;
        }
        let doubled = INITIAL_DELAY.get().saturating_mul(1 << state.refusals.min(16));
        state.refusals = state.refusals.saturating_add(1);
        state.until = now + time::Millis::new(doubled.min(MAX_DELAY.get()));
        state.until
    }

    /// Records an accepted start, which ends the backoff of the offer.
    pub fn on_start_accepted(&mut self, offer: &cloud::VmOffer) {
        self.states.remove(&OfferKey::from(offer));
    }

    /// Returns whether the offer may be tried.
    pub fn allows(&self, offer: &cloud::VmOffer, now: time::MonotonicTime) -> bool {
        self.states.get(&OfferKey::from(offer)).is_none_or(|state| now >= state.until)
    }
}
