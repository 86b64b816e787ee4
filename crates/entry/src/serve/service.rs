//! Calls of plain services.

use std::sync::Arc;

use async_std::task;
use http_types::Request;
use http_types::Response;
use samphiremoor_base::digest;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::reason;
use samphiremoor_claims::key;
use samphiremoor_records::set;
use samphiremoor_requests::action;
use samphiremoor_requests::policy;
use samphiremoor_shards::call;
use samphiremoor_shards::service as shard_service;

use crate::core;
use crate::finish;
use crate::headers;
use crate::kept;
use crate::keyed;
use crate::run::executor;
use crate::run::plain;
use crate::serve::accept;
use crate::serve::access;
use crate::serve::response;

/// Target of a plain call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServicePath {
    /// The service.
    pub service: id::ServiceId,
    /// Path and query at the upstream.
    pub path: Arc<str>,
}

impl ServicePath {
    /// Parses the part of the path after `/v1/services/`. Returns `None` if it names no service.
    pub fn parse(rest: &str, query: Option<&str>) -> Option<Self> {
        let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
        let service = service.parse().ok()?;
        let path = match query {
            Some(query) => format!("/{path}?{query}"),
            None => format!("/{path}"),
        };
        Some(ServicePath { service, path: Arc::from(path) })
    }
}

/// Serves a call of a plain service.
///
/// # Errors
///
/// Returns a refusal if the call is not accepted. A refused call has not been dispatched.
pub async fn serve(
    core: &Arc<core::EntryCore>,
    shards: Option<&shard_service::ShardService>,
    id: id::RequestId,
    target: ServicePath,
    mut http_request: Request,
) -> Result<Response, response::CallRefusal> {
    access::check_accepting(core)?;
    let caller = access::authenticate(core, &http_request)?;
    let service = caller.service(&target.service)?.clone();
    if service.target != set::ServiceTarget::Plain {
        return Err(response::CallRefusal::new(reason::RefusalReason::UnknownService));
    }
    let time_limit = access::time_limit(core, &http_request, &service)?;
    let key = idempotency_key(&http_request)?;
    if !service.repeatable && key.is_none() {
        return Err(response::CallRefusal::new(reason::RefusalReason::MissingIdempotencyKey));
    }
    let bytes = access::read_body(core, &mut http_request).await?;
    let call = plain::PlainCall {
        method: http_request.method(),
        path: target.path,
        headers: headers::forwarded(http_request.iter()),
        body: Arc::from(bytes),
    };
    // A keyed call may have a result already; it is checked before it is dispatched.
    if service.repeatable || key.is_none() {
        let fingerprint = || call.fingerprint(&caller.workspace.id, &service.id);
        if let Some(wait) = core.quarantine_wait(&[], fingerprint) {
            let refusal = response::CallRefusal::new(reason::RefusalReason::Quarantined);
            return Err(refusal.retry_after(wait));
        }
    }
    let info = accept::new_info(core, id, &caller.workspace.id, &service, time_limit);
    let admitted = accept::admit(core, &info, &service)?;
    let body_bytes = call.body.len();
    let kept = kept::KeptRequest::new(info, kept::RequestKind::Plain, body_bytes, Vec::new());
    let kept = accept::register(core, kept)?;
    let shards = shards.cloned();
    let job = ServiceJob { kept: kept.clone(), service, call, key, shards, admitted };
    task::spawn(job.run(core.clone()));
    Ok(full_response(core, kept).await)
}

/// Waits for the end of a plain call and returns its response.
pub async fn full_response(core: &core::EntryCore, kept: Arc<kept::KeptRequest>) -> Response {
    // The request can't be abandoned while it has a reader.
    let reader = kept::ResponseReader::new(kept.clone(), core.clock, 0);
    let end = kept.wait_for_end().await;
    drop(reader);
    let id = &kept.info.id;
    match end {
        kept::KeptEnd::Plain(result) => response::plain_response(&result, id),
        kept::KeptEnd::Failed(problem) => response::problem_response(&problem, id),
        kept::KeptEnd::Streamed { .. } | kept::KeptEnd::HandedOver(_) => {
            response::problem_response(&finish::handed_over_problem(), id)
        }
    }
}

