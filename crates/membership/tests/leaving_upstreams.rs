//! An upstream that leaves gets no requests from any daemon, whatever happens to its polls, to the
//! VM list or to the daemons afterwards.

#[allow(dead_code, reason = "other test files use the rest of the harness")]
mod common;

use samphiremoor_base::time;
use samphiremoor_membership::gossip;
use samphiremoor_platform::cloud;
use samphiremoor_view::zone;

/// Time after which all daemons know that an upstream leaves.
const NEWS_TIME: time::Millis = time::Millis::new(2_000);
/// Time for which gone upstreams are remembered, and a margin.
const FORGETTING_TIME: time::Millis = time::Millis::new(125_000);
const DAEMONS: [&str; 3] = ["a", "b", "c"];

/// How the daemons learn that the upstream leaves.
#[derive(Clone, Copy, Debug)]
enum Notice {
    /// Its polls say that it drains.
    Poll,
    /// The VM list says that its VM leaves.
    VmList,
    /// An operator drains its VM.
    DrainMark,
    /// Its VM is no longer listed, and it does not respond.
    Unlisted,
}

/// What happens after the notice.
#[derive(Clone, Copy, Debug)]
enum Drill {
    /// The upstream falls silent and goes on; a poll finds it ready.
    SilenceAndReady,
    /// The table and the list are as before the notice: an older copy of them is back.
    RestoredPlatform,
    /// All daemons restart, one after the other.
    RestartedDaemons,
    /// A daemon that was partitioned since before the notice comes back.
    HealedPartition,
    /// A daemon that was partitioned returns after the others have forgotten the upstream.
    LatePartition,
}

fn set_list_state(cluster: &mut common::Cluster, state: cloud::VmState) {
    let mut entries = cluster.entries.iter_mut();
    entries.find(|entry| entry.id.as_str() == "u").expect("the VM is listed").state = state;
}

fn set_drain_marks(cluster: &mut common::Cluster, vms: &[&str]) {
    let vms: Vec<_> = vms.iter().map(|vm| vm.parse().expect("a valid VM id")).collect();
    let now = cluster.now;
    cluster.daemons.values_mut().for_each(|daemon| daemon.apply_drain_marks(now, &vms));
}

fn set_partition(cluster: &mut common::Cluster, is_cut: bool) {
    for peer in ["a", "b"] {
        let [near, far] = ["c", peer].map(|name| name.parse().expect("a valid daemon id"));
        match is_cut {
            true => cluster.cuts.insert((near, far)),
            false => cluster.cuts.remove(&(near, far)),
        };
    }
}

fn notice(cluster: &mut common::Cluster, notice: Notice) {
    match notice {
        Notice::Poll => {
            let load = gossip::QuantizedLoad::default();
            cluster.set_poll_result("u", gossip::PollResult::Draining { load });
        }
        Notice::VmList => set_list_state(cluster, cloud::VmState::Leaving),
        Notice::DrainMark => set_drain_marks(cluster, &["u"]),
        Notice::Unlisted => {
            cluster.unlist("u");
            cluster.set_poll_result("u", gossip::PollResult::NoResponse);
        }
    }
}

/// Returns the daemons that would send requests to the upstream.
fn users(cluster: &common::Cluster) -> Vec<&'static str> {
    let is_user = |daemon: &&str| {
        let view = cluster.replica_view(daemon, "u");
        view.is_some_and(|view| view.state == zone::UpstreamState::Live)
    };
    DAEMONS.into_iter().filter(is_user).collect()
}

fn check(given_notice: Notice, drill: Drill) {
    let mut cluster = common::Cluster::new();
    for daemon in DAEMONS {
        cluster.add_daemon(daemon, "north");
    }
    cluster.add_upstream("u", "north");
    cluster.run(time::Millis::new(5_000));
    assert_eq!(users(&cluster), DAEMONS, "the upstream is in use");
    let is_partitioned = matches!(drill, Drill::HealedPartition | Drill::LatePartition);
    set_partition(&mut cluster, is_partitioned);
    notice(&mut cluster, given_notice);
    cluster.run(NEWS_TIME + NEWS_TIME);
    // Only a partitioned daemon may not know yet.
    let knowing = |users: &[&str]| users.iter().all(|daemon| is_partitioned && *daemon == "c");
    assert!(knowing(&users(&cluster)), "{given_notice:?}: {:?}", users(&cluster));
    match drill {
        Drill::SilenceAndReady => {
            cluster.set_poll_result("u", gossip::PollResult::NoResponse);
            cluster.run(NEWS_TIME);
            cluster.set_poll_result("u", common::ready(0));
        }
        Drill::RestoredPlatform => {
            set_drain_marks(&mut cluster, &[]);
            if !matches!(given_notice, Notice::Unlisted) {
                set_list_state(&mut cluster, cloud::VmState::Live);
            }
        }
        Drill::RestartedDaemons => {
            for daemon in DAEMONS {
                cluster.kill(daemon);
                cluster.start(daemon);
                cluster.run(NEWS_TIME);
            }
        }
        Drill::HealedPartition => set_partition(&mut cluster, false),
        Drill::LatePartition => {
            cluster.run(FORGETTING_TIME);
            set_partition(&mut cluster, false);
        }
    }
    for _ in 0..40 {
        cluster.run(time::Millis::new(250));
        let users = users(&cluster);
        assert!(knowing(&users), "{given_notice:?}, {drill:?}: {users:?}");
    }
    assert_eq!(users(&cluster), [""; 0], "{given_notice:?}, {drill:?}");
}

samphiremoor_base::cases! {
    draining_poll_outlasts_silence => check(Notice::Poll, Drill::SilenceAndReady);
    draining_poll_outlasts_a_restored_platform => check(Notice::Poll, Drill::RestoredPlatform);
    draining_poll_outlasts_restarts => check(Notice::Poll, Drill::RestartedDaemons);
    draining_poll_reaches_a_partitioned_daemon => check(Notice::Poll, Drill::HealedPartition);
    listed_leave_outlasts_silence => check(Notice::VmList, Drill::SilenceAndReady);
    listed_leave_outlasts_a_restored_platform => check(Notice::VmList, Drill::RestoredPlatform);
    listed_leave_outlasts_restarts => check(Notice::VmList, Drill::RestartedDaemons);
    listed_leave_reaches_a_partitioned_daemon => check(Notice::VmList, Drill::HealedPartition);
    drain_mark_outlasts_silence => check(Notice::DrainMark, Drill::SilenceAndReady);
    drain_mark_outlasts_a_restored_platform => check(Notice::DrainMark, Drill::RestoredPlatform);
    drain_mark_outlasts_restarts => check(Notice::DrainMark, Drill::RestartedDaemons);
    drain_mark_reaches_a_partitioned_daemon => check(Notice::DrainMark, Drill::HealedPartition);
    unlisted_upstream_stays_gone_over_restarts => {
        check(Notice::Unlisted, Drill::RestartedDaemons)
    };
    unlisted_upstream_is_gone_for_a_partitioned_daemon => {
        check(Notice::Unlisted, Drill::HealedPartition)
    };
    forgotten_upstream_is_not_used_after_a_long_partition => {
        check(Notice::Unlisted, Drill::LatePartition)
    };
}
