//! Bytes and processor time of handing a view over, whole and as a change of a fifth of the loads.

use std::hint;

use criterion::Criterion;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_records::set;
use samphiremoor_view::delta;
use samphiremoor_view::message;
use samphiremoor_view::zone;
use smallvec::smallvec;

/// Replicas of one zone and of all zones of the size to design for.
const REPLICAS: [usize; 2] = [618, 6_800];
/// Zones of the size to design for.
const ZONES: usize = 11;
/// One load of this many changed.
const CHANGED_ONE_IN: usize = 5;
/// Time between two views.
const AGEING: u64 = 200;

fn replica(number: usize) -> zone::ReplicaView {
    zone::ReplicaView {
        id: format!("engine-vm-{number:05}").parse().expect("an id"),
        vm: format!("engine-vm-{number:05}").parse().expect("an id"),
        zone: format!("zone-{}", number % ZONES).parse().expect("an id"),
        pool: "assistant-pool".parse().expect("an id"),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 9_000)),
        state: zone::UpstreamState::Live,
        models: smallvec![set::LoadedModel {
            model: "steppe-8b".parse().expect("an id"),
            version: "2026-05".parse().expect("an id"),
            adapter: None,
        }],
        price: quantity::MicroPrice::new(1_000_000),
        reclaimable: true,
        load: zone::LoadReport {
            running: 14,
            queued: 2,
            queued_tokens: quantity::TokenCount::new(2_048),
            age: time::Millis::new((number % 43) as u64 * 100),
        },
    }
}

fn view(replicas: usize) -> zone::ZoneView {
    zone::ZoneView {
        zone: "zone-0".parse().expect("an id"),
        serial: 1,
        incarnation: quantity::Incarnation::new(1_780_000_000_000),
        records: set::RecordSet::default(),
        replicas: (0..replicas).map(replica).collect(),
        daemons: Vec::new(),
        platform: zone::PlatformState::Available,
        own_stop: None,
    }
}

fn later(base: &zone::ZoneView) -> zone::ZoneView {
    let mut view = base.clone();
    view.serial += 1;
    for (number, replica) in view.replicas.iter_mut().enumerate() {
        replica.load.age = time::Millis::new(replica.load.age.get() + AGEING);
        if number % CHANGED_ONE_IN == 0 {
            replica.load.running += 4;
            replica.load.age = time::Millis::new(number as u64 % AGEING);
        }
    }
    view
}

fn whole(view: &zone::ZoneView) -> Vec<u8> {
    let answer = message::ViewAnswer::Changed(Box::new(view.clone()));
    postcard::to_stdvec(&answer).expect("a view is plain data")
}

fn change(base: &zone::ZoneView, view: &zone::ZoneView) -> Vec<u8> {
    let delta = delta::ViewDelta::between(base, view).expect("both are of one life");
    postcard::to_stdvec(&delta).expect("a change is plain data")
}

fn read_whole(bytes: &[u8]) -> zone::ZoneView {
    match postcard::from_bytes(bytes) {
        Ok(message::ViewAnswer::Changed(view)) => *view,
        other => panic!("no view: {other:?}"),
    }
}

/// The entry daemon keeps one view to change and serves by another one.
fn take_change(bytes: &[u8], base: zone::ZoneView) -> (zone::ZoneView, zone::ZoneView) {
    let delta: delta::ViewDelta = postcard::from_bytes(bytes).expect("it was written here");
    let view = delta.apply(base).expect("the base is right");
    (view.clone(), view)
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    for replicas in REPLICAS {
        let base = view(replicas);
        let view = later(&base);
        let (whole_bytes, change_bytes) = (whole(&view), change(&base, &view));
        println!("replicas={replicas} whole={} change={}", whole_bytes.len(), change_bytes.len());
        let id = |name: &str| format!("{name}/{replicas}");
        criterion.bench_function(&id("write_whole"), |bench| {
            bench.iter(|| hint::black_box(whole(&view)));
        });
        criterion.bench_function(&id("write_change"), |bench| {
            bench.iter(|| hint::black_box(change(&base, &view)));
        });
        criterion.bench_function(&id("read_whole"), |bench| {
            bench.iter(|| hint::black_box(read_whole(&whole_bytes)));
        });
        criterion.bench_function(&id("read_change"), |bench| {
            let batch = criterion::BatchSize::LargeInput;
            bench.iter_batched(|| base.clone(), |base| take_change(&change_bytes, base), batch);
        });
    }
    criterion.final_summary();
}
