//! HTTP interface of the stand-in engine over loopback.

use std::net::SocketAddr;
use std::path;
use std::sync;

use async_std::net;
use async_std::task;
use futures_lite::StreamExt as _;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use samphiremoor_base::time;
use samphiremoor_httpio::client;
use samphiremoor_httpio::server;
use samphiremoor_settings::load;
use samphiremoor_standin_engine::handler;
use samphiremoor_standin_engine::runtime;
use samphiremoor_standin_engine::settings;
use samphiremoor_standin_engine::tokens;
use serde_json::Value;
use serde_json::json;

const EXAMPLE_SETTINGS: &str = include_str!("../../../deploy/examples/standin-engine.toml");

const PROMPT: &str = "draft a rental agreement for one treadmill";

async fn start() -> SocketAddr {
    let mut settings: settings::EngineSettings =
        load::parse(path::Path::new("standin-engine.toml"), EXAMPLE_SETTINGS)
            .expect("the example is valid");
    settings.speed.decode_base_us = 1_000;
    let runtime = sync::Arc::new(runtime::EngineRuntime::new(settings));
    let step_runtime = runtime.clone();
    task::spawn(async move { step_runtime.run().await });
    let handler = sync::Arc::new(handler::EngineHandler::new(runtime));
    let listener = net::TcpListener::bind("127.0.0.1:0").await.expect("loopback has free ports");
    let address = listener.local_addr().expect("the listener has an address");
    let limits = server::ServerLimits::default();
    task::spawn(server::serve(listener, limits, handler, server::StopSignal::new()));
    address
}

fn body(max_tokens: u64) -> Value {
    json!({
        "model": "assistant", "version": "3", "adapter": "rental",
        "prompt": PROMPT, "stream": true, "max_tokens": max_tokens,
    })
}

async fn call(address: SocketAddr, method: Method, path: &str, body: &Value) -> Response {
    let url = client::url(address, path).expect("the path is valid");
    let mut request = Request::new(method, url);
    request.insert_header("Samphiremoor-Request-Id", "entry-1:7");
    request.set_body(body.to_string());
    let limits = client::CallLimits {
        connect: time::Millis::new(1_000),
        head: time::Millis::new(1_000),
        silence: time::Millis::new(1_000),
    };
    client::send(address, request, limits).await.expect("the engine responds")
}

async fn json_of(address: SocketAddr, method: Method, path: &str, body: &Value) -> Value {
    let mut response = call(address, method, path, body).await;
    assert_eq!(response.status(), StatusCode::Ok);
    response.body_json().await.expect("the response is JSON")
}

/// Contents of a stream.
#[derive(Debug, Default)]
struct StreamContents {
    text: String,
    ids: Vec<u64>,
    usage: Option<Value>,
    is_complete: bool,
}

async fn read_stream(response: Response) -> StreamContents {
    let mut contents = StreamContents::default();
    let mut events = async_sse::decode(response);
    while let Some(Ok(async_sse::Event::Message(message))) = events.next().await {
        if message.data() == b"[DONE]" {
            contents.is_complete = true;
            break;
        }
        let chunk: Value = serde_json::from_slice(message.data()).expect("the chunk is JSON");
        if let Some(usage) = chunk.get("usage") {
            contents.usage = Some(usage.clone());
            continue;
        }
        contents.text += chunk["choices"][0]["text"].as_str().expect("the chunk has a text");
        let id = message.id().as_deref().and_then(|id| id.parse().ok());
        contents.ids.push(id.expect("the event has an index"));
    }
    contents
}

async fn stream(address: SocketAddr, body: &Value) -> StreamContents {
    read_stream(call(address, Method::Post, "/v1/completions", body).await).await
}

#[test]
fn continuation_returns_the_remaining_tokens() {
    task::block_on(async {
        let address = start().await;
        let complete = stream(address, &body(12)).await;
        let hash = tokens::PromptHash::of(PROMPT);
        assert_eq!(complete.text, hash.text(12));
        assert!(complete.is_complete);
        let mut continued = body(12);
        continued["continue_from"] = json!(5);
        continued["continue_text"] = json!(hash.text(5));
        let rest = stream(address, &continued).await;
        assert_eq!(rest.ids, (5..12).collect::<Vec<_>>());
        assert_eq!(hash.text(5) + &rest.text, complete.text);
        continued["continue_text"] = json!("other");
        let refused = call(address, Method::Post, "/v1/completions", &continued).await;
        assert_eq!(refused.status(), StatusCode::BadRequest);
    });
}

