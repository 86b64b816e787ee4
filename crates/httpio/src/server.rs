//! HTTP server: accepts connections within limits and passes requests to a handler.

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

/// Limits and timeouts of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerLimits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Maximum size of a request, with its headers and framing.
    pub max_request: quantity::ByteCount,
    /// Timeout for the header section of a request; a connection may be idle for as long.
    pub head_timeout: time::Millis,
    /// Longest time without a byte of a request body.
    pub read_timeout: time::Millis,
    /// Longest time without the caller receiving a byte of the response.
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

/// Handles requests.
#[async_trait]
pub trait HttpHandler: Send + Sync + 'static {
    /// Returns the response to a request.
    async fn handle(&self, request: Request) -> Response;

    /// Called when the server refuses a request or a connection before it calls [`Self::handle`].
    fn refused(&self, reason: reason::RefusalReason) {
        let _ = reason;
    }
}

/// Response extension that makes the server close the connection instead of sending the response.
#[derive(Clone, Copy, Debug)]
pub struct CloseConnection;

/// Signal that makes servers stop accepting connections.
#[derive(Clone, Debug)]
pub struct StopSignal {
    sender: channel::Sender<()>,
    receiver: channel::Receiver<()>,
}

impl StopSignal {
    /// Creates a signal that is not triggered.
    pub fn new() -> Self {
        let (sender, receiver) = channel::bounded(1);
        StopSignal { sender, receiver }
    }

    /// Triggers the signal; later calls have no effect.
    pub fn trigger(&self) {
        self.sender.close();
    }

    /// Whether the signal was triggered.
    pub fn is_triggered(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the signal is triggered.
    pub async fn triggered(&self) {
        // Nothing is ever sent on the channel: `recv` returns when the channel is closed.
        let _ = self.receiver.recv().await;
    }
}

impl Default for StopSignal {
    fn default() -> Self {
        StopSignal::new()
    }
}

/// Accepts connections until the stop signal is triggered, then returns.
///
/// An open connection finishes its current request and is closed after it.
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
            // Accepting fails when the process is out of file descriptors: waits for some to be closed.
            task::sleep(std::time::Duration::from_millis(20)).await;
            continue;
        };
        let slot = ConnectionSlot::take(&open);
        let stream =
            timeout_stream::TimeoutStream::new(stream, limits.read_timeout, limits.write_timeout);
        if slot.count > limits.max_connections {
            handler.refused(reason::RefusalReason::TooManyConnections);
            log_event!(event::LogEvent::ConnectionRefused, open = slot.count);
            task::spawn(refuse(stream, too_many_connections()));
            continue;
        }
        let handler = handler.clone();
        let stop = stop.clone();
        task::spawn(async move {
            serve_connection(stream, limits, handler, stop).await;
            drop(slot);
        });
    }
}

/// Counts one open connection until it is dropped.
struct ConnectionSlot {
    /// Number of open connections of the server.
    open: sync::Arc<atomic::AtomicUsize>,
    /// Number of open connections when this one was accepted, with this one.
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
    // Nagle's algorithm would delay small writes until earlier ones are acknowledged.
    let _ = stream.inner().set_nodelay(true);
    let mut requests = request_stream::RequestStream::new(stream.clone());
    while !stop.is_triggered() {
        let decoded = match next_request(&mut requests, limits, &stop).await {
            Ok(Some(decoded)) => decoded,
            Ok(None) => return,
            Err(reason) => {
                handler.refused(reason);
                return refuse(stream, head_problem(reason)).await;
            }
        };
        let DecodedRequest { request, body_reader } = decoded;
        requests.start_body(request.len(), limits.read_timeout);
        let closes = request
            .header("connection")
            .is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"));
        let method = request.method();
        let response = handler.handle(request).await;
        if response.ext().get::<CloseConnection>().is_some() {
            return;
        }
        requests.start_response();
        if write_response(stream.clone(), response, method).await.is_err() || closes {
            return;
        }
        // A body that the handler did not read to its end would be parsed as the next request.
        if has_unread_body(body_reader).await {
            return;
        }
    }
}

/// A decoded request, and a reader of its body that outlives the handler.
struct DecodedRequest {
    request: Request,
    body_reader: Box<dyn io::Read + Send + Unpin>,
}

/// Decodes the next request; `None` if the caller closed the connection or the server must close it.
async fn next_request(
    requests: &mut request_stream::RequestStream,
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
            Ok(Some(DecodedRequest { request, body_reader: Box::new(body) }))
        }
        Ok(Ok(None)) => Ok(None),
        Ok(Err(cause)) => match refusal_reason(&cause) {
            reason::RefusalReason::SlowCaller if !requests.has_started() => Ok(None),
            reason => Err(reason),
        },
        Err(_) if requests.has_started() => Err(reason::RefusalReason::SlowCaller),
        Err(_) => Ok(None),
    }
}

/// Drains the part of the body that the handler did not read; true if it was not drained within
/// the size and time limits.
async fn has_unread_body(mut body_reader: impl io::Read + Unpin) -> bool {
    const DRAIN_LIMIT_BYTES: u64 = 64 * 1024;
    let mut limited = io::ReadExt::take(&mut body_reader, DRAIN_LIMIT_BYTES);
    let mut sink = io::sink();
    let drained = io::copy(&mut limited, &mut sink);
    let drain_timeout = std::time::Duration::from_millis(200);
    !matches!(future::timeout(drain_timeout, drained).await, Ok(Ok(count)) if count < DRAIN_LIMIT_BYTES)
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
    // The error is ignored: the caller may have closed the connection, and no request was accepted.
    let _ = write_response(stream, response, http_types::Method::Get).await;
}

fn refusal_reason(cause: &http_types::Error) -> reason::RefusalReason {
    match cause.downcast_ref::<std::io::Error>().map(std::io::Error::kind) {
        Some(std::io::ErrorKind::FileTooLarge) => reason::RefusalReason::TooLarge,
        Some(std::io::ErrorKind::TimedOut) => reason::RefusalReason::SlowCaller,
        // The decoder reports a head over its own size limit only by this message.
        _ if cause.to_string().contains("Head byte length") => reason::RefusalReason::TooLarge,
        _ => reason::RefusalReason::MalformedHttp,
    }
}

fn head_problem(reason: reason::RefusalReason) -> problem::CallProblem {
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
