//! Decides whether the end of a connection is the end of a response with neither a length nor chunks.
//!
//! The close alone doesn't tell: the system closes the connections of a process that dies in the same way.

use std::rc;

use crate::core;
use crate::crash_probe;
use crate::upstream;

/// Returns whether a response whose connection has ended is whole: its replica closed the connection and
/// lives on. `response` must have neither a length nor chunks, and have come by `connection`.
pub(crate) async fn is_whole(
    core: &rc::Rc<core::GatewayCore>,
    connection: &upstream::UpstreamConnection,
    response: &upstream::ReplicaResponse,
    start: &crash_probe::ReplicaStart,
) -> bool {
    // The failed write has taken the error by which a read would have told a reset from an end.
    if response.has_failed_write {
        return false;
    }
    let has_paused = core.state.borrow().pauses.has_just_paused(core.now());
    if has_paused || connection.raw.has_just_paused() {
        // Another process may listen there since.
        return Box::pin(upstream::confirms_identity(core, start)).await;
    }
    !Box::pin(upstream::refuses_connections(core, &start.replica, start.address)).await
}
