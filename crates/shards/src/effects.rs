//! Carries out what the decisions want: table, peers and runs. Each effect is a task that sends its
//! end to the control thread as an event.

use std::future::Future;
use std::sync;

use async_std::channel;
use async_std::future;
use async_std::task;
use samphiremoor_base::quantity;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_claims::journal;
use samphiremoor_claims::recovery;
use samphiremoor_claims::transition;
use samphiremoor_claims::writer;
use samphiremoor_lease::commit_outcome;
use samphiremoor_lease::manager;
use samphiremoor_lease::rendezvous;
use samphiremoor_lease::row;
use samphiremoor_platform::table;
use samphiremoor_view::zone;

use crate::call;
use crate::context;
use crate::event;
use crate::message;
use crate::peer;
use crate::stored;

/// Rows that one read of the table asks for.
const SCAN_PAGE: usize = 500;

/// Longest wait for an answer of the table; the write may have taken effect after it.
const TABLE_LIMIT: time::Millis = time::Millis::new(5_000);

/// Time beyond the caller's deadline that a runner may take to end.
const RUN_GRACE: time::Millis = time::Millis::new(1_000);

/// Starts effects and sends their ends to the control thread.
#[derive(Clone)]
pub(crate) struct EffectStarter {
    parts: sync::Arc<context::ShardContext>,
    sender: channel::Sender<event::ControlEvent>,
}

impl EffectStarter {
    pub(crate) fn new(
        parts: sync::Arc<context::ShardContext>,
        sender: channel::Sender<event::ControlEvent>,
    ) -> Self {
        EffectStarter { parts, sender }
    }

    /// Reads every lease row.
    pub(crate) fn scan_leases(&self) {
        let parts = self.parts.clone();
        self.start(async move {
            let input = match scan_all(&*parts.table, row::LEASE_PREFIX).await {
                Ok(rows) => manager::LeaseInput::Scanned(rows),
                Err(_) => manager::LeaseInput::ScanFailed,
            };
            event::ControlEvent::Lease(input)
        });
    }

    /// Commits a transaction of the lease keeper.
    pub(crate) fn commit_lease(&self, transaction: table::TableTransaction) {
        let parts = self.parts.clone();
        self.start(async move {
            let answer = commit(&*parts.table, &transaction).await;
            event::ControlEvent::Lease(manager::LeaseInput::CommitFinished(answer))
        });
    }

    /// Carries out something for a shard's journal.
    pub(crate) fn write(&self, hold: event::HoldId, action: writer::WriterAction) {
        match action {
            writer::WriterAction::Commit(transaction) => self.commit_journal(hold, transaction),
            writer::WriterAction::ReadLease => self.read_lease(hold),
            writer::WriterAction::Copy { round, member, first_unwritten, batches } => {
                let question = message::ShardRequest::Keep {
                    incarnation: member.incarnation,
                    shard: hold.shard,
                    fence: hold.fence,
                    first_unwritten,
                    batches,
                };
                self.copy(hold, round, member, question);
            }
        }
    }

    /// Reads a shard's journal.
    pub(crate) fn read_journal(&self, hold: event::HoldId) {
        let parts = self.parts.clone();
        self.start(async move {
            let rows = scan_all(&*parts.table, &journal::shard_prefix(hold.shard)).await;
            // A row that can't be read may hide a claim, so the shard must not open without it.
            let decoded = rows.ok().and_then(|rows| {
                rows.iter().map(journal::JournalBatch::decode).collect::<Option<Vec<_>>>()
            });
            event::ControlEvent::Claim(hold, transition::ClaimInput::JournalRead(decoded))
        });
    }

    /// Seals another daemon.
    pub(crate) fn seal(&self, hold: event::HoldId, member: row::DaemonInstance) {
        let parts = self.parts.clone();
        self.start(async move {
            let response = seal(&parts, hold, &member).await;
            event::ControlEvent::Claim(
                hold,
                transition::ClaimInput::SealFinished { member, response },
            )
        });
    }

    /// Runs a call whose claim is durable.
    pub(crate) fn run(&self, hold: event::HoldId, call: sync::Arc<call::KeyedCall>) {
        let parts = self.parts.clone();
        self.start(async move {
            let outcome = run(&parts, &call).await;
            event::ControlEvent::Claim(
                hold,
                transition::ClaimInput::RunFinished { key: call.key.clone(), outcome },
            )
        });
    }

    /// Asks peers which life they live, for the choice of copy sets.
    pub(crate) fn ping(&self, peers: Vec<peer::PeerEntry>) {
        for peer in peers {
            let parts = self.parts.clone();
            self.start(async move {
                let answer = parts.transport.request(&peer, message::ShardRequest::Ping).await;
                let seen = match answer {
                    Ok(message::ShardResponse::Pong { incarnation }) => {
                        let life = row::DaemonInstance { daemon: peer.id.clone(), incarnation };
                        Some(rendezvous::CopyCandidate { instance: life, zone: peer.zone.clone() })
                    }
                    _ => None,
                };
                event::ControlEvent::Pinged(peer.id, seen)
            });
        }
    }

    /// Tells peers that a lease can be taken.
    pub(crate) fn notify_released(&self, peers: Vec<peer::PeerEntry>) {
        for peer in peers {
            let parts = self.parts.clone();
            task::spawn(async move {
                // Peers that don't get it find the lease at their next scan.
                let _ = parts.transport.request(&peer, message::ShardRequest::Released).await;
            });
        }
    }

