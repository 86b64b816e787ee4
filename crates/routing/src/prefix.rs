//! Blocks of prompts: the unit in which engines cache prefixes.

use std::fmt;
use std::hash::Hasher as _;

use serde::Deserialize;
use serde::Serialize;
use siphasher::sip;

/// Hash of a block together with all blocks before it.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct PrefixHash(u64);

impl PrefixHash {
    /// Wraps a hash as an engine reported it.
    pub const fn new(value: u64) -> Self {
        PrefixHash(value)
    }

    /// The plain number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for PrefixHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Prompt tokens in one block.
pub const BLOCK_TOKENS: u64 = 16;

/// Chains one block onto the hash of the blocks before it.
pub fn chain_block(before: Option<PrefixHash>, block: &[u8]) -> PrefixHash {
    let mut hasher = sip::SipHasher13::new();
    if let Some(before) = before {
        hasher.write_u64(before.get());
    }
    hasher.write(block);
    PrefixHash(hasher.finish())
}

/// Hashes of the whole blocks of a prompt; tokens after the last whole block are not cached.
pub fn hash_blocks<T: AsRef<[u8]>>(tokens: &[T]) -> Vec<PrefixHash> {
    let mut hashes = Vec::with_capacity(tokens.len() / BLOCK_TOKENS as usize);
    let mut bytes = Vec::new();
    for block in tokens.chunks_exact(BLOCK_TOKENS as usize) {
        bytes.clear();
        for token in block {
            bytes.extend_from_slice(token.as_ref());
            // Without a separator "a b" and "ab" would make the same block.
            bytes.push(0);
        }
        hashes.push(chain_block(hashes.last().copied(), &bytes));
    }
    hashes
}
