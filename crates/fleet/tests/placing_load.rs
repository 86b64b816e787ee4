//! Placement under replayed loads: many daemons that know each other's loads late send prompts to
//! engines that read them one after the other.

mod entries;

use std::collections;

use rand::Rng as _;
use rand::SeedableRng as _;
use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_fleet::load;
use samphiremoor_fleet::replica;
use samphiremoor_fleet::selection;

/// Prompt tokens that an engine reads in a millisecond.
const TOKENS_PER_MS: f64 = 56.9;

/// Time of an engine for a first token beside the reading of the prompt.
const FIRST_MS: f64 = 13.0;

/// Time of an engine for an answer after its first token, in ms.
const ANSWER_MS: u64 = 2_000;

/// Milliseconds that are replayed, and those at the beginning that are not judged.
const LENGTH_MS: u64 = 20_000;
const WARM_MS: u64 = 4_000;

/// A deployment.
#[derive(Clone, Copy, Debug)]
struct FleetShape {
    daemons: usize,
    replicas: usize,
    /// Requests a second.
    rate: f64,
    /// Interval between two digests; what they tell is as old.
    told_ms: u64,
}

/// Requests of one kind: their share of all, shared and own prompt tokens, subjects and target.
struct RequestKind {
    share: f64,
    base: u32,
    bases: u64,
    shared: u32,
    subjects: u64,
    own: f64,
    spread: f64,
    most: f64,
    target_ms: u64,
}

const KINDS: &[RequestKind] = &[
    RequestKind {
        share: 0.24,
        base: 512,
        bases: 3,
        shared: 4_870,
        subjects: 542,
        own: 6_610.0,
        spread: 1.4,
        most: 54_600.0,
        target_ms: 1_200,
    },
    RequestKind {
        share: 0.4,
        base: 119,
        bases: 16,
        shared: 79,
        subjects: 1_314,
        own: 628.0,
        spread: 1.0,
        most: 3_310.0,
        target_ms: 1_000,
    },
    RequestKind {
        share: 0.36,
        base: 341,
        bases: 80,
        shared: 227,
        subjects: 805,
        own: 1_800.0,
        spread: 1.3,
        most: 6_870.0,
        target_ms: 2_000,
    },
];

/// What came of a replay.
#[derive(Clone, Copy, Debug, Default)]
struct ReplayReport {
    judged: u32,
    on_time: u32,
    largest: u32,
    largest_on_time: u32,
    /// Shared prompt tokens that an engine read though another one had.
    read_again: u64,
    shared: u64,
}

impl ReplayReport {
    fn on_time_share(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.judged)
    }

    fn largest_share(&self) -> f64 {
        f64::from(self.largest_on_time) / f64::from(self.largest)
    }
}

#[derive(Clone, Debug, Default)]
struct Engine {
    free_at: f64,
    parts: collections::HashSet<u64>,
}

struct Replay {
    shape: FleetShape,
    random: rand_chacha::ChaCha8Rng,
    tables: Vec<replica::ReplicaTable>,
    engines: collections::BTreeMap<id::ReplicaId, Engine>,
    /// Ends of loads: when, at which daemon, on which replica, and the prompt tokens that were read.
    ends: collections::BTreeMap<u64, Vec<(usize, id::ReplicaId, Option<u32>)>>,
    read_parts: collections::HashSet<u64>,
    report: ReplayReport,
}

impl Replay {
    fn new(shape: FleetShape) -> Self {
        let mut table = replica::ReplicaTable::default();
        for index in 0..shape.replicas {
            table.upsert(entries::entry(index, 1));
        }
        let engines = table.iter().map(|known| (known.entry.id.clone(), Engine::default()));
        Replay {
            shape,
            random: rand_chacha::ChaCha8Rng::seed_from_u64(7),
            engines: engines.collect(),
            tables: vec![table; shape.daemons],
            ends: collections::BTreeMap::new(),
            read_parts: collections::HashSet::new(),
            report: ReplayReport::default(),
        }
    }

    fn run(mut self) -> ReplayReport {
        let mut told = Vec::new();
        for now in 0..LENGTH_MS {
            for (daemon, replica, read) in self.ends.remove(&now).unwrap_or_default() {
                let Some(known) = self.tables[daemon].get_mut(&replica) else { continue };
                match read {
                    Some(tokens) => known.local_load.pending_tokens -= tokens,
                    None => known.local_load.running -= 1,
                }
            }
            if now % self.shape.told_ms == 0 {
                // The daemons learn what the digests before these told.
                self.tell(&std::mem::take(&mut told), now);
                told = self.own_loads();
            }
            if self.random.random_bool(self.shape.rate / 1_000.0) {
                self.arrive(now);
            }
        }
        self.report
    }

    fn own_loads(&self) -> Vec<Vec<load::LoadEntry>> {
        let line = |known: &replica::KnownReplica| load::LoadEntry {
            replica: known.entry.id.clone(),
            load: known.local_load,
        };
        let loaded = |known: &&replica::KnownReplica| known.local_load.running > 0;
        self.tables.iter().map(|table| table.iter().filter(loaded).map(line).collect()).collect()
    }

