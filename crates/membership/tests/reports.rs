//! What a daemon that starts anew knows of upstreams before their reports reach it.

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

fn ready_with_a_model() -> gossip::PollResult {
    let model = set::LoadedModel {
        model: "steppe-8b".parse().expect("a model"),
        version: "1".parse().expect("a version"),
        adapter: None,
    };
    let load = gossip::LoadLevel::default();
    gossip::PollResult::Ready { models: SmallVec::from_iter([model]), load }
}

#[test]
fn live_upstream_without_a_report_is_told_apart() {
    let mut cluster = common::Cluster::new();
    cluster.add_daemon("a", "north");
    cluster.add_daemon("b", "north");
    cluster.add_upstream("u", "north");
    cluster.answer("u", ready_with_a_model());
    cluster.run(time::Millis::new(5_000));
    cluster.kill("a");
    cluster.start("a");
    let first: id::DaemonId = "a".parse().expect("a daemon");
    let second: id::DaemonId = "b".parse().expect("a daemon");
    let north = "north".parse().expect("a zone");
    let other = cluster.daemons[&second].upstreams().all().next().cloned().expect("b knows it");
    assert_eq!(other.status.state, zone::UpstreamState::Live);
    let sender = cluster.daemons[&second].daemons().own().clone();
    let message = state::GossipMessage {
        sender,
        revision: quantity::RevisionNumber::default(),
        receiver: None,
        updates: vec![gossip::GossipUpdate::Upstream(other)],
    };
    let starter = cluster.daemons.get_mut(&first).expect("a has started");
    assert!(!starter.upstreams().has_unreported(&north), "the upstream is joining");
    starter.heard(cluster.now, message);
    assert!(starter.upstreams().has_unreported(&north), "the state comes without a report");
    cluster.run(time::Millis::new(5_000));
    let starter = &cluster.daemons[&first];
    assert!(!starter.upstreams().has_unreported(&north), "the report has come");
    let shown = cluster.shown("a", "u").expect("the list has it");
    assert_eq!(shown.models.len(), 1);
}
