//! The state machine.

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

/// Where a request stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestState {
    /// Accepted, and not yet dispatched.
    Accepted,
    /// The claim of a call that may not be repeated is written.
    Claimed,
    /// Sent to a replica that has not answered yet.
    Dispatched(input::AttemptNumber),
    /// The answer arrives.
    Streaming(input::AttemptNumber),
    /// The last dispatch failed and another one is being prepared.
    Retrying,
    /// Ended; nothing happens any more.
    Finished(action::RequestEnd),
}

/// One request.
#[derive(Clone, Debug)]
pub struct RequestMachine {
    policy: policy::RequestPolicy,
    deadline: time::MonotonicTime,
    state: RequestState,
    assembly: stream::StreamAssembly,
    last_attempt: input::AttemptNumber,
    /// Dispatches since the last token that was new.
    fruitless: u32,
    replica: Option<id::ReplicaId>,
    redialled: bool,
    /// When the present dispatch was sent or last brought a token.
    heard_at: time::MonotonicTime,
    avoided: action::ExcludedReplicas,
    /// Dispatches that an upstream may have run.
    doubtful: u32,
    lost_at: Option<time::MonotonicTime>,
    choose_at: Option<time::MonotonicTime>,
}

impl RequestMachine {
    /// A request that must end by `deadline`; `delivered` tokens of its answer are kept already.
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
            fruitless: 0,
            replica: None,
            redialled: false,
            heard_at: time::MonotonicTime::default(),
            avoided: action::ExcludedReplicas::new(),
            doubtful: 0,
            lost_at: None,
            choose_at: None,
        }
    }

    /// Where the request stands.
    pub fn state(&self) -> RequestState {
        self.state
    }

    /// Tokens delivered so far.
    pub fn delivered(&self) -> quantity::TokenCount {
        self.assembly.next_offset()
    }

    /// Takes one input and says what to do.
    pub fn step(
        &mut self,
        now: time::MonotonicTime,
        input: RequestInput,
        gate: &mut dyn policy::RetryContext,
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
                self.on_token(now, attempt, offset, gate)
            }
            RequestInput::ForeignResponse(_) => {
                smallvec![RequestAction::Drop(action::DropCause::OtherRequest)]
            }
            RequestInput::ResponseComplete(attempt) => self.on_answer_ended(attempt),
            RequestInput::AttemptFailed { attempt, failure } => {
                self.on_failure(now, attempt, failure, gate)
            }
            RequestInput::TimerFired => self.on_woken(now),
            RequestInput::Abandoned => self.on_left(action::EndCause::Abandoned),
            RequestInput::HandedOver => self.on_left(action::EndCause::HandedOver),
        }
    }

    fn on_start(&mut self) -> action::ActionList {
        let first = match self.policy.repeat {
            policy::RepeatPolicy::Repeatable => RequestAction::ChooseReplica(self.avoided.clone()),
            policy::RepeatPolicy::AtMostOnce => RequestAction::WriteClaim,
        };
        smallvec![RequestAction::SetTimer(self.deadline), first]
    }

    fn on_claimed(&mut self) -> action::ActionList {
        if self.state != RequestState::Accepted {
            return action::ActionList::new();
        }
        self.state = RequestState::Claimed;
        smallvec![RequestAction::ChooseReplica(self.avoided.clone())]
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
        self.redialled = false;
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
        let waited = self.lost_at.map(|lost_at| now.since(lost_at));
        let look_again = now + self.policy.replica_poll;
        if waited.is_some_and(|waited| waited < self.policy.replica_wait)
            && look_again < self.deadline
        {
            // A replica that failed before is better than none.
            self.avoided.clear();
            self.choose_at = Some(look_again);
            return smallvec![RequestAction::SetTimer(look_again)];
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
        gate: &mut dyn policy::RetryContext,
    ) -> action::ActionList {
        if self.current_attempt() != Some(attempt) {
            return smallvec![RequestAction::Drop(action::DropCause::StaleAttempt)];
        }
        self.state = RequestState::Streaming(attempt);
        match self.assembly.accept(offset) {
            stream::TokenVerdict::Next => {
                self.fruitless = 0;
                self.lost_at = None;
                self.heard_at = now;
                smallvec![RequestAction::DeliverToken(offset)]
            }
            stream::TokenVerdict::Duplicate => {
                smallvec![RequestAction::Drop(action::DropCause::Duplicate)]
            }
            stream::TokenVerdict::Gap => {
                self.on_failure(now, attempt, input::AttemptFailure::InvalidResponse, gate)
            }
        }
    }

    fn on_answer_ended(&mut self, attempt: input::AttemptNumber) -> action::ActionList {
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
        gate: &mut dyn policy::RetryContext,
    ) -> action::ActionList {
        let (Some(current), Some(replica)) = (self.current_attempt(), self.replica.clone()) else {
            return action::ActionList::new();
        };
        if current != attempt {
            return action::ActionList::new();
        }
        if failure.is_not_run() {
            self.doubtful -= 1;
        } else if self.policy.repeat == policy::RepeatPolicy::AtMostOnce {
            let mut actions = self.give_up(reason::RefusalReason::UpstreamFailed);
            if is_blamed_once(failure) {
                actions.insert(0, RequestAction::SuspendReplica(replica));
            }
            return actions;
        }
        if now >= self.deadline {
            return self.give_up(reason::RefusalReason::DeadlinePassed);
        }
        if self.fruitless >= self.policy.max_attempts {
            return self.give_up(reason::RefusalReason::UpstreamFailed);
        }
        if !self.is_moved_freely(failure) && !gate.try_withdraw() {
            return self.give_up(reason::RefusalReason::RetryBudgetSpent);
        }
        self.lost_at.get_or_insert(now);
        self.state = RequestState::Retrying;
        let mut actions = action::ActionList::new();
        if self.delivered().get() > 0 {
            actions.push(RequestAction::CountStreamMove);
        }
        actions.push(RequestAction::CountRetry(failure.retry_reason()));
        if failure == input::AttemptFailure::ConnectionSilent && self.may_redial(now) {
            // No cancel: it could overtake the new dispatch and end that one at the replica.
            self.redialled = true;
            actions.extend(self.dispatch(now, replica));
            return actions;
        }
        if !failure.is_not_run() {
            actions.push(RequestAction::CancelAttempt { attempt, replica: replica.clone() });
        }
        actions.extend(self.leave_replica(now, replica, failure, gate));
        actions
    }

    /// Whether a silent replica is dialled anew: once, and only where a second silence as long as
    /// this one would leave the time for another replica.
    fn may_redial(&self, now: time::MonotonicTime) -> bool {
        let silence = now.since(self.heard_at);
        !self.redialled && now + silence + silence <= self.deadline
    }

    /// Moves that cost no retry: a stream in progress and an announced leave are bounded by what
    /// was accepted, so they can't make a storm of retries.
    fn is_moved_freely(&self, failure: input::AttemptFailure) -> bool {
        failure == input::AttemptFailure::ReplicaLeaving || self.delivered().get() > 0
    }

    fn leave_replica(
        &mut self,
        now: time::MonotonicTime,
        replica: id::ReplicaId,
        failure: input::AttemptFailure,
        gate: &mut dyn policy::RetryContext,
    ) -> action::ActionList {
        let mut actions = action::ActionList::new();
        if is_blamed(failure) {
            actions.push(RequestAction::SuspendReplica(replica.clone()));
        }
        self.avoided.push(replica);
        let is_first_move = self.fruitless <= 1 && self.is_moved_freely(failure);
        if is_first_move {
            self.choose_at = Some(now);
            actions.push(RequestAction::ChooseReplica(self.avoided.clone()));
            return actions;
        }
        let retry = self.fruitless.saturating_sub(1);
        let choose_at = now + self.policy.backoff.delay(retry, gate.draw_jitter());
        if choose_at >= self.deadline {
            actions.extend(self.give_up(reason::RefusalReason::DeadlineUnreachable));
            return actions;
        }
        self.choose_at = Some(choose_at);
        actions.push(RequestAction::SetTimer(choose_at));
        actions
    }

    fn on_woken(&mut self, now: time::MonotonicTime) -> action::ActionList {
        if now >= self.deadline {
            return self.give_up(reason::RefusalReason::DeadlinePassed);
        }
        let is_due = self.choose_at.is_some_and(|choose_at| now >= choose_at);
        if self.state == RequestState::Retrying && is_due {
            return smallvec![RequestAction::ChooseReplica(self.avoided.clone())];
        }
        action::ActionList::new()
    }

    fn on_left(&mut self, cause: action::EndCause) -> action::ActionList {
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
        self.fruitless += 1;
        self.state = RequestState::Dispatched(self.last_attempt);
        self.replica = Some(replica.clone());
        self.heard_at = now;
        self.doubtful += 1;
        self.choose_at = None;
        smallvec![RequestAction::Dispatch(action::DispatchCommand {
            attempt: self.last_attempt,
            replica,
            continue_from: self.delivered(),
            remaining: self.deadline.since(now),
        })]
    }

    fn failed_outcome(&self) -> outcome::CallOutcome {
        match self.doubtful {
            0 => outcome::CallOutcome::NotRun,
            _ => outcome::CallOutcome::Unknown,
        }
    }

    fn give_up(&mut self, reason: reason::RefusalReason) -> action::ActionList {
        let outcome = self.failed_outcome();
        // Sending a call again that may have run tells no more of it.
        let is_settled = self.policy.repeat == policy::RepeatPolicy::AtMostOnce
            && outcome == outcome::CallOutcome::Unknown;
        let can_help = can_try_later(reason) && !is_settled;
        let retry_after = can_help.then_some(self.policy.retry_after);
        self.finish(outcome, action::EndCause::Refused(reason), retry_after)
    }

    fn finish(
        &mut self,
        outcome: outcome::CallOutcome,
        cause: action::EndCause,
        retry_after: Option<time::Millis>,
    ) -> action::ActionList {
        let mut actions = action::ActionList::new();
        if let (Some(attempt), Some(replica)) = (self.current_attempt(), self.replica.clone())
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

/// Whether a failure says something of the replica and not only of the connection.
fn is_blamed(failure: input::AttemptFailure) -> bool {
    matches!(
        failure,
        input::AttemptFailure::ConnectFailed | input::AttemptFailure::ConnectionSilent
    )
}

/// Whether a failure of a call that may not be repeated says that the next one would fail alike: no
/// fresh connection to the replica is tried for it.
fn is_blamed_once(failure: input::AttemptFailure) -> bool {
    is_blamed(failure) || failure == input::AttemptFailure::ConnectionClosed
}

fn can_try_later(reason: reason::RefusalReason) -> bool {
    matches!(
        reason,
        reason::RefusalReason::RetryBudgetSpent
            | reason::RefusalReason::UpstreamFailed
            | reason::RefusalReason::NoReplica
    )
}
