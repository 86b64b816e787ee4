//! Selects the daemons to call.

use rand::SeedableRng as _;
use rand::seq::SliceRandom as _;
use samphiremoor_base::id;
use samphiremoor_base::time;

use crate::daemons;
use crate::gossip;
use crate::limits;

/// Selects peers from shuffled lists, so that each peer is called once per pass over its list.
#[derive(Debug)]
pub(crate) struct PeerSelector {
    limits: limits::MembershipLimits,
    rng: rand_chacha::ChaCha8Rng,
    /// Peers of the local availability zone that the current pass has not called yet. The next one
    /// to call is the last. The other lists are alike.
    local_zone_order: Vec<id::DaemonId>,
    other_zones_order: Vec<id::DaemonId>,
    gone_order: Vec<id::DaemonId>,
    next_gone_call_at: time::MonotonicTime,
}

impl PeerSelector {
    /// Creates a selector that shuffles with the given seed.
    pub(crate) fn new(
        limits: limits::MembershipLimits,
        seed: u64,
        now: time::MonotonicTime,
    ) -> Self {
        PeerSelector {
            limits,
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            local_zone_order: Vec::new(),
            other_zones_order: Vec::new(),
            gone_order: Vec::new(),
            next_gone_call_at: now,
        }
    }

    /// Selects the daemons that a gossip round calls, in the order of their ids and without
    /// duplicates.
    pub(crate) fn select_round_peers(
        &mut self,
        daemons: &daemons::DaemonTable,
    ) -> Vec<id::DaemonId> {
        let mut selected = Vec::new();
        for _ in 0..self.limits.local_zone_fanout {
            selected.extend(self.next_in_local_zone(daemons));
        }
        for _ in 0..self.limits.other_zones_fanout {
            selected.extend(self.next_in_other_zones(daemons));
        }
        selected.sort();
        selected.dedup();
        selected
    }

    /// Selects a gone daemon if a call to one is due. Without such calls, two sides of a network
    /// partition that consider each other gone would never reconnect.
    pub(crate) fn select_gone_daemon(
        &mut self,
        now: time::MonotonicTime,
        daemons: &daemons::DaemonTable,
    ) -> Option<id::DaemonId> {
        if now < self.next_gone_call_at {
            return None;
        }
        self.next_gone_call_at = now + self.limits.gone_call_interval;
        if self.gone_order.is_empty() {
            self.gone_order = self.shuffled_peers(daemons, daemons::is_gone);
        }
        self.gone_order.pop()
    }

    /// Selects the reachable daemons that are notified of the shutdown, as many as a gossip round
    /// calls.
    pub(crate) fn select_shutdown_recipients(
        &mut self,
        daemons: &daemons::DaemonTable,
    ) -> Vec<id::DaemonId> {
        let zone = &daemons.local().zone;
        let is_in_local_zone =
            |info: &gossip::DaemonInfo| daemons::is_reachable(info) && info.zone == *zone;
        let is_in_other_zone =
            |info: &gossip::DaemonInfo| daemons::is_reachable(info) && info.zone != *zone;
        let mut recipients = self.shuffled_peers(daemons, is_in_local_zone);
        recipients.truncate(self.limits.local_zone_fanout);
        let other_zone_peers = self.shuffled_peers(daemons, is_in_other_zone);
        recipients.extend(other_zone_peers.into_iter().take(self.limits.other_zones_fanout));
        recipients
    }

    /// Selects the daemons of the local availability zone that are asked to probe `target`.
    pub(crate) fn select_probers(
        &mut self,
        daemons: &daemons::DaemonTable,
        target: &id::DaemonId,
    ) -> Vec<id::DaemonId> {
        let local = daemons.local();
        let reachable = daemons.reachable_in(&local.zone);
        let probers = reachable.filter(|id| **id != local.id && *id != target);
        let mut probers: Vec<id::DaemonId> = probers.cloned().collect();
        probers.shuffle(&mut self.rng);
        probers.truncate(self.limits.indirect_probe_count);
        probers
    }

    /// Returns the next peer of the local availability zone.
    fn next_in_local_zone(&mut self, daemons: &daemons::DaemonTable) -> Option<id::DaemonId> {
        if self.local_zone_order.is_empty() {
            let zone = &daemons.local().zone;
            // Suspected daemons are included because they learn of the suspicion from the call.
            let is_in_local_zone =
                |info: &gossip::DaemonInfo| !daemons::is_gone(info) && info.zone == *zone;
            self.local_zone_order = self.shuffled_peers(daemons, is_in_local_zone);
        }
        self.local_zone_order.pop()
    }

    /// Returns the next peer of the other availability zones.
    fn next_in_other_zones(&mut self, daemons: &daemons::DaemonTable) -> Option<id::DaemonId> {
        if self.other_zones_order.is_empty() {
            let zone = &daemons.local().zone;
            // Suspected daemons are included because they learn of the suspicion from the call.
            let is_in_other_zone =
                |info: &gossip::DaemonInfo| !daemons::is_gone(info) && info.zone != *zone;
            self.other_zones_order = self.shuffled_peers(daemons, is_in_other_zone);
        }
        self.other_zones_order.pop()
    }

    /// Returns the peers that `matches` accepts, in random order.
    fn shuffled_peers(
        &mut self,
        daemons: &daemons::DaemonTable,
        matches: impl Fn(&gossip::DaemonInfo) -> bool,
    ) -> Vec<id::DaemonId> {
        let local = &daemons.local().id;
        let matching = daemons.all().filter(|info| info.id != *local && matches(info));
        let mut ids: Vec<id::DaemonId> = matching.map(|info| info.id.clone()).collect();
        ids.shuffle(&mut self.rng);
        ids
    }
}
