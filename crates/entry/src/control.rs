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

/// Starts the control thread, which publishes its views to the core.
///
/// # Errors
///
/// Returns an error if the control address can't be bound.
pub(crate) fn start(
    core: &sync::Arc<core::EntryCore>,
    settings: &control_settings::ControlSettings,
    ports: ports::ControlPorts,
    incarnation: quantity::Incarnation,
) -> Result<service::ControlService, server::ListenError> {
    let options = service::ControlOptions {
        local: local_info(&core.settings, settings, incarnation),
        listen: settings.listen_address(),
        seeds: settings.seeds.clone(),
        peer_timeout: settings.timeout_ms,
        max_links: settings.max_links,
        seed: call_order_seed(incarnation),
    };
    let metrics = metrics::ControlMetrics::register(core.metrics.registry());
    service::ControlService::start(options, ports, metrics, core.clone())
}

/// Returns this daemon's entry for the gossip. The control thread's id is the VM id, as in the
/// platform's list of VMs.
fn local_info(
    entry_settings: &settings::EntrySettings,
    control: &control_settings::ControlSettings,
    incarnation: quantity::Incarnation,
) -> gossip::DaemonInfo {
    let id: id::DaemonId =
        entry_settings.vm.as_str().parse().expect("every id type has the same syntax");
    gossip::DaemonInfo {
        id,
        entry: entry_settings.daemon.clone(),
        vm: entry_settings.vm.clone(),
        zone: entry_settings.zone.clone(),
        http_address: control.http_address.unwrap_or(entry_settings.http_address),
        peer_address: control.peer_address.unwrap_or(entry_settings.peer_address),
        control_address: control.address,
        status: gossip::DaemonStatus {
            incarnation,
            state: zone::UpstreamState::Joining,
            suspicion: gossip::DaemonSuspicion::None,
        },
    }
}

/// Returns the seed for the order in which peers are called. Two daemons with the same seed would
/// call their peers in the same order, which is harmless.
fn call_order_seed(incarnation: quantity::Incarnation) -> u64 {
    incarnation.get() ^ u64::from(process::id())
}
