//! Scored routing policy, which the entry daemons use.

use rand::Rng as _;
use rand::SeedableRng as _;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_view::zone;
use smallvec::SmallVec;

use crate::health;
use crate::index;
use crate::latency;
use crate::picker;
use crate::picker::ReplicaPicker;
use crate::prefix_index;
use crate::queue;
use crate::score;

/// Number of replicas of a service up to which all are scored; a larger service is sampled.
pub const FULL_SCAN_REPLICAS: usize = 32;
/// Sample size in the availability zone of the daemon.
const LOCAL_SAMPLE: usize = 12;
/// Sample size in the other availability zones.
const REMOTE_SAMPLE: usize = 4;
/// Number of draws per member of a sample, because some draws hit replicas that are unusable or
/// already drawn.
const DRAWS_PER_MEMBER: usize = 2;
/// Maximum number of prompt blocks in the prefix index of one picker.
pub const MAX_INDEXED_BLOCKS: usize = 200_000;
/// One in this many requests probes a replica whose probe is due, if there is such a replica.
const REQUESTS_PER_PROBE: u32 = 16;
/// At most one in this many replicas of a pool is ejected.
const REPLICAS_PER_EJECTION: usize = 3;
/// Share of the prompt that must be cached for a request to count as the continuation of a session.
const MIN_SESSION_HIT_SHARE: f64 = 0.5;
/// Scores up to this multiple of the best one count as equally good.
const TIE_FACTOR: f64 = 1.05;
/// Scores up to this many milliseconds above that multiple count as equally good.
const TIE_MARGIN_MS: f64 = 5.0;

type SlotList = SmallVec<[prefix_index::ReplicaSlot; 32]>;

/// A replica with its score.
#[derive(Clone, Copy, Debug)]
struct ScoredReplica {
    slot: prefix_index::ReplicaSlot,
    terms: picker::ScoreTerms,
    ttft_ms: f64,
}

/// Routing policy that scores a bounded number of replicas for each request.
#[derive(Debug)]
pub struct ScoredPicker {
    index: index::ReplicaIndex,
    prefix_index: prefix_index::PrefixIndex,
}

impl Default for ScoredPicker {
    fn default() -> Self {
        ScoredPicker::new(MAX_INDEXED_BLOCKS)
    }
}

impl ScoredPicker {
    /// Creates a picker whose prefix index holds at most `max_blocks` blocks.
    pub fn new(max_blocks: usize) -> Self {
        ScoredPicker {
            index: index::ReplicaIndex::default(),
            prefix_index: prefix_index::PrefixIndex::new(max_blocks),
        }
    }

    /// Returns the scored candidates for a request, best first.
    pub fn explain(
        &mut self,
        view: &zone::ZoneView,
        query: &picker::RouteQuery<'_>,
    ) -> Vec<picker::RouteChoice> {
        self.apply_view(view, query.now);
        let mut generator = rand_chacha::ChaCha8Rng::seed_from_u64(query.seed);
        let mut scored = self.score_candidates(query, &mut generator);
        scored.sort_by(|left, right| left.terms.total().total_cmp(&right.terms.total()));
        scored.iter().filter_map(|replica| self.choice(replica)).collect()
    }

    /// Returns the health of a replica, if the replica is known.
    pub fn health(&self, replica: &id::ReplicaId) -> Option<health::HealthState> {
        let slot = self.index.slot(replica)?;
        self.index.state(slot).map(|state| state.health.state())
    }

    fn apply_view(&mut self, view: &zone::ZoneView, now: time::MonotonicTime) {
        for slot in self.index.sync(view, now) {
            self.prefix_index.reset_replica(slot, now);
        }
    }

    fn score_candidates(
        &self,
        query: &picker::RouteQuery<'_>,
        generator: &mut rand_chacha::ChaCha8Rng,
    ) -> Vec<ScoredReplica> {
        let Some(list) = self.index.service(&query.service.id) else { return Vec::new() };
        let hits = self.prefix_index.expected_hits(query.prefix);
        let candidates = self.candidates(list, query, &hits, generator);
        let expected_hit_of = |slot| {
            let hit = hits.iter().find(|hit| hit.slot == slot);
            hit.map_or(quantity::TokenCount::default(), |hit| hit.tokens)
        };
        let score_slot = |slot| self.score(list, query, slot, expected_hit_of(slot));
        candidates.into_iter().filter_map(score_slot).collect()
    }

