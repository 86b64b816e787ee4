//! Blocks of prompt tokens, named by hashes as the engine publishes them.
//!
//! This is the engine's side of an outside protocol: the routing crate computes the same names from
//! a prompt, and a test of the process tests compares the two.

use std::hash::Hasher as _;

use serde::Deserialize;
use serde::Serialize;
use siphasher::sip;

/// Hash of a block together with all blocks before it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct BlockHash(u64);

impl BlockHash {
    /// Wraps a plain number.
    pub const fn new(value: u64) -> Self {
        BlockHash(value)
    }

    /// The plain number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// Prompt tokens in one block.
pub const BLOCK_TOKENS: u64 = 16;

/// Hashes of the whole blocks of a prompt: SipHash-1-3 with a zero key of the hash before, if there
/// is one, and of each token with a zero byte after it.
pub fn hash_blocks<T: AsRef<str>>(tokens: &[T]) -> Vec<BlockHash> {
    let mut hashes: Vec<BlockHash> = Vec::new();
    for block in tokens.chunks_exact(BLOCK_TOKENS as usize) {
        let mut hasher = sip::SipHasher13::new();
        if let Some(before) = hashes.last() {
            hasher.write_u64(before.get());
        }
        for token in block {
            hasher.write(token.as_ref().as_bytes());
            hasher.write_u8(0);
        }
        hashes.push(BlockHash(hasher.finish()));
    }
    hashes
}
