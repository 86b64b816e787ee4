//! `samphiremoor-load`: load generator and policy simulator, for development only.

use std::error;
use std::path;
use std::process;

use async_std::task;
use samphiremoor_base::time;
use samphiremoor_load::compare;
use samphiremoor_load::experiment::capacity;
use samphiremoor_load::experiment::deployment;
use samphiremoor_load::experiment::policy;
use samphiremoor_load::experiment::replica;
use samphiremoor_load::experiment::situation;
use samphiremoor_load::experiment::table;
use samphiremoor_load::experiment::world;
use samphiremoor_load::live::run;
use samphiremoor_load::settings;
use samphiremoor_settings::load;
use samphiremoor_settings::logging;

/// Generate load and simulate policies, for development only.
#[derive(argh::FromArgs)]
struct LoadArgs {
    #[argh(subcommand)]
    command: LoadCommand,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum LoadCommand {
    Run(RunArgs),
    Compare(CompareArgs),
    Experiment(ExperimentArgs),
}

/// Sends the calls of a workload to entry daemons and verifies every response.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "run")]
struct RunArgs {
    /// settings file, in TOML
    #[argh(option)]
    settings: path::PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Compares the JSON reports of two runs.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "compare")]
struct CompareArgs {
    /// report of the earlier run
    #[argh(positional)]
    before: path::PathBuf,
    /// report of the later run
    #[argh(positional)]
    after: path::PathBuf,
}

/// Simulates routing and admission policies against a time model of engines.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "experiment")]
struct ExperimentArgs {
    /// directory of a deployment; may be repeated
    #[argh(option)]
    deployment: Vec<path::PathBuf>,
    /// situation to simulate, such as twice-capacity; may be repeated (default: all)
    #[argh(option)]
    situation: Vec<situation::Situation>,
    /// policy to simulate, such as scored (used by the daemons); may be repeated (default: all)
    #[argh(option)]
    policy: Vec<policy::PolicyKind>,
    /// simulated seconds during which calls arrive
    #[argh(option, default = "60")]
    seconds: u64,
    /// maximum age of a load report, in milliseconds
    #[argh(option, default = "500")]
    load_age: u64,
    /// delay before a cache event is published, in milliseconds
    #[argh(option, default = "200")]
    cache_age: u64,
    /// seed of every run
    #[argh(option, default = "7")]
    seed: u64,
    /// compare VM purchase policies during a wave of reclaims, instead of the routing and admission policies
    #[argh(switch)]
    capacity: bool,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

fn main() -> process::ExitCode {
    let args: LoadArgs = argh::from_env();
    match args.command {
        LoadCommand::Run(args) => generate_load(&args),
        LoadCommand::Compare(args) => compare_reports(&args),
        LoadCommand::Experiment(args) => run_experiment(&args),
    }
}

fn fail(cause: &dyn error::Error) -> process::ExitCode {
    eprintln!("samphiremoor-load: {cause}");
    process::ExitCode::FAILURE
}

fn generate_load(args: &RunArgs) -> process::ExitCode {
    let settings: settings::LoadSettings = match load::load(&args.settings) {
        Ok(settings) => settings,
        Err(cause) => return fail(&cause),
    };
    if args.check {
        return process::ExitCode::SUCCESS;
    }
    logging::start("samphiremoor-load", &settings.log);
    let report = match task::block_on(run::run(&settings)) {
        Ok(report) => report,
        Err(cause) => return fail(&cause),
    };
    if args.json {
        println!("{}", serde_json::json!(report));
    } else {
        print!("{report}");
    }
    if report.wrong_answers == 0 { process::ExitCode::SUCCESS } else { process::ExitCode::FAILURE }
}

fn compare_reports(args: &CompareArgs) -> process::ExitCode {
    match compare::read(&args.before, &args.after) {
        Ok(comparison) => {
            print!("{comparison}");
            process::ExitCode::SUCCESS
        }
        Err(cause) => fail(&cause),
    }
}

fn run_experiment(args: &ExperimentArgs) -> process::ExitCode {
    let mut rows = Vec::new();
    for directory in &args.deployment {
        let deployment = match deployment::read(directory) {
            Ok(deployment) => deployment,
            Err(cause) => return fail(&cause),
        };
        let plans = if args.capacity { capacity_plans(args) } else { policy_plans(args) };
        for plan in plans {
            let report = world::run(&deployment, &plan);
            rows.push(table::ExperimentRow {
                deployment: deployment.name.clone(),
                situation: plan.situation,
                policy: plan.policy,
                capacity: plan.capacity,
                report,
            });
        }
    }
    let table = table::ExperimentTable { seed: args.seed, rows };
    if args.json {
        println!("{}", serde_json::json!(table));
    } else {
        println!("{table}");
    }
    process::ExitCode::SUCCESS
}

fn policy_plans(args: &ExperimentArgs) -> Vec<world::RunPlan> {
    let is_selected_situation =
        |kind: &situation::Situation| args.situation.is_empty() || args.situation.contains(kind);
    let situations = situation::Situation::ALL.into_iter().filter(is_selected_situation);
    let is_selected_policy =
        |kind: &policy::PolicyKind| args.policy.is_empty() || args.policy.contains(kind);
    let policies = policy::PolicyKind::ALL.into_iter().filter(is_selected_policy);
    let run_plan = |situation, policy| world::RunPlan {
        policy,
        situation,
        capacity: None,
        length: time::Millis::new(args.seconds * 1_000),
        seed: args.seed,
        ages: report_ages(args),
    };
    situations
        .flat_map(|situation| policies.clone().map(move |policy| run_plan(situation, policy)))
        .collect()
}

fn report_ages(args: &ExperimentArgs) -> replica::ReportAges {
    replica::ReportAges {
        load: time::Millis::new(args.load_age),
        cache: time::Millis::new(args.cache_age),
    }
}

fn capacity_plans(args: &ExperimentArgs) -> Vec<world::RunPlan> {
    let run_plan = |capacity| world::RunPlan {
        policy: policy::PolicyKind::Scored,
        situation: situation::Situation::ZoneReclaimed,
        capacity: Some(capacity),
        length: time::Millis::new(args.seconds * 1_000),
        seed: args.seed,
        ages: report_ages(args),
    };
    capacity::CapacityKind::ALL.map(run_plan).into()
}
