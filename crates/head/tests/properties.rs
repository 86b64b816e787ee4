//! Races, lost responses, reordered messages and restarts in any order.

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
    Step(usize, common::WriteOutcome, bool),
    DeliverWrite,
    Start(usize),
    Tick(usize, u64),
    Deliver(usize, usize),
    PeerRevision(usize, usize),
}

const OPERATORS: [&str; 3] = ["ana", "bat", "chen"];
const DAEMONS: [&str; 3] = ["d1", "d2", "d3"];

fn outcomes() -> impl Strategy<Value = common::WriteOutcome> {
    prelude::prop_oneof![
        4 => prelude::Just(common::WriteOutcome::Responded),
        2 => prelude::Just(common::WriteOutcome::ResponseLost),
        1 => prelude::Just(common::WriteOutcome::RequestLost),
        1 => prelude::Just(common::WriteOutcome::NotApplied),
        2 => prelude::Just(common::WriteOutcome::Delayed),
    ]
}

fn events() -> impl Strategy<Value = Event> {
    prelude::prop_oneof![
        2 => (0..3_usize).prop_map(Event::Begin),
        8 => (0..3_usize, outcomes(), proptest::bool::ANY)
            .prop_map(|(operator, outcome, is_read_lost)| Event::Step(operator, outcome, is_read_lost)),
        1 => prelude::Just(Event::DeliverWrite),
        1 => (0..3_usize).prop_map(Event::Start),
        4 => (0..3_usize, 0..2_000_u64).prop_map(|(daemon, advance_ms)| Event::Tick(daemon, advance_ms)),
        6 => (0..3_usize, 0..4_usize).prop_map(|(daemon, index)| Event::Deliver(daemon, index)),
        4 => (0..3_usize, 0..3_usize).prop_map(|(daemon, peer)| Event::PeerRevision(daemon, peer)),
    ]
}

/// Outcomes of changes, by write id.
type ChangeOutcomes = collections::BTreeMap<String, change::ChangeOutcome>;

fn run(simulation: &mut common::Simulation, event: &Event, outcomes_by_id: &mut ChangeOutcomes) {
    match event {
        Event::Begin(operator) => {
            let name = OPERATORS[*operator];
            let is_busy = simulation
                .operators
                .get(name)
                .is_some_and(|operator| !matches!(operator.action, change::ChangeAction::End(_)));
            if !is_busy {
                simulation.begin_change(name);
            }
        }
        Event::Step(operator, outcome, is_read_lost) => {
            let name = OPERATORS[*operator];
            simulation.step_operator(name, *outcome, *is_read_lost);
            let Some(operator) = simulation.operators.get(name) else { return };
            if let change::ChangeAction::End(outcome) = &operator.action {
                outcomes_by_id.insert(operator.write_id.clone(), outcome.clone());
            }
        }
        Event::DeliverWrite => simulation.deliver_write(),
        Event::Start(daemon) => simulation.start(DAEMONS[*daemon]),
        Event::Tick(daemon, advance_ms) => {
            simulation.now = simulation.now + time::Millis::new(*advance_ms);
            let tick = follow::FollowInput::Tick(follow::ReaderRole::Reader);
            simulation.step_daemon(DAEMONS[*daemon], tick);
        }
        Event::Deliver(daemon, index) => simulation.deliver(DAEMONS[*daemon], *index),
        Event::PeerRevision(daemon, peer) => {
            simulation.report_peer_revision(DAEMONS[*daemon], DAEMONS[*peer])
        }
    }
}

/// Checks that the outcomes reported to operators match the history, also after every delayed write
/// was delivered.
fn check_outcomes(
    simulation: &common::Simulation,
    outcomes_by_id: &ChangeOutcomes,
) -> Result<(), test_runner::TestCaseError> {
    let history = simulation.history();
    for (write_id, outcome) in outcomes_by_id {
        let index = history.iter().position(|written| written == write_id);
        match outcome {
            change::ChangeOutcome::Written(revision) => {
                let index = index.map(|index| index as u64 + 1);
                prelude::prop_assert_eq!(
                    index,
                    Some(revision.get()),
                    "{} was reported as committed",
                    write_id
                );
            }
            change::ChangeOutcome::LostRace(_) | change::ChangeOutcome::NotApplied => {
                prelude::prop_assert_eq!(index, None, "{} was reported as not committed", write_id);
            }
            change::ChangeOutcome::Unknown(_) => {}
        }
    }
    let written: collections::BTreeSet<_> = history.iter().collect();
    prelude::prop_assert_eq!(written.len(), history.len(), "no change is written twice");
    Ok(())
}

fn check_daemons(simulation: &common::Simulation) -> Result<(), test_runner::TestCaseError> {
    for (name, daemon) in &simulation.daemons {
        let is_increasing = daemon.revisions_in_force.windows(2).all(|pair| pair[0] < pair[1]);
        prelude::prop_assert!(
            is_increasing,
            "{} moved to a lower revision: {:?}",
            name,
            daemon.revisions_in_force
        );
        let Some(content) = daemon.follower.content() else { continue };
        let row = simulation.revision(content.revision).expect("a revision in force is written");
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
    fn outcomes_match_history_and_revisions_never_decrease(
        events in proptest::collection::vec(events(), 1..120),
    ) {
        let mut simulation = common::Simulation::default();
        let mut outcomes_by_id = ChangeOutcomes::new();
        DAEMONS.iter().for_each(|name| simulation.start(name));
        for event in &events {
            run(&mut simulation, event, &mut outcomes_by_id);
            check_daemons(&simulation)?;
        }
        while !simulation.delayed_writes.is_empty() {
            simulation.deliver_write();
        }
        check_outcomes(&simulation, &outcomes_by_id)?;
    }
}

#[test]
fn damaged_deltas_are_refused() {
    let mut simulation = common::Simulation::default();
    simulation.begin_change("ana");
    simulation.step_operator("ana", common::WriteOutcome::Responded, false);
    simulation.start("d1");
    simulation.step_daemon("d1", follow::FollowInput::Tick(follow::ReaderRole::Reader));
    simulation.deliver("d1", 0);
    simulation.deliver("d1", 0);
    let none = samphiremoor_base::quantity::RevisionNumber::default();
    let delta = simulation.daemons["d1"].follower.delta_for(none).expect("d1 has a revision");
    assert!(delta.clone().apply(None).is_some());
    let mut truncated = delta.clone();
    truncated.put.clear();
    assert_eq!(truncated.apply(None), None);
    let mut wrong_base = delta.clone();
    wrong_base.base = Some(none.next());
    assert_eq!(wrong_base.apply(None), None);
    let mut unknown_removal = delta;
    unknown_removal.removed.push("pool/absent".parse().expect("a key"));
    assert_eq!(unknown_removal.apply(None), None);
}

#[test]
fn old_revisions_are_deleted() {
    let mut simulation = common::Simulation::default();
    for _ in 0..=revision::RETAINED_REVISIONS {
        simulation.begin_change("ana");
        simulation.step_operator("ana", common::WriteOutcome::Responded, false);
    }
    let is_retained = |number| {
        simulation.revision(samphiremoor_base::quantity::RevisionNumber::new(number)).is_some()
    };
    assert!(!is_retained(1));
    assert!(is_retained(2));
    assert!(is_retained(revision::RETAINED_REVISIONS + 1));
}
