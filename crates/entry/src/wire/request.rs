//! Bodies of chat and completion calls, as received from callers and sent to upstreams.

use std::error;
use std::fmt;
use std::hash::Hasher as _;
use std::str;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_fleet::suspect;
use samphiremoor_records::set;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;
use siphasher::sip;

/// API call of a model service.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum ModelCall {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Completion,
}

impl ModelCall {
    /// Returns the call's path, which is the same at this daemon and at upstreams.
    pub const fn path(self) -> &'static str {
        match self {
            ModelCall::Chat => "/v1/chat/completions",
            ModelCall::Completion => "/v1/completions",
        }
    }

    /// Returns the name of the field that contains the prompt.
    const fn prompt_field(self) -> &'static str {
        match self {
            ModelCall::Chat => "messages",
            ModelCall::Completion => "prompt",
        }
    }
}

/// The `model` field of a caller: a service, and optionally a version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModelName {
    /// The service.
    pub service: id::ServiceId,
    /// The version after `@`.
    pub version: Option<id::VersionId>,
}

impl str::FromStr for ModelName {
    type Err = id::IdError;

    fn from_str(text: &str) -> Result<Self, id::IdError> {
        match text.split_once('@') {
            None => Ok(ModelName { service: text.parse()?, version: None }),
            Some((service, version)) => {
                Ok(ModelName { service: service.parse()?, version: Some(version.parse()?) })
            }
        }
    }
}

/// Reason why a request body is refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// The body is not a JSON object.
    NotJson(String),
    /// `model` is missing or not a valid name.
    BadModel,
    /// The prompt in this field is missing or malformed.
    BadPrompt(&'static str),
    /// `n` requests more than one choice.
    ManyChoices,
    /// `stream` is not a boolean.
    BadStream,
    /// The token limit in this field is not an integer from 1 to `MAX_RESPONSE_TOKENS`.
    BadLimit(&'static str),
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BodyError::NotJson(cause) => {
                write!(f, "the body is not a JSON object ({cause}); send one")
            }
            BodyError::BadModel => {
                f.write_str("`model` names no service; set it to SERVICE or SERVICE@VERSION")
            }
            BodyError::BadPrompt(field) => {
                write!(f, "`{field}` is missing or of another type; send it as the API has it")
            }
            BodyError::ManyChoices => f.write_str("`n` is not 1; send one request for each choice"),
            BodyError::BadLimit(field) => {
                write!(f, "`{field}` is not from 1 to {MAX_RESPONSE_TOKENS}; send a whole number")
            }
            BodyError::BadStream => f.write_str("`stream` is not a boolean; set true or false"),
        }
    }
}

impl error::Error for BodyError {}

/// A parsed request body.
#[derive(Clone, Debug, PartialEq)]
pub struct CallBody {
    /// The API call.
    pub call: ModelCall,
    /// The service, and the version if the caller names one.
    pub model: ModelName,
    /// Whether the caller requests a stream.
    pub stream: bool,
    /// Whether the caller requests the token usage at the end of a stream.
    pub include_usage: bool,
    /// All fields of the body, unchanged.
    pub fields: Map<String, Value>,
}

impl CallBody {
    /// Parses a body.
    ///
    /// # Errors
    ///
    /// Refuses a body that names no service, has no prompt, requests several choices or has
    /// malformed options.
    pub fn parse(call: ModelCall, bytes: &[u8]) -> Result<Self, BodyError> {
        let fields: Map<String, Value> =
            serde_json::from_slice(bytes).map_err(|cause| BodyError::NotJson(cause.to_string()))?;
        let model = fields.get("model").and_then(Value::as_str).ok_or(BodyError::BadModel)?;
        let model: ModelName = model.parse().map_err(|_| BodyError::BadModel)?;
        if !has_prompt(call, &fields) {
            return Err(BodyError::BadPrompt(call.prompt_field()));
        }
        if fields.get("n").is_some_and(|count| count.as_u64() != Some(1)) {
            return Err(BodyError::ManyChoices);
        }
        check_token_limits(&fields)?;
        let stream = match fields.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(_) => return Err(BodyError::BadStream),
        };
        let include_usage = fields
            .get("stream_options")
            .and_then(|options| options.get("include_usage"))
            .and_then(Value::as_bool)
            .unwrap_or(false);
        Ok(CallBody { call, model, stream, include_usage, fields })
    }

    /// Returns the prompt's text, for routing by prefix.
    pub fn prompt_text(&self) -> String {
        match self.fields.get(self.call.prompt_field()) {
            Some(Value::String(text)) => text.clone(),
            Some(Value::Array(items)) => items.iter().map(message_text).collect(),
            _ => String::new(),
        }
    }

    /// Returns the body that is sent to an upstream.
    pub fn to_upstream(&self, target: &set::LoadedModel, resume: &ResumePoint) -> Vec<u8> {
        let body = UpstreamBody {
            model: &target.model,
            version: &target.version,
            adapter: target.adapter.as_ref(),
            stream: true,
            stream_options: StreamOptions { include_usage: true },
            continue_from: (resume.offset.get() > 0).then_some(resume.offset),
            continue_text: (resume.offset.get() > 0).then_some(resume.text.as_str()),
            fields: UpstreamFields(&self.fields),
        };
        serde_json::to_vec(&body).expect("a body has string keys and serializable values")
    }
}

