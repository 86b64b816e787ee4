//! One call, with the tries that a well-behaved caller makes.

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

use crate::live::answer;
use crate::plan;
use crate::prompt;
use crate::tally;
use crate::workload;

/// Time to connect.
const CONNECT_LIMIT: time::Millis = time::Millis::new(1_000);
/// Wait after a refusal that names none.
const USUAL_WAIT: time::Millis = time::Millis::new(1_000);

/// What a call needs to know besides its plan.
#[derive(Clone, Debug)]
pub struct CallPlace {
    /// Entry daemons, one for each try.
    pub entries: Vec<net::SocketAddr>,
    /// Key of the workspace.
    pub key: secret::SecretText,
    /// Record of the service.
    pub service: set::ServiceRecord,
    /// When the call was to be sent.
    pub planned: Instant,
    /// Mark of the run, so that idempotency keys of two runs differ.
    pub run: String,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallResult {
    /// The end.
    pub end: tally::CallEnd,
    /// Refusals, those that were followed by another try included.
    pub refusals: u64,
    /// Whether the answer is not the one that the prompt has.
    pub is_wrong: bool,
}

#[derive(Serialize)]
struct ChatBody<'a> {
    model: &'a str,
    messages: Vec<samphiremoor_standin_engine::wire::ChatMessage>,
    max_tokens: u64,
    stream: bool,
}

/// Carries out a call.
pub async fn perform(
    place: &CallPlace,
    mixes: &[workload::PlainMix],
    call: &plan::PlannedCall,
) -> CallResult {
    let deadline = place.service.latency.deadline;
    let mut refusals = 0;
    for (number, entry) in place.entries.iter().enumerate() {
        let given = send(place, mixes, call, *entry).await;
        let answer::CallAnswer::Problem(problem) = &given else {
            return finished(place, call, &given, refusals);
        };
        refusals += 1;
        let wait = problem.retry_after.unwrap_or(USUAL_WAIT);
        let waited = time::Millis::from(place.planned.elapsed());
        let is_last = number + 1 == place.entries.len();
        let has_time = waited.get() + wait.get() < deadline.get();
        let Some(reason) = problem.reason else { return failed(refusals) };
        if is_last || !has_time || !can_be_tried_again(reason) {
            let end = tally::CallEnd::Refused(reason);
            return CallResult { end, refusals, is_wrong: false };
        }
        task::sleep(wait.to_duration()).await;
    }
    failed(refusals)
}

/// Refusals of load, after which the same call may be sent again.
fn can_be_tried_again(reason: reason::RefusalReason) -> bool {
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

fn failed(refusals: u64) -> CallResult {
    CallResult { end: tally::CallEnd::Failed, refusals, is_wrong: false }
}

async fn send(
    place: &CallPlace,
    mixes: &[workload::PlainMix],
    call: &plan::PlannedCall,
    entry: net::SocketAddr,
) -> answer::CallAnswer {
    let Some(request) = request(place, mixes, call, entry) else {
        return answer::CallAnswer::Broken;
    };
    let deadline = place.service.latency.deadline;
    let limits = client::CallLimits { connect: CONNECT_LIMIT, head: deadline, silence: deadline };
    let Ok(response) = client::send(entry, request, limits).await else {
        return answer::CallAnswer::Broken;
    };
    match &call.content {
        plan::CallContent::Model { .. } => answer::read_stream(response).await,
        plan::CallContent::Plain(_) => answer::read_plain(response, Instant::now()).await,
    }
}

fn request(
    place: &CallPlace,
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
                let key = format!("{}-{}-{}", place.run, plain.mix, plain.number);
                request.insert_header("Idempotency-Key", key);
            }
            request
        }
    };
    request.insert_header("Authorization", format!("Bearer {}", place.key.reveal()));
    Some(request)
}

fn finished(
    place: &CallPlace,
    call: &plan::PlannedCall,
    given: &answer::CallAnswer,
    refusals: u64,
) -> CallResult {
    let target = &place.service.latency;
    let (first, keeps_between, is_wrong) = match given {
        answer::CallAnswer::Stream { first, last, tokens, text } => {
            let steps = tokens.saturating_sub(1).max(1);
            let between = last.duration_since(*first).as_millis() as u64 / steps;
            (*first, between <= target.between.get(), !is_expected(call, text))
        }
        answer::CallAnswer::Plain { first } => (*first, true, false),
        _ => return failed(refusals),
    };
    let first = time::Millis::from(first.saturating_duration_since(place.planned));
    let within_target = first <= target.first && keeps_between && !is_wrong;
    CallResult { end: tally::CallEnd::Complete { first, within_target }, refusals, is_wrong }
}

fn is_expected(call: &plan::PlannedCall, text: &str) -> bool {
    let plan::CallContent::Model { session, turn } = &call.content else { return true };
    let messages = prompt::messages(session, *turn);
    prompt::answer(&messages, session.turns[*turn].answer_tokens) == text
}
