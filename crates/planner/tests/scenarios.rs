//! Runs the scenarios in `scenarios/planner`.

mod common;

use std::error;
use std::fmt::Write as _;

use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_planner::fleet;
use samphiremoor_planner::placement;
use samphiremoor_planner::plan;
use samphiremoor_planner::planner;
use samphiremoor_planner::purchase;
use samphiremoor_platform::cloud;
use samphiremoor_records::set;
use samphiremoor_view::zone;

type RunResult<T> = Result<T, Box<dyn error::Error>>;

struct PlannerRunner {
    planner: planner::FleetPlanner,
    records: set::RecordSet,
    replicas: Vec<fleet::FleetReplica>,
    offers: Vec<cloud::VmOffer>,
    now: time::MonotonicTime,
    /// Number of VMs that plans have started, which numbers their names.
    started_vms: u32,
    last_plan: plan::FleetPlan,
}

#[derive(goldenscript::Command)]
enum PlannerCommand {
    /// Sets the models of the services, such as `m@1+forms`.
    Models(Vec<String>),
    /// Sets the purchase policy: balanced, on-demand or cheapest.
    Policy(String),
    /// Adds a replica in this zone, reclaimable or not, at this price, unless it exists; sets the
    /// other values that are given.
    Vm {
        name: String,
        #[arg(key)]
        zone: Option<String>,
        #[arg(key)]
        reclaimable: Option<bool>,
        #[arg(key)]
        price: Option<u64>,
        #[arg(key)]
        state: Option<String>,
        #[arg(key)]
        running: Option<u32>,
        #[arg(key)]
        model: Option<String>,
        #[arg(key)]
        role: Option<String>,
    },
    /// Sets the running requests of every replica.
    Load(u32),
    /// Removes every reclaimable replica of an availability zone.
    Reclaim(String),
    /// Makes a plan and prints it.
    Plan,
    /// Carries out the last plan. The cloud accepts starts, except in the availability zones whose
    /// names `refused` contains.
    Apply {
        #[arg(key)]
        refused: Option<String>,
    },
    /// Makes joining replicas live and completes their loads.
    Ready,
    /// Plans and applies, 5,000 ms apart, until a plan has no actions; prints the number of plans
    /// that had actions.
    Settle,
    /// Advances the clock by milliseconds.
    Pass(u64),
    /// Prints the VMs.
    Vms,
}

impl PlannerRunner {
    fn new() -> Self {
        PlannerRunner {
            planner: planner_with_policy(Box::new(purchase::BalancedPurchase)),
            records: common::records(&["m@1"]),
            replicas: Vec::new(),
            offers: common::offers(),
            now: time::MonotonicTime::new(1_000),
            started_vms: 0,
            last_plan: plan::FleetPlan::default(),
        }
    }

    fn plan(&mut self) {
        let input = planner::PlanInput {
            records: &self.records,
            replicas: &self.replicas,
            offers: &self.offers,
            now: self.now,
        };
        self.last_plan = self.planner.plan(&input);
    }

    fn apply_plan(&mut self, refused_zones: Option<&str>) -> String {
        let mut output = String::new();
        for planned in std::mem::take(&mut self.last_plan.actions) {
            match planned.action {
                plan::PlanAction::Start { pool, offer } => {
                    if refused_zones.is_some_and(|zones| zones.contains(offer.zone.as_str())) {
                        let retry_at = self.planner.on_start_refused(&offer, self.now);
                        let delay = retry_at.since(self.now);
                        output += &format!("refused zone={} wait={delay}\n", offer.zone);
                        continue;
                    }
                    self.started_vms += 1;
                    let name = format!("vm{}", self.started_vms);
                    let mut replica = common::replica(&name, &offer, &[]);
                    self.planner.on_start_accepted(&pool, &offer, replica.vm.clone(), self.now);
                    replica.state = zone::UpstreamState::Joining;
                    self.replicas.push(replica);
                }
                plan::PlanAction::Release { vm, .. } => {
                    self.replicas.retain(|replica| replica.vm != vm);
                }
                plan::PlanAction::Load { replica, model } => {
                    if let Some(replica) = self.replica(&replica) {
                        replica.loading.push(model);
                    }
                }
                plan::PlanAction::Unload { replica, model } => {
                    if let Some(replica) = self.replica(&replica) {
                        replica.models.retain(|loaded| *loaded != model);
                    }
                }
                plan::PlanAction::UnifyRole { replica } => {
                    if let Some(replica) = self.replica(&replica) {
                        replica.role = Some(fleet::EngineRole::Both);
                    }
                }
            }
        }
        output
    }

    fn replica(&mut self, id: &id::ReplicaId) -> Option<&mut fleet::FleetReplica> {
        self.replicas.iter_mut().find(|replica| replica.id == *id)
    }

