//! State that all tasks of the daemon share. It belongs to one thread.

use std::cell;
use std::collections;
use std::net::SocketAddr;
use std::rc;
use std::sync;

use async_std::channel;
use samphiremoor_base::event;
use samphiremoor_base::id;
use samphiremoor_base::log_event;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_fleet::admission;
use samphiremoor_fleet::decay;
use samphiremoor_fleet::digest;
use samphiremoor_fleet::load;
use samphiremoor_fleet::policy;
use samphiremoor_fleet::quota;
use samphiremoor_fleet::replica;
use samphiremoor_fleet::usage;
use samphiremoor_fleet::wall_clock;
use samphiremoor_requests::budget;
use smallvec::SmallVec;

use crate::adapter;
use crate::idle;
use crate::metrics;
use crate::settings;

/// Part of the common retry ratio that is used: requests of a window's edge are counted late.
const RETRY_RATIO_PART: f64 = 0.85;
/// Part of the common slack that all daemons together use; the rest covers restarts and newcomers.
const RETRY_SLACK_PART: f64 = 0.6;
/// Time for which a departure is told to peers: longer than the table takes to tell them.
const LEFT_TOLD: time::Millis = time::Millis::new(5_000);

/// Time after the signal to stop in which requests are still taken: the balancer asks once a second
/// and needs two bad answers. What comes later could not end before the process is killed.
pub const LEAVE_TIME: time::Millis = time::Millis::new(3_000);

/// Clock that counts from the start of the VM, also while it is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct SteadyClock;

impl SteadyClock {
    /// The present instant.
    pub fn now(self) -> time::MonotonicTime {
        let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let millis = now.tv_sec * 1_000 + now.tv_nsec / 1_000_000;
        time::MonotonicTime::new(u64::try_from(millis).unwrap_or(0))
    }

    /// The own clock of the day, in Unix milliseconds.
    pub fn wall(self) -> i64 {
        let now = rustix::time::clock_gettime(rustix::time::ClockId::Realtime);
        now.tv_sec * 1_000 + now.tv_nsec / 1_000_000
    }
}

/// What the tasks share.
pub struct GatewayCore {
    /// Settings of the start.
    pub settings: settings::GatewaySettings,
    /// Protocols of the deployment.
    pub adapter: adapter::DeploymentAdapter,
    /// The clock.
    pub clock: SteadyClock,
    /// Number of this life of the daemon.
    pub incarnation: quantity::Incarnation,
    /// Counters and histograms.
    pub metrics: metrics::GatewayMetrics,
    /// Closed when idle connections of callers are to be closed; nothing is ever sent on it.
    pub idle_end: channel::Receiver<()>,
    idle_end_sender: channel::Sender<()>,
    /// What changes.
    pub state: cell::RefCell<CoreState>,
}

/// What changes.
pub struct CoreState {
    /// The policy in force; absent until one was read.
    pub policy: Option<sync::Arc<policy::ServingPolicy>>,
    /// Its text, for peers.
    pub policy_text: sync::Arc<[u8]>,
    /// Replicas.
    pub replicas: replica::ReplicaTable,
    /// Limits of workspaces.
    pub quota: quota::QuotaLimiter,
    /// Forecasts of first tokens.
    pub forecast: admission::TtftEstimator,
    /// Runs by window.
    pub usage: usage::UsageCounter,
    /// Time of day.
    pub wall: wall_clock::ClockEstimate,
    /// Idle connections to replicas.
    pub idle: idle::IdlePool,
    /// When the daemon was told to stop.
    pub stopping: Option<time::MonotonicTime>,
    /// The peer that reads the table for this daemon, and the number of its entries; none where this
    /// daemon reads itself.
    pub reader: Option<(SocketAddr, u64)>,
    /// When the table last answered a read of the entries.
    pub table_read: Option<time::MonotonicTime>,
    /// Daemons that live, this one included.
    pub daemons: u32,
    /// Requests in progress.
    pub in_progress: u32,
    /// Replicas that left of late, with their lives.
    pub left: Vec<(time::MonotonicTime, id::ReplicaId, quantity::Incarnation)>,
    /// Prompt tokens that each service's engines were asked to read of late.
    pub prompts: collections::HashMap<id::ServiceId, decay::DecayingSum>,
    /// Bytes of the bodies of requests in progress.
    pub body_bytes: u64,
    peer_prompts:
        collections::HashMap<id::DaemonId, (time::MonotonicTime, Vec<digest::ServiceDemand>)>,
    budgets: collections::HashMap<id::ServiceId, budget::RetryBudget>,
}

