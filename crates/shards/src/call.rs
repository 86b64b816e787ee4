//! Calls that run at most once, and their outcomes.

use std::sync;

use async_trait::async_trait;
use samphiremoor_base::digest;
use samphiremoor_base::id;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_claims::key;
use serde::Deserialize;
use serde::Serialize;

/// A header of a call or of an upstream's response.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CallHeader {
    /// Name in lower case.
    pub name: sync::Arc<str>,
    /// Value.
    pub value: sync::Arc<str>,
}

/// A call with an idempotency key, which runs at most once.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct KeyedCall {
    /// The caller's workspace, service and idempotency key.
    pub key: key::CallKey,
    /// Digest of everything that must be equal in all submissions with the same key.
    pub digest: digest::HexDigest,
    /// Id of the request.
    pub request: id::RequestId,
    /// HTTP method.
    pub method: sync::Arc<str>,
    /// Path at the upstream, including the query.
    pub path: sync::Arc<str>,
    /// Headers that are sent to the upstream.
    pub headers: Vec<CallHeader>,
    /// Request body.
    pub body: sync::Arc<[u8]>,
    /// Time that remains until the caller's deadline.
    pub remaining: time::Millis,
}

/// An upstream's complete response.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CallResult {
    /// HTTP status.
    pub status: u16,
    /// Response headers.
    pub headers: Vec<CallHeader>,
    /// Response body.
    pub body: sync::Arc<[u8]>,
}

/// How a run of a call ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// The upstream responded in full.
    Completed(CallResult),
    /// The call is certain not to have run at any upstream.
    NotRun {
        /// Reason of the refusal.
        reason: reason::RefusalReason,
        /// Delay after which a retry may succeed; `None` if no retry can.
        retry_after: Option<time::Millis>,
    },
    /// The call may have run at an upstream.
    MaybeRun(reason::RefusalReason),
}

/// Runs calls at upstreams. The entry daemon implements this trait.
#[async_trait]
pub trait CallRunner: Send + Sync {
    /// Runs a call within `call.remaining`. The shard service calls this method at most once per
    /// claim.
    async fn run(&self, call: &KeyedCall) -> RunOutcome;
}

/// Response to the caller of a keyed call.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum KeyedResponse {
    /// The upstream responded to the call.
    Completed {
        /// The upstream's complete response.
        result: CallResult,
        /// Whether the call was run for an earlier submission.
        replayed: bool,
    },
    /// This request is certain not to have run.
    NotRun {
        /// Reason of the refusal.
        reason: reason::RefusalReason,
        /// Delay after which a retry may succeed; `None` if no retry can.
        retry_after: Option<time::Millis>,
    },
    /// The call may have run.
    Unknown {
        /// Reason why the outcome is unknown.
        reason: reason::RefusalReason,
        /// Delay after which another request with the same key may get the outcome.
        retry_after: Option<time::Millis>,
    },
}
