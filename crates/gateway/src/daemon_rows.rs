//! Rows of the table by which daemons discover each other.

use std::net::SocketAddr;
use std::rc;

use async_std::task;
use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_platform::table;
use serde::Deserialize;
use serde::Serialize;

use crate::core;
use crate::metrics;

/// Interval between reads of the daemons' rows. New daemons introduce themselves sooner by their
/// digests.
const ROW_READ_INTERVAL: time::Millis = time::Millis::new(30_000);
/// Pause after a failed read or write of daemons' rows.
const ROW_RETRY_PAUSE: time::Millis = time::Millis::new(1_000);
/// Key prefix of the daemons' rows.
const ROW_PREFIX: &str = "daemon/";

/// Table row by which daemons discover each other.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct DaemonRow {
    /// Address at which the daemon responds to peers.
    pub(crate) address: SocketAddr,
    /// Availability zone of the daemon.
    pub(crate) zone: id::ZoneId,
}

/// Writes this daemon's row, and retries until it is written.
pub(crate) async fn write(core: rc::Rc<core::GatewayCore>) {
    let key = table::RowKey::new(&format!("{ROW_PREFIX}{}", core.settings.daemon));
    let zone = core.settings.availability_zone.clone();
    let row = DaemonRow { address: core.settings.listen.peers, zone };
    let value = serde_json::to_string(&row).unwrap_or_default();
    loop {
        let transaction = table::TableTransaction {
            write_id: core.write_id(),
            conditions: Vec::new(),
            writes: vec![table::RowWrite::Put(key.clone(), value.as_str().into())],
        };
        core.metrics.count_table_call(metrics::TableCall::Daemons);
        match core.adapter.table.commit(&transaction).await {
            Ok(_) => return,
            Err(cause) => {
                log::debug!("failed to write this daemon's row ({cause}); retrying");
                task::sleep(ROW_RETRY_PAUSE.to_duration()).await;
            }
        }
    }
}

/// Reads the daemons' rows and adds their daemons as peers; never returns.
pub(crate) async fn read(
    core: rc::Rc<core::GatewayCore>,
    on_row: impl Fn(&id::DaemonId, &DaemonRow),
) {
    loop {
        core.metrics.count_table_call(metrics::TableCall::Daemons);
        let pause = match table::scan_all(core.adapter.table.as_ref(), ROW_PREFIX).await {
            Ok(rows) => {
                for row in &rows {
                    let Some((daemon, row)) = decode(row) else { continue };
                    on_row(&daemon, &row);
                }
                ROW_READ_INTERVAL
            }
            Err(cause) => {
                log::debug!("failed to read the daemons' rows ({cause}); retrying");
                ROW_RETRY_PAUSE
            }
        };
        task::sleep(pause.to_duration()).await;
    }
}

/// Decodes the row of a daemon; `None` if it is not valid.
fn decode(row: &table::TableRow) -> Option<(id::DaemonId, DaemonRow)> {
    let name = row.key.as_str().strip_prefix(ROW_PREFIX).unwrap_or_default();
    let (Ok(daemon), Ok(daemon_row)) = (name.parse(), serde_json::from_str(&row.value)) else {
        log::warn!("row {} is not a valid daemon row; delete it", row.key);
        return None;
    };
    Some((daemon, daemon_row))
}
