//! Parses record files.

use std::error;
use std::fmt;
use std::sync;

use serde::Deserialize;
use serde::Serialize;

use crate::entry;
use crate::set;
use crate::v1;
use crate::v2;

/// Maximum size of a record file, in bytes.
pub const MAX_FILE_BYTES: usize = 1024 * 1024;

/// A parsed record file.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RecordFile {
    /// Each record as it was written.
    pub entries: Vec<entry::RecordEntry>,
    /// The same records, independent of their schema version. The set is not validated.
    pub set: set::RecordSet,
}

/// Reason why a record file is refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FileError {
    /// The file exceeds [`MAX_FILE_BYTES`]; the value is its size in bytes.
    TooLarge(usize),
    /// The file has no schema version.
    MissingSchema,
    /// The schema version is not supported.
    UnknownSchema(u32),
    /// The text is not a valid record file.
    Malformed {
        /// Line of the error, counted from 1; 0 stands for the whole file.
        line: usize,
        /// Description of the error, with the accepted keys.
        message: String,
    },
    /// The target of a service is incomplete.
    InvalidTarget(v1::TargetError),
    /// Two records of the file have the same key.
    DuplicateRecord(entry::RecordKey),
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FileError::TooLarge(file_bytes) => write!(
                f,
                "the file has {file_bytes} bytes; split it into files of at most {MAX_FILE_BYTES} bytes"
            ),
            FileError::MissingSchema => {
                f.write_str("no schema version; begin the file with schema = 1 or schema = 2")
            }
            FileError::UnknownSchema(schema) => {
                write!(
                    f,
                    "schema version {schema} is not supported; write schema = 1 or schema = 2"
                )
            }
            FileError::Malformed { line, message } => {
                write!(f, "line {line}: {message}; correct this line")
            }
            FileError::InvalidTarget(cause) => cause.fmt(f),
            FileError::DuplicateRecord(key) => {
                write!(f, "{key} is declared twice; keep one of the two declarations")
            }
        }
    }
}

impl error::Error for FileError {}

/// Parses a record file of either schema version.
///
/// # Errors
///
/// Returns an error for files that are too large, missing or unknown schema versions, unknown keys,
/// invalid values and duplicate records.
pub fn parse(text: &str) -> Result<RecordFile, FileError> {
    if text.len() > MAX_FILE_BYTES {
        return Err(FileError::TooLarge(text.len()));
    }
    let probe: SchemaProbe = decode_toml(text)?;
    let file = match probe.schema {
        Some(1) => convert_v1(decode_toml(text)?)?,
        Some(2) => convert_v2(decode_toml(text)?),
        Some(schema) => return Err(FileError::UnknownSchema(schema)),
        None => return Err(FileError::MissingSchema),
    };
    refuse_duplicates(&file.entries)?;
    Ok(file)
}

/// The one key that all schema versions have in common.
#[derive(Deserialize)]
struct SchemaProbe {
    schema: Option<u32>,
}

/// Parses TOML, and reports an error with its line.
fn decode_toml<'a, T: Deserialize<'a>>(text: &'a str) -> Result<T, FileError> {
    toml::from_str(text).map_err(|cause| FileError::Malformed {
        line: cause.span().map_or(0, |span| line_number(text, span.start)),
        message: cause.message().replace('\n', " "),
    })
}

/// Returns the number of the line that contains a byte offset, counted from 1.
fn line_number(text: &str, offset: usize) -> usize {
    let prefix_length = offset.min(text.len());
    text.as_bytes()[..prefix_length].iter().filter(|byte| **byte == b'\n').count() + 1
}

fn refuse_duplicates(entries: &[entry::RecordEntry]) -> Result<(), FileError> {
    let mut keys: Vec<&entry::RecordKey> = entries.iter().map(|entry| &entry.key).collect();
    keys.sort();
    match keys.windows(2).find(|pair| pair[0] == pair[1]) {
        Some(pair) => Err(FileError::DuplicateRecord(pair[0].clone())),
        None => Ok(()),
    }
}

fn convert_v1(file_wire: v1::FileWire) -> Result<RecordFile, FileError> {
    let mut file = RecordFile::default();
    for wire in file_wire.workspaces {
        let single_record =
            v1::FileWire { schema: 1, workspaces: vec![wire.clone()], ..Default::default() };
        file.push_entry(entry::RecordKind::Workspace, wire.id.as_str(), 1, &single_record);
        file.set.workspaces.push(wire.into());
    }
    for wire in file_wire.services {
        let single_record =
            v1::FileWire { schema: 1, services: vec![wire.clone()], ..Default::default() };
        file.push_entry(entry::RecordKind::Service, wire.id.as_str(), 1, &single_record);
        file.set.services.push(wire.try_into().map_err(FileError::InvalidTarget)?);
    }
    for wire in file_wire.pools {
        let single_record =
            v1::FileWire { schema: 1, pools: vec![wire.clone()], ..Default::default() };
        file.push_entry(entry::RecordKind::Pool, wire.id.as_str(), 1, &single_record);
        file.set.pools.push(wire.into());
    }
    Ok(file)
}

fn convert_v2(file_wire: v2::FileWire) -> RecordFile {
    let mut file = RecordFile::default();
    for wire in file_wire.workspaces {
        let single_record =
            v2::FileWire { schema: 2, workspaces: vec![wire.clone()], ..Default::default() };
        file.push_entry(entry::RecordKind::Workspace, wire.id.as_str(), 2, &single_record);
        file.set.workspaces.push(wire.into());
    }
    for wire in file_wire.services {
        let single_record =
            v2::FileWire { schema: 2, services: vec![wire.clone()], ..Default::default() };
        file.push_entry(entry::RecordKind::Service, wire.id.as_str(), 2, &single_record);
        file.set.services.push(wire.into());
    }
    for wire in file_wire.pools {
        let single_record =
            v2::FileWire { schema: 2, pools: vec![wire.clone()], ..Default::default() };
        file.push_entry(entry::RecordKind::Pool, wire.id.as_str(), 2, &single_record);
        file.set.pools.push(wire.into());
    }
    file
}

impl RecordFile {
    /// Adds the entry of a record. Its text is the record file `single_record`.
    fn push_entry(
        &mut self,
        kind: entry::RecordKind,
        id: &str,
        schema: u32,
        single_record: &impl Serialize,
    ) {
        let id = id.parse().expect("all id types accept the same strings");
        let text = toml::to_string(single_record).expect("records can be serialized");
        let key = entry::RecordKey { kind, id };
        self.entries.push(entry::RecordEntry { key, schema, text: sync::Arc::from(text) });
    }
}
