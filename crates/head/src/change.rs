//! An operator's change of the records: one compare-and-set of the head row.
//!
//! The transaction is conditional on the version of the head row that the operator read. At most
//! one of several racing changes therefore takes effect, and a change that is sent repeatedly takes
//! effect at most once. A lost response is settled by reading the row of the next revision, which
//! is immutable.

use std::sync;

use samphiremoor_base::digest;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_platform::table;
use samphiremoor_records::bundle;
use samphiremoor_records::entry;
use samphiremoor_records::revision;

/// Maximum number of commits and reads of one change, taken together.
const MAX_ATTEMPTS: u32 = 8;

/// The head row that a change is based on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BaseHead {
    /// Value of the row.
    pub row: revision::HeadRow,
    /// Version of the row in the table.
    pub version: quantity::RowVersion,
}

/// Author and write id of a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangeAuthor {
    /// Id of the write, unique for each change.
    pub write_id: id::WriteId,
    /// Name of the operator.
    pub name: sync::Arc<str>,
    /// Seconds since the Unix epoch on the operator's clock.
    pub written_at: u64,
}

/// Result of the previous action of a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChangeInput {
    /// The table committed the transaction.
    Committed,
    /// The table refused the transaction because a condition did not hold.
    Conflict,
    /// The transaction did not reach the table and has no effect.
    NotApplied,
    /// The response to the transaction was lost.
    ResponseLost,
    /// The row of the next revision was read: its writer, or `None` if there is no such row.
    RevisionRead(Option<RevisionWriter>),
    /// The row of the next revision could not be read.
    ReadFailed,
}

/// Writer of a revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RevisionWriter {
    /// Id of the write.
    pub write_id: id::WriteId,
    /// Name of the operator.
    pub author: sync::Arc<str>,
}

/// Next action of a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChangeAction {
    /// Commit the transaction.
    Commit,
    /// Read the row of this revision.
    ReadRevision(quantity::RevisionNumber),
    /// The change has ended.
    End(ChangeOutcome),
}

/// Outcome of a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChangeOutcome {
    /// The change was committed as this revision.
    Written(quantity::RevisionNumber),
    /// Another change was committed first, and this one can never take effect.
    LostRace(WinningChange),
    /// The platform was not reached, and the change has no effect.
    NotApplied,
    /// It is unknown whether the change took effect or still will. The revision is the one that it
    /// would have.
    Unknown(quantity::RevisionNumber),
}

/// The change that was committed first in a race.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WinningChange {
    /// Revision of the winning change.
    pub revision: quantity::RevisionNumber,
    /// Writer of the winning change, or `None` if its row could not be read or was already deleted.
    pub writer: Option<RevisionWriter>,
}

/// State machine of one change.
#[derive(Clone, Debug)]
pub struct ChangeDriver {
    write_id: id::WriteId,
    /// Revision that the change would be committed as.
    next_revision: quantity::RevisionNumber,
    transaction: table::TableTransaction,
    /// Number of the current action, counted from 1.
    attempt: u32,
    /// Whether the response to a commit was lost, so that it may have taken effect.
    may_have_effect: bool,
    /// Whether the table refused a commit because a condition did not hold.
    had_conflict: bool,
}

impl ChangeDriver {
    /// Creates a change from `base` to the records of `bundle`. Without a base it writes the first
    /// revision.
    pub fn new(
        base: Option<&BaseHead>,
        bundle: &bundle::RecordBundle,
        changed_keys: Vec<entry::RecordKey>,
        author: ChangeAuthor,
    ) -> Self {
        let next_revision =
            base.map_or(quantity::RevisionNumber::new(1), |base| base.row.revision.next());
        let digest = bundle.digest();
        let write_id = author.write_id.clone();
        let row = revision::RevisionRow {
            revision: next_revision,
            digest: digest.clone(),
            write_id: author.write_id,
            author: author.name,
            written_at: author.written_at,
            changed: changed_keys,
            entries: bundle.entries().cloned().collect(),
        };
        let transaction = build_transaction(base, &row, digest);
        ChangeDriver {
            write_id,
            next_revision,
            transaction,
            attempt: 0,
            may_have_effect: false,
            had_conflict: false,
        }
    }

    /// Returns the transaction that [`ChangeAction::Commit`] commits.
    pub fn transaction(&self) -> &table::TableTransaction {
        &self.transaction
    }

