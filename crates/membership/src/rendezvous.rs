//! Divides duties among the daemons of an availability zone without agreement.
//!
//! Each daemon ranks the live daemons that it knows. Where two disagree for a moment, a duty is
//! done twice or by another daemon; all duties that are divided here may be done twice.

use std::hash::Hash as _;
use std::hash::Hasher as _;

use samphiremoor_base::id;
use siphasher::sip;

/// Daemons of a zone that read the head, the VM list and the notices often.
pub const READER_COUNT: usize = 2;

/// Daemons that poll one upstream.
pub const POLLER_COUNT: usize = 2;

/// Whether `own` is among the first `count` of the daemons for the duty.
pub fn has_duty<'a>(
    duty: &str,
    own: &id::DaemonId,
    others: impl Iterator<Item = &'a id::DaemonId>,
    count: usize,
) -> bool {
    let own_rank = rank(duty, own);
    let before = others.filter(|other| *other != own && rank(duty, other) < own_rank);
    before.take(count).count() < count
}

/// Highest-random-weight rank: the loss of a daemon moves its duties only.
fn rank(duty: &str, daemon: &id::DaemonId) -> (u64, id::DaemonId) {
    let mut hasher = sip::SipHasher13::new();
    duty.hash(&mut hasher);
    daemon.hash(&mut hasher);
    (hasher.finish(), daemon.clone())
}
