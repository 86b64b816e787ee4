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

/// The settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address that is never cut off.
    pub listen: net::SocketAddr,
    /// An address for each availability zone, which can be cut off.
    #[serde(default)]
    pub zone_listen: collections::BTreeMap<id::ZoneId, net::SocketAddr>,
    /// File with the bearer token that each call must have; none is asked for where left out.
    #[serde(default)]
    pub token_file: Option<path::PathBuf>,
    /// Time by which the VM list is behind.
    #[serde(default)]
    pub list_lag: time::Millis,
    /// Rate limits.
    #[serde(default)]
    pub limits: RateSettings,
    /// VMs at the start.
    #[serde(default)]
    pub vms: Vec<cloud::VmEntry>,
    /// Offers at the start.
    #[serde(default)]
    pub offers: Vec<cloud::VmOffer>,
    /// Addresses of processes that wait to become VMs.
    #[serde(default)]
    pub spares: Vec<fleet::SpareAddress>,
}

/// Rates that the platform admits.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RateSettings {
    /// Transactions of the table a second.
    pub writes_per_second: u64,
    /// Reads and scans of the table a second.
    pub reads_per_second: u64,
    /// Bytes of weights a second.
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
    /// The token that each call must have.
    ///
    /// # Errors
    ///
    /// Refuses a token file that can't be read or is empty.
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
            remedy: "leave the key out to ask for no token".to_owned(),
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
        problem: "a rate of zero admits nothing".to_owned(),
        remedy: "set at least 1, and order an outage through /control/faults".to_owned(),
    })
}
