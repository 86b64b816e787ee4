//! Settings files of the demonstration's programs.

use std::fmt;
use std::fmt::Write as _;
use std::net;
use std::path;

/// An availability zone of the demonstration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ZoneSpec {
    /// Id of the zone.
    pub(crate) zone: &'static str,
    /// Directory of the deployment to which the zone belongs.
    pub(crate) deployment: &'static str,
    /// Pool of the zone's plain service.
    pub(crate) service_pool: &'static str,
}

/// Zones of the demonstration, one of each example deployment.
pub(crate) const ZONES: [ZoneSpec; 2] = [
    ZoneSpec { zone: "bayanzurkh", deployment: "ulaanbaatar", service_pool: "courier-pool" },
    ZoneSpec { zone: "ain-sebaa", deployment: "casa-settat", service_pool: "counter-pool" },
];

/// Pool of an engine and the models that the engine has loaded.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineSpec {
    /// Id of the pool.
    pub(crate) pool: &'static str,
    /// Models, as TOML.
    pub(crate) models: &'static str,
}

/// Engines of each zone.
pub(crate) const ENGINES: [EngineSpec; 2] = [
    EngineSpec {
        pool: "assistant-pool",
        models: r#"
[[models]]
model = "steppe-8b"
version = "2026-05"
adapter = "rental-agreements"

[[models]]
model = "steppe-8b"
version = "2026-05"
"#,
    },
    EngineSpec {
        pool: "drafting-pool",
        models: r#"
[[models]]
model = "atlas-12b"
version = "4"
adapter = "letters"

[[models]]
model = "atlas-12b"
version = "4"
adapter = "case-files"
"#,
    },
];

/// Addresses of one entry VM.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EntryAddresses {
    /// Address for callers.
    pub(crate) http: net::SocketAddr,
    /// Address for other entry daemons.
    pub(crate) peer: net::SocketAddr,
    /// Address for other control threads and `samphiremoorctl`.
    pub(crate) control: net::SocketAddr,
}

/// VM of an upstream.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamSpec {
    /// Id of the VM.
    pub(crate) name: String,
    /// Availability zone of the VM.
    pub(crate) zone: &'static str,
    /// Pool of the upstream.
    pub(crate) pool: &'static str,
    /// Class of the VM.
    pub(crate) class: &'static str,
    /// Address of the upstream.
    pub(crate) address: net::SocketAddr,
}

/// Returns the id of a zone's entry VM.
pub(crate) fn entry_name(zone: &str) -> String {
    format!("{zone}-entry-1")
}

/// Address and token of the stand-in platform.
#[derive(Clone, Debug)]
pub(crate) struct PlatformEndpoint {
    /// Address of the platform.
    pub(crate) address: net::SocketAddr,
    /// File with the token that the platform requires.
    pub(crate) token_file: path::PathBuf,
}

impl fmt::Display for PlatformEndpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "address = \"{}\"\ntoken_file = {:?}", self.address, self.token_file)
    }
}

/// Returns the settings of the stand-in platform.
pub(crate) fn platform(
    endpoint: &PlatformEndpoint,
    entries: &[(ZoneSpec, EntryAddresses)],
    upstreams: &[UpstreamSpec],
) -> String {
    let PlatformEndpoint { address, token_file } = endpoint;
    let mut text = format!("listen = \"{address}\"\ntoken_file = {token_file:?}\n");
    text.push_str("list_lag = 200\n[zone_listen]\n");
    text.push_str("[limits]\nwrites_per_second = 400\nreads_per_second = 2000\n");
    text.push_str("weight_bytes_per_second = 2000000000\n");
    for (spec, addresses) in entries {
        let vm = vm(&entry_name(spec.zone), spec.zone, "entry-small", false, 40_000);
        let EntryAddresses { http, peer, control } = addresses;
        write!(
            text,
            "{vm}role = \"entry\"\nhttp_address = \"{http}\"\npeer_address = \"{peer}\"\ncontrol_address = \"{control}\"\n"
        )
        .expect("writing to a String never fails");
    }
    for upstream in upstreams {
        let UpstreamSpec { name, zone, pool, class, address } = upstream;
        let vm = vm(name, zone, class, true, 300_000);
        write!(text, "{vm}role = \"upstream\"\npool = \"{pool}\"\naddress = \"{address}\"\n")
            .expect("writing to a String never fails");
    }
    text
}

fn vm(name: &str, zone: &str, class: &str, reclaimable: bool, price: u64) -> String {
    format!(
        "\n[[vms]]\nid = \"{name}\"\nzone = \"{zone}\"\nclass = \"{class}\"\nreclaimable = {reclaimable}\nprice = {price}\nstate = \"live\"\n[vms.role]\n"
    )
}

/// Returns the settings of a stand-in engine.
pub(crate) fn engine(upstream: &UpstreamSpec, models: &str) -> String {
    let UpstreamSpec { name, address, .. } = upstream;
    format!(
        r#"id = "{name}"
listen = "{address}"
checks_fencing = true
{models}
[speed]
prefill_per_second = 8000
prefill_chunk = 1024
decode_base_us = 8000
decode_each_us = 250
max_batch = 32

[memory]
cache_blocks = 4096
max_models = 4
load_time = 500
kv_bytes_per_token = 100000
kv_bytes_per_second = 5000000000

[reports]
load_interval = 250
cache_lag = 200
cache_gap_every = 50
"#
    )
}

/// Returns the settings of a stand-in plain service.
pub(crate) fn service(upstream: &UpstreamSpec) -> String {
    let UpstreamSpec { name, address, .. } = upstream;
    format!("id = \"{name}\"\nlisten = \"{address}\"\nlatency = 10\nlatency_spread = 5\n")
}

/// Returns the settings of an entry daemon.
pub(crate) fn entry(zone: &str, addresses: &EntryAddresses, platform: &PlatformEndpoint) -> String {
    let name = entry_name(zone);
    let EntryAddresses { http, peer, control } = addresses;
    format!(
        r#"daemon = "{name}"
vm = "{name}"
zone = "{zone}"
http_address = "{http}"
peer_address = "{peer}"

[control]
address = "{control}"

[platform]
{platform}

[stop]
grace_ms = 200
limit_ms = 5000
"#
    )
}

/// Returns the settings of `samphiremoorctl`.
pub(crate) fn ctl(control: net::SocketAddr, platform: &PlatformEndpoint) -> String {
    format!(
        r#"author = "demo"
wait_ms = 10000
timeout_ms = 1000
seeds = ["{control}"]

[platform]
{platform}
"#
    )
}
