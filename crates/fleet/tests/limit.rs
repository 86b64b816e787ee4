//! Limits that replicas name, before 1 to 400 daemons.

use rand::Rng as _;
use rand::SeedableRng as _;
use samphiremoor_base::id;
use samphiremoor_base::rate;
use samphiremoor_base::testing;
use samphiremoor_base::time;
use samphiremoor_fleet::clock_instant;
use samphiremoor_fleet::digest;
use samphiremoor_fleet::limit;

/// Wall-clock time at the start of a test.
const START_UNIX_MS: u64 = 1_796_000_000_000;
/// Time between two steps.
const STEP_MS: u64 = 20;
/// Window in which requests are counted.
const WINDOW_MS: u64 = 4_000;
/// Time after a change from which the limit must hold.
const SETTLE_MS: u64 = 3_000;
/// Time until a response arrives.
const RESPONSE_MS: u64 = 100;
/// Time until peers know of a notice.
const NOTICE_MS: u64 = 1_400;

fn replica() -> id::ReplicaId {
    "replica-1".parse().expect("the name is an identifier")
}

fn per_second(text: &str) -> rate::RequestRate {
    text.parse().expect("the rate is valid")
}

/// What the daemons do besides sending.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Drill {
    None,
    /// The limit falls to the second one after ten seconds.
    Falls(&'static str),
    /// A quarter of the daemons restarts after ten seconds.
    Restarts,
    /// A quarter of the daemons is partitioned from the others from 10 s to 20 s. Each side knows
    /// the number of all daemons.
    Partition,
    /// A tenth of the daemons, at least one, is added after ten seconds; the others learn of it one
    /// after the other.
    Joins,
}

/// A daemon whose callers send as much as they can.
struct TestDaemon {
    table: limit::LimitTable,
    /// Responses that are on their way, and when their requests were sent.
    responses: Vec<(u64, u64)>,
}

/// Daemons before one limited replica.
struct Cluster {
    daemons: Vec<TestDaemon>,
    /// Times of the requests that the replica got from daemons that know its limit.
    arrivals: Vec<u64>,
    rng: rand_chacha::ChaCha8Rng,
    now_ms: u64,
}

impl Cluster {
    fn new(count: usize) -> Self {
        let daemon = |_| TestDaemon {
            table: limit::LimitTable::new(time::MonotonicTime::default()),
            responses: Vec::new(),
        };
        let rng = rand_chacha::ChaCha8Rng::seed_from_u64(testing::seed());
        let daemons = (0..count).map(daemon).collect();
        let mut cluster = Cluster { daemons, arrivals: Vec::new(), rng, now_ms: 10_000 };
        for index in 0..count {
            cluster.set_turn(index, count);
        }
        cluster
    }

    fn instant(&self) -> clock_instant::ClockInstant {
        let now = time::MonotonicTime::new(self.now_ms);
        clock_instant::ClockInstant { now, unix_ms: START_UNIX_MS + self.now_ms }
    }

    fn set_turn(&mut self, index: usize, count: usize) {
        let instant = self.instant();
        let turn = limit::DaemonTurn { index: index as u32, daemons: count as u32 };
        self.daemons[index].table.set_turn(turn, instant);
    }

    /// Each daemon delivers its responses, which name the limit, and sends a request with the given
    /// probability if it may. Daemons tell each other of changes.
    fn step(&mut self, limit: Option<rate::RequestRate>, probability: f64, partitioned: usize) {
        self.now_ms += STEP_MS;
        let instant = self.instant();
        let now_ms = self.now_ms;
        for daemon in &mut self.daemons {
            let arrived: Vec<_> =
                daemon.responses.extract_if(.., |(due_ms, _)| *due_ms <= now_ms).collect();
            for (_, sent_ms) in arrived {
                let sent_at = time::MonotonicTime::new(sent_ms);
                daemon.table.observe_response(&replica(), limit, sent_at, instant);
            }
            if daemon.table.wait(&replica(), instant).get() == 0
                && self.rng.random_bool(probability)
            {
                daemon.table.record_send(&replica(), instant);
                daemon.responses.push((now_ms + RESPONSE_MS, now_ms));
                if daemon.table.limited_replicas().next().is_some() {
                    self.arrivals.push(now_ms);
                }
            }
        }
        if now_ms.is_multiple_of(NOTICE_MS) {
            self.exchange_notices(partitioned);
        }
    }

    fn exchange_notices(&mut self, partitioned: usize) {
        let now = self.instant().now;
        let count = self.daemons.len();
        for side in [0..partitioned, partitioned..count] {
            let notices: Vec<_> = self.daemons[side.clone()]
                .iter()
                .flat_map(|daemon| daemon.table.notices(now))
                .collect();
            for daemon in &mut self.daemons[side] {
                for notice in &notices {
                    daemon.table.observe_notice(notice, now);
                }
            }
        }
    }

