//! Which upstreams may get a call from this daemon now.

use std::collections::HashMap;
use std::sync;

use http_types::Response;
use http_types::StatusCode;
use samphiremoor_base::event;
use samphiremoor_base::id;
use samphiremoor_base::log_event;
use samphiremoor_base::time;
use samphiremoor_fleet::send_state;
use samphiremoor_view::zone;
use smallvec::SmallVec;

/// Header of a refusal: the seconds for which an upstream wants no call from this daemon.
const RETRY_AFTER_HEADER: &str = "Retry-After";

/// Upstreams that may not get a call now.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeldUpstreams {
    /// Those that asked for a pause, with its end.
    pub(crate) paused: SmallVec<[(id::ReplicaId, time::MonotonicTime); 2]>,
    /// Those that get one if no other one is left.
    pub(crate) avoided: SmallVec<[id::ReplicaId; 2]>,
}

/// What this daemon has observed of the upstreams that keeps calls away from them.
#[derive(Debug, Default)]
pub struct UpstreamStates(sync::Mutex<HashMap<id::ReplicaId, send_state::SendState>>);

impl UpstreamStates {
    fn with<T>(
        &self,
        run: impl FnOnce(&mut HashMap<id::ReplicaId, send_state::SendState>) -> T,
    ) -> T {
        run(&mut self.0.lock().unwrap_or_else(sync::PoisonError::into_inner))
    }

    /// Avoids an upstream until the given time.
    pub fn avoid(&self, replica: &id::ReplicaId, until: time::MonotonicTime) {
        self.with(|states| states.entry(replica.clone()).or_default().avoid_until(until));
    }

    /// Observes the head of an upstream's response, which may ask for a pause.
    pub(crate) fn observe_response(
        &self,
        replica: &id::ReplicaId,
        response: &Response,
        now: time::MonotonicTime,
    ) {
        if response.status() != StatusCode::ServiceUnavailable {
            return;
        }
        let Some(values) = response.header(RETRY_AFTER_HEADER) else { return };
        let lengths = values.iter().filter_map(|value| match value.as_str().parse() {
            Ok(length) => Some(length),
            Err(cause) => {
                log::debug!("{replica} names {value:?} as its pause ({cause}); ignoring it");
                None
            }
        });
        let longest: Option<send_state::PauseLength> = lengths.max();
        let Some(asked) = longest else { return };
        let Some(length) = asked.nonzero() else { return };
        let begins = self.with(|states| {
            let state = states.entry(replica.clone()).or_default();
            state.on_pause(length, rand::random(), now)
        });
        if begins {
            log_event!(event::LogEvent::UpstreamPaused, replica = replica, seconds = asked);
        }
    }

    /// Observes that a call is sent to an upstream.
    pub(crate) fn on_sent(&self, replica: &id::ReplicaId, now: time::MonotonicTime) {
        self.with(|states| {
            if let Some(state) = states.get_mut(replica) {
                state.on_sent(now);
            }
        });
    }

    /// Observes that an upstream answered a call that was sent at `sent_at`.
    pub(crate) fn on_answer(&self, replica: &id::ReplicaId, sent_at: time::MonotonicTime) {
        self.with(|states| {
            if let Some(state) = states.get_mut(replica) {
                state.on_answer(sent_at);
            }
        });
    }

    /// Returns whether an upstream has asked for a pause that is in force.
    pub(crate) fn is_paused(&self, replica: &id::ReplicaId, now: time::MonotonicTime) -> bool {
        self.with(|states| {
            states.get(replica).is_some_and(|state| state.paused_until(now).is_some())
        })
    }

    /// Returns the upstreams that may not get a call now.
    pub(crate) fn held(&self, now: time::MonotonicTime) -> HeldUpstreams {
        let mut held = HeldUpstreams::default();
        self.with(|states| {
            for (replica, state) in states.iter() {
                match state.verdict(now) {
                    send_state::SendVerdict::Held { until: Some(until), reason }
                        if reason != send_state::HoldReason::Silent =>
                    {
                        held.paused.push((replica.clone(), until));
                    }
                    send_state::SendVerdict::Held { .. } => held.avoided.push(replica.clone()),
                    send_state::SendVerdict::Allowed => {}
                }
            }
        });
        held
    }

    /// Forgets what was observed of upstreams that are gone or start again, and of unlisted ones once it
    /// holds nothing back.
    pub(crate) fn update(&self, view: &zone::ZoneView, now: time::MonotonicTime) {
        self.with(|states| {
            states.retain(|id, state| {
                let replica = view.replicas.iter().find(|replica| replica.id == *id);
                match replica.map(|replica| replica.state) {
                    Some(zone::UpstreamState::Live | zone::UpstreamState::Leaving) => true,
                    Some(zone::UpstreamState::Joining | zone::UpstreamState::Gone) => false,
                    None => state.verdict(now) != send_state::SendVerdict::Allowed,
                }
            });
        });
    }
}
