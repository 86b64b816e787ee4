//! State that all tasks of the daemon share. All tasks run on one thread.

use std::cell;
use std::collections;
use std::fmt;
use std::net::SocketAddr;
use std::rc;
use std::sync;

use async_std::channel;
use rustix::process;
use samphiremoor_base::event;
use samphiremoor_base::id;
use samphiremoor_base::log_event;
use samphiremoor_base::pause_watch;
use samphiremoor_base::quantity;
use samphiremoor_base::rate;
use samphiremoor_base::time;
use samphiremoor_fleet::admission;
use samphiremoor_fleet::body_budget;
use samphiremoor_fleet::clock_instant;
use samphiremoor_fleet::decay;
use samphiremoor_fleet::digest;
use samphiremoor_fleet::document_fetch;
use samphiremoor_fleet::entry_copy;
use samphiremoor_fleet::limit;
use samphiremoor_fleet::policy;
use samphiremoor_fleet::quarantine;
use samphiremoor_fleet::quota;
use samphiremoor_fleet::reachability;
use samphiremoor_fleet::replica;
use samphiremoor_fleet::send_gate;
use samphiremoor_fleet::send_state;
use samphiremoor_fleet::usage;
use samphiremoor_fleet::version_history;
use samphiremoor_fleet::wall_clock;
use samphiremoor_requests::budget;

use crate::adapter;
use crate::attempt_exchange;
use crate::crash_probe;
use crate::dialer;
use crate::idle;
use crate::lease_state;
use crate::metrics;
use crate::relay_directory;
use crate::rollout_states;
use crate::served_document;
use crate::settings;
use crate::shutdown;
use crate::steady_clock;

/// Fraction of the retry ratio shared by all daemons that is used. The rest covers requests at a
/// window's edge, which are counted late.
const RETRY_RATIO_FRACTION: f64 = 0.85;
/// Fraction of the retry slack that all daemons together use. The rest covers daemons that restart
/// or join.
const RETRY_SLACK_FRACTION: f64 = 0.6;
/// Time for which digests repeat a replica's departure. It exceeds the time after which peers learn
/// of the departure from the table.
const DEPARTURE_REPEAT_TIME: time::Millis = time::Millis::new(5_000);

/// Time after the stop signal in which requests are still accepted: the load balancer probes once a
/// second and removes a daemon after two failed probes. A request that arrives later could not
/// finish before the process is killed.
pub const DRAIN_ACCEPT_TIME: time::Millis = time::Millis::new(3_000);

/// State that all tasks of the daemon share.
pub struct GatewayCore {
    /// Settings read at startup.
    pub settings: settings::GatewaySettings,
    /// Adapter to the deployment's protocols.
    pub adapter: adapter::DeploymentAdapter,
    /// Opens connections to replicas.
    pub dialer: sync::Arc<dyn dialer::ReplicaDialer>,
    /// Clock of this daemon.
    pub clock: steady_clock::SteadyClock,
    /// Incarnation of this daemon.
    pub incarnation: quantity::Incarnation,
    /// Metrics of this daemon.
    pub metrics: metrics::GatewayMetrics,
    /// Ends the waits for a next request on callers' connections.
    pub idle_shutdown: shutdown::IdleShutdown,
    /// Ends the requests in progress shortly before the process is killed.
    pub forced_stop: shutdown::StopSignal,
    /// Signal that ends the acceptance of callers' connections.
    pub accept_stop: shutdown::StopSignal,
    /// Records of the attempts that began streams.
    pub attempts: attempt_exchange::AttemptExchange,
    /// The daemons that may relay connections to replicas.
    pub relays: relay_directory::RelayDirectory,
    /// Whether this daemon or a peer holds the duty lease.
    pub lease_state: lease_state::LeaseState,
    /// State that changes at run time.
    pub state: cell::RefCell<CoreState>,
}

