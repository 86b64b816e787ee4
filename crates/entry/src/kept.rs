//! Requests that this daemon keeps: their answers so far, for callers that attach again.

use std::sync;
use std::sync::Arc;
use std::sync::atomic;

use async_std::channel;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_httpio::problem;
use samphiremoor_shards::call;

use crate::signal;
use crate::wire::answer;
use crate::wire::chunk;
use crate::wire::request;

/// How a kept request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeptEnd {
    /// All tokens are there.
    Streamed {
        /// Why the answer ends.
        finish_reason: Arc<str>,
        /// What the upstream counted.
        usage: Option<chunk::TokenUsage>,
    },
    /// The upstream's whole answer.
    Plain(call::CallResult),
    /// It failed.
    Failed(problem::CallProblem),
    /// Another daemon goes on with it.
    HandedOver(id::DaemonId),
}

/// What the task that runs a request is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RunCommand {
    /// Nobody waits for the answer any more.
    Abandon,
    /// Another daemon goes on with it.
    HandOver(id::DaemonId),
    /// The replica is about to go; move while it can still be asked.
    LeaveReplica(id::ReplicaId),
}

/// What identifies a kept request.
#[derive(Clone, Debug)]
pub struct KeptHead {
    /// The request.
    pub id: id::RequestId,
    /// The workspace that may attach to it.
    pub workspace: id::WorkspaceId,
    /// The service.
    pub service: id::ServiceId,
    /// When it was accepted, on this daemon's clock.
    pub accepted_at: time::MonotonicTime,
    /// When it must have ended, on this daemon's clock.
    pub deadline: time::MonotonicTime,
    /// When it was accepted, in seconds of the Unix epoch.
    pub created_s: u64,
}

/// What a kept request asked for.
#[derive(Clone, Debug)]
pub enum KeptWork {
    /// A chat or completion call.
    Model(Arc<request::CallBody>),
    /// A call of a plain service, whose answer comes whole.
    Plain,
}

/// The answer so far.
#[derive(Debug, Default)]
struct AnswerState {
    tokens: Vec<Arc<str>>,
    end: Option<KeptEnd>,
    ended_at: Option<time::MonotonicTime>,
    readers: u32,
    unread_since: Option<time::MonotonicTime>,
}

/// One kept request.
#[derive(Debug)]
pub struct KeptRequest {
    /// What identifies it.
    pub head: KeptHead,
    /// What it asked for.
    pub work: KeptWork,
    first_bytes: u64,
    answer_bytes: atomic::AtomicU64,
    state: sync::Mutex<AnswerState>,
    changes: signal::ChangeSignal,
    commands: channel::Sender<RunCommand>,
    command_source: channel::Receiver<RunCommand>,
}

/// Bytes that a kept request takes beside its texts.
const ENTRY_BYTES: u64 = 1_024;

/// What a reader gets at one look.
#[derive(Clone, Debug)]
pub struct AnswerProgress {
    /// Tokens from the offset that was asked for.
    pub tokens: Vec<Arc<str>>,
    /// The end, where it is known.
    pub end: Option<KeptEnd>,
}

impl KeptRequest {
    /// A request whose answer starts with `tokens`.
    pub fn new(
        head: KeptHead,
        work: KeptWork,
        request_bytes: usize,
        tokens: Vec<Arc<str>>,
    ) -> Self {
        let (commands, command_source) = channel::unbounded();
        let token_bytes: u64 = tokens.iter().map(|token| token.len() as u64).sum();
        let unread_since = Some(head.accepted_at);
        KeptRequest {
            head,
            work,
            first_bytes: ENTRY_BYTES + request_bytes as u64 + token_bytes,
            answer_bytes: atomic::AtomicU64::new(0),
            state: sync::Mutex::new(AnswerState { tokens, unread_since, ..AnswerState::default() }),
            changes: signal::ChangeSignal::default(),
            commands,
            command_source,
        }
    }

    /// The frame of chunks and answers.
    pub fn frame(&self, call: request::ModelCall) -> answer::AnswerFrame {
        answer::AnswerFrame {
            id: self.head.id.clone(),
            call,
            service: self.head.service.clone(),
            created_s: self.head.created_s,
        }
    }

