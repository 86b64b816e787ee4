//! Choice of the replica for a request.
//!
//! Three load patterns matter: prompts that share long prefixes, which are prefilled only once if
//! requests with the same prefix go to one replica; bursts, in which one replica must not receive
//! all requests; and many daemons that learn of each other's load late.
//!
//! Every daemon ranks the replicas by the same rendezvous hash of the shared prefix, so all daemons
//! agree on the preferred replica of a prefix without coordination. The cost of the preferred
//! replica is compared with that of replicas drawn at random. The more daemons there are, the fewer
//! replicas each one draws: the least loaded replica of all would be the same for every daemon
//! until they learn of the requests that the others sent there.

use std::fmt;
use std::hash::Hasher as _;

use samphiremoor_base::id;
use samphiremoor_base::time;
use siphasher::sip;
use smallvec::SmallVec;

use crate::replica;
use crate::send_state;

/// Prompt tokens that delay a first token as much as one request in progress does.
const RUNNING_TOKENS: f64 = 120.0;
/// Prompt tokens that delay a first token as much as each request in excess of the replica's slots
/// does, since the request waits for a slot to become free.
const EXCESS_TOKENS: f64 = 2_500.0;
/// Prompt tokens added to the cost of a replica that fails every request.
const FAILING_TOKENS: f64 = 60_000.0;
/// Utilization added to the cost of a replica in another availability zone; small enough to only
/// break ties.
const REMOTE_ZONE_UTILIZATION: f64 = 0.04;
/// Utilization added to the cost of a replica that fails every request.
const FAILING_UTILIZATION: f64 = 8.0;
/// Failure rate above which a replica is not drawn, unless all available replicas exceed the rate.
const MAX_DRAWN_FAILURE_RATE: f64 = 0.2;
/// Number of replicas that all daemons together draw for one request each: somewhat more than the
/// requests of one digest interval.
const TOTAL_DRAWS: usize = 16;
/// Number of replicas that all daemons together draw for one plain call each. Up to some tens of
/// daemons compare all replicas of a service that has a few.
const TOTAL_PLAIN_DRAWS: usize = 64;
/// Number of replicas that a daemon draws for a plain call at least. The less loaded one of two evens
/// out the loads even if they were known late.
const MIN_PLAIN_DRAWS: usize = 2;
/// Difference in cost up to which replicas of a plain service count as equally loaded.
const TIE_MARGIN: f64 = 0.02;

/// Segment of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptSegment {
    /// Hash of the segment's name.
    pub hash: u64,
    /// Number of tokens in the segment.
    pub tokens: u32,
}

/// Segments of a prompt in order.
pub type PromptSegments = SmallVec<[PromptSegment; 4]>;

/// Size and segments of a prompt.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PromptSize {
    /// Number of tokens in the prompt.
    pub input_tokens: u32,
    /// Maximum number of tokens in the response.
    pub max_output_tokens: u32,
    /// Segments of the prompt. The last one is specific to the request or its session.
    pub segments: PromptSegments,
}

impl PromptSize {
    /// Returns the tokens that count against a quota: those of the prompt and the maximum of the
    /// response.
    pub fn quota_tokens(&self) -> u64 {
        u64::from(self.input_tokens) + u64::from(self.max_output_tokens)
    }

    /// Returns the number of tokens in the segments that other requests share.
    pub fn shared_tokens(&self) -> u32 {
        let shared_count = self.segments.len().saturating_sub(1);
        self.segments
            .iter()
            .take(shared_count)
            .map(|segment| segment.tokens)
            .sum::<u32>()
            .min(self.input_tokens)
    }

    /// Returns a hash that identifies the shared segments as a whole; `None` if there are none.
    pub fn prefix_hash(&self) -> Option<u64> {
        let shared_count = self.segments.len().checked_sub(1).filter(|count| *count > 0)?;
        let mut hasher = sip::SipHasher13::new();
        for segment in &self.segments[..shared_count] {
            hasher.write_u64(segment.hash);
        }
        Some(hasher.finish())
    }
}

/// Tells for one moment whether replicas may get a request.
pub trait ReplicaGate: fmt::Debug {
    /// Returns the moment.
    fn now(&self) -> time::MonotonicTime;

    /// Returns whether a replica may get a request now.
    fn verdict(&self, replica: &replica::KnownReplica) -> send_state::SendVerdict;
}

/// Request that needs a replica.
#[derive(Clone, Debug)]
pub struct SelectionQuery<'a> {
    /// Service of the request.
    pub service: &'a id::ServiceId,
    /// Availability zone of this daemon.
    pub zone: &'a id::ZoneId,
    /// Prompt of the request; `None` for plain calls.
    pub prompt: Option<&'a PromptSize>,
    /// Replicas that the request was already sent to.
    pub excluded: &'a [id::ReplicaId],
    /// Tells which replicas may get a request now.
    pub gate: &'a dyn ReplicaGate,
    /// Software version that the replica must state.
    pub required_version: &'a replica::RequiredVersion,
    /// Whether a silent replica is chosen if no other one is available.
    pub includes_silent: bool,
    /// Number of daemons that select replicas.
    pub daemon_count: u32,
    /// Uniform random number from 0 to 1 that seeds the draw of replicas and breaks ties.
    pub draw: f64,
}

