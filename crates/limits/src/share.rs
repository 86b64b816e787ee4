//! Shares of workspaces in a pool's limit.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;

/// Time in which half of a workspace's past use is forgotten.
const HALF_LIFE: time::Millis = time::Millis::new(2_000);
/// Part of its assured share that a workspace gets whatever the priority of its requests.
const FLOOR_SHARE: f64 = 0.25;

/// Refused requests of one workspace that count at most.
const MAX_WAITING: f64 = 64.0;

/// Use of one pool by one workspace.
#[derive(Clone, Copy, Debug)]
struct WorkspaceUse {
    /// Part of the pool that the workspace is sure of, from 0 to 1.
    assured: f64,
    in_progress: u32,
    /// Requests that it had in progress or wanted lately.
    wanted: f64,
    noted: time::MonotonicTime,
}

/// Use of one pool by all workspaces that may call its services.
#[derive(Clone, Debug, Default)]
pub struct ShareTable {
    uses: collections::BTreeMap<id::WorkspaceId, WorkspaceUse>,
}

impl ShareTable {
    /// Takes over the shares; requests in progress stay counted.
    pub fn configure<'a>(
        &mut self,
        shares: impl Iterator<Item = (&'a id::WorkspaceId, quantity::PerMille)> + Clone,
        now: time::MonotonicTime,
    ) {
        let sum: f64 = shares.clone().map(|(_, share)| f64::from(share.get())).sum();
        for known in self.uses.values_mut() {
            known.assured = 0.0;
        }
        for (workspace, share) in shares {
            let assured = f64::from(share.get()) / sum.max(1.0);
            let unused = WorkspaceUse { assured, in_progress: 0, wanted: 0.0, noted: now };
            self.uses.entry(workspace.clone()).or_insert(unused).assured = assured;
        }
        self.uses.retain(|_, known| known.assured > 0.0 || known.in_progress > 0);
    }

    /// Notes that the workspace wants one more request.
    pub fn want(&mut self, workspace: &id::WorkspaceId, now: time::MonotonicTime) {
        let Some(known) = self.uses.get_mut(workspace) else { return };
        known.wanted = known.wanted_at(now).max(f64::from(known.in_progress) + 1.0);
        known.noted = now;
    }

    /// Notes that the workspace was refused a request: it wants one more than it was seen to use.
    pub fn refused(&mut self, workspace: &id::WorkspaceId) {
        let Some(known) = self.uses.get_mut(workspace) else { return };
        // Far beyond any share; keeps callers that repeat without pause from counting for ever.
        known.wanted = (known.wanted + 1.0).min(f64::from(known.in_progress) + MAX_WAITING);
    }

    /// Counts an admitted request.
    pub fn add(&mut self, workspace: &id::WorkspaceId) {
        if let Some(known) = self.uses.get_mut(workspace) {
            known.in_progress += 1;
        }
    }

    /// Counts an ended request.
    pub fn remove(&mut self, workspace: &id::WorkspaceId) {
        if let Some(known) = self.uses.get_mut(workspace) {
            known.in_progress = known.in_progress.saturating_sub(1);
        }
    }

    /// Whether the workspace is within its assured share of the limit.
    pub fn is_within(&self, workspace: &id::WorkspaceId, limit: f64) -> bool {
        self.uses
            .get(workspace)
            .is_some_and(|known| f64::from(known.in_progress) + 1.0 <= known.assured_slots(limit))
    }

    /// Whether the workspace has so little in progress that priority does not count.
    pub fn is_below_floor(&self, workspace: &id::WorkspaceId, limit: f64) -> bool {
        self.uses.get(workspace).is_some_and(|known| {
            f64::from(known.in_progress) < known.assured_slots(limit) * FLOOR_SHARE
        })
    }

    /// Slots that are kept for other workspaces: what each is sure of and asked for lately.
    pub fn kept_for_others(
        &self,
        workspace: &id::WorkspaceId,
        limit: f64,
        now: time::MonotonicTime,
    ) -> f64 {
        let others = self.uses.iter().filter(|(id, _)| *id != workspace);
        let kept = |known: &WorkspaceUse| {
            let wanted = known.wanted_at(now).min(known.assured_slots(limit));
            (wanted - f64::from(known.in_progress)).max(0.0)
        };
        others.map(|(_, known)| kept(known)).sum()
    }
}

impl WorkspaceUse {
    fn assured_slots(&self, limit: f64) -> f64 {
        // Even the smallest share is good for one request.
        (self.assured * limit).max(1.0)
    }

    fn wanted_at(&self, now: time::MonotonicTime) -> f64 {
        let age = now.since(self.noted).get() as f64 / HALF_LIFE.get() as f64;
        let wanted = self.wanted * 0.5_f64.powf(age);
        // A fraction of a request is none: a workspace that is silent for long keeps nothing.
        if wanted < 0.5 { 0.0 } else { wanted }
    }
}
