//! Seeded timeline of failures, at most two of which are active at the same time.

use std::collections;
use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand::seq::SliceRandom as _;

/// Time without failures before a failure that doesn't overlap the previous one.
const GAP_TIME: Duration = Duration::from_millis(1_500);

/// Share of failures that start during the previous one, in percent.
const OVERLAP_PERCENT: u32 = 80;

/// Maximum number of draws of a failure that may overlap the previous one.
const MAX_DRAWS: u32 = 32;

/// Kinds of failures.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum FailureKind {
    /// An entry daemon that holds shards is killed.
    HolderKilled,
    /// An entry daemon is paused for longer than its lease.
    EntryPaused,
    /// An entry daemon shuts down as planned.
    EntryStopped,
    /// An entry VM is reclaimed with notice.
    EntryReclaimed,
    /// An entry daemon is killed and restarted before its leases expire.
    EntryRestarted,
    /// An engine is killed.
    EngineKilled,
    /// An engine is paused.
    EnginePaused,
    /// An engine's VM is reclaimed with notice.
    EngineReclaimed,
    /// Open connections to engines and services become silent.
    ConnectionsSilent,
    /// Services run calls and close the connections before the response.
    AnswersDropped,
    /// The table refuses every call.
    TableDown,
    /// The table responds slowly.
    TableSlow,
    /// Requests to the table and responses from it are lost.
    TableAnswersLost,
    /// A zone is cut off from the platform.
    ZoneCut,
    /// All reclaimable VMs of a zone are reclaimed with notice.
    ZoneReclaimed,
    /// All VMs of a zone are lost without notice, replaced, and lost again.
    ZoneLostTwice,
}

impl FailureKind {
    /// All kinds.
    pub const ALL: &'static [FailureKind] = &[
        FailureKind::HolderKilled,
        FailureKind::EntryPaused,
        FailureKind::EntryStopped,
        FailureKind::EntryReclaimed,
        FailureKind::EntryRestarted,
        FailureKind::EngineKilled,
        FailureKind::EnginePaused,
        FailureKind::EngineReclaimed,
        FailureKind::ConnectionsSilent,
        FailureKind::AnswersDropped,
        FailureKind::TableDown,
        FailureKind::TableSlow,
        FailureKind::TableAnswersLost,
        FailureKind::ZoneCut,
        FailureKind::ZoneReclaimed,
        FailureKind::ZoneLostTwice,
    ];

    /// Returns the offsets of the stages from the start of the failure, in milliseconds. The last
    /// stage ends the failure.
    pub fn stages(self) -> &'static [u64] {
        match self {
            FailureKind::HolderKilled => &[0, 5_000],
            FailureKind::EntryStopped => &[0, 3_000],
            // Half the lease time of the harness.
            FailureKind::EntryRestarted => &[0, 1_000],
            FailureKind::EntryReclaimed | FailureKind::ZoneReclaimed => {
                &[0, 1_000 * ENTRY_NOTICE_SECONDS, 1_000 * ENTRY_NOTICE_SECONDS + 2_000]
            }
            FailureKind::EngineReclaimed => &[0, 1_000 * ENGINE_NOTICE_SECONDS, 4_000],
            FailureKind::ConnectionsSilent | FailureKind::AnswersDropped => &[0, 1_000],
            FailureKind::ZoneLostTwice => &[0, 2_000, 4_000, 6_000],
            // Longer than the lease time of the harness.
            _ => &[0, 4_000],
        }
    }

    fn scope(self) -> FailureScope {
        match self {
            FailureKind::HolderKilled
            | FailureKind::EntryPaused
            | FailureKind::EntryStopped
            | FailureKind::EntryReclaimed
            | FailureKind::EntryRestarted => FailureScope::Entry,
            FailureKind::EngineKilled
            | FailureKind::EnginePaused
            | FailureKind::EngineReclaimed => FailureScope::Engine,
            FailureKind::ConnectionsSilent | FailureKind::AnswersDropped => FailureScope::Calls,
            FailureKind::TableDown | FailureKind::TableSlow | FailureKind::TableAnswersLost => {
                FailureScope::Table
            }
            FailureKind::ZoneCut | FailureKind::ZoneReclaimed | FailureKind::ZoneLostTwice => {
                FailureScope::Zone
            }
        }
    }
}

/// Notice period of the reclaim of an entry VM or a zone, in seconds.
pub const ENTRY_NOTICE_SECONDS: u64 = 4;

/// Notice period of the reclaim of an engine's VM, in seconds.
pub const ENGINE_NOTICE_SECONDS: u64 = 2;

/// Part of the cluster that a failure affects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FailureScope {
    Entry,
    Engine,
    Calls,
    Table,
    Zone,
}

/// Number of zones, and of VMs in each zone.
#[derive(Clone, Copy, Debug)]
pub struct ZoneLayout {
    /// Number of zones.
    pub zones: usize,
    /// Number of entry VMs in each zone.
    pub entries: usize,
    /// Number of engines in each zone.
    pub engines: usize,
}

