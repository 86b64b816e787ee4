//! Problem responses as defined in RFC 9457.

use http_types::Response;
use http_types::StatusCode;
use samphiremoor_base::outcome;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use serde::Deserialize;
use serde::Serialize;

/// Header that contains the outcome of a request.
pub const OUTCOME_HEADER: &str = "Samphiremoor-Outcome";

/// Header that contains the id of a request.
pub const REQUEST_ID_HEADER: &str = "Samphiremoor-Request-Id";

/// Header that contains the time left until the deadline of a request, in milliseconds.
pub const TIMEOUT_HEADER: &str = "Samphiremoor-Timeout-Ms";

/// Prefix of the `type` of every problem.
const TYPE_PREFIX: &str = "urn:samphiremoor:problem:";

/// A refusal or failure as reported to the caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallProblem {
    /// HTTP status.
    pub status: StatusCode,
    /// The reason.
    pub reason: reason::RefusalReason,
    /// Whether the call may have run.
    pub outcome: outcome::CallOutcome,
    /// Explanation with the cause and the remedy.
    pub detail: String,
    /// Delay after which a retry may succeed.
    pub retry_after: Option<time::Millis>,
}

/// The JSON body of a problem response.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ProblemBody {
    /// URN of the problem type.
    #[serde(rename = "type")]
    pub kind: String,
    /// Label of the reason.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// Explanation with the cause and the remedy.
    pub detail: String,
    /// Whether the call may have run.
    pub outcome: outcome::CallOutcome,
    /// Delay after which a retry may succeed, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl From<&CallProblem> for ProblemBody {
    fn from(problem: &CallProblem) -> Self {
        ProblemBody {
            kind: format!("{TYPE_PREFIX}{}", problem.reason.label()),
            title: problem.reason.label().to_owned(),
            status: u16::from(problem.status),
            detail: problem.detail.clone(),
            outcome: problem.outcome,
            retry_after_ms: problem.retry_after.map(time::Millis::get),
        }
    }
}

impl CallProblem {
    /// Creates a problem for a call that was not run.
    pub fn not_run(status: StatusCode, reason: reason::RefusalReason, detail: &str) -> Self {
        CallProblem {
            status,
            reason,
            outcome: outcome::CallOutcome::NotRun,
            detail: detail.to_owned(),
            retry_after: None,
        }
    }

    /// Sets the delay after which a retry may succeed.
    #[must_use]
    pub fn retry_after(mut self, delay: time::Millis) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Converts the problem to an HTTP response.
    pub fn to_response(&self) -> Response {
        let mut response = Response::new(self.status);
        let text = serde_json::to_string(&ProblemBody::from(self))
            .expect("a problem body contains only text and numbers");
        response.set_body(text);
        response.insert_header("Content-Type", "application/problem+json");
        response.insert_header(OUTCOME_HEADER, self.outcome.label());
        if let Some(delay) = self.retry_after {
            response.insert_header("Retry-After", delay.get().div_ceil(1_000).to_string());
        }
        response
    }
}
