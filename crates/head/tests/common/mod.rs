//! A table, operators and daemons that are driven step by step.

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

/// What becomes of a transaction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WriteFate {
    Answered,
    AnswerLost,
    RequestLost,
    NotDone,
    /// It takes effect later, with `World::land`; its answer is lost.
    Delayed,
}

/// An operator's change that is under way or has ended.
#[derive(Debug)]
pub(crate) struct Operator {
    pub(crate) write_id: String,
    pub(crate) driver: change::ChangeDriver,
    pub(crate) action: change::ChangeAction,
}

/// A daemon and what it was sent.
#[derive(Debug)]
pub(crate) struct Daemon {
    pub(crate) follower: follow::HeadFollower,
    pub(crate) inbox: Vec<follow::FollowInput>,
    /// Every revision that was in force in this life.
    pub(crate) lived: Vec<u64>,
}

#[derive(Debug, Default)]
pub(crate) struct World {
    pub(crate) rows: rows::RowSet,
    pub(crate) operators: collections::BTreeMap<String, Operator>,
    pub(crate) daemons: collections::BTreeMap<String, Daemon>,
    pub(crate) delayed: Vec<table::TableTransaction>,
    pub(crate) now: time::MonotonicTime,
    writes: u32,
}

fn workspace(operator: &str, text: &str) -> entry::RecordEntry {
    // What a record says does not matter here: the text is one that changes with each write.
    entry::RecordEntry {
        key: format!("workspace/{operator}").parse().expect("a key"),
        schema: 1,
        text: sync::Arc::from(text),
    }
}

impl World {
    pub(crate) fn head(&self) -> Option<change::BaseHead> {
        let row = self.rows.read(&table::RowKey::new(revision::HEAD_KEY))?;
        let head = revision::HeadRow::parse(&row.value).expect("a head");
        Some(change::BaseHead { row: head, version: row.version })
    }

    pub(crate) fn revision(
        &self,
        number: quantity::RevisionNumber,
    ) -> Option<revision::RevisionRow> {
        let row = self.rows.read(&table::RowKey::new(&revision::revision_key(number)))?;
        Some(revision::RevisionRow::parse(&row.value).expect("a revision"))
    }

    /// Write ids of every revision, the oldest first.
    pub(crate) fn history(&self) -> Vec<String> {
        let last = self.head().map(|head| head.row.revision.get()).unwrap_or_default();
        let numbers = (1..=last).map(quantity::RevisionNumber::new);
        numbers.map(|number| self.revision(number).expect("no gap").write_id.to_string()).collect()
    }

    /// The operator reads the head and begins a change of a record of its own.
    pub(crate) fn begin(&mut self, name: &str) {
        self.writes += 1;
        let write_id = format!("{name}-{}", self.writes);
        let base = self.head();
        let number = base.as_ref().map(|base| base.row.revision).unwrap_or_default();
        let old = self.revision(number).map(|row| row.bundle()).unwrap_or_default();
        let mut bundle = old.clone();
        bundle.put(workspace(name, &write_id));
        let author = change::ChangeAuthor {
            write_id: write_id.parse().expect("a write id"),
            name: sync::Arc::from(name),
            written_at: 0,
        };
        let changed = old.changed_keys(&bundle);
        let mut driver = change::ChangeDriver::new(base.as_ref(), &bundle, changed, author);
        let action = driver.start();
        self.operators.insert(name.to_owned(), Operator { write_id, driver, action });
    }

    /// Carries out the operator's next step; `is_read_lost` fails a read.
    pub(crate) fn step(&mut self, name: &str, fate: WriteFate, is_read_lost: bool) {
        let Some(operator) = self.operators.get_mut(name) else { return };
        let transaction = operator.driver.transaction().clone();
        let input = match operator.action {
            change::ChangeAction::End(_) => return,
            change::ChangeAction::Commit => commit(&mut self.rows, &transaction, fate),
            change::ChangeAction::ReadRevision(_) if is_read_lost => {
                change::ChangeInput::ReadFailed
            }
            change::ChangeAction::ReadRevision(number) => {
                let key = table::RowKey::new(&revision::revision_key(number));
                let row = self.rows.read(&key);
                let row = row.map(|row| revision::RevisionRow::parse(&row.value).expect("a row"));
                change::ChangeInput::RevisionRead(row.map(|row| change::RevisionWriter {
                    write_id: row.write_id,
                    author: row.author,
                }))
            }
        };
        if fate == WriteFate::Delayed && operator.action == change::ChangeAction::Commit {
            self.delayed.push(transaction);
        }
        operator.action = operator.driver.step(input);
    }

