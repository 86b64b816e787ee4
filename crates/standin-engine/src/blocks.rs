//! Blocks of prompt tokens, identified by the hashes that the engine publishes.
//!
//! This is the engine's side of an external protocol. The routing crate computes the same hashes
//! from a prompt, and a process test compares the two implementations.

use std::hash::Hasher as _;

use serde::Deserialize;
use serde::Serialize;
use siphasher::sip;

/// Hash of a block and of all blocks before it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct BlockHash(u64);

impl BlockHash {
    /// Wraps a raw hash value.
    pub const fn new(value: u64) -> Self {
        BlockHash(value)
    }

    /// Returns the raw hash value.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// Number of prompt tokens in one block.
pub const BLOCK_TOKENS: u64 = 16;

/// Returns the hashes of the full blocks of a prompt. A block's hash is the SipHash-1-3 with a zero
/// key of the previous block's hash, if any, followed by each token and a zero byte.
pub fn hash_blocks<T: AsRef<str>>(tokens: &[T]) -> Vec<BlockHash> {
    let mut hashes: Vec<BlockHash> = Vec::new();
    for block in tokens.chunks_exact(BLOCK_TOKENS as usize) {
        let mut hasher = sip::SipHasher13::new();
        if let Some(previous) = hashes.last() {
            hasher.write_u64(previous.get());
        }
        for token in block {
            hasher.write(token.as_ref().as_bytes());
            hasher.write_u8(0);
        }
        hashes.push(BlockHash(hasher.finish()));
    }
    hashes
}
