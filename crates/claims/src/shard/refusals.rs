//! Requests that were refused recently.
//!
//! A request that was answered with not-run must not run afterwards, so a delayed duplicate of the
//! request gets the same response.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::time;

use crate::policy;
use crate::transition;

/// The refused requests.
#[derive(Clone, Debug, Default)]
pub(super) struct RefusalCache {
    refusals: collections::BTreeMap<id::RequestId, LastRefusal>,
    /// Requests in the order of their refusal; a request that was refused again occurs again.
    requests: collections::VecDeque<RefusedRequest>,
}

/// The last refusal of a request.
#[derive(Clone, Copy, Debug)]
struct LastRefusal {
    refused_at: time::MonotonicTime,
    cause: transition::NotRunCause,
}

#[derive(Clone, Debug)]
struct RefusedRequest {
    refused_at: time::MonotonicTime,
    request: id::RequestId,
}

impl RefusalCache {
    /// Adds a refusal.
    pub(super) fn insert(
        &mut self,
        now: time::MonotonicTime,
        request: &id::RequestId,
        cause: transition::NotRunCause,
    ) {
        self.refusals.insert(request.clone(), LastRefusal { refused_at: now, cause });
        self.requests.push_back(RefusedRequest { refused_at: now, request: request.clone() });
    }

    /// Returns why a request was refused, if it was refused recently.
    pub(super) fn cause(&self, request: &id::RequestId) -> Option<transition::NotRunCause> {
        self.refusals.get(request).map(|refusal| refusal.cause)
    }

    /// Removes the refusals that are older than any delayed duplicate can be.
    pub(super) fn expire(&mut self, now: time::MonotonicTime) {
        let is_expired =
            |refused: &RefusedRequest| now.since(refused.refused_at) >= policy::REFUSAL_RETENTION;
        while self.requests.front().is_some_and(is_expired) {
            let Some(refused) = self.requests.pop_front() else { return };
            let last_refusal = self.refusals.get(&refused.request);
            if last_refusal.is_some_and(|last| last.refused_at == refused.refused_at) {
                self.refusals.remove(&refused.request);
            }
        }
    }
}
