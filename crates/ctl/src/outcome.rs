//! How a command ended.

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

/// Exit code of a command that was done.
pub const DONE: u8 = 0;
/// Exit code of a refusal: nothing took effect.
pub const REFUSED: u8 = 1;
/// Exit code of a command line that can't be understood.
pub const USAGE: u8 = 2;
/// Exit code where it is not known whether the command took effect everywhere.
pub const NOT_KNOWN: u8 = 3;

/// Why a command was not done.
#[derive(Debug)]
pub enum CtlError {
    /// A file can't be read.
    UnreadableFile(std::path::PathBuf, std::io::Error),
    /// A file holds no records that can be used.
    BadFile(std::path::PathBuf, file::FileError),
    /// Two files declare the same record.
    RepeatedRecord(entry::RecordKey),
    /// The records do not hold together.
    BadSet(bundle::SetError),
    /// A record to withdraw or show does not exist.
    Absent(bundle::NotFoundError),
    /// A row of the table is not what it should be.
    BadRow(revision::RowError),
    /// The platform did not answer a read, or did not carry out a write.
    Platform(table::PlatformError),
    /// Another change came first.
    LostRace(change::WinningChange, Vec<entry::RecordKey>),
    /// A record that is to be written was changed after the revision that the operator started from.
    ChangedSince {
        /// The revision that the operator started from.
        base: quantity::RevisionNumber,
        /// The newest revision.
        newest: quantity::RevisionNumber,
        /// The records that were changed in between.
        keys: Vec<entry::RecordKey>,
    },
    /// The revision does not exist or is not kept any more.
    NoRevision(quantity::RevisionNumber),
    /// The answer to the write was lost, and the table can't be read to find out.
    NotKnown {
        /// The revision that the change would be.
        revision: quantity::RevisionNumber,
        /// The write's id.
        write_id: samphiremoor_base::id::WriteId,
    },
    /// The change is written, and not yet in force everywhere.
    NotInForce {
        /// The revision.
        revision: quantity::RevisionNumber,
        /// Daemons that do not serve by it, with what is known of each.
        missing: Vec<String>,
    },
    /// No control thread answers.
    NoDaemon,
    /// The platform's list has no such VM.
    UnknownVm(samphiremoor_base::id::VmId),
    /// The request file is not what it should be.
    BadRequest(String),
    /// The platform's token can't be read.
    Token(secret::SecretError),
}

impl CtlError {
    /// The exit code.
    pub fn code(&self) -> u8 {
        match self {
            CtlError::NotKnown { .. } | CtlError::NotInForce { .. } => NOT_KNOWN,
            CtlError::Platform(table::PlatformError::Unknown(_)) => NOT_KNOWN,
            _ => REFUSED,
        }
    }
}

impl fmt::Display for CtlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CtlError::UnreadableFile(file, cause) => {
                write!(f, "{}: can't be read ({cause}); name an existing file", file.display())
            }
            CtlError::BadFile(file, cause) => write!(f, "{}: {cause}", file.display()),
            CtlError::RepeatedRecord(key) => {
                write!(f, "{key} is declared in two of the files; keep one of the declarations")
            }
            CtlError::BadSet(cause) => cause.fmt(f),
            CtlError::Absent(cause) => cause.fmt(f),
            CtlError::BadRow(cause) => cause.fmt(f),
            CtlError::Platform(cause) => write!(f, "nothing was changed: {cause}"),
            CtlError::LostRace(winner, changed) => write_lost_race(f, winner, changed),
            CtlError::ChangedSince { base, newest, keys } => write!(
                f,
                "changed after revision {base}, the newest is revision {newest}: {}; get them \
                 again, merge your change and apply it",
                join(keys)
            ),
            CtlError::NoRevision(revision) => {
                write!(f, "revision {revision} does not exist or is not kept; see history")
            }
            CtlError::NotKnown { revision, write_id } => write!(
                f,
                "the answer to the write was lost and the table does not answer: not known whether \
                 it took effect or still will; once the table answers, run `samphiremoorctl \
                 history`: the change is in force if revision {revision} has write id {write_id}, \
                 and had no effect if revision {revision} has another write id"
            ),
            CtlError::NotInForce { revision, missing } => write!(
                f,
                "revision {revision} is written and can't be lost, but not known to be in force \
                 at: {}; run `samphiremoorctl status` until every zone shows it",
                missing.join(", ")
            ),
            CtlError::NoDaemon => {
                f.write_str("no daemon answers; check their processes and the platform's VM list")
            }
            CtlError::UnknownVm(vm) => {
                write!(f, "the platform's list has no VM {vm}; see status for the VMs")
            }
            CtlError::BadRequest(cause) => write!(f, "the request file: {cause}"),
            CtlError::Token(cause) => cause.fmt(f),
        }
    }
}

fn write_lost_race(
    f: &mut fmt::Formatter<'_>,
    winner: &change::WinningChange,
    changed: &[entry::RecordKey],
) -> fmt::Result {
    write!(f, "nothing was changed: revision {} came first", winner.revision)?;
    if let Some(writer) = &winner.writer {
        write!(f, ", by {} with write id {}", writer.author, writer.write_id)?;
    }
    if !changed.is_empty() {
        write!(f, ", changing {}", join(changed))?;
    }
    f.write_str("; look at it with history and get, then apply again")
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
        CtlError::BadRow(cause)
    }
}

impl From<bundle::SetError> for CtlError {
    fn from(cause: bundle::SetError) -> Self {
        CtlError::BadSet(cause)
    }
}

impl From<bundle::NotFoundError> for CtlError {
    fn from(cause: bundle::NotFoundError) -> Self {
        CtlError::Absent(cause)
    }
}
