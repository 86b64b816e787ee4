//! Measures the latency that an entry daemon adds to calls of an engine and of a plain service.
//!
//! Direct calls and calls through the daemon alternate, so that both see the same machine load.
//! Then `at_once` tasks send `calls_each` calls each through the daemon, which gives its requests
//! per second.

use std::net;
use std::path;
use std::time;

use async_std::task;
use futures_lite::AsyncReadExt as _;
use http_types::Method;
use http_types::Request;
use samphiremoor_base::time as base_time;
use samphiremoor_httpio::client;

/// Measures the latency that an entry daemon adds.
#[derive(argh::FromArgs)]
struct MeasureArgs {
    /// address of the entry daemon
    #[argh(option)]
    entry: net::SocketAddr,
    /// address of the engine
    #[argh(option)]
    engine: net::SocketAddr,
    /// address of the plain service
    #[argh(option)]
    service: net::SocketAddr,
    /// body of a completion call at the engine, as JSON
    #[argh(option)]
    engine_body: path::PathBuf,
    /// body of a completion call at the daemon, as JSON
    #[argh(option)]
    entry_body: path::PathBuf,
    /// path of the plain service at the daemon
    #[argh(option)]
    service_path: String,
    /// file with the workspace's key
    #[argh(option)]
    key: path::PathBuf,
    /// direct calls, and as many through the daemon, in the first part
    #[argh(option, default = "500")]
    calls: usize,
    /// concurrent tasks in the second part
    #[argh(option, default = "32")]
    at_once: usize,
    /// calls of each task in the second part
    #[argh(option, default = "200")]
    calls_each: usize,
}

const LIMITS: client::CallLimits = client::CallLimits {
    connect: base_time::Millis::new(2_000),
    head: base_time::Millis::new(20_000),
    silence: base_time::Millis::new(20_000),
};

/// Size of the read buffer.
const BUFFER_BYTES: usize = 16 * 1024;

/// A call that is sent repeatedly.
#[derive(Clone)]
struct MeasuredCall {
    address: net::SocketAddr,
    path: String,
    body: String,
    key: String,
}

impl MeasuredCall {
    /// Sends the call and returns the time to its first byte and to its end, or `None` if it fails.
    async fn send(&self) -> Option<CallLatency> {
        let started = time::Instant::now();
        let mut request = Request::new(Method::Post, client::url(self.address, &self.path).ok()?);
        request.set_body(self.body.as_str());
        request.insert_header("Content-Type", "application/json");
        request.insert_header("Authorization", format!("Bearer {}", self.key));
        let mut response = client::send(self.address, request, LIMITS).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let mut buffer = vec![0_u8; BUFFER_BYTES];
        response.read(&mut buffer).await.ok()?;
        let first_byte = started.elapsed();
        while response.read(&mut buffer).await.ok()? > 0 {}
        Some(CallLatency { first_byte, total: started.elapsed() })
    }
}

/// Latencies of one call.
struct CallLatency {
    first_byte: time::Duration,
    total: time::Duration,
}

/// Latencies of many calls, in microseconds.
struct LatencyTable {
    name: &'static str,
    first_byte: hdrhistogram::Histogram<u64>,
    total: hdrhistogram::Histogram<u64>,
    failed: u64,
}

impl LatencyTable {
    fn new(name: &'static str) -> Self {
        let histogram = || hdrhistogram::Histogram::new(3).expect("three digits are supported");
        LatencyTable { name, first_byte: histogram(), total: histogram(), failed: 0 }
    }

    fn record(&mut self, latency: Option<CallLatency>) {
        let Some(latency) = latency else {
            self.failed += 1;
            return;
        };
        self.first_byte += latency.first_byte.as_micros() as u64;
        self.total += latency.total.as_micros() as u64;
    }

    fn print(&self) {
        println!(
            "{}: {} calls, {} failed; first byte p50 {} us p99 {} us; whole p50 {} us p99 {} us",
            self.name,
            self.total.len(),
            self.failed,
            self.first_byte.value_at_quantile(0.5),
            self.first_byte.value_at_quantile(0.99),
            self.total.value_at_quantile(0.5),
            self.total.value_at_quantile(0.99),
        );
    }
}

async fn alternate_calls(direct: &MeasuredCall, proxied: &MeasuredCall, calls: usize, title: &str) {
    let mut direct_times = LatencyTable::new("direct ");
    let mut proxied_times = LatencyTable::new("through");
    for _ in 0..calls {
        direct_times.record(direct.send().await);
        proxied_times.record(proxied.send().await);
    }
    println!("{title}");
    direct_times.print();
    proxied_times.print();
}

async fn run_concurrently(call: &MeasuredCall, args: &MeasureArgs, title: &str) {
    let started = time::Instant::now();
    let tasks: Vec<_> = (0..args.at_once)
        .map(|_| {
            let call = call.clone();
            let count = args.calls_each;
            task::spawn(async move {
                let mut failed = 0_usize;
                for _ in 0..count {
                    failed += usize::from(call.send().await.is_none());
                }
                failed
            })
        })
        .collect();
    let mut failed = 0;
    for task in tasks {
        failed += task.await;
    }
    let seconds = started.elapsed().as_secs_f64();
    let calls = args.at_once * args.calls_each;
    println!(
        "{title}, {} at once: {calls} calls, {failed} failed, {:.0} a second",
        args.at_once,
        calls as f64 / seconds
    );
}

fn main() -> std::io::Result<()> {
    let args: MeasureArgs = argh::from_env();
    let key = std::fs::read_to_string(&args.key)?.trim().to_owned();
    let engine_body = std::fs::read_to_string(&args.engine_body)?;
    let entry_body = std::fs::read_to_string(&args.entry_body)?;
    let call = |address, path: &str, body: &str| MeasuredCall {
        address,
        path: path.to_owned(),
        body: body.to_owned(),
        key: key.clone(),
    };
    let completions_path = "/v1/completions";
    task::block_on(async {
        let direct = call(args.engine, completions_path, &engine_body);
        let proxied = call(args.entry, completions_path, &entry_body);
        alternate_calls(&direct, &proxied, args.calls, "streamed completion").await;
        let direct = call(args.service, "/lookup", "{}");
        let plain = call(args.entry, &format!("{}/lookup", args.service_path), "{}");
        alternate_calls(&direct, &plain, args.calls, "plain call").await;
        run_concurrently(&plain, &args, "plain call").await;
        run_concurrently(&proxied, &args, "streamed completion").await;
    });
    Ok(())
}
