//! Reads newer revisions of the operators' document from the daemons that have them.

use std::rc;

use async_std::task;
use samphiremoor_base::event;
use samphiremoor_base::log_event;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_fleet::document_fetch;

use crate::core;
use crate::peer_records;

/// Pause after a document that can't be put in force.
const REFUSAL_PAUSE: time::Millis = time::Millis::new(1_000);

/// Daemons that announce the revisions that they have.
pub(crate) trait DocumentPeers {
    /// Returns the daemons that have a revision after `revision`.
    fn holders(&self, revision: quantity::RevisionNumber) -> Vec<document_fetch::DocumentHolder>;
}

/// Reads documents until no daemon is known that has a newer revision than the one in force.
pub(crate) async fn catch_up(core: &core::GatewayCore, peers: &rc::Rc<dyn DocumentPeers>) {
    while let Some(text) = read_document(core, peers).await {
        let before = core.revision();
        match core.adapter.records.parse_policy(&text) {
            Some(update) => core.apply_policy(update, "peer"),
            None => log_event!(event::LogEvent::RecordRefused, source = "peer", bytes = text.len()),
        }
        if core.revision() == before {
            task::sleep(REFUSAL_PAUSE.to_duration()).await;
        }
    }
    core.state.borrow_mut().is_document_stalled = false;
}

/// Reads one document. Returns `None` once no daemon has a newer revision than the one in force.
async fn read_document(
    core: &core::GatewayCore,
    peers: &rc::Rc<dyn DocumentPeers>,
) -> Option<Vec<u8>> {
    let started_at = core.now();
    let mut fetch = document_fetch::DocumentFetch::new(started_at);
    {
        let state = core.state.borrow();
        fetch.add_known(state.document.manifest(), state.document.text());
    }
    loop {
        let holders = peers.holders(core.revision());
        if holders.is_empty() {
            return None;
        }
        let now = core.now();
        core.state.borrow_mut().is_document_stalled = fetch.is_stalled(now);
        let step = fetch.next_step(&holders, now, rand::random());
        let source = match &step {
            document_fetch::FetchStep::Wait(wait) => {
                task::sleep(wait.to_duration()).await;
                continue;
            }
            document_fetch::FetchStep::Finished(_) => {
                let document_fetch::FetchStep::Finished(text) = step else { continue };
                let after = core.now().since(started_at);
                log_event!(event::LogEvent::DocumentRead, after = after, bytes = text.len());
                return Some(text);
            }
            document_fetch::FetchStep::ReadManifest(source)
            | document_fetch::FetchStep::ReadParts(source, ..)
            | document_fetch::FetchStep::ReadWhole(source) => *source,
        };
        let outcome = peer_records::read_document(&step).await;
        let after = core.now().since(now);
        let (result, outcome) = match outcome {
            Ok(outcome @ document_fetch::FetchOutcome::Served(_)) => ("served", outcome),
            Ok(outcome) => ("turned-away", outcome),
            Err(cause) => {
                log_event!(
                    event::LogEvent::DocumentUnread,
                    source = source,
                    after = after,
                    cause = cause,
                );
                ("failed", document_fetch::FetchOutcome::Failed)
            }
        };
        core.metrics.count_document_read(result);
        if let Some(text) = fetch.on_outcome(&step, outcome, core.now(), rand::random()) {
            return Some(text);
        }
    }
}
