//! What changed from one view of a control daemon to a later one.
//!
//! A change holds on the view that it was made from and on no other. Replicas and daemons are named
//! by their places in the lists, which both ends have in the same order. Loads that nobody reported
//! anew only become older, all by the same time, and are left out.

use std::error;
use std::fmt;

use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_records::set;
use serde::Deserialize;
use serde::Serialize;

use crate::list;
use crate::zone;

/// What changed from a view to a later one.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ViewDelta {
    /// Life of the control daemon that made both views.
    pub incarnation: quantity::Incarnation,
    /// Serial of the view that the change holds on.
    pub base: u64,
    /// Serial of the view that comes of it.
    pub serial: u64,
    /// The records; none where they are the same.
    pub records: Option<set::RecordSet>,
    /// Replicas that came, went or changed in more than their load.
    pub replicas: list::ListDelta<zone::ReplicaView>,
    /// Time by which the loads of the other replicas became older.
    pub ageing: time::Millis,
    /// Loads of the other replicas that changed in more than their age.
    pub loads: Vec<LoadChange>,
    /// Daemons that came, went or changed.
    pub daemons: list::ListDelta<zone::DaemonView>,
    /// Whether the platform answered lately.
    pub platform: zone::PlatformState,
    /// Why the VM of the control daemon is to stop.
    pub own_stop: Option<zone::StopCause>,
}

/// A new load of a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoadChange {
    /// Place of the replica in the later view.
    pub place: usize,
    /// Its load.
    pub load: zone::LoadReport,
}

/// Why a change can't be taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeltaError {
    /// It holds on another view.
    WrongBase,
    /// It names a place that the view does not have.
    WrongPlace,
}

impl fmt::Display for DeltaError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DeltaError::WrongBase => "the change is one of another view; ask for the whole view",
            DeltaError::WrongPlace => "the change does not fit the view; ask for the whole view",
        })
    }
}

impl error::Error for DeltaError {}

impl ViewDelta {
    /// The change from `base` to `view`; none where different control daemons or lives of one made
    /// them.
    pub fn between(base: &zone::ZoneView, view: &zone::ZoneView) -> Option<Self> {
        if base.zone != view.zone || base.incarnation != view.incarnation {
            return None;
        }
        let replicas =
            list::ListChange::between(&base.replicas, &view.replicas, differs_in_load_at_most);
        let kept = || {
            let places = replicas.kept.iter();
            places.map(|(old, new)| (*new, base.replicas[*old].load, view.replicas[*new].load))
        };
        let ageing = usual_ageing(kept().map(|(_, before, after)| (before, after)));
        let loads = kept()
            .filter(|(_, before, after)| aged(*before, ageing) != *after)
            .map(|(place, _, load)| LoadChange { place, load })
            .collect();
        Some(ViewDelta {
            incarnation: view.incarnation,
            base: base.serial,
            serial: view.serial,
            records: (base.records != view.records).then(|| view.records.clone()),
            replicas: replicas.delta,
            ageing,
            loads,
            daemons: list::ListChange::between(&base.daemons, &view.daemons, PartialEq::eq).delta,
            platform: view.platform,
            own_stop: view.own_stop,
        })
    }

    /// The later view.
    ///
    /// # Errors
    ///
    /// Fails where the change was not made from `base`.
    pub fn apply(self, mut base: zone::ZoneView) -> Result<zone::ZoneView, DeltaError> {
        if self.incarnation != base.incarnation || self.base != base.serial {
            return Err(DeltaError::WrongBase);
        }
        for replica in &mut base.replicas {
            replica.load = aged(replica.load, self.ageing);
        }
        let mut replicas = self.replicas.apply(base.replicas).ok_or(DeltaError::WrongPlace)?;
        for change in self.loads {
            let replica = replicas.get_mut(change.place).ok_or(DeltaError::WrongPlace)?;
            replica.load = change.load;
        }
        Ok(zone::ZoneView {
            zone: base.zone,
            serial: self.serial,
            incarnation: self.incarnation,
            records: self.records.unwrap_or(base.records),
            replicas,
            daemons: self.daemons.apply(base.daemons).ok_or(DeltaError::WrongPlace)?,
            platform: self.platform,
            own_stop: self.own_stop,
        })
    }
}

impl list::ListItem for zone::ReplicaView {
    fn key(&self) -> &str {
        self.id.as_str()
    }
}

impl list::ListItem for zone::DaemonView {
    fn key(&self) -> &str {
        self.id.as_str()
    }
}

fn differs_in_load_at_most(before: &zone::ReplicaView, after: &zone::ReplicaView) -> bool {
    // A field that is added later has to be compared here, or it does not reach the entry daemon.
    let zone::ReplicaView {
        id,
        vm,
        zone,
        pool,
        address,
        state,
        models,
        price,
        reclaimable,
        load: _,
    } = before;
    *id == after.id
        && *vm == after.vm
        && *zone == after.zone
        && *pool == after.pool
        && *address == after.address
        && *state == after.state
        && *models == after.models
        && *price == after.price
        && *reclaimable == after.reclaimable
}

/// The load after a time without a report; one of unknown age stays so.
fn aged(load: zone::LoadReport, ageing: time::Millis) -> zone::LoadReport {
    let age = time::Millis::new(load.age.get().saturating_add(ageing.get()));
    zone::LoadReport { age, ..load }
}

/// The time by which most loads became older: that between the two views, unless most of them were
/// reported anew. It only decides how much is left out.
fn usual_ageing(loads: impl Iterator<Item = (zone::LoadReport, zone::LoadReport)>) -> time::Millis {
    let is_known = |load: &zone::LoadReport| load.age.get() != u64::MAX;
    let known = loads.filter(|(before, after)| is_known(before) && is_known(after));
    let grown = known.filter_map(|(before, after)| after.age.get().checked_sub(before.age.get()));
    let mut ageings: Vec<u64> = grown.collect();
    ageings.sort_unstable();
    let runs = ageings.chunk_by(|one, other| one == other);
    let longest = runs.max_by_key(|run| run.len()).and_then(|run| run.first());
    time::Millis::new(longest.copied().unwrap_or_default())
}
