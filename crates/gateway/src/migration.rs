//! Migration of the KV cache of a stream from a leaving replica to another one.

use std::cell;
use std::net::SocketAddr;
use std::rc;
use std::sync;

use async_std::channel;
use async_std::future;
use async_std::task;
use samphiremoor_base::id;
use samphiremoor_base::time;

use crate::adapter;
use crate::core;
use crate::upstream;

/// Timeout of the copy, which shares its links with those of other streams.
const COPY_TIMEOUT: time::Millis = time::Millis::new(10_000);
/// Timeout of the last copy, which holds little. After it the stream continues from the first copy.
const LAST_COPY_TIMEOUT: time::Millis = time::Millis::new(1_500);

/// Migration of the KV cache of one stream.
pub(crate) struct KvMigration {
    pub(crate) core: rc::Rc<core::GatewayCore>,
    pub(crate) request_id: sync::Arc<str>,
    /// The leaving replica.
    pub(crate) source: id::ReplicaId,
    pub(crate) source_address: SocketAddr,
    pub(crate) target: id::ReplicaId,
    pub(crate) target_address: SocketAddr,
    /// Set once the source is told to stop the stream.
    pub(crate) is_stopped: rc::Rc<cell::Cell<bool>>,
}

impl KvMigration {
    /// Copies the KV cache, then stops the stream at the source and copies the rest. Returns `None`
    /// and leaves the stream at the source if the target has no room or is leaving itself.
    pub(crate) async fn run(self) -> Option<KvCopy> {
        let migration = rc::Rc::new(self);
        let (sender, receiver) = channel::bounded(1);
        task::spawn_local(migration.clone().copy(sender));
        let mut copy = receiver.recv().await.ok()?;
        if !migration.core.accepts_requests(&migration.target, migration.target_address) {
            return None;
        }
        migration.is_stopped.set(true);
        let stop = migration.order(adapter::MigrationStep::Stop, LAST_COPY_TIMEOUT);
        if let Some(location) = stop.await {
            copy.location = Some(location);
        }
        Some(copy)
    }

    /// Makes the first copy. It is freed at once if the stream has ended meanwhile.
    async fn copy(self: rc::Rc<Self>, sender: channel::Sender<KvCopy>) {
        let location = self.order(adapter::MigrationStep::Copy, COPY_TIMEOUT).await;
        if location.is_some() {
            // The result is ignored: a copy that is not received is dropped.
            let _ = sender.send(KvCopy { migration: self, location }).await;
        }
    }

    async fn order(
        &self,
        step: adapter::MigrationStep,
        timeout: time::Millis,
    ) -> Option<sync::Arc<str>> {
        let KvMigration { core, request_id, source, source_address, target_address, .. } = self;
        let addresses = (*source_address, *target_address);
        let order = upstream::migrate_kv_cache(core, source, addresses, request_id, step);
        future::timeout(timeout.to_duration(), order).await.unwrap_or(None)
    }

    async fn release(self: rc::Rc<Self>, location: sync::Arc<str>) {
        let KvMigration { core, source, source_address, .. } = &*self;
        let release = upstream::release_kv_cache(core, source, *source_address, &location);
        // The result is ignored: a copy that is not freed expires.
        let _ = future::timeout(COPY_TIMEOUT.to_duration(), release).await;
    }
}

/// A copy of a KV cache at the target of its migration. It is freed on drop unless it is used.
pub(crate) struct KvCopy {
    migration: rc::Rc<KvMigration>,
    location: Option<sync::Arc<str>>,
}

impl KvCopy {
    /// Returns the location of the copy, from which the stream can continue once.
    pub(crate) fn into_location(mut self) -> Option<sync::Arc<str>> {
        self.location.take()
    }
}

impl Drop for KvCopy {
    fn drop(&mut self) {
        if let Some(location) = self.location.take() {
            task::spawn_local(self.migration.clone().release(location));
        }
    }
}
