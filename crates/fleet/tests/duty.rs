//! The duty lease under lost responses, silence, restarts, contention of several daemons and returns of
//! the table from older copies.

use std::collections;

use rand::Rng as _;
use rand::SeedableRng as _;
use samphiremoor_base::position;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_fleet::duty;

const LEASE_TIME: time::Millis = time::Millis::new(3_000);

/// Interval between copies of the table, and the largest number of intervals that it goes back.
const COPY_INTERVAL_MS: u64 = 500;
const MAX_COPY_AGE: usize = 20;

/// Table with the lease row.
#[derive(Clone, Default)]
struct Table {
    era: u64,
    row: Option<(duty::DutyRow, quantity::RowVersion)>,
    version: u64,
    /// Eras of which a row says that the lease was taken in them.
    taken_eras: collections::BTreeSet<u64>,
}

impl Table {
    fn era(&self) -> quantity::StoreEra {
        quantity::StoreEra::new(self.era)
    }

    /// Replaces the table by an older copy, in a new era.
    fn restore(&mut self, copy: Table) {
        *self = Table { era: self.era + 1, ..copy };
    }

    /// Writes the row if it has the expected version and nobody took the lease in a later era than that
    /// of the write.
    fn write(
        &mut self,
        expected: Option<quantity::RowVersion>,
        row: duty::DutyRow,
    ) -> duty::CommitOutcome {
        let present = self.row.as_ref().map(|(_, version)| *version);
        let era = row.fence.era().get();
        if present != expected || self.taken_eras.contains(&(era + 1)) {
            return duty::CommitOutcome::Conflict;
        }
        let previous_era = self.row.as_ref().map_or(0, |(previous, _)| previous.fence.era().get());
        self.taken_eras.extend(previous_era + 1..=era);
        self.version += 1;
        let version = quantity::RowVersion::new(self.version);
        self.row = Some((row, version));
        duty::CommitOutcome::Committed(version)
    }
}

struct Daemon {
    lease: duty::DutyLease,
    takeover_delay: time::Millis,
    /// Time in ms until which the daemon does not run.
    paused_until_ms: u64,
    /// Whether the daemon can't reach the table.
    is_partitioned: bool,
    /// Write in flight: arrival time in ms, expected version, and row.
    delayed_write: Option<(u64, Option<quantity::RowVersion>, duty::DutyRow)>,
}

fn daemon(index: usize, incarnation: u64) -> Daemon {
    let name = format!("daemon-{index}").parse().expect("the name is an identifier");
    Daemon {
        lease: duty::DutyLease::new(name, quantity::Incarnation::new(incarnation), LEASE_TIME),
        takeover_delay: time::Millis::new(index as u64 * 120),
        paused_until_ms: 0,
        is_partitioned: false,
        delayed_write: None,
    }
}

/// Simulates four daemons, optionally with random faults. Returns each step at which a daemon may
/// act, as time in ms, index of the daemon, and fencing token.
fn simulate(seed: u64, has_faults: bool) -> Vec<(u64, usize, quantity::FencingToken)> {
    let mut draws = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut table = Table { era: draws.random_range(0..2), ..Table::default() };
    let mut copies = collections::VecDeque::new();
    // Time in ms until which the table is away.
    let mut table_back_ms = 0;
    let mut daemons: Vec<_> = (0..4).map(|index| daemon(index, 1)).collect();
    let mut acts = Vec::new();
    let mut reported_position: Option<position::StorePosition> = None;
    for now_ms in (0..90_000).step_by(50) {
        let now = time::MonotonicTime::new(now_ms);
        // Position that the holder reported in the previous step; a daemon that does not run reports
        // none.
        let received_position = reported_position.take();
        if now_ms % COPY_INTERVAL_MS == 0 {
            copies.push_back(table.clone());
            if copies.len() > MAX_COPY_AGE {
                copies.pop_front();
            }
        }
        if has_faults && draws.random_bool(0.004) {
            let index = draws.random_range(0..4);
            match draws.random_range(0..5) {
                4 => {
                    table.restore(copies[draws.random_range(0..copies.len())].clone());
                    table_back_ms = now_ms + draws.random_range(0..5_000);
                }
                0 => daemons[index].paused_until_ms = now_ms + draws.random_range(500..8_000),
                1 => daemons[index] = daemon(index, now_ms + 2),
                2 => daemons[index].is_partitioned = !daemons[index].is_partitioned,
                _ => daemons[index].lease.on_read_failed(),
            }
        }
        for (index, daemon) in daemons.iter_mut().enumerate() {
            if let Some((_, expected, written_row)) =
                daemon.delayed_write.take_if(|(arrives_at, _, _)| *arrives_at <= now_ms)
            {
                // The response never reaches the daemon.
                table.write(expected, written_row);
            }
            if daemon.paused_until_ms > now_ms {
                continue;
            }
            if let Some(position) =
                received_position.filter(|_| !has_faults || draws.random_bool(0.5))
            {
                daemon.lease.observe_peer_lease(position, now);
            }
            let is_partitioned = daemon.is_partitioned || now_ms < table_back_ms;
            if let Some(action) = daemon.lease.next_action(now, daemon.takeover_delay) {
                let is_lost = has_faults && draws.random_bool(0.1);
                match action {
                    duty::DutyAction::Read if is_partitioned => daemon.lease.on_read_failed(),
                    duty::DutyAction::Read => {
                        daemon.lease.on_row_read(table.row.clone(), table.era(), now, now)
                    }
                    duty::DutyAction::Write { expected, row: written_row, .. } => {
                        let outcome = match (is_partitioned, is_lost) {
                            (true, _) => duty::CommitOutcome::Unknown,
                            (false, false) => table.write(expected, written_row.clone()),
                            (false, true) => {
                                let arrives_at = now_ms + draws.random_range(0..6_000);
                                daemon.delayed_write =
                                    Some((arrives_at, expected, written_row.clone()));
                                duty::CommitOutcome::Unknown
                            }
                        };
                        let era = (outcome != duty::CommitOutcome::Unknown).then(|| table.era());
                        daemon.lease.on_write_outcome(written_row, (outcome, era), now, now);
                    }
                }
            }
            if let Some(fence) = daemon.lease.fencing_token(now) {
                acts.push((now_ms, index, fence));
                reported_position = daemon.lease.held_position();
            }
        }
    }
    acts
}

