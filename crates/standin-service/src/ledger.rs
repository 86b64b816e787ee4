//! What the service ran, as pure state.

use std::collections;

use samphiremoor_base::digest;

use crate::wire;

/// Runs by key.
#[derive(Clone, Debug, Default)]
pub struct RunLedger {
    total: u64,
    requests: collections::BTreeSet<String>,
    keys: collections::BTreeMap<String, KeyRuns>,
}

/// What a call names.
#[derive(Clone, Debug, Default)]
pub struct CallNames {
    /// Its idempotency key.
    pub key: Option<String>,
    /// Its request id.
    pub request: Option<String>,
}

#[derive(Clone, Debug, Default)]
struct KeyRuns {
    runs: u64,
    bodies: collections::BTreeSet<digest::HexDigest>,
}

impl RunLedger {
    /// Notes a run and returns its number among all runs.
    pub fn note(&mut self, call: &CallNames, body: &[u8]) -> u64 {
        self.total += 1;
        self.requests.extend(call.request.clone());
        if let Some(key) = &call.key {
            let noted = self.keys.entry(key.clone()).or_default();
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
        let requests = self.requests.clone();
        wire::ServiceCounts { total: self.total, requests, keys: counted.collect() }
    }
}
