//! Development tasks: `cargo xtask demo`, `cargo xtask test`, `cargo xtask specs`,
//! `cargo xtask protections`.

mod checks;
mod demo;
mod known_failures;
mod packages;
mod protections;
mod run;
mod specs;
mod tests;

use std::process;

/// Development tasks of the samphiremoor workspace.
#[derive(argh::FromArgs)]
struct TaskArgs {
    #[argh(subcommand)]
    task: TaskCommand,
}

/// Task to run.
#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum TaskCommand {
    Demo(DemoArgs),
    Protections(ProtectionArgs),
    Specs(SpecsArgs),
    Test(TestArgs),
}

/// Start two availability zones on loopback, send requests and print the responses.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "demo")]
struct DemoArgs {
    /// keep running until a signal, and print the addresses that take requests
    #[argh(switch)]
    keep: bool,
}

/// Remove each listed protection in a scratch copy and check that its test fails.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "protections")]
struct ProtectionArgs {
    /// protection to check; may be repeated (default: all)
    #[argh(option)]
    only: Vec<String>,
}

/// Run the formatter, the linter, all tests and the model checker.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "test")]
struct TestArgs {}

/// Run only the model checker on the specifications.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "specs")]
struct SpecsArgs {}

fn main() -> process::ExitCode {
    let args: TaskArgs = argh::from_env();
    let result = match args.task {
        TaskCommand::Demo(args) => demo::run_demo(args.keep),
        TaskCommand::Protections(args) => protections::check_all(&args.only),
        TaskCommand::Specs(_) => packages::install_missing().and_then(|()| specs::check_all()),
        TaskCommand::Test(_) => checks::run_all(),
    };
    match result {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("xtask: {error}");
            process::ExitCode::FAILURE
        }
    }
}
