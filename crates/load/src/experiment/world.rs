//! The event loop of an experiment.

mod calls;
mod faults;

use std::collections;
use std::sync;
use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng as _;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_limits::gate;
use samphiremoor_limits::gate::AdmissionGate;
use samphiremoor_routing::picker;
use samphiremoor_routing::picker::ReplicaPicker;
use samphiremoor_routing::prefix;
use samphiremoor_standin_engine::batch;
use samphiremoor_standin_engine::blocks;
use samphiremoor_view::zone;

use crate::experiment::capacity;
use crate::experiment::deployment;
use crate::experiment::policy;
use crate::experiment::replica;
use crate::experiment::replica::CallNumber;
use crate::experiment::situation;
use crate::plan;
use crate::tally;

/// How often daemons get a view.
const VIEW_INTERVAL: Duration = Duration::from_millis(200);
/// How often daemons read cache events.
const CACHE_INTERVAL: Duration = Duration::from_millis(500);
/// Tries of one call, refused ones included.
const MAX_TRIES: u32 = 4;
/// Dispatches of one call.
const MAX_DISPATCHES: u32 = 4;
/// Share of a run before its calls are counted, in thousandths.
const WARM_UP_PER_MILLE: u64 = 150;
/// Time after the last arrival in which calls may end.
const COOL_DOWN: Duration = Duration::from_secs(100);
/// Delay of a call from the caller to the daemon and back.
const CLIENT_DELAY_MS: u64 = 2;
/// Delay of a call into another availability zone and back.
const ZONE_DELAY_MS: u64 = 2;

/// Simulated time since the start of the run.
type SimTime = Duration;

enum SimEvent {
    Try(CallNumber),
    Step { replica: usize, epoch: u32, step: Box<batch::BatchStep> },
    PlainEnd { replica: usize, epoch: u32, call: CallNumber },
    Deadline(CallNumber),
    ViewTick,
    CacheTick,
    PlanTick,
    Wave,
    Ready(usize),
    Fault(situation::FaultKind, usize),
}

/// What a run is made of.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunPlan {
    /// The policy.
    pub policy: policy::PolicyKind,
    /// The situation.
    pub situation: situation::Situation,
    /// How VMs are bought; the deployment's own ones stay as they are where there is none.
    pub capacity: Option<capacity::CapacityKind>,
    /// Time in which calls arrive.
    pub length: time::Millis,
    /// The seed.
    pub seed: u64,
}

