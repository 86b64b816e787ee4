//! Parsing and validation of settings files.

use std::error;
use std::fmt;
use std::fs;
use std::io;
use std::path;

use serde::de;

/// Error for a value that has the right type but is not valid.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ValueError {
    /// Dotted path of the key, such as `limits.max_body_bytes`.
    pub key: &'static str,
    /// What is wrong with the value.
    pub problem: String,
    /// How to correct the value.
    pub remedy: String,
}

/// Settings that validate their values.
pub trait CheckedSettings: de::DeserializeOwned {
    /// Validates the values and returns the first invalid one as the error.
    fn check(&self) -> Result<(), ValueError>;
}

/// Error of loading settings.
#[derive(Debug)]
pub enum SettingsError {
    /// The file can't be read.
    Unreadable {
        /// The settings file.
        file: path::PathBuf,
        /// Error of the read.
        cause: io::Error,
    },
    /// The text is not TOML, has an unknown key, lacks a key or has a value of the wrong type.
    Malformed {
        /// The settings file.
        file: path::PathBuf,
        /// Line of the error, counted from 1; 0 if the error has no position.
        line: usize,
        /// Key that is assigned on that line.
        key: Option<String>,
        /// Message of the parser, with the wrong key or value and what was expected.
        message: String,
    },
    /// A value is not valid.
    InvalidValue {
        /// The settings file.
        file: path::PathBuf,
        /// Line of the key, counted from 1; 0 if the key is not in the file.
        line: usize,
        /// Error of the value.
        error: ValueError,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::Unreadable { file, cause } => write!(
                f,
                "{}: can't be read ({cause}); name an existing settings file with --settings",
                file.display()
            ),
            SettingsError::Malformed { file, line, key, message } => write!(
                f,
                "{}:{line}: {message}; correct {} on this line, the annotated example lists every key",
                file.display(),
                key.as_deref().unwrap_or("the text")
            ),
            SettingsError::InvalidValue { file, line, error } => write!(
                f,
                "{}:{line}: {}: {}; {}",
                file.display(),
                error.key,
                error.problem,
                error.remedy
            ),
        }
    }
}

impl error::Error for SettingsError {}

/// Reads and validates a settings file.
///
/// # Errors
///
/// Fails if the file can't be read, is malformed or contains an invalid value.
pub fn load<S: CheckedSettings>(file: &path::Path) -> Result<S, SettingsError> {
    let text = fs::read_to_string(file)
        .map_err(|cause| SettingsError::Unreadable { file: file.to_owned(), cause })?;
    parse(file, &text)
}

/// Parses and validates settings; `file` is used in error messages only.
///
/// # Errors
///
/// Fails if the text is malformed or contains an invalid value.
pub fn parse<S: CheckedSettings>(file: &path::Path, text: &str) -> Result<S, SettingsError> {
    let settings: S = toml::from_str(text).map_err(|cause| {
        let line = cause.span().map_or(0, |span| line_of_offset(text, span.start));
        let message = cause.message().replace('\n', " ");
        let key = key_on_line(text, line).map(str::to_owned);
        SettingsError::Malformed { file: file.to_owned(), line, key, message }
    })?;
    settings.check().map_err(|error| SettingsError::InvalidValue {
        file: file.to_owned(),
        line: line_of_key(text, error.key),
        error,
    })?;
    Ok(settings)
}

/// Returns the line that contains a byte offset, counted from 1.
fn line_of_offset(text: &str, offset: usize) -> usize {
    let end = offset.min(text.len());
    text.as_bytes()[..end].iter().filter(|byte| **byte == b'\n').count() + 1
}

/// Returns the key that is assigned on a line, counted from 1.
fn key_on_line(text: &str, line: usize) -> Option<&str> {
    let (key, _) = text.lines().nth(line.checked_sub(1)?)?.split_once('=')?;
    Some(key.trim()).filter(|key| !key.starts_with('#'))
}

/// Returns the line on which a dotted key is assigned, counted from 1; 0 if there is none.
///
/// Looks for the last segment of the key below the header of its table.
fn line_of_key(text: &str, key: &str) -> usize {
    let (table, last_segment) = key.rsplit_once('.').unwrap_or(("", key));
    let mut current_table = String::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.starts_with('[') {
            current_table = line.trim_matches(['[', ']']).trim().to_owned();
        }
        let assigned_key = line.split_once('=').map(|(before_equals, _)| before_equals.trim());
        if current_table == table && assigned_key == Some(last_segment) {
            return index + 1;
        }
    }
    0
}