/// Parses the idempotency key.
///
/// # Errors
///
/// Refuses a key that is not a valid identifier.
fn idempotency_key(request: &Request) -> Result<Option<id::IdempotencyKey>, response::CallRefusal> {
    let Some(value) = request.header(headers::IDEMPOTENCY_HEADER) else { return Ok(None) };
    let key = value.as_str().trim().trim_matches('"').parse().map_err(|cause: id::IdError| {
        response::CallRefusal::new(reason::RefusalReason::BadHeader)
            .detail(format!("`{}`: {cause}", headers::IDEMPOTENCY_HEADER))
    })?;
    Ok(Some(key))
}

/// A running plain call.
struct ServiceJob {
    kept: Arc<kept::KeptRequest>,
    service: set::ServiceRecord,
    call: plain::PlainCall,
    key: Option<id::IdempotencyKey>,
    shards: Option<shard_service::ShardService>,
    admitted: core::AdmittedRequest,
}

impl ServiceJob {
    async fn run(mut self, core: Arc<core::EntryCore>) {
        let plain_end = match (self.service.repeatable, &self.key) {
            (false, Some(key)) => self.run_keyed(&core, key.clone()).await,
            _ => self.run_repeatable(&core).await,
        };
        let latency = core.now().since(self.kept.info.accepted_at);
        let has_response = plain_end.response.is_some();
        if has_response {
            let histograms = core.metrics.token_latency(&self.service.id);
            histograms.first_token.observe(latency.to_duration().as_secs_f64());
        }
        self.admitted
            .set_report(finish::permit_outcome(&plain_end.end), has_response.then_some(latency));
        let kept_end = match plain_end.response {
            Some(response) if plain_end.end.cause == action::EndCause::Completed => {
                kept::KeptEnd::Plain(response)
            }
            _ => kept::KeptEnd::Failed(finish::problem_for_end(&plain_end.end)),
        };
        finish::finish_request(&core, &self.kept, &plain_end.end, kept_end);
    }

    async fn run_repeatable(&self, core: &Arc<core::EntryCore>) -> plain::PlainEnd {
        let context = executor::RunContext {
            request: self.kept.info.id.clone(),
            workspace: self.kept.info.workspace.clone(),
            service: self.service.clone(),
            prefix: Vec::new(),
            prompt_tokens: quantity::TokenCount::default(),
        };
        let repeat = policy::RepeatPolicy::Repeatable;
        let deadline = self.kept.info.deadline;
        plain::run(core.clone(), context, self.call.clone(), repeat, deadline).await
    }

    async fn run_keyed(&self, core: &core::EntryCore, key: id::IdempotencyKey) -> plain::PlainEnd {
        let Some(shards) = &self.shards else {
            return keyed::refused_end(reason::RefusalReason::ShardUnavailable);
        };
        let info = &self.kept.info;
        let method_and_path = [self.call.method.as_ref().as_bytes(), self.call.path.as_bytes()];
        let keyed_call = call::KeyedCall {
            key: key::CallKey {
                workspace: info.workspace.clone(),
                service: info.service.clone(),
                key,
            },
            digest: digest::HexDigest::of_parts(&[
                method_and_path[0],
                method_and_path[1],
                &self.call.body,
            ]),
            request: info.id.clone(),
            method: Arc::from(self.call.method.as_ref()),
            path: self.call.path.clone(),
            headers: self.call.headers.clone(),
            body: self.call.body.clone(),
            remaining: info.deadline.since(core.now()),
        };
        keyed::submit(shards, keyed_call).await
    }
}
