//! Hashes of prompt blocks, the unit in which engines cache prefixes.

use std::fmt;
use std::hash::Hasher as _;

use serde::Deserialize;
use serde::Serialize;
use siphasher::sip;

/// Hash of a prompt block, chained with all blocks before it.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct PrefixHash(u64);

impl PrefixHash {
    /// Creates a hash from the number that an engine reported.
    pub const fn new(value: u64) -> Self {
        PrefixHash(value)
    }

    /// Returns the hash as a number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for PrefixHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Number of prompt tokens in one block.
pub const BLOCK_TOKENS: u64 = 16;

/// Returns the hash of a block, chained onto the hash of the blocks before it.
pub fn chain_block(parent: Option<PrefixHash>, block: &[u8]) -> PrefixHash {
    let mut hasher = sip::SipHasher13::new();
    if let Some(parent) = parent {
        hasher.write_u64(parent.get());
    }
    hasher.write(block);
    PrefixHash(hasher.finish())
}

/// Returns the hashes of the full blocks of a prompt; engines do not cache a partial last block.
pub fn hash_blocks<T: AsRef<[u8]>>(tokens: &[T]) -> Vec<PrefixHash> {
    let mut hashes = Vec::with_capacity(tokens.len() / BLOCK_TOKENS as usize);
    let mut bytes = Vec::new();
    for block in tokens.chunks_exact(BLOCK_TOKENS as usize) {
        bytes.clear();
        for token in block {
            bytes.extend_from_slice(token.as_ref());
            // Without a separator, the tokens "a" and "b" would give the same bytes as "ab".
            bytes.push(0);
        }
        hashes.push(chain_block(hashes.last().copied(), &bytes));
    }
    hashes
}
