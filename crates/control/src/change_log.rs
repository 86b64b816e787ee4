//! Logs status changes of daemons and upstreams as numbered events.

use samphiremoor_base::event;
use samphiremoor_base::log_event;
use samphiremoor_membership::daemons;
use samphiremoor_membership::gossip;
use samphiremoor_view::zone;

/// Logs the new status of a daemon.
pub(crate) fn log_daemon(info: &gossip::DaemonInfo) {
    let event_kind = if daemons::is_gone(info) {
        event::LogEvent::DaemonGone
    } else if !daemons::is_reachable(info) {
        event::LogEvent::DaemonSuspected
    } else if info.status.state == zone::UpstreamState::Live {
        event::LogEvent::DaemonBack
    } else {
        event::LogEvent::DaemonJoined
    };
    log_event!(event_kind, daemon = info.id, zone = info.zone, state = info.status.state);
}

/// Logs the new status of an upstream. A joining upstream is logged once it is live.
pub(crate) fn log_upstream(info: &gossip::UpstreamInfo) {
    let event_kind = match info.status.state {
        zone::UpstreamState::Joining => return,
        zone::UpstreamState::Live => event::LogEvent::UpstreamJoined,
        zone::UpstreamState::Leaving => event::LogEvent::UpstreamLeaving,
        zone::UpstreamState::Gone => event::LogEvent::UpstreamGone,
    };
    log_event!(event_kind, vm = info.vm, pool = info.pool);
}
