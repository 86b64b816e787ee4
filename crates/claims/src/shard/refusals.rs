//! Memory of the requests that were refused.
//!
//! A request that was told that it did not run must not run later, so a copy of it that arrives
//! late gets the same answer.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::time;

use crate::policy;
use crate::step;

/// The refused requests.
#[derive(Clone, Debug, Default)]
pub(super) struct RefusalMemory {
    causes: collections::BTreeMap<id::RequestId, step::NotRunCause>,
    /// In the order of the refusals.
    requests: collections::VecDeque<RefusedRequest>,
}

#[derive(Clone, Debug)]
struct RefusedRequest {
    at: time::MonotonicTime,
    request: id::RequestId,
}

impl RefusalMemory {
    /// Notes a refusal.
    pub(super) fn note(
        &mut self,
        now: time::MonotonicTime,
        request: &id::RequestId,
        cause: step::NotRunCause,
    ) {
        self.causes.insert(request.clone(), cause);
        self.requests.push_back(RefusedRequest { at: now, request: request.clone() });
    }

    /// Why the request was refused, if it was.
    pub(super) fn cause(&self, request: &id::RequestId) -> Option<step::NotRunCause> {
        self.causes.get(request).copied()
    }

    /// Forgets the refusals that are older than a late copy can be.
    pub(super) fn expire(&mut self, now: time::MonotonicTime) {
        let is_old = |refused: &RefusedRequest| now.since(refused.at) >= policy::REFUSAL_MEMORY;
        while self.requests.front().is_some_and(is_old) {
            let Some(refused) = self.requests.pop_front() else { return };
            self.causes.remove(&refused.request);
        }
    }
}