/// State that changes at run time.
pub struct CoreState {
    /// The policy in force; `None` until one was read.
    pub policy: Option<sync::Arc<policy::ServingPolicy>>,
    /// Document of the policy, served to peers.
    pub document: served_document::ServedDocument,
    /// Bounds the reads of the document that are served at once.
    pub uploads: document_fetch::UploadLimit,
    /// Whether no peer serves a newer document that one has announced, so that it is read from the
    /// table.
    pub is_document_stalled: bool,
    /// Known replicas.
    pub replicas: replica::ReplicaTable,
    /// Rate limits of workspaces.
    pub quota: quota::QuotaLimiter,
    /// Estimator of the time to first token (TTFT).
    pub ttft_estimator: admission::TtftEstimator,
    /// Number of runs by usage window.
    pub usage: usage::UsageCounter,
    /// Usage reports that a holder of the duty lease decided.
    pub decided_reports: usage::DecidedReports,
    /// Estimate of the wall-clock time from the clocks of all daemons.
    pub wall_clock: wall_clock::ClockEstimate,
    /// Software versions of each service.
    pub versions: version_history::VersionHistory,
    /// Limits that replicas named.
    pub limits: limit::LimitTable,
    /// Crashes of replicas and what is quarantined for them.
    pub quarantine: quarantine::QuarantineTable,
    /// Recent probes of replicas that may have crashed.
    pub crash_probes: collections::HashMap<id::ReplicaId, crash_probe::CrashProbe>,
    /// Paths from this daemon to replicas.
    pub paths: reachability::PathTable,
    /// Number of connections of other daemons that this one relays.
    pub relayed_tunnels: u32,
    /// Values in responses of replicas that are ignored, as they were logged last, by what they name.
    ignored_values: collections::BTreeMap<(id::ReplicaId, &'static str), sync::Arc<str>>,
    /// Pauses of this process.
    pub pauses: pause_watch::PauseWatch,
    /// Pool of idle connections to replicas.
    pub idle_pool: idle::IdlePool,
    /// When the daemon was instructed to stop.
    pub stopping_since: Option<time::MonotonicTime>,
    /// The peer that reads the replica entries for this daemon; `None` if this daemon reads them
    /// itself.
    pub table_reader: Option<TableReader>,
    /// When the last successful read of the entries from the table began; `None` if there was none since
    /// this daemon last followed another one.
    pub table_read_at: Option<time::MonotonicTime>,
    /// The peer that reads the policy for this daemon; `None` if this daemon reads it itself.
    pub policy_reader: Option<PolicyReader>,
    /// When the policy was last known to be the table's, by an own read; `None` if the last one failed.
    pub policy_read_at: Option<time::MonotonicTime>,
    /// Number of live daemons, including this one.
    pub live_daemons: u32,
    /// Number of requests in progress.
    pub in_progress: u32,
    /// Replicas that recently departed, with the time and their incarnations.
    pub departures: Vec<(time::MonotonicTime, id::ReplicaId, quantity::Incarnation)>,
    /// Rollouts of services' software.
    pub rollouts: rollout_states::RolloutStates,
    /// Time after which all daemons know of an event at one of them.
    pub propagation: time::Millis,
    /// Exponentially decayed sum of prompt tokens to prefill, by service.
    pub prompt_sums: collections::HashMap<id::ServiceId, decay::DecayingSum>,
    /// Received bytes and connections of callers.
    pub body_budget: body_budget::BodyBudget,
    /// Signals that drop callers' connections; a signal is given by removing its sender.
    pub drop_signals: collections::HashMap<body_budget::ReceiverId, channel::Sender<()>>,
    /// Bytes of the large bodies of responses that are read whole.
    pub response_bytes: u64,
    /// Prompt rates that each peer last reported, and when.
    peer_prompt_rates:
        collections::HashMap<id::DaemonId, (time::MonotonicTime, Vec<digest::ServiceDemand>)>,
    /// Retry budgets by service.
    budgets: collections::HashMap<id::ServiceId, budget::RetryBudget>,
}

/// A peer that reads the replica entries for this daemon.
#[derive(Clone, Debug)]
pub struct TableReader {
    /// Address at which the peer serves its entries.
    pub address: SocketAddr,
    /// The peer's entries.
    pub entries: entry_copy::OfferedEntries,
    /// When the peer's last read of the table began.
    pub read_at: time::MonotonicTime,
    /// When that read is too old for this daemon to rely on it.
    pub valid_until: time::MonotonicTime,
}

/// A peer that reads the policy for this daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PolicyReader {
    /// Address of the peer.
    pub address: SocketAddr,
    /// When the peer's last read is too old for this daemon to rely on it.
    pub valid_until: time::MonotonicTime,
}

