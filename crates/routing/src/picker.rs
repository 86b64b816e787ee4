//! The border between the entry daemon and the routing policies.

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
/// The shell calls [`pick`](ReplicaPicker::pick), then [`on_dispatch`](ReplicaPicker::on_dispatch)
/// when it sends the request, then [`on_finish`](ReplicaPicker::on_finish) exactly once.
pub trait ReplicaPicker: Send {
    /// Chooses a replica, or none where no eligible replica is left.
    fn pick(&mut self, view: &zone::ZoneView, query: &RouteQuery<'_>) -> Option<RouteChoice>;

    /// A request was sent to a replica.
    fn on_dispatch(&mut self, dispatch: &DispatchReport<'_>);

    /// A dispatched request ended.
    fn on_finish(&mut self, finish: &FinishReport<'_>);

    /// A replica published cache events; those of a replica that no view showed are left out.
    fn on_cache_events(&mut self, batch: &CacheBatch<'_>);

    /// A replica reported its load outside the view, for example in an answer.
    fn on_load_report(
        &mut self,
        replica: &id::ReplicaId,
        report: &zone::LoadReport,
        now: time::MonotonicTime,
    );
}

/// A request for which a replica is wanted.
#[derive(Clone, Debug)]
pub struct RouteQuery<'a> {
    /// Record of the service.
    pub service: &'a set::ServiceRecord,
    /// The caller's workspace.
    pub workspace: &'a id::WorkspaceId,
    /// Hashes of the prompt's blocks; empty for a plain service.
    pub prefix: &'a [prefix::PrefixHash],
    /// Length of the prompt.
    pub prompt_tokens: quantity::TokenCount,
    /// Replicas that were tried already.
    pub excluded: &'a [id::ReplicaId],
    /// The present instant.
    pub now: time::MonotonicTime,
    /// A random number for this choice.
    pub seed: u64,
}

/// The chosen replica.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteChoice {
    /// The replica.
    pub replica: id::ReplicaId,
    /// Terms of its score, for operators.
    pub terms: ScoreTerms,
}

/// Terms of a replica's score, in milliseconds of equivalent delay; the least total wins.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ScoreTerms {
    /// Prompt tokens that the replica is expected to have cached.
    pub expected_hit: quantity::TokenCount,
    /// Time to the first token that is expected.
    pub expected_ttft: time::Millis,
    /// Weight of the expected time.
    pub latency: f64,
    /// Weight of the tokens that must be computed again.
    pub recompute: f64,
    /// Weight of the replica's price.
    pub price: f64,
    /// Weight of a reclaim in the middle of the request.
    pub reclaim: f64,
    /// Weight of the distance to the replica's availability zone.
    pub distance: f64,
}

impl ScoreTerms {
    /// Sum of the terms.
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
    /// Hashes of the prompt's blocks.
    pub prefix: &'a [prefix::PrefixHash],
    /// Length of the prompt.
    pub prompt_tokens: quantity::TokenCount,
    /// The present instant.
    pub now: time::MonotonicTime,
}

/// How a dispatched request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FinishOutcome {
    /// The whole answer came.
    Complete,
    /// The caller or the daemon gave it up; says nothing of the replica.
    Cancelled,
    /// The replica refused it without having run it.
    Refused,
    /// The replica or the connection failed.
    Failed,
}

/// The end of a dispatched request.
#[derive(Clone, Debug)]
pub struct FinishReport<'a> {
    /// The replica.
    pub replica: &'a id::ReplicaId,
    /// The service.
    pub service: &'a id::ServiceId,
    /// Hashes of the prompt's blocks, as at the dispatch.
    pub prefix: &'a [prefix::PrefixHash],
    /// Length of the prompt, as at the dispatch.
    pub prompt_tokens: quantity::TokenCount,
    /// When it was dispatched.
    pub dispatched_at: time::MonotonicTime,
    /// The present instant.
    pub now: time::MonotonicTime,
    /// How it ended.
    pub outcome: FinishOutcome,
    /// Time from the dispatch to the first token or the answer, where one came.
    pub ttft: Option<time::Millis>,
    /// What the engine says of the prompt, where it says it.
    pub usage: Option<PromptUsage>,
}

/// Prompt tokens of one request as the engine counted them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptUsage {
    /// Found in the prefix cache.
    pub cached: quantity::TokenCount,
    /// Computed.
    pub computed: quantity::TokenCount,
}

/// Cache events of one replica, in the order of their numbers.
#[derive(Clone, Debug)]
pub struct CacheBatch<'a> {
    /// The replica.
    pub replica: &'a id::ReplicaId,
    /// Number of the first event; a jump shows that events were lost.
    pub first_number: u64,
    /// The events.
    pub events: &'a [CacheEvent],
    /// Age of the newest event.
    pub age: time::Millis,
    /// The present instant.
    pub now: time::MonotonicTime,
}

/// A change of a replica's prefix cache.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CacheEvent {
    /// Blocks were stored.
    Stored(SmallVec<[prefix::PrefixHash; 8]>),
    /// Blocks were evicted.
    Evicted(SmallVec<[prefix::PrefixHash; 8]>),
    /// The cache was emptied.
    Cleared,
}

/// Whether a replica may serve the service: it is live, its pool serves the service, and it has
/// the service's model loaded.
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
