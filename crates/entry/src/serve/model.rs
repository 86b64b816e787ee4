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
use crate::run::model;
use crate::run::shell;
use crate::serve::accept;
use crate::serve::access;
use crate::serve::events;
use crate::serve::reply;
use crate::wire::request;

/// Serves a chat or completion call.
///
/// # Errors
///
/// Refuses a call before anything of it has run.
pub async fn serve(
    core: &Arc<core::EntryCore>,
    id: id::RequestId,
    call: request::ModelCall,
    mut http_request: Request,
) -> Result<Response, reply::CallRefusal> {
    access::check_running(core)?;
    let caller = access::recognise(core, &http_request)?;
    let bytes = access::read_body(core, &mut http_request).await?;
    let body = request::CallBody::parse(call, &bytes).map_err(|fault| {
        reply::CallRefusal::new(reason::RefusalReason::MalformedBody).detail(fault.to_string())
    })?;
    let service = caller.service(&body.model.service)?.clone();
    let target = target_of(&service, &body.model)?;
    let limit = access::time_limit(core, &http_request, &service)?;
    let accepted = AcceptedCall {
        head: accept::new_head(core, id, &caller.workspace.id, &service, limit),
        body: Arc::new(body),
        body_bytes: bytes.len(),
        tokens: Vec::new(),
    };
    let admitted = accept::admit(core, &accepted.head, &service)?;
    let body = accepted.body.clone();
    let kept = start(core, accepted, service, target, admitted)?;
    if body.stream {
        return Ok(stream_reply(core, kept, &body).await);
    }
    Ok(whole_reply(core, kept, call).await)
}

/// A call that is about to run.
pub struct AcceptedCall {
    /// What identifies it.
    pub head: kept::KeptHead,
    /// The caller's body.
    pub body: Arc<request::CallBody>,
    /// Length of the caller's body.
    pub body_bytes: usize,
    /// Tokens that another daemon got already.
    pub tokens: Vec<Arc<str>>,
}

/// Keeps a call and starts its run.
///
/// # Errors
///
/// Refuses a call for which there is no room.
pub fn start(
    core: &Arc<core::EntryCore>,
    accepted: AcceptedCall,
    service: set::ServiceRecord,
    target: set::LoadedModel,
    admitted: core::AdmittedRequest,
) -> Result<Arc<kept::KeptRequest>, reply::CallRefusal> {
    let work = kept::KeptWork::Model(accepted.body.clone());
    let head = accepted.head;
    let kept = kept::KeptRequest::new(head, work, accepted.body_bytes, accepted.tokens);
    let kept = accept::keep(core, kept)?;
    let prompt = accepted.body.prompt_text();
    let tokens: Vec<&str> = prompt.split_whitespace().collect();
    let context = shell::RunContext {
        request: kept.head.id.clone(),
        workspace: kept.head.workspace.clone(),
        service,
        prefix: prefix::hash_blocks(&tokens),
        prompt_tokens: quantity::TokenCount::new(tokens.len() as u64),
    };
    let job =
        model::ModelJob { kept: kept.clone(), body: accepted.body, target, context, admitted };
    task::spawn(model::run(core.clone(), job));
    Ok(kept)
}

/// The model that serves the call.
///
/// # Errors
///
/// Refuses a plain service, and a version that the record does not declare.
pub fn target_of(
    service: &set::ServiceRecord,
    name: &request::ModelName,
) -> Result<set::LoadedModel, reply::CallRefusal> {
    let set::ServiceTarget::Model(target) = &service.target else {
        return Err(reply::CallRefusal::new(reason::RefusalReason::UnknownModel));
    };
    if name.version.as_ref().is_some_and(|version| *version != target.version) {
        return Err(reply::CallRefusal::new(reason::RefusalReason::UnknownModel));
    }
    Ok(target.clone())
}

/// The answer as a stream; a call that fails before its first token gets a plain problem instead.
async fn stream_reply(
    core: &core::EntryCore,
    kept: Arc<kept::KeptRequest>,
    body: &request::CallBody,
) -> Response {
    let mut first = kept::AnswerReader::new(kept.clone(), core.clock, 0);
    let progress = first.next().await;
    if progress.tokens.is_empty()
        && let Some(kept::KeptEnd::Failed(_) | kept::KeptEnd::Plain(_)) = progress.end
    {
        return whole_reply(core, kept, body.call).await;
    }
    let options =
        events::EventOptions { call: body.call, include_usage: body.include_usage, from: 0 };
    events::event_reply(core, kept, options)
}

/// The whole answer, once it is there.
pub async fn whole_reply(
    core: &core::EntryCore,
    kept: Arc<kept::KeptRequest>,
    call: request::ModelCall,
) -> Response {
    let reader = kept::AnswerReader::new(kept.clone(), core.clock, 0);
    let end = kept.ended().await;
    drop(reader);
    let id = &kept.head.id;
    match end {
        kept::KeptEnd::Streamed { finish_reason, usage } => {
            let text = kept.progress(0).tokens.concat();
            reply::json_reply(kept.frame(call).whole(&text, &finish_reason, usage), id)
        }
        kept::KeptEnd::Plain(answer) => reply::plain_reply(&answer, id),
        kept::KeptEnd::Failed(problem) => reply::problem_reply(&problem, id),
        kept::KeptEnd::HandedOver(_) => reply::problem_reply(&finish::handed_over(), id),
    }
}

/// Time that is left to a kept request.
pub fn time_left(core: &core::EntryCore, kept: &kept::KeptRequest) -> time::Millis {
    kept.head.deadline.since(core.now())
}
