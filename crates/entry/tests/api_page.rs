//! The callers' page lists every refusal reason with its HTTP status.

use samphiremoor_base::reason;
use samphiremoor_entry::finish;

const PAGE: &str = include_str!("../../../docs/API.md");

#[test]
fn page_lists_every_reason_with_its_status() {
    for reason in reason::RefusalReason::ALL {
        let status = u16::from(finish::status_for(*reason));
        let row = format!("| `{reason}` | {status} | ");
        assert_eq!(PAGE.matches(&row).count(), 1, "docs/API.md needs one row `{row}...`");
    }
}
