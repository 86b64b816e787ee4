//! Keyed calls: the entry daemon's interface to the shards, which run each call at most once.

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
use crate::run::executor;
use crate::run::plain;

/// Time after the deadline in which the shards can still report a call's outcome.
const OUTCOME_GRACE: time::Millis = time::Millis::new(500);

/// Time that a shard holder waits for a view that contains the call's service. A daemon that has
/// just started may hold shards before its first view.
const VIEW_TIMEOUT: time::Millis = time::Millis::new(4_000);

/// Interval for checking the view.
const VIEW_POLL_INTERVAL: time::Millis = time::Millis::new(50);

/// Runs a keyed call at most once over all daemons.
pub async fn submit(shards: &service::ShardService, call: call::KeyedCall) -> plain::PlainEnd {
    let timeout = time::Millis::new(call.remaining.get().saturating_add(OUTCOME_GRACE.get()));
    let Ok(response) = future::timeout(timeout.to_duration(), shards.submit(call)).await else {
        let reason = reason::RefusalReason::DeadlinePassed;
        return plain_end(outcome::CallOutcome::Unknown, reason, None);
    };
    match response {
        call::KeyedResponse::Completed { result, .. } => plain::PlainEnd {
            end: action::RequestEnd {
                outcome: outcome::CallOutcome::Complete,
                cause: action::EndCause::Completed,
                retry_after: None,
            },
            response: Some(result),
        },
        call::KeyedResponse::NotRun { reason, retry_after } => {
            plain_end(outcome::CallOutcome::NotRun, reason, retry_after)
        }
        call::KeyedResponse::Unknown { reason, retry_after } => {
            plain_end(outcome::CallOutcome::Unknown, reason, retry_after)
        }
    }
}

/// Returns the end of a call that was refused and not run.
pub fn refused_end(reason: reason::RefusalReason) -> plain::PlainEnd {
    plain_end(outcome::CallOutcome::NotRun, reason, None)
}

fn plain_end(
    outcome: outcome::CallOutcome,
    reason: reason::RefusalReason,
    retry_after: Option<time::Millis>,
) -> plain::PlainEnd {
    let cause = action::EndCause::Refused(reason);
    plain::PlainEnd { end: action::RequestEnd { outcome, cause, retry_after }, response: None }
}

/// Dispatches claimed keyed calls to upstreams.
pub struct ClaimedRunner {
    core: Arc<core::EntryCore>,
}

impl ClaimedRunner {
    /// Creates the runner of one daemon.
    pub fn new(core: Arc<core::EntryCore>) -> Self {
        ClaimedRunner { core }
    }

    /// Waits until the view contains the call's service and returns the run's context. Returns the
    /// refusal reason if the wait times out.
    async fn wait_for_context(
        &self,
        call: &call::KeyedCall,
    ) -> Result<executor::RunContext, reason::RefusalReason> {
        let deadline = self.core.now() + VIEW_TIMEOUT.min(call.remaining);
        loop {
            if let Some(context) = self.context(call) {
                return Ok(context);
            }
            if self.core.now() >= deadline {
                return Err(match self.core.view() {
                    Some(_) => reason::RefusalReason::UnknownService,
                    None => reason::RefusalReason::NotReady,
                });
            }
            task::sleep(VIEW_POLL_INTERVAL.to_duration()).await;
        }
    }

    fn context(&self, call: &call::KeyedCall) -> Option<executor::RunContext> {
        let snapshot = self.core.view()?;
        Some(executor::RunContext {
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
        let _run = core::CountGuard::new(&self.core.keyed_runs);
        let started_at = self.core.now();
        let not_run = |reason| call::RunOutcome::NotRun { reason, retry_after: None };
        let context = match self.wait_for_context(call).await {
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
        let fingerprint = || plain_call.fingerprint(&call.key.workspace, &call.key.service);
        if let Some(wait) = self.core.quarantine_wait(&[], fingerprint) {
            let reason = reason::RefusalReason::Quarantined;
            return call::RunOutcome::NotRun { reason, retry_after: Some(wait) };
        }
        let deadline = started_at + call.remaining;
        let repeat = policy::RepeatPolicy::AtMostOnce;
        let plain_end = plain::run(self.core.clone(), context, plain_call, repeat, deadline).await;
        run_outcome(plain_end)
    }
}

fn run_outcome(plain_end: plain::PlainEnd) -> call::RunOutcome {
    let reason = match plain_end.end.cause {
        action::EndCause::Refused(reason) => reason,
        _ => reason::RefusalReason::UpstreamFailed,
    };
    match (plain_end.end.outcome, plain_end.response) {
        (outcome::CallOutcome::Complete, Some(response)) => call::RunOutcome::Completed(response),
        (outcome::CallOutcome::NotRun, _) => {
            call::RunOutcome::NotRun { reason, retry_after: plain_end.end.retry_after }
        }
        _ => call::RunOutcome::MaybeRun(reason),
    }
}

/// Directory of the daemons in the current view, for the shards.
pub struct ViewDirectory {
    core: Arc<core::EntryCore>,
}

impl ViewDirectory {
    /// Creates a directory over the daemon's view.
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

/// Sends shard requests over the entry daemon's peer connections.
pub struct EntryTransport {
    peers: Arc<peer::PeerClients>,
}

impl EntryTransport {
    /// Creates a transport over the connections.
    pub fn new(peers: Arc<peer::PeerClients>) -> Self {
        EntryTransport { peers }
    }
}

#[async_trait]
impl shard_peer::PeerTransport for EntryTransport {
    async fn request(
        &self,
        entry: &shard_peer::PeerEntry,
        request: message::ShardRequest,
    ) -> Result<message::ShardResponse, client::PeerError> {
        self.peers.request_shard(entry.address, request).await
    }
}
