//! Answers and refusals as HTTP.

use http_types::Response;
use http_types::StatusCode;
use samphiremoor_base::event;
use samphiremoor_base::id;
use samphiremoor_base::log_event;
use samphiremoor_base::outcome;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_httpio::problem;
use samphiremoor_shards::call;

use crate::core;
use crate::finish;

/// A refusal, before it is an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallRefusal {
    /// Why.
    pub reason: reason::RefusalReason,
    /// What went wrong, where more is known than the reason says.
    pub detail: Option<String>,
    /// Time after which another try can help.
    pub retry_after: Option<time::Millis>,
}

impl CallRefusal {
    /// A refusal that says what the reason says.
    pub fn new(reason: reason::RefusalReason) -> Self {
        CallRefusal { reason, detail: None, retry_after: None }
    }

    /// The same refusal with a detail of its own.
    #[must_use]
    pub fn detail(mut self, detail: String) -> Self {
        self.detail = Some(detail);
        self
    }

    /// The same refusal with a time after which another try can help.
    #[must_use]
    pub fn retry_after(mut self, length: time::Millis) -> Self {
        self.retry_after = Some(length);
        self
    }
}

impl From<reason::RefusalReason> for CallRefusal {
    fn from(reason: reason::RefusalReason) -> Self {
        CallRefusal::new(reason)
    }
}

/// Counts and logs a refusal of a call that was not run, and makes its answer.
pub fn refuse(core: &core::EntryCore, request: &id::RequestId, refusal: CallRefusal) -> Response {
    refuse_as(core, request, outcome::CallOutcome::NotRun, refusal)
}

/// Counts and logs a refusal to attach again, and makes its answer.
///
/// The outcome is that of the request that the caller asks for, which may have been run.
pub fn refuse_attach(
    core: &core::EntryCore,
    wanted: &id::RequestId,
    refusal: CallRefusal,
) -> Response {
    refuse_as(core, wanted, outcome::CallOutcome::Unknown, refusal)
}

fn refuse_as(
    core: &core::EntryCore,
    request: &id::RequestId,
    outcome: outcome::CallOutcome,
    refusal: CallRefusal,
) -> Response {
    core.metrics.refused(refusal.reason);
    log_event!(event::LogEvent::RequestRefused, request = request, reason = refusal.reason);
    let mut problem = finish::problem_of(refusal.reason, outcome);
    problem.retry_after = refusal.retry_after;
    if let Some(detail) = refusal.detail {
        problem.detail = detail;
    }
    problem_reply(&problem, request)
}

/// The answer of a problem that was counted already.
pub fn problem_reply(problem: &problem::CallProblem, request: &id::RequestId) -> Response {
    let mut response = problem.to_response();
    response.insert_header(problem::REQUEST_ID_HEADER, request.as_str());
    if problem.reason == reason::RefusalReason::WrongKey {
        response.insert_header("WWW-Authenticate", "Bearer");
    }
    response
}

/// The answer of an upstream, as it came.
pub fn plain_reply(answer: &call::CallResult, request: &id::RequestId) -> Response {
    let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::BadGateway);
    let mut response = Response::new(status);
    response.set_body(answer.body.as_ref());
    // Setting a body sets a content type, which the upstream's own replaces.
    response.remove_header("content-type");
    for line in &answer.headers {
        response.append_header(line.name.as_ref(), line.value.as_ref());
    }
    response.insert_header(problem::REQUEST_ID_HEADER, request.as_str());
    response.insert_header(problem::OUTCOME_HEADER, outcome::CallOutcome::Complete.label());
    response
}

/// A whole answer in JSON.
pub fn json_reply(text: String, request: &id::RequestId) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(text);
    response.insert_header("Content-Type", "application/json");
    response.insert_header(problem::REQUEST_ID_HEADER, request.as_str());
    response.insert_header(problem::OUTCOME_HEADER, outcome::CallOutcome::Complete.label());
    response
}
