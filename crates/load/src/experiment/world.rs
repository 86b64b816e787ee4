//! The event loop of an experiment.

mod admission;
mod calls;
mod faults;
mod upstreams;
mod views;

use std::collections;
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

enum SimEvent {
    Attempt(CallNumber),
    Step { replica: usize, epoch: u32, step: Box<batch::BatchStep> },
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
    events: collections::BTreeMap<(SimTime, u64), SimEvent>,
    event_count: u64,
    generator: rand_chacha::ChaCha8Rng,
    daemons: Vec<SimDaemon>,
    replicas: Vec<replica::SimReplica>,
    cloud: Option<capacity::SimCloud>,
    views: collections::BTreeMap<id::ZoneId, zone::ZoneView>,
    view_serial: u64,
    calls: Vec<calls::CallState<'a>>,
    computed_blocks: collections::HashSet<prefix::PrefixHash>,
    tally: tally::RunTally,
}

impl<'a> SimWorld<'a> {
    fn new(
        deployment: &'a deployment::Deployment,
        run: &RunPlan,
        calls: &'a [plan::PlannedCall],
    ) -> Self {
        let daemon = |view: &zone::DaemonView| SimDaemon {
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
            daemons: deployment.daemons.iter().map(daemon).collect(),
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
        world.view_tick();
        world.schedule_after(views::CACHE_INTERVAL, SimEvent::CacheTick);
        for number in 0..world.calls.len() {
            let at = world.calls[number].planned.at.to_duration();
            world.schedule_at(at, SimEvent::Attempt(CallNumber(number)));
        }
        world.schedule_faults();
        world
    }

    fn run_to_end(&mut self) {
        let end = self.plan.length.to_duration() + COOL_DOWN;
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Attempt(call) => self.attempt(call),
            SimEvent::Step { replica, epoch, step } => self.on_step_finished(replica, epoch, &step),
            SimEvent::PlainFinished { replica, epoch, call } => {
                self.on_plain_finished(replica, epoch, call)
            }
            SimEvent::Deadline(call) => self.on_deadline(call),
            SimEvent::ViewTick => self.view_tick(),
            SimEvent::CacheTick => self.cache_tick(),
            SimEvent::PlanTick => self.plan_tick(),
            SimEvent::ReclaimWave => self.start_reclaim_wave(),
            SimEvent::ReplicaReady(replica) => self.on_replica_ready(replica),
            SimEvent::Fault(kind, replica) => self.inject_fault(kind, replica),
        }
    }

    fn schedule_at(&mut self, at: SimTime, event: SimEvent) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), event);
    }

    fn schedule_after(&mut self, length: Duration, event: SimEvent) {
        self.schedule_at(self.now + length, event);
    }

    /// Returns the time of the daemons' clocks, which start `CLOCK_START_MS` before the run.
    fn daemon_time(&self) -> time::MonotonicTime {
        const CLOCK_START_MS: u64 = 60_000;
        time::MonotonicTime::new(CLOCK_START_MS + self.now.as_millis() as u64)
    }

    fn report(&self) -> tally::RunReport {
        let length = self.plan.length;
        let counted_ms = length.get() - length.get() * WARM_UP_PER_MILLE / 1_000;
        let counted = time::Millis::new(counted_ms);
        let hours = |length: Duration| length.as_secs_f64() / 3_600.0;
        let end = length.to_duration();
        let start = end.saturating_sub(counted.to_duration());
        let (mut total, mut busy) = (0.0, 0.0);
        const MICROS: f64 = 1_000_000.0;
        for replica in &self.replicas {
            let price = replica.view.price.get() as f64 / MICROS;
            total += price * hours(replica.held_time(start, end));
            busy += price * hours(replica.busy_time);
        }
        self.tally.report(counted, tally::RunCost { total, busy: Some(busy) })
    }
}
