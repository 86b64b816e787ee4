//! Settings of the stand-in platform.

use std::collections;
use std::net;
use std::path;

use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_platform::cloud;
use samphiremoor_platform::fleet;
use samphiremoor_settings::load;
use samphiremoor_settings::secret;
use samphiremoor_standin::program;
use serde::Deserialize;

/// Contents of the settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Listening address whose callers are never cut off.
    pub listen: net::SocketAddr,
    /// Listening address of each availability zone; its callers can be cut off.
    #[serde(default)]
    pub zone_listen: collections::BTreeMap<id::ZoneId, net::SocketAddr>,
    /// File with the bearer token that each call must carry. Without a file, calls need no token.
    #[serde(default)]
    pub token_file: Option<path::PathBuf>,
    /// Delay after which a change is visible in the VM list, in milliseconds.
    #[serde(default)]
    pub list_lag: time::Millis,
    /// Rate limits.
    #[serde(default)]
    pub limits: RateSettings,
    /// VMs that exist at startup.
    #[serde(default)]
    pub vms: Vec<cloud::VmEntry>,
    /// VM offers at startup.
    #[serde(default)]
    pub offers: Vec<cloud::VmOffer>,
    /// Addresses of running processes that become the upstreams of started VMs.
    #[serde(default)]
    pub spares: Vec<fleet::SpareAddress>,
}

/// Rates that the platform admits.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RateSettings {
    /// Table transactions per second.
    pub writes_per_second: u64,
    /// Table reads and scans per second.
    pub reads_per_second: u64,
    /// Bandwidth of the weight store, in bytes per second.
    pub weight_bytes_per_second: u64,
}

impl Default for RateSettings {
    fn default() -> Self {
        RateSettings {
            writes_per_second: 400,
            reads_per_second: 2_000,
            weight_bytes_per_second: 2_000_000_000,
        }
    }
}

impl PlatformSettings {
    /// Returns the bearer token that each call must carry.
    ///
    /// # Errors
    ///
    /// Returns an error if the token file can't be read or is empty.
    pub fn token(&self) -> Result<Option<secret::SecretText>, secret::SecretError> {
        self.token_file.as_deref().map(secret::read).transpose()
    }
}

impl load::CheckedSettings for PlatformSettings {
    fn check(&self) -> Result<(), load::ValueError> {
        program::check_loopback("listen", self.listen)?;
        for address in self.zone_listen.values() {
            program::check_loopback("zone_listen", *address)?;
        }
        self.token().map_err(|cause| load::ValueError {
            key: "token_file",
            problem: cause.to_string(),
            remedy: "omit the key to accept calls without a token".to_owned(),
        })?;
        check_rate("limits.writes_per_second", self.limits.writes_per_second)?;
        check_rate("limits.reads_per_second", self.limits.reads_per_second)?;
        check_rate("limits.weight_bytes_per_second", self.limits.weight_bytes_per_second)
    }
}

fn check_rate(key: &'static str, rate: u64) -> Result<(), load::ValueError> {
    if rate > 0 {
        return Ok(());
    }
    Err(load::ValueError {
        key,
        problem: "a rate of zero admits no call".to_owned(),
        remedy: "set at least 1; inject an outage through /control/faults".to_owned(),
    })
}
