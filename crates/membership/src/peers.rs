//! Chooses the daemons that are called.

use rand::SeedableRng as _;
use rand::seq::SliceRandom as _;
use samphiremoor_base::id;
use samphiremoor_base::time;

use crate::daemons;
use crate::gossip;
use crate::limits;

/// Walks over shuffled lists, so that every peer is called within one pass of them.
#[derive(Debug)]
pub(crate) struct PeerPicker {
    limits: limits::MembershipLimits,
    random: rand_chacha::ChaCha8Rng,
    zone_order: Vec<id::DaemonId>,
    other_order: Vec<id::DaemonId>,
    gone_order: Vec<id::DaemonId>,
    next_gone_call: time::MonotonicTime,
}

impl PeerPicker {
    /// A picker whose order follows from `seed`.
    pub(crate) fn new(
        limits: limits::MembershipLimits,
        seed: u64,
        now: time::MonotonicTime,
    ) -> Self {
        PeerPicker {
            limits,
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            zone_order: Vec::new(),
            other_order: Vec::new(),
            gone_order: Vec::new(),
            next_gone_call: now,
        }
    }

    /// The daemons that a round calls, in the order of their ids, each once.
    pub(crate) fn pick_round(&mut self, daemons: &daemons::DaemonTable) -> Vec<id::DaemonId> {
        let mut picked = Vec::new();
        for _ in 0..self.limits.zone_fanout {
            picked.extend(self.next_of_zone(daemons));
        }
        for _ in 0..self.limits.other_fanout {
            picked.extend(self.next_of_others(daemons));
        }
        picked.sort();
        picked.dedup();
        picked
    }

    /// A daemon that is gone, where the time for one has come: after a cut in which each side took
    /// the other for gone, nobody else would end it.
    pub(crate) fn pick_gone(
        &mut self,
        now: time::MonotonicTime,
        daemons: &daemons::DaemonTable,
    ) -> Option<id::DaemonId> {
        if now < self.next_gone_call {
            return None;
        }
        self.next_gone_call = now + self.limits.gone_interval;
        if self.gone_order.is_empty() {
            self.gone_order = self.shuffled(daemons, daemons::is_gone);
        }
        self.gone_order.pop()
    }

    /// Daemons that answer and are told that this one ends, as many as a round calls.
    pub(crate) fn pick_told(&mut self, daemons: &daemons::DaemonTable) -> Vec<id::DaemonId> {
        let zone = &daemons.own().zone;
        let is_near = |news: &gossip::DaemonInfo| daemons::is_reachable(news) && news.zone == *zone;
        let is_far = |news: &gossip::DaemonInfo| daemons::is_reachable(news) && news.zone != *zone;
        let mut told = self.shuffled(daemons, is_near);
        told.truncate(self.limits.zone_fanout);
        let far = self.shuffled(daemons, is_far);
        told.extend(far.into_iter().take(self.limits.other_fanout));
        told
    }

    /// Daemons of the own availability zone that are asked to try `target`.
    pub(crate) fn pick_probers(
        &mut self,
        daemons: &daemons::DaemonTable,
        target: &id::DaemonId,
    ) -> Vec<id::DaemonId> {
        let own = daemons.own();
        let answering = daemons.answering_in(&own.zone);
        let probers = answering.filter(|id| **id != own.id && *id != target);
        let mut probers: Vec<id::DaemonId> = probers.cloned().collect();
        probers.shuffle(&mut self.random);
        probers.truncate(self.limits.indirect_probes);
        probers
    }

    fn next_of_zone(&mut self, daemons: &daemons::DaemonTable) -> Option<id::DaemonId> {
        if self.zone_order.is_empty() {
            let zone = &daemons.own().zone;
            let is_wanted =
                |news: &gossip::DaemonInfo| !daemons::is_gone(news) && news.zone == *zone;
            self.zone_order = self.shuffled(daemons, is_wanted);
        }
        self.zone_order.pop()
    }

    fn next_of_others(&mut self, daemons: &daemons::DaemonTable) -> Option<id::DaemonId> {
        if self.other_order.is_empty() {
            let zone = &daemons.own().zone;
            let is_wanted =
                |news: &gossip::DaemonInfo| !daemons::is_gone(news) && news.zone != *zone;
            self.other_order = self.shuffled(daemons, is_wanted);
        }
        self.other_order.pop()
    }

    /// Suspected daemons are called too: that is how they learn of it.
    fn shuffled(
        &mut self,
        daemons: &daemons::DaemonTable,
        is_wanted: impl Fn(&gossip::DaemonInfo) -> bool,
    ) -> Vec<id::DaemonId> {
        let own = &daemons.own().id;
        let wanted = daemons.all().filter(|news| news.id != *own && is_wanted(news));
        let mut ids: Vec<id::DaemonId> = wanted.map(|news| news.id.clone()).collect();
        ids.shuffle(&mut self.random);
        ids
    }
}
