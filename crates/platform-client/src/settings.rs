//! Settings for the connection to the platform: its address and the bearer token.

use std::net;
use std::path;

use samphiremoor_settings::load;
use samphiremoor_settings::secret;
use serde::Deserialize;

use crate::http;

/// The table `platform` of a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the platform.
    pub address: net::SocketAddr,
    /// File that contains the bearer token of all calls. Without it, calls carry no token.
    #[serde(default)]
    pub token_file: Option<path::PathBuf>,
}

impl PlatformSettings {
    /// Validates the values.
    ///
    /// # Errors
    ///
    /// Fails if the token file can't be read or is empty.
    pub fn check(&self) -> Result<(), load::ValueError> {
        self.token().map(|_| ()).map_err(|cause| load::ValueError {
            key: "platform.token_file",
            problem: cause.to_string(),
            remedy: "remove the key if the platform requires no token".to_owned(),
        })
    }

    /// Creates a client of the platform with the default timeouts.
    ///
    /// # Errors
    ///
    /// Fails if the token file can't be read or is empty.
    pub fn client(&self) -> Result<http::HttpPlatform, secret::SecretError> {
        let token = self.token()?;
        Ok(http::HttpPlatform::new(self.address, http::DEFAULT_LIMITS).with_token(token))
    }

    fn token(&self) -> Result<Option<secret::SecretText>, secret::SecretError> {
        self.token_file.as_deref().map(secret::read).transpose()
    }
}