/// Failure with its start and the VMs or the zone it may affect. The kind decides which of `zone`,
/// `entry` and `engine` applies.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlannedFailure {
    /// Kind of the failure.
    pub kind: FailureKind,
    /// Start of the failure, from the start of the run.
    pub start: Duration,
    /// Index of the zone.
    pub zone: usize,
    /// Index of the entry VM among the entry VMs of all zones.
    pub entry: usize,
    /// Index of the engine among the engines of all zones.
    pub engine: usize,
}

impl PlannedFailure {
    /// Returns the end of the failure, from the start of the run.
    pub fn end(&self) -> Duration {
        self.start + Duration::from_millis(self.kind.stages().last().copied().unwrap_or(0))
    }

    /// Returns whether both failures may be active at the same time: their kinds differ, they
    /// affect disjoint VMs, and at least one zone can still serve.
    pub fn can_overlap(&self, other: &PlannedFailure, layout: &ZoneLayout) -> bool {
        let (own_vms, other_vms) = (self.affected_vms(layout), other.affected_vms(layout));
        let is_table = |failure: &PlannedFailure| failure.kind.scope() == FailureScope::Table;
        let is_zone = |failure: &PlannedFailure| failure.kind.scope() == FailureScope::Zone;
        self.kind != other.kind
            && own_vms.is_disjoint(&other_vms)
            && !(is_table(self) && is_table(other))
            && !(is_zone(self) && is_zone(other))
    }

    /// Returns the VMs that the failure may take out of service.
    pub fn affected_vms(&self, layout: &ZoneLayout) -> collections::BTreeSet<AffectedVm> {
        let entries = layout.entries * self.zone..layout.entries * (self.zone + 1);
        let engines = layout.engines * self.zone..layout.engines * (self.zone + 1);
        match self.kind.scope() {
            FailureScope::Entry => [AffectedVm::Entry(self.entry)].into(),
            FailureScope::Engine => [AffectedVm::Engine(self.engine)].into(),
            FailureScope::Calls | FailureScope::Table => collections::BTreeSet::new(),
            FailureScope::Zone => {
                entries.map(AffectedVm::Entry).chain(engines.map(AffectedVm::Engine)).collect()
            }
        }
    }
}

/// VM that a failure takes out of service.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum AffectedVm {
    /// Entry VM, by its index among those of all zones.
    Entry(usize),
    /// Engine, by its index among those of all zones.
    Engine(usize),
}

/// Plans failures that start within `length`. Every kind occurs once before any kind repeats. The
/// seed determines the order, the affected VMs and the times.
pub fn plan(layout: &ZoneLayout, length: Duration, seed: u64) -> Vec<PlannedFailure> {
    let mut planner = TimelinePlanner {
        layout: *layout,
        random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
        remaining_kinds: Vec::new(),
        failures: Vec::new(),
    };
    while let Some(failure) = planner.next(length) {
        planner.failures.push(failure);
    }
    planner.failures
}

struct TimelinePlanner {
    layout: ZoneLayout,
    random: rand_chacha::ChaCha8Rng,
    /// Kinds that have not occurred in this round.
    remaining_kinds: Vec<FailureKind>,
    failures: Vec<PlannedFailure>,
}

impl TimelinePlanner {
    fn next(&mut self, length: Duration) -> Option<PlannedFailure> {
        if self.remaining_kinds.is_empty() {
            self.remaining_kinds = FailureKind::ALL.to_vec();
            self.remaining_kinds.shuffle(&mut self.random);
        }
        let failure = match self.overlapping() {
            Some(failure) => failure,
            None => {
                let kind = self.remaining_kinds.remove(0);
                self.draw_failure(kind, self.start_after_gap())
            }
        };
        (failure.start < length).then_some(failure)
    }

    /// Returns a failure that starts during the last one and after the end of all earlier ones.
    fn overlapping(&mut self) -> Option<PlannedFailure> {
        if !self.random.random_ratio(OVERLAP_PERCENT, 100) {
            return None;
        }
        let (last, earlier) = self.failures.split_last()?;
        let last = *last;
        let others_end = earlier.iter().map(PlannedFailure::end).max().unwrap_or_default();
        let share = self.random.random_range(0.2..0.7);
        let start = (last.start + (last.end() - last.start).mul_f64(share)).max(others_end);
        if start >= last.end() {
            return None;
        }
        for _ in 0..MAX_DRAWS {
            let index = self.random.random_range(0..self.remaining_kinds.len());
            let failure = self.draw_failure(self.remaining_kinds[index], start);
            if failure.can_overlap(&last, &self.layout) {
                self.remaining_kinds.remove(index);
                return Some(failure);
            }
        }
        None
    }

    fn start_after_gap(&self) -> Duration {
        let end = self.failures.iter().map(PlannedFailure::end).max();
        end.map_or(Duration::ZERO, |end| end + GAP_TIME)
    }

    fn draw_failure(&mut self, kind: FailureKind, start: Duration) -> PlannedFailure {
        let layout = self.layout;
        PlannedFailure {
            kind,
            start,
            zone: self.random.random_range(0..layout.zones),
            entry: self.random.random_range(0..layout.zones * layout.entries),
            engine: self.random.random_range(0..layout.zones * layout.engines),
        }
    }
}
