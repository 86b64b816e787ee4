//! Renewal rows of daemons that stopped renewing them.

use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_lease::commit_outcome;
use samphiremoor_lease::manager;
use samphiremoor_lease::policy;
use samphiremoor_lease::row;
use samphiremoor_platform::table;

const POLICY: policy::LeasePolicy = policy::LeasePolicy {
    lease_time: time::Millis::new(6_000),
    idle_scan_interval: time::Millis::new(6_000),
    shard_count: 8,
};

fn instance(name: &str) -> row::DaemonInstance {
    let daemon = name.parse().expect("the name is an identifier");
    row::DaemonInstance { daemon, incarnation: quantity::Incarnation::new(1) }
}

fn table_row(key: table::RowKey, version: u64, value: std::sync::Arc<str>) -> table::TableRow {
    table::TableRow { key, version: quantity::RowVersion::new(version), value }
}

/// Last renewal of `b`, shortly before the row of `c` becomes stale.
const LAST_RENEWAL: time::MonotonicTime = time::MonotonicTime::new(118_000);

/// Rows of a scan: `b` holds all shards and renews its row until [`LAST_RENEWAL`], `c` never does.
fn rows(now: time::MonotonicTime) -> Vec<table::TableRow> {
    let renewal = |name: &str, renewals: u64| {
        let instance = instance(name);
        let value = row::RenewalRow { incarnation: instance.incarnation, renewals }.encode();
        table_row(row::renewal_key(&instance.daemon), renewals, value)
    };
    let lease = |number: u16| {
        let key = row::shard_key(quantity::ShardNumber::new(number));
        table_row(key, 1, row::LeaseRow::initial(&instance("b")).encode())
    };
    let mut rows: Vec<table::TableRow> = (0..POLICY.shard_count).map(lease).collect();
    rows.extend([
        renewal("a", now.get()),
        renewal("b", now.min(LAST_RENEWAL).get()),
        renewal("c", 0),
    ]);
    rows
}

/// Runs the daemon `a` until it takes over a shard. Returns when it did so, and the keys of the rows
/// that it deleted before.
fn run_until_takeover() -> (time::MonotonicTime, Vec<String>) {
    let mut manager = manager::LeaseManager::new(instance("a"), POLICY);
    let mut now = time::MonotonicTime::new(0);
    let mut next_inputs = Vec::new();
    let mut deleted_keys = Vec::new();
    while now < LAST_RENEWAL + time::Millis::new(60_000) {
        let mut inputs = std::mem::take(&mut next_inputs);
        inputs.push(manager::LeaseInput::Tick);
        for action in inputs.into_iter().flat_map(|input| manager.handle(now, input)) {
            match action {
                manager::LeaseAction::Scan => {
                    next_inputs.push(manager::LeaseInput::Scanned(rows(now)));
                }
                manager::LeaseAction::Commit(transaction) => {
                    for write in &transaction.writes {
                        match write {
                            table::RowWrite::Put(key, _) if row::shard_of_key(key).is_some() => {
                                return (now, deleted_keys);
                            }
                            table::RowWrite::Put(..) => {}
                            table::RowWrite::Delete(key) => deleted_keys.push(key.to_string()),
                        }
                    }
                    let version = quantity::RowVersion::new(now.get());
                    let outcome = commit_outcome::CommitOutcome::Committed(version);
                    next_inputs.push(manager::LeaseInput::CommitFinished(outcome));
                }
                _ => {}
            }
        }
        now = now + time::Millis::new(100);
    }
    panic!("no shard was taken over; deleted rows: {deleted_keys:?}");
}

#[test]
fn delete_of_a_stale_row_does_not_delay_the_takeover_from_another_daemon() {
    let (taken_over_at, deleted_keys) = run_until_takeover();
    assert_eq!(deleted_keys, ["lease/daemon/c"]);
    let max_wait = POLICY.lease_time + POLICY.scan_interval() + POLICY.scan_interval();
    let wait = taken_over_at.since(LAST_RENEWAL);
    assert!(wait <= max_wait, "taken over after {wait}, a lease time is {}", POLICY.lease_time);
}
