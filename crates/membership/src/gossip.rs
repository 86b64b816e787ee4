//! Data that daemons exchange by gossip.

use std::net;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_records::set;
use samphiremoor_view::zone;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

/// One update in a gossip message.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum GossipUpdate {
    /// Status of a daemon.
    Daemon(DaemonInfo),
    /// Status of the VM of an upstream.
    Upstream(UpstreamInfo),
    /// Result of polling an upstream.
    Report(PollReport),
}

/// State of one incarnation of a daemon, and whether it is reachable.
///
/// The order is the precedence: of two statuses, the greater one wins.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct DaemonStatus {
    /// Incarnation of the daemon. The daemon raises it to refute that it is suspected or gone.
    pub incarnation: quantity::Incarnation,
    /// State of the daemon within its incarnation.
    pub state: zone::UpstreamState,
    /// Reason to suspect that the daemon does not run.
    pub suspicion: DaemonSuspicion,
}

/// Reason to suspect that a daemon does not run. The order is the precedence.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub enum DaemonSuspicion {
    /// The daemon is not suspected.
    None,
    /// No peer reaches the daemon. It may still run behind a network partition.
    Unreachable,
    /// No peer reaches the daemon, or its VM is leaving, and the platform no longer lists the VM.
    Unlisted,
}

/// Identity, addresses and status of a daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DaemonInfo {
    /// Id of the daemon, equal to the id of its VM.
    pub id: id::DaemonId,
    /// Id of the entry daemon on the VM. The platform's VM list does not contain this id.
    pub entry: id::DaemonId,
    /// VM that the daemon runs on.
    pub vm: id::VmId,
    /// Availability zone of the daemon.
    pub zone: id::ZoneId,
    /// Address at which the entry daemon serves callers.
    pub http_address: net::SocketAddr,
    /// Address at which the entry daemon serves other entry daemons.
    pub peer_address: net::SocketAddr,
    /// Address at which the control thread serves other control threads.
    pub control_address: net::SocketAddr,
    /// Status of the daemon.
    pub status: DaemonStatus,
}

/// State of one incarnation of an upstream. The order is the precedence.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct UpstreamStatus {
    /// Incarnation of the upstream.
    pub incarnation: quantity::Incarnation,
    /// State of the upstream within its incarnation.
    pub state: zone::UpstreamState,
}

/// Identity, address and status of an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct UpstreamInfo {
    /// VM that the upstream runs on.
    pub vm: id::VmId,
    /// Availability zone of the upstream.
    pub zone: id::ZoneId,
    /// Pool that the upstream belongs to.
    pub pool: id::RecordId,
    /// Class of the VM.
    pub class: id::VmClass,
    /// Address at which the upstream serves requests.
    pub address: net::SocketAddr,
    /// Price of the VM.
    pub price: quantity::MicroPrice,
    /// Whether the cloud may reclaim the VM.
    pub reclaimable: bool,
    /// Status of the upstream.
    pub status: UpstreamStatus,
}

/// Version of a poll report. It orders the reports of one daemon, including those from before a
/// restart.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct ReportVersion {
    /// Incarnation of the reporting daemon.
    pub incarnation: quantity::Incarnation,
    /// Serial number within the incarnation.
    pub serial: u64,
}

/// Result of a poll, with its poller.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PollReport {
    /// VM of the polled upstream.
    pub vm: id::VmId,
    /// Daemon that polled the upstream.
    pub poller: id::DaemonId,
    /// Version of the report.
    pub version: ReportVersion,
    /// Result of the poll.
    pub result: PollResult,
}

/// Result of polling an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum PollResult {
    /// The upstream did not respond in time.
    NoResponse,
    /// The upstream is not ready for requests.
    NotReady,
    /// The upstream finishes its requests and accepts no new ones.
    Draining {
        /// Load of the upstream.
        load: QuantizedLoad,
    },
    /// The upstream is ready for requests.
    Ready {
        /// Models that the upstream has loaded.
        models: SmallVec<[set::LoadedModel; 2]>,
        /// Load of the upstream.
        load: QuantizedLoad,
    },
}

/// Load quantized to logarithmic steps, so that small changes cause no gossip.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct QuantizedLoad {
    /// Step of the number of requests in the batch.
    pub running: u8,
    /// Step of the number of queued requests.
    pub queued: u8,
    /// Step of the number of queued prompt tokens.
    pub queued_tokens: u8,
}

