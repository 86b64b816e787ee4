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
    workspaces: HashMap<digest::HexDigest, usize>,
    services: HashMap<id::ServiceId, usize>,
    daemons: HashMap<id::DaemonId, usize>,
    replicas: HashMap<id::ReplicaId, usize>,
}

impl ViewSnapshot {
    /// Builds the indexes of a view.
    pub fn new(view: sync::Arc<zone::ZoneView>, received_at: time::MonotonicTime) -> Self {
        let records = &view.records;
        let workspaces = indexed(&records.workspaces, |record| record.key_digest.clone());
        let services = indexed(&records.services, |record| record.id.clone());
        let daemons = indexed(&view.daemons, |daemon| daemon.id.clone());
        let replicas = indexed(&view.replicas, |replica| replica.id.clone());
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

fn indexed<T, K: Eq + std::hash::Hash>(items: &[T], key: impl Fn(&T) -> K) -> HashMap<K, usize> {
    items.iter().enumerate().map(|(index, item)| (key(item), index)).collect()
}
