//! Settings of the gateway daemon.

use std::net::SocketAddr;

use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_fleet::quota;
use samphiremoor_settings::load;
use serde::Deserialize;

/// Settings of the gateway daemon.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Name of this daemon.
    pub daemon: id::DaemonId,
    /// Its availability zone.
    pub availability_zone: id::ZoneId,
    /// Log filter, as of `RUST_LOG`.
    pub log: String,
    /// Addresses that the daemon listens on.
    pub listen: ListenSettings,
    /// Services of the platform.
    pub platform: PlatformSettings,
    /// Times that the deployment sets.
    pub times: TimeSettings,
    /// Limits that all daemons keep together.
    pub shared: SharedSettings,
}

/// Addresses that the daemon listens on.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Callers.
    pub callers: SocketAddr,
    /// Questions whether the daemon is ready.
    pub ready: SocketAddr,
    /// Other daemons.
    pub peers: SocketAddr,
    /// Metrics.
    pub metrics: SocketAddr,
}

/// Services of the platform.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The transactional table.
    pub table: SocketAddr,
    /// The cloud.
    pub cloud: SocketAddr,
    /// Whether the cloud takes usage reports.
    pub reports_usage: bool,
    /// Whether the cloud takes orders for replicas.
    pub orders_replicas: bool,
}

/// Times that the deployment sets.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimeSettings {
    /// Time from the signal to stop until the process is killed.
    pub stop_ms: time::Millis,
    /// Length of the lease on duties.
    pub lease_ms: time::Millis,
    /// Length of the windows of usage reports.
    pub usage_window_ms: time::Millis,
    /// Time after a window's end in which its report is due.
    pub usage_due_ms: time::Millis,
}

/// Limits that all daemons keep together.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SharedSettings {
    /// Sends beyond the first for each request of a service.
    pub retry_ratio: f64,
    /// Sends beyond the first that may come on top, in a window of some seconds.
    pub retry_slack: u32,
    /// Length of the windows in which the limits on workspaces are judged.
    #[serde(default = "default_quota_window")]
    pub quota_window_ms: time::Millis,
    /// Part of a limit that may be admitted on top in a window.
    #[serde(default)]
    pub quota_over: f64,
    /// Units that may be admitted on top besides.
    #[serde(default)]
    pub quota_slack: f64,
    /// Memory of the process, in megabytes.
    pub memory_mb: u64,
}

fn default_quota_window() -> time::Millis {
    quota::QuotaTolerance::default().window
}

impl SharedSettings {
    /// What may be admitted above a limit.
    pub fn quota_tolerance(&self) -> quota::QuotaTolerance {
        let SharedSettings { quota_window_ms: window, quota_over: over, .. } = *self;
        quota::QuotaTolerance { window, excess_ratio: over, excess_units: self.quota_slack }
    }
}

impl load::CheckedSettings for GatewaySettings {
    fn check(&self) -> Result<(), load::ValueError> {
        let fault = |key, problem: &str, remedy: &str| {
            Err(load::ValueError { key, problem: problem.to_owned(), remedy: remedy.to_owned() })
        };
        if self.times.lease_ms.get() < 500 {
            return fault("times.lease_ms", "the lease is too short to renew", "set 500 or more");
        }
        if self.times.usage_window_ms.get() == 0 {
            return fault("times.usage_window_ms", "windows have no length", "set 1000 or more");
        }
        if !(0.0..=10.0).contains(&self.shared.retry_ratio) {
            return fault("shared.retry_ratio", "the ratio is out of range", "set 0.0 to 10.0");
        }
        if self.shared.quota_window_ms.get() == 0 {
            return fault("shared.quota_window_ms", "windows have no length", "set 1000 or more");
        }
        if !(0.0..=10.0).contains(&self.shared.quota_over) {
            return fault("shared.quota_over", "the part is out of range", "set 0.0 to 10.0");
        }
        if self.shared.quota_slack.is_nan() || self.shared.quota_slack < 0.0 {
            return fault("shared.quota_slack", "the slack is below 0", "set 0 or more");
        }
        if self.shared.memory_mb < 32 {
            return fault("shared.memory_mb", "the memory is too small", "set 32 or more");
        }
        if self.listen.callers == self.listen.peers {
            return fault("listen.peers", "callers have this address", "set another port");
        }
        Ok(())
    }
}
