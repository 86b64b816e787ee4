//! Delivery of views and cache events to the daemons.

use std::time::Duration;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_routing::picker;
use samphiremoor_view::zone;

use super::SimEvent;
use super::SimWorld;
use crate::experiment::deployment;
use crate::experiment::replica;

/// Interval at which every daemon receives a view of its availability zone.
const VIEW_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which every daemon polls the cache events of the engines.
pub(super) const CACHE_POLL_INTERVAL: Duration = Duration::from_millis(500);

impl SimWorld<'_> {
    /// Delivers a view with the replicas and their loads to every daemon, and schedules the next
    /// delivery.
    pub(super) fn deliver_views(&mut self) {
        let now = self.daemon_time();
        for replica in &mut self.replicas {
            replica.refresh_load(self.plan.ages.load, now);
        }
        let shown_replicas = self.shown_replicas();
        let deployment = self.deployment;
        self.view_serial += 1;
        for daemon in &mut self.daemons {
            let view = self
                .views
                .entry(daemon.zone.clone())
                .or_insert_with(|| empty_view(deployment, &daemon.zone));
            // Updates a view only for the first of the daemons that share it.
            if view.serial != self.view_serial {
                view.serial = self.view_serial;
                view.replicas.clone_from(&shown_replicas);
            }
            daemon.gate.configure(view, now);
        }
        self.schedule_after(VIEW_INTERVAL, SimEvent::ViewTick);
    }

    /// Returns the replicas that the views show; stopped ones are included if the situation hides
    /// that they stopped.
    fn shown_replicas(&self) -> Vec<zone::ReplicaView> {
        let hides_stopped_replicas = self.plan.situation.hides_stopped_replicas();
        let is_shown = |replica: &&replica::SimReplica| replica.is_alive || hides_stopped_replicas;
        let shown = self.replicas.iter().filter(is_shown);
        shown.map(|replica| replica.view.clone()).collect()
    }

    /// Delivers the cache events that the engines have published to every daemon, and schedules the
    /// next delivery.
    pub(super) fn deliver_cache_events(&mut self) {
        let now = self.daemon_time();
        for replica in &mut self.replicas {
            for published_batch in replica.published_events(now) {
                let batch = picker::CacheBatch {
                    replica: &replica.view.id,
                    first_number: published_batch.first_number,
                    events: &published_batch.events,
                    age: self.plan.ages.cache,
                    now,
                };
                for daemon in &mut self.daemons {
                    daemon.picker.on_cache_events(&batch);
                }
            }
        }
        self.schedule_after(CACHE_POLL_INTERVAL, SimEvent::CacheTick);
    }
}

fn empty_view(deployment: &deployment::Deployment, zone: &id::ZoneId) -> zone::ZoneView {
    zone::ZoneView {
        zone: zone.clone(),
        serial: 0,
        incarnation: quantity::Incarnation::new(1),
        records: deployment.records.clone(),
        replicas: Vec::new(),
        daemons: deployment.daemons.clone(),
        platform: zone::PlatformState::Available,
        own_stop: None,
    }
}
