//! Bounds of what one daemon sends and polls.

use samphiremoor_base::time;

use crate::dissemination;

/// Bounds of what one daemon sends and polls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MembershipLimits {
    /// Between two rounds of messages.
    pub round_interval: time::Millis,
    /// Between a round and one that urgent news set off.
    pub urgent_interval: time::Millis,
    /// Daemons of the own availability zone that a round calls.
    pub zone_fanout: usize,
    /// Daemons of other availability zones that a round calls.
    pub other_fanout: usize,
    /// Between two calls to daemons that are taken for gone.
    pub gone_interval: time::Millis,
    /// Daemons that are asked to try a daemon that did not answer.
    pub indirect_probes: usize,
    /// Bytes of news in one message.
    pub budget: dissemination::NewsBudget,
    /// Between two polls that a daemon makes.
    pub poll_gap: time::Millis,
    /// Least time between two polls of one upstream by one daemon.
    pub poll_interval: time::Millis,
    /// A report is told again after this time, also where nothing changed.
    pub report_refresh: time::Millis,
    /// Between two reports of one upstream that differ in their load only.
    pub load_interval: time::Millis,
}

impl Default for MembershipLimits {
    fn default() -> Self {
        MembershipLimits {
            round_interval: time::Millis::new(500),
            urgent_interval: time::Millis::new(100),
            zone_fanout: 2,
            other_fanout: 1,
            gone_interval: time::Millis::new(1_000),
            indirect_probes: 2,
            budget: dissemination::NewsBudget { message_bytes: 400, walk_bytes: 200 },
            poll_gap: time::Millis::new(250),
            poll_interval: time::Millis::new(500),
            report_refresh: time::Millis::new(30_000),
            load_interval: time::Millis::new(1_000),
        }
    }
}
