//! Drives the state machine of one request; shared by model calls and plain calls.

use std::collections::VecDeque;
use std::net;
use std::sync::Arc;

use samphiremoor_base::event;
use samphiremoor_base::id;
use samphiremoor_base::log_event;
use samphiremoor_base::quantity;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_records::set;
use samphiremoor_requests::action;
use samphiremoor_requests::action::RequestAction;
use samphiremoor_requests::input::RequestInput;
use samphiremoor_requests::machine;
use samphiremoor_requests::policy;
use samphiremoor_routing::picker;
use samphiremoor_routing::prefix;
use samphiremoor_view::zone;
use smallvec::SmallVec;

use crate::core;

/// Data that a request is routed and logged with.
#[derive(Clone, Debug)]
pub struct RunContext {
    /// The request.
    pub request: id::RequestId,
    /// The caller's workspace.
    pub workspace: id::WorkspaceId,
    /// Record of the service at the time when the request was accepted.
    pub service: set::ServiceRecord,
    /// Hashes of the prompt's blocks.
    pub prefix: Vec<prefix::PrefixHash>,
    /// Length of the prompt.
    pub prompt_tokens: quantity::TokenCount,
}

/// I/O actions that differ between model calls and plain calls.
pub trait CallDriver: Send {
    /// Sends the request to the address.
    fn dispatch(&mut self, command: &action::DispatchCommand, address: net::SocketAddr);

    /// Appends the token of the last `TokenReceived` input to the response.
    fn deliver(&mut self, offset: quantity::TokenCount);

    /// Closes the connection of the open dispatch. Sends a cancellation to the replica if its
    /// address is known.
    fn cancel(&mut self, address: Option<net::SocketAddr>);
}

/// State machine of one request, with its timers and its open dispatch.
pub struct RequestExecutor {
    core: Arc<core::EntryCore>,
    context: RunContext,
    machine: machine::RequestMachine,
    /// Times at which the timers of the state machine fire.
    timers: SmallVec<[time::MonotonicTime; 2]>,
    open_dispatch: Option<OpenDispatch>,
    /// Replica that [`plan_migration`](Self::plan_migration) selected for the next dispatch.
    planned_replica: Option<id::ReplicaId>,
    /// Replica of the last dispatch, for log lines.
    last_replica: Option<id::ReplicaId>,
    end: Option<action::RequestEnd>,
}

/// A dispatch whose end has not been reported to the routing policy.
#[derive(Clone, Debug)]
struct OpenDispatch {
    replica: id::ReplicaId,
    dispatched_at: time::MonotonicTime,
    /// Time to the first token, or to a plain service's response.
    ttft: Option<time::Millis>,
    usage: Option<picker::PromptUsage>,
}

impl RequestExecutor {
    /// Creates the executor of a request whose response starts with `delivered` tokens.
    pub fn new(
        core: Arc<core::EntryCore>,
        context: RunContext,
        policy: policy::RequestPolicy,
        deadline: time::MonotonicTime,
        delivered: quantity::TokenCount,
    ) -> Self {
        let machine = machine::RequestMachine::new(policy, deadline, delivered);
        RequestExecutor {
            core,
            context,
            machine,
            timers: SmallVec::new(),
            open_dispatch: None,
            planned_replica: None,
            last_replica: None,
            end: None,
        }
    }

    /// Returns how the request ended, or `None` while it is in progress.
    pub fn end(&self) -> Option<action::RequestEnd> {
        self.end
    }

    /// Returns the replica of the open dispatch.
    pub fn replica(&self) -> Option<&id::ReplicaId> {
        self.open_dispatch.as_ref().map(|open| &open.replica)
    }

    /// Selects the replica that resumes the stream after a migration away from the current one.
    pub fn plan_migration(&mut self) -> Option<id::ReplicaId> {
        let current = self.replica()?.clone();
        match self.select_replica(&[current]) {
            RequestInput::ReplicaChosen(next) => {
                self.planned_replica = Some(next.clone());
                Some(next)
            }
            _ => None,
        }
    }

    /// Returns when the next timer of the state machine fires.
    pub fn next_timer(&self) -> Option<time::MonotonicTime> {
        self.timers.iter().min().copied()
    }

    /// Records the time of the first token, or of a plain service's response, for the open
    /// dispatch.
    pub fn record_first_response(&mut self) {
        let now = self.core.now();
        if let Some(open) = &mut self.open_dispatch {
            open.ttft.get_or_insert(now.since(open.dispatched_at));
        }
    }

    /// Records the prompt usage that the engine reports for the open dispatch.
    pub fn record_usage(&mut self, usage: picker::PromptUsage) {
        if let Some(open) = &mut self.open_dispatch {
            open.usage = Some(usage);
        }
    }

