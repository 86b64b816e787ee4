//! Stand-in platform over loopback, through the HTTP client that the daemons use.

use std::net::SocketAddr;
use std::path;
use std::sync;

use async_std::net;
use async_std::task;
use http_types::Method;
use http_types::Request;
use http_types::StatusCode;
use samphiremoor_base::time;
use samphiremoor_httpio::client;
use samphiremoor_httpio::server;
use samphiremoor_platform::cloud::CloudApi as _;
use samphiremoor_platform::table;
use samphiremoor_platform::table::TableStore as _;
use samphiremoor_platform_client::http;
use samphiremoor_settings::load;
use samphiremoor_standin::program;
use samphiremoor_standin_platform::handler;
use samphiremoor_standin_platform::rate;
use samphiremoor_standin_platform::settings;

const EXAMPLE_SETTINGS: &str = include_str!("../../../deploy/examples/standin-platform.toml");

fn example() -> settings::PlatformSettings {
    load::parse(path::Path::new("standin-platform.toml"), EXAMPLE_SETTINGS)
        .expect("the example is valid")
}

/// Serves the platform at two free addresses; callers of the second one belong to the zone songino.
async fn start(settings: &settings::PlatformSettings) -> (SocketAddr, SocketAddr) {
    let calls = program::CallCounter::default();
    let state = sync::Arc::new(handler::PlatformState::new(settings, calls));
    let zone = "songino".parse().expect("the text is an identifier");
    let uncut_address = serve(handler::PlatformHandler::new(state.clone(), None)).await;
    let zone_address = serve(handler::PlatformHandler::new(state, Some(zone))).await;
    (uncut_address, zone_address)
}

async fn serve(handler: handler::PlatformHandler) -> SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").await.expect("loopback has free ports");
    let address = listener.local_addr().expect("the listener has an address");
    let limits = server::ServerLimits::default();
    let stop = server::StopSignal::new();
    task::spawn(server::serve(listener, limits, sync::Arc::new(handler), stop));
    address
}

fn limits() -> client::CallLimits {
    let short = time::Millis::new(300);
    client::CallLimits { connect: short, head: short, silence: short }
}

fn platform(address: SocketAddr) -> http::HttpPlatform {
    http::HttpPlatform::new(address, limits())
}

async fn post_control(address: SocketAddr, path: &str, body: &str) {
    let url = client::url(address, path).expect("the path is valid");
    let mut request = Request::new(Method::Post, url);
    request.set_body(body);
    let response = client::send(address, request, limits()).await.expect("the stand-in responds");
    assert_eq!(response.status(), StatusCode::Ok);
}

fn put(text: &str) -> table::TableTransaction {
    table::TableTransaction {
        write_id: "write".parse().expect("the text is an identifier"),
        conditions: vec![],
        writes: vec![table::RowWrite::Put(key(), sync::Arc::from(text))],
    }
}

fn key() -> table::RowKey {
    table::RowKey::new("lease/shard 7/ü")
}

async fn stored(platform: &http::HttpPlatform) -> Option<String> {
    let row = platform.read(&key()).await.expect("the platform responds");
    row.map(|row| row.value.to_string())
}

#[test]
fn rows_and_conflicts_are_sent_over_http() {
    task::block_on(async {
        let platform = platform(start(&example()).await.0);
        assert_eq!(stored(&platform).await, None);
        platform.commit(&put("one")).await.expect("the platform responds");
        assert_eq!(stored(&platform).await.as_deref(), Some("one"));
        assert_eq!(platform.scan("lease/", None, 9).await.expect("the platform responds").len(), 1);
        let mut absent = put("two");
        absent.conditions.push(table::RowCondition::Absent(key()));
        let response = platform.commit(&absent).await.expect("the platform responds");
        assert_eq!(response, table::CommitResponse::Refused(key()));
    });
}

fn check_write_fault(faults: &'static str, takes_effect: bool, is_unknown: bool) {
    task::block_on(async {
        let address = start(&example()).await.0;
        post_control(address, "/control/faults", faults).await;
        let platform = platform(address);
        let failure = platform.commit(&put("x")).await.expect_err("the write gets no response");
        assert_eq!(matches!(failure, table::PlatformError::Unknown(_)), is_unknown);
        post_control(address, "/control/faults", "{}").await;
        assert_eq!(stored(&platform).await.is_some(), takes_effect);
    });
}

