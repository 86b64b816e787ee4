//! Replica selection under simulated load: many daemons, which learn of each other's load late,
//! send prompts to engines that prefill one prompt after the other.

mod entries;

use std::collections;

use rand::Rng as _;
use rand::SeedableRng as _;
use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_fleet::clock_instant;
use samphiremoor_fleet::limit;
use samphiremoor_fleet::load;
use samphiremoor_fleet::replica;
use samphiremoor_fleet::selection;
use samphiremoor_fleet::send_gate;

/// Prefill speed of an engine, in prompt tokens per millisecond.
const TOKENS_PER_MS: f64 = 56.9;

/// Time of an engine for a first token besides prefill, in ms.
const FIRST_TOKEN_MS: f64 = 13.0;

/// Time from the first token of a response to its end, in ms.
const RESPONSE_MS: u64 = 2_000;

/// Length of the simulation, and of its warm-up, which does not count, in ms.
const LENGTH_MS: u64 = 20_000;
const WARM_UP_MS: u64 = 4_000;

/// Simulated deployment.
#[derive(Clone, Copy, Debug)]
struct FleetShape {
    daemons: usize,
    replicas: usize,
    /// Requests per second.
    rate: f64,
    /// Interval between two digests, and age of their contents on arrival, in ms.
    digest_ms: u64,
}

/// Distribution of the requests of one kind.
struct RequestKind {
    /// Fraction of all requests.
    share: f64,
    /// Tokens of the first segment, and number of distinct ones.
    base_tokens: u32,
    base_count: u64,
    /// Tokens of the second segment, and number of distinct ones.
    shared_tokens: u32,
    prefix_count: u64,
    /// Mean, coefficient of variation and maximum of the tokens of the last segment, which is
    /// specific to the request.
    own_mean: f64,
    own_variation: f64,
    own_max: f64,
    /// Target time to the first token.
    target_ms: u64,
}

const KINDS: &[RequestKind] = &[
    RequestKind {
        share: 0.24,
        base_tokens: 512,
        base_count: 3,
        shared_tokens: 4_870,
        prefix_count: 542,
        own_mean: 6_610.0,
        own_variation: 1.4,
        own_max: 54_600.0,
        target_ms: 1_200,
    },
    RequestKind {
        share: 0.4,
        base_tokens: 119,
        base_count: 16,
        shared_tokens: 79,
        prefix_count: 1_314,
        own_mean: 628.0,
        own_variation: 1.0,
        own_max: 3_310.0,
        target_ms: 1_000,
    },
    RequestKind {
        share: 0.36,
        base_tokens: 341,
        base_count: 80,
        shared_tokens: 227,
        prefix_count: 805,
        own_mean: 1_800.0,
        own_variation: 1.3,
        own_max: 6_870.0,
        target_ms: 2_000,
    },
];

/// Result of a simulation.
#[derive(Clone, Copy, Debug, Default)]
struct LoadReport {
    /// Requests after the warm-up.
    measured: u32,
    /// Requests whose first token is on time.
    on_time: u32,
    /// Requests of the kind with the largest prompts, and those of them that are on time.
    largest: u32,
    largest_on_time: u32,
    /// Shared prompt tokens that an engine prefilled although another engine had done so before.
    recomputed_tokens: u64,
    /// Prompt tokens in shared segments.
    shared_tokens: u64,
}

impl LoadReport {
    fn on_time_ratio(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.measured)
    }

    fn largest_on_time_ratio(&self) -> f64 {
        f64::from(self.largest_on_time) / f64::from(self.largest)
    }
}

/// Simulated engine.
#[derive(Clone, Debug, Default)]
struct Engine {
    /// Time at which the prefill of all prompts sent so far ends, in ms.
    free_at: f64,
    /// Hashes of the segments in the prefix cache.
    segments: collections::HashSet<u64>,
}

struct LoadSimulation {
    shape: FleetShape,
    random: rand_chacha::ChaCha8Rng,
    /// Replicas as each daemon knows them.
    tables: Vec<replica::ReplicaTable>,
    engines: collections::BTreeMap<id::ReplicaId, Engine>,
    /// Ends of loads by time in ms: daemon, replica, and the prompt tokens that were prefilled, or
    /// `None` at the end of the request.
    ends: collections::BTreeMap<u64, Vec<(usize, id::ReplicaId, Option<u32>)>>,
    /// Hashes of the segments that any engine has prefilled.
    computed_segments: collections::HashSet<u64>,
    report: LoadReport,
}

