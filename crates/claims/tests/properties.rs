//! Checks random interleavings of holders, peers, the table and the upstream: no key runs twice, no
//! request that got not-run runs, and all responses to a key contain the same result. With any
//! protection disabled, a violation must be found.

mod common;

use proptest::prelude::*;
use proptest::test_runner;
use samphiremoor_base::time;

const DAEMON_COUNT: usize = 3;

/// Number of interleavings of the complete protocol.
const CASES: u32 = 600;

/// Maximum number of interleavings until a violation must be found with a protection disabled.
const MAX_VIOLATION_CASES: u32 = 6_000;

/// A step of a random interleaving. The index of a request, an effect or a running call is taken
/// modulo their number.
#[derive(Clone, Debug)]
enum Step {
    Submit {
        daemon: usize,
        key: u8,
    },
    Resend {
        request: usize,
        daemon: usize,
    },
    ExecuteEffect(usize),
    RunUntilIdle,
    EndRun {
        index: usize,
        end: common::UpstreamEnd,
    },
    Acquire(usize),
    Crash(usize),
    Pause(usize),
    Resume(usize),
    Release(usize),
    Disconnect(usize, usize),
    Reconnect,
    /// Makes the table unavailable (`true`) or available (`false`).
    TableDown(bool),
    /// Sets the fault of a later write.
    Fault(common::WriteFault),
    DeliverDelayedWrites,
    /// Advances the time by this many milliseconds.
    Advance(u64),
}

fn any_step() -> impl Strategy<Value = Step> {
    let daemon = || 0..DAEMON_COUNT;
    let end = prop_oneof![
        3 => Just(common::UpstreamEnd::Response),
        2 => Just(common::UpstreamEnd::ResponseLost),
        1 => Just(common::UpstreamEnd::Refused),
    ];
    let fault = prop_oneof![
        Just(common::WriteFault::ResponseLost),
        Just(common::WriteFault::RequestLost),
        Just(common::WriteFault::Delayed),
    ];
    prop_oneof![
        8 => (daemon(), 0..3_u8).prop_map(|(daemon, key)| Step::Submit { daemon, key }),
        2 => (any::<usize>(), daemon())
            .prop_map(|(request, daemon)| Step::Resend { request, daemon }),
        20 => any::<usize>().prop_map(Step::ExecuteEffect),
        8 => Just(Step::RunUntilIdle),
        6 => (any::<usize>(), end).prop_map(|(index, end)| Step::EndRun { index, end }),
        3 => daemon().prop_map(Step::Acquire),
        1 => daemon().prop_map(Step::Crash),
        1 => daemon().prop_map(Step::Pause),
        2 => daemon().prop_map(Step::Resume),
        1 => daemon().prop_map(Step::Release),
        1 => (daemon(), daemon()).prop_map(|(one, other)| Step::Disconnect(one, other)),
        2 => Just(Step::Reconnect),
        2 => Just(Step::TableDown(true)),
        3 => Just(Step::TableDown(false)),
        3 => fault.prop_map(Step::Fault),
        1 => Just(Step::DeliverDelayedWrites),
        8 => (1..400_u64).prop_map(Step::Advance),
    ]
}

fn apply(cluster: &mut common::ClaimCluster, step: &Step) {
    match step {
        Step::Submit { daemon, key } => cluster.submit(*daemon, &format!("k{key}"), "body"),
        Step::Resend { request, daemon } => {
            if !cluster.requests.is_empty() {
                cluster.resend(request % cluster.requests.len(), *daemon);
            }
        }
        Step::ExecuteEffect(index) => {
            if !cluster.effects.is_empty() {
                cluster.execute_effect(index % cluster.effects.len());
            }
        }
        Step::RunUntilIdle => cluster.run_until_idle(),
        Step::EndRun { index, end } => {
            if !cluster.running.is_empty() {
                cluster.end_run(index % cluster.running.len(), *end);
            }
        }
        Step::Acquire(daemon) => cluster.acquire(*daemon),
        Step::Crash(daemon) => cluster.crash(*daemon),
        Step::Pause(daemon) => {
            cluster.paused.insert(*daemon);
        }
        Step::Resume(daemon) => {
            cluster.paused.remove(daemon);
        }
        Step::Release(daemon) => cluster.release(*daemon),
        Step::Disconnect(one, other) => {
            cluster.disconnected.insert((*one.min(other), *one.max(other)));
        }
        Step::Reconnect => cluster.disconnected.clear(),
        Step::TableDown(is_down) => cluster.is_table_down = *is_down,
        Step::Fault(fault) => cluster.faults.push_back(*fault),
        Step::DeliverDelayedWrites => cluster.deliver_delayed_writes(),
        Step::Advance(millis) => cluster.advance(time::Millis::new(*millis)),
    }
}

/// Ends the table outage, pauses and partitions, ends every run that is still at the upstream and
/// executes all effects.
fn finish(cluster: &mut common::ClaimCluster) {
    cluster.is_table_down = false;
    cluster.paused.clear();
    cluster.disconnected.clear();
    for _ in 0..20 {
        cluster.run_until_idle();
        while !cluster.running.is_empty() {
            cluster.end_run(0, common::UpstreamEnd::Response);
        }
        cluster.advance(time::Millis::new(300));
    }
}

fn run_random_steps(
    disabled_protection: common::DisabledProtection,
    cases: u32,
) -> Result<(), test_runner::TestError<Vec<Step>>> {
    let config =
        test_runner::Config { max_shrink_iters: 300, ..samphiremoor_testkit::config(cases) };
    let steps = prop::collection::vec(any_step(), 20..250);
    test_runner::TestRunner::new(config).run(&steps, |steps| {
        let mut cluster = common::ClaimCluster::new(DAEMON_COUNT, disabled_protection);
        cluster.acquire(0);
        cluster.run_until_idle();
        for step in &steps {
            apply(&mut cluster, step);
        }
        finish(&mut cluster);
        prop_assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
        Ok(())
    })
}

fn check_no_violation() {
    if let Err(failure) = run_random_steps(common::DisabledProtection::None, CASES) {
        panic!("{failure}");
    }
}

fn check_violation(disabled_protection: common::DisabledProtection) {
    let result = run_random_steps(disabled_protection, MAX_VIOLATION_CASES);
    assert!(
        result.is_err(),
        "no violation was found with this protection disabled: {disabled_protection:?}"
    );
}

samphiremoor_base::cases! {
    no_violation_with_all_protections => check_no_violation();
    violation_without_fencing => check_violation(common::DisabledProtection::Fencing);
    violation_without_commit_read_back => check_violation(common::DisabledProtection::CommitReadBack);
    violation_without_sealing => check_violation(common::DisabledProtection::Sealing);
    violation_without_incarnation_check => check_violation(common::DisabledProtection::IncarnationCheck);
    violation_without_write_all => check_violation(common::DisabledProtection::WriteAll);
    violation_without_journal_replay => check_violation(common::DisabledProtection::JournalReplay);
    violation_without_unsealed_groups => check_violation(common::DisabledProtection::UnsealedGroups);
    violation_without_unknown_outcome => check_violation(common::DisabledProtection::UnknownOutcome);
}
