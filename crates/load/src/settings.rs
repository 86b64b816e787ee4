//! Settings of the load tool.

use std::collections;
use std::net;
use std::path;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_settings::load;
use serde::Deserialize;

/// Settings file of the load generator.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadSettings {
    /// Directory of the deployment, with its records, prices and workload.
    pub deployment: path::PathBuf,
    /// Addresses at which entry daemons serve callers.
    pub entries: Vec<net::SocketAddr>,
    /// Duration during which calls arrive.
    pub length_ms: time::Millis,
    /// Factor by which every rate of the workload is multiplied.
    pub rate_factor: f64,
    /// Seed for the arrivals and for the choice of entry daemons.
    pub seed: u64,
    /// Maximum number of calls in the run.
    pub max_calls: usize,
    /// Maximum number of calls in progress; calls beyond it are counted but not sent.
    pub max_in_progress: usize,
    /// Maximum number of attempts of one call, including refused attempts.
    pub max_tries: u32,
    /// Log filter.
    pub log: String,
    /// Key files by workspace.
    pub keys: collections::BTreeMap<id::WorkspaceId, path::PathBuf>,
    /// Stand-in engines whose token counts and prices are included in the report.
    #[serde(default)]
    pub engines: Vec<EngineSettings>,
    /// Faults to inject into stand-ins.
    #[serde(default)]
    pub faults: Vec<FaultSettings>,
}

/// A stand-in engine.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// Address of the engine.
    pub address: net::SocketAddr,
    /// Price of the engine's VM for each hour.
    pub price: quantity::MicroPrice,
}

/// A control request that injects a fault into a stand-in.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSettings {
    /// Time since the start of the run.
    pub at_ms: time::Millis,
    /// Address of the stand-in.
    pub address: net::SocketAddr,
    /// Path of the control request, such as `/control/faults`.
    pub path: String,
    /// JSON body of the control request.
    pub body: String,
}

/// Maximum value of `length_ms`.
const MAX_LENGTH: time::Millis = time::Millis::new(3_600_000);
/// Maximum value of `max_in_progress`.
const MAX_IN_PROGRESS: usize = 10_000;

impl load::CheckedSettings for LoadSettings {
    fn check(&self) -> Result<(), load::ValueError> {
        check(!self.entries.is_empty(), "entries", "no entry daemon", "list at least one")?;
        check(
            self.length_ms > time::Millis::new(0) && self.length_ms <= MAX_LENGTH,
            "length_ms",
            "out of bounds",
            "set from 1 to 3600000",
        )?;
        let is_rate_valid = self.rate_factor > 0.0 && self.rate_factor <= 1_000.0;
        check(is_rate_valid, "rate_factor", "out of bounds", "set above 0, at most 1000")?;
        check(self.max_calls > 0, "max_calls", "must not be zero", "set at least 1")?;
        check(
            (1..=MAX_IN_PROGRESS).contains(&self.max_in_progress),
            "max_in_progress",
            "out of bounds",
            "set from 1 to 10000",
        )?;
        check(self.max_tries > 0, "max_tries", "must not be zero", "set at least 1")?;
        let is_control_request = |fault: &FaultSettings| {
            fault.path.starts_with("/control/") && fault.address.ip().is_loopback()
        };
        check(
            self.faults.iter().all(is_control_request),
            "faults",
            "a fault does not address a stand-in's control API on loopback",
            "use a loopback address and a path below /control/",
        )
    }
}

fn check(
    is_valid: bool,
    key: &'static str,
    problem: &str,
    remedy: &str,
) -> Result<(), load::ValueError> {
    if is_valid {
        return Ok(());
    }
    Err(load::ValueError { key, problem: problem.to_owned(), remedy: remedy.to_owned() })
}
