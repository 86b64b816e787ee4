//! `samphiremoorctl`: the command line for operators.

use std::io;
use std::process;
use std::sync;

use argh::FromArgs as _;
use async_std::task;
use samphiremoor_ctl::args;
use samphiremoor_ctl::command;
use samphiremoor_ctl::outcome;
use samphiremoor_ctl::settings;
use samphiremoor_ctl::survey;
use samphiremoor_settings::load;

fn main() -> process::ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let args = match args::CtlArgs::from_args(&["samphiremoorctl"], &words) {
        Ok(args) => args,
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            return process::ExitCode::SUCCESS;
        }
        Err(exit) => return usage(&exit.output),
    };
    let Some(file) = &args.settings else {
        return usage("pass the settings file with --settings FILE");
    };
    let settings = match load::load::<settings::CtlSettings>(file) {
        Ok(settings) => settings,
        Err(cause) => return fail(outcome::REFUSED, &cause.to_string()),
    };
    if args.check {
        return process::ExitCode::SUCCESS;
    }
    let Some(command) = &args.command else {
        return usage("pass a command; --help lists the commands");
    };
    if let Some(missing) = command.missing_argument() {
        return usage(missing);
    }
    match task::block_on(run(&settings, args.output, command)) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(cause) => fail(cause.code(), &cause.to_string()),
    }
}

async fn run(
    settings: &settings::CtlSettings,
    format: args::OutputFormat,
    command: &args::Command,
) -> Result<(), outcome::CtlError> {
    let platform = settings.platform.client().map_err(outcome::CtlError::Token)?;
    let clients = command::CtlClients {
        table: sync::Arc::new(platform.clone()),
        cloud: sync::Arc::new(platform),
        daemon_client: sync::Arc::new(survey::PeerDaemonClient::new(settings.timeout_ms)),
    };
    let context = command::CommandContext {
        author: settings.author.clone(),
        wait: settings.wait_ms,
        seeds: settings.seeds.clone(),
        format,
    };
    let mut out = io::stdout();
    let mut progress = io::stderr();
    command::CommandRunner::new(clients, context, &mut out, &mut progress).run(command).await
}

fn usage(message: &str) -> process::ExitCode {
    fail(outcome::USAGE, message)
}

fn fail(code: u8, message: &str) -> process::ExitCode {
    eprintln!("samphiremoorctl: {message}");
    process::ExitCode::from(code)
}
