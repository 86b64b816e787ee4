//! Results of calls in the encoding of the journal.

use std::str;
use std::sync;

use samphiremoor_base::reason;
use samphiremoor_claims::transition;
use serde::Deserialize;
use serde::Serialize;

use crate::call;

/// Body of a stored result. Text takes less space in a row than a list of numbers.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
enum StoredBody {
    Text(String),
    Bytes(Vec<u8>),
}

/// The result of a call as the journal stores it.
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
    /// Encodes the result for the journal.
    pub fn encode(&self) -> sync::Arc<str> {
        let text = serde_json::to_string(self).expect("results have no fallible values");
        sync::Arc::from(text)
    }

    /// Decodes a result of the journal; returns `None` if it is invalid.
    pub fn decode(text: &str) -> Option<StoredResult> {
        serde_json::from_str(text).ok()
    }
}

/// Converts a holder's response to the response of the call; returns `None` if another daemon holds
/// the shard.
pub(crate) fn keyed_response(response: transition::SubmitResponse) -> Option<call::KeyedResponse> {
    let response = match response {
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
    Some(response)
}

fn unknown(reason: reason::RefusalReason) -> call::KeyedResponse {
    call::KeyedResponse::Unknown { reason, retry_after: None }
}
