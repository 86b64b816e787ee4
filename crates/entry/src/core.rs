//! What the tasks of one entry daemon share.

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
use crate::metrics;
use crate::registry;
use crate::settings;
use crate::snapshot;

/// State of one entry daemon.
pub struct EntryCore {
    /// Its settings.
    pub settings: settings::EntrySettings,
    /// Its clock.
    pub clock: time::MonotonicClock,
    /// Its metrics.
    pub metrics: metrics::EntryMetrics,
    /// The kept requests.
    pub registry: registry::RequestRegistry,
    /// Given when the daemon stops.
    pub stopping: server::StopSignal,
    /// When the stop began.
    stopping_since: sync::OnceLock<time::MonotonicTime>,
    /// Given when no new work is taken, also not from a balancer that has not noticed the stop.
    pub closed: server::StopSignal,
    /// Given when the VM of this daemon is about to go.
    pub reclaimed: server::StopSignal,
    /// Given when the daemon ends.
    pub ending: server::StopSignal,
    /// Requests in progress.
    pub in_progress: atomic::AtomicUsize,
    view: ArcSwapOption<snapshot::ViewSnapshot>,
    picker: sync::Mutex<Box<dyn picker::ReplicaPicker>>,
    gate: sync::Mutex<Box<dyn gate::AdmissionGate>>,
    budget: sync::Mutex<budget::RetryBudget>,
    blamed: sync::Mutex<HashMap<id::ReplicaId, time::MonotonicTime>>,
    /// Leaving replicas, with the times at which their streams move.
    leaving: sync::Mutex<HashMap<id::ReplicaId, time::MonotonicTime>>,
}

/// Policies that are chosen when the daemon starts.
pub struct EntryPolicies {
    /// Chooses replicas.
    pub picker: Box<dyn picker::ReplicaPicker>,
    /// Admits requests.
    pub gate: Box<dyn gate::AdmissionGate>,
}

impl EntryCore {
    /// State of a daemon that has no view yet.
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
            closed: server::StopSignal::new(),
            reclaimed: server::StopSignal::new(),
            ending: server::StopSignal::new(),
            in_progress: atomic::AtomicUsize::new(0),
            view: ArcSwapOption::empty(),
            picker: sync::Mutex::new(policies.picker),
            gate: sync::Mutex::new(policies.gate),
            budget: sync::Mutex::new(budget),
            blamed: sync::Mutex::default(),
            leaving: sync::Mutex::default(),
        }
    }

    /// The present instant.
    pub fn now(&self) -> time::MonotonicTime {
        self.clock.now()
    }

    /// The last view, where one came.
    pub fn view(&self) -> Option<Arc<snapshot::ViewSnapshot>> {
        self.view.load_full()
    }

    /// Begins the planned stop.
    pub fn begin_stop(&self) {
        self.stopping_since.get_or_init(|| self.now());
        self.stopping.trigger();
    }

    /// Whether new work is taken: always before a stop, and in the first half of its grace, so that
    /// nobody is refused before the balancer has noticed.
    pub fn takes_work(&self) -> bool {
        let Some(since) = self.stopping_since.get() else { return true };
        let stop = &self.settings.stop;
        let grace = match self.reclaimed.is_triggered() {
            true => stop.grace_ms.min(stop.reclaim_ms),
            false => stop.grace_ms,
        };
        let half = time::Millis::new(grace.get() / 2);
        !self.closed.is_triggered() && self.now().since(*since) < half
    }

    /// Whether the balancer should send new work.
    pub fn is_ready(&self) -> bool {
        !self.stopping.is_triggered() && self.view.load().is_some()
    }

    /// A new request id.
    pub fn new_request_id(&self) -> id::RequestId {
        let unique = uuid::Uuid::now_v7();
        format!("{}:{unique}", self.settings.daemon)
            .parse()
            .expect("a daemon id leaves room for a UUID, as the settings' check says")
    }

    /// Chooses a replica; a blamed one only where no other is left.
    pub fn pick(&self, query: &PickQuery<'_>) -> Option<id::ReplicaId> {
        let snapshot = self.view()?;
        let now = self.now();
        let mut avoid = query.avoid.to_vec();
        avoid.extend(self.blamed_at(now));
        let mut route = picker::RouteQuery {
            service: query.target.service,
            workspace: query.target.workspace,
            prefix: query.target.prefix,
            prompt_tokens: query.target.prompt_tokens,
            excluded: &avoid,
            now,
            seed: rand::rng().random(),
        };
        let mut picker = lock(&self.picker);
        if let Some(choice) = picker.pick(&snapshot.view, &route) {
            return Some(choice.replica);
        }
        route.excluded = query.avoid;
        picker.pick(&snapshot.view, &route).map(|choice| choice.replica)
    }

    /// Tells the routing policy of a dispatch.
    pub fn dispatched(&self, dispatch: &picker::DispatchReport<'_>) {
        lock(&self.picker).on_dispatch(dispatch);
    }

    /// Tells the routing policy of the end of a dispatch.
    pub fn dispatch_finished(&self, finish: &picker::FinishReport<'_>) {
        lock(&self.picker).on_finish(finish);
    }

    /// Tells the routing policy of cache events.
    pub fn cache_events(&self, batch: &picker::CacheBatch<'_>) {
        lock(&self.picker).on_cache_events(batch);
    }

    /// Keeps new requests from a replica for a while.
    pub fn blame(&self, replica: &id::ReplicaId) {
        let until = self.now() + self.settings.upstreams.blame_ms;
        lock(&self.blamed).insert(replica.clone(), until);
    }

    /// Admits a request.
    ///
    /// # Errors
    ///
    /// Says why not, and when a later try can help.
    pub fn admit(
        self: &Arc<Self>,
        request: &gate::AdmissionRequest<'_>,
    ) -> Result<AdmittedRequest, gate::AdmissionRefusal> {
        let slot = ProgressSlot::take(self)?;
        let permit = lock(&self.gate).admit(request)?;
        lock(&self.budget).deposit();
        Ok(AdmittedRequest { core: self.clone(), permit, report: None, _slot: slot })
    }

    /// The gate of one request's retries.
    pub fn retry_gate(&self) -> SharedRetryGate<'_> {
        SharedRetryGate { budget: &self.budget }
    }

    /// Replicas whose streams move now.
    fn left_replicas(&self, now: time::MonotonicTime) -> Vec<id::ReplicaId> {
        let mut leaving = lock(&self.leaving);
        let is_due = |(_, due): &(&id::ReplicaId, &time::MonotonicTime)| **due <= now;
        let left: Vec<_> = leaving.iter().filter(is_due).map(|(id, _)| id.clone()).collect();
        for replica in &left {
            leaving.remove(replica);
        }
        left
    }

    /// Notes the replicas that leave since the last view.
    fn note_leaving(&self, view: &zone::ZoneView, now: time::MonotonicTime) {
        let before = self.view();
        let was_leaving = |id: &id::ReplicaId| {
            let known = before.as_ref().and_then(|snapshot| snapshot.replica(id));
            known.is_some_and(|replica| replica.state != zone::UpstreamState::Live)
        };
        let due = now + self.settings.upstreams.leave_grace_ms;
        let mut leaving = lock(&self.leaving);
        for replica in &view.replicas {
            if replica.state == zone::UpstreamState::Leaving && !was_leaving(&replica.id) {
                leaving.insert(replica.id.clone(), due);
            }
        }
    }

    /// Stops the daemon where its VM is about to go.
    fn note_own_state(&self, view: &zone::ZoneView) {
        let Some(cause) = self.own_stop(view) else { return };
        if !self.stopping.is_triggered() {
            log_event!(event::LogEvent::ProcessStopping, cause = format!("{cause:?}"));
            self.begin_stop();
        }
        if cause == zone::StopCause::Reclaim && !self.reclaimed.is_triggered() {
            log_event!(event::LogEvent::ReclaimNoticed, vm = self.settings.vm);
            self.reclaimed.trigger();
        }
    }

    /// Why the daemon's VM is to stop. A view without a cause is a file that tells states alone.
    fn own_stop(&self, view: &zone::ZoneView) -> Option<zone::StopCause> {
        let own = view.daemons.iter().find(|daemon| daemon.id == self.settings.daemon);
        let is_leaving = own.is_some_and(|own| own.state == zone::UpstreamState::Leaving);
        view.own_stop.or(is_leaving.then_some(zone::StopCause::Reclaim))
    }

    fn blamed_at(&self, now: time::MonotonicTime) -> Vec<id::ReplicaId> {
        let mut blamed = lock(&self.blamed);
        blamed.retain(|_, until| *until > now);
        blamed.keys().cloned().collect()
    }
}

