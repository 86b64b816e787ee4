//! Problem answers, as RFC 9457 has them.

use http_types::Response;
use http_types::StatusCode;
use samphiremoor_base::outcome;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use serde::Deserialize;
use serde::Serialize;

/// Header that carries the outcome.
pub const OUTCOME_HEADER: &str = "Samphiremoor-Outcome";

/// Header that carries the request's id.
pub const REQUEST_ID_HEADER: &str = "Samphiremoor-Request-Id";

/// Header that carries the remaining time of the request in milliseconds.
pub const TIMEOUT_HEADER: &str = "Samphiremoor-Timeout-Ms";

/// Prefix of each problem's `type`.
const TYPE_PREFIX: &str = "urn:samphiremoor:problem:";

/// A refusal or failure as the caller is told it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallProblem {
    /// HTTP status.
    pub status: StatusCode,
    /// The reason.
    pub reason: reason::RefusalReason,
    /// What is known of the call's effect.
    pub outcome: outcome::CallOutcome,
    /// What went wrong and what to do about it.
    pub detail: String,
    /// Time after which another try can help.
    pub retry_after: Option<time::Millis>,
}

/// The JSON of a problem answer.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ProblemBody {
    /// Stable name of the problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// The reason's label.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// What went wrong and what to do about it.
    pub detail: String,
    /// What is known of the call's effect.
    pub outcome: outcome::CallOutcome,
    /// Time after which another try can help, in milliseconds.
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
    /// A problem of a call that was certainly not run.
    pub fn not_run(status: StatusCode, reason: reason::RefusalReason, detail: &str) -> Self {
        CallProblem {
            status,
            reason,
            outcome: outcome::CallOutcome::NotRun,
            detail: detail.to_owned(),
            retry_after: None,
        }
    }

    /// The same problem with a time after which another try can help.
    #[must_use]
    pub fn retry_after(mut self, length: time::Millis) -> Self {
        self.retry_after = Some(length);
        self
    }

    /// The problem as an HTTP answer.
    pub fn to_response(&self) -> Response {
        let mut response = Response::new(self.status);
        let text = serde_json::to_string(&ProblemBody::from(self))
            .expect("a problem body has only text and numbers");
        response.set_body(text);
        response.insert_header("Content-Type", "application/problem+json");
        response.insert_header(OUTCOME_HEADER, self.outcome.label());
        if let Some(length) = self.retry_after {
            response.insert_header("Retry-After", length.get().div_ceil(1_000).to_string());
        }
        response
    }
}
