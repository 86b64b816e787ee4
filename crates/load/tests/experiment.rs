//! Properties of the daemons' policies in both example deployments, in simulated time.

use std::path;

use samphiremoor_base::testing;
use samphiremoor_base::time;
use samphiremoor_load::experiment::deployment;
use samphiremoor_load::experiment::policy;
use samphiremoor_load::experiment::replica;
use samphiremoor_load::experiment::situation;
use samphiremoor_load::experiment::world;
use samphiremoor_load::tally;

const LENGTH: time::Millis = time::Millis::new(20_000);

fn run(name: &str, policy: policy::PolicyKind, kind: situation::Situation) -> tally::RunReport {
    run_with_ages(name, policy, kind, replica::ReportAges::default())
}

fn run_with_ages(
    name: &str,
    policy: policy::PolicyKind,
    kind: situation::Situation,
    ages: replica::ReportAges,
) -> tally::RunReport {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    let deployment = deployment::read(&root.join(name)).expect("the deployment can be read");
    let plan = world::RunPlan {
        policy,
        situation: kind,
        capacity: None,
        length: LENGTH,
        seed: testing::seed(),
        ages,
    };
    world::run(&deployment, &plan)
}

/// Checks that goodput at twice the capacity, with retries, stays close to goodput at capacity.
fn check_overload(name: &str) {
    const MIN_RATIO: f64 = 0.8;
    let at_capacity = run(name, policy::PolicyKind::Scored, situation::Situation::AtCapacity);
    let twice = run(name, policy::PolicyKind::Scored, situation::Situation::TwiceCapacity);
    let (expected, measured) = (at_capacity.goodput_per_second, twice.goodput_per_second);
    assert!(
        measured >= expected * MIN_RATIO,
        "{measured} of {expected} responses within target per second"
    );
}

/// Checks that the latency target of a high-priority service is met at twice the capacity.
fn check_priority_service(name: &str, service: &str) {
    const TARGET_PERCENT: f64 = 95.0;
    let report = run(name, policy::PolicyKind::Scored, situation::Situation::TwiceCapacity);
    let report_of_service =
        report.services.iter().find(|report| report.service.as_str() == service);
    let within = report_of_service.map(|report_of_service| report_of_service.within_percent);
    assert!(within.is_some_and(|within| within >= TARGET_PERCENT), "{within:?}");
}

/// Checks that goodput does not collapse with load reports that are seconds old and cache events
/// that are a minute old, which are their ages at the design size.
fn check_old_reports(name: &str) {
    const MIN_RATIO: f64 = 0.8;
    let (policy, kind) = (policy::PolicyKind::Scored, situation::Situation::AtCapacity);
    let ages =
        replica::ReportAges { load: time::Millis::new(5_000), cache: time::Millis::new(60_000) };
    let fresh = run(name, policy, kind).goodput_per_second;
    let aged = run_with_ages(name, policy, kind, ages).goodput_per_second;
    assert!(aged >= fresh * MIN_RATIO, "{aged} of {fresh} responses within target per second");
}

/// Checks that every call is completed or ends with a reason.
fn check_ends(name: &str, kind: situation::Situation) {
    for policy in policy::PolicyKind::ALL {
        let report = run(name, policy, kind);
        let others: u64 = report.other_ends.values().sum();
        assert_eq!(report.sent, report.complete + others, "{policy}");
    }
}

/// Checks that two runs with the same seed give the same report.
fn check_deterministic(name: &str) {
    let kind = situation::Situation::ZoneReclaimed;
    let once = run(name, policy::PolicyKind::Scored, kind);
    let again = run(name, policy::PolicyKind::Scored, kind);
    assert_eq!(format!("{once:?}"), format!("{again:?}"));
}

/// Checks that replicas are not busy for longer than they are held.
fn check_costs(name: &str) {
    let report = run(name, policy::PolicyKind::Scored, situation::Situation::TwiceCapacity);
    let busy_cost = report.busy_cost_per_thousand.expect("the busy time is known");
    let held_cost = report.cost_per_thousand;
    assert!(busy_cost <= held_cost, "busy time costs {busy_cost}, held time {held_cost}");
}

samphiremoor_base::cases! {
    busy_time_is_within_held_time_in_ulaanbaatar => check_costs("ulaanbaatar");
    busy_time_is_within_held_time_in_casa_settat => check_costs("casa-settat");
    overload_does_not_collapse_goodput_in_ulaanbaatar => check_overload("ulaanbaatar");
    overload_does_not_collapse_goodput_in_casa_settat => check_overload("casa-settat");
    confirmations_meet_their_target_under_overload =>
        check_priority_service("ulaanbaatar", "courier-confirmation");
    counter_checks_meet_their_target_under_overload =>
        check_priority_service("casa-settat", "counter-check");
    drafts_meet_their_target_under_overload => check_priority_service("ulaanbaatar", "rental-draft");
    old_reports_do_not_collapse_goodput_in_ulaanbaatar => check_old_reports("ulaanbaatar");
    old_reports_do_not_collapse_goodput_in_casa_settat => check_old_reports("casa-settat");
    every_call_ends_when_a_zone_is_reclaimed =>
        check_ends("ulaanbaatar", situation::Situation::ZoneReclaimed);
    every_call_ends_when_the_platform_is_down =>
        check_ends("casa-settat", situation::Situation::PlatformDown);
    runs_with_the_same_seed_are_identical => check_deterministic("casa-settat");
}
