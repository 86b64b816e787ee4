//! What the daemons know of the replicas: views and cache events.

use std::time::Duration;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_routing::picker;
use samphiremoor_view::zone;

use super::SimEvent;
use super::SimWorld;
use crate::experiment::deployment;
use crate::experiment::replica;

/// How often daemons get a view.
const VIEW_INTERVAL: Duration = Duration::from_millis(200);
/// How often daemons read cache events.
pub(super) const CACHE_INTERVAL: Duration = Duration::from_millis(500);

impl SimWorld<'_> {
    /// Shows the daemons the replicas and their loads.
    pub(super) fn view_tick(&mut self) {
        let now = self.monotonic();
        for replica in &mut self.replicas {
            replica.refresh_load(self.plan.ages.load, now);
        }
        let replicas = self.shown_replicas();
        let deployment = self.deployment;
        self.serial += 1;
        for daemon in &mut self.daemons {
            let view = self
                .views
                .entry(daemon.zone.clone())
                .or_insert_with(|| empty_view(deployment, &daemon.zone));
            if view.serial != self.serial {
                view.serial = self.serial;
                view.replicas.clone_from(&replicas);
            }
            daemon.gate.configure(view, now);
        }
        self.after(VIEW_INTERVAL, SimEvent::ViewTick);
    }

    /// Replicas that a view shows: dead ones too where nothing notices deaths.
    fn shown_replicas(&self) -> Vec<zone::ReplicaView> {
        let hides_deaths = self.plan.situation.hides_deaths();
        let is_shown = |replica: &&replica::SimReplica| replica.is_alive || hides_deaths;
        let shown = self.replicas.iter().filter(is_shown);
        shown.map(|replica| replica.shown.clone()).collect()
    }

    /// Hands the engines' cache events to every daemon, as late as they come in a deployment.
    pub(super) fn cache_tick(&mut self) {
        let now = self.monotonic();
        for replica in &mut self.replicas {
            for run in replica.published_events(now) {
                let batch = picker::CacheBatch {
                    replica: &replica.shown.id,
                    first_number: run.first_number,
                    events: &run.events,
                    age: self.plan.ages.cache,
                    now,
                };
                for daemon in &mut self.daemons {
                    daemon.picker.on_cache_events(&batch);
                }
            }
        }
        self.after(CACHE_INTERVAL, SimEvent::CacheTick);
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
