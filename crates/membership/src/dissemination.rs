//! Which news go into a message of bounded size.
//!
//! Fresh news go first, each a bounded number of times. What is left of the message is filled by a
//! walk over everything that is known, so that a daemon that missed some news gets them within
//! one round of the walk.

use std::collections;

use crate::gossip;

/// Times that a daemon tells a piece of news beyond the logarithm of the number of daemons.
const EXTRA_SENDS: u32 = 2;

/// Whom news are told.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum NewsScope {
    /// Daemons of the own availability zone.
    OwnZone,
    /// Every daemon.
    AllZones,
}

/// Bytes of news in one message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NewsBudget {
    /// All of them.
    pub message_bytes: usize,
    /// Those of the walk at most.
    pub walk_bytes: usize,
}

/// News that wait to be told.
#[derive(Clone, Debug, Default)]
pub struct NewsQueue {
    all_zones: FreshQueue,
    own_zone: FreshQueue,
    walk_after: Option<gossip::UpdateKey>,
}

impl NewsQueue {
    /// Queues news on a subject: those for all zones before what waits, loads behind it.
    pub fn push(&mut self, subject: gossip::UpdateKey, scope: NewsScope, daemon_count: usize) {
        let sends_left = daemon_count.max(1).ilog2() + 1 + EXTRA_SENDS;
        match scope {
            NewsScope::AllZones => {
                self.own_zone.remove(&subject);
                self.all_zones.push_front(subject, sends_left);
            }
            // News that wait for every daemon reach the own zone too.
            NewsScope::OwnZone if self.all_zones.has(&subject) => {}
            NewsScope::OwnZone => self.own_zone.push_back(subject, sends_left),
        }
    }

    /// Takes subjects whose news fit into the budget: fresh ones, then the walk.
    ///
    /// `look_up` gives the present news on a subject; `next_after` gives the subject that follows
    /// in the order of all that is known.
    pub fn take(
        &mut self,
        budget: NewsBudget,
        scope: NewsScope,
        look_up: impl Fn(&gossip::UpdateKey) -> Option<gossip::GossipUpdate>,
        next_after: impl Fn(Option<&gossip::UpdateKey>) -> Option<gossip::UpdateKey>,
    ) -> Vec<gossip::GossipUpdate> {
        let mut taken = TakenNews { items: Vec::new(), left: budget.message_bytes };
        self.all_zones.take(&mut taken, &look_up);
        if scope == NewsScope::OwnZone {
            self.own_zone.take(&mut taken, &look_up);
        }
        taken.left = taken.left.min(budget.walk_bytes);
        self.walk(&mut taken, &look_up, &next_after);
        taken.items
    }

    fn walk(
        &mut self,
        taken: &mut TakenNews,
        look_up: &impl Fn(&gossip::UpdateKey) -> Option<gossip::GossipUpdate>,
        next_after: &impl Fn(Option<&gossip::UpdateKey>) -> Option<gossip::UpdateKey>,
    ) {
        let mut first_walked = None;
        loop {
            let next = next_after(self.walk_after.as_ref()).or_else(|| next_after(None));
            let Some(next) = next else { return };
            if first_walked.as_ref() == Some(&next) {
                return;
            }
            let item = look_up(&next).filter(|item| !taken.has(item));
            if item.is_some_and(|item| !taken.add(item)) {
                return;
            }
            first_walked.get_or_insert_with(|| next.clone());
            self.walk_after = Some(next);
        }
    }
}

/// Subjects in the order in which they are told, each a number of times.
#[derive(Clone, Debug, Default)]
struct FreshQueue {
    places: collections::HashMap<gossip::UpdateKey, i64>,
    waiting: collections::BTreeMap<i64, QueuedNews>,
}

#[derive(Clone, Debug)]
struct QueuedNews {
    subject: gossip::UpdateKey,
    sends_left: u32,
}

impl FreshQueue {
    fn has(&self, subject: &gossip::UpdateKey) -> bool {
        self.places.contains_key(subject)
    }

    fn push_front(&mut self, subject: gossip::UpdateKey, sends_left: u32) {
        self.remove(&subject);
        let place = self.waiting.first_key_value().map_or(0, |(place, _)| place - 1);
        self.insert(place, QueuedNews { subject, sends_left });
    }

    /// News that wait already keep their place.
    fn push_back(&mut self, subject: gossip::UpdateKey, sends_left: u32) {
        if let Some(place) = self.places.get(&subject) {
            self.waiting.insert(*place, QueuedNews { subject, sends_left });
            return;
        }
        let place = self.waiting.last_key_value().map_or(0, |(place, _)| place + 1);
        self.insert(place, QueuedNews { subject, sends_left });
    }

    fn insert(&mut self, place: i64, queued: QueuedNews) {
        self.places.insert(queued.subject.clone(), place);
        self.waiting.insert(place, queued);
    }

    fn remove(&mut self, subject: &gossip::UpdateKey) {
        if let Some(place) = self.places.remove(subject) {
            self.waiting.remove(&place);
        }
    }

    /// Takes from the front what fits; what was told waits behind the rest, until it was told often
    /// enough.
    fn take(
        &mut self,
        taken: &mut TakenNews,
        look_up: &impl Fn(&gossip::UpdateKey) -> Option<gossip::GossipUpdate>,
    ) {
        let mut told = Vec::new();
        while let Some((place, queued)) = self.waiting.pop_first() {
            self.places.remove(&queued.subject);
            // What is not known any more is no news.
            let Some(item) = look_up(&queued.subject) else { continue };
            if !taken.add(item) {
                self.insert(place, queued);
                break;
            }
            told.push(queued);
        }
        for queued in told.into_iter().filter(|queued| queued.sends_left > 1) {
            self.push_back(queued.subject, queued.sends_left - 1);
        }
    }
}

struct TakenNews {
    items: Vec<gossip::GossipUpdate>,
    left: usize,
}

impl TakenNews {
    /// Adds an item where it fits; the first one always does, so that long names stop nothing.
    fn add(&mut self, item: gossip::GossipUpdate) -> bool {
        let size = item.wire_bytes();
        if size > self.left && !self.items.is_empty() {
            return false;
        }
        self.left = self.left.saturating_sub(size);
        self.items.push(item);
        true
    }

    fn has(&self, item: &gossip::GossipUpdate) -> bool {
        self.items.contains(item)
    }
}
