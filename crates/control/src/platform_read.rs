//! Performs the platform reads that the control state requests.

use samphiremoor_base::event;
use samphiremoor_base::log_event;
use samphiremoor_base::quantity;
use samphiremoor_platform::cloud;
use samphiremoor_platform::table;
use samphiremoor_records::revision;

use crate::action;
use crate::capacity;

/// Maximum number of drain marks in one read.
const MAX_DRAIN_MARKS: usize = 1_000;

/// Performs a read and returns the input for the control state, or `None` if the read failed.
///
/// A head row that cannot be parsed counts as a failed read. A revision that does not exist or cannot
/// be parsed counts as read and is returned as `None`. Drain marks that cannot be parsed are skipped.
pub(crate) async fn read(
    table: &dyn table::TableStore,
    cloud: &dyn cloud::CloudApi,
    duty_key: &table::RowKey,
    read: action::PlatformRead,
) -> Option<action::ControlInput> {
    match read {
        action::PlatformRead::Head => read_head(table).await,
        action::PlatformRead::Revision(number) => read_revision(table, number).await,
        action::PlatformRead::List => {
            Some(action::ControlInput::ListRead(cloud.list_vms().await.ok()?))
        }
        action::PlatformRead::Notices(after_serial) => {
            Some(action::ControlInput::NoticesRead(cloud.notices(after_serial).await.ok()?))
        }
        action::PlatformRead::DrainMarks => read_drain_marks(table).await,
        action::PlatformRead::Offers => {
            Some(action::ControlInput::OffersRead(cloud.offers().await.ok()?))
        }
        action::PlatformRead::Duty => {
            Some(action::ControlInput::DutyRead(table.read(duty_key).await.ok()?))
        }
    }
}

async fn read_head(table: &dyn table::TableStore) -> Option<action::ControlInput> {
    let row = table.read(&table::RowKey::new(revision::HEAD_KEY)).await.ok()?;
    let head = match row {
        Some(row) => Some(revision::HeadRow::parse(&row.value).ok()?),
        None => None,
    };
    Some(action::ControlInput::HeadRead(head))
}

async fn read_revision(
    table: &dyn table::TableStore,
    number: quantity::RevisionNumber,
) -> Option<action::ControlInput> {
    let key = table::RowKey::new(&revision::revision_key(number));
    let Some(row) = table.read(&key).await.ok()? else {
        let cause = "the row does not exist";
        log_event!(event::LogEvent::RecordRefused, revision = number, cause = cause);
        return Some(action::ControlInput::RevisionRead(None));
    };
    let parsed = revision::RevisionRow::parse(&row.value);
    if let Err(cause) = &parsed {
        log_event!(event::LogEvent::RecordRefused, revision = number, cause = cause);
    }
    Some(action::ControlInput::RevisionRead(parsed.ok().map(Into::into)))
}

async fn read_drain_marks(table: &dyn table::TableStore) -> Option<action::ControlInput> {
    let rows = table.scan(revision::DRAIN_PREFIX, None, MAX_DRAIN_MARKS).await.ok()?;
    let marks = rows.iter().filter_map(parse_drain_mark).collect();
    Some(action::ControlInput::DrainMarksRead(marks))
}

/// Parses a drain mark, or returns `None` if its key contains no valid VM id.
fn parse_drain_mark(row: &table::TableRow) -> Option<capacity::DrainMark> {
    let vm = row.key.as_str().strip_prefix(revision::DRAIN_PREFIX)?.parse().ok()?;
    Some(capacity::DrainMark { vm, author: row.value.clone() })
}
