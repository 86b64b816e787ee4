//! Settings of the gateway daemon.

use std::net::SocketAddr;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_fleet::body_budget;
use samphiremoor_fleet::quota;
use samphiremoor_fleet::read_budget;
use samphiremoor_fleet::rollout;
use samphiremoor_settings::load;
use samphiremoor_settings::number;
use serde::Deserialize;

/// Settings of the gateway daemon.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Name of this daemon.
    pub daemon: id::DaemonId,
    /// Availability zone of this daemon.
    pub availability_zone: id::ZoneId,
    /// Log filter in the syntax of `RUST_LOG`.
    pub log: String,
    /// Addresses that the daemon listens on.
    pub listen: ListenSettings,
    /// Addresses and abilities of the platform.
    pub platform: PlatformSettings,
    /// Times that depend on the deployment.
    pub times: TimeSettings,
    /// Limits that apply to all daemons together, and the process's memory.
    pub shared: SharedSettings,
}

/// Addresses that the daemon listens on.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for readiness probes.
    pub ready: SocketAddr,
    /// Address for other daemons, over UDP and TCP.
    pub peers: SocketAddr,
    /// Address for metric scrapes.
    pub metrics: SocketAddr,
}

/// Addresses and abilities of the platform.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the transactional table.
    pub table: SocketAddr,
    /// Address of the cloud.
    pub cloud: SocketAddr,
    /// Whether the cloud accepts usage reports.
    pub reports_usage: bool,
    /// Whether the cloud accepts orders for replicas.
    pub orders_replicas: bool,
}

/// Times that depend on the deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimeSettings {
    /// Time from the stop signal until the process is killed.
    #[serde(rename = "stop_s", deserialize_with = "number::seconds", default = "default_stop")]
    pub stop: time::Millis,
    /// Duration of the lease on the duties.
    #[serde(rename = "lease_ms", deserialize_with = "number::millis", default = "default_lease")]
    pub lease: time::Millis,
    /// Time within which all daemons must know that a replica leaves.
    #[serde(
        rename = "departure_ms",
        deserialize_with = "number::millis",
        default = "default_change_time"
    )]
    pub departure: time::Millis,
    /// Time within which a change of the policy must be in force.
    #[serde(
        rename = "policy_ms",
        deserialize_with = "number::millis",
        default = "default_change_time"
    )]
    pub policy: time::Millis,
    /// Length of the windows of usage reports.
    #[serde(
        rename = "usage_window_s",
        deserialize_with = "number::seconds",
        default = "default_usage_window"
    )]
    pub usage_window: time::Millis,
    /// Time after a window's end by which its report is due.
    #[serde(
        rename = "usage_due_s",
        deserialize_with = "number::seconds",
        default = "default_usage_due"
    )]
    pub usage_due: time::Millis,
}

impl TimeSettings {
    /// Returns the time within which all daemons must know that a replica leaves.
    pub fn departure_budget(&self) -> read_budget::ReadBudget {
        read_budget::ReadBudget::new(self.departure)
    }

    /// Returns the time within which a change of the policy must be in force.
    pub fn policy_budget(&self) -> read_budget::ReadBudget {
        read_budget::ReadBudget::new(self.policy)
    }
}

/// Limits that apply to all daemons together, and the process's memory.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SharedSettings {
    /// Retries allowed per request of a service.
    #[serde(default = "default_retry_ratio")]
    pub retry_ratio: f64,
    /// Retries allowed on top of the ratio within a window of some seconds.
    #[serde(default)]
    pub retry_slack: f64,
    /// Length of the windows over which the workspaces' rate limits are judged.
    #[serde(
        rename = "quota_window_s",
        deserialize_with = "number::seconds",
        default = "default_quota_window"
    )]
    pub quota_window: time::Millis,
    /// Fraction of a limit that may be admitted on top of it in a window.
    #[serde(default)]
    pub quota_over: f64,
    /// Units that may be admitted in a window on top of the limit and the fraction.
    #[serde(default)]
    pub quota_slack: f64,
    /// Fraction of a service's requests during a rollout that a bad version may get.
    #[serde(default = "default_expose_share")]
    pub expose_share: f64,
    /// Requests that a bad version may get on top of the fraction.
    #[serde(default = "default_expose_slack")]
    pub expose_slack: f64,
    /// Time after the 50th bad response of a version after which it gets no more requests.
    #[serde(
        rename = "rollback_ms",
        deserialize_with = "number::millis",
        default = "default_rollback"
    )]
    pub rollback: time::Millis,
    /// Memory of the process, in mebibytes.
    #[serde(deserialize_with = "number::size")]
    pub memory_mb: u64,
    /// File descriptors that the process may open; `None` for the limit of the system.
    #[serde(default)]
    pub max_fds: Option<u64>,
}

fn default_stop() -> time::Millis {
    time::Millis::new(8_000)
}

fn default_lease() -> time::Millis {
    time::Millis::new(3_000)
}

fn default_change_time() -> time::Millis {
    time::Millis::new(2_000)
}

fn default_usage_window() -> time::Millis {
    time::Millis::new(5_000)
}

