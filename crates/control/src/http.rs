//! `/healthz`, `/readyz` and `/metrics`.

use std::sync;

use async_trait::async_trait;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use samphiremoor_base::reason;
use samphiremoor_httpio::problem;
use samphiremoor_httpio::server;

use crate::metrics;
use crate::view_server;

/// Answers from the board and the metrics.
#[derive(Debug)]
pub struct StatusHandler {
    board: sync::Arc<view_server::ViewBoard>,
    metrics: metrics::ControlMetrics,
}

impl StatusHandler {
    /// A handler that answers from these.
    pub fn new(board: sync::Arc<view_server::ViewBoard>, metrics: metrics::ControlMetrics) -> Self {
        StatusHandler { board, metrics }
    }

    fn ready(&self) -> Response {
        if self.board.shown().is_some() {
            return text("ready\n");
        }
        problem::CallProblem::not_run(
            StatusCode::ServiceUnavailable,
            reason::RefusalReason::NotReady,
            "no revision is in force; apply records, or check that the platform or a peer answers",
        )
        .to_response()
    }
}

#[async_trait]
impl server::HttpHandler for StatusHandler {
    async fn handle(&self, request: Request) -> Response {
        match request.url().path() {
            "/healthz" => text("alive\n"),
            "/readyz" => self.ready(),
            "/metrics" => text(&self.metrics.to_text()),
            _ => problem::CallProblem::not_run(
                StatusCode::NotFound,
                reason::RefusalReason::UnknownPath,
                "no such path; ask for /healthz, /readyz or /metrics",
            )
            .to_response(),
        }
    }
}

fn text(body: &str) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(body);
    response.insert_header("Content-Type", "text/plain; charset=utf-8");
    response
}
