//! Explanations, plans and statuses built from a view.

use std::net;

use samphiremoor_base::cases;
use samphiremoor_base::quantity;
use samphiremoor_ctl::args;
use samphiremoor_ctl::explain;
use samphiremoor_ctl::plan;
use samphiremoor_ctl::render;
use samphiremoor_ctl::status;
use samphiremoor_ctl::survey;
use samphiremoor_platform::cloud;
use samphiremoor_records::bundle;
use samphiremoor_records::file;
use samphiremoor_records::set;
use samphiremoor_view::zone;
use smallvec::SmallVec;

const RECORDS: &str = include_str!("../../../deploy/examples/records-v1.toml");
const REQUEST: &str = include_str!("../../../deploy/examples/request.toml");

fn records() -> set::RecordSet {
    let file = file::parse(RECORDS).expect("the example is read");
    let bundle = bundle::RecordBundle::new(file.entries);
    bundle.to_set(quantity::RevisionNumber::new(7)).expect("the example holds together")
}

fn address(port: u16) -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], port))
}

fn replica(name: &str, state: zone::UpstreamState, version: &str) -> zone::ReplicaView {
    let model = set::LoadedModel {
        model: "steppe-8b".parse().expect("a model"),
        version: version.parse().expect("a version"),
        adapter: Some("rental-agreements".parse().expect("an adapter")),
    };
    zone::ReplicaView {
        id: name.parse().expect("a replica"),
        vm: name.parse().expect("a VM"),
        zone: "bayanzurkh".parse().expect("a zone"),
        pool: "assistant-pool".parse().expect("a pool"),
        address: address(1),
        state,
        models: SmallVec::from_iter([model]),
        price: quantity::MicroPrice::new(500_000),
        reclaimable: true,
        load: zone::LoadReport { running: 3, ..zone::LoadReport::default() },
    }
}

fn view() -> zone::ZoneView {
    zone::ZoneView {
        zone: "bayanzurkh".parse().expect("a zone"),
        serial: 1,
        incarnation: quantity::Incarnation::new(1),
        records: records(),
        replicas: vec![
            replica("e-1", zone::UpstreamState::Live, "2026-05"),
            replica("e-2", zone::UpstreamState::Live, "2025-01"),
            replica("e-3", zone::UpstreamState::Leaving, "2026-05"),
            replica("e-4", zone::UpstreamState::Joining, "2026-05"),
        ],
        daemons: Vec::new(),
        platform: zone::PlatformState::Available,
        own_stop: None,
    }
}

fn request() -> explain::RequestFile {
    toml::from_str(REQUEST).expect("the example is a request")
}

#[test]
fn explanation_lists_candidates_and_exclusion_reasons() {
    let explanation = explain::explain(&request(), &view()).expect("the service exists");
    let text = render::explanation(args::OutputFormat::Text, &explanation);
    assert!(text.contains("e-1  bayanzurkh  total="), "{text}");
    assert!(text.contains("e-2  excluded  model-not-loaded"), "{text}");
    assert!(text.contains("e-3  excluded  leaving"), "{text}");
    assert!(text.contains("e-4  excluded  not-ready"), "{text}");
    let json = render::explanation(args::OutputFormat::Json, &explanation);
    let page: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    assert_eq!(page["candidates"][0]["replica"], "e-1");
}

#[track_caller]
fn check_refused(change: impl FnOnce(&mut explain::RequestFile), part: &str) {
    let mut request = request();
    change(&mut request);
    let refused = explain::explain(&request, &view()).expect_err("the request is refused");
    assert!(refused.to_string().contains(part), "{refused}");
}

cases! {
    unknown_workspace_is_refused => check_refused(
        |request| request.workspace = "nobody".parse().expect("a workspace"),
        "no workspace nobody",
    );
    unknown_service_is_refused => check_refused(
        |request| request.service = "boats".parse().expect("a service"),
        "may not use a service boats",
    );
}

#[test]
fn plan_lists_actions_with_reasons() {
    let view = view();
    let replicas: Vec<&zone::ReplicaView> = view.replicas.iter().collect();
    let listed: Vec<cloud::VmEntry> = view
        .replicas
        .iter()
        .map(|replica| cloud::VmEntry {
            id: replica.vm.clone(),
            zone: replica.zone.clone(),
            class: "gpu-small".parse().expect("a class"),
            reclaimable: true,
            price: replica.price,
            state: cloud::VmState::Live,
            role: cloud::VmRole::Upstream { pool: replica.pool.clone(), address: replica.address },
        })
        .collect();
    let offer = cloud::VmOffer {
        class: "gpu-small".parse().expect("a class"),
        zone: "songino".parse().expect("a zone"),
        reclaimable: true,
        price: quantity::MicroPrice::new(400_000),
    };
    let built = plan::build(&view.records, &replicas, &listed, &[offer]);
    let text = render::plan(args::OutputFormat::Text, &built);
    assert!(text.contains("pool=assistant-pool"), "{text}");
    assert!(text.contains("start pool=assistant-pool class=gpu-small zone=songino"), "{text}");
    assert!(text.contains("reason="), "{text}");
}

#[test]
fn status_sums_replicas_prices_and_load() {
    let survey = survey::RevisionSurvey::default();
    let built = status::build(Some(quantity::RevisionNumber::new(7)), &survey, &[view()]);
    let service =
        built.services.iter().find(|service| service.service.as_str() == "rental-assistant");
    let service = service.expect("the records have the service");
    assert_eq!(service.replicas, status::ReplicaCounts { joining: 2, live: 1, leaving: 1 });
    assert_eq!(service.price_per_hour, quantity::MicroPrice::new(2_000_000));
    assert_eq!((service.running, service.capacity), (3, 8));
    assert_eq!(service.latency, status::LatencyOutlook::WithinTarget);
    let text = render::status(args::OutputFormat::Text, &built);
    let line = "rental-assistant  1     2        1        2.00    3        0       8         1100ms  within-target\n";
    assert!(text.contains(line), "{text}");
}
