//! Submissions that arrived before the shard was open.

use std::mem;

use samphiremoor_base::time;

use crate::transition;

/// The submissions, in the order of their arrival.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingSubmissions {
    submissions: Vec<PendingSubmission>,
}

#[derive(Clone, Debug)]
struct PendingSubmission {
    submission: transition::CallSubmission,
    expires: time::MonotonicTime,
}

impl PendingSubmissions {
    /// Adds a submission that waits until the shard is open, at the latest until `expires`.
    pub(super) fn push(
        &mut self,
        submission: transition::CallSubmission,
        expires: time::MonotonicTime,
    ) {
        self.submissions.push(PendingSubmission { submission, expires });
    }

    /// Returns when the next submission expires.
    pub(super) fn next_expiry(&self) -> Option<time::MonotonicTime> {
        self.submissions.iter().map(|pending| pending.expires).min()
    }

    /// Removes and returns all submissions.
    pub(super) fn take_all(&mut self) -> Vec<transition::CallSubmission> {
        let submissions = mem::take(&mut self.submissions);
        submissions.into_iter().map(|pending| pending.submission).collect()
    }

    /// Removes and returns the submissions that have expired.
    pub(super) fn take_expired(
        &mut self,
        now: time::MonotonicTime,
    ) -> Vec<transition::CallSubmission> {
        let expired = self.submissions.extract_if(.., |pending| pending.expires <= now);
        expired.map(|pending| pending.submission).collect()
    }
}
