//! Kept requests: accepted requests with the response so far, which callers can reattach to.

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
use crate::wire::chunk;
use crate::wire::request;
use crate::wire::response;

/// How a kept request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeptEnd {
    /// The response stream is complete.
    Streamed {
        /// Finish reason of the upstream.
        finish_reason: Arc<str>,
        /// Token usage as reported by the upstream.
        usage: Option<chunk::TokenUsage>,
    },
    /// The upstream's full response.
    Plain(call::CallResult),
    /// The request failed.
    Failed(problem::CallProblem),
    /// Another daemon took the request over.
    HandedOver(id::DaemonId),
}

/// Command to the task that runs a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RunCommand {
    /// Cancel the request, because no caller waits for it any more.
    Abandon,
    /// Another daemon took the request over.
    HandOver(id::DaemonId),
    /// Migrate away from the replica while it still responds, because it is about to be removed.
    LeaveReplica(id::ReplicaId),
}

/// Identity and deadline of a kept request.
#[derive(Clone, Debug)]
pub struct RequestInfo {
    /// Request id.
    pub id: id::RequestId,
    /// Workspace whose callers may attach to the request.
    pub workspace: id::WorkspaceId,
    /// The service.
    pub service: id::ServiceId,
    /// When this daemon accepted the request, on its monotonic clock.
    pub accepted_at: time::MonotonicTime,
    /// Deadline, on this daemon's monotonic clock.
    pub deadline: time::MonotonicTime,
    /// Unix time in seconds at which the request was accepted.
    pub created_s: u64,
}

/// Kind of a kept request.
#[derive(Clone, Debug)]
pub enum RequestKind {
    /// A chat or completion call.
    Model(Arc<request::CallBody>),
    /// A call of a plain service, whose response is never partial.
    Plain,
}

/// State of the response so far.
#[derive(Debug, Default)]
struct ResponseState {
    tokens: Vec<Arc<str>>,
    end: Option<KeptEnd>,
    ended_at: Option<time::MonotonicTime>,
    /// Number of readers of the response.
    readers: u32,
    /// When the request was accepted or its last reader left; `None` while it has a reader.
    unread_since: Option<time::MonotonicTime>,
}

/// A kept request with its response so far.
#[derive(Debug)]
pub struct KeptRequest {
    /// Identity and deadline of the request.
    pub info: RequestInfo,
    /// Kind of the request.
    pub kind: RequestKind,
    initial_bytes: u64,
    response_bytes: atomic::AtomicU64,
    state: sync::Mutex<ResponseState>,
    change_signal: signal::ChangeSignal,
    command_sender: channel::Sender<RunCommand>,
    command_receiver: channel::Receiver<RunCommand>,
}

/// Estimated memory of a kept request, excluding its body and response.
const ENTRY_BYTES: u64 = 1_024;

/// New part of a response, as returned to a reader.
#[derive(Clone, Debug)]
pub struct ResponseProgress {
    /// Tokens from the requested offset on.
    pub tokens: Vec<Arc<str>>,
    /// The end, if the request has ended.
    pub end: Option<KeptEnd>,
}

impl KeptRequest {
    /// Creates a kept request whose response starts with `tokens`.
    pub fn new(
        info: RequestInfo,
        kind: RequestKind,
        request_bytes: usize,
        tokens: Vec<Arc<str>>,
    ) -> Self {
        let (command_sender, command_receiver) = channel::unbounded();
        let token_bytes: u64 = tokens.iter().map(|token| token.len() as u64).sum();
        let unread_since = Some(info.accepted_at);
        KeptRequest {
            info,
            kind,
            initial_bytes: ENTRY_BYTES + request_bytes as u64 + token_bytes,
            response_bytes: atomic::AtomicU64::new(0),
            state: sync::Mutex::new(ResponseState {
                tokens,
                unread_since,
                ..ResponseState::default()
            }),
            change_signal: signal::ChangeSignal::default(),
            command_sender,
            command_receiver,
        }
    }

    /// Returns the fields that every chunk and full response of the request repeats.
    pub fn frame(&self, call: request::ModelCall) -> response::ResponseFrame {
        response::ResponseFrame {
            id: self.info.id.clone(),
            call,
            service: self.info.service.clone(),
            created_s: self.info.created_s,
        }
    }

