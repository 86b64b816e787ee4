//! Simulated table, operators and daemons that tests drive step by step.

use std::collections;
use std::sync;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_head::change;
use samphiremoor_head::follow;
use samphiremoor_head::relay;
use samphiremoor_platform::rows;
use samphiremoor_platform::table;
use samphiremoor_records::entry;
use samphiremoor_records::revision;

/// What happens to a transaction and to its response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WriteDelivery {
    /// The table handles the transaction, and the response arrives.
    Responded,
    /// The table handles the transaction, and the response is lost.
    ResponseLost,
    /// The transaction is lost, and the operator cannot tell.
    RequestLost,
    /// The transaction does not reach the table, and the operator is told so.
    NotApplied,
    /// The response is lost, and the transaction reaches the table with
    /// `Simulation::deliver_write`.
    Delayed,
}

/// The latest change of an operator.
#[derive(Debug)]
pub(crate) struct Operator {
    pub(crate) write_id: String,
    pub(crate) driver: change::ChangeDriver,
    pub(crate) action: change::ChangeAction,
}

/// A daemon and the responses in flight to it.
#[derive(Debug)]
pub(crate) struct Daemon {
    pub(crate) follower: follow::HeadFollower,
    pub(crate) inbox: Vec<follow::FollowInput>,
    /// Every revision that was in force since the daemon started.
    pub(crate) revisions_in_force: Vec<u64>,
}

#[derive(Debug, Default)]
pub(crate) struct Simulation {
    pub(crate) rows: rows::RowSet,
    pub(crate) operators: collections::BTreeMap<String, Operator>,
    pub(crate) daemons: collections::BTreeMap<String, Daemon>,
    /// Transactions that have not reached the table yet, the oldest first.
    pub(crate) delayed_writes: Vec<table::TableTransaction>,
    pub(crate) now: time::MonotonicTime,
    /// Number of changes so far, part of their write ids.
    change_count: u32,
}

fn workspace_entry(operator: &str, text: &str) -> entry::RecordEntry {
    // The content of the record does not matter, so the text only has to differ between writes.
    entry::RecordEntry {
        key: format!("workspace/{operator}").parse().expect("a valid record key"),
        schema: 1,
        text: sync::Arc::from(text),
    }
}

impl Simulation {
    pub(crate) fn head(&self) -> Option<change::BaseHead> {
        let row = self.rows.read(&table::RowKey::new(revision::HEAD_KEY))?;
        let head = revision::HeadRow::parse(&row.value).expect("the row can be parsed");
        Some(change::BaseHead { row: head, version: row.version })
    }

    pub(crate) fn revision(
        &self,
        number: quantity::RevisionNumber,
    ) -> Option<revision::RevisionRow> {
        let row = self.rows.read(&table::RowKey::new(&revision::revision_key(number)))?;
        Some(revision::RevisionRow::parse(&row.value).expect("the row can be parsed"))
    }

    /// Returns the write ids of all revisions, the oldest first.
    pub(crate) fn history(&self) -> Vec<String> {
        let last_revision = self.head().map(|head| head.row.revision.get()).unwrap_or_default();
        let numbers = (1..=last_revision).map(quantity::RevisionNumber::new);
        numbers
            .map(|number| {
                self.revision(number)
                    .expect("every revision up to the head exists")
                    .write_id
                    .to_string()
            })
            .collect()
    }

    /// Starts a change by an operator, who reads the head row and changes its own record.
    pub(crate) fn begin_change(&mut self, name: &str) {
        self.change_count += 1;
        let write_id = format!("{name}-{}", self.change_count);
        let base = self.head();
        let base_revision = base.as_ref().map(|base| base.row.revision).unwrap_or_default();
        let base_bundle = self.revision(base_revision).map(|row| row.bundle()).unwrap_or_default();
        let mut bundle = base_bundle.clone();
        bundle.put(workspace_entry(name, &write_id));
        let author = change::ChangeAuthor {
            write_id: write_id.parse().expect("a valid write id"),
            name: sync::Arc::from(name),
            written_at: 0,
        };
        let changed_keys = base_bundle.changed_keys(&bundle);
        let mut driver = change::ChangeDriver::new(base.as_ref(), &bundle, changed_keys, author);
        let action = driver.start();
        self.operators.insert(name.to_owned(), Operator { write_id, driver, action });
    }

