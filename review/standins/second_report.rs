//! The store comes back from a copy some seconds old while the daemons are restarted in turn, and a
//! window that was reported is reported once more with other counts.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

use crate::common;

const SERVICE: &str = "desk";
/// Length of a window, and the time after its end when it is reported at the earliest.
const WINDOW_MS: u64 = 5_000;
/// Time between the SIGTERMs of two daemons.
const GAP_MS: u64 = 1_000;
/// Time between the report of a window and the drill.
const DRILL_DELAY_MS: u64 = 4_500;
/// Time for which the store is away.
const AWAY_MS: u64 = 2_000;
const BEAT_MS: u64 = 1_200;
const REST_MS: u64 = 12_000;

/// Returns the window and the counts of a usage report.
fn decode(call: &common::DutyCall) -> Option<(u64, String)> {
    let report = common::Json::parse(&call.body).filter(|_| call.path == "/usage")?;
    Some((report.get("window").number(), format!("{:?}", report.get("counts"))))
}

/// Returns whether the rule was kept; `None` if the case couldn't run.
pub fn run(record: &common::Record, has_trouble: bool) -> Option<bool> {
    let folder = common::Folder::new("second-report");
    let store = common::Store::start(record);
    let cloud = common::Cloud::start(record, false);
    let routes = [("again", "safe", 2, false)];
    let config = common::config(3, SERVICE, "", &routes);
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
    let daemons: Vec<_> = (0..3)
        .map(|index| {
            let name = format!("front-{index}");
            let zone = format!("z{index}");
            common::Daemon::start(&name, &zone, store.address, cloud.address, &folder.0)
        })
        .collect();
    for daemon in &daemons {
        daemon.await_ready();
    }
    let fronts: Vec<_> = daemons.iter().map(|daemon| (daemon.front, daemon.ready)).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let traffic = {
        let (is_over, record) = (is_over.clone(), record.clone());
        thread::spawn(move || {
            for number in 0.. {
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                // The platform sends no new channel to a daemon that is not ready.
                let (front, ready) = fronts[number % fronts.len()];
                if common::is_ready(ready) {
                    let id = format!("c{number}");
                    let status = common::call(front, "GET", "/again/1", &id, 1_500).status;
                    if number % 20 == 0 || status != 200 {
                        record.line(&format!("callers  request {id}: {status}"));
                    }
                }
                common::sleep_ms(60);
            }
        })
    };
    // Three windows with traffic have passed.
    let begun_ms = record.ms();
    while record.ms() < begun_ms + 3 * WINDOW_MS {
        common::sleep_ms(20);
    }
    // Copies of the store, each with the reports that the platform had by then.
    let known = cloud.calls().len();
    let mut copy = store.copy();
    let mut copied_ms = record.ms();
    while cloud.calls()[known..].iter().find_map(decode).is_none() {
        let rows = store.copy();
        let newest = rows.keys("usage").pop();
        if newest == copy.keys("usage").pop() {
            (copy, copied_ms) = (rows, record.ms());
        }
        if record.ms() > 60_000 {
            return None;
        }
        common::sleep_ms(2);
    }
    let call = cloud.calls()[known..].iter().find(|call| decode(call).is_some())?.clone();
    let (window, counts) = decode(&call)?;
    record.line(&format!("window {window} was reported as {counts}"));
    let reported_ms = record.ms();
    let daemons = Arc::new(Mutex::new(daemons));
    let holder = call.holder.clone();
    let mut restarts = Vec::new();
    if has_trouble {
        // All daemons are restarted in turn, the holder of the duties last.
        let mut turns: Vec<common::Daemon> = std::mem::take(&mut *daemons.lock().unwrap());
        turns.sort_by_key(|daemon| daemon.name == holder);
        let last = turns.len() - 1;
        for (turn, mut daemon) in turns.into_iter().enumerate() {
            let (record, daemons) = (record.clone(), daemons.clone());
            let at_ms = if turn == last {
                reported_ms + DRILL_DELAY_MS + AWAY_MS + GAP_MS
            } else {
                reported_ms + 200 + turn as u64 * GAP_MS
            };
            restarts.push(thread::spawn(move || {
                common::sleep_ms(at_ms.saturating_sub(record.ms()));
                record.line(&format!("stopped  {} by SIGTERM", daemon.name));
                daemon.restart();
                record.line(&format!("started  {} again", daemon.name));
                daemons.lock().unwrap().push(daemon);
            }));
        }
        common::sleep_ms((reported_ms + DRILL_DELAY_MS).saturating_sub(record.ms()));
        record.line("store    goes away");
        store.go_away();
        common::sleep_ms(AWAY_MS);
        store.restore(&copy);
        record.line(&format!(
            "store    is back from a copy that is {:.1} s old",
            (record.ms() - copied_ms) as f64 / 1_000.0
        ));
    }
    common::sleep_ms(REST_MS);
    is_over.store(true, Ordering::SeqCst);
    traffic.join().ok();
    restarts.into_iter().for_each(|restart| drop(restart.join()));
    let mut accepted: BTreeMap<u64, (String, common::DutyCall)> = BTreeMap::new();
    let mut is_kept = true;
    for call in cloud.calls() {
        let Some((window, counts)) = decode(&call) else { continue };
        let Some((first, before)) = accepted.get(&window) else {
            accepted.insert(window, (counts, call));
            continue;
        };
        if *first != counts {
            record.line(&format!(
                "BROKEN   ONE: window {window}: {} from {} at {} ms, {} from {} at {} ms",
                before.body, before.holder, before.at_ms, call.body, call.holder, call.at_ms
            ));
            is_kept = false;
        }
    }
    Some(is_kept)
}
