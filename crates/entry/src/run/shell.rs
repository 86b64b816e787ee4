//! The part of the shell that model calls and plain calls share.

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
use smallvec::SmallVec;

use crate::core;

/// What a request is to be served with.
#[derive(Clone, Debug)]
pub struct RunContext {
    /// The request.
    pub request: id::RequestId,
    /// The caller's workspace.
    pub workspace: id::WorkspaceId,
    /// Record of the service, as it was when the request was accepted.
    pub service: set::ServiceRecord,
    /// Hashes of the prompt's blocks.
    pub prefix: Vec<prefix::PrefixHash>,
    /// Length of the prompt.
    pub prompt_tokens: quantity::TokenCount,
}

/// Carries out the actions that differ between model calls and plain calls.
pub trait CallDriver: Send {
    /// Sends the request to the address.
    fn dispatch(&mut self, order: &action::DispatchCommand, address: net::SocketAddr);

    /// Keeps the token that the last input announced.
    fn deliver(&mut self, offset: quantity::TokenCount);

    /// Closes the dispatch's connection and tells the replica, where it has an address.
    fn cancel(&mut self, address: Option<net::SocketAddr>);
}

/// The machine of one request with its timers and its open dispatch.
pub struct RequestShell {
    core: Arc<core::EntryCore>,
    context: RunContext,
    machine: machine::RequestMachine,
    wakes: SmallVec<[time::MonotonicTime; 2]>,
    open: Option<OpenDispatch>,
    planned: Option<id::ReplicaId>,
    /// Replica of the last dispatch, for log lines.
    last_replica: Option<id::ReplicaId>,
    end: Option<action::RequestEnd>,
}

/// A dispatch whose end the routing policy has not been told.
#[derive(Clone, Debug)]
struct OpenDispatch {
    replica: id::ReplicaId,
    since: time::MonotonicTime,
    first: Option<time::Millis>,
    usage: Option<picker::PromptUsage>,
}

impl RequestShell {
    /// A shell of a request that starts with `delivered` tokens.
    pub fn new(
        core: Arc<core::EntryCore>,
        context: RunContext,
        policy: policy::RequestPolicy,
        deadline: time::MonotonicTime,
        delivered: quantity::TokenCount,
    ) -> Self {
        let machine = machine::RequestMachine::new(policy, deadline, delivered);
        RequestShell {
            core,
            context,
            machine,
            wakes: SmallVec::new(),
            open: None,
            planned: None,
            last_replica: None,
            end: None,
        }
    }

    /// The request's end, once it has one.
    pub fn end(&self) -> Option<action::RequestEnd> {
        self.end
    }

    /// The replica that serves the request now.
    pub fn replica(&self) -> Option<&id::ReplicaId> {
        self.open.as_ref().map(|open| &open.replica)
    }

    /// Chooses the replica that is to go on when the present one is left.
    pub fn plan_move(&mut self) -> Option<id::ReplicaId> {
        let present = self.replica()?.clone();
        match self.choose(&[present]) {
            RequestInput::ReplicaChosen(next) => {
                self.planned = Some(next.clone());
                Some(next)
            }
            _ => None,
        }
    }

    /// When the machine wants to be woken next.
    pub fn next_wake(&self) -> Option<time::MonotonicTime> {
        self.wakes.iter().min().copied()
    }

    /// Notes the first token or the answer of the open dispatch.
    pub fn note_first(&mut self) {
        let now = self.core.now();
        if let Some(open) = &mut self.open {
            open.first.get_or_insert(now.since(open.since));
        }
    }

    /// Notes what the engine says of the prompt.
    pub fn note_usage(&mut self, usage: picker::PromptUsage) {
        if let Some(open) = &mut self.open {
            open.usage = Some(usage);
        }
    }

