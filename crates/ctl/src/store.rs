//! Reads and changes the records in the platform's table.

use std::sync;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_head::change;
use samphiremoor_platform::table;
use samphiremoor_records::bundle;
use samphiremoor_records::entry;
use samphiremoor_records::revision;

use crate::outcome;
use crate::record_change;

/// Maximum number of retries of a change after conflicts.
const MAX_REBASES: usize = 5;

/// Maximum number of changes that one read of the history returns.
const MAX_HISTORY: u64 = 1_000;

/// Newest revision in the table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CurrentRevision {
    /// Head row.
    pub head: change::BaseHead,
    /// Row of the revision.
    pub row: revision::RevisionRow,
}

/// Store of the records in the platform's table.
#[derive(Clone)]
pub struct RecordStore {
    table: sync::Arc<dyn table::TableStore>,
}

impl RecordStore {
    /// Creates a store on the table.
    pub fn new(table: sync::Arc<dyn table::TableStore>) -> Self {
        RecordStore { table }
    }

    /// Reads the newest revision; returns `None` if no record was written yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond or a row is invalid.
    pub async fn current(&self) -> Result<Option<CurrentRevision>, outcome::CtlError> {
        let Some(head) = self.head().await? else { return Ok(None) };
        let row = self.revision(head.row.revision).await?;
        Ok(Some(CurrentRevision { head, row }))
    }

    /// Reads a revision.
    ///
    /// # Errors
    ///
    /// Returns an error if the revision does not exist, the platform does not respond or the row is
    /// invalid.
    pub async fn revision(
        &self,
        number: quantity::RevisionNumber,
    ) -> Result<revision::RevisionRow, outcome::CtlError> {
        let key = table::RowKey::new(&revision::revision_key(number));
        let Some(row) = self.table.read(&key).await? else {
            return Err(outcome::CtlError::NoRevision(number));
        };
        Ok(revision::RevisionRow::parse(&row.value)?)
    }

    /// Reads the latest changes, the newest first.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond or a row is invalid.
    pub async fn history(
        &self,
        limit: u64,
    ) -> Result<Vec<revision::RevisionRow>, outcome::CtlError> {
        let Some(head) = self.head().await? else { return Ok(Vec::new()) };
        let limit = limit.min(MAX_HISTORY);
        let first = head.row.revision.get().saturating_sub(limit);
        let after = revision::revision_key(quantity::RevisionNumber::new(first));
        let after = table::RowKey::new(&after);
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let rows = self.table.scan(revision::REVISION_PREFIX, Some(&after), limit).await?;
        let parsed: Result<Vec<_>, _> =
            rows.iter().map(|row| revision::RevisionRow::parse(&row.value)).collect();
        let mut history = parsed?;
        history.reverse();
        Ok(history)
    }

    /// Writes a change and returns its revision. A change without effect writes nothing and returns
    /// the newest revision.
    ///
    /// # Errors
    ///
    /// Returns an error if the resulting records are invalid, if the change conflicts with a
    /// concurrent change, or if it is unknown whether the change took effect.
    pub async fn change(
        &self,
        change: &record_change::RecordChange,
        options: record_change::ChangeOptions,
        author: &change::ChangeAuthor,
    ) -> Result<quantity::RevisionNumber, outcome::CtlError> {
        let mut rebases = 0;
        loop {
            let winner = match self.try_change(change, options, author).await? {
                change::ChangeOutcome::Written(revision) => return Ok(revision),
                change::ChangeOutcome::LostRace(winner) => winner,
                change::ChangeOutcome::NotApplied => return Err(not_written_error()),
                change::ChangeOutcome::Unknown(revision) => {
                    let write_id = author.write_id.clone();
                    return Err(outcome::CtlError::OutcomeUnknown { revision, write_id });
                }
            };
            let changed = self.changed_by(&winner).await;
            let can_rebase = options.rebase && rebases < MAX_REBASES;
            if !can_rebase || !touches_other_records(&change.keys(), &changed) {
                return Err(outcome::CtlError::Conflict(winner, changed));
            }
            rebases += 1;
        }
    }

