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
    causes: collections::BTreeMap<id::RequestId, transition::NotRunCause>,
    /// Requests in the order of their refusal.
    requests: collections::VecDeque<RefusedRequest>,
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
        self.causes.insert(request.clone(), cause);
        self.requests.push_back(RefusedRequest { refused_at: now, request: request.clone() });
    }

    /// Returns why a request was refused, if it was refused recently.
    pub(super) fn cause(&self, request: &id::RequestId) -> Option<transition::NotRunCause> {
        self.causes.get(request).copied()
    }

    /// Removes the refusals that are older than any delayed duplicate can be.
    pub(super) fn expire(&mut self, now: time::MonotonicTime) {
        let is_expired =
            |refused: &RefusedRequest| now.since(refused.refused_at) >= policy::REFUSAL_RETENTION;
        while self.requests.front().is_some_and(is_expired) {
            let Some(refused) = self.requests.pop_front() else { return };
            self.causes.remove(&refused.request);
        }
    }
}
