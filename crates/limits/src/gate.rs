//! Interface between the entry daemon and the admission policies.

use samphiremoor_base::id;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_view::zone;

/// Policy that admits or refuses requests.
///
/// Each permit is released by exactly one call to [`release`](AdmissionGate::release).
pub trait AdmissionGate: Send {
    /// Applies the records and the capacity of a new view.
    fn configure(&mut self, view: &zone::ZoneView, now: time::MonotonicTime);

    /// Admits a request or refuses it.
    ///
    /// # Errors
    ///
    /// Returns the reason of the refusal and the time after which a retry may succeed.
    fn admit(&mut self, request: &AdmissionRequest<'_>) -> Result<PermitId, AdmissionRefusal>;

    /// Releases the permit of an admitted request that ended.
    fn release(&mut self, permit: PermitId, report: &PermitReport);
}

/// Request to be admitted or refused.
#[derive(Clone, Debug)]
pub struct AdmissionRequest<'a> {
    /// Workspace of the caller.
    pub workspace: &'a id::WorkspaceId,
    /// Service that the request calls.
    pub service: &'a id::ServiceId,
    /// Remaining time until the deadline.
    pub deadline_left: time::Millis,
    /// Current time.
    pub now: time::MonotonicTime,
}

/// Identifies an admitted request until it ends.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PermitId(u64);

impl PermitId {
    /// Creates an id from a number.
    pub const fn new(value: u64) -> Self {
        PermitId(value)
    }

    /// Returns the number of the id.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// Refusal of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionRefusal {
    /// Reason of the refusal.
    pub reason: reason::RefusalReason,
    /// Time after which a retry may succeed.
    pub retry_after: time::Millis,
}

/// How an admitted request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PermitOutcome {
    /// The whole response was delivered.
    Complete,
    /// The upstream failed or refused the request.
    Failed,
    /// The deadline passed.
    TimedOut,
    /// The caller disconnected or cancelled, which gives no information about the upstream.
    Cancelled,
}

/// Report on an admitted request that ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PermitReport {
    /// Outcome of the request.
    pub outcome: PermitOutcome,
    /// Time to the first token, or to the response of a plain service, if any arrived.
    pub latency: Option<time::Millis>,
    /// Time at which the request ended.
    pub now: time::MonotonicTime,
}