/// Carries out a run.
pub fn run(deployment: &deployment::Deployment, run: &RunPlan) -> tally::RunReport {
    let span = plan::PlanSpan {
        length: run.length,
        rate_factor: run.situation.rate_factor(),
        seed: run.seed,
    };
    let calls = plan::calls(&deployment.workload, &span);
    let mut world = SimWorld::new(deployment, run, &calls);
    world.run_all();
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
    serial: u64,
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
            Some(cloud) => cloud.first_fleet(deployment, run.situation.rate_factor()),
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
            replicas: replicas.into_iter().map(replica::SimReplica::new).collect(),
            cloud,
            views: collections::BTreeMap::new(),
            serial: 0,
            calls: calls
                .iter()
                .filter_map(|call| calls::CallState::new(deployment, call))
                .collect(),
            computed_blocks: collections::HashSet::new(),
            tally: tally::RunTally::default(),
        };
        world.view_tick();
        world.after(CACHE_INTERVAL, SimEvent::CacheTick);
        for number in 0..world.calls.len() {
            let at = world.calls[number].planned.at.to_duration();
            world.at(at, SimEvent::Try(CallNumber(number)));
        }
        world.schedule_faults();
        world
    }

    fn run_all(&mut self) {
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
            SimEvent::Try(call) => self.try_call(call),
            SimEvent::Step { replica, epoch, step } => self.step_ended(replica, epoch, &step),
            SimEvent::PlainEnd { replica, epoch, call } => self.plain_ended(replica, epoch, call),
            SimEvent::Deadline(call) => self.deadline(call),
            SimEvent::ViewTick => self.view_tick(),
            SimEvent::CacheTick => self.cache_tick(),
            SimEvent::PlanTick => self.plan_tick(),
            SimEvent::Wave => self.wave(),
            SimEvent::Ready(replica) => self.ready(replica),
            SimEvent::Fault(kind, replica) => self.fault(kind, replica),
        }
    }

    fn at(&mut self, at: SimTime, event: SimEvent) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), event);
    }

    fn after(&mut self, length: Duration, event: SimEvent) {
        self.at(self.now + length, event);
    }

    /// The daemons' clocks start a while before the run.
    fn monotonic(&self) -> time::MonotonicTime {
        const CLOCK_START_MS: u64 = 60_000;
        time::MonotonicTime::new(CLOCK_START_MS + self.now.as_millis() as u64)
    }

    fn view_tick(&mut self) {
        let now = self.monotonic();
        for replica in &mut self.replicas {
            replica.refresh_load(now);
        }
        let hides_deaths = self.plan.situation.hides_deaths();
        let is_shown = |replica: &&replica::SimReplica| replica.is_alive || hides_deaths;
        let replicas: Vec<zone::ReplicaView> =
            self.replicas.iter().filter(is_shown).map(|replica| replica.shown.clone()).collect();
        self.serial += 1;
        for daemon in &mut self.daemons {
            let view = self.views.entry(daemon.zone.clone()).or_insert_with(|| zone::ZoneView {
                zone: daemon.zone.clone(),
                serial: 0,
                incarnation: quantity::Incarnation::new(1),
                records: self.deployment.records.clone(),
                replicas: Vec::new(),
                daemons: self.deployment.daemons.clone(),
                platform: zone::PlatformState::Available,
                own_stop: None,
            });
            if view.serial != self.serial {
                view.serial = self.serial;
                view.replicas.clone_from(&replicas);
            }
            daemon.gate.configure(view, now);
        }
        self.after(VIEW_INTERVAL, SimEvent::ViewTick);
    }

    fn cache_tick(&mut self) {
        let now = self.monotonic();
        for replica in &mut self.replicas {
            for run in replica.published_events(now) {
                let batch = picker::CacheBatch {
                    replica: &replica.shown.id,
                    first_number: run.first_number,
                    events: &run.events,
                    age: replica::CACHE_LAG,
                    now,
                };
                for daemon in &mut self.daemons {
                    daemon.picker.cache_events(&batch);
                }
            }
        }
        self.after(CACHE_INTERVAL, SimEvent::CacheTick);
    }

    fn try_call(&mut self, call: CallNumber) {
        let daemon = self.generator.random_range(0..self.daemons.len());
        let now = self.monotonic();
        let deadline_left = self.deadline_left(call);
        let state = &mut self.calls[call.0];
        state.daemon = daemon;
        state.tries += 1;
        let is_first = state.tries == 1;
        let admitted = self.daemons[daemon].gate.admit(&gate::AdmissionRequest {
            workspace: &state.planned.workspace,
            service: &state.service.id,
            priority: state.service.priority,
            deadline_left,
            now,
        });
        if is_first {
            self.after(deadline_left.to_duration(), SimEvent::Deadline(call));
        }
        match admitted {
            Ok(permit) => {
                self.calls[call.0].admission = Some(calls::CallAdmission { permit, at: now });
                self.dispatch(call);
            }
            Err(refusal) => self.refused(call, refusal.reason, refusal.retry_after),
        }
    }

    fn refused(
        &mut self,
        call: CallNumber,
        reason: reason::RefusalReason,
        retry_after: time::Millis,
    ) {
        self.tally.refusals += 1;
        let has_time = retry_after < self.deadline_left(call);
        if has_time && self.calls[call.0].tries < MAX_TRIES {
            self.after(retry_after.to_duration(), SimEvent::Try(call));
            return;
        }
        self.end(call, tally::CallEnd::Refused(reason));
    }

    fn deadline_left(&self, call: CallNumber) -> time::Millis {
        let state = &self.calls[call.0];
        let waited = self.now.saturating_sub(state.planned.at.to_duration());
        state.service.latency.deadline.saturating_sub(time::Millis::from(waited))
    }

    /// Picks a replica for an admitted call and sends it there.
    fn dispatch(&mut self, call: CallNumber) {
        let now = self.monotonic();
        let random = self.generator.random();
        let state = &mut self.calls[call.0];
        let daemon = &mut self.daemons[state.daemon];
        let query = picker::RouteQuery {
            service: state.service,
            workspace: &state.planned.workspace,
            prefix: &state.prompt,
            prompt_tokens: state.prompt_tokens,
            avoid: &state.avoid,
            now,
            random,
        };
        state.dispatches += 1;
        let choice = if state.dispatches <= MAX_DISPATCHES {
            daemon.picker.pick(&self.views[&daemon.zone], &query)
        } else {
            None
        };
        let Some(choice) = choice else {
            self.release(call, gate::PermitOutcome::Failed, None);
            const NO_REPLICA_RETRY: time::Millis = time::Millis::new(1_000);
            return self.refused(call, reason::RefusalReason::NoReplica, NO_REPLICA_RETRY);
        };
        daemon.picker.dispatched(&picker::DispatchReport {
            replica: &choice.replica,
            service: state.service,
            prefix: &state.prompt,
            prompt_tokens: state.prompt_tokens,
            now,
        });
        let Some(replica) =
            self.replicas.iter().position(|replica| replica.shown.id == choice.replica)
        else {
            return;
        };
        state.dispatch = Some(calls::CallDispatch {
            replica,
            at: now,
            sequence: None,
            usage: None,
            first: None,
        });
        if !self.replicas[replica].is_alive {
            // No connection: the call certainly did not run, so any call may be tried again.
            self.leave_replica(call, picker::FinishOutcome::Failed);
            return self.dispatch(call);
        }
        self.submit(call, replica);
    }

    fn submit(&mut self, call: CallNumber, replica: usize) {
        let state = &mut self.calls[call.0];
        match &mut self.replicas[replica].work {
            replica::ReplicaWork::Engine(engine) => {
                let job = batch::SequenceJob {
                    priority: state.service.priority,
                    blocks: state
                        .prompt
                        .iter()
                        .map(|hash| blocks::BlockHash::new(hash.get()))
                        .collect(),
                    prompt: state.prompt_tokens,
                    delivered: quantity::TokenCount::new(state.delivered),
                    imported: quantity::TokenCount::new(0),
                    target: quantity::TokenCount::new(state.answer_tokens),
                };
                self.tally.recomputed_tokens += state.delivered;
                let sequence = engine.scheduler.submit(job);
                engine.calls.insert(sequence, call);
                if let Some(dispatch) = &mut state.dispatch {
                    dispatch.sequence = Some(sequence);
                }
                self.start_step(replica);
            }
            replica::ReplicaWork::Plain(plain) => {
                plain.queue.push_back(call);
                self.start_plain(replica);
            }
        }
    }

    fn start_step(&mut self, replica: usize) {
        let Some(step) = self.replicas[replica].start_step() else { return };
        let epoch = self.replicas[replica].epoch;
        let length = step.length;
        self.after(length, SimEvent::Step { replica, epoch, step: Box::new(step) });
    }

    fn start_plain(&mut self, replica: usize) {
        let state = &mut self.replicas[replica];
        let epoch = state.epoch;
        let mut started = Vec::new();
        if let replica::ReplicaWork::Plain(plain) = &mut state.work {
            while plain.running.len() < replica::PLAIN_SERVERS {
                let Some(call) = plain.queue.pop_front() else { break };
                plain.running.push(call);
                started.push(call);
            }
        }
        for call in started {
            let plan::CallContent::Plain(plain) = &self.calls[call.0].planned.content else {
                continue;
            };
            let length = self.replicas[replica].paced(plain.service_time.to_duration());
            self.replicas[replica].busy += length / replica::PLAIN_SERVERS as u32;
            self.after(length, SimEvent::PlainEnd { replica, epoch, call });
        }
    }

    fn step_ended(&mut self, replica: usize, epoch: u32, step: &batch::BatchStep) {
        if self.replicas[replica].epoch != epoch {
            return;
        }
        let now = self.monotonic();
        self.replicas[replica].note_changes(&step.changes, now);
        if let replica::ReplicaWork::Engine(engine) = &mut self.replicas[replica].work {
            engine.is_stepping = false;
        }
        for event in &step.events {
            let replica::ReplicaWork::Engine(engine) = &self.replicas[replica].work else { break };
            let Some(call) = engine.calls.get(&event.sequence).copied() else { continue };
            match event.event {
                batch::SequenceEvent::Admitted { cached, computed } => {
                    self.admitted_by_engine(call, cached, computed);
                }
                batch::SequenceEvent::Token(_) => self.token(call),
                batch::SequenceEvent::Finished => self.complete(call),
            }
        }
        self.start_step(replica);
    }

    fn admitted_by_engine(
        &mut self,
        call: CallNumber,
        cached: quantity::TokenCount,
        computed: quantity::TokenCount,
    ) {
        let state = &mut self.calls[call.0];
        let missing = state.prompt.iter().skip((cached.get() / prefix::BLOCK_TOKENS) as usize);
        let known = missing.filter(|block| !self.computed_blocks.insert(**block)).count();
        self.tally.recomputed_tokens += known as u64 * prefix::BLOCK_TOKENS;
        self.tally.prompt_tokens += state.prompt_tokens.get();
        self.tally.computed_tokens += computed.get();
        if let Some(dispatch) = &mut state.dispatch {
            dispatch.usage = Some(picker::PromptUsage { cached, computed });
        }
    }

    fn token(&mut self, call: CallNumber) {
        let now = self.monotonic();
        let state = &mut self.calls[call.0];
        state.delivered += 1;
        state.first.get_or_insert(self.now);
        state.last = self.now;
        if let Some(dispatch) = &mut state.dispatch {
            dispatch.first.get_or_insert(now.since(dispatch.at));
        }
    }

    fn plain_ended(&mut self, replica: usize, epoch: u32, call: CallNumber) {
        if self.replicas[replica].epoch != epoch {
            return;
        }
        if let replica::ReplicaWork::Plain(plain) = &mut self.replicas[replica].work {
            plain.running.retain(|running| *running != call);
        }
        if !self.calls[call.0].is_ended {
            self.token(call);
            self.complete(call);
        }
        self.start_plain(replica);
    }

    fn complete(&mut self, call: CallNumber) {
        self.leave_replica(call, picker::FinishOutcome::Complete);
        let now = self.monotonic();
        let admitted = self.calls[call.0].admission.map(|admission| admission.at);
        let waited = admitted.map(|at| {
            let ended = now.since(at);
            let after_first = self.calls[call.0].after_first();
            ended.saturating_sub(time::Millis::from(after_first))
        });
        self.release(call, gate::PermitOutcome::Complete, waited);
        let state = &self.calls[call.0];
        let target = &state.service.latency;
        let Some(first_at) = state.first else { return };
        let delay = CLIENT_DELAY_MS + ZONE_DELAY_MS;
        let first = first_at.saturating_sub(state.planned.at.to_duration());
        let first = time::Millis::new(first.as_millis() as u64 + delay);
        let steps = state.answer_tokens.saturating_sub(1).max(1);
        let between = state.after_first().as_millis() as u64 / steps;
        let is_model = state.answer_tokens > 1;
        let keeps_between = !is_model || between <= target.between.get();
        let within_target = first <= target.first && keeps_between;
        self.end(call, tally::CallEnd::Complete { first, within_target });
    }

    /// Ends the present dispatch of a call.
    fn leave_replica(&mut self, call: CallNumber, outcome: picker::FinishOutcome) {
        let now = self.monotonic();
        let state = &mut self.calls[call.0];
        let Some(dispatch) = state.dispatch.take() else { return };
        let replica = &mut self.replicas[dispatch.replica];
        match &mut replica.work {
            replica::ReplicaWork::Engine(engine) => {
                if let Some(sequence) = dispatch.sequence {
                    engine.calls.remove(&sequence);
                    engine.scheduler.cancel(sequence);
                }
            }
            replica::ReplicaWork::Plain(plain) => plain.queue.retain(|queued| *queued != call),
        }
        if outcome == picker::FinishOutcome::Failed {
            state.avoid.push(replica.shown.id.clone());
        }
        self.daemons[state.daemon].picker.finished(&picker::FinishReport {
            replica: &replica.shown.id,
            service: &state.service.id,
            prefix: &state.prompt,
            prompt_tokens: state.prompt_tokens,
            dispatched: dispatch.at,
            now,
            outcome,
            first: dispatch.first,
            usage: dispatch.usage,
        });
    }

    /// Ends the admission of a call.
    fn release(
        &mut self,
        call: CallNumber,
        outcome: gate::PermitOutcome,
        first: Option<time::Millis>,
    ) {
        let now = self.monotonic();
        let state = &mut self.calls[call.0];
        let Some(admission) = state.admission.take() else { return };
        let report = gate::PermitReport { outcome, first, now };
        self.daemons[state.daemon].gate.finished(admission.permit, &report);
    }

    fn deadline(&mut self, call: CallNumber) {
        if self.calls[call.0].is_ended {
            return;
        }
        self.leave_replica(call, picker::FinishOutcome::Cancelled);
        self.release(call, gate::PermitOutcome::TimedOut, None);
        self.end(call, tally::CallEnd::Refused(reason::RefusalReason::DeadlinePassed));
    }

    fn end(&mut self, call: CallNumber, end: tally::CallEnd) {
        let state = &mut self.calls[call.0];
        if state.is_ended {
            return;
        }
        state.is_ended = true;
        state.prompt = sync::Arc::from([]);
        let warm_up = self.plan.length.get() * WARM_UP_PER_MILLE / 1_000;
        if state.planned.at.get() >= warm_up {
            self.tally.end(state.service, end);
        }
    }

    fn report(&self) -> tally::RunReport {
        let length = self.plan.length;
        let counted = length.get() - length.get() * WARM_UP_PER_MILLE / 1_000;
        let counted = time::Millis::new(counted);
        let hours = |length: Duration| length.as_secs_f64() / 3_600.0;
        let end = length.to_duration();
        let start = end.saturating_sub(counted.to_duration());
        let (mut whole, mut busy) = (0.0, 0.0);
        const MICROS: f64 = 1_000_000.0;
        for replica in &self.replicas {
            let price = replica.shown.price.get() as f64 / MICROS;
            whole += price * hours(replica.held(start, end));
            busy += price * hours(replica.busy);
        }
        self.tally.report(counted, tally::RunCost { whole, busy: Some(busy) })
    }
}
