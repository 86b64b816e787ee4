//! Streamed responses through the real entry daemon while replicas fail.

use async_std::task;
use samphiremoor_process_tests::caller;
use samphiremoor_process_tests::cluster;
use samphiremoor_process_tests::control;
use samphiremoor_process_tests::plan;
use samphiremoor_process_tests::records;
use samphiremoor_standin::fault;

const PROMPT: &str = "draft a rental agreement for one treadmill and two bikes";

/// Number of tokens of a response. The engines decode a token in about 5 ms, so a test has time to
/// inject its failure.
const RESPONSE_TOKENS: u64 = 200;

/// Number of tokens that the caller receives before a test injects its failure.
const TOKENS_BEFORE_FAILURE: usize = 20;

fn start_two_engines() -> cluster::TestCluster {
    cluster::TestCluster::start(plan::ClusterPlan::default())
}

/// Opens a stream and reads its first [`TOKENS_BEFORE_FAILURE`] tokens.
fn open_stream(cluster: &cluster::TestCluster) -> caller::OpenStream {
    let caller = caller::TestCaller::new();
    let opening = caller.open_chat(cluster.entry(0), PROMPT, RESPONSE_TOKENS);
    let mut stream = task::block_on(opening).expect("the entry daemon responds");
    assert!(task::block_on(stream.read_tokens(TOKENS_BEFORE_FAILURE)));
    stream
}

#[test]
fn chat_stream_is_complete() {
    let cluster = start_two_engines();
    let response =
        task::block_on(caller::TestCaller::new().chat(cluster.entry(0), PROMPT, RESPONSE_TOKENS));
    response.assert_complete(PROMPT, RESPONSE_TOKENS);
}

/// Injects a failure of the engine that decodes a stream, and checks that the other engine
/// continues the stream and that the response is complete. `inject_failure` gets the index of the
/// engine.
fn check_failure(inject_failure: impl FnOnce(&mut cluster::TestCluster, usize)) {
    let mut cluster = start_two_engines();
    let stream = open_stream(&cluster);
    let first_engine = cluster.busy_engine();
    inject_failure(&mut cluster, first_engine);
    task::block_on(stream.read_to_end()).assert_complete(PROMPT, RESPONSE_TOKENS);
    let other_engine = 1 - first_engine;
    assert!(cluster.decoded_tokens(other_engine) > 0, "the other engine continued the response");
}

#[test]
fn killed_replica_loses_no_token() {
    check_failure(|cluster, first_engine| cluster.engines[first_engine].process.kill());
}

#[test]
fn paused_replica_loses_no_token() {
    check_failure(|cluster, first_engine| cluster.engines[first_engine].process.pause());
}

#[test]
fn silent_connection_is_replaced() {
    let cluster = start_two_engines();
    let stream = open_stream(&cluster);
    let busy_address = cluster.engines[cluster.busy_engine()].spec.address;
    let faults = fault::CallFaults { silence_open: true, ..Default::default() };
    task::block_on(control::set_faults(busy_address, faults));
    task::block_on(stream.read_to_end()).assert_complete(PROMPT, RESPONSE_TOKENS);
}

#[test]
fn closed_stream_is_not_treated_as_complete() {
    let cluster = start_two_engines();
    for engine in &cluster.engines {
        let faults = fault::CallFaults { drop_answers: 1, ..Default::default() };
        task::block_on(control::set_faults(engine.spec.address, faults));
    }
    let response =
        task::block_on(caller::TestCaller::new().chat(cluster.entry(0), PROMPT, RESPONSE_TOKENS));
    response.assert_complete(PROMPT, RESPONSE_TOKENS);
}

#[test]
fn draining_replica_completes_its_stream() {
    let mut cluster = start_two_engines();
    let stream = open_stream(&cluster);
    let first_engine = cluster.busy_engine();
    cluster.engines[first_engine].process.terminate();
    task::block_on(stream.read_to_end()).assert_complete(PROMPT, RESPONSE_TOKENS);
    assert!(
        cluster.engines[first_engine].process.wait_end(),
        "a planned shutdown exits with code 0"
    );
}

#[test]
fn caller_reattaches_at_another_daemon() {
    let cluster = start_two_engines();
    let stream = open_stream(&cluster);
    let disconnected = stream.disconnect();
    let request_id = disconnected.request_id.expect("the response has a request id");
    let last_event = disconnected.last_event.expect("each event has an id");
    let rest = task::block_on(caller::TestCaller::new().reattach(
        cluster.entry(1),
        &request_id,
        Some(&last_event),
    ));
    assert_eq!(rest.end, caller::StreamEnd::Done);
    rest.assert_tokens(PROMPT, TOKENS_BEFORE_FAILURE as u64, RESPONSE_TOKENS);
    let other_caller = caller::TestCaller { key: records::OTHER_KEY };
    for entry in [cluster.entry(0), cluster.entry(1)] {
        let refused = task::block_on(other_caller.reattach(entry, &request_id, None));
        assert!(matches!(refused.end, caller::StreamEnd::Refused(404, _)), "{:?}", refused.end);
    }
}

#[test]
fn planned_shutdown_of_an_entry_daemon_completes_its_streams() {
    let mut cluster = start_two_engines();
    let stream = open_stream(&cluster);
    cluster.entries[0].entry.terminate();
    task::block_on(stream.read_to_end()).assert_complete(PROMPT, RESPONSE_TOKENS);
    assert!(cluster.entries[0].entry.wait_end(), "a planned shutdown exits with code 0");
}