/// Time in which a measured rate of prompts fades to about a third.
const PROMPT_WINDOW: time::Millis = time::Millis::new(2_000);

/// What a peer tells of its use of services is good for this long.
const PEER_PROMPTS_BELIEVED: time::Millis = time::Millis::new(3_000);

impl GatewayCore {
    /// The state of a daemon that knows nothing yet.
    pub fn new(
        settings: settings::GatewaySettings,
        adapter: adapter::DeploymentAdapter,
    ) -> rc::Rc<Self> {
        let clock = SteadyClock;
        let now = clock.now();
        let wall = wall_clock::ClockEstimate::new(clock.wall(), now);
        // Lives of one daemon differ by their start; a jump of the clock makes them no less different.
        let incarnation = quantity::Incarnation::new(
            u64::try_from(clock.wall()).unwrap_or(0) * 1_000
                + u64::from(std::process::id() % 1_000),
        );
        let state = CoreState {
            policy: None,
            policy_text: sync::Arc::from(&[][..]),
            replicas: replica::ReplicaTable::default(),
            quota: quota::QuotaLimiter::new(settings.shared.quota_tolerance()),
            forecast: admission::TtftEstimator::default(),
            usage: usage::UsageCounter::new(settings.daemon.clone(), incarnation),
            wall,
            idle: idle::IdlePool::default(),
            stopping: None,
            reader: None,
            table_read: None,
            daemons: 1,
            in_progress: 0,
            left: Vec::new(),
            prompts: collections::HashMap::new(),
            body_bytes: 0,
            peer_prompts: collections::HashMap::new(),
            budgets: collections::HashMap::new(),
        };
        let (idle_end_sender, idle_end) = channel::bounded(1);
        rc::Rc::new(GatewayCore {
            settings,
            adapter,
            clock,
            incarnation,
            metrics: metrics::GatewayMetrics::default(),
            idle_end,
            idle_end_sender,
            state: cell::RefCell::new(state),
        })
    }

    /// The present instant.
    pub fn now(&self) -> time::MonotonicTime {
        self.clock.now()
    }

    /// Whether the daemon was told to stop.
    pub fn is_stopping(&self) -> bool {
        self.state.borrow().stopping.is_some()
    }

    /// Ends the waits of idle connections of callers, which then close.
    ///
    /// A connection on which a request has arrived serves it first: shutting the socket down instead
    /// would cut off the answer to a request that lies unread in it.
    pub fn close_idle_callers(&self) {
        self.idle_end_sender.close();
    }

    /// Whether the daemon can serve.
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        state.stopping.is_none() && state.policy.is_some() && state.replicas.iter().next().is_some()
    }

    /// Whether the daemon was told to stop so long ago that it takes no more requests.
    pub fn is_leaving(&self) -> bool {
        let stopping = self.state.borrow().stopping;
        stopping.is_some_and(|at| self.now().since(at) >= LEAVE_TIME)
    }

    /// Whether streams in progress on a replica had better go on elsewhere.
    pub fn is_to_be_left(&self, replica: &id::ReplicaId) -> bool {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.replicas.get_mut(replica).is_some_and(|known| known.should_migrate(now))
    }

    /// Takes over a policy unless a newer one is in force. `source` says where it came from.
    pub fn adopt_policy(&self, update: adapter::PolicyUpdate, source: &str) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let known = state.policy.as_ref().map_or(0, |policy| policy.revision.get());
        if update.policy.revision.get() <= known {
            return;
        }
        let policy = sync::Arc::new(update.policy);
        state.quota.configure(policy.workspaces(), now);
        log_event!(
            event::LogEvent::RevisionInForce,
            revision = policy.revision,
            before = known,
            source = source,
        );
        state.policy = Some(policy);
        state.policy_text = update.text;
    }

    /// Logs changes of replicas, and keeps those that left for the peers.
    pub fn note_changes(&self, changes: &[replica::ReplicaChange], source: &str) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        for change in changes {
            match change {
                replica::ReplicaChange::Joined(replica) => {
                    let known = state.replicas.get(replica).map(|known| &known.entry);
                    let address = known.map(|entry| entry.address.to_string()).unwrap_or_default();
                    log_event!(
                        event::LogEvent::UpstreamJoined,
                        replica = replica,
                        address = address,
                        source = source,
                    );
                }
                replica::ReplicaChange::Leaving(replica) => {
                    log_event!(
                        event::LogEvent::UpstreamLeaving,
                        replica = replica,
                        source = source
                    );
                    let born = state.replicas.get(replica).map(|known| known.entry.incarnation);
                    state.left.push((now, replica.clone(), born.unwrap_or_default()));
                    state.idle.remove(replica);
                }
                replica::ReplicaChange::Removed(replica) => {
                    log_event!(event::LogEvent::UpstreamGone, replica = replica, source = source);
                    state.idle.remove(replica);
                }
            }
        }
        state.left.retain(|(at, _, _)| now.since(*at) < LEFT_TOLD);
    }
}

