//! Answers as server-sent events.

use std::io;
use std::sync::Arc;

use async_std::future;
use async_std::task;
use http_types::Body;
use http_types::Response;
use http_types::StatusCode;
use samphiremoor_base::time;
use samphiremoor_httpio::problem;

use crate::core;
use crate::finish;
use crate::kept;
use crate::wire::answer;
use crate::wire::chunk;
use crate::wire::request;

/// How a stream is written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventOptions {
    /// Which call it answers.
    pub call: request::ModelCall,
    /// Whether the last chunk carries the usage.
    pub include_usage: bool,
    /// Index of the first event that is wanted.
    pub from: u64,
}

/// A stream of the kept request's answer, from the event that is wanted on.
///
/// Event ids are the tokens' indexes; the chunk with the finish reason and the end mark have the
/// two ids after the last token's.
pub fn event_reply(
    core: &core::EntryCore,
    kept: Arc<kept::KeptRequest>,
    options: EventOptions,
) -> Response {
    let (sender, encoder) = async_sse::encode();
    let frame = kept.frame(options.call);
    let offset = usize::try_from(options.from).unwrap_or(usize::MAX);
    let reader = kept::AnswerReader::new(kept.clone(), core.clock, offset);
    let heartbeat = core.settings.callers.heartbeat_ms;
    let writer = EventWriter { sender, heartbeat, frame, options, next: options.from };
    task::spawn(async move {
        // A caller that is gone ends the writing; the request goes on for a while.
        let _ = writer.run(reader).await;
    });
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(encoder, None));
    response.insert_header("Content-Type", "text/event-stream");
    response.insert_header("Cache-Control", "no-cache");
    response.insert_header(problem::REQUEST_ID_HEADER, kept.head.id.as_str());
    response
}

/// Name of the events that keep a stream from being silent.
const HEARTBEAT_NAME: &str = "heartbeat";

struct EventWriter {
    sender: async_sse::Sender,
    heartbeat: time::Millis,
    frame: answer::AnswerFrame,
    options: EventOptions,
    /// Id of the next event.
    next: u64,
}

impl EventWriter {
    async fn run(mut self, mut reader: kept::AnswerReader) -> io::Result<()> {
        loop {
            let Some(progress) = self.next_or_pause(&mut reader).await else {
                // An event without data is none to the caller, but its bytes show that we live.
                self.sender.send(HEARTBEAT_NAME, "", None).await?;
                continue;
            };
            for text in &progress.tokens {
                let chunk = self.frame.token_chunk(text, self.next == 0);
                self.send(&chunk).await?;
            }
            if let Some(end) = progress.end {
                return self.end(&end, reader.token_count()).await;
            }
        }
    }

    /// The next tokens; none where none came for the time of a heartbeat.
    async fn next_or_pause(&self, reader: &mut kept::AnswerReader) -> Option<kept::AnswerProgress> {
        future::timeout(self.heartbeat.to_duration(), reader.next()).await.ok()
    }

    async fn end(&mut self, end: &kept::KeptEnd, token_count: u64) -> io::Result<()> {
        match end {
            kept::KeptEnd::Streamed { finish_reason, usage } => {
                if self.options.from <= token_count {
                    let usage = usage.filter(|_| self.options.include_usage);
                    let chunk = self.frame.final_chunk(finish_reason, usage);
                    self.send(&chunk).await?;
                }
                self.send(chunk::DONE_DATA).await
            }
            kept::KeptEnd::Failed(problem) => self.fail(problem).await,
            kept::KeptEnd::HandedOver(_) => self.fail(&finish::handed_over()).await,
            kept::KeptEnd::Plain(_) => self.fail(&finish::rejected_stream()).await,
        }
    }

    async fn send(&mut self, data: &str) -> io::Result<()> {
        let id = self.next.to_string();
        self.next += 1;
        self.sender.send(None, data, Some(&id)).await
    }

    /// The event has no id, so that a caller that attaches again starts after its last token.
    async fn fail(&self, problem: &problem::CallProblem) -> io::Result<()> {
        let error = answer::StreamError::new(problem, self.frame.id.clone());
        self.sender.send("error", &error.to_data(), None).await
    }
}
