//! Decides when a view is made, and makes it.

use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_membership::daemons;
use samphiremoor_membership::gossip;
use samphiremoor_membership::state as membership;
use samphiremoor_records::set;
use samphiremoor_view::zone;

/// Least time between two views of one revision.
const VIEW_INTERVAL: time::Millis = time::Millis::new(100);

/// Replicas in a view for each millisecond between two views, where that is longer.
const REPLICAS_PER_MILLI: usize = 4;

/// Longest wait of the first view for the first answers of the upstreams.
const FIRST_VIEW_WAIT: time::Millis = time::Millis::new(2_000);

/// What a view is made of.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ViewSource<'a> {
    /// The records in force.
    pub(crate) records: &'a set::RecordSet,
    /// The membership.
    pub(crate) membership: &'a membership::MembershipState,
    /// Whether the platform answers.
    pub(crate) platform: zone::PlatformState,
    /// Why the VM is to stop, where it is.
    pub(crate) own_stop: Option<zone::StopCause>,
}

/// Numbers the views, and spaces them.
#[derive(Debug)]
pub(crate) struct ViewPublisher {
    incarnation: quantity::Incarnation,
    started_at: time::MonotonicTime,
    serial: u64,
    shown: Option<ShownChanges>,
    next_view: time::MonotonicTime,
}

/// What the last view was made of.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct ShownChanges {
    membership: u64,
    revision: quantity::RevisionNumber,
    platform: zone::PlatformState,
    own_stop: Option<zone::StopCause>,
}

impl ViewPublisher {
    /// A publisher that made no view yet.
    pub(crate) fn new(incarnation: quantity::Incarnation, now: time::MonotonicTime) -> Self {
        ViewPublisher { incarnation, started_at: now, serial: 0, shown: None, next_view: now }
    }

    /// Lets the next view follow at once.
    pub(crate) fn hurry(&mut self) {
        self.next_view = time::MonotonicTime::default();
    }

    /// Makes a view where something changed and the last one is old enough.
    pub(crate) fn publish(
        &mut self,
        now: time::MonotonicTime,
        source: ViewSource<'_>,
    ) -> Option<zone::ZoneView> {
        let changes = ShownChanges {
            membership: source.membership.change_count(),
            revision: source.records.revision,
            platform: source.platform,
            own_stop: source.own_stop,
        };
        let is_new_revision = self.shown.is_none_or(|shown| shown.revision != changes.revision);
        let is_due = is_new_revision || now >= self.next_view;
        if self.shown == Some(changes) || !is_due || self.waits_for_upstreams(now, source) {
            return None;
        }
        self.shown = Some(changes);
        self.serial += 1;
        let view = self.make(now, source);
        self.next_view = now + interval_after(&view);
        Some(view)
    }

    /// Whether the first view is put off: an entry daemon takes requests from its first view on,
    /// and would refuse them all while no upstream is known to be live, or what it has loaded is not.
    fn waits_for_upstreams(&self, now: time::MonotonicTime, source: ViewSource<'_>) -> bool {
        if self.shown.is_some() || now.since(self.started_at) >= FIRST_VIEW_WAIT {
            return false;
        }
        let replicas = source.membership.upstreams().views(now);
        let is_joining =
            |replica: &zone::ReplicaView| replica.state == zone::UpstreamState::Joining;
        let own_zone = &source.membership.daemons().local().zone;
        replicas.is_empty()
            || replicas.iter().any(is_joining)
            || source.membership.upstreams().has_unreported(own_zone)
    }

    fn make(&self, now: time::MonotonicTime, source: ViewSource<'_>) -> zone::ZoneView {
        let daemons = source.membership.daemons();
        zone::ZoneView {
            zone: daemons.local().zone.clone(),
            serial: self.serial,
            incarnation: self.incarnation,
            records: source.records.clone(),
            replicas: source.membership.upstreams().views(now),
            daemons: daemons.all().filter_map(daemon_view).collect(),
            platform: source.platform,
            own_stop: source.own_stop,
        }
    }
}

/// The time to the next view, which grows with the view, so that long ones take no greater share
/// of the processor.
fn interval_after(view: &zone::ZoneView) -> time::Millis {
    let length = u64::try_from(view.replicas.len() / REPLICAS_PER_MILLI);
    VIEW_INTERVAL.max(time::Millis::new(length.unwrap_or(u64::MAX)))
}

/// The daemon as an entry daemon sees it; none for one that does not answer.
fn daemon_view(news: &gossip::DaemonInfo) -> Option<zone::DaemonView> {
    if !daemons::is_reachable(news) {
        return None;
    }
    Some(zone::DaemonView {
        id: news.entry.clone(),
        vm: news.vm.clone(),
        zone: news.zone.clone(),
        http_address: news.http_address,
        peer_address: news.peer_address,
        state: news.status.state,
    })
}
