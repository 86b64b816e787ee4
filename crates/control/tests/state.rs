//! Control state in simulation: start, join, revisions, unreachable peers, network partitions and
//! the stop of the local VM.

mod simulation;

use proptest::collection;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_control::capacity;
use samphiremoor_membership::daemons;
use samphiremoor_membership::gossip;
use samphiremoor_membership::state;
use samphiremoor_membership::upstreams;
use samphiremoor_platform::cloud;
use samphiremoor_view::zone;

/// A change is in force within this time in milliseconds, counted from the end of a network
/// partition if there is one.
const IN_FORCE_LIMIT_MS: u64 = 4_000;

/// Minimum time in milliseconds that a suspected daemon has to refute the suspicion.
const REFUTE_TIME_MS: u64 = 4_000;

#[test]
fn lone_daemon_gets_records_from_platform() {
    let mut simulation = simulation::ControlSimulation::new();
    let daemon = simulation.start("a");
    simulation
        .advance_until(IN_FORCE_LIMIT_MS, |simulation| simulation.revision_at(daemon) == 1)
        .expect("in force");
    simulation
        .advance_until(IN_FORCE_LIMIT_MS, |simulation| simulation.daemons[0].view.is_some())
        .expect("the daemon has a view");
    let view = simulation.daemons[daemon].view.as_ref().expect("the daemon has a view");
    assert_eq!(view.records.revision.get(), 1);
    assert_eq!(view.own_stop, None);
    assert_eq!(view.daemons.len(), 1);
}

/// Returns an upstream of a pool of the example records.
fn upstream_vm(index: usize, pool: &str) -> cloud::VmEntry {
    let mut entry = simulation::entry_vm(index, "a");
    let cloud::VmRole::Entry { http_address: address, .. } = entry.role else {
        panic!("the VM is an entry VM");
    };
    entry.role =
        cloud::VmRole::Upstream { pool: pool.parse().expect("a valid record id"), address };
    entry
}

// A daemon that hears of the pools one after another refused requests for the pools that were still
// missing.
#[test]
fn first_view_waits_for_an_upstream_of_each_pool() {
    let mut simulation = simulation::ControlSimulation::new();
    simulation.entries.push(upstream_vm(100, "courier-pool"));
    let daemon = simulation.start("a");
    simulation.advance(1_000);
    assert_eq!(simulation.revision_at(daemon), 1);
    assert!(simulation.daemons[daemon].view.is_none(), "no upstream of the models is known");
    simulation.entries.push(upstream_vm(101, "assistant-pool"));
    simulation
        .advance_until(IN_FORCE_LIMIT_MS, |simulation| simulation.daemons[daemon].view.is_some())
        .expect("the daemon has a view");
    let view = simulation.daemons[daemon].view.as_ref().expect("the daemon has a view");
    assert_eq!(view.replicas.len(), 2);
}

#[test]
fn first_view_waits_for_a_report_on_an_upstream_of_each_pool() {
    let mut simulation = simulation::ControlSimulation::new();
    simulation.entries.push(upstream_vm(100, "courier-pool"));
    let daemon = simulation.start("a");
    simulation.advance(1_000);
    assert_eq!(simulation.revision_at(daemon), 1);
    let mut entry = upstream_vm(101, "assistant-pool");
    entry.zone = "b".parse().expect("a valid zone id");
    let mut info = upstreams::from_vm_entry(&entry).expect("the VM is an upstream");
    info.status.state = zone::UpstreamState::Live;
    let peer = daemons::from_vm_entry(&simulation::entry_vm(102, "b"));
    let message = state::GossipMessage {
        sender: peer.expect("the VM is an entry VM"),
        revision: quantity::RevisionNumber::default(),
        receiver: None,
        updates: vec![gossip::GossipUpdate::Upstream(info)],
    };
    let now = time::MonotonicTime::new(simulation.now_ms);
    simulation.daemons[daemon].state.handle_gossip(now, message, &mut Vec::new());
    simulation.advance(50);
    let known = simulation.daemons[daemon].state.membership().upstreams().views(now);
    assert_eq!(known.len(), 2);
    assert!(simulation.daemons[daemon].view.is_none(), "the models of the engine are unknown");
}

#[test]
fn first_view_waits_for_upstreams_also_if_the_records_come_late() {
    let mut simulation = simulation::ControlSimulation::new();
    let daemon = simulation.start("a");
    simulation.daemons[daemon].is_isolated = true;
    simulation.advance(5_000);
    simulation.daemons[daemon].is_isolated = false;
    simulation
        .advance_until(IN_FORCE_LIMIT_MS, |simulation| simulation.revision_at(daemon) == 1)
        .expect("in force");
    assert!(simulation.daemons[daemon].view.is_none(), "no upstream is known");
    simulation
        .advance_until(IN_FORCE_LIMIT_MS, |simulation| simulation.daemons[daemon].view.is_some())
        .expect("the wait for upstreams ends");
}

