//! What every call goes through between its checks and its run: admission and keeping.

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
use crate::serve::reply;

/// What identifies a call that is accepted now.
pub fn new_head(
    core: &core::EntryCore,
    id: id::RequestId,
    workspace: &id::WorkspaceId,
    service: &set::ServiceRecord,
    limit: base_time::Millis,
) -> kept::KeptHead {
    let now = core.now();
    kept::KeptHead {
        id,
        workspace: workspace.clone(),
        service: service.id.clone(),
        accepted_at: now,
        deadline: now + limit,
        created_s: unix_seconds(),
    }
}

/// Asks the admission policy.
///
/// # Errors
///
/// Says why not, and when a later try can help.
pub fn admit(
    core: &Arc<core::EntryCore>,
    head: &kept::KeptHead,
    service: &set::ServiceRecord,
) -> Result<core::AdmittedRequest, reply::CallRefusal> {
    let now = core.now();
    let request = gate::AdmissionRequest {
        workspace: &head.workspace,
        service: &service.id,
        priority: service.priority,
        deadline_left: head.deadline.since(now),
        now,
    };
    core.admit(&request)
        .map_err(|refusal| reply::CallRefusal::new(refusal.reason).retry_after(refusal.retry_after))
}

/// Keeps a request; from here on callers can attach to it.
///
/// # Errors
///
/// Refuses a request for which there is no room.
pub fn keep(
    core: &core::EntryCore,
    kept: kept::KeptRequest,
) -> Result<Arc<kept::KeptRequest>, reply::CallRefusal> {
    let kept = Arc::new(kept);
    if core.registry.keep(kept.clone()) != registry::KeepVerdict::Kept {
        let refusal = reply::CallRefusal::new(reason::RefusalReason::TooManyRequests);
        return Err(refusal.retry_after(core.settings.callers.retry_after_ms));
    }
    log_event!(
        event::LogEvent::RequestAccepted,
        request = kept.head.id,
        workspace = kept.head.workspace,
        service = kept.head.service
    );
    Ok(kept)
}

/// The present time in seconds of the Unix epoch, for the callers' `created` fields only.
fn unix_seconds() -> u64 {
    let epoch = time::SystemTime::UNIX_EPOCH;
    time::SystemTime::now().duration_since(epoch).map_or(0, |length| length.as_secs())
}
