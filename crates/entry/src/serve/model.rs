//! Chat and completion calls.

use std::sync::Arc;

use async_std::task;
use http_types::Request;
use http_types::Response;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_records::set;
use samphiremoor_routing::prefix;

use crate::core;
use crate::finish;
use crate::kept;
use crate::run::executor;
use crate::run::model;
use crate::serve::accept;
use crate::serve::access;
use crate::serve::events;
use crate::serve::response;
use crate::wire::request;

/// Serves a chat or completion call.
///
/// # Errors
///
/// Returns a refusal if the call is not accepted. A refused call has not been dispatched.
pub async fn serve(
    core: &Arc<core::EntryCore>,
    id: id::RequestId,
    call: request::ModelCall,
    mut http_request: Request,
) -> Result<Response, response::CallRefusal> {
    access::check_accepting(core)?;
    let caller = access::authenticate(core, &http_request)?;
    let bytes = access::read_body(core, &mut http_request).await?;
    let body = request::CallBody::parse(call, &bytes).map_err(|error| {
        response::CallRefusal::new(reason::RefusalReason::MalformedBody).detail(error.to_string())
    })?;
    let service = caller.service(&body.model.service)?.clone();
    let target = target_model(&service, &body.model)?;
    let fingerprint = || body.fingerprint(&caller.workspace.id);
    if let Some(wait) = core.quarantine_wait(&body.shared_segments(), fingerprint) {
        let refusal = response::CallRefusal::new(reason::RefusalReason::Quarantined);
        return Err(refusal.retry_after(wait));
    }
    let time_limit = access::time_limit(core, &http_request, &service)?;
    let accepted = AcceptedCall {
        info: accept::new_info(core, id, &caller.workspace.id, &service, time_limit),
        body: Arc::new(body),
        body_bytes: bytes.len(),
        tokens: Vec::new(),
    };
    let admitted = accept::admit(core, &accepted.info, &service)?;
    let body = accepted.body.clone();
    let kept = start(core, accepted, service, target, admitted)?;
    if body.stream {
        return Ok(stream_response(core, kept, &body).await);
    }
    Ok(full_response(core, kept, call).await)
}

/// A validated call before its run starts.
pub struct AcceptedCall {
    /// Identity and deadline of the call.
    pub info: kept::RequestInfo,
    /// The caller's body.
    pub body: Arc<request::CallBody>,
    /// Length of the caller's body.
    pub body_bytes: usize,
    /// Tokens that another daemon received before the handover.
    pub tokens: Vec<Arc<str>>,
}

/// Registers a call as a kept request and starts its run.
///
/// # Errors
///
/// Refuses the call if the requests in progress use up the registry's memory limit.
pub fn start(
    core: &Arc<core::EntryCore>,
    accepted: AcceptedCall,
    service: set::ServiceRecord,
    target: set::LoadedModel,
    admitted: core::AdmittedRequest,
) -> Result<Arc<kept::KeptRequest>, response::CallRefusal> {
    let kind = kept::RequestKind::Model(accepted.body.clone());
    let info = accepted.info;
    let kept = kept::KeptRequest::new(info, kind, accepted.body_bytes, accepted.tokens);
    let kept = accept::register(core, kept)?;
    let prompt = accepted.body.prompt_text();
    let prompt_tokens: Vec<&str> = prompt.split_whitespace().collect();
    let context = executor::RunContext {
        request: kept.info.id.clone(),
        workspace: kept.info.workspace.clone(),
        service,
        prefix: prefix::hash_blocks(&prompt_tokens),
        prompt_tokens: quantity::TokenCount::new(prompt_tokens.len() as u64),
    };
    let job =
        model::ModelJob { kept: kept.clone(), body: accepted.body, target, context, admitted };
    task::spawn(model::run(core.clone(), job));
    Ok(kept)
}

/// Returns the model that serves the call.
///
/// # Errors
///
/// Refuses a plain service, and a version that the service's record does not declare.
pub fn target_model(
    service: &set::ServiceRecord,
    name: &request::ModelName,
) -> Result<set::LoadedModel, response::CallRefusal> {
    let set::ServiceTarget::Model(target) = &service.target else {
        return Err(response::CallRefusal::new(reason::RefusalReason::UnknownModel));
    };
    if name.version.as_ref().is_some_and(|version| *version != target.version) {
        return Err(response::CallRefusal::new(reason::RefusalReason::UnknownModel));
    }
    Ok(target.clone())
}

/// Returns the response as a stream, or as a full response if the call fails or is rejected before
/// its first token.
async fn stream_response(
    core: &core::EntryCore,
    kept: Arc<kept::KeptRequest>,
    body: &request::CallBody,
) -> Response {
    let mut reader = kept::ResponseReader::new(kept.clone(), core.clock, 0);
    let progress = reader.next().await;
    if progress.tokens.is_empty()
        && let Some(kept::KeptEnd::Failed(_) | kept::KeptEnd::Plain(_)) = progress.end
    {
        return full_response(core, kept, body.call).await;
    }
    let options =
        events::EventOptions { call: body.call, include_usage: body.include_usage, first_index: 0 };
    events::event_response(core, kept, options)
}

/// Waits for the end of the call and returns its full response.
pub async fn full_response(
    core: &core::EntryCore,
    kept: Arc<kept::KeptRequest>,
    call: request::ModelCall,
) -> Response {
    // The request can't be abandoned while it has a reader.
    let reader = kept::ResponseReader::new(kept.clone(), core.clock, 0);
    let end = kept.wait_for_end().await;
    drop(reader);
    let id = &kept.info.id;
    match end {
        kept::KeptEnd::Streamed { finish_reason, usage } => {
            let text = kept.progress(0).tokens.concat();
            response::json_response(
                kept.frame(call).full_response(&text, &finish_reason, usage),
                id,
            )
        }
        kept::KeptEnd::Plain(result) => response::plain_response(&result, id),
        kept::KeptEnd::Failed(problem) => response::problem_response(&problem, id),
        kept::KeptEnd::HandedOver(_) => {
            response::problem_response(&finish::handed_over_problem(), id)
        }
    }
}

/// Returns the remaining time until the deadline of a kept request.
pub fn time_left(core: &core::EntryCore, kept: &kept::KeptRequest) -> time::Millis {
    kept.info.deadline.since(core.now())
}
