//! SHA-256 digests of API keys, request bodies and record sets.

use std::fmt;
use std::str;
use std::sync;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;

/// A SHA-256 digest in lower-case hexadecimal.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct HexDigest(sync::Arc<str>);

/// Length of the hexadecimal text of a digest.
const HEX_LENGTH: usize = 64;

impl HexDigest {
    /// Hashes a sequence of byte strings.
    ///
    /// The length of each part is hashed before the part, so that the same bytes split at other
    /// places give another digest.
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = sha2::Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        HexDigest::from_bytes(&hasher.finalize())
    }

    /// Hashes one byte string; the digest equals the output of `sha256sum`.
    pub fn of(bytes: &[u8]) -> Self {
        HexDigest::from_bytes(&sha2::Sha256::digest(bytes))
    }

    /// Returns the hexadecimal text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    fn from_bytes(bytes: &[u8]) -> Self {
        let text: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        HexDigest(sync::Arc::from(text))
    }
}

impl fmt::Display for HexDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Error for a text that is not a digest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DigestError;

impl fmt::Display for DigestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(
            "not a SHA-256 digest; give the 64 lower-case hexadecimal digits that sha256sum prints",
        )
    }
}

impl std::error::Error for DigestError {}

impl str::FromStr for HexDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        let is_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() == HEX_LENGTH && text.bytes().all(is_hex) {
            return Ok(HexDigest(sync::Arc::from(text)));
        }
        Err(DigestError)
    }
}

impl TryFrom<String> for HexDigest {
    type Error = DigestError;

    fn try_from(text: String) -> Result<Self, DigestError> {
        text.parse()
    }
}

impl From<HexDigest> for String {
    fn from(digest: HexDigest) -> String {
        digest.as_str().to_owned()
    }
}

/// Returns the first 128 bits of the SHA-256 digest of a sequence of byte strings, which are hashed as in
/// [`HexDigest::of_parts`].
pub fn truncated_digest<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u128 {
    let mut hasher = sha2::Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut first = [0; 16];
    first.copy_from_slice(&hasher.finalize()[..16]);
    u128::from_be_bytes(first)
}
