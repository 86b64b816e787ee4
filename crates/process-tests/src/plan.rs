//! Composition of a cluster and the addresses of its VMs.

use std::net;

use crate::records;

/// Composition of a cluster. The counts apply to each availability zone.
#[derive(Clone, Debug)]
pub struct ClusterPlan {
    /// Names of the availability zones.
    pub zones: Vec<String>,
    /// Number of entry VMs.
    pub entries: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of plain services.
    pub services: usize,
    /// Duration of an engine's decode step with one sequence, in microseconds.
    pub decode_base_us: u64,
    /// Processing time of a plain service, in milliseconds.
    pub service_latency_ms: u64,
    /// Number of shards of the idempotency keys.
    pub shards: u16,
    /// Source of the entry daemons' view.
    pub view: ViewSource,
    /// Retention time of completed calls, in milliseconds; `None` uses the daemons' default.
    pub retention_ms: Option<u64>,
    /// Minimum number of tokens for the transfer of a KV cache; `None` uses the daemons' default.
    pub kv_transfer_min_tokens: Option<u64>,
    /// Whether VMs of different zones reach each other through links that can be blocked.
    pub has_links: bool,
}

/// Source of the entry daemons' view.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ViewSource {
    /// View file that the harness writes. No control threads run.
    File,
    /// Control threads of the daemons.
    Control,
}

impl Default for ClusterPlan {
    fn default() -> Self {
        ClusterPlan {
            zones: vec!["north".to_owned(), "south".to_owned()],
            entries: 1,
            engines: 1,
            services: 1,
            decode_base_us: 5_000,
            service_latency_ms: 20,
            shards: 4,
            view: ViewSource::Control,
            retention_ms: None,
            kv_transfer_min_tokens: None,
            has_links: false,
        }
    }
}

/// Name and addresses of an entry VM.
#[derive(Clone, Debug)]
pub struct EntrySpec {
    /// Name of the VM and id of its daemon.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address for callers.
    pub http: net::SocketAddr,
    /// Address for other entry daemons.
    pub peer: net::SocketAddr,
    /// Address for other control threads and the operators' command-line tool.
    pub control: net::SocketAddr,
}

/// Name and address of an upstream's VM.
#[derive(Clone, Debug)]
pub struct UpstreamSpec {
    /// Name of the VM and id of its replica.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Id of the pool.
    pub pool: &'static str,
    /// Address that the upstream listens on.
    pub address: net::SocketAddr,
}

impl ClusterPlan {
    /// Returns the specs of the entry VMs, ordered by zone.
    pub fn entry_specs(&self) -> Vec<EntrySpec> {
        self.zone_vms("entry", self.entries)
            .map(|vm| EntrySpec {
                name: vm.name,
                zone: vm.zone,
                http: samphiremoor_testkit::free_address(),
                peer: samphiremoor_testkit::free_address(),
                control: samphiremoor_testkit::free_address(),
            })
            .collect()
    }

    /// Returns the specs of the engines, ordered by zone.
    pub fn engine_specs(&self) -> Vec<UpstreamSpec> {
        self.upstream_specs("engine", self.engines, records::ENGINE_POOL)
    }

    /// Returns the specs of the plain services, ordered by zone.
    pub fn service_specs(&self) -> Vec<UpstreamSpec> {
        self.upstream_specs("service", self.services, records::SERVICE_POOL)
    }

    fn upstream_specs(
        &self,
        kind: &'static str,
        count: usize,
        pool: &'static str,
    ) -> Vec<UpstreamSpec> {
        self.zone_vms(kind, count)
            .map(|vm| UpstreamSpec {
                name: vm.name,
                zone: vm.zone,
                pool,
                address: samphiremoor_testkit::free_address(),
            })
            .collect()
    }

    fn zone_vms(&self, kind: &'static str, count: usize) -> impl Iterator<Item = ZoneVm> {
        self.zones.iter().flat_map(move |zone| {
            (1..=count).map(move |number| ZoneVm {
                name: format!("{zone}-{kind}-{number}"),
                zone: zone.clone(),
            })
        })
    }
}

struct ZoneVm {
    name: String,
    zone: String,
}
