//! Software versions that the replicas of each service stated, and since when there is only one.
//!
//! A caller that takes up a stream without naming it can be served only if all replicas that may have
//! begun the stream are of one version: those in service now, and those that have left since.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::time;
use smallvec::SmallVec;

use crate::attempt_record;
use crate::replica;

/// Versions of one service; `None` stands for replicas that state none.
type StatedVersions = SmallVec<[Option<replica::SoftwareVersion>; 2]>;

/// Versions of all services.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    services: collections::HashMap<id::ServiceId, ServiceVersions>,
    /// Version of the entries that were last observed.
    entries_version: Option<u64>,
}

#[derive(Clone, Debug)]
struct ServiceVersions {
    /// Versions of the replicas when there last were any.
    stated: StatedVersions,
    /// When these began to be the only ones.
    since: time::MonotonicTime,
}

impl VersionHistory {
    /// Observes the known replicas.
    pub fn observe(&mut self, table: &replica::ReplicaTable, now: time::MonotonicTime) {
        if self.entries_version.replace(table.version()) == Some(table.version()) {
            return;
        }
        let mut current: collections::HashMap<&id::ServiceId, StatedVersions> =
            collections::HashMap::new();
        for known_replica in table.iter() {
            let stated = current.entry(&known_replica.entry.service).or_default();
            if !stated.contains(&known_replica.entry.version) {
                stated.push(known_replica.entry.version.clone());
            }
        }
        for (service, stated) in current {
            let is_same = self.services.get(service).is_some_and(|known| {
                known.stated.len() == stated.len()
                    && stated.iter().all(|version| known.stated.contains(version))
            });
            if !is_same {
                self.services.insert(service.clone(), ServiceVersions { stated, since: now });
            }
        }
    }

    /// Returns whether any stream of the service that may still be taken up has begun at the version
    /// of all its replicas, or at replicas that state none.
    pub fn is_uniform(&self, service: &id::ServiceId, now: time::MonotonicTime) -> bool {
        let Some(known) = self.services.get(service) else { return false };
        match &known.stated[..] {
            [None] => true,
            [Some(_)] => now.since(known.since) >= attempt_record::MAX_LIFETIME,
            _ => false,
        }
    }
}
