//! What the holder of a zone's duties carries out.

use std::net;
use std::sync;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_control::capacity;
use samphiremoor_membership::gossip;
use samphiremoor_membership::upstreams;
use samphiremoor_planner::plan;
use samphiremoor_platform::cloud;
use samphiremoor_records::bundle;
use samphiremoor_records::file;
use samphiremoor_records::set;
use samphiremoor_view::zone;
use smallvec::SmallVec;

const RECORDS: &str = include_str!("../../../deploy/examples/records-v1.toml");

fn records() -> set::RecordSet {
    let file = file::parse(RECORDS).expect("the example is read");
    let bundle = bundle::RecordBundle::new(file.entries);
    bundle.to_set(quantity::RevisionNumber::new(1)).expect("the example holds together")
}

fn at(seconds: u64) -> time::MonotonicTime {
    time::MonotonicTime::new(seconds * 1_000)
}

fn zone(name: &str) -> id::ZoneId {
    name.parse().expect("a zone")
}

fn upstream(name: &str, zone_name: &str) -> cloud::VmEntry {
    cloud::VmEntry {
        id: name.parse().expect("a VM"),
        zone: zone(zone_name),
        class: "gpu-small".parse().expect("a class"),
        reclaimable: true,
        price: quantity::MicroPrice::new(500_000),
        state: cloud::VmState::Live,
        role: cloud::VmRole::Upstream {
            pool: "assistant-pool".parse().expect("a pool"),
            address: net::SocketAddr::from(([127, 0, 0, 1], 1)),
        },
    }
}

fn offer(zone_name: &str) -> cloud::VmOffer {
    cloud::VmOffer {
        class: "gpu-small".parse().expect("a class"),
        zone: zone(zone_name),
        reclaimable: true,
        price: quantity::MicroPrice::new(400_000),
    }
}

/// The upstream answered with these models and so many requests in its batch.
fn report(
    table: &mut upstreams::UpstreamTable,
    vm: &str,
    serial: u64,
    running: u32,
    models: &[set::LoadedModel],
) {
    let load = zone::LoadReport { running, ..zone::LoadReport::default() };
    let result = gossip::PollResult::Ready {
        models: SmallVec::from_iter(models.iter().cloned()),
        load: gossip::QuantizedLoad::from_report(&load),
    };
    let incarnation = quantity::Incarnation::new(1);
    let report = gossip::PollReport {
        vm: vm.parse().expect("a VM"),
        poller: "d1".parse().expect("a daemon"),
        version: gossip::ReportVersion { incarnation, serial },
        result,
    };
    assert!(table.apply_report(at(serial), report));
}

fn plan(
    state: &mut capacity::CapacityState,
    table: &upstreams::UpstreamTable,
    seconds: u64,
    offers: &[cloud::VmOffer],
) -> Vec<capacity::CapacityStep> {
    let records = records();
    let own = zone("bayanzurkh");
    let input = capacity::CapacityInput {
        zone: &own,
        incarnation: quantity::Incarnation::new(1),
        records: &records,
        upstreams: table,
        offers,
    };
    state.plan(at(seconds), &input)
}

fn starts(steps: &[capacity::CapacityStep]) -> Vec<&cloud::VmStart> {
    let mut starts = Vec::new();
    for step in steps {
        if let capacity::CapacityStep::Start(start) = step {
            starts.push(start);
        }
    }
    starts
}

#[test]
fn only_the_own_zone_is_started_in() {
    let mut state = capacity::CapacityState::default();
    let table = upstreams::UpstreamTable::default();
    let offers = [offer("bayanzurkh"), offer("songino")];
    let steps = plan(&mut state, &table, 1, &offers);
    let starts = starts(&steps);
    assert!(!starts.is_empty());
    assert!(starts.iter().all(|start| start.offer.zone == zone("bayanzurkh")));
    let ids: std::collections::HashSet<_> = starts.iter().map(|start| &start.write_id).collect();
    assert_eq!(ids.len(), starts.len(), "each start has a write id of its own");
}

#[test]
fn refused_offer_waits() {
    let mut state = capacity::CapacityState::default();
    let table = upstreams::UpstreamTable::default();
    let offers = [offer("bayanzurkh")];
    let first = plan(&mut state, &table, 1, &offers);
    let start = (*starts(&first).first().expect("the pool is below its minimum")).clone();
    let until = state.start_answered(at(1), &start, &cloud::StartResponse::Refused);
    let until = until.expect("the offer waits");
    assert!(until > at(1));
    assert!(starts(&plan(&mut state, &table, 1, &offers)).is_empty());
    let later = until.get() / 1_000 + 1;
    assert!(!starts(&plan(&mut state, &table, later, &offers)).is_empty());
}

#[test]
fn missing_model_is_ordered_once() {
    let mut state = capacity::CapacityState::default();
    let mut table = upstreams::UpstreamTable::default();
    table.apply_vm_list(at(0), &[upstream("e-1", "bayanzurkh"), upstream("e-2", "songino")]);
    report(&mut table, "e-1", 1, 0, &[]);
    let orders = |steps: &[capacity::CapacityStep]| -> Vec<String> {
        let order = |step: &capacity::CapacityStep| match step {
            capacity::CapacityStep::Order { upstream, action: plan::PlanAction::Load { .. } } => {
                Some(upstream.vm.to_string())
            }
            _ => None,
        };
        steps.iter().filter_map(order).collect()
    };
    assert_eq!(orders(&plan(&mut state, &table, 2, &[])), ["e-1"]);
    assert!(orders(&plan(&mut state, &table, 7, &[])).is_empty());
    // The upstream's own state still lacks the model long after: the order is given again.
    assert_eq!(orders(&plan(&mut state, &table, 60, &[])), ["e-1"]);
}

#[test]
fn marked_vm_is_given_back_once_it_is_idle() {
    let mut table = upstreams::UpstreamTable::default();
    table.apply_vm_list(at(0), &[upstream("e-1", "bayanzurkh"), upstream("e-2", "bayanzurkh")]);
    report(&mut table, "e-1", 1, 2, &[]);
    let vm: id::VmId = "e-1".parse().expect("a VM");
    let mark = |vm: &str, author| capacity::DrainMark {
        vm: vm.parse().expect("a VM"),
        author: sync::Arc::from(author),
    };
    // An operator's mark is no order to give the VM back.
    let marks = [mark("e-1", capacity::CAPACITY_AUTHOR), mark("e-2", "ana")];
    let own = zone("bayanzurkh");
    let mut state = capacity::CapacityState::default();
    assert!(state.releases(at(10), &own, &marks, &table).is_empty());
    assert!(state.releases(at(30), &own, &marks, &table).is_empty(), "it has requests");
    report(&mut table, "e-1", 31, 0, &[]);
    let released = vec![capacity::CapacityStep::Release(vm)];
    assert_eq!(state.releases(at(32), &own, &marks, &table), released);
    // A successor waits as long, since new work may be on its way still, and goes on then.
    let mut successor = capacity::CapacityState::default();
    assert!(successor.releases(at(33), &own, &marks, &table).is_empty());
    assert_eq!(successor.releases(at(44), &own, &marks, &table), released);
    assert!(successor.releases(at(60), &zone("songino"), &marks, &table).is_empty());
}
