//! Executes the actions of the lease manager and of the shard holders.
//!
//! Each table request, peer request or run is a task that sends its result to the control thread as
//! an event.

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

/// Time after the caller's deadline for which a run may continue.
const RUN_GRACE_PERIOD: time::Millis = time::Millis::new(1_000);

/// Spawns a task for each effect and sends its result to the control thread.
#[derive(Clone)]
pub(crate) struct EffectSpawner {
    context: sync::Arc<context::ShardContext>,
    event_sender: channel::Sender<event::ControlEvent>,
}

impl EffectSpawner {
    pub(crate) fn new(
        context: sync::Arc<context::ShardContext>,
        event_sender: channel::Sender<event::ControlEvent>,
    ) -> Self {
        EffectSpawner { context, event_sender }
    }

    /// Reads every lease row.
    pub(crate) fn scan_leases(&self) {
        let context = self.context.clone();
        self.spawn(async move {
            let input = match table::scan_all(&*context.table, row::LEASE_PREFIX).await {
                Ok(rows) => manager::LeaseInput::Scanned(rows),
                Err(_) => manager::LeaseInput::ScanFailed,
            };
            event::ControlEvent::Lease(input)
        });
    }

    /// Commits a transaction of the lease manager.
    pub(crate) fn commit_lease(&self, transaction: table::TableTransaction) {
        let context = self.context.clone();
        self.spawn(async move {
            let outcome: commit_outcome::CommitOutcome =
                context.table.commit(&transaction).await.into();
            event::ControlEvent::Lease(manager::LeaseInput::CommitFinished(outcome))
        });
    }

    /// Executes an action of a journal writer.
    pub(crate) fn write(&self, holder_id: event::HolderId, action: writer::WriterAction) {
        match action {
            writer::WriterAction::Commit(transaction) => {
                self.commit_journal(holder_id, transaction)
            }
            writer::WriterAction::ReadLease => self.read_lease(holder_id),
            writer::WriterAction::Copy { round, member, first_unwritten, batches } => {
                let request = message::ShardRequest::StoreCopies {
                    incarnation: member.incarnation,
                    shard: holder_id.shard,
                    fence: holder_id.fence,
                    first_unwritten,
                    batches,
                };
                self.store_copies(holder_id, round, member, request);
            }
        }
    }

    /// Reads a shard's journal.
    pub(crate) fn read_journal(&self, holder_id: event::HolderId) {
        let context = self.context.clone();
        self.spawn(async move {
            let rows =
                table::scan_all(&*context.table, &journal::shard_prefix(holder_id.shard)).await;
            // A row that can't be decoded may contain a claim, so the shard must not open without
            // it.
            let decoded = rows.ok().and_then(|rows| {
                rows.iter().map(journal::JournalBatch::decode).collect::<Option<Vec<_>>>()
            });
            event::ControlEvent::Claim(holder_id, transition::ClaimInput::JournalRead(decoded))
        });
    }

    /// Seals another daemon.
    pub(crate) fn seal(&self, holder_id: event::HolderId, member: row::DaemonInstance) {
        let context = self.context.clone();
        self.spawn(async move {
            let response = seal(&context, holder_id, &member).await;
            event::ControlEvent::Claim(
                holder_id,
                transition::ClaimInput::SealFinished { member, response },
            )
        });
    }

    /// Runs a call whose claim is durable.
    pub(crate) fn run(&self, holder_id: event::HolderId, call: sync::Arc<call::KeyedCall>) {
        let context = self.context.clone();
        self.spawn(async move {
            let outcome = run(&context, &call).await;
            event::ControlEvent::Claim(
                holder_id,
                transition::ClaimInput::RunFinished { key: call.key.clone(), outcome },
            )
        });
    }

    /// Pings peers to learn their current incarnations. Copy sets are chosen from the peers that
    /// respond.
    pub(crate) fn ping(&self, peers: Vec<peer::PeerEntry>) {
        for peer in peers {
            let context = self.context.clone();
            self.spawn(async move {
                let response = context.transport.request(&peer, message::ShardRequest::Ping).await;
                let candidate = match response {
                    Ok(message::ShardResponse::Pong { incarnation }) => {
                        let instance = row::DaemonInstance { daemon: peer.id.clone(), incarnation };
                        Some(rendezvous::CopyCandidate { instance, zone: peer.zone.clone() })
                    }
                    _ => None,
                };
                event::ControlEvent::PingFinished(peer.id, candidate)
            });
        }
    }

    /// Notifies peers that a lease can be acquired.
    pub(crate) fn notify_released(&self, peers: Vec<peer::PeerEntry>) {
        for peer in peers {
            let context = self.context.clone();
            task::spawn(async move {
                // Peers that miss the notification find the released lease with their next scan.
                let _ =
                    context.transport.request(&peer, message::ShardRequest::LeaseReleased).await;
            });
        }
    }

