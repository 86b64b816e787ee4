//! Writes one response, either as server-sent events or as a single JSON body.

use std::future::Future;
use std::io;
use std::sync;
use std::time::Instant;

use async_std::channel;
use async_std::future;
use samphiremoor_base::time;
use samphiremoor_standin::fault;
use samphiremoor_standin::program;
use serde_json::json;

use crate::batch;
use crate::runtime;
use crate::tokens;
use crate::wire;

/// Data of the last event of a complete stream.
const DONE_DATA: &str = "[DONE]";

/// API whose response format is used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ResponseFormat {
    Chat,
    Completion,
}

/// Response whose tokens are being computed.
pub(crate) struct EngineResponse {
    pub(crate) runtime: sync::Arc<runtime::EngineRuntime>,
    pub(crate) format: ResponseFormat,
    pub(crate) model: String,
    pub(crate) call: runtime::EngineCall,
    pub(crate) events: channel::Receiver<batch::SequenceEvent>,
    pub(crate) admitted: fault::AdmittedCall,
    // A shutdown waits until this guard is dropped.
    pub(crate) _call_guard: program::CallGuard,
    pub(crate) deadline: Option<Instant>,
    pub(crate) drops_response: bool,
}

/// Outcome of a non-streamed response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum ResponseEnd {
    /// The response is complete.
    Complete(wire::UsageBlock),
    /// The call was cancelled or its deadline passed.
    Aborted,
}

impl EngineResponse {
    /// Streams the response. The call ends when the caller closes the connection.
    pub(crate) async fn stream(self, sender: async_sse::Sender) {
        let hash = tokens::PromptHash::of(&self.call.prompt);
        let drop_at =
            self.drops_response.then(|| (self.call.continue_from + self.call.target).div_ceil(2));
        let mut usage = self.empty_usage();
        loop {
            let Some(event) = self.next_event().await else {
                return self.send_error(&sender).await;
            };
            if self.runtime.faults.is_silenced(self.admitted) {
                return self.fall_silent(sender).await;
            }
            match event {
                batch::SequenceEvent::Admitted { cached, computed } => {
                    usage.prompt_tokens_details.cached_tokens = cached.get();
                    usage.prompt_tokens_details.computed_tokens = computed.get();
                }
                batch::SequenceEvent::Token(index) if drop_at == Some(index) => return,
                batch::SequenceEvent::Token(index) => {
                    let data = self.chunk(&hash.token(index), None);
                    let sent = sender.send(None, &data, Some(&index.to_string())).await;
                    if sent.is_err() {
                        return;
                    }
                }
                batch::SequenceEvent::Finished => {
                    // Ignores a send error: the caller may have disconnected, and nothing else is
                    // sent.
                    let _ = self.send_end(&sender, usage).await;
                    return;
                }
            }
        }
    }

    /// Waits until the response is complete.
    pub(crate) async fn collect(&self) -> ResponseEnd {
        let mut usage = self.empty_usage();
        while let Some(event) = self.next_event().await {
            match event {
                batch::SequenceEvent::Admitted { cached, computed } => {
                    usage.prompt_tokens_details.cached_tokens = cached.get();
                    usage.prompt_tokens_details.computed_tokens = computed.get();
                }
                batch::SequenceEvent::Token(_) => {}
                batch::SequenceEvent::Finished => return ResponseEnd::Complete(usage),
            }
        }
        ResponseEnd::Aborted
    }

    /// Returns the complete response as JSON.
    pub(crate) fn complete_json(&self, usage: &wire::UsageBlock) -> serde_json::Value {
        let hash = tokens::PromptHash::of(&self.call.prompt);
        let from = self.call.continue_from;
        let text: String = (from..self.call.target).map(|index| hash.token(index)).collect();
        let choice = match self.format {
            ResponseFormat::Chat => json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "length",
            }),
            ResponseFormat::Completion => {
                json!({"index": 0, "text": text, "finish_reason": "length"})
            }
        };
        json!({
            "id": self.call.request,
            "object": self.object(false),
            "model": self.model,
            "choices": [choice],
            "usage": usage,
        })
    }

    fn empty_usage(&self) -> wire::UsageBlock {
        let prompt = tokens::prompt_tokens(&self.call.prompt).len() as u64;
        wire::UsageBlock {
            prompt_tokens: prompt,
            completion_tokens: self.call.target,
            total_tokens: prompt + self.call.target,
            prompt_tokens_details: wire::PromptDetails::default(),
        }
    }

    /// Returns the next event, or `None` if the call was cancelled or its deadline passed.
    async fn next_event(&self) -> Option<batch::SequenceEvent> {
        let receiving = self.events.recv();
        match self.deadline {
            Some(deadline) => within(deadline, receiving).await?.ok(),
            None => receiving.await.ok(),
        }
    }

    async fn fall_silent(self, sender: async_sse::Sender) {
        // Drops the call guard first, so that a silent call doesn't delay a shutdown.
        drop(self);
        fault::wait_silence_limit().await;
        drop(sender);
    }

    async fn send_error(&self, sender: &async_sse::Sender) {
        // Ignores a send error: the caller may have disconnected, and nothing else is sent.
        let _ = sender.send("error", r#"{"detail":"cancelled or out of time"}"#, None).await;
    }

    async fn send_end(
        &self,
        sender: &async_sse::Sender,
        usage: wire::UsageBlock,
    ) -> io::Result<()> {
        sender.send(None, &self.chunk("", Some(usage)), None).await?;
        sender.send(None, DONE_DATA, None).await
    }

    fn chunk(&self, text: &str, end: Option<wire::UsageBlock>) -> String {
        let reason = end.map(|_| "length");
        let choice = match self.format {
            ResponseFormat::Chat => {
                json!({"index": 0, "delta": {"content": text}, "finish_reason": reason})
            }
            ResponseFormat::Completion => {
                json!({"index": 0, "text": text, "finish_reason": reason})
            }
        };
        let mut chunk = json!({
            "id": self.call.request,
            "object": self.object(true),
            "model": self.model,
            "choices": [choice],
        });
        if let Some(usage) = end {
            chunk["usage"] = json!(usage);
        }
        chunk.to_string()
    }

    fn object(&self, is_chunk: bool) -> &'static str {
        match (self.format, is_chunk) {
            (ResponseFormat::Chat, true) => "chat.completion.chunk",
            (ResponseFormat::Chat, false) => "chat.completion",
            (ResponseFormat::Completion, _) => "text_completion",
        }
    }
}

async fn within<F: Future>(deadline: Instant, work: F) -> Option<F::Output> {
    let remaining = time::Millis::from(deadline.saturating_duration_since(Instant::now()));
    future::timeout(remaining.to_duration(), work).await.ok()
}