    /// Returns the largest number of arrivals in a window within the given time.
    fn most_arrivals(&self, from_ms: u64, to_ms: u64) -> usize {
        let starts = self.arrivals.iter().filter(|at| (from_ms..to_ms).contains(*at));
        let count = |start: &u64| {
            self.arrivals.iter().filter(|at| (*start..start + WINDOW_MS).contains(at)).count()
        };
        starts.map(count).max().unwrap_or(0)
    }
}

/// Returns the number of requests that may arrive in a window at a limit.
fn allowed(limit: rate::RequestRate) -> usize {
    (1.5 * limit.as_millis() as f64 / 1_000.0 * WINDOW_MS as f64 / 1_000.0 + 5.0) as usize
}

/// Daemons whose callers press keep the limit in each window, and use most of it.
fn check(count: usize, limit: &str, drill: Drill) {
    let mut limit = per_second(limit);
    let mut cluster = Cluster::new(count);
    let start_ms = cluster.now_ms;
    let mut held_from = vec![(start_ms + SETTLE_MS, limit)];
    for step in 0..40_000 / STEP_MS {
        let elapsed_ms = step * STEP_MS;
        let is_change = elapsed_ms == 10_000;
        let mut partitioned = 0;
        match drill {
            Drill::Falls(lower) if is_change => {
                limit = per_second(lower);
                held_from.push((cluster.now_ms + SETTLE_MS, limit));
            }
            Drill::Restarts if is_change => {
                let now = cluster.instant().now;
                cluster.daemons.iter_mut().for_each(|daemon| daemon.table.on_daemon_joined(now));
                for index in 0..count.div_ceil(4) {
                    cluster.daemons[index].table = limit::LimitTable::new(now);
                    cluster.set_turn(index, count);
                }
            }
            Drill::Partition if (10_000..20_000).contains(&elapsed_ms) => {
                partitioned = count / 4;
            }
            Drill::Joins if elapsed_ms >= 10_000 => {
                let total = count + count.div_ceil(10);
                let now = cluster.instant().now;
                while cluster.daemons.len() < total {
                    let index = cluster.daemons.len();
                    let table = limit::LimitTable::new(now);
                    cluster.daemons.push(TestDaemon { table, responses: Vec::new() });
                    cluster.set_turn(index, total);
                }
                let informed = ((elapsed_ms - 10_000) / STEP_MS) as usize * count.div_ceil(70);
                for index in 0..informed.min(count) {
                    cluster.set_turn(index, total);
                }
            }
            _ => {}
        }
        cluster.step(Some(limit), 0.9, partitioned);
    }
    let end_ms = cluster.now_ms;
    for (index, (from_ms, limit)) in held_from.iter().enumerate() {
        let to_ms = held_from.get(index + 1).map_or(end_ms, |(to_ms, _)| to_ms - SETTLE_MS);
        let most = cluster.most_arrivals(*from_ms, to_ms.saturating_sub(WINDOW_MS));
        let allowed = allowed(*limit);
        assert!(most <= allowed, "{most} in 4 s, allowed {allowed}; {count} daemons, {drill:?}");
    }
    let (from_ms, limit) = held_from[held_from.len() - 1];
    let used = cluster.arrivals.iter().filter(|at| **at >= from_ms).count() as f64;
    let offered = limit.as_millis() as f64 / 1_000.0 * (end_ms - from_ms) as f64 / 1_000.0;
    assert!(
        used >= 0.7 * offered - 2.0,
        "{used} of {offered} are used; {count} daemons, {drill:?}"
    );
}

/// Once the limit is lifted, all daemons send freely within seconds.
fn check_lifted(count: usize) {
    let mut cluster = Cluster::new(count);
    (0..10_000 / STEP_MS).for_each(|_| cluster.step(Some(per_second("1")), 0.9, 0));
    (0..8_000 / STEP_MS).for_each(|_| cluster.step(None, 0.9, 0));
    let instant = cluster.instant();
    let is_free = |daemon: &TestDaemon| daemon.table.wait(&replica(), instant).get() == 0;
    assert!(cluster.daemons.iter().all(is_free));
}

/// A request that waits as long as it is told may be sent.
fn check_wait(count: usize, limit: &str) {
    let mut cluster = Cluster::new(count);
    let instant = cluster.instant();
    let table = &mut cluster.daemons[0].table;
    table.observe_response(&replica(), Some(per_second(limit)), instant.now, instant);
    let mut instant = instant;
    for _ in 0..20 {
        while table.wait(&replica(), instant).get() == 0 {
            table.record_send(&replica(), instant);
        }
        let wait = table.wait(&replica(), instant);
        let period_ms = (count as f64 / limit.parse::<f64>().expect("a number") * 1_000.0) as u64;
        assert!(wait.get() <= period_ms + 1, "{wait} is longer than a turn of {period_ms} ms");
        instant.now = instant.now + wait;
        instant.unix_ms += wait.get();
        assert_eq!(table.wait(&replica(), instant).get(), 0);
    }
}

