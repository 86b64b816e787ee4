//! Reads record files.

use std::error;
use std::fmt;
use std::sync;

use serde::Deserialize;
use serde::Serialize;

use crate::entry;
use crate::set;
use crate::v1;
use crate::v2;

/// Largest record file, in bytes.
pub const MAX_FILE_BYTES: usize = 1024 * 1024;

/// A record file that was read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RecordFile {
    /// Each record as it was written.
    pub entries: Vec<entry::RecordEntry>,
    /// The same records free of their schema version; not checked as a whole.
    pub set: set::RecordSet,
}

/// Why a record file was refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FileError {
    /// The file exceeds [`MAX_FILE_BYTES`].
    TooLarge(usize),
    /// The file names no schema version.
    MissingSchema,
    /// The schema version is not served.
    UnknownSchema(u32),
    /// The text is not a record file; the line counts from 1, 0 is the whole file.
    Malformed {
        /// Line of the fault.
        line: usize,
        /// What is wrong, with the accepted keys.
        message: String,
    },
    /// A service's target is incomplete.
    Target(v1::TargetError),
    /// Two records of the file have one key.
    DuplicateRecord(entry::RecordKey),
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FileError::TooLarge(length) => write!(
                f,
                "the file has {length} bytes; split it into files of at most {MAX_FILE_BYTES} bytes"
            ),
            FileError::MissingSchema => {
                f.write_str("no schema version; begin the file with schema = 1 or schema = 2")
            }
            FileError::UnknownSchema(found) => {
                write!(f, "schema version {found} is not served; write schema = 1 or schema = 2")
            }
            FileError::Malformed { line, message } => {
                write!(f, "line {line}: {message}; correct this line")
            }
            FileError::Target(cause) => cause.fmt(f),
            FileError::DuplicateRecord(key) => {
                write!(f, "{key} is declared twice; keep one of the two declarations")
            }
        }
    }
}

impl error::Error for FileError {}

/// Reads a record file of either schema version.
///
/// # Errors
///
/// Refuses unknown schema versions, unknown keys, impossible values and repeated records.
pub fn parse(text: &str) -> Result<RecordFile, FileError> {
    if text.len() > MAX_FILE_BYTES {
        return Err(FileError::TooLarge(text.len()));
    }
    let probe: SchemaProbe = decode(text)?;
    let file = match probe.schema {
        Some(1) => read_v1(decode(text)?)?,
        Some(2) => read_v2(decode(text)?),
        Some(found) => return Err(FileError::UnknownSchema(found)),
        None => return Err(FileError::MissingSchema),
    };
    refuse_repeated(&file.entries)?;
    Ok(file)
}

/// The one key that every schema version has.
#[derive(Deserialize)]
struct SchemaProbe {
    schema: Option<u32>,
}

fn decode<'a, T: Deserialize<'a>>(text: &'a str) -> Result<T, FileError> {
    toml::from_str(text).map_err(|cause| FileError::Malformed {
        line: cause.span().map_or(0, |span| line_at(text, span.start)),
        message: cause.message().replace('\n', " "),
    })
}

fn line_at(text: &str, offset: usize) -> usize {
    let end = offset.min(text.len());
    text.as_bytes()[..end].iter().filter(|byte| **byte == b'\n').count() + 1
}

fn refuse_repeated(entries: &[entry::RecordEntry]) -> Result<(), FileError> {
    let mut keys: Vec<&entry::RecordKey> = entries.iter().map(|entry| &entry.key).collect();
    keys.sort();
    match keys.windows(2).find(|pair| pair[0] == pair[1]) {
        Some(pair) => Err(FileError::DuplicateRecord(pair[0].clone())),
        None => Ok(()),
    }
}

fn read_v1(wire: v1::FileWire) -> Result<RecordFile, FileError> {
    let mut file = RecordFile::default();
    for wire in wire.workspaces {
        let alone =
            v1::FileWire { schema: 1, workspaces: vec![wire.clone()], ..Default::default() };
        file.push(entry::RecordKind::Workspace, wire.id.as_str(), 1, &alone);
        file.set.workspaces.push(wire.into());
    }
    for wire in wire.services {
        let alone = v1::FileWire { schema: 1, services: vec![wire.clone()], ..Default::default() };
        file.push(entry::RecordKind::Service, wire.id.as_str(), 1, &alone);
        file.set.services.push(wire.try_into().map_err(FileError::Target)?);
    }
    for wire in wire.pools {
        let alone = v1::FileWire { schema: 1, pools: vec![wire.clone()], ..Default::default() };
        file.push(entry::RecordKind::Pool, wire.id.as_str(), 1, &alone);
        file.set.pools.push(wire.into());
    }
    Ok(file)
}

fn read_v2(wire: v2::FileWire) -> RecordFile {
    let mut file = RecordFile::default();
    for wire in wire.workspaces {
        let alone =
            v2::FileWire { schema: 2, workspaces: vec![wire.clone()], ..Default::default() };
        file.push(entry::RecordKind::Workspace, wire.id.as_str(), 2, &alone);
        file.set.workspaces.push(wire.into());
    }
    for wire in wire.services {
        let alone = v2::FileWire { schema: 2, services: vec![wire.clone()], ..Default::default() };
        file.push(entry::RecordKind::Service, wire.id.as_str(), 2, &alone);
        file.set.services.push(wire.into());
    }
    for wire in wire.pools {
        let alone = v2::FileWire { schema: 2, pools: vec![wire.clone()], ..Default::default() };
        file.push(entry::RecordKind::Pool, wire.id.as_str(), 2, &alone);
        file.set.pools.push(wire.into());
    }
    file
}

impl RecordFile {
    fn push(&mut self, kind: entry::RecordKind, id: &str, schema: u32, alone: &impl Serialize) {
        let id = id.parse().expect("every id type accepts the same texts");
        let text = toml::to_string(alone).expect("records have only tables, texts and numbers");
        let key = entry::RecordKey { kind, id };
        self.entries.push(entry::RecordEntry { key, schema, text: sync::Arc::from(text) });
    }
}
