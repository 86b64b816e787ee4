//! Crashes, network partitions and poll results in any order, and the size limit of messages.

mod common;

use std::collections;

use proptest::prelude;
use proptest::prelude::Strategy;
use proptest::test_runner;
use samphiremoor_base::cases;
use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_membership::gossip;
use samphiremoor_membership::rendezvous;
use samphiremoor_membership::state;
use samphiremoor_view::zone;

const DAEMONS: [&str; 6] = ["d1", "d2", "d3", "d4", "e1", "e2"];

/// An event of a simulation. Daemons are indexes into [`DAEMONS`], upstreams the numbers of their
/// names.
#[derive(Clone, Debug)]
enum Event {
    Kill(usize),
    Start(usize),
    /// Messages from the first daemon to the second are lost.
    Cut(usize, usize),
    /// All cuts end.
    Heal,
    /// The daemon marks the upstream as leaving.
    MarkLeaving(usize, usize),
    /// The VM list no longer contains the upstream.
    Unlist(usize),
    /// Polls of the upstream have this result from now on.
    SetPollResult(usize, gossip::PollResult),
    /// The time advances by this number of milliseconds.
    Run(u64),
}

fn poll_results() -> impl Strategy<Value = gossip::PollResult> {
    prelude::prop_oneof![
        prelude::Just(gossip::PollResult::NoResponse),
        prelude::Just(gossip::PollResult::NotReady),
        (0..100_u32).prop_map(common::ready),
    ]
}

fn events() -> impl Strategy<Value = Event> {
    prelude::prop_oneof![
        (0..6_usize).prop_map(Event::Kill),
        (0..6_usize).prop_map(Event::Start),
        (0..6_usize, 0..6_usize).prop_map(|(from, to)| Event::Cut(from, to)),
        prelude::Just(Event::Heal),
        (0..6_usize, 0..4_usize)
            .prop_map(|(daemon, upstream)| Event::MarkLeaving(daemon, upstream)),
        (0..4_usize).prop_map(Event::Unlist),
        (0..4_usize, poll_results())
            .prop_map(|(upstream, result)| Event::SetPollResult(upstream, result)),
        (100..3_000_u64).prop_map(Event::Run),
    ]
}

fn cluster() -> common::Cluster {
    let mut cluster = common::Cluster::new();
    for name in DAEMONS {
        cluster.add_daemon(name, &name[..1]);
    }
    (0..4).for_each(|number| cluster.add_upstream(&format!("u{number}"), "d"));
    cluster.run(time::Millis::new(3_000));
    cluster
}

fn apply(cluster: &mut common::Cluster, event: &Event) {
    match event {
        Event::Kill(daemon) => cluster.kill(DAEMONS[*daemon]),
        Event::Start(daemon) => cluster.start(DAEMONS[*daemon]),
        Event::Cut(from, to) => {
            let parse_id = |name: &str| name.parse::<id::DaemonId>().expect("a valid daemon id");
            cluster.cuts.insert((parse_id(DAEMONS[*from]), parse_id(DAEMONS[*to])));
        }
        Event::Heal => cluster.cuts.clear(),
        Event::MarkLeaving(daemon, upstream) => {
            let now = cluster.now;
            let vm = format!("u{upstream}").parse().expect("a valid VM id");
            let daemon: id::DaemonId = DAEMONS[*daemon].parse().expect("a valid daemon id");
            if let Some(member) = cluster.daemons.get_mut(&daemon) {
                member.mark_leaving(now, &vm);
            }
        }
        Event::Unlist(upstream) => cluster.unlist(&format!("u{upstream}")),
        Event::SetPollResult(upstream, result) => {
            cluster.set_poll_result(&format!("u{upstream}"), result.clone())
        }
        Event::Run(millis) => cluster.run(time::Millis::new(*millis)),
    }
}

/// Pairs of a daemon and an upstream that the daemon considers leaving or gone.
type LeavingUpstreams = collections::BTreeSet<(id::DaemonId, id::VmId)>;

