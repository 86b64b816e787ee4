//! Lease rows that an operator deletes.

#[allow(dead_code, reason = "other test files use the rest of the harness")]
mod common;

use samphiremoor_base::cases;
use samphiremoor_base::quantity;
use samphiremoor_base::time;

const SHARD: quantity::ShardNumber = quantity::ShardNumber::new(0);
/// Time in which each free shard is taken over.
const SETTLING_TIME: time::Millis = time::Millis::new(20_000);

/// Deletes the lease row of a shard after some takeovers, and checks that the next holder's fencing
/// token is greater than that of the holder before. `kills_holder` tells whether that one ends.
///
/// Peers reject copies of holders with a smaller fencing token, and the keys of journal batches
/// contain it.
fn check(kills_holder: bool) {
    let mut cluster = common::LeaseCluster::new(1);
    cluster.start("a");
    cluster.start("b");
    cluster.run(SETTLING_TIME);
    for _ in 0..3 {
        let holder = cluster.holders().remove(0).expect("the shard has a holder");
        cluster.kill(&holder);
        cluster.run(SETTLING_TIME);
        cluster.start(&holder);
        cluster.run(SETTLING_TIME);
    }
    let fence = cluster.fence(SHARD).expect("the shard has a lease row");
    if kills_holder {
        let holder = cluster.holders().remove(0).expect("the shard has a holder");
        cluster.kill(&holder);
    }
    cluster.delete_lease(SHARD);
    cluster.run(SETTLING_TIME);
    assert!(cluster.holders()[0].is_some(), "the shard is taken over");
    let next_fence = cluster.fence(SHARD).expect("the shard has a lease row");
    assert!(next_fence > fence, "fencing token {next_fence} after {fence}");
    assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
}

cases! {
    deleted_lease_of_live_holder_keeps_fencing_token => check(false);
    deleted_lease_of_ended_holder_keeps_fencing_token => check(true);
}
