//! One HTTP exchange with a replica, over a pooled or a new connection.

use std::cell;
use std::io;
use std::net::SocketAddr;
use std::pin;
use std::rc;
use std::sync;

use async_std::future;
use async_std::io::WriteExt as _;
use async_std::task;
use samphiremoor_base::event;
use samphiremoor_base::id;
use samphiremoor_base::log_event;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_fleet::attempt_record;
use samphiremoor_fleet::dispatch;
use samphiremoor_fleet::reachability;
use samphiremoor_httpio::connection;
use samphiremoor_httpio::message;

use crate::adapter;
use crate::core;
use crate::crash_probe;
use crate::idle;
use crate::relay_directory;
use crate::response_memory;
use crate::tunnel;

/// Timeout for connecting to a replica. Within a region a handshake takes a few milliseconds.
const CONNECT_TIMEOUT: time::Millis = time::Millis::new(400);
/// Timeout for a connection that shows whether this daemon reaches other replicas.
const PATH_TIMEOUT: time::Millis = time::Millis::new(150);
/// Time without an answer after which a tunnel is tried beside a direct connection. Within a region that
/// opens in a few milliseconds.
const HEDGE_TIME: time::Millis = time::Millis::new(60);
/// Number of connections by which a replica is probed.
const PROBE_CONNECTIONS: u32 = 2;
/// Time for which a connection to a replica that lives stays open.
const PROBE_TIME: time::Millis = time::Millis::new(30);
/// Timeout for the answer to a status check, which waits for a slot as requests do.
const STATUS_TIMEOUT: time::Millis = time::Millis::new(600);
/// Idle time after which a connection is not reused if its replica declares no keep-alive timeout.
const DEFAULT_MAX_IDLE: time::Millis = time::Millis::new(4_000);
/// Margin before a replica's keep-alive timeout at which a connection is not reused.
const IDLE_MARGIN: time::Millis = time::Millis::new(700);
/// Time after the end of a stream at its source after which a stream that can resume without the KV
/// cache may be taken over by another replica.
pub(crate) const MIGRATION_TIMEOUT: time::Millis = time::Millis::new(1_500);
/// Largest body of a refusal.
const MAX_REFUSAL_BODY: quantity::ByteCount = quantity::ByteCount::new(64 * 1024);
/// Number of responses to other requests that are skipped on one connection before it is closed.
const MAX_SKIPPED_RESPONSES: u32 = 3;
/// Number of refusals that are remembered on one connection before it is closed.
const MAX_REFUSALS: usize = 4;

/// A connection to a replica that is in use.
#[derive(Debug)]
pub struct UpstreamConnection {
    /// The raw connection.
    pub raw: connection::RawConnection,
    /// Whether the connection carried an exchange before.
    pub is_reused: bool,
    address: SocketAddr,
    /// Daemon that relays the connection; `None` if it is direct.
    relay: Option<SocketAddr>,
    /// Requests that the replica refused on the connection.
    refused: idle::RefusedAttempts,
}

impl UpstreamConnection {
    /// Whether the connection goes to the replica directly.
    pub fn is_direct(&self) -> bool {
        self.relay.is_none()
    }

    /// Records that the replica refused an attempt on the connection.
    pub fn record_refusal(&mut self, attempt: Option<attempt_record::AttemptHash>) {
        self.refused.extend(attempt);
    }
}

/// Head of a replica's response.
#[derive(Debug)]
pub struct ReplicaResponse {
    /// Status and headers.
    pub head: message::ResponseHead,
    /// Values decoded from the headers.
    pub metadata: adapter::ResponseMetadata,
    /// Framing of the body.
    pub framing: message::BodyFraming,
    /// Whether the whole request was written before the response arrived.
    pub is_written: bool,
    /// Whether the write of the request failed before the response arrived.
    pub has_failed_write: bool,
}

/// Why there is no response. The replica may have run the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExchangeError {
    /// The connection closed or failed.
    Closed,
    /// The received bytes are not a response to the request, or not for certain.
    Malformed,
}

