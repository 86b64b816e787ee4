//! Event loop that simulates one run of an experiment.

mod admission;
mod calls;
mod faults;
mod upstreams;
mod views;

use std::collections;
use std::ops;
use std::time::Duration;

use rand::SeedableRng as _;
use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_limits::gate::AdmissionGate;
use samphiremoor_routing::picker::ReplicaPicker;
use samphiremoor_routing::prefix;
use samphiremoor_standin_engine::batch;
use samphiremoor_view::zone;

use crate::experiment::capacity;
use crate::experiment::deployment;
use crate::experiment::policy;
use crate::experiment::replica;
use crate::experiment::replica::CallNumber;
use crate::experiment::situation;
use crate::plan;
use crate::tally;

/// Warm-up, in thousandths of a run; calls that arrive during the warm-up are not counted.
const WARM_UP_PER_MILLE: u64 = 150;
/// Time after the last arrival during which calls may still end.
const COOL_DOWN: Duration = Duration::from_secs(100);

/// Simulated time since the start of the run.
type SimTime = Duration;

/// A scheduled event. Replicas are given by their index in the run.
enum SimEvent {
    Attempt(CallNumber),
    StepFinished { replica: usize, epoch: u32, step: Box<batch::BatchStep> },
    PlainFinished { replica: usize, epoch: u32, call: CallNumber },
    Deadline(CallNumber),
    ViewTick,
    CacheTick,
    PlanTick,
    ReclaimWave,
    ReplicaReady(usize),
    Fault(situation::FaultKind, usize),
}

/// Parameters of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunPlan {
    /// Routing and admission policy.
    pub policy: policy::PolicyKind,
    /// Load and faults.
    pub situation: situation::Situation,
    /// Purchase policy; if there is none, the VMs of the deployment are used and none is bought.
    pub capacity: Option<capacity::CapacityKind>,
    /// Duration during which calls arrive.
    pub length: time::Millis,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Ages of the reports that the daemons receive.
    pub ages: replica::ReportAges,
}

/// Simulates a run and returns its report.
pub fn run(deployment: &deployment::Deployment, run: &RunPlan) -> tally::RunReport {
    let options = plan::PlanOptions {
        length: run.length,
        rate_factor: run.situation.rate_factor(),
        seed: run.seed,
    };
    let calls = plan::calls(&deployment.workload, &options);
    let mut world = SimWorld::new(deployment, run, &calls);
    world.run_to_end();
    world.report()
}

struct SimDaemon {
    zone: id::ZoneId,
    picker: Box<dyn ReplicaPicker>,
    gate: Box<dyn AdmissionGate>,
}

struct SimWorld<'a> {
    deployment: &'a deployment::Deployment,
    plan: RunPlan,
    now: SimTime,
    /// Scheduled events by time; events of the same time are handled in the order of scheduling.
    events: collections::BTreeMap<(SimTime, u64), SimEvent>,
    /// Number of events scheduled so far.
    event_count: u64,
    generator: rand_chacha::ChaCha8Rng,
    daemons: Vec<SimDaemon>,
    replicas: Vec<replica::SimReplica>,
    cloud: Option<capacity::SimCloud>,
    /// Current view of each availability zone; the daemons of a zone share it.
    views: collections::BTreeMap<id::ZoneId, zone::ZoneView>,
    /// Serial number of the views delivered last.
    view_serial: u64,
    calls: Vec<calls::CallState<'a>>,
    /// Prompt blocks that some engine has computed.
    computed_blocks: collections::HashSet<prefix::PrefixHash>,
    tally: tally::RunTally,
}

