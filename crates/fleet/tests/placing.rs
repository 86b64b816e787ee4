//! Choice of replicas: locality of prompts against load, failures, departures.

mod entries;

use std::cell;
use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_fleet::load;
use samphiremoor_fleet::replica;
use samphiremoor_fleet::selection;

thread_local! {
    /// Draws of one test, one after the other.
    static DRAW: cell::Cell<f64> = const { cell::Cell::new(0.5) };
}

const NOW: time::MonotonicTime = time::MonotonicTime::new(100_000);

fn table(count: usize) -> replica::ReplicaTable {
    let mut table = replica::ReplicaTable::default();
    for index in 0..count {
        table.upsert(entries::entry(index, 1));
    }
    table
}

fn prompt(subject: u64, shared: u32, own: u32) -> selection::PromptSize {
    let parts = [
        selection::PromptSegment { hash: 1, tokens: 500 },
        selection::PromptSegment { hash: subject, tokens: shared },
        selection::PromptSegment { hash: subject * 1_000 + u64::from(own), tokens: own },
    ];
    selection::PromptSize {
        input_tokens: 500 + shared + own,
        max_output_tokens: 400,
        segments: parts.into_iter().collect(),
    }
}

fn choose(
    table: &replica::ReplicaTable,
    prompt: Option<&selection::PromptSize>,
    avoided: &[id::ReplicaId],
) -> Option<selection::SelectedReplica> {
    let (service, zone) = (entries::service(), entries::zone(0));
    let query = selection::SelectionQuery {
        service: &service,
        zone: &zone,
        prompt,
        excluded: avoided,
        daemon_count: 1,
        draw: DRAW.with(|draw| draw.replace((draw.get() * 7.31 + 0.117).fract())),
        now: NOW,
    };
    selection::choose(table, &query)
}

fn add_pending(table: &mut replica::ReplicaTable, id: &id::ReplicaId, tokens: u32) {
    let known = table.get_mut(id).expect("it is known");
    known.local_load.pending_tokens += tokens;
    known.local_load.running += 1;
}

// Load pattern: many sessions about few subjects, taken by several daemons.
#[test]
fn daemons_agree_on_the_home_of_a_subject() {
    let one = table(12);
    let mut other = table(12);
    // The other daemon has some load of its own and heard of some.
    add_pending(&mut other, &entries::replica_id(3), 300);
    for subject in 1..200 {
        let prompt = prompt(subject, 4_800, 900);
        let left = choose(&one, Some(&prompt), &[]).expect("replicas are open");
        let right = choose(&other, Some(&prompt), &[]).expect("replicas are open");
        assert_eq!(left.replica, right.replica);
        assert_eq!(left.uncached_tokens, 900, "the home has the shared parts");
    }
}

#[test]
fn subjects_are_spread_over_replicas() {
    let table = table(12);
    let mut counts: collections::BTreeMap<id::ReplicaId, u32> = collections::BTreeMap::new();
    for subject in 1..1_201 {
        let prompt = prompt(subject, 4_800, 900);
        let choice = choose(&table, Some(&prompt), &[]).expect("replicas are open");
        *counts.entry(choice.replica).or_default() += 1;
    }
    assert_eq!(counts.len(), 12);
    assert!(counts.values().all(|count| (50..200).contains(count)), "{counts:?}");
}

// Load pattern: one subject gets a third of the traffic. Its home must not get all of it.
#[test]
fn a_hot_subject_overflows_to_other_replicas() {
    let mut table = table(12);
    let mut used = collections::BTreeSet::new();
    for own in 0..40 {
        let prompt = prompt(7, 4_800, 1_000 + own);
        let choice = choose(&table, Some(&prompt), &[]).expect("replicas are open");
        add_pending(&mut table, &choice.replica, choice.uncached_tokens);
        used.insert(choice.replica);
    }
    assert_eq!(used.len(), 12, "a burst of one subject is worked off by all replicas");
}

// Load pattern: a burst of unrelated prompts within one digest interval.
#[test]
fn a_burst_is_spread_by_what_is_unread() {
    let mut table = table(6);
    for subject in 0..60 {
        let size = if subject % 6 == 0 { 20_000 } else { 1_000 };
        let prompt = prompt(subject + 1, 0, size);
        let choice = choose(&table, Some(&prompt), &[]).expect("replicas are open");
        add_pending(&mut table, &choice.replica, choice.uncached_tokens);
    }
    let pending: Vec<u32> = table.iter().map(|known| known.local_load.pending_tokens).collect();
    let (least, most) = (pending.iter().min(), pending.iter().max());
    assert!(most.zip(least).is_some_and(|(most, least)| most - least <= 21_000), "{pending:?}");
}

#[test]
fn the_peers_load_counts() {
    let mut table = table(2);
    let load = load::ReplicaLoad { running: 40, pending_tokens: 30_000 };
    let line = load::LoadEntry { replica: entries::replica_id(0), load };
    table.set_peer_loads(&"other".parse().expect("it is an identifier"), &[line], NOW);
    let prompt = prompt(1, 0, 1_000);
    let choice = choose(&table, Some(&prompt), &[]).expect("replicas are open");
    assert_eq!(choice.replica, entries::replica_id(1));
}

#[test]
fn a_replica_that_was_tried_is_avoided() {
    let table = table(2);
    let choice = choose(&table, None, &[entries::replica_id(0)]).expect("one is left");
    assert_eq!(choice.replica, entries::replica_id(1));
    assert_eq!(choose(&table, None, &[entries::replica_id(0), entries::replica_id(1)]), None);
}

#[test]
fn a_failing_replica_gets_little_and_is_tried_again() {
    let mut table = table(4);
    for _ in 0..30 {
        table.get_mut(&entries::replica_id(0)).expect("it is known").on_response(true, NOW);
    }
    let choice = choose(&table, None, &[]).expect("replicas are open");
    assert_ne!(choice.replica, entries::replica_id(0));
    let later = time::MonotonicTime::new(NOW.get() + 30_000);
    let share = table.get(&entries::replica_id(0)).expect("it is known").failure_rate(later);
    assert!(share < 0.01, "{share}");
}

#[test]
fn plain_calls_stay_in_their_zone_while_it_has_room() {
    let mut table = table(4);
    let choice = choose(&table, None, &[]).expect("replicas are open");
    assert_eq!(choice.replica, entries::replica_id(0));
    table.get_mut(&entries::replica_id(0)).expect("it is known").local_load.running = 12;
    let choice = choose(&table, None, &[]).expect("replicas are open");
    assert_ne!(choice.replica, entries::replica_id(0));
}
