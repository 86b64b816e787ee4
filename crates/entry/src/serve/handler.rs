//! HTTP routing of callers' requests.

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
use crate::serve::response;
use crate::serve::service;
use crate::wire::request;

/// HTTP handler for the callers of one daemon.
pub struct EntryHandler {
    core: Arc<core::EntryCore>,
    peers: Arc<peer::PeerClients>,
    shards: Option<shard_service::ShardService>,
}

impl EntryHandler {
    /// Creates the handler of one daemon.
    pub fn new(
        core: Arc<core::EntryCore>,
        peers: Arc<peer::PeerClients>,
        shards: Option<shard_service::ShardService>,
    ) -> Self {
        EntryHandler { core, peers, shards }
    }

    async fn serve_call(
        &self,
        id: id::RequestId,
        request: Request,
    ) -> Result<Response, response::CallRefusal> {
        match CallPath::parse(&request) {
            Some(CallPath::Model(call)) => model::serve(&self.core, id, call, request).await,
            Some(CallPath::Service(path)) => {
                service::serve(&self.core, self.shards.as_ref(), id, path, request).await
            }
            Some(CallPath::Attach(request_id)) => Ok(self.attach(&request_id, &request).await),
            None => Err(response::CallRefusal::new(reason::RefusalReason::UnknownPath)),
        }
    }

    async fn attach(&self, request_id: &id::RequestId, request: &Request) -> Response {
        let attached = attach::serve(&self.core, &self.peers, request_id, request).await;
        attached.unwrap_or_else(|refusal| response::refuse_attach(&self.core, request_id, refusal))
    }
}

#[async_trait]
impl server::HttpHandler for EntryHandler {
    async fn handle(&self, request: Request) -> Response {
        if let Some(response) = probe_response(&self.core, &request) {
            return response;
        }
        let open_response = core::CountGuard::new(&self.core.open_responses);
        let id = self.core.new_request_id();
        let served = self.serve_call(id.clone(), request).await;
        let mut response =
            served.unwrap_or_else(|refusal| response::refuse(&self.core, &id, refusal));
        // The server drops the response with its extensions once it is written.
        response.ext_mut().insert(open_response);
        response
    }

    fn refused(&self, reason: reason::RefusalReason) {
        self.core.metrics.count_refusal(reason);
    }
}

/// API call that a method and path name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallPath {
    /// A chat or completion call.
    Model(request::ModelCall),
    /// A call of a plain service.
    Service(service::ServicePath),
    /// A caller that reattaches to a request.
    Attach(id::RequestId),
}

/// Path prefix of plain services.
const SERVICES_PREFIX: &str = "/v1/services/";

/// Path prefix for reattaching to requests.
const REQUESTS_PREFIX: &str = "/v1/requests/";

impl CallPath {
    /// Parses the method and the path. Returns `None` if they name no call.
    pub fn parse(request: &Request) -> Option<Self> {
        let path = request.url().path();
        let method = request.method();
        if let Some(rest) = path.strip_prefix(SERVICES_PREFIX) {
            let path = service::ServicePath::parse(rest, request.url().query())?;
            return Some(CallPath::Service(path));
        }
        if let Some(request_id) = path.strip_prefix(REQUESTS_PREFIX) {
            let request_id = (method == Method::Get).then(|| request_id.parse().ok()).flatten()?;
            return Some(CallPath::Attach(request_id));
        }
        let calls = [request::ModelCall::Chat, request::ModelCall::Completion];
        let call = calls.into_iter().find(|call| call.path() == path)?;
        (method == Method::Post).then_some(CallPath::Model(call))
    }
}

/// Responds to probes of the load balancer and to metrics scrapes. Returns `None` for other paths.
fn probe_response(core: &core::EntryCore, request: &Request) -> Option<Response> {
    if request.method() != Method::Get {
        return None;
    }
    match request.url().path() {
        "/healthz" => Some(text_response(StatusCode::Ok, "alive\n")),
        "/readyz" if core.is_ready() => Some(text_response(StatusCode::Ok, "ready\n")),
        "/readyz" => Some(text_response(StatusCode::ServiceUnavailable, "not ready\n")),
        "/metrics" => Some(metrics_response(core)),
        _ => None,
    }
}

fn text_response(status: StatusCode, body: &str) -> Response {
    let mut response = Response::new(status);
    response.set_body(body);
    response
}

fn metrics_response(core: &core::EntryCore) -> Response {
    sink::ViewSink::expire_requests(core);
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(core.metrics.render());
    response.insert_header("Content-Type", "text/plain; version=0.0.4");
    response
}
