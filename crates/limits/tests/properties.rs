//! Properties of the adaptive policy under any order of requests.

mod common;

use proptest::prelude::*;
use proptest::test_runner;
use samphiremoor_base::quantity;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_limits::adaptive;
use samphiremoor_limits::gate;
use samphiremoor_limits::gate::AdmissionGate;
use samphiremoor_limits::share;

fn config() -> test_runner::Config {
    samphiremoor_testkit::config(128)
}

#[derive(Clone, Debug)]
enum GateStep {
    Ask { workspace: usize, service: usize },
    End { pick: usize, first: u64 },
    Pass(u64),
    Replicas(u32),
}

fn any_step() -> impl Strategy<Value = GateStep> {
    prop_oneof![
        6 => (0usize..3, 0usize..3)
            .prop_map(|(workspace, service)| GateStep::Ask { workspace, service }),
        4 => (any::<usize>(), 1u64..5_000).prop_map(|(pick, first)| GateStep::End { pick, first }),
        2 => (0u64..2_000).prop_map(GateStep::Pass),
        1 => (0u32..6).prop_map(GateStep::Replicas),
    ]
}

fn ask(
    gate: &mut adaptive::AdaptiveGate,
    workspace: usize,
    service: usize,
    now: time::MonotonicTime,
) -> Result<gate::PermitId, gate::AdmissionRefusal> {
    gate.admit(&gate::AdmissionRequest {
        workspace: &common::workspace_id(common::WORKSPACES[workspace].0),
        service: &common::service_id(common::SERVICES[service]),
        priority: quantity::PriorityLevel::new(service as u8),
        deadline_left: time::Millis::new(60_000),
        now,
    })
}

fn end(
    gate: &mut adaptive::AdaptiveGate,
    permit: gate::PermitId,
    first: u64,
    now: time::MonotonicTime,
) {
    let report = gate::PermitReport {
        outcome: gate::PermitOutcome::Complete,
        latency: Some(time::Millis::new(first)),
        now,
    };
    gate.release(permit, &report);
}

struct OpenCall {
    permit: gate::PermitId,
    service: usize,
}

fn in_progress(gate: &adaptive::AdaptiveGate) -> u32 {
    gate.status().iter().map(|status| status.in_progress).sum()
}

fn urgent_limit(gate: &adaptive::AdaptiveGate) -> f64 {
    gate.status().iter().map(|status| status.urgent_limit).sum()
}

fn greater_limit(gate: &adaptive::AdaptiveGate) -> f64 {
    gate.status().iter().map(|status| status.limit.max(status.urgent_limit)).sum()
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn admissions_stay_within_the_limit_and_every_end_is_counted(
        steps in prop::collection::vec(any_step(), 1..300),
    ) {
        let mut gate = adaptive::AdaptiveGate::default();
        let mut now = time::MonotonicTime::new(1);
        gate.configure(&common::view(3), now);
        let mut open = Vec::new();
        for step in steps {
            match step {
                GateStep::Ask { workspace, service } => {
                    if let Ok(permit) = ask(&mut gate, workspace, service, now) {
                        open.push(permit);
                        let factor = if service == 0 { adaptive::URGENT_FACTOR } else { 1.0 };
                        let bound = (greater_limit(&gate) * factor).max(1.0);
                        prop_assert!(f64::from(in_progress(&gate)) <= bound);
                    }
                }
                GateStep::End { pick, first } => {
                    if !open.is_empty() {
                        let permit = open.swap_remove(pick % open.len());
                        end(&mut gate, permit, first, now);
                    }
                }
                GateStep::Pass(length) => now = now + time::Millis::new(length),
                GateStep::Replicas(count) => gate.configure(&common::view(count), now),
            }
            prop_assert_eq!(in_progress(&gate) as usize, open.len());
        }
    }

    #[test]
    fn urgent_requests_are_shed_only_at_the_limit(steps in prop::collection::vec(any_step(), 1..200)) {
        let mut gate = adaptive::AdaptiveGate::default();
        let mut now = time::MonotonicTime::new(1);
        gate.configure(&common::view(3), now);
        let mut open: Vec<OpenCall> = Vec::new();
        for step in steps {
            match step {
                GateStep::Ask { workspace, service } => {
                    let urgent = open.iter().filter(|call| call.service == 0).count() as f64;
                    let before = f64::from(in_progress(&gate));
                    match ask(&mut gate, workspace, service, now) {
                        Ok(permit) => open.push(OpenCall { permit, service }),
                        Err(refusal) => {
                            let is_shed = refusal.reason == reason::RefusalReason::Shed;
                            let most = greater_limit(&gate) * adaptive::URGENT_FACTOR;
                            let is_full = urgent + 1.0 > urgent_limit(&gate) || before + 1.0 > most;
                            prop_assert!(service > 0 || !is_shed || is_full);
                            prop_assert!(refusal.retry_after > time::Millis::new(0));
                        }
                    }
                }
                GateStep::End { pick, first } if !open.is_empty() => {
                    let call = open.swap_remove(pick % open.len());
                    end(&mut gate, call.permit, first, now);
                }
                GateStep::Pass(length) => now = now + time::Millis::new(length),
                _ => {}
            }
        }
    }

    /// The large workspace asks for all it can get, the small one for one request at a time: it
    /// gets its share of what is admitted, or the floor of it where its service is less urgent.
    #[test]
    fn large_workspace_does_not_starve_small_ones(
        order in prop::collection::vec(any::<usize>(), 300..500),
        small in 1usize..3,
        service in 0usize..3,
    ) {
        const STEP: time::Millis = time::Millis::new(20);
        const ERROR_FACTOR: f64 = 0.8;
        let mut gate = adaptive::AdaptiveGate::default();
        let mut now = time::MonotonicTime::new(1);
        gate.configure(&common::view(4), now);
        let mut large_open = Vec::new();
        let mut small_open = Vec::new();
        let mut large_admitted = 0;
        let mut small_admitted = 0;
        let asked = order.len();
        for pick in order {
            while let Ok(permit) = ask(&mut gate, 0, 0, now) {
                large_open.push(permit);
                large_admitted += 1;
            }
            now = now + STEP;
            let whole = large_open.len() + small_open.len();
            if whole > 0 {
                // One request ends, whoever sent it.
                let number = pick % whole;
                let permit = if number < large_open.len() {
                    large_open.swap_remove(number)
                } else {
                    small_open.swap_remove(number - large_open.len())
                };
                end(&mut gate, permit, 200, now);
            }
            if let Ok(permit) = ask(&mut gate, small, service, now) {
                small_open.push(permit);
                small_admitted += 1;
            }
        }
        let share = f64::from(common::WORKSPACES[small].1) / 1_000.0;
        let part = if service == 0 { 1.0 } else { share::FLOOR_SHARE };
        let owed = share * part * f64::from(large_admitted + small_admitted);
        let least = owed.min(asked as f64) * ERROR_FACTOR;
        prop_assert!(f64::from(small_admitted) >= least, "{small_admitted} of {least}");
    }
}
