//! Situations of an experiment: load and faults.

use std::collections;
use std::fmt;
use std::str;

use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_view::zone;
use serde::Deserialize;
use serde::Serialize;
use serde::de::IntoDeserializer as _;
use serde::de::value;

use crate::experiment::deployment;

/// Load and faults of a run.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Situation {
    /// Load well below capacity.
    Calm,
    /// Load at capacity.
    AtCapacity,
    /// Load of twice the capacity.
    TwiceCapacity,
    /// One engine is slower by a factor of five for half of the run.
    OneSlow,
    /// All engines of one availability zone are reclaimed with notice.
    ZoneReclaimed,
    /// The VM list is no longer updated, and one engine stops without notice.
    PlatformDown,
}

/// Time from the notice of a reclaim until the VM is removed.
const RECLAIM_NOTICE: time::Millis = time::Millis::new(10_000);
/// Time from the notice of a reclaim until the views show the replica as leaving.
const NOTICE_DELAY: time::Millis = time::Millis::new(1_000);
/// Duration of a slow engine's steps, in percent of the normal duration.
const SLOW_PERCENT: u32 = 500;

/// A fault of a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultKind {
    /// The replica's steps take this percentage of their normal duration.
    Slowdown(u32),
    /// The views show the replica as leaving.
    ShowLeaving,
    /// The replica stops.
    Stop,
}

/// A fault that is injected at a given time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlannedFault {
    /// Time since the start of the run.
    pub injected_at: time::Millis,
    /// Index of the replica in the run.
    pub replica: usize,
    /// Kind of the fault.
    pub kind: FaultKind,
}

impl Situation {
    /// All situations, in the order of the tables.
    pub const ALL: [Situation; 6] = [
        Situation::Calm,
        Situation::AtCapacity,
        Situation::TwiceCapacity,
        Situation::OneSlow,
        Situation::ZoneReclaimed,
        Situation::PlatformDown,
    ];

    /// Returns the factor by which the rates of the workload are multiplied.
    pub fn rate_factor(self) -> f64 {
        match self {
            Situation::Calm => 0.4,
            Situation::AtCapacity => 1.0,
            Situation::TwiceCapacity => 2.0,
            _ => 0.7,
        }
    }

    /// Returns the faults of a run of the given length.
    pub fn faults(
        self,
        deployment: &deployment::Deployment,
        length: time::Millis,
    ) -> Vec<PlannedFault> {
        let time_after_share = |per_mille: u64| time::Millis::new(length.get() * per_mille / 1_000);
        let engines = engines(deployment);
        match self {
            Situation::Calm | Situation::AtCapacity | Situation::TwiceCapacity => Vec::new(),
            Situation::OneSlow => engines.first().map_or_else(Vec::new, |replica| {
                let slow = FaultKind::Slowdown(SLOW_PERCENT);
                vec![
                    PlannedFault {
                        injected_at: time_after_share(250),
                        replica: *replica,
                        kind: slow,
                    },
                    PlannedFault {
                        injected_at: time_after_share(750),
                        replica: *replica,
                        kind: FaultKind::Slowdown(100),
                    },
                ]
            }),
            Situation::ZoneReclaimed => {
                let zone = largest_zone(deployment, &engines);
                let is_reclaimed =
                    |replica: &&usize| zone.as_ref() == Some(&deployment.replicas[**replica].zone);
                let announced_at = time_after_share(333);
                let reclaimed = engines.iter().filter(is_reclaimed);
                reclaimed.flat_map(|replica| reclaim_faults(*replica, announced_at)).collect()
            }
            Situation::PlatformDown => engines.last().map_or_else(Vec::new, |replica| {
                vec![PlannedFault {
                    injected_at: time_after_share(400),
                    replica: *replica,
                    kind: FaultKind::Stop,
                }]
            }),
        }
    }

    /// Returns whether the views continue to show stopped replicas as live.
    pub fn hides_stopped_replicas(self) -> bool {
        self == Situation::PlatformDown
    }
}

/// Returns the faults of a replica whose VM is reclaimed: the notice and the removal.
pub fn reclaim_faults(replica: usize, announced_at: time::Millis) -> [PlannedFault; 2] {
    let shown_at = time::Millis::new(announced_at.get() + NOTICE_DELAY.get());
    let removed_at = time::Millis::new(announced_at.get() + RECLAIM_NOTICE.get());
    [
        PlannedFault { injected_at: shown_at, replica, kind: FaultKind::ShowLeaving },
        PlannedFault { injected_at: removed_at, replica, kind: FaultKind::Stop },
    ]
}

/// Returns the indices of the replicas that serve models.
fn engines(deployment: &deployment::Deployment) -> Vec<usize> {
    let is_engine = |(_, replica): &(usize, &zone::ReplicaView)| !replica.models.is_empty();
    let replicas = deployment.replicas.iter().enumerate();
    replicas.filter(is_engine).map(|(number, _)| number).collect()
}

fn largest_zone(deployment: &deployment::Deployment, engines: &[usize]) -> Option<id::ZoneId> {
    let mut counts: collections::BTreeMap<&id::ZoneId, usize> = collections::BTreeMap::new();
    for replica in engines {
        *counts.entry(&deployment.replicas[*replica].zone).or_default() += 1;
    }
    counts.into_iter().max_by_key(|(_, count)| *count).map(|(zone, _)| zone.clone())
}

impl fmt::Display for Situation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Situation::Calm => "calm",
            Situation::AtCapacity => "at capacity",
            Situation::TwiceCapacity => "twice capacity",
            Situation::OneSlow => "one replica slow",
            Situation::ZoneReclaimed => "zone reclaimed",
            Situation::PlatformDown => "platform down",
        })
    }
}

impl str::FromStr for Situation {
    type Err = value::Error;

    fn from_str(text: &str) -> Result<Self, value::Error> {
        Situation::deserialize(text.into_deserializer())
    }
}
