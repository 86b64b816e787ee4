//! Settings of the command line.

use std::net;
use std::sync;

use samphiremoor_base::time;
use samphiremoor_platform_client::settings as platform_settings;
use samphiremoor_settings::load;
use serde::Deserialize;

/// Settings file of `samphiremoorctl`.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CtlSettings {
    /// Author name of written changes.
    #[serde(default = "default_author")]
    pub author: sync::Arc<str>,
    /// Maximum time to wait until a change is in force at every daemon.
    #[serde(default = "default_wait")]
    pub wait_ms: time::Millis,
    /// Timeout of a request to a control thread.
    #[serde(default = "default_timeout")]
    pub timeout_ms: time::Millis,
    /// Connection to the platform.
    pub platform: platform_settings::PlatformSettings,
    /// Control addresses that are used if the platform's list can't be read.
    #[serde(default)]
    pub seeds: Vec<net::SocketAddr>,
}

fn default_author() -> sync::Arc<str> {
    sync::Arc::from("operator")
}

fn default_wait() -> time::Millis {
    time::Millis::new(10_000)
}

fn default_timeout() -> time::Millis {
    time::Millis::new(1_000)
}

impl load::CheckedSettings for CtlSettings {
    fn check(&self) -> Result<(), load::ValueError> {
        self.platform.check()?;
        if self.author.is_empty() {
            return Err(load::ValueError {
                key: "author",
                problem: "the name is empty".to_owned(),
                remedy: "set the name that the history shows".to_owned(),
            });
        }
        if self.timeout_ms.get() == 0 {
            return Err(load::ValueError {
                key: "timeout_ms",
                problem: "a timeout of 0 fails every request".to_owned(),
                remedy: "set a time above 0, such as 1000".to_owned(),
            });
        }
        Ok(())
    }
}