    /// Appends the next token and wakes the readers.
    pub fn push_token(&self, text: Arc<str>) {
        self.response_bytes.fetch_add(text.len() as u64, atomic::Ordering::Relaxed);
        self.lock().tokens.push(text);
        self.change_signal.notify();
    }

    /// Sets the end and wakes the readers. Later calls keep the first end.
    pub fn finish(&self, end: KeptEnd, now: time::MonotonicTime) {
        if let KeptEnd::Plain(result) = &end {
            let bytes = result.body.len() as u64;
            self.response_bytes.fetch_add(bytes, atomic::Ordering::Relaxed);
        }
        let mut state = self.lock();
        if state.end.is_none() {
            state.end = Some(end);
            state.ended_at = Some(now);
        }
        drop(state);
        self.change_signal.notify();
    }

    /// Returns the number of tokens of the response so far.
    pub fn token_count(&self) -> quantity::TokenCount {
        quantity::TokenCount::new(self.lock().tokens.len() as u64)
    }

    /// Returns the tokens from `offset` on, and the end.
    pub fn progress(&self, offset: usize) -> ResponseProgress {
        let state = self.lock();
        let tokens = state.tokens.get(offset..).unwrap_or_default().to_vec();
        ResponseProgress { tokens, end: state.end.clone() }
    }

    /// Returns the end, if the request has ended.
    pub fn end(&self) -> Option<KeptEnd> {
        self.lock().end.clone()
    }

    /// Returns when the request ended.
    pub fn ended_at(&self) -> Option<time::MonotonicTime> {
        self.lock().ended_at
    }

    /// Waits for the end.
    pub async fn wait_for_end(&self) -> KeptEnd {
        let changes = self.change_signal.subscribe();
        loop {
            if let Some(end) = self.end() {
                return end;
            }
            // `self` owns the sender, so the channel can't be closed here.
            let _ = changes.recv().await;
        }
    }

    /// Returns whether the request is in progress and has had no reader for `limit`.
    pub fn is_abandoned(&self, now: time::MonotonicTime, limit: time::Millis) -> bool {
        let state = self.lock();
        state.end.is_none() && state.unread_since.is_some_and(|since| now.since(since) >= limit)
    }

    /// Returns the current size in bytes.
    pub fn bytes(&self) -> u64 {
        self.initial_bytes + self.response_bytes.load(atomic::Ordering::Relaxed)
    }

    /// Returns the size in bytes at the time of creation.
    pub fn initial_bytes(&self) -> u64 {
        self.initial_bytes
    }

    /// Sends a command to the task that runs the request.
    pub fn send_command(&self, command: RunCommand) {
        // Sending can't fail: `self` owns the receiver, and the channel is unbounded.
        let _ = self.command_sender.try_send(command);
    }

    /// Returns the receiver of the commands to the task that runs the request.
    pub fn command_receiver(&self) -> channel::Receiver<RunCommand> {
        self.command_receiver.clone()
    }

    fn lock(&self) -> sync::MutexGuard<'_, ResponseState> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// A caller's read position in a kept request. The request can't be abandoned while it has a
/// reader.
#[derive(Debug)]
pub struct ResponseReader {
    kept: Arc<KeptRequest>,
    clock: time::MonotonicClock,
    changes: channel::Receiver<()>,
    offset: usize,
}

impl ResponseReader {
    /// Creates a reader that starts with the token at `offset`.
    pub fn new(kept: Arc<KeptRequest>, clock: time::MonotonicClock, offset: usize) -> Self {
        let changes = kept.change_signal.subscribe();
        let mut state = kept.lock();
        state.readers += 1;
        state.unread_since = None;
        drop(state);
        ResponseReader { kept, clock, changes, offset }
    }

    /// Returns the number of tokens of the response so far.
    pub fn token_count(&self) -> u64 {
        self.kept.token_count().get()
    }

    /// Waits for the next tokens or the end.
    pub async fn next(&mut self) -> ResponseProgress {
        loop {
            let progress = self.kept.progress(self.offset);
            if !progress.tokens.is_empty() || progress.end.is_some() {
                self.offset += progress.tokens.len();
                return progress;
            }
            // `self.kept` owns the sender, so the channel can't be closed here.
            let _ = self.changes.recv().await;
        }
    }
}

impl Drop for ResponseReader {
    fn drop(&mut self) {
        let mut state = self.kept.lock();
        state.readers = state.readers.saturating_sub(1);
        if state.readers == 0 {
            state.unread_since = Some(self.clock.now());
        }
    }
}
