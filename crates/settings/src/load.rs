//! Reads a settings file and checks its values.

use std::error;
use std::fmt;
use std::fs;
use std::io;
use std::path;

use serde::de;

/// A value that the type accepts but the program can't run with.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ValueError {
    /// Dotted path of the key, such as `limits.max_body_bytes`.
    pub key: &'static str,
    /// What is wrong with the value.
    pub problem: String,
    /// What to write instead.
    pub remedy: String,
}

/// Settings that can check their own values.
pub trait CheckedSettings: de::DeserializeOwned {
    /// Finds the first impossible value.
    fn check(&self) -> Result<(), ValueError>;
}

/// Why settings were refused.
#[derive(Debug)]
pub enum SettingsError {
    /// The file can't be read.
    Unreadable {
        /// The settings file.
        file: path::PathBuf,
        /// The cause.
        cause: io::Error,
    },
    /// The text is not TOML, has an unknown key, lacks a key or has a value of another type.
    Malformed {
        /// The settings file.
        file: path::PathBuf,
        /// Line of the fault, counted from 1; 0 where the whole file is at fault.
        line: usize,
        /// Message with the key and the accepted ones.
        message: String,
    },
    /// A value is impossible.
    InvalidValue {
        /// The settings file.
        file: path::PathBuf,
        /// Line of the key, counted from 1; 0 where the key is not in the file.
        line: usize,
        /// The value's fault.
        fault: ValueError,
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
            SettingsError::Malformed { file, line, message } => write!(
                f,
                "{}:{line}: {message}; correct this line, the annotated example lists every key",
                file.display()
            ),
            SettingsError::InvalidValue { file, line, fault } => write!(
                f,
                "{}:{line}: {}: {}; {}",
                file.display(),
                fault.key,
                fault.problem,
                fault.remedy
            ),
        }
    }
}

impl error::Error for SettingsError {}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Refuses a file that can't be read, is malformed, or holds an impossible value.
pub fn load<S: CheckedSettings>(file: &path::Path) -> Result<S, SettingsError> {
    let text = fs::read_to_string(file)
        .map_err(|cause| SettingsError::Unreadable { file: file.to_owned(), cause })?;
    parse(file, &text)
}

/// Reads settings from a text; `file` is used in messages only.
///
/// # Errors
///
/// As [`load`], but for the reading of the file.
pub fn parse<S: CheckedSettings>(file: &path::Path, text: &str) -> Result<S, SettingsError> {
    let settings: S = toml::from_str(text).map_err(|cause| SettingsError::Malformed {
        file: file.to_owned(),
        line: cause.span().map_or(0, |span| line_at(text, span.start)),
        message: cause.message().replace('\n', " "),
    })?;
    settings.check().map_err(|fault| SettingsError::InvalidValue {
        file: file.to_owned(),
        line: line_of_key(text, fault.key),
        fault,
    })?;
    Ok(settings)
}

fn line_at(text: &str, offset: usize) -> usize {
    let end = offset.min(text.len());
    text.as_bytes()[..end].iter().filter(|byte| **byte == b'\n').count() + 1
}

/// Line of the dotted key: the last segment is looked for below its table's header.
fn line_of_key(text: &str, key: &str) -> usize {
    let (table, name) = key.rsplit_once('.').unwrap_or(("", key));
    let mut current = String::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.starts_with('[') {
            current = line.trim_matches(['[', ']']).trim().to_owned();
        }
        let assigned = line.split_once('=').map(|(left, _)| left.trim());
        if current == table && assigned == Some(name) {
            return index + 1;
        }
    }
    0
}
