//! External services that the control thread calls.

use std::sync;

use samphiremoor_platform::cloud;
use samphiremoor_platform::table;

use crate::upstream;

/// External services that the control thread calls.
#[derive(Clone)]
pub struct ControlPorts {
    /// Table of the platform.
    pub table: sync::Arc<dyn table::TableStore>,
    /// Cloud API of the platform.
    pub cloud: sync::Arc<dyn cloud::CloudApi>,
    /// Client of the upstreams.
    pub upstreams: sync::Arc<dyn upstream::UpstreamClient>,
}
