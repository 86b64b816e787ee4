//! State shared by the tasks of one entry daemon.

use std::collections::HashMap;
use std::sync;
use std::sync::Arc;
use std::sync::atomic;

use arc_swap::ArcSwapOption;
use rand::Rng as _;
use samphiremoor_base::event;
use samphiremoor_base::id;
use samphiremoor_base::log_event;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_control::sink;
use samphiremoor_httpio::server;
use samphiremoor_limits::gate;
use samphiremoor_requests::backoff;
use samphiremoor_requests::budget;
use samphiremoor_requests::policy;
use samphiremoor_routing::picker;
use samphiremoor_view::zone;

use crate::kept;
use crate::message_quarantine;
use crate::metrics;
use crate::registry;
use crate::settings;
use crate::snapshot;
use crate::upstream_path;
use crate::upstream_state;

/// Shared state of one entry daemon.
pub struct EntryCore {
    /// Settings of the daemon.
    pub settings: settings::EntrySettings,
    /// Monotonic clock of the daemon.
    pub clock: time::MonotonicClock,
    /// Metrics of the daemon.
    pub metrics: metrics::EntryMetrics,
    /// The kept requests.
    pub registry: registry::RequestRegistry,
    /// Triggered when the planned stop begins.
    pub stopping: server::StopSignal,
    /// When the planned stop began.
    stopping_since: sync::OnceLock<time::MonotonicTime>,
    /// Triggered when the daemon refuses all new requests, including those that the load balancer
    /// still sends because it has not noticed the stop.
    pub intake_closed: server::StopSignal,
    /// Triggered when the daemon's VM is about to be reclaimed.
    pub reclaimed: server::StopSignal,
    /// Triggered when the daemon shuts down.
    pub shutdown: server::StopSignal,
    /// Number of requests in progress.
    pub in_progress: atomic::AtomicUsize,
    /// Number of calls whose response is not written to its end.
    pub open_responses: Arc<atomic::AtomicUsize>,
    /// Number of keyed calls that run here, for the callers of all daemons.
    pub keyed_runs: Arc<atomic::AtomicUsize>,
    /// Paths from this daemon to upstreams.
    pub paths: upstream_path::UpstreamPaths,
    /// Number of connections of other daemons that this one relays.
    pub relayed_tunnels: Arc<atomic::AtomicUsize>,
    /// Calls and messages under which upstreams crash.
    pub quarantine: message_quarantine::MessageQuarantine,
    /// The latest view; empty before the first one.
    view: ArcSwapOption<snapshot::ViewSnapshot>,
    picker: sync::Mutex<Box<dyn picker::ReplicaPicker>>,
    gate: sync::Mutex<Box<dyn gate::AdmissionGate>>,
    budget: sync::Mutex<budget::RetryBudget>,
    /// What keeps calls away from upstreams for a while.
    pub upstreams: upstream_state::UpstreamStates,
    /// Leaving replicas, with the times at which their streams migrate.
    leaving: sync::Mutex<HashMap<id::ReplicaId, time::MonotonicTime>>,
}

/// Routing and admission policies, set when the daemon starts.
pub struct EntryPolicies {
    /// Selects replicas.
    pub picker: Box<dyn picker::ReplicaPicker>,
    /// Admits requests.
    pub gate: Box<dyn gate::AdmissionGate>,
}

impl EntryCore {
    /// Creates the state of a daemon that has no view yet.
    pub fn new(settings: settings::EntrySettings, policies: EntryPolicies) -> Self {
        let limits = registry::RegistryLimits {
            max_bytes: settings.kept.max_bytes,
            retention: settings.kept.retention_ms,
        };
        let budget = budget::RetryBudget::new(settings.budget_policy());
        EntryCore {
            settings,
            clock: time::MonotonicClock::start(),
            metrics: metrics::EntryMetrics::new(),
            registry: registry::RequestRegistry::new(limits),
            stopping: server::StopSignal::new(),
            stopping_since: sync::OnceLock::new(),
            intake_closed: server::StopSignal::new(),
            reclaimed: server::StopSignal::new(),
            shutdown: server::StopSignal::new(),
            in_progress: atomic::AtomicUsize::new(0),
            open_responses: Arc::default(),
            keyed_runs: Arc::default(),
            paths: upstream_path::UpstreamPaths::default(),
            relayed_tunnels: Arc::default(),
            quarantine: message_quarantine::MessageQuarantine::default(),
            view: ArcSwapOption::empty(),
            picker: sync::Mutex::new(policies.picker),
            gate: sync::Mutex::new(policies.gate),
            budget: sync::Mutex::new(budget),
            upstreams: upstream_state::UpstreamStates::default(),
            leaving: sync::Mutex::default(),
        }
    }

