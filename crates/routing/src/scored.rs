//! The routing policy of the daemons.

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

/// Replicas of a service up to which every one is scored; beyond, a sample.
pub const FULL_SCAN_REPLICAS: usize = 32;
/// Sampled replicas in the daemon's availability zone.
const LOCAL_SAMPLE: usize = 12;
/// Sampled replicas in other availability zones.
const REMOTE_SAMPLE: usize = 4;
/// Draws for each wanted member of a sample; some fall on replicas that can't be taken.
const DRAWS_PER_MEMBER: usize = 2;
/// Blocks of prompts that one picker remembers.
pub const MAX_INDEXED_BLOCKS: usize = 200_000;
/// One in this many requests goes to a replica whose probe is due.
const PROBE_ONE_IN: u32 = 16;
/// At most one in this many replicas of a pool is ejected.
const EJECTED_ONE_IN: usize = 3;
/// Share of the prompt that must be cached for a request to count as a session's next.
const SESSION_SHARE: f64 = 0.5;
/// Scores up to this many times the best one are close to it.
const NEAR_FACTOR: f64 = 1.05;
/// Scores up to this many milliseconds above the best one are close to it.
const NEAR_MS: f64 = 5.0;

type SlotList = SmallVec<[prefix_index::ReplicaSlot; 32]>;

/// One replica with its score.
#[derive(Clone, Copy, Debug)]
struct ScoredReplica {
    slot: prefix_index::ReplicaSlot,
    terms: picker::ScoreTerms,
    first_ms: f64,
}

/// Scores a bounded number of replicas for each request.
#[derive(Debug)]
pub struct ScoredPicker {
    index: index::ReplicaIndex,
    history: prefix_index::PrefixIndex,
}

impl Default for ScoredPicker {
    fn default() -> Self {
        ScoredPicker::new(MAX_INDEXED_BLOCKS)
    }
}

impl ScoredPicker {
    /// A picker that remembers at most `history_blocks` blocks of prompts.
    pub fn new(history_blocks: usize) -> Self {
        ScoredPicker {
            index: index::ReplicaIndex::default(),
            history: prefix_index::PrefixIndex::new(history_blocks),
        }
    }

    /// Scores of the replicas that a request would be weighed among, best first.
    pub fn explain(
        &mut self,
        view: &zone::ZoneView,
        query: &picker::RouteQuery<'_>,
    ) -> Vec<picker::RouteChoice> {
        self.sync(view, query.now);
        let mut generator = rand_chacha::ChaCha8Rng::seed_from_u64(query.seed);
        let mut scored = self.scored(query, &mut generator);
        scored.sort_by(|left, right| left.terms.total().total_cmp(&right.terms.total()));
        scored.iter().filter_map(|replica| self.choice(replica)).collect()
    }

    /// Health of a replica, where it is known.
    pub fn health(&self, replica: &id::ReplicaId) -> Option<health::HealthState> {
        let slot = self.index.slot(replica)?;
        self.index.state(slot).map(|state| state.health.state())
    }

    fn sync(&mut self, view: &zone::ZoneView, now: time::MonotonicTime) {
        for slot in self.index.sync(view, now) {
            self.history.reset_replica(slot, now);
        }
    }

    fn scored(
        &self,
        query: &picker::RouteQuery<'_>,
        generator: &mut rand_chacha::ChaCha8Rng,
    ) -> Vec<ScoredReplica> {
        let Some(list) = self.index.service(&query.service.id) else { return Vec::new() };
        let hits = self.history.expected_hits(query.prefix);
        let candidates = self.candidates(list, query, &hits, generator);
        let hit_of = |slot| {
            let hit = hits.iter().find(|hit| hit.slot == slot);
            hit.map_or(quantity::TokenCount::default(), |hit| hit.tokens)
        };
        let score = |slot| self.score(list, query, slot, hit_of(slot));
        candidates.into_iter().filter_map(score).collect()
    }

    /// Every usable replica of a small service; of a large one those that hold the prefix, and a
    /// random sample.
    fn candidates(
        &self,
        list: &index::ServiceList,
        query: &picker::RouteQuery<'_>,
        hits: &[prefix_index::ExpectedHit],
        generator: &mut rand_chacha::ChaCha8Rng,
    ) -> SlotList {
        if list.len() <= FULL_SCAN_REPLICAS {
            return self.usable_or_any(list.all().collect(), query);
        }
        let mut slots: SlotList = SlotList::new();
        for hit in hits {
            let state = self.index.state(hit.slot);
            let is_listed = state.is_some_and(|state| state.serves(&query.service.id));
            if is_listed && self.is_usable(hit.slot, query) {
                slots.push(hit.slot);
            }
        }
        let mut sample = |from: &[prefix_index::ReplicaSlot], wanted: usize| {
            if from.is_empty() {
                return;
            }
            let full = slots.len() + wanted;
            for _ in 0..wanted * DRAWS_PER_MEMBER {
                let slot = from[generator.random_range(0..from.len())];
                if slots.len() < full && !slots.contains(&slot) && self.is_usable(slot, query) {
                    slots.push(slot);
                }
            }
        };
        sample(&list.local, LOCAL_SAMPLE);
        sample(&list.remote, REMOTE_SAMPLE);
        if slots.is_empty() {
            return self.usable_or_any(list.all().collect(), query);
        }
        slots
    }

