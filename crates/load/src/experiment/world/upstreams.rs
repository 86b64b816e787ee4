//! Calls at their replicas: sent, computed, answered, ended.

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
    /// Puts a call at the end of a replica's queue.
    pub(super) fn submit(&mut self, call: CallNumber, replica: usize) {
        let state = &mut self.calls[call.0];
        match &mut self.replicas[replica].work {
            replica::ReplicaWork::Engine(engine) => {
                let job = sequence_job(state);
                self.tally.recomputed_tokens += state.delivered;
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
        self.after(length, SimEvent::Step { replica, epoch, step: Box::new(step) });
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
            let length = self.replicas[replica].paced(plain.service_time.to_duration());
            self.replicas[replica].busy += length / replica::PLAIN_SERVERS as u32;
            self.after(length, SimEvent::PlainEnd { replica, epoch, call });
        }
    }

    /// Handles a step of an engine; one from before its death is void.
    pub(super) fn step_ended(&mut self, replica: usize, epoch: u32, step: &batch::BatchStep) {
        if self.replicas[replica].epoch != epoch {
            return;
        }
        let now = self.monotonic();
        self.replicas[replica].note_changes(&step.changes, now);
        if let replica::ReplicaWork::Engine(engine) = &mut self.replicas[replica].work {
            engine.is_stepping = false;
        }
        for event in &step.events {
            let replica::ReplicaWork::Engine(engine) = &self.replicas[replica].work else { break };
            let Some(call) = engine.calls.get(&event.sequence).copied() else { continue };
            match event.event {
                batch::SequenceEvent::Admitted { cached, computed } => {
                    self.admitted_by_engine(call, cached, computed);
                }
                batch::SequenceEvent::Token(_) => self.token(call),
                batch::SequenceEvent::Finished => self.complete(call),
            }
        }
        self.start_step(replica);
    }

    fn admitted_by_engine(
        &mut self,
        call: CallNumber,
        cached: quantity::TokenCount,
        computed: quantity::TokenCount,
    ) {
        let state = &mut self.calls[call.0];
        let missing = state.prompt.iter().skip((cached.get() / prefix::BLOCK_TOKENS) as usize);
        let known = missing.filter(|block| !self.computed_blocks.insert(**block)).count();
        self.tally.recomputed_tokens += known as u64 * prefix::BLOCK_TOKENS;
        self.tally.prompt_tokens += state.prompt_tokens.get();
        self.tally.computed_tokens += computed.get();
        if let Some(dispatch) = &mut state.dispatch {
            dispatch.usage = Some(picker::PromptUsage { cached, computed });
        }
    }

    fn token(&mut self, call: CallNumber) {
        let now = self.monotonic();
        let state = &mut self.calls[call.0];
        state.delivered += 1;
        state.first.get_or_insert(self.now);
        state.last = self.now;
        if let Some(dispatch) = &mut state.dispatch {
            dispatch.first.get_or_insert(now.since(dispatch.at));
        }
    }

    /// Handles the end of a call at a plain upstream.
    pub(super) fn plain_ended(&mut self, replica: usize, epoch: u32, call: CallNumber) {
        if self.replicas[replica].epoch != epoch {
            return;
        }
        if let replica::ReplicaWork::Plain(plain) = &mut self.replicas[replica].work {
            plain.running.retain(|running| *running != call);
        }
        if !self.calls[call.0].is_ended {
            self.token(call);
            self.complete(call);
        }
        self.start_plain(replica);
    }

    /// Ends the present dispatch of a call.
    pub(super) fn leave_replica(&mut self, call: CallNumber, outcome: picker::FinishOutcome) {
        let now = self.monotonic();
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
            state.avoid.push(replica.shown.id.clone());
        }
        self.daemons[state.daemon].picker.on_finish(&picker::FinishReport {
            replica: &replica.shown.id,
            service: &state.service.id,
            prefix: &state.prompt,
            prompt_tokens: state.prompt_tokens,
            dispatched_at: dispatch.at,
            now,
            outcome,
            ttft: dispatch.first,
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
        delivered: quantity::TokenCount::new(state.delivered),
        imported: quantity::TokenCount::new(0),
        target: quantity::TokenCount::new(state.answer_tokens),
    }
}
