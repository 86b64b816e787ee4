//! Policies that an experiment compares.

use std::fmt;
use std::str;

use samphiremoor_limits::adaptive;
use samphiremoor_limits::baseline as limits_baseline;
use samphiremoor_limits::gate::AdmissionGate;
use samphiremoor_routing::baseline as routing_baseline;
use samphiremoor_routing::picker::ReplicaPicker;
use samphiremoor_routing::scored;
use serde::Deserialize;
use serde::Serialize;
use serde::de::IntoDeserializer as _;
use serde::de::value;

/// A routing policy combined with an admission policy.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyKind {
    /// Random replica; fixed limits.
    Random,
    /// Least loaded replica; fixed limits.
    LeastLoaded,
    /// Replica that last served the prompt prefix; fixed limits.
    PrefixOnly,
    /// Least loaded replica; adaptive limits.
    LeastLoadedAdaptive,
    /// Replica with the best score; fixed limits.
    ScoredFixed,
    /// Replica with the best score; adaptive limits. The daemons use this policy.
    Scored,
}

impl PolicyKind {
    /// All policies, in the order of the tables.
    pub const ALL: [PolicyKind; 6] = [
        PolicyKind::Random,
        PolicyKind::LeastLoaded,
        PolicyKind::PrefixOnly,
        PolicyKind::LeastLoadedAdaptive,
        PolicyKind::ScoredFixed,
        PolicyKind::Scored,
    ];

    /// Creates the routing policy.
    pub fn picker(self) -> Box<dyn ReplicaPicker> {
        match self {
            PolicyKind::Random => Box::new(routing_baseline::RandomPicker),
            PolicyKind::LeastLoaded | PolicyKind::LeastLoadedAdaptive => {
                Box::new(routing_baseline::LeastLoadedPicker::default())
            }
            PolicyKind::PrefixOnly => Box::new(routing_baseline::PrefixOnlyPicker::default()),
            PolicyKind::ScoredFixed | PolicyKind::Scored => {
                Box::new(scored::ScoredPicker::default())
            }
        }
    }

    /// Creates the admission policy.
    pub fn gate(self) -> Box<dyn AdmissionGate> {
        match self {
            PolicyKind::LeastLoadedAdaptive | PolicyKind::Scored => {
                Box::new(adaptive::AdaptiveGate::default())
            }
            _ => Box::new(limits_baseline::FixedGate::default()),
        }
    }
}

impl fmt::Display for PolicyKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            PolicyKind::Random => "random",
            PolicyKind::LeastLoaded => "least loaded",
            PolicyKind::PrefixOnly => "prefix only",
            PolicyKind::LeastLoadedAdaptive => "least loaded, our limits",
            PolicyKind::ScoredFixed => "our routing, fixed limits",
            PolicyKind::Scored => "ours",
        })
    }
}

impl str::FromStr for PolicyKind {
    type Err = value::Error;

    fn from_str(text: &str) -> Result<Self, value::Error> {
        PolicyKind::deserialize(text.into_deserializer())
    }
}
