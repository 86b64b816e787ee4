//! Measures how long keyed calls wait for a response after the holder of their shard crashes or
//! stops.
//!
//! Three daemons with the default settings share an in-memory table. One of them is ended, and one
//! call for each of 64 keys is submitted through another daemon. The example prints the longest
//! wait for a response.
//!
//! Run with `cargo run --release -p samphiremoor-shards --example takeover_time`.

#[expect(dead_code, reason = "the example uses a part of the tests' cluster")]
#[path = "../tests/harness/mod.rs"]
mod harness;

use std::time;

use async_std::task;
use samphiremoor_base::time as base_time;
use samphiremoor_shards::call;
use samphiremoor_shards::settings;

/// Number of calls after each event, each with a key of its own.
const KEYS: usize = 64;

/// Submits one call for each of [`KEYS`] keys and returns the longest wait for a response.
fn longest_wait(cluster: &harness::ShardCluster, round: usize) -> time::Duration {
    let service = cluster.service("a");
    let submissions: Vec<_> = (0..KEYS)
        .map(|number| {
            let service = service.clone();
            task::spawn(async move {
                let start = time::Instant::now();
                let call = harness::keyed_call("a", &format!("k{round}-{number}"), "body");
                let response = service.submit(call).await;
                assert!(matches!(response, call::KeyedResponse::Completed { .. }), "{response:?}");
                start.elapsed()
            })
        })
        .collect();
    submissions.into_iter().map(task::block_on).max().unwrap_or_default()
}

fn main() {
    for round in 0..5 {
        let settings = settings::ShardSettings::default();
        let cluster = harness::ShardCluster::start_with(3, settings);
        cluster.wait_until_held();
        let wait_before = longest_wait(&cluster, 10 * round);
        cluster.kill("b");
        let wait_after_kill = longest_wait(&cluster, 10 * round + 1);
        task::block_on(cluster.service("c").stop(base_time::Millis::new(10_000)));
        cluster.kill("c");
        let wait_after_stop = longest_wait(&cluster, 10 * round + 2);
        println!(
            "longest wait of {KEYS} calls: {} ms before, {} ms after a kill, {} ms after a stop",
            wait_before.as_millis(),
            wait_after_kill.as_millis(),
            wait_after_stop.as_millis(),
        );
    }
}
