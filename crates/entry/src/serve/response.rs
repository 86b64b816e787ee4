//! HTTP responses for results and refusals.

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

/// A refusal that has not been turned into an HTTP response yet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallRefusal {
    /// Reason of the refusal.
    pub reason: reason::RefusalReason,
    /// Problem detail that replaces the default detail of the reason.
    pub detail: Option<String>,
    /// Time after which a retry may succeed.
    pub retry_after: Option<time::Millis>,
}

impl CallRefusal {
    /// Creates a refusal with the default detail of the reason.
    pub fn new(reason: reason::RefusalReason) -> Self {
        CallRefusal { reason, detail: None, retry_after: None }
    }

    /// Sets the problem detail.
    #[must_use]
    pub fn detail(mut self, detail: String) -> Self {
        self.detail = Some(detail);
        self
    }

    /// Sets the time after which a retry may succeed.
    #[must_use]
    pub fn retry_after(mut self, delay: time::Millis) -> Self {
        self.retry_after = Some(delay);
        self
    }
}

impl From<reason::RefusalReason> for CallRefusal {
    fn from(reason: reason::RefusalReason) -> Self {
        CallRefusal::new(reason)
    }
}

/// Counts and logs a refusal of a call that was not run, and returns its response.
pub fn refuse(core: &core::EntryCore, request: &id::RequestId, refusal: CallRefusal) -> Response {
    refuse_with_outcome(core, request, outcome::CallOutcome::NotRun, refusal)
}

/// Counts and logs a refusal to reattach, and returns its response.
///
/// The outcome is `Unknown`, because the request that the caller asks for may have been run.
pub fn refuse_attach(
    core: &core::EntryCore,
    request: &id::RequestId,
    refusal: CallRefusal,
) -> Response {
    refuse_with_outcome(core, request, outcome::CallOutcome::Unknown, refusal)
}

fn refuse_with_outcome(
    core: &core::EntryCore,
    request: &id::RequestId,
    outcome: outcome::CallOutcome,
    refusal: CallRefusal,
) -> Response {
    core.metrics.count_refusal(refusal.reason);
    log_event!(event::LogEvent::RequestRefused, request = request, reason = refusal.reason);
    // The status speaks of this call alone, the outcome also of the one that an attachment asks for.
    let mut problem = finish::problem_for(refusal.reason, outcome::CallOutcome::NotRun);
    problem.outcome = outcome;
    problem.retry_after = refusal.retry_after;
    if let Some(detail) = refusal.detail {
        problem.detail = detail;
    }
    problem_response(&problem, request)
}

/// Returns the response for a problem that was counted already.
pub fn problem_response(problem: &problem::CallProblem, request: &id::RequestId) -> Response {
    let mut response = problem.to_response();
    response.insert_header(problem::REQUEST_ID_HEADER, request.as_str());
    if problem.reason == reason::RefusalReason::WrongKey {
        response.insert_header("WWW-Authenticate", "Bearer");
    }
    response
}

/// Returns an upstream's response unchanged, apart from the headers of this system.
pub fn plain_response(result: &call::CallResult, request: &id::RequestId) -> Response {
    let status = StatusCode::try_from(result.status).unwrap_or(StatusCode::BadGateway);
    let mut response = Response::new(status);
    response.set_body(result.body.as_ref());
    // `set_body` sets a content type; the upstream's one replaces it.
    response.remove_header("content-type");
    for header in &result.headers {
        response.append_header(header.name.as_ref(), header.value.as_ref());
    }
    response.insert_header(problem::REQUEST_ID_HEADER, request.as_str());
    response.insert_header(problem::OUTCOME_HEADER, outcome::CallOutcome::Complete.label());
    response
}

/// Returns a full JSON response.
pub fn json_response(text: String, request: &id::RequestId) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(text);
    response.insert_header("Content-Type", "application/json");
    response.insert_header(problem::REQUEST_ID_HEADER, request.as_str());
    response.insert_header(problem::OUTCOME_HEADER, outcome::CallOutcome::Complete.label());
    response
}
