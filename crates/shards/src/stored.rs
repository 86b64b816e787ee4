//! Results of calls as the journal keeps them.

use std::str;
use std::sync;

use samphiremoor_base::reason;
use samphiremoor_claims::transition;
use serde::Deserialize;
use serde::Serialize;

use crate::call;

/// Body of a kept result; text takes less room in a row than a list of numbers.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
enum StoredBody {
    Text(String),
    Bytes(Vec<u8>),
}

/// A result in a row of the journal.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StoredResult {
    status: u16,
    headers: Vec<call::CallHeader>,
    body: StoredBody,
}

impl From<&call::CallResult> for StoredResult {
    fn from(result: &call::CallResult) -> StoredResult {
        let body = match str::from_utf8(&result.body) {
            Ok(text) => StoredBody::Text(text.to_owned()),
            Err(_) => StoredBody::Bytes(result.body.to_vec()),
        };
        StoredResult { status: result.status, headers: result.headers.clone(), body }
    }
}

impl From<StoredResult> for call::CallResult {
    fn from(stored: StoredResult) -> call::CallResult {
        let body = match stored.body {
            StoredBody::Text(text) => sync::Arc::from(text.into_bytes()),
            StoredBody::Bytes(bytes) => sync::Arc::from(bytes),
        };
        call::CallResult { status: stored.status, headers: stored.headers, body }
    }
}

impl StoredResult {
    /// The text that the journal keeps.
    pub fn encode(&self) -> sync::Arc<str> {
        let text = serde_json::to_string(self).expect("results have no fallible values");
        sync::Arc::from(text)
    }

    /// Reads a kept text; absent where it is not a result.
    pub fn decode(text: &str) -> Option<StoredResult> {
        serde_json::from_str(text).ok()
    }
}

/// What the caller is told, for a holder's answer; absent where the shard has moved.
pub(crate) fn once_answer(answer: transition::SubmitResponse) -> Option<call::KeyedResponse> {
    let answer = match answer {
        transition::SubmitResponse::Completed { result, replayed } => {
            match StoredResult::decode(&result) {
                Some(stored) => call::KeyedResponse::Completed {
                    result: call::CallResult::from(stored),
                    replayed,
                },
                None => unknown(reason::RefusalReason::ClaimWithoutResult),
            }
        }
        transition::SubmitResponse::NotRun(cause) => {
            let transition::NotRunCause { reason, retry_after } = cause;
            call::KeyedResponse::NotRun { reason, retry_after }
        }
        transition::SubmitResponse::Unknown(reason) => unknown(reason),
        transition::SubmitResponse::Moved => return None,
    };
    Some(answer)
}

fn unknown(reason: reason::RefusalReason) -> call::KeyedResponse {
    call::KeyedResponse::Unknown { reason, retry_after: None }
}