samphiremoor_base::cases! {
    one_daemon_at_1_a_second => check(1, "1", Drill::None);
    seven_daemons_at_1_a_second => check(7, "1", Drill::None);
    seven_daemons_at_a_limit_of_zero => check(7, "0", Drill::None);
    seven_daemons_at_20_a_second => check(7, "20", Drill::None);
    seven_daemons_while_the_limit_falls => check(7, "8", Drill::Falls("1"));
    seven_daemons_of_which_some_restart => check(7, "1.1", Drill::Restarts);
    seven_daemons_in_a_partition => check(7, "3", Drill::Partition);
    seven_daemons_and_a_new_one => check(7, "2", Drill::Joins);
    many_daemons_at_1_a_second => check(84, "1", Drill::None);
    many_daemons_at_20_a_second => check(84, "20", Drill::None);
    many_daemons_while_the_limit_falls => check(84, "30", Drill::Falls("2"));
    many_daemons_of_which_some_restart => check(84, "1", Drill::Restarts);
    many_daemons_in_a_partition => check(84, "5", Drill::Partition);
    many_daemons_and_new_ones => check(84, "2", Drill::Joins);
    most_daemons_at_1_a_second => check(400, "1", Drill::None);
    most_daemons_at_100_a_second => check(400, "100", Drill::None);
    most_daemons_of_which_some_restart => check(400, "1", Drill::Restarts);
    most_daemons_and_new_ones => check(400, "1.5", Drill::Joins);
    lifted_limit_ends_at_seven_daemons => check_lifted(7);
    lifted_limit_ends_at_many_daemons => check_lifted(84);
    wait_holds_at_one_daemon => check_wait(1, "2");
    wait_holds_at_seven_daemons => check_wait(7, "1");
    wait_holds_at_many_daemons => check_wait(84, "2.5");
}

#[test]
fn daemon_that_starts_waits_until_it_knows_the_others() {
    let mut cluster = Cluster::new(1);
    let instant = cluster.instant();
    let table = &mut cluster.daemons[0].table;
    *table = limit::LimitTable::new(instant.now);
    table.observe_response(&replica(), Some(per_second("50")), instant.now, instant);
    assert!(table.wait(&replica(), instant).get() >= 2_400);
}

// A response that was on its way when the replica named its limit does not lift it.
#[test]
fn response_to_an_earlier_request_does_not_lift_the_limit() {
    let mut cluster = Cluster::new(1);
    let instant = cluster.instant();
    let table = &mut cluster.daemons[0].table;
    let before = time::MonotonicTime::new(instant.now.get() - 50);
    let named = table.observe_response(&replica(), Some(per_second("1")), before, instant);
    assert_eq!(named.map(|change| change.after), Some(Some(per_second("1"))));
    assert_eq!(table.observe_response(&replica(), None, before, instant), None);
    let after = time::MonotonicTime::new(instant.now.get() + 50);
    let lifted = table.observe_response(&replica(), None, after, instant);
    assert_eq!(lifted.map(|change| change.after), Some(None));
}

#[test]
fn earlier_notice_does_not_change_a_limit() {
    let mut cluster = Cluster::new(1);
    let instant = cluster.instant();
    let table = &mut cluster.daemons[0].table;
    table.observe_response(&replica(), Some(per_second("4")), instant.now, instant);
    let notice = |rate, observed_ms| digest::LimitNotice { replica: replica(), rate, observed_ms };
    assert_eq!(table.observe_notice(&notice(None, instant.unix_ms - 1), instant.now), None);
    let later = notice(Some(per_second("2")), instant.unix_ms + 1);
    assert!(table.observe_notice(&later, instant.now).is_some());
    assert_eq!(table.notices(instant.now), [later]);
    assert!(table.notices(instant.now + time::Millis::new(5_000)).is_empty());
}

#[test]
fn daemon_that_joins_is_told_of_earlier_limits() {
    let mut cluster = Cluster::new(1);
    let instant = cluster.instant();
    let table = &mut cluster.daemons[0].table;
    table.observe_response(&replica(), Some(per_second("4")), instant.now, instant);
    let later = instant.now + time::Millis::new(60_000);
    assert!(table.notices(later).is_empty());
    table.on_daemon_joined(later);
    assert_eq!(table.notices(later).len(), 1);
}

#[test]
fn limits_of_unknown_replicas_are_dropped() {
    let mut cluster = Cluster::new(1);
    let instant = cluster.instant();
    let table = &mut cluster.daemons[0].table;
    table.observe_response(&replica(), Some(per_second("4")), instant.now, instant);
    table.retain(instant.now, |_| true);
    assert_eq!(table.limited_replicas().count(), 1);
    table.retain(instant.now, |_| false);
    assert_eq!(table.limited_replicas().count(), 0);
}
