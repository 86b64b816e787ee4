//! One exchange with a replica, over a kept or a fresh connection.

use std::cell;
use std::io;
use std::net::SocketAddr;
use std::rc;
use std::sync;

use async_std::future;
use async_std::io::WriteExt as _;
use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_httpio::connection;
use samphiremoor_httpio::message;

use crate::adapter;
use crate::core;

/// Time to connect to a replica; within a region a handshake takes a few milliseconds.
const CONNECT_TIME: time::Millis = time::Millis::new(400);
/// An idle connection of a replica that does not say how long it keeps it is used for this long.
const IDLE_TIME: time::Millis = time::Millis::new(4_000);
/// A connection is given up this long before its replica closes it.
const IDLE_MARGIN: time::Millis = time::Millis::new(700);
/// Time for a move of memory: some hundred megabytes over a link that other moves share, within the
/// shortest notice of a reclaim.
const MOVE_TIME: time::Millis = time::Millis::new(1_500);
/// Answers of other requests that are passed over on one connection before it is given up.
const FOREIGN_ANSWERS: u32 = 3;

/// A connection in use.
#[derive(Debug)]
pub struct UpstreamConnection {
    /// The connection.
    pub raw: connection::RawConnection,
    /// Whether it carried an exchange before.
    pub is_reused: bool,
    address: SocketAddr,
}

/// Head of a replica's answer.
#[derive(Debug)]
pub struct ReplicaAnswer {
    /// The head.
    pub head: message::ResponseHead,
    /// What it says.
    pub terms: adapter::ResponseMetadata,
    /// How its body is delimited.
    pub framing: message::BodyFraming,
    /// Whether the whole request was written before it came.
    pub is_written: bool,
}

/// Why there is no answer. The replica may have run the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExchangeError {
    /// The connection ended or failed.
    Closed,
    /// The bytes are no answer to the request.
    Garbled,
}

/// An idle connection to a replica, or a fresh one.
///
/// # Errors
///
/// Fails where no connection can be made; no byte of the request was sent.
pub async fn acquire(
    core: &rc::Rc<core::GatewayCore>,
    replica: &id::ReplicaId,
    address: SocketAddr,
    is_repeatable: bool,
) -> io::Result<UpstreamConnection> {
    loop {
        let now = core.now();
        let found = core.state.borrow_mut().idle.take(replica, address, is_repeatable, now);
        let Some(raw) = found else { break };
        if raw.is_quiet().await {
            return Ok(UpstreamConnection { raw, is_reused: true, address });
        }
    }
    let raw = connection::RawConnection::connect(address, CONNECT_TIME).await?;
    Ok(UpstreamConnection { raw, is_reused: false, address })
}

/// Keeps a connection for the next exchange if the answer allows it.
pub fn release(
    core: &core::GatewayCore,
    replica: &id::ReplicaId,
    open: UpstreamConnection,
    answer: &ReplicaAnswer,
) {
    let is_clean = answer.is_written
        && answer.head.is_kept
        && answer.framing != message::BodyFraming::UntilClose
        && open.raw.pending().is_empty();
    let mut state = core.state.borrow_mut();
    let now = core.now();
    let is_open = state.replicas.get(replica).is_some_and(|known| !known.entry.is_draining);
    if !is_clean || !is_open {
        return;
    }
    let keep = keep_time(&answer.head.fields);
    state.idle.put(replica, open.raw, open.address, now, keep);
}

fn keep_time(fields: &message::HeaderFields) -> time::Millis {
    let Some(declared) = fields.text("keep-alive") else { return IDLE_TIME };
    let mut parameters = declared.split(',').map(str::trim);
    let seconds = parameters.find_map(|parameter| parameter.strip_prefix("timeout="));
    let Some(seconds) = seconds.and_then(|text| text.parse::<u64>().ok()) else { return IDLE_TIME };
    time::Millis::new(seconds.saturating_mul(1_000)).saturating_sub(IDLE_MARGIN)
}

/// Sends a request and reads the head of its answer. Answers of other requests are passed over.
///
/// # Errors
///
/// Says why there is no answer; the replica may have run the request.
pub async fn exchange(
    core: &core::GatewayCore,
    open: &mut UpstreamConnection,
    request: &[u8],
    method: &str,
    name: Option<&str>,
) -> Result<ReplicaAnswer, ExchangeError> {
    let is_written = cell::Cell::new(false);
    let mut writer = open.raw.stream();
    let write = async {
        // A replica may answer and close before it read everything: the answer decides.
        if writer.write_all(request).await.is_ok() {
            is_written.set(true);
        }
        std::future::pending().await
    };
    let read = read_answer(core, open, method, name);
    let (head, terms, framing) = futures_lite::future::or(read, write).await?;
    Ok(ReplicaAnswer { head, terms, framing, is_written: is_written.get() })
}

async fn read_answer(
    core: &core::GatewayCore,
    open: &mut UpstreamConnection,
    method: &str,
    name: Option<&str>,
) -> Result<(message::ResponseHead, adapter::ResponseMetadata, message::BodyFraming), ExchangeError>
{
    for _ in 0..FOREIGN_ANSWERS {
        let head = open.raw.response_head().await.map_err(explain)?;
        let terms = core.adapter.codec.decode_response(&head, name);
        let framing =
            message::response_framing(&head, method).map_err(|_| ExchangeError::Garbled)?;
        if terms.is_own {
            return Ok((head, terms, framing));
        }
        if framing == message::BodyFraming::UntilClose || !head.is_kept {
            return Err(ExchangeError::Garbled);
        }
        open.raw.body(framing, connection::ANSWER_BODY).await.map_err(explain)?;
    }
    Err(ExchangeError::Garbled)
}

/// Reads the whole body of an answer.
///
/// # Errors
///
/// Fails where the body is cut short or malformed.
pub async fn whole_body(
    open: &mut UpstreamConnection,
    answer: &ReplicaAnswer,
) -> Result<Vec<u8>, ExchangeError> {
    open.raw.body(answer.framing, connection::ANSWER_BODY).await.map_err(explain)
}

/// Has the replica at `source` stop a run and move its memory to the one at `to`; gives the place of
/// the memory, or nothing where it was not moved.
pub async fn move_memory(
    core: &rc::Rc<core::GatewayCore>,
    replica: &id::ReplicaId,
    source: SocketAddr,
    to: SocketAddr,
    request: &str,
) -> Option<sync::Arc<str>> {
    let moving = async {
        let mut open = acquire(core, replica, source, true).await.ok()?;
        let mut bytes = Vec::new();
        core.adapter.codec.encode_migration(request, source, to, &mut bytes);
        open.raw.write(&bytes).await.ok()?;
        let head = open.raw.response_head().await.ok()?;
        let framing = message::response_framing(&head, "POST").ok()?;
        let body = open.raw.body(framing, connection::ANSWER_BODY).await.ok()?;
        core.adapter.codec.decode_migration(head.status, &body, source)
    };
    future::timeout(MOVE_TIME.to_duration(), moving).await.unwrap_or(None)
}

/// The kind of failure that a read ended with.
pub fn explain(cause: connection::ReadError) -> ExchangeError {
    match cause {
        connection::ReadError::Closed | connection::ReadError::Broken(_) => ExchangeError::Closed,
        connection::ReadError::Message(_) | connection::ReadError::BodyTooLarge => {
            ExchangeError::Garbled
        }
    }
}