/// Replica chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct SelectedReplica {
    /// Id of the replica.
    pub replica: id::ReplicaId,
    /// Software version of the replica, if it reported one.
    pub version: Option<replica::SoftwareVersion>,
    /// Work that the replica completes before the request's first token, in prompt tokens.
    pub tokens_ahead: f64,
    /// Prompt tokens of the request that are expected to miss the replica's prefix cache.
    pub uncached_tokens: u32,
    /// Requests in progress at the replica, from all daemons, per slot.
    pub utilization: f64,
}

/// Chooses the best replica for a request; `None` if no replica is available.
pub fn choose(
    table: &replica::ReplicaTable,
    query: &SelectionQuery<'_>,
) -> Option<SelectedReplica> {
    match query.prompt {
        Some(prompt) => choose_engine(table, query, prompt),
        None => choose_plain(table, query),
    }
}

/// Returns when one of the replicas may get the request that is kept from it only by its own wish, and
/// what it wished. Returns `None` if there is no such replica.
pub fn earliest_send(
    table: &replica::ReplicaTable,
    query: &SelectionQuery<'_>,
) -> Option<(time::MonotonicTime, send_state::HoldReason)> {
    let wished = unused(table, query).filter_map(|replica| match query.gate.verdict(replica) {
        send_state::SendVerdict::Held {
            reason: reason @ (send_state::HoldReason::Limited | send_state::HoldReason::Paused),
            until: Some(until),
        } => Some((until, reason)),
        _ => None,
    });
    wished.min_by_key(|(until, _)| *until)
}

/// Returns the replicas of the service and version that the request was not sent to yet.
fn unused<'a>(
    table: &'a replica::ReplicaTable,
    query: &SelectionQuery<'_>,
) -> impl Iterator<Item = &'a replica::KnownReplica> {
    let replicas = table
        .of_service(query.service)
        .filter(|replica| query.required_version.allows(replica.entry.version.as_ref()));
    replicas.filter(|replica| !query.excluded.contains(&replica.entry.id))
}

/// Returns the available replicas that the request can be sent to, or the silent ones if there are
/// none.
fn candidates<'a>(
    table: &'a replica::ReplicaTable,
    query: &SelectionQuery<'_>,
) -> SmallVec<[&'a replica::KnownReplica; 32]> {
    let verdicts: SmallVec<[_; 32]> =
        unused(table, query).map(|replica| (replica, query.gate.verdict(replica))).collect();
    let available: SmallVec<[_; 32]> = verdicts
        .iter()
        .filter(|(_, verdict)| *verdict == send_state::SendVerdict::Allowed)
        .map(|(replica, _)| *replica)
        .collect();
    if !available.is_empty() || !query.includes_silent {
        return available;
    }
    let reachable = verdicts.into_iter().filter(|(_, verdict)| verdict.firm_reason().is_none());
    reachable.map(|(replica, _)| replica).collect()
}

/// Chooses the replica with the least cost in prompt tokens among the preferred replica of the
/// prompt's prefix and some drawn at random.
fn choose_engine(
    table: &replica::ReplicaTable,
    query: &SelectionQuery<'_>,
    prompt: &PromptSize,
) -> Option<SelectedReplica> {
    let candidates = candidates(table, query);
    let prefix_hash = prompt.prefix_hash();
    let preferred = prefix_hash.and_then(|prefix_hash| {
        candidates
            .iter()
            .copied()
            .max_by_key(|candidate| rendezvous_rank(prefix_hash, &candidate.entry.id))
    });
    // Cost of a candidate, and what is returned if it is selected.
    let evaluate = |candidate: &replica::KnownReplica, cached_tokens: u32| {
        let load = table.load(candidate, query.gate.now());
        let uncached_tokens = prompt.input_tokens.saturating_sub(cached_tokens);
        let excess = (load.running + 1).saturating_sub(candidate.entry.slots);
        let tokens_ahead = f64::from(load.pending_tokens)
            + f64::from(load.running) * RUNNING_TOKENS
            + f64::from(excess) * EXCESS_TOKENS
            + f64::from(uncached_tokens);
        let replica = candidate.entry.id.clone();
        let version = candidate.entry.version.clone();
        let utilization = f64::from(load.running) / f64::from(candidate.entry.slots.max(1));
        let cost = tokens_ahead + candidate.failure_rate(query.gate.now()) * FAILING_TOKENS;
        (cost, SelectedReplica { replica, version, tokens_ahead, uncached_tokens, utilization })
    };
    let preferred = preferred.map(|candidate| evaluate(candidate, prompt.shared_tokens()));
    let drawn =
        draw_candidates(&candidates, query).into_iter().map(|candidate| evaluate(candidate, 0));
    let (_, selected) =
        preferred.into_iter().chain(drawn).min_by(|(left, _), (right, _)| left.total_cmp(right))?;
    Some(selected)
}

