//! Opens connections to replicas.

use std::io;
use std::net::SocketAddr;

use async_trait::async_trait;
use samphiremoor_base::time;
use samphiremoor_httpio::connection;

/// Opens connections to replicas.
#[async_trait]
pub trait ReplicaDialer: Send + Sync {
    /// Opens a connection to the replica at an address.
    ///
    /// # Errors
    ///
    /// Fails if the connection is refused or not open within `timeout`.
    async fn connect(
        &self,
        address: SocketAddr,
        timeout: time::Millis,
    ) -> io::Result<connection::RawConnection>;
}

/// Opens TCP connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpDialer;

#[async_trait]
impl ReplicaDialer for TcpDialer {
    async fn connect(
        &self,
        address: SocketAddr,
        timeout: time::Millis,
    ) -> io::Result<connection::RawConnection> {
        connection::RawConnection::connect(address, timeout).await
    }
}