/// Checks that no two daemons act under the same fencing token, that tokens never decrease, and
/// that a daemon does not act again within one lease time after another one has.
fn check_acts(acts: &[(u64, usize, quantity::FencingToken)]) -> Result<(), String> {
    let mut holders = collections::BTreeMap::new();
    let mut last_fence = quantity::FencingToken::default();
    let mut last_act: Option<(u64, usize)> = None;
    let mut previous_holder_act: Option<(u64, usize)> = None;
    for (now_ms, index, fence) in acts {
        if *holders.entry(*fence).or_insert(*index) != *index {
            return Err(format!("two holders act under fencing token {fence}"));
        }
        if *fence < last_fence {
            return Err(format!("fencing token {fence} is used at {now_ms} ms after {last_fence}"));
        }
        last_fence = *fence;
        if last_act.is_some_and(|(_, last_index)| last_index != *index) {
            if previous_holder_act.is_some_and(|(acted_at, previous_index)| {
                previous_index == *index && now_ms - acted_at < LEASE_TIME.get()
            }) {
                return Err(format!(
                    "daemon {index} acts again at {now_ms} ms, within one lease time"
                ));
            }
            previous_holder_act = last_act;
        }
        last_act = Some((*now_ms, *index));
    }
    Ok(())
}

#[test]
fn without_faults_the_lease_is_always_held() {
    let acts = simulate(7, false);
    assert_eq!(check_acts(&acts), Ok(()));
    let steps = 90_000 / 50;
    assert!(acts.len() >= steps - 100, "{} of {steps} steps have a holder", acts.len());
}

proptest::proptest! {
    #![proptest_config(samphiremoor_testkit::config(256))]

    // Under freezes, restarts, partitions, lost responses and delayed writes in any order, fencing
    // tokens never decrease, no two daemons act under the same one, and no daemon that lost the
    // lease to another acts again within one lease time.
    #[test]
    fn no_two_holders_overlap(seed in 0_u64..) {
        let acts = simulate(seed, true);
        proptest::prop_assert_eq!(check_acts(&acts), Ok(()));
        proptest::prop_assert!(acts.len() > 100, "the lease is held by some daemon in between");
    }
}

#[test]
fn stopping_holder_releases_the_lease() {
    let mut table = Table::default();
    let mut holder = daemon(0, 1);
    let mut standby = daemon(1, 1);
    let mut run = |daemon: &mut Daemon, start_ms: u64, end_ms: u64| {
        for now_ms in (start_ms..end_ms).step_by(50) {
            let now = time::MonotonicTime::new(now_ms);
            match daemon.lease.next_action(now, daemon.takeover_delay) {
                Some(duty::DutyAction::Read) => {
                    daemon.lease.on_row_read(table.row.clone(), table.era(), now, now)
                }
                Some(duty::DutyAction::Write { expected, row: written_row, .. }) => {
                    let outcome = table.write(expected, written_row.clone());
                    let era = Some(table.era());
                    daemon.lease.on_write_outcome(written_row, (outcome, era), now, now);
                }
                None => {}
            }
        }
    };
    run(&mut holder, 0, 3_000);
    assert!(holder.lease.fencing_token(time::MonotonicTime::new(3_000)).is_some());
    holder.lease.release();
    assert!(holder.lease.fencing_token(time::MonotonicTime::new(3_000)).is_none());
    run(&mut holder, 3_000, 3_200);
    run(&mut standby, 3_200, 5_000);
    assert!(
        standby.lease.fencing_token(time::MonotonicTime::new(5_000)).is_some(),
        "the other daemon takes over without waiting for the lease to expire"
    );
}

