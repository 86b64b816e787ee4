//! Since when a service has only one software version.

mod entries;

use samphiremoor_base::time;
use samphiremoor_fleet::attempt_record;
use samphiremoor_fleet::replica;
use samphiremoor_fleet::version_history;

/// A replica joins with a version (none if empty) or leaves, after this many milliseconds.
type VersionStep = (u64, usize, Option<&'static str>);

/// Checks whether a service is uniform at the end of some steps, and after the lifetime of records.
fn check(steps: &[VersionStep], is_uniform: bool, is_uniform_later: bool) {
    let mut table = replica::ReplicaTable::default();
    let mut history = version_history::VersionHistory::default();
    let mut now = time::MonotonicTime::new(1_000_000);
    for (elapsed_ms, index, version) in steps {
        now = now + time::Millis::new(*elapsed_ms);
        match version {
            Some(version) => {
                let version = version.parse().ok();
                table.upsert(replica::ReplicaEntry { version, ..entries::entry(*index, 1) });
            }
            None => drop(table.remove(&entries::replica_id(*index), now)),
        }
        history.observe(&table, now);
    }
    assert_eq!(history.is_uniform(&entries::service(), now), is_uniform);
    let later = now + attempt_record::MAX_LIFETIME;
    assert_eq!(history.is_uniform(&entries::service(), later), is_uniform_later);
}

const LIFETIME_MS: u64 = attempt_record::MAX_LIFETIME.get();

samphiremoor_base::cases! {
    service_that_is_not_known => check(&[], false, false);
    version_that_was_just_seen => check(&[(0, 0, Some("v1"))], false, true);
    version_that_stays =>
        check(&[(0, 0, Some("v1")), (LIFETIME_MS, 1, Some("v1"))], true, true);
    no_version_stated => check(&[(0, 0, Some("")), (0, 1, Some(""))], true, true);
    two_versions => check(&[(0, 0, Some("v1")), (0, 1, Some("v2"))], false, false);
    version_beside_none => check(&[(0, 0, Some("v1")), (0, 1, Some(""))], false, false);
    old_version_that_has_just_left => check(
        &[(0, 0, Some("v1")), (LIFETIME_MS, 1, Some("v2")), (500, 0, None)],
        false,
        true,
    );
    version_that_returns_between_reads => check(
        &[(0, 0, Some("v1")), (LIFETIME_MS, 0, None), (500, 0, Some("v1"))],
        true,
        true,
    );
    other_version_after_none_was_left => check(
        &[(0, 0, Some("v1")), (LIFETIME_MS, 0, None), (500, 1, Some("v2"))],
        false,
        true,
    );
    version_that_a_running_replica_changes => check(
        &[(0, 0, Some("v1")), (LIFETIME_MS, 0, Some("v2"))],
        false,
        true,
    );
}
