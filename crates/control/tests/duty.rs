//! Lease on the duties of a zone: takeover, pauses and lost responses.

use std::collections;
use std::sync;

use proptest::prelude;
use proptest::prelude::Strategy;
use proptest::test_runner;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_control::duty;
use samphiremoor_lease::commit_outcome;
use samphiremoor_lease::row;
use samphiremoor_platform::rows;
use samphiremoor_platform::table;

/// Outcome of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WriteOutcome {
    Responded,
    ResponseLost,
    RequestLost,
}

/// Daemons that contend for one lease, each with its own clock.
struct Contenders {
    rows: rows::RowSet,
    leases: Vec<duty::DutyLease>,
    /// Current time of each daemon; the clock of a paused daemon stands still.
    now: Vec<time::MonotonicTime>,
}

impl Contenders {
    fn new(count: usize) -> Self {
        let zone = "a".parse().expect("a zone");
        let lease = |index: usize| {
            let daemon = format!("d{index}").parse().expect("a daemon");
            let instance =
                row::DaemonInstance { daemon, incarnation: quantity::Incarnation::new(1) };
            duty::DutyLease::new(&zone, instance, duty::DutyTimings::default())
        };
        Contenders {
            rows: rows::RowSet::default(),
            leases: (0..count).map(lease).collect(),
            now: vec![time::MonotonicTime::new(10_000); count],
        }
    }

    /// Advances the clock of one daemon by `advance_ms` milliseconds and ticks it. Its calls
    /// complete immediately.
    fn tick(&mut self, index: usize, advance_ms: u64, outcome: WriteOutcome) {
        self.now[index] = self.now[index] + time::Millis::new(advance_ms);
        let now = self.now[index];
        let mut action = self.leases[index].step(now, duty::DutyInput::Tick { is_candidate: true });
        while let Some(requested) = action.take() {
            let input = match requested {
                duty::DutyAction::Read => {
                    duty::DutyInput::Read(self.rows.read(self.leases[index].key()))
                }
                duty::DutyAction::Write(write) => {
                    duty::DutyInput::Written(self.commit(&write, outcome))
                }
            };
            action = self.leases[index].step(now, input);
        }
    }

    fn commit(
        &mut self,
        write: &table::TableTransaction,
        outcome: WriteOutcome,
    ) -> commit_outcome::CommitOutcome {
        match outcome {
            WriteOutcome::RequestLost => commit_outcome::CommitOutcome::Unknown,
            WriteOutcome::ResponseLost => {
                self.rows.commit(write);
                commit_outcome::CommitOutcome::Unknown
            }
            WriteOutcome::Responded => Ok(self.rows.commit(write)).into(),
        }
    }

    fn fencing_token(&self, index: usize) -> Option<u64> {
        self.leases[index].fencing_token(self.now[index]).map(quantity::FencingToken::get)
    }

    fn written(&self) -> Option<duty::DutyRow> {
        let row = self.rows.read(self.leases[0].key())?;
        Some(serde_json::from_str(&row.value).expect("a lease row"))
    }
}

const STEP_MS: u64 = 500;

#[test]
fn one_of_two_holds_the_lease() {
    let mut contenders = Contenders::new(2);
    for _ in 0..40 {
        contenders.tick(0, STEP_MS, WriteOutcome::Responded);
        contenders.tick(1, STEP_MS, WriteOutcome::Responded);
    }
    assert_eq!([contenders.fencing_token(0), contenders.fencing_token(1)], [Some(1), None]);
}

#[test]
fn silent_holder_is_replaced_with_a_higher_token() {
    let mut contenders = Contenders::new(2);
    (0..10).for_each(|_| contenders.tick(0, STEP_MS, WriteOutcome::Responded));
    assert_eq!(contenders.fencing_token(0), Some(1));
    (0..40).for_each(|_| contenders.tick(1, STEP_MS, WriteOutcome::Responded));
    assert_eq!(contenders.fencing_token(1), Some(2));
    // The first daemon was paused: its clock stood still, so it still assumes that it holds the
    // lease.
    assert_eq!(contenders.fencing_token(0), Some(1));
    // Its next renewal is refused, and it gives up the lease.
    (0..8).for_each(|_| contenders.tick(0, STEP_MS, WriteOutcome::Responded));
    assert_eq!(contenders.fencing_token(0), None);
    assert_eq!(contenders.fencing_token(1), Some(2));
}

#[test]
fn holder_without_table_stops_before_lease_time() {
    let mut contenders = Contenders::new(1);
    (0..10).for_each(|_| contenders.tick(0, STEP_MS, WriteOutcome::Responded));
    let timings = duty::DutyTimings::default();
    let mut elapsed_ms = 0;
    while contenders.fencing_token(0).is_some() {
        contenders.tick(0, STEP_MS, WriteOutcome::RequestLost);
        elapsed_ms += STEP_MS;
    }
    // The holder stops before another daemon could take over the lease.
    assert!(time::Millis::new(elapsed_ms) < timings.lease_time, "{elapsed_ms} ms");
}

#[test]
fn lost_response_to_first_write_is_settled_by_a_read() {
    let mut contenders = Contenders::new(1);
    (0..3).for_each(|_| contenders.tick(0, STEP_MS, WriteOutcome::ResponseLost));
    (0..10).for_each(|_| contenders.tick(0, STEP_MS, WriteOutcome::Responded));
    assert_eq!(contenders.fencing_token(0), Some(1));
}

fn outcomes() -> impl Strategy<Value = WriteOutcome> {
    prelude::prop_oneof![
        6 => prelude::Just(WriteOutcome::Responded),
        1 => prelude::Just(WriteOutcome::ResponseLost),
        1 => prelude::Just(WriteOutcome::RequestLost),
    ]
}

fn config() -> test_runner::Config {
    samphiremoor_testkit::config(512)
}

proptest::proptest! {
    #![proptest_config(config())]

    #[test]
    fn tokens_have_one_holder_and_never_decrease(
        ticks in proptest::collection::vec((0..3_usize, 0..4_000_u64, outcomes()), 1..150),
    ) {
        let mut contenders = Contenders::new(3);
        let mut holders: collections::BTreeMap<u64, usize> = collections::BTreeMap::new();
        let mut highest = 0;
        for (index, advance_ms, outcome) in ticks {
            contenders.tick(index, advance_ms, outcome);
            let written = contenders.written().map_or(0, |row| row.fence.get());
            prelude::prop_assert!(written >= highest, "{} after {}", written, highest);
            highest = written;
            for index in 0..3 {
                let Some(token) = contenders.fencing_token(index) else { continue };
                let holder = *holders.entry(token).or_insert(index);
                prelude::prop_assert_eq!(holder, index, "two holders of {}", token);
                prelude::prop_assert!(token <= highest);
            }
        }
    }

    #[test]
    fn malformed_rows_are_ignored(value in "\\PC{0,80}") {
        let mut contenders = Contenders::new(1);
        let key = contenders.leases[0].key().clone();
        let row = table::TableRow { key, version: quantity::RowVersion::new(3), value: sync::Arc::from(value) };
        contenders.leases[0].step(contenders.now[0], duty::DutyInput::Read(Some(row)));
        prelude::prop_assert_eq!(contenders.fencing_token(0), None);
    }
}
