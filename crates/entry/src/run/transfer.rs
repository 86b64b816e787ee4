//! Transfers the KV cache of a request from a leaving replica to the next one.

use std::net;

use http_types::Method;
use http_types::Request;
use http_types::Response;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_httpio::body;
use samphiremoor_httpio::client;

/// Transfer of one request's KV cache.
#[derive(Clone, Debug)]
pub struct KvTransfer {
    /// Address of the leaving replica.
    pub from: net::SocketAddr,
    /// Address of the next replica.
    pub to: net::SocketAddr,
    /// The request.
    pub request: id::RequestId,
    /// Time limits of each HTTP call.
    pub limits: client::CallLimits,
    /// Size limit of the exported cache.
    pub max_bytes: quantity::ByteCount,
}

/// Result of a transfer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TransferOutcome {
    /// The next replica imported the cache.
    Transferred,
    /// The transfer failed, so the next replica recomputes the prompt and the response so far.
    Failed,
}

impl KvTransfer {
    /// Exports the cache from one replica and imports it at the other.
    pub async fn run(self) -> TransferOutcome {
        match self.transfer_cache().await {
            Some(()) => TransferOutcome::Transferred,
            None => TransferOutcome::Failed,
        }
    }

    async fn transfer_cache(&self) -> Option<()> {
        let path = format!("/kv/export?request={}", self.request);
        let url = client::url(self.from, &path).ok()?;
        let mut exported = self.call(self.from, Request::new(Method::Get, url)).await?;
        let bytes = body::read(exported.take_body(), self.max_bytes).await.ok()?;
        let mut import = Request::new(Method::Post, client::url(self.to, "/kv/import").ok()?);
        import.set_body(bytes);
        import.insert_header("Content-Type", "application/json");
        self.call(self.to, import).await?;
        Some(())
    }

    async fn call(&self, address: net::SocketAddr, request: Request) -> Option<Response> {
        let response = client::send(address, request, self.limits).await.ok()?;
        response.status().is_success().then_some(response)
    }
}
