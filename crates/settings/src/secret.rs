//! Secrets that are read from files named in the settings.

use std::error;
use std::fmt;
use std::fs;
use std::io;
use std::path;
use std::sync;

/// A secret text. Its `Debug` output does not contain the text.
#[derive(Clone, Eq, PartialEq)]
pub struct SecretText(sync::Arc<str>);

impl SecretText {
    /// Returns the secret, which must not appear in logs and messages.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for SecretText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SecretText(..)")
    }
}

/// Error of reading a secret file.
#[derive(Debug)]
pub enum SecretError {
    /// The file can't be read.
    Unreadable(path::PathBuf, io::Error),
    /// The file contains only white space.
    Empty(path::PathBuf),
}

impl fmt::Display for SecretError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SecretError::Unreadable(file, cause) => write!(
                f,
                "{}: can't be read ({cause}); write the secret to this file or name another",
                file.display()
            ),
            SecretError::Empty(file) => {
                write!(f, "{}: is empty; write the secret to this file", file.display())
            }
        }
    }
}

impl error::Error for SecretError {}

/// Reads a secret file and trims the white space around the secret.
///
/// # Errors
///
/// Fails if the file can't be read or is empty.
pub fn read(file: &path::Path) -> Result<SecretText, SecretError> {
    let text = fs::read_to_string(file)
        .map_err(|cause| SecretError::Unreadable(file.to_owned(), cause))?;
    let secret = text.trim();
    if secret.is_empty() {
        return Err(SecretError::Empty(file.to_owned()));
    }
    Ok(SecretText(sync::Arc::from(secret)))
}
