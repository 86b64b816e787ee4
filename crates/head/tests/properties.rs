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

/// An event of a simulation. Numbers of operators and daemons are indexes into [`OPERATORS`] and
/// [`DAEMONS`].
#[derive(Clone, Debug)]
enum Event {
    /// The operator begins a change.
    BeginChange(usize),
    /// The operator performs its next action: a write with this delivery, or a read that fails if
    /// the last value is true.
    StepOperator(usize, common::WriteDelivery, bool),
    /// The oldest delayed write is delivered to the table.
    DeliverWrite,
    /// The daemon starts or restarts.
    StartDaemon(usize),
    /// The time advances by this number of milliseconds, and the daemon is ticked.
    Tick(usize, u64),
    /// The response at this index of the daemon's inbox is delivered.
    DeliverResponse(usize, usize),
    /// The revision of the second daemon is reported to the first one.
    PeerRevision(usize, usize),
}

const OPERATORS: [&str; 3] = ["ana", "bat", "chen"];
const DAEMONS: [&str; 3] = ["d1", "d2", "d3"];

fn write_deliveries() -> impl Strategy<Value = common::WriteDelivery> {
    prelude::prop_oneof![
        4 => prelude::Just(common::WriteDelivery::Responded),
        2 => prelude::Just(common::WriteDelivery::ResponseLost),
        1 => prelude::Just(common::WriteDelivery::RequestLost),
        1 => prelude::Just(common::WriteDelivery::NotApplied),
        2 => prelude::Just(common::WriteDelivery::Delayed),
    ]
}

fn events() -> impl Strategy<Value = Event> {
    prelude::prop_oneof![
        2 => (0..3_usize).prop_map(Event::BeginChange),
        8 => (0..3_usize, write_deliveries(), proptest::bool::ANY)
            .prop_map(|(operator, delivery, is_read_lost)| Event::StepOperator(operator, delivery, is_read_lost)),
        1 => prelude::Just(Event::DeliverWrite),
        1 => (0..3_usize).prop_map(Event::StartDaemon),
        4 => (0..3_usize, 0..2_000_u64).prop_map(|(daemon, advance_ms)| Event::Tick(daemon, advance_ms)),
        6 => (0..3_usize, 0..4_usize).prop_map(|(daemon, index)| Event::DeliverResponse(daemon, index)),
        4 => (0..3_usize, 0..3_usize).prop_map(|(daemon, peer)| Event::PeerRevision(daemon, peer)),
    ]
}

/// Outcomes of changes, by write id.
type ChangeOutcomes = collections::BTreeMap<String, change::ChangeOutcome>;

fn apply(simulation: &mut common::Simulation, event: &Event, outcomes_by_id: &mut ChangeOutcomes) {
    match event {
        Event::BeginChange(operator) => {
            let name = OPERATORS[*operator];
            let is_busy = simulation
                .operators
                .get(name)
                .is_some_and(|operator| !matches!(operator.action, change::ChangeAction::End(_)));
            if !is_busy {
                simulation.begin_change(name);
            }
        }
        Event::StepOperator(operator, delivery, is_read_lost) => {
            let name = OPERATORS[*operator];
            simulation.step_operator(name, *delivery, *is_read_lost);
            let Some(operator) = simulation.operators.get(name) else { return };
            if let change::ChangeAction::End(outcome) = &operator.action {
                outcomes_by_id.insert(operator.write_id.clone(), outcome.clone());
            }
        }
        Event::DeliverWrite => simulation.deliver_write(),
        Event::StartDaemon(daemon) => simulation.start(DAEMONS[*daemon]),
        Event::Tick(daemon, advance_ms) => {
            simulation.now = simulation.now + time::Millis::new(*advance_ms);
            let tick = follow::FollowInput::Tick(follow::ReaderRole::Reader);
            simulation.step_daemon(DAEMONS[*daemon], tick);
        }
        Event::DeliverResponse(daemon, index) => simulation.deliver(DAEMONS[*daemon], *index),
        Event::PeerRevision(daemon, peer) => {
            simulation.report_peer_revision(DAEMONS[*daemon], DAEMONS[*peer])
        }
    }
}

/// Checks that the outcomes reported to operators match the history.
fn check_outcomes(
    simulation: &common::Simulation,
    outcomes_by_id: &ChangeOutcomes,
) -> Result<(), test_runner::TestCaseError> {
    let history = simulation.history();
    for (write_id, outcome) in outcomes_by_id {
        let index = history.iter().position(|history_id| history_id == write_id);
        match outcome {
            change::ChangeOutcome::Written(revision) => {
                let written_revision = index.map(|index| index as u64 + 1);
                prelude::prop_assert_eq!(
                    written_revision,
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
    let unique_ids: collections::BTreeSet<_> = history.iter().collect();
    prelude::prop_assert_eq!(unique_ids.len(), history.len(), "a change was written twice");
    Ok(())
}

/// Checks that each daemon only moved to higher revisions and has the records of the revision in
/// force.
fn check_daemons(simulation: &common::Simulation) -> Result<(), test_runner::TestCaseError> {
    for (name, daemon) in &simulation.daemons {
        let is_increasing = daemon.revisions_in_force.windows(2).all(|pair| pair[0] < pair[1]);
        prelude::prop_assert!(
            is_increasing,
            "the revisions in force at {} do not increase: {:?}",
            name,
            daemon.revisions_in_force
        );
        let Some(content) = daemon.follower.content() else { continue };
        let row =
            simulation.revision(content.revision).expect("the table has the revision in force");
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
            apply(&mut simulation, event, &mut outcomes_by_id);
            check_daemons(&simulation)?;
        }
        // Delayed writes must not change an outcome that was already reported.
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
    simulation.step_operator("ana", common::WriteDelivery::Responded, false);
    simulation.start("d1");
    simulation.step_daemon("d1", follow::FollowInput::Tick(follow::ReaderRole::Reader));
    // Delivers the head row, then the row of the revision.
    simulation.deliver("d1", 0);
    simulation.deliver("d1", 0);
    let no_revision = samphiremoor_base::quantity::RevisionNumber::default();
    let delta =
        simulation.daemons["d1"].follower.delta_for(no_revision).expect("d1 has a revision");
    assert!(delta.clone().apply(None).is_some());
    let mut truncated = delta.clone();
    truncated.put.clear();
    assert_eq!(truncated.apply(None), None);
    let mut wrong_base = delta.clone();
    wrong_base.base = Some(no_revision.next());
    assert_eq!(wrong_base.apply(None), None);
    let mut unknown_removal = delta;
    unknown_removal.removed.push("pool/absent".parse().expect("a valid record key"));
    assert_eq!(unknown_removal.apply(None), None);
}

#[test]
fn old_revisions_are_deleted() {
    let mut simulation = common::Simulation::default();
    for _ in 0..=revision::RETAINED_REVISIONS {
        simulation.begin_change("ana");
        simulation.step_operator("ana", common::WriteDelivery::Responded, false);
    }
    let is_retained = |number| {
        simulation.revision(samphiremoor_base::quantity::RevisionNumber::new(number)).is_some()
    };
    assert!(!is_retained(1));
    assert!(is_retained(2));
    assert!(is_retained(revision::RETAINED_REVISIONS + 1));
}
