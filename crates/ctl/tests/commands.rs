//! Commands against an in-memory platform and fake daemons with scripted responses.

use std::collections;
use std::net;
use std::path;
use std::sync;

use async_std::task;
use async_trait::async_trait;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_control::message;
use samphiremoor_ctl::args;
use samphiremoor_ctl::command;
use samphiremoor_ctl::outcome;
use samphiremoor_ctl::survey;
use samphiremoor_membership::daemons;
use samphiremoor_membership::gossip;
use samphiremoor_platform::cloud;
use samphiremoor_platform::faults;
use samphiremoor_platform::table;
use samphiremoor_platform::table::TableStore;
use samphiremoor_platform_client::memory;
use samphiremoor_records::revision;

const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/examples");

fn example(version: u32) -> path::PathBuf {
    path::Path::new(EXAMPLES).join(format!("records-v{version}.toml"))
}

/// Scripted revisions of a daemon, one for each request; the last one is repeated.
#[derive(Clone, Debug, Default)]
struct FakeDaemon {
    revisions: collections::VecDeque<Option<u64>>,
    known_daemons: Vec<gossip::DaemonInfo>,
}

#[derive(Debug, Default)]
struct FakeDaemons {
    daemons: sync::Mutex<collections::HashMap<net::SocketAddr, FakeDaemon>>,
}

#[async_trait]
impl survey::DaemonClient for FakeDaemons {
    async fn request(
        &self,
        address: net::SocketAddr,
        request: message::PeerRequest,
    ) -> Option<message::PeerResponse> {
        assert_eq!(request, message::PeerRequest::InForce);
        let mut daemons = self.daemons.lock().expect("no test panics while it holds the lock");
        let daemon = daemons.get_mut(&address)?;
        let revision = match daemon.revisions.len() {
            1 => daemon.revisions[0],
            _ => daemon.revisions.pop_front().flatten(),
        };
        let own_info = daemon.known_daemons.first().cloned().expect("a daemon knows itself");
        Some(message::PeerResponse::InForce(message::InForceReport {
            daemon: own_info.id,
            zone: own_info.zone,
            revision: quantity::RevisionNumber::new(revision?),
            age: time::Millis::default(),
            known_daemons: daemon.known_daemons.clone(),
        }))
    }
}

/// Returns the membership information of a daemon with the incarnation.
fn daemon_info(name: &str, zone: &str, port: u16, incarnation: u64) -> gossip::DaemonInfo {
    let entry = entry_vm(name, zone, port);
    let mut info = daemons::from_vm_entry(&entry).expect("an entry VM");
    info.status.incarnation = quantity::Incarnation::new(incarnation);
    info
}

fn entry_vm(name: &str, zone: &str, port: u16) -> cloud::VmEntry {
    let address = |port| net::SocketAddr::from(([127, 0, 0, 1], port));
    cloud::VmEntry {
        id: name.parse().expect("a VM"),
        zone: zone.parse().expect("a zone"),
        class: "small".parse().expect("a class"),
        reclaimable: false,
        price: quantity::MicroPrice::new(1),
        state: cloud::VmState::Live,
        role: cloud::VmRole::Entry {
            http_address: address(port),
            peer_address: address(port + 1),
            control_address: address(port + 2),
        },
    }
}

struct CtlHarness {
    table: sync::Arc<memory::MemoryTable>,
    cloud: sync::Arc<memory::MemoryCloud>,
    daemon_client: sync::Arc<FakeDaemons>,
    out: Vec<u8>,
    progress: Vec<u8>,
}

impl CtlHarness {
    fn new() -> Self {
        CtlHarness {
            table: sync::Arc::default(),
            cloud: sync::Arc::new(memory::MemoryCloud::new(time::Millis::default())),
            daemon_client: sync::Arc::default(),
            out: Vec::new(),
            progress: Vec::new(),
        }
    }

    /// Adds a listed daemon that reports these revisions in order and knows these daemons.
    fn add_daemon(
        &mut self,
        name: &str,
        port: u16,
        revisions: &[u64],
        known_daemons: &[gossip::DaemonInfo],
    ) {
        let entry = entry_vm(name, "a", port);
        self.cloud.with_fleet(|fleet, now| fleet.put(entry, now));
        self.add_unlisted(name, port, revisions, known_daemons);
    }

    fn add_unlisted(
        &mut self,
        name: &str,
        port: u16,
        revisions: &[u64],
        known_daemons: &[gossip::DaemonInfo],
    ) {
        let own_info = daemon_info(name, "a", port, 1);
        let address = own_info.control_address;
        let known_daemons = [own_info].into_iter().chain(known_daemons.iter().cloned()).collect();
        let revisions = revisions.iter().map(|revision| Some(*revision)).collect();
        let mut daemons =
            self.daemon_client.daemons.lock().expect("no test panics while it holds it");
        daemons.insert(address, FakeDaemon { revisions, known_daemons });
    }

