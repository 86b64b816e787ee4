//! Reads record files.

use std::fs;
use std::path;

use samphiremoor_records::entry;
use samphiremoor_records::file;

use crate::outcome;

/// Reads record files as one change.
///
/// # Errors
///
/// Refuses files that can't be read, and records that are declared twice.
pub fn read_all(names: &[path::PathBuf]) -> Result<Vec<entry::RecordEntry>, outcome::CtlError> {
    let mut entries: Vec<entry::RecordEntry> = Vec::new();
    for name in names {
        for entry in read_file(name)? {
            if entries.iter().any(|other| other.key == entry.key) {
                return Err(outcome::CtlError::RepeatedRecord(entry.key));
            }
            entries.push(entry);
        }
    }
    Ok(entries)
}

fn read_file(name: &path::Path) -> Result<Vec<entry::RecordEntry>, outcome::CtlError> {
    let text = fs::read_to_string(name)
        .map_err(|cause| outcome::CtlError::UnreadableFile(name.to_owned(), cause))?;
    let parsed =
        file::parse(&text).map_err(|cause| outcome::CtlError::BadFile(name.to_owned(), cause))?;
    Ok(parsed.entries)
}
