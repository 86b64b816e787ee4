//! Bodies of the engine's calls.

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_records::set;
use serde::Deserialize;
use serde::Serialize;

use crate::blocks;
use crate::cache;
use crate::tokens;

/// Body of a chat or completion call; fields of the usual JSON that are not named are ignored.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct GenerateBody {
    /// The model.
    pub model: id::ModelId,
    /// Its version; any where absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<id::VersionId>,
    /// The adapter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<id::AdapterId>,
    /// Messages of a chat call.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub messages: Vec<ChatMessage>,
    /// Prompt of a completion call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt: Option<String>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Tokens of the whole answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// Tokens that were delivered already.
    #[serde(default)]
    pub continue_from: u64,
    /// Text of the tokens that were delivered already.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub continue_text: Option<String>,
}

/// One message of a chat.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct ChatMessage {
    /// Who says it.
    pub role: String,
    /// What is said.
    pub content: String,
}

impl GenerateBody {
    /// The whole prompt's text.
    pub fn prompt_text(&self) -> String {
        if let Some(prompt) = &self.prompt {
            return prompt.clone();
        }
        let lines = self.messages.iter();
        lines.map(|message| tokens::chat_line(&message.role, &message.content)).collect()
    }

    /// Whether a loaded model serves the call.
    pub fn is_served_by(&self, loaded: &set::LoadedModel) -> bool {
        let version_fits = self.version.as_ref().is_none_or(|wanted| *wanted == loaded.version);
        loaded.model == self.model && version_fits && loaded.adapter == self.adapter
    }
}

/// Tokens of a call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct UsageBlock {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the whole answer.
    pub completion_tokens: u64,
    /// Sum of both.
    pub total_tokens: u64,
    /// Where the prompt's tokens came from.
    pub prompt_tokens_details: PromptDetails,
}

/// Where the tokens before the answer came from; those of a continued answer count as well.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PromptDetails {
    /// Tokens from the cache.
    pub cached_tokens: u64,
    /// Tokens that were computed.
    pub computed_tokens: u64,
}

/// Role of an engine among those that split prompts from answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineRole {
    /// Computes prompts and answers.
    Both,
    /// Computes prompts.
    Prefill,
    /// Computes answers.
    Decode,
}

/// Body of `POST /orders`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineOrder {
    /// Fencing number of who orders.
    pub fence: quantity::FencingToken,
    /// Time from the receipt in which the order may be carried out.
    pub valid_ms: time::Millis,
    /// What is ordered.
    #[serde(flatten)]
    pub action: OrderAction,
}

/// What is ordered.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderAction {
    /// Load a model.
    Load(set::LoadedModel),
    /// Unload a model.
    Unload(set::LoadedModel),
    /// Take a role.
    Role(EngineRole),
}

/// Answer of `GET /state`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineState {
    /// The engine.
    pub id: id::ReplicaId,
    /// Whether it takes new work.
    pub ready: bool,
    /// Loaded models.
    pub models: Vec<set::LoadedModel>,
    /// Fencing number of the last order that was carried out.
    pub fence: quantity::FencingToken,
    /// Whether it is stopping.
    pub draining: bool,
    /// Its role.
    pub role: EngineRole,
}

/// Answer of `GET /load`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoadBody {
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Prompt tokens that wait to be computed.
    pub queued_tokens: u64,
    /// Age of these figures.
    pub age_ms: u64,
}

/// One published change of the prefix cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CacheEvent {
    /// Number of the event; a number that is left out is a lost event.
    pub serial: u64,
    /// What changed.
    #[serde(flatten)]
    pub change: cache::CacheChange,
}

/// Stands for the KV cache of one request.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct KvBlob {
    /// The request.
    pub request: id::RequestId,
    /// Blocks of its prompt.
    pub blocks: Vec<blocks::BlockHash>,
    /// Tokens of prompt and answer in the cache.
    pub tokens: u64,
    /// Size that the cache would have.
    pub bytes: u64,
}

/// Answer of `GET /control/counts`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineCounts {
    /// Calls that were queued.
    pub calls: u64,
    /// Calls that were cancelled.
    pub cancelled: u64,
    /// Tokens from the cache.
    pub cached_tokens: u64,
    /// Prompt tokens that were computed.
    pub computed_tokens: u64,
    /// Tokens of answers.
    pub answer_tokens: u64,
    /// Continuations whose delivered text is not what this engine would have given.
    pub wrong_continuations: u64,
}