/// Time constant with which the prompt token sums decay; a sum falls to about a third in this time.
const PROMPT_DECAY_TIME: time::Millis = time::Millis::new(2_000);

/// Time for which a peer's last reported prompt rates count.
const PEER_PROMPT_RATE_TTL: time::Millis = time::Millis::new(3_000);

impl GatewayCore {
    /// Creates the state of a daemon that has read no policy and no entries.
    pub fn new(
        settings: settings::GatewaySettings,
        adapter: adapter::DeploymentAdapter,
    ) -> rc::Rc<Self> {
        GatewayCore::with_dialer(settings, adapter, sync::Arc::new(dialer::TcpDialer))
    }

    /// Creates the state of a daemon that opens connections to replicas with `dialer`.
    pub fn with_dialer(
        settings: settings::GatewaySettings,
        adapter: adapter::DeploymentAdapter,
        dialer: sync::Arc<dyn dialer::ReplicaDialer>,
    ) -> rc::Rc<Self> {
        let clock = steady_clock::SteadyClock;
        let now = clock.now();
        let wall_clock = wall_clock::ClockEstimate::new(clock.unix_ms(), now);
        // Incarnations of one daemon differ by start time and process ID, so they stay distinct
        // after a backward jump of the clock.
        let incarnation = quantity::Incarnation::new(
            u64::try_from(clock.unix_ms()).unwrap_or(0) * 1_000
                + u64::from(std::process::id() % 1_000),
        );
        let state = CoreState {
            policy: None,
            document: served_document::ServedDocument::default(),
            uploads: document_fetch::UploadLimit::default(),
            is_document_stalled: false,
            replicas: replica::ReplicaTable::new(settings.times.departure_budget()),
            quota: quota::QuotaLimiter::new(settings.shared.quota_tolerance()),
            ttft_estimator: admission::TtftEstimator::default(),
            usage: usage::UsageCounter::new(settings.daemon.clone(), incarnation),
            decided_reports: usage::DecidedReports::default(),
            wall_clock,
            versions: version_history::VersionHistory::default(),
            limits: limit::LimitTable::new(now),
            quarantine: quarantine::QuarantineTable::new(settings.daemon.clone()),
            crash_probes: collections::HashMap::new(),
            paths: reachability::PathTable::default(),
            relayed_tunnels: 0,
            ignored_values: collections::BTreeMap::new(),
            pauses: pause_watch::PauseWatch::default(),
            idle_pool: idle::IdlePool::default(),
            stopping_since: None,
            table_reader: None,
            table_read_at: None,
            policy_reader: None,
            policy_read_at: None,
            live_daemons: 1,
            in_progress: 0,
            departures: Vec::new(),
            rollouts: rollout_states::RolloutStates::new(now),
            propagation: time::Millis::default(),
            prompt_sums: collections::HashMap::new(),
            body_budget: body_budget::BodyBudget::new(
                settings
                    .shared
                    .budget_limits(process::getrlimit(process::Resource::Nofile).current),
            ),
            drop_signals: collections::HashMap::new(),
            response_bytes: 0,
            peer_prompt_rates: collections::HashMap::new(),
            budgets: collections::HashMap::new(),
        };
        rc::Rc::new(GatewayCore {
            settings,
            adapter,
            dialer,
            clock,
            incarnation,
            metrics: metrics::GatewayMetrics::default(),
            idle_shutdown: shutdown::IdleShutdown::default(),
            forced_stop: shutdown::StopSignal::default(),
            accept_stop: shutdown::StopSignal::default(),
            attempts: attempt_exchange::AttemptExchange::default(),
            relays: relay_directory::RelayDirectory::default(),
            lease_state: lease_state::LeaseState::default(),
            state: cell::RefCell::new(state),
        })
    }

