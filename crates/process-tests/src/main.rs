//! `failure-run`: a bounded load on the real daemons while a seeded schedule brings about failures.
//!
//! Prints what was sent, what failed, what callers were told, and every broken promise; its exit
//! code is 1 where there is one. Build the programs before: `cargo build --workspace --bins`.

use std::fs;
use std::process;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use samphiremoor_process_tests::cluster;
use samphiremoor_process_tests::control;
use samphiremoor_process_tests::fleet;
use samphiremoor_process_tests::hold;
use samphiremoor_process_tests::mayhem;
use samphiremoor_process_tests::plan;

/// Longest run, in seconds.
const MAX_SECONDS: u64 = 600;

/// Most callers at the same time.
const MAX_CALLERS: u32 = 64;

/// Shards of the idempotency keys.
const SHARDS: u16 = 8;

/// Time after the last failure in which the system settles under load.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Sends load while processes and stores fail, and checks every answer.
#[derive(argh::FromArgs)]
struct RunArgs {
    /// seed of the load and of the failures (default 7)
    #[argh(option, default = "7")]
    seed: u64,
    /// seconds of failures (default 60)
    #[argh(option, default = "60")]
    seconds: u64,
    /// keep the settings and logs of the run
    #[argh(switch)]
    keep: bool,
    /// send to entry daemons that are not ready as well, as without a balancer
    #[argh(switch)]
    direct: bool,
    /// hold one failure for the whole time instead: none, table-down, zone-cut or zone-isolated
    #[argh(option)]
    only: Option<hold::HeldFailure>,
    /// callers at the same time (default 40)
    #[argh(option, default = "40")]
    callers: u32,
}

fn main() -> process::ExitCode {
    let args: RunArgs = argh::from_env();
    let plan = plan::ClusterPlan {
        entries: 2,
        engines: 2,
        services: 2,
        shards: SHARDS,
        has_links: args.only.is_some(),
        ..plan::ClusterPlan::default()
    };
    let mut cluster = cluster::TestCluster::start(plan.clone());
    if let Some(failure) = args.only {
        return run_held(&cluster, &plan, failure, &args);
    }
    let platform = cluster.platform_address;
    let before = task::block_on(control::platform_counts(platform));
    let start = Instant::now();
    let load = fleet::FleetPlan {
        entries: (0..cluster.entries.len()).map(|index| cluster.entry(index)).collect(),
        callers: args.callers.min(MAX_CALLERS),
        pause: Duration::from_millis(100),
        chats_per_mille: 300,
        chat_tokens: 40,
        seed: args.seed,
    };
    let callers = match args.direct {
        true => fleet::CallerFleet::start(&load),
        false => fleet::CallerFleet::start_balanced(&load),
    };
    let length = Duration::from_secs(args.seconds.min(MAX_SECONDS));
    let failures = mayhem::rage(&mut cluster, &plan, length, args.seed);
    thread::sleep(SETTLE_TIME);
    let report = callers.finish();
    let seconds = start.elapsed().as_secs_f64();
    let after = task::block_on(control::platform_counts(platform));
    println!("seed {}, {seconds:.1} s, {} callers", args.seed, args.callers.min(MAX_CALLERS));
    println!("sends {} ({:.1} a second)", report.sends, report.sends as f64 / seconds);
    println!("failures brought about:");
    for (kind, count) in &failures.failures {
        println!("  {kind:?} {count}");
    }
    println!("pairs that were on at once {}:", failures.pairs.values().sum::<u64>());
    for ((on, came), count) in &failures.pairs {
        println!("  {came:?} during {on:?} {count}");
    }
    println!("calls by what was told in the end:");
    for (label, count) in &report.outcomes {
        println!("  {label} {count}");
    }
    println!("refusals and failures of single sends:");
    for (label, count) in &report.refusals {
        println!("  {label} {count}");
    }
    println!("takeovers of a killed holder's shards:");
    for takeover in &failures.takeovers {
        println!("  {:?} beside {:?}", takeover.length, takeover.beside);
    }
    let writes = after.writes.saturating_sub(before.writes);
    println!("table writes {writes} ({:.1} a second)", writes as f64 / seconds);
    println!("refused by the table's rate limits {}", after.rate_refusals);
    let code = end(&cluster, &report);
    if args.keep {
        keep_files(&cluster);
    }
    code
}

/// Holds one failure and prints what the callers of each zone were told.
fn run_held(
    cluster: &cluster::TestCluster,
    plan: &plan::ClusterPlan,
    failure: hold::HeldFailure,
    args: &RunArgs,
) -> process::ExitCode {
    let length = Duration::from_secs(args.seconds.min(MAX_SECONDS));
    let callers = args.callers.min(MAX_CALLERS) / plan.zones.len() as u32;
    let load = hold::HeldLoad { callers, seed: args.seed };
    println!("seed {}, {failure:?} of {} for {length:?}", args.seed, plan.zones[0]);
    let mut whole = fleet::FleetReport::default();
    for zone in hold::run(cluster, plan, failure, length, &load) {
        print!("{zone}");
        whole.merge(zone.report);
    }
    end(cluster, &whole)
}

/// Prints the violations, and makes the exit code of them.
fn end(cluster: &cluster::TestCluster, report: &fleet::FleetReport) -> process::ExitCode {
    let counts = cluster.service_counts();
    if counts.len() != cluster.services.len() {
        println!("only {} of {} services gave their counts", counts.len(), cluster.services.len());
        return process::ExitCode::FAILURE;
    }
    let violations = report.ledger.violations(&counts);
    let count = violations.len() + report.stream_violations.len();
    println!("violations {count}");
    violations.iter().for_each(|violation| println!("  {violation}"));
    report.stream_violations.iter().for_each(|violation| println!("  {violation}"));
    if count == 0 { process::ExitCode::SUCCESS } else { process::ExitCode::FAILURE }
}

/// Moves the settings and logs out of the directory that goes with the cluster.
fn keep_files(cluster: &cluster::TestCluster) {
    let kept = cluster.directory().with_extension("kept");
    match fs::rename(cluster.directory(), &kept) {
        Ok(()) => println!("settings and logs: {}", kept.display()),
        Err(cause) => println!("settings and logs were not kept: {cause}"),
    }
}