/// Takes an idle connection to a replica, or opens a new one. A request without an ID, whose `attempt` is
/// `None`, gets a new one, as nothing tells its response from those to earlier requests.
/// `is_repeatable` says whether the request may be sent once more if it is lost.
///
/// # Errors
///
/// Fails if no connection can be opened; no byte of the request was sent.
pub async fn acquire(
    core: &rc::Rc<core::GatewayCore>,
    replica: &id::ReplicaId,
    address: SocketAddr,
    attempt: Option<attempt_record::AttemptHash>,
    is_repeatable: bool,
) -> io::Result<UpstreamConnection> {
    while let Some(attempt) = attempt {
        let now = core.now();
        let idle_connection = {
            let state = &mut *core.state.borrow_mut();
            let entry = state.replicas.get(replica).map(|known_replica| &known_replica.entry);
            let group = entry.map(reachability::PathGroup::of);
            let suspected_since =
                group.and_then(|group| state.paths.suspected_since(&group, replica));
            state.idle_pool.take(replica, address, attempt, is_repeatable, suspected_since, now)
        };
        let Some(idle::ReusableConnection { raw, relay, refused }) = idle_connection else { break };
        if raw.is_idle().await {
            return Ok(UpstreamConnection { raw, is_reused: true, address, relay, refused });
        }
    }
    let (raw, relay) = Box::pin(dial(core, replica, address)).await?;
    let refused = idle::RefusedAttempts::new();
    Ok(UpstreamConnection { raw, is_reused: false, address, relay, refused })
}

/// What ended first.
enum DialEnd {
    Direct(io::Result<connection::RawConnection>),
    Tunnel(Result<(connection::RawConnection, SocketAddr), tunnel::TunnelError>),
}

/// Opens a connection to a replica: a direct one, or a tunnel if that hangs or the path is suspected.
/// Returns it with the relay, if any.
async fn dial(
    core: &rc::Rc<core::GatewayCore>,
    replica: &id::ReplicaId,
    address: SocketAddr,
) -> io::Result<(connection::RawConnection, Option<SocketAddr>)> {
    let mut direct = core.dialer.connect(address, CONNECT_TIMEOUT);
    let Some(target) = core.tunnel_target(replica, address) else {
        return direct.await.map(|raw| (raw, None));
    };
    let is_suspected = core.is_path_suspected(&target);
    if !is_suspected
        && let Ok(opened) = future::timeout(HEDGE_TIME.to_duration(), direct.as_mut()).await
    {
        return finish_direct(core, &target, opened).map(|raw| (raw, None));
    }
    let mut tunnel = pin::pin!(tunnel::open(core, &target));
    let first = futures_lite::future::or(async { DialEnd::Direct(direct.as_mut().await) }, async {
        DialEnd::Tunnel(tunnel.as_mut().await)
    });
    let tunneled = match first.await {
        DialEnd::Direct(opened) => match finish_direct(core, &target, opened) {
            Ok(raw) => return Ok((raw, None)),
            Err(cause) => tunnel.await.map_err(|refusal| (refusal, cause)),
        },
        DialEnd::Tunnel(Err(tunnel::TunnelError::Unreachable)) => {
            match finish_direct(core, &target, direct.await) {
                Ok(raw) => return Ok((raw, None)),
                Err(cause) => Err((tunnel::TunnelError::Unreachable, cause)),
            }
        }
        DialEnd::Tunnel(tunneled) => {
            record_failure(core, &target);
            tunneled.map_err(|refusal| (refusal, io::ErrorKind::TimedOut.into()))
        }
    };
    match tunneled {
        Ok((raw, relay)) => {
            core.state.borrow_mut().paths.on_relayed(&target.replica, core.now());
            Ok((raw, Some(relay)))
        }
        Err((tunnel::TunnelError::ReplicaRefused, _)) => {
            let changes =
                core.state.borrow_mut().paths.on_replica_down(&target.group, &target.replica);
            core.log_path_changes(&changes);
            Err(io::ErrorKind::ConnectionRefused.into())
        }
        // The path is at fault, not the replica.
        Err((tunnel::TunnelError::Unreachable, _)) if is_suspected => {
            Err(io::ErrorKind::NetworkUnreachable.into())
        }
        Err((tunnel::TunnelError::Unreachable, cause)) => Err(cause),
    }
}

/// Records what a direct connection says of the path.
fn finish_direct(
    core: &core::GatewayCore,
    target: &relay_directory::TunnelTarget,
    opened: io::Result<connection::RawConnection>,
) -> io::Result<connection::RawConnection> {
    match opened {
        Ok(raw) => {
            let changes = core.state.borrow_mut().paths.on_opened(&target.group, &target.replica);
            core.log_path_changes(&changes);
            Ok(raw)
        }
        Err(cause) => {
            record_failure(core, target);
            Err(cause)
        }
    }
}

