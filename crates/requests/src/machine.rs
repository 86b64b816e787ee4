//! State machine of one request: decides when to dispatch, retry and end it.

use samphiremoor_base::id;
use samphiremoor_base::outcome;
use samphiremoor_base::quantity;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use smallvec::smallvec;

use crate::action;
use crate::action::RequestAction;
use crate::input;
use crate::input::RequestInput;
use crate::policy;
use crate::stream;

/// State of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestState {
    /// Accepted and not yet dispatched.
    Accepted,
    /// The claim of an at-most-once call is written.
    Claimed,
    /// Sent to a replica that has not responded yet.
    Dispatched(input::AttemptNumber),
    /// The response is being received.
    Streaming(input::AttemptNumber),
    /// The last attempt failed and the next one is pending.
    Retrying,
    /// Ended; further inputs are ignored.
    Finished(action::RequestEnd),
}

/// State machine of one request.
#[derive(Clone, Debug)]
pub struct RequestMachine {
    policy: policy::RequestPolicy,
    deadline: time::MonotonicTime,
    state: RequestState,
    assembly: stream::StreamAssembly,
    last_attempt: input::AttemptNumber,
    /// Number of attempts since the last new token.
    attempts_without_token: u32,
    /// Replica of the last attempt.
    last_replica: Option<id::ReplicaId>,
    /// Whether the machine already reconnected to the last replica.
    has_reconnected: bool,
    /// When the current attempt was sent or last delivered a new token.
    last_progress_at: time::MonotonicTime,
    excluded_replicas: action::ExcludedReplicas,
    /// Number of attempts that an upstream may have run.
    possible_runs: u32,
    /// When an attempt first failed since the last new token.
    replica_lost_at: Option<time::MonotonicTime>,
    /// When to choose the replica of the next attempt, after a failed one.
    choose_replica_at: Option<time::MonotonicTime>,
}

impl RequestMachine {
    /// Creates a request that must end by `deadline`, with the first `delivered` tokens of its
    /// response already stored.
    pub fn new(
        policy: policy::RequestPolicy,
        deadline: time::MonotonicTime,
        delivered: quantity::TokenCount,
    ) -> Self {
        RequestMachine {
            policy,
            deadline,
            state: RequestState::Accepted,
            assembly: stream::StreamAssembly::resumed(delivered),
            last_attempt: input::AttemptNumber::default(),
            attempts_without_token: 0,
            last_replica: None,
            has_reconnected: false,
            last_progress_at: time::MonotonicTime::default(),
            excluded_replicas: action::ExcludedReplicas::new(),
            possible_runs: 0,
            replica_lost_at: None,
            choose_replica_at: None,
        }
    }

    /// Returns the current state.
    pub fn state(&self) -> RequestState {
        self.state
    }

    /// Returns the number of tokens delivered so far.
    pub fn delivered(&self) -> quantity::TokenCount {
        self.assembly.next_offset()
    }

    /// Processes one input and returns the actions to carry out.
    pub fn step(
        &mut self,
        now: time::MonotonicTime,
        input: RequestInput,
        context: &mut dyn policy::RetryContext,
    ) -> action::ActionList {
        if let RequestState::Finished(_) = self.state {
            return action::ActionList::new();
        }
        match input {
            RequestInput::Start => self.on_start(),
            RequestInput::Claimed => self.on_claimed(),
            RequestInput::ClaimRefused { reason, outcome, retry_after } => {
                self.finish(outcome, action::EndCause::Refused(reason), retry_after)
            }
            RequestInput::ReplicaChosen(replica) => self.on_replica_chosen(now, replica),
            RequestInput::NoReplica { retry_after } => self.on_no_replica(now, retry_after),
            RequestInput::HeadReceived(attempt) => self.on_head(attempt),
            RequestInput::TokenReceived { attempt, offset } => {
                self.on_token(now, attempt, offset, context)
            }
            RequestInput::ForeignResponse(_) => {
                smallvec![RequestAction::Drop(action::DropCause::OtherRequest)]
            }
            RequestInput::ResponseComplete(attempt) => self.on_response_complete(attempt),
            RequestInput::AttemptFailed { attempt, failure } => {
                self.on_failure(now, attempt, failure, context)
            }
            RequestInput::AttemptOverdue(attempt) => self.on_overdue(attempt),
            RequestInput::TimerFired => self.on_timer(now),
            RequestInput::Abandoned => self.end_early(action::EndCause::Abandoned),
            RequestInput::HandedOver => self.end_early(action::EndCause::HandedOver),
        }
    }