    /// Returns the current time of the daemon's clock.
    pub fn now(&self) -> time::MonotonicTime {
        self.clock.now()
    }

    /// Returns the latest view, or `None` before the first one.
    pub fn view(&self) -> Option<Arc<snapshot::ViewSnapshot>> {
        self.view.load_full()
    }

    /// Begins the planned stop.
    pub fn begin_stop(&self) {
        self.stopping_since.get_or_init(|| self.now());
        self.stopping.trigger();
    }

    /// Returns whether new requests are accepted: always before a planned stop, and in the first
    /// half of its grace period, so that no caller is refused before the load balancer has noticed
    /// the stop.
    pub fn accepts_requests(&self) -> bool {
        let Some(since) = self.stopping_since.get() else { return true };
        let stop = &self.settings.stop;
        let grace = match self.reclaimed.is_triggered() {
            true => stop.grace_ms.min(stop.reclaim_ms),
            false => stop.grace_ms,
        };
        let half_grace = time::Millis::new(grace.get() / 2);
        !self.intake_closed.is_triggered() && self.now().since(*since) < half_grace
    }

    /// Returns whether the load balancer should send new requests.
    pub fn is_ready(&self) -> bool {
        !self.stopping.is_triggered() && self.view.load().is_some()
    }

    /// Returns a new request id.
    pub fn new_request_id(&self) -> id::RequestId {
        let unique = uuid::Uuid::now_v7();
        format!("{}:{unique}", self.settings.daemon)
            .parse()
            .expect("the settings check ensures that the daemon id leaves room for a UUID")
    }

    /// Selects a replica. Suspended replicas are considered only if no other one is left, and those that
    /// asked for a pause not at all.
    ///
    /// # Errors
    ///
    /// Without a replica, returns the time after which one may be selected whose pause has ended, if
    /// there is one.
    pub fn select_replica(
        &self,
        query: &SelectionQuery<'_>,
    ) -> Result<id::ReplicaId, Option<time::Millis>> {
        let snapshot = self.view().ok_or(None)?;
        let now = self.now();
        let held = self.upstreams.held(now);
        let mut allowed = query.excluded.to_vec();
        allowed.extend(held.paused.iter().map(|(replica, _)| replica.clone()));
        let mut excluded = allowed.clone();
        excluded.extend(held.avoided);
        let mut route = picker::RouteQuery {
            service: query.target.service,
            workspace: query.target.workspace,
            prefix: query.target.prefix,
            prompt_tokens: query.target.prompt_tokens,
            excluded: &excluded,
            now,
            seed: rand::rng().random(),
        };
        let mut picker = lock(&self.picker);
        for excluded in [&excluded, &allowed] {
            route.excluded = excluded;
            if let Some(choice) = picker.pick(&snapshot.view, &route) {
                return Ok(choice.replica);
            }
        }
        let mut paused = held.paused;
        paused.sort_by_key(|(_, until)| *until);
        for (replica, until) in &paused {
            let others: Vec<_> =
                allowed.iter().filter(|other| *other != replica).cloned().collect();
            let route = picker::RouteQuery { excluded: &others, ..route.clone() };
            if !query.excluded.contains(replica) && picker.pick(&snapshot.view, &route).is_some() {
                return Err(Some(until.since(now)));
            }
        }
        Err(None)
    }

    /// Reports a dispatch to the routing policy.
    pub fn report_dispatch(&self, dispatch: &picker::DispatchReport<'_>) {
        self.upstreams.on_sent(dispatch.replica, dispatch.now);
        lock(&self.picker).on_dispatch(dispatch);
    }

    /// Reports the end of a dispatch to the routing policy.
    pub fn report_finish(&self, finish: &picker::FinishReport<'_>) {
        if finish.outcome == picker::FinishOutcome::Complete {
            self.upstreams.on_answer(finish.replica, finish.dispatched_at);
        }
        lock(&self.picker).on_finish(finish);
    }

    /// Reports cache events to the routing policy.
    pub fn report_cache_events(&self, batch: &picker::CacheBatch<'_>) {
        lock(&self.picker).on_cache_events(batch);
    }

