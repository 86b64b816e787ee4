//! Moves the KV cache of one request from a leaving replica to the next one.

use std::net;

use http_types::Method;
use http_types::Request;
use http_types::Response;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_httpio::body;
use samphiremoor_httpio::client;

/// One transfer.
#[derive(Clone, Debug)]
pub struct KvTransfer {
    /// Where the leaving replica serves.
    pub from: net::SocketAddr,
    /// Where the next replica serves.
    pub to: net::SocketAddr,
    /// The request.
    pub request: id::RequestId,
    /// Time limits of each call.
    pub limits: client::CallLimits,
    /// Largest export.
    pub max_bytes: quantity::ByteCount,
}

/// What became of a transfer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TransferVerdict {
    /// The next replica has the cache.
    Moved,
    /// It has not; it computes the prompt and the answer so far again.
    Failed,
}

impl KvTransfer {
    /// Exports from the one replica and imports at the other.
    pub async fn run(self) -> TransferVerdict {
        match self.move_cache().await {
            Some(()) => TransferVerdict::Moved,
            None => TransferVerdict::Failed,
        }
    }

    async fn move_cache(&self) -> Option<()> {
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
