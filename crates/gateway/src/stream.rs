//! Forwards the events of a replica's stream to a caller, complete and in order.

use async_std::future;
use samphiremoor_base::time;
use samphiremoor_httpio::connection;

use crate::events;
use crate::response;
use crate::upstream;

/// Time without data after which a replica's stream counts as silent. Callers give up after two
/// seconds or more; engines pause for a few hundred milliseconds at most during prefill.
const SILENCE_TIMEOUT: time::Millis = time::Millis::new(1_500);

/// How a replica's stream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamEnd {
    /// The whole stream was delivered.
    Complete,
    /// The connection failed, or the bytes are not a valid stream.
    Broken,
    /// The replica sent no data for too long.
    Silent,
    /// The replica is leaving; the stream is still in progress there.
    Leaving,
    /// The caller closed the connection.
    CallerGone,
}

/// A stream of one replica.
pub struct ReplicaStream {
    /// Connection to the replica.
    pub connection: upstream::UpstreamConnection,
    /// Head of the replica's response.
    pub response: upstream::ReplicaResponse,
    reader: connection::BodyReader,
}

impl ReplicaStream {
    /// Creates the stream of a response whose head was read.
    pub fn new(
        connection: upstream::UpstreamConnection,
        response: upstream::ReplicaResponse,
    ) -> Self {
        let reader = connection::BodyReader::new(response.framing);
        ReplicaStream { connection, response, reader }
    }

    /// Forwards events until the stream ends or should migrate. `on_data` is called at each
    /// read, `on_first_event` at the first event, `should_migrate` after each read from then on.
    pub async fn forward_events(
        &mut self,
        splitter: &mut events::EventSplitter,
        sink: &mut response::ResponseSink,
        on_data: impl Fn(),
        mut on_first_event: impl FnMut(),
        should_migrate: impl Fn() -> bool,
    ) -> StreamEnd {
        let mut has_first_event = false;
        loop {
            let read = self.reader.read(&mut self.connection.raw, splitter.buffer());
            let is_body_end = match future::timeout(SILENCE_TIMEOUT.to_duration(), read).await {
                Ok(Ok(is_body_end)) => is_body_end,
                Ok(Err(_)) => return StreamEnd::Broken,
                Err(_) => return StreamEnd::Silent,
            };
            on_data();
            let mut events = Vec::new();
            let is_in_order = splitter.take_events(&mut events);
            if !events.is_empty() && !has_first_event {
                has_first_event = true;
                on_first_event();
            }
            let is_complete = is_body_end && is_in_order && !splitter.is_incomplete();
            let head = &self.response.head;
            if sink.write_events(head, &events, is_complete).await.is_err() {
                return StreamEnd::CallerGone;
            }
            if is_complete {
                return StreamEnd::Complete;
            }
            if is_body_end || !is_in_order {
                return StreamEnd::Broken;
            }
            if has_first_event && should_migrate() {
                return StreamEnd::Leaving;
            }
        }
    }
}