    /// Performs the operator's next action; `is_read_lost` makes a read fail.
    pub(crate) fn step_operator(
        &mut self,
        name: &str,
        delivery: WriteDelivery,
        is_read_lost: bool,
    ) {
        let Some(operator) = self.operators.get_mut(name) else { return };
        let transaction = operator.driver.transaction().clone();
        let input = match operator.action {
            change::ChangeAction::End(_) => return,
            change::ChangeAction::Commit => commit(&mut self.rows, &transaction, delivery),
            change::ChangeAction::ReadRevision(_) if is_read_lost => {
                change::ChangeInput::ReadFailed
            }
            change::ChangeAction::ReadRevision(number) => {
                let key = table::RowKey::new(&revision::revision_key(number));
                let row = self.rows.read(&key);
                let row = row.map(|row| {
                    revision::RevisionRow::parse(&row.value).expect("the row can be parsed")
                });
                change::ChangeInput::RevisionRead(row.map(|row| change::RevisionWriter {
                    write_id: row.write_id,
                    author: row.author,
                }))
            }
        };
        if delivery == WriteDelivery::Delayed && operator.action == change::ChangeAction::Commit {
            self.delayed_writes.push(transaction);
        }
        operator.action = operator.driver.step(input);
    }

    /// Delivers the oldest delayed transaction to the table.
    pub(crate) fn deliver_write(&mut self) {
        if !self.delayed_writes.is_empty() {
            let transaction = self.delayed_writes.remove(0);
            self.rows.commit(&transaction);
        }
    }

    /// Starts or restarts a daemon with an empty state.
    pub(crate) fn start(&mut self, name: &str) {
        let timings = follow::FollowTimings::default();
        let follower = follow::HeadFollower::new(timings);
        let daemon = Daemon { follower, inbox: Vec::new(), revisions_in_force: Vec::new() };
        self.daemons.insert(name.to_owned(), daemon);
        self.step_daemon(name, follow::FollowInput::Joined);
    }

    /// Passes an input to a daemon and performs its action.
    pub(crate) fn step_daemon(&mut self, name: &str, input: follow::FollowInput) {
        let now = self.now;
        let Some(daemon) = self.daemons.get_mut(name) else { return };
        let Some(action) = daemon.follower.step(now, input) else { return };
        match action {
            follow::FollowAction::ReadHead => {
                let head = self.head().map(|head| head.row);
                self.push_response(name, follow::FollowInput::HeadRead(head));
            }
            follow::FollowAction::ReadRevision(number) => {
                let content = self.revision(number).map(relay::RevisionContent::from);
                self.push_response(name, follow::FollowInput::RevisionRead(content));
            }
            follow::FollowAction::RequestFromPeer(peer) => {
                let known_revision = self.daemons[name].follower.in_force();
                let peer = self.daemons.get(peer.as_str());
                let delta = peer.and_then(|peer| peer.follower.delta_for(known_revision));
                self.push_response(name, follow::FollowInput::PeerResponse(delta));
            }
            follow::FollowAction::PutInForce(content) => {
                let daemon = self.daemons.get_mut(name).expect("the daemon exists");
                daemon.revisions_in_force.push(content.revision.get());
            }
        }
    }

    /// Adds a response in flight to a daemon.
    fn push_response(&mut self, name: &str, input: follow::FollowInput) {
        if let Some(daemon) = self.daemons.get_mut(name) {
            daemon.inbox.push(input);
        }
    }

    /// Delivers the response at `index`, modulo the number of responses, of the daemon's inbox.
    pub(crate) fn deliver(&mut self, name: &str, index: usize) {
        let Some(daemon) = self.daemons.get_mut(name) else { return };
        if daemon.inbox.is_empty() {
            return;
        }
        let input = daemon.inbox.remove(index % daemon.inbox.len());
        self.step_daemon(name, input);
    }

    /// Reports the revision of a peer to a daemon.
    pub(crate) fn report_peer_revision(&mut self, name: &str, peer: &str) {
        let Some(revision) = self.daemons.get(peer).map(|peer| peer.follower.in_force()) else {
            return;
        };
        let peer: id::DaemonId = peer.parse().expect("a valid daemon id");
        self.step_daemon(name, follow::FollowInput::PeerRevision(peer, revision));
    }
}

fn commit(
    rows: &mut rows::RowSet,
    transaction: &table::TableTransaction,
    delivery: WriteDelivery,
) -> change::ChangeInput {
    match delivery {
        WriteDelivery::NotApplied => change::ChangeInput::NotApplied,
        WriteDelivery::RequestLost | WriteDelivery::Delayed => change::ChangeInput::ResponseLost,
        WriteDelivery::ResponseLost => {
            rows.commit(transaction);
            change::ChangeInput::ResponseLost
        }
        WriteDelivery::Responded => match rows.commit(transaction) {
            table::CommitResponse::Committed(_) => change::ChangeInput::Committed,
            table::CommitResponse::Refused(_) => change::ChangeInput::Conflict,
        },
    }
}
