//! Client of the stand-ins' control paths.

use std::net;

use http_types::Method;
use http_types::Request;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_httpio::client;
use samphiremoor_platform::cloud;
use samphiremoor_platform::fleet;
use samphiremoor_platform::table;
use samphiremoor_standin::fault;
use samphiremoor_standin_engine::wire as engine_wire;
use samphiremoor_standin_platform::control;
use samphiremoor_standin_service::wire as service_wire;
use serde::Serialize;
use serde::de;

use crate::plan;

/// Timeouts of calls to stand-ins. They are generous, since control paths respond immediately
/// except on an overloaded machine.
const TIMEOUTS: client::CallLimits = client::CallLimits {
    connect: time::Millis::new(5_000),
    head: time::Millis::new(20_000),
    silence: time::Millis::new(20_000),
};

/// Replaces the faults of an upstream; the default value ends all faults.
pub async fn set_faults(address: net::SocketAddr, faults: fault::CallFaults) {
    post(address, "/control/faults", &faults).await;
}

/// Replaces the faults of the platform; the default value ends all faults.
pub async fn set_platform_faults(address: net::SocketAddr, faults: &control::PlatformFaults) {
    post(address, "/control/faults", faults).await;
}

/// Cuts the daemons of these zones off from the platform, and ends all other platform faults.
pub async fn cut_platform(address: net::SocketAddr, zones: &[&str]) {
    let valid_id = "the harness's names are identifiers";
    let cut_zones = zones.iter().map(|zone| zone.parse().expect(valid_id)).collect();
    let faults = control::PlatformFaults { cut_zones, ..Default::default() };
    set_platform_faults(address, &faults).await;
}

/// Announces the reclaim of VMs, with the notice period in seconds.
pub async fn reclaim(address: net::SocketAddr, scope: fleet::ReclaimScope, seconds: u64) {
    post(address, "/control/reclaim", &control::ReclaimOrder { scope, seconds }).await;
}

/// Adds or replaces an upstream's VM in the platform's VM list.
pub async fn list_upstream(platform: net::SocketAddr, spec: &plan::UpstreamSpec) {
    post(platform, "/control/vms", &upstream_entry(spec)).await;
}

/// Lists an upstream's VM as on-demand, so that it is never reclaimed.
pub async fn list_on_demand(platform: net::SocketAddr, spec: &plan::UpstreamSpec) {
    let entry = cloud::VmEntry { reclaimable: false, ..upstream_entry(spec) };
    post(platform, "/control/vms", &entry).await;
}

fn upstream_entry(spec: &plan::UpstreamSpec) -> cloud::VmEntry {
    let valid_id = "the harness's names are identifiers";
    cloud::VmEntry {
        id: spec.name.parse().expect(valid_id),
        zone: spec.zone.parse().expect(valid_id),
        class: "gpu-small".parse().expect(valid_id),
        reclaimable: true,
        price: quantity::MicroPrice::new(100_000),
        state: cloud::VmState::Live,
        role: cloud::VmRole::Upstream {
            pool: spec.pool.parse().expect(valid_id),
            address: spec.address,
        },
    }
}

/// Adds or replaces an entry VM in the platform's VM list.
pub async fn list_entry(platform: net::SocketAddr, spec: &plan::EntrySpec) {
    let valid_id = "the harness's names are identifiers";
    let entry = cloud::VmEntry {
        id: spec.name.parse().expect(valid_id),
        zone: spec.zone.parse().expect(valid_id),
        class: "entry-small".parse().expect(valid_id),
        reclaimable: true,
        price: quantity::MicroPrice::new(100_000),
        state: cloud::VmState::Live,
        role: cloud::VmRole::Entry {
            http_address: spec.http,
            peer_address: spec.peer,
            control_address: spec.control,
        },
    };
    post(platform, "/control/vms", &entry).await;
}

/// Replaces the VM offers of the platform.
pub async fn set_offers(platform: net::SocketAddr, offers: &[cloud::VmOffer]) {
    post(platform, "/control/offers", &offers).await;
}

/// Adds the address of a running process that becomes the upstream of a started VM.
pub async fn add_spare(platform: net::SocketAddr, spare: &fleet::SpareAddress) {
    post(platform, "/control/spares", spare).await;
}

/// Returns the platform's VM list.
pub async fn list_vms(platform: net::SocketAddr) -> Vec<cloud::VmEntry> {
    get(platform, "/vms").await.expect("the stand-in platform responds")
}

/// Returns a row of the table, or `None` if the row doesn't exist.
pub async fn table_row(platform: net::SocketAddr, key: &str) -> Option<table::TableRow> {
    let row: Option<_> = get(platform, &format!("/table/row?key={key}")).await;
    row.expect("the stand-in platform responds")
}

/// Returns the counts of a service, or `None` if the service doesn't respond.
pub async fn service_counts(address: net::SocketAddr) -> Option<service_wire::ServiceCounts> {
    get(address, "/control/counts").await
}

/// Returns the counts of an engine, or `None` if the engine doesn't respond.
pub async fn engine_counts(address: net::SocketAddr) -> Option<engine_wire::EngineCounts> {
    get(address, "/control/counts").await
}

/// Returns the counts of the platform.
pub async fn platform_counts(address: net::SocketAddr) -> control::PlatformCounts {
    get(address, "/control/counts").await.expect("the stand-in platform responds")
}

/// Reads a JSON body, or returns `None` if there is no response.
pub async fn get<A: de::DeserializeOwned>(address: net::SocketAddr, path: &str) -> Option<A> {
    let url = client::url(address, path).expect("the path is valid");
    let request = Request::new(Method::Get, url);
    let mut response = client::send(address, request, TIMEOUTS).await.ok()?;
    response.body_json().await.ok()
}

/// Reads a text body, or returns `None` if there is no response.
pub async fn get_text(address: net::SocketAddr, path: &str) -> Option<String> {
    let url = client::url(address, path).expect("the path is valid");
    let request = Request::new(Method::Get, url);
    let mut response = client::send(address, request, TIMEOUTS).await.ok()?;
    response.body_string().await.ok()
}

/// Returns the HTTP status of a path, or `None` if there is no response.
pub async fn status_of(address: net::SocketAddr, path: &str) -> Option<u16> {
    let url = client::url(address, path).expect("the path is valid");
    let response = client::send(address, Request::new(Method::Get, url), TIMEOUTS).await.ok()?;
    Some(u16::from(response.status()))
}

async fn post<T: Serialize>(address: net::SocketAddr, path: &str, body: &T) {
    let url = client::url(address, path).expect("the path is valid");
    let mut request = Request::new(Method::Post, url);
    request.set_body(serde_json::to_string(body).expect("control requests serialize to JSON"));
    let response = client::send(address, request, TIMEOUTS).await.expect("the stand-in responds");
    assert!(response.status().is_success(), "{path} refused with {}", response.status());
}