    /// Usable replicas, or where there are none the ejected ones too: some answer is better.
    fn usable_or_any(&self, slots: SlotList, query: &picker::RouteQuery<'_>) -> SlotList {
        let usable: SlotList =
            slots.iter().copied().filter(|slot| self.is_usable(*slot, query)).collect();
        if !usable.is_empty() {
            return usable;
        }
        slots.into_iter().filter(|slot| !self.is_avoided(*slot, query)).collect()
    }

    fn is_usable(&self, slot: prefix_index::ReplicaSlot, query: &picker::RouteQuery<'_>) -> bool {
        let is_healthy = self.index.state(slot).is_some_and(|state| state.health.is_healthy());
        is_healthy && !self.is_avoided(slot, query)
    }

    fn is_avoided(&self, slot: prefix_index::ReplicaSlot, query: &picker::RouteQuery<'_>) -> bool {
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
        let missing = query.prompt_tokens.get().saturating_sub(expected_hit.get());
        let missing = quantity::TokenCount::new(missing);
        let pool = self.index.pool(&state.pool)?;
        let ratio = state.pace.expected_ratio(&pool.pace, query.now);
        let first_ms = forecast_ms(state, missing, self.index.daemons(), query.now) * ratio;
        let input = score::ScoreInput {
            prompt_tokens: query.prompt_tokens,
            expected_hit,
            ttft_ms: first_ms,
            duration_ms: state.pace.duration_ms(),
            relative_price: state.price / list.mean_price.max(1.0),
            reclaim_risk: state.reclaim_risk,
            is_local: state.is_local,
        };
        let terms = score::terms(&input, &query.service.latency, &query.service.weights);
        Some(ScoredReplica { slot, terms, first_ms })
    }

    fn due_probe(
        &self,
        query: &picker::RouteQuery<'_>,
        generator: &mut rand_chacha::ChaCha8Rng,
    ) -> Option<ScoredReplica> {
        if generator.random_range(0..PROBE_ONE_IN) != 0 {
            return None;
        }
        let list = self.index.service(&query.service.id)?;
        let is_due = |slot: &prefix_index::ReplicaSlot| {
            let state = self.index.state(*slot);
            state.is_some_and(|state| {
                state.health.is_probe_due(query.now) && state.serves(&query.service.id)
            }) && !self.is_avoided(*slot, query)
        };
        let pools = list.pools.iter().filter_map(|pool| self.index.pool(pool));
        let slot = pools.flat_map(|pool| &pool.ejected).copied().find(is_due)?;
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
        self.sync(view, query.now);
        let mut generator = rand_chacha::ChaCha8Rng::seed_from_u64(query.seed);
        if let Some(probe) = self.due_probe(query, &mut generator) {
            return self.choice(&probe);
        }
        let scored = self.scored(query, &mut generator);
        let best = match session_home(&scored, query) {
            Some(home) => home,
            None => near_least(&scored, &mut generator)?,
        };
        self.choice(best)
    }

    fn on_dispatch(&mut self, dispatch: &picker::DispatchReport<'_>) {
        let Some(slot) = self.index.slot(dispatch.replica) else { return };
        let hits = self.history.expected_hits(dispatch.prefix);
        let hit = hits.iter().find(|hit| hit.slot == slot);
        let expected_hit = hit.map_or(quantity::TokenCount::default(), |hit| hit.tokens);
        let distance = self.history.reuse_distance(slot, dispatch.prefix, expected_hit);
        let missing = dispatch.prompt_tokens.get().saturating_sub(expected_hit.get());
        let missing = quantity::TokenCount::new(missing);
        self.history.record_prompt(slot, dispatch.prefix, missing, dispatch.now);
        let daemons = self.index.daemons();
        let Some(state) = self.index.state_mut(slot) else { return };
        state.open.push(index::OpenRequest {
            at: dispatch.now,
            prompt_tokens: dispatch.prompt_tokens,
            expected_hit,
            reuse_distance: distance.unwrap_or_default(),
            forecast_ms: forecast_ms(state, missing, daemons, dispatch.now),
        });
        state.queue.on_dispatch(missing, dispatch.now);
        state.health.on_dispatch(dispatch.now);
    }

