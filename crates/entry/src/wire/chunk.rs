//! Chunks of a streamed answer as upstreams send them.

use std::sync::Arc;

use samphiremoor_base::quantity;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

/// Data of the last event of a stream.
pub const DONE_DATA: &str = "[DONE]";

/// One chunk; fields that are not named here are left out.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct UpstreamChunk {
    /// The upstream's name of the answer.
    #[serde(default)]
    pub id: Option<Arc<str>>,
    /// The choices; this system asks for one.
    #[serde(default)]
    pub choices: SmallVec<[ChunkChoice; 1]>,
    /// Usage, most often in the last chunk.
    #[serde(default)]
    pub usage: Option<TokenUsage>,
}

/// One choice of a chunk.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ChunkChoice {
    /// The text of a chat chunk.
    #[serde(default)]
    pub delta: Option<ChunkDelta>,
    /// The text of a completion chunk.
    #[serde(default)]
    pub text: Option<Arc<str>>,
    /// Why the answer ends here.
    #[serde(default)]
    pub finish_reason: Option<Arc<str>>,
}

/// The text of a chat chunk.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ChunkDelta {
    /// Text that follows.
    #[serde(default)]
    pub content: Option<Arc<str>>,
}

/// Tokens of a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: quantity::TokenCount,
    /// Tokens of the answer.
    #[serde(default)]
    pub completion_tokens: quantity::TokenCount,
    /// Sum of both.
    #[serde(default)]
    pub total_tokens: quantity::TokenCount,
    /// What the prompt's tokens were read from.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt_tokens_details: Option<PromptDetails>,
}

/// Details of the prompt's tokens.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PromptDetails {
    /// Tokens that were in the replica's cache.
    #[serde(default)]
    pub cached_tokens: quantity::TokenCount,
    /// Tokens that were computed, where the upstream says it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub computed_tokens: Option<quantity::TokenCount>,
}

impl UpstreamChunk {
    /// Reads the data of an event.
    ///
    /// # Errors
    ///
    /// Fails where it is not a chunk.
    pub fn parse(data: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(data)
    }

    /// The token's text, where the chunk has one.
    pub fn text(&self) -> Option<Arc<str>> {
        let choice = self.choices.first()?;
        let content = choice.delta.as_ref().and_then(|delta| delta.content.clone());
        let text = content.or_else(|| choice.text.clone())?;
        // The first and the last chunk of many engines carry an empty text that is no token.
        (!text.is_empty()).then_some(text)
    }

    /// Why the answer ends, where it does.
    pub fn finish_reason(&self) -> Option<Arc<str>> {
        self.choices.first()?.finish_reason.clone()
    }
}