impl LoadSimulation {
    fn new(shape: FleetShape) -> Self {
        let mut table = replica::ReplicaTable::default();
        for index in 0..shape.replicas {
            table.upsert(entries::entry(index, 1));
        }
        let engines = table.iter().map(|replica| (replica.entry.id.clone(), Engine::default()));
        LoadSimulation {
            shape,
            random: rand_chacha::ChaCha8Rng::seed_from_u64(7),
            engines: engines.collect(),
            tables: vec![table; shape.daemons],
            ends: collections::BTreeMap::new(),
            computed_segments: collections::HashSet::new(),
            report: LoadReport::default(),
        }
    }

    fn run(mut self) -> LoadReport {
        let mut digests = Vec::new();
        for now_ms in 0..LENGTH_MS {
            for (daemon, replica, prefilled_tokens) in self.ends.remove(&now_ms).unwrap_or_default()
            {
                let Some(replica) = self.tables[daemon].get_mut(&replica) else { continue };
                match prefilled_tokens {
                    Some(tokens) => replica.local_load.pending_tokens -= tokens,
                    None => replica.local_load.running -= 1,
                }
            }
            if now_ms % self.shape.digest_ms == 0 {
                // The daemons receive the digests of the previous interval.
                self.deliver_digests(&std::mem::take(&mut digests), now_ms);
                digests = self.local_loads();
            }
            if self.random.random_bool(self.shape.rate / 1_000.0) {
                self.send_request(now_ms);
            }
        }
        self.report
    }

    /// Returns the loads that each daemon places on replicas.
    fn local_loads(&self) -> Vec<Vec<load::LoadEntry>> {
        let entry = |replica: &replica::KnownReplica| load::LoadEntry {
            replica: replica.entry.id.clone(),
            load: replica.local_load,
        };
        let is_loaded = |replica: &&replica::KnownReplica| replica.local_load.running > 0;
        self.tables
            .iter()
            .map(|table| table.iter().filter(is_loaded).map(entry).collect())
            .collect()
    }

    /// Sets at each daemon the loads that all other daemons reported.
    fn deliver_digests(&mut self, digests: &[Vec<load::LoadEntry>], now_ms: u64) {
        let mut sums: collections::BTreeMap<&id::ReplicaId, load::ReplicaLoad> =
            collections::BTreeMap::new();
        for entry in digests.iter().flatten() {
            let sum = sums.entry(&entry.replica).or_default();
            sum.running += entry.load.running;
            sum.pending_tokens += entry.load.pending_tokens;
        }
        let others_id: id::DaemonId = "others".parse().expect("the name is an identifier");
        for (daemon, local_entries) in digests.iter().enumerate() {
            let mut other_loads = sums.clone();
            for entry in local_entries {
                let Some(sum) = other_loads.get_mut(&entry.replica) else { continue };
                sum.running -= entry.load.running;
                sum.pending_tokens -= entry.load.pending_tokens;
            }
            let entries = other_loads.iter().map(|(replica, load)| load::LoadEntry {
                replica: (*replica).clone(),
                load: *load,
            });
            let entries: Vec<_> = entries.collect();
            self.tables[daemon].set_peer_loads(&others_id, &entries, monotonic(now_ms));
        }
    }

    /// Selects a replica for one request, adds its load, and records whether its first token is on
    /// time.
    fn send_request(&mut self, now_ms: u64) {
        let draw: f64 = self.random.random();
        let mut cumulative_share = 0.0;
        let kind = KINDS.iter().find(|kind| {
            cumulative_share += kind.share;
            draw < cumulative_share
        });
        let kind = kind.unwrap_or(&KINDS[0]);
        let prompt = self.prompt(kind);
        let daemon = self.random.random_range(0..self.shape.daemons);
        let (service, zone) = (entries::service(), entries::zone(0));
        let limits = limit::LimitTable::new(time::MonotonicTime::default());
        let instant = clock_instant::ClockInstant { now: monotonic(now_ms), unix_ms: now_ms };
        let gate = send_gate::SendGate::new(&limits, instant);
        let query = selection::SelectionQuery {
            service: &service,
            zone: &zone,
            prompt: Some(&prompt),
            excluded: &[],
            gate: &gate,
            required_version: &replica::RequiredVersion::Any,
            includes_silent: true,
            daemon_count: self.shape.daemons as u32,
            draw: self.random.random(),
        };
        let selected =
            selection::choose(&self.tables[daemon], &query).expect("a replica is available");
        let engine = self.engines.get_mut(&selected.replica).expect("the engine exists");
        let mut tokens = prompt.input_tokens;
        for segment in &prompt.segments[..2] {
            let is_cached = !engine.segments.insert(segment.hash);
            let was_computed = !self.computed_segments.insert(segment.hash);
            if is_cached {
                tokens -= segment.tokens;
            } else if was_computed && now_ms >= WARM_UP_MS {
                self.report.recomputed_tokens += u64::from(segment.tokens);
            }
            self.report.shared_tokens += u64::from(segment.tokens);
        }
        let prefilled_at = engine.free_at.max(now_ms as f64) + f64::from(tokens) / TOKENS_PER_MS;
        engine.free_at = prefilled_at;
        let first_token_at = (prefilled_at + FIRST_TOKEN_MS) as u64;
        let replica = self.tables[daemon].get_mut(&selected.replica).expect("the replica is known");
        replica.local_load.running += 1;
        replica.local_load.pending_tokens += selected.uncached_tokens;
        let mut add_end = |ends_at: u64, prefilled_tokens| {
            self.ends.entry(ends_at).or_default().push((
                daemon,
                selected.replica.clone(),
                prefilled_tokens,
            ));
        };
        add_end(first_token_at.max(now_ms + 1), Some(selected.uncached_tokens));
        add_end(first_token_at + RESPONSE_MS, None);
        if now_ms < WARM_UP_MS {
            return;
        }
        let is_on_time = first_token_at - now_ms <= kind.target_ms;
        self.report.measured += 1;
        self.report.on_time += u32::from(is_on_time);
        if kind.base_tokens == KINDS[0].base_tokens {
            self.report.largest += 1;
            self.report.largest_on_time += u32::from(is_on_time);
        }
    }