    fn commit_journal(&self, holder_id: event::HolderId, transaction: table::TableTransaction) {
        let context = self.context.clone();
        self.spawn(async move {
            let outcome: commit_outcome::CommitOutcome =
                context.table.commit(&transaction).await.into();
            event::ControlEvent::Claim(holder_id, transition::ClaimInput::CommitFinished(outcome))
        });
    }

    fn read_lease(&self, holder_id: event::HolderId) {
        let context = self.context.clone();
        self.spawn(async move {
            let result = read_lease(&*context.table, holder_id.shard).await;
            event::ControlEvent::Claim(holder_id, transition::ClaimInput::LeaseRead(result))
        });
    }

    fn store_copies(
        &self,
        holder_id: event::HolderId,
        round: writer::RoundNumber,
        member: row::DaemonInstance,
        request: message::ShardRequest,
    ) {
        let context = self.context.clone();
        self.spawn(async move {
            let response = match send_request(&context, &member, request).await {
                Some(message::ShardResponse::CopiesStored) => writer::CopyResponse::Stored,
                Some(message::ShardResponse::CopiesRejected) => writer::CopyResponse::Sealed,
                Some(message::ShardResponse::WrongIncarnation) => writer::CopyResponse::CopiesLost,
                _ => writer::CopyResponse::Failed,
            };
            event::ControlEvent::Claim(
                holder_id,
                transition::ClaimInput::CopyFinished { round, member, response },
            )
        });
    }

    fn spawn(&self, effect: impl Future<Output = event::ControlEvent> + Send + 'static) {
        let event_sender = self.event_sender.clone();
        task::spawn(async move {
            let event = effect.await;
            // An error means that the control thread has ended, so the event is not needed.
            let _ = event_sender.send(event).await;
        });
    }
}

async fn read_lease(
    table: &dyn table::TableStore,
    shard: quantity::ShardNumber,
) -> writer::LeaseReadResult {
    let Ok(table_row) = table.read(&row::shard_key(shard)).await else {
        return writer::LeaseReadResult::Failed;
    };
    let Some(table_row) = table_row else { return writer::LeaseReadResult::Found(None) };
    let decoded = row::LeaseRow::decode(&table_row.value);
    writer::LeaseReadResult::Found(
        decoded.map(|row| Box::new(row::VersionedLease { row, version: table_row.version })),
    )
}

/// Seals a daemon and returns its copies.
async fn seal(
    context: &context::ShardContext,
    holder_id: event::HolderId,
    member: &row::DaemonInstance,
) -> recovery::SealResponse {
    if is_removed(context, member) {
        return recovery::SealResponse::CopiesLost;
    }
    let request = message::ShardRequest::Seal {
        incarnation: member.incarnation,
        shard: holder_id.shard,
        fence: holder_id.fence,
    };
    match send_request(context, member, request).await {
        Some(message::ShardResponse::Sealed(batches)) => recovery::SealResponse::Sealed(batches),
        Some(message::ShardResponse::WrongIncarnation) => recovery::SealResponse::CopiesLost,
        _ => recovery::SealResponse::Failed,
    }
}

/// Returns whether the directory lists the daemon as gone. A daemon that is not listed at all may
/// still exist.
fn is_removed(context: &context::ShardContext, member: &row::DaemonInstance) -> bool {
    let daemons = context.directory.daemons();
    let entry = daemons.iter().find(|entry| entry.id == member.daemon);
    entry.is_some_and(|entry| entry.state == zone::UpstreamState::Gone)
}

/// Sends a request to a daemon. Returns `None` if the directory does not list the daemon or the
/// request fails.
async fn send_request(
    context: &context::ShardContext,
    member: &row::DaemonInstance,
    request: message::ShardRequest,
) -> Option<message::ShardResponse> {
    let daemons = context.directory.daemons();
    let peer = daemons.iter().find(|entry| entry.id == member.daemon)?;
    context.transport.request(peer, request).await.ok()
}

/// Runs a call at an upstream until shortly after its deadline.
async fn run(
    context: &context::ShardContext,
    call: &call::KeyedCall,
) -> transition::EncodedOutcome {
    if call.remaining == time::Millis::new(0) {
        let reason = reason::RefusalReason::DeadlinePassed;
        return transition::EncodedOutcome::NotRun(transition::NotRunCause {
            reason,
            retry_after: None,
        });
    }
    let run_timeout = call.remaining.to_duration() + RUN_GRACE_PERIOD.to_duration();
    let Ok(outcome) = future::timeout(run_timeout, context.runner.run(call)).await else {
        return transition::EncodedOutcome::MaybeRun(reason::RefusalReason::DeadlinePassed);
    };
    match outcome {
        call::RunOutcome::Completed(result) => {
            transition::EncodedOutcome::Completed(stored::StoredResult::from(&result).encode())
        }
        call::RunOutcome::NotRun { reason, retry_after } => {
            transition::EncodedOutcome::NotRun(transition::NotRunCause { reason, retry_after })
        }
        call::RunOutcome::MaybeRun(reason) => transition::EncodedOutcome::MaybeRun(reason),
    }
}
