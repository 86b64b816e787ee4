//! Answers to chat and completion calls as callers get them.

use std::sync::Arc;

use samphiremoor_base::id;
use samphiremoor_base::outcome;
use samphiremoor_httpio::problem;
use serde::Serialize;

use crate::wire::chunk;
use crate::wire::request;

/// What each chunk and each whole answer repeats.
#[derive(Clone, Debug)]
pub struct AnswerFrame {
    /// The request.
    pub id: id::RequestId,
    /// Which call it is.
    pub call: request::ModelCall,
    /// The service, as `model`.
    pub service: id::ServiceId,
    /// When the request was accepted, in seconds of the Unix epoch.
    pub created_s: u64,
}

#[derive(Serialize)]
struct AnswerWire<'a, C: Serialize> {
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

/// Role of every answer.
const ASSISTANT_ROLE: &str = "assistant";

impl AnswerFrame {
    /// The chunk of one token.
    pub fn token_chunk(&self, text: &str, is_first: bool) -> String {
        match self.call {
            request::ModelCall::Chat => {
                let role = is_first.then_some(ASSISTANT_ROLE);
                let delta = ChatDelta { role, content: Some(text) };
                self.chunk(ChatChunkChoice { index: 0, delta, finish_reason: None }, None)
            }
            request::ModelCall::Completion => {
                self.chunk(CompletionChoice { index: 0, text, finish_reason: None }, None)
            }
        }
    }

    /// The chunk that says why the answer ends.
    pub fn final_chunk(&self, finish_reason: &str, usage: Option<chunk::TokenUsage>) -> String {
        let finish_reason = Some(finish_reason);
        match self.call {
            request::ModelCall::Chat => {
                let delta = ChatDelta { role: None, content: None };
                self.chunk(ChatChunkChoice { index: 0, delta, finish_reason }, usage)
            }
            request::ModelCall::Completion => {
                self.chunk(CompletionChoice { index: 0, text: "", finish_reason }, usage)
            }
        }
    }

    /// The whole answer.
    pub fn whole(
        &self,
        text: &str,
        finish_reason: &str,
        usage: Option<chunk::TokenUsage>,
    ) -> String {
        match self.call {
            request::ModelCall::Chat => {
                let message = ChatMessage { role: ASSISTANT_ROLE, content: text };
                let choice = ChatChoice { index: 0, message, finish_reason };
                self.object("chat.completion", choice, usage)
            }
            request::ModelCall::Completion => {
                let finish_reason = Some(finish_reason);
                let choice = CompletionChoice { index: 0, text, finish_reason };
                self.object("text_completion", choice, usage)
            }
        }
    }

    fn chunk<C: Serialize>(&self, choice: C, usage: Option<chunk::TokenUsage>) -> String {
        let object = match self.call {
            request::ModelCall::Chat => "chat.completion.chunk",
            request::ModelCall::Completion => "text_completion",
        };
        self.object(object, choice, usage)
    }

    fn object<C: Serialize>(
        &self,
        object: &'static str,
        choice: C,
        usage: Option<chunk::TokenUsage>,
    ) -> String {
        let wire = AnswerWire {
            id: &self.id,
            object,
            created: self.created_s,
            model: &self.service,
            choices: [choice],
            usage,
        };
        serde_json::to_string(&wire).expect("the answer has text keys and plain values")
    }
}

/// Data of the `error` event that ends a failed stream.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct StreamError {
    /// Stable name of the problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// What went wrong and what to do about it.
    pub detail: String,
    /// What is known of the request.
    pub outcome: outcome::CallOutcome,
    /// The request, for attaching again.
    pub request_id: id::RequestId,
    /// Time after which another try can help, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl StreamError {
    /// The error that tells a problem.
    pub fn new(problem: &problem::CallProblem, request_id: id::RequestId) -> Self {
        let body = problem::ProblemBody::from(problem);
        StreamError {
            kind: body.kind,
            detail: body.detail,
            outcome: problem.outcome,
            request_id,
            retry_after_ms: body.retry_after_ms,
        }
    }

    /// The event's data.
    pub fn to_data(&self) -> Arc<str> {
        let text = serde_json::to_string(self).expect("the error has text keys and plain values");
        Arc::from(text)
    }
}
