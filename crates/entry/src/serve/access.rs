//! Authentication of callers, service lookup, deadlines and request bodies.

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
use crate::serve::response;
use crate::snapshot;

/// An authenticated caller.
#[derive(Clone, Debug)]
pub struct AuthenticatedCaller {
    /// View that the caller was authenticated with.
    pub snapshot: Arc<snapshot::ViewSnapshot>,
    /// The caller's workspace.
    pub workspace: set::WorkspaceRecord,
}

/// Scheme of the `Authorization` header.
const BEARER_SCHEME: &str = "bearer";

/// Authenticates the caller by its API key.
///
/// # Errors
///
/// Refuses a call whose key is missing or belongs to no workspace, and every call before the first
/// view arrives.
pub fn authenticate(
    core: &core::EntryCore,
    request: &Request,
) -> Result<AuthenticatedCaller, response::CallRefusal> {
    let Some(snapshot) = core.view() else {
        let refusal = response::CallRefusal::new(reason::RefusalReason::NotReady);
        return Err(refusal.retry_after(core.settings.callers.retry_after_ms));
    };
    let key = bearer_key(request).ok_or(reason::RefusalReason::WrongKey)?;
    // The lookup compares digests, so its timing reveals nothing about the key.
    let digest = digest::HexDigest::of(key.as_bytes());
    let workspace =
        snapshot.workspace_by_key(&digest).ok_or(reason::RefusalReason::WrongKey)?.clone();
    Ok(AuthenticatedCaller { snapshot, workspace })
}

fn bearer_key(request: &Request) -> Option<&str> {
    let value = request.header("authorization")?.as_str();
    let (scheme, key) = value.split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case(BEARER_SCHEME) && !key.is_empty()).then_some(key)
}

impl AuthenticatedCaller {
    /// Returns the service if the workspace may use it.
    ///
    /// # Errors
    ///
    /// Refuses a service that does not exist or that the workspace may not use. Both refusals are
    /// the same, so that callers can't probe for services.
    pub fn service(
        &self,
        id: &id::ServiceId,
    ) -> Result<&set::ServiceRecord, response::CallRefusal> {
        let unknown_service = || response::CallRefusal::new(reason::RefusalReason::UnknownService);
        if !self.workspace.services.contains(id) {
            return Err(unknown_service());
        }
        self.snapshot.service(id).ok_or_else(unknown_service)
    }
}

/// Returns the time limit of the request: the caller's header, or else the deadline in the
/// service's record.
///
/// # Errors
///
/// Refuses a header value that is not a positive number of milliseconds.
pub fn time_limit(
    core: &core::EntryCore,
    request: &Request,
    service: &set::ServiceRecord,
) -> Result<time::Millis, response::CallRefusal> {
    let Some(value) = request.header(problem::TIMEOUT_HEADER) else {
        return Ok(service.latency.deadline);
    };
    match value.as_str().trim().parse::<u64>() {
        Ok(limit) if limit > 0 => {
            Ok(time::Millis::new(limit).min(core.settings.callers.max_deadline_ms))
        }
        _ => Err(response::CallRefusal::new(reason::RefusalReason::BadHeader).detail(format!(
            "`{}` is not a positive number of milliseconds; correct it",
            problem::TIMEOUT_HEADER
        ))),
    }
}

/// Reads the request body.
///
/// # Errors
///
/// Refuses a body that is too large, arrives too slowly or is truncated.
pub async fn read_body(
    core: &core::EntryCore,
    request: &mut Request,
) -> Result<Vec<u8>, response::CallRefusal> {
    let max_body_bytes = core.settings.callers.max_body_bytes;
    body::read(request.take_body(), max_body_bytes).await.map_err(|cause| {
        let reason = match cause {
            body::BodyError::TooLarge(_) => reason::RefusalReason::TooLarge,
            body::BodyError::TimedOut => reason::RefusalReason::SlowCaller,
            body::BodyError::Truncated => reason::RefusalReason::MalformedHttp,
        };
        response::CallRefusal::new(reason).detail(cause.to_string())
    })
}

/// Checks that the daemon still accepts new requests.
///
/// # Errors
///
/// Refuses with `Stopping` once the daemon no longer accepts requests.
pub fn check_accepting(core: &core::EntryCore) -> Result<(), response::CallRefusal> {
    if core.accepts_requests() {
        return Ok(());
    }
    let refusal = response::CallRefusal::new(reason::RefusalReason::Stopping);
    Err(refusal.retry_after(core.settings.callers.retry_after_ms))
}