/// Greatest token limit that is forwarded: engines count tokens in 32-bit integers.
const MAX_RESPONSE_TOKENS: u64 = i32::MAX as u64;

/// Refuses token limits that an engine would refuse. Engines differ in the form of that error, so
/// the check gives callers a uniform one.
fn check_token_limits(fields: &Map<String, Value>) -> Result<(), BodyError> {
    for field in ["max_tokens", "max_completion_tokens"] {
        let limit = fields.get(field).filter(|value| !value.is_null());
        let is_valid = |value: &Value| {
            value.as_u64().is_some_and(|count| (1..=MAX_RESPONSE_TOKENS).contains(&count))
        };
        if limit.is_some_and(|value| !is_valid(value)) {
            return Err(BodyError::BadLimit(field));
        }
    }
    Ok(())
}

/// Position from which an upstream resumes a response.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResumePoint {
    /// Number of tokens received so far.
    pub offset: quantity::TokenCount,
    /// Text of these tokens.
    pub text: String,
}

#[derive(Serialize)]
struct StreamOptions {
    include_usage: bool,
}

#[derive(Serialize)]
struct UpstreamBody<'a> {
    model: &'a id::ModelId,
    version: &'a id::VersionId,
    #[serde(skip_serializing_if = "Option::is_none")]
    adapter: Option<&'a id::AdapterId>,
    stream: bool,
    stream_options: StreamOptions,
    #[serde(skip_serializing_if = "Option::is_none")]
    continue_from: Option<quantity::TokenCount>,
    #[serde(skip_serializing_if = "Option::is_none")]
    continue_text: Option<&'a str>,
    #[serde(flatten)]
    fields: UpstreamFields<'a>,
}

impl CallBody {
    /// Returns the messages of a chat call, which are the parts of its prompt. Completion calls have
    /// a prompt without parts.
    pub fn all_segments(&self) -> suspect::SuspectIds {
        let messages = match (self.call, self.fields.get(self.call.prompt_field())) {
            (ModelCall::Chat, Some(Value::Array(messages))) => &messages[..],
            _ => &[],
        };
        let hash = |message: &Value| {
            let mut hasher = sip::SipHasher13::new();
            hasher.write(message_text(message).as_bytes());
            suspect::SuspectId::Segment(hasher.finish())
        };
        messages.iter().map(hash).collect()
    }

    /// Returns the messages that other calls may share: all but the last one.
    pub fn shared_segments(&self) -> suspect::SuspectIds {
        let mut segments = self.all_segments();
        segments.pop();
        segments
    }

    /// Returns the fingerprint of the call of a workspace.
    pub fn fingerprint(&self, workspace: &id::WorkspaceId) -> suspect::RequestFingerprint {
        let body = serde_json::to_vec(&self.fields).expect("a body has string keys");
        suspect::RequestIdentity {
            host: self.model.service.as_str(),
            method: "POST",
            target: self.call.path(),
            workspace: Some(workspace),
            body: &body,
        }
        .fingerprint()
    }
}

/// The caller's fields without those that this system sets.
struct UpstreamFields<'a>(&'a Map<String, Value>);

/// Fields that this system sets itself.
const SYSTEM_FIELDS: &[&str] =
    &["model", "version", "adapter", "stream", "stream_options", "continue_from", "continue_text"];

impl Serialize for UpstreamFields<'_> {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let caller_fields = self.0.iter().filter(|(key, _)| !SYSTEM_FIELDS.contains(&key.as_str()));
        serializer.collect_map(caller_fields)
    }
}

/// Returns whether the prompt field is present and has the type that the call requires.
fn has_prompt(call: ModelCall, fields: &Map<String, Value>) -> bool {
    match (call, fields.get(call.prompt_field())) {
        (ModelCall::Chat, Some(Value::Array(messages))) => {
            !messages.is_empty() && messages.iter().all(Value::is_object)
        }
        (ModelCall::Completion, Some(Value::String(_))) => true,
        _ => false,
    }
}

fn message_text(message: &Value) -> String {
    let role = message.get("role").and_then(Value::as_str).unwrap_or_default();
    match message.get("content") {
        Some(Value::String(content)) => format!("{role}:{content}\n"),
        Some(content) => format!("{role}:{content}\n"),
        None => format!("{role}:\n"),
    }
}
