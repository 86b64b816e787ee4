//! Cost of routing decisions and of applying a view, by the number of replicas.

use std::hint;

use criterion::BenchmarkId;
use criterion::Criterion;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_records::set;
use samphiremoor_routing::picker;
use samphiremoor_routing::picker::ReplicaPicker;
use samphiremoor_routing::prefix;
use samphiremoor_routing::scored;
use samphiremoor_view::zone;
use smallvec::smallvec;

/// Benchmarked numbers of replicas: a current deployment, a large pool, and one zone and all zones
/// of the largest deployment that the design covers.
const REPLICA_COUNTS: [usize; 4] = [20, 200, 618, 6_800];
/// Number of availability zones of the largest deployment that the design covers.
const ZONES: usize = 11;
/// Number of blocks in a prompt of 2,048 tokens.
const PROMPT_BLOCKS: usize = 128;
/// Number of distinct sessions, whose prompts are hashed before the measurement.
const SESSIONS: usize = 500;

fn model() -> set::LoadedModel {
    set::LoadedModel {
        model: "drafting".parse().expect("the id is valid"),
        version: "v1".parse().expect("the id is valid"),
        adapter: None,
    }
}

fn service() -> set::ServiceRecord {
    set::ServiceRecord {
        id: "rental-draft".parse().expect("the id is valid"),
        target: set::ServiceTarget::Model(model()),
        priority: quantity::PriorityLevel::new(0),
        latency: set::LatencyTarget {
            first: time::Millis::new(1_100),
            between: time::Millis::new(71),
            deadline: time::Millis::new(30_000),
        },
        weights: set::GoalWeights {
            cost: quantity::PerMille::new(500),
            recomputed: quantity::PerMille::new(500),
        },
        repeatable: true,
    }
}

fn replica(number: usize) -> zone::ReplicaView {
    zone::ReplicaView {
        id: format!("replica-{number}").parse().expect("the id is valid"),
        vm: format!("vm-{number}").parse().expect("the id is valid"),
        zone: format!("zone-{}", number % ZONES).parse().expect("the id is valid"),
        pool: "assistant".parse().expect("the id is valid"),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 9)),
        state: zone::UpstreamState::Live,
        models: smallvec![model()],
        price: quantity::MicroPrice::new(300_000 + number as u64 % 7 * 10_000),
        reclaimable: number.is_multiple_of(2),
        load: zone::LoadReport {
            running: number as u32 % 5,
            queued: 0,
            queued_tokens: quantity::TokenCount::new(0),
            age: time::Millis::new(300),
        },
    }
}

fn view(replica_count: usize) -> zone::ZoneView {
    let service = service();
    let pool = set::PoolRecord {
        id: "assistant".parse().expect("the id is valid"),
        services: smallvec![service.id.clone()],
        zones: (0..ZONES)
            .map(|number| format!("zone-{number}").parse().expect("the id is valid"))
            .collect(),
        classes: smallvec!["large".parse().expect("the id is valid")],
        min_replicas: 1,
        max_replicas: 10_000,
        concurrency: 8,
        checks_fencing: true,
    };
    zone::ZoneView {
        zone: "zone-0".parse().expect("the id is valid"),
        serial: 1,
        incarnation: quantity::Incarnation::new(1),
        records: set::RecordSet {
            services: vec![service],
            pools: vec![pool],
            ..set::RecordSet::default()
        },
        replicas: (0..replica_count).map(replica).collect(),
        daemons: Vec::new(),
        platform: zone::PlatformState::Available,
        own_stop: None,
    }
}

fn prompt(session: usize) -> Vec<prefix::PrefixHash> {
    let mut hashes = Vec::with_capacity(PROMPT_BLOCKS);
    for block in 0..PROMPT_BLOCKS {
        let text = format!("{session}#{block}");
        hashes.push(prefix::chain_block(hashes.last().copied(), text.as_bytes()));
    }
    hashes
}

fn prompt_tokens() -> quantity::TokenCount {
    quantity::TokenCount::new(PROMPT_BLOCKS as u64 * prefix::BLOCK_TOKENS)
}

/// Serves one request of a session: picks a replica, dispatches and finishes.
fn serve_request(
    picker: &mut scored::ScoredPicker,
    view: &zone::ZoneView,
    prompts: &[Vec<prefix::PrefixHash>],
    request_number: u64,
) {
    let service = &view.records.services[0];
    let workspace = "workspace".parse().expect("the id is valid");
    let prefix = prompts[request_number as usize % prompts.len()].as_slice();
    let now = time::MonotonicTime::new(10_000 + request_number);
    let query = picker::RouteQuery {
        service,
        workspace: &workspace,
        prefix,
        prompt_tokens: prompt_tokens(),
        excluded: &[],
        now,
        seed: request_number,
    };
    let Some(choice) = picker.pick(view, &query) else { return };
    let replica = &choice.replica;
    let prompt_tokens = prompt_tokens();
    picker.on_dispatch(&picker::DispatchReport { replica, service, prefix, prompt_tokens, now });
    picker.on_finish(&picker::FinishReport {
        replica,
        service: &service.id,
        prefix,
        prompt_tokens,
        dispatched_at: now,
        now: now + time::Millis::new(100),
        outcome: picker::FinishOutcome::Complete,
        ttft: Some(time::Millis::new(100)),
        usage: None,
    });
    hint::black_box(choice);
}

fn bench_decisions(criterion: &mut Criterion) {
    let prompts: Vec<_> = (0..SESSIONS).map(prompt).collect();
    let mut group = criterion.benchmark_group("pick-dispatch-finish");
    for replica_count in REPLICA_COUNTS {
        let view = view(replica_count);
        let mut picker = scored::ScoredPicker::default();
        let mut request_number = 0;
        group.bench_function(BenchmarkId::from_parameter(replica_count), |bencher| {
            bencher.iter(|| {
                request_number += 1;
                serve_request(&mut picker, &view, &prompts, request_number);
            });
        });
    }
    group.finish();
}

fn bench_views(criterion: &mut Criterion) {
    let prompts: Vec<_> = (0..1).map(prompt).collect();
    let mut group = criterion.benchmark_group("take-in-view");
    for replica_count in REPLICA_COUNTS {
        let mut view = view(replica_count);
        let mut picker = scored::ScoredPicker::default();
        let mut request_number = 0;
        group.bench_function(BenchmarkId::from_parameter(replica_count), |bencher| {
            bencher.iter(|| {
                request_number += 1;
                view.serial += 1;
                serve_request(&mut picker, &view, &prompts, request_number);
            });
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_decisions(&mut criterion);
    bench_views(&mut criterion);
    criterion.final_summary();
}