    /// Returns the replicas to score: for a small service every usable replica, for a large one
    /// those that cache the prefix and a random sample.
    fn candidates(
        &self,
        list: &index::ServiceList,
        query: &picker::RouteQuery<'_>,
        hits: &[prefix_index::ExpectedHit],
        generator: &mut rand_chacha::ChaCha8Rng,
    ) -> SlotList {
        if list.len() <= FULL_SCAN_REPLICAS {
            return self.usable_or_any(list.slots().collect(), query);
        }
        let mut slots: SlotList = SlotList::new();
        for hit in hits {
            let state = self.index.state(hit.slot);
            let is_listed = state.is_some_and(|state| state.serves(&query.service.id));
            if is_listed && self.is_usable(hit.slot, query) {
                slots.push(hit.slot);
            }
        }
        let mut add_sample = |population: &[prefix_index::ReplicaSlot], sample_size: usize| {
            if population.is_empty() {
                return;
            }
            let max_slots = slots.len() + sample_size;
            for _ in 0..sample_size * DRAWS_PER_MEMBER {
                let slot = population[generator.random_range(0..population.len())];
                if slots.len() < max_slots && !slots.contains(&slot) && self.is_usable(slot, query)
                {
                    slots.push(slot);
                }
            }
        };
        add_sample(&list.local, LOCAL_SAMPLE);
        add_sample(&list.remote, REMOTE_SAMPLE);
        if slots.is_empty() {
            return self.usable_or_any(list.slots().collect(), query);
        }
        slots
    }

    /// Returns the usable replicas or, if there are none, the ejected ones as well, because a slow
    /// response is better than none.
    fn usable_or_any(&self, slots: SlotList, query: &picker::RouteQuery<'_>) -> SlotList {
        let usable: SlotList =
            slots.iter().copied().filter(|slot| self.is_usable(*slot, query)).collect();
        if !usable.is_empty() {
            return usable;
        }
        slots.into_iter().filter(|slot| !self.is_excluded(*slot, query)).collect()
    }

    fn is_usable(&self, slot: prefix_index::ReplicaSlot, query: &picker::RouteQuery<'_>) -> bool {
        let is_healthy = self.index.state(slot).is_some_and(|state| state.health.is_healthy());
        is_healthy && !self.is_excluded(slot, query)
    }

    fn is_excluded(&self, slot: prefix_index::ReplicaSlot, query: &picker::RouteQuery<'_>) -> bool {
        self.index.state(slot).is_none_or(|state| query.excluded.contains(&state.id))
    }

    fn score(
        &self,
        list: &index::ServiceList,
        query: &picker::RouteQuery<'_>,
        slot: prefix_index::ReplicaSlot,
        expected_hit: quantity::TokenCount,
    ) -> Option<ScoredReplica> {
        let state = self.index.state(slot)?;
        let uncached_tokens = query.prompt_tokens.get().saturating_sub(expected_hit.get());
        let uncached_tokens = quantity::TokenCount::new(uncached_tokens);
        let pool = self.index.pool(&state.pool)?;
        let ttft_ratio = state.latency.expected_ratio(&pool.latency, query.now);
        let ttft_ms =
            forecast_ttft_ms(state, uncached_tokens, self.index.live_daemon_count(), query.now)
                * ttft_ratio;
        let input = score::ScoreInput {
            prompt_tokens: query.prompt_tokens,
            expected_hit,
            ttft_ms,
            duration_ms: state.latency.duration_ms(),
            relative_price: state.price / list.mean_price.max(1.0),
            reclaim_risk: state.reclaim_risk,
            is_local: state.is_local,
        };
        let terms = score::terms(&input, &query.service.latency, &query.service.weights);
        Some(ScoredReplica { slot, terms, ttft_ms })
    }

    /// Returns an unhealthy replica whose probe is due, for one in [`REQUESTS_PER_PROBE`] requests.
    fn pick_probe(
        &self,
        query: &picker::RouteQuery<'_>,
        generator: &mut rand_chacha::ChaCha8Rng,
    ) -> Option<ScoredReplica> {
        if generator.random_range(0..REQUESTS_PER_PROBE) != 0 {
            return None;
        }
        let list = self.index.service(&query.service.id)?;
        let is_due = |slot: &prefix_index::ReplicaSlot| {
            let state = self.index.state(*slot);
            state.is_some_and(|state| {
                state.health.is_probe_due(query.now) && state.serves(&query.service.id)
            }) && !self.is_excluded(*slot, query)
        };
        let pools = list.pools.iter().filter_map(|pool| self.index.pool(pool));
        let slot = pools.flat_map(|pool| &pool.unhealthy).copied().find(is_due)?;
        self.score(list, query, slot, quantity::TokenCount::default())
    }

