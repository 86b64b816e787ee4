//! Settings of the control daemon.

use std::net;

use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_platform_client::settings as platform_settings;
use samphiremoor_settings::load;
use serde::Deserialize;

/// The settings file.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// The VM, as the platform's list names it; the control daemon has its name too.
    pub vm: id::VmId,
    /// The entry daemon of the VM, as its own settings name it; the VM's name where left out.
    #[serde(default)]
    pub entry_daemon: Option<id::DaemonId>,
    /// Its availability zone.
    pub zone: id::ZoneId,
    /// Log filter.
    #[serde(default = "default_log")]
    pub log: String,
    /// Addresses of this VM.
    pub addresses: AddressSettings,
    /// The platform.
    pub platform: platform_settings::PlatformSettings,
    /// Other control daemons.
    #[serde(default)]
    pub peers: PeerSettings,
}

/// Addresses of this VM.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AddressSettings {
    /// Where this daemon answers other control daemons and the command line.
    pub control: net::SocketAddr,
    /// Where this daemon listens for them, where `control` is an address that leads there.
    #[serde(default)]
    pub control_listen: Option<net::SocketAddr>,
    /// Where this daemon answers the entry daemon of its VM.
    pub view: net::SocketAddr,
    /// Where this daemon serves `/healthz`, `/readyz` and `/metrics`.
    pub http: net::SocketAddr,
    /// Where the entry daemon serves callers.
    pub entry_http: net::SocketAddr,
    /// Where the entry daemon answers other entry daemons.
    pub entry_peer: net::SocketAddr,
}

/// Other control daemons.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeerSettings {
    /// Control addresses that are asked at the start, while the platform's list can't be read.
    pub seeds: Vec<net::SocketAddr>,
    /// Time in which a peer must answer.
    pub timeout_ms: time::Millis,
    /// Connections to peers that are kept open.
    pub max_links: usize,
}

impl Default for PeerSettings {
    fn default() -> Self {
        PeerSettings { seeds: Vec::new(), timeout_ms: time::Millis::new(500), max_links: 64 }
    }
}

fn default_log() -> String {
    "info".to_owned()
}

/// Seeds that are asked at the start.
const MAX_SEEDS: usize = 64;

impl load::CheckedSettings for ControlSettings {
    fn check(&self) -> Result<(), load::ValueError> {
        self.platform.check()?;
        let mut addresses = vec![
            ("addresses.control", self.addresses.control),
            ("addresses.view", self.addresses.view),
            ("addresses.http", self.addresses.http),
            ("addresses.entry_http", self.addresses.entry_http),
            ("addresses.entry_peer", self.addresses.entry_peer),
        ];
        let listen = self.addresses.control_listen;
        addresses.extend(listen.map(|address| ("addresses.control_listen", address)));
        for (index, (key, address)) in addresses.iter().enumerate() {
            if addresses[..index].iter().any(|(_, other)| other == address) {
                return Err(load::ValueError {
                    key,
                    problem: format!("{address} is used twice"),
                    remedy: "give each address a port of its own".to_owned(),
                });
            }
        }
        if self.peers.timeout_ms.get() == 0 {
            return Err(load::ValueError {
                key: "peers.timeout_ms",
                problem: "0 leaves no time to answer".to_owned(),
                remedy: "give a time above 0, such as 500".to_owned(),
            });
        }
        if self.peers.max_links == 0 {
            return Err(load::ValueError {
                key: "peers.max_links",
                problem: "0 leaves no connection".to_owned(),
                remedy: "give at least 1, such as 64".to_owned(),
            });
        }
        if self.peers.seeds.len() > MAX_SEEDS {
            return Err(load::ValueError {
                key: "peers.seeds",
                problem: format!("{} seeds", self.peers.seeds.len()),
                remedy: format!("give at most {MAX_SEEDS}"),
            });
        }
        Ok(())
    }
}
