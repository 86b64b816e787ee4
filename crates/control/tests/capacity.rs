//! Plan steps of the lease holder of a zone.

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
    let file = file::parse(RECORDS).expect("the example can be parsed");
    let bundle = bundle::RecordBundle::new(file.entries);
    bundle.to_set(quantity::RevisionNumber::new(1)).expect("the example is consistent")
}

fn at_seconds(seconds: u64) -> time::MonotonicTime {
    time::MonotonicTime::new(seconds * 1_000)
}

fn zone(name: &str) -> id::ZoneId {
    name.parse().expect("a valid zone id")
}

fn upstream(name: &str, zone_name: &str) -> cloud::VmEntry {
    cloud::VmEntry {
        id: name.parse().expect("a valid VM id"),
        zone: zone(zone_name),
        class: "gpu-small".parse().expect("a valid VM class"),
        reclaimable: true,
        price: quantity::MicroPrice::new(500_000),
        state: cloud::VmState::Live,
        role: cloud::VmRole::Upstream {
            pool: "assistant-pool".parse().expect("a valid pool id"),
            address: net::SocketAddr::from(([127, 0, 0, 1], 1)),
        },
    }
}

fn offer(zone_name: &str) -> cloud::VmOffer {
    cloud::VmOffer {
        class: "gpu-small".parse().expect("a valid VM class"),
        zone: zone(zone_name),
        reclaimable: true,
        price: quantity::MicroPrice::new(400_000),
    }
}

/// Applies a poll report of a ready upstream with these models and this number of requests in the
/// batch. The serial number is also the time of the report in seconds.
fn apply_report(
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
        vm: vm.parse().expect("a valid VM id"),
        poller: "d1".parse().expect("a valid daemon id"),
        version: gossip::ReportVersion { incarnation, serial },
        result,
    };
    assert!(table.apply_report(at_seconds(serial), report));
}

fn plan(
    planner: &mut capacity::CapacityPlanner,
    table: &upstreams::UpstreamTable,
    seconds: u64,
    offers: &[cloud::VmOffer],
) -> Vec<capacity::PlanStep> {
    let records = records();
    let local = zone("bayanzurkh");
    let input = capacity::CapacityInput {
        zone: &local,
        incarnation: quantity::Incarnation::new(1),
        records: &records,
        upstreams: table,
        offers,
    };
    planner.plan(at_seconds(seconds), &input)
}

fn starts(steps: &[capacity::PlanStep]) -> Vec<&cloud::StartRequest> {
    let mut starts = Vec::new();
    for step in steps {
        if let capacity::PlanStep::Start(start) = step {
            starts.push(start);
        }
    }
    starts
}

#[test]
fn starts_are_only_in_local_zone() {
    let mut planner = capacity::CapacityPlanner::default();
    let table = upstreams::UpstreamTable::default();
    let offers = [offer("bayanzurkh"), offer("songino")];
    let steps = plan(&mut planner, &table, 1, &offers);
    let starts = starts(&steps);
    assert!(!starts.is_empty());
    assert!(starts.iter().all(|start| start.offer.zone == zone("bayanzurkh")));
    let write_ids: std::collections::HashSet<_> =
        starts.iter().map(|start| &start.write_id).collect();
    assert_eq!(write_ids.len(), starts.len(), "each start has its own write id");
}

#[test]
fn refused_offer_is_not_used_immediately() {
    let mut planner = capacity::CapacityPlanner::default();
    let table = upstreams::UpstreamTable::default();
    let offers = [offer("bayanzurkh")];
    let steps = plan(&mut planner, &table, 1, &offers);
    let start = (*starts(&steps).first().expect("the pool is below its minimum")).clone();
    let retry_at = planner.start_completed(at_seconds(1), &start, &cloud::StartResponse::Refused);
    let retry_at = retry_at.expect("the refused offer may be used again later");
    assert!(retry_at > at_seconds(1));
    assert!(starts(&plan(&mut planner, &table, 1, &offers)).is_empty());
    let retry_seconds = retry_at.get() / 1_000 + 1;
    assert!(!starts(&plan(&mut planner, &table, retry_seconds, &offers)).is_empty());
}

