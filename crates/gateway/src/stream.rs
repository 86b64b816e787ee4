//! Forwards the events of a replica's stream to a caller, complete and in order.

use std::cell;
use std::rc;

use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_fleet::replica;
use samphiremoor_fleet::selection;
use samphiremoor_httpio::message;

use crate::attempt;
use crate::context;
use crate::crash;
use crate::crash_probe;
use crate::forward;
use crate::pending;
use crate::response;
use crate::response_end;
use crate::upstream;

/// Time without an event after which a replica's stream counts as silent, and another replica may take
/// over. Callers give up after two seconds or more; engines pause for a few hundred milliseconds at
/// most during prefill.
const SILENCE_TIMEOUT: time::Millis = time::Millis::new(1_500);

/// How a replica's stream ended.
pub(crate) enum StreamEnd {
    /// The whole stream was delivered.
    Complete,
    /// The connection failed, or the bytes are not a valid stream.
    Broken,
    /// The replica was silent, and another one responded meanwhile.
    TakenOver(attempt::StartedResponse),
    /// The replica is leaving; the stream is still in progress there.
    Leaving,
    /// The caller closed the connection.
    CallerGone,
}

/// A stream of one replica.
pub(crate) struct ReplicaStream {
    /// The replica.
    pub(crate) selected: selection::SelectedReplica,
    /// Connection to the replica.
    pub(crate) connection: upstream::UpstreamConnection,
    /// Head of the replica's response.
    pub(crate) response: upstream::ReplicaResponse,
    body: attempt::PartialBody,
    /// Start of the replica that has the request.
    start: crash_probe::ReplicaStart,
    /// Whether the replica was told to stop the stream for its migration.
    pub(crate) is_stopped: rc::Rc<cell::Cell<bool>>,
    /// When the first event arrived.
    first_event_at: Option<time::MonotonicTime>,
    /// Whether the stream has proceeded for a while after its first event, or is complete.
    pub(crate) has_survived: bool,
}

impl ReplicaStream {
    /// Creates the stream of a response whose head was read.
    pub(crate) fn new(
        selected: selection::SelectedReplica,
        connection: upstream::UpstreamConnection,
        response: upstream::ReplicaResponse,
        body: attempt::PartialBody,
        start: crash_probe::ReplicaStart,
    ) -> Self {
        ReplicaStream {
            selected,
            connection,
            response,
            body,
            start,
            is_stopped: rc::Rc::default(),
            first_event_at: None,
            has_survived: false,
        }
    }

    /// Whether the response has neither a length nor chunks, so that it ends with its connection.
    fn is_unframed(&self) -> bool {
        self.response.framing == message::BodyFraming::UntilClose
    }
}

