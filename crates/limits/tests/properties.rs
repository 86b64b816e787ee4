//! Properties of the adaptive policy under arbitrary sequences of requests.

mod common;

use proptest::prelude::*;
use proptest::test_runner;
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
    /// Requests admission; the fields are indices of the workspace and the service.
    Request { workspace: usize, service: usize },
    /// Ends the request in progress at index `pick`, modulo the number of requests in progress.
    End { pick: usize, latency_ms: u64 },
    /// Advances the clock by a number of milliseconds.
    Advance(u64),
    /// Sets the number of live replicas.
    Replicas(u32),
}

fn any_step() -> impl Strategy<Value = GateStep> {
    prop_oneof![
        6 => (0usize..3, 0usize..3)
            .prop_map(|(workspace, service)| GateStep::Request { workspace, service }),
        4 => (any::<usize>(), 1u64..5_000)
            .prop_map(|(pick, latency_ms)| GateStep::End { pick, latency_ms }),
        2 => (0u64..2_000).prop_map(GateStep::Advance),
        1 => (0u32..6).prop_map(GateStep::Replicas),
    ]
}

fn admit(
    gate: &mut adaptive::AdaptiveGate,
    workspace: usize,
    service: usize,
    now: time::MonotonicTime,
) -> Result<gate::PermitId, gate::AdmissionRefusal> {
    gate.admit(&gate::AdmissionRequest {
        workspace: &common::workspace_id(common::WORKSPACES[workspace].0),
        service: &common::service_id(common::SERVICES[service]),
        deadline_left: time::Millis::new(60_000),
        now,
    })
}

fn end(
    gate: &mut adaptive::AdaptiveGate,
    permit: gate::PermitId,
    latency_ms: u64,
    now: time::MonotonicTime,
) {
    let report = gate::PermitReport {
        outcome: gate::PermitOutcome::Complete,
        latency: Some(time::Millis::new(latency_ms)),
        now,
    };
    gate.release(permit, &report);
}

/// Admitted request that has not ended.
struct OpenCall {
    permit: gate::PermitId,
    /// Index of the service.
    service: usize,
}

fn in_progress(gate: &adaptive::AdaptiveGate) -> u32 {
    gate.status().iter().map(|status| status.in_progress).sum()
}

/// Returns the limit on the most urgent requests.
fn urgent_limit(gate: &adaptive::AdaptiveGate) -> f64 {
    gate.status().iter().map(|status| status.urgent_limit).sum()
}

/// Returns the greater of the common and the urgent limit.
fn greater_limit(gate: &adaptive::AdaptiveGate) -> f64 {
    gate.status().iter().map(|status| status.limit.max(status.urgent_limit)).sum()
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn admissions_stay_within_limit_and_every_end_is_counted(
        steps in prop::collection::vec(any_step(), 1..300),
    ) {
        let mut gate = adaptive::AdaptiveGate::default();
        let mut now = time::MonotonicTime::new(1);
        gate.configure(&common::view(3), now);
        let mut open_permits = Vec::new();
        for step in steps {
            match step {
                GateStep::Request { workspace, service } => {
                    if let Ok(permit) = admit(&mut gate, workspace, service, now) {
                        open_permits.push(permit);
                        let limit_factor = if service == 0 { adaptive::URGENT_FACTOR } else { 1.0 };
                        let max_in_progress = (greater_limit(&gate) * limit_factor).max(1.0);
                        prop_assert!(f64::from(in_progress(&gate)) <= max_in_progress);
                    }
                }
                GateStep::End { pick, latency_ms } => {
                    if !open_permits.is_empty() {
                        let permit = open_permits.swap_remove(pick % open_permits.len());
                        end(&mut gate, permit, latency_ms, now);
                    }
                }
                GateStep::Advance(duration_ms) => now = now + time::Millis::new(duration_ms),
                GateStep::Replicas(count) => gate.configure(&common::view(count), now),
            }
            prop_assert_eq!(in_progress(&gate) as usize, open_permits.len());
        }
    }

    #[test]
    fn urgent_requests_are_shed_only_at_limit(steps in prop::collection::vec(any_step(), 1..200)) {
        let mut gate = adaptive::AdaptiveGate::default();
        let mut now = time::MonotonicTime::new(1);
        gate.configure(&common::view(3), now);
        let mut open_calls: Vec<OpenCall> = Vec::new();
        for step in steps {
            match step {
                GateStep::Request { workspace, service } => {
                    let urgent_requests =
                        open_calls.iter().filter(|call| call.service == 0).count() as f64;
                    let total_requests = f64::from(in_progress(&gate));
                    match admit(&mut gate, workspace, service, now) {
                        Ok(permit) => open_calls.push(OpenCall { permit, service }),
                        Err(refusal) => {
                            let is_shed = refusal.reason == reason::RefusalReason::Shed;
                            let max_requests = greater_limit(&gate) * adaptive::URGENT_FACTOR;
                            let is_full = urgent_requests + 1.0 > urgent_limit(&gate)
                                || total_requests + 1.0 > max_requests;
                            prop_assert!(service > 0 || !is_shed || is_full);
                            prop_assert!(refusal.retry_after > time::Millis::new(0));
                        }
                    }
                }
                GateStep::End { pick, latency_ms } if !open_calls.is_empty() => {
                    let call = open_calls.swap_remove(pick % open_calls.len());
                    end(&mut gate, call.permit, latency_ms, now);
                }
                GateStep::Advance(duration_ms) => now = now + time::Millis::new(duration_ms),
                _ => {}
            }
        }
    }

    /// The large workspace sends requests until it is refused, the small one sends one request per
    /// step. The small one receives its share of the admissions, or the floor of its share if its
    /// service is less urgent.
    #[test]
    fn large_workspace_does_not_starve_small_ones(
        picks in prop::collection::vec(any::<usize>(), 300..500),
        small_workspace in 1usize..3,
        service in 0usize..3,
    ) {
        const STEP: time::Millis = time::Millis::new(20);
        const TOLERANCE: f64 = 0.8;
        let mut gate = adaptive::AdaptiveGate::default();
        let mut now = time::MonotonicTime::new(1);
        gate.configure(&common::view(4), now);
        let mut large_permits = Vec::new();
        let mut small_permits = Vec::new();
        let mut large_admitted = 0;
        let mut small_admitted = 0;
        let requested = picks.len();
        for pick in picks {
            while let Ok(permit) = admit(&mut gate, 0, 0, now) {
                large_permits.push(permit);
                large_admitted += 1;
            }
            now = now + STEP;
            let open_count = large_permits.len() + small_permits.len();
            if open_count > 0 {
                // Ends one request of either workspace.
                let index = pick % open_count;
                let permit = if index < large_permits.len() {
                    large_permits.swap_remove(index)
                } else {
                    small_permits.swap_remove(index - large_permits.len())
                };
                end(&mut gate, permit, 200, now);
            }
            if let Ok(permit) = admit(&mut gate, small_workspace, service, now) {
                small_permits.push(permit);
                small_admitted += 1;
            }
        }
        let share = f64::from(common::WORKSPACES[small_workspace].1) / 1_000.0;
        let share_ratio = if service == 0 { 1.0 } else { share::FLOOR_RATIO };
        let fair_count = share * share_ratio * f64::from(large_admitted + small_admitted);
        let min_admitted = fair_count.min(requested as f64) * TOLERANCE;
        prop_assert!(
            f64::from(small_admitted) >= min_admitted,
            "{small_admitted} admitted, {min_admitted} expected"
        );
    }
}
