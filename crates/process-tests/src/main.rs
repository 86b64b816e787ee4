//! `failure-run`: sends bounded load to the real daemons while a seeded schedule injects failures.
//!
//! Prints the load, the injected failures, the outcomes that callers received, and every violated
//! guarantee. The exit code is 1 if there is a violation. The programs must be built first with
//! `cargo build --workspace --bins`.

use std::fs;
use std::process;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use samphiremoor_process_tests::cluster;
use samphiremoor_process_tests::control;
use samphiremoor_process_tests::fault_injection;
use samphiremoor_process_tests::plan;
use samphiremoor_process_tests::sustained;
use samphiremoor_process_tests::workload;

/// Maximum duration of a run, in seconds.
const MAX_SECONDS: u64 = 600;

/// Maximum number of concurrent callers.
const MAX_CALLERS: u32 = 64;

/// Number of shards of the idempotency keys.
const SHARDS: u16 = 8;

/// Time under load between the end of the last failure and the end of the run, so that the system
/// recovers.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Sends load while processes and stores fail, and checks every response.
#[derive(argh::FromArgs)]
struct RunArgs {
    /// seed of the load and of the failures (default 7)
    #[argh(option, default = "7")]
    seed: u64,
    /// duration of the failures in seconds (default 60)
    #[argh(option, default = "60")]
    seconds: u64,
    /// keep the settings and logs of the run
    #[argh(switch)]
    keep: bool,
    /// send to entry daemons that are not ready too, as if there were no load balancer
    #[argh(switch)]
    direct: bool,
    /// sustain one failure for the whole run instead: none, table-down, zone-cut or zone-isolated
    #[argh(option)]
    only: Option<sustained::SustainedFailure>,
    /// number of concurrent callers (default 40)
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
        return run_sustained(&cluster, &plan, failure, &args);
    }
    let platform = cluster.platform_address;
    let before = task::block_on(control::platform_counts(platform));
    let start = Instant::now();
    let load = workload::WorkloadPlan {
        entries: (0..cluster.entries.len()).map(|index| cluster.entry(index)).collect(),
        callers: args.callers.min(MAX_CALLERS),
        pause: Duration::from_millis(100),
        chats_per_mille: 300,
        chat_tokens: 40,
        seed: args.seed,
    };
    let callers = match args.direct {
        true => workload::WorkloadRunner::start(&load),
        false => workload::WorkloadRunner::start_balanced(&load),
    };
    let length = Duration::from_secs(args.seconds.min(MAX_SECONDS));
    let injected = fault_injection::inject_failures(&mut cluster, &plan, length, args.seed);
    thread::sleep(SETTLE_TIME);
    let report = callers.finish();
    let seconds = start.elapsed().as_secs_f64();
    let after = task::block_on(control::platform_counts(platform));
    println!("seed {}, {seconds:.1} s, {} callers", args.seed, args.callers.min(MAX_CALLERS));
    println!("sends {} ({:.1} a second)", report.sends, report.sends as f64 / seconds);
    println!("injected failures:");
    for (kind, count) in &injected.failures {
        println!("  {kind:?} {count}");
    }
    println!("overlapping failures {}:", injected.pairs.values().sum::<u64>());
    for ((active, started), count) in &injected.pairs {
        println!("  {started:?} during {active:?} {count}");
    }
    println!("calls by final outcome:");
    for (label, count) in &report.outcomes {
        println!("  {label} {count}");
    }
    println!("refused and failed sends:");
    for (label, count) in &report.refusals {
        println!("  {label} {count}");
    }
    println!("takeovers of the shards of killed holders:");
    for takeover in &injected.takeovers {
        println!("  {:?} during {:?}", takeover.length, takeover.concurrent);
    }
    let writes = after.writes.saturating_sub(before.writes);
    println!("table writes {writes} ({:.1} a second)", writes as f64 / seconds);
    println!("calls refused by the table's rate limits {}", after.rate_refusals);
    let code = print_verdict(&cluster, &report);
    if args.keep {
        keep_files(&cluster);
    }
    code
}

/// Runs one sustained failure and prints the outcomes that the callers of each zone received.
fn run_sustained(
    cluster: &cluster::TestCluster,
    plan: &plan::ClusterPlan,
    failure: sustained::SustainedFailure,
    args: &RunArgs,
) -> process::ExitCode {
    let length = Duration::from_secs(args.seconds.min(MAX_SECONDS));
    let callers = args.callers.min(MAX_CALLERS) / plan.zones.len() as u32;
    let load = sustained::SustainedLoad { callers, seed: args.seed };
    println!("seed {}, {failure:?} of {} for {length:?}", args.seed, plan.zones[0]);
    let mut merged = workload::WorkloadReport::default();
    for zone in sustained::run(cluster, plan, failure, length, &load) {
        print!("{zone}");
        merged.merge(zone.report);
    }
    print_verdict(cluster, &merged)
}

/// Prints the violations and returns the matching exit code.
fn print_verdict(
    cluster: &cluster::TestCluster,
    report: &workload::WorkloadReport,
) -> process::ExitCode {
    let counts = cluster.service_counts();
    if counts.len() != cluster.services.len() {
        println!(
            "only {} of {} services returned their counts",
            counts.len(),
            cluster.services.len()
        );
        return process::ExitCode::FAILURE;
    }
    let violations = report.ledger.violations(&counts);
    let count = violations.len() + report.stream_violations.len();
    println!("violations {count}");
    violations.iter().for_each(|violation| println!("  {violation}"));
    report.stream_violations.iter().for_each(|violation| println!("  {violation}"));
    if count == 0 { process::ExitCode::SUCCESS } else { process::ExitCode::FAILURE }
}

/// Moves the settings and logs out of the directory that is deleted with the cluster.
fn keep_files(cluster: &cluster::TestCluster) {
    let kept_directory = cluster.directory().with_extension("kept");
    match fs::rename(cluster.directory(), &kept_directory) {
        Ok(()) => println!("settings and logs: {}", kept_directory.display()),
        Err(cause) => println!("can't keep settings and logs: {cause}"),
    }
}