#[test]
fn complete_response_counts_cached_and_computed_tokens() {
    task::block_on(async {
        let address = start().await;
        let mut plain = body(3);
        plain["stream"] = json!(false);
        plain["prompt"] = json!("word ".repeat(40));
        json_of(address, Method::Post, "/v1/completions", &plain).await;
        let again = json_of(address, Method::Post, "/v1/completions", &plain).await;
        let details = &again["usage"]["prompt_tokens_details"];
        assert_eq!(details, &json!({"cached_tokens": 32, "computed_tokens": 8}));
    });
}

#[test]
fn imported_kv_cache_needs_no_prefill() {
    task::block_on(async {
        let (first, second) = (start().await, start().await);
        stream(first, &body(6)).await;
        let path = "/kv/export?request=entry-1:7";
        let blob = json_of(first, Method::Get, path, &json!(null)).await;
        json_of(second, Method::Post, "/kv/import", &blob).await;
        let mut continued = body(9);
        continued["continue_from"] = json!(6);
        let usage = stream(second, &continued).await.usage.expect("the stream is complete");
        assert_eq!(usage["prompt_tokens_details"]["computed_tokens"], 0);
    });
}

// An import whose call never comes must not stay for good.
#[test]
fn oldest_import_that_is_never_continued_is_dropped() {
    task::block_on(async {
        let (first, second) = (start().await, start().await);
        stream(first, &body(6)).await;
        let path = "/kv/export?request=entry-1:7";
        let mut blob = json_of(first, Method::Get, path, &json!(null)).await;
        json_of(second, Method::Post, "/kv/import", &blob).await;
        // The blocks of the prompt stay in the prefix cache, whatever becomes of the import.
        blob["blocks"] = json!([]);
        blob["bytes"] = json!(0);
        for number in 0..runtime::MAX_IMPORTS {
            blob["request"] = json!(format!("entry-2:{number}"));
            json_of(second, Method::Post, "/kv/import", &blob).await;
        }
        let mut continued = body(9);
        continued["continue_from"] = json!(6);
        let usage = stream(second, &continued).await.usage.expect("the stream is complete");
        assert_ne!(usage["prompt_tokens_details"]["computed_tokens"], 0);
    });
}

#[test]
fn cancelled_stream_ends_with_an_error() {
    task::block_on(async {
        let address = start().await;
        let response = call(address, Method::Post, "/v1/completions", &body(1_000_000)).await;
        let path = "/v1/requests/entry-1:7/cancel";
        let cancelled = json_of(address, Method::Post, path, &json!(null)).await;
        assert_eq!(cancelled, json!({"cancelled": 1}));
        let events = async_sse::decode(response);
        let last = events.filter_map(Result::ok).last().await;
        let Some(async_sse::Event::Message(message)) = last else { panic!("an event is due") };
        assert_eq!(message.name(), "error");
    });
}

#[test]
fn caller_disconnect_cancels_its_sequence() {
    task::block_on(async {
        let address = start().await;
        drop(call(address, Method::Post, "/v1/completions", &body(1_000_000)).await);
        loop {
            let counts = json_of(address, Method::Get, "/control/counts", &json!(null)).await;
            if counts["cancelled"] == 1 {
                return;
            }
            task::sleep(std::time::Duration::from_millis(10)).await;
        }
    });
}

async fn faults(address: SocketAddr, faults: Value) {
    json_of(address, Method::Post, "/control/faults", &faults).await;
}

#[test]
fn dropped_response_ends_in_the_middle() {
    task::block_on(async {
        let address = start().await;
        faults(address, json!({"drop_answers": 1})).await;
        let truncated = stream(address, &body(10)).await;
        assert_eq!(truncated.ids, (0..5).collect::<Vec<_>>());
        assert!(!truncated.is_complete);
        assert!(stream(address, &body(10)).await.is_complete);
    });
}

#[test]
fn silent_connection_stays_silent_while_new_connections_work() {
    task::block_on(async {
        let address = start().await;
        let open = call(address, Method::Post, "/v1/completions", &body(1_000_000)).await;
        faults(address, json!({"silence_open": true})).await;
        assert!(stream(address, &body(10)).await.is_complete);
        let silent = read_stream(open).await;
        assert!(!silent.is_complete);
    });
}

#[test]
fn refusing_engine_reports_not_run() {
    task::block_on(async {
        let address = start().await;
        faults(address, json!({"refuse": true})).await;
        let refused = call(address, Method::Post, "/v1/completions", &body(10)).await;
        assert_eq!(refused.status(), StatusCode::ServiceUnavailable);
        assert_eq!(refused.header("Samphiremoor-Outcome").expect("a header").as_str(), "not-run");
        let mut other = body(10);
        other["version"] = json!("4");
        faults(address, json!({})).await;
        let refused = call(address, Method::Post, "/v1/completions", &other).await;
        assert_eq!(refused.status(), StatusCode::ServiceUnavailable);
    });
}