/// Draws some of the candidates at random, from those with a low failure rate if there are any.
fn draw_candidates<'a>(
    candidates: &[&'a replica::KnownReplica],
    query: &SelectionQuery<'_>,
) -> SmallVec<[&'a replica::KnownReplica; TOTAL_DRAWS]> {
    let is_reliable = |candidate: &&replica::KnownReplica| {
        candidate.failure_rate(query.gate.now()) <= MAX_DRAWN_FAILURE_RATE
    };
    let reliable_candidates: SmallVec<[_; 32]> =
        candidates.iter().copied().filter(is_reliable).collect();
    let drawn_from =
        if reliable_candidates.is_empty() { candidates } else { &reliable_candidates[..] };
    let draw_count = TOTAL_DRAWS.div_ceil(query.daemon_count.max(1) as usize);
    let drawn_position = |draw_index: usize| {
        let mut hasher = sip::SipHasher13::new_with_keys(query.draw.to_bits(), draw_index as u64);
        hasher.write_usize(drawn_from.len());
        hasher.finish() as usize % drawn_from.len().max(1)
    };
    (0..draw_count)
        .filter_map(|draw_index| drawn_from.get(drawn_position(draw_index)).copied())
        .collect()
}

/// Chooses at random among the replicas with about the least cost: the utilization, plus surcharges
/// for failures and for another zone. Many daemons compare only some replicas that each draws for the
/// call, since all of them know of the same one that had the least load a moment ago.
fn choose_plain(
    table: &replica::ReplicaTable,
    query: &SelectionQuery<'_>,
) -> Option<SelectedReplica> {
    let cost = |candidate: &replica::KnownReplica| {
        let load = table.load(candidate, query.gate.now());
        let zone_cost =
            if candidate.entry.zone == *query.zone { 0.0 } else { REMOTE_ZONE_UTILIZATION };
        let slots = f64::from(candidate.entry.slots.max(1));
        f64::from(load.running) / slots
            + zone_cost
            + candidate.failure_rate(query.gate.now()) * FAILING_UTILIZATION
    };
    let candidates = candidates(table, query);
    let draw_count = plain_draws(query.daemon_count);
    let drawn = match draw_count < candidates.len() {
        true => draw_distinct(&candidates, draw_count, query.draw),
        false => candidates,
    };
    let costs: SmallVec<[(f64, &replica::KnownReplica); 8]> =
        drawn.into_iter().map(|candidate| (cost(candidate), candidate)).collect();
    let min_cost = costs.iter().map(|(cost, _)| *cost).min_by(f64::total_cmp)?;
    let tied = || costs.iter().filter(|(cost, _)| *cost <= min_cost + TIE_MARGIN);
    let position = (query.draw * tied().count() as f64) as usize;
    let (_, selected) = tied().nth(position).or_else(|| tied().next())?;
    let load = table.load(selected, query.gate.now());
    let utilization = f64::from(load.running) / f64::from(selected.entry.slots.max(1));
    Some(SelectedReplica {
        replica: selected.entry.id.clone(),
        version: selected.entry.version.clone(),
        tokens_ahead: 0.0,
        uncached_tokens: 0,
        utilization,
    })
}

/// Returns the number of replicas that a daemon draws for a plain call.
fn plain_draws(daemon_count: u32) -> usize {
    TOTAL_PLAIN_DRAWS.div_ceil(daemon_count.max(1) as usize).max(MIN_PLAIN_DRAWS)
}

/// Draws different candidates at random.
fn draw_distinct<'a>(
    candidates: &[&'a replica::KnownReplica],
    count: usize,
    draw: f64,
) -> SmallVec<[&'a replica::KnownReplica; 32]> {
    let mut ranked: SmallVec<[(u64, &replica::KnownReplica); 32]> = candidates
        .iter()
        .map(|candidate| (rendezvous_rank(draw.to_bits(), &candidate.entry.id), *candidate))
        .collect();
    ranked.sort_unstable_by_key(|(rank, _)| *rank);
    ranked.into_iter().take(count).map(|(_, candidate)| candidate).collect()
}

/// Returns the rendezvous-hash rank of a replica for a prefix; each prefix orders the replicas
/// differently.
fn rendezvous_rank(prefix_hash: u64, replica: &id::ReplicaId) -> u64 {
    let mut hasher = sip::SipHasher13::new_with_keys(prefix_hash, 0);
    hasher.write(replica.as_str().as_bytes());
    hasher.finish()
}