#[test]
fn joining_daemon_is_discovered_by_all() {
    let mut simulation = simulation::ControlSimulation::running(&["a", "b"], 2);
    let joining = simulation.start("b");
    simulation.advance(10_000);
    assert_eq!(simulation.revision_at(joining), 1);
    for observer in 0..simulation.daemons.len() {
        let status = simulation.status(observer, joining).expect("the daemon is known");
        assert_eq!(status.state, zone::UpstreamState::Live, "at {observer}");
        let view = simulation.daemons[observer].view.as_ref().expect("the daemon has a view");
        assert_eq!(view.daemons.len(), 5, "at {observer}");
    }
}

#[test]
fn starting_daemon_delays_its_revision_report() {
    let mut simulation = simulation::ControlSimulation::running(&["a", "b"], 2);
    let joining = simulation.start("a");
    let started_at_ms = simulation.now_ms;
    simulation
        .advance_until(2_000, |simulation| simulation.revision_at(joining) == 1)
        .expect("in force");
    assert!(simulation.now_ms < started_at_ms + 2_000);
    let reported_revision = |simulation: &simulation::ControlSimulation| {
        let now = samphiremoor_base::time::MonotonicTime::new(simulation.now_ms);
        simulation.daemons[joining].state.reported_revision(now).get()
    };
    assert_eq!(reported_revision(&simulation), 0);
    simulation.advance(started_at_ms + 2_000 - simulation.now_ms);
    assert_eq!(reported_revision(&simulation), 1);
}

#[test]
fn revision_comes_into_force_everywhere() {
    let mut simulation = simulation::ControlSimulation::running(&["a", "b", "c"], 4);
    for _ in 0..10 {
        let revision = simulation.write();
        let is_everywhere = |simulation: &simulation::ControlSimulation| {
            (0..12).all(|index| simulation.revision_at(index) == revision)
        };
        simulation.advance_until(IN_FORCE_LIMIT_MS, is_everywhere).expect("in force everywhere");
        simulation.advance(370);
    }
}

#[test]
fn crashed_peer_is_gone_after_suspicion_timeout() {
    let mut simulation = simulation::ControlSimulation::running(&["a", "b"], 3);
    simulation.daemons[2].is_stopped = true;
    let is_gone = |simulation: &simulation::ControlSimulation| {
        let is_gone_at = |observer| {
            simulation
                .status(observer, 2)
                .is_some_and(|status| status.state == zone::UpstreamState::Gone)
        };
        [0, 1, 3, 4, 5].into_iter().all(is_gone_at)
    };
    let elapsed = simulation.advance_until(30_000, is_gone).expect("the peer is gone everywhere");
    assert!(elapsed >= REFUTE_TIME_MS, "gone after only {elapsed} ms");
    simulation.advance(1_000);
    let view = simulation.daemons[0].view.as_ref().expect("the daemon has a view");
    assert_eq!(view.daemons.len(), 5);
}

/// Minimum time in milliseconds before a crashed peer is suspected: a failed call and the indirect
/// probes.
const SUSPICION_TIME_MS: u64 = 2 * simulation::CALL_TIMEOUT_MS;

#[test]
fn stopping_peer_is_unreachable_without_probes() {
    let mut simulation = simulation::ControlSimulation::running(&["a", "b"], 3);
    simulation.stop(2);
    let is_unreachable = |simulation: &simulation::ControlSimulation| {
        let is_unreachable_at = |observer| {
            let status = simulation.status(observer, 2);
            status.is_some_and(|status| status.suspicion == gossip::DaemonSuspicion::Unreachable)
        };
        [0, 1, 3, 4, 5].into_iter().all(is_unreachable_at)
    };
    simulation
        .advance_until(SUSPICION_TIME_MS, is_unreachable)
        .expect("all daemons consider it unreachable");
    // The entry daemon of the stopped peer may continue to serve its last revision, so reports to
    // operators must include it.
    let is_included = |observer: usize| {
        let mut known_daemons = simulation.daemons[observer].state.known_daemons().into_iter();
        known_daemons.any(|info| info.id.as_str() == "vm-2")
    };
    assert!([0, 1, 3, 4, 5].into_iter().all(is_included));
}

#[test]
fn isolated_peer_is_live_after_partition() {
    let mut simulation = simulation::ControlSimulation::running(&["a", "b"], 3);
    simulation.daemons[2].is_isolated = true;
    simulation.advance(60_000);
    simulation.daemons[2].is_isolated = false;
    let is_live = |simulation: &simulation::ControlSimulation| {
        (0..6).all(|observer| {
            simulation
                .status(observer, 2)
                .is_some_and(|status| status.state == zone::UpstreamState::Live)
        })
    };
    simulation.advance_until(30_000, is_live).expect("the peer is live everywhere");
}

fn stop_cause(simulation: &simulation::ControlSimulation) -> Option<zone::StopCause> {
    simulation.daemons[0].view.as_ref().expect("the daemon has a view").own_stop
}

