//! Keeps the policy and the replica entries in sync with the platform's table.

use std::net::SocketAddr;
use std::rc;

use async_std::future;
use async_std::task;
use samphiremoor_base::event;
use samphiremoor_base::id;
use samphiremoor_base::log_event;
use samphiremoor_base::position;
use samphiremoor_base::time;
use samphiremoor_fleet::entry_copy;
use samphiremoor_fleet::replica;
use samphiremoor_platform::table;

use crate::adapter;
use crate::core;
use crate::metrics;
use crate::peer_records;
use crate::settings;

/// Thousandths of the time within which a change of the policy must be in force that one long poll
/// for a newer policy waits at most. Followers give their reader up by the age of its last poll, which
/// must not reach that limit while the polls succeed.
const POLICY_WAIT_PER_MILLE: u64 = 250;
/// Thousandths of the time within which all daemons must know that a replica leaves that lie between
/// two reads of the replica entries.
const ENTRY_INTERVAL_PER_MILLE: u64 = 225;
/// Wait for the first entry while no replica is known.
const FIRST_ENTRY_WAIT: time::Millis = time::Millis::new(600);
/// Interval between checks whether a peer still reads the table for this daemon and has changed
/// entries.
const READER_CHECK_INTERVAL: time::Millis = time::Millis::new(150);
/// Interval between reads of the replica entries while no replica is known or all entries must be
/// read again.
const SHORT_ENTRY_INTERVAL: time::Millis = time::Millis::new(150);
/// Base and longest pause after a failed call. The pause is twice the base after one failure and
/// doubles with each further failure in a row.
const RETRY_PAUSES_MS: (u64, u64) = (25, 400);

/// Returns the longest wait of one long poll for a newer policy.
pub(crate) fn policy_wait(times: &settings::TimeSettings) -> time::Millis {
    times.policy_budget().interval(POLICY_WAIT_PER_MILLE)
}

/// Returns the interval between reads of the replica entries.
pub(crate) fn entry_interval(times: &settings::TimeSettings) -> time::Millis {
    times.departure_budget().interval(ENTRY_INTERVAL_PER_MILLE)
}

/// Logs when calls to the platform start to fail and when they succeed again, once each.
struct PlatformCallStatus {
    /// Name of the call in the log.
    call: &'static str,
    is_failing: bool,
    /// Number of failures in a row.
    failures: u32,
}

impl PlatformCallStatus {
    fn new(call: &'static str) -> Self {
        PlatformCallStatus { call, is_failing: false, failures: 0 }
    }

    fn record_success(&mut self) {
        if std::mem::take(&mut self.is_failing) {
            log_event!(event::LogEvent::PlatformBack, call = self.call, failures = self.failures,);
        }
        self.failures = 0;
    }

    /// Counts a failure and returns the pause before the next call.
    fn record_failure(&mut self, cause: &table::PlatformError) -> time::Millis {
        self.failures += 1;
        if !std::mem::replace(&mut self.is_failing, true) {
            log_event!(event::LogEvent::PlatformUnavailable, call = self.call, cause = cause);
        }
        let pause = RETRY_PAUSES_MS.0 << self.failures.min(4);
        time::Millis::new(pause.min(RETRY_PAUSES_MS.1))
    }
}

/// Follows the policy in the table and puts newer ones in force; never returns.
pub async fn follow_policy(core: rc::Rc<core::GatewayCore>) {
    let records = core.adapter.records.clone();
    let mut call_status = PlatformCallStatus::new("policy");
    let mut cursor: Option<position::StorePosition> = None;
    loop {
        if let Some(valid_until) = policy_reader_limit(&core) {
            // Peers' digests announce newer revisions while a peer reads the table. Changes from
            // that time may be missed here, so the policy is read again afterwards.
            cursor = None;
            await_check(&core, valid_until).await;
            continue;
        }
        core.metrics.count_table_call(metrics::TableCall::Policy);
        let (started_at, wait) = (core.now(), policy_wait(&core.settings.times));
        let result = match cursor {
            Some(cursor) => records.next_policy(cursor, wait).await,
            None => records.policy().await,
        };
        match result {
            Ok(read) => {
                call_status.record_success();
                // A poll that ends without news lasted as long as it may wait for some.
                let has_waited =
                    cursor.is_some() && read.policy.is_none() && read.orders.is_empty();
                let read_at = if has_waited { started_at + wait } else { started_at };
                core.state.borrow_mut().policy_read_at = Some(read_at.min(core.now()));
                core.apply_rollout_orders(&read);
                if let Some(update) = read.policy {
                    core.apply_policy(update, "table");
                }
                cursor = Some(read.position);
            }
            Err(cause) => {
                // The history may have been truncated past the cursor meanwhile, so the policy is
                // read without a cursor.
                cursor = None;
                core.state.borrow_mut().policy_read_at = None;
                task::sleep(call_status.record_failure(&cause).to_duration()).await;
            }
        }
    }
}

