//! Interface between the entry daemon and the routing policies.

use std::fmt;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_records::set;
use samphiremoor_view::zone;
use smallvec::SmallVec;

use crate::prefix;

/// A routing policy.
///
/// The daemon calls [`pick`](ReplicaPicker::pick), then [`on_dispatch`](ReplicaPicker::on_dispatch)
/// when it sends the request, then [`on_finish`](ReplicaPicker::on_finish) exactly once.
pub trait ReplicaPicker: Send {
    /// Chooses a replica; returns `None` if no eligible replica is left.
    fn pick(&mut self, view: &zone::ZoneView, query: &RouteQuery<'_>) -> Option<RouteChoice>;

    /// Records that a request was sent to a replica.
    fn on_dispatch(&mut self, dispatch: &DispatchReport<'_>);

    /// Records that a dispatched request ended.
    fn on_finish(&mut self, finish: &FinishReport<'_>);

    /// Records the cache events that a replica published; ignores replicas that no view has shown.
    fn on_cache_events(&mut self, batch: &CacheBatch<'_>);

    /// Records a load report that a replica sent outside the view, for example with a response.
    fn on_load_report(
        &mut self,
        replica: &id::ReplicaId,
        report: &zone::LoadReport,
        now: time::MonotonicTime,
    );
}

/// A request that needs a replica.
#[derive(Clone, Debug)]
pub struct RouteQuery<'a> {
    /// Record of the service.
    pub service: &'a set::ServiceRecord,
    /// The caller's workspace.
    pub workspace: &'a id::WorkspaceId,
    /// Hashes of the prompt blocks; empty for a plain service.
    pub prefix: &'a [prefix::PrefixHash],
    /// Length of the prompt in tokens.
    pub prompt_tokens: quantity::TokenCount,
    /// Replicas that must not be chosen, for example because an attempt on them failed.
    pub excluded: &'a [id::ReplicaId],
    /// Current time.
    pub now: time::MonotonicTime,
    /// Random seed of this choice.
    pub seed: u64,
}

/// The chosen replica.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteChoice {
    /// The replica.
    pub replica: id::ReplicaId,
    /// Terms of the score of the replica, for operators.
    pub terms: ScoreTerms,
}

/// Terms of the score of a replica, and the expectations they follow from. The terms are costs in
/// milliseconds of equivalent delay; a lower total is better.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ScoreTerms {
    /// Number of prompt tokens that the replica is expected to have cached.
    pub expected_hit: quantity::TokenCount,
    /// Expected time to the first token.
    pub expected_ttft: time::Millis,
    /// Cost of the expected time to the first token.
    pub latency: f64,
    /// Cost of the prompt tokens that must be recomputed.
    pub recompute: f64,
    /// Cost of the price of the replica.
    pub price: f64,
    /// Expected cost of a reclaim during the request.
    pub reclaim: f64,
    /// Cost of a call to another availability zone.
    pub distance: f64,
}

impl ScoreTerms {
    /// Returns the sum of the terms.
    pub fn total(&self) -> f64 {
        self.latency + self.recompute + self.price + self.reclaim + self.distance
    }
}

impl fmt::Display for ScoreTerms {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "total={:.1} latency={:.1} recompute={:.1} price={:.1} reclaim={:.1} distance={:.1} \
             expected_hit={} expected_first={}",
            self.total(),
            self.latency,
            self.recompute,
            self.price,
            self.reclaim,
            self.distance,
            self.expected_hit,
            self.expected_ttft
        )
    }
}

/// A request that was sent to a replica.
#[derive(Clone, Debug)]
pub struct DispatchReport<'a> {
    /// The replica.
    pub replica: &'a id::ReplicaId,
    /// Record of the service.
    pub service: &'a set::ServiceRecord,
    /// Hashes of the prompt blocks.
    pub prefix: &'a [prefix::PrefixHash],
    /// Length of the prompt in tokens.
    pub prompt_tokens: quantity::TokenCount,
    /// Current time.
    pub now: time::MonotonicTime,
}

/// How a dispatched request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FinishOutcome {
    /// The complete response was received.
    Complete,
    /// The caller or the daemon cancelled the request, which says nothing about the replica.
    Cancelled,
    /// The replica refused the request without running it.
    Refused,
    /// The replica or the connection failed.
    Failed,
}

/// Report on the end of a dispatched request.
#[derive(Clone, Debug)]
pub struct FinishReport<'a> {
    /// The replica.
    pub replica: &'a id::ReplicaId,
    /// The service.
    pub service: &'a id::ServiceId,
    /// Hashes of the prompt blocks, as reported at the dispatch.
    pub prefix: &'a [prefix::PrefixHash],
    /// Length of the prompt in tokens, as reported at the dispatch.
    pub prompt_tokens: quantity::TokenCount,
    /// Time of the dispatch.
    pub dispatched_at: time::MonotonicTime,
    /// Current time.
    pub now: time::MonotonicTime,
    /// How the request ended.
    pub outcome: FinishOutcome,
    /// Time from the dispatch to the first token, or to the response of a plain service; `None` if
    /// neither was received.
    pub ttft: Option<time::Millis>,
    /// Token counts of the prompt, if the engine reported them.
    pub usage: Option<PromptUsage>,
}

/// Prompt tokens of one request, as counted by the engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptUsage {
    /// Tokens found in the prefix cache.
    pub cached: quantity::TokenCount,
    /// Tokens computed.
    pub computed: quantity::TokenCount,
}

/// Cache events of one replica, ordered by their numbers.
#[derive(Clone, Debug)]
pub struct CacheBatch<'a> {
    /// The replica.
    pub replica: &'a id::ReplicaId,
    /// Number of the first event; a gap to the previous batch shows that events were lost.
    pub first_number: u64,
    /// The cache events.
    pub events: &'a [CacheEvent],
    /// Age of the newest event.
    pub age: time::Millis,
    /// Current time.
    pub now: time::MonotonicTime,
}

/// Change of the prefix cache of a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CacheEvent {
    /// Blocks were stored.
    Stored(SmallVec<[prefix::PrefixHash; 8]>),
    /// Blocks were evicted.
    Evicted(SmallVec<[prefix::PrefixHash; 8]>),
    /// The cache was emptied.
    Cleared,
}

/// Returns whether a replica may serve the service: the replica is live, its pool serves the
/// service, and it has the model of the service loaded.
pub fn is_eligible(
    records: &set::RecordSet,
    service: &set::ServiceRecord,
    replica: &zone::ReplicaView,
) -> bool {
    if replica.state != zone::UpstreamState::Live {
        return false;
    }
    if !records.pool(&replica.pool).is_some_and(|pool| pool.services.contains(&service.id)) {
        return false;
    }
    match &service.target {
        set::ServiceTarget::Model(model) => replica.models.contains(model),
        set::ServiceTarget::Plain => true,
    }
}