    /// Returns the first action.
    pub fn start(&mut self) -> ChangeAction {
        self.attempt = 1;
        ChangeAction::Commit
    }

    /// Handles the result of the previous action and returns the next one.
    pub fn step(&mut self, input: ChangeInput) -> ChangeAction {
        self.attempt += 1;
        match input {
            ChangeInput::Committed => ChangeAction::End(ChangeOutcome::Written(self.next_revision)),
            ChangeInput::Conflict => {
                self.had_conflict = true;
                self.read_next_revision()
            }
            ChangeInput::ResponseLost => {
                self.may_have_effect = true;
                self.read_next_revision()
            }
            ChangeInput::NotApplied => self.retry_commit(),
            ChangeInput::RevisionRead(Some(writer)) => self.finish_with_writer(writer),
            ChangeInput::RevisionRead(None) if self.had_conflict => self.finish_without_row(),
            // The transaction may still be in flight. Committing it again is safe because it takes
            // effect at most once.
            ChangeInput::RevisionRead(None) => self.retry_commit(),
            ChangeInput::ReadFailed => self.read_next_revision(),
        }
    }

    /// Returns the read of the next revision's row, or ends the change after [`MAX_ATTEMPTS`].
    fn read_next_revision(&self) -> ChangeAction {
        if self.attempt > MAX_ATTEMPTS {
            return self.give_up();
        }
        ChangeAction::ReadRevision(self.next_revision)
    }

    /// Returns another commit, or ends the change after [`MAX_ATTEMPTS`].
    fn retry_commit(&self) -> ChangeAction {
        if self.attempt > MAX_ATTEMPTS {
            return self.give_up();
        }
        ChangeAction::Commit
    }

    /// Ends a change whose next revision was written by `writer`, which is this change or another
    /// one.
    fn finish_with_writer(&self, writer: RevisionWriter) -> ChangeAction {
        if writer.write_id == self.write_id {
            return ChangeAction::End(ChangeOutcome::Written(self.next_revision));
        }
        let winner = WinningChange { revision: self.next_revision, writer: Some(writer) };
        ChangeAction::End(ChangeOutcome::LostRace(winner))
    }

    /// Ends a refused change whose next revision has no row, because the head has advanced so far
    /// that the row was deleted.
    fn finish_without_row(&self) -> ChangeAction {
        if self.may_have_effect {
            return ChangeAction::End(ChangeOutcome::Unknown(self.next_revision));
        }
        let winner = WinningChange { revision: self.next_revision, writer: None };
        ChangeAction::End(ChangeOutcome::LostRace(winner))
    }

    /// Ends a change that has used up its attempts.
    fn give_up(&self) -> ChangeAction {
        if self.may_have_effect {
            return ChangeAction::End(ChangeOutcome::Unknown(self.next_revision));
        }
        if self.had_conflict {
            let winner = WinningChange { revision: self.next_revision, writer: None };
            return ChangeAction::End(ChangeOutcome::LostRace(winner));
        }
        ChangeAction::End(ChangeOutcome::NotApplied)
    }
}

/// Builds the transaction that writes the revision row and the head row, and deletes the revision
/// that is no longer retained.
fn build_transaction(
    base: Option<&BaseHead>,
    row: &revision::RevisionRow,
    digest: digest::HexDigest,
) -> table::TableTransaction {
    let head_key = table::RowKey::new(revision::HEAD_KEY);
    let row_key = table::RowKey::new(&revision::revision_key(row.revision));
    let condition = match base {
        Some(base) => table::RowCondition::VersionIs(head_key.clone(), base.version),
        None => table::RowCondition::Absent(head_key.clone()),
    };
    let head = revision::HeadRow { revision: row.revision, digest, write_id: row.write_id.clone() };
    let mut writes = vec![
        table::RowWrite::Put(row_key.clone(), sync::Arc::from(row.to_value())),
        table::RowWrite::Put(head_key, sync::Arc::from(head.to_value())),
    ];
    if let Some(expired_revision) = row.revision.get().checked_sub(revision::RETAINED_REVISIONS) {
        let expired_key = revision::revision_key(quantity::RevisionNumber::new(expired_revision));
        writes.push(table::RowWrite::Delete(table::RowKey::new(&expired_key)));
    }
    table::TableTransaction {
        write_id: row.write_id.clone(),
        conditions: vec![condition, table::RowCondition::Absent(row_key)],
        writes,
    }
}