/// Returns until when peers serve newer policies to this daemon, or `None` if they don't.
fn policy_reader_limit(core: &core::GatewayCore) -> Option<time::MonotonicTime> {
    let mut state = core.state.borrow_mut();
    let reader = state.policy_reader?;
    if core.now() >= reader.valid_until {
        state.policy_reader = None;
        drop(state);
        log_expiry("policy", reader.address);
        return None;
    }
    (!state.is_document_stalled).then_some(reader.valid_until)
}

/// Returns the peer that reads the replica entries for this daemon, unless its last read is too old.
fn table_reader(core: &core::GatewayCore) -> Option<core::TableReader> {
    let mut state = core.state.borrow_mut();
    let reader = state.table_reader.clone()?;
    if core.now() < reader.valid_until {
        return Some(reader);
    }
    state.table_reader = None;
    drop(state);
    log_expiry("entries", reader.address);
    None
}

fn log_expiry(records: &str, reader: SocketAddr) {
    log_event!(event::LogEvent::ReaderOutdated, records = records, reader = reader);
}

/// Waits for the next check of a reader, or until its last read is too old.
async fn await_check(core: &core::GatewayCore, valid_until: time::MonotonicTime) {
    let time_left = valid_until.since(core.now());
    task::sleep(READER_CHECK_INTERVAL.min(time_left).to_duration()).await;
}

/// Follows the replica entries in the table, or those of the peer that reads the table for this
/// daemon; never returns.
pub async fn follow_entries(core: rc::Rc<core::GatewayCore>) {
    let mut call_status = PlatformCallStatus::new("entries");
    let mut cursor: Option<position::StorePosition> = None;
    let mut copy = entry_copy::EntryCopy::default();
    loop {
        if let Some(valid_until) = follow_reader(&core, &mut copy).await {
            cursor = None;
            core.state.borrow_mut().table_read_at = None;
            await_check(&core, valid_until).await;
            continue;
        }
        let started_at = core.now();
        let result = read_entries(&core, cursor).await;
        let now = core.now();
        match result {
            Ok(next_cursor) => {
                call_status.record_success();
                if next_cursor.is_some() {
                    core.state.borrow_mut().table_read_at = Some(started_at);
                }
                let changes = core.state.borrow_mut().replicas.on_table_response(now, now);
                core.apply_changes(&changes, "return");
                cursor = next_cursor;
                let has_no_replicas = core.state.borrow().replicas.iter().next().is_none();
                let pause = if has_no_replicas || cursor.is_none() {
                    SHORT_ENTRY_INTERVAL
                } else {
                    entry_interval(&core.settings.times)
                };
                task::sleep(pause.to_duration()).await;
            }
            Err(cause) => {
                core.state.borrow_mut().replicas.on_table_unavailable();
                task::sleep(call_status.record_failure(&cause).to_duration()).await;
            }
        }
    }
}

