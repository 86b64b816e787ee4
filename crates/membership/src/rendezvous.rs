//! Assigns tasks to the daemons of an availability zone by rendezvous hashing, without consensus.
//!
//! Each daemon ranks the reachable daemons that it knows. While the views of two daemons differ, a
//! task may run twice or on another daemon, so only tasks that may run more than once are assigned
//! here.

use std::hash::Hash as _;
use std::hash::Hasher as _;

use samphiremoor_base::id;
use siphasher::sip;

/// Number of daemons per availability zone that read the head row, the VM list and the reclaim notices at the
/// short interval.
pub const READERS_PER_ZONE: usize = 2;

/// Number of daemons that poll the same upstream.
pub const POLLERS_PER_UPSTREAM: usize = 2;

/// Returns whether `local` is among the `count` highest-ranked daemons for the task.
pub fn is_assigned<'a>(
    task: &str,
    local: &id::DaemonId,
    daemons: impl Iterator<Item = &'a id::DaemonId>,
    count: usize,
) -> bool {
    let local_rank = rank(task, local);
    let higher_ranked =
        daemons.filter(|daemon| *daemon != local && rank(task, daemon) < local_rank);
    higher_ranked.take(count).count() < count
}

/// Computes the rendezvous (highest-random-weight) rank; the lowest value ranks highest. When a daemon fails, only its own tasks
/// move.
fn rank(task: &str, daemon: &id::DaemonId) -> (u64, id::DaemonId) {
    let mut hasher = sip::SipHasher13::new();
    task.hash(&mut hasher);
    daemon.hash(&mut hasher);
    (hasher.finish(), daemon.clone())
}
