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
use crate::once;
use crate::run::plain;
use crate::run::shell;
use crate::serve::accept;
use crate::serve::access;
use crate::serve::reply;

/// Where a plain call goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServicePath {
    /// The service.
    pub service: id::ServiceId,
    /// Path and query at the upstream.
    pub path: Arc<str>,
}

impl ServicePath {
    /// Splits what follows `/v1/services/`; none where it names no service.
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
/// Refuses a call before anything of it has run.
pub async fn serve(
    core: &Arc<core::EntryCore>,
    shards: Option<&shard_service::ShardService>,
    id: id::RequestId,
    target: ServicePath,
    mut http_request: Request,
) -> Result<Response, reply::CallRefusal> {
    access::check_running(core)?;
    let caller = access::recognise(core, &http_request)?;
    let service = caller.service(&target.service)?.clone();
    if service.target != set::ServiceTarget::Plain {
        return Err(reply::CallRefusal::new(reason::RefusalReason::UnknownService));
    }
    let limit = access::time_limit(core, &http_request, &service)?;
    let key = idempotency_key(&http_request)?;
    if !service.repeatable && key.is_none() {
        return Err(reply::CallRefusal::new(reason::RefusalReason::MissingIdempotencyKey));
    }
    let bytes = access::read_body(core, &mut http_request).await?;
    let call = plain::PlainCall {
        method: http_request.method(),
        path: target.path,
        headers: headers::forwarded(http_request.iter()),
        body: Arc::from(bytes),
    };
    let head = accept::new_head(core, id, &caller.workspace.id, &service, limit);
    let admitted = accept::admit(core, &head, &service)?;
    let body_bytes = call.body.len();
    let kept = kept::KeptRequest::new(head, kept::KeptWork::Plain, body_bytes, Vec::new());
    let kept = accept::keep(core, kept)?;
    let shards = shards.cloned();
    let job = ServiceJob { kept: kept.clone(), service, call, key, shards, admitted };
    task::spawn(job.run(core.clone()));
    Ok(whole_reply(core, kept).await)
}

/// The answer of a plain call, once it is there.
pub async fn whole_reply(core: &core::EntryCore, kept: Arc<kept::KeptRequest>) -> Response {
    let reader = kept::AnswerReader::new(kept.clone(), core.clock, 0);
    let end = kept.ended().await;
    drop(reader);
    let id = &kept.head.id;
    match end {
        kept::KeptEnd::Plain(answer) => reply::plain_reply(&answer, id),
        kept::KeptEnd::Failed(problem) => reply::problem_reply(&problem, id),
        kept::KeptEnd::Streamed { .. } | kept::KeptEnd::HandedOver(_) => {
            reply::problem_reply(&finish::handed_over(), id)
        }
    }
}

/// Reads the idempotency key.
///
/// # Errors
///
/// Refuses a key that is no identifier.
fn idempotency_key(request: &Request) -> Result<Option<id::IdempotencyKey>, reply::CallRefusal> {
    let Some(value) = request.header(headers::IDEMPOTENCY_HEADER) else { return Ok(None) };
    let key = value.as_str().trim().trim_matches('"').parse().map_err(|cause: id::IdError| {
        reply::CallRefusal::new(reason::RefusalReason::BadHeader)
            .detail(format!("`{}`: {cause}", headers::IDEMPOTENCY_HEADER))
    })?;
    Ok(Some(key))
}

/// A plain call that runs.
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
        let ended = match (self.service.repeatable, &self.key) {
            (false, Some(key)) => self.run_once(&core, key.clone()).await,
            _ => self.run_repeatable(&core).await,
        };
        let first = core.now().since(self.kept.head.accepted_at);
        let is_answered = ended.answer.is_some();
        if is_answered {
            let latency = core.metrics.token_latency(&self.service.id);
            latency.first.observe(first.to_duration().as_secs_f64());
        }
        self.admitted.report(finish::permit_outcome(&ended.end), is_answered.then_some(first));
        let kept_end = match ended.answer {
            Some(answer) if ended.end.cause == action::EndCause::Completed => {
                kept::KeptEnd::Plain(answer)
            }
            _ => kept::KeptEnd::Failed(finish::problem_of_end(&ended.end)),
        };
        finish::conclude(&core, &self.kept, &ended.end, kept_end);
    }

    async fn run_repeatable(&self, core: &Arc<core::EntryCore>) -> plain::PlainEnd {
        let context = shell::RunContext {
            request: self.kept.head.id.clone(),
            workspace: self.kept.head.workspace.clone(),
            service: self.service.clone(),
            prefix: Vec::new(),
            prompt_tokens: quantity::TokenCount::default(),
        };
        let rule = policy::RepeatPolicy::Repeatable;
        let deadline = self.kept.head.deadline;
        plain::run(core.clone(), context, self.call.clone(), rule, deadline).await
    }

    async fn run_once(&self, core: &core::EntryCore, key: id::IdempotencyKey) -> plain::PlainEnd {
        let Some(shards) = &self.shards else {
            return once::refused(reason::RefusalReason::ShardUnavailable);
        };
        let head = &self.kept.head;
        let parts = [self.call.method.as_ref().as_bytes(), self.call.path.as_bytes()];
        let once_call = call::KeyedCall {
            key: key::CallKey {
                workspace: head.workspace.clone(),
                service: head.service.clone(),
                key,
            },
            digest: digest::HexDigest::of_parts(&[parts[0], parts[1], &self.call.body]),
            request: head.id.clone(),
            method: Arc::from(self.call.method.as_ref()),
            path: self.call.path.clone(),
            headers: self.call.headers.clone(),
            body: self.call.body.clone(),
            remaining: head.deadline.since(core.now()),
        };
        once::submit(shards, once_call).await
    }
}
