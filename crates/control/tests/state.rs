//! The control state alone: start, join, revisions, silent peers, cuts and the own stop.

mod world;

use proptest::collection;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use samphiremoor_control::capacity;
use samphiremoor_membership::gossip;
use samphiremoor_platform::cloud;
use samphiremoor_view::zone;

/// A change is in force within this time, also from the end of a cut on.
const IN_FORCE_LIMIT: u64 = 4_000;

/// A daemon that is suspected has this long to refute it.
const REFUTE_TIME: u64 = 4_000;

#[test]
fn lone_daemon_serves_by_the_platform() {
    let mut world = world::ControlWorld::new();
    let daemon = world.start("a");
    world.pass_until(IN_FORCE_LIMIT, |world| world.revision_at(daemon) == 1).expect("in force");
    world.pass_until(IN_FORCE_LIMIT, |world| world.daemons[0].view.is_some()).expect("a view");
    let view = world.daemons[daemon].view.as_ref().expect("a view");
    assert_eq!(view.records.revision.get(), 1);
    assert_eq!(view.own_stop, None);
    assert_eq!(view.daemons.len(), 1);
}

#[test]
fn daemon_that_joins_is_known_to_all() {
    let mut world = world::ControlWorld::running(&["a", "b"], 2);
    let newcomer = world.start("b");
    world.pass(10_000);
    assert_eq!(world.revision_at(newcomer), 1);
    for at in 0..world.daemons.len() {
        let standing = world.standing(at, newcomer).expect("it is known");
        assert_eq!(standing.state, zone::UpstreamState::Live, "at {at}");
        let view = world.daemons[at].view.as_ref().expect("a view");
        assert_eq!(view.daemons.len(), 5, "at {at}");
    }
}

#[test]
fn starting_daemon_reports_no_revision_at_first() {
    let mut world = world::ControlWorld::running(&["a", "b"], 2);
    let newcomer = world.start("a");
    let started = world.now;
    world.pass_until(2_000, |world| world.revision_at(newcomer) == 1).expect("in force");
    assert!(world.now < started + 2_000);
    let reported = |world: &world::ControlWorld| {
        let now = samphiremoor_base::time::MonotonicTime::new(world.now);
        world.daemons[newcomer].state.reported_revision(now).get()
    };
    assert_eq!(reported(&world), 0);
    world.pass(started + 2_000 - world.now);
    assert_eq!(reported(&world), 1);
}

#[test]
fn revision_comes_into_force_everywhere() {
    let mut world = world::ControlWorld::running(&["a", "b", "c"], 4);
    for _ in 0..10 {
        let revision = world.write();
        let is_everywhere =
            |world: &world::ControlWorld| (0..12).all(|index| world.revision_at(index) == revision);
        world.pass_until(IN_FORCE_LIMIT, is_everywhere).expect("in force everywhere");
        world.pass(370);
    }
}

#[test]
fn silent_peer_is_gone_after_its_time() {
    let mut world = world::ControlWorld::running(&["a", "b"], 3);
    world.daemons[2].is_dead = true;
    let is_gone = |world: &world::ControlWorld| {
        let is_gone_at = |at| {
            world
                .standing(at, 2)
                .is_some_and(|standing| standing.state == zone::UpstreamState::Gone)
        };
        [0, 1, 3, 4, 5].into_iter().all(is_gone_at)
    };
    let took = world.pass_until(30_000, is_gone).expect("it is gone everywhere");
    assert!(took >= REFUTE_TIME, "it had no time to refute it: {took} ms");
    world.pass(1_000);
    let view = world.daemons[0].view.as_ref().expect("a view");
    assert_eq!(view.daemons.len(), 5);
}

/// A call that fails and the tries of others take this long at least before a peer is suspected.
const SUSPICION_TIME: u64 = 2 * world::CALL_TIMEOUT;

#[test]
fn stopped_peer_is_known_before_it_could_be_suspected() {
    let mut world = world::ControlWorld::running(&["a", "b"], 3);
    world.stop(2);
    let is_known = |world: &world::ControlWorld| {
        let is_doubted_at = |at| {
            let standing = world.standing(at, 2);
            standing
                .is_some_and(|standing| standing.suspicion == gossip::DaemonSuspicion::Unreachable)
        };
        [0, 1, 3, 4, 5].into_iter().all(is_doubted_at)
    };
    world.pass_until(SUSPICION_TIME, is_known).expect("all know it");
    // Its entry daemon may serve on by the last revision, which an operator has to hear of.
    let is_named = |at: usize| {
        let mut known = world.daemons[at].state.known_daemons().into_iter();
        known.any(|news| news.id.as_str() == "vm-2")
    };
    assert!([0, 1, 3, 4, 5].into_iter().all(is_named));
}

