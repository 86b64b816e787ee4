//! Execution of calls at their replicas.

use samphiremoor_base::quantity;
use samphiremoor_routing::picker;
use samphiremoor_routing::prefix;
use samphiremoor_standin_engine::batch;
use samphiremoor_standin_engine::blocks;

use super::SimEvent;
use super::SimWorld;
use super::calls;
use crate::experiment::replica;
use crate::experiment::replica::CallNumber;
use crate::plan;

impl SimWorld<'_> {
    /// Appends a call to the queue of a replica.
    pub(super) fn submit(&mut self, call: CallNumber, replica: usize) {
        let state = &mut self.calls[call.0];
        match &mut self.replicas[replica].work {
            replica::ReplicaWork::Engine(engine) => {
                let job = sequence_job(state);
                self.tally.recomputed_tokens += state.delivered_tokens;
                let sequence = engine.scheduler.submit(job);
                engine.calls.insert(sequence, call);
                if let Some(dispatch) = &mut state.dispatch {
                    dispatch.sequence = Some(sequence);
                }
                self.start_step(replica);
            }
            replica::ReplicaWork::Plain(plain) => {
                plain.queue.push_back(call);
                self.start_plain(replica);
            }
        }
    }

    fn start_step(&mut self, replica: usize) {
        let Some(step) = self.replicas[replica].start_step() else { return };
        let epoch = self.replicas[replica].epoch;
        let length = step.length;
        let counted_length = self.counted_part(length);
        self.replicas[replica].busy_time += counted_length;
        self.schedule_after(
            length,
            SimEvent::StepFinished { replica, epoch, step: Box::new(step) },
        );
    }

    fn start_plain(&mut self, replica: usize) {
        let state = &mut self.replicas[replica];
        let epoch = state.epoch;
        let mut started = Vec::new();
        if let replica::ReplicaWork::Plain(plain) = &mut state.work {
            while plain.running.len() < replica::PLAIN_SERVERS {
                let Some(call) = plain.queue.pop_front() else { break };
                plain.running.push(call);
                started.push(call);
            }
        }
        for call in started {
            let plan::CallContent::Plain(plain) = &self.calls[call.0].planned.content else {
                continue;
            };
            let length = self.replicas[replica].scaled_duration(plain.service_time.to_duration());
            let counted_length = self.counted_part(length);
            self.replicas[replica].busy_time += counted_length / replica::PLAIN_SERVERS as u32;
            self.schedule_after(length, SimEvent::PlainFinished { replica, epoch, call });
        }
    }

    /// Handles the end of an engine's batch step; a step of an earlier epoch is ignored.
    pub(super) fn on_step_finished(&mut self, replica: usize, epoch: u32, step: &batch::BatchStep) {
        if self.replicas[replica].epoch != epoch {
            return;
        }
        let now = self.daemon_time();
        self.replicas[replica].record_changes(&step.changes, now);
        if let replica::ReplicaWork::Engine(engine) = &mut self.replicas[replica].work {
            engine.is_stepping = false;
        }
        for event in &step.events {
            let replica::ReplicaWork::Engine(engine) = &self.replicas[replica].work else { break };
            let Some(call) = engine.calls.get(&event.sequence).copied() else { continue };
            match event.event {
                batch::SequenceEvent::Admitted { cached, computed } => {
                    self.on_engine_admission(call, cached, computed);
                }
                batch::SequenceEvent::Token(_) => self.on_token(call),
                batch::SequenceEvent::Finished => self.complete(call),
            }
        }
        self.start_step(replica);
    }

    fn on_engine_admission(
        &mut self,
        call: CallNumber,
        cached: quantity::TokenCount,
        computed: quantity::TokenCount,
    ) {
        let state = &mut self.calls[call.0];
        let missing = state.prompt.iter().skip((cached.get() / prefix::BLOCK_TOKENS) as usize);
        let recomputed_blocks =
            missing.filter(|block| !self.computed_blocks.insert(**block)).count();
        self.tally.recomputed_tokens += recomputed_blocks as u64 * prefix::BLOCK_TOKENS;
        self.tally.prompt_tokens += state.prompt_tokens.get();
        self.tally.computed_tokens += computed.get();
        if let Some(dispatch) = &mut state.dispatch {
            dispatch.usage = Some(picker::PromptUsage { cached, computed });
        }
    }

    fn on_token(&mut self, call: CallNumber) {
        let now = self.daemon_time();
        let state = &mut self.calls[call.0];
        state.delivered_tokens += 1;
        state.first_token_at.get_or_insert(self.now);
        state.last_token_at = self.now;
        if let Some(dispatch) = &mut state.dispatch {
            dispatch.ttft.get_or_insert(now.since(dispatch.dispatched_at));
        }
    }

    /// Handles the end of a call at a plain upstream.
    pub(super) fn on_plain_finished(&mut self, replica: usize, epoch: u32, call: CallNumber) {
        if self.replicas[replica].epoch != epoch {
            return;
        }
        if let replica::ReplicaWork::Plain(plain) = &mut self.replicas[replica].work {
            plain.running.retain(|running| *running != call);
        }
        if !self.calls[call.0].is_ended {
            self.on_token(call);
            self.complete(call);
        }
        self.start_plain(replica);
    }

    /// Ends the current dispatch of a call.
    pub(super) fn end_dispatch(&mut self, call: CallNumber, outcome: picker::FinishOutcome) {
        let now = self.daemon_time();
        let state = &mut self.calls[call.0];
        let Some(dispatch) = state.dispatch.take() else { return };
        let replica = &mut self.replicas[dispatch.replica];
        match &mut replica.work {
            replica::ReplicaWork::Engine(engine) => {
                if let Some(sequence) = dispatch.sequence {
                    engine.calls.remove(&sequence);
                    engine.scheduler.cancel(sequence);
                }
            }
            replica::ReplicaWork::Plain(plain) => plain.queue.retain(|queued| *queued != call),
        }
        if outcome == picker::FinishOutcome::Failed {
            state.excluded_replicas.push(replica.view.id.clone());
        }
        self.daemons[state.daemon].picker.on_finish(&picker::FinishReport {
            replica: &replica.view.id,
            service: &state.service.id,
            prefix: &state.prompt,
            prompt_tokens: state.prompt_tokens,
            dispatched_at: dispatch.dispatched_at,
            now,
            outcome,
            ttft: dispatch.ttft,
            usage: dispatch.usage,
        });
    }
}

fn sequence_job(state: &calls::CallState<'_>) -> batch::SequenceJob {
    let blocks = state.prompt.iter().map(|hash| blocks::BlockHash::new(hash.get()));
    batch::SequenceJob {
        priority: state.service.priority,
        blocks: blocks.collect(),
        prompt: state.prompt_tokens,
        delivered: quantity::TokenCount::new(state.delivered_tokens),
        imported: quantity::TokenCount::new(0),
        target: quantity::TokenCount::new(state.response_tokens),
    }
}
