//! Which news go into a message of bounded size.
//!
//! Fresh news go first, each a bounded number of times. What is left of the message is filled by a
//! walk over everything that is known, so that a daemon that missed some news gets them within
//! one round of the walk.

use std::collections;

use crate::news;

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

/// News that wait to be told.
#[derive(Clone, Debug, Default)]
pub struct NewsQueue {
    waiting: collections::VecDeque<QueuedNews>,
    walk_after: Option<news::NewsSubject>,
}

#[derive(Clone, Debug)]
struct QueuedNews {
    subject: news::NewsSubject,
    scope: NewsScope,
    sends_left: u32,
}

impl NewsQueue {
    /// Queues news on a subject in front of what was told already.
    pub fn push(&mut self, subject: news::NewsSubject, scope: NewsScope, daemon_count: usize) {
        // News that wait for a wider scope keep it.
        let waits = self.waiting.iter().find(|queued| queued.subject == subject);
        let scope = waits.map_or(scope, |queued| queued.scope.max(scope));
        self.waiting.retain(|queued| queued.subject != subject);
        let sends_left = daemon_count.max(1).ilog2() + 1 + EXTRA_SENDS;
        self.waiting.push_front(QueuedNews { subject, scope, sends_left });
    }

    /// Whether fresh news wait.
    pub fn has_fresh(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Takes subjects whose news fit into `budget` bytes: fresh ones, then the walk.
    ///
    /// Fresh news are taken where their scope is at least `scope`. `look_up` gives the present news
    /// on a subject; `next_after` gives the subject that follows in the order of all that is known.
    pub fn take(
        &mut self,
        budget: usize,
        scope: NewsScope,
        look_up: impl Fn(&news::NewsSubject) -> Option<news::NewsItem>,
        next_after: impl Fn(Option<&news::NewsSubject>) -> Option<news::NewsSubject>,
    ) -> Vec<news::NewsItem> {
        let mut taken = TakenNews { items: Vec::new(), left: budget };
        self.take_fresh(&mut taken, scope, &look_up);
        self.walk(&mut taken, &look_up, &next_after);
        taken.items
    }

    fn take_fresh(
        &mut self,
        taken: &mut TakenNews,
        scope: NewsScope,
        look_up: &impl Fn(&news::NewsSubject) -> Option<news::NewsItem>,
    ) {
        let mut told = Vec::new();
        for _ in 0..self.waiting.len() {
            let Some(mut queued) = self.waiting.pop_front() else { break };
            // What is not known any more is no news.
            let Some(item) = look_up(&queued.subject) else { continue };
            if queued.scope >= scope && taken.add(item) {
                queued.sends_left -= 1;
                told.push(queued);
            } else {
                self.waiting.push_back(queued);
            }
        }
        // What was told most often waits behind the rest.
        told.retain(|queued| queued.sends_left > 0);
        self.waiting.extend(told);
    }

    fn walk(
        &mut self,
        taken: &mut TakenNews,
        look_up: &impl Fn(&news::NewsSubject) -> Option<news::NewsItem>,
        next_after: &impl Fn(Option<&news::NewsSubject>) -> Option<news::NewsSubject>,
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

struct TakenNews {
    items: Vec<news::NewsItem>,
    left: usize,
}

impl TakenNews {
    /// Adds an item where it fits.
    fn add(&mut self, item: news::NewsItem) -> bool {
        let size = item.wire_bytes();
        if size > self.left {
            return false;
        }
        self.left -= size;
        self.items.push(item);
        true
    }

    fn has(&self, item: &news::NewsItem) -> bool {
        self.items.contains(item)
    }
}