impl<'a> SimWorld<'a> {
    fn new(
        deployment: &'a deployment::Deployment,
        run: &RunPlan,
        calls: &'a [plan::PlannedCall],
    ) -> Self {
        let new_daemon = |view: &zone::DaemonView| SimDaemon {
            zone: view.zone.clone(),
            picker: run.policy.picker(),
            gate: run.policy.gate(),
        };
        let mut cloud = run.capacity.map(|kind| capacity::SimCloud::new(kind, deployment));
        let replicas = match &mut cloud {
            Some(cloud) => cloud.initial_fleet(deployment, run.situation.rate_factor()),
            None => deployment.replicas.clone(),
        };
        let mut world = SimWorld {
            deployment,
            plan: *run,
            now: Duration::ZERO,
            events: collections::BTreeMap::new(),
            event_count: 0,
            generator: rand_chacha::ChaCha8Rng::seed_from_u64(run.seed),
            daemons: deployment.daemons.iter().map(new_daemon).collect(),
            replicas: replicas
                .into_iter()
                .map(|view| replica::SimReplica::new(view, run.ages))
                .collect(),
            cloud,
            views: collections::BTreeMap::new(),
            view_serial: 0,
            calls: calls
                .iter()
                .filter_map(|call| calls::CallState::new(deployment, call))
                .collect(),
            computed_blocks: collections::HashSet::new(),
            tally: tally::RunTally::default(),
        };
        world.deliver_views();
        world.schedule_after(views::CACHE_POLL_INTERVAL, SimEvent::CacheTick);
        for number in 0..world.calls.len() {
            let arrival_time = world.calls[number].planned.arrives_at.to_duration();
            world.schedule_at(arrival_time, SimEvent::Attempt(CallNumber(number)));
        }
        world.schedule_faults();
        world
    }

    fn run_to_end(&mut self) {
        let end = self.plan.length.to_duration() + COOL_DOWN;
        while let Some(((event_time, _), event)) = self.events.pop_first() {
            if event_time > end {
                break;
            }
            self.now = event_time;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Attempt(call) => self.attempt(call),
            SimEvent::StepFinished { replica, epoch, step } => {
                self.on_step_finished(replica, epoch, &step)
            }
            SimEvent::PlainFinished { replica, epoch, call } => {
                self.on_plain_finished(replica, epoch, call)
            }
            SimEvent::Deadline(call) => self.on_deadline(call),
            SimEvent::ViewTick => self.deliver_views(),
            SimEvent::CacheTick => self.deliver_cache_events(),
            SimEvent::PlanTick => self.run_planner(),
            SimEvent::ReclaimWave => self.start_reclaim_wave(),
            SimEvent::ReplicaReady(replica) => self.on_replica_ready(replica),
            SimEvent::Fault(kind, replica) => self.inject_fault(kind, replica),
        }
    }

    fn schedule_at(&mut self, event_time: SimTime, event: SimEvent) {
        self.event_count += 1;
        self.events.insert((event_time, self.event_count), event);
    }

    fn schedule_after(&mut self, delay: Duration, event: SimEvent) {
        self.schedule_at(self.now + delay, event);
    }

    /// Returns the time on the daemons' clocks, which show `CLOCK_START_MS` at the start of the run.
    fn daemon_time(&self) -> time::MonotonicTime {
        const CLOCK_START_MS: u64 = 60_000;
        time::MonotonicTime::new(CLOCK_START_MS + self.now.as_millis() as u64)
    }

    /// Returns the time after the warm-up in which calls and costs are counted.
    fn counted_time(&self) -> ops::Range<SimTime> {
        let length = self.plan.length.get();
        let start = time::Millis::new(length * WARM_UP_PER_MILLE / 1_000);
        start.to_duration()..self.plan.length.to_duration()
    }

    /// Returns the part of an interval of this length from now on that is counted.
    fn counted_part(&self, length: Duration) -> Duration {
        let counted = self.counted_time();
        (self.now + length).min(counted.end).saturating_sub(self.now.max(counted.start))
    }

    fn report(&self) -> tally::RunReport {
        let to_hours = |duration: Duration| duration.as_secs_f64() / 3_600.0;
        let ops::Range { start, end } = self.counted_time();
        let counted_length = time::Millis::from(end - start);
        let (mut held_cost, mut busy_cost) = (0.0, 0.0);
        const MICROS_PER_UNIT: f64 = 1_000_000.0;
        for replica in &self.replicas {
            let price_per_hour = replica.view.price.get() as f64 / MICROS_PER_UNIT;
            held_cost += price_per_hour * to_hours(replica.held_time(start, end));
            busy_cost += price_per_hour * to_hours(replica.busy_time);
        }
        self.tally.report(counted_length, tally::RunCost { held: held_cost, busy: Some(busy_cost) })
    }
}
