//! Situations: rates and faults.

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

/// One situation.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Situation {
    /// Well below capacity.
    Calm,
    /// At capacity.
    AtCapacity,
    /// Twice the capacity.
    TwiceCapacity,
    /// One engine takes five times as long for a while.
    OneSlow,
    /// Every engine of one availability zone is reclaimed with notice.
    ZoneReclaimed,
    /// The VM list stands still, and one engine dies unannounced.
    PlatformDown,
}

/// Notice before a reclaim.
const NOTICE: time::Millis = time::Millis::new(10_000);
/// Time from a notice until views show it.
const NOTICE_LAG: time::Millis = time::Millis::new(1_000);
/// Time that a slow engine takes, in hundredths of the normal time.
const SLOW_PERCENT: u32 = 500;

/// What happens to the replicas.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultKind {
    /// Takes so many hundredths of its normal time.
    Pace(u32),
    /// The views show it as leaving.
    Leave,
    /// It is gone.
    Die,
}

/// A fault at its time; replicas are numbered as in the deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FaultPlan {
    /// When.
    pub at: time::Millis,
    /// Which replica.
    pub replica: usize,
    /// What.
    pub kind: FaultKind,
}

impl Situation {
    /// Every situation, in the order of the tables.
    pub const ALL: [Situation; 6] = [
        Situation::Calm,
        Situation::AtCapacity,
        Situation::TwiceCapacity,
        Situation::OneSlow,
        Situation::ZoneReclaimed,
        Situation::PlatformDown,
    ];

    /// Factor on the rates of the workload.
    pub fn rate_factor(self) -> f64 {
        match self {
            Situation::Calm => 0.4,
            Situation::AtCapacity => 1.0,
            Situation::TwiceCapacity => 2.0,
            _ => 0.7,
        }
    }

    /// Faults of a run of the length.
    pub fn faults(
        self,
        deployment: &deployment::Deployment,
        length: time::Millis,
    ) -> Vec<FaultPlan> {
        let part = |thousandths: u64| time::Millis::new(length.get() * thousandths / 1_000);
        let engines = engines(deployment);
        match self {
            Situation::Calm | Situation::AtCapacity | Situation::TwiceCapacity => Vec::new(),
            Situation::OneSlow => engines.first().map_or_else(Vec::new, |replica| {
                let slow = FaultKind::Pace(SLOW_PERCENT);
                vec![
                    FaultPlan { at: part(250), replica: *replica, kind: slow },
                    FaultPlan { at: part(750), replica: *replica, kind: FaultKind::Pace(100) },
                ]
            }),
            Situation::ZoneReclaimed => {
                let zone = largest_zone(deployment, &engines);
                let is_lost =
                    |replica: &&usize| zone.as_ref() == Some(&deployment.replicas[**replica].zone);
                let announced = part(333);
                let lost = engines.iter().filter(is_lost);
                lost.flat_map(|replica| reclaim(*replica, announced)).collect()
            }
            Situation::PlatformDown => engines.last().map_or_else(Vec::new, |replica| {
                vec![FaultPlan { at: part(400), replica: *replica, kind: FaultKind::Die }]
            }),
        }
    }

    /// Whether the views still show a replica as live that died.
    pub fn hides_deaths(self) -> bool {
        self == Situation::PlatformDown
    }
}

/// Notice and end of a replica's VM.
pub fn reclaim(replica: usize, announced: time::Millis) -> [FaultPlan; 2] {
    let shown = time::Millis::new(announced.get() + NOTICE_LAG.get());
    let gone = time::Millis::new(announced.get() + NOTICE.get());
    [
        FaultPlan { at: shown, replica, kind: FaultKind::Leave },
        FaultPlan { at: gone, replica, kind: FaultKind::Die },
    ]
}

/// Replicas that serve models.
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
