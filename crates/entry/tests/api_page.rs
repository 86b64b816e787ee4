//! `docs/API.md`, the page for callers, lists every refusal reason with its HTTP status.

use samphiremoor_base::outcome;
use samphiremoor_base::reason;
use samphiremoor_entry::finish;

const API_PAGE: &str = include_str!("../../../docs/API.md");

#[test]
fn page_lists_every_reason_with_its_status() {
    for reason in reason::RefusalReason::ALL {
        let status = u16::from(finish::status_for(*reason));
        let row = format!("| `{reason}` | {status} | ");
        assert_eq!(API_PAGE.matches(&row).count(), 1, "docs/API.md needs one row `{row}...`");
    }
}

// Guards against problems of calls that may have run with a status that promises that they have not.
#[test]
fn problem_of_a_call_that_may_have_run_promises_nothing() {
    for reason in reason::RefusalReason::ALL {
        let problem = finish::problem_for(*reason, outcome::CallOutcome::Unknown);
        assert!(!finish::promises_not_run(problem.status), "{reason}: {}", problem.status);
    }
    assert!(!finish::promises_not_run(finish::handed_over_problem().status));
}
