//! Keeps the policy and the replica entries in sync with the platform's table.

use std::rc;

use async_std::task;
use samphiremoor_base::event;
use samphiremoor_base::log_event;
use samphiremoor_base::time;
use samphiremoor_platform::table;

use crate::adapter;
use crate::core;
use crate::peer_records;

/// Longest wait of one long poll for a newer policy. It bounds the time until a silent connection
/// is noticed, so that a change is in force within the two seconds that operators are promised.
const POLICY_WAIT: time::Millis = time::Millis::new(1_500);
/// Interval between reads of the replica entries. All daemons must know of a departure within two
/// seconds, which also covers a read that hangs, the interval between digests and the read from a
/// peer.
const ENTRY_INTERVAL: time::Millis = time::Millis::new(450);
/// Interval between checks of the peer that reads the table for this daemon.
const FOLLOW_INTERVAL: time::Millis = time::Millis::new(150);
/// Interval between reads of the replica entries while no replica is known or all entries must be
/// read again.
const EMPTY_INTERVAL: time::Millis = time::Millis::new(150);
/// Base and longest pause after a failed call, in milliseconds. The pause is twice the base after one
/// failure and doubles with each further failure in a row.
const RETRY_PAUSES: (u64, u64) = (25, 400);

/// Logs when calls to the platform start to fail and when they succeed again, once each.
struct DependencyWatch {
    name: &'static str,
    is_failing: bool,
    failures: u32,
}

impl DependencyWatch {
    fn new(name: &'static str) -> Self {
        DependencyWatch { name, is_failing: false, failures: 0 }
    }

    fn record_success(&mut self) {
        if std::mem::take(&mut self.is_failing) {
            log_event!(event::LogEvent::PlatformBack, call = self.name, failures = self.failures,);
        }
        self.failures = 0;
    }

    /// Counts a failure and returns the pause before the next call.
    fn record_failure(&mut self, cause: &table::PlatformError) -> time::Millis {
        self.failures += 1;
        if !std::mem::replace(&mut self.is_failing, true) {
            log_event!(event::LogEvent::PlatformUnavailable, call = self.name, cause = cause);
        }
        let pause = RETRY_PAUSES.0 << self.failures.min(4);
        time::Millis::new(pause.min(RETRY_PAUSES.1))
    }
}

/// Follows the policy in the table and puts newer ones in force; never returns.
pub async fn follow_policy(core: rc::Rc<core::GatewayCore>) {
    let records = core.adapter.records.clone();
    let mut watch = DependencyWatch::new("policy");
    let mut cursor: Option<adapter::TableCursor> = None;
    loop {
        if core.state.borrow().table_reader.is_some() {
            // Peers' digests announce newer revisions while a peer reads the table. Changes from
            // that time may be missed here, so the policy is read again afterwards.
            cursor = None;
            task::sleep(FOLLOW_INTERVAL.to_duration()).await;
            continue;
        }
        let result = match cursor {
            Some(after) => records.next_policy(after, POLICY_WAIT).await,
            None => records.policy().await,
        };
        match result {
            Ok((update, next)) => {
                watch.record_success();
                if let Some(update) = update {
                    core.apply_policy(update, "table");
                }
                cursor = Some(cursor.map_or(next, |known| known.max(next)));
            }
            Err(cause) => {
                // The history may have been truncated past the cursor meanwhile, so everything is
                // read again.
                cursor = None;
                task::sleep(watch.record_failure(&cause).to_duration()).await;
            }
        }
    }
}

/// Follows the replica entries in the table or of the peer that reads it; never returns.
pub async fn follow_entries(core: rc::Rc<core::GatewayCore>) {
    let mut watch = DependencyWatch::new("entries");
    let mut cursor: Option<adapter::TableCursor> = None;
    let mut newest = adapter::TableCursor::default();
    let mut followed = None;
    loop {
        if follow_reader(&core, &mut followed).await {
            cursor = None;
            task::sleep(FOLLOW_INTERVAL.to_duration()).await;
            continue;
        }
        followed = None;
        let result = read_entries(&core, cursor, newest).await;
        let now = core.now();
        match result {
            Ok(next) => {
                watch.record_success();
                core.state.borrow_mut().table_read_at = Some(now);
                let changes = core.state.borrow_mut().replicas.on_table_response(now);
                core.apply_changes(&changes, "return");
                newest = next.map_or(newest, |next| next.max(newest));
                cursor = next;
                let is_empty = core.state.borrow().replicas.iter().next().is_none();
                let pause =
                    if is_empty || cursor.is_none() { EMPTY_INTERVAL } else { ENTRY_INTERVAL };
                task::sleep(pause.to_duration()).await;
            }
            Err(cause) => {
                core.state.borrow_mut().replicas.on_table_unavailable(now);
                task::sleep(watch.record_failure(&cause).to_duration()).await;
            }
        }
    }
}

/// Copies the entries of the peer that reads the table for this daemon if they changed since the
/// version in `followed`. Returns `false` if no peer reads for this daemon or the request to it
/// fails.
async fn follow_reader(
    core: &core::GatewayCore,
    followed: &mut Option<(std::net::SocketAddr, u64)>,
) -> bool {
    let Some(reader) = core.state.borrow().table_reader else { return false };
    let now = core.now();
    let changes = core.state.borrow_mut().replicas.on_table_response(now);
    core.apply_changes(&changes, "return");
    if *followed == Some(reader) {
        return true;
    }
    let entries = match peer_records::read_entries(reader.0).await {
        Ok(entries) => entries,
        Err(cause) => {
            log::debug!(
                "{} does not serve its entries ({cause}); reading the table instead",
                reader.0
            );
            return false;
        }
    };
    *followed = Some(reader);
    let now = core.now();
    let changes = core.state.borrow_mut().replicas.replace(entries, now);
    core.apply_changes(&changes, "reader");
    true
}

/// Reads the entries that changed after the cursor, or all entries without a cursor. Returns `None`
/// if all entries must be read next.
async fn read_entries(
    core: &core::GatewayCore,
    cursor: Option<adapter::TableCursor>,
    newest: adapter::TableCursor,
) -> Result<Option<adapter::TableCursor>, table::PlatformError> {
    let records = core.adapter.records.clone();
    let Some(after) = cursor else {
        let (entries, next) = records.entries().await?;
        if next < newest {
            // A stale read: the table was seen at a newer version before.
            return Ok(None);
        }
        let now = core.now();
        let changes = core.state.borrow_mut().replicas.replace(entries, now);
        core.apply_changes(&changes, "table");
        return Ok(Some(next));
    };
    let adapter::EntryChanges::Since(list, next) = records.entry_changes(after).await? else {
        return Ok(None);
    };
    let now = core.now();
    for change in list {
        let mut state = core.state.borrow_mut();
        let changes = match change {
            adapter::EntryChange::Put(entry) => state.replicas.upsert(entry),
            adapter::EntryChange::Removed(replica) => state.replicas.remove(&replica, now),
        };
        drop(state);
        core.apply_changes(&changes, "table");
    }
    Ok(Some(next.max(after)))
}