    fn choice(&self, replica: &ScoredReplica) -> Option<picker::RouteChoice> {
        let state = self.index.state(replica.slot)?;
        Some(picker::RouteChoice { replica: state.id.clone(), terms: replica.terms })
    }
}

impl ReplicaPicker for ScoredPicker {
    fn pick(
        &mut self,
        view: &zone::ZoneView,
        query: &picker::RouteQuery<'_>,
    ) -> Option<picker::RouteChoice> {
        self.apply_view(view, query.now);
        let mut generator = rand_chacha::ChaCha8Rng::seed_from_u64(query.seed);
        if let Some(probe) = self.pick_probe(query, &mut generator) {
            return self.choice(&probe);
        }
        let scored = self.score_candidates(query, &mut generator);
        let best = match session_replica(&scored, query) {
            Some(replica) => replica,
            None => pick_near_best(&scored, &mut generator)?,
        };
        self.choice(best)
    }

    fn on_dispatch(&mut self, dispatch: &picker::DispatchReport<'_>) {
        let Some(slot) = self.index.slot(dispatch.replica) else { return };
        let hits = self.prefix_index.expected_hits(dispatch.prefix);
        let hit = hits.iter().find(|hit| hit.slot == slot);
        let expected_hit = hit.map_or(quantity::TokenCount::default(), |hit| hit.tokens);
        let reuse_distance = self.prefix_index.reuse_distance(slot, dispatch.prefix, expected_hit);
        let uncached_tokens = dispatch.prompt_tokens.get().saturating_sub(expected_hit.get());
        let uncached_tokens = quantity::TokenCount::new(uncached_tokens);
        self.prefix_index.record_prompt(slot, dispatch.prefix, uncached_tokens, dispatch.now);
        let daemon_count = self.index.live_daemon_count();
        let Some(state) = self.index.state_mut(slot) else { return };
        state.open_requests.push(index::OpenRequest {
            dispatched_at: dispatch.now,
            prompt_tokens: dispatch.prompt_tokens,
            expected_hit,
            reuse_distance: reuse_distance.unwrap_or_default(),
            forecast_ttft_ms: forecast_ttft_ms(state, uncached_tokens, daemon_count, dispatch.now),
        });
        state.queue.on_dispatch(uncached_tokens, dispatch.now);
        state.health.on_dispatch(dispatch.now);
    }

    fn on_finish(&mut self, finish: &picker::FinishReport<'_>) {
        let Some(slot) = self.index.slot(finish.replica) else { return };
        let Some(state) = self.index.state_mut(slot) else { return };
        let is_same_request = |request: &index::OpenRequest| {
            request.dispatched_at == finish.dispatched_at
                && request.prompt_tokens == finish.prompt_tokens
        };
        let Some(position) = state.open_requests.iter().position(is_same_request) else { return };
        let request = state.open_requests.swap_remove(position);
        state.queue.on_finish(request.dispatched_at);
        let has_failed = finish.outcome == picker::FinishOutcome::Failed
            || finish.outcome == picker::FinishOutcome::Refused;
        if has_failed {
            self.prefix_index.remove_prompt(slot, finish.prefix, finish.dispatched_at);
        }
        if let Some(usage) = finish.usage {
            self.prefix_index.adjust_capacity(
                slot,
                request.expected_hit,
                request.reuse_distance,
                usage.cached,
            );
        }
        self.record_sample(slot, finish, &request);
    }

    fn on_cache_events(&mut self, batch: &picker::CacheBatch<'_>) {
        let Some(slot) = self.index.slot(batch.replica) else { return };
        let newest_event_at =
            time::MonotonicTime::new(batch.now.get().saturating_sub(batch.age.get()));
        self.prefix_index.apply_events(slot, batch.first_number, batch.events, newest_event_at);
    }

    fn on_load_report(
        &mut self,
        replica: &id::ReplicaId,
        report: &zone::LoadReport,
        now: time::MonotonicTime,
    ) {
        let Some(slot) = self.index.slot(replica) else { return };
        if let Some(state) = self.index.state_mut(slot) {
            state.queue.on_load_report(report, now);
        }
    }
}

