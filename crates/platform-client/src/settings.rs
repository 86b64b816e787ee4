//! Where the platform is and how a program makes itself known there.

use std::net;
use std::path;

use samphiremoor_settings::load;
use samphiremoor_settings::secret;
use serde::Deserialize;

use crate::http;

/// The table `platform` of a program's settings.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Where it answers.
    pub address: net::SocketAddr,
    /// File with the bearer token that goes with each call; no token where left out.
    #[serde(default)]
    pub token_file: Option<path::PathBuf>,
}

impl PlatformSettings {
    /// Finds the first impossible value.
    ///
    /// # Errors
    ///
    /// Refuses a token file that can't be read or is empty.
    pub fn check(&self) -> Result<(), load::ValueError> {
        self.token().map(|_| ()).map_err(|cause| load::ValueError {
            key: "platform.token_file",
            problem: cause.to_string(),
            remedy: "leave the key out where the platform asks for no token".to_owned(),
        })
    }

    /// A client of the platform with the default time limits.
    ///
    /// # Errors
    ///
    /// Refuses a token file that can't be read or is empty.
    pub fn client(&self) -> Result<http::HttpPlatform, secret::SecretError> {
        let token = self.token()?;
        Ok(http::HttpPlatform::new(self.address, http::DEFAULT_LIMITS).with_token(token))
    }

    fn token(&self) -> Result<Option<secret::SecretText>, secret::SecretError> {
        self.token_file.as_deref().map(secret::read).transpose()
    }
}
