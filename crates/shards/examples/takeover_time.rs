//! Measures how long once-only calls get no answer after a holder dies or stops.
//!
//! Three daemons with the default settings share a table in memory. One of them is ended, and a call
//! for each of 64 keys is sent through another one until it is answered; the longest wait is printed.
//! Run with `cargo run --release -p samphiremoor-shards --example takeover_time`.

#[expect(dead_code, reason = "the example uses a part of the tests' cluster")]
#[path = "../tests/harness/mod.rs"]
mod harness;

use std::time;

use async_std::task;
use samphiremoor_base::time as base_time;
use samphiremoor_shards::call;
use samphiremoor_shards::settings;

const KEYS: usize = 64;

/// Longest wait for the answer to one of the keys.
fn longest_wait(cluster: &harness::ShardCluster, round: usize) -> time::Duration {
    let service = cluster.service("a");
    let sends: Vec<_> = (0..KEYS)
        .map(|number| {
            let service = service.clone();
            task::spawn(async move {
                let start = time::Instant::now();
                let call = harness::once_call("a", &format!("k{round}-{number}"), "body");
                let answer = service.submit(call).await;
                assert!(matches!(answer, call::KeyedResponse::Completed { .. }), "{answer:?}");
                start.elapsed()
            })
        })
        .collect();
    sends.into_iter().map(task::block_on).max().unwrap_or_default()
}

fn main() {
    for round in 0..5 {
        let settings = settings::ShardSettings::default();
        let cluster = harness::ShardCluster::start_with(3, settings);
        cluster.wait_covered();
        let before = longest_wait(&cluster, 10 * round);
        cluster.kill("b");
        let killed = longest_wait(&cluster, 10 * round + 1);
        task::block_on(cluster.service("c").stop(base_time::Millis::new(10_000)));
        cluster.kill("c");
        let stopped = longest_wait(&cluster, 10 * round + 2);
        println!(
            "longest wait of {KEYS} calls: {} ms before, {} ms after a kill, {} ms after a stop",
            before.as_millis(),
            killed.as_millis(),
            stopped.as_millis(),
        );
    }
}