    /// Suspends a replica: others get new requests for `upstreams.blame_ms`, if there are any.
    pub fn suspend_replica(&self, replica: &id::ReplicaId) {
        self.upstreams.avoid(replica, self.now() + self.settings.upstreams.blame_ms);
    }

    /// Admits a request.
    ///
    /// # Errors
    ///
    /// Returns the refusal with its reason and retry-after.
    pub fn admit(
        self: &Arc<Self>,
        request: &gate::AdmissionRequest<'_>,
    ) -> Result<AdmittedRequest, gate::AdmissionRefusal> {
        let slot = ProgressSlot::take(self)?;
        let permit = lock(&self.gate).admit(request)?;
        lock(&self.budget).deposit();
        Ok(AdmittedRequest { core: self.clone(), permit, report: None, _slot: slot })
    }

    /// Returns a retry context, which withdraws from the daemon's retry budget.
    pub fn retry_context(&self) -> SharedRetryContext<'_> {
        SharedRetryContext { budget: &self.budget }
    }

    /// Removes and returns the leaving replicas whose streams migrate now.
    fn take_due_migrations(&self, now: time::MonotonicTime) -> Vec<id::ReplicaId> {
        let mut leaving = lock(&self.leaving);
        let is_due = |(_, due): &(&id::ReplicaId, &time::MonotonicTime)| **due <= now;
        let due_replicas: Vec<_> =
            leaving.iter().filter(is_due).map(|(id, _)| id.clone()).collect();
        for replica in &due_replicas {
            leaving.remove(replica);
        }
        due_replicas
    }

    /// Records the replicas that started to leave since the last view.
    fn record_leaving(&self, view: &zone::ZoneView, now: time::MonotonicTime) {
        let previous = self.view();
        let was_leaving = |id: &id::ReplicaId| {
            let previous_replica = previous.as_ref().and_then(|snapshot| snapshot.replica(id));
            previous_replica.is_some_and(|replica| replica.state != zone::UpstreamState::Live)
        };
        let due = now + self.settings.upstreams.leave_grace_ms;
        let mut leaving = lock(&self.leaving);
        for replica in &view.replicas {
            if replica.state == zone::UpstreamState::Leaving && !was_leaving(&replica.id) {
                leaving.insert(replica.id.clone(), due);
            }
        }
    }

    /// Begins the planned stop if the daemon's own VM is drained or reclaimed.
    fn check_local_vm(&self, view: &zone::ZoneView) {
        let Some(cause) = self.local_stop_cause(view) else { return };
        if !self.stopping.is_triggered() {
            log_event!(event::LogEvent::ProcessStopping, cause = format!("{cause:?}"));
            self.begin_stop();
        }
        if cause == zone::StopCause::Reclaim && !self.reclaimed.is_triggered() {
            log_event!(event::LogEvent::ReclaimNoticed, vm = self.settings.vm);
            self.reclaimed.trigger();
        }
    }

    /// Returns why the daemon's own VM stops, if it does. A view from a file may have the state
    /// `Leaving` without a cause, which counts as a reclaim.
    fn local_stop_cause(&self, view: &zone::ZoneView) -> Option<zone::StopCause> {
        let local = view.daemons.iter().find(|daemon| daemon.id == self.settings.daemon);
        let is_leaving = local.is_some_and(|local| local.state == zone::UpstreamState::Leaving);
        view.own_stop.or(is_leaving.then_some(zone::StopCause::Reclaim))
    }
}

/// Query for a replica that serves a request.
#[derive(Clone, Copy, Debug)]
pub struct SelectionQuery<'a> {
    /// Request to be routed.
    pub target: RouteTarget<'a>,
    /// Replicas that must not be selected, because they were tried already.
    pub excluded: &'a [id::ReplicaId],
}

/// Request to be routed.
#[derive(Clone, Copy, Debug)]
pub struct RouteTarget<'a> {
    /// Record of the service.
    pub service: &'a samphiremoor_records::set::ServiceRecord,
    /// The caller's workspace.
    pub workspace: &'a id::WorkspaceId,
    /// Hashes of the prompt's blocks.
    pub prefix: &'a [samphiremoor_routing::prefix::PrefixHash],
    /// Length of the prompt.
    pub prompt_tokens: samphiremoor_base::quantity::TokenCount,
}