    /// Adds the next token.
    pub fn push_token(&self, text: Arc<str>) {
        self.answer_bytes.fetch_add(text.len() as u64, atomic::Ordering::Relaxed);
        self.lock().tokens.push(text);
        self.changes.notify();
    }

    /// Sets the end; later calls have no effect.
    pub fn finish(&self, end: KeptEnd, now: time::MonotonicTime) {
        if let KeptEnd::Plain(answer) = &end {
            let bytes = answer.body.len() as u64;
            self.answer_bytes.fetch_add(bytes, atomic::Ordering::Relaxed);
        }
        let mut state = self.lock();
        if state.end.is_none() {
            state.end = Some(end);
            state.ended_at = Some(now);
        }
        drop(state);
        self.changes.notify();
    }

    /// Tokens that are kept.
    pub fn token_count(&self) -> quantity::TokenCount {
        quantity::TokenCount::new(self.lock().tokens.len() as u64)
    }

    /// Tokens from `offset` on, and the end.
    pub fn progress(&self, offset: usize) -> AnswerProgress {
        let state = self.lock();
        let tokens = state.tokens.get(offset..).unwrap_or_default().to_vec();
        AnswerProgress { tokens, end: state.end.clone() }
    }

    /// The end, where it is known.
    pub fn end(&self) -> Option<KeptEnd> {
        self.lock().end.clone()
    }

    /// When it ended.
    pub fn ended_at(&self) -> Option<time::MonotonicTime> {
        self.lock().ended_at
    }

    /// Waits for the end.
    pub async fn ended(&self) -> KeptEnd {
        let changes = self.changes.subscribe();
        loop {
            if let Some(end) = self.end() {
                return end;
            }
            // The signal lives as long as this request, so the channel is open.
            let _ = changes.recv().await;
        }
    }

    /// Whether nobody has read it for `limit`, although it goes on.
    pub fn is_abandoned(&self, now: time::MonotonicTime, limit: time::Millis) -> bool {
        let state = self.lock();
        state.end.is_none() && state.unread_since.is_some_and(|since| now.since(since) >= limit)
    }

    /// Bytes that it takes.
    pub fn bytes(&self) -> u64 {
        self.first_bytes + self.answer_bytes.load(atomic::Ordering::Relaxed)
    }

    /// Bytes that it took when it was kept first.
    pub fn first_bytes(&self) -> u64 {
        self.first_bytes
    }

    /// Tells the task that runs it something.
    pub fn command(&self, command: RunCommand) {
        // The source lives as long as this request, and the channel has no bound.
        let _ = self.commands.try_send(command);
    }

    /// What the task that runs it is told.
    pub fn commands(&self) -> channel::Receiver<RunCommand> {
        self.command_source.clone()
    }

    fn lock(&self) -> sync::MutexGuard<'_, AnswerState> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// A caller that reads a kept request; the request counts as read while one lives.
#[derive(Debug)]
pub struct AnswerReader {
    kept: Arc<KeptRequest>,
    clock: time::MonotonicClock,
    changes: channel::Receiver<()>,
    offset: usize,
}

impl AnswerReader {
    /// Reads from the token at `offset` on.
    pub fn new(kept: Arc<KeptRequest>, clock: time::MonotonicClock, offset: usize) -> Self {
        let changes = kept.changes.subscribe();
        let mut state = kept.lock();
        state.readers += 1;
        state.unread_since = None;
        drop(state);
        AnswerReader { kept, clock, changes, offset }
    }

    /// Tokens of the answer so far.
    pub fn token_count(&self) -> u64 {
        self.kept.token_count().get()
    }

    /// Waits for the next tokens or the end.
    pub async fn next(&mut self) -> AnswerProgress {
        loop {
            let progress = self.kept.progress(self.offset);
            if !progress.tokens.is_empty() || progress.end.is_some() {
                self.offset += progress.tokens.len();
                return progress;
            }
            // The signal lives as long as the request, so the channel is open.
            let _ = self.changes.recv().await;
        }
    }
}

impl Drop for AnswerReader {
    fn drop(&mut self) {
        let mut state = self.kept.lock();
        state.readers = state.readers.saturating_sub(1);
        if state.readers == 0 {
            state.unread_since = Some(self.clock.now());
        }
    }
}
