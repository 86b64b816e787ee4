//! Indexed snapshot of the zone view, for the tasks that serve requests.

use std::collections::HashMap;
use std::sync;

use samphiremoor_base::digest;
use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_records::set;
use samphiremoor_view::zone;

/// A zone view with its indexes. Immutable once published.
#[derive(Debug)]
pub struct ViewSnapshot {
    /// The view.
    pub view: sync::Arc<zone::ZoneView>,
    /// When this daemon received the view.
    pub received_at: time::MonotonicTime,
    /// Indexes into `view.records.workspaces`, by the digest of the API key.
    workspaces: HashMap<digest::HexDigest, usize>,
    /// Indexes into `view.records.services`.
    services: HashMap<id::ServiceId, usize>,
    /// Indexes into `view.daemons`.
    daemons: HashMap<id::DaemonId, usize>,
    /// Indexes into `view.replicas`.
    replicas: HashMap<id::ReplicaId, usize>,
}

impl ViewSnapshot {
    /// Builds the indexes of a view.
    pub fn new(view: sync::Arc<zone::ZoneView>, received_at: time::MonotonicTime) -> Self {
        let records = &view.records;
        let workspaces = index_by_key(&records.workspaces, |record| record.key_digest.clone());
        let services = index_by_key(&records.services, |record| record.id.clone());
        let daemons = index_by_key(&view.daemons, |daemon| daemon.id.clone());
        let replicas = index_by_key(&view.replicas, |replica| replica.id.clone());
        ViewSnapshot { view, received_at, workspaces, services, daemons, replicas }
    }

    /// Returns the workspace whose API key has the digest.
    pub fn workspace_by_key(&self, digest: &digest::HexDigest) -> Option<&set::WorkspaceRecord> {
        let index = self.workspaces.get(digest)?;
        self.view.records.workspaces.get(*index)
    }

    /// Returns the service with the id.
    pub fn service(&self, id: &id::ServiceId) -> Option<&set::ServiceRecord> {
        let index = self.services.get(id)?;
        self.view.records.services.get(*index)
    }

    /// Returns the entry daemon with the id.
    pub fn daemon(&self, id: &id::DaemonId) -> Option<&zone::DaemonView> {
        let index = self.daemons.get(id)?;
        self.view.daemons.get(*index)
    }

    /// Returns the replica with the id.
    pub fn replica(&self, id: &id::ReplicaId) -> Option<&zone::ReplicaView> {
        let index = self.replicas.get(id)?;
        self.view.replicas.get(*index)
    }
}

/// Maps the key of each item to the item's index.
fn index_by_key<T, K: Eq + std::hash::Hash>(
    items: &[T],
    key: impl Fn(&T) -> K,
) -> HashMap<K, usize> {
    items.iter().enumerate().map(|(index, item)| (key(item), index)).collect()
}
