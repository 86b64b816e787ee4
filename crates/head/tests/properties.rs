//! Races, lost answers, crossed messages and restarts in any order.

mod common;

use std::collections;

use proptest::prelude;
use proptest::prelude::Strategy;
use proptest::test_runner;
use samphiremoor_base::time;
use samphiremoor_head::change;
use samphiremoor_head::follow;
use samphiremoor_records::revision;

#[derive(Clone, Debug)]
enum Event {
    Begin(usize),
    Step(usize, common::WriteFate, bool),
    Land,
    Start(usize),
    Tick(usize, u64),
    Deliver(usize, usize),
    Hear(usize, usize),
}

const OPERATORS: [&str; 3] = ["ana", "bat", "chen"];
const DAEMONS: [&str; 3] = ["d1", "d2", "d3"];

fn fates() -> impl Strategy<Value = common::WriteFate> {
    prelude::prop_oneof![
        4 => prelude::Just(common::WriteFate::Answered),
        2 => prelude::Just(common::WriteFate::AnswerLost),
        1 => prelude::Just(common::WriteFate::RequestLost),
        1 => prelude::Just(common::WriteFate::NotDone),
        2 => prelude::Just(common::WriteFate::Delayed),
    ]
}

fn events() -> impl Strategy<Value = Event> {
    prelude::prop_oneof![
        2 => (0..3_usize).prop_map(Event::Begin),
        8 => (0..3_usize, fates(), proptest::bool::ANY)
            .prop_map(|(operator, fate, is_lost)| Event::Step(operator, fate, is_lost)),
        1 => prelude::Just(Event::Land),
        1 => (0..3_usize).prop_map(Event::Start),
        4 => (0..3_usize, 0..2_000_u64).prop_map(|(daemon, pass)| Event::Tick(daemon, pass)),
        6 => (0..3_usize, 0..4_usize).prop_map(|(daemon, place)| Event::Deliver(daemon, place)),
        4 => (0..3_usize, 0..3_usize).prop_map(|(daemon, peer)| Event::Hear(daemon, peer)),
    ]
}

/// Ends of changes, by write id.
type Ends = collections::BTreeMap<String, change::ChangeOutcome>;

fn run(world: &mut common::World, event: &Event, ends: &mut Ends) {
    match event {
        Event::Begin(operator) => {
            let name = OPERATORS[*operator];
            let is_busy = world
                .operators
                .get(name)
                .is_some_and(|operator| !matches!(operator.action, change::ChangeAction::End(_)));
            if !is_busy {
                world.begin(name);
            }
        }
        Event::Step(operator, fate, is_lost) => {
            let name = OPERATORS[*operator];
            world.step(name, *fate, *is_lost);
            let Some(operator) = world.operators.get(name) else { return };
            if let change::ChangeAction::End(end) = &operator.action {
                ends.insert(operator.write_id.clone(), end.clone());
            }
        }
        Event::Land => world.land(),
        Event::Start(daemon) => world.start(DAEMONS[*daemon]),
        Event::Tick(daemon, pass) => {
            world.now = world.now + time::Millis::new(*pass);
            let tick = follow::FollowInput::Tick(follow::ReaderRole::Reader);
            world.give(DAEMONS[*daemon], tick);
        }
        Event::Deliver(daemon, place) => world.deliver(DAEMONS[*daemon], *place),
        Event::Hear(daemon, peer) => world.hear(DAEMONS[*daemon], DAEMONS[*peer]),
    }
}

/// What operators were told is what the history says, also once every delayed write has landed.
fn check_ends(world: &common::World, ends: &Ends) -> Result<(), test_runner::TestCaseError> {
    let history = world.history();
    for (write_id, end) in ends {
        let place = history.iter().position(|written| written == write_id);
        match end {
            change::ChangeOutcome::Written(revision) => {
                let place = place.map(|place| place as u64 + 1);
                prelude::prop_assert_eq!(place, Some(revision.get()), "{} was told", write_id);
            }
            change::ChangeOutcome::LostRace(_) | change::ChangeOutcome::NotDone => {
                prelude::prop_assert_eq!(place, None, "{} was refused", write_id);
            }
            change::ChangeOutcome::Unknown(_) => {}
        }
    }
    let written: collections::BTreeSet<_> = history.iter().collect();
    prelude::prop_assert_eq!(written.len(), history.len(), "no change is written twice");
    Ok(())
}

fn check_daemons(world: &common::World) -> Result<(), test_runner::TestCaseError> {
    for (name, daemon) in &world.daemons {
        let rises = daemon.lived.windows(2).all(|pair| pair[0] < pair[1]);
        prelude::prop_assert!(rises, "{} went back: {:?}", name, daemon.lived);
        let Some(content) = daemon.follower.content() else { continue };
        let row = world.revision(content.revision).expect("a revision in force is written");
        prelude::prop_assert_eq!(&*content.bundle, &row.bundle(), "{} has other records", name);
    }
    Ok(())
}

fn config() -> test_runner::Config {
    samphiremoor_testkit::config(512)
}

proptest::proptest! {
    #![proptest_config(config())]

    #[test]
    fn operators_are_told_the_truth_and_daemons_never_go_back(
        events in proptest::collection::vec(events(), 1..120),
    ) {
        let mut world = common::World::default();
        let mut ends = Ends::new();
        DAEMONS.iter().for_each(|name| world.start(name));
        for event in &events {
            run(&mut world, event, &mut ends);
            check_daemons(&world)?;
        }
        while !world.delayed.is_empty() {
            world.land();
        }
        check_ends(&world, &ends)?;
    }
}

#[test]
fn damaged_differences_are_not_taken() {
    let mut world = common::World::default();
    world.begin("ana");
    world.step("ana", common::WriteFate::Answered, false);
    world.start("d1");
    world.give("d1", follow::FollowInput::Tick(follow::ReaderRole::Reader));
    world.deliver("d1", 0);
    world.deliver("d1", 0);
    let none = samphiremoor_base::quantity::RevisionNumber::default();
    let whole = world.daemons["d1"].follower.delta_for(none).expect("d1 has a revision");
    assert!(whole.clone().apply(None).is_some());
    let mut shortened = whole.clone();
    shortened.put.clear();
    assert_eq!(shortened.apply(None), None);
    let mut misplaced = whole.clone();
    misplaced.base = Some(none.next());
    assert_eq!(misplaced.apply(None), None);
    let mut crossed = whole;
    crossed.removed.push("pool/absent".parse().expect("a key"));
    assert_eq!(crossed.apply(None), None);
}

#[test]
fn old_revisions_are_deleted_behind_the_head() {
    let mut world = common::World::default();
    for _ in 0..=revision::RETAINED_REVISIONS {
        world.begin("ana");
        world.step("ana", common::WriteFate::Answered, false);
    }
    let kept =
        |number| world.revision(samphiremoor_base::quantity::RevisionNumber::new(number)).is_some();
    assert!(!kept(1));
    assert!(kept(2));
    assert!(kept(revision::RETAINED_REVISIONS + 1));
}
