//! Sums of a zone's digests.

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_fleet::digest;
use samphiremoor_fleet::load;
use samphiremoor_fleet::usage;

fn name(text: &str) -> id::DaemonId {
    text.parse().expect("the name is an identifier")
}

/// A digest of a daemon that admitted `total` units and has `running` requests on one replica.
fn digest_of(daemon: &str, life: u64, total: f64, running: u32) -> digest::PeerDigest {
    let replica: id::ReplicaId = "replica-1".parse().expect("the name is an identifier");
    let workspace: id::WorkspaceId = "clinic".parse().expect("the name is an identifier");
    digest::PeerDigest {
        daemon: name(daemon),
        zone: "north".parse().expect("the name is an identifier"),
        members: 0,
        incarnation: quantity::Incarnation::new(life),
        address: "10.0.0.1:80".parse().expect("it is an address"),
        is_stopping: false,
        revision: quantity::RevisionNumber::new(3),
        unix_ms: 1,
        table_age: None,
        entries_version: 1,
        lease_version: (daemon == "two").then(|| quantity::RowVersion::new(5)),
        loads: vec![load::LoadEntry {
            replica: replica.clone(),
            load: load::ReplicaLoad { running, pending_tokens: 100 },
        }],
        workspace_demands: vec![digest::WorkspaceDemand {
            workspace: workspace.clone(),
            admitted_units: total,
            requested_rate: 10.0,
            admitted_rate: 5.0,
        }],
        service_demands: Vec::new(),
        usage: vec![usage::WindowCount { window: 7, counts: [(workspace, 2)].into() }],
        departed: vec![(replica, quantity::Incarnation::new(1))],
    }
}

fn total(sum: &digest::PeerDigest) -> f64 {
    sum.workspace_demands.first().map_or(0.0, |line| line.admitted_units)
}

#[test]
fn a_zone_is_summed_up() {
    let mut sums = digest::DigestAggregator::default();
    let (own, other) = (digest_of("one", 1, 100.0, 3), digest_of("two", 1, 50.0, 4));
    let sum = sums.aggregate(&own, [&other].into_iter());
    assert_eq!((sum.daemon, sum.members), (name("one"), 2));
    assert_eq!(sum.loads[0].load, load::ReplicaLoad { running: 7, pending_tokens: 200 });
    assert_eq!(
        (sum.workspace_demands[0].requested_rate, sum.workspace_demands[0].admitted_rate),
        (20.0, 10.0)
    );
    assert_eq!(sum.usage[0].counts.values().copied().collect::<Vec<_>>(), [4]);
    assert_eq!(sum.lease_version, Some(quantity::RowVersion::new(5)));
    assert_eq!(sum.departed.len(), 1, "one departure is told once");
}

#[test]
fn totals_only_rise_through_restarts_and_silence() {
    let mut sums = digest::DigestAggregator::default();
    let own = |total| digest_of("one", 1, total, 0);
    let first = sums.aggregate(&own(100.0), [&digest_of("two", 1, 50.0, 0)].into_iter());
    assert_eq!(total(&first), 0.0, "what was before is in no sum");
    let second = sums.aggregate(&own(130.0), [&digest_of("two", 1, 60.0, 0)].into_iter());
    assert_eq!(total(&second), 40.0);
    let silent = sums.aggregate(&own(130.0), std::iter::empty());
    assert_eq!(total(&silent), 40.0);
    let restarted = sums.aggregate(&own(130.0), [&digest_of("two", 2, 15.0, 0)].into_iter());
    assert_eq!(total(&restarted), 55.0, "a new life starts at zero");
}
