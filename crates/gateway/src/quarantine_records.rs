//! Rows of the table in which operators see what is quarantined and lift verdicts.

use std::rc;

use async_std::task;
use samphiremoor_base::time;
use samphiremoor_fleet::quarantine;
use samphiremoor_fleet::quarantine_rows;
use samphiremoor_platform::table;

use crate::core;
use crate::metrics;

/// Interval between reads of the rows while there are verdicts.
const READ_INTERVAL: time::Millis = time::Millis::new(5_000);
/// Interval between checks whether the rows must be read or written early.
const CHECK_INTERVAL: time::Millis = time::Millis::new(500);
/// Pause after a failed read or write of the rows.
const RETRY_PAUSE: time::Millis = time::Millis::new(1_000);

/// Learns the verdicts from the rows, then keeps the rows up to date while this daemon holds the duty
/// lease; never returns.
pub(crate) async fn run(core: rc::Rc<core::GatewayCore>) {
    while let Err(cause) = read_verdicts(&core).await {
        log::debug!("failed to read what is quarantined ({cause}); retrying");
        task::sleep(RETRY_PAUSE.to_duration()).await;
    }
    let mut has_rows = false;
    let mut verdict_count = 0;
    let mut updated_at = core.now();
    loop {
        task::sleep(CHECK_INTERVAL.to_duration()).await;
        let now = core.now();
        let holds_lease = core.lease_state.local_position.get().is_some();
        let (count, has_report) = {
            let state = core.state.borrow();
            (state.quarantine.verdicts().count(), state.quarantine.has_recent_report(now))
        };
        // The holder shows a new verdict at once; a daemon under whose requests replicas crash may be cut
        // off from the daemons that know the verdict.
        let is_early = if holds_lease { count != verdict_count } else { has_report };
        let is_due = now.since(updated_at) >= READ_INTERVAL;
        let is_needed = has_report || holds_lease && (count > 0 || has_rows);
        if !is_needed || !is_early && !is_due {
            continue;
        }
        (verdict_count, updated_at) = (count, now);
        let result = match holds_lease {
            true => update_rows(&core).await,
            false => read_verdicts(&core).await.map(|()| false),
        };
        match result {
            Ok(has_more) => has_rows = has_more,
            Err(cause) => {
                log::warn!("failed to update the rows of what is quarantined ({cause}); retrying")
            }
        }
    }
}

async fn read_rows(
    core: &core::GatewayCore,
) -> Result<quarantine_rows::SuspectRows, table::PlatformError> {
    let store = core.adapter.table.as_ref();
    core.metrics.count_table_call(metrics::TableCall::Quarantine);
    let rows = table::scan_all(store, quarantine_rows::ROW_PREFIX).await?;
    let (rows, unreadable) = quarantine_rows::decode(&rows);
    for key in unreadable {
        log::warn!("row {key} does not name what is quarantined; delete it");
    }
    Ok(rows)
}

/// Adopts the verdicts of the rows.
async fn read_verdicts(core: &core::GatewayCore) -> Result<(), table::PlatformError> {
    let rows = read_rows(core).await?;
    let notices: Vec<_> = rows.iter().filter_map(|(suspect, row)| row.notice(*suspect)).collect();
    core.apply_quarantine_notices(&notices, quarantine::NoticeSource::Remote);
    Ok(())
}

/// Lifts the verdicts that an operator has marked, writes the rows of new ones and deletes those of
/// ended ones. Returns whether there are rows left.
async fn update_rows(core: &core::GatewayCore) -> Result<bool, table::PlatformError> {
    let rows = read_rows(core).await?;
    for suspect in quarantine_rows::released(&rows) {
        let mut state = core.state.borrow_mut();
        let instant = state.clock_instant(core.now());
        let changes = state.quarantine.release(suspect, instant);
        drop(state);
        core.apply_quarantine_changes(&changes, "operator");
    }
    let writes = quarantine_rows::writes(&rows, &core.state.borrow().quarantine);
    if !writes.is_empty() {
        let write_id = core.write_id();
        let transaction = table::TableTransaction { write_id, conditions: Vec::new(), writes };
        core.metrics.count_table_call(metrics::TableCall::Quarantine);
        core.adapter.table.commit(&transaction).await?;
    }
    let has_verdicts = core.state.borrow().quarantine.verdicts().next().is_some();
    Ok(has_verdicts)
}