    fn complete_joins_and_loads(&mut self) {
        for replica in &mut self.replicas {
            replica.state = zone::UpstreamState::Live;
            let loaded: Vec<_> = replica.loading.drain(..).collect();
            replica.models.extend(loaded);
        }
    }

    /// Plans and applies until a plan has no actions; returns the number of plans that had some.
    fn settle(&mut self) -> usize {
        const MAX_ROUNDS: usize = 50;
        for round in 0..MAX_ROUNDS {
            self.plan();
            if self.last_plan.actions.is_empty() {
                return round;
            }
            self.apply_plan(None);
            self.complete_joins_and_loads();
            self.now = self.now + time::Millis::new(5_000);
        }
        MAX_ROUNDS
    }

    fn list_vms(&self) -> String {
        let mut output = String::new();
        for replica in &self.replicas {
            let kind = if replica.reclaimable { "reclaimable" } else { "on-demand" };
            let models: Vec<String> = replica
                .models
                .iter()
                .map(|model| format!("{}@{}", model.model, model.version))
                .collect();
            let (id, zone, class) = (&replica.id, &replica.zone, &replica.class);
            output += &format!("{id} {zone} {class} {kind} [{}]\n", models.join(" "));
        }
        output
    }
}

fn planner_with_policy(policy: Box<dyn purchase::PurchasePolicy>) -> planner::FleetPlanner {
    planner::FleetPlanner::new(policy, placement::PlacementLimits::default())
}

impl goldenscript::Runner for PlannerRunner {
    type Command = PlannerCommand;

    fn run(&mut self, command: &PlannerCommand, _: &goldenscript::Context) -> RunResult<String> {
        let mut output = String::new();
        match command {
            PlannerCommand::Models(models) => {
                let models: Vec<&str> = models.iter().map(String::as_str).collect();
                self.records = common::records(&models);
            }
            PlannerCommand::Policy(name) => {
                self.planner = planner_with_policy(match name.as_str() {
                    "on-demand" => Box::new(purchase::OnDemandPurchase),
                    "cheapest" => Box::new(purchase::CheapestPurchase),
                    _ => Box::new(purchase::BalancedPurchase),
                });
            }
            PlannerCommand::Vm { name, zone, reclaimable, price, state, running, model, role } => {
                let id: id::ReplicaId = name.parse()?;
                if self.replica(&id).is_none() {
                    let zone = zone.as_deref().unwrap_or("a");
                    let price = price.unwrap_or(30);
                    let offer = common::offer("small", zone, reclaimable.unwrap_or(true), price);
                    self.replicas.push(common::replica(name, &offer, &["m@1"]));
                }
                let Some(replica) = self.replica(&id) else { return Ok(output) };
                if let Some(running) = running {
                    replica.load.running = *running;
                }
                if let Some(model) = model {
                    replica.models = [common::model(model)].into_iter().collect();
                }
                match state.as_deref() {
                    Some("leaving") => replica.state = zone::UpstreamState::Leaving,
                    Some("joining") => replica.state = zone::UpstreamState::Joining,
                    _ => {}
                }
                match role.as_deref() {
                    Some("prefill") => replica.role = Some(fleet::EngineRole::Prefill),
                    Some("decode") => replica.role = Some(fleet::EngineRole::Decode),
                    _ => {}
                }
            }
            PlannerCommand::Load(running) => {
                self.replicas.iter_mut().for_each(|replica| replica.load.running = *running);
            }
            PlannerCommand::Reclaim(zone) => {
                self.replicas
                    .retain(|replica| !(replica.reclaimable && replica.zone.as_str() == zone));
            }
            PlannerCommand::Plan => {
                self.plan();
                write!(output, "{}", self.last_plan)?;
            }
            PlannerCommand::Apply { refused } => {
                output += &self.apply_plan(refused.as_deref());
            }
            PlannerCommand::Ready => self.complete_joins_and_loads(),
            PlannerCommand::Settle => writeln!(output, "settled after {} plans", self.settle())?,
            PlannerCommand::Pass(duration_ms) => {
                self.now = self.now + time::Millis::new(*duration_ms)
            }
            PlannerCommand::Vms => output += &self.list_vms(),
        }
        Ok(output)
    }
}

fn check(name: &str) {
    let path = format!("../../scenarios/planner/{name}");
    goldenscript::run(&mut PlannerRunner::new(), path).expect("the scenario file can be read");
}

samphiremoor_base::cases! {
    demand_is_met_by_the_cheapest_mix_that_survives_a_zone_loss => check("purchase");
    baseline_policies_ignore_zone_loss_or_price => check("baselines");
    reclaimed_zone_is_replaced_in_other_zones => check("reclaim_wave");
    refused_offers_are_backed_off => check("refused_starts");
    surplus_is_released_slowly => check("surplus");
    model_versions_roll_over_without_a_gap => check("roll_over");
    concurrent_loads_are_limited => check("placement");
}
