//! Workload files: what the callers of a deployment send.

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
    /// The service.
    pub service: id::ServiceId,
    /// Sessions that start in a second.
    pub sessions_per_second: f64,
    /// Prompt starts that sessions share.
    pub templates: u64,
    /// Tokens of such a start.
    pub template_tokens: TokenRange,
    /// Calls of a session.
    pub turns: TokenRange,
    /// Tokens that each call adds.
    pub turn_tokens: TokenRange,
    /// Tokens of an answer.
    pub answer_tokens: TokenRange,
    /// Milliseconds from one call of a session to its next.
    pub think_ms: TokenRange,
    /// Workspaces that call, with their shares of the sessions.
    pub workspaces: Vec<WorkspaceMix>,
}

/// Callers of one plain service.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainMix {
    /// The service.
    pub service: id::ServiceId,
    /// Calls in a second.
    pub calls_per_second: f64,
    /// Path below the service.
    pub path: String,
    /// Whether calls carry an idempotency key.
    pub idempotency_key: bool,
    /// Bytes of a body.
    pub body_bytes: TokenRange,
    /// Milliseconds that a call takes of its replica; used by experiments only.
    pub service_ms: TokenRange,
    /// Workspaces that call, with their shares of the calls.
    pub workspaces: Vec<WorkspaceMix>,
}

/// A range with both ends, drawn from evenly.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(from = "(u64, u64)")]
pub struct TokenRange {
    /// The least value.
    pub least: u64,
    /// The greatest value.
    pub greatest: u64,
}

impl From<(u64, u64)> for TokenRange {
    fn from((least, greatest): (u64, u64)) -> Self {
        TokenRange { least, greatest }
    }
}

/// One workspace among the callers of a service.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceMix {
    /// The workspace.
    pub id: id::WorkspaceId,
    /// Its weight among the callers.
    pub share: u32,
}

/// Greatest rate of one service, in a second.
const MAX_RATE: f64 = 10_000.0;
/// Greatest number of tokens of one prompt part or answer.
const MAX_TOKENS: u64 = 100_000;

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

fn fault(key: &'static str, problem: String, remedy: String) -> load::ValueError {
    load::ValueError { key, problem, remedy }
}

fn check_rate(key: &'static str, rate: f64) -> Result<(), load::ValueError> {
    if (0.0..=MAX_RATE).contains(&rate) {
        return Ok(());
    }
    Err(fault(key, format!("{rate} is no rate"), format!("set a number from 0 to {MAX_RATE}")))
}

fn check_range(key: &'static str, range: TokenRange) -> Result<(), load::ValueError> {
    if range.least <= range.greatest && range.greatest <= MAX_TOKENS {
        return Ok(());
    }
    let problem = format!("[{}, {}] is no range", range.least, range.greatest);
    Err(fault(key, problem, format!("set [least, greatest], at most {MAX_TOKENS}")))
}

fn check_positive(key: &'static str, value: u64) -> Result<(), load::ValueError> {
    if value > 0 {
        return Ok(());
    }
    Err(fault(key, "must not be zero".to_owned(), "set at least 1".to_owned()))
}

fn check_workspaces(key: &'static str, mixes: &[WorkspaceMix]) -> Result<(), load::ValueError> {
    if mixes.iter().any(|mix| mix.share > 0) {
        return Ok(());
    }
    Err(fault(key, "no workspace calls".to_owned(), "give one a share above 0".to_owned()))
}
