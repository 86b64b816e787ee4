//! Counts of runs by window of time, summed over the lives of all daemons.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use serde::Deserialize;
use serde::Serialize;

/// Windows for which counts are kept: reports of an outage's length are still owed after it.
pub const RETAINED_WINDOWS: u64 = 6;

/// Number of a window of time: windows follow each other from the start of 1970.
pub type WindowNumber = u64;

/// Runs that began in one window.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct WindowCount {
    /// The window.
    pub window: WindowNumber,
    /// Runs by workspace.
    pub counts: collections::BTreeMap<id::WorkspaceId, u32>,
}

/// One life of a daemon.
type LifeKey = (id::DaemonId, quantity::Incarnation);

/// Counts of this daemon and of its peers.
#[derive(Clone, Debug)]
pub struct UsageCounter {
    own: LifeKey,
    lives: collections::BTreeMap<LifeKey, collections::BTreeMap<WindowNumber, WindowCount>>,
}

impl UsageCounter {
    /// An empty book of one life of a daemon.
    pub fn new(daemon: id::DaemonId, incarnation: quantity::Incarnation) -> Self {
        UsageCounter { own: (daemon, incarnation), lives: collections::BTreeMap::new() }
    }

    /// A run of a workspace began here.
    pub fn count_run(&mut self, window: WindowNumber, workspace: &id::WorkspaceId) {
        let windows = self.lives.entry(self.own.clone()).or_default();
        let empty = || WindowCount { window, ..WindowCount::default() };
        let line = windows.entry(window).or_insert_with(empty);
        *line.counts.entry(workspace.clone()).or_default() += 1;
        forget_old(windows);
    }

    /// Takes over the counts of a peer's life; counts only rise.
    pub fn merge_peer(
        &mut self,
        daemon: &id::DaemonId,
        incarnation: quantity::Incarnation,
        lines: &[WindowCount],
    ) {
        let key = (daemon.clone(), incarnation);
        if lines.is_empty() || key == self.own {
            return;
        }
        let windows = self.lives.entry(key).or_default();
        for line in lines {
            let known = windows
                .entry(line.window)
                .or_insert_with(|| WindowCount { window: line.window, ..WindowCount::default() });
            for (workspace, count) in &line.counts {
                let sum = known.counts.entry(workspace.clone()).or_default();
                *sum = (*sum).max(*count);
            }
        }
        forget_old(windows);
    }

    /// Counts of this daemon for its peers.
    pub fn local_windows(&self) -> Vec<WindowCount> {
        let windows = self.lives.get(&self.own);
        windows.map(|windows| windows.values().cloned().collect()).unwrap_or_default()
    }

    /// Runs of all daemons in a window.
    pub fn total(&self, window: WindowNumber) -> collections::BTreeMap<id::WorkspaceId, u32> {
        let mut sums = collections::BTreeMap::new();
        let lines = self.lives.values().filter_map(|windows| windows.get(&window));
        for (workspace, count) in lines.flat_map(|line| &line.counts) {
            *sums.entry(workspace.clone()).or_default() += count;
        }
        sums
    }

    /// Drops lives whose counts are all older than the kept windows.
    pub fn prune_incarnations(&mut self, present: WindowNumber) {
        let oldest = present.saturating_sub(RETAINED_WINDOWS);
        let is_recent = |window: &WindowNumber| *window >= oldest;
        self.lives.retain(|_, windows| windows.keys().next_back().is_some_and(is_recent));
    }
}

fn forget_old(windows: &mut collections::BTreeMap<WindowNumber, WindowCount>) {
    let Some(newest) = windows.keys().next_back().copied() else { return };
    windows.retain(|window, _| window + RETAINED_WINDOWS > newest);
}
