//! HTTP handler of the engine.

use std::sync;
use std::time::Instant;

use async_std::task;
use async_trait::async_trait;
use http_types::Body;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_httpio::problem;
use samphiremoor_httpio::server;
use samphiremoor_standin::fault;
use samphiremoor_standin::response;
use serde_json::json;

use crate::orders;
use crate::runtime;
use crate::stream;
use crate::tokens;
use crate::wire;

/// Header that carries the request's priority.
pub const PRIORITY_HEADER: &str = "Samphiremoor-Priority";

/// Number of response tokens if the call doesn't set `max_tokens`.
pub const DEFAULT_MAX_TOKENS: u64 = 64;

/// Priority of a call without a priority header.
const DEFAULT_PRIORITY: quantity::PriorityLevel = quantity::PriorityLevel::new(100);

/// Path prefix of the calls that act on one request.
const REQUEST_PREFIX: &str = "/v1/requests/";

/// HTTP handler of one engine.
pub struct EngineHandler {
    runtime: sync::Arc<runtime::EngineRuntime>,
}

impl EngineHandler {
    /// Creates a handler for a running engine.
    pub fn new(runtime: sync::Arc<runtime::EngineRuntime>) -> Self {
        EngineHandler { runtime }
    }

    async fn route(&self, mut request: Request) -> Result<Response, response::CallRefusal> {
        let path = request.url().path().to_owned();
        if !path.starts_with("/control/") {
            self.runtime.faults.wait_until_resumed().await;
        }
        match (request.method(), path.as_str()) {
            (Method::Post, "/v1/chat/completions") => {
                self.generate(request, stream::ResponseFormat::Chat).await
            }
            (Method::Post, "/v1/completions") => {
                self.generate(request, stream::ResponseFormat::Completion).await
            }
            (Method::Post, path) if path.starts_with(REQUEST_PREFIX) => self.cancel(path),
            (Method::Get, "/state") => Ok(response::json(&self.runtime.state())),
            (Method::Get, "/load") => Ok(response::json(&self.runtime.load())),
            (Method::Get, "/cache/events") => self.cache_events(&request),
            (Method::Get, "/kv/export") => self.export(&request),
            (Method::Post, "/kv/import") => self.import(&mut request).await,
            (Method::Post, "/orders") => self.order(&mut request).await,
            (Method::Post, "/control/faults") => {
                self.runtime.faults.set(response::read_json(&mut request).await?);
                Ok(response::json(&()))
            }
            (Method::Get, "/control/counts") => Ok(response::json(&self.runtime.counts())),
            _ => Err(response::CallRefusal::not_found("the engine has no such call")),
        }
    }

    async fn generate(
        &self,
        mut request: Request,
        format: stream::ResponseFormat,
    ) -> Result<Response, response::CallRefusal> {
        let call_guard = self.runtime.calls.enter();
        let received = Instant::now();
        let body: wire::GenerateBody = response::read_json(&mut request).await?;
        let admitted = self.admit(&body)?;
        let call = self.engine_call(&request, &body)?;
        let engine_response = stream::EngineResponse {
            runtime: self.runtime.clone(),
            format,
            model: body.model.to_string(),
            events: self.runtime.submit(&call),
            admitted,
            _call_guard: call_guard,
            deadline: header::<time::Millis>(&request, problem::TIMEOUT_HEADER)?
                .map(|limit| received + limit.to_duration()),
            drops_response: self.runtime.faults.take_response_drop(),
            call,
        };
        let request_id = engine_response.call.request.clone();
        let mut response = if body.stream {
            streamed_response(engine_response)
        } else {
            complete_response(engine_response).await
        };
        response.insert_header(problem::REQUEST_ID_HEADER, request_id.as_str());
        Ok(response)
    }

    /// Admits a call, or refuses it before anything has run.
    fn admit(
        &self,
        body: &wire::GenerateBody,
    ) -> Result<fault::AdmittedCall, response::CallRefusal> {
        let refuse = |detail| response::CallRefusal::new(StatusCode::ServiceUnavailable, detail);
        if self.runtime.draining.is_triggered() {
            return Err(refuse("the engine is stopping; call another one"));
        }
        let loaded = self.runtime.loaded_models();
        if !loaded.iter().any(|model| body.is_served_by(model)) {
            return Err(refuse("the model is not loaded; call another engine"));
        }
        self.runtime.faults.admit().ok_or_else(|| refuse("the engine was told to refuse"))
    }

