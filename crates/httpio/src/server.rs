//! The server side: accepts connections within limits and hands requests to a handler.

use std::sync;
use std::sync::atomic;

use async_std::channel;
use async_std::future;
use async_std::io;
use async_std::net;
use async_std::task;
use async_trait::async_trait;
use futures_lite::FutureExt as _;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use samphiremoor_base::event;
use samphiremoor_base::log_event;
use samphiremoor_base::quantity;
use samphiremoor_base::reason;
use samphiremoor_base::time;

use crate::problem;
use crate::request_stream;
use crate::timeout_stream;

/// Limits of one server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerLimits {
    /// Connections open at the same time.
    pub max_connections: usize,
    /// Bytes of one request, headers and framing included.
    pub max_request: quantity::ByteCount,
    /// Time for the header section of a request, and for the pause between two requests.
    pub head_timeout: time::Millis,
    /// Time without a byte of a request's body.
    pub read_timeout: time::Millis,
    /// Time in which the caller must take some of the answer.
    pub write_timeout: time::Millis,
}

impl Default for ServerLimits {
    fn default() -> Self {
        ServerLimits {
            max_connections: 4_096,
            max_request: quantity::ByteCount::new(8 * 1024 * 1024),
            head_timeout: time::Millis::new(30_000),
            read_timeout: time::Millis::new(10_000),
            write_timeout: time::Millis::new(30_000),
        }
    }
}

/// Answers requests.
#[async_trait]
pub trait HttpHandler: Send + Sync + 'static {
    /// Makes the answer to one request.
    async fn handle(&self, request: Request) -> Response;

    /// Called for each refusal that the server makes before the handler sees a request.
    fn refused(&self, reason: reason::RefusalReason) {
        let _ = reason;
    }
}

/// Extension of an answer that is not sent: the connection is closed in its place.
#[derive(Clone, Copy, Debug)]
pub struct CloseConnection;

/// Tells servers to take no new connections.
#[derive(Clone, Debug)]
pub struct StopSignal {
    sender: channel::Sender<()>,
    receiver: channel::Receiver<()>,
}

impl StopSignal {
    /// A signal that has not been given.
    pub fn new() -> Self {
        let (sender, receiver) = channel::bounded(1);
        StopSignal { sender, receiver }
    }

    /// Gives the signal; later calls have no effect.
    pub fn trigger(&self) {
        self.sender.close();
    }

