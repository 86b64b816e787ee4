//! Responses as server-sent events.

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
use crate::wire::chunk;
use crate::wire::request;
use crate::wire::response;

/// Options of an event stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventOptions {
    /// API call that the stream responds to.
    pub call: request::ModelCall,
    /// Whether the last chunk includes the token usage.
    pub include_usage: bool,
    /// Index of the first event to send.
    pub first_index: u64,
}

/// Returns the kept request's response as an event stream that starts at `options.first_index`.
///
/// Event ids are the token indexes. The chunk with the finish reason and the end marker use the two
/// ids after the last token's.
pub fn event_response(
    core: &core::EntryCore,
    kept: Arc<kept::KeptRequest>,
    options: EventOptions,
) -> Response {
    let (sender, encoder) = async_sse::encode();
    let frame = kept.frame(options.call);
    let offset = usize::try_from(options.first_index).unwrap_or(usize::MAX);
    let reader = kept::ResponseReader::new(kept.clone(), core.clock, offset);
    let heartbeat_interval = core.settings.callers.heartbeat_ms;
    let writer =
        EventWriter { sender, heartbeat_interval, frame, options, next_id: options.first_index };
    task::spawn(async move {
        // The write fails when the caller disconnects. The request itself continues until it counts
        // as abandoned.
        let _ = writer.run(reader).await;
    });
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(encoder, None));
    response.insert_header("Content-Type", "text/event-stream");
    response.insert_header("Cache-Control", "no-cache");
    response.insert_header(problem::REQUEST_ID_HEADER, kept.info.id.as_str());
    response
}

/// Name of the heartbeat events, which are sent while there are no tokens.
pub const HEARTBEAT_NAME: &str = "heartbeat";

struct EventWriter {
    sender: async_sse::Sender,
    heartbeat_interval: time::Millis,
    frame: response::ResponseFrame,
    options: EventOptions,
    /// Id of the next event.
    next_id: u64,
}

impl EventWriter {
    async fn run(mut self, mut reader: kept::ResponseReader) -> io::Result<()> {
        loop {
            let Some(progress) = self.next_or_timeout(&mut reader).await else {
                // Clients ignore an event without data, but its bytes show that the connection is
                // alive.
                self.sender.send(HEARTBEAT_NAME, "", None).await?;
                continue;
            };
            for text in &progress.tokens {
                let chunk = self.frame.token_chunk(text, self.next_id == 0);
                self.send(&chunk).await?;
            }
            if let Some(end) = progress.end {
                return self.send_end(&end, reader.token_count()).await;
            }
        }
    }

    /// Returns the next progress, or `None` if there is none within the heartbeat interval.
    async fn next_or_timeout(
        &self,
        reader: &mut kept::ResponseReader,
    ) -> Option<kept::ResponseProgress> {
        future::timeout(self.heartbeat_interval.to_duration(), reader.next()).await.ok()
    }

    async fn send_end(&mut self, end: &kept::KeptEnd, token_count: u64) -> io::Result<()> {
        match end {
            kept::KeptEnd::Streamed { finish_reason, usage } => {
                if self.options.first_index <= token_count {
                    let usage = usage.filter(|_| self.options.include_usage);
                    let chunk = self.frame.final_chunk(finish_reason, usage);
                    self.send(&chunk).await?;
                }
                self.send(chunk::DONE_DATA).await
            }
            kept::KeptEnd::Failed(problem) => self.send_error(problem).await,
            kept::KeptEnd::HandedOver(_) => self.send_error(&finish::handed_over_problem()).await,
            kept::KeptEnd::Plain(_) => self.send_error(&finish::rejected_stream_problem()).await,
        }
    }

    async fn send(&mut self, data: &str) -> io::Result<()> {
        let id = self.next_id.to_string();
        self.next_id += 1;
        self.sender.send(None, data, Some(&id)).await
    }

    /// Sends an error event. The event has no id, so that a caller that reattaches resumes after
    /// its last token.
    async fn send_error(&self, problem: &problem::CallProblem) -> io::Result<()> {
        let error = response::StreamError::new(problem, self.frame.id.clone());
        self.sender.send("error", &error.to_data(), None).await
    }
}
