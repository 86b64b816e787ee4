//! Decides when a view is published, and builds it.

use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_membership::daemons;
use samphiremoor_membership::gossip;
use samphiremoor_membership::state as membership;
use samphiremoor_records::set;
use samphiremoor_view::zone;

/// Minimum time between two views of the same revision.
const MIN_VIEW_INTERVAL: time::Millis = time::Millis::new(100);

/// Number of replicas in a view per millisecond of the interval to the next view, if that exceeds
/// [`MIN_VIEW_INTERVAL`].
const REPLICAS_PER_INTERVAL_MS: usize = 4;

/// Maximum time that the first view waits for the upstreams and the first poll reports on them,
/// counted from the first records.
const MAX_FIRST_VIEW_DELAY: time::Millis = time::Millis::new(2_000);

/// Inputs of a view.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ViewSource<'a> {
    /// Records in force.
    pub(crate) records: &'a set::RecordSet,
    /// Membership of daemons and upstreams.
    pub(crate) membership: &'a membership::MembershipState,
    /// Whether the platform is available.
    pub(crate) platform: zone::PlatformState,
    /// Why the local VM stops, or `None` if it does not stop.
    pub(crate) local_stop: Option<zone::StopCause>,
}

/// Numbers the views and limits their rate.
#[derive(Debug)]
pub(crate) struct ViewPublisher {
    incarnation: quantity::Incarnation,
    /// End of the first view's wait for upstreams; `None` until there are records.
    first_view_due: Option<time::MonotonicTime>,
    /// Serial number of the last view.
    last_serial: u64,
    last_inputs: Option<ViewInputs>,
    next_view_at: time::MonotonicTime,
}

/// Versions of the inputs of the last view.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct ViewInputs {
    /// Change count of the membership.
    membership_change_count: u64,
    revision: quantity::RevisionNumber,
    platform: zone::PlatformState,
    local_stop: Option<zone::StopCause>,
}

impl ViewPublisher {
    /// Creates a publisher without a view.
    pub(crate) fn new(incarnation: quantity::Incarnation, now: time::MonotonicTime) -> Self {
        ViewPublisher {
            incarnation,
            first_view_due: None,
            last_serial: 0,
            last_inputs: None,
            next_view_at: now,
        }
    }

    /// Lets the next change be published immediately.
    pub(crate) fn publish_immediately(&mut self) {
        self.next_view_at = time::MonotonicTime::default();
    }

    /// Returns a new view if its inputs have changed and the interval since the last view has
    /// passed.
    pub(crate) fn build_due_view(
        &mut self,
        now: time::MonotonicTime,
        source: ViewSource<'_>,
    ) -> Option<zone::ZoneView> {
        let inputs = ViewInputs {
            membership_change_count: source.membership.change_count(),
            revision: source.records.revision,
            platform: source.platform,
            local_stop: source.local_stop,
        };
        let is_new_revision =
            self.last_inputs.is_none_or(|last_inputs| last_inputs.revision != inputs.revision);
        let is_due = is_new_revision || now >= self.next_view_at;
        if self.last_inputs == Some(inputs) || !is_due || self.waits_for_upstreams(now, source) {
            return None;
        }
        self.last_inputs = Some(inputs);
        self.last_serial += 1;
        let view = self.build_view(now, source);
        self.next_view_at = now + interval_after(&view);
        Some(view)
    }

    /// Returns whether the first view waits for upstreams or poll reports. An entry daemon accepts
    /// requests from its first view on, and would refuse those of a pool while none of its upstreams
    /// is known to be live or their loaded models are unknown.
    fn waits_for_upstreams(&mut self, now: time::MonotonicTime, source: ViewSource<'_>) -> bool {
        let first_view_due = *self.first_view_due.get_or_insert(now + MAX_FIRST_VIEW_DELAY);
        if self.last_inputs.is_some() || now >= first_view_due {
            return false;
        }
        let upstreams = source.membership.upstreams();
        let replicas = upstreams.views(now);
        let is_joining =
            |replica: &zone::ReplicaView| replica.state == zone::UpstreamState::Joining;
        let lacks_replicas = |pool: &set::PoolRecord| {
            pool.min_replicas > 0 && !upstreams.has_reported_upstream(&pool.id)
        };
        let local_zone = &source.membership.daemons().local().zone;
        replicas.is_empty()
            || replicas.iter().any(is_joining)
            || source.records.pools.iter().any(lacks_replicas)
            || upstreams.has_unreported_upstream(local_zone)
    }

    fn build_view(&self, now: time::MonotonicTime, source: ViewSource<'_>) -> zone::ZoneView {
        let daemons = source.membership.daemons();
        zone::ZoneView {
            zone: daemons.local().zone.clone(),
            serial: self.last_serial,
            incarnation: self.incarnation,
            records: source.records.clone(),
            replicas: source.membership.upstreams().views(now),
            daemons: daemons.all().filter_map(daemon_view).collect(),
            platform: source.platform,
            own_stop: source.local_stop,
        }
    }
}

/// Returns the interval to the next view. It grows with the number of replicas, so that the CPU
/// share of building views stays bounded.
fn interval_after(view: &zone::ZoneView) -> time::Millis {
    let interval_ms = u64::try_from(view.replicas.len() / REPLICAS_PER_INTERVAL_MS);
    MIN_VIEW_INTERVAL.max(time::Millis::new(interval_ms.unwrap_or(u64::MAX)))
}

/// Builds the view of a daemon for the entry daemon, or returns `None` if the daemon is
/// unreachable.
fn daemon_view(info: &gossip::DaemonInfo) -> Option<zone::DaemonView> {
    if !daemons::is_reachable(info) {
        return None;
    }
    Some(zone::DaemonView {
        id: info.entry.clone(),
        vm: info.vm.clone(),
        zone: info.zone.clone(),
        http_address: info.http_address,
        peer_address: info.peer_address,
        state: info.status.state,
    })
}
