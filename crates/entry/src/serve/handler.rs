//! Finds the call that a request names.

use std::sync::Arc;

use async_trait::async_trait;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use samphiremoor_base::id;
use samphiremoor_base::reason;
use samphiremoor_control::sink;
use samphiremoor_httpio::server;
use samphiremoor_shards::service as shard_service;

use crate::core;
use crate::peer;
use crate::serve::attach;
use crate::serve::model;
use crate::serve::reply;
use crate::serve::service;
use crate::wire::request;

/// Answers the callers of one daemon.
pub struct EntryHandler {
    core: Arc<core::EntryCore>,
    peers: Arc<peer::PeerClients>,
    shards: Option<shard_service::ShardService>,
}

impl EntryHandler {
    /// A handler for one daemon.
    pub fn new(
        core: Arc<core::EntryCore>,
        peers: Arc<peer::PeerClients>,
        shards: Option<shard_service::ShardService>,
    ) -> Self {
        EntryHandler { core, peers, shards }
    }

    async fn call(
        &self,
        id: id::RequestId,
        request: Request,
    ) -> Result<Response, reply::CallRefusal> {
        match CallPath::parse(&request) {
            Some(CallPath::Model(call)) => model::serve(&self.core, id, call, request).await,
            Some(CallPath::Service(path)) => {
                service::serve(&self.core, self.shards.as_ref(), id, path, request).await
            }
            Some(CallPath::Attach(wanted)) => Ok(self.attach(&wanted, &request).await),
            None => Err(reply::CallRefusal::new(reason::RefusalReason::UnknownPath)),
        }
    }

    async fn attach(&self, wanted: &id::RequestId, request: &Request) -> Response {
        let attached = attach::serve(&self.core, &self.peers, wanted, request).await;
        attached.unwrap_or_else(|refusal| reply::refuse_attach(&self.core, wanted, refusal))
    }
}

#[async_trait]
impl server::HttpHandler for EntryHandler {
    async fn handle(&self, request: Request) -> Response {
        if let Some(response) = probe(&self.core, &request) {
            return response;
        }
        let id = self.core.new_request_id();
        match self.call(id.clone(), request).await {
            Ok(response) => response,
            Err(refusal) => reply::refuse(&self.core, &id, refusal),
        }
    }

    fn refused(&self, reason: reason::RefusalReason) {
        self.core.metrics.refused(reason);
    }
}

/// The call that a path names.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallPath {
    /// A chat or completion call.
    Model(request::ModelCall),
    /// A call of a plain service.
    Service(service::ServicePath),
    /// A caller that attaches again.
    Attach(id::RequestId),
}

/// Where plain services are called.
const SERVICES_PREFIX: &str = "/v1/services/";

/// Where callers attach again.
const REQUESTS_PREFIX: &str = "/v1/requests/";

impl CallPath {
    /// Reads the method and the path; none where they name no call.
    pub fn parse(request: &Request) -> Option<Self> {
        let path = request.url().path();
        let method = request.method();
        if let Some(rest) = path.strip_prefix(SERVICES_PREFIX) {
            let path = service::ServicePath::parse(rest, request.url().query())?;
            return Some(CallPath::Service(path));
        }
        if let Some(wanted) = path.strip_prefix(REQUESTS_PREFIX) {
            let wanted = (method == Method::Get).then(|| wanted.parse().ok()).flatten()?;
            return Some(CallPath::Attach(wanted));
        }
        let calls = [request::ModelCall::Chat, request::ModelCall::Completion];
        let call = calls.into_iter().find(|call| call.path() == path)?;
        (method == Method::Post).then_some(CallPath::Model(call))
    }
}

/// Answers the probes of the balancer and of the monitoring; none for other paths.
fn probe(core: &core::EntryCore, request: &Request) -> Option<Response> {
    if request.method() != Method::Get {
        return None;
    }
    match request.url().path() {
        "/healthz" => Some(text(StatusCode::Ok, "alive\n")),
        "/readyz" if core.is_ready() => Some(text(StatusCode::Ok, "ready\n")),
        "/readyz" => Some(text(StatusCode::ServiceUnavailable, "not ready\n")),
        "/metrics" => Some(metrics(core)),
        _ => None,
    }
}

fn text(status: StatusCode, body: &str) -> Response {
    let mut response = Response::new(status);
    response.set_body(body);
    response
}

fn metrics(core: &core::EntryCore) -> Response {
    sink::ViewSink::expire_requests(core);
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(core.metrics.render());
    response.insert_header("Content-Type", "text/plain; version=0.0.4");
    response
}
