//! Selection for plain calls under simulated load: many daemons, which learn of each other's load late,
//! call a few replicas with few slots.

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

/// Length of the simulation, in ms.
const LENGTH_MS: u64 = 20_000;
/// Time within which a call must end, in ms.
const TARGET_MS: u64 = 150;
/// Slots of a replica.
const SLOTS: usize = 6;

/// Simulated deployment with one replica in each zone.
#[derive(Clone, Copy, Debug)]
struct FleetShape {
    daemons: usize,
    zones: usize,
    /// Calls per second.
    rate: f64,
    /// Mean time of a call in a slot, in ms.
    work_ms: f64,
    /// Interval between two digests, and age of their contents on arrival, in ms.
    digest_ms: u64,
}

struct LoadSimulation {
    shape: FleetShape,
    random: rand_chacha::ChaCha8Rng,
    /// Replicas as each daemon knows them.
    tables: Vec<replica::ReplicaTable>,
    /// When each slot of each replica is free, in ms.
    slots: Vec<[u64; SLOTS]>,
    /// Daemon and replica of the calls that end, by time in ms.
    ends: collections::BTreeMap<u64, Vec<(usize, usize)>>,
    calls: u32,
    on_time: u32,
}

impl LoadSimulation {
    fn new(shape: FleetShape) -> Self {
        let mut table = replica::ReplicaTable::default();
        for index in 0..shape.zones {
            let zone = zone(index);
            let slots = SLOTS as u32;
            table.upsert(replica::ReplicaEntry { slots, zone, ..entries::entry(index, 1) });
        }
        LoadSimulation {
            shape,
            random: rand_chacha::ChaCha8Rng::seed_from_u64(samphiremoor_base::testing::seed()),
            tables: vec![table; shape.daemons],
            slots: vec![[0; SLOTS]; shape.zones],
            ends: collections::BTreeMap::new(),
            calls: 0,
            on_time: 0,
        }
    }

    /// Returns the fraction of the calls that end in time.
    fn run(mut self) -> f64 {
        let mut sums = Vec::new();
        for now_ms in 0..LENGTH_MS {
            for (daemon, index) in self.ends.remove(&now_ms).unwrap_or_default() {
                let replica = self.tables[daemon].get_mut(&entries::replica_id(index));
                replica.expect("the replica is known").local_load.running -= 1;
            }
            if now_ms % self.shape.digest_ms == 0 {
                // The daemons receive the digests of the previous interval.
                self.deliver(&std::mem::take(&mut sums), now_ms);
                sums = self.local_loads();
            }
            let mut expected = self.shape.rate / 1_000.0;
            while self.random.random::<f64>() < expected {
                self.send_call(now_ms);
                expected -= 1.0;
            }
        }
        f64::from(self.on_time) / f64::from(self.calls)
    }

    /// Returns the calls that each daemon has at each replica.
    fn local_loads(&self) -> Vec<Vec<u32>> {
        let running = |table: &replica::ReplicaTable| {
            (0..self.shape.zones)
                .map(|index| {
                    let replica = table.get(&entries::replica_id(index));
                    replica.map_or(0, |replica| replica.local_load.running)
                })
                .collect()
        };
        self.tables.iter().map(running).collect()
    }

    /// Sets at each daemon the loads that all others reported.
    fn deliver(&mut self, loads: &[Vec<u32>], now_ms: u64) {
        let others: id::DaemonId = "others".parse().expect("the name is an identifier");
        for (daemon, local) in loads.iter().enumerate() {
            let entry = |index: usize| {
                let sum: u32 = loads.iter().map(|load| load[index]).sum();
                let load = load::ReplicaLoad { running: sum - local[index], pending_tokens: 0 };
                load::LoadEntry { replica: entries::replica_id(index), load }
            };
            let entries: Vec<_> = (0..self.shape.zones).map(entry).collect();
            self.tables[daemon].set_peer_loads(&others, &entries, monotonic(now_ms));
        }
    }

    fn send_call(&mut self, now_ms: u64) {
        let daemon = self.random.random_range(0..self.shape.daemons);
        let (service, zone) = (entries::service(), zone(daemon));
        let limits = limit::LimitTable::new(time::MonotonicTime::default());
        let instant = clock_instant::ClockInstant { now: monotonic(now_ms), unix_ms: now_ms };
        let gate = send_gate::SendGate::new(&limits, instant);
        let query = selection::SelectionQuery {
            service: &service,
            zone: &zone,
            prompt: None,
            excluded: &[],
            gate: &gate,
            required_version: &replica::RequiredVersion::Any,
            includes_silent: true,
            daemon_count: self.shape.daemons as u32,
            draw: self.random.random(),
        };
        let table = &mut self.tables[daemon];
        let selected = selection::choose(table, &query).expect("a replica is available").replica;
        self.calls += 1;
        let index = (0..self.shape.zones)
            .find(|index| entries::replica_id(*index) == selected)
            .expect("the replica is known");
        table.get_mut(&selected).expect("the replica is known").local_load.running += 1;
        let work_ms = (self.shape.work_ms * (0.5 + self.random.random::<f64>())) as u64;
        let free_at = self.slots[index].iter_mut().min().expect("a replica has slots");
        let ends_at = now_ms.max(*free_at) + work_ms;
        *free_at = ends_at;
        self.ends.entry(ends_at).or_default().push((daemon, index));
        self.on_time += u32::from(ends_at - now_ms <= TARGET_MS);
    }
}

fn zone(index: usize) -> id::ZoneId {
    format!("zone-{}", index % 6).parse().expect("the name is an identifier")
}

/// Converts simulated time to a monotonic time that is not near the origin of the clock.
fn monotonic(now_ms: u64) -> time::MonotonicTime {
    time::MonotonicTime::new(now_ms + 100_000)
}

fn check(shape: FleetShape, min_on_time: f64) {
    let on_time = LoadSimulation::new(shape).run();
    println!("{shape:?}: {on_time:.4}");
    assert!(on_time >= min_on_time, "{on_time:.4} of the calls are on time, {min_on_time} wanted");
}

const LARGE: FleetShape =
    FleetShape { daemons: 295, zones: 6, rate: 376.0, work_ms: 32.0, digest_ms: 700 };

// 98 in 100 calls are in time while the replicas are busy for a third of the time, and 95 in 100 while they
// are busy for half of it.
samphiremoor_base::cases! {
    few_daemons => check(FleetShape { daemons: 9, zones: 4, rate: 250.0, digest_ms: 330, ..LARGE }, 0.98);
    daemons_of_a_small_large_site => check(FleetShape { daemons: 18, ..LARGE }, 0.98);
    sixty_daemons => check(FleetShape { daemons: 60, zones: 4, rate: 246.0, work_ms: 16.0, ..LARGE }, 0.98);
    eighty_daemons => check(FleetShape { daemons: 84, zones: 4, rate: 250.0, ..LARGE }, 0.98);
    hundreds_of_daemons => check(LARGE, 0.98);
    hundreds_of_daemons_with_late_sums => check(FleetShape { digest_ms: 1_200, ..LARGE }, 0.98);
    hundreds_of_daemons_at_half_of_the_room => check(FleetShape { rate: 560.0, ..LARGE }, 0.95);
    four_hundred_daemons => check(FleetShape { daemons: 400, digest_ms: 1_400, ..LARGE }, 0.98);
}