fn leaving_upstreams(cluster: &common::Cluster) -> LeavingUpstreams {
    let mut leaving = LeavingUpstreams::new();
    for (name, member) in &cluster.daemons {
        let upstreams = member.upstreams().all();
        let upstreams = upstreams.filter(|info| info.status.state >= zone::UpstreamState::Leaving);
        leaving.extend(upstreams.map(|info| (name.clone(), info.vm.clone())));
    }
    leaving
}

fn config(cases: u32) -> test_runner::Config {
    samphiremoor_testkit::config(cases)
}

proptest::proptest! {
    #![proptest_config(config(48))]

    #[test]
    fn daemons_converge_after_faults(events in proptest::collection::vec(events(), 1..30)) {
        let mut cluster = cluster();
        let mut previous_leaving = leaving_upstreams(&cluster);
        for event in &events {
            apply(&mut cluster, event);
            let is_start = matches!(event, Event::Start(_));
            let current_leaving = leaving_upstreams(&cluster);
            if !is_start {
                let is_kept = |(name, vm): &(id::DaemonId, id::VmId)| {
                    !cluster.daemons.contains_key(name) || current_leaving.contains(&(name.clone(), vm.clone()))
                };
                prelude::prop_assert!(previous_leaving.iter().all(is_kept), "a leaving upstream became live again");
            }
            previous_leaving = current_leaving;
        }
        cluster.cuts.clear();
        (0..4).for_each(|number| cluster.set_poll_result(&format!("u{number}"), common::ready(0)));
        cluster.run(time::Millis::new(20_000));
        let running: Vec<String> = cluster.daemons.keys().map(ToString::to_string).collect();
        for viewer in &running {
            for name in DAEMONS.iter().filter(|name| *name != viewer) {
                let state = cluster.daemon_state(viewer, name);
                let is_running = running.iter().any(|running| running == name);
                let expected = if is_running { "live" } else { "gone" };
                prelude::prop_assert_eq!(&state, expected, "{} of {}", viewer, name);
            }
        }
        let views: collections::BTreeSet<Vec<String>> = running.iter().map(|viewer| {
            let state_of = |number| cluster.replica_view(viewer, &format!("u{number}")).map(|view| view.state);
            (0..4).map(|number| format!("{:?}", state_of(number))).collect()
        }).collect();
        prelude::prop_assert!(views.len() <= 1, "daemons differ: {:?}", views);
        let max_update_bytes = state::MembershipLimits::default().update_budget.message_bytes;
        prelude::prop_assert!(cluster.largest_message_bytes <= max_update_bytes + MESSAGE_OVERHEAD_BYTES);
    }
}

/// Size of a message without its updates: the sender and the status of the receiver.
const MESSAGE_OVERHEAD_BYTES: usize = 200;

#[track_caller]
fn check_load(value: u32) {
    let load = zone::LoadReport { running: value, ..zone::LoadReport::default() };
    let quantized = gossip::QuantizedLoad::from_report(&load).to_report().running;
    assert!(quantized.abs_diff(value) <= value / 4, "{value} is reported as {quantized}");
}

cases! {
    zero_load_is_exact => check_load(0);
    small_load_is_exact => check_load(3);
    medium_load_is_approximate => check_load(7);
    large_load_is_approximate => check_load(1_000);
    huge_load_is_approximate => check_load(3_000_000_000);
}

#[test]
fn tasks_are_spread_over_daemons() {
    let ids: Vec<id::DaemonId> =
        (0..36).map(|number| format!("d{number}").parse().expect("a valid daemon id")).collect();
    let mut counts = collections::BTreeMap::new();
    for number in 0..618 {
        let task = format!("u{number}");
        let assigned_daemons: Vec<_> = ids
            .iter()
            .filter(|local| rendezvous::is_assigned(&task, local, ids.iter(), 2))
            .collect();
        assert_eq!(assigned_daemons.len(), 2);
        assigned_daemons
            .into_iter()
            .for_each(|assigned_daemon| *counts.entry(assigned_daemon).or_insert(0) += 1);
    }
    assert!(counts.values().all(|count| (10..70).contains(count)), "{counts:?}");
}

proptest::proptest! {
    #![proptest_config(config(256))]

    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in proptest::collection::vec(proptest::num::u8::ANY, 0..300)) {
        let _ = postcard::from_bytes::<state::GossipMessage>(&bytes);
    }
}
