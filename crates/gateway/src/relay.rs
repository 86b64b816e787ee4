//! Relays the response of one replica to the caller, and migrates streams of replicas that leave.

use std::cell;
use std::pin;
use std::rc;

use samphiremoor_base::reason;
use samphiremoor_fleet::selection;

use crate::attempt;
use crate::crash;
use crate::crash_probe;
use crate::forward;
use crate::migration;
use crate::pending;
use crate::response;
use crate::stream;
use crate::upstream;

impl forward::RequestForwarder<'_> {
    /// Relays a response to the caller.
    pub(crate) async fn relay(
        &mut self,
        started: attempt::StartedAttempt,
        sink: &mut response::ResponseSink,
    ) -> forward::RelayOutcome {
        let is_success = (200..300).contains(&started.response.head.status);
        if self.context.request.route.kind.is_stream() && is_success {
            return self.relay_stream(started, sink).await;
        }
        self.context.count_run();
        let start = started.guard.replica_start();
        match self.context.read_plain(started).await {
            Ok(buffered) => forward::RelayOutcome::Ended(self.deliver(buffered, sink).await),
            Err(reason) => {
                let verdict = self.context.check_crash(&start).await;
                forward::RelayOutcome::Failed(reason, verdict)
            }
        }
    }

    async fn relay_stream(
        &mut self,
        started: attempt::StartedAttempt,
        sink: &mut response::ResponseSink,
    ) -> forward::RelayOutcome {
        let attempt::StartedAttempt {
            selected,
            connection,
            response,
            body,
            mut guard,
            started_at,
            is_migrated,
        } = started;
        let context = self.context;
        let start = guard.replica_start();
        let replica = selected.clone();
        let mut stream =
            stream::ReplicaStream::new(replica, connection, response, body, start.clone());
        self.splitter.discard_partial();
        let workspace = context.request.workspace.as_ref().map(|rule| &rule.id);
        let window = context.core.settings.times.usage_window;
        let is_first_stream = self.splitter.delivered() == 0;
        let on_first_event = || {
            let now = context.core.now();
            guard.finish_prefill();
            let latency = now.since(started_at);
            context.core.metrics.observe_first_byte(latency);
            context.count_for_rollout(&selected.replica, |state, route, side| {
                state.on_latency(route, side, latency);
            });
            if is_first_stream {
                context.record_origin(&selected);
            }
            let mut state = context.core.state.borrow_mut();
            if is_first_stream {
                let ttft = now.since(started_at);
                state.ttft_estimator.observe(context.service, selected.tokens_ahead, ttft);
            }
            // A stream that resumes from a migrated KV cache was counted as a run at the first
            // replica.
            if let Some(workspace) = workspace.filter(|_| !is_migrated) {
                state.count_run(workspace, window, now);
            }
        };
        let can_migrate = self.can_migrate();
        let should_migrate = || can_migrate && context.core.should_migrate(&selected.replica);
        let end = self.forward_events(&mut stream, sink, on_first_event, should_migrate).await;
        if !matches!(end, stream::StreamEnd::Leaving) {
            return self.finish_stream(stream, end, &start).await;
        }
        let Some(migration) = self.prepare_migration(&selected, &stream.is_stopped) else {
            let end = self.forward_events(&mut stream, sink, || {}, || false).await;
            return self.finish_stream(stream, end, &start).await;
        };
        // The source replica keeps sending events until it is stopped once there is a copy.
        let mut migration = pin::pin!(migration);
        let mut migrated = None;
        let end = {
            let migrating = async {
                migrated = Some(migration.as_mut().await);
                std::future::pending().await
            };
            let forwarding = self.forward_events(&mut stream, sink, || {}, || false);
            futures_lite::future::or(forwarding, migrating).await
        };
        if !matches!(end, stream::StreamEnd::Broken) {
            return self.finish_stream(stream, end, &start).await;
        }
        let migrated = match migrated {
            Some(migrated) => migrated,
            None => match self.await_migration(migration).await {
                Ok(migrated) => migrated,
                Err(other) => return forward::RelayOutcome::TakenOver(other),
            },
        };
        match migrated {
            Some(migrated) => forward::RelayOutcome::Migrated(Box::new(migrated)),
            None => self.finish_stream(stream, end, &start).await,
        }
    }

    /// Waits for the migration of a stream that has ended at its source. Other replicas may take over
    /// meanwhile; the error is the response of the one that does.
    async fn await_migration(
        &mut self,
        mut migration: pin::Pin<&mut impl Future<Output = Option<forward::MigratedStream>>>,
    ) -> Result<Option<forward::MigratedStream>, attempt::StartedResponse> {
        loop {
            let timeout = upstream::MIGRATION_TIMEOUT;
            match pending::next_event(migration.as_mut(), &mut self.pending, timeout).await {
                pending::RequestEvent::Progress(migrated) => return Ok(migrated),
                pending::RequestEvent::Attempt(other, start) => {
                    if let Some(started) = self.end_attempt(&other, start) {
                        return Err(started);
                    }
                }
                pending::RequestEvent::Silence => self.take_over(true),
            }
        }
    }

    /// Returns whether the KV cache of this request can be migrated.
    fn can_migrate(&self) -> bool {
        let state = self.context.core.state.borrow();
        let rule =
            state.policy.as_ref().and_then(|policy| policy.services.get(self.context.service));
        rule.is_some_and(|rule| rule.migrates_kv_cache)
            && self.context.request.metadata.request_id.is_some()
    }

    /// Chooses the best other replica of the stream's software version as the target of its
    /// migration, withdraws a retry from the budget, and returns the future that performs the
    /// migration. Returns `None` if the request has no ID, there is no such replica, or the retry
    /// budget is used up.
    fn prepare_migration(
        &self,
        selected: &selection::SelectedReplica,
        is_stopped: &rc::Rc<cell::Cell<bool>>,
    ) -> Option<impl std::future::Future<Output = Option<forward::MigratedStream>> + use<>> {
        let core = self.context.core.clone();
        let request_id = self.context.request.metadata.request_id.clone()?;
        let source = selected.replica.clone();
        if self.is_suspect() {
            return None;
        }
        let mut state = core.state.borrow_mut();
        // The request is sent to the target only after the copy, when a limit may leave no permit.
        let mut excluded = self.excluded.clone();
        excluded.extend(state.limits.limited_replicas().cloned());
        let query = selection::SelectionQuery {
            service: self.context.service,
            zone: &core.settings.availability_zone,
            prompt: self.context.request.metadata.prompt.as_ref(),
            excluded: &excluded,
            gate: &state.gate(core.now()),
            required_version: &self.required_version,
            includes_silent: false,
            daemon_count: state.live_daemons,
            draw: rand::random(),
        };
        let mut target = selection::choose(&state.replicas, &query)?;
        // The KV cache is migrated, so the target has no prompt tokens to prefill.
        target.uncached_tokens = 0;
        let source_address = state.replicas.get(&source)?.entry.address;
        let target_address = state.replicas.get(&target.replica)?.entry.address;
        if !state.budget(self.context.service, &core.settings.shared).try_withdraw() {
            return None;
        }
        drop(state);
        core.metrics.count_retry(reason::RetryReason::ReplicaLeaving);
        let migration = migration::KvMigration {
            core,
            request_id,
            source,
            source_address,
            target: target.replica.clone(),
            target_address,
            is_stopped: is_stopped.clone(),
        };
        Some(Box::pin(async move {
            let kv_copy = migration.run().await?;
            Some(forward::MigratedStream { selected: target, kv_copy })
        }))
    }

    async fn finish_stream(
        &self,
        stream: stream::ReplicaStream,
        end: stream::StreamEnd,
        start: &crash_probe::ReplicaStart,
    ) -> forward::RelayOutcome {
        let replica = &stream.selected.replica;
        match end {
            stream::StreamEnd::Complete => {
                self.context.record_result(replica, false);
                if let Some(attempt) = self.context.recorded_attempt() {
                    self.context.core.attempts.complete(attempt);
                }
                let status = stream.response.head.status;
                upstream::release(self.context.core, replica, stream.connection, &stream.response);
                forward::RelayOutcome::Ended(forward::RequestOutcome::Answered(status))
            }
            stream::StreamEnd::TakenOver(other) => forward::RelayOutcome::TakenOver(other),
            stream::StreamEnd::CallerGone => {
                forward::RelayOutcome::Ended(forward::RequestOutcome::CallerGone)
            }
            stream::StreamEnd::Broken | stream::StreamEnd::Leaving => {
                self.context.record_result(replica, true);
                let verdict = match stream.has_survived {
                    true => crash::FailureVerdict::MayRepeat,
                    false => self.context.check_crash(start).await,
                };
                forward::RelayOutcome::Failed(reason::RetryReason::ConnectionClosed, verdict)
            }
        }
    }
}
