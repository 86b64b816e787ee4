//! Development chores: `cargo xtask demo` and `cargo xtask test`.

mod checks;
mod packages;
mod run;

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
    Test(TestArgs),
}

/// Run the formatter, the linter, all tests and the model checker.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "test")]
struct TestArgs {}

fn main() -> process::ExitCode {
    let args: ChoreArgs = argh::from_env();
    let done = match args.chore {
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
