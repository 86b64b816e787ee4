//! Simple policies against which the scored one is measured.

use std::collections;

use rand::Rng as _;
use rand::SeedableRng as _;
use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_view::zone;

use crate::picker;
use crate::picker::ReplicaPicker;
use crate::prefix;

fn eligible<'a>(
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
    random: u64,
) -> Option<&'a zone::ReplicaView> {
    if candidates.is_empty() {
        return None;
    }
    let mut generator = rand_chacha::ChaCha8Rng::seed_from_u64(random);
    Some(candidates[generator.random_range(0..candidates.len())])
}

fn choice(replica: &zone::ReplicaView) -> picker::RouteChoice {
    picker::RouteChoice { replica: replica.id.clone(), terms: picker::ScoreTerms::default() }
}

/// Picks any eligible replica.
#[derive(Debug, Default)]
pub struct RandomPicker;

impl ReplicaPicker for RandomPicker {
    fn pick(
        &mut self,
        view: &zone::ZoneView,
        query: &picker::RouteQuery<'_>,
    ) -> Option<picker::RouteChoice> {
        let candidates: Vec<_> = eligible(view, query).collect();
        pick_at_random(&candidates, query.seed).map(choice)
    }

    fn on_dispatch(&mut self, _: &picker::DispatchReport<'_>) {}
    fn on_finish(&mut self, _: &picker::FinishReport<'_>) {}
    fn on_cache_events(&mut self, _: &picker::CacheBatch<'_>) {}
    fn on_load_report(&mut self, _: &id::ReplicaId, _: &zone::LoadReport, _: time::MonotonicTime) {}
}

/// Picks the replica with the fewest requests: its last report and what this daemon has open.
#[derive(Debug, Default)]
pub struct LeastLoadedPicker {
    open: collections::HashMap<id::ReplicaId, u32>,
}

impl ReplicaPicker for LeastLoadedPicker {
    fn pick(
        &mut self,
        view: &zone::ZoneView,
        query: &picker::RouteQuery<'_>,
    ) -> Option<picker::RouteChoice> {
        let requests = |replica: &zone::ReplicaView| {
            let reported = replica.load.running + replica.load.queued;
            reported.max(self.open.get(&replica.id).copied().unwrap_or(0))
        };
        let least = eligible(view, query).map(requests).min()?;
        let candidates: Vec<_> =
            eligible(view, query).filter(|replica| requests(replica) == least).collect();
        pick_at_random(&candidates, query.seed).map(choice)
    }

    fn on_dispatch(&mut self, dispatch: &picker::DispatchReport<'_>) {
        *self.open.entry(dispatch.replica.clone()).or_default() += 1;
    }

    fn on_finish(&mut self, finish: &picker::FinishReport<'_>) {
        let Some(count) = self.open.get_mut(finish.replica) else { return };
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.open.remove(finish.replica);
        }
    }

    fn on_cache_events(&mut self, _: &picker::CacheBatch<'_>) {}
    fn on_load_report(&mut self, _: &id::ReplicaId, _: &zone::LoadReport, _: time::MonotonicTime) {}
}

/// Sends each prefix where it went last, and a new one at random; load does not count.
#[derive(Debug, Default)]
pub struct PrefixOnlyPicker {
    last: collections::HashMap<prefix::PrefixHash, id::ReplicaId>,
}

/// Blocks that [`PrefixOnlyPicker`] remembers before it starts afresh.
const PREFIX_ONLY_BLOCKS: usize = 200_000;

impl ReplicaPicker for PrefixOnlyPicker {
    fn pick(
        &mut self,
        view: &zone::ZoneView,
        query: &picker::RouteQuery<'_>,
    ) -> Option<picker::RouteChoice> {
        let candidates: Vec<_> = eligible(view, query).collect();
        let known = query.prefix.iter().rev().find_map(|hash| {
            let replica = self.last.get(hash)?;
            candidates.iter().find(|candidate| candidate.id == *replica)
        });
        match known {
            Some(replica) => Some(choice(replica)),
            None => pick_at_random(&candidates, query.seed).map(choice),
        }
    }

    fn on_dispatch(&mut self, dispatch: &picker::DispatchReport<'_>) {
        if self.last.len() + dispatch.prefix.len() > PREFIX_ONLY_BLOCKS {
            self.last.clear();
        }
        for hash in dispatch.prefix {
            self.last.insert(*hash, dispatch.replica.clone());
        }
    }

    fn on_finish(&mut self, _: &picker::FinishReport<'_>) {}
    fn on_cache_events(&mut self, _: &picker::CacheBatch<'_>) {}
    fn on_load_report(&mut self, _: &id::ReplicaId, _: &zone::LoadReport, _: time::MonotonicTime) {}
}
