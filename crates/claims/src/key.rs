//! Keys of calls and their assignment to shards.

use std::hash;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use serde::Deserialize;
use serde::Serialize;
use siphasher::sip;

/// Identifies a call: two submissions with the same key are the same call.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct CallKey {
    /// The caller's workspace.
    pub workspace: id::WorkspaceId,
    /// The service that is called.
    pub service: id::ServiceId,
    /// The caller's idempotency key.
    pub key: id::IdempotencyKey,
}

/// Assignment of keys to shards. Every daemon must use the same layout.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ShardLayout {
    /// Number of shards; at least 1.
    pub count: u16,
    /// Secret key of the hash, so that callers can't direct their calls at one shard.
    pub hash_key: [u64; 2],
}

impl ShardLayout {
    /// Returns the shard that a call's key belongs to.
    pub fn shard_of(&self, key: &CallKey) -> quantity::ShardNumber {
        let [first_half, second_half] = self.hash_key;
        let mut hasher = sip::SipHasher13::new_with_keys(first_half, second_half);
        hash_text(&mut hasher, key.workspace.as_str());
        hash_text(&mut hasher, key.service.as_str());
        hash_text(&mut hasher, key.key.as_str());
        let shard = hash::Hasher::finish(&hasher) % u64::from(self.count.max(1));
        quantity::ShardNumber::new(u16::try_from(shard).expect("the count of shards is a u16"))
    }
}

/// Hashes the length and the bytes of a text, with the same result on every platform.
fn hash_text(hasher: &mut sip::SipHasher13, text: &str) {
    hash::Hasher::write(hasher, &(text.len() as u64).to_le_bytes());
    hash::Hasher::write(hasher, text.as_bytes());
}