samphiremoor_base::cases! {
    outage_is_not_done => check_write_fault(r#"{"table":{"unavailable":true}}"#, false, false);
    lost_response_is_unknown => check_write_fault(r#"{"table":{"lost_answers":1}}"#, true, true);
    lost_request_is_unknown => check_write_fault(r#"{"table":{"lost_requests":1}}"#, false, true);
    slow_response_is_unknown => check_write_fault(r#"{"table":{"delay":400}}"#, false, true);
}

#[test]
fn only_the_cut_zone_gets_no_response() {
    task::block_on(async {
        let (uncut_address, zone_address) = start(&example()).await;
        post_control(uncut_address, "/control/faults", r#"{"cut_zones":["songino"]}"#).await;
        let failure =
            platform(zone_address).commit(&put("x")).await.expect_err("the zone is cut off");
        assert!(matches!(failure, table::PlatformError::Unknown(_)));
        assert_eq!(stored(&platform(uncut_address)).await, None);
    });
}

#[test]
fn reclaim_sends_a_notice_over_http() {
    task::block_on(async {
        let address = start(&example()).await.0;
        let platform = platform(address);
        assert_eq!(platform.list_vms().await.expect("the platform responds").len(), 2);
        post_control(address, "/control/reclaim", r#"{"zone":"bayanzurkh","seconds":5}"#).await;
        let notices = platform.notices(0).await.expect("the platform responds");
        assert_eq!(notices.len(), 1);
        assert_eq!(notices[0].vm.as_str(), "bayanzurkh-engine-1");
        post_control(address, "/control/reclaim", r#"{"vm":"bayanzurkh-entry-1","seconds":5}"#)
            .await;
        assert_eq!(platform.notices(1).await.expect("the platform responds").len(), 1);
    });
}

#[test]
fn writes_over_the_rate_are_not_done() {
    let mut limited = example();
    limited.limits.writes_per_second = 1;
    task::block_on(async {
        let platform = platform(start(&limited).await.0);
        platform.commit(&put("one")).await.expect("the first write is within the rate");
        let failure = platform.commit(&put("two")).await.expect_err("the second one is not");
        assert!(matches!(failure, table::PlatformError::NotDone(_)));
    });
}

#[test]
fn token_bucket_admits_its_rate() {
    let mut token_bucket = rate::TokenBucket::new(100);
    let admitted =
        (0..1_000).filter(|at| token_bucket.admit(time::MonotonicTime::new(*at))).count();
    assert!((100..=120).contains(&admitted), "admitted {admitted}");
}

#[test]
fn bandwidth_is_shared_in_order() {
    let mut queue = rate::BandwidthQueue::new(1_000);
    let now = time::MonotonicTime::new(50);
    assert_eq!(queue.reserve(500, now), time::Millis::new(500));
    assert_eq!(queue.reserve(500, now), time::Millis::new(1_000));
}

/// Writes a token file and returns settings that refer to it.
fn settings_with_token(token: &str) -> settings::PlatformSettings {
    let name = format!("samphiremoor-token-{}-{}", std::process::id(), token.trim().len());
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, token).expect("the directory is writable");
    settings::PlatformSettings { token_file: Some(file), ..example() }
}

#[test]
fn call_without_a_token_is_refused() {
    task::block_on(async {
        let settings = settings_with_token("right\n");
        let address = start(&settings).await.0;
        let unauthenticated = platform(address);
        let failure = unauthenticated.commit(&put("x")).await.expect_err("the write is refused");
        assert!(matches!(failure, table::PlatformError::NotDone(_)), "{failure}");
        let authenticated =
            platform(address).with_token(settings.token().expect("the file is there"));
        assert_eq!(stored(&authenticated).await, None);
        authenticated.commit(&put("x")).await.expect("the platform responds");
        assert_eq!(stored(&authenticated).await.as_deref(), Some("x"));
        // The control paths need no token: only tests use them.
        post_control(address, "/control/faults", "{}").await;
    });
}

#[test]
fn empty_token_file_is_reported_with_its_key() {
    let file = settings_with_token(" ").token_file.expect("the settings name a file");
    let text = format!("listen = \"127.0.0.1:7700\"\ntoken_file = {file:?}\n");
    let path = path::Path::new("standin-platform.toml");
    let failure = load::parse::<settings::PlatformSettings>(path, &text).expect_err("empty");
    let message = failure.to_string();
    assert!(message.starts_with("standin-platform.toml:2: token_file: "), "{message}");
    assert!(message.contains("write the secret to this file"), "{message}");
}