/// Records that a direct connection was refused or does not open.
fn record_failure(core: &core::GatewayCore, target: &relay_directory::TunnelTarget) {
    let relay_directory::TunnelTarget { replica, group, group_size, .. } = target;
    let now = core.now();
    let changes = core.state.borrow_mut().paths.on_failure(group, replica, *group_size, now);
    core.log_path_changes(&changes);
}

/// Returns whether a replica accepts a direct connection, which is kept for a later request, and records
/// what that says of the path.
pub async fn probe_path(core: &rc::Rc<core::GatewayCore>, replica: &id::ReplicaId) -> bool {
    let address = core.state.borrow().replicas.get(replica).map(|replica| replica.entry.address);
    let Some(address) = address else { return false };
    let Some(target) = core.tunnel_target(replica, address) else { return false };
    let opened = core.dialer.connect(address, PATH_TIMEOUT).await;
    let Ok(raw) = finish_direct(core, &target, opened) else { return false };
    let mut state = core.state.borrow_mut();
    let unused = idle::ReusableConnection::new(raw, None);
    state.idle_pool.put(replica, unused, address, core.now(), DEFAULT_MAX_IDLE);
    true
}

/// Returns whether a replica refuses connections, as no process listens at its address. A connection
/// that opens and stays open is kept for a later request.
pub async fn refuses_connections(
    core: &rc::Rc<core::GatewayCore>,
    replica: &id::ReplicaId,
    address: SocketAddr,
) -> bool {
    for _ in 0..PROBE_CONNECTIONS {
        match dial(core, replica, address).await {
            Ok((raw, relay)) => {
                // A process that ends closes its sockets one after the other, and may have accepted
                // the connection before it closed that one, too.
                task::sleep(PROBE_TIME.to_duration()).await;
                if raw.is_idle().await {
                    let (mut state, now) = (core.state.borrow_mut(), core.now());
                    let unused = idle::ReusableConnection::new(raw, relay);
                    state.idle_pool.put(replica, unused, address, now, DEFAULT_MAX_IDLE);
                    return false;
                }
            }
            Err(cause) => {
                return matches!(
                    cause.kind(),
                    io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset
                );
            }
        }
    }
    false
}

/// Returns whether the replica that had a start answers a status check there in time.
pub(crate) async fn confirms_identity(
    core: &rc::Rc<core::GatewayCore>,
    start: &crash_probe::ReplicaStart,
) -> bool {
    let path = {
        let state = core.state.borrow();
        let known_replica = state.replicas.get(&start.replica);
        let service = known_replica.map(|known_replica| &known_replica.entry.service);
        let rule = service.zip(state.policy.as_ref());
        let rule = rule.and_then(|(service, policy)| policy.services.get(service));
        rule.and_then(|rule| rule.status_path.clone())
    };
    let codec = &core.adapter.codec;
    let ask = async {
        let path = path?;
        let (mut raw, _) = dial(core, &start.replica, start.address).await.ok()?;
        let mut request = Vec::new();
        codec.encode_status_check(&path, &start.replica, start.address, &mut request);
        raw.write(&request).await.ok()?;
        raw.response_head().await.ok()
    };
    let head = future::timeout(STATUS_TIMEOUT.to_duration(), Box::pin(ask)).await.ok().flatten();
    let is_confirmed =
        head.as_ref().is_some_and(|head| codec.confirms_identity(head, &start.replica));
    log_event!(
        event::LogEvent::UpstreamIdentified,
        replica = start.replica,
        address = start.address,
        status = head.map_or(0, |head| head.status),
        is_confirmed = is_confirmed,
    );
    is_confirmed
}

/// Connects to a replica by way of another daemon, to find out whether the replica or this daemon's path
/// refuses connections. A tunnel that opens is kept for a later request.
///
/// # Errors
///
/// Fails if the replica refuses the relay, or no relay reaches it.
pub async fn probe_tunnel(
    core: &rc::Rc<core::GatewayCore>,
    target: &relay_directory::TunnelTarget,
    address: SocketAddr,
) -> Result<(), tunnel::TunnelError> {
    let (raw, relay) = tunnel::open(core, target).await?;
    let (mut state, now) = (core.state.borrow_mut(), core.now());
    state.paths.on_relayed(&target.replica, now);
    let unused = idle::ReusableConnection::new(raw, Some(relay));
    state.idle_pool.put(&target.replica, unused, address, now, DEFAULT_MAX_IDLE);
    Ok(())
}

