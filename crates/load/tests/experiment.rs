//! What must hold of the daemons' policies in both deployments, with simulated time.

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
    run_aged(name, policy, kind, replica::ReportAges::default())
}

fn run_aged(
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

/// Goodput at twice the load stays near that at capacity, retries included.
fn check_overload(name: &str) {
    const NEAR: f64 = 0.8;
    let at_capacity = run(name, policy::PolicyKind::Scored, situation::Situation::AtCapacity);
    let twice = run(name, policy::PolicyKind::Scored, situation::Situation::TwiceCapacity);
    let (most, left) = (at_capacity.goodput_per_second, twice.goodput_per_second);
    assert!(left >= most * NEAR, "{left} of {most} answers within target in a second");
}

/// At twice the load the target of the service, which is a priority duty, is met all the same.
fn check_duty(name: &str, service: &str) {
    const TARGET_PERCENT: f64 = 95.0;
    let report = run(name, policy::PolicyKind::Scored, situation::Situation::TwiceCapacity);
    let duty = report.services.iter().find(|known| known.service.as_str() == service);
    let within = duty.map(|duty| duty.within_percent);
    assert!(within.is_some_and(|within| within >= TARGET_PERCENT), "{within:?}");
}

/// Routing does not collapse where what it knows of the replicas is as old as at the size to design
/// for: reports of load by seconds, cache events by a minute.
fn check_old_reports(name: &str) {
    const NEAR: f64 = 0.8;
    let (policy, kind) = (policy::PolicyKind::Scored, situation::Situation::AtCapacity);
    let ages =
        replica::ReportAges { load: time::Millis::new(5_000), cache: time::Millis::new(60_000) };
    let fresh = run(name, policy, kind).goodput_per_second;
    let aged = run_aged(name, policy, kind, ages).goodput_per_second;
    assert!(aged >= fresh * NEAR, "{aged} of {fresh} answers within target in a second");
}

/// Every call ends: answered, or refused with a reason.
fn check_ends(name: &str, kind: situation::Situation) {
    for policy in policy::PolicyKind::ALL {
        let report = run(name, policy, kind);
        let others: u64 = report.other_ends.values().sum();
        assert_eq!(report.sent, report.complete + others, "{policy}");
    }
}

/// The same seed gives the same figures.
fn check_repeats(name: &str) {
    let kind = situation::Situation::ZoneReclaimed;
    let once = run(name, policy::PolicyKind::Scored, kind);
    let again = run(name, policy::PolicyKind::Scored, kind);
    assert_eq!(format!("{once:?}"), format!("{again:?}"));
}

samphiremoor_base::cases! {
    overload_does_not_collapse_in_ulaanbaatar => check_overload("ulaanbaatar");
    overload_does_not_collapse_in_casa_settat => check_overload("casa-settat");
    confirmations_keep_their_target_under_overload =>
        check_duty("ulaanbaatar", "courier-confirmation");
    counter_checks_keep_their_target_under_overload =>
        check_duty("casa-settat", "counter-check");
    drafts_keep_their_target_under_overload => check_duty("ulaanbaatar", "rental-draft");
    old_reports_do_not_collapse_in_ulaanbaatar => check_old_reports("ulaanbaatar");
    old_reports_do_not_collapse_in_casa_settat => check_old_reports("casa-settat");
    every_call_ends_when_a_zone_is_reclaimed =>
        check_ends("ulaanbaatar", situation::Situation::ZoneReclaimed);
    every_call_ends_when_the_platform_is_down =>
        check_ends("casa-settat", situation::Situation::PlatformDown);
    runs_repeat => check_repeats("casa-settat");
}
