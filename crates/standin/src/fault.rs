//! Fault injection for the stand-in upstreams.

use std::sync;
use std::time::Duration;

use async_std::task;
use samphiremoor_base::event;
use samphiremoor_base::log_event;
use serde::Deserialize;
use serde::Serialize;

/// Interval at which a paused call checks whether the pause has ended.
const PAUSE_POLL: Duration = Duration::from_millis(5);

/// Time after which a silent connection is closed, so that silent connections don't accumulate.
const SILENCE_LIMIT: Duration = Duration::from_secs(120);

/// Faults that an upstream injects. Each new set replaces the previous one.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallFaults {
    /// Whether all calls stop making progress until the faults are replaced.
    pub paused: bool,
    /// Whether new calls are refused with outcome `not-run`.
    pub refuse: bool,
    /// Number of subsequent calls that run but whose connection is closed before the response is
    /// complete.
    pub drop_answers: u32,
    /// Whether the calls in progress at this moment never receive another byte. Later calls are not
    /// affected.
    pub silence_open: bool,
    /// Processing time in percent of the normal time.
    pub slow_percent: u32,
}

impl Default for CallFaults {
    fn default() -> Self {
        CallFaults {
            paused: false,
            refuse: false,
            drop_answers: 0,
            silence_open: false,
            slow_percent: 100,
        }
    }
}

/// Current faults of one upstream.
#[derive(Debug, Default)]
pub struct FaultInjector(sync::Mutex<InjectorState>);

#[derive(Debug, Default)]
struct InjectorState {
    faults: CallFaults,
    silence_count: u64,
}

/// Proof of admission of a call; records how many silence faults had been injected by then.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmittedCall {
    silence_count: u64,
}

impl FaultInjector {
    /// Replaces the current faults.
    pub fn set(&self, faults: CallFaults) {
        log_event!(event::LogEvent::FaultInjected, faults = format_args!("{faults:?}"));
        let mut state = self.lock();
        state.faults = faults;
        state.silence_count += u64::from(faults.silence_open);
    }

    /// Admits a new call. Returns `None` if new calls are refused.
    pub fn admit(&self) -> Option<AdmittedCall> {
        let state = self.lock();
        (!state.faults.refuse).then_some(AdmittedCall { silence_count: state.silence_count })
    }

    /// Returns whether all calls are paused.
    pub fn is_paused(&self) -> bool {
        self.lock().faults.paused
    }

    /// Waits until calls are not paused.
    pub async fn wait_until_resumed(&self) {
        while self.is_paused() {
            task::sleep(PAUSE_POLL).await;
        }
    }

    /// Returns whether a silence fault was injected after the call was admitted.
    pub fn is_silenced(&self, admitted: AdmittedCall) -> bool {
        self.lock().silence_count != admitted.silence_count
    }

    /// Returns whether the response of this call is to be dropped, and consumes one of the drops.
    pub fn take_response_drop(&self) -> bool {
        let mut state = self.lock();
        let drops = state.faults.drop_answers > 0;
        state.faults.drop_answers = state.faults.drop_answers.saturating_sub(1);
        drops
    }

    /// Scales a duration by the current `slow_percent`.
    pub fn scale(&self, length: Duration) -> Duration {
        length * self.lock().faults.slow_percent / 100
    }

    fn lock(&self) -> sync::MutexGuard<'_, InjectorState> {
        self.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Waits until a silent connection may be closed.
pub async fn wait_silence_limit() {
    task::sleep(SILENCE_LIMIT).await;
}
