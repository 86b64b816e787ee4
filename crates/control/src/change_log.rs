//! Logs what became of daemons and upstreams as numbered events.

use samphiremoor_base::event;
use samphiremoor_base::log_event;
use samphiremoor_membership::daemons;
use samphiremoor_membership::gossip;
use samphiremoor_view::zone;

/// Logs a daemon's new standing.
pub(crate) fn log_daemon(news: &gossip::DaemonInfo) {
    let kind = if daemons::is_gone(news) {
        event::LogEvent::DaemonGone
    } else if !daemons::is_reachable(news) {
        event::LogEvent::DaemonSuspected
    } else if news.status.state == zone::UpstreamState::Live {
        event::LogEvent::DaemonBack
    } else {
        event::LogEvent::DaemonJoined
    };
    log_event!(kind, daemon = news.id, zone = news.zone, state = news.status.state);
}

/// Logs an upstream's new state; one that joins is logged once it is live.
pub(crate) fn log_upstream(news: &gossip::UpstreamInfo) {
    let kind = match news.status.state {
        zone::UpstreamState::Joining => return,
        zone::UpstreamState::Live => event::LogEvent::UpstreamJoined,
        zone::UpstreamState::Leaving => event::LogEvent::UpstreamLeaving,
        zone::UpstreamState::Gone => event::LogEvent::UpstreamGone,
    };
    log_event!(kind, vm = news.vm, pool = news.pool);
}