impl CoreState {
    /// The retry budget of a service, sized to this daemon's part.
    pub fn budget(
        &mut self,
        service: &id::ServiceId,
        shared: &settings::SharedSettings,
    ) -> &mut budget::RetryBudget {
        let daemons = f64::from(self.daemons.max(1));
        let burst = f64::from(shared.retry_slack) * RETRY_SLACK_PART / daemons;
        let ratio = (shared.retry_ratio * RETRY_RATIO_PART * 1_000.0) as u16;
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

    /// A run of a workspace began now.
    pub fn note_run(
        &mut self,
        workspace: &id::WorkspaceId,
        window: time::Millis,
        now: time::MonotonicTime,
    ) {
        let number = window_number(self.wall.now(now), window);
        self.usage.count_run(number, workspace);
    }

    /// Notes prompt tokens that a service's engines are asked to read.
    pub fn note_prompt(&mut self, service: &id::ServiceId, tokens: u32, now: time::MonotonicTime) {
        let empty = || decay::DecayingSum::new(PROMPT_WINDOW);
        let sum = self.prompts.entry(service.clone()).or_insert_with(empty);
        sum.add(f64::from(tokens), now);
    }

    /// Takes over the use of services that a peer tells.
    pub fn note_peer_prompts(
        &mut self,
        daemon: &id::DaemonId,
        lines: &[digest::ServiceDemand],
        now: time::MonotonicTime,
    ) {
        self.peer_prompts.insert(daemon.clone(), (now, lines.to_vec()));
        self.peer_prompts.retain(|_, (at, _)| now.since(*at) < PEER_PROMPTS_BELIEVED);
    }

    /// Prompt tokens a second that all daemons ask a service's engines to read.
    pub fn prompt_rate(&self, service: &id::ServiceId, now: time::MonotonicTime) -> f64 {
        let own = self.prompts.get(service).map_or(0.0, |sum| sum.per_second(now));
        let peers = self.peer_prompts.values().flat_map(|(_, lines)| lines);
        let told = peers.filter(|line| line.service == *service);
        own + told.map(|line| f64::from(line.prompt_rate)).sum::<f64>()
    }
}

/// Number of the window of time that an instant lies in.
pub fn window_number(wall_ms: i64, window: time::Millis) -> usage::WindowNumber {
    u64::try_from(wall_ms).unwrap_or(0) / window.get().max(1)
}

/// A request's load on a replica; taken off when dropped.
pub struct LoadGuard {
    core: rc::Rc<GatewayCore>,
    replica: id::ReplicaId,
    born: quantity::Incarnation,
    address: SocketAddr,
    pending: u32,
}

impl LoadGuard {
    /// Puts a request with unread prompt tokens on a replica.
    pub fn new(core: &rc::Rc<GatewayCore>, replica: &id::ReplicaId, pending: u32) -> Option<Self> {
        let mut state = core.state.borrow_mut();
        let known = state.replicas.get_mut(replica)?;
        known.local_load.running += 1;
        known.local_load.pending_tokens += pending;
        let (born, address) = (known.entry.incarnation, known.entry.address);
        let core = core.clone();
        Some(LoadGuard { core, replica: replica.clone(), born, address, pending })
    }

    /// Address of the replica.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The prompt was read.
    pub fn prompt_read(&mut self) {
        let pending = std::mem::take(&mut self.pending);
        self.change(|load| load.pending_tokens = load.pending_tokens.saturating_sub(pending));
    }

    fn change(&self, change: impl FnOnce(&mut load::ReplicaLoad)) {
        let mut state = self.core.state.borrow_mut();
        let Some(known) = state.replicas.get_mut(&self.replica) else { return };
        // A new life of the replica has none of this load.
        if known.entry.incarnation == self.born && known.entry.address == self.address {
            change(&mut known.local_load);
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.prompt_read();
        self.change(|load| load.running = load.running.saturating_sub(1));
    }
}

/// Names of replicas that a request was sent to.
pub type AvoidedReplicas = SmallVec<[id::ReplicaId; 4]>;
