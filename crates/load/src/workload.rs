//! Workload files, which describe the calls that the callers of a deployment send.

use samphiremoor_base::id;
use samphiremoor_settings::load;
use serde::Deserialize;

/// A workload file.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkloadFile {
    /// Callers of model services.
    #[serde(default)]
    pub model: Vec<ModelMix>,
    /// Callers of plain services.
    #[serde(default)]
    pub plain: Vec<PlainMix>,
}

/// Callers of one model service.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelMix {
    /// Service that is called.
    pub service: id::ServiceId,
    /// Sessions started per second.
    pub sessions_per_second: f64,
    /// Number of prompt templates; sessions with the same template share a prompt prefix.
    pub templates: u64,
    /// Tokens of a template.
    pub template_tokens: ValueRange,
    /// Calls in a session.
    pub turns: ValueRange,
    /// Tokens that each call adds to the prompt.
    pub turn_tokens: ValueRange,
    /// Tokens of a response.
    pub answer_tokens: ValueRange,
    /// Milliseconds between consecutive calls of a session.
    pub think_ms: ValueRange,
    /// Calling workspaces, with their shares of the sessions.
    pub workspaces: Vec<WorkspaceMix>,
}

/// Callers of one plain service.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainMix {
    /// Service that is called.
    pub service: id::ServiceId,
    /// Calls per second.
    pub calls_per_second: f64,
    /// Path below the path of the service.
    pub path: String,
    /// Whether calls carry an idempotency key.
    pub idempotency_key: bool,
    /// Bytes of a request body.
    pub body_bytes: ValueRange,
    /// Milliseconds for which a call occupies its replica; used only by experiments.
    pub service_ms: ValueRange,
    /// Calling workspaces, with their shares of the calls.
    pub workspaces: Vec<WorkspaceMix>,
}

/// An inclusive range from which values are drawn uniformly.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(from = "(u64, u64)")]
pub struct ValueRange {
    /// Smallest value.
    pub least: u64,
    /// Largest value.
    pub greatest: u64,
}

impl From<(u64, u64)> for ValueRange {
    fn from((least, greatest): (u64, u64)) -> Self {
        ValueRange { least, greatest }
    }
}

/// A workspace that calls a service.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceMix {
    /// Id of the workspace.
    pub id: id::WorkspaceId,
    /// Relative weight of the workspace among the callers.
    pub share: u32,
}

/// Maximum rate of one service, per second.
const MAX_RATE: f64 = 10_000.0;
/// Maximum value of a range, in tokens, turns, bytes or milliseconds.
const MAX_RANGE_VALUE: u64 = 100_000;

impl load::CheckedSettings for WorkloadFile {
    fn check(&self) -> Result<(), load::ValueError> {
        for mix in &self.model {
            check_rate("model.sessions_per_second", mix.sessions_per_second)?;
            check_range("model.template_tokens", mix.template_tokens)?;
            check_range("model.turns", mix.turns)?;
            check_range("model.turn_tokens", mix.turn_tokens)?;
            check_range("model.answer_tokens", mix.answer_tokens)?;
            check_range("model.think_ms", mix.think_ms)?;
            check_positive("model.templates", mix.templates)?;
            check_positive("model.turns", mix.turns.least)?;
            check_positive("model.answer_tokens", mix.answer_tokens.least)?;
            check_workspaces("model.workspaces", &mix.workspaces)?;
        }
        for mix in &self.plain {
            check_rate("plain.calls_per_second", mix.calls_per_second)?;
            check_range("plain.body_bytes", mix.body_bytes)?;
            check_range("plain.service_ms", mix.service_ms)?;
            check_workspaces("plain.workspaces", &mix.workspaces)?;
        }
        Ok(())
    }
}

fn value_error(key: &'static str, problem: String, remedy: String) -> load::ValueError {
    load::ValueError { key, problem, remedy }
}

fn check_rate(key: &'static str, rate: f64) -> Result<(), load::ValueError> {
    if (0.0..=MAX_RATE).contains(&rate) {
        return Ok(());
    }
    Err(value_error(
        key,
        format!("{rate} is not a valid rate"),
        format!("set a number from 0 to {MAX_RATE}"),
    ))
}

fn check_range(key: &'static str, range: ValueRange) -> Result<(), load::ValueError> {
    if range.least <= range.greatest && range.greatest <= MAX_RANGE_VALUE {
        return Ok(());
    }
    let problem = format!("[{}, {}] is not a valid range", range.least, range.greatest);
    Err(value_error(key, problem, format!("set [least, greatest], at most {MAX_RANGE_VALUE}")))
}

fn check_positive(key: &'static str, value: u64) -> Result<(), load::ValueError> {
    if value > 0 {
        return Ok(());
    }
    Err(value_error(key, "must not be zero".to_owned(), "set at least 1".to_owned()))
}

fn check_workspaces(key: &'static str, mixes: &[WorkspaceMix]) -> Result<(), load::ValueError> {
    if mixes.iter().any(|mix| mix.share > 0) {
        return Ok(());
    }
    Err(value_error(
        key,
        "every workspace has a share of 0".to_owned(),
        "set a share above 0 for at least one workspace".to_owned(),
    ))
}