impl sink::ViewSink for EntryCore {
    fn publish(&self, view: Arc<zone::ZoneView>) {
        let now = self.now();
        let revision = view.records.revision;
        lock(&self.gate).configure(&view, now);
        let mut picker = lock(&self.picker);
        for replica in &view.replicas {
            picker.on_load_report(&replica.id, &replica.load, now);
        }
        drop(picker);
        self.metrics.revision.set(i64::try_from(revision.get()).unwrap_or(i64::MAX));
        self.record_leaving(&view, now);
        self.upstreams.update(&view, now);
        self.check_local_vm(&view);
        let previous_revision =
            self.view.load().as_ref().map(|snapshot| snapshot.view.records.revision);
        if previous_revision != Some(revision) {
            log_event!(event::LogEvent::RevisionInForce, revision = revision);
        }
        self.view.store(Some(Arc::new(snapshot::ViewSnapshot::new(view, now))));
    }

    fn expire_requests(&self) {
        let now = self.now();
        let size = self.registry.remove_expired(now);
        self.metrics.kept_requests.set(size.requests as i64);
        self.metrics.kept_bytes.set(size.bytes as i64);
        let in_progress = self.in_progress.load(atomic::Ordering::Relaxed);
        self.metrics.in_progress.set(in_progress as i64);
        self.metrics.ready.set(i64::from(self.is_ready()));
        let abandon_after = self.settings.kept.abandon_after_ms;
        let due_replicas = self.take_due_migrations(now);
        for kept in self.registry.in_progress() {
            for replica in &due_replicas {
                kept.send_command(kept::RunCommand::LeaveReplica(replica.clone()));
            }
            if kept.is_abandoned(now, abandon_after) {
                log_event!(event::LogEvent::CallerGone, request = kept.info.id);
                kept.send_command(kept::RunCommand::Abandon);
            }
        }
    }
}

/// An admitted request. Dropping it releases the admission permit.
pub struct AdmittedRequest {
    core: Arc<EntryCore>,
    permit: gate::PermitId,
    report: Option<gate::PermitReport>,
    _slot: ProgressSlot,
}

impl AdmittedRequest {
    /// Sets what is reported to the admission policy on drop: the outcome, and the time to the first
    /// token or to a plain service's response.
    pub fn set_report(&mut self, outcome: gate::PermitOutcome, latency: Option<time::Millis>) {
        self.report = Some(gate::PermitReport { outcome, latency, now: self.core.now() });
    }
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        let cancelled = gate::PermitReport {
            outcome: gate::PermitOutcome::Cancelled,
            latency: None,
            now: self.core.now(),
        };
        let report = self.report.unwrap_or(cancelled);
        lock(&self.core.gate).release(self.permit, &report);
    }
}

/// A counted request in progress. Dropping it decrements the counter.
struct ProgressSlot {
    core: Arc<EntryCore>,
}

impl ProgressSlot {
    fn take(core: &Arc<EntryCore>) -> Result<Self, gate::AdmissionRefusal> {
        let previous = core.in_progress.fetch_add(1, atomic::Ordering::Relaxed);
        let slot = ProgressSlot { core: core.clone() };
        if previous < core.settings.callers.max_in_progress as usize {
            return Ok(slot);
        }
        Err(gate::AdmissionRefusal {
            reason: reason::RefusalReason::TooManyRequests,
            retry_after: core.settings.callers.retry_after_ms,
        })
    }
}

impl Drop for ProgressSlot {
    fn drop(&mut self) {
        self.core.in_progress.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

/// Adds one to a count until dropped.
pub struct CountGuard(Arc<atomic::AtomicUsize>);

impl CountGuard {
    /// Adds one to the count.
    pub fn new(count: &Arc<atomic::AtomicUsize>) -> Self {
        count.fetch_add(1, atomic::Ordering::Relaxed);
        CountGuard(count.clone())
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

/// Retry context that shares the daemon's retry budget.
pub struct SharedRetryContext<'a> {
    budget: &'a sync::Mutex<budget::RetryBudget>,
}

impl policy::RetryContext for SharedRetryContext<'_> {
    fn try_withdraw(&mut self) -> bool {
        lock(self.budget).try_withdraw()
    }

    fn draw_jitter(&mut self) -> backoff::JitterDraw {
        backoff::JitterDraw::new(rand::rng().random())
    }
}

fn lock<T: ?Sized>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
