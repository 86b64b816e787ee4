//! What changed from one list to a later one.

use std::cmp;

use serde::Deserialize;
use serde::Serialize;

/// An item of a list in the order of its keys.
///
/// The order makes a change short. A list in another order or with a key twice is told right too.
pub trait ListItem: Clone {
    /// What the list is ordered by.
    fn key(&self) -> &str;
}

/// Items that went and items that came; one that changed does both.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ListDelta<T> {
    /// Places in the earlier list of what went, rising.
    pub removed: Vec<usize>,
    /// Places in the later list of what came, rising, and the items.
    pub added: Vec<(usize, T)>,
}

/// A change, and the places of what stays in both lists.
#[derive(Clone, Debug)]
pub(crate) struct ListChange<T> {
    pub(crate) delta: ListDelta<T>,
    pub(crate) kept: Vec<(usize, usize)>,
}

impl<T: ListItem> ListChange<T> {
    /// The change from `base` to `list`; items for which `is_kept` holds stay.
    pub(crate) fn between(base: &[T], list: &[T], is_kept: impl Fn(&T, &T) -> bool) -> Self {
        let delta = ListDelta { removed: Vec::new(), added: Vec::new() };
        let kept = Vec::with_capacity(list.len());
        let mut change = ListChange { delta, kept };
        let mut old = 0;
        for (new, item) in list.iter().enumerate() {
            let mut is_added = true;
            while let Some(before) = base.get(old) {
                let order = before.key().cmp(item.key());
                if order == cmp::Ordering::Greater {
                    break;
                }
                old += 1;
                if order == cmp::Ordering::Equal && is_kept(before, item) {
                    change.kept.push((old - 1, new));
                    is_added = false;
                    break;
                }
                change.delta.removed.push(old - 1);
            }
            if is_added {
                change.delta.added.push((new, item.clone()));
            }
        }
        change.delta.removed.extend(old..base.len());
        change
    }
}

impl<T> ListDelta<T> {
    /// The later list; none where the change names a place that is not there.
    pub fn apply(self, base: Vec<T>) -> Option<Vec<T>> {
        if self.removed.is_empty() && self.added.is_empty() {
            return Some(base);
        }
        let length = (base.len() + self.added.len()).checked_sub(self.removed.len())?;
        let mut removed = self.removed.into_iter().peekable();
        let mut kept = base
            .into_iter()
            .enumerate()
            .filter(|(place, _)| removed.next_if_eq(place).is_none())
            .map(|(_, item)| item);
        let mut list = Vec::with_capacity(length);
        for (place, item) in self.added {
            while list.len() < place {
                list.push(kept.next()?);
            }
            list.push(item);
        }
        list.extend(kept);
        // A place that was not removed, or was to be filled before its turn, changes the length or
        // leaves something over.
        (list.len() == length && removed.peek().is_none()).then_some(list)
    }
}