    fn on_start(&mut self) -> action::ActionList {
        let start_action = match self.policy.repeat {
            policy::RepeatPolicy::Repeatable => {
                RequestAction::ChooseReplica(self.excluded_replicas.clone())
            }
            policy::RepeatPolicy::AtMostOnce => RequestAction::WriteClaim,
        };
        smallvec![RequestAction::SetTimer(self.deadline), start_action]
    }

    fn on_claimed(&mut self) -> action::ActionList {
        if self.state != RequestState::Accepted {
            return action::ActionList::new();
        }
        self.state = RequestState::Claimed;
        smallvec![RequestAction::ChooseReplica(self.excluded_replicas.clone())]
    }

    fn on_replica_chosen(
        &mut self,
        now: time::MonotonicTime,
        replica: id::ReplicaId,
    ) -> action::ActionList {
        if !self.awaits_replica() {
            return action::ActionList::new();
        }
        if now >= self.deadline {
            return self.give_up(reason::RefusalReason::DeadlinePassed);
        }
        self.has_reconnected = false;
        self.dispatch(now, replica)
    }

    fn on_no_replica(
        &mut self,
        now: time::MonotonicTime,
        retry_after: Option<time::Millis>,
    ) -> action::ActionList {
        if !self.awaits_replica() {
            return action::ActionList::new();
        }
        let waited = self.replica_lost_at.map(|lost_at| now.since(lost_at));
        let next_poll_at = now + self.policy.replica_poll;
        let is_hopeless = retry_after
            .is_some_and(|wait| wait >= self.policy.replica_wait || now + wait >= self.deadline);
        if waited.is_some_and(|waited| waited < self.policy.replica_wait)
            && next_poll_at < self.deadline
            && !is_hopeless
        {
            // A replica on which an attempt failed is better than none.
            self.excluded_replicas.clear();
            self.choose_replica_at = Some(next_poll_at);
            return smallvec![RequestAction::SetTimer(next_poll_at)];
        }
        let outcome = self.failed_outcome();
        let cause = action::EndCause::Refused(reason::RefusalReason::NoReplica);
        self.finish(outcome, cause, retry_after.or(Some(self.policy.retry_after)))
    }

    fn on_head(&mut self, attempt: input::AttemptNumber) -> action::ActionList {
        if self.state == RequestState::Dispatched(attempt) {
            self.state = RequestState::Streaming(attempt);
        }
        action::ActionList::new()
    }

    fn on_token(
        &mut self,
        now: time::MonotonicTime,
        attempt: input::AttemptNumber,
        offset: quantity::TokenCount,
        context: &mut dyn policy::RetryContext,
    ) -> action::ActionList {
        if self.current_attempt() != Some(attempt) {
            return smallvec![RequestAction::Drop(action::DropCause::StaleAttempt)];
        }
        self.state = RequestState::Streaming(attempt);
        match self.assembly.accept(offset) {
            stream::TokenVerdict::Next => {
                self.attempts_without_token = 0;
                self.replica_lost_at = None;
                self.last_progress_at = now;
                smallvec![RequestAction::DeliverToken(offset)]
            }
            stream::TokenVerdict::Duplicate => {
                smallvec![RequestAction::Drop(action::DropCause::Duplicate)]
            }
            stream::TokenVerdict::Gap => {
                self.on_failure(now, attempt, input::AttemptFailure::InvalidResponse, context)
            }
        }
    }

    fn on_response_complete(&mut self, attempt: input::AttemptNumber) -> action::ActionList {
        if self.current_attempt() != Some(attempt) {
            return smallvec![RequestAction::Drop(action::DropCause::StaleAttempt)];
        }
        self.finish(outcome::CallOutcome::Complete, action::EndCause::Completed, None)
    }

