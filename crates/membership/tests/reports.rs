//! A restarted daemon detects live upstreams whose poll reports it has not received yet.

#[allow(dead_code, reason = "other test files use the rest of the harness")]
mod common;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_membership::gossip;
use samphiremoor_membership::state;
use samphiremoor_records::set;
use samphiremoor_view::zone;
use smallvec::SmallVec;

fn ready_with_model() -> gossip::PollResult {
    let model = set::LoadedModel {
        model: "steppe-8b".parse().expect("a valid model id"),
        version: "1".parse().expect("a valid version id"),
        adapter: None,
    };
    let load = gossip::QuantizedLoad::default();
    gossip::PollResult::Ready { models: SmallVec::from_iter([model]), load }
}

#[test]
fn live_upstream_without_report_is_detected() {
    let mut cluster = common::Cluster::new();
    cluster.add_daemon("a", "north");
    cluster.add_daemon("b", "north");
    cluster.add_upstream("u", "north");
    cluster.set_poll_result("u", ready_with_model());
    cluster.run(time::Millis::new(5_000));
    cluster.kill("a");
    cluster.start("a");
    let daemon_a: id::DaemonId = "a".parse().expect("a valid daemon id");
    let daemon_b: id::DaemonId = "b".parse().expect("a valid daemon id");
    let north = "north".parse().expect("a valid zone id");
    let upstream =
        cluster.daemons[&daemon_b].upstreams().all().next().cloned().expect("b knows the upstream");
    assert_eq!(upstream.status.state, zone::UpstreamState::Live);
    let sender = cluster.daemons[&daemon_b].daemons().local().clone();
    let message = state::GossipMessage {
        sender,
        revision: quantity::RevisionNumber::default(),
        receiver: None,
        updates: vec![gossip::GossipUpdate::Upstream(upstream)],
    };
    let restarted = cluster.daemons.get_mut(&daemon_a).expect("daemon a is running");
    assert!(!restarted.upstreams().has_unreported_upstream(&north), "the upstream is joining");
    restarted.receive(cluster.now, message);
    assert!(restarted.upstreams().has_unreported_upstream(&north), "the update contains no report");
    cluster.run(time::Millis::new(5_000));
    let restarted = &cluster.daemons[&daemon_a];
    assert!(!restarted.upstreams().has_unreported_upstream(&north), "the report has arrived");
    let replica_view = cluster.replica_view("a", "u").expect("the view contains the upstream");
    assert_eq!(replica_view.models.len(), 1);
}
