//! The lease on duties through lost answers, silence, restarts and several daemons.

use std::collections;

use rand::Rng as _;
use rand::SeedableRng as _;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_fleet::duty;

const LEASE: time::Millis = time::Millis::new(3_000);

/// The row in a table that may lose answers, answer late, or be away.
#[derive(Default)]
struct Row {
    row: Option<(duty::DutyRow, quantity::RowVersion)>,
    version: u64,
}

impl Row {
    fn write(
        &mut self,
        expected: Option<quantity::RowVersion>,
        row: duty::DutyRow,
    ) -> duty::CommitOutcome {
        let present = self.row.as_ref().map(|(_, version)| *version);
        if present != expected {
            return duty::CommitOutcome::Conflict;
        }
        self.version += 1;
        let version = quantity::RowVersion::new(self.version);
        self.row = Some((row, version));
        duty::CommitOutcome::Committed(version)
    }
}

struct Daemon {
    keeper: duty::DutyLease,
    patience: time::Millis,
    /// Until when the daemon does not run.
    frozen: u64,
    is_cut: bool,
    /// A write on its way, and when it arrives.
    late: Option<(u64, Option<quantity::RowVersion>, duty::DutyRow)>,
}

fn daemon(index: usize, life: u64) -> Daemon {
    let name = format!("daemon-{index}").parse().expect("the name is an identifier");
    Daemon {
        keeper: duty::DutyLease::new(name, quantity::Incarnation::new(life), LEASE),
        patience: time::Millis::new(index as u64 * 120),
        frozen: 0,
        is_cut: false,
        late: None,
    }
}

/// Plays four daemons with random faults; gives for each step who may act under which number.
fn play(seed: u64, faults: bool) -> Vec<(u64, usize, quantity::FencingToken)> {
    let mut draws = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut row = Row::default();
    let mut daemons: Vec<_> = (0..4).map(|index| daemon(index, 1)).collect();
    let mut acts = Vec::new();
    let mut told: Option<quantity::RowVersion> = None;
    for now_ms in (0..90_000).step_by(50) {
        let now = time::MonotonicTime::new(now_ms);
        // What the holder told in the step before; a dead one tells nothing.
        let heard = told.take();
        if faults && draws.random_bool(0.004) {
            let index = draws.random_range(0..4);
            match draws.random_range(0..4) {
                0 => daemons[index].frozen = now_ms + draws.random_range(500..8_000),
                1 => daemons[index] = daemon(index, now_ms + 2),
                2 => daemons[index].is_cut = !daemons[index].is_cut,
                _ => daemons[index].keeper.on_read_failed(),
            }
        }
        for (index, daemon) in daemons.iter_mut().enumerate() {
            if let Some((_, expected, written)) = daemon.late.take_if(|(at, _, _)| *at <= now_ms) {
                // The answer never reaches the daemon.
                row.write(expected, written);
            }
            if daemon.frozen > now_ms {
                continue;
            }
            if let Some(version) = heard.filter(|_| !faults || draws.random_bool(0.5)) {
                daemon.keeper.observe_peer_lease(version, now);
            }
            if let Some(action) = daemon.keeper.next_action(now, daemon.patience) {
                let is_lost = faults && draws.random_bool(0.1);
                match action {
                    duty::DutyAction::Read if daemon.is_cut => daemon.keeper.on_read_failed(),
                    duty::DutyAction::Read => daemon.keeper.on_row_read(row.row.clone(), now, now),
                    duty::DutyAction::Write { expected, row: written } => {
                        let answer = match (daemon.is_cut, is_lost) {
                            (true, _) => duty::CommitOutcome::Unknown,
                            (false, false) => row.write(expected, written.clone()),
                            (false, true) => {
                                let arrives = now_ms + draws.random_range(0..6_000);
                                daemon.late = Some((arrives, expected, written.clone()));
                                duty::CommitOutcome::Unknown
                            }
                        };
                        daemon.keeper.on_write_outcome(written, answer, now, now);
                    }
                }
            }
            if let Some(fence) = daemon.keeper.fencing_token(now) {
                acts.push((now_ms, index, fence));
                told = daemon.keeper.held_version();
            }
        }
    }
    acts
}

