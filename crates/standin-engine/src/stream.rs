//! Writes one answer: as server-sent events or whole.

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

/// Data of the last event of a stream.
const DONE_DATA: &str = "[DONE]";

/// Form of the answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AnswerForm {
    Chat,
    Completion,
}

/// An answer that is being computed.
pub(crate) struct EngineAnswer {
    pub(crate) runtime: sync::Arc<runtime::EngineRuntime>,
    pub(crate) form: AnswerForm,
    pub(crate) model: String,
    pub(crate) call: runtime::EngineCall,
    pub(crate) events: channel::Receiver<batch::SequenceEvent>,
    pub(crate) pass: fault::AdmittedCall,
    // A stop waits until this is dropped.
    pub(crate) _slot: program::CallGuard,
    pub(crate) deadline: Option<Instant>,
    pub(crate) drops: bool,
}

/// How an answer ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum AnswerEnd {
    /// It is whole.
    Whole(wire::UsageBlock),
    /// It was cancelled or its deadline passed.
    CutShort,
}

impl EngineAnswer {
    /// Streams the answer; the caller's end of the connection ends the call.
    pub(crate) async fn stream(self, sender: async_sse::Sender) {
        let hash = tokens::PromptHash::of(&self.call.prompt);
        let drop_at = self.drops.then(|| (self.call.continue_from + self.call.target).div_ceil(2));
        let mut usage = self.empty_usage();
        loop {
            let Some(event) = self.next_event().await else {
                return self.send_error(&sender).await;
            };
            if self.runtime.faults.is_silenced(self.pass) {
                return self.go_silent(sender).await;
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
                    // The caller may be gone, and nothing follows.
                    let _ = self.send_end(&sender, usage).await;
                    return;
                }
            }
        }
    }

    /// Computes the whole answer.
    pub(crate) async fn collect(&self) -> AnswerEnd {
        let mut usage = self.empty_usage();
        while let Some(event) = self.next_event().await {
            match event {
                batch::SequenceEvent::Admitted { cached, computed } => {
                    usage.prompt_tokens_details.cached_tokens = cached.get();
                    usage.prompt_tokens_details.computed_tokens = computed.get();
                }
                batch::SequenceEvent::Token(_) => {}
                batch::SequenceEvent::Finished => return AnswerEnd::Whole(usage),
            }
        }
        AnswerEnd::CutShort
    }

    /// The whole answer's JSON.
    pub(crate) fn whole(&self, usage: &wire::UsageBlock) -> serde_json::Value {
        let hash = tokens::PromptHash::of(&self.call.prompt);
        let from = self.call.continue_from;
        let text: String = (from..self.call.target).map(|index| hash.token(index)).collect();
        let choice = match self.form {
            AnswerForm::Chat => json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "length",
            }),
            AnswerForm::Completion => json!({"index": 0, "text": text, "finish_reason": "length"}),
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

    /// The next event; none where the call was cancelled or its deadline passed.
    async fn next_event(&self) -> Option<batch::SequenceEvent> {
        let receiving = self.events.recv();
        match self.deadline {
            Some(deadline) => within(deadline, receiving).await?.ok(),
            None => receiving.await.ok(),
        }
    }

    async fn go_silent(self, sender: async_sse::Sender) {
        // A silent call does not hold up a stop.
        drop(self);
        fault::wait_silence_limit().await;
        drop(sender);
    }

    async fn send_error(&self, sender: &async_sse::Sender) {
        // The caller may be gone, and nothing follows.
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
        let choice = match self.form {
            AnswerForm::Chat => {
                json!({"index": 0, "delta": {"content": text}, "finish_reason": reason})
            }
            AnswerForm::Completion => json!({"index": 0, "text": text, "finish_reason": reason}),
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
        match (self.form, is_chunk) {
            (AnswerForm::Chat, true) => "chat.completion.chunk",
            (AnswerForm::Chat, false) => "chat.completion",
            (AnswerForm::Completion, _) => "text_completion",
        }
    }
}

async fn within<F: Future>(deadline: Instant, work: F) -> Option<F::Output> {
    let left = time::Millis::from(deadline.saturating_duration_since(Instant::now()));
    future::timeout(left.to_duration(), work).await.ok()
}