    /// Returns the current instant.
    pub fn now(&self) -> time::MonotonicTime {
        self.clock.now()
    }

    /// Returns an ID that names a transaction in logs.
    pub fn write_id(&self) -> id::WriteId {
        let text = format!("{}-{}", self.settings.daemon, self.now().get());
        // A daemon's name is a valid identifier, and so is the name with a number appended.
        text.parse().unwrap_or_else(|_| "write".parse().expect("the text is an identifier"))
    }

    /// Returns whether the daemon was instructed to stop.
    pub fn is_stopping(&self) -> bool {
        self.state.borrow().stopping_since.is_some()
    }

    /// Ends the waits for a next request on callers' connections, which then close.
    ///
    /// A connection on which a request has already arrived serves it first. Shutting down the
    /// socket instead would drop a request that is received but not yet read. A wait that has only
    /// begun lasts [`shutdown::IDLE_TIME_MIN`].
    pub fn close_idle_connections(&self) {
        self.idle_shutdown.start();
    }

    /// Returns whether the daemon can serve requests.
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        state.stopping_since.is_none()
            && state.policy.is_some()
            && state.replicas.iter().next().is_some()
    }

    /// Returns whether the daemon was instructed to stop at least [`DRAIN_ACCEPT_TIME`] ago and
    /// accepts no more requests.
    pub fn refuses_requests(&self) -> bool {
        let stopping_since = self.state.borrow().stopping_since;
        stopping_since
            .is_some_and(|stopping_since| self.now().since(stopping_since) >= DRAIN_ACCEPT_TIME)
    }

    /// Returns whether streams in progress on a replica should migrate to another one.
    pub fn should_migrate(&self, replica: &id::ReplicaId) -> bool {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state
            .replicas
            .get_mut(replica)
            .is_some_and(|known_replica| known_replica.should_migrate(now))
    }

    /// Returns whether the replica that was chosen at this address may still get the request: it is
    /// known there and has not asked otherwise since.
    pub fn accepts_requests(&self, replica: &id::ReplicaId, address: SocketAddr) -> bool {
        let state = self.state.borrow();
        let known_replica = state.replicas.get(replica);
        let gate = state.gate(self.now());
        known_replica.is_some_and(|known_replica| {
            known_replica.entry.address == address
                && gate.chosen_verdict(known_replica) == send_state::SendVerdict::Allowed
        })
    }

    /// Returns the revision of the policy in force; 0 if there is none.
    pub fn revision(&self) -> quantity::RevisionNumber {
        self.state.borrow().revision()
    }

    /// Puts a policy in force unless the current one is as new. `source` is logged as its origin.
    pub fn apply_policy(&self, update: adapter::PolicyUpdate, source: &str) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let current_revision = state.revision();
        if update.policy.revision <= current_revision {
            return;
        }
        let policy = sync::Arc::new(update.policy);
        state.quota.configure(policy.workspaces(), now);
        log_event!(
            event::LogEvent::RevisionInForce,
            revision = policy.revision,
            before = current_revision,
            source = source,
        );
        state.document = served_document::ServedDocument::new(policy.revision, update.text);
        state.policy = Some(policy);
    }

    /// Observes the limit that a response of a replica names; its request was sent at `sent_at`.
    pub fn observe_limit(
        &self,
        replica: &id::ReplicaId,
        named_limit: &adapter::NamedLimit,
        sent_at: time::MonotonicTime,
    ) {
        let mut state = self.state.borrow_mut();
        if *named_limit == adapter::NamedLimit::Absent && !state.limits.contains(replica) {
            return;
        }
        let instant = state.clock_instant(self.now());
        let rate = match named_limit {
            adapter::NamedLimit::Absent => None,
            adapter::NamedLimit::Rate(rate) => Some(*rate),
            adapter::NamedLimit::Invalid(value, cause) => {
                if state.is_new_ignored(replica, "limit", value) {
                    log_event!(
                        event::LogEvent::LimitRefused,
                        replica = replica,
                        value = format_args!("{value:?}"),
                        cause = cause,
                    );
                }
                None
            }
        };
        let change = state.limits.observe_response(replica, rate, sent_at, instant);
        drop(state);
        log_limit_change(replica, change, "response");
    }

    /// Observes what a response of a start of a replica says besides its result.
    pub fn observe_announcements(
        &self,
        start: &crash_probe::ReplicaStart,
        metadata: &adapter::ResponseMetadata,
    ) {
        if metadata.is_other_replica {
            return;
        }
        match &metadata.departure {
            adapter::NamedDeparture::Absent => {}
            adapter::NamedDeparture::Leaving => {
                let change = self.state.borrow_mut().replicas.on_response_departure(
                    &start.replica,
                    start.incarnation,
                    start.address,
                );
                if let Some(change) = change {
                    self.metrics.count_response_departure();
                    self.apply_changes(&[change], "response");
                }
            }
            adapter::NamedDeparture::Invalid(value) => {
                self.log_ignored(start, "departure", value, "the only defined value is 1");
            }
        }
        match &metadata.pause {
            adapter::NamedPause::Absent => {}
            adapter::NamedPause::Length(length) => self.pause_replica(start, *length),
            adapter::NamedPause::Invalid(value, cause) => {
                self.log_ignored(start, "pause", value, cause);
            }
        }
    }

    /// Sends no request to a replica for the time that it asked for.
    fn pause_replica(&self, start: &crash_probe::ReplicaStart, asked: send_state::PauseLength) {
        let Some(length) = asked.nonzero() else { return };
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let Some(known_replica) = state.replicas.get_mut(&start.replica) else { return };
        let is_current = known_replica.entry.is_of_start(start.incarnation, start.address);
        if is_current && known_replica.on_pause(length, rand::random(), now) {
            self.metrics.count_pause();
            log_event!(event::LogEvent::UpstreamPaused, replica = start.replica, seconds = asked,);
        }
    }

    /// Returns whether a replica has asked this daemon for a pause that is in force.
    pub fn is_paused(&self, replica: &id::ReplicaId) -> bool {
        let state = self.state.borrow();
        let known_replica = state.replicas.get(replica);
        known_replica.is_some_and(|known_replica| known_replica.paused_until(self.now()).is_some())
    }

    /// Logs a value of a response that is ignored, once for each value of a replica.
    fn log_ignored(
        &self,
        start: &crash_probe::ReplicaStart,
        field: &'static str,
        value: &sync::Arc<str>,
        cause: impl fmt::Display,
    ) {
        if self.state.borrow_mut().is_new_ignored(&start.replica, field, value) {
            log_event!(
                event::LogEvent::HeaderIgnored,
                replica = start.replica,
                field = field,
                value = format_args!("{value:?}"),
                cause = cause,
            );
        }
    }

    /// Records that a request is sent to a replica, which may have named a limit or asked for a pause.
    pub fn record_send(&self, replica: &id::ReplicaId) {
        let mut state = self.state.borrow_mut();
        if let Some(known_replica) = state.replicas.get_mut(replica) {
            known_replica.on_sent(self.now());
        }
        if state.limits.contains(replica) {
            let instant = state.clock_instant(self.now());
            state.limits.record_send(replica, instant);
        }
    }

    /// Applies the notices of a peer about limits.
    pub fn apply_limit_notices(&self, notices: &[digest::LimitNotice]) {
        let now = self.now();
        for notice in notices {
            let change = self.state.borrow_mut().limits.observe_notice(notice, now);
            log_limit_change(&notice.replica, change, "peer");
        }
    }

    /// Observes that a daemon joined or restarted, which does not know what others were told.
    pub fn on_daemon_joined(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.limits.on_daemon_joined(now);
        state.quarantine.on_daemon_joined(now);
    }

    /// Applies the notices of a peer about crashes and quarantined segments.
    pub fn apply_quarantine_notices(
        &self,
        notices: &[quarantine::QuarantineNotice],
        source: quarantine::NoticeSource,
    ) {
        if notices.is_empty() {
            return;
        }
        let mut state = self.state.borrow_mut();
        let instant = state.clock_instant(self.now());
        let mut changes = quarantine::QuarantineChanges::new();
        for notice in notices {
            changes.extend(state.quarantine.observe_notice(notice, source, instant));
        }
        drop(state);
        self.apply_quarantine_changes(&changes, "peer");
    }

    /// Quarantines what crashes speak against, drops crashes of replicas that have answered since, and
    /// forgets what is old.
    pub fn update_quarantine(&self) {
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let instant = state.clock_instant(self.now());
        let last_answered = |replica: &id::ReplicaId, incarnation| {
            let known_replica = state.replicas.get(replica)?;
            known_replica.last_answered.filter(|_| known_replica.entry.incarnation == incarnation)
        };
        let mut changes = state.quarantine.refute_answered(last_answered, instant);
        changes.extend(state.quarantine.evaluate(instant));
        changes.extend(state.quarantine.sweep(instant.now));
        state.crash_probes.retain(|_, probe| probe.is_recent(instant.now));
        drop(guard);
        self.apply_quarantine_changes(&changes, "crashes");
    }

    /// Logs changes of the quarantine. `source` is logged as their origin.
    pub fn apply_quarantine_changes(&self, changes: &[quarantine::QuarantineChange], source: &str) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            match change {
                quarantine::QuarantineChange::Quarantined(suspect, crashes) => log_event!(
                    event::LogEvent::SuspectQuarantined,
                    suspect = suspect,
                    crashes = crashes,
                    source = source,
                ),
                quarantine::QuarantineChange::Released(suspect) => {
                    log_event!(event::LogEvent::SuspectReleased, suspect = suspect, source = source)
                }
                quarantine::QuarantineChange::Refuted(replica, reporters) => {
                    let reporters: Vec<_> = reporters.iter().map(id::DaemonId::as_str).collect();
                    self.metrics.count_refuted_crash();
                    log_event!(
                        event::LogEvent::CrashRefuted,
                        replica = replica,
                        reporters = reporters.join(","),
                        source = source,
                    );
                }
            }
        }
        let state = self.state.borrow();
        let requests =
            state.quarantine.verdicts().filter(|(suspect, _)| suspect.is_request()).count();
        let segments = state.quarantine.verdicts().count() - requests;
        self.metrics.set_quarantined(segments, requests);
    }

    /// Returns what identifies a replica at a relay; `None` if it is not known at this address.
    pub fn tunnel_target(
        &self,
        replica: &id::ReplicaId,
        address: SocketAddr,
    ) -> Option<relay_directory::TunnelTarget> {
        let state = self.state.borrow();
        let entry = &state.replicas.get(replica)?.entry;
        let group = reachability::PathGroup::of(entry);
        let same_group = state
            .replicas
            .of_service(&entry.service)
            .filter(|other| other.entry.zone == entry.zone && !other.is_leaving());
        let target = relay_directory::TunnelTarget {
            replica: replica.clone(),
            incarnation: entry.incarnation,
            group,
            group_size: same_group.count(),
        };
        (entry.address == address).then_some(target)
    }

    /// Returns whether the path to a replica is suspected to be broken.
    pub fn is_path_suspected(&self, target: &relay_directory::TunnelTarget) -> bool {
        let state = self.state.borrow();
        state.paths.suspected_since(&target.group, &target.replica).is_some()
    }

    /// Logs changes of the paths to replicas.
    pub fn log_path_changes(&self, changes: &[reachability::PathChange]) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            match change {
                reachability::PathChange::Suspected(group) => {
                    log_event!(event::LogEvent::PathSuspected, group = group)
                }
                reachability::PathChange::Restored(group) => {
                    log_event!(event::LogEvent::PathRestored, group = group)
                }
            }
        }
        let count = self.state.borrow().paths.suspected_groups().count();
        self.metrics.set_suspected_paths(count);
    }

    /// Logs changes to replicas, closes the idle connections of leaving ones, and keeps departures
    /// for the digests to peers. `source` is logged as the origin of the changes.
    pub fn apply_changes(&self, changes: &[replica::ReplicaChange], source: &str) {
        let now = self.now();
        self.state.borrow_mut().observe_versions(now);
        let mut state = self.state.borrow_mut();
        for change in changes {
            match change {
                replica::ReplicaChange::Joined(replica) => {
                    let entry =
                        state.replicas.get(replica).map(|known_replica| &known_replica.entry);
                    let address = entry.map(|entry| entry.address.to_string()).unwrap_or_default();
                    let version = entry.and_then(|entry| entry.version.as_ref());
                    log_event!(
                        event::LogEvent::UpstreamJoined,
                        replica = replica,
                        address = address,
                        version = version.map_or("-", replica::SoftwareVersion::as_str),
                        source = source,
                    );
                }
                replica::ReplicaChange::Leaving(replica) => {
                    log_event!(
                        event::LogEvent::UpstreamLeaving,
                        replica = replica,
                        source = source
                    );
                    let incarnation = state
                        .replicas
                        .get(replica)
                        .map(|known_replica| known_replica.entry.incarnation);
                    state.departures.push((now, replica.clone(), incarnation.unwrap_or_default()));
                    state.idle_pool.remove(replica);
                }
                replica::ReplicaChange::Removed(replica) => {
                    log_event!(event::LogEvent::UpstreamGone, replica = replica, source = source);
                    state.idle_pool.remove(replica);
                }
            }
        }
        state
            .departures
            .retain(|(departed_at, _, _)| now.since(*departed_at) < DEPARTURE_REPEAT_TIME);
    }
}