// The holder can no longer write to the table. A daemon to which the holder reported its last
// version counts the expiry from that report and not from its own read of the row.
#[test]
fn expiry_counts_from_the_first_report_of_the_version() {
    let version = quantity::RowVersion::new(7);
    let holder =
        ("other".parse().expect("the name is an identifier"), quantity::Incarnation::new(1));
    let fence = quantity::FencingToken::new(3);
    let row = duty::DutyRow { holder: Some(holder), fence, renewals: 9, undecided_from: None };
    let mut lease = daemon(1, 1).lease;
    let era = quantity::StoreEra::default();
    let position = position::StorePosition { era, version };
    lease.observe_peer_lease(position, time::MonotonicTime::new(10_000));
    let next_action = |lease: &mut duty::DutyLease, now_ms: u64| {
        lease.next_action(time::MonotonicTime::new(now_ms), time::Millis::default())
    };
    assert_eq!(next_action(&mut lease, 12_000), Some(duty::DutyAction::Read));
    let now = time::MonotonicTime::new(12_010);
    lease.on_row_read(Some((row, version)), era, now, now);
    assert_eq!(
        next_action(&mut lease, 13_500),
        Some(duty::DutyAction::Read),
        "the lease may still be valid"
    );
    lease.on_read_failed();
    let action = next_action(&mut lease, 14_300);
    assert!(matches!(action, Some(duty::DutyAction::Write { .. })), "{action:?}");
}

/// A lease that a daemon took in an era of the table and renewed last at this time, in milliseconds.
fn held_lease(era: u64, renewed_ms: u64) -> (duty::DutyLease, duty::DutyRow) {
    let mut lease = daemon(0, 1).lease;
    let read_at = time::MonotonicTime::new(0);
    lease.on_row_read(None, quantity::StoreEra::new(era), read_at, read_at);
    let taken_at = time::MonotonicTime::new(renewed_ms);
    let action = lease.next_action(taken_at, time::Millis::default());
    let Some(duty::DutyAction::Write { row, .. }) = action else { panic!("{action:?}") };
    let outcome = duty::CommitOutcome::Committed(quantity::RowVersion::new(9));
    let era = Some(quantity::StoreEra::new(era));
    lease.on_write_outcome(row.clone(), (outcome, era), taken_at, taken_at);
    assert_eq!(lease.fencing_token(taken_at), Some(row.fence));
    (lease, row)
}

/// The table has lost the lease of a daemon, which reads the row again after `away_ms`; checks whether it
/// may take the lease at once.
fn check_restored_holder(copy: Option<u64>, away_ms: u64, is_taken: bool) {
    const RENEWED_MS: u64 = 10_000;
    let (mut lease, row) = held_lease(3, RENEWED_MS);
    let now = time::MonotonicTime::new(RENEWED_MS + away_ms);
    let other = "other".parse().expect("the name is an identifier");
    let copy = copy.map(|fence| {
        let holder = Some((other, quantity::Incarnation::new(1)));
        let fence = quantity::FencingToken::new(fence);
        let row = duty::DutyRow { holder, fence, renewals: 1, undecided_from: None };
        (row, quantity::RowVersion::new(4))
    });
    lease.on_row_read(copy, quantity::StoreEra::new(4), now, now);
    let action = lease.next_action(now, time::Millis::default());
    if !is_taken {
        assert!(!matches!(action, Some(duty::DutyAction::Write { .. })), "{action:?}");
        return;
    }
    let Some(duty::DutyAction::Write { row: taken, kind, .. }) = action else {
        panic!("{action:?}")
    };
    assert_eq!(kind, duty::LeaseWrite::Restoration);
    assert!(taken.fence > row.fence, "{} after {}", taken.fence, row.fence);
    assert_eq!(taken.fence.era(), quantity::StoreEra::new(4));
}

samphiremoor_base::cases! {
    holder_waits_for_a_lease_that_the_table_lost => check_restored_holder(None, 2_000, true);
    earlier_holder_of_a_copy_holds_the_lease => check_restored_holder(Some(1), 2_000, true);
    holder_takes_the_lease_after_others_may => check_restored_holder(None, 3_600, false);
}

/// The row is removed in the same era: the daemon stops, and takes part in the next takeover.
#[test]
fn holder_of_a_removed_row_stays_the_holder() {
    let (mut lease, row) = held_lease(1, 10_000);
    let lost_at = time::MonotonicTime::new(11_000);
    let era = quantity::StoreEra::new(1);
    let conflict = (duty::CommitOutcome::Conflict, Some(era));
    lease.on_write_outcome(row.clone(), conflict, lost_at, lost_at);
    lease.on_row_read(None, era, lost_at, lost_at);
    assert_eq!(lease.fencing_token(lost_at), None);
    let later = time::MonotonicTime::new(16_000);
    let action = lease.next_action(later, time::Millis::default());
    let Some(duty::DutyAction::Write { row: taken, .. }) = action else { panic!("{action:?}") };
    assert!(taken.fence > row.fence, "the number is not given out again");
}
