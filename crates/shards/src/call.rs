//! Calls that may not be repeated, and how they end.

use std::sync;

use async_trait::async_trait;
use samphiremoor_base::digest;
use samphiremoor_base::id;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_claims::key;
use serde::Deserialize;
use serde::Serialize;

/// One header of a call or an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CallHeader {
    /// Name, in lower case.
    pub name: sync::Arc<str>,
    /// Value.
    pub value: sync::Arc<str>,
}

/// A call that may not be repeated.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct KeyedCall {
    /// The caller's workspace, service and key.
    pub key: key::CallKey,
    /// Digest of everything that must be the same when the key is sent again.
    pub digest: digest::HexDigest,
    /// The request's id.
    pub request: id::RequestId,
    /// HTTP method.
    pub method: sync::Arc<str>,
    /// Path at the upstream, with the query.
    pub path: sync::Arc<str>,
    /// Headers that the upstream gets.
    pub headers: Vec<CallHeader>,
    /// Body.
    pub body: sync::Arc<[u8]>,
    /// Time left until the caller's deadline.
    pub remaining: time::Millis,
}

/// An upstream's whole answer.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CallResult {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<CallHeader>,
    /// Body.
    pub body: sync::Arc<[u8]>,
}

/// How a run of a call ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// The upstream answered in full.
    Completed(CallResult),
    /// It is certain that no upstream ran the call.
    NotRun {
        /// Why.
        reason: reason::RefusalReason,
        /// When another try can help.
        retry_after: Option<time::Millis>,
    },
    /// An upstream may have run the call.
    MaybeRun(reason::RefusalReason),
}

/// Runs calls at upstreams. Implemented by the entry daemon.
#[async_trait]
pub trait CallRunner: Send + Sync {
    /// Runs a call within `call.remaining`. It is called once for each claim.
    async fn run(&self, call: &KeyedCall) -> RunOutcome;
}

/// What the caller is told.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum KeyedResponse {
    /// The upstream's whole answer.
    Completed {
        /// The answer.
        result: CallResult,
        /// Whether it is the stored answer of an earlier send.
        replayed: bool,
    },
    /// It is certain that this request was not run.
    NotRun {
        /// Why.
        reason: reason::RefusalReason,
        /// When another try can help; absent where none can.
        retry_after: Option<time::Millis>,
    },
    /// The call may have run.
    Unknown {
        /// Why nothing better is known.
        reason: reason::RefusalReason,
        /// When asking again can tell more.
        retry_after: Option<time::Millis>,
    },
}
