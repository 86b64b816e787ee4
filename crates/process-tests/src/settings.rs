//! Texts of the programs' settings files.

use std::collections;
use std::fmt::Write as _;
use std::net;
use std::path;

use crate::plan;

/// Returns the settings of the stand-in platform.
pub(crate) fn platform(
    listen: net::SocketAddr,
    zones: &collections::BTreeMap<String, net::SocketAddr>,
    entries: &[plan::EntrySpec],
    upstreams: &[plan::UpstreamSpec],
) -> String {
    let mut text = format!("listen = \"{listen}\"\nlist_lag = 300\n\n[zone_listen]\n");
    for (zone, address) in zones {
        let _ = writeln!(text, "{zone} = \"{address}\"");
    }
    for spec in entries {
        let role = format!(
            "role = \"entry\"\nhttp_address = \"{}\"\npeer_address = \"{}\"\ncontrol_address = \"{}\"",
            spec.http, spec.peer, spec.control
        );
        text += &vm(&spec.name, &spec.zone, "entry-small", &role);
    }
    for spec in upstreams {
        let role = format!(
            "role = \"upstream\"\npool = \"{}\"\naddress = \"{}\"",
            spec.pool, spec.address
        );
        text += &vm(&spec.name, &spec.zone, "gpu-small", &role);
    }
    text
}

fn vm(name: &str, zone: &str, class: &str, role: &str) -> String {
    format!(
        "\n[[vms]]\nid = \"{name}\"\nzone = \"{zone}\"\nclass = \"{class}\"\nreclaimable = true\n\
         price = 100000\nstate = \"live\"\n[vms.role]\n{role}\n"
    )
}

/// Returns the settings of a stand-in engine.
pub(crate) fn engine(spec: &plan::UpstreamSpec, plan: &plan::ClusterPlan) -> String {
    format!(
        "id = \"{}\"\nlisten = \"{}\"\nchecks_fencing = true\n\n[[models]]\nmodel = \"steppe-8b\"\n\
         version = \"1\"\n\n[speed]\ndecode_base_us = {}\n",
        spec.name, spec.address, plan.decode_base_us
    )
}

/// Returns the settings of a stand-in plain service.
pub(crate) fn service(spec: &plan::UpstreamSpec, plan: &plan::ClusterPlan) -> String {
    format!(
        "id = \"{}\"\nlisten = \"{}\"\nlatency = {}\nlatency_spread = 5\n",
        spec.name, spec.address, plan.service_latency_ms
    )
}

/// Source of an entry daemon's view.
pub(crate) enum EntryView<'a> {
    /// The view file.
    File(&'a path::Path),
    /// The control thread, with the VM's addresses as other VMs reach them.
    Control(&'a plan::EntrySpec),
}

/// Returns the settings of an entry daemon.
pub(crate) fn entry(
    spec: &plan::EntrySpec,
    plan: &plan::ClusterPlan,
    view: EntryView<'_>,
    platform: net::SocketAddr,
) -> String {
    let view = match view {
        EntryView::File(file) => format!("view_file = {:?}", file.display().to_string()),
        EntryView::Control(listed) => format!(
            "[control]\naddress = \"{}\"\nlisten = \"{}\"\nhttp_address = \"{}\"\npeer_address = \"{}\"",
            listed.control, spec.control, listed.http, listed.peer
        ),
    };
    let transfer = optional("kv_transfer_min_tokens", plan.kv_transfer_min_tokens);
    let retention = optional("retention", plan.retention_ms);
    format!(
        "daemon = \"{name}\"\nvm = \"{name}\"\nzone = \"{zone}\"\nhttp_address = \"{http}\"\n\
         peer_address = \"{peer}\"\nlog = \"debug\"\n{view}\n\n\
         [upstreams]\nsilence_ms = 1500\n{transfer}\n[stop]\ngrace_ms = 500\n\n\
         [platform]\naddress = \"{platform}\"\n\n\
         [shards]\ncount = {shards}\nlease_time = 2000\nidle_scan_interval = 1000\n{retention}",
        shards = plan.shards,
        name = spec.name,
        zone = spec.zone,
        http = spec.http,
        peer = spec.peer,
    )
}

/// Returns a line of a settings file, or an empty text if there is no value.
fn optional(key: &str, value: Option<u64>) -> String {
    value.map(|value| format!("{key} = {value}\n")).unwrap_or_default()
}

/// Returns the settings of an operator's command-line tool.
pub(crate) fn operator(platform: net::SocketAddr, specs: &[plan::EntrySpec]) -> String {
    let seeds: Vec<_> = specs.iter().map(|spec| spec.control.to_string()).collect();
    format!("author = \"tester\"\nseeds = {seeds:?}\n\n[platform]\naddress = \"{platform}\"\n")
}