#[test]
fn notice_for_local_vm_is_a_reclaim() {
    let mut simulation = simulation::ControlSimulation::running(&["a"], 2);
    simulation.notices.push(cloud::ReclaimNotice {
        serial: 1,
        vm: "vm-0".parse().expect("a valid VM id"),
        remaining: samphiremoor_base::time::Millis::new(30_000),
    });
    simulation
        .advance_until(4_000, |simulation| stop_cause(simulation) == Some(zone::StopCause::Reclaim))
        .expect("the view has the stop cause");
}

#[test]
fn drain_mark_on_local_vm_is_a_drain() {
    let mut simulation = simulation::ControlSimulation::running(&["a"], 2);
    simulation.drain_marks.push(capacity::DrainMark {
        vm: "vm-0".parse().expect("a valid VM id"),
        author: "ana".into(),
    });
    simulation
        .advance_until(4_000, |simulation| stop_cause(simulation) == Some(zone::StopCause::Drain))
        .expect("the view has the stop cause");
    simulation.advance(10_000);
    assert_eq!(stop_cause(&simulation), Some(zone::StopCause::Drain));
}

#[test]
fn stop_of_unknown_cause_becomes_a_reclaim() {
    let mut simulation = simulation::ControlSimulation::running(&["a"], 2);
    simulation.entries[0].state = cloud::VmState::Leaving;
    let is_unsettled = |simulation: &simulation::ControlSimulation| {
        stop_cause(simulation) == Some(zone::StopCause::Unsettled)
    };
    simulation.advance_until(4_000, is_unsettled).expect("the view has the stop cause");
    simulation.advance(3_000);
    assert_eq!(stop_cause(&simulation), Some(zone::StopCause::Reclaim));
}

/// Isolates daemons while a change is written, and checks that it comes into force after the
/// partition heals.
fn check_partition(isolated: &[usize], before_write_ms: u64, after_write_ms: u64) {
    let mut simulation = simulation::ControlSimulation::running(&["a", "b", "c"], 3);
    isolated.iter().for_each(|index| simulation.daemons[*index].is_isolated = true);
    simulation.advance(before_write_ms);
    let revision = simulation.write();
    simulation.advance(after_write_ms);
    for index in isolated {
        assert_eq!(simulation.revision_at(*index), 1, "an isolated daemon receives no revision");
        simulation.daemons[*index].is_isolated = false;
    }
    let is_everywhere = |simulation: &simulation::ControlSimulation| {
        (0..9).all(|index| simulation.revision_at(index) == revision)
    };
    simulation.advance_until(IN_FORCE_LIMIT_MS, is_everywhere).unwrap_or_else(|| {
        let revisions: Vec<u64> = (0..9).map(|index| simulation.revision_at(index)).collect();
        panic!("not in force 4 s after a partition of {isolated:?} with {before_write_ms} and {after_write_ms} ms: {revisions:?}");
    });
}

#[test]
fn change_during_partition_is_in_force_after_it() {
    // Shorter and longer than the time after which the two sides consider each other gone.
    for duration_ms in [500, 2_000, 7_000, 30_000, 120_000] {
        for isolated in [[0].as_slice(), &[1], &[2], &[0, 1, 2], &[0, 4, 8]] {
            check_partition(isolated, 100, duration_ms);
            check_partition(isolated, duration_ms, 100);
        }
    }
}

/// An event of a simulation. Daemons are given by index, times in milliseconds.
#[derive(Clone, Debug)]
enum Event {
    Write,
    Cut(usize),
    Heal(usize),
    Advance(u64),
    SetRoundTrip(u64),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        2 => proptest::strategy::Just(Event::Write),
        2 => (0..6_usize).prop_map(Event::Cut),
        1 => (0..6_usize).prop_map(Event::Heal),
        4 => (50..9_000_u64).prop_map(Event::Advance),
        2 => (40..4_000_u64).prop_map(Event::SetRoundTrip),
    ];
    collection::vec(event, 1..16)
}

proptest::proptest! {
    #![proptest_config(samphiremoor_testkit::config(48))]

    /// The simulation itself checks that the revision never decreases, at a daemon and in its
    /// views.
    #[test]
    fn last_change_is_in_force_after_partitions_and_delays(events in events()) {
        let mut simulation = simulation::ControlSimulation::running(&["a", "b"], 3);
        for event in events {
            match event {
                Event::Write => _ = simulation.write(),
                Event::Cut(index) => simulation.daemons[index].is_isolated = true,
                Event::Heal(index) => simulation.daemons[index].is_isolated = false,
                Event::Advance(millis) => simulation.advance(millis),
                Event::SetRoundTrip(millis) => simulation.round_trip_ms = millis,
            }
        }
        let revision = simulation.write();
        simulation.round_trip_ms = simulation::ROUND_TRIP_MS;
        simulation.daemons.iter_mut().for_each(|daemon| daemon.is_isolated = false);
        let is_everywhere =
            |simulation: &simulation::ControlSimulation| (0..6).all(|index| simulation.revision_at(index) == revision);
        proptest::prop_assert!(simulation.advance_until(IN_FORCE_LIMIT_MS, is_everywhere).is_some());
    }
}
