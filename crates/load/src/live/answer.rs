//! Answers of entry daemons, read and checked.

use std::time::Instant;

use futures_lite::StreamExt as _;
use http_types::Response;
use samphiremoor_base::quantity;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_httpio::body;
use serde::Deserialize;

/// Largest answer that is read whole.
const MAX_BODY: quantity::ByteCount = quantity::ByteCount::new(1024 * 1024);
/// Data of the last event of a stream.
const DONE_DATA: &[u8] = b"[DONE]";

/// How a call was answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallAnswer {
    /// A whole stream.
    Stream {
        /// When the first token came.
        first: Instant,
        /// When the last token came.
        last: Instant,
        /// Tokens that came.
        tokens: u64,
        /// Their text.
        text: String,
    },
    /// A whole answer of a plain service.
    Plain {
        /// When its head came.
        first: Instant,
    },
    /// A refusal, or a failure that the daemon named.
    Problem(AnswerProblem),
    /// No answer, or one that ended without saying so.
    Broken,
}

/// A refusal as the daemon worded it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerProblem {
    /// The reason, where it is a known one.
    pub reason: Option<reason::RefusalReason>,
    /// After which time a later try can help.
    pub retry_after: Option<time::Millis>,
}

#[derive(Deserialize)]
struct ProblemFields {
    title: String,
    retry_after_ms: Option<u64>,
}

#[derive(Deserialize)]
struct ChunkFields {
    #[serde(default)]
    choices: Vec<ChoiceFields>,
}

#[derive(Deserialize)]
struct ChoiceFields {
    #[serde(default)]
    delta: DeltaFields,
}

#[derive(Default, Deserialize)]
struct DeltaFields {
    #[serde(default)]
    content: Option<String>,
}

/// Reads the answer of a plain service.
pub async fn read_plain(mut response: Response, first: Instant) -> CallAnswer {
    if !response.status().is_success() {
        return read_problem(response).await;
    }
    match body::read(response.take_body(), MAX_BODY).await {
        Ok(_) => CallAnswer::Plain { first },
        Err(_) => CallAnswer::Broken,
    }
}

/// Reads a streamed answer of a model service.
pub async fn read_stream(response: Response) -> CallAnswer {
    if !response.status().is_success() {
        return read_problem(response).await;
    }
    let mut events = async_sse::decode(response);
    let mut text = String::new();
    let mut tokens = 0;
    let mut first = None;
    let mut last = Instant::now();
    while let Some(Ok(event)) = events.next().await {
        let async_sse::Event::Message(message) = event else { continue };
        if message.name() == "error" {
            return problem_of(message.data());
        }
        if message.data() == DONE_DATA {
            let first = first.unwrap_or(last);
            return CallAnswer::Stream { first, last, tokens, text };
        }
        let Some(token) = token_of(message.data()) else { continue };
        last = Instant::now();
        first.get_or_insert(last);
        tokens += 1;
        text.push_str(&token);
    }
    CallAnswer::Broken
}

fn token_of(data: &[u8]) -> Option<String> {
    let chunk: ChunkFields = serde_json::from_slice(data).ok()?;
    let content = chunk.choices.into_iter().next()?.delta.content?;
    (!content.is_empty()).then_some(content)
}

async fn read_problem(mut response: Response) -> CallAnswer {
    match body::read(response.take_body(), MAX_BODY).await {
        Ok(bytes) => problem_of(&bytes),
        Err(_) => CallAnswer::Broken,
    }
}

fn problem_of(data: &[u8]) -> CallAnswer {
    let Ok(fields) = serde_json::from_slice::<ProblemFields>(data) else {
        return CallAnswer::Problem(AnswerProblem { reason: None, retry_after: None });
    };
    let known = reason::RefusalReason::ALL.iter().copied();
    let reason = known.into_iter().find(|reason| reason.label() == fields.title);
    let retry_after = fields.retry_after_ms.map(time::Millis::new);
    CallAnswer::Problem(AnswerProblem { reason, retry_after })
}
