//! Fair shares of workspaces in the throughput of a pool.
//!
//! Shares are measured in admitted requests rather than in slots: one daemon has only a few slots
//! of a pool, too few to divide among workspaces.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;

/// Half-life of the admission counts.
const ADMISSION_HALF_LIFE: time::Millis = time::Millis::new(2_000);
/// Fraction of its share that a workspace receives whatever the priority of its requests.
pub const FLOOR_RATIO: f64 = 0.25;
/// Time for which a refused workspace takes precedence over workspaces that exceed their share.
const STARVATION_TIME: time::Millis = time::Millis::new(1_000);
/// Decayed number of admissions below which shares are not enforced.
const MIN_ADMITTED: f64 = 4.0;

/// Number of priorities in a pool that are more urgent than that of a service.
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

/// Marks a workspace that was refused although it is within its share.
#[derive(Clone, Copy, Debug)]
struct StarvationMark {
    /// Rank of the refused request.
    rank: PriorityRank,
    /// Time until which the workspace takes precedence.
    until: time::MonotonicTime,
}

/// Use of one pool by one workspace.
#[derive(Clone, Copy, Debug)]
struct WorkspaceUse {
    /// Share of the pool's admissions, from 0 to 1.
    share: f64,
    /// Exponentially decayed number of admissions.
    admitted: f64,
    /// Last refusal within the share; `None` after an admission.
    starvation: Option<StarvationMark>,
}

/// Use of one pool by all workspaces that may call its services.
#[derive(Clone, Debug, Default)]
pub struct ShareTable {
    uses: collections::BTreeMap<id::WorkspaceId, WorkspaceUse>,
    /// Exponentially decayed number of admissions of all workspaces.
    admitted: f64,
    /// Time up to which the admission counts are decayed.
    decayed_at: time::MonotonicTime,
}

impl ShareTable {
    /// Sets the shares and removes workspaces without one; admission counts of the others are kept.
    pub fn configure<'a>(
        &mut self,
        shares: impl Iterator<Item = (&'a id::WorkspaceId, quantity::PerMille)> + Clone,
    ) {
        let share_sum: f64 = shares.clone().map(|(_, share)| f64::from(share.get())).sum();
        for workspace_use in self.uses.values_mut() {
            workspace_use.share = 0.0;
        }
        for (workspace, per_mille) in shares {
            let share = f64::from(per_mille.get()) / share_sum.max(1.0);
            let initial_use = WorkspaceUse { share, admitted: 0.0, starvation: None };
            self.uses.entry(workspace.clone()).or_insert(initial_use).share = share;
        }
        self.uses.retain(|_, workspace_use| workspace_use.share > 0.0);
    }

    /// Decays the admission counts up to `now`. The other methods expect counts that are decayed up
    /// to the current time.
    pub fn decay(&mut self, now: time::MonotonicTime) {
        let half_lives = now.since(self.decayed_at).get() as f64 / ADMISSION_HALF_LIFE.get() as f64;
        let factor = 0.5_f64.powf(half_lives);
        self.decayed_at = now;
        self.admitted *= factor;
        for workspace_use in self.uses.values_mut() {
            workspace_use.admitted *= factor;
        }
    }

    /// Counts an admitted request.
    pub fn count_admission(&mut self, workspace: &id::WorkspaceId) {
        self.admitted += 1.0;
        if let Some(workspace_use) = self.uses.get_mut(workspace) {
            workspace_use.admitted += 1.0;
            workspace_use.starvation = None;
        }
    }

    /// Marks the workspace as starved by a refusal if it is within its share.
    pub fn mark_refusal(
        &mut self,
        workspace: &id::WorkspaceId,
        rank: PriorityRank,
        now: time::MonotonicTime,
    ) {
        let is_within_share = !self.is_over_share(workspace);
        // Below its floor a workspace takes precedence over others whatever the priority.
        let rank = if self.is_below_floor(workspace) { PriorityRank::MOST_URGENT } else { rank };
        let Some(workspace_use) = self.uses.get_mut(workspace) else { return };
        if is_within_share {
            workspace_use.starvation = Some(StarvationMark { rank, until: now + STARVATION_TIME });
        }
    }

    /// Whether the workspace exceeds its share of the recent admissions. A workspace without a
    /// share always does.
    pub fn is_over_share(&self, workspace: &id::WorkspaceId) -> bool {
        let Some(workspace_use) = self.uses.get(workspace) else { return true };
        self.admitted >= MIN_ADMITTED
            && workspace_use.admitted > workspace_use.share * self.admitted
    }

    /// Whether the workspace received less than [`FLOOR_RATIO`] of its share of the recent
    /// admissions, so that the priority of its requests is ignored.
    pub fn is_below_floor(&self, workspace: &id::WorkspaceId) -> bool {
        let Some(workspace_use) = self.uses.get(workspace) else { return false };
        let floor = workspace_use.share * FLOOR_RATIO * self.admitted;
        self.admitted >= MIN_ADMITTED && workspace_use.admitted < floor
    }

    /// Whether another workspace within its share was recently refused a request at least as urgent
    /// as `rank`.
    pub fn is_other_starved(
        &self,
        workspace: &id::WorkspaceId,
        rank: PriorityRank,
        now: time::MonotonicTime,
    ) -> bool {
        let others = self.uses.iter().filter(|(id, _)| *id != workspace);
        let mut marks = others.filter_map(|(_, workspace_use)| workspace_use.starvation);
        marks.any(|mark| mark.rank <= rank && now < mark.until)
    }
}