    fn run(&mut self, arguments: &[&str]) -> Result<(), outcome::CtlError> {
        use argh::FromArgs as _;
        let args =
            args::CtlArgs::from_args(&["samphiremoorctl"], arguments).expect("the arguments parse");
        let clients = command::CtlClients {
            table: self.table.clone(),
            cloud: self.cloud.clone(),
            daemon_client: self.daemon_client.clone(),
        };
        let context = command::CommandContext {
            author: sync::Arc::from("ana"),
            wait: time::Millis::new(400),
            seeds: Vec::new(),
            format: args.output,
        };
        let command = args.command.expect("a command");
        let mut runner =
            command::CommandRunner::new(clients, context, &mut self.out, &mut self.progress);
        task::block_on(runner.run(&command))
    }

    fn apply(&mut self, version: u32) -> Result<(), outcome::CtlError> {
        let file = example(version);
        self.run(&["apply", "--no-wait", file.to_str().expect("the path is text")])
    }

    fn head(&self) -> u64 {
        let row = task::block_on(self.table.read(&table::RowKey::new(revision::HEAD_KEY)));
        let row = row.expect("the table responds");
        row.map_or(0, |row| revision::HeadRow::parse(&row.value).expect("a head").revision.get())
    }

    fn printed(&self) -> String {
        String::from_utf8_lossy(&self.out).into_owned()
    }
}

/// Returns the store faults that `change` sets.
fn write_faults(change: impl FnOnce(&mut faults::StoreFaults)) -> faults::StoreFaults {
    let mut store = faults::StoreFaults::default();
    change(&mut store);
    store
}

#[test]
fn records_are_printed_as_they_were_written() {
    let mut harness = CtlHarness::new();
    harness.apply(1).expect("version 1 is written");
    harness.apply(2).expect("version 2 is written");
    harness.run(&["get", "service/courier"]).expect("the record is there");
    assert!(harness.printed().contains("schema = 1"), "{}", harness.printed());
    harness.run(&["get", "service/case-files"]).expect("the record is there");
    assert!(harness.printed().contains("schema = 2"), "{}", harness.printed());
    harness.out.clear();
    harness.run(&["--output", "json", "get"]).expect("the records are there");
    let page: serde_json::Value = serde_json::from_slice(&harness.out).expect("JSON");
    assert_eq!(page["revision"], 2);
    assert_eq!(page["records"].as_array().map(Vec::len), Some(10));
}

#[test]
fn withdrawing_a_required_record_is_refused() {
    let mut harness = CtlHarness::new();
    harness.apply(1).expect("the records are written");
    let refused =
        harness.run(&["withdraw", "pool/courier-pool"]).expect_err("the service needs it");
    assert_eq!(refused.code(), outcome::REFUSED);
    assert!(refused.to_string().contains("service/courier: no pool serves it"), "{refused}");
    assert_eq!(harness.head(), 1);
}

#[test]
fn change_without_effect_writes_nothing() {
    let mut harness = CtlHarness::new();
    harness.apply(1).expect("the records are written");
    harness.apply(1).expect("the change has no effect");
    assert_eq!(harness.head(), 1);
}

#[test]
fn lost_response_to_a_write_is_resolved_by_a_read() {
    let mut harness = CtlHarness::new();
    harness.table.set_faults(write_faults(|store| store.lost_answers = 1));
    harness.apply(1).expect("the write took effect");
    assert_eq!(harness.head(), 1);
}

#[test]
fn lost_write_request_is_retried() {
    let mut harness = CtlHarness::new();
    harness.table.set_faults(write_faults(|store| store.lost_requests = 2));
    harness.apply(1).expect("the write took effect in the end");
    assert_eq!(harness.head(), 1);
}

#[test]
fn table_outage_refuses_the_change() {
    let mut harness = CtlHarness::new();
    harness.table.set_faults(write_faults(|store| store.unavailable = true));
    let refused = harness.apply(1).expect_err("the table does not respond");
    assert_eq!(refused.code(), outcome::REFUSED);
    assert!(refused.to_string().contains("nothing was changed"), "{refused}");
}

#[test]
fn permanently_lost_requests_have_unknown_outcome() {
    let mut harness = CtlHarness::new();
    harness.table.set_faults(write_faults(|store| store.lost_requests = 100));
    let unknown = harness.apply(1).expect_err("every request is lost");
    assert_eq!(unknown.code(), outcome::UNKNOWN);
    assert!(unknown.to_string().contains("samphiremoorctl history"), "{unknown}");
}

#[test]
fn change_of_a_record_changed_after_the_base_is_refused() {
    let mut harness = CtlHarness::new();
    harness.apply(1).expect("the records are written");
    harness.apply(2).expect("other records are written");
    harness.run(&["withdraw", "--no-wait", "workspace/district-clinics"]).expect("it is withdrawn");
    let file = example(1);
    let file = file.to_str().expect("the path is text");
    let refused = harness
        .run(&["apply", "--base", "2", file])
        .expect_err("the record changed after the base");
    assert!(refused.to_string().contains("workspace/district-clinics"), "{refused}");
    assert_eq!(refused.code(), outcome::REFUSED);
    harness.run(&["apply", "--no-wait", "--base", "3", file]).expect("the base is current");
    assert_eq!(harness.head(), 4);
}

