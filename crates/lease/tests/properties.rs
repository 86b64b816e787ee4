//! Checks with random crashes, pauses, partitions and lost responses that no two daemons hold a
//! shard under one fencing token, and that the shards are evenly distributed after all faults have
//! ended.

mod common;

use proptest::prelude::*;
use proptest::test_runner;
use samphiremoor_base::time;

const SHARDS: u16 = 6;
const NAMES: [&str; 3] = ["a", "b", "c"];

#[derive(Clone, Debug)]
enum Step {
    Start(usize),
    Kill(usize),
    Stop(usize),
    Pause(usize),
    Resume(usize),
    Disconnect(usize),
    Reconnect,
    TableDown(bool),
    LoseResponses(u32),
    Candidate(usize, bool),
    Run(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let name = || 0..NAMES.len();
    prop_oneof![
        1 => name().prop_map(Step::Start),
        1 => name().prop_map(Step::Kill),
        1 => name().prop_map(Step::Stop),
        1 => name().prop_map(Step::Pause),
        1 => name().prop_map(Step::Resume),
        1 => name().prop_map(Step::Disconnect),
        1 => Just(Step::Reconnect),
        1 => any::<bool>().prop_map(Step::TableDown),
        1 => (0..4_u32).prop_map(Step::LoseResponses),
        1 => (name(), any::<bool>()).prop_map(|(index, is_candidate)| Step::Candidate(index, is_candidate)),
        6 => (50..6_000_u64).prop_map(Step::Run),
    ]
}

fn apply(cluster: &mut common::LeaseCluster, step: &Step) {
    match step {
        Step::Start(index) => cluster.start(NAMES[*index]),
        Step::Kill(index) => cluster.kill(NAMES[*index]),
        Step::Stop(index) => cluster.stop(NAMES[*index]),
        Step::Pause(index) => {
            cluster.paused.insert(NAMES[*index].to_owned());
        }
        Step::Resume(index) => {
            cluster.paused.remove(NAMES[*index]);
        }
        Step::Disconnect(index) => {
            cluster.disconnected.insert(NAMES[*index].to_owned());
        }
        Step::Reconnect => cluster.disconnected.clear(),
        Step::TableDown(is_down) => cluster.is_table_down = *is_down,
        Step::LoseResponses(count) => cluster.lost_responses = *count,
        Step::Candidate(index, is_candidate) => cluster.set_candidate(NAMES[*index], *is_candidate),
        Step::Run(millis) => cluster.run(time::Millis::new(*millis)),
    }
}

fn run(is_conditional: bool) -> Result<(), test_runner::TestError<Vec<Step>>> {
    let config = test_runner::Config { max_shrink_iters: 100, ..samphiremoor_testkit::config(300) };
    let steps = prop::collection::vec(step(), 5..60);
    let mut runner = test_runner::TestRunner::new(config);
    runner.run(&steps, |steps| {
        let mut cluster = common::LeaseCluster::new(SHARDS);
        cluster.is_conditional = is_conditional;
        for step in &steps {
            apply(&mut cluster, step);
        }
        cluster.is_table_down = false;
        cluster.lost_responses = 0;
        cluster.disconnected.clear();
        cluster.paused.clear();
        NAMES.iter().for_each(|name| cluster.start(name));
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
    if let Err(failure) = run(true) {
        panic!("{failure}");
    }
}

#[test]
fn violation_without_conditional_writes() {
    assert!(run(false).is_err(), "no violation was found without conditional writes");
}
