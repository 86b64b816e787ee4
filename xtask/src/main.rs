//! Development chores: `cargo xtask demo`, `cargo xtask test`, `cargo xtask specs`.

mod checks;
mod demo;
mod known_red;
mod packages;
mod run;
mod specs;

use std::process;

/// Chores of the samphiremoor workspace.
#[derive(argh::FromArgs)]
struct ChoreArgs {
    #[argh(subcommand)]
    chore: ChoreCommand,
}

/// The chore to do.
#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum ChoreCommand {
    Demo(DemoArgs),
    Specs(SpecsArgs),
    Test(TestArgs),
}

/// Start two availability zones on loopback, send requests, show what came back.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "demo")]
struct DemoArgs {
    /// stay up until a signal, and print where to send requests
    #[argh(switch)]
    keep: bool,
}

/// Run the formatter, the linter, all tests and the model checker.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "test")]
struct TestArgs {}

/// Run the model checker over the specifications alone.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "specs")]
struct SpecsArgs {}

fn main() -> process::ExitCode {
    let args: ChoreArgs = argh::from_env();
    let done = match args.chore {
        ChoreCommand::Demo(args) => demo::run_demo(args.keep),
        ChoreCommand::Specs(_) => packages::install_missing().and_then(|()| specs::check_all()),
        ChoreCommand::Test(_) => checks::run_all(),
    };
    match done {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("xtask: {failure}");
            process::ExitCode::FAILURE
        }
    }
}
