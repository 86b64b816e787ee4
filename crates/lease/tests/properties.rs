//! Checks with random crashes, pauses, partitions and lost responses that no two daemons hold a
//! shard under one fencing token, and that the shards are evenly distributed after all faults have
//! ended.

#[allow(dead_code, reason = "other test files use the rest of the harness")]
mod common;

use proptest::prelude::*;
use proptest::test_runner;
use samphiremoor_base::time;

/// Number of shards, so that each daemon's fair share is two.
const SHARD_COUNT: u16 = 6;
const DAEMON_NAMES: [&str; 3] = ["a", "b", "c"];

/// A step of a random run. Daemons are given by their index in [`DAEMON_NAMES`].
#[derive(Clone, Debug)]
enum Step {
    Start(usize),
    Kill(usize),
    Stop(usize),
    Pause(usize),
    Resume(usize),
    Disconnect(usize),
    Reconnect,
    /// Makes the table unavailable (`true`) or available (`false`).
    TableDown(bool),
    /// Loses the responses to this many upcoming transactions.
    LoseResponses(u32),
    /// Sets whether a daemon may hold shards.
    Candidate(usize, bool),
    /// Advances the time by this many milliseconds.
    Run(u64),
}

fn any_step() -> impl Strategy<Value = Step> {
    let daemon_index = || 0..DAEMON_NAMES.len();
    prop_oneof![
        1 => daemon_index().prop_map(Step::Start),
        1 => daemon_index().prop_map(Step::Kill),
        1 => daemon_index().prop_map(Step::Stop),
        1 => daemon_index().prop_map(Step::Pause),
        1 => daemon_index().prop_map(Step::Resume),
        1 => daemon_index().prop_map(Step::Disconnect),
        1 => Just(Step::Reconnect),
        1 => any::<bool>().prop_map(Step::TableDown),
        1 => (0..4_u32).prop_map(Step::LoseResponses),
        1 => (daemon_index(), any::<bool>()).prop_map(|(index, is_candidate)| Step::Candidate(index, is_candidate)),
        6 => (50..6_000_u64).prop_map(Step::Run),
    ]
}

fn apply(cluster: &mut common::LeaseCluster, step: &Step) {
    match step {
        Step::Start(index) => cluster.start(DAEMON_NAMES[*index]),
        Step::Kill(index) => cluster.kill(DAEMON_NAMES[*index]),
        Step::Stop(index) => cluster.stop(DAEMON_NAMES[*index]),
        Step::Pause(index) => {
            cluster.paused.insert(DAEMON_NAMES[*index].to_owned());
        }
        Step::Resume(index) => {
            cluster.paused.remove(DAEMON_NAMES[*index]);
        }
        Step::Disconnect(index) => {
            cluster.disconnected.insert(DAEMON_NAMES[*index].to_owned());
        }
        Step::Reconnect => cluster.disconnected.clear(),
        Step::TableDown(is_down) => cluster.is_table_down = *is_down,
        Step::LoseResponses(count) => cluster.lost_responses = *count,
        Step::Candidate(index, is_candidate) => {
            cluster.set_candidate(DAEMON_NAMES[*index], *is_candidate)
        }
        Step::Run(millis) => cluster.run(time::Millis::new(*millis)),
    }
}

/// Runs random steps; `is_conditional` is whether the table checks the conditions of transactions.
fn run_random_steps(is_conditional: bool) -> Result<(), test_runner::TestError<Vec<Step>>> {
    let config = test_runner::Config { max_shrink_iters: 100, ..samphiremoor_testkit::config(300) };
    let steps = prop::collection::vec(any_step(), 5..60);
    let mut runner = test_runner::TestRunner::new(config);
    runner.run(&steps, |steps| {
        let mut cluster = common::LeaseCluster::new(SHARD_COUNT);
        cluster.is_conditional = is_conditional;
        for step in &steps {
            apply(&mut cluster, step);
        }
        cluster.is_table_down = false;
        cluster.lost_responses = 0;
        cluster.disconnected.clear();
        cluster.paused.clear();
        DAEMON_NAMES.iter().for_each(|name| cluster.start(name));
        cluster.run(time::Millis::new(30_000));
        prop_assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
        prop_assert!(cluster.holders().iter().all(Option::is_some), "{:?}", cluster.holders());
        let counts = cluster.held_counts();
        prop_assert!(counts.iter().all(|(_, count)| *count == 2), "{counts:?}");
        Ok(())
    })
}

#[test]
fn one_holder_per_fencing_token_and_even_distribution() {
    if let Err(failure) = run_random_steps(true) {
        panic!("{failure}");
    }
}

#[test]
fn violation_without_conditional_writes() {
    assert!(run_random_steps(false).is_err(), "no violation was found without conditional writes");
}
