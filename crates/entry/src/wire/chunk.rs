//! Chunks of a streamed response, as received from upstreams.

use std::sync::Arc;

use samphiremoor_base::quantity;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

/// Data of the last event of a stream.
pub const DONE_DATA: &str = "[DONE]";

/// A response chunk. Unknown fields are ignored.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct UpstreamChunk {
    /// The upstream's id of the response.
    #[serde(default)]
    pub id: Option<Arc<str>>,
    /// The choices; this system requests only one.
    #[serde(default)]
    pub choices: SmallVec<[ChunkChoice; 1]>,
    /// Token usage, usually in the last chunk.
    #[serde(default)]
    pub usage: Option<TokenUsage>,
}

/// A choice of a chunk.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ChunkChoice {
    /// The text of a chat chunk.
    #[serde(default)]
    pub delta: Option<ChunkDelta>,
    /// The text of a completion chunk.
    #[serde(default)]
    pub text: Option<Arc<str>>,
    /// Finish reason, in the last chunk of the choice.
    #[serde(default)]
    pub finish_reason: Option<Arc<str>>,
}

/// The text of a chat chunk.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ChunkDelta {
    /// Text appended to the response.
    #[serde(default)]
    pub content: Option<Arc<str>>,
}

/// Token counts of a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: quantity::TokenCount,
    /// Tokens of the response.
    #[serde(default)]
    pub completion_tokens: quantity::TokenCount,
    /// Sum of prompt and response tokens.
    #[serde(default)]
    pub total_tokens: quantity::TokenCount,
    /// Cached and computed parts of the prompt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt_tokens_details: Option<PromptDetails>,
}

/// Cached and computed tokens of a prompt.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PromptDetails {
    /// Tokens found in the replica's prefix cache.
    #[serde(default)]
    pub cached_tokens: quantity::TokenCount,
    /// Tokens that the replica computed, if the upstream reports them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub computed_tokens: Option<quantity::TokenCount>,
}

impl UpstreamChunk {
    /// Parses the data of an event.
    ///
    /// # Errors
    ///
    /// Returns an error if the data is not a chunk.
    pub fn parse(data: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(data)
    }

    /// Returns the token's text, if the chunk has one.
    pub fn text(&self) -> Option<Arc<str>> {
        let choice = self.choices.first()?;
        let content = choice.delta.as_ref().and_then(|delta| delta.content.clone());
        let text = content.or_else(|| choice.text.clone())?;
        // Many engines send an empty text in the first and last chunk, which is not a token.
        (!text.is_empty()).then_some(text)
    }

    /// Returns the finish reason, if the chunk has one.
    pub fn finish_reason(&self) -> Option<Arc<str>> {
        self.choices.first()?.finish_reason.clone()
    }
}