#[test]
fn change_is_accepted_once_in_force_at_every_known_daemon() {
    let mut harness = CtlHarness::new();
    // The second daemon is not listed, and the revision comes into force there later.
    let unlisted = daemon_info("d2", "a", 200, 1);
    harness.add_daemon("d1", 100, &[0, 1], std::slice::from_ref(&unlisted));
    harness.add_unlisted("d2", 200, &[0, 0, 0, 1], &[]);
    let file = example(1);
    harness.run(&["apply", file.to_str().expect("the path is text")]).expect("it is accepted");
    let progress = String::from_utf8_lossy(&harness.progress).into_owned();
    assert!(progress.contains("in force: a 0/2"), "{progress}");
    assert!(progress.contains("in force: a 2/2"), "{progress}");
}

#[test]
fn change_missing_at_a_daemon_is_not_accepted() {
    let mut harness = CtlHarness::new();
    harness.add_daemon("d1", 100, &[1], &[daemon_info("d2", "b", 200, 1)]);
    let file = example(1);
    let arguments = ["apply", file.to_str().expect("the path is text")];
    let unknown = harness.run(&arguments).expect_err("d2 does not respond");
    assert_eq!(unknown.code(), outcome::UNKNOWN);
    assert!(unknown.to_string().contains("d2 in b (does not respond)"), "{unknown}");
    assert_eq!(harness.head(), 1);
}

#[test]
fn vm_removed_from_the_list_is_not_awaited() {
    let mut harness = CtlHarness::new();
    harness.add_daemon("d1", 100, &[1], &[]);
    let entry = entry_vm("d2", "a", 200);
    let cloud = harness.cloud.clone();
    let vm = entry.id.clone();
    cloud.with_fleet(|fleet, now| fleet.put(entry, now));
    let removing = task::spawn(async move {
        task::sleep(std::time::Duration::from_millis(100)).await;
        cloud.with_fleet(|fleet, now| fleet.remove(&vm, now));
    });
    let file = example(1);
    harness.run(&["apply", file.to_str().expect("the path is text")]).expect("d1 has it");
    task::block_on(removing);
}

#[test]
fn daemon_restarted_after_its_response_is_surveyed_again() {
    let mut harness = CtlHarness::new();
    // d2 responds with incarnation 1; d3 knows incarnation 2 of d2, which has no revision yet.
    let second_incarnation = daemon_info("d2", "a", 200, 2);
    harness.add_daemon("d1", 100, &[1], &[daemon_info("d3", "a", 300, 1)]);
    harness.add_daemon("d2", 200, &[1, 0], &[]);
    harness.add_unlisted("d3", 300, &[1], &[second_incarnation]);
    let file = example(1);
    let arguments = ["apply", file.to_str().expect("the path is text")];
    let unknown = harness.run(&arguments).expect_err("incarnation 2 serves by no revision");
    assert!(unknown.to_string().contains("d2 in a (serves by revision 0)"), "{unknown}");
}

#[test]
fn drain_marks_the_vm_and_undo_removes_the_mark() {
    let mut harness = CtlHarness::new();
    let refused = harness.run(&["drain", "vm-9"]).expect_err("no such VM");
    assert_eq!(refused.code(), outcome::REFUSED);
    harness.add_daemon("vm-1", 100, &[1], &[]);
    harness.run(&["drain", "vm-1"]).expect("it is marked");
    let vm: id::VmId = "vm-1".parse().expect("a VM");
    let key = table::RowKey::new(&revision::drain_key(&vm));
    assert!(task::block_on(harness.table.read(&key)).expect("the table responds").is_some());
    harness.run(&["drain", "--undo", "vm-1"]).expect("the mark is removed");
    assert!(task::block_on(harness.table.read(&key)).expect("the table responds").is_none());
}

#[test]
fn drain_without_a_response_is_not_reported_as_without_effect() {
    let mut harness = CtlHarness::new();
    harness.add_daemon("vm-1", 100, &[1], &[]);
    harness.table.set_faults(write_faults(|store| store.lost_answers = 1));
    let unknown = harness.run(&["drain", "vm-1"]).expect_err("the response is lost");
    assert_eq!(unknown.code(), outcome::UNKNOWN);
    assert!(!unknown.to_string().contains("nothing was changed"), "{unknown}");
    assert!(unknown.to_string().contains("may have run"), "{unknown}");
}

#[test]
fn concurrent_operators_get_their_own_outcomes() {
    let table: sync::Arc<memory::MemoryTable> = sync::Arc::default();
    let mut first = CtlHarness { table: table.clone(), ..CtlHarness::new() };
    first.apply(1).expect("the records are written");
    let second = task::spawn_blocking(move || {
        let mut harness = CtlHarness { table, ..CtlHarness::new() };
        harness.run(&["withdraw", "--no-wait", "workspace/district-clinics"]).is_ok()
    });
    let file = example(2);
    let arguments = ["apply", "--no-wait", file.to_str().expect("the path is text")];
    let applied = first.run(&arguments);
    let withdrawn = task::block_on(second);
    let written = 1 + u64::from(applied.is_ok()) + u64::from(withdrawn);
    assert_eq!(first.head(), written, "{applied:?} {withdrawn}");
}