impl QuantizedLoad {
    /// Quantizes a load report.
    pub fn from_report(load: &zone::LoadReport) -> Self {
        QuantizedLoad {
            running: quantize(u64::from(load.running)),
            queued: quantize(u64::from(load.queued)),
            queued_tokens: quantize(load.queued_tokens.get()),
        }
    }

    /// Returns a load report with the middle values of the steps. Its age is left at the default
    /// because it is not part of the quantized load.
    pub fn to_report(self) -> zone::LoadReport {
        zone::LoadReport {
            running: u32::try_from(dequantize(self.running)).unwrap_or(u32::MAX),
            queued: u32::try_from(dequantize(self.queued)).unwrap_or(u32::MAX),
            queued_tokens: quantity::TokenCount::new(dequantize(self.queued_tokens)),
            ..zone::LoadReport::default()
        }
    }
}

/// Load values below this limit are quantized without loss.
const EXACT_LIMIT: u64 = 4;

/// Returns the step of a value. Values below [`EXACT_LIMIT`] are exact; above, each doubling has
/// two steps.
fn quantize(value: u64) -> u8 {
    if value < EXACT_LIMIT {
        return u8::try_from(value).unwrap_or(u8::MAX);
    }
    let exponent = value.ilog2();
    let half_index = (value >> (exponent - 1)) & 1;
    u8::try_from(u64::from(exponent) * 2 + half_index).unwrap_or(u8::MAX)
}

/// Returns a value near the middle of the step: its lowest value plus a quarter of its power of
/// two.
fn dequantize(step: u8) -> u64 {
    if u64::from(step) < EXACT_LIMIT {
        return u64::from(step);
    }
    let exponent = u32::from(step / 2).min(u64::BITS - 2);
    let lowest_value = (1_u64 << exponent) + u64::from(step % 2) * (1_u64 << (exponent - 1));
    lowest_value + (1_u64 << (exponent - 1)) / 2
}

// Approximate postcard-encoded sizes without strings.
const DAEMON_INFO_BYTES: usize = 40;
const UPSTREAM_INFO_BYTES: usize = 28;
const REPORT_BYTES: usize = 18;
const MODEL_BYTES: usize = 4;

impl GossipUpdate {
    /// Returns the key under which a later update replaces an earlier one.
    pub fn key(&self) -> UpdateKey {
        match self {
            GossipUpdate::Daemon(info) => UpdateKey::Daemon(info.id.clone()),
            GossipUpdate::Upstream(info) => UpdateKey::Upstream(info.vm.clone()),
            GossipUpdate::Report(report) => {
                UpdateKey::Report(report.vm.clone(), report.poller.clone())
            }
        }
    }

    /// Estimates the encoded size in bytes.
    pub fn estimated_bytes(&self) -> usize {
        match self {
            GossipUpdate::Daemon(info) => {
                DAEMON_INFO_BYTES
                    + info.id.as_str().len()
                    + info.entry.as_str().len()
                    + info.vm.as_str().len()
                    + info.zone.as_str().len()
            }
            GossipUpdate::Upstream(info) => {
                UPSTREAM_INFO_BYTES
                    + info.vm.as_str().len()
                    + info.zone.as_str().len()
                    + info.pool.as_str().len()
                    + info.class.as_str().len()
            }
            GossipUpdate::Report(report) => {
                let models = match &report.result {
                    PollResult::Ready { models, .. } => models.iter().map(model_bytes).sum(),
                    _ => 0,
                };
                REPORT_BYTES + report.vm.as_str().len() + report.poller.as_str().len() + models
            }
        }
    }
}

fn model_bytes(loaded: &set::LoadedModel) -> usize {
    let adapter = loaded.adapter.as_ref().map_or(0, |adapter| adapter.as_str().len());
    MODEL_BYTES + loaded.model.as_str().len() + loaded.version.as_str().len() + adapter
}

/// Subject of an update. A later update on the same subject replaces an earlier one.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum UpdateKey {
    /// Status of a daemon.
    Daemon(id::DaemonId),
    /// Status of the VM of an upstream.
    Upstream(id::VmId),
    /// Result of polling an upstream, by VM and poller.
    Report(id::VmId, id::DaemonId),
}
