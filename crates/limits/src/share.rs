//! Shares of workspaces in a pool's throughput.
//!
//! Shares are counted in admitted requests, not in slots: one daemon's part of a pool is a few
//! slots, too few to be divided among workspaces.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;

/// Time in which half of the counted admissions is forgotten.
const HALF_LIFE: time::Millis = time::Millis::new(2_000);
/// Part of its share that a workspace gets whatever the priority of its requests.
pub const FLOOR_SHARE: f64 = 0.25;
/// Time for which a refused workspace goes before those that are over their share.
const HUNGER: time::Millis = time::Millis::new(1_000);
/// Counted admissions from which on shares are told apart.
const LEAST_ADMITTED: f64 = 4.0;

/// Step of a service's priority below the most urgent one of its pool.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct PriorityRank(pub usize);

impl PriorityRank {
    /// Rank of the most urgent services.
    pub const MOST_URGENT: PriorityRank = PriorityRank(0);

    /// Whether no service of the pool is more urgent.
    pub fn is_most_urgent(self) -> bool {
        self == PriorityRank::MOST_URGENT
    }
}

/// A workspace within its share that was refused.
#[derive(Clone, Copy, Debug)]
struct HungerMark {
    rank: PriorityRank,
    until: time::MonotonicTime,
}

/// Use of one pool by one workspace.
#[derive(Clone, Copy, Debug)]
struct WorkspaceUse {
    /// Part of the pool that the workspace is sure of, from 0 to 1.
    assured: f64,
    /// Admissions, with those of long ago counting less.
    admitted: f64,
    hunger: Option<HungerMark>,
}

/// Use of one pool by all workspaces that may call its services.
#[derive(Clone, Debug, Default)]
pub struct ShareTable {
    uses: collections::BTreeMap<id::WorkspaceId, WorkspaceUse>,
    admitted: f64,
    noted: time::MonotonicTime,
}

impl ShareTable {
    /// Takes over the shares; what was counted stays counted.
    pub fn configure<'a>(
        &mut self,
        shares: impl Iterator<Item = (&'a id::WorkspaceId, quantity::PerMille)> + Clone,
    ) {
        let sum: f64 = shares.clone().map(|(_, share)| f64::from(share.get())).sum();
        for known in self.uses.values_mut() {
            known.assured = 0.0;
        }
        for (workspace, share) in shares {
            let assured = f64::from(share.get()) / sum.max(1.0);
            let unused = WorkspaceUse { assured, admitted: 0.0, hunger: None };
            self.uses.entry(workspace.clone()).or_insert(unused).assured = assured;
        }
        self.uses.retain(|_, known| known.assured > 0.0);
    }

    /// Lets past admissions fade; called before the others with the same time.
    pub fn pass(&mut self, now: time::MonotonicTime) {
        let age = now.since(self.noted).get() as f64 / HALF_LIFE.get() as f64;
        let kept = 0.5_f64.powf(age);
        self.noted = now;
        self.admitted *= kept;
        for known in self.uses.values_mut() {
            known.admitted *= kept;
        }
    }

    /// Counts an admitted request.
    pub fn admitted(&mut self, workspace: &id::WorkspaceId) {
        self.admitted += 1.0;
        if let Some(known) = self.uses.get_mut(workspace) {
            known.admitted += 1.0;
            known.hunger = None;
        }
    }

    /// Notes that there was no room for a request of the rank.
    pub fn refused(
        &mut self,
        workspace: &id::WorkspaceId,
        rank: PriorityRank,
        now: time::MonotonicTime,
    ) {
        let is_within = !self.is_over(workspace);
        // Below its floor a workspace goes before others whatever the priority.
        let rank = if self.is_below_floor(workspace) { PriorityRank::MOST_URGENT } else { rank };
        let Some(known) = self.uses.get_mut(workspace) else { return };
        if is_within {
            known.hunger = Some(HungerMark { rank, until: now + HUNGER });
        }
    }

    /// Whether the workspace would have more than its share.
    pub fn is_over(&self, workspace: &id::WorkspaceId) -> bool {
        let Some(known) = self.uses.get(workspace) else { return true };
        self.admitted >= LEAST_ADMITTED && known.admitted > known.assured * self.admitted
    }

    /// Whether the workspace has so little that priority does not count.
    pub fn is_below_floor(&self, workspace: &id::WorkspaceId) -> bool {
        let Some(known) = self.uses.get(workspace) else { return false };
        let floor = known.assured * FLOOR_SHARE * self.admitted;
        self.admitted >= LEAST_ADMITTED && known.admitted < floor
    }

    /// Whether another workspace within its share was refused a request as urgent as the rank.
    pub fn has_hungry_other(
        &self,
        workspace: &id::WorkspaceId,
        rank: PriorityRank,
        now: time::MonotonicTime,
    ) -> bool {
        let others = self.uses.iter().filter(|(id, _)| *id != workspace);
        let mut hungers = others.filter_map(|(_, known)| known.hunger);
        hungers.any(|hunger| hunger.rank <= rank && now < hunger.until)
    }
}
