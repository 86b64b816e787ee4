//! Counts of started runs by time window, summed over all incarnations of all daemons.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use serde::Deserialize;
use serde::Serialize;

/// Number of windows for which counts are retained. After an outage, the windows that it spans are
/// still to be reported.
pub const RETAINED_WINDOWS: u64 = 6;

/// Number of windows, up to the newest one, whose counts may still rise.
const RECENT_WINDOWS: u64 = 2;

/// Number of windows, up to the newest one, whose decided reports are kept.
const DECIDED_WINDOWS: usize = 6;
/// Number of counts in the decided reports of one digest.
const MAX_SENT_COUNTS: usize = 1_000;

/// Number of a time window. Windows follow each other from the Unix epoch on.
pub type WindowNumber = u64;

/// Runs started in one window.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct WindowCount {
    /// Number of the window.
    pub window: WindowNumber,
    /// Number of runs by workspace.
    pub counts: collections::BTreeMap<id::WorkspaceId, u32>,
}

/// Reports that holders of the duty lease have decided to send. A window has one report at most, also if
/// the table loses its row.
#[derive(Clone, Debug, Default)]
pub struct DecidedReports(collections::BTreeMap<WindowNumber, WindowCount>);

impl DecidedReports {
    /// Records a report that was decided, here or at a peer.
    pub fn record(&mut self, report: &WindowCount) {
        self.0.entry(report.window).or_insert_with(|| report.clone());
        while self.0.len() > DECIDED_WINDOWS {
            self.0.pop_first();
        }
    }

    /// Returns the report of a window.
    pub fn get(&self, window: WindowNumber) -> Option<&WindowCount> {
        self.0.get(&window)
    }

    /// Returns the reports that fit into a digest, the newest ones first.
    pub fn recent(&self) -> impl Iterator<Item = &WindowCount> {
        let mut count = 0;
        self.0.values().rev().take_while(move |report| {
            count += report.counts.len() + 1;
            count <= MAX_SENT_COUNTS
        })
    }
}

/// Windows that a digest contains.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WindowScope {
    /// The windows whose counts may still rise.
    Recent,
    /// All retained windows, for peers that missed digests.
    Retained,
}

impl WindowScope {
    /// Returns the first window that a digest contains.
    fn first_window(self, newest_window: WindowNumber) -> WindowNumber {
        match self {
            WindowScope::Recent => newest_window.saturating_sub(RECENT_WINDOWS - 1),
            WindowScope::Retained => newest_window.saturating_sub(RETAINED_WINDOWS - 1),
        }
    }
}

/// One process run of a daemon: its id and incarnation.
type DaemonInstance = (id::DaemonId, quantity::Incarnation);

/// Run counts of this daemon and of its peers.
#[derive(Clone, Debug)]
pub struct UsageCounter {
    local_instance: DaemonInstance,
    windows_by_instance:
        collections::BTreeMap<DaemonInstance, collections::BTreeMap<WindowNumber, WindowCount>>,
}

impl UsageCounter {
    /// Creates an empty counter for one incarnation of a daemon.
    pub fn new(daemon: id::DaemonId, incarnation: quantity::Incarnation) -> Self {
        UsageCounter {
            local_instance: (daemon, incarnation),
            windows_by_instance: collections::BTreeMap::new(),
        }
    }

    /// Counts a run of a workspace that this daemon started.
    pub fn count_run(&mut self, window: WindowNumber, workspace: &id::WorkspaceId) {
        let windows = self.windows_by_instance.entry(self.local_instance.clone()).or_default();
        let empty_window = || WindowCount { window, ..WindowCount::default() };
        let window_count = windows.entry(window).or_insert_with(empty_window);
        *window_count.counts.entry(workspace.clone()).or_default() += 1;
        drop_old_windows(windows);
    }