impl ScoredPicker {
    /// Updates latency and health with an ended request.
    fn record_sample(
        &mut self,
        slot: prefix_index::ReplicaSlot,
        finish: &picker::FinishReport<'_>,
        request: &index::OpenRequest,
    ) {
        let Some(pool) = self.index.state(slot).map(|state| state.pool.clone()) else { return };
        if let (picker::FinishOutcome::Complete, Some(ttft)) = (finish.outcome, finish.ttft) {
            self.index.pool_mut(&pool).latency.sample(request.forecast_ttft_ms, ttft);
        }
        let pool_state = self.index.pool_mut(&pool);
        // One of two replicas may be ejected, but never the only one.
        let max_ejected = (pool_state.replica_count / REPLICAS_PER_EJECTION).max(1);
        let may_eject = pool_state.replica_count > 1 && pool_state.unhealthy.len() < max_ejected;
        let pool_ttft_ratio = pool_state.latency.ratio();
        let Some(state) = self.index.state_mut(slot) else { return };
        let sample = match (finish.outcome, finish.ttft) {
            (picker::FinishOutcome::Complete, Some(ttft)) => {
                let duration = finish.now.since(finish.dispatched_at);
                // Drops the samples from before the ejection, so that they do not distort the
                // average after a successful probe.
                if !state.health.is_healthy() {
                    state.latency = latency::LatencyEstimate::default();
                }
                state.latency.sample(request.forecast_ttft_ms, ttft, duration, finish.now);
                let relative_latency =
                    ttft.get() as f64 / (request.forecast_ttft_ms * pool_ttft_ratio).max(1.0);
                let average_latency = state.latency.ratio() / pool_ttft_ratio;
                health::HealthSample::Success {
                    relative_latency,
                    average_latency,
                    samples: state.latency.samples(),
                }
            }
            (picker::FinishOutcome::Failed | picker::FinishOutcome::Refused, _) => {
                health::HealthSample::Failure
            }
            _ => return,
        };
        state.health.on_sample(sample, may_eject, finish.now);
        let is_healthy = state.health.is_healthy();
        let unhealthy = &mut self.index.pool_mut(&pool).unhealthy;
        unhealthy.retain(|unhealthy_slot| *unhealthy_slot != slot);
        if !is_healthy {
            unhealthy.push(slot);
        }
    }
}

/// Returns the TTFT forecast for a replica as if it had baseline speed, in milliseconds.
fn forecast_ttft_ms(
    state: &index::ReplicaState,
    uncached_tokens: quantity::TokenCount,
    daemon_count: u32,
    now: time::MonotonicTime,
) -> f64 {
    let duration_ms = state.latency.duration_ms();
    let queue_forecast =
        state.queue.forecast(now, &queue::QueueTurnover { duration_ms, daemon_count });
    latency::baseline_ttft_ms(queue_forecast, uncached_tokens, state.concurrency, duration_ms)
}

/// Returns the replica that caches the longest prefix of the prompt, if the request continues a
/// session there and the replica is expected to meet the latency target.
fn session_replica<'a>(
    scored: &'a [ScoredReplica],
    query: &picker::RouteQuery<'_>,
) -> Option<&'a ScoredReplica> {
    let best_cached = scored.iter().max_by(|left, right| {
        let by_hit = left.terms.expected_hit.cmp(&right.terms.expected_hit);
        by_hit.then_with(|| right.terms.total().total_cmp(&left.terms.total()))
    })?;
    let hit = best_cached.terms.expected_hit.get() as f64;
    let is_continuation =
        hit > 0.0 && hit >= query.prompt_tokens.get() as f64 * MIN_SESSION_HIT_SHARE;
    let is_session_replica =
        is_continuation && score::meets_target(best_cached.ttft_ms, &query.service.latency);
    is_session_replica.then_some(best_cached)
}

/// Returns a random replica among those whose score is close to the best, so that daemons that see
/// the same load reports do not all choose the same replica.
fn pick_near_best<'a>(
    scored: &'a [ScoredReplica],
    generator: &mut rand_chacha::ChaCha8Rng,
) -> Option<&'a ScoredReplica> {
    let totals = scored.iter().map(|replica| replica.terms.total());
    let best = totals.min_by(f64::total_cmp)?;
    let bound = best * TIE_FACTOR + TIE_MARGIN_MS;
    let is_near_best = |replica: &&ScoredReplica| replica.terms.total() <= bound;
    let count = scored.iter().filter(is_near_best).count();
    scored.iter().filter(is_near_best).nth(generator.random_range(0..count.max(1)))
}
