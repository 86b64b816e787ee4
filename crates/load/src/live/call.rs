//! Executes one call, with the retries of a well-behaved caller.

use std::net;
use std::time::Instant;

use async_std::task;
use http_types::Method;
use http_types::Request;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_httpio::client;
use samphiremoor_records::set;
use samphiremoor_settings::secret;
use serde::Serialize;

use crate::live::response;
use crate::plan;
use crate::prompt;
use crate::tally;
use crate::workload;

/// Maximum time to connect.
const CONNECT_TIMEOUT: time::Millis = time::Millis::new(1_000);
/// Delay before a retry if the refusal gives none.
const DEFAULT_RETRY_DELAY: time::Millis = time::Millis::new(1_000);

/// Context in which a call is executed.
#[derive(Clone, Debug)]
pub struct CallContext {
    /// Addresses of entry daemons, one for each attempt.
    pub entries: Vec<net::SocketAddr>,
    /// API key of the workspace.
    pub key: secret::SecretText,
    /// Record of the service.
    pub service: set::ServiceRecord,
    /// Time at which the call was due to be sent.
    pub planned_at: Instant,
    /// Id of the run, which makes its idempotency keys differ from those of other runs.
    pub run_id: String,
}

/// Result of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallResult {
    /// How the call ended.
    pub end: tally::CallEnd,
    /// Refused attempts, including those that were retried.
    pub refusals: u64,
    /// Whether the response text differs from the expected one.
    pub has_wrong_text: bool,
}

#[derive(Serialize)]
struct ChatBody<'a> {
    model: &'a str,
    messages: Vec<samphiremoor_standin_engine::wire::ChatMessage>,
    max_tokens: u64,
    stream: bool,
}

/// Executes a call.
pub async fn execute(
    context: &CallContext,
    mixes: &[workload::PlainMix],
    call: &plan::PlannedCall,
) -> CallResult {
    let deadline = context.service.latency.deadline;
    let mut refusals = 0;
    for (attempt, entry) in context.entries.iter().enumerate() {
        let response = send(context, mixes, call, *entry).await;
        let response::CallResponse::Problem(problem) = &response else {
            return completed_result(context, call, &response, refusals);
        };
        refusals += 1;
        let delay = problem.retry_after.unwrap_or(DEFAULT_RETRY_DELAY);
        let elapsed = time::Millis::from(context.planned_at.elapsed());
        let is_last = attempt + 1 == context.entries.len();
        let is_within_deadline = elapsed.get() + delay.get() < deadline.get();
        let Some(reason) = problem.reason else { return failed_result(refusals) };
        if is_last || !is_within_deadline || !is_retryable(reason) {
            let end = tally::CallEnd::Refused(reason);
            return CallResult { end, refusals, has_wrong_text: false };
        }
        task::sleep(delay.to_duration()).await;
    }
    failed_result(refusals)
}

/// Returns whether a call refused for this reason may be sent again, because the reason is load or
/// a temporary state of the daemon.
fn is_retryable(reason: reason::RefusalReason) -> bool {
    matches!(
        reason,
        reason::RefusalReason::Shed
            | reason::RefusalReason::WorkspaceLimit
            | reason::RefusalReason::TooManyRequests
            | reason::RefusalReason::TooManyConnections
            | reason::RefusalReason::DeadlineUnreachable
            | reason::RefusalReason::NoReplica
            | reason::RefusalReason::ShardUnavailable
            | reason::RefusalReason::ClaimUnavailable
            | reason::RefusalReason::Stopping
            | reason::RefusalReason::NotReady
    )
}

fn failed_result(refusals: u64) -> CallResult {
    CallResult { end: tally::CallEnd::Failed, refusals, has_wrong_text: false }
}

async fn send(
    context: &CallContext,
    mixes: &[workload::PlainMix],
    call: &plan::PlannedCall,
    entry: net::SocketAddr,
) -> response::CallResponse {
    let Some(request) = request(context, mixes, call, entry) else {
        return response::CallResponse::Incomplete;
    };
    let deadline = context.service.latency.deadline;
    let limits = client::CallLimits { connect: CONNECT_TIMEOUT, head: deadline, silence: deadline };
    let Ok(response) = client::send(entry, request, limits).await else {
        return response::CallResponse::Incomplete;
    };
    match &call.content {
        plan::CallContent::Model { .. } => response::read_stream(response).await,
        plan::CallContent::Plain(_) => response::read_plain(response, Instant::now()).await,
    }
}

fn request(
    context: &CallContext,
    mixes: &[workload::PlainMix],
    call: &plan::PlannedCall,
    entry: net::SocketAddr,
) -> Option<Request> {
    let mut request = match &call.content {
        plan::CallContent::Model { session, turn } => {
            let url = client::url(entry, "/v1/chat/completions").ok()?;
            let mut request = Request::new(Method::Post, url);
            let body = ChatBody {
                model: call.service.as_str(),
                messages: prompt::messages(session, *turn),
                max_tokens: session.turns[*turn].answer_tokens,
                stream: true,
            };
            request.set_body(serde_json::to_vec(&body).ok()?);
            request.insert_header("Content-Type", "application/json");
            request
        }
        plan::CallContent::Plain(plain) => {
            let mix = mixes.get(plain.mix)?;
            let path = format!("/v1/services/{}/{}", call.service, mix.path);
            let url = client::url(entry, &path).ok()?;
            let mut request = Request::new(Method::Post, url);
            request.set_body("x".repeat(plain.body_bytes as usize));
            if mix.idempotency_key {
                let key = format!("{}-{}-{}", context.run_id, plain.mix, plain.number);
                request.insert_header("Idempotency-Key", key);
            }
            request
        }
    };
    request.insert_header("Authorization", format!("Bearer {}", context.key.reveal()));
    Some(request)
}

fn completed_result(
    context: &CallContext,
    call: &plan::PlannedCall,
    response: &response::CallResponse,
    refusals: u64,
) -> CallResult {
    let target = &context.service.latency;
    let (responded_at, meets_between_target, has_wrong_text) = match response {
        response::CallResponse::Stream { first_token_at, last_token_at, tokens, text } => {
            let intervals = tokens.saturating_sub(1).max(1);
            let between_ms =
                last_token_at.duration_since(*first_token_at).as_millis() as u64 / intervals;
            (*first_token_at, between_ms <= target.between.get(), !is_expected_text(call, text))
        }
        response::CallResponse::Plain { head_received_at } => (*head_received_at, true, false),
        _ => return failed_result(refusals),
    };
    let ttft = time::Millis::from(responded_at.saturating_duration_since(context.planned_at));
    let within_target = ttft <= target.first && meets_between_target && !has_wrong_text;
    CallResult { end: tally::CallEnd::Complete { ttft, within_target }, refusals, has_wrong_text }
}

fn is_expected_text(call: &plan::PlannedCall, text: &str) -> bool {
    let plan::CallContent::Model { session, turn } = &call.content else { return true };
    let messages = prompt::messages(session, *turn);
    prompt::expected_response(&messages, session.turns[*turn].answer_tokens) == text
}
