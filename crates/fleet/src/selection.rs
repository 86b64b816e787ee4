//! Choice of the replica for one request.
//!
//! Answers three load patterns: prompts that share long parts, which are read only once where requests
//! about one subject go to one replica; bursts, in which one replica must not get them all; and many
//! daemons that learn each other's loads late. Every daemon ranks replicas by the same hash of the
//! shared parts, so all agree on a subject's home without telling each other. The home is weighed
//! against others that are drawn at random, the fewer the more daemons there are: the least loaded one
//! of all would be the same for all daemons until they hear of what the others sent there.

use std::hash::Hasher as _;

use samphiremoor_base::id;
use samphiremoor_base::time;
use siphasher::sip;
use smallvec::SmallVec;

use crate::replica;

/// Tokens of prompt that delay a first token as much as one running request does.
const RUNNING_TOKENS: f64 = 120.0;
/// The same for each request over the slots of a replica: it waits for a slot to become free.
const EXCESS_TOKENS: f64 = 2_500.0;
/// The same for a replica that fails every request.
const FAILING_TOKENS: f64 = 60_000.0;
/// Part of a slot that a call in another availability zone counts as; only breaks ties.
const FAR_SLOT: f64 = 0.04;
/// Slots that a replica counts as full by when it fails every request.
const FAILING_SLOTS: f64 = 8.0;
/// A replica that fails a greater share of its requests is drawn only where no other is open.
const DRAWN_FAILURES: f64 = 0.2;
/// Replicas that all daemons together draw for requests of one instant: some more than requests of one
/// digest's interval.
const DRAWS: usize = 16;
/// Parts of the slots by which two replicas for plain calls count as equally loaded.
const NEAR_SLOT: f64 = 0.02;

/// One part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptSegment {
    /// Hash of the part's name.
    pub hash: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// Parts of a prompt in their order.
pub type PromptSegments = SmallVec<[PromptSegment; 4]>;

/// Size and parts of a prompt.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PromptSize {
    /// Tokens of the prompt.
    pub input_tokens: u32,
    /// Most tokens of the answer.
    pub max_output_tokens: u32,
    /// Its parts; the last one belongs to the request or its session.
    pub segments: PromptSegments,
}

impl PromptSize {
    /// Tokens that a limit counts: those of the prompt and the most that the answer may have.
    pub fn quota_tokens(&self) -> u64 {
        u64::from(self.input_tokens) + u64::from(self.max_output_tokens)
    }

    /// Tokens of the parts that other requests share.
    pub fn shared_tokens(&self) -> u32 {
        let shared = self.segments.len().saturating_sub(1);
        self.segments
            .iter()
            .take(shared)
            .map(|part| part.tokens)
            .sum::<u32>()
            .min(self.input_tokens)
    }

    /// Names the shared parts as a whole; absent where there are none.
    pub fn prefix_hash(&self) -> Option<u64> {
        let shared = self.segments.len().checked_sub(1).filter(|count| *count > 0)?;
        let mut hasher = sip::SipHasher13::new();
        for part in &self.segments[..shared] {
            hasher.write_u64(part.hash);
        }
        Some(hasher.finish())
    }
}

/// A request that needs a replica.
#[derive(Clone, Debug)]
pub struct SelectionQuery<'a> {
    /// The service.
    pub service: &'a id::ServiceId,
    /// Availability zone of this daemon.
    pub zone: &'a id::ZoneId,
    /// The prompt; absent for plain calls.
    pub prompt: Option<&'a PromptSize>,
    /// Replicas that the request was sent to before.
    pub excluded: &'a [id::ReplicaId],
    /// Daemons that place requests.
    pub daemon_count: u32,
    /// A number from 0 to 1 that breaks ties.
    pub draw: f64,
    /// The present instant.
    pub now: time::MonotonicTime,
}

/// The chosen replica.
#[derive(Clone, Debug, PartialEq)]
pub struct SelectedReplica {
    /// The replica.
    pub replica: id::ReplicaId,
    /// Prompt tokens, or their like, that are worked off before the request's first token.
    pub tokens_ahead: f64,
    /// Prompt tokens that the replica is expected to read for the request.
    pub uncached_tokens: u32,
    /// Requests in progress at the replica, of all daemons, for each of its slots.
    pub utilization: f64,
}

/// The best replica for a request; none where no replica is open.
pub fn choose(
    table: &replica::ReplicaTable,
    query: &SelectionQuery<'_>,
) -> Option<SelectedReplica> {
    match query.prompt {
        Some(prompt) => choose_engine(table, query, prompt),
        None => choose_plain(table, query),
    }
}

