//! Ordered iteration over everything that a daemon can gossip.

use samphiremoor_base::id;

use crate::daemons;
use crate::gossip;
use crate::upstreams;

/// The daemons, the upstreams and their poll reports, as gossip updates.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UpdateSource<'a> {
    pub(crate) daemons: &'a daemons::DaemonTable,
    pub(crate) upstreams: &'a upstreams::UpstreamTable,
}

impl UpdateSource<'_> {
    /// Returns the current update for a key, or `None` if the tables no longer contain its subject.
    pub(crate) fn get_update(&self, key: &gossip::UpdateKey) -> Option<gossip::GossipUpdate> {
        match key {
            gossip::UpdateKey::Daemon(id) => {
                self.daemons.get(id).cloned().map(gossip::GossipUpdate::Daemon)
            }
            gossip::UpdateKey::Upstream(vm) => {
                self.upstreams.get(vm).cloned().map(gossip::GossipUpdate::Upstream)
            }
            gossip::UpdateKey::Report(vm, poller) => {
                self.upstreams.report(vm, poller).cloned().map(gossip::GossipUpdate::Report)
            }
        }
    }

    /// Returns the key that follows `key`, or the first key if `key` is `None`. Daemons come first,
    /// then each upstream with its poll reports.
    pub(crate) fn next_key_after(
        &self,
        key: Option<&gossip::UpdateKey>,
    ) -> Option<gossip::UpdateKey> {
        match key {
            None => self.next_daemon(None),
            Some(gossip::UpdateKey::Daemon(id)) => self.next_daemon(Some(id)),
            Some(gossip::UpdateKey::Upstream(vm)) => self.next_report(vm, None),
            Some(gossip::UpdateKey::Report(vm, poller)) => self.next_report(vm, Some(poller)),
        }
    }

    /// Returns the key of the daemon after `after`, or that of the first upstream.
    fn next_daemon(&self, after: Option<&id::DaemonId>) -> Option<gossip::UpdateKey> {
        let next_key = self.daemons.next_after(after).cloned().map(gossip::UpdateKey::Daemon);
        next_key.or_else(|| self.next_upstream(None))
    }

    /// Returns the key of the upstream after `after`, or that of the first one.
    fn next_upstream(&self, after: Option<&id::VmId>) -> Option<gossip::UpdateKey> {
        self.upstreams.next_after(after).cloned().map(gossip::UpdateKey::Upstream)
    }

    /// Returns the key of the next report on the upstream, or that of the next upstream.
    fn next_report(
        &self,
        vm: &id::VmId,
        after: Option<&id::DaemonId>,
    ) -> Option<gossip::UpdateKey> {
        let mut pollers = self.upstreams.pollers(vm).into_iter();
        match pollers.find(|poller| after.is_none_or(|after| *poller > after)) {
            Some(poller) => Some(gossip::UpdateKey::Report(vm.clone(), poller.clone())),
            None => self.next_upstream(Some(vm)),
        }
    }
}
