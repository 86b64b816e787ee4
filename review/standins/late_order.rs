//! The machine of the holder of the duties is cut off; a call that it sent then arrives after the next
//! holder's calls.

use std::collections::BTreeMap;

use crate::common;

const SERVICE: &str = "assist";
const ZONES: [&str; 4] = ["z0", "z1", "z2", "z3"];
/// Time between an order that the platform has refused and the cut. The holder repeats such an order
/// after 3 s.
const CUT_DELAY_MS: u64 = 2_700;
/// Time for which the machine is cut off.
const CUT_MS: u64 = 10_000;
/// Time after the cut until the end.
const REST_MS: u64 = 20_000;
/// Time after the cut in which calls of the machine that was cut off don't count.
const THAW_MS: u64 = 300;

/// Returns what the orders of a call are for.
fn subject(call: &common::DutyCall) -> String {
    let body = common::Json::parse(&call.body).unwrap_or(common::Json::Null);
    match &call.path[..] {
        "/usage" => "usage".to_owned(),
        _ => format!("{} in {}", body.get("service").text(), body.get("zone").text()),
    }
}

/// Returns whether the rule was kept; `None` if the case couldn't run.
pub fn run(record: &common::Record, has_trouble: bool) -> Option<bool> {
    let folder = common::Folder::new("late-order");
    let store = common::Store::start(record);
    let cloud = common::Cloud::start(record, true);
    let scaling = r#","engine":{"slots":16,"kv_tokens":500000,"moves":false},"scaling":{"min":1,"max":6,"boot_s":4.0,"spot_price":0.15,"zone_prices":{"z0":1.0,"z1":0.8,"z2":1.25,"z3":0.9}}"#;
    let routes = [("again", "safe", 2, false)];
    store.put("op", "config", &common::config(3, SERVICE, scaling, &routes));
    for zone in ZONES {
        let (listener, address) = common::bind();
        common::serve(listener, move |request, stream| {
            common::sleep_ms(15);
            let id = request.field("X-Request-Id").to_owned();
            let fields = format!("X-Request-Id: {id}\r\nX-Response-Signature: s-{id}\r\n");
            common::write_response(stream, "200 OK", &fields, "done")
        });
        let row = common::server_row(SERVICE, address, zone, "ready");
        store.put("servers", &format!("i-{zone}"), &row);
    }
    let mut links = BTreeMap::new();
    let daemons: Vec<_> = ZONES
        .iter()
        .map(|zone| {
            let name = format!("front-{zone}");
            let to_store = common::Link::start(store.address);
            let to_cloud = common::Link::start(cloud.address);
            let daemon = common::Daemon::start(
                &name,
                zone,
                to_store.address,
                to_cloud.address,
                &folder.0,
            );
            links.insert(name, [to_store, to_cloud]);
            daemon
        })
        .collect();
    for daemon in &daemons {
        daemon.await_ready();
    }
    // The first holder has ordered, and repeats what was refused.
    let is_order = |call: &&common::DutyCall| call.body.contains(r#""spot":true"#);
    while cloud.calls().iter().filter(is_order).count() < 2 * ZONES.len() {
        if record.ms() > 40_000 {
            return None;
        }
        common::sleep_ms(20);
    }
    // The end of a round of orders.
    let mut last = cloud.calls().iter().rfind(is_order)?.clone();
    while record.ms() < last.at_ms + 1_000 {
        common::sleep_ms(20);
        last = cloud.calls().iter().rfind(is_order)?.clone();
    }
    common::sleep_ms((last.at_ms + CUT_DELAY_MS).saturating_sub(record.ms()));
    let holder = last.holder.clone();
    if has_trouble {
        record.line(&format!("link     {holder} is cut off from the store and the platform"));
        links[&holder].iter().for_each(|link| link.set_cut(true));
    }
    common::sleep_ms(CUT_MS);
    links[&holder].iter().for_each(|link| link.set_cut(false));
    let healed_ms = record.ms();
    if has_trouble {
        record.line(&format!("link     {holder} is back"));
    }
    common::sleep_ms(REST_MS);
    let mut is_kept = true;
    let mut newest: BTreeMap<String, common::DutyCall> = BTreeMap::new();
    for call in cloud.calls() {
        let subject = subject(&call);
        let is_excused = call.holder == holder
            && (healed_ms..=healed_ms + THAW_MS).contains(&call.at_ms)
            && has_trouble;
        if let Some(before) = newest.get(&subject).filter(|_| !is_excused) {
            if call.token < before.token {
                record.line(&format!(
                    "BROKEN   ONE: {} for {subject} from {} with number {} at {} ms, {} ms after the cut, after number {} from {} at {} ms",
                    call.path,
                    call.holder,
                    call.token,
                    call.at_ms,
                    call.at_ms.saturating_sub(healed_ms),
                    before.token,
                    before.holder,
                    before.at_ms
                ));
                is_kept = false;
            }
        }
        let is_newest = newest.get(&subject).is_none_or(|before| before.token <= call.token);
        if is_newest {
            newest.insert(subject, call);
        }
    }
    Some(is_kept)
}