    /// Draws a prompt of one kind.
    fn prompt(&mut self, kind: &RequestKind) -> selection::PromptSize {
        let base_index = self.random.random_range(0..kind.base_count);
        let prefix_index = self.random.random_range(0..kind.prefix_count);
        let sigma = (1.0 + kind.own_variation * kind.own_variation).ln().sqrt();
        // The sum of twelve uniform numbers approximates a normal distribution.
        let normal: f64 = (0..12).map(|_| self.random.random::<f64>()).sum::<f64>() - 6.0;
        let own_tokens = kind.own_mean * (sigma * normal - sigma * sigma / 2.0).exp();
        let own_tokens = own_tokens.clamp(16.0, kind.own_max) as u32;
        let kind_hash = u64::from(kind.base_tokens) << 32;
        let segments = [
            selection::PromptSegment { hash: kind_hash + base_index, tokens: kind.base_tokens },
            selection::PromptSegment {
                hash: kind_hash + (1 << 20) + prefix_index,
                tokens: kind.shared_tokens,
            },
            selection::PromptSegment { hash: self.random.random(), tokens: own_tokens },
        ];
        selection::PromptSize {
            input_tokens: kind.base_tokens + kind.shared_tokens + own_tokens,
            max_output_tokens: 400,
            segments: segments.into_iter().collect(),
        }
    }
}

/// Converts simulated time to a monotonic time that is not near the origin of the clock.
fn monotonic(now_ms: u64) -> time::MonotonicTime {
    time::MonotonicTime::new(now_ms + 100_000)
}

/// Runs a simulation and checks the fractions of all requests and of the kind with the largest
/// prompts that are on time.
fn check(shape: FleetShape, min_on_time: f64, min_largest: f64) {
    let report = LoadSimulation::new(shape).run();
    println!("{shape:?}: {report:?}");
    assert!(
        report.on_time_ratio() >= min_on_time,
        "{} of the requests are on time",
        report.on_time_ratio()
    );
    assert!(
        report.largest_on_time_ratio() >= min_largest,
        "{} of the largest requests are on time",
        report.largest_on_time_ratio()
    );
}

// At least 95 of 100 first tokens are on time, for prompts of every size and with well utilized
// engines.
samphiremoor_base::cases! {
    few_daemons => check(
        FleetShape { daemons: 9, replicas: 18, rate: 100.0, digest_ms: 330 }, 0.99, 0.95);
    few_daemons_with_many_replicas => check(
        FleetShape { daemons: 9, replicas: 40, rate: 100.0, digest_ms: 330 }, 0.99, 0.95);
    many_daemons => check(
        FleetShape { daemons: 75, replicas: 120, rate: 440.0, digest_ms: 700 }, 0.98, 0.95);
    many_daemons_with_half_of_the_replicas => check(
        FleetShape { daemons: 75, replicas: 60, rate: 440.0, digest_ms: 700 }, 0.98, 0.95);
    many_daemons_with_a_third_of_the_replicas => check(
        FleetShape { daemons: 75, replicas: 40, rate: 440.0, digest_ms: 700 }, 0.95, 0.95);
}
