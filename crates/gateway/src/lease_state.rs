//! State of the duty lease, as other tasks see it.

use std::cell;
use std::rc;

use samphiremoor_base::position;
use samphiremoor_base::time;

/// State of the duty lease, shared between the duties and the digest exchange.
#[derive(Clone, Default)]
pub struct LeaseState {
    /// Position of the lease row while this daemon holds the lease.
    pub local_position: rc::Rc<cell::Cell<Option<position::StorePosition>>>,
    /// Position of the lease row that a peer last reported holding, and when.
    pub peer_position: rc::Rc<cell::Cell<Option<(position::StorePosition, time::MonotonicTime)>>>,
}

impl LeaseState {
    /// Observes a peer's report that it holds the lease. A holder that has not noticed a return of the
    /// table reports an earlier position than the next one.
    pub fn observe_peer(&self, position: position::StorePosition, now: time::MonotonicTime) {
        if self.peer_position.get().is_none_or(|(known, _)| known <= position) {
            self.peer_position.set(Some((position, now)));
        }
    }
}
