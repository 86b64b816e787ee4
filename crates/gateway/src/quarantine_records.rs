//! Rows of the table in which operators see what is quarantined and lift verdicts.

use std::rc;

use async_std::task;
use samphiremoor_base::time;
use samphiremoor_fleet::quarantine;
use samphiremoor_fleet::quarantine_rows;
use samphiremoor_platform::table;

use crate::core;
use crate::digest_exchange;

/// Interval between reads of the rows while there are verdicts.
const READ_INTERVAL: time::Millis = time::Millis::new(5_000);
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
    loop {
        task::sleep(READ_INTERVAL.to_duration()).await;
        let has_verdicts = core.state.borrow().quarantine.verdicts().next().is_some();
        if core.lease_state.local_version.get().is_none() || !has_verdicts && !has_rows {
            continue;
        }
        match update_rows(&core).await {
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
        let write_id = digest_exchange::write_id(core);
        let transaction = table::TableTransaction { write_id, conditions: Vec::new(), writes };
        core.adapter.table.commit(&transaction).await?;
    }
    let has_verdicts = core.state.borrow().quarantine.verdicts().next().is_some();
    Ok(has_verdicts)
}