    fn on_failure(
        &mut self,
        now: time::MonotonicTime,
        attempt: input::AttemptNumber,
        failure: input::AttemptFailure,
        context: &mut dyn policy::RetryContext,
    ) -> action::ActionList {
        let (Some(current_attempt), Some(replica)) =
            (self.current_attempt(), self.last_replica.clone())
        else {
            return action::ActionList::new();
        };
        if current_attempt != attempt {
            return action::ActionList::new();
        }
        if failure.proves_not_run() {
            self.possible_runs -= 1;
        } else if self.policy.repeat == policy::RepeatPolicy::AtMostOnce {
            let mut actions = self.give_up(reason::RefusalReason::UpstreamFailed);
            if should_suspend_without_retry(failure) {
                actions.insert(0, RequestAction::SuspendReplica(replica));
            }
            return actions;
        }
        if failure == input::AttemptFailure::ReplicaCrashed {
            return self.give_up(reason::RefusalReason::ReplicaCrashed);
        }
        if now >= self.deadline {
            return self.give_up(reason::RefusalReason::DeadlinePassed);
        }
        if self.attempts_without_token >= self.policy.max_attempts {
            return self.give_up(reason::RefusalReason::UpstreamFailed);
        }
        if !self.is_budget_exempt(failure) && !context.try_withdraw() {
            return self.give_up(reason::RefusalReason::RetryBudgetSpent);
        }
        self.replica_lost_at.get_or_insert(now);
        self.state = RequestState::Retrying;
        let mut actions = action::ActionList::new();
        if self.delivered().get() > 0 {
            actions.push(RequestAction::CountStreamMove);
        }
        actions.push(RequestAction::CountRetry(failure.retry_reason()));
        if failure == input::AttemptFailure::ConnectionSilent && self.may_reconnect(now) {
            // No cancel is sent: it could overtake the new attempt and cancel that one instead.
            self.has_reconnected = true;
            actions.extend(self.dispatch(now, replica));
            return actions;
        }
        if !failure.proves_not_run() {
            actions.push(RequestAction::CancelAttempt { attempt, replica: replica.clone() });
        }
        actions.extend(self.switch_replica(now, replica, failure, context));
        actions
    }

    /// Suspends the replica of an attempt that is overdue, so that other requests avoid it.
    fn on_overdue(&self, attempt: input::AttemptNumber) -> action::ActionList {
        match &self.last_replica {
            Some(replica) if self.current_attempt() == Some(attempt) => {
                smallvec![RequestAction::SuspendReplica(replica.clone())]
            }
            _ => action::ActionList::new(),
        }
    }

    /// Returns whether to reconnect to a silent replica: once per chosen replica, and only if at
    /// least twice the length of this silence remains until the deadline, so that another replica
    /// can still be tried if the new connection stays silent too.
    fn may_reconnect(&self, now: time::MonotonicTime) -> bool {
        let silence = now.since(self.last_progress_at);
        !self.has_reconnected && now + silence + silence <= self.deadline
    }

    /// Returns whether the next attempt is exempt from the retry budget. Moves of streams in
    /// progress and moves away from leaving replicas are bounded by the number of accepted
    /// requests, so they cannot cause a retry storm.
    fn is_budget_exempt(&self, failure: input::AttemptFailure) -> bool {
        failure == input::AttemptFailure::ReplicaLeaving || self.delivered().get() > 0
    }

    fn switch_replica(
        &mut self,
        now: time::MonotonicTime,
        failed_replica: id::ReplicaId,
        failure: input::AttemptFailure,
        context: &mut dyn policy::RetryContext,
    ) -> action::ActionList {
        let mut actions = action::ActionList::new();
        if should_suspend_replica(failure) {
            actions.push(RequestAction::SuspendReplica(failed_replica.clone()));
        }
        self.excluded_replicas.push(failed_replica);
        let is_first_exempt_retry =
            self.attempts_without_token <= 1 && self.is_budget_exempt(failure);
        if is_first_exempt_retry {
            self.choose_replica_at = Some(now);
            actions.push(RequestAction::ChooseReplica(self.excluded_replicas.clone()));
            return actions;
        }
        let retry_number = self.attempts_without_token.saturating_sub(1);
        let choose_replica_at =
            now + self.policy.backoff.delay(retry_number, context.draw_jitter());
        if choose_replica_at >= self.deadline {
            actions.extend(self.give_up(reason::RefusalReason::DeadlineUnreachable));
            return actions;
        }
        self.choose_replica_at = Some(choose_replica_at);
        actions.push(RequestAction::SetTimer(choose_replica_at));
        actions
    }

