//! Settings of the control thread, a table in the settings of its daemon.

use std::net;

use samphiremoor_base::time;
use samphiremoor_settings::load;
use serde::Deserialize;

/// Settings of the control thread.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Address at which other daemons and the command line reach the control thread.
    pub address: net::SocketAddr,
    /// Address to listen on, if it differs from `address`, for example behind address translation.
    #[serde(default)]
    pub listen: Option<net::SocketAddr>,
    /// Address at which others reach the daemon's listener for callers, if it differs from the
    /// listen address.
    #[serde(default)]
    pub http_address: Option<net::SocketAddr>,
    /// Address at which others reach the daemon's listener for peers, if it differs from the listen
    /// address.
    #[serde(default)]
    pub peer_address: Option<net::SocketAddr>,
    /// Control addresses to contact at startup, in case the platform's VM list cannot be read.
    #[serde(default)]
    pub seeds: Vec<net::SocketAddr>,
    /// Timeout of a request to a peer, in milliseconds.
    #[serde(default = "default_timeout")]
    pub timeout_ms: time::Millis,
    /// Maximum number of open connections to peers.
    #[serde(default = "default_max_links")]
    pub max_links: usize,
}

fn default_timeout() -> time::Millis {
    time::Millis::new(500)
}

fn default_max_links() -> usize {
    64
}

/// Maximum number of seeds.
const MAX_SEEDS: usize = 64;

impl ControlSettings {
    /// Returns the address to listen on for other daemons and the command line.
    pub fn listen_address(&self) -> net::SocketAddr {
        self.listen.unwrap_or(self.address)
    }
}

impl load::CheckedSettings for ControlSettings {
    fn check(&self) -> Result<(), load::ValueError> {
        if self.timeout_ms.get() == 0 {
            return Err(load::ValueError {
                key: "control.timeout_ms",
                problem: "0 leaves no time to respond".to_owned(),
                remedy: "give a time above 0, such as 500".to_owned(),
            });
        }
        if self.max_links == 0 {
            return Err(load::ValueError {
                key: "control.max_links",
                problem: "0 allows no connection".to_owned(),
                remedy: "give at least 1, such as 64".to_owned(),
            });
        }
        if self.seeds.len() > MAX_SEEDS {
            return Err(load::ValueError {
                key: "control.seeds",
                problem: format!("{} seeds", self.seeds.len()),
                remedy: format!("give at most {MAX_SEEDS}"),
            });
        }
        Ok(())
    }
}
