//! Settings of the stand-in service.

use std::net;

use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_settings::load;
use samphiremoor_standin::program;
use serde::Deserialize;

/// Contents of the settings file.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Replica id of the service.
    pub id: id::ReplicaId,
    /// Address that the service listens on.
    pub listen: net::SocketAddr,
    /// Processing time of a call, in milliseconds. The call takes effect halfway through.
    #[serde(default)]
    pub latency: time::Millis,
    /// Maximum additional processing time, in milliseconds.
    #[serde(default)]
    pub latency_spread: time::Millis,
}

impl load::CheckedSettings for ServiceSettings {
    fn check(&self) -> Result<(), load::ValueError> {
        program::check_loopback("listen", self.listen)
    }
}
