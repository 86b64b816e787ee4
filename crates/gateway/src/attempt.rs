//! One attempt: dispatches a request to a replica and handles the response.

use async_std::future;
use samphiremoor_base::event;
use samphiremoor_base::id;
use samphiremoor_base::log_event;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_fleet::selection;
use samphiremoor_httpio::message;

use crate::adapter;
use crate::core;
use crate::forward;
use crate::response;
use crate::stream;
use crate::upstream;

/// Multiple of the route's latency target after which an attempt of a repeatable request times out,
/// so that another replica can still respond in time.
const PLAIN_TIMEOUT_FACTOR: u64 = 4;
/// Multiple of the estimated time to first token or the route's latency target, whichever is
/// longer, after which an attempt of a stream times out if its response has not begun.
const STREAM_TIMEOUT_FACTOR: u64 = 2;

impl forward::RequestForwarder<'_> {
    /// Sends the request to the chosen replica and delivers the response unless another attempt is
    /// needed.
    pub(crate) async fn send(
        &mut self,
        service: &id::ServiceId,
        selected: &selection::SelectedReplica,
        kv_location: Option<&str>,
        sink: &mut response::ResponseSink,
    ) -> forward::AttemptOutcome {
        let is_stream = self.request.route.kind.is_stream();
        let uncached_tokens =
            if self.request.metadata.prompt.is_some() { selected.uncached_tokens } else { 0 };
        let Some(mut guard) = core::LoadGuard::new(self.core, &selected.replica, uncached_tokens)
        else {
            return forward::AttemptOutcome::NotSent;
        };
        let is_repeatable = self.request.route.kind.is_repeatable();
        let address = guard.address();
        let result = upstream::acquire(self.core, &selected.replica, address, is_repeatable).await;
        let mut connection = match result {
            Ok(connection) => connection,
            Err(_) => {
                self.mark_unreachable(&selected.replica);
                return forward::AttemptOutcome::NotSent;
            }
        };
        let started_at = self.core.now();
        self.progress.on_data(forward::ResponsePhase::Head, started_at);
        let timeout = self.first_byte_timeout(service, selected, started_at);
        let bytes = self.encode_request(selected, kv_location, started_at);
        if uncached_tokens > 0 {
            let mut state = self.core.state.borrow_mut();
            state.add_prompt_tokens(service, uncached_tokens, started_at);
        }
        let method = self.request.head.method.clone();
        let request_id = self.request.metadata.request_id.as_deref();
        let exchange = upstream::exchange(self.core, &mut connection, &bytes, &method, request_id);
        let response = match future::timeout(timeout.to_duration(), exchange).await {
            Ok(Ok(response)) => response,
            Ok(Err(cause)) => {
                let is_stale = connection.is_reused && cause == upstream::ExchangeError::Closed;
                self.record_result(&selected.replica, !is_stale);
                self.count_run();
                return forward::AttemptOutcome::Failed(reason::RetryReason::ConnectionClosed);
            }
            Err(_) => {
                self.mark_unreachable(&selected.replica);
                self.count_run();
                return forward::AttemptOutcome::Failed(reason::RetryReason::ConnectionSilent);
            }
        };
        if response.metadata.is_other_replica || response.metadata.is_not_run {
            let is_other = response.metadata.is_other_replica;
            // The body of a refusal is short. If it can't be read to its end, the connection is not
            // reused.
            if upstream::read_body(&mut connection, &response).await.is_ok() {
                upstream::release(self.core, &selected.replica, connection, &response);
            }
            if is_other {
                self.mark_unreachable(&selected.replica);
                return forward::AttemptOutcome::WrongReplica;
            }
            self.record_result(&selected.replica, true);
            return forward::AttemptOutcome::NotRun;
        }
        let is_success = (200..300).contains(&response.head.status);
        if sink.has_begun() && !(is_success && message::is_event_stream(&response.head)) {
            // Only events can follow in a stream that another replica began.
            self.record_result(&selected.replica, response.head.status >= 500);
            self.count_run();
            return forward::AttemptOutcome::Failed(reason::RetryReason::UpstreamError);
        }
        if is_stream && is_success {
            let replica_stream = stream::ReplicaStream::new(connection, response);
            self.forward_stream(service, selected, replica_stream, &mut guard, started_at, sink)
                .await
        } else {
            self.deliver_plain(selected, connection, response, started_at, sink).await
        }
    }

    async fn deliver_plain(
        &self,
        selected: &selection::SelectedReplica,
        mut connection: upstream::UpstreamConnection,
        response: upstream::ReplicaResponse,
        started_at: time::MonotonicTime,
        sink: &mut response::ResponseSink,
    ) -> forward::AttemptOutcome {
        self.count_run();
        self.progress.on_data(forward::ResponsePhase::Body, self.core.now());
        let time_left = self.request.deadline.since(self.core.now());
        let body_read = upstream::read_body(&mut connection, &response);
        let body = match future::timeout(time_left.to_duration(), body_read).await {
            Ok(Ok(body)) => body,
            Ok(Err(_)) => {
                self.record_result(&selected.replica, true);
                return forward::AttemptOutcome::Failed(reason::RetryReason::ConnectionClosed);
            }
            Err(_) => {
                return forward::AttemptOutcome::Failed(reason::RetryReason::ConnectionSilent);
            }
        };
        let is_error = response.head.status >= 500;
        self.record_result(&selected.replica, is_error);
        upstream::release(self.core, &selected.replica, connection, &response);
        self.core.metrics.observe_first_byte(self.core.now().since(started_at));
        let buffered = forward::BufferedResponse { head: response.head, body };
        if is_error && self.request.route.kind.is_repeatable() {
            return forward::AttemptOutcome::ServerError(Box::new(buffered));
        }
        forward::AttemptOutcome::Ended(self.deliver(buffered, sink).await)
    }

    async fn forward_stream(
        &mut self,
        service: &id::ServiceId,
        selected: &selection::SelectedReplica,
        mut stream: stream::ReplicaStream,
        guard: &mut core::LoadGuard,
        started_at: time::MonotonicTime,
        sink: &mut response::ResponseSink,
    ) -> forward::AttemptOutcome {
        self.splitter.discard_partial();
        let core = self.core;
        let workspace = self.request.workspace.as_ref().map(|rule| &rule.id);
        let window = core.settings.times.usage_window_ms;
        let is_first_stream = self.splitter.delivered() == 0;
        // A stream that resumes from a migrated KV cache was counted as a run at the first replica.
        let is_migrated = self.is_migrated;
        let on_first_event = || {
            let now = core.now();
            guard.finish_prefill();
            core.metrics.observe_first_byte(now.since(started_at));
            let mut state = core.state.borrow_mut();
            if is_first_stream {
                state.ttft_estimator.observe(service, selected.tokens_ahead, now.since(started_at));
            }
            if let Some(workspace) = workspace.filter(|_| !is_migrated) {
                state.count_run(workspace, window, now);
            }
        };
        self.progress.on_data(forward::ResponsePhase::Events, core.now());
        let progress = self.progress;
        let on_data = || progress.on_data(forward::ResponsePhase::Events, core.now());
        let can_migrate = self.can_migrate(service);
        let should_migrate = || can_migrate && self.core.should_migrate(&selected.replica);
        let end = stream
            .forward_events(&mut self.splitter, sink, on_data, on_first_event, should_migrate)
            .await;
        if end != stream::StreamEnd::Leaving {
            return self.finish_stream(selected, stream, end);
        }
        let Some(migration) = self.prepare_migration(service, selected) else {
            let end =
                stream.forward_events(&mut self.splitter, sink, on_data, || {}, || false).await;
            return self.finish_stream(selected, stream, end);
        };
        // The source replica keeps sending events until it stops the stream for the migration.
        let forwarding = stream.forward_events(&mut self.splitter, sink, on_data, || {}, || false);
        let (migrated, end) = futures_lite::future::zip(migration, forwarding).await;
        match (migrated, end) {
            (Some(migrated), stream::StreamEnd::Broken) => {
                forward::AttemptOutcome::Migrated(Box::new(migrated))
            }
            (_, end) => self.finish_stream(selected, stream, end),
        }
    }

    /// Returns whether the KV cache of this request can be migrated.
    fn can_migrate(&self, service: &id::ServiceId) -> bool {
        let state = self.core.state.borrow();
        let rule = state.policy.as_ref().and_then(|policy| policy.services.get(service));
        rule.is_some_and(|rule| rule.migrates_kv_cache)
            && self.request.metadata.request_id.is_some()
    }

    /// Chooses the best other replica as the target of a stream's migration, withdraws a retry from
    /// the budget, and returns the future that performs the migration. Returns `None` if the
    /// request has no ID, there is no such replica, or the retry budget is used up.
    fn prepare_migration(
        &self,
        service: &id::ServiceId,
        selected: &selection::SelectedReplica,
    ) -> Option<impl std::future::Future<Output = Option<forward::MigratedStream>> + use<>> {
        let core = self.core.clone();
        let request_id = self.request.metadata.request_id.clone()?;
        let source = selected.replica.clone();
        let mut excluded = self.excluded.clone();
        excluded.push(source.clone());
        let mut state = core.state.borrow_mut();
        let query = selection::SelectionQuery {
            service,
            zone: &core.settings.availability_zone,
            prompt: self.request.metadata.prompt.as_ref(),
            excluded: &excluded,
            daemon_count: state.live_daemons,
            draw: rand::random(),
            now: core.now(),
        };
        let mut target = selection::choose(&state.replicas, &query)?;
        // The KV cache is migrated, so the target has no prompt tokens to prefill.
        target.uncached_tokens = 0;
        let source_address = state.replicas.get(&source)?.entry.address;
        let target_address = state.replicas.get(&target.replica)?.entry.address;
        if !state.budget(service, &core.settings.shared).try_withdraw() {
            return None;
        }
        drop(state);
        core.metrics.count_retry(reason::RetryReason::ReplicaLeaving);
        Some(async move {
            let migration = upstream::migrate_kv_cache(
                &core,
                &source,
                source_address,
                target_address,
                &request_id,
            );
            let kv_location = migration.await?;
            Some(forward::MigratedStream { selected: target, kv_location })
        })
    }

    fn finish_stream(
        &self,
        selected: &selection::SelectedReplica,
        stream: stream::ReplicaStream,
        end: stream::StreamEnd,
    ) -> forward::AttemptOutcome {
        match end {
            stream::StreamEnd::Complete => {
                self.record_result(&selected.replica, false);
                let status = stream.response.head.status;
                upstream::release(
                    self.core,
                    &selected.replica,
                    stream.connection,
                    &stream.response,
                );
                forward::AttemptOutcome::Ended(forward::RequestOutcome::Answered(status))
            }
            stream::StreamEnd::Silent => {
                self.mark_unreachable(&selected.replica);
                forward::AttemptOutcome::Failed(reason::RetryReason::ConnectionSilent)
            }
            stream::StreamEnd::CallerGone => {
                forward::AttemptOutcome::Ended(forward::RequestOutcome::CallerGone)
            }
            stream::StreamEnd::Broken | stream::StreamEnd::Leaving => {
                self.record_result(&selected.replica, true);
                forward::AttemptOutcome::Failed(reason::RetryReason::ConnectionClosed)
            }
        }
    }

    fn encode_request(
        &self,
        selected: &selection::SelectedReplica,
        kv_location: Option<&str>,
        now: time::MonotonicTime,
    ) -> Vec<u8> {
        let metadata = adapter::DispatchMetadata {
            replica: &selected.replica,
            time_left: self.request.deadline.since(now),
            workspace: self.request.workspace.as_ref().map(|rule| &rule.id),
            priority: self.priority(),
            last_event_id: self.splitter.last_id(),
            kv_location,
            body_length: self.request.body.len(),
        };
        let mut bytes = Vec::with_capacity(1024 + self.request.body.len());
        self.core.adapter.codec.encode_dispatch(&self.request.head, &metadata, &mut bytes);
        bytes.extend_from_slice(&self.request.body);
        bytes
    }

    /// Returns how long to wait for the first byte of the response.
    fn first_byte_timeout(
        &self,
        service: &id::ServiceId,
        selected: &selection::SelectedReplica,
        now: time::MonotonicTime,
    ) -> time::Millis {
        let time_left = self.request.deadline.since(now);
        let may_repeat = self.request.route.kind.is_repeatable()
            && self.progress.tracker.get().attempts() < self.request.route.max_attempts;
        if !may_repeat {
            return time_left;
        }
        let latency_target = self.request.route.latency_target.get();
        let timeout_ms = if self.request.route.kind.is_stream() {
            let ttft_estimate = self
                .core
                .state
                .borrow()
                .ttft_estimator
                .estimate_ttft_ms(service, selected.tokens_ahead);
            latency_target.max(ttft_estimate as u64).saturating_mul(STREAM_TIMEOUT_FACTOR)
        } else {
            latency_target.saturating_mul(PLAIN_TIMEOUT_FACTOR)
        };
        time_left.min(time::Millis::new(timeout_ms))
    }

    /// Counts a run for a request that is not a stream, or whose response was lost.
    fn count_run(&self) {
        let Some(workspace) = &self.request.workspace else { return };
        let window = self.core.settings.times.usage_window_ms;
        let now = self.core.now();
        self.core.state.borrow_mut().count_run(&workspace.id, window, now);
    }

    /// Updates the failure rate of a replica that responded or whose connection closed.
    fn record_result(&self, replica: &id::ReplicaId, is_failure: bool) {
        let now = self.core.now();
        let mut state = self.core.state.borrow_mut();
        if let Some(known_replica) = state.replicas.get_mut(replica) {
            known_replica.on_response(is_failure, now);
        }
    }

    /// Logs a failed attempt together with the state of its replica.
    pub(crate) fn log_failed_attempt(&self, replica: &id::ReplicaId, reason: reason::RetryReason) {
        let now = self.core.now();
        let state = self.core.state.borrow();
        let known_replica = state.replicas.get(replica);
        let contact_age = known_replica
            .and_then(|known_replica| known_replica.last_contact)
            .map(|contact_at| now.since(contact_at));
        log_event!(
            event::LogEvent::SendFailed,
            request = self.request_id(),
            replica = replica,
            reason = reason,
            delivered = self.splitter.delivered(),
            replica_known = known_replica.is_some(),
            replica_leaving =
                known_replica.is_some_and(|known_replica| known_replica.entry.is_draining),
            failing = format_args!(
                "{:.2}",
                known_replica.map_or(0.0, |known_replica| known_replica.failure_rate(now))
            ),
            heard_ago = contact_age.map_or_else(|| "never".to_owned(), |age| age.to_string()),
            phase = self.progress.phase.get(),
            silent = now.since(self.progress.last_data_at.get()),
            after = now.since(self.request.arrived_at),
        );
    }

    /// Closes the replica's idle connections and marks it as unreachable.
    fn mark_unreachable(&self, replica: &id::ReplicaId) {
        let now = self.core.now();
        let mut state = self.core.state.borrow_mut();
        state.idle_pool.remove(replica);
        if let Some(known_replica) = state.replicas.get_mut(replica) {
            known_replica.on_unreachable(now);
        }
        log_event!(
            event::LogEvent::UpstreamSuspected,
            replica = replica,
            request = self.request_id()
        );
    }
}
