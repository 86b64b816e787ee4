//! Intervals and sizes of the membership protocol.

use samphiremoor_base::time;

use crate::dissemination;

/// Intervals and sizes that bound the messages and polls of one daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MembershipLimits {
    /// Time between two gossip rounds.
    pub gossip_interval: time::Millis,
    /// Minimum time between a gossip round and the next one that an urgent update triggers.
    pub urgent_gossip_interval: time::Millis,
    /// Number of daemons of the local availability zone that a gossip round calls.
    pub local_zone_fanout: usize,
    /// Number of daemons of other availability zones that a gossip round calls.
    pub other_zones_fanout: usize,
    /// Time between two calls to daemons that are considered gone.
    pub gone_call_interval: time::Millis,
    /// Number of daemons that are asked to probe a daemon that did not respond.
    pub indirect_probe_count: usize,
    /// Size limits of the updates in one gossip message.
    pub update_budget: dissemination::UpdateBudget,
    /// Time between two polls that a daemon sends, to any upstreams.
    pub poll_spacing: time::Millis,
    /// Minimum time between two polls of the same upstream by one daemon.
    pub upstream_poll_interval: time::Millis,
    /// An unchanged poll report is gossiped again after this time.
    pub report_refresh_interval: time::Millis,
    /// Minimum time between two poll reports on one upstream that differ only in the load.
    pub load_report_interval: time::Millis,
}

impl Default for MembershipLimits {
    fn default() -> Self {
        MembershipLimits {
            gossip_interval: time::Millis::new(500),
            urgent_gossip_interval: time::Millis::new(100),
            local_zone_fanout: 2,
            other_zones_fanout: 1,
            gone_call_interval: time::Millis::new(1_000),
            indirect_probe_count: 2,
            update_budget: dissemination::UpdateBudget {
                message_bytes: 400,
                anti_entropy_bytes: 200,
            },
            poll_spacing: time::Millis::new(250),
            upstream_poll_interval: time::Millis::new(500),
            report_refresh_interval: time::Millis::new(30_000),
            load_report_interval: time::Millis::new(1_000),
        }
    }
}
