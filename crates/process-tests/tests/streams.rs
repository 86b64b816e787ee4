//! Streamed answers through the real entry daemon while replicas fail.

use async_std::task;
use samphiremoor_process_tests::caller;
use samphiremoor_process_tests::cluster;
use samphiremoor_process_tests::control;
use samphiremoor_process_tests::plan;
use samphiremoor_process_tests::records;
use samphiremoor_standin::fault;

const PROMPT: &str = "draft a rental agreement for one treadmill and two bikes";

/// Tokens of an answer; at 5 ms each a test has time to bring about its failure.
const TOKENS: u64 = 200;

/// Tokens that have come before a failure.
const BEFORE: usize = 20;

fn two_engines() -> cluster::TestCluster {
    cluster::TestCluster::start(plan::ClusterPlan::default())
}

/// A stream of which a part has come.
fn open_stream(cluster: &cluster::TestCluster) -> caller::OpenStream {
    let caller = caller::TestCaller::new();
    let opening = caller.open_chat(cluster.entry(0), PROMPT, TOKENS);
    let mut stream = task::block_on(opening).expect("the entry daemon answers");
    assert!(task::block_on(stream.read_tokens(BEFORE)));
    stream
}

#[test]
fn chat_is_streamed_whole() {
    let cluster = two_engines();
    let answer = task::block_on(caller::TestCaller::new().chat(cluster.entry(0), PROMPT, TOKENS));
    answer.assert_whole(PROMPT, TOKENS);
}

/// Brings about a failure of the engine in the middle of a stream; the answer must be whole.
fn check_failure(fail: impl FnOnce(&mut cluster::TestCluster, usize)) {
    let mut cluster = two_engines();
    let stream = open_stream(&cluster);
    let busy = cluster.busy_engine();
    fail(&mut cluster, busy);
    task::block_on(stream.read_to_end()).assert_whole(PROMPT, TOKENS);
    let other = 1 - busy;
    assert!(cluster.answer_tokens(other) > 0, "the other engine went on with the answer");
}

#[test]
fn killed_replica_loses_no_token() {
    check_failure(|cluster, busy| cluster.engines[busy].process.kill());
}

#[test]
fn paused_replica_loses_no_token() {
    check_failure(|cluster, busy| cluster.engines[busy].process.pause());
}

#[test]
fn silent_connection_is_left_for_a_fresh_one() {
    let cluster = two_engines();
    let stream = open_stream(&cluster);
    let busy = cluster.engines[cluster.busy_engine()].place.address;
    let faults = fault::CallFaults { silence_open: true, ..Default::default() };
    task::block_on(control::set_faults(busy, faults));
    task::block_on(stream.read_to_end()).assert_whole(PROMPT, TOKENS);
}

#[test]
fn closed_stream_is_no_end() {
    let cluster = two_engines();
    for engine in &cluster.engines {
        let faults = fault::CallFaults { drop_answers: 1, ..Default::default() };
        task::block_on(control::set_faults(engine.place.address, faults));
    }
    let answer = task::block_on(caller::TestCaller::new().chat(cluster.entry(0), PROMPT, TOKENS));
    answer.assert_whole(PROMPT, TOKENS);
}

#[test]
fn leaving_replica_ends_its_stream() {
    let mut cluster = two_engines();
    let stream = open_stream(&cluster);
    let busy = cluster.busy_engine();
    cluster.engines[busy].process.terminate();
    task::block_on(stream.read_to_end()).assert_whole(PROMPT, TOKENS);
    assert!(cluster.engines[busy].process.wait_end(), "a planned stop is a success");
}

#[test]
fn caller_attaches_again_at_another_daemon() {
    let cluster = two_engines();
    let stream = open_stream(&cluster);
    let left = stream.leave();
    let id = left.request_id.expect("the answer names its request");
    let last = left.last_event.expect("each event has an id");
    let rest = task::block_on(caller::TestCaller::new().attach(cluster.entry(1), &id, Some(&last)));
    assert_eq!(rest.end, caller::StreamEnd::Done);
    rest.assert_tokens(PROMPT, BEFORE as u64, TOKENS);
    let stranger = caller::TestCaller { key: records::OTHER_KEY };
    for entry in [cluster.entry(0), cluster.entry(1)] {
        let refused = task::block_on(stranger.attach(entry, &id, None));
        assert!(matches!(refused.end, caller::StreamEnd::Refused(404, _)), "{:?}", refused.end);
    }
}

#[test]
fn planned_stop_of_an_entry_daemon_cuts_no_stream() {
    let mut cluster = two_engines();
    let stream = open_stream(&cluster);
    cluster.entries[0].entry.terminate();
    task::block_on(stream.read_to_end()).assert_whole(PROMPT, TOKENS);
    assert!(cluster.entries[0].entry.wait_end(), "a planned stop is a success");
}
