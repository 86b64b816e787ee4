//! The store comes back from a copy some seconds old, and a second holder gives out a number again.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

use crate::common;

const SERVICE: &str = "desk";
/// Time for which the first holder acts before the drill.
const ACTING_MS: u64 = 4_000;
/// Time for which the store is away.
const AWAY_MS: u64 = 2_000;
/// Time that the system has after the return of the store.
const REST_MS: u64 = 20_000;
/// Interval between the reports of the replicas.
const BEAT_MS: u64 = 1_200;

/// Returns whether the rule was kept; `None` if the case couldn't run.
pub fn run(record: &common::Record, has_trouble: bool) -> Option<bool> {
    let folder = common::Folder::new("restored-store");
    let store = common::Store::start(record);
    let cloud = common::Cloud::start(record, false);
    let config =
        common::config(3, SERVICE, "", &[("once", "unsafe", 1, false), ("again", "safe", 2, false)]);
    let servers: Vec<(String, String)> = (0..3)
        .map(|index| {
            let (listener, address) = common::bind();
            common::serve(listener, move |request, stream| {
                common::sleep_ms(15);
                let id = request.field("X-Request-Id").to_owned();
                let fields = format!("X-Request-Id: {id}\r\nX-Response-Signature: s-{id}\r\n");
                common::write_response(stream, "200 OK", &fields, "done")
            });
            let row = common::server_row(SERVICE, address, &format!("z{index}"), "ready");
            (format!("i-{index}"), row)
        })
        .collect();
    let write_again = {
        let (store, config) = (store.clone(), config.clone());
        move || {
            store.put("op", "config", &config);
            for (id, row) in &servers {
                store.put("servers", id, row);
            }
        }
    };
    write_again();
    // What the operator and the replicas wrote is written again after a return of the store.
    thread::spawn(move || {
        loop {
            common::sleep_ms(BEAT_MS);
            write_again();
        }
    });
    let daemons: Vec<_> = (0..4)
        .map(|index| {
            let name = format!("front-{index}");
            common::Daemon::start(&name, &format!("z{index}"), store.address, cloud.address, &folder.0)
        })
        .collect();
    let fronts: Vec<_> = daemons.iter().map(|daemon| daemon.front).collect();
    // Copies of the store as it was before a daemon held the duties.
    let mut copy = store.copy();
    let mut copied_ms = record.ms();
    while cloud.calls().is_empty() {
        let rows = store.copy();
        if rows.value("duty", "lease").is_none() {
            copy = rows;
            copied_ms = record.ms();
        }
        if record.ms() > 30_000 {
            return None;
        }
        common::sleep_ms(2);
    }
    for daemon in &daemons {
        daemon.await_ready();
    }
    record.line("callers  begin");
    let is_over = Arc::new(AtomicBool::new(false));
    let traffic = {
        let (is_over, record) = (is_over.clone(), record.clone());
        thread::spawn(move || {
            for number in 0.. {
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                let front = fronts[number % fronts.len()];
                let id = format!("c{number}");
                let answer = common::call(front, "POST", "/once/1", &id, 1_500);
                if number % 10 == 0 || answer.status != 200 {
                    record.line(&format!("callers  request {id}: {}", answer.status));
                }
                common::sleep_ms(100);
            }
        })
    };
    common::sleep_ms(ACTING_MS);
    let mut returned_ms = record.ms();
    if has_trouble {
        record.line("store    goes away");
        store.go_away();
        common::sleep_ms(AWAY_MS);
        store.restore(&copy);
        returned_ms = record.ms();
        record.line(&format!(
            "store    is back from a copy that is {:.1} s old",
            (returned_ms - copied_ms) as f64 / 1_000.0
        ));
    }
    common::sleep_ms(REST_MS);
    is_over.store(true, Ordering::SeqCst);
    traffic.join().ok();
    let calls = cloud.calls();
    if calls.len() < 3 {
        return None;
    }
    let mut holders: BTreeMap<(String, u64), BTreeSet<String>> = BTreeMap::new();
    let mut counts: BTreeMap<u64, BTreeSet<String>> = BTreeMap::new();
    for call in &calls {
        let subject = (call.path.clone(), call.token);
        holders.entry(subject).or_default().insert(call.holder.clone());
        if let Some(report) = common::Json::parse(&call.body).filter(|_| call.path == "/usage") {
            let text = format!("{:?}", report.get("counts"));
            counts.entry(report.get("window").number()).or_default().insert(text);
        }
    }
    let mut is_kept = true;
    for ((path, token), names) in holders.iter().filter(|(_, names)| names.len() > 1) {
        let last = calls.iter().rev().find(|call| call.path == *path && call.token == *token);
        let last_ms = last.map_or(0, |call| call.at_ms);
        record.line(&format!(
            "BROKEN   ONE: holders {names:?} sent number {token} for {path}; last {} ms after the return of the store",
            last_ms.saturating_sub(returned_ms)
        ));
        is_kept = false;
    }
    for (window, texts) in counts.iter().filter(|(_, texts)| texts.len() > 1) {
        record.line(&format!("BROKEN   ONE: window {window} was reported as {texts:?}"));
        is_kept = false;
    }
    Some(is_kept)
}
