//! The border between the entry daemon and the admission policies.

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_view::zone;

/// An admission policy.
///
/// Each admitted request is ended by exactly one [`release`](AdmissionGate::release).
pub trait AdmissionGate: Send {
    /// Takes over the records and the capacity of a new view.
    fn configure(&mut self, view: &zone::ZoneView, now: time::MonotonicTime);

    /// Admits a request or refuses it.
    ///
    /// # Errors
    ///
    /// Says why, and when a later try can help.
    fn admit(&mut self, request: &AdmissionRequest<'_>) -> Result<PermitId, AdmissionRefusal>;

    /// An admitted request ended.
    fn release(&mut self, permit: PermitId, report: &PermitReport);
}

/// A request that wants to be admitted.
#[derive(Clone, Debug)]
pub struct AdmissionRequest<'a> {
    /// The caller's workspace.
    pub workspace: &'a id::WorkspaceId,
    /// The service.
    pub service: &'a id::ServiceId,
    /// Priority of the service.
    pub priority: quantity::PriorityLevel,
    /// Time that is left to the deadline.
    pub deadline_left: time::Millis,
    /// The present instant.
    pub now: time::MonotonicTime,
}

/// Names an admitted request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PermitId(u64);

impl PermitId {
    /// Wraps a number.
    pub const fn new(value: u64) -> Self {
        PermitId(value)
    }

    /// The plain number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// A request was not admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionRefusal {
    /// Why.
    pub reason: reason::RefusalReason,
    /// After which time a later try can help.
    pub retry_after: time::Millis,
}

/// How an admitted request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PermitOutcome {
    /// The whole answer was delivered.
    Complete,
    /// The upstream failed or refused.
    Failed,
    /// The deadline passed.
    TimedOut,
    /// The caller went away; says nothing of the upstream.
    Cancelled,
}

/// The end of an admitted request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PermitReport {
    /// How it ended.
    pub outcome: PermitOutcome,
    /// Time to the first token or to the answer, where one came.
    pub latency: Option<time::Millis>,
    /// The present instant.
    pub now: time::MonotonicTime,
}