/// Logs a change of a replica's limit. `source` is logged as its origin.
fn log_limit_change(replica: &id::ReplicaId, change: Option<limit::LimitChange>, source: &str) {
    let Some(change) = change else { return };
    let text = |rate: Option<rate::RequestRate>| {
        rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string())
    };
    log_event!(
        event::LogEvent::UpstreamLimited,
        replica = replica,
        limit = text(change.after),
        before = text(change.before),
        source = source,
    );
}

impl CoreState {
    /// Returns the revision of the policy in force; 0 if there is none.
    pub fn revision(&self) -> quantity::RevisionNumber {
        self.policy.as_ref().map(|policy| policy.revision).unwrap_or_default()
    }

    /// Returns the current instant on the daemon's clocks.
    pub fn clock_instant(&self, now: time::MonotonicTime) -> clock_instant::ClockInstant {
        let unix_ms = u64::try_from(self.wall_clock.now(now)).unwrap_or(0);
        clock_instant::ClockInstant { now, unix_ms }
    }

    /// Remembers a value in a response of a replica that is ignored. Returns whether it is another one
    /// than the last for this field.
    fn is_new_ignored(
        &mut self,
        replica: &id::ReplicaId,
        field: &'static str,
        value: &sync::Arc<str>,
    ) -> bool {
        let key = (replica.clone(), field);
        self.ignored_values.insert(key, value.clone()).as_ref() != Some(value)
    }

