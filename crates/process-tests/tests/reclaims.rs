//! Reclaims with notice of an upstream's VM, of an entry VM, and of a zone.

use std::thread;
use std::time::Duration;

use async_std::task;
use samphiremoor_platform::fleet;
use samphiremoor_process_tests::caller;
use samphiremoor_process_tests::cluster;
use samphiremoor_process_tests::control;
use samphiremoor_process_tests::operator;
use samphiremoor_process_tests::plan;
use samphiremoor_process_tests::wait;

const PROMPT: &str = "draft a letter on the winter delivery of a walking pad";

/// Number of tokens of a response that takes longer than the notice period.
const TOKENS: u64 = 1_600;

const NOTICE_SECONDS: u64 = 4;

fn start() -> cluster::TestCluster {
    cluster::TestCluster::start(plan::ClusterPlan::default())
}

fn reclaim(cluster: &cluster::TestCluster, scope: fleet::ReclaimScope) {
    task::block_on(control::reclaim(cluster.platform_address, scope, NOTICE_SECONDS));
}

fn vm_scope(name: &str) -> fleet::ReclaimScope {
    fleet::ReclaimScope::Vm(name.parse().expect("the harness's names are identifiers"))
}

/// Reads a stream to its end. Reattaches at the other entry daemon if the connection ends earlier.
fn read_complete(stream: caller::OpenStream, other: std::net::SocketAddr) {
    let first = task::block_on(stream.read_to_end());
    if first.end == caller::StreamEnd::Done {
        return first.assert_complete(PROMPT, TOKENS);
    }
    let id = first.request_id.clone().expect("the response has a request id");
    let caller = caller::TestCaller::new();
    let rest = task::block_on(caller.reattach(other, &id, first.last_event.as_deref()));
    assert_eq!(rest.end, caller::StreamEnd::Done, "after {:?}", first.end);
    let tokens = [first.tokens, rest.tokens].concat();
    assert_eq!(tokens, caller::expected_tokens(PROMPT, 0, TOKENS));
}

fn open_stream(cluster: &cluster::TestCluster) -> caller::OpenStream {
    let caller = caller::TestCaller::new();
    let opening = caller.open_chat(cluster.entry(0), PROMPT, TOKENS);
    let mut stream = task::block_on(opening).expect("the entry daemon responds");
    assert!(task::block_on(stream.read_tokens(10)));
    stream
}

#[test]
fn reclaimed_engine_loses_no_token() {
    let mut cluster = start();
    let stream = open_stream(&cluster);
    let first_engine = cluster.busy_engine();
    reclaim(&cluster, vm_scope(&cluster.engines[first_engine].spec.name));
    let other = cluster.entry(1);
    let reading = thread::spawn(move || read_complete(stream, other));
    thread::sleep(Duration::from_secs(NOTICE_SECONDS));
    wait::until("the stream migrates before its engine is killed", || {
        cluster.decoded_tokens(1 - first_engine) > 0
    });
    cluster.engines[first_engine].process.kill();
    reading.join().expect("the response is complete");
}

#[test]
fn reclaimed_entry_vm_hands_over_its_streams() {
    let mut cluster = start();
    let stream = open_stream(&cluster);
    reclaim(&cluster, vm_scope(&cluster.entries[0].spec.name));
    let other = cluster.entry(1);
    let reading = thread::spawn(move || read_complete(stream, other));
    thread::sleep(Duration::from_secs(NOTICE_SECONDS));
    cluster.entries[0].entry.kill();
    reading.join().expect("the response is complete");
}

#[test]
fn reclaimed_zone_loses_no_response() {
    let mut cluster = start();
    let stream = open_stream(&cluster);
    let zone = "north".parse().expect("the text is an identifier");
    reclaim(&cluster, fleet::ReclaimScope::Zone(zone));
    let other = cluster.entry(1);
    let reading = thread::spawn(move || read_complete(stream, other));
    thread::sleep(Duration::from_secs(NOTICE_SECONDS));
    cluster.engines[0].process.kill();
    cluster.services[0].process.kill();
    cluster.entries[0].entry.kill();
    reading.join().expect("the response is complete");
}

#[test]
fn drained_entry_vm_completes_its_streams() {
    let mut cluster = start();
    let stream = open_stream(&cluster);
    let drained = cluster.operator().run(&["drain", &cluster.entries[0].spec.name]);
    assert_eq!(drained.code, operator::EXIT_OK, "{drained:?}");
    let response = task::block_on(stream.read_to_end());
    response.assert_complete(PROMPT, TOKENS);
    assert!(cluster.entries[0].entry.wait_end(), "the daemon exits with code 0");
}
