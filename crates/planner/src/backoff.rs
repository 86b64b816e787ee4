//! Offers that the cloud refused, and when they may be tried again.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_platform::cloud;

/// Wait after the first refusal; each further one doubles it.
const FIRST_WAIT: time::Millis = time::Millis::new(5_000);
/// Longest wait.
const MAX_WAIT: time::Millis = time::Millis::new(120_000);

/// An offer without its price, which changes.
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
struct RefusalState {
    refusals: u32,
    until: time::MonotonicTime,
}

/// Backoff of every offer.
#[derive(Clone, Debug, Default)]
pub struct OfferBackoff {
    states: collections::BTreeMap<OfferKey, RefusalState>,
}

impl OfferBackoff {
    /// Notes a refused start and returns when the offer may be tried again.
    pub fn on_start_refused(
        &mut self,
        offer: &cloud::VmOffer,
        now: time::MonotonicTime,
    ) -> time::MonotonicTime {
        let fresh = RefusalState { refusals: 0, until: now };
        let state = self.states.entry(OfferKey::from(offer)).or_insert(fresh);
        // Several starts of one plan that are refused together are one refusal.
        if now < state.until {
            return state.until;
        }
        let doubled = FIRST_WAIT.get().saturating_mul(1 << state.refusals.min(16));
        state.refusals = state.refusals.saturating_add(1);
        state.until = now + time::Millis::new(doubled.min(MAX_WAIT.get()));
        state.until
    }

    /// Notes an accepted start.
    pub fn on_start_accepted(&mut self, offer: &cloud::VmOffer) {
        self.states.remove(&OfferKey::from(offer));
    }

    /// Whether the offer may be tried.
    pub fn allows(&self, offer: &cloud::VmOffer, now: time::MonotonicTime) -> bool {
        self.states.get(&OfferKey::from(offer)).is_none_or(|state| now >= state.until)
    }
}
