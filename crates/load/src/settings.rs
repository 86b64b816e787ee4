//! Settings of the load tool.

use std::collections;
use std::net;
use std::path;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_settings::load;
use serde::Deserialize;

/// The settings file.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadSettings {
    /// Folder of the deployment: its records, its prices, its workload.
    pub deployment: path::PathBuf,
    /// Where entry daemons serve callers.
    pub entries: Vec<net::SocketAddr>,
    /// Time in which calls arrive.
    pub length_ms: time::Millis,
    /// Factor on every rate of the workload.
    pub rate_factor: f64,
    /// Seed of the arrivals and of the choice of entry daemons.
    pub seed: u64,
    /// Calls after which no more are sent.
    pub max_calls: usize,
    /// Calls that may be in progress; further ones are counted and not sent.
    pub max_in_progress: usize,
    /// Tries of one call, refused ones included.
    pub max_tries: u32,
    /// Level of the log.
    pub log: String,
    /// Files with the workspaces' keys.
    pub keys: collections::BTreeMap<id::WorkspaceId, path::PathBuf>,
    /// Stand-in engines whose token counts and prices are reported.
    #[serde(default)]
    pub engines: Vec<EngineSettings>,
    /// Faults of stand-ins.
    #[serde(default)]
    pub faults: Vec<FaultSettings>,
}

/// One stand-in engine.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// Where it serves.
    pub address: net::SocketAddr,
    /// Price of its VM.
    pub price: quantity::MicroPrice,
}

/// One order to a stand-in.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSettings {
    /// Time since the start.
    pub at_ms: time::Millis,
    /// Where the stand-in serves.
    pub address: net::SocketAddr,
    /// Path of its control, such as `/control/faults`.
    pub path: String,
    /// The order, in JSON.
    pub body: String,
}

/// Longest run.
const MAX_LENGTH: time::Millis = time::Millis::new(3_600_000);
/// Greatest number of calls in progress.
const MAX_IN_PROGRESS: usize = 10_000;

impl load::CheckedSettings for LoadSettings {
    fn check(&self) -> Result<(), load::ValueError> {
        check_that(!self.entries.is_empty(), "entries", "no entry daemon", "name at least one")?;
        check_that(
            self.length_ms > time::Millis::new(0) && self.length_ms <= MAX_LENGTH,
            "length_ms",
            "out of bounds",
            "set from 1 to 3600000",
        )?;
        let has_rate = self.rate_factor > 0.0 && self.rate_factor <= 1_000.0;
        check_that(has_rate, "rate_factor", "out of bounds", "set above 0, at most 1000")?;
        check_that(self.max_calls > 0, "max_calls", "must not be zero", "set at least 1")?;
        check_that(
            (1..=MAX_IN_PROGRESS).contains(&self.max_in_progress),
            "max_in_progress",
            "out of bounds",
            "set from 1 to 10000",
        )?;
        check_that(self.max_tries > 0, "max_tries", "must not be zero", "set at least 1")?;
        let is_control = |fault: &FaultSettings| {
            fault.path.starts_with("/control/") && fault.address.ip().is_loopback()
        };
        check_that(
            self.faults.iter().all(is_control),
            "faults",
            "an order goes elsewhere than to a stand-in's control on loopback",
            "name a loopback address and a path below /control/",
        )
    }
}

fn check_that(
    holds: bool,
    key: &'static str,
    problem: &str,
    remedy: &str,
) -> Result<(), load::ValueError> {
    if holds {
        return Ok(());
    }
    Err(load::ValueError { key, problem: problem.to_owned(), remedy: remedy.to_owned() })
}
