//! Finds out whether this daemon has lost its path to replicas, and whether it is back.

use std::cmp;
use std::collections;
use std::rc;

use async_std::task;
use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_fleet::reachability;
use samphiremoor_fleet::replica;

use crate::core;
use crate::upstream;

/// Interval between checks of the paths.
const CHECK_INTERVAL: time::Millis = time::Millis::new(100);
/// Times without data from any replica, while one or several have requests, after which paths are probed.
const SILENCE_TIMES: (time::Millis, time::Millis) =
    (time::Millis::new(500), time::Millis::new(300));
/// Shortest time between probes for silence.
const SILENCE_PROBE_INTERVAL: time::Millis = time::Millis::new(1_000);
/// Number of replicas that are probed for silence.
const SILENCE_PROBES: usize = 2;

/// Checks the paths; never returns.
pub(crate) async fn run(core: rc::Rc<core::GatewayCore>) {
    // When the first request since the last data was at a replica.
    let mut silent_since: Option<time::MonotonicTime> = None;
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
        let busy_replicas = {
            let state = core.state.borrow();
            if state.paths.last_data_at() > silent_since {
                silent_since = None;
            }
            state.replicas.iter().filter(|replica| replica.local_load.running > 0).count()
        };
        if busy_replicas == 0 {
            continue;
        }
        let since = *silent_since.get_or_insert(now);
        let silence_time = if busy_replicas == 1 { SILENCE_TIMES.0 } else { SILENCE_TIMES.1 };
        let may_probe = last_probe_at.is_none_or(|at| now.since(at) >= SILENCE_PROBE_INTERVAL);
        if now.since(since) >= silence_time && may_probe {
            last_probe_at = Some(now);
            probe_silence(&core, since).await;
        }
    }
}

/// Connects to one replica of a group whose path is suspected.
async fn probe_group(core: rc::Rc<core::GatewayCore>, group: reachability::PathGroup) {
    let replica = {
        let state = core.state.borrow();
        let mut replicas = state.replicas.of_service(&group.service);
        let replica = replicas.find(|other| other.entry.zone == group.zone && !other.is_leaving());
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
        let sound = |replica: &&replica::KnownReplica| {
            let group = reachability::PathGroup::of(&replica.entry);
            let since = state.paths.suspected_since(&group, &replica.entry.id);
            !replica.is_leaving() && since.is_none()
        };
        let mut sound: Vec<_> = state.replicas.iter().filter(sound).collect();
        sound.sort_by_key(|replica| cmp::Reverse(replica.last_contact));
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
        let groups: collections::BTreeSet<_> =
            state.replicas.iter().map(|other| reachability::PathGroup::of(&other.entry)).collect();
        state.paths.on_silence(groups, since)
    };
    core.log_path_changes(&changes);
}