fn check_acts(acts: &[(u64, usize, quantity::FencingToken)]) -> Result<(), String> {
    let mut holders = collections::BTreeMap::new();
    let mut newest = quantity::FencingToken::default();
    let mut last: Option<(u64, usize)> = None;
    let mut before: Option<(u64, usize)> = None;
    for (now, index, fence) in acts {
        if *holders.entry(*fence).or_insert(*index) != *index {
            return Err(format!("two holders act under {fence}"));
        }
        if *fence < newest {
            return Err(format!("{fence} acts at {now} after {newest}"));
        }
        newest = *fence;
        if last.is_some_and(|(_, other)| other != *index) {
            if before.is_some_and(|(at, first)| first == *index && now - at < LEASE.get()) {
                return Err(format!("daemon {index} acts again at {now} within a lease time"));
            }
            before = last;
        }
        last = Some((*now, *index));
    }
    Ok(())
}

#[test]
fn a_calm_fleet_has_one_holder_all_the_time() {
    let acts = play(7, false);
    assert_eq!(check_acts(&acts), Ok(()));
    let steps = 90_000 / 50;
    assert!(acts.len() >= steps - 100, "{} of {steps} steps have a holder", acts.len());
}

proptest::proptest! {
    #![proptest_config(samphiremoor_testkit::config(256))]

    // Freezes, restarts, cuts, lost answers and late writes, in any order: numbers never go back, no
    // two daemons share one, and no daemon acts again within a lease time of another.
    #[test]
    fn holders_never_overlap(seed in 0_u64..) {
        let acts = play(seed, true);
        proptest::prop_assert_eq!(check_acts(&acts), Ok(()));
        proptest::prop_assert!(acts.len() > 100, "the duties are done in between");
    }
}

#[test]
fn a_stopping_holder_gives_the_lease_away() {
    let mut row = Row::default();
    let mut first = daemon(0, 1);
    let mut second = daemon(1, 1);
    let mut drive = |daemon: &mut Daemon, from: u64, to: u64| {
        for now_ms in (from..to).step_by(50) {
            let now = time::MonotonicTime::new(now_ms);
            match daemon.keeper.next_action(now, daemon.patience) {
                Some(duty::DutyAction::Read) => {
                    daemon.keeper.on_row_read(row.row.clone(), now, now)
                }
                Some(duty::DutyAction::Write { expected, row: written }) => {
                    let answer = row.write(expected, written.clone());
                    daemon.keeper.on_write_outcome(written, answer, now, now);
                }
                None => {}
            }
        }
    };
    drive(&mut first, 0, 3_000);
    assert!(first.keeper.fencing_token(time::MonotonicTime::new(3_000)).is_some());
    first.keeper.release();
    assert!(first.keeper.fencing_token(time::MonotonicTime::new(3_000)).is_none());
    drive(&mut first, 3_000, 3_200);
    drive(&mut second, 3_200, 5_000);
    assert!(
        second.keeper.fencing_token(time::MonotonicTime::new(5_000)).is_some(),
        "no lease time is lost"
    );
}

// A holder that the table turns away: daemons that heard its last version need not watch it anew.
#[test]
fn a_version_that_was_heard_counts_from_then() {
    let version = quantity::RowVersion::new(7);
    let holder =
        ("other".parse().expect("the name is an identifier"), quantity::Incarnation::new(1));
    let fence = quantity::FencingToken::new(3);
    let row = duty::DutyRow { holder: Some(holder), fence, renewals: 9 };
    let mut keeper = daemon(1, 1).keeper;
    keeper.observe_peer_lease(version, time::MonotonicTime::new(10_000));
    let step = |keeper: &mut duty::DutyLease, at: u64| {
        keeper.next_action(time::MonotonicTime::new(at), time::Millis::default())
    };
    assert_eq!(step(&mut keeper, 12_000), Some(duty::DutyAction::Read));
    let now = time::MonotonicTime::new(12_010);
    keeper.on_row_read(Some((row, version)), now, now);
    assert_eq!(step(&mut keeper, 13_500), Some(duty::DutyAction::Read), "the lease may still hold");
    keeper.on_read_failed();
    let taken = step(&mut keeper, 14_300);
    assert!(matches!(taken, Some(duty::DutyAction::Write { .. })), "{taken:?}");
}