    /// Whether the signal was given.
    pub fn is_triggered(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns once the signal was given.
    pub async fn triggered(&self) {
        // Nothing is ever sent: the channel yields only when it is closed.
        let _ = self.receiver.recv().await;
    }
}

impl Default for StopSignal {
    fn default() -> Self {
        StopSignal::new()
    }
}

/// Serves connections until the stop signal is given, then returns; open connections go on.
pub async fn serve<H: HttpHandler + ?Sized>(
    listener: net::TcpListener,
    limits: ServerLimits,
    handler: sync::Arc<H>,
    stop: StopSignal,
) {
    let open = sync::Arc::new(atomic::AtomicUsize::new(0));
    loop {
        let accepting = async { Some(listener.accept().await) };
        let stopping = async {
            stop.triggered().await;
            None
        };
        let Some(accepted) = accepting.or(stopping).await else { return };
        let Ok((stream, _)) = accepted else {
            // Out of descriptors: wait for some to be freed.
            task::sleep(std::time::Duration::from_millis(20)).await;
            continue;
        };
        let slot = ConnectionSlot::take(&open);
        let guarded =
            timeout_stream::TimeoutStream::new(stream, limits.read_timeout, limits.write_timeout);
        if slot.count > limits.max_connections {
            handler.refused(reason::RefusalReason::TooManyConnections);
            log_event!(event::LogEvent::ConnectionRefused, open = slot.count);
            task::spawn(refuse(guarded, too_many_connections()));
            continue;
        }
        let handler = handler.clone();
        let stop = stop.clone();
        task::spawn(async move {
            serve_connection(guarded, limits, handler, stop).await;
            drop(slot);
        });
    }
}

/// One open connection, counted while it lives.
struct ConnectionSlot {
    open: sync::Arc<atomic::AtomicUsize>,
    count: usize,
}

impl ConnectionSlot {
    fn take(open: &sync::Arc<atomic::AtomicUsize>) -> Self {
        let count = open.fetch_add(1, atomic::Ordering::Relaxed) + 1;
        ConnectionSlot { open: open.clone(), count }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.open.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

async fn serve_connection<H: HttpHandler + ?Sized>(
    stream: timeout_stream::TimeoutStream,
    limits: ServerLimits,
    handler: sync::Arc<H>,
    stop: StopSignal,
) {
    // Without this small writes wait for the acknowledgement of the one before.
    let _ = stream.inner().set_nodelay(true);
    let requests = request_stream::RequestStream::new(stream.clone());
    while !stop.is_triggered() {
        let decoded = match next_request(&requests, limits, &stop).await {
            Ok(Some(decoded)) => decoded,
            Ok(None) => return,
            Err(reason) => {
                handler.refused(reason);
                return refuse(stream, unreadable(reason)).await;
            }
        };
        let DecodedRequest { request, body_rest } = decoded;
        requests.start_body(request.len(), limits.read_timeout);
        let closes = request
            .header("connection")
            .is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"));
        let method = request.method();
        let response = handler.handle(request).await;
        if response.ext().get::<CloseConnection>().is_some() {
            return;
        }
        if write_response(stream.clone(), response, method).await.is_err() || closes {
            return;
        }
        // What the handler left of the body would be read as the next request.
        if has_unread_body(body_rest).await {
            return;
        }
    }
}

/// A decoded request and its body's reader, which outlives the handler.
struct DecodedRequest {
    request: Request,
    body_rest: Box<dyn io::Read + Send + Unpin>,
}

/// Decodes the next request; `None` where the caller or the server ends the connection.
async fn next_request(
    requests: &request_stream::RequestStream,
    limits: ServerLimits,
    stop: &StopSignal,
) -> Result<Option<DecodedRequest>, reason::RefusalReason> {
    requests.start_request(limits.max_request, limits.head_timeout);
    let decoding = async_h1::server::decode(requests.clone());
    let decoded = future::timeout(limits.head_timeout.to_duration(), decoding);
    let stopping = async {
        stop.triggered().await;
        Ok(Ok(None))
    };
    match decoded.or(stopping).await {
        Ok(Ok(Some((request, body)))) => {
            Ok(Some(DecodedRequest { request, body_rest: Box::new(body) }))
        }
        Ok(Ok(None)) => Ok(None),
        Ok(Err(cause)) => match refusal_of(&cause) {
            reason::RefusalReason::SlowCaller if !requests.has_started() => Ok(None),
            reason => Err(reason),
        },
        Err(_) if requests.has_started() => Err(reason::RefusalReason::SlowCaller),
        Err(_) => Ok(None),
    }
}

/// Reads at most a little of what the handler left of the body; true where more remains.
async fn has_unread_body(mut rest: impl io::Read + Unpin) -> bool {
    const DRAIN_LIMIT_BYTES: u64 = 64 * 1024;
    let mut limited = io::ReadExt::take(&mut rest, DRAIN_LIMIT_BYTES);
    let mut sink = io::sink();
    let drained = io::copy(&mut limited, &mut sink);
    let deadline = std::time::Duration::from_millis(200);
    !matches!(future::timeout(deadline, drained).await, Ok(Ok(count)) if count < DRAIN_LIMIT_BYTES)
}

async fn write_response(
    mut stream: timeout_stream::TimeoutStream,
    response: Response,
    method: http_types::Method,
) -> io::Result<()> {
    let mut encoder = async_h1::server::Encoder::new(response, method);
    io::copy(&mut encoder, &mut stream).await.map(|_| ())
}

async fn refuse(stream: timeout_stream::TimeoutStream, problem: problem::CallProblem) {
    let mut response = problem.to_response();
    response.insert_header("Connection", "close");
    // The caller may be gone already, and nothing was promised to it.
    let _ = write_response(stream, response, http_types::Method::Get).await;
}

fn refusal_of(cause: &http_types::Error) -> reason::RefusalReason {
    match cause.downcast_ref::<std::io::Error>().map(std::io::Error::kind) {
        Some(std::io::ErrorKind::FileTooLarge) => reason::RefusalReason::TooLarge,
        Some(std::io::ErrorKind::TimedOut) => reason::RefusalReason::SlowCaller,
        // The decoder reports a head over its own limit only through this text.
        _ if cause.to_string().contains("Head byte length") => reason::RefusalReason::TooLarge,
        _ => reason::RefusalReason::MalformedHttp,
    }
}

fn unreadable(reason: reason::RefusalReason) -> problem::CallProblem {
    let (status, detail) = match reason {
        reason::RefusalReason::TooLarge => (
            StatusCode::RequestHeaderFieldsTooLarge,
            "the header section exceeds 8 KiB; send shorter headers",
        ),
        reason::RefusalReason::SlowCaller => (
            StatusCode::RequestTimeout,
            "the header section came too slowly; send it without pauses",
        ),
        _ => (
            StatusCode::BadRequest,
            "the message is not HTTP/1.1; check the request line and the headers",
        ),
    };
    problem::CallProblem::not_run(status, reason, detail)
}

fn too_many_connections() -> problem::CallProblem {
    problem::CallProblem::not_run(
        StatusCode::ServiceUnavailable,
        reason::RefusalReason::TooManyConnections,
        "the daemon has too many connections; reuse connections or try another daemon",
    )
    .retry_after(time::Millis::new(1_000))
}
