//! HTTP handler of the service.

use std::sync;
use std::sync::atomic;
use std::time::Duration;

use async_std::task;
use async_trait::async_trait;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use samphiremoor_base::quantity;
use samphiremoor_httpio::problem;
use samphiremoor_httpio::server;
use samphiremoor_standin::fault;
use samphiremoor_standin::program;
use samphiremoor_standin::response;

use crate::ledger;
use crate::settings;
use crate::wire;

/// Header that carries the caller's idempotency key.
pub const KEY_HEADER: &str = "Idempotency-Key";

/// Multiplier that spreads the latencies of successive calls; a prime, so that it is coprime to any
/// usual spread.
const SPREAD_STEP: u64 = 7_919;

/// HTTP handler of one service.
pub struct ServiceHandler {
    settings: settings::ServiceSettings,
    faults: fault::FaultInjector,
    run_counter: sync::Mutex<ledger::RunCounter>,
    call_count: atomic::AtomicU64,
    /// Counter of calls in progress.
    pub calls: program::CallCounter,
    /// Signal that is triggered when the service is asked to stop.
    pub draining: server::StopSignal,
}

impl ServiceHandler {
    /// Creates a service without any runs.
    pub fn new(settings: settings::ServiceSettings) -> Self {
        ServiceHandler {
            settings,
            faults: fault::FaultInjector::default(),
            run_counter: sync::Mutex::default(),
            call_count: atomic::AtomicU64::new(0),
            calls: program::CallCounter::default(),
            draining: server::StopSignal::new(),
        }
    }

    async fn route(&self, mut request: Request) -> Result<Response, response::CallRefusal> {
        let path = request.url().path().to_owned();
        match (request.method(), path.as_str()) {
            (Method::Post, "/control/faults") => {
                self.faults.set(response::read_json(&mut request).await?);
                return Ok(response::json(&()));
            }
            (Method::Get, "/control/counts") => return Ok(response::json(&self.lock().counts())),
            _ => self.faults.wait_until_resumed().await,
        }
        match (request.method(), path.as_str()) {
            (Method::Get, "/state") => Ok(response::json(&self.state())),
            (Method::Get, "/load") => Ok(response::json(&self.load())),
            _ => self.run(request, path).await,
        }
    }

    async fn run(
        &self,
        mut request: Request,
        path: String,
    ) -> Result<Response, response::CallRefusal> {
        let call_guard = self.calls.enter();
        let body = response::read_bytes(&mut request).await?;
        let admitted = self.admit()?;
        let half_latency = self.next_latency() / 2;
        task::sleep(half_latency).await;
        self.faults.wait_until_resumed().await;
        let header_text = |name| request.header(name).map(|value| value.as_str().to_owned());
        let call_ids = ledger::CallIds {
            key: header_text(KEY_HEADER),
            request: header_text(problem::REQUEST_ID_HEADER),
        };
        let number = self.lock().record_run(&call_ids, &body);
        task::sleep(half_latency).await;
        self.faults.wait_until_resumed().await;
        if self.faults.is_silenced(admitted) {
            drop(call_guard);
            fault::wait_silence_limit().await;
            return Ok(response::hang_up());
        }
        if self.faults.take_response_drop() {
            return Ok(response::hang_up());
        }
        Ok(response::json(&wire::ServiceReceipt {
            receipt: format!("{}-{number}", self.settings.id),
            method: request.method().to_string(),
            path,
            key: call_ids.key,
            echo: String::from_utf8_lossy(&body).into_owned(),
        }))
    }

    /// Admits a call, or refuses it before it has run.
    fn admit(&self) -> Result<fault::AdmittedCall, response::CallRefusal> {
        let refuse = |detail| response::CallRefusal::new(StatusCode::ServiceUnavailable, detail);
        if self.draining.is_triggered() {
            return Err(refuse("the service is stopping; call another replica"));
        }
        self.faults.admit().ok_or_else(|| refuse("the service was told to refuse"))
    }

    fn next_latency(&self) -> Duration {
        let number = self.call_count.fetch_add(1, atomic::Ordering::Relaxed);
        let spread = number.wrapping_mul(SPREAD_STEP) % (self.settings.latency_spread.get() + 1);
        let length = self.settings.latency.to_duration() + Duration::from_millis(spread);
        self.faults.scale(length)
    }

    fn state(&self) -> wire::ServiceState {
        let draining = self.draining.is_triggered();
        wire::ServiceState {
            id: self.settings.id.clone(),
            ready: !draining,
            models: Vec::new(),
            fence: quantity::FencingToken::default(),
            draining,
        }
    }

    fn load(&self) -> wire::ServiceLoad {
        wire::ServiceLoad { running: self.calls.count() as u32, ..Default::default() }
    }

    fn lock(&self) -> sync::MutexGuard<'_, ledger::RunCounter> {
        self.run_counter.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

#[async_trait]
impl server::HttpHandler for ServiceHandler {
    async fn handle(&self, request: Request) -> Response {
        self.route(request).await.unwrap_or_else(|refusal| refusal.to_response())
    }
}
