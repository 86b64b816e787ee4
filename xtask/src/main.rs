//! Development chores: `cargo xtask demo`, `cargo xtask test`, `cargo xtask specs`,
//! `cargo xtask protections`.

mod checks;
mod demo;
mod known_red;
mod packages;
mod protections;
mod run;
mod specs;
mod tests;

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
    Protections(ProtectionArgs),
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

/// Take out each listed protection in a scratch copy and expect its test to fail.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "protections")]
struct ProtectionArgs {
    /// a protection to take out; may be given more than once
    #[argh(option)]
    only: Vec<String>,
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
        ChoreCommand::Protections(args) => protections::show_all(&args.only),
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