/// Returns whether a replica accepts a connection, which is kept for a later request.
pub async fn accepts_connections(
    core: &rc::Rc<core::GatewayCore>,
    replica: &id::ReplicaId,
    address: SocketAddr,
) -> bool {
    let Ok(raw) = core.dialer.connect(address, PATH_TIMEOUT).await else { return false };
    let mut state = core.state.borrow_mut();
    let unused = idle::ReusableConnection::new(raw, None);
    state.idle_pool.put(replica, unused, address, core.now(), DEFAULT_MAX_IDLE);
    true
}

/// Returns a connection to the pool if the response allows its reuse.
pub fn release(
    core: &core::GatewayCore,
    replica: &id::ReplicaId,
    connection: UpstreamConnection,
    response: &ReplicaResponse,
) {
    let is_clean = response.is_written
        && response.head.is_keep_alive
        && response.framing != message::BodyFraming::UntilClose
        && connection.raw.buffered().is_empty()
        && connection.refused.len() <= MAX_REFUSALS;
    let mut state = core.state.borrow_mut();
    let now = core.now();
    let is_accepting =
        state.replicas.get(replica).is_some_and(|known_replica| !known_replica.is_leaving());
    if !is_clean || !is_accepting {
        return;
    }
    let max_idle = max_idle(&response.head.fields);
    let UpstreamConnection { raw, address, relay, refused, .. } = connection;
    // A relay that stops waits for the tunnels that it relays.
    if relay.is_some_and(|relay| !core.relays.is_live(relay)) {
        return;
    }
    let reusable = idle::ReusableConnection { raw, relay, refused };
    state.idle_pool.put(replica, reusable, address, now, max_idle);
}

fn max_idle(fields: &message::HeaderFields) -> time::Millis {
    let Some(declared) = fields.text("keep-alive") else { return DEFAULT_MAX_IDLE };
    let mut parameters = declared.split(',').map(str::trim);
    let seconds = parameters.find_map(|parameter| parameter.strip_prefix("timeout="));
    let Some(seconds) = seconds.and_then(|text| text.parse::<u64>().ok()) else {
        return DEFAULT_MAX_IDLE;
    };
    time::Millis::new(seconds.saturating_mul(1_000)).saturating_sub(IDLE_MARGIN)
}

/// Sends a request and reads the head of its response. Responses to other requests are skipped.
///
/// # Errors
///
/// Fails if there is no response; the replica may have run the request.
pub async fn exchange(
    core: &core::GatewayCore,
    connection: &mut UpstreamConnection,
    start: &crash_probe::ReplicaStart,
    request: &[u8],
    method: &str,
    request_id: Option<&str>,
) -> Result<ReplicaResponse, ExchangeError> {
    let is_written = cell::Cell::new(None);
    let mut writer = connection.raw.stream();
    let write = async {
        // A replica may respond and close before it has read the whole request. The response then
        // decides, so a failed write is not an error.
        is_written.set(Some(writer.write_all(request).await.is_ok()));
        std::future::pending().await
    };
    let read = read_response(core, connection, start, method, request_id);
    let (head, metadata, framing) = futures_lite::future::or(read, write).await?;
    let has_failed_write = is_written.get() == Some(false);
    let is_written = is_written.get() == Some(true);
    Ok(ReplicaResponse { head, metadata, framing, is_written, has_failed_write })
}

