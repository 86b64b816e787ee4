//! Follows what operators and replicas write into the table.

use std::rc;

use async_std::task;
use samphiremoor_base::event;
use samphiremoor_base::log_event;
use samphiremoor_base::time;
use samphiremoor_platform::table;

use crate::adapter;
use crate::core;
use crate::peer_records;

/// Longest wait of one call for a newer policy. A connection that went silent is noticed by then, so
/// that a change is in force within the two seconds that operators are promised.
const POLICY_WAIT: time::Millis = time::Millis::new(1_500);
/// Interval between looks at the replica entries. A departure must be known to all within two seconds: a
/// read that hangs, the digests' interval and a follower's own read come on top.
const ENTRY_INTERVAL: time::Millis = time::Millis::new(450);
/// Interval between looks at what the peer tells that reads for this daemon.
const FOLLOW_INTERVAL: time::Millis = time::Millis::new(150);
/// The same while no replica is known.
const FIRST_INTERVAL: time::Millis = time::Millis::new(150);
/// Pause after a call that failed; grows to the second value while calls fail.
const RETRY_PAUSES: (u64, u64) = (25, 400);

/// Tells a dependency that was lost or regained, once each.
struct DependencyWatch {
    name: &'static str,
    is_lost: bool,
    failures: u32,
}

impl DependencyWatch {
    fn new(name: &'static str) -> Self {
        DependencyWatch { name, is_lost: false, failures: 0 }
    }

    fn note_answer(&mut self) {
        if std::mem::take(&mut self.is_lost) {
            log_event!(event::LogEvent::PlatformBack, call = self.name, failures = self.failures,);
        }
        self.failures = 0;
    }

    /// Notes a failure and gives the pause before the next call.
    fn note_failure(&mut self, cause: &table::PlatformError) -> time::Millis {
        self.failures += 1;
        if !std::mem::replace(&mut self.is_lost, true) {
            log_event!(event::LogEvent::PlatformUnavailable, call = self.name, cause = cause);
        }
        let pause = RETRY_PAUSES.0 << self.failures.min(4);
        time::Millis::new(pause.min(RETRY_PAUSES.1))
    }
}

/// Keeps the newest policy in force.
pub async fn follow_policy(core: rc::Rc<core::GatewayCore>) {
    let records = core.adapter.records.clone();
    let mut watch = DependencyWatch::new("policy");
    let mut cursor: Option<adapter::TableCursor> = None;
    loop {
        if core.state.borrow().reader.is_some() {
            // The digests tell of a newer revision. What comes meanwhile is not waited for here.
            cursor = None;
            task::sleep(FOLLOW_INTERVAL.to_duration()).await;
            continue;
        }
        let asked = match cursor {
            Some(after) => records.next_policy(after, POLICY_WAIT).await,
            None => records.policy().await,
        };
        match asked {
            Ok((update, next)) => {
                watch.note_answer();
                if let Some(update) = update {
                    core.adopt_policy(update, "table");
                }
                cursor = Some(cursor.map_or(next, |known| known.max(next)));
            }
            Err(cause) => {
                // A change may have been dropped from the history meanwhile: read everything.
                cursor = None;
                task::sleep(watch.note_failure(&cause).to_duration()).await;
            }
        }
    }
}

/// Keeps the replica entries.
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
        let asked = read_entries(&core, cursor, newest).await;
        let now = core.now();
        match asked {
            Ok(next) => {
                watch.note_answer();
                core.state.borrow_mut().table_read = Some(now);
                let changes = core.state.borrow_mut().replicas.on_table_response(now);
                core.note_changes(&changes, "return");
                newest = next.map_or(newest, |next| next.max(newest));
                cursor = next;
                let is_empty = core.state.borrow().replicas.iter().next().is_none();
                let pause =
                    if is_empty || cursor.is_none() { FIRST_INTERVAL } else { ENTRY_INTERVAL };
                task::sleep(pause.to_duration()).await;
            }
            Err(cause) => {
                core.state.borrow_mut().replicas.on_table_unavailable(now);
                task::sleep(watch.note_failure(&cause).to_duration()).await;
            }
        }
    }
}

/// Takes over the entries of the peer that reads for this daemon where they changed since those that
/// were `followed`; false where none reads for it, or it fails.
async fn follow_reader(
    core: &core::GatewayCore,
    followed: &mut Option<(std::net::SocketAddr, u64)>,
) -> bool {
    let Some(reader) = core.state.borrow().reader else { return false };
    let now = core.now();
    let changes = core.state.borrow_mut().replicas.on_table_response(now);
    core.note_changes(&changes, "return");
    if *followed == Some(reader) {
        return true;
    }
    let entries = match peer_records::read_entries(reader.0).await {
        Ok(entries) => entries,
        Err(cause) => {
            log::debug!("{} does not tell its entries ({cause}); the table is read", reader.0);
            return false;
        }
    };
    *followed = Some(reader);
    let now = core.now();
    let changes = core.state.borrow_mut().replicas.replace(entries, now);
    core.note_changes(&changes, "reader");
    true
}

/// Reads entries; no cursor comes back where everything must be read next.
async fn read_entries(
    core: &core::GatewayCore,
    cursor: Option<adapter::TableCursor>,
    newest: adapter::TableCursor,
) -> Result<Option<adapter::TableCursor>, table::PlatformError> {
    let records = core.adapter.records.clone();
    let Some(after) = cursor else {
        let (entries, next) = records.entries().await?;
        if next < newest {
            // A read of an older state than was seen before.
            return Ok(None);
        }
        let now = core.now();
        let changes = core.state.borrow_mut().replicas.replace(entries, now);
        core.note_changes(&changes, "table");
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
        core.note_changes(&changes, "table");
    }
    Ok(Some(next.max(after)))
}
