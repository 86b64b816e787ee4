//! What the service is built from.

use std::sync;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_platform::table;

use crate::call;
use crate::peer;
use crate::settings;

/// What the service is built from.
pub struct ShardContext {
    /// This daemon.
    pub daemon: id::DaemonId,
    /// Number of this daemon's life; differs after each restart.
    pub incarnation: quantity::Incarnation,
    /// This daemon's availability zone.
    pub zone: id::ZoneId,
    /// Settings.
    pub settings: settings::ShardSettings,
    /// The platform's table.
    pub table: sync::Arc<dyn table::TableStore>,
    /// Runs the calls.
    pub runner: sync::Arc<dyn call::CallRunner>,
    /// Gives the other daemons.
    pub directory: sync::Arc<dyn peer::PeerDirectory>,
    /// Talks to the other daemons.
    pub transport: sync::Arc<dyn peer::PeerTransport>,
}
