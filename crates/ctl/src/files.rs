//! Reads record files.

use std::fs;
use std::path;

use samphiremoor_records::entry;
use samphiremoor_records::file;

use crate::outcome;

/// Reads the records of all files.
///
/// # Errors
///
/// Returns an error if a file can't be read or parsed, or if a record is declared twice.
pub fn read_all(names: &[path::PathBuf]) -> Result<Vec<entry::RecordEntry>, outcome::CtlError> {
    let mut entries: Vec<entry::RecordEntry> = Vec::new();
    for name in names {
        for entry in read_file(name)? {
            if entries.iter().any(|other| other.key == entry.key) {
                return Err(outcome::CtlError::DuplicateRecord(entry.key));
            }
            entries.push(entry);
        }
    }
    Ok(entries)
}

fn read_file(name: &path::Path) -> Result<Vec<entry::RecordEntry>, outcome::CtlError> {
    let text = fs::read_to_string(name)
        .map_err(|cause| outcome::CtlError::UnreadableFile(name.to_owned(), cause))?;
    let parsed = file::parse(&text)
        .map_err(|cause| outcome::CtlError::InvalidFile(name.to_owned(), cause))?;
    Ok(parsed.entries)
}
