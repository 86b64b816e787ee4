//! Fixed-limit policy, the baseline for evaluating the adaptive policy.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_view::zone;

use crate::gate;
use crate::gate::AdmissionGate;

/// Limits the requests in progress of each workspace to its `max_in_progress`.
#[derive(Debug, Default)]
pub struct FixedGate {
    /// Declared limit of each workspace.
    limits: collections::HashMap<id::WorkspaceId, u32>,
    /// Requests in progress of each workspace.
    in_progress: collections::HashMap<id::WorkspaceId, u32>,
    /// Workspace of each permit that was not released yet.
    permits: collections::HashMap<gate::PermitId, id::WorkspaceId>,
    /// Number of the last permit that was issued.
    last_permit: u64,
}

/// Retry-After of every refusal by [`FixedGate`].
const FIXED_RETRY_AFTER: time::Millis = time::Millis::new(1_000);

impl AdmissionGate for FixedGate {
    fn configure(&mut self, view: &zone::ZoneView, _: time::MonotonicTime) {
        let workspaces = view.records.workspaces.iter();
        self.limits =
            workspaces.map(|record| (record.id.clone(), record.max_in_progress)).collect();
    }

    fn admit(
        &mut self,
        request: &gate::AdmissionRequest<'_>,
    ) -> Result<gate::PermitId, gate::AdmissionRefusal> {
        let limit = self.limits.get(request.workspace).copied().unwrap_or(0);
        let request_count = self.in_progress.entry(request.workspace.clone()).or_default();
        if *request_count >= limit {
            let reason = reason::RefusalReason::WorkspaceLimit;
            return Err(gate::AdmissionRefusal { reason, retry_after: FIXED_RETRY_AFTER });
        }
        *request_count += 1;
        self.last_permit += 1;
        let permit = gate::PermitId::new(self.last_permit);
        self.permits.insert(permit, request.workspace.clone());
        Ok(permit)
    }

    fn release(&mut self, permit: gate::PermitId, _: &gate::PermitReport) {
        let Some(workspace) = self.permits.remove(&permit) else { return };
        if let Some(request_count) = self.in_progress.get_mut(&workspace) {
            *request_count = request_count.saturating_sub(1);
        }
    }
}
