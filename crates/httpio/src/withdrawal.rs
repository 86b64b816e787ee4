//! Calls that are given up are withdrawn, wherever their bytes wait.
//!
//! After an ordinary close the system goes on sending what the other end has not acknowledged, for
//! minutes if the link is cut, and also when the process has ended. What then arrives is a call that
//! nobody stands for any more.

use std::time;

use async_std::net;
use samphiremoor_base::time::Millis;

/// Makes the system drop the bytes of a call with its connection, and reset the connection if they are not
/// acknowledged within `limit`, also while the process does not run.
pub(crate) fn arm(stream: &net::TcpStream, limit: Millis) {
    let millis = u32::try_from(limit.get()).unwrap_or(u32::MAX);
    let armed = rustix::net::sockopt::set_socket_linger(stream, Some(time::Duration::ZERO))
        .and_then(|()| rustix::net::sockopt::set_tcp_user_timeout(stream, millis));
    if let Err(cause) = armed {
        log::debug!("a call may arrive after it was given up ({cause})");
    }
}

/// Lets the connection of a call that was answered close without a reset.
pub(crate) fn disarm(stream: &net::TcpStream) {
    if let Err(cause) = rustix::net::sockopt::set_socket_linger(stream, None) {
        log::debug!("an answered connection will be reset when it closes ({cause})");
    }
}
