//! Who calls, for which service, and until when.

use std::sync::Arc;

use http_types::Request;
use samphiremoor_base::digest;
use samphiremoor_base::id;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_httpio::body;
use samphiremoor_httpio::problem;
use samphiremoor_records::set;

use crate::core;
use crate::serve::reply;
use crate::snapshot;

/// A caller whose key was recognised.
#[derive(Clone, Debug)]
pub struct KnownCaller {
    /// The view that it was recognised with.
    pub snapshot: Arc<snapshot::ViewSnapshot>,
    /// Its workspace.
    pub workspace: set::WorkspaceRecord,
}

/// Scheme of the `Authorization` header.
const BEARER_SCHEME: &str = "bearer";

/// Recognises the caller.
///
/// # Errors
///
/// Refuses a call without a key that a workspace has, and every call before the first view.
pub fn recognise(
    core: &core::EntryCore,
    request: &Request,
) -> Result<KnownCaller, reply::CallRefusal> {
    let Some(snapshot) = core.view() else {
        let refusal = reply::CallRefusal::new(reason::RefusalReason::NotReady);
        return Err(refusal.retry_after(core.settings.callers.retry_after_ms));
    };
    let key = bearer_key(request).ok_or(reason::RefusalReason::WrongKey)?;
    // Digests are compared, so the time of the comparison says nothing of the key.
    let digest = digest::HexDigest::of(key.as_bytes());
    let workspace =
        snapshot.workspace_by_key(&digest).ok_or(reason::RefusalReason::WrongKey)?.clone();
    Ok(KnownCaller { snapshot, workspace })
}

fn bearer_key(request: &Request) -> Option<&str> {
    let value = request.header("authorization")?.as_str();
    let (scheme, key) = value.split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case(BEARER_SCHEME) && !key.is_empty()).then_some(key)
}

impl KnownCaller {
    /// The service, where the workspace may use it.
    ///
    /// # Errors
    ///
    /// Refuses a service that does not exist or that the workspace may not use, both alike.
    pub fn service(&self, id: &id::ServiceId) -> Result<&set::ServiceRecord, reply::CallRefusal> {
        let unknown = || reply::CallRefusal::new(reason::RefusalReason::UnknownService);
        if !self.workspace.services.contains(id) {
            return Err(unknown());
        }
        self.snapshot.service(id).ok_or_else(unknown)
    }
}

/// Time that the request has: the caller's, or else the record's.
///
/// # Errors
///
/// Refuses a time that is no positive number of milliseconds.
pub fn time_limit(
    core: &core::EntryCore,
    request: &Request,
    service: &set::ServiceRecord,
) -> Result<time::Millis, reply::CallRefusal> {
    let Some(value) = request.header(problem::TIMEOUT_HEADER) else {
        return Ok(service.latency.deadline);
    };
    match value.as_str().trim().parse::<u64>() {
        Ok(limit) if limit > 0 => {
            Ok(time::Millis::new(limit).min(core.settings.callers.max_deadline_ms))
        }
        _ => Err(reply::CallRefusal::new(reason::RefusalReason::BadHeader).detail(format!(
            "`{}` is not a positive number of milliseconds; correct it",
            problem::TIMEOUT_HEADER
        ))),
    }
}

/// Reads the body of a call.
///
/// # Errors
///
/// Refuses a body that is too large, too slow or broken off.
pub async fn read_body(
    core: &core::EntryCore,
    request: &mut Request,
) -> Result<Vec<u8>, reply::CallRefusal> {
    let limit = core.settings.callers.max_body_bytes;
    body::read(request.take_body(), limit).await.map_err(|cause| {
        let reason = match cause {
            body::BodyError::TooLarge(_) => reason::RefusalReason::TooLarge,
            body::BodyError::TimedOut => reason::RefusalReason::SlowCaller,
            body::BodyError::Truncated => reason::RefusalReason::MalformedHttp,
        };
        reply::CallRefusal::new(reason).detail(cause.to_string())
    })
}

/// Refuses new work while the daemon stops.
///
/// # Errors
///
/// Refuses while the daemon stops.
pub fn check_running(core: &core::EntryCore) -> Result<(), reply::CallRefusal> {
    if core.takes_work() {
        return Ok(());
    }
    let refusal = reply::CallRefusal::new(reason::RefusalReason::Stopping);
    Err(refusal.retry_after(core.settings.callers.retry_after_ms))
}