#[test]
fn peer_that_was_cut_off_is_live_again() {
    let mut world = world::ControlWorld::running(&["a", "b"], 3);
    world.daemons[2].is_cut = true;
    world.pass(60_000);
    world.daemons[2].is_cut = false;
    let is_live = |world: &world::ControlWorld| {
        (0..6).all(|at| {
            world
                .standing(at, 2)
                .is_some_and(|standing| standing.state == zone::UpstreamState::Live)
        })
    };
    world.pass_until(30_000, is_live).expect("it is live everywhere");
}

fn own_stop(world: &world::ControlWorld) -> Option<zone::StopCause> {
    world.daemons[0].view.as_ref().expect("a view").own_stop
}

#[test]
fn notice_of_the_own_vm_is_a_reclaim() {
    let mut world = world::ControlWorld::running(&["a"], 2);
    world.notices.push(cloud::ReclaimNotice {
        serial: 1,
        vm: "vm-0".parse().expect("a VM"),
        remaining: samphiremoor_base::time::Millis::new(30_000),
    });
    world
        .pass_until(4_000, |world| own_stop(world) == Some(zone::StopCause::Reclaim))
        .expect("told");
}

#[test]
fn mark_on_the_own_vm_is_a_drain() {
    let mut world = world::ControlWorld::running(&["a"], 2);
    world
        .marks
        .push(capacity::DrainMark { vm: "vm-0".parse().expect("a VM"), author: "ana".into() });
    world.pass_until(4_000, |world| own_stop(world) == Some(zone::StopCause::Drain)).expect("told");
    world.pass(10_000);
    assert_eq!(own_stop(&world), Some(zone::StopCause::Drain));
}

#[test]
fn stop_of_unknown_cause_is_a_reclaim_in_the_end() {
    let mut world = world::ControlWorld::running(&["a"], 2);
    world.entries[0].state = cloud::VmState::Leaving;
    let is_unsettled =
        |world: &world::ControlWorld| own_stop(world) == Some(zone::StopCause::Unsettled);
    world.pass_until(4_000, is_unsettled).expect("told");
    world.pass(3_000);
    assert_eq!(own_stop(&world), Some(zone::StopCause::Reclaim));
}

/// Cuts daemons off for a time in which a change is written, and awaits it after the cut.
fn check_cut(cut: &[usize], before: u64, after: u64) {
    let mut world = world::ControlWorld::running(&["a", "b", "c"], 3);
    cut.iter().for_each(|index| world.daemons[*index].is_cut = true);
    world.pass(before);
    let revision = world.write();
    world.pass(after);
    for index in cut {
        assert_eq!(world.revision_at(*index), 1, "it hears nothing");
        world.daemons[*index].is_cut = false;
    }
    let is_everywhere =
        |world: &world::ControlWorld| (0..9).all(|index| world.revision_at(index) == revision);
    world.pass_until(IN_FORCE_LIMIT, is_everywhere).unwrap_or_else(|| {
        let revisions: Vec<u64> = (0..9).map(|index| world.revision_at(index)).collect();
        panic!("4 s after a cut of {cut:?} with {before} and {after} ms: {revisions:?}");
    });
}

#[test]
fn change_during_a_cut_is_in_force_in_time_after_it() {
    // Shorter and longer than the time after which each side takes the other for gone.
    for length in [500, 2_000, 7_000, 30_000, 120_000] {
        for cut in [[0].as_slice(), &[1], &[2], &[0, 1, 2], &[0, 4, 8]] {
            check_cut(cut, 100, length);
            check_cut(cut, length, 100);
        }
    }
}

#[derive(Clone, Debug)]
enum Event {
    Write,
    Cut(usize),
    Heal(usize),
    Pass(u64),
    Slow(u64),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        2 => proptest::strategy::Just(Event::Write),
        2 => (0..6_usize).prop_map(Event::Cut),
        1 => (0..6_usize).prop_map(Event::Heal),
        4 => (50..9_000_u64).prop_map(Event::Pass),
        2 => (40..4_000_u64).prop_map(Event::Slow),
    ];
    collection::vec(event, 1..16)
}

proptest::proptest! {
    #![proptest_config(samphiremoor_testkit::config(48))]

    /// The world itself checks that no revision reverts, at a daemon and in its views.
    #[test]
    fn newest_change_is_in_force_in_time_after_cuts_and_late_answers(events in events()) {
        let mut world = world::ControlWorld::running(&["a", "b"], 3);
        for event in events {
            match event {
                Event::Write => _ = world.write(),
                Event::Cut(index) => world.daemons[index].is_cut = true,
                Event::Heal(index) => world.daemons[index].is_cut = false,
                Event::Pass(millis) => world.pass(millis),
                Event::Slow(millis) => world.round_trip = millis,
            }
        }
        let revision = world.write();
        world.round_trip = world::ROUND_TRIP;
        world.daemons.iter_mut().for_each(|daemon| daemon.is_cut = false);
        let is_everywhere =
            |world: &world::ControlWorld| (0..6).all(|index| world.revision_at(index) == revision);
        proptest::prop_assert!(world.pass_until(IN_FORCE_LIMIT, is_everywhere).is_some());
    }
}