#[test]
fn missing_model_is_ordered_once() {
    let mut planner = capacity::CapacityPlanner::default();
    let mut table = upstreams::UpstreamTable::default();
    table
        .apply_vm_list(at_seconds(0), &[upstream("e-1", "bayanzurkh"), upstream("e-2", "songino")]);
    apply_report(&mut table, "e-1", 1, 0, &[]);
    let ordered_loads = |steps: &[capacity::PlanStep]| -> Vec<String> {
        let ordered_vm = |step: &capacity::PlanStep| match step {
            capacity::PlanStep::Order { upstream, action: plan::PlanAction::Load { .. } } => {
                Some(upstream.vm.to_string())
            }
            _ => None,
        };
        steps.iter().filter_map(ordered_vm).collect()
    };
    assert_eq!(ordered_loads(&plan(&mut planner, &table, 2, &[])), ["e-1"]);
    assert!(ordered_loads(&plan(&mut planner, &table, 7, &[])).is_empty());
    // The state of the upstream still lacks the model after a long time, so the order is repeated.
    assert_eq!(ordered_loads(&plan(&mut planner, &table, 60, &[])), ["e-1"]);
}

// The delete of a mark failed until the released VM was forgotten.
#[test]
fn mark_on_a_forgotten_vm_is_deleted() {
    let mut table = upstreams::UpstreamTable::default();
    table.apply_vm_list(at_seconds(0), &[upstream("e-1", "songino")]);
    let drain_mark = |vm: &str, author| capacity::DrainMark {
        vm: vm.parse().expect("a valid VM id"),
        author: sync::Arc::from(author),
    };
    let marks = [
        drain_mark("e-1", capacity::CAPACITY_AUTHOR),
        drain_mark("e-8", "ana"),
        drain_mark("e-9", capacity::CAPACITY_AUTHOR),
    ];
    let local = zone("bayanzurkh");
    let mut planner = capacity::CapacityPlanner::default();
    // A daemon that starts does not know every VM yet.
    assert!(planner.due_releases(at_seconds(10), &local, &marks, &table).is_empty());
    assert!(planner.due_releases(at_seconds(60), &local, &marks, &table).is_empty());
    let vm = "e-9".parse().expect("a valid VM id");
    let delete_steps = vec![capacity::PlanStep::DeleteMark(vm)];
    assert_eq!(planner.due_releases(at_seconds(700), &local, &marks, &table), delete_steps);
    // The step is repeated while the mark is there.
    assert_eq!(planner.due_releases(at_seconds(710), &local, &marks, &table), delete_steps);
}

#[test]
fn marked_vm_is_released_once_idle() {
    let mut table = upstreams::UpstreamTable::default();
    table.apply_vm_list(
        at_seconds(0),
        &[upstream("e-1", "bayanzurkh"), upstream("e-2", "bayanzurkh")],
    );
    apply_report(&mut table, "e-1", 1, 2, &[]);
    let vm: id::VmId = "e-1".parse().expect("a valid VM id");
    let drain_mark = |vm: &str, author| capacity::DrainMark {
        vm: vm.parse().expect("a valid VM id"),
        author: sync::Arc::from(author),
    };
    // A drain mark of an operator does not release the VM.
    let marks = [drain_mark("e-1", capacity::CAPACITY_AUTHOR), drain_mark("e-2", "ana")];
    let local = zone("bayanzurkh");
    let mut planner = capacity::CapacityPlanner::default();
    assert!(planner.due_releases(at_seconds(10), &local, &marks, &table).is_empty());
    assert!(
        planner.due_releases(at_seconds(30), &local, &marks, &table).is_empty(),
        "the upstream has requests"
    );
    apply_report(&mut table, "e-1", 31, 0, &[]);
    let release_steps = vec![capacity::PlanStep::Release(vm)];
    assert_eq!(planner.due_releases(at_seconds(32), &local, &marks, &table), release_steps);
    // A new lease holder waits for the same drain time, since new requests may still be in flight,
    // and then releases the VM.
    let mut new_holder = capacity::CapacityPlanner::default();
    assert!(new_holder.due_releases(at_seconds(33), &local, &marks, &table).is_empty());
    assert_eq!(new_holder.due_releases(at_seconds(44), &local, &marks, &table), release_steps);
    assert!(new_holder.due_releases(at_seconds(60), &zone("songino"), &marks, &table).is_empty());
}
