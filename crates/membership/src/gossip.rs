//! What daemons tell one another.

use std::net;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_records::set;
use samphiremoor_view::zone;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

/// One piece of news.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum GossipUpdate {
    /// On a daemon.
    Daemon(DaemonInfo),
    /// On the VM of an upstream.
    Upstream(UpstreamInfo),
    /// On what an upstream answered.
    Report(PollReport),
}

/// Where a daemon is in one of its lives, and whether it answers.
///
/// Order is precedence: of two pieces of news the greater one holds.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct DaemonStatus {
    /// Its life. It raises the number to refute that it is suspected or gone.
    pub incarnation: quantity::Incarnation,
    /// Its state.
    pub state: zone::UpstreamState,
    /// Why it may not run.
    pub suspicion: DaemonSuspicion,
}

/// Why a daemon may not run. Order is precedence.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub enum DaemonSuspicion {
    /// No reason.
    None,
    /// Nobody reaches it; it may run behind a cut.
    Silent,
    /// Nobody reaches it, and its VM left the platform's list.
    Unlisted,
}

/// News on a daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DaemonInfo {
    /// The daemon, named as its VM.
    pub id: id::DaemonId,
    /// The entry daemon of the VM; the platform's list does not know its name.
    pub entry: id::DaemonId,
    /// Its VM.
    pub vm: id::VmId,
    /// Its availability zone.
    pub zone: id::ZoneId,
    /// Where the entry daemon serves callers.
    pub http_address: net::SocketAddr,
    /// Where the entry daemon answers other entry daemons.
    pub peer_address: net::SocketAddr,
    /// Where the control thread answers other control threads.
    pub control_address: net::SocketAddr,
    /// Its standing.
    pub status: DaemonStatus,
}

/// Where an upstream is in one of its lives. Order is precedence.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct UpstreamStatus {
    /// Its life.
    pub incarnation: quantity::Incarnation,
    /// Its state.
    pub state: zone::UpstreamState,
}

/// News on the VM of an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct UpstreamInfo {
    /// The VM.
    pub vm: id::VmId,
    /// Its availability zone.
    pub zone: id::ZoneId,
    /// Its pool.
    pub pool: id::RecordId,
    /// Class of the VM.
    pub class: id::VmClass,
    /// Where it serves.
    pub address: net::SocketAddr,
    /// Its price.
    pub price: quantity::MicroPrice,
    /// Whether the cloud may reclaim it.
    pub reclaimable: bool,
    /// Its standing.
    pub status: UpstreamStatus,
}

/// Number of a report: reports of one daemon order by it, over its restarts too.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct ReportNumber {
    /// Life of the daemon.
    pub incarnation: quantity::Incarnation,
    /// Number within its life.
    pub serial: u64,
}

/// What an upstream answered to a daemon that polls it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PollReport {
    /// The upstream's VM.
    pub vm: id::VmId,
    /// The daemon that polled.
    pub poller: id::DaemonId,
    /// Number of the report.
    pub number: ReportNumber,
    /// The answer.
    pub answer: PollResult,
}

/// An upstream's answer.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum PollResult {
    /// It did not answer.
    Silent,
    /// It is not ready for work.
    NotReady,
    /// It finishes its work and takes no new one.
    Draining {
        /// Its load.
        load: LoadLevel,
    },
    /// It is ready.
    Ready {
        /// Models that it has loaded.
        models: SmallVec<[set::LoadedModel; 2]>,
        /// Its load.
        load: LoadLevel,
    },
}

/// Load in steps, so that small changes are no news.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoadLevel {
    /// Step of the requests in the batch.
    pub running: u8,
    /// Step of the waiting requests.
    pub queued: u8,
    /// Step of the waiting prompt tokens.
    pub queued_tokens: u8,
}

impl LoadLevel {
    /// The steps of a load.
    pub fn of(load: &zone::LoadReport) -> Self {
        LoadLevel {
            running: step_of(u64::from(load.running)),
            queued: step_of(u64::from(load.queued)),
            queued_tokens: step_of(load.queued_tokens.get()),
        }
    }

    /// A load in the middle of the steps; its age is not known here.
    pub fn to_load(self) -> zone::LoadReport {
        zone::LoadReport {
            running: u32::try_from(value_of(self.running)).unwrap_or(u32::MAX),
            queued: u32::try_from(value_of(self.queued)).unwrap_or(u32::MAX),
            queued_tokens: quantity::TokenCount::new(value_of(self.queued_tokens)),
            ..zone::LoadReport::default()
        }
    }
}

/// Values below this one have a step each.
const EXACT_VALUES: u64 = 4;

/// 0 to 3 are exact; above, two steps for each doubling.
fn step_of(value: u64) -> u8 {
    if value < EXACT_VALUES {
        return u8::try_from(value).unwrap_or(u8::MAX);
    }
    let exponent = value.ilog2();
    let is_upper_half = (value >> (exponent - 1)) & 1;
    u8::try_from(u64::from(exponent) * 2 + is_upper_half).unwrap_or(u8::MAX)
}

/// The least value of the step and a quarter of it more, which is near its middle.
fn value_of(step: u8) -> u64 {
    if u64::from(step) < EXACT_VALUES {
        return u64::from(step);
    }
    let exponent = u32::from(step / 2).min(u64::BITS - 2);
    let least = (1_u64 << exponent) + u64::from(step % 2) * (1_u64 << (exponent - 1));
    least + (1_u64 << (exponent - 1)) / 2
}

/// Bytes of a piece of news beside its texts, about as postcard encodes it.
const DAEMON_NEWS_BYTES: usize = 40;
const UPSTREAM_NEWS_BYTES: usize = 28;
const REPORT_BYTES: usize = 18;
const MODEL_BYTES: usize = 4;

impl GossipUpdate {
    /// The subject, by which later news replace earlier ones.
    pub fn subject(&self) -> UpdateKey {
        match self {
            GossipUpdate::Daemon(news) => UpdateKey::Daemon(news.id.clone()),
            GossipUpdate::Upstream(news) => UpdateKey::Upstream(news.vm.clone()),
            GossipUpdate::Report(report) => {
                UpdateKey::Report(report.vm.clone(), report.poller.clone())
            }
        }
    }

    /// About the encoded size in bytes.
    pub fn wire_bytes(&self) -> usize {
        match self {
            GossipUpdate::Daemon(news) => {
                DAEMON_NEWS_BYTES
                    + news.id.as_str().len()
                    + news.entry.as_str().len()
                    + news.vm.as_str().len()
                    + news.zone.as_str().len()
            }
            GossipUpdate::Upstream(news) => {
                UPSTREAM_NEWS_BYTES
                    + news.vm.as_str().len()
                    + news.zone.as_str().len()
                    + news.pool.as_str().len()
                    + news.class.as_str().len()
            }
            GossipUpdate::Report(report) => {
                let models = match &report.answer {
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

/// What a piece of news is on.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum UpdateKey {
    /// A daemon.
    Daemon(id::DaemonId),
    /// The VM of an upstream.
    Upstream(id::VmId),
    /// What an upstream answered to a daemon.
    Report(id::VmId, id::DaemonId),
}
