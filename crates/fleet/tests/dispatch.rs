//! Whether a request may be sent again, and whether it may have run, after attempts of every
//! outcome.

use samphiremoor_base::cases;
use samphiremoor_fleet::dispatch;
use samphiremoor_fleet::dispatch::DispatchOutcome::{MayHaveRun, NotRun, Ran};
use samphiremoor_fleet::dispatch::ResponseDisposition::{Abandon, Accept, Skip};
use samphiremoor_fleet::dispatch::ResponseOrigin::{
    OtherRequest, SameRequest, UnidentifiedMismatch, UnidentifiedRefusal,
};
use samphiremoor_fleet::dispatch::UnansweredEnd as End;
use samphiremoor_fleet::policy;

const ONCE: policy::RouteKind = policy::RouteKind::Once;
const REPEATABLE: policy::RouteKind = policy::RouteKind::Repeatable;
const NONRESUMABLE: policy::RouteKind = policy::RouteKind::Stream { resumable: false };
const RESUMABLE: policy::RouteKind = policy::RouteKind::Stream { resumable: true };

/// Makes one attempt per outcome, then checks whether a further attempt is allowed and whether it
/// is certain that the request has not run.
fn check(
    kind: policy::RouteKind,
    max_attempts: u32,
    outcomes: &[dispatch::DispatchOutcome],
    may_send: bool,
    is_not_run: bool,
) {
    let mut tracker = dispatch::DispatchTracker::new(kind, max_attempts);
    for outcome in outcomes {
        tracker.begin_attempt();
        assert!(!tracker.is_known_not_run(), "a request in flight may run");
        tracker.end_attempt(*outcome);
    }
    assert_eq!((tracker.may_send(), tracker.is_known_not_run()), (may_send, is_not_run));
}

cases! {
    nothing_sent => check(ONCE, 1, &[], true, true);
    refused_on_the_only_attempt => check(ONCE, 1, &[NotRun], false, true);
    refused_on_the_first_of_two_attempts => check(ONCE, 2, &[NotRun], true, true);
    uncertain_run_is_not_sent_again => check(ONCE, 3, &[MayHaveRun], false, false);
    uncertainty_remains_after_a_refusal => check(REPEATABLE, 3, &[MayHaveRun, NotRun], true, false);
    repeatable_is_sent_again => check(REPEATABLE, 2, &[Ran], true, false);
    repeatable_stops_at_max_attempts => check(REPEATABLE, 2, &[Ran, MayHaveRun], false, false);
    nonresumable_stream_is_not_sent_again => check(NONRESUMABLE, 3, &[MayHaveRun], false, false);
    resumable_stream_is_sent_again => check(RESUMABLE, 3, &[MayHaveRun], true, false);
    zero_max_attempts_counts_as_one => check(RESUMABLE, 0, &[], true, true);
}

/// Makes one attempt per outcome, then checks how the request ends without a replica's response
/// before the deadline and after it.
fn check_end(
    outcomes: &[dispatch::DispatchOutcome],
    has_response_begun: bool,
    ends: [dispatch::UnansweredEnd; 2],
) {
    let mut tracker = dispatch::DispatchTracker::new(RESUMABLE, 3);
    for outcome in outcomes {
        tracker.begin_attempt();
        tracker.end_attempt(*outcome);
    }
    let is_past = [false, true];
    assert_eq!(is_past.map(|is_past| tracker.end_unanswered(has_response_begun, is_past)), ends);
}

cases! {
    unsent_request_is_refused => check_end(&[], false, [End::NotRun; 2]);
    request_that_did_not_run_is_refused => check_end(&[NotRun], false, [End::NotRun; 2]);
    uncertain_run_is_a_failure => check_end(&[MayHaveRun], false, [End::Failed, End::TimedOut]);
    failed_run_is_a_failure => check_end(&[Ran, NotRun], false, [End::Failed, End::TimedOut]);
    begun_response_is_cut_off => check_end(&[MayHaveRun], true, [End::CutOff; 2]);
    begun_response_gets_no_refusal => check_end(&[MayHaveRun, NotRun], true, [End::CutOff; 2]);
    begun_response_gets_no_error => check_end(&[Ran, MayHaveRun], true, [End::CutOff; 2]);
}

/// Checks what is done with a response, depending on whether it is the first on its connection.
fn check_response(
    origin: dispatch::ResponseOrigin,
    is_first: bool,
    disposition: dispatch::ResponseDisposition,
) {
    assert_eq!(origin.disposition(is_first), disposition);
}

cases! {
    identified_first_response => check_response(SameRequest, true, Accept);
    identified_later_response => check_response(SameRequest, false, Accept);
    first_response_to_another_request => check_response(OtherRequest, true, Skip);
    later_response_to_another_request => check_response(OtherRequest, false, Skip);
    unidentified_refusal_on_new_connection => check_response(UnidentifiedRefusal, true, Accept);
    unidentified_refusal_on_reused_connection =>
        check_response(UnidentifiedRefusal, false, Abandon);
    unidentified_mismatch_on_new_connection => check_response(UnidentifiedMismatch, true, Accept);
    unidentified_mismatch_on_reused_connection =>
        check_response(UnidentifiedMismatch, false, Abandon);
}

#[test]
fn cancelled_attempt_does_not_count() {
    let mut tracker = dispatch::DispatchTracker::new(ONCE, 1);
    tracker.begin_attempt();
    tracker.cancel_attempt();
    assert!(tracker.may_send() && tracker.is_known_not_run());
}

// A migrated run that the next replica refuses has run before. It must not start anew if the route
// does not allow a second run.
#[test]
fn migrated_run_counts_as_run() {
    let mut tracker = dispatch::DispatchTracker::new(NONRESUMABLE, 3);
    tracker.begin_attempt();
    tracker.migrate();
    tracker.begin_attempt();
    assert_eq!(tracker.attempts(), 1, "a migration is no further attempt");
    tracker.end_attempt(NotRun);
    assert!(!tracker.may_send() && !tracker.is_known_not_run());
}

// While a replica is silent, another one gets the request as well and refuses it.
#[test]
fn refused_takeover_leaves_the_first_attempt_uncertain() {
    let mut tracker = dispatch::DispatchTracker::new(RESUMABLE, 3);
    tracker.begin_attempt();
    tracker.begin_attempt();
    tracker.end_attempt(NotRun);
    assert!(tracker.may_send() && !tracker.is_known_not_run());
    tracker.end_attempt(NotRun);
    assert!(tracker.is_known_not_run(), "both replicas refused");
}

proptest::proptest! {
    #![proptest_config(samphiremoor_testkit::config(256))]

    // The request is reported as not run exactly if every attempt ended as not run. A request that
    // may run only once is not sent after an attempt that may have run.
    #[test]
    fn not_run_is_reported_exactly_when_no_attempt_ran(
        outcome_indices in proptest::collection::vec(0_u8..3, 0..6),
        resumable: bool,
        once: bool,
    ) {
        let kind = if once { ONCE } else { policy::RouteKind::Stream { resumable } };
        let mut tracker = dispatch::DispatchTracker::new(kind, 10);
        let mut possible_runs = 0;
        for outcome_index in outcome_indices {
            if !tracker.may_send() {
                break;
            }
            tracker.begin_attempt();
            let outcome = [NotRun, MayHaveRun, Ran][usize::from(outcome_index)];
            possible_runs += u32::from(outcome != NotRun);
            tracker.end_attempt(outcome);
        }
        proptest::prop_assert_eq!(tracker.is_known_not_run(), possible_runs == 0);
        proptest::prop_assert!(kind.is_repeatable() || possible_runs <= 1);
    }
}