/// Where a request is to go.
#[derive(Clone, Copy, Debug)]
pub struct PickQuery<'a> {
    /// What is to be served.
    pub target: RouteTarget<'a>,
    /// Replicas that were tried already.
    pub avoid: &'a [id::ReplicaId],
}

/// What is to be served.
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
        self.note_leaving(&view, now);
        self.note_own_state(&view);
        let before = self.view.load().as_ref().map(|snapshot| snapshot.view.records.revision);
        if before != Some(revision) {
            log_event!(event::LogEvent::RevisionInForce, revision = revision);
        }
        self.view.store(Some(Arc::new(snapshot::ViewSnapshot::new(view, now))));
    }

    fn expire_requests(&self) {
        let now = self.now();
        let size = self.registry.sweep(now);
        self.metrics.kept_requests.set(size.requests as i64);
        self.metrics.kept_bytes.set(size.bytes as i64);
        let in_progress = self.in_progress.load(atomic::Ordering::Relaxed);
        self.metrics.in_progress.set(in_progress as i64);
        self.metrics.ready.set(i64::from(self.is_ready()));
        let limit = self.settings.kept.abandon_after_ms;
        let left = self.left_replicas(now);
        for kept in self.registry.in_progress() {
            for replica in &left {
                kept.command(kept::RunCommand::LeaveReplica(replica.clone()));
            }
            if kept.is_abandoned(now, limit) {
                log_event!(event::LogEvent::CallerGone, request = kept.head.id);
                kept.command(kept::RunCommand::Abandon);
            }
        }
    }
}

/// A request that was admitted; it is given back when dropped.
pub struct AdmittedRequest {
    core: Arc<EntryCore>,
    permit: gate::PermitId,
    report: Option<gate::PermitReport>,
    _slot: ProgressSlot,
}

impl AdmittedRequest {
    /// Sets how the request ended.
    pub fn report(&mut self, outcome: gate::PermitOutcome, first: Option<time::Millis>) {
        self.report = Some(gate::PermitReport { outcome, latency: first, now: self.core.now() });
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

/// One request in progress, counted while it lives.
struct ProgressSlot {
    core: Arc<EntryCore>,
}

impl ProgressSlot {
    fn take(core: &Arc<EntryCore>) -> Result<Self, gate::AdmissionRefusal> {
        let before = core.in_progress.fetch_add(1, atomic::Ordering::Relaxed);
        let slot = ProgressSlot { core: core.clone() };
        if before < core.settings.callers.max_in_progress as usize {
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

/// The daemon's retry budget and its source of randomness.
pub struct SharedRetryGate<'a> {
    budget: &'a sync::Mutex<budget::RetryBudget>,
}

impl policy::RetryContext for SharedRetryGate<'_> {
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