    fn on_timer(&mut self, now: time::MonotonicTime) -> action::ActionList {
        if now >= self.deadline {
            return self.give_up(reason::RefusalReason::DeadlinePassed);
        }
        let is_due = self.choose_replica_at.is_some_and(|choose_at| now >= choose_at);
        if self.state == RequestState::Retrying && is_due {
            return smallvec![RequestAction::ChooseReplica(self.excluded_replicas.clone())];
        }
        action::ActionList::new()
    }

    fn end_early(&mut self, cause: action::EndCause) -> action::ActionList {
        let outcome = self.failed_outcome();
        self.finish(outcome, cause, None)
    }

    fn awaits_replica(&self) -> bool {
        match self.state {
            RequestState::Accepted => self.policy.repeat == policy::RepeatPolicy::Repeatable,
            RequestState::Claimed | RequestState::Retrying => true,
            _ => false,
        }
    }

    fn current_attempt(&self) -> Option<input::AttemptNumber> {
        match self.state {
            RequestState::Dispatched(attempt) | RequestState::Streaming(attempt) => Some(attempt),
            _ => None,
        }
    }

    fn dispatch(&mut self, now: time::MonotonicTime, replica: id::ReplicaId) -> action::ActionList {
        self.last_attempt = self.last_attempt.next();
        self.attempts_without_token += 1;
        self.state = RequestState::Dispatched(self.last_attempt);
        self.last_replica = Some(replica.clone());
        self.last_progress_at = now;
        self.possible_runs += 1;
        self.choose_replica_at = None;
        smallvec![RequestAction::Dispatch(action::DispatchCommand {
            attempt: self.last_attempt,
            replica,
            continue_from: self.delivered(),
            remaining: self.deadline.since(now),
        })]
    }

    /// Returns the outcome of the request if it ends now without a complete response.
    fn failed_outcome(&self) -> outcome::CallOutcome {
        match self.possible_runs {
            0 => outcome::CallOutcome::NotRun,
            _ => outcome::CallOutcome::Unknown,
        }
    }

    fn give_up(&mut self, reason: reason::RefusalReason) -> action::ActionList {
        let outcome = self.failed_outcome();
        // Retrying an at-most-once call that may have run would not reveal whether it ran.
        let is_final = self.policy.repeat == policy::RepeatPolicy::AtMostOnce
            && outcome == outcome::CallOutcome::Unknown;
        let can_retry_succeed = is_retryable(reason) && !is_final;
        let retry_after = can_retry_succeed.then_some(self.policy.retry_after);
        self.finish(outcome, action::EndCause::Refused(reason), retry_after)
    }

    fn finish(
        &mut self,
        outcome: outcome::CallOutcome,
        cause: action::EndCause,
        retry_after: Option<time::Millis>,
    ) -> action::ActionList {
        let mut actions = action::ActionList::new();
        if let (Some(attempt), Some(replica)) = (self.current_attempt(), self.last_replica.clone())
            && cause != action::EndCause::Completed
        {
            actions.push(RequestAction::CancelAttempt { attempt, replica });
        }
        let end = action::RequestEnd { outcome, cause, retry_after };
        self.state = RequestState::Finished(end);
        actions.push(RequestAction::Finish(end));
        actions
    }
}

/// Returns whether a failure suggests a fault of the replica and not only of the connection.
fn should_suspend_replica(failure: input::AttemptFailure) -> bool {
    matches!(
        failure,
        input::AttemptFailure::ConnectFailed | input::AttemptFailure::ConnectionSilent
    )
}

/// Returns whether a failure that ends an at-most-once call suspends its replica. A closed
/// connection is included, because no retry follows that would exclude the replica.
fn should_suspend_without_retry(failure: input::AttemptFailure) -> bool {
    should_suspend_replica(failure) || failure == input::AttemptFailure::ConnectionClosed
}

/// Returns whether a retry by the caller can succeed after a refusal for this reason.
fn is_retryable(reason: reason::RefusalReason) -> bool {
    matches!(
        reason,
        reason::RefusalReason::RetryBudgetSpent
            | reason::RefusalReason::UpstreamFailed
            | reason::RefusalReason::NoReplica
    )
}
