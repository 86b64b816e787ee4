//! Settings and dependencies of the shard service.

use std::sync;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_platform::table;

use crate::call;
use crate::peer;
use crate::settings;

/// Settings and dependencies of the shard service.
pub struct ShardContext {
    /// Id of this daemon.
    pub daemon: id::DaemonId,
    /// Incarnation number of this daemon, which differs after each restart.
    pub incarnation: quantity::Incarnation,
    /// Availability zone of this daemon.
    pub zone: id::ZoneId,
    /// Settings of the shards.
    pub settings: settings::ShardSettings,
    /// The platform's table.
    pub table: sync::Arc<dyn table::TableStore>,
    /// Runs calls at upstreams.
    pub runner: sync::Arc<dyn call::CallRunner>,
    /// Lists the daemons of all zones.
    pub directory: sync::Arc<dyn peer::PeerDirectory>,
    /// Sends requests to other daemons.
    pub transport: sync::Arc<dyn peer::PeerTransport>,
}
