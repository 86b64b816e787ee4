//! HTTP interface of the stand-in service over loopback.

use std::net::SocketAddr;
use std::path;
use std::sync;

use async_std::net;
use async_std::task;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use samphiremoor_base::time;
use samphiremoor_httpio::client;
use samphiremoor_httpio::server;
use samphiremoor_settings::load;
use samphiremoor_standin_service::handler;
use samphiremoor_standin_service::settings;
use samphiremoor_standin_service::wire;

const EXAMPLE_SETTINGS: &str = include_str!("../../../deploy/examples/standin-service.toml");

async fn start_service() -> SocketAddr {
    let settings: settings::ServiceSettings =
        load::parse(path::Path::new("standin-service.toml"), EXAMPLE_SETTINGS)
            .expect("the example is valid");
    let handler = sync::Arc::new(handler::ServiceHandler::new(settings));
    let listener = net::TcpListener::bind("127.0.0.1:0").await.expect("loopback has free ports");
    let address = listener.local_addr().expect("the listener has an address");
    let limits = server::ServerLimits::default();
    task::spawn(server::serve(listener, limits, handler, server::StopSignal::new()));
    address
}

async fn call(address: SocketAddr, path: &str, body: &str) -> Result<Response, client::CallError> {
    let url = client::url(address, path).expect("the path is valid");
    let mut request = Request::new(Method::Post, url);
    request.insert_header("Idempotency-Key", "slot-7");
    request.insert_header("Samphiremoor-Request-Id", format!("request-{body}"));
    request.set_body(body);
    let timeout = time::Millis::new(300);
    client::send(
        address,
        request,
        client::CallLimits { connect: timeout, head: timeout, silence: timeout },
    )
    .await
}

async fn counts(address: SocketAddr) -> wire::ServiceCounts {
    let url = client::url(address, "/control/counts").expect("the path is valid");
    let timeout = time::Millis::new(300);
    let limits = client::CallLimits { connect: timeout, head: timeout, silence: timeout };
    let mut response = client::send(address, Request::new(Method::Get, url), limits)
        .await
        .expect("the service responds");
    response.body_json().await.expect("the counts are JSON")
}

#[test]
fn each_run_has_a_unique_receipt_and_is_counted() {
    task::block_on(async {
        let address = start_service().await;
        let mut receipts = Vec::new();
        for body in ["one", "one", "two"] {
            let mut response = call(address, "/slots/9", body).await.expect("the service responds");
            let receipt: wire::ServiceReceipt = response.body_json().await.expect("a receipt");
            assert_eq!(receipt.echo, body);
            receipts.push(receipt.receipt);
        }
        receipts.dedup();
        assert_eq!(receipts.len(), 3);
        let counts = counts(address).await;
        assert_eq!(counts.keys["slot-7"], wire::KeyCount { runs: 3, bodies: 2 });
        assert_eq!(counts.total, 3);
        assert_eq!(counts.requests, ["request-one", "request-two"].map(str::to_owned).into());
    });
}

fn check_fault(faults: &'static str, has_response: bool, expected_runs: u64) {
    task::block_on(async {
        let address = start_service().await;
        call(address, "/control/faults", faults).await.expect("the service responds");
        let response = call(address, "/slots/9", "one").await;
        assert_eq!(response.is_ok(), has_response);
        assert_eq!(counts(address).await.total, expected_runs);
    });
}

samphiremoor_base::cases! {
    refused_call_is_not_run => check_fault(r#"{"refuse":true}"#, true, 0);
    call_with_dropped_response_is_run => check_fault(r#"{"drop_answers":1}"#, false, 1);
    paused_call_is_not_run => check_fault(r#"{"paused":true}"#, false, 0);
}