    fn on_finish(&mut self, finish: &picker::FinishReport<'_>) {
        let Some(slot) = self.index.slot(finish.replica) else { return };
        let Some(state) = self.index.state_mut(slot) else { return };
        let matches = |open: &index::OpenRequest| {
            open.at == finish.dispatched_at && open.prompt_tokens == finish.prompt_tokens
        };
        let Some(position) = state.open.iter().position(matches) else { return };
        let open = state.open.swap_remove(position);
        state.queue.on_finish(open.at);
        let has_failed = finish.outcome == picker::FinishOutcome::Failed
            || finish.outcome == picker::FinishOutcome::Refused;
        if has_failed {
            self.history.remove_prompt(slot, finish.prefix, finish.dispatched_at);
        }
        if let Some(usage) = finish.usage {
            self.history.adjust_capacity(
                slot,
                open.expected_hit,
                open.reuse_distance,
                usage.cached,
            );
        }
        self.judge(slot, finish, &open);
    }

    fn on_cache_events(&mut self, batch: &picker::CacheBatch<'_>) {
        let Some(slot) = self.index.slot(batch.replica) else { return };
        let at = time::MonotonicTime::new(batch.now.get().saturating_sub(batch.age.get()));
        self.history.apply_events(slot, batch.first_number, batch.events, at);
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
    /// Updates pace and health by an ended request.
    fn judge(
        &mut self,
        slot: prefix_index::ReplicaSlot,
        finish: &picker::FinishReport<'_>,
        open: &index::OpenRequest,
    ) {
        let Some(pool) = self.index.state(slot).map(|state| state.pool.clone()) else { return };
        if let (picker::FinishOutcome::Complete, Some(first)) = (finish.outcome, finish.ttft) {
            self.index.pool_mut(&pool).pace.sample(open.forecast_ms, first);
        }
        let pool_state = self.index.pool_mut(&pool);
        // Of two replicas one may be ejected; a single one never.
        let most = (pool_state.replicas / EJECTED_ONE_IN).max(1);
        let may_eject = pool_state.replicas > 1 && pool_state.ejected.len() < most;
        let pool_ratio = pool_state.pace.ratio();
        let Some(state) = self.index.state_mut(slot) else { return };
        let sample = match (finish.outcome, finish.ttft) {
            (picker::FinishOutcome::Complete, Some(first)) => {
                let duration = finish.now.since(finish.dispatched_at);
                // A slow spell must not outlive itself in the average once a probe went well.
                if !state.health.is_healthy() {
                    state.pace = latency::LatencyEstimate::default();
                }
                state.pace.sample(open.forecast_ms, first, duration, finish.now);
                let relative = first.get() as f64 / (open.forecast_ms * pool_ratio).max(1.0);
                let average = state.pace.ratio() / pool_ratio;
                health::HealthSample::Success { relative, average, samples: state.pace.samples() }
            }
            (picker::FinishOutcome::Failed | picker::FinishOutcome::Refused, _) => {
                health::HealthSample::Failure
            }
            _ => return,
        };
        state.health.on_sample(sample, may_eject, finish.now);
        let is_healthy = state.health.is_healthy();
        let ejected = &mut self.index.pool_mut(&pool).ejected;
        ejected.retain(|known| *known != slot);
        if !is_healthy {
            ejected.push(slot);
        }
    }
}

fn forecast_ms(
    state: &index::ReplicaState,
    missing: quantity::TokenCount,
    daemons: u32,
    now: time::MonotonicTime,
) -> f64 {
    let duration_ms = state.pace.duration_ms();
    let queue = state.queue.forecast(now, &queue::QueueTurnover { duration_ms, daemons });
    latency::baseline_ttft_ms(queue, missing, state.concurrency, duration_ms)
}

/// The replica that holds a session's prefix, while it keeps the latency target.
fn session_home<'a>(
    scored: &'a [ScoredReplica],
    query: &picker::RouteQuery<'_>,
) -> Option<&'a ScoredReplica> {
    let home = scored.iter().max_by(|left, right| {
        let by_hit = left.terms.expected_hit.cmp(&right.terms.expected_hit);
        by_hit.then_with(|| right.terms.total().total_cmp(&left.terms.total()))
    })?;
    let hit = home.terms.expected_hit.get() as f64;
    let is_session = hit > 0.0 && hit >= query.prompt_tokens.get() as f64 * SESSION_SHARE;
    let stays = is_session && score::meets_target(home.first_ms, &query.service.latency);
    stays.then_some(home)
}

/// One of the replicas whose score is close to the best: daemons that see the same reports must
/// not all choose the same one.
fn near_least<'a>(
    scored: &'a [ScoredReplica],
    generator: &mut rand_chacha::ChaCha8Rng,
) -> Option<&'a ScoredReplica> {
    let totals = scored.iter().map(|replica| replica.terms.total());
    let least = totals.min_by(f64::total_cmp)?;
    let bound = least * NEAR_FACTOR + NEAR_MS;
    let near = |replica: &&ScoredReplica| replica.terms.total() <= bound;
    let count = scored.iter().filter(near).count();
    scored.iter().filter(near).nth(generator.random_range(0..count.max(1)))
}
