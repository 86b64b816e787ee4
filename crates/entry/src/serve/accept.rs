//! Admission and registration of a validated call, before its run starts.

use std::sync::Arc;
use std::time;

use samphiremoor_base::event;
use samphiremoor_base::id;
use samphiremoor_base::log_event;
use samphiremoor_base::reason;
use samphiremoor_base::time as base_time;
use samphiremoor_limits::gate;
use samphiremoor_records::set;

use crate::core;
use crate::kept;
use crate::registry;
use crate::serve::response;

/// Returns the identity and deadline of a call that is accepted now.
pub fn new_info(
    core: &core::EntryCore,
    id: id::RequestId,
    workspace: &id::WorkspaceId,
    service: &set::ServiceRecord,
    time_limit: base_time::Millis,
) -> kept::RequestInfo {
    let now = core.now();
    kept::RequestInfo {
        id,
        workspace: workspace.clone(),
        service: service.id.clone(),
        accepted_at: now,
        deadline: now + time_limit,
        created_s: unix_seconds(),
    }
}

/// Requests admission from the admission policy.
///
/// # Errors
///
/// Returns the policy's refusal with its reason and retry-after.
pub fn admit(
    core: &Arc<core::EntryCore>,
    info: &kept::RequestInfo,
    service: &set::ServiceRecord,
) -> Result<core::AdmittedRequest, response::CallRefusal> {
    let now = core.now();
    let request = gate::AdmissionRequest {
        workspace: &info.workspace,
        service: &service.id,
        deadline_left: info.deadline.since(now),
        now,
    };
    core.admit(&request).map_err(|refusal| {
        response::CallRefusal::new(refusal.reason).retry_after(refusal.retry_after)
    })
}

/// Registers a kept request, so that callers can attach to it.
///
/// # Errors
///
/// Refuses the request if the requests in progress use up the registry's memory limit.
pub fn register(
    core: &core::EntryCore,
    kept: kept::KeptRequest,
) -> Result<Arc<kept::KeptRequest>, response::CallRefusal> {
    let kept = Arc::new(kept);
    if core.registry.insert(kept.clone()) != registry::InsertOutcome::Inserted {
        let refusal = response::CallRefusal::new(reason::RefusalReason::TooManyRequests);
        return Err(refusal.retry_after(core.settings.callers.retry_after_ms));
    }
    log_event!(
        event::LogEvent::RequestAccepted,
        request = kept.info.id,
        workspace = kept.info.workspace,
        service = kept.info.service
    );
    Ok(kept)
}

/// Returns the current Unix time in seconds, for the `created` fields of responses only.
fn unix_seconds() -> u64 {
    let epoch = time::SystemTime::UNIX_EPOCH;
    time::SystemTime::now().duration_since(epoch).map_or(0, |elapsed| elapsed.as_secs())
}
