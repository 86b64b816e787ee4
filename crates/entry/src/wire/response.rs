//! Responses to chat and completion calls, as sent to callers.

use std::sync::Arc;

use samphiremoor_base::id;
use samphiremoor_httpio::problem;
use serde::Serialize;

use crate::wire::chunk;
use crate::wire::request;

/// Fields that every chunk and full response repeats.
#[derive(Clone, Debug)]
pub struct ResponseFrame {
    /// Request id.
    pub id: id::RequestId,
    /// The API call.
    pub call: request::ModelCall,
    /// The service, sent as `model`.
    pub service: id::ServiceId,
    /// Unix time in seconds at which the request was accepted.
    pub created_s: u64,
}

#[derive(Serialize)]
struct ResponseWire<'a, C: Serialize> {
    id: &'a id::RequestId,
    object: &'static str,
    created: u64,
    model: &'a id::ServiceId,
    choices: [C; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<chunk::TokenUsage>,
}

#[derive(Serialize)]
struct ChatChunkChoice<'a> {
    index: u32,
    delta: ChatDelta<'a>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct ChatDelta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Serialize)]
struct ChatChoice<'a> {
    index: u32,
    message: ChatMessage<'a>,
    finish_reason: &'a str,
}

#[derive(Serialize)]
struct ChatMessage<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Serialize)]
struct CompletionChoice<'a> {
    index: u32,
    text: &'a str,
    finish_reason: Option<&'a str>,
}

/// Role of every response message.
const ASSISTANT_ROLE: &str = "assistant";

impl ResponseFrame {
    /// Returns the chunk of one token.
    pub fn token_chunk(&self, text: &str, is_first: bool) -> String {
        match self.call {
            request::ModelCall::Chat => {
                let role = is_first.then_some(ASSISTANT_ROLE);
                let delta = ChatDelta { role, content: Some(text) };
                self.chunk_json(ChatChunkChoice { index: 0, delta, finish_reason: None }, None)
            }
            request::ModelCall::Completion => {
                self.chunk_json(CompletionChoice { index: 0, text, finish_reason: None }, None)
            }
        }
    }

    /// Returns the chunk with the finish reason.
    pub fn final_chunk(&self, finish_reason: &str, usage: Option<chunk::TokenUsage>) -> String {
        let finish_reason = Some(finish_reason);
        match self.call {
            request::ModelCall::Chat => {
                let delta = ChatDelta { role: None, content: None };
                self.chunk_json(ChatChunkChoice { index: 0, delta, finish_reason }, usage)
            }
            request::ModelCall::Completion => {
                self.chunk_json(CompletionChoice { index: 0, text: "", finish_reason }, usage)
            }
        }
    }

    /// Returns the full, non-streamed response.
    pub fn full_response(
        &self,
        text: &str,
        finish_reason: &str,
        usage: Option<chunk::TokenUsage>,
    ) -> String {
        match self.call {
            request::ModelCall::Chat => {
                let message = ChatMessage { role: ASSISTANT_ROLE, content: text };
                let choice = ChatChoice { index: 0, message, finish_reason };
                self.to_json("chat.completion", choice, usage)
            }
            request::ModelCall::Completion => {
                let finish_reason = Some(finish_reason);
                let choice = CompletionChoice { index: 0, text, finish_reason };
                self.to_json("text_completion", choice, usage)
            }
        }
    }

    fn chunk_json<C: Serialize>(&self, choice: C, usage: Option<chunk::TokenUsage>) -> String {
        let object = match self.call {
            request::ModelCall::Chat => "chat.completion.chunk",
            request::ModelCall::Completion => "text_completion",
        };
        self.to_json(object, choice, usage)
    }

    fn to_json<C: Serialize>(
        &self,
        object: &'static str,
        choice: C,
        usage: Option<chunk::TokenUsage>,
    ) -> String {
        let wire = ResponseWire {
            id: &self.id,
            object,
            created: self.created_s,
            model: &self.service,
            choices: [choice],
            usage,
        };
        serde_json::to_string(&wire).expect("a response has string keys and serializable values")
    }
}

/// Data of the `error` event that ends a failed stream.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct StreamError {
    /// The problem, with the fields of a problem response.
    #[serde(flatten)]
    pub problem: problem::ProblemBody,
    /// Request id, for reattaching.
    pub request_id: id::RequestId,
}

impl StreamError {
    /// Creates the error event of a problem.
    pub fn new(problem: &problem::CallProblem, request_id: id::RequestId) -> Self {
        StreamError { problem: problem::ProblemBody::from(problem), request_id }
    }

    /// Returns the event's data as JSON.
    pub fn to_data(&self) -> Arc<str> {
        let text =
            serde_json::to_string(self).expect("an error has string keys and serializable values");
        Arc::from(text)
    }
}