fn default_usage_due() -> time::Millis {
    time::Millis::new(10_000)
}

fn default_retry_ratio() -> f64 {
    0.2
}

fn default_expose_share() -> f64 {
    0.1
}

fn default_expose_slack() -> f64 {
    50.0
}

fn default_rollback() -> time::Millis {
    time::Millis::new(5_000)
}

fn default_quota_window() -> time::Millis {
    quota::QuotaTolerance::default().window
}

/// Divisor of the process's memory that gives the limit for the bodies of requests in progress.
const BODY_MEMORY_DIVISOR: u64 = 4;
/// Memory that the system may use for the unread bytes of a caller's connection: twice the receive
/// buffer that the daemon sets.
const CONNECTION_BYTES: u64 = 64 * 1024;
/// Divisor of the process's memory that gives the limit for the callers' open connections.
const CONNECTION_MEMORY_DIVISOR: u64 = 4;
/// Maximum number of descriptors that are kept for peers, the table and files.
const OWN_DESCRIPTORS: u64 = 200;

impl SharedSettings {
    /// Returns the limits on what callers' connections hold together. `system_fds` is the limit of
    /// the system on the descriptors of the process.
    ///
    /// Half of the descriptors that are left are for connections to replicas, since each request in
    /// progress uses one.
    pub fn budget_limits(&self, system_fds: Option<u64>) -> body_budget::BudgetLimits {
        let memory = self.memory_mb.saturating_mul(1024 * 1024);
        let fds = system_fds.unwrap_or(u64::MAX).min(self.max_fds.unwrap_or(u64::MAX));
        let by_descriptors = (fds - OWN_DESCRIPTORS.min(fds / 4)) / 2;
        let by_memory = memory / CONNECTION_MEMORY_DIVISOR / CONNECTION_BYTES;
        body_budget::BudgetLimits {
            bytes: quantity::ByteCount::new(memory / BODY_MEMORY_DIVISOR),
            connections: usize::try_from(by_descriptors.min(by_memory)).unwrap_or(usize::MAX),
        }
    }

    /// Returns how far a new version may be exposed in a rollout.
    pub fn exposure_limits(&self) -> rollout::ExposureLimits {
        rollout::ExposureLimits {
            share: self.expose_share,
            slack: self.expose_slack,
            rollback: self.rollback,
        }
    }

    /// Returns how far the workspaces' rate limits may be exceeded.
    pub fn quota_tolerance(&self) -> quota::QuotaTolerance {
        let SharedSettings { quota_window: window, quota_over: over, .. } = *self;
        quota::QuotaTolerance { window, excess_ratio: over, excess_units: self.quota_slack }
    }
}

impl load::CheckedSettings for GatewaySettings {
    fn check(&self) -> Result<(), load::ValueError> {
        let reject = |key, problem: &str, remedy: &str| {
            Err(load::ValueError { key, problem: problem.to_owned(), remedy: remedy.to_owned() })
        };
        if self.times.lease.get() < 500 {
            return reject("times.lease_ms", "the lease is too short to renew", "set 500 or more");
        }
        for (key, length) in
            [("times.departure_ms", self.times.departure), ("times.policy_ms", self.times.policy)]
        {
            if length.get() < 1_000 {
                return reject(key, "the time is too short to read the table", "set 1000 or more");
            }
        }
        if self.times.usage_window.get() == 0 {
            return reject("times.usage_window_s", "the window length is zero", "set 1 or more");
        }
        if !(0.0..=10.0).contains(&self.shared.retry_ratio) {
            return reject("shared.retry_ratio", "the ratio is out of range", "set 0.0 to 10.0");
        }
        if !self.shared.retry_slack.is_finite() || self.shared.retry_slack < 0.0 {
            return reject("shared.retry_slack", "the slack is below 0", "set 0 or more");
        }
        if self.shared.quota_window.get() == 0 {
            return reject("shared.quota_window_s", "the window length is zero", "set 1 or more");
        }
        if !(0.0..=10.0).contains(&self.shared.quota_over) {
            return reject("shared.quota_over", "the fraction is out of range", "set 0.0 to 10.0");
        }
        if !self.shared.quota_slack.is_finite() || self.shared.quota_slack < 0.0 {
            return reject("shared.quota_slack", "the slack is below 0", "set 0 or more");
        }
        if !(0.0..=1.0).contains(&self.shared.expose_share) {
            return reject("shared.expose_share", "the share is out of range", "set 0.0 to 1.0");
        }
        if !self.shared.expose_slack.is_finite() || self.shared.expose_slack < 0.0 {
            return reject("shared.expose_slack", "the slack is below 0", "set 0 or more");
        }
        if self.shared.memory_mb < 32 {
            return reject("shared.memory_mb", "the memory is too small", "set 32 or more");
        }
        if self.shared.max_fds.is_some_and(|count| count < 64) {
            return reject("shared.max_fds", "the descriptors are too few", "set 64 or more");
        }
        if self.listen.callers == self.listen.peers {
            return reject(
                "listen.peers",
                "the address is already used for callers",
                "set another port",
            );
        }
        Ok(())
    }
}
