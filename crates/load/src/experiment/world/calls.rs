//! State of the calls of a run.

use std::sync;
use std::time::Duration;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_limits::gate;
use samphiremoor_records::set;
use samphiremoor_routing::picker;
use samphiremoor_routing::prefix;
use samphiremoor_standin_engine::batch;
use samphiremoor_standin_engine::tokens;
use smallvec::SmallVec;

use super::SimTime;
use crate::experiment::deployment;
use crate::plan;
use crate::prompt;

/// State of one call.
pub(super) struct CallState<'a> {
    pub(super) planned: &'a plan::PlannedCall,
    pub(super) service: &'a set::ServiceRecord,
    /// Hashes of the prompt's blocks.
    pub(super) prompt: sync::Arc<[prefix::PrefixHash]>,
    pub(super) prompt_tokens: quantity::TokenCount,
    /// Tokens of the complete response.
    pub(super) response_tokens: u64,
    pub(super) attempts: u32,
    pub(super) dispatches: u32,
    pub(super) excluded_replicas: SmallVec<[id::ReplicaId; 2]>,
    /// Index of the daemon that received the last attempt.
    pub(super) daemon: usize,
    pub(super) admission: Option<CallAdmission>,
    pub(super) dispatch: Option<CallDispatch>,
    /// Response tokens that were delivered to the caller.
    pub(super) delivered_tokens: u64,
    pub(super) first_token_at: Option<SimTime>,
    pub(super) last_token_at: SimTime,
    pub(super) is_ended: bool,
}

/// Admission of a call by a daemon.
#[derive(Clone, Copy)]
pub(super) struct CallAdmission {
    pub(super) permit: gate::PermitId,
    pub(super) admitted_at: time::MonotonicTime,
}

/// Dispatch of a call to a replica.
#[derive(Clone, Copy)]
pub(super) struct CallDispatch {
    /// Index of the replica in the run.
    pub(super) replica: usize,
    pub(super) dispatched_at: time::MonotonicTime,
    pub(super) sequence: Option<batch::SequenceNumber>,
    pub(super) usage: Option<picker::PromptUsage>,
    pub(super) ttft: Option<time::Millis>,
}

impl<'a> CallState<'a> {
    pub(super) fn new(
        deployment: &'a deployment::Deployment,
        planned: &'a plan::PlannedCall,
    ) -> Option<Self> {
        let service = deployment.records.service(&planned.service)?;
        let (prompt, prompt_tokens, response_tokens) = match &planned.content {
            plan::CallContent::Model { session, turn } => {
                let text = prompt::prompt_text(&prompt::messages(session, *turn));
                let tokens = tokens::prompt_tokens(&text);
                let count = quantity::TokenCount::new(tokens.len() as u64);
                (prefix::hash_blocks(&tokens), count, session.turns[*turn].answer_tokens)
            }
            plan::CallContent::Plain(_) => (Vec::new(), quantity::TokenCount::new(0), 1),
        };
        Some(CallState {
            planned,
            service,
            prompt: sync::Arc::from(prompt),
            prompt_tokens,
            response_tokens,
            attempts: 0,
            dispatches: 0,
            excluded_replicas: SmallVec::new(),
            daemon: 0,
            admission: None,
            dispatch: None,
            delivered_tokens: 0,
            first_token_at: None,
            last_token_at: Duration::ZERO,
            is_ended: false,
        })
    }

    /// Returns the time from the first token to the last.
    pub(super) fn decode_time(&self) -> Duration {
        self.last_token_at.saturating_sub(self.first_token_at.unwrap_or(self.last_token_at))
    }
}
