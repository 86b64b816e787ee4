//! What the service ran, as pure state.

use std::collections;

use samphiremoor_base::digest;

use crate::wire;

/// Runs by key.
#[derive(Clone, Debug, Default)]
pub struct RunLedger {
    total: u64,
    keys: collections::BTreeMap<String, KeyRuns>,
}

#[derive(Clone, Debug, Default)]
struct KeyRuns {
    runs: u64,
    bodies: collections::BTreeSet<digest::HexDigest>,
}

impl RunLedger {
    /// Notes a run and returns its number among all runs.
    pub fn note(&mut self, key: Option<&str>, body: &[u8]) -> u64 {
        self.total += 1;
        if let Some(key) = key {
            let noted = self.keys.entry(key.to_owned()).or_default();
            noted.runs += 1;
            noted.bodies.insert(digest::HexDigest::of(body));
        }
        self.total
    }

    /// The counts as they are reported.
    pub fn counts(&self) -> wire::ServiceCounts {
        let keys = self.keys.iter();
        let counted = keys.map(|(key, noted)| {
            let count = wire::KeyCount { runs: noted.runs, bodies: noted.bodies.len() as u64 };
            (key.clone(), count)
        });
        wire::ServiceCounts { total: self.total, keys: counted.collect() }
    }
}
