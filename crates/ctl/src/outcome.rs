//! Errors and exit codes of commands.

use std::error;
use std::fmt;

use samphiremoor_base::quantity;
use samphiremoor_head::change;
use samphiremoor_platform::table;
use samphiremoor_records::bundle;
use samphiremoor_records::entry;
use samphiremoor_records::file;
use samphiremoor_records::revision;
use samphiremoor_settings::secret;

/// Exit code of a successful command.
pub const SUCCESS: u8 = 0;
/// Exit code of a refused command, which had no effect.
pub const REFUSED: u8 = 1;
/// Exit code of an invalid command line.
pub const USAGE: u8 = 2;
/// Exit code if it is unknown whether the command took effect everywhere.
pub const UNKNOWN: u8 = 3;

/// Reason why a command failed.
#[derive(Debug)]
pub enum CtlError {
    /// A file can't be read.
    UnreadableFile(std::path::PathBuf, std::io::Error),
    /// A file has invalid records.
    InvalidFile(std::path::PathBuf, file::FileError),
    /// A record is declared twice.
    DuplicateRecord(entry::RecordKey),
    /// The records are inconsistent.
    InvalidSet(bundle::SetError),
    /// A record to withdraw or print does not exist.
    RecordNotFound(bundle::NotFoundError),
    /// A row of the table is invalid.
    InvalidRow(revision::RowError),
    /// The platform did not respond to a read, or did not execute a write.
    Platform(table::PlatformError),
    /// A concurrent change was written first.
    Conflict(change::WinningChange, Vec<entry::RecordKey>),
    /// A record of the change was changed after the base revision.
    ChangedSince {
        /// Base revision of the operator's change.
        base: quantity::RevisionNumber,
        /// Newest revision.
        newest: quantity::RevisionNumber,
        /// Records of the change that were changed after the base revision.
        keys: Vec<entry::RecordKey>,
    },
    /// The revision does not exist or is no longer stored.
    NoRevision(quantity::RevisionNumber),
    /// The response to the write was lost, and the table can't be read to determine the outcome.
    OutcomeUnknown {
        /// Revision that the change would have.
        revision: quantity::RevisionNumber,
        /// Id of the write.
        write_id: samphiremoor_base::id::WriteId,
    },
    /// The change is written but not known to be in force at every daemon.
    NotInForce {
        /// Revision of the change.
        revision: quantity::RevisionNumber,
        /// Descriptions of the daemons that are not known to serve by the revision.
        missing: Vec<String>,
    },
    /// No control thread responds.
    NoDaemonReachable,
    /// The platform's list does not have the VM.
    UnknownVm(samphiremoor_base::id::VmId),
    /// The request file is invalid.
    InvalidRequest(String),
    /// The platform's token can't be read.
    Token(secret::SecretError),
}

impl CtlError {
    /// Returns the exit code.
    pub fn code(&self) -> u8 {
        match self {
            CtlError::OutcomeUnknown { .. } | CtlError::NotInForce { .. } => UNKNOWN,
            CtlError::Platform(table::PlatformError::Unknown(_)) => UNKNOWN,
            _ => REFUSED,
        }
    }
}

impl fmt::Display for CtlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CtlError::UnreadableFile(file, cause) => {
                write!(f, "{}: can't be read ({cause}); pass a readable file", file.display())
            }
            CtlError::InvalidFile(file, cause) => write!(f, "{}: {cause}", file.display()),
            CtlError::DuplicateRecord(key) => {
                write!(f, "{key} is declared twice; keep one of the declarations")
            }
            CtlError::InvalidSet(cause) => cause.fmt(f),
            CtlError::RecordNotFound(cause) => cause.fmt(f),
            CtlError::InvalidRow(cause) => cause.fmt(f),
            CtlError::Platform(cause @ table::PlatformError::NotDone(_)) => {
                write!(f, "nothing was changed: {cause}")
            }
            CtlError::Platform(cause @ table::PlatformError::Unknown(_)) => cause.fmt(f),
            CtlError::Conflict(winner, changed) => write_conflict(f, winner, changed),
            CtlError::ChangedSince { base, newest, keys } => write!(
                f,
                "changed after revision {base}, the newest is revision {newest}: {}; get the \
                 records again, merge your change and apply it",
                join(keys)
            ),
            CtlError::NoRevision(revision) => {
                write!(f, "revision {revision} does not exist or is no longer stored; see history")
            }
            CtlError::OutcomeUnknown { revision, write_id } => write!(
                f,
                "the response to the write was lost and the table does not respond: it is unknown \
                 whether the write took effect or still will; once the table responds, run \
                 `samphiremoorctl history`: the change is in force if revision {revision} has \
                 write id {write_id}, and had no effect if revision {revision} has another write id"
            ),
            CtlError::NotInForce { revision, missing } => write!(
                f,
                "revision {revision} is written and can't be lost, but is not known to be in force \
                 at: {}; run `samphiremoorctl status` until every zone shows the revision",
                missing.join(", ")
            ),
            CtlError::NoDaemonReachable => f.write_str(
                "no daemon responds; check the daemons' processes and the platform's VM list",
            ),
            CtlError::UnknownVm(vm) => {
                write!(f, "the platform's list has no VM {vm}; see status for the VMs")
            }
            CtlError::InvalidRequest(cause) => write!(f, "invalid request file: {cause}"),
            CtlError::Token(cause) => cause.fmt(f),
        }
    }
}

fn write_conflict(
    f: &mut fmt::Formatter<'_>,
    winner: &change::WinningChange,
    changed: &[entry::RecordKey],
) -> fmt::Result {
    write!(f, "nothing was changed: revision {} was written first", winner.revision)?;
    if let Some(writer) = &winner.writer {
        write!(f, ", by {} with write id {}", writer.author, writer.write_id)?;
    }
    if !changed.is_empty() {
        write!(f, ", changing {}", join(changed))?;
    }
    f.write_str("; see history and get, then apply again")
}

fn join(keys: &[entry::RecordKey]) -> String {
    let texts: Vec<String> = keys.iter().map(ToString::to_string).collect();
    texts.join(", ")
}

impl error::Error for CtlError {}

impl From<table::PlatformError> for CtlError {
    fn from(cause: table::PlatformError) -> Self {
        CtlError::Platform(cause)
    }
}

impl From<revision::RowError> for CtlError {
    fn from(cause: revision::RowError) -> Self {
        CtlError::InvalidRow(cause)
    }
}

impl From<bundle::SetError> for CtlError {
    fn from(cause: bundle::SetError) -> Self {
        CtlError::InvalidSet(cause)
    }
}

impl From<bundle::NotFoundError> for CtlError {
    fn from(cause: bundle::NotFoundError) -> Self {
        CtlError::RecordNotFound(cause)
    }
}
