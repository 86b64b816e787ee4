//! Calls that may not be repeated: the entry daemon's side of the shards.

use std::sync::Arc;

use async_std::future;
use async_std::task;
use async_trait::async_trait;
use http_types::Method;
use samphiremoor_base::outcome;
use samphiremoor_base::quantity;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_peers::client;
use samphiremoor_requests::action;
use samphiremoor_requests::policy;
use samphiremoor_shards::call;
use samphiremoor_shards::message;
use samphiremoor_shards::peer as shard_peer;
use samphiremoor_shards::service;

use crate::core;
use crate::peer;
use crate::run::plain;
use crate::run::shell;

/// Time beyond the deadline that the shards have to say what became of a call.
const VERDICT_TIME: time::Millis = time::Millis::new(500);

/// Time that a holder waits for a view that has the call's service; a daemon that has just started
/// may hold shards before its first view.
const VIEW_WAIT: time::Millis = time::Millis::new(4_000);

/// Time between two looks at the view.
const VIEW_POLL: time::Millis = time::Millis::new(50);

/// Runs a call at most once over all daemons.
pub async fn submit(shards: &service::ShardService, call: call::KeyedCall) -> plain::PlainEnd {
    let limit = time::Millis::new(call.remaining.get().saturating_add(VERDICT_TIME.get()));
    let Ok(answer) = future::timeout(limit.to_duration(), shards.submit(call)).await else {
        let passed = reason::RefusalReason::DeadlinePassed;
        return ended(outcome::CallOutcome::Unknown, passed, None);
    };
    match answer {
        call::KeyedResponse::Completed { result, .. } => plain::PlainEnd {
            end: action::RequestEnd {
                outcome: outcome::CallOutcome::Complete,
                cause: action::EndCause::Completed,
                retry_after: None,
            },
            answer: Some(result),
        },
        call::KeyedResponse::NotRun { reason, retry_after } => {
            ended(outcome::CallOutcome::NotRun, reason, retry_after)
        }
        call::KeyedResponse::Unknown { reason, retry_after } => {
            ended(outcome::CallOutcome::Unknown, reason, retry_after)
        }
    }
}

/// The end of a call that was refused without a run.
pub fn refused(reason: reason::RefusalReason) -> plain::PlainEnd {
    ended(outcome::CallOutcome::NotRun, reason, None)
}

fn ended(
    outcome: outcome::CallOutcome,
    reason: reason::RefusalReason,
    retry_after: Option<time::Millis>,
) -> plain::PlainEnd {
    let cause = action::EndCause::Refused(reason);
    plain::PlainEnd { end: action::RequestEnd { outcome, cause, retry_after }, answer: None }
}

/// Dispatches claimed calls.
pub struct ClaimedRunner {
    core: Arc<core::EntryCore>,
}

impl ClaimedRunner {
    /// A runner for one daemon.
    pub fn new(core: Arc<core::EntryCore>) -> Self {
        ClaimedRunner { core }
    }

    /// The context, once the view has the service; why not, where it has not in time.
    async fn awaited_context(
        &self,
        call: &call::KeyedCall,
    ) -> Result<shell::RunContext, reason::RefusalReason> {
        let end = self.core.now() + VIEW_WAIT.min(call.remaining);
        loop {
            if let Some(context) = self.context(call) {
                return Ok(context);
            }
            if self.core.now() >= end {
                return Err(match self.core.view() {
                    Some(_) => reason::RefusalReason::UnknownService,
                    None => reason::RefusalReason::NotReady,
                });
            }
            task::sleep(VIEW_POLL.to_duration()).await;
        }
    }

    fn context(&self, call: &call::KeyedCall) -> Option<shell::RunContext> {
        let snapshot = self.core.view()?;
        Some(shell::RunContext {
            request: call.request.clone(),
            workspace: call.key.workspace.clone(),
            service: snapshot.service(&call.key.service)?.clone(),
            prefix: Vec::new(),
            prompt_tokens: quantity::TokenCount::default(),
        })
    }
}

#[async_trait]
impl call::CallRunner for ClaimedRunner {
    async fn run(&self, call: &call::KeyedCall) -> call::RunOutcome {
        let start = self.core.now();
        let not_run = |reason| call::RunOutcome::NotRun { reason, retry_after: None };
        let context = match self.awaited_context(call).await {
            Ok(context) => context,
            Err(reason) => return not_run(reason),
        };
        let Ok(method) = call.method.parse::<Method>() else {
            return not_run(reason::RefusalReason::MalformedHttp);
        };
        let plain_call = plain::PlainCall {
            method,
            path: call.path.clone(),
            headers: call.headers.clone(),
            body: call.body.clone(),
        };
        let deadline = start + call.remaining;
        let rule = policy::RepeatPolicy::AtMostOnce;
        let ended = plain::run(self.core.clone(), context, plain_call, rule, deadline).await;
        run_result(ended)
    }
}

fn run_result(ended: plain::PlainEnd) -> call::RunOutcome {
    let reason = match ended.end.cause {
        action::EndCause::Refused(reason) => reason,
        _ => reason::RefusalReason::UpstreamFailed,
    };
    match (ended.end.outcome, ended.answer) {
        (outcome::CallOutcome::Complete, Some(answer)) => call::RunOutcome::Completed(answer),
        (outcome::CallOutcome::NotRun, _) => {
            call::RunOutcome::NotRun { reason, retry_after: ended.end.retry_after }
        }
        _ => call::RunOutcome::MaybeRun(reason),
    }
}

/// The daemons of the view, for the shards.
pub struct ViewDirectory {
    core: Arc<core::EntryCore>,
}

impl ViewDirectory {
    /// A directory of one daemon's view.
    pub fn new(core: Arc<core::EntryCore>) -> Self {
        ViewDirectory { core }
    }
}

impl shard_peer::PeerDirectory for ViewDirectory {
    fn daemons(&self) -> Vec<shard_peer::PeerEntry> {
        let Some(snapshot) = self.core.view() else { return Vec::new() };
        let daemons = snapshot.view.daemons.iter();
        daemons
            .map(|daemon| shard_peer::PeerEntry {
                id: daemon.id.clone(),
                zone: daemon.zone.clone(),
                address: daemon.peer_address,
                state: daemon.state,
            })
            .collect()
    }
}

/// Sends the shards' questions over the links of the entry daemon.
pub struct LinkTransport {
    peers: Arc<peer::PeerClients>,
}

impl LinkTransport {
    /// A transport over the links.
    pub fn new(peers: Arc<peer::PeerClients>) -> Self {
        LinkTransport { peers }
    }
}

#[async_trait]
impl shard_peer::PeerTransport for LinkTransport {
    async fn request(
        &self,
        entry: &shard_peer::PeerEntry,
        question: message::ShardRequest,
    ) -> Result<message::ShardResponse, client::PeerError> {
        self.peers.ask_shard(entry.address, question).await
    }
}