    /// Hands an input to the machine and carries out what it says, until it says nothing more.
    pub fn feed(&mut self, input: RequestInput, driver: &mut dyn CallDriver) {
        let now = self.core.now();
        if input == RequestInput::TimerFired {
            self.wakes.retain(|wake| *wake > now);
        }
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let outcome = finish_outcome(&input);
            let actions = self.machine.step(self.core.now(), input, &mut self.core.retry_gate());
            if let Some(outcome) = outcome
                && !self.has_open_attempt()
            {
                self.close_dispatch(outcome);
            }
            for action in actions {
                inputs.extend(self.carry_out(action, driver));
            }
        }
    }

    fn has_open_attempt(&self) -> bool {
        matches!(
            self.machine.state(),
            machine::RequestState::Dispatched(_) | machine::RequestState::Streaming(_)
        )
    }

    fn carry_out(
        &mut self,
        action: RequestAction,
        driver: &mut dyn CallDriver,
    ) -> Option<RequestInput> {
        match action {
            // The claim is written by the shards before a runner is started.
            RequestAction::WriteClaim => return Some(RequestInput::Claimed),
            RequestAction::ChooseReplica(avoided) => {
                let planned = self.planned.take().filter(|planned| !avoided.contains(planned));
                let chosen = planned.map(RequestInput::ReplicaChosen);
                return Some(chosen.unwrap_or_else(|| self.choose(&avoided)));
            }
            RequestAction::Dispatch(order) => return self.dispatch(&order, driver),
            RequestAction::DeliverToken(offset) => driver.deliver(offset),
            RequestAction::Drop(cause) => self.core.metrics.dropped(cause),
            RequestAction::CancelAttempt { replica, .. } => {
                driver.cancel(self.address_of(&replica));
                self.close_dispatch(picker::FinishOutcome::Cancelled);
            }
            RequestAction::SuspendReplica(replica) => self.core.blame(&replica),
            RequestAction::CountRetry(reason) => self.note_retry(reason),
            RequestAction::CountStreamMove => {
                self.core.metrics.moved_streams.inc();
                let offset = self.machine.delivered();
                let request = &self.context.request;
                log_event!(event::LogEvent::StreamMoved, request = request, offset = offset);
            }
            RequestAction::SetTimer(wake) => self.wakes.push(wake),
            RequestAction::Finish(end) => {
                self.close_dispatch(picker::FinishOutcome::Cancelled);
                self.end = Some(end);
            }
        }
        None
    }

    fn note_retry(&self, reason: reason::RetryReason) {
        self.core.metrics.retried(reason);
        let request = &self.context.request;
        let replica = self.last_replica.as_ref().map_or("none", |replica| replica.as_str());
        log_event!(
            event::LogEvent::RequestRetried,
            request = request,
            reason = reason,
            replica = replica
        );
    }

    fn choose(&self, avoided: &[id::ReplicaId]) -> RequestInput {
        let target = core::RouteTarget {
            service: &self.context.service,
            workspace: &self.context.workspace,
            prefix: &self.context.prefix,
            prompt_tokens: self.context.prompt_tokens,
        };
        match self.core.pick(&core::PickQuery { target, avoid: avoided }) {
            Some(replica) => RequestInput::ReplicaChosen(replica),
            None => RequestInput::NoReplica { retry_after: None },
        }
    }

    fn dispatch(
        &mut self,
        order: &action::DispatchCommand,
        driver: &mut dyn CallDriver,
    ) -> Option<RequestInput> {
        let Some(address) = self.address_of(&order.replica) else {
            // The replica left the view between the choice and here.
            return Some(RequestInput::AttemptFailed {
                attempt: order.attempt,
                failure: samphiremoor_requests::input::AttemptFailure::ConnectFailed,
            });
        };
        self.close_dispatch(picker::FinishOutcome::Failed);
        let now = self.core.now();
        self.core.dispatched(&picker::DispatchReport {
            replica: &order.replica,
            service: &self.context.service,
            prefix: &self.context.prefix,
            prompt_tokens: self.context.prompt_tokens,
            now,
        });
        let replica = order.replica.clone();
        self.last_replica = Some(replica.clone());
        self.open = Some(OpenDispatch { replica, since: now, first: None, usage: None });
        driver.dispatch(order, address);
        None
    }

    fn close_dispatch(&mut self, outcome: picker::FinishOutcome) {
        let Some(open) = self.open.take() else { return };
        self.core.dispatch_finished(&picker::FinishReport {
            replica: &open.replica,
            service: &self.context.service.id,
            prefix: &self.context.prefix,
            prompt_tokens: self.context.prompt_tokens,
            dispatched_at: open.since,
            now: self.core.now(),
            outcome,
            ttft: open.first,
            usage: open.usage,
        });
    }

    /// Where a replica serves, while the view has it.
    pub fn address_of(&self, replica: &id::ReplicaId) -> Option<net::SocketAddr> {
        let snapshot = self.core.view()?;
        snapshot.replica(replica).map(|replica| replica.address)
    }
}

/// How the open dispatch ended, where the input ends it.
fn finish_outcome(input: &RequestInput) -> Option<picker::FinishOutcome> {
    match input {
        RequestInput::ResponseComplete(_) => Some(picker::FinishOutcome::Complete),
        RequestInput::AttemptFailed { failure, .. } if failure.is_not_run() => {
            Some(picker::FinishOutcome::Refused)
        }
        RequestInput::AttemptFailed { .. } => Some(picker::FinishOutcome::Failed),
        _ => None,
    }
}
