//! Arguments of the command line.

use std::path;

use argh::FromArgs;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_records::entry;

/// Operate samphiremoor through its records.
#[derive(Clone, Debug, PartialEq)]
#[derive(FromArgs)]
pub struct CtlArgs {
    /// settings file
    #[argh(option)]
    pub settings: Option<path::PathBuf>,
    /// check the settings and exit
    #[argh(switch)]
    pub check: bool,
    /// output format: text (default) or json
    #[argh(option, default = "OutputFormat::Text", from_str_fn(parse_format))]
    pub output: OutputFormat,
    /// command to run
    #[argh(subcommand)]
    pub command: Option<Command>,
}

/// Output format.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OutputFormat {
    /// Text for operators.
    Text,
    /// JSON for programs.
    Json,
}

fn parse_format(text: &str) -> Result<OutputFormat, String> {
    match text {
        "text" => Ok(OutputFormat::Text),
        "json" => Ok(OutputFormat::Json),
        _ => Err("use --output text or --output json".to_owned()),
    }
}

/// A command.
#[derive(Clone, Debug, PartialEq)]
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Validates record files.
    Validate(ValidateArgs),
    /// Writes record files.
    Apply(ApplyArgs),
    /// Withdraws records.
    Withdraw(WithdrawArgs),
    /// Prints records.
    Get(GetArgs),
    /// Prints the history of changes.
    History(HistoryArgs),
    /// Prints the status of the system.
    Status(StatusArgs),
    /// Drains a VM.
    Drain(DrainArgs),
    /// Explains the choice of a replica for a request.
    Explain(ExplainArgs),
    /// Prints the plan for VMs and models without executing it.
    Plan(PlanArgs),
}

impl Command {
    /// Returns a message about a missing argument, if one is missing.
    pub fn missing_argument(&self) -> Option<&'static str> {
        match self {
            Command::Validate(args) if args.files.is_empty() => {
                Some("name at least one record file")
            }
            Command::Apply(args) if args.files.is_empty() => Some("name at least one record file"),
            Command::Withdraw(args) if args.keys.is_empty() => {
                Some("name at least one record, such as service/drafts")
            }
            Command::Plan(args) if !args.dry_run => {
                Some("use plan --dry-run; only the control threads execute plans")
            }
            _ => None,
        }
    }
}

/// validate record files without writing them
#[derive(Clone, Debug, PartialEq)]
#[derive(FromArgs)]
#[argh(subcommand, name = "validate")]
pub struct ValidateArgs {
    /// validate the files together with the current records
    #[argh(switch)]
    pub with_current: bool,
    /// record files
    #[argh(positional)]
    pub files: Vec<path::PathBuf>,
}

/// write the records of the files in one atomic change
#[derive(Clone, Debug, PartialEq)]
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyArgs {
    /// refuse the change if one of its records was changed after this revision
    #[argh(option)]
    pub base: Option<quantity::RevisionNumber>,
    /// after a conflict, apply again if the concurrent change touched only other records
    #[argh(switch)]
    pub rebase: bool,
    /// return once the change is written, without waiting until it is in force
    #[argh(switch)]
    pub no_wait: bool,
    /// record files
    #[argh(positional)]
    pub files: Vec<path::PathBuf>,
}

/// withdraw records in one atomic change
#[derive(Clone, Debug, PartialEq)]
#[derive(FromArgs)]
#[argh(subcommand, name = "withdraw")]
pub struct WithdrawArgs {
    /// refuse the change if one of the records was changed after this revision
    #[argh(option)]
    pub base: Option<quantity::RevisionNumber>,
    /// after a conflict, withdraw again if the concurrent change touched only other records
    #[argh(switch)]
    pub rebase: bool,
    /// return once the change is written, without waiting until it is in force
    #[argh(switch)]
    pub no_wait: bool,
    /// record keys, such as service/drafts
    #[argh(positional)]
    pub keys: Vec<entry::RecordKey>,
}

/// print records as they were written
#[derive(Clone, Debug, PartialEq)]
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub struct GetArgs {
    /// revision to read (default: the newest)
    #[argh(option)]
    pub revision: Option<quantity::RevisionNumber>,
    /// record key, such as service/drafts (default: all records)
    #[argh(positional)]
    pub key: Option<entry::RecordKey>,
}

/// print the latest changes with their write ids
#[derive(Clone, Debug, PartialEq)]
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub struct HistoryArgs {
    /// maximum number of changes (default: 20)
    #[argh(option, default = "20")]
    pub limit: u64,
}

/// print the revision in force in each availability zone and the replicas of each service
#[derive(Clone, Debug, PartialEq)]
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {}

/// mark a VM as leaving: it gets no new work and may be stopped once its requests have ended
#[derive(Clone, Debug, PartialEq)]
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainArgs {
    /// remove the mark, so that a new VM with the same id can join
    #[argh(switch)]
    pub undo: bool,
    /// id of the VM
    #[argh(positional)]
    pub vm: id::VmId,
}

/// print the replicas that may serve the request of a file, with their scores
#[derive(Clone, Debug, PartialEq)]
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// request file
    #[argh(positional)]
    pub file: path::PathBuf,
}

/// print the VM starts, VM releases and model orders of a plan, with their reasons
#[derive(Clone, Debug, PartialEq)]
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
pub struct PlanArgs {
    /// change nothing; required
    #[argh(switch)]
    pub dry_run: bool,
}
