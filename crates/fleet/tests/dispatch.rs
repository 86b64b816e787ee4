//! What may be said of a request after its sends.

use samphiremoor_base::cases;
use samphiremoor_fleet::dispatch;
use samphiremoor_fleet::dispatch::DispatchOutcome::{MayHaveRun, NotRun, Ran};
use samphiremoor_fleet::policy;

const ONCE: policy::RouteKind = policy::RouteKind::Once;
const AGAIN: policy::RouteKind = policy::RouteKind::Repeatable;
const FIXED: policy::RouteKind = policy::RouteKind::Stream { resumable: false };
const RESUMED: policy::RouteKind = policy::RouteKind::Stream { resumable: true };

/// Sends once for each end and compares whether a further send is allowed and whether it is certain
/// that nothing ran.
fn check(
    kind: policy::RouteKind,
    max_attempts: u32,
    ends: &[dispatch::DispatchOutcome],
    may_send: bool,
    is_not_run: bool,
) {
    let mut ledger = dispatch::DispatchTracker::new(kind, max_attempts);
    for end in ends {
        ledger.begin_attempt();
        assert!(!ledger.is_known_not_run(), "a request that is on its way may run");
        ledger.end_attempt(*end);
    }
    assert_eq!((ledger.may_send(), ledger.is_known_not_run()), (may_send, is_not_run));
}

cases! {
    nothing_sent => check(ONCE, 1, &[], true, true);
    refused_once_of_one => check(ONCE, 1, &[NotRun], false, true);
    refused_once_of_two => check(ONCE, 2, &[NotRun], true, true);
    doubtful_is_not_sent_again => check(ONCE, 3, &[MayHaveRun], false, false);
    doubt_stays_after_a_refusal => check(AGAIN, 3, &[MayHaveRun, NotRun], true, false);
    repeatable_is_sent_again => check(AGAIN, 2, &[Ran], true, false);
    repeatable_up_to_its_attempts => check(AGAIN, 2, &[Ran, MayHaveRun], false, false);
    fixed_stream_is_not_sent_again => check(FIXED, 3, &[MayHaveRun], false, false);
    resumed_stream_is => check(RESUMED, 3, &[MayHaveRun], true, false);
    no_attempts_declared_is_one => check(RESUMED, 0, &[], true, true);
}

#[test]
fn a_connection_that_was_not_made_costs_no_attempt() {
    let mut ledger = dispatch::DispatchTracker::new(ONCE, 1);
    ledger.begin_attempt();
    ledger.cancel_attempt();
    assert!(ledger.may_send() && ledger.is_known_not_run());
}

// A moved run that the next replica refuses has run: it may not begin anew where that is forbidden.
#[test]
fn a_moved_run_stays_one_that_ran() {
    let mut ledger = dispatch::DispatchTracker::new(FIXED, 3);
    ledger.begin_attempt();
    ledger.migrate();
    ledger.begin_attempt();
    assert_eq!(ledger.attempts(), 1, "the move is no further attempt");
    ledger.end_attempt(NotRun);
    assert!(!ledger.may_send() && !ledger.is_known_not_run());
}

proptest::proptest! {
    #![proptest_config(samphiremoor_testkit::config(256))]

    // The promise that nothing ran holds exactly where each send ended as not run, and no request
    // that runs once is sent after one that may have.
    #[test]
    fn promise_is_true(ends in proptest::collection::vec(0_u8..3, 0..6), resumable: bool, once: bool) {
        let kind = if once { ONCE } else { policy::RouteKind::Stream { resumable } };
        let mut ledger = dispatch::DispatchTracker::new(kind, 10);
        let mut ran = 0;
        for end in ends {
            if !ledger.may_send() {
                break;
            }
            ledger.begin_attempt();
            let end = [NotRun, MayHaveRun, Ran][usize::from(end)];
            ran += u32::from(end != NotRun);
            ledger.end_attempt(end);
        }
        proptest::prop_assert_eq!(ledger.is_known_not_run(), ran == 0);
        proptest::prop_assert!(kind.is_repeatable() || ran <= 1);
    }
}
