//! Counts of the service's runs, and the request ids of the runs.

use std::collections;

use samphiremoor_base::digest;

use crate::wire;

/// Counts of runs, in total and by idempotency key, and the request ids of the runs.
#[derive(Clone, Debug, Default)]
pub struct RunCounter {
    total: u64,
    requests: collections::BTreeSet<String>,
    keys: collections::BTreeMap<String, KeyRuns>,
}

/// Identifiers that a call carries.
#[derive(Clone, Debug, Default)]
pub struct CallIds {
    /// Idempotency key.
    pub key: Option<String>,
    /// Request id.
    pub request: Option<String>,
}

#[derive(Clone, Debug, Default)]
struct KeyRuns {
    runs: u64,
    bodies: collections::BTreeSet<digest::HexDigest>,
}

impl RunCounter {
    /// Records a run and returns its number among all runs.
    pub fn record_run(&mut self, call: &CallIds, body: &[u8]) -> u64 {
        self.total += 1;
        self.requests.extend(call.request.clone());
        if let Some(key) = &call.key {
            let key_runs = self.keys.entry(key.clone()).or_default();
            key_runs.runs += 1;
            key_runs.bodies.insert(digest::HexDigest::of(body));
        }
        self.total
    }

    /// Returns the counts that `GET /control/counts` reports.
    pub fn counts(&self) -> wire::ServiceCounts {
        let keys = self.keys.iter();
        let key_counts = keys.map(|(key, key_runs)| {
            let count =
                wire::KeyCount { runs: key_runs.runs, bodies: key_runs.bodies.len() as u64 };
            (key.clone(), count)
        });
        let requests = self.requests.clone();
        wire::ServiceCounts { total: self.total, requests, keys: key_counts.collect() }
    }
}