    fn tell(&mut self, told: &[Vec<load::LoadEntry>], now: u64) {
        let mut sums: collections::BTreeMap<&id::ReplicaId, load::ReplicaLoad> =
            collections::BTreeMap::new();
        for line in told.iter().flatten() {
            let sum = sums.entry(&line.replica).or_default();
            sum.running += line.load.running;
            sum.pending_tokens += line.load.pending_tokens;
        }
        let others: id::DaemonId = "others".parse().expect("the name is an identifier");
        for (daemon, own) in told.iter().enumerate() {
            let mut rest = sums.clone();
            for line in own {
                let Some(sum) = rest.get_mut(&line.replica) else { continue };
                sum.running -= line.load.running;
                sum.pending_tokens -= line.load.pending_tokens;
            }
            let lines = rest.iter().map(|(replica, load)| load::LoadEntry {
                replica: (*replica).clone(),
                load: *load,
            });
            let lines: Vec<_> = lines.collect();
            self.tables[daemon].set_peer_loads(&others, &lines, instant(now));
        }
    }

    fn arrive(&mut self, now: u64) {
        let draw: f64 = self.random.random();
        let mut sum = 0.0;
        let kind = KINDS.iter().find(|kind| {
            sum += kind.share;
            draw < sum
        });
        let kind = kind.unwrap_or(&KINDS[0]);
        let prompt = self.prompt(kind);
        let daemon = self.random.random_range(0..self.shape.daemons);
        let (service, zone) = (entries::service(), entries::zone(0));
        let query = selection::SelectionQuery {
            service: &service,
            zone: &zone,
            prompt: Some(&prompt),
            excluded: &[],
            daemon_count: self.shape.daemons as u32,
            draw: self.random.random(),
            now: instant(now),
        };
        let choice = selection::choose(&self.tables[daemon], &query).expect("replicas are open");
        let engine = self.engines.get_mut(&choice.replica).expect("it is one of them");
        let mut tokens = prompt.input_tokens;
        for part in &prompt.segments[..2] {
            let is_cached = !engine.parts.insert(part.hash);
            let was_read = !self.read_parts.insert(part.hash);
            if is_cached {
                tokens -= part.tokens;
            } else if was_read && now >= WARM_MS {
                self.report.read_again += u64::from(part.tokens);
            }
            self.report.shared += u64::from(part.tokens);
        }
        let read_at = engine.free_at.max(now as f64) + f64::from(tokens) / TOKENS_PER_MS;
        engine.free_at = read_at;
        let first_at = (read_at + FIRST_MS) as u64;
        let known = self.tables[daemon].get_mut(&choice.replica).expect("it is known");
        known.local_load.running += 1;
        known.local_load.pending_tokens += choice.uncached_tokens;
        let mut end = |at: u64, read| {
            self.ends.entry(at).or_default().push((daemon, choice.replica.clone(), read));
        };
        end(first_at.max(now + 1), Some(choice.uncached_tokens));
        end(first_at + ANSWER_MS, None);
        if now < WARM_MS {
            return;
        }
        let is_on_time = first_at - now <= kind.target_ms;
        self.report.judged += 1;
        self.report.on_time += u32::from(is_on_time);
        if kind.base == KINDS[0].base {
            self.report.largest += 1;
            self.report.largest_on_time += u32::from(is_on_time);
        }
    }

    fn prompt(&mut self, kind: &RequestKind) -> selection::PromptSize {
        let base = self.random.random_range(0..kind.bases);
        let subject = self.random.random_range(0..kind.subjects);
        let sigma = (1.0 + kind.spread * kind.spread).ln().sqrt();
        let normal: f64 = (0..12).map(|_| self.random.random::<f64>()).sum::<f64>() - 6.0;
        let own = kind.own * (sigma * normal - sigma * sigma / 2.0).exp();
        let own = own.clamp(16.0, kind.most) as u32;
        let name = u64::from(kind.base) << 32;
        let parts = [
            selection::PromptSegment { hash: name + base, tokens: kind.base },
            selection::PromptSegment { hash: name + (1 << 20) + subject, tokens: kind.shared },
            selection::PromptSegment { hash: self.random.random(), tokens: own },
        ];
        selection::PromptSize {
            input_tokens: kind.base + kind.shared + own,
            max_output_tokens: 400,
            segments: parts.into_iter().collect(),
        }
    }
}

/// An instant that is not near the start of the clock.
fn instant(now: u64) -> time::MonotonicTime {
    time::MonotonicTime::new(now + 100_000)
}

/// Replays a load; at least these shares of all requests and of the largest must be on time.
fn check(shape: FleetShape, on_time: f64, largest: f64) {
    let report = Replay::new(shape).run();
    println!("{shape:?}: {report:?}");
    assert!(report.on_time_share() >= on_time, "{} on time", report.on_time_share());
    assert!(report.largest_share() >= largest, "{} of the largest", report.largest_share());
}

// 95 of 100 first tokens are to be on time, at every size and with engines that are well used.
samphiremoor_base::cases! {
    few_daemons => check(
        FleetShape { daemons: 9, replicas: 18, rate: 100.0, told_ms: 330 }, 0.99, 0.95);
    few_daemons_with_many_replicas => check(
        FleetShape { daemons: 9, replicas: 40, rate: 100.0, told_ms: 330 }, 0.99, 0.95);
    many_daemons => check(
        FleetShape { daemons: 75, replicas: 120, rate: 440.0, told_ms: 700 }, 0.98, 0.95);
    many_daemons_after_the_loss_of_half_of_the_replicas => check(
        FleetShape { daemons: 75, replicas: 60, rate: 440.0, told_ms: 700 }, 0.98, 0.95);
    many_daemons_after_the_loss_of_two_thirds_of_the_replicas => check(
        FleetShape { daemons: 75, replicas: 40, rate: 440.0, told_ms: 700 }, 0.95, 0.95);
}
