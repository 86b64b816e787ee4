//! Settings of the stand-in service.

use std::net;

use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_settings::load;
use samphiremoor_standin::program;
use serde::Deserialize;

/// The settings file.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// The replica's name.
    pub id: id::ReplicaId,
    /// Where it serves.
    pub listen: net::SocketAddr,
    /// Time that a call takes; its effect is in the middle of it.
    #[serde(default)]
    pub latency: time::Millis,
    /// Calls take up to this much longer.
    #[serde(default)]
    pub latency_spread: time::Millis,
}

impl load::CheckedSettings for ServiceSettings {
    fn check(&self) -> Result<(), load::ValueError> {
        program::check_loopback("listen", self.listen)
    }
}