    /// Feeds an input to the state machine and executes the resulting actions, including those of
    /// the inputs that follow from them.
    pub fn feed(&mut self, input: RequestInput, driver: &mut dyn CallDriver) {
        let now = self.core.now();
        if input == RequestInput::TimerFired {
            self.timers.retain(|timer| *timer > now);
        }
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let outcome = finish_outcome(&input);
            let actions = self.machine.step(self.core.now(), input, &mut self.core.retry_context());
            if let Some(outcome) = outcome
                && !self.has_open_attempt()
            {
                self.close_dispatch(outcome);
            }
            for action in actions {
                inputs.extend(self.execute_action(action, driver));
            }
        }
    }

    fn has_open_attempt(&self) -> bool {
        matches!(
            self.machine.state(),
            machine::RequestState::Dispatched(_) | machine::RequestState::Streaming(_)
        )
    }

    fn execute_action(
        &mut self,
        action: RequestAction,
        driver: &mut dyn CallDriver,
    ) -> Option<RequestInput> {
        match action {
            // The shards write the claim before they start a runner.
            RequestAction::WriteClaim => return Some(RequestInput::Claimed),
            RequestAction::ChooseReplica(excluded) => {
                let planned_replica = self.planned_replica.take();
                // The replica may have begun to leave during the migration.
                let planned_replica = planned_replica
                    .filter(|replica| !excluded.contains(replica) && self.is_live(replica));
                let selected = planned_replica.map(RequestInput::ReplicaChosen);
                return Some(selected.unwrap_or_else(|| self.select_replica(&excluded)));
            }
            RequestAction::Dispatch(command) => return self.dispatch(&command, driver),
            RequestAction::DeliverToken(offset) => driver.deliver(offset),
            RequestAction::Drop(cause) => self.core.metrics.count_drop(cause),
            RequestAction::CancelAttempt { replica, .. } => {
                driver.cancel(self.address_of(&replica));
                self.close_dispatch(picker::FinishOutcome::Cancelled);
            }
            RequestAction::SuspendReplica(replica) => self.core.suspend_replica(&replica),
            RequestAction::CountRetry(reason) => self.record_retry(reason),
            RequestAction::CountStreamMove => {
                self.core.metrics.moved_streams.inc();
                let offset = self.machine.delivered();
                let request = &self.context.request;
                log_event!(event::LogEvent::StreamMoved, request = request, offset = offset);
            }
            RequestAction::SetTimer(timer) => self.timers.push(timer),
            RequestAction::Finish(end) => {
                self.close_dispatch(picker::FinishOutcome::Cancelled);
                self.end = Some(end);
            }
        }
        None
    }

    fn record_retry(&self, reason: reason::RetryReason) {
        self.core.metrics.count_retry(reason);
        let request = &self.context.request;
        let replica = self.last_replica.as_ref().map_or("none", |replica| replica.as_str());
        log_event!(
            event::LogEvent::RequestRetried,
            request = request,
            reason = reason,
            replica = replica
        );
    }

    fn select_replica(&self, excluded: &[id::ReplicaId]) -> RequestInput {
        let target = core::RouteTarget {
            service: &self.context.service,
            workspace: &self.context.workspace,
            prefix: &self.context.prefix,
            prompt_tokens: self.context.prompt_tokens,
        };
        match self.core.select_replica(&core::SelectionQuery { target, excluded }) {
            Ok(replica) => RequestInput::ReplicaChosen(replica),
            Err(retry_after) => RequestInput::NoReplica { retry_after },
        }
    }

    fn dispatch(
        &mut self,
        command: &action::DispatchCommand,
        driver: &mut dyn CallDriver,
    ) -> Option<RequestInput> {
        let Some(address) = self.address_of(&command.replica) else {
            // The replica was removed from the view after it was selected.
            return Some(RequestInput::AttemptFailed {
                attempt: command.attempt,
                failure: samphiremoor_requests::input::AttemptFailure::ConnectFailed,
            });
        };
        self.close_dispatch(picker::FinishOutcome::Failed);
        let now = self.core.now();
        self.core.report_dispatch(&picker::DispatchReport {
            replica: &command.replica,
            service: &self.context.service,
            prefix: &self.context.prefix,
            prompt_tokens: self.context.prompt_tokens,
            now,
        });
        let replica = command.replica.clone();
        self.last_replica = Some(replica.clone());
        self.open_dispatch =
            Some(OpenDispatch { replica, dispatched_at: now, ttft: None, usage: None });
        driver.dispatch(command, address);
        None
    }

    fn close_dispatch(&mut self, outcome: picker::FinishOutcome) {
        let Some(open) = self.open_dispatch.take() else { return };
        self.core.report_finish(&picker::FinishReport {
            replica: &open.replica,
            service: &self.context.service.id,
            prefix: &self.context.prefix,
            prompt_tokens: self.context.prompt_tokens,
            dispatched_at: open.dispatched_at,
            now: self.core.now(),
            outcome,
            ttft: open.ttft,
            usage: open.usage,
        });
    }

    fn is_live(&self, replica: &id::ReplicaId) -> bool {
        let Some(snapshot) = self.core.view() else { return false };
        let replica = snapshot.replica(replica);
        replica.is_some_and(|replica| replica.state == zone::UpstreamState::Live)
    }

    /// Returns the address of a replica, if the view contains it.
    pub fn address_of(&self, replica: &id::ReplicaId) -> Option<net::SocketAddr> {
        let snapshot = self.core.view()?;
        snapshot.replica(replica).map(|replica| replica.address)
    }
}

/// Returns how the open dispatch ended, if the input ends it.
fn finish_outcome(input: &RequestInput) -> Option<picker::FinishOutcome> {
    match input {
        RequestInput::ResponseComplete(_) => Some(picker::FinishOutcome::Complete),
        RequestInput::AttemptFailed { failure, .. } if failure.proves_not_run() => {
            Some(picker::FinishOutcome::Refused)
        }
        RequestInput::AttemptFailed { .. } => Some(picker::FinishOutcome::Failed),
        _ => None,
    }
}
