//! What the control thread reaches outside its daemon.

use std::sync;

use samphiremoor_platform::cloud;
use samphiremoor_platform::table;

use crate::upstream;

/// The outside world of the control thread.
#[derive(Clone)]
pub struct ControlPorts {
    /// The platform's table.
    pub table: sync::Arc<dyn table::TableStore>,
    /// The platform's cloud.
    pub cloud: sync::Arc<dyn cloud::CloudApi>,
    /// The upstreams.
    pub upstreams: sync::Arc<dyn upstream::UpstreamClient>,
}
