//! Request and response bodies of the engine.

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_records::set;
use serde::Deserialize;
use serde::Serialize;

use crate::blocks;
use crate::cache;
use crate::tokens;

/// Body of a chat or completion call. Unknown fields are ignored.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct GenerateBody {
    /// Model to run.
    pub model: id::ModelId,
    /// Model version; `None` accepts any version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<id::VersionId>,
    /// Adapter of the model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<id::AdapterId>,
    /// Messages of a chat call.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub messages: Vec<ChatMessage>,
    /// Prompt of a completion call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt: Option<String>,
    /// Whether the response is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Number of tokens of the complete response.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// Number of response tokens that the caller already has.
    #[serde(default)]
    pub continue_from: u64,
    /// Text of the response tokens that the caller already has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub continue_text: Option<String>,
}

/// Message of a chat.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct ChatMessage {
    /// Role of the author.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

impl GenerateBody {
    /// Returns the full text of the prompt.
    pub fn prompt_text(&self) -> String {
        if let Some(prompt) = &self.prompt {
            return prompt.clone();
        }
        let lines = self.messages.iter();
        lines.map(|message| tokens::chat_line(&message.role, &message.content)).collect()
    }

    /// Returns whether a loaded model can serve the call.
    pub fn is_served_by(&self, loaded: &set::LoadedModel) -> bool {
        let version_matches =
            self.version.as_ref().is_none_or(|version| *version == loaded.version);
        loaded.model == self.model && version_matches && loaded.adapter == self.adapter
    }
}

/// Token usage of a call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct UsageBlock {
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of tokens of the complete response.
    pub completion_tokens: u64,
    /// Sum of prompt and completion tokens.
    pub total_tokens: u64,
    /// Cached and computed tokens.
    pub prompt_tokens_details: PromptDetails,
}

/// Split of the prefilled tokens into cached and computed ones. Delivered tokens of a continued
/// response are included.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PromptDetails {
    /// Number of tokens found in the cache.
    pub cached_tokens: u64,
    /// Number of tokens that were prefilled.
    pub computed_tokens: u64,
}

/// Role of an engine when prefill and decode are disaggregated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineRole {
    /// Runs prefill and decode.
    Both,
    /// Runs prefill only.
    Prefill,
    /// Runs decode only.
    Decode,
}

/// Body of `POST /orders`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineOrder {
    /// Fencing token of the sender.
    pub fence: quantity::FencingToken,
    /// Time after receipt within which the order may be executed, in milliseconds.
    pub valid_ms: time::Millis,
    /// Action to execute.
    #[serde(flatten)]
    pub action: OrderAction,
}

/// Action to execute.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderAction {
    /// Loads a model.
    Load(set::LoadedModel),
    /// Unloads a model.
    Unload(set::LoadedModel),
    /// Changes the engine's role.
    Role(EngineRole),
}

/// Response body of `GET /state`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineState {
    /// Replica id of the engine.
    pub id: id::ReplicaId,
    /// Whether the engine accepts new calls.
    pub ready: bool,
    /// Loaded models.
    pub models: Vec<set::LoadedModel>,
    /// Fencing token of the last executed order.
    pub fence: quantity::FencingToken,
    /// Whether the engine is draining before it stops.
    pub draining: bool,
    /// Current role.
    pub role: EngineRole,
}

/// Response body of `GET /load`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoadBody {
    /// Number of sequences in the batch.
    pub running: u32,
    /// Number of sequences that wait for admission.
    pub queued: u32,
    /// Number of tokens still to be prefilled.
    pub queued_tokens: u64,
    /// Age of the sample, in milliseconds.
    pub age_ms: u64,
}

/// Published change of the prefix cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CacheEvent {
    /// Serial number of the event. A gap in the serial numbers means lost events.
    pub serial: u64,
    /// Change of the cache.
    #[serde(flatten)]
    pub change: cache::CacheChange,
}

/// Placeholder for the KV cache of one request: its metadata without its bytes.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct KvBlob {
    /// Id of the request.
    pub request: id::RequestId,
    /// Block hashes of the prompt.
    pub blocks: Vec<blocks::BlockHash>,
    /// Number of prompt and response tokens in the KV cache.
    pub tokens: u64,
    /// Size that the real KV cache would have, in bytes.
    pub bytes: u64,
}

/// Response body of `GET /control/counts`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineCounts {
    /// Number of calls that were queued.
    pub calls: u64,
    /// Number of calls that were cancelled.
    pub cancelled: u64,
    /// Number of tokens found in the cache.
    pub cached_tokens: u64,
    /// Number of tokens that were prefilled.
    pub computed_tokens: u64,
    /// Number of response tokens that were decoded.
    pub answer_tokens: u64,
    /// Number of continuations whose delivered text differs from this engine's response.
    pub wrong_continuations: u64,
}
