//! Finds out whether this daemon has lost its path to replicas, and whether it is back.

use std::rc;

use async_std::task;
use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_fleet::reachability;

use crate::core;
use crate::upstream;

/// Interval between checks of the paths.
const CHECK_INTERVAL: time::Millis = time::Millis::new(100);
/// Time without data from any replica, while several have requests, after which paths are probed.
const SILENCE_TIME: time::Millis = time::Millis::new(300);
/// Shortest time between probes for silence.
const SILENCE_PROBE_INTERVAL: time::Millis = time::Millis::new(1_000);
/// Number of replicas that are probed for silence.
const SILENCE_PROBES: usize = 2;

/// Checks the paths; never returns.
pub(crate) async fn run(core: rc::Rc<core::GatewayCore>) {
    let mut silent_since = None;
    let mut last_probe_at: Option<time::MonotonicTime> = None;
    loop {
        task::sleep(CHECK_INTERVAL.to_duration()).await;
        let now = core.now();
        let due = {
            let state = &mut *core.state.borrow_mut();
            let replicas = &state.replicas;
            let has_replicas = |group: &reachability::PathGroup| {
                replicas.of_service(&group.service).any(|other| other.entry.zone == group.zone)
            };
            state.paths.retain(has_replicas, |replica| replicas.get(replica).is_some());
            (state.paths.take_due_probes(now), state.paths.take_due_replicas(now))
        };
        let (due_groups, due_replicas) = due;
        for group in due_groups {
            task::spawn_local(probe_group(core.clone(), group));
        }
        for replica in due_replicas {
            let core = core.clone();
            task::spawn_local(async move {
                upstream::probe_path(&core, &replica).await;
            });
        }
        if !is_silent(&core) {
            silent_since = None;
            continue;
        }
        let since = *silent_since.get_or_insert(now);
        let may_probe = last_probe_at.is_none_or(|at| now.since(at) >= SILENCE_PROBE_INTERVAL);
        if now.since(since) >= SILENCE_TIME && may_probe {
            last_probe_at = Some(now);
            probe_silence(&core, since).await;
        }
    }
}

/// Whether several replicas have requests of this daemon, and none sent data over a direct connection
/// for a while.
fn is_silent(core: &core::GatewayCore) -> bool {
    let state = core.state.borrow();
    let busy = state.replicas.iter().filter(|replica| replica.local_load.running > 0);
    let is_recent = state
        .paths
        .last_data_at()
        .is_some_and(|data_at| core.now().since(data_at) < CHECK_INTERVAL);
    busy.take(2).count() == 2 && !is_recent
}

/// Connects to one replica of a group whose path is suspected.
async fn probe_group(core: rc::Rc<core::GatewayCore>, group: reachability::PathGroup) {
    let replica = {
        let state = core.state.borrow();
        let mut replicas = state.replicas.of_service(&group.service);
        let replica =
            replicas.find(|other| other.entry.zone == group.zone && !other.entry.is_draining);
        replica.map(|replica| replica.entry.id.clone())
    };
    if let Some(replica) = replica {
        upstream::probe_path(&core, &replica).await;
    }
}

/// Probes the replicas that responded last. If none accepts a connection, all paths are suspected.
async fn probe_silence(core: &rc::Rc<core::GatewayCore>, since: time::MonotonicTime) {
    let replicas: Vec<id::ReplicaId> = {
        let state = core.state.borrow();
        let sound = |replica: &&samphiremoor_fleet::replica::KnownReplica| {
            let group = reachability::PathGroup::of(&replica.entry);
            let since = state.paths.suspected_since(&group, &replica.entry.id);
            !replica.entry.is_draining && since.is_none()
        };
        let mut sound: Vec<_> = state.replicas.iter().filter(sound).collect();
        sound.sort_by_key(|replica| std::cmp::Reverse(replica.last_contact));
        sound.iter().take(SILENCE_PROBES).map(|replica| replica.entry.id.clone()).collect()
    };
    if replicas.is_empty() {
        return;
    }
    for replica in &replicas {
        if upstream::probe_path(core, replica).await {
            return;
        }
    }
    let changes = {
        let state = &mut *core.state.borrow_mut();
        let groups: std::collections::BTreeSet<_> =
            state.replicas.iter().map(|other| reachability::PathGroup::of(&other.entry)).collect();
        state.paths.on_silence(groups, since)
    };
    core.log_path_changes(&changes);
}