/// Copies the entries of the peer that reads the table for this daemon, unless `copy` is still
/// current. Returns until when they may be relied on, or `None` if no peer reads for this daemon or the
/// request to it fails.
async fn follow_reader(
    core: &core::GatewayCore,
    copy: &mut entry_copy::EntryCopy,
) -> Option<time::MonotonicTime> {
    let reader = table_reader(core)?;
    let valid_until = Some(reader.valid_until);
    let now = core.now();
    let changes = core.state.borrow_mut().replicas.on_table_response(reader.read_at, now);
    core.apply_changes(&changes, "return");
    let (fingerprint, decision) = {
        let replicas = &core.state.borrow().replicas;
        let matches_table = || replicas.matches_table(now);
        let fingerprint = replicas.fingerprint();
        (fingerprint, copy.decide(&reader.entries, fingerprint, matches_table, now))
    };
    if decision == entry_copy::CopyDecision::Keep {
        return valid_until;
    }
    let time_left = reader.valid_until.since(now).to_duration();
    let read = future::timeout(time_left, peer_records::read_entries(reader.address)).await;
    let list = match read
        .unwrap_or_else(|cause| Err(table::PlatformError::NotDone(cause.to_string().into())))
    {
        Ok(list) => list,
        Err(cause) => {
            log::debug!(
                "{} does not serve its entries ({cause}); reading the table instead",
                reader.address
            );
            return None;
        }
    };
    let offered = reader.entries.stamp;
    let stamp = list.stamp.unwrap_or_else(|| offered.clone());
    if stamp.daemon != offered.daemon {
        log::debug!(
            "{} is the address of {} and not of {} any more; reading the table instead",
            reader.address,
            stamp.daemon,
            offered.daemon
        );
        return None;
    }
    let now = core.now();
    let mut state = core.state.borrow_mut();
    if list.position.is_some_and(|position| state.replicas.is_ahead_of(position)) {
        // The peer has not read what this daemon has read before; its entries are copied later.
        return valid_until;
    }
    if decision == entry_copy::CopyDecision::Repair {
        core.metrics.count_entry_repair();
        log_event!(
            event::LogEvent::EntriesRepaired,
            stamp = stamp,
            entries = list.entries.len(),
            local = fingerprint,
            reader = reader.entries.fingerprint.unwrap_or_default(),
        );
    }
    copy.on_copied(stamp, decision, now);
    let previous_position = state.replicas.position();
    let changes = state.replicas.replace(list.entries, list.position, now);
    drop(state);
    report_restore(core, previous_position, "reader");
    core.apply_changes(&changes, "reader");
    valid_until
}

/// Logs and counts the return of the table from an older copy if the entries match a later era than
/// at `previous_position`. `source` is logged as the origin of the entries.
fn report_restore(
    core: &core::GatewayCore,
    previous_position: Option<position::StorePosition>,
    source: &str,
) {
    let position = core.state.borrow().replicas.position();
    let (Some(before), Some(after)) = (previous_position, position) else { return };
    if before.era < after.era {
        core.metrics.count_store_restore();
        log_event!(event::LogEvent::StoreRestored, before = before, after = after, source = source);
    }
}

/// Logs that the row of a replica can't be read.
fn report_unreadable(core: &core::GatewayCore, replica: &id::ReplicaId) {
    core.metrics.count_unreadable_entry();
    let is_known = core.state.borrow().replicas.get(replica).is_some();
    log_event!(event::LogEvent::EntryUnreadable, replica = replica, replica_known = is_known);
}

/// Reads and applies the entries that changed after the cursor, or all entries without a cursor.
/// Returns the next cursor, or `None` if all entries must be read next.
async fn read_entries(
    core: &core::GatewayCore,
    cursor: Option<position::StorePosition>,
) -> Result<Option<position::StorePosition>, table::PlatformError> {
    let records = core.adapter.records.clone();
    core.metrics.count_table_call(metrics::TableCall::Entries);
    let Some(cursor) = cursor else {
        let (list, next_cursor) = records.entries().await?;
        for replica in &list.unreadable {
            report_unreadable(core, replica);
        }
        let now = core.now();
        let mut state = core.state.borrow_mut();
        if state.replicas.is_ahead_of(next_cursor) {
            // A stale read: an earlier one returned a later position of the table.
            return Ok(None);
        }
        let previous_position = state.replicas.position();
        let changes = state.replicas.replace(list, Some(next_cursor), now);
        drop(state);
        report_restore(core, previous_position, "table");
        core.apply_changes(&changes, "table");
        return Ok(Some(next_cursor));
    };
    let has_replicas = core.state.borrow().replicas.iter().next().is_some();
    let wait = if has_replicas { time::Millis::default() } else { FIRST_ENTRY_WAIT };
    let adapter::EntryChanges::Since(entry_changes, next_cursor) =
        records.entry_changes(cursor, wait).await?
    else {
        return Ok(None);
    };
    let now = core.now();
    for change in entry_changes {
        if let adapter::EntryChange::Unreadable(replica) = &change {
            report_unreadable(core, replica);
        }
        let mut state = core.state.borrow_mut();
        let changes = match change {
            adapter::EntryChange::Put(entry) => state.replicas.upsert(entry),
            adapter::EntryChange::Removed(replica) => state.replicas.remove(&replica, now),
            adapter::EntryChange::Unreadable(_) => replica::ReplicaChanges::new(),
        };
        drop(state);
        core.apply_changes(&changes, "table");
    }
    core.state.borrow_mut().replicas.advance(next_cursor, now);
    Ok(Some(next_cursor.max(cursor)))
}