    /// Remembers the software versions of the known replicas.
    pub fn observe_versions(&mut self, now: time::MonotonicTime) {
        self.versions.observe(&self.replicas, now);
    }

    /// Returns what tells whether this daemon may send requests to replicas now.
    pub fn gate(&self, now: time::MonotonicTime) -> send_gate::SendGate<'_> {
        send_gate::SendGate::new(&self.limits, self.clock_instant(now))
    }

    /// Forgets the limits of replicas that are not known any more. Returns the number of replicas
    /// that name one.
    pub fn sweep_limits(&mut self, now: time::MonotonicTime) -> usize {
        let replicas = &self.replicas;
        self.limits.retain(now, |replica| replicas.get(replica).is_some());
        self.ignored_values.retain(|(replica, _), _| replicas.get(replica).is_some());
        self.limits.limited_replicas().count()
    }

    /// Returns the retry budget of a service, with this daemon's share of the retry slack.
    pub fn budget(
        &mut self,
        service: &id::ServiceId,
        shared: &settings::SharedSettings,
    ) -> &mut budget::RetryBudget {
        let daemons = f64::from(self.live_daemons.max(1));
        let burst = shared.retry_slack * RETRY_SLACK_FRACTION / daemons;
        let ratio = (shared.retry_ratio * RETRY_RATIO_FRACTION * 1_000.0) as u16;
        let policy = budget::BudgetPolicy {
            ratio: quantity::PerMille::new(ratio),
            burst: (burst as u32).max(1),
        };
        let budget = self
            .budgets
            .entry(service.clone())
            .or_insert_with(|| budget::RetryBudget::empty(policy));
        budget.resize(policy);
        budget
    }

    /// Counts a run of a workspace in the usage window that contains `now`.
    pub fn count_run(
        &mut self,
        workspace: &id::WorkspaceId,
        window: time::Millis,
        now: time::MonotonicTime,
    ) {
        let window_number = usage_window(self.wall_clock.now(now), window);
        self.usage.count_run(window_number, workspace);
    }

    /// Adds prompt tokens that a service's engines have to prefill.
    pub fn add_prompt_tokens(
        &mut self,
        service: &id::ServiceId,
        tokens: u32,
        now: time::MonotonicTime,
    ) {
        let new_sum = || decay::DecayingSum::new(PROMPT_DECAY_TIME);
        let sum = self.prompt_sums.entry(service.clone()).or_insert_with(new_sum);
        sum.add(f64::from(tokens), now);
    }

    /// Stores the prompt rates that a peer reported.
    pub fn store_peer_prompt_rates(
        &mut self,
        daemon: &id::DaemonId,
        demands: &[digest::ServiceDemand],
        now: time::MonotonicTime,
    ) {
        self.peer_prompt_rates.insert(daemon.clone(), (now, demands.to_vec()));
        self.peer_prompt_rates
            .retain(|_, (reported_at, _)| now.since(*reported_at) < PEER_PROMPT_RATE_TTL);
    }

    /// Returns the prompt tokens per second that all daemons together send to a service's engines
    /// for prefill.
    pub fn prompt_rate(&self, service: &id::ServiceId, now: time::MonotonicTime) -> f64 {
        let local_rate = self.prompt_sums.get(service).map_or(0.0, |sum| sum.per_second(now));
        let peer_demands = self.peer_prompt_rates.values().flat_map(|(_, demands)| demands);
        let service_demands = peer_demands.filter(|demand| demand.service == *service);
        local_rate + service_demands.map(|demand| f64::from(demand.prompt_rate)).sum::<f64>()
    }
}

/// Returns the number of the usage window that contains an instant.
pub fn usage_window(unix_ms: i64, window: time::Millis) -> usage::WindowNumber {
    u64::try_from(unix_ms).unwrap_or(0) / window.get().max(1)
}