impl forward::RequestForwarder<'_> {
    /// Forwards events until the stream ends, should migrate or was taken over. `on_first_event` is
    /// called at the first event, `should_migrate` after each read from then on.
    pub(crate) async fn forward_events(
        &mut self,
        stream: &mut ReplicaStream,
        sink: &mut response::ResponseSink,
        mut on_first_event: impl FnMut(),
        should_migrate: impl Fn() -> bool,
    ) -> StreamEnd {
        let mut has_first_event = false;
        loop {
            let is_body_end = match self.read_events(stream).await {
                Ok(is_body_end) => is_body_end,
                Err(end) => return end,
            };
            let begins_stream = self.splitter.delivered() == 0;
            let mut events = Vec::new();
            let is_in_order = self.splitter.take_events(&mut events);
            if !events.is_empty() && !has_first_event {
                has_first_event = true;
                if begins_stream && self.required_version == replica::RequiredVersion::Any {
                    let version = stream.selected.version.as_ref();
                    self.required_version = replica::RequiredVersion::like(version);
                }
                on_first_event();
            }
            // Nothing but an event tells a stream that ends with its connection from one that never
            // began.
            let has_no_events = stream.is_unframed()
                && self.splitter.delivered() == 0
                && self.splitter.last_id().is_none();
            let may_be_complete =
                is_body_end && is_in_order && !self.splitter.is_incomplete() && !has_no_events;
            let is_complete = may_be_complete && !stream.is_unframed();
            self.observe_survival(stream, !events.is_empty(), is_complete);
            let head = &stream.response.head;
            if sink.write_events(head, &events, is_complete).await.is_err() {
                return StreamEnd::CallerGone;
            }
            if is_complete {
                return StreamEnd::Complete;
            }
            // The events did not wait until it is known who closed the connection.
            if may_be_complete && Box::pin(self.is_whole(stream)).await {
                return match sink.write_events(head, &[], true).await {
                    Ok(()) => StreamEnd::Complete,
                    Err(_) => StreamEnd::CallerGone,
                };
            }
            if is_body_end || !is_in_order || self.splitter.is_excessive() {
                return StreamEnd::Broken;
            }
            if has_first_event && should_migrate() {
                return StreamEnd::Leaving;
            }
        }
    }

    /// Returns whether a stream that ended with its connection was ended by its replica.
    async fn is_whole(&self, stream: &ReplicaStream) -> bool {
        let core = self.context.core;
        !stream.is_stopped.get()
            && response_end::is_whole(core, &stream.connection, &stream.response, &stream.start)
                .await
    }

    /// Observes that a stream is complete by its chunks or length, or proceeded for a while after its
    /// first event. The end of a connection alone does not tell a complete stream from a crash.
    fn observe_survival(&self, stream: &mut ReplicaStream, has_events: bool, is_complete: bool) {
        let now = self.context.core.now();
        if has_events {
            stream.first_event_at.get_or_insert(now);
        }
        let has_proceeded =
            stream.first_event_at.is_some_and(|at| now.since(at) >= crash::SURVIVAL_TIME);
        if (has_proceeded || is_complete) && !std::mem::replace(&mut stream.has_survived, true) {
            self.context.observe_survival();
        }
    }

    /// Reads more of a stream into the splitter, up to an event, and returns whether the stream has
    /// ended. While the replica sends no event, other replicas may take over; their attempts are
    /// cancelled once it does. Bytes of an event that does not end are no progress.
    async fn read_events(&mut self, stream: &mut ReplicaStream) -> Result<bool, StreamEnd> {
        let context = self.context;
        let replica = &stream.selected.replica;
        let silent_since = context.core.now();
        context.progress.on_data(context::ResponsePhase::Events, silent_since);
        if !stream.body.data.is_empty() {
            self.splitter.buffer().append(&mut stream.body.data);
            return Ok(stream.body.is_read);
        }
        let mut is_silent = false;
        let mut check_at = silent_since + SILENCE_TIMEOUT;
        loop {
            let read = stream.body.reader.read(&mut stream.connection.raw, self.splitter.buffer());
            let timeout = check_at.since(context.core.now());
            match pending::next_event(read, &mut self.pending, timeout).await {
                pending::RequestEvent::Progress(read) => {
                    if stream.connection.is_direct() {
                        let core = context.core;
                        core.state.borrow_mut().paths.on_data(core.now());
                    }
                    // The other attempts go on if the stream is broken.
                    let is_body_end = read.map_err(|_| StreamEnd::Broken)?;
                    let may_go_on = !is_body_end && !self.splitter.is_excessive();
                    if may_go_on && !self.splitter.has_event() {
                        continue;
                    }
                    if is_silent {
                        context.mark_resumed(replica, silent_since);
                        context.progress.replica.replace(Some(replica.clone()));
                        self.cancel_pending();
                    }
                    return Ok(is_body_end);
                }
                pending::RequestEvent::Attempt(other, start) => {
                    if let Some(started) = self.end_attempt(&other, start) {
                        context.progress.on_data(context::ResponsePhase::Events, silent_since);
                        context.log_failed_attempt(
                            replica,
                            reason::RetryReason::ConnectionSilent,
                            self.splitter.delivered(),
                        );
                        return Err(StreamEnd::TakenOver(started));
                    }
                    check_at = context.core.now() + self.silence_interval(SILENCE_TIMEOUT);
                }
                pending::RequestEvent::Silence => {
                    if !is_silent {
                        is_silent = true;
                        context.mark_silent(replica, silent_since);
                    }
                    self.mark_pending_silent();
                    self.take_over(true);
                    check_at = context.core.now() + self.silence_interval(SILENCE_TIMEOUT);
                }
            }
        }
    }
}
