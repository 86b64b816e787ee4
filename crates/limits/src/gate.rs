//! The border between the entry daemon and the admission policies.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_view::zone;

/// An admission policy.
///
/// Each admitted request is ended by exactly one [`finished`](AdmissionGate::finished).
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
    fn finished(&mut self, permit: PermitId, report: &PermitReport);
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
    pub first: Option<time::Millis>,
    /// The present instant.
    pub now: time::MonotonicTime,
}

/// Admits up to the workspace's `max_in_progress` and nothing more subtle; a baseline.
#[derive(Debug, Default)]
pub struct FixedGate {
    limits: collections::HashMap<id::WorkspaceId, u32>,
    in_progress: collections::HashMap<id::WorkspaceId, u32>,
    permits: collections::HashMap<PermitId, id::WorkspaceId>,
    last_permit: u64,
}

/// Time after which a refused caller of [`FixedGate`] may come back.
const FIXED_RETRY_AFTER: time::Millis = time::Millis::new(1_000);

impl AdmissionGate for FixedGate {
    fn configure(&mut self, view: &zone::ZoneView, _: time::MonotonicTime) {
        let workspaces = view.records.workspaces.iter();
        self.limits =
            workspaces.map(|record| (record.id.clone(), record.max_in_progress)).collect();
    }

    fn admit(&mut self, request: &AdmissionRequest<'_>) -> Result<PermitId, AdmissionRefusal> {
        let limit = self.limits.get(request.workspace).copied().unwrap_or(0);
        let count = self.in_progress.entry(request.workspace.clone()).or_default();
        if *count >= limit {
            let reason = reason::RefusalReason::WorkspaceLimit;
            return Err(AdmissionRefusal { reason, retry_after: FIXED_RETRY_AFTER });
        }
        *count += 1;
        self.last_permit += 1;
        let permit = PermitId::new(self.last_permit);
        self.permits.insert(permit, request.workspace.clone());
        Ok(permit)
    }

    fn finished(&mut self, permit: PermitId, _: &PermitReport) {
        let Some(workspace) = self.permits.remove(&permit) else { return };
        if let Some(count) = self.in_progress.get_mut(&workspace) {
            *count = count.saturating_sub(1);
        }
    }
}
