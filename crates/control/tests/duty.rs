//! The lease on a zone's duties: takeover, pauses, lost answers, and what is done under it.

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

/// What becomes of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WriteFate {
    Answered,
    AnswerLost,
    RequestLost,
}

/// Daemons that contend for one lease, each with a clock of its own.
struct Contest {
    rows: rows::RowSet,
    leases: Vec<duty::DutyLease>,
    /// Time of each daemon; a paused one stands still.
    now: Vec<time::MonotonicTime>,
}

impl Contest {
    fn new(count: usize) -> Self {
        let zone = "a".parse().expect("a zone");
        let lease = |index: usize| {
            let daemon = format!("d{index}").parse().expect("a daemon");
            let life = row::DaemonInstance { daemon, incarnation: quantity::Incarnation::new(1) };
            duty::DutyLease::new(&zone, life, duty::DutyTimes::default())
        };
        Contest {
            rows: rows::RowSet::default(),
            leases: (0..count).map(lease).collect(),
            now: vec![time::MonotonicTime::new(10_000); count],
        }
    }

    /// One daemon ticks after `pass`, and its call is answered at once.
    fn tick(&mut self, index: usize, pass: u64, fate: WriteFate) {
        self.now[index] = self.now[index] + time::Millis::new(pass);
        let now = self.now[index];
        let mut action = self.leases[index].step(now, duty::DutyInput::Tick { is_candidate: true });
        while let Some(wanted) = action.take() {
            let input = match wanted {
                duty::DutyAction::Read => {
                    duty::DutyInput::Read(self.rows.read(self.leases[index].key()))
                }
                duty::DutyAction::Write(write) => {
                    duty::DutyInput::Written(self.commit(&write, fate))
                }
            };
            action = self.leases[index].step(now, input);
        }
    }

    fn commit(
        &mut self,
        write: &table::TableTransaction,
        fate: WriteFate,
    ) -> commit_outcome::CommitOutcome {
        match fate {
            WriteFate::RequestLost => commit_outcome::CommitOutcome::Unknown,
            WriteFate::AnswerLost => {
                self.rows.commit(write);
                commit_outcome::CommitOutcome::Unknown
            }
            WriteFate::Answered => Ok(self.rows.commit(write)).into(),
        }
    }

    fn fence(&self, index: usize) -> Option<u64> {
        self.leases[index].fence(self.now[index]).map(quantity::FencingToken::get)
    }

    fn written(&self) -> Option<duty::DutyRow> {
        let row = self.rows.read(self.leases[0].key())?;
        Some(serde_json::from_str(&row.value).expect("a lease row"))
    }
}

const STEP: u64 = 500;

#[test]
fn one_of_two_holds_the_lease() {
    let mut contest = Contest::new(2);
    for _ in 0..40 {
        contest.tick(0, STEP, WriteFate::Answered);
        contest.tick(1, STEP, WriteFate::Answered);
    }
    assert_eq!([contest.fence(0), contest.fence(1)], [Some(1), None]);
}

#[test]
fn silent_holder_is_followed_under_a_greater_number() {
    let mut contest = Contest::new(2);
    (0..10).for_each(|_| contest.tick(0, STEP, WriteFate::Answered));
    assert_eq!(contest.fence(0), Some(1));
    (0..40).for_each(|_| contest.tick(1, STEP, WriteFate::Answered));
    assert_eq!(contest.fence(1), Some(2));
    // The first one was paused: its clock stood still, and it believes that it holds the lease.
    assert_eq!(contest.fence(0), Some(1));
    // Its next renewal is refused, and it knows better.
    (0..8).for_each(|_| contest.tick(0, STEP, WriteFate::Answered));
    assert_eq!(contest.fence(0), None);
    assert_eq!(contest.fence(1), Some(2));
}

#[test]
fn holder_without_the_table_stops_in_time() {
    let mut contest = Contest::new(1);
    (0..10).for_each(|_| contest.tick(0, STEP, WriteFate::Answered));
    let times = duty::DutyTimes::default();
    let mut passed = 0;
    while contest.fence(0).is_some() {
        contest.tick(0, STEP, WriteFate::RequestLost);
        passed += STEP;
    }
    // Before anybody could take the lease over.
    assert!(time::Millis::new(passed) < times.lease_time, "{passed} ms");
}

#[test]
fn lost_answer_of_the_first_write_is_settled_by_the_row() {
    let mut contest = Contest::new(1);
    (0..3).for_each(|_| contest.tick(0, STEP, WriteFate::AnswerLost));
    (0..10).for_each(|_| contest.tick(0, STEP, WriteFate::Answered));
    assert_eq!(contest.fence(0), Some(1));
}

fn fates() -> impl Strategy<Value = WriteFate> {
    prelude::prop_oneof![
        6 => prelude::Just(WriteFate::Answered),
        1 => prelude::Just(WriteFate::AnswerLost),
        1 => prelude::Just(WriteFate::RequestLost),
    ]
}

fn config() -> test_runner::Config {
    samphiremoor_testkit::config(512)
}

proptest::proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_number_has_two_holders_and_numbers_never_fall(
        ticks in proptest::collection::vec((0..3_usize, 0..4_000_u64, fates()), 1..150),
    ) {
        let mut contest = Contest::new(3);
        let mut holders: collections::BTreeMap<u64, usize> = collections::BTreeMap::new();
        let mut highest = 0;
        for (index, pass, fate) in ticks {
            contest.tick(index, pass, fate);
            let written = contest.written().map_or(0, |row| row.fence.get());
            prelude::prop_assert!(written >= highest, "{} after {}", written, highest);
            highest = written;
            for index in 0..3 {
                let Some(fence) = contest.fence(index) else { continue };
                let holder = *holders.entry(fence).or_insert(index);
                prelude::prop_assert_eq!(holder, index, "two holders of {}", fence);
                prelude::prop_assert!(fence <= highest);
            }
        }
    }

    #[test]
    fn any_row_is_read_or_left(value in "\\PC{0,80}") {
        let mut contest = Contest::new(1);
        let key = contest.leases[0].key().clone();
        let row = table::TableRow { key, version: quantity::RowVersion::new(3), value: sync::Arc::from(value) };
        contest.leases[0].step(contest.now[0], duty::DutyInput::Read(Some(row)));
        prelude::prop_assert_eq!(contest.fence(0), None);
    }
}