    async fn try_change(
        &self,
        change: &record_change::RecordChange,
        options: record_change::ChangeOptions,
        author: &change::ChangeAuthor,
    ) -> Result<change::ChangeOutcome, outcome::CtlError> {
        let current = self.current().await?;
        let current_bundle =
            current.as_ref().map(|current| current.row.bundle()).unwrap_or_default();
        let newest = current.as_ref().map(|current| current.row.revision).unwrap_or_default();
        self.check_base(change, options, &current_bundle, newest).await?;
        let mut bundle = current_bundle.clone();
        change.apply(&mut bundle)?;
        let head = current.map(|current| current.head);
        let next = head.as_ref().map(|head| head.row.revision).unwrap_or_default().next();
        bundle.to_set(next)?;
        let changed = current_bundle.changed_keys(&bundle);
        if let Some(head) = head.as_ref().filter(|_| changed.is_empty()) {
            return Ok(change::ChangeOutcome::Written(head.row.revision));
        }
        let driver = change::ChangeDriver::new(head.as_ref(), &bundle, changed, author.clone());
        Ok(self.drive(driver, next).await)
    }

    async fn drive(
        &self,
        mut driver: change::ChangeDriver,
        next: quantity::RevisionNumber,
    ) -> change::ChangeOutcome {
        let mut action = driver.start();
        loop {
            let input = match action {
                change::ChangeAction::End(end) => return end,
                change::ChangeAction::Commit => self.commit(&driver).await,
                change::ChangeAction::ReadRevision(_) => self.read_writer(next).await,
            };
            action = driver.step(input);
        }
    }

    async fn commit(&self, driver: &change::ChangeDriver) -> change::ChangeInput {
        match self.table.commit(driver.transaction()).await {
            Ok(table::CommitResponse::Committed(_)) => change::ChangeInput::Committed,
            Ok(table::CommitResponse::Refused(_)) => change::ChangeInput::Conflict,
            Err(table::PlatformError::NotDone(_)) => change::ChangeInput::NotApplied,
            Err(table::PlatformError::Unknown(_)) => change::ChangeInput::ResponseLost,
        }
    }

    async fn read_writer(&self, number: quantity::RevisionNumber) -> change::ChangeInput {
        match self.revision(number).await {
            Ok(row) => change::ChangeInput::RevisionRead(Some(change::RevisionWriter {
                write_id: row.write_id,
                author: row.author,
            })),
            Err(outcome::CtlError::NoRevision(_)) => change::ChangeInput::RevisionRead(None),
            Err(_) => change::ChangeInput::ReadFailed,
        }
    }

    /// Returns the records that the concurrent change touched, or none if its row can't be read.
    async fn changed_by(&self, winner: &change::WinningChange) -> Vec<entry::RecordKey> {
        self.revision(winner.revision).await.map(|row| row.changed).unwrap_or_default()
    }

    async fn check_base(
        &self,
        change: &record_change::RecordChange,
        options: record_change::ChangeOptions,
        current: &bundle::RecordBundle,
        newest: quantity::RevisionNumber,
    ) -> Result<(), outcome::CtlError> {
        let Some(base) = options.base else { return Ok(()) };
        let base_bundle = self.revision(base).await?.bundle();
        let changed = base_bundle.changed_keys(current);
        let keys: Vec<_> = change.keys().into_iter().filter(|key| changed.contains(key)).collect();
        if keys.is_empty() {
            return Ok(());
        }
        Err(outcome::CtlError::ChangedSince { base, newest, keys })
    }

    async fn head(&self) -> Result<Option<change::BaseHead>, outcome::CtlError> {
        let row = self.table.read(&table::RowKey::new(revision::HEAD_KEY)).await?;
        let Some(row) = row else { return Ok(None) };
        let head = revision::HeadRow::parse(&row.value)?;
        Ok(Some(change::BaseHead { row: head, version: row.version }))
    }

    /// Marks a VM as leaving, or removes the mark. Both operations are idempotent.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond.
    pub async fn drain(
        &self,
        vm: &id::VmId,
        undo: bool,
        author: &change::ChangeAuthor,
    ) -> Result<(), outcome::CtlError> {
        let key = table::RowKey::new(&revision::drain_key(vm));
        let write = match undo {
            true => table::RowWrite::Delete(key),
            false => table::RowWrite::Put(key, author.name.clone()),
        };
        let transaction = table::TableTransaction {
            write_id: author.write_id.clone(),
            conditions: Vec::new(),
            writes: vec![write],
        };
        self.table.commit(&transaction).await?;
        Ok(())
    }
}

fn not_written_error() -> outcome::CtlError {
    let cause = sync::Arc::from("the table refused every attempt");
    table::PlatformError::NotDone(cause).into()
}

/// Returns whether the concurrent change is known to have touched only other records.
fn touches_other_records(
    keys: &[entry::RecordKey],
    changed_by_winner: &[entry::RecordKey],
) -> bool {
    !changed_by_winner.is_empty() && !changed_by_winner.iter().any(|key| keys.contains(key))
}