async fn read_response(
    core: &core::GatewayCore,
    connection: &mut UpstreamConnection,
    start: &crash_probe::ReplicaStart,
    method: &str,
    request_id: Option<&str>,
) -> Result<(message::ResponseHead, adapter::ResponseMetadata, message::BodyFraming), ExchangeError>
{
    let mut is_first = !connection.is_reused;
    for _ in 0..MAX_SKIPPED_RESPONSES {
        let head = connection.raw.response_head().await.map_err(exchange_error)?;
        let metadata = core.adapter.codec.decode_response(&head, request_id);
        let framing =
            message::response_framing(&head, method).map_err(|_| ExchangeError::Malformed)?;
        match metadata.origin.disposition(is_first) {
            dispatch::ResponseDisposition::Accept => return Ok((head, metadata, framing)),
            dispatch::ResponseDisposition::Skip => is_first = false,
            dispatch::ResponseDisposition::Abandon => {
                // Whichever request it refuses, it is this replica that says it.
                core.observe_announcements(start, &metadata);
                return Err(ExchangeError::Malformed);
            }
        }
        if framing == message::BodyFraming::UntilClose || !head.is_keep_alive {
            return Err(ExchangeError::Malformed);
        }
        connection
            .raw
            .body(framing, connection::MAX_RESPONSE_BODY)
            .await
            .map_err(exchange_error)?;
    }
    Err(ExchangeError::Malformed)
}

/// Reads the whole body of a response.
///
/// # Errors
///
/// Fails if the body is truncated, malformed or too large, by itself or beside those of other requests.
pub async fn read_body(
    core: &rc::Rc<core::GatewayCore>,
    connection: &mut UpstreamConnection,
    response: &ReplicaResponse,
) -> Result<response_memory::WholeBody, ExchangeError> {
    let mut reader = connection::BodyReader::new(response.framing);
    let mut memory = response_memory::ResponseMemory::new(core);
    let mut bytes = Vec::new();
    loop {
        let read = reader.read(&mut connection.raw, &mut bytes).await;
        let is_done = read.map_err(exchange_error)?;
        if !memory.grow_to(bytes.len()) {
            return Err(ExchangeError::Malformed);
        }
        if is_done {
            return Ok(response_memory::WholeBody::new(bytes, memory));
        }
    }
}

/// Reads the body of a refusal, which is short.
///
/// # Errors
///
/// Fails if the body is long, truncated or malformed.
pub async fn read_refusal(
    connection: &mut UpstreamConnection,
    response: &ReplicaResponse,
) -> Result<Vec<u8>, ExchangeError> {
    connection.raw.body(response.framing, MAX_REFUSAL_BODY).await.map_err(exchange_error)
}

/// Orders one step of the migration of a stream's KV cache from the first to the second address.
/// Returns the location of the KV cache, or `None` if it was not copied.
pub async fn migrate_kv_cache(
    core: &rc::Rc<core::GatewayCore>,
    replica: &id::ReplicaId,
    (source, target): (SocketAddr, SocketAddr),
    request_id: &str,
    step: adapter::MigrationStep,
) -> Option<sync::Arc<str>> {
    let mut bytes = Vec::new();
    core.adapter.codec.encode_migration(request_id, source, target, step, &mut bytes);
    let (status, body) = order(core, replica, source, "POST", &bytes).await?;
    core.adapter.codec.decode_migration(status, &body, source)
}

/// Frees a copy of a KV cache at both ends of its migration.
pub async fn release_kv_cache(
    core: &rc::Rc<core::GatewayCore>,
    replica: &id::ReplicaId,
    source: SocketAddr,
    location: &str,
) {
    let mut bytes = Vec::new();
    core.adapter.codec.encode_release(location, source, &mut bytes);
    order(core, replica, source, "DELETE", &bytes).await;
}

/// Sends a request about a KV cache and returns the status and the body of the response.
async fn order(
    core: &rc::Rc<core::GatewayCore>,
    replica: &id::ReplicaId,
    address: SocketAddr,
    method: &str,
    request: &[u8],
) -> Option<(u16, Vec<u8>)> {
    let mut connection = acquire(core, replica, address, None, true).await.ok()?;
    if core.is_paused(replica) {
        return None;
    }
    core.record_send(replica);
    connection.raw.write(request).await.ok()?;
    let head = connection.raw.response_head().await.ok()?;
    let framing = message::response_framing(&head, method).ok()?;
    let body = connection.raw.body(framing, connection::MAX_RESPONSE_BODY).await.ok()?;
    Some((head.status, body))
}

/// Converts the error of a failed read.
pub fn exchange_error(cause: connection::ReadError) -> ExchangeError {
    match cause {
        connection::ReadError::Closed | connection::ReadError::Broken(_) => ExchangeError::Closed,
        connection::ReadError::Message(_) | connection::ReadError::BodyTooLarge => {
            ExchangeError::Malformed
        }
    }
}
