//! `samphiremoor-load`: load and experiments, for development only.

use std::path;
use std::process;

use samphiremoor_base::time;
use samphiremoor_load::experiment::deployment;
use samphiremoor_load::experiment::policy;
use samphiremoor_load::experiment::situation;
use samphiremoor_load::experiment::table;
use samphiremoor_load::experiment::world;

/// Load and experiments, for development only.
#[derive(argh::FromArgs)]
struct LoadArgs {
    #[argh(subcommand)]
    command: LoadCommand,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum LoadCommand {
    Experiment(ExperimentArgs),
}

/// Drives the policies against a time model of engines, with simulated time.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "experiment")]
struct ExperimentArgs {
    /// folder of a deployment; may be given several times
    #[argh(option)]
    deployment: Vec<path::PathBuf>,
    /// situation to run, such as twice-capacity; every one where none is given
    #[argh(option)]
    situation: Vec<situation::Situation>,
    /// simulated seconds of arrivals in a run
    #[argh(option, default = "60")]
    seconds: u64,
    /// seed of every run
    #[argh(option, default = "7")]
    seed: u64,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

fn main() -> process::ExitCode {
    let args: LoadArgs = argh::from_env();
    match args.command {
        LoadCommand::Experiment(args) => experiment(&args),
    }
}

fn experiment(args: &ExperimentArgs) -> process::ExitCode {
    let mut rows = Vec::new();
    for folder in &args.deployment {
        let deployment = match deployment::read(folder) {
            Ok(deployment) => deployment,
            Err(cause) => {
                eprintln!("{cause}");
                return process::ExitCode::FAILURE;
            }
        };
        let is_wanted = |kind: &situation::Situation| {
            args.situation.is_empty() || args.situation.contains(kind)
        };
        for situation in situation::Situation::ALL.into_iter().filter(is_wanted) {
            for policy in policy::PolicyKind::ALL {
                let length = time::Millis::new(args.seconds * 1_000);
                let plan = world::RunPlan { policy, situation, length, seed: args.seed };
                let report = world::run(&deployment, &plan);
                let deployment = deployment.name.clone();
                rows.push(table::ExperimentRow { deployment, situation, policy, report });
            }
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
