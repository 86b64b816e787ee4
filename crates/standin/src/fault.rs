//! Faults of an upstream, on order.

use std::sync;
use std::time::Duration;

use async_std::task;
use samphiremoor_base::event;
use samphiremoor_base::log_event;
use serde::Deserialize;
use serde::Serialize;

/// How often a paused call looks whether it may go on.
const PAUSE_POLL: Duration = Duration::from_millis(5);

/// Time after which a silent connection is closed, so that it does not stay for ever.
const SILENCE_LIMIT: Duration = Duration::from_secs(120);

/// What an upstream does wrong from now on; each order replaces the one before.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallFaults {
    /// Nothing goes on until another order.
    pub paused: bool,
    /// New calls are refused, and said not to have run.
    pub refuse: bool,
    /// Number of next calls that run and whose connection is closed before the answer.
    pub drop_answers: u32,
    /// Calls that are in progress now never get another byte; later calls work.
    pub silence_open: bool,
    /// Time that everything takes, in hundredths of the normal time.
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

/// The present faults of one upstream.
#[derive(Debug, Default)]
pub struct FaultSwitch(sync::Mutex<SwitchState>);

#[derive(Debug, Default)]
struct SwitchState {
    faults: CallFaults,
    silence_count: u64,
}

/// Marks a call that was admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallPass {
    silence_count: u64,
}

impl FaultSwitch {
    /// Replaces the faults.
    pub fn set(&self, faults: CallFaults) {
        log_event!(event::LogEvent::FaultInjected, faults = format_args!("{faults:?}"));
        let mut state = self.lock();
        state.faults = faults;
        state.silence_count += u64::from(faults.silence_open);
    }

    /// Admits a new call; none where it is to be refused.
    pub fn admit(&self) -> Option<CallPass> {
        let state = self.lock();
        (!state.faults.refuse).then_some(CallPass { silence_count: state.silence_count })
    }

    /// Whether nothing may go on now.
    pub fn is_paused(&self) -> bool {
        self.lock().faults.paused
    }

    /// Returns once nothing is paused.
    pub async fn resumed(&self) {
        while self.is_paused() {
            task::sleep(PAUSE_POLL).await;
        }
    }

    /// Whether the call's connection went silent after it was admitted.
    pub fn is_silent(&self, pass: CallPass) -> bool {
        self.lock().silence_count != pass.silence_count
    }

    /// Whether this answer is dropped; counts it.
    pub fn drops_answer(&self) -> bool {
        let mut state = self.lock();
        let drops = state.faults.drop_answers > 0;
        state.faults.drop_answers = state.faults.drop_answers.saturating_sub(1);
        drops
    }

    /// The time that something takes which normally takes `length`.
    pub fn slowed(&self, length: Duration) -> Duration {
        length * self.lock().faults.slow_percent / 100
    }

    fn lock(&self) -> sync::MutexGuard<'_, SwitchState> {
        self.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Waits as long as a silent connection is kept open.
pub async fn stay_silent() {
    task::sleep(SILENCE_LIMIT).await;
}