    /// The oldest delayed transaction reaches the table.
    pub(crate) fn land(&mut self) {
        if !self.delayed.is_empty() {
            let transaction = self.delayed.remove(0);
            self.rows.commit(&transaction);
        }
    }

    /// A daemon starts, or starts anew without what it knew.
    pub(crate) fn start(&mut self, name: &str) {
        let times = follow::FollowTimings::default();
        let follower = follow::HeadFollower::new(times);
        let daemon = Daemon { follower, inbox: Vec::new(), lived: Vec::new() };
        self.daemons.insert(name.to_owned(), daemon);
        self.give(name, follow::FollowInput::Joined);
    }

    /// Gives a daemon an input and carries out its action.
    pub(crate) fn give(&mut self, name: &str, input: follow::FollowInput) {
        let now = self.now;
        let Some(daemon) = self.daemons.get_mut(name) else { return };
        let Some(action) = daemon.follower.step(now, input) else { return };
        match action {
            follow::FollowAction::ReadHead => {
                let head = self.head().map(|head| head.row);
                self.receive(name, follow::FollowInput::HeadRead(head));
            }
            follow::FollowAction::ReadRevision(number) => {
                let content = self.revision(number).map(relay::RevisionContent::from);
                self.receive(name, follow::FollowInput::RevisionRead(content));
            }
            follow::FollowAction::AskPeer(peer) => {
                let have = self.daemons[name].follower.in_force();
                let asked = self.daemons.get(peer.as_str());
                let delta = asked.and_then(|peer| peer.follower.delta_for(have));
                self.receive(name, follow::FollowInput::PeerSent(delta));
            }
            follow::FollowAction::PutInForce(content) => {
                let daemon = self.daemons.get_mut(name).expect("the daemon was found above");
                daemon.lived.push(content.revision.get());
            }
        }
    }

    /// An answer is on its way.
    fn receive(&mut self, name: &str, input: follow::FollowInput) {
        if let Some(daemon) = self.daemons.get_mut(name) {
            daemon.inbox.push(input);
        }
    }

    /// The answer at this place of the daemon's inbox arrives.
    pub(crate) fn deliver(&mut self, name: &str, place: usize) {
        let Some(daemon) = self.daemons.get_mut(name) else { return };
        if daemon.inbox.is_empty() {
            return;
        }
        let input = daemon.inbox.remove(place % daemon.inbox.len());
        self.give(name, input);
    }

    /// The daemon hears which revision a peer has.
    pub(crate) fn hear(&mut self, name: &str, peer: &str) {
        let Some(revision) = self.daemons.get(peer).map(|peer| peer.follower.in_force()) else {
            return;
        };
        let peer: id::DaemonId = peer.parse().expect("a daemon");
        self.give(name, follow::FollowInput::PeerHas(peer, revision));
    }
}

fn commit(
    rows: &mut rows::RowSet,
    transaction: &table::TableTransaction,
    fate: WriteFate,
) -> change::ChangeInput {
    match fate {
        WriteFate::NotDone => change::ChangeInput::NotDone,
        WriteFate::RequestLost | WriteFate::Delayed => change::ChangeInput::ResponseLost,
        WriteFate::AnswerLost => {
            rows.commit(transaction);
            change::ChangeInput::ResponseLost
        }
        WriteFate::Answered => match rows.commit(transaction) {
            table::CommitResponse::Committed(_) => change::ChangeInput::Committed,
            table::CommitResponse::Refused(_) => change::ChangeInput::Refused,
        },
    }
}
