//! One send of a request to a replica, and what came of it.

use async_std::future;
use samphiremoor_base::event;
use samphiremoor_base::id;
use samphiremoor_base::log_event;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_fleet::selection;

use crate::adapter;
use crate::core;
use crate::forward;
use crate::stream;
use crate::upstream;

/// A repeatable plain call is given up on a replica after this multiple of its target, so that
/// another replica can still answer in time.
const PLAIN_PATIENCE: u64 = 4;
/// A stream's first event is awaited for this multiple of the forecast, and of the target, whichever
/// is longer, before another replica is tried.
const FIRST_PATIENCE: u64 = 2;

impl forward::CallCarrier<'_> {
    /// Sends the request to the chosen replica.
    pub(crate) async fn send(
        &mut self,
        service: &id::ServiceId,
        choice: &selection::SelectedReplica,
        memory: Option<&str>,
        sink: &mut stream::AnswerSink,
    ) -> forward::SendEnd {
        let is_stream = self.call.route.kind.is_stream();
        let unread = if self.call.terms.prompt.is_some() { choice.uncached_tokens } else { 0 };
        let Some(mut guard) = core::LoadGuard::new(self.core, &choice.replica, unread) else {
            return forward::SendEnd::NotSent;
        };
        let is_repeatable = self.call.route.kind.is_repeatable();
        let address = guard.address();
        let acquired = upstream::acquire(self.core, &choice.replica, address, is_repeatable).await;
        let mut open = match acquired {
            Ok(open) => open,
            Err(_) => {
                self.blame(&choice.replica);
                return forward::SendEnd::NotSent;
            }
        };
        let begun = self.core.now();
        let limit = self.first_limit(service, choice, begun);
        let bytes = self.request_bytes(choice, memory, begun);
        if unread > 0 {
            let mut state = self.core.state.borrow_mut();
            state.note_prompt(service, unread, begun);
        }
        let method = self.call.head.method.clone();
        let name = self.call.terms.request.as_deref();
        let exchange = upstream::exchange(self.core, &mut open, &bytes, &method, name);
        let answer = match future::timeout(limit.to_duration(), exchange).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(cause)) => {
                let is_stale = open.is_reused && cause == upstream::ExchangeError::Closed;
                self.note_failure(&choice.replica, !is_stale);
                self.count_run();
                return forward::SendEnd::Failed(reason::RetryReason::ConnectionClosed);
            }
            Err(_) => {
                self.blame(&choice.replica);
                self.count_run();
                return forward::SendEnd::Failed(reason::RetryReason::ConnectionSilent);
            }
        };
        if answer.terms.is_other_replica || answer.terms.is_not_run {
            let is_other = answer.terms.is_other_replica;
            // The body of a refusal is short; a connection that does not end it is not kept.
            if upstream::whole_body(&mut open, &answer).await.is_ok() {
                upstream::release(self.core, &choice.replica, open, &answer);
            }
            if is_other {
                self.blame(&choice.replica);
                return forward::SendEnd::Elsewhere;
            }
            self.note_failure(&choice.replica, true);
            return forward::SendEnd::NotRun;
        }
        let is_success = (200..300).contains(&answer.head.status);
        if is_stream && is_success {
            let run = stream::StreamRun::new(open, answer);
            self.pass_on(service, choice, run, &mut guard, begun, sink).await
        } else {
            self.read_plain(choice, open, answer, begun, sink).await
        }
    }

    async fn read_plain(
        &self,
        choice: &selection::SelectedReplica,
        mut open: upstream::UpstreamConnection,
        answer: upstream::ReplicaAnswer,
        begun: time::MonotonicTime,
        sink: &mut stream::AnswerSink,
    ) -> forward::SendEnd {
        self.count_run();
        let left = self.call.deadline.since(self.core.now());
        let reading = upstream::whole_body(&mut open, &answer);
        let body = match future::timeout(left.to_duration(), reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(_)) => {
                self.note_failure(&choice.replica, true);
                return forward::SendEnd::Failed(reason::RetryReason::ConnectionClosed);
            }
            Err(_) => return forward::SendEnd::Failed(reason::RetryReason::ConnectionSilent),
        };
        let is_error = answer.head.status >= 500;
        self.note_failure(&choice.replica, is_error);
        upstream::release(self.core, &choice.replica, open, &answer);
        self.core.metrics.first(self.core.now().since(begun));
        let whole = forward::PlainAnswer { head: answer.head, body };
        if is_error && self.call.route.kind.is_repeatable() {
            return forward::SendEnd::Error(Box::new(whole));
        }
        forward::SendEnd::Done(self.deliver(whole, sink).await)
    }

    async fn pass_on(
        &mut self,
        service: &id::ServiceId,
        choice: &selection::SelectedReplica,
        mut run: stream::StreamRun,
        guard: &mut core::LoadGuard,
        begun: time::MonotonicTime,
        sink: &mut stream::AnswerSink,
    ) -> forward::SendEnd {
        self.splitter.restart();
        let core = self.core;
        let workspace = self.call.workspace.as_ref().map(|rule| &rule.id);
        let window = core.settings.times.usage_window_ms;
        let is_first_run = self.splitter.delivered() == 0;
        // A run that goes on with its memory is the one that began elsewhere.
        let is_moved = self.is_moved;
        let on_first = || {
            let now = core.now();
            guard.prompt_read();
            core.metrics.first(now.since(begun));
            let mut state = core.state.borrow_mut();
            if is_first_run {
                state.forecast.observe(service, choice.tokens_ahead, now.since(begun));
            }
            if let Some(workspace) = workspace.filter(|_| !is_moved) {
                state.note_run(workspace, window, now);
            }
        };
        let can_move = self.can_move(service);
        let is_to_be_left = || can_move && self.core.is_to_be_left(&choice.replica);
        let end = run.pass_on(&mut self.splitter, sink, on_first, is_to_be_left).await;
        if end != stream::RunEnd::Leaving {
            return self.end_run(choice, run, end);
        }
        let Some(moving) = self.start_move(service, choice) else {
            let end = run.pass_on(&mut self.splitter, sink, || {}, || false).await;
            return self.end_run(choice, run, end);
        };
        // The run makes events until the replica stops it.
        let passing = run.pass_on(&mut self.splitter, sink, || {}, || false);
        let (moved, end) = futures_lite::future::zip(moving, passing).await;
        match (moved, end) {
            (Some(moved), stream::RunEnd::Broken) => forward::SendEnd::Moved(Box::new(moved)),
            (_, end) => self.end_run(choice, run, end),
        }
    }

    /// Whether the memory of this request's run can be moved.
    fn can_move(&self, service: &id::ServiceId) -> bool {
        let state = self.core.state.borrow();
        let rule = state.policy.as_ref().and_then(|policy| policy.services.get(service));
        rule.is_some_and(|rule| rule.migrates_kv_cache) && self.call.terms.request.is_some()
    }

    /// Starts the move of a run to the best other replica; nothing where there is none or the budget
    /// of further sends is spent.
    fn start_move(
        &self,
        service: &id::ServiceId,
        choice: &selection::SelectedReplica,
    ) -> Option<impl std::future::Future<Output = Option<forward::MovedRun>> + use<>> {
        let core = self.core.clone();
        let request = self.call.terms.request.clone()?;
        let source = choice.replica.clone();
        let mut avoided = self.avoided.clone();
        avoided.push(source.clone());
        let mut state = core.state.borrow_mut();
        let query = selection::SelectionQuery {
            service,
            zone: &core.settings.availability_zone,
            prompt: self.call.terms.prompt.as_ref(),
            excluded: &avoided,
            daemon_count: state.daemons,
            draw: rand::random(),
            now: core.now(),
        };
        let mut target = selection::choose(&state.replicas, &query)?;
        // The memory comes along: nothing is read again.
        target.uncached_tokens = 0;
        let source_address = state.replicas.get(&source)?.entry.address;
        let target_address = state.replicas.get(&target.replica)?.entry.address;
        if !state.budget(service, &core.settings.shared).try_withdraw() {
            return None;
        }
        drop(state);
        core.metrics.retried(reason::RetryReason::ReplicaLeaving);
        Some(async move {
            let moving =
                upstream::move_memory(&core, &source, source_address, target_address, &request);
            let memory = moving.await?;
            Some(forward::MovedRun { choice: target, memory })
        })
    }

    fn end_run(
        &self,
        choice: &selection::SelectedReplica,
        run: stream::StreamRun,
        end: stream::RunEnd,
    ) -> forward::SendEnd {
        match end {
            stream::RunEnd::Complete => {
                self.note_failure(&choice.replica, false);
                let status = run.answer.head.status;
                upstream::release(self.core, &choice.replica, run.open, &run.answer);
                forward::SendEnd::Done(forward::CallEnd::Answered(status))
            }
            stream::RunEnd::Silent => {
                self.blame(&choice.replica);
                forward::SendEnd::Failed(reason::RetryReason::ConnectionSilent)
            }
            stream::RunEnd::CallerGone => forward::SendEnd::Done(forward::CallEnd::CallerGone),
            stream::RunEnd::Broken | stream::RunEnd::Leaving => {
                self.note_failure(&choice.replica, true);
                forward::SendEnd::Failed(reason::RetryReason::ConnectionClosed)
            }
        }
    }

    fn request_bytes(
        &self,
        choice: &selection::SelectedReplica,
        memory: Option<&str>,
        now: time::MonotonicTime,
    ) -> Vec<u8> {
        let terms = adapter::DispatchMetadata {
            replica: &choice.replica,
            left: self.call.deadline.since(now),
            workspace: self.call.workspace.as_ref().map(|rule| &rule.id),
            priority: self.priority(),
            last_event: self.splitter.last(),
            memory,
            body: self.call.body.len(),
        };
        let mut bytes = Vec::with_capacity(1024 + self.call.body.len());
        self.core.adapter.codec.encode_dispatch(&self.call.head, &terms, &mut bytes);
        bytes.extend_from_slice(&self.call.body);
        bytes
    }

    /// Time for which the first byte of an answer is awaited.
    fn first_limit(
        &self,
        service: &id::ServiceId,
        choice: &selection::SelectedReplica,
        now: time::MonotonicTime,
    ) -> time::Millis {
        let left = self.call.deadline.since(now);
        let may_repeat = self.call.route.kind.is_repeatable()
            && self.progress.ledger.get().attempts() < self.call.route.max_attempts;
        if !may_repeat {
            return left;
        }
        let target = self.call.route.latency_target.get();
        let limit = if self.call.route.kind.is_stream() {
            let forecast =
                self.core.state.borrow().forecast.estimate_ttft_ms(service, choice.tokens_ahead);
            target.max(forecast as u64).saturating_mul(FIRST_PATIENCE)
        } else {
            target.saturating_mul(PLAIN_PATIENCE)
        };
        left.min(time::Millis::new(limit))
    }

    /// Counts the run of a plain call, or of a request whose answer was lost.
    fn count_run(&self) {
        let Some(workspace) = &self.call.workspace else { return };
        let window = self.core.settings.times.usage_window_ms;
        let now = self.core.now();
        self.core.state.borrow_mut().note_run(&workspace.id, window, now);
    }

    fn note_failure(&self, replica: &id::ReplicaId, is_failure: bool) {
        let now = self.core.now();
        let mut state = self.core.state.borrow_mut();
        if let Some(known) = state.replicas.get_mut(replica) {
            known.on_response(is_failure, now);
        }
    }

    /// Logs a send that came to nothing, with what is known of its replica.
    pub(crate) fn note_send_failure(&self, replica: &id::ReplicaId, reason: reason::RetryReason) {
        let now = self.core.now();
        let state = self.core.state.borrow();
        let known = state.replicas.get(replica);
        let heard = known.and_then(|known| known.last_contact).map(|at| now.since(at));
        log_event!(
            event::LogEvent::SendFailed,
            request = self.name(),
            replica = replica,
            reason = reason,
            delivered = self.splitter.delivered(),
            replica_known = known.is_some(),
            replica_leaving = known.is_some_and(|known| known.entry.is_draining),
            failing = format_args!("{:.2}", known.map_or(0.0, |known| known.failure_rate(now))),
            heard_ago = heard.map_or_else(|| "never".to_owned(), |age| age.to_string()),
            after = now.since(self.call.arrived),
        );
    }

    fn blame(&self, replica: &id::ReplicaId) {
        let now = self.core.now();
        let mut state = self.core.state.borrow_mut();
        state.idle.remove(replica);
        if let Some(known) = state.replicas.get_mut(replica) {
            known.on_unreachable(now);
        }
        log_event!(event::LogEvent::UpstreamSuspected, replica = replica, request = self.name());
    }
}
