//! Starts the daemon's control thread.

use std::process;
use std::sync;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_control::metrics;
use samphiremoor_control::ports;
use samphiremoor_control::service;
use samphiremoor_control::settings as control_settings;
use samphiremoor_membership::gossip;
use samphiremoor_peers::server;
use samphiremoor_view::zone;

use crate::core;
use crate::settings;

/// Starts the control thread, which shows its views to the core.
///
/// # Errors
///
/// Fails where the control address is taken.
pub(crate) fn start(
    core: &sync::Arc<core::EntryCore>,
    settings: &control_settings::ControlSettings,
    ports: ports::ControlPorts,
    incarnation: quantity::Incarnation,
) -> Result<service::ControlService, server::ListenError> {
    let start = service::ControlOptions {
        local: own_news(&core.settings, settings, incarnation),
        listen: settings.listen_address(),
        seeds: settings.seeds.clone(),
        peer_timeout: settings.timeout_ms,
        max_links: settings.max_links,
        seed: seed_of(incarnation),
    };
    let metrics = metrics::ControlMetrics::register(core.metrics.registry());
    service::ControlService::start(start, ports, metrics, core.clone())
}

/// The daemon as others are to know it. Its control thread is named as its VM, like in the
/// platform's list.
fn own_news(
    entry: &settings::EntrySettings,
    control: &control_settings::ControlSettings,
    incarnation: quantity::Incarnation,
) -> gossip::DaemonInfo {
    let id: id::DaemonId = entry.vm.as_str().parse().expect("every id type accepts the same texts");
    gossip::DaemonInfo {
        id,
        entry: entry.daemon.clone(),
        vm: entry.vm.clone(),
        zone: entry.zone.clone(),
        http_address: control.http_address.unwrap_or(entry.http_address),
        peer_address: control.peer_address.unwrap_or(entry.peer_address),
        control_address: control.address,
        status: gossip::DaemonStatus {
            incarnation,
            state: zone::UpstreamState::Joining,
            suspicion: gossip::DaemonSuspicion::None,
        },
    }
}

/// Daemons that start at the same moment call their peers in the same order, which does no harm.
fn seed_of(incarnation: quantity::Incarnation) -> u64 {
    incarnation.get() ^ u64::from(process::id())
}