fn candidates<'a>(
    table: &'a replica::ReplicaTable,
    query: &'a SelectionQuery<'_>,
) -> impl Iterator<Item = &'a replica::KnownReplica> {
    let open = table.of_service(query.service).filter(|known| known.is_available(query.now));
    open.filter(|known| !query.excluded.contains(&known.entry.id))
}

fn choose_engine(
    table: &replica::ReplicaTable,
    query: &SelectionQuery<'_>,
    prompt: &PromptSize,
) -> Option<SelectedReplica> {
    let open: SmallVec<[&replica::KnownReplica; 32]> = candidates(table, query).collect();
    let subject = prompt.prefix_hash();
    let home = subject.and_then(|subject| {
        open.iter().copied().max_by_key(|known| rank(subject, &known.entry.id))
    });
    let cost = |known: &replica::KnownReplica, cached: u32| {
        let load = table.load(known, query.now);
        let unread = prompt.input_tokens.saturating_sub(cached);
        let excess = (load.running + 1).saturating_sub(known.entry.slots);
        let ahead = f64::from(load.pending_tokens)
            + f64::from(load.running) * RUNNING_TOKENS
            + f64::from(excess) * EXCESS_TOKENS
            + f64::from(unread);
        let replica = known.entry.id.clone();
        let fill = f64::from(load.running) / f64::from(known.entry.slots.max(1));
        let cost = ahead + known.failure_rate(query.now) * FAILING_TOKENS;
        (
            cost,
            SelectedReplica {
                replica,
                tokens_ahead: ahead,
                uncached_tokens: unread,
                utilization: fill,
            },
        )
    };
    let home = home.map(|known| cost(known, prompt.shared_tokens()));
    let others = drawn(&open, query).into_iter().map(|known| cost(known, 0));
    let (_, choice) =
        home.into_iter().chain(others).min_by(|(left, _), (right, _)| left.total_cmp(right))?;
    Some(choice)
}

/// Some of the replicas, at random; those that fail little where there are such.
fn drawn<'a>(
    open: &[&'a replica::KnownReplica],
    query: &SelectionQuery<'_>,
) -> SmallVec<[&'a replica::KnownReplica; DRAWS]> {
    let sound = |known: &&replica::KnownReplica| known.failure_rate(query.now) <= DRAWN_FAILURES;
    let sound: SmallVec<[_; 32]> = open.iter().copied().filter(sound).collect();
    let drawn_from = if sound.is_empty() { open } else { &sound[..] };
    let draws = DRAWS.div_ceil(query.daemon_count.max(1) as usize);
    let position = |number: usize| {
        let mut hasher = sip::SipHasher13::new_with_keys(query.draw.to_bits(), number as u64);
        hasher.write_usize(drawn_from.len());
        hasher.finish() as usize % drawn_from.len().max(1)
    };
    (0..draws).filter_map(|number| drawn_from.get(position(number)).copied()).collect()
}

fn choose_plain(
    table: &replica::ReplicaTable,
    query: &SelectionQuery<'_>,
) -> Option<SelectedReplica> {
    let cost = |known: &replica::KnownReplica| {
        let load = table.load(known, query.now);
        let far = if known.entry.zone == *query.zone { 0.0 } else { FAR_SLOT };
        let slots = f64::from(known.entry.slots.max(1));
        f64::from(load.running) / slots + far + known.failure_rate(query.now) * FAILING_SLOTS
    };
    let costs: SmallVec<[(f64, &replica::KnownReplica); 8]> =
        candidates(table, query).map(|known| (cost(known), known)).collect();
    let least = costs.iter().map(|(cost, _)| *cost).min_by(f64::total_cmp)?;
    let near = || costs.iter().filter(|(cost, _)| *cost <= least + NEAR_SLOT);
    let position = (query.draw * near().count() as f64) as usize;
    let (_, known) = near().nth(position).or_else(|| near().next())?;
    let load = table.load(known, query.now);
    let fill = f64::from(load.running) / f64::from(known.entry.slots.max(1));
    Some(SelectedReplica {
        replica: known.entry.id.clone(),
        tokens_ahead: 0.0,
        uncached_tokens: 0,
        utilization: fill,
    })
}

/// Rank of a replica for a subject; each subject orders replicas in its own way.
fn rank(subject: u64, replica: &id::ReplicaId) -> u64 {
    let mut hasher = sip::SipHasher13::new_with_keys(subject, 0);
    hasher.write(replica.as_str().as_bytes());
    hasher.finish()
}
