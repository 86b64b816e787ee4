//! Random interleavings of holders, peers, the table and the upstream: never two runs of a key, an
//! honest not run, one answer for a key. With each protection taken out, a violation must be found.

mod common;

use proptest::prelude::*;
use proptest::test_runner;
use samphiremoor_base::time;

const DAEMONS: usize = 3;

/// Interleavings of the intact protocol.
const CASES: u32 = 600;

/// Interleavings in which a violation of a weakened protocol must show.
const WEAK_CASES: u32 = 6_000;

#[derive(Clone, Debug)]
enum Step {
    Submit { daemon: usize, key: u8 },
    SendAgain { request: usize, daemon: usize },
    Deliver(usize),
    Settle,
    EndRun { index: usize, end: common::UpstreamEnd },
    Take(usize),
    Crash(usize),
    Pause(usize),
    Resume(usize),
    Release(usize),
    Cut(usize, usize),
    Heal,
    TableDown(bool),
    Fault(common::WriteFault),
    LateWrites,
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let daemon = || 0..DAEMONS;
    let end = prop_oneof![
        3 => Just(common::UpstreamEnd::Answer),
        2 => Just(common::UpstreamEnd::AnswerLost),
        1 => Just(common::UpstreamEnd::Refused),
    ];
    let fault = prop_oneof![
        Just(common::WriteFault::AnswerLost),
        Just(common::WriteFault::RequestLost),
        Just(common::WriteFault::Late),
    ];
    prop_oneof![
        8 => (daemon(), 0..3_u8).prop_map(|(daemon, key)| Step::Submit { daemon, key }),
        2 => (any::<usize>(), daemon())
            .prop_map(|(request, daemon)| Step::SendAgain { request, daemon }),
        20 => any::<usize>().prop_map(Step::Deliver),
        8 => Just(Step::Settle),
        6 => (any::<usize>(), end).prop_map(|(index, end)| Step::EndRun { index, end }),
        3 => daemon().prop_map(Step::Take),
        1 => daemon().prop_map(Step::Crash),
        1 => daemon().prop_map(Step::Pause),
        2 => daemon().prop_map(Step::Resume),
        1 => daemon().prop_map(Step::Release),
        1 => (daemon(), daemon()).prop_map(|(one, other)| Step::Cut(one, other)),
        2 => Just(Step::Heal),
        2 => Just(Step::TableDown(true)),
        3 => Just(Step::TableDown(false)),
        3 => fault.prop_map(Step::Fault),
        1 => Just(Step::LateWrites),
        8 => (1..400_u64).prop_map(Step::Advance),
    ]
}

fn apply(cluster: &mut common::ClaimCluster, step: &Step) {
    match step {
        Step::Submit { daemon, key } => cluster.submit(*daemon, &format!("k{key}"), "body"),
        Step::SendAgain { request, daemon } => {
            if !cluster.requests.is_empty() {
                cluster.send_again(request % cluster.requests.len(), *daemon);
            }
        }
        Step::Deliver(index) => {
            if !cluster.effects.is_empty() {
                cluster.deliver(index % cluster.effects.len());
            }
        }
        Step::Settle => cluster.settle(),
        Step::EndRun { index, end } => {
            if !cluster.running.is_empty() {
                cluster.end_run(index % cluster.running.len(), *end);
            }
        }
        Step::Take(daemon) => cluster.take(*daemon),
        Step::Crash(daemon) => cluster.crash(*daemon),
        Step::Pause(daemon) => {
            cluster.paused.insert(*daemon);
        }
        Step::Resume(daemon) => {
            cluster.paused.remove(daemon);
        }
        Step::Release(daemon) => cluster.release(*daemon),
        Step::Cut(one, other) => {
            cluster.cuts.insert((*one.min(other), *one.max(other)));
        }
        Step::Heal => cluster.cuts.clear(),
        Step::TableDown(is_down) => cluster.is_table_down = *is_down,
        Step::Fault(fault) => cluster.faults.push_back(*fault),
        Step::LateWrites => cluster.deliver_late_writes(),
        Step::Advance(length) => cluster.advance(time::Millis::new(*length)),
    }
}

/// Ends every run that is still at the upstream, and lets everything settle.
fn finish(cluster: &mut common::ClaimCluster) {
    cluster.is_table_down = false;
    cluster.paused.clear();
    cluster.cuts.clear();
    for _ in 0..20 {
        cluster.settle();
        while !cluster.running.is_empty() {
            cluster.end_run(0, common::UpstreamEnd::Answer);
        }
        cluster.advance(time::Millis::new(300));
    }
}

fn run(weakness: common::Weakness, cases: u32) -> Result<(), test_runner::TestError<Vec<Step>>> {
    let config =
        test_runner::Config { max_shrink_iters: 300, ..samphiremoor_testkit::config(cases) };
    let steps = prop::collection::vec(step(), 20..250);
    test_runner::TestRunner::new(config).run(&steps, |steps| {
        let mut cluster = common::ClaimCluster::new(DAEMONS, weakness);
        cluster.take(0);
        cluster.settle();
        for step in &steps {
            apply(&mut cluster, step);
        }
        finish(&mut cluster);
        prop_assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
        Ok(())
    })
}

fn check_holds() {
    if let Err(failure) = run(common::Weakness::None, CASES) {
        panic!("{failure}");
    }
}

fn check_fails(weakness: common::Weakness) {
    let found = run(weakness, WEAK_CASES);
    assert!(found.is_err(), "no violation was found without the protection: {weakness:?}");
}

samphiremoor_base::cases! {
    intact_protocol_holds => check_holds();
    fence_is_needed => check_fails(common::Weakness::NoFence);
    settling_is_needed => check_fails(common::Weakness::NoSettle);
    seal_is_needed => check_fails(common::Weakness::NoSeal);
    incarnation_is_needed => check_fails(common::Weakness::NoIncarnation);
    write_all_is_needed => check_fails(common::Weakness::NoWriteAll);
    journal_is_needed => check_fails(common::Weakness::NoJournal);
    inheritance_is_needed => check_fails(common::Weakness::NoInherit);
    certainty_is_needed => check_fails(common::Weakness::GuessNotRun);
}