    fn engine_call(
        &self,
        request: &Request,
        body: &wire::GenerateBody,
    ) -> Result<runtime::EngineCall, response::CallRefusal> {
        let prompt = body.prompt_text();
        if let Some(delivered) = &body.continue_text {
            let expected = tokens::PromptHash::of(&prompt).text(body.continue_from);
            if *delivered != expected {
                self.runtime.count_wrong_continuation();
                let detail = "the delivered text is not this prompt's answer; start anew";
                return Err(response::CallRefusal::malformed(detail));
            }
        }
        let default_id = || "unnamed".parse().expect("the text is an identifier");
        Ok(runtime::EngineCall {
            request: header(request, problem::REQUEST_ID_HEADER)?.unwrap_or_else(default_id),
            priority: header(request, PRIORITY_HEADER)?.unwrap_or(DEFAULT_PRIORITY),
            prompt,
            continue_from: body.continue_from,
            target: body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(body.continue_from),
        })
    }

    fn cancel(&self, path: &str) -> Result<Response, response::CallRefusal> {
        let name = path.strip_prefix(REQUEST_PREFIX).and_then(|rest| rest.strip_suffix("/cancel"));
        let Some(name) = name else {
            return Err(response::CallRefusal::not_found("the engine has no such call"));
        };
        let request = request_id(name)?;
        Ok(response::json(&json!({"cancelled": self.runtime.cancel(&request)})))
    }

    fn cache_events(&self, request: &Request) -> Result<Response, response::CallRefusal> {
        let serial = response::parsed_parameter(request, "after", 0_u64)?;
        Ok(response::json(&self.runtime.cache_events(serial)))
    }

    fn export(&self, request: &Request) -> Result<Response, response::CallRefusal> {
        let request = request_id(&response::required_parameter(request, "request")?)?;
        match self.runtime.export(&request) {
            Some(blob) => Ok(response::json(&blob)),
            None => {
                Err(response::CallRefusal::not_found("no KV cache of the request; recompute it"))
            }
        }
    }

    async fn import(&self, request: &mut Request) -> Result<Response, response::CallRefusal> {
        let blob: wire::KvBlob = response::read_json(request).await?;
        self.runtime.import(&blob).await;
        Ok(response::json(&json!({"tokens": blob.tokens})))
    }

    async fn order(&self, request: &mut Request) -> Result<Response, response::CallRefusal> {
        let received = self.runtime.now();
        let order: wire::EngineOrder = response::read_json(request).await?;
        self.runtime.faults.wait_until_resumed().await;
        self.runtime.order(&order, received).map_err(order_refusal)?;
        if self.runtime.faults.take_response_drop() {
            return Ok(response::hang_up());
        }
        Ok(response::json(&self.runtime.state()))
    }
}

#[async_trait]
impl server::HttpHandler for EngineHandler {
    async fn handle(&self, request: Request) -> Response {
        self.route(request).await.unwrap_or_else(|refusal| refusal.to_response())
    }
}

fn streamed_response(engine_response: stream::EngineResponse) -> Response {
    let (sender, encoder) = async_sse::encode();
    task::spawn(engine_response.stream(sender));
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(encoder, None));
    response.insert_header("Content-Type", "text/event-stream");
    response
}

async fn complete_response(engine_response: stream::EngineResponse) -> Response {
    let end = engine_response.collect().await;
    if engine_response.drops_response {
        return response::hang_up();
    }
    if engine_response.runtime.faults.is_silenced(engine_response.admitted) {
        drop(engine_response);
        fault::wait_silence_limit().await;
        return response::hang_up();
    }
    match end {
        stream::ResponseEnd::Complete(usage) => {
            response::json(&engine_response.complete_json(&usage))
        }
        // The call may have run partially, so the response claims no outcome.
        stream::ResponseEnd::Aborted => Response::new(StatusCode::GatewayTimeout),
    }
}

fn order_refusal(refusal: orders::OrderRefusal) -> response::CallRefusal {
    match refusal {
        orders::OrderRefusal::StaleToken(newest) => response::CallRefusal::new(
            StatusCode::Conflict,
            &format!("an order with fencing number {newest} came before; take the lease again"),
        ),
        orders::OrderRefusal::Expired => {
            response::CallRefusal::new(StatusCode::Gone, "the order has expired; send a new one")
        }
        orders::OrderRefusal::MaxModels => response::CallRefusal::new(
            StatusCode::InsufficientStorage,
            "no room for another model; unload one first",
        ),
    }
}

fn header<T: std::str::FromStr>(
    request: &Request,
    name: &str,
) -> Result<Option<T>, response::CallRefusal> {
    let Some(value) = request.header(name) else { return Ok(None) };
    let malformed =
        |_| response::CallRefusal::malformed(&format!("the header {name} is malformed"));
    value.as_str().parse().map(Some).map_err(malformed)
}

fn request_id(text: &str) -> Result<id::RequestId, response::CallRefusal> {
    text.parse().map_err(|cause: id::IdError| response::CallRefusal::malformed(&cause.to_string()))
}