    fn commit_journal(&self, hold: event::HoldId, transaction: table::TableTransaction) {
        let parts = self.parts.clone();
        self.start(async move {
            let answer = commit(&*parts.table, &transaction).await;
            event::ControlEvent::Claim(hold, transition::ClaimInput::CommitFinished(answer))
        });
    }

    fn read_lease(&self, hold: event::HoldId) {
        let parts = self.parts.clone();
        self.start(async move {
            let reading = read_lease(&*parts.table, hold.shard).await;
            event::ControlEvent::Claim(hold, transition::ClaimInput::LeaseRead(reading))
        });
    }

    fn copy(
        &self,
        hold: event::HoldId,
        round: writer::RoundNumber,
        member: row::DaemonInstance,
        question: message::ShardRequest,
    ) {
        let parts = self.parts.clone();
        self.start(async move {
            let response = match ask(&parts, &member, question).await {
                Some(message::ShardResponse::Kept) => writer::CopyResponse::Stored,
                Some(message::ShardResponse::Refused) => writer::CopyResponse::Sealed,
                Some(message::ShardResponse::OtherLife) => writer::CopyResponse::CopiesLost,
                _ => writer::CopyResponse::Failed,
            };
            event::ControlEvent::Claim(
                hold,
                transition::ClaimInput::CopyFinished { round, member, response },
            )
        });
    }

    fn start(&self, effect: impl Future<Output = event::ControlEvent> + Send + 'static) {
        let sender = self.sender.clone();
        task::spawn(async move {
            let event = effect.await;
            // The control thread has ended: nobody needs the event.
            let _ = sender.send(event).await;
        });
    }
}

async fn commit(
    table: &dyn table::TableStore,
    transaction: &table::TableTransaction,
) -> commit_outcome::CommitOutcome {
    match future::timeout(TABLE_LIMIT.to_duration(), table.commit(transaction)).await {
        Ok(settled) => commit_outcome::CommitOutcome::from(settled),
        Err(_) => commit_outcome::CommitOutcome::Unknown,
    }
}

async fn read_lease(
    table: &dyn table::TableStore,
    shard: quantity::ShardNumber,
) -> writer::LeaseReadResult {
    let Ok(found) = table.read(&row::shard_key(shard)).await else {
        return writer::LeaseReadResult::Failed;
    };
    let Some(found) = found else { return writer::LeaseReadResult::Found(None) };
    let decoded = row::LeaseRow::decode(&found.value);
    writer::LeaseReadResult::Found(
        decoded.map(|row| Box::new(row::VersionedLease { row, version: found.version })),
    )
}

/// Reads every row under a prefix, page by page.
async fn scan_all(
    table: &dyn table::TableStore,
    prefix: &str,
) -> Result<Vec<table::TableRow>, table::PlatformError> {
    let mut rows: Vec<table::TableRow> = Vec::new();
    loop {
        let after = rows.last().map(|row| row.key.clone());
        let page = table.scan(prefix, after.as_ref(), SCAN_PAGE).await?;
        let is_last = page.len() < SCAN_PAGE;
        rows.extend(page);
        if is_last {
            return Ok(rows);
        }
    }
}

async fn seal(
    parts: &context::ShardContext,
    hold: event::HoldId,
    member: &row::DaemonInstance,
) -> recovery::SealResponse {
    if is_gone(parts, member) {
        return recovery::SealResponse::CopiesLost;
    }
    let question = message::ShardRequest::Seal {
        incarnation: member.incarnation,
        shard: hold.shard,
        fence: hold.fence,
    };
    match ask(parts, member, question).await {
        Some(message::ShardResponse::Sealed(batches)) => recovery::SealResponse::Sealed(batches),
        Some(message::ShardResponse::OtherLife) => recovery::SealResponse::CopiesLost,
        _ => recovery::SealResponse::Failed,
    }
}

fn is_gone(parts: &context::ShardContext, member: &row::DaemonInstance) -> bool {
    let daemons = parts.directory.daemons();
    let entry = daemons.iter().find(|entry| entry.id == member.daemon);
    entry.is_some_and(|entry| entry.state == zone::UpstreamState::Gone)
}

async fn ask(
    parts: &context::ShardContext,
    member: &row::DaemonInstance,
    question: message::ShardRequest,
) -> Option<message::ShardResponse> {
    let daemons = parts.directory.daemons();
    let peer = daemons.iter().find(|entry| entry.id == member.daemon)?;
    parts.transport.request(peer, question).await.ok()
}

async fn run(parts: &context::ShardContext, call: &call::KeyedCall) -> transition::EncodedOutcome {
    if call.remaining == time::Millis::new(0) {
        let reason = reason::RefusalReason::DeadlinePassed;
        return transition::EncodedOutcome::NotRun(transition::NotRunCause {
            reason,
            retry_after: None,
        });
    }
    let limit = call.remaining.to_duration() + RUN_GRACE.to_duration();
    let Ok(result) = future::timeout(limit, parts.runner.run(call)).await else {
        return transition::EncodedOutcome::MaybeRun(reason::RefusalReason::DeadlinePassed);
    };
    match result {
        call::RunOutcome::Completed(result) => {
            transition::EncodedOutcome::Completed(stored::StoredResult::from(&result).encode())
        }
        call::RunOutcome::NotRun { reason, retry_after } => {
            transition::EncodedOutcome::NotRun(transition::NotRunCause { reason, retry_after })
        }
        call::RunOutcome::MaybeRun(reason) => transition::EncodedOutcome::MaybeRun(reason),
    }
}
