//! Baseline policies that the scored policy is compared with.

use std::collections;

use rand::Rng as _;
use rand::SeedableRng as _;
use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_view::zone;

use crate::picker;
use crate::picker::ReplicaPicker;
use crate::prefix;

fn eligible_replicas<'a>(
    view: &'a zone::ZoneView,
    query: &'a picker::RouteQuery<'_>,
) -> impl Iterator<Item = &'a zone::ReplicaView> {
    view.replicas.iter().filter(move |replica| {
        picker::is_eligible(&view.records, query.service, replica)
            && !query.excluded.contains(&replica.id)
    })
}

fn pick_at_random<'a>(
    candidates: &[&'a zone::ReplicaView],
    seed: u64,
) -> Option<&'a zone::ReplicaView> {
    if candidates.is_empty() {
        return None;
    }
    let mut generator = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    Some(candidates[generator.random_range(0..candidates.len())])
}

fn unscored_choice(replica: &zone::ReplicaView) -> picker::RouteChoice {
    picker::RouteChoice { replica: replica.id.clone(), terms: picker::ScoreTerms::default() }
}

/// Picks an eligible replica at random.
#[derive(Debug, Default)]
pub struct RandomPicker;

impl ReplicaPicker for RandomPicker {
    fn pick(
        &mut self,
        view: &zone::ZoneView,
        query: &picker::RouteQuery<'_>,
    ) -> Option<picker::RouteChoice> {
        let candidates: Vec<_> = eligible_replicas(view, query).collect();
        pick_at_random(&candidates, query.seed).map(unscored_choice)
    }

    fn on_dispatch(&mut self, _: &picker::DispatchReport<'_>) {}
    fn on_finish(&mut self, _: &picker::FinishReport<'_>) {}
    fn on_cache_events(&mut self, _: &picker::CacheBatch<'_>) {}
    fn on_load_report(&mut self, _: &id::ReplicaId, _: &zone::LoadReport, _: time::MonotonicTime) {}
}

/// Picks the replica with the fewest requests, by its last load report or by this daemon's open
/// requests, whichever is greater.
#[derive(Debug, Default)]
pub struct LeastLoadedPicker {
    open_request_counts: collections::HashMap<id::ReplicaId, u32>,
}

impl ReplicaPicker for LeastLoadedPicker {
    fn pick(
        &mut self,
        view: &zone::ZoneView,
        query: &picker::RouteQuery<'_>,
    ) -> Option<picker::RouteChoice> {
        let request_count = |replica: &zone::ReplicaView| {
            let reported = replica.load.running + replica.load.queued;
            reported.max(self.open_request_counts.get(&replica.id).copied().unwrap_or(0))
        };
        let fewest_requests = eligible_replicas(view, query).map(request_count).min()?;
        let candidates: Vec<_> = eligible_replicas(view, query)
            .filter(|replica| request_count(replica) == fewest_requests)
            .collect();
        pick_at_random(&candidates, query.seed).map(unscored_choice)
    }

    fn on_dispatch(&mut self, dispatch: &picker::DispatchReport<'_>) {
        *self.open_request_counts.entry(dispatch.replica.clone()).or_default() += 1;
    }

    fn on_finish(&mut self, finish: &picker::FinishReport<'_>) {
        let Some(count) = self.open_request_counts.get_mut(finish.replica) else { return };
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.open_request_counts.remove(finish.replica);
        }
    }

    fn on_cache_events(&mut self, _: &picker::CacheBatch<'_>) {}
    fn on_load_report(&mut self, _: &id::ReplicaId, _: &zone::LoadReport, _: time::MonotonicTime) {}
}

/// Picks the replica to which the longest known prefix of the prompt was last dispatched, and a
/// random one if no prefix is known; ignores load.
#[derive(Debug, Default)]
pub struct PrefixOnlyPicker {
    last_replicas: collections::HashMap<prefix::PrefixHash, id::ReplicaId>,
}

/// Number of blocks that [`PrefixOnlyPicker`] remembers; beyond it, the picker forgets all blocks.
const MAX_REMEMBERED_BLOCKS: usize = 200_000;

impl ReplicaPicker for PrefixOnlyPicker {
    fn pick(
        &mut self,
        view: &zone::ZoneView,
        query: &picker::RouteQuery<'_>,
    ) -> Option<picker::RouteChoice> {
        let candidates: Vec<_> = eligible_replicas(view, query).collect();
        let last_replica = query.prefix.iter().rev().find_map(|hash| {
            let replica = self.last_replicas.get(hash)?;
            candidates.iter().find(|candidate| candidate.id == *replica)
        });
        match last_replica {
            Some(replica) => Some(unscored_choice(replica)),
            None => pick_at_random(&candidates, query.seed).map(unscored_choice),
        }
    }

    fn on_dispatch(&mut self, dispatch: &picker::DispatchReport<'_>) {
        if self.last_replicas.len() + dispatch.prefix.len() > MAX_REMEMBERED_BLOCKS {
            self.last_replicas.clear();
        }
        for hash in dispatch.prefix {
            self.last_replicas.insert(*hash, dispatch.replica.clone());
        }
    }

    fn on_finish(&mut self, _: &picker::FinishReport<'_>) {}
    fn on_cache_events(&mut self, _: &picker::CacheBatch<'_>) {}
    fn on_load_report(&mut self, _: &id::ReplicaId, _: &zone::LoadReport, _: time::MonotonicTime) {}
}