    /// Merges the counts of one incarnation of a peer. Counts never decrease.
    pub fn merge_peer(
        &mut self,
        daemon: &id::DaemonId,
        incarnation: quantity::Incarnation,
        counts: &[WindowCount],
    ) {
        let key = (daemon.clone(), incarnation);
        if counts.is_empty() || key == self.local_instance {
            return;
        }
        let windows = self.windows_by_instance.entry(key).or_default();
        for reported in counts {
            let merged = windows.entry(reported.window).or_insert_with(|| WindowCount {
                window: reported.window,
                ..WindowCount::default()
            });
            for (workspace, count) in &reported.counts {
                match merged.counts.get_mut(workspace) {
                    Some(merged_count) => *merged_count = (*merged_count).max(*count),
                    None => {
                        merged.counts.insert(workspace.clone(), *count);
                    }
                }
            }
        }
        drop_old_windows(windows);
    }

    /// Returns the counts of this daemon, to report them to the peers.
    pub fn local_windows(&self, scope: WindowScope) -> Vec<WindowCount> {
        let windows = self.windows_by_instance.get(&self.local_instance);
        let newest = windows.and_then(|windows| windows.keys().next_back());
        let (Some(windows), Some(newest_window)) = (windows, newest) else { return Vec::new() };
        windows
            .range(scope.first_window(*newest_window)..)
            .map(|(_, count)| count.clone())
            .collect()
    }

    /// Returns the counts of all incarnations of the daemons of a group, to report their sums to other
    /// groups. This daemon is always a member.
    pub fn group_windows(
        &self,
        scope: WindowScope,
        is_member: impl Fn(&id::DaemonId) -> bool,
    ) -> Vec<WindowCount> {
        let (local_daemon, _) = &self.local_instance;
        let members = self.windows_by_instance.iter();
        let members = members.filter(|((id, _), _)| id == local_daemon || is_member(id));
        let windows = || members.clone().flat_map(|(_, windows)| windows);
        let Some(newest_window) = windows().map(|(window, _)| *window).max() else {
            return Vec::new();
        };
        let first_window = scope.first_window(newest_window);
        let mut sums: collections::BTreeMap<WindowNumber, WindowCount> =
            collections::BTreeMap::new();
        for (window, count) in windows().filter(|(window, _)| **window >= first_window) {
            let empty_window = || WindowCount { window: *window, ..WindowCount::default() };
            let sum = sums.entry(*window).or_insert_with(empty_window);
            for (workspace, runs) in &count.counts {
                match sum.counts.get_mut(workspace) {
                    Some(total) => *total = total.saturating_add(*runs),
                    None => {
                        sum.counts.insert(workspace.clone(), *runs);
                    }
                }
            }
        }
        sums.into_values().collect()
    }

    /// Returns the number of runs of all daemons in a window, by workspace.
    pub fn total(&self, window: WindowNumber) -> collections::BTreeMap<id::WorkspaceId, u32> {
        let mut sums = collections::BTreeMap::new();
        let counts = self.windows_by_instance.values().filter_map(|windows| windows.get(&window));
        for (workspace, count) in counts.flat_map(|count| &count.counts) {
            let sum: &mut u32 = sums.entry(workspace.clone()).or_default();
            *sum = sum.saturating_add(*count);
        }
        sums
    }

    /// Drops incarnations whose counts are all older than the retained windows.
    pub fn prune_incarnations(&mut self, current_window: WindowNumber) {
        let oldest_retained = current_window.saturating_sub(RETAINED_WINDOWS);
        let is_recent = |window: &WindowNumber| *window >= oldest_retained;
        self.windows_by_instance
            .retain(|_, windows| windows.keys().next_back().is_some_and(is_recent));
    }
}

/// Drops the windows that are older than the retained ones.
fn drop_old_windows(windows: &mut collections::BTreeMap<WindowNumber, WindowCount>) {
    let Some(newest_window) = windows.keys().next_back().copied() else { return };
    windows.retain(|window, _| newest_window - window < RETAINED_WINDOWS);
}
