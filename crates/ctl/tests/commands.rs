//! Commands against a platform in memory and daemons that answer from a table.

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

/// A daemon's answers, one for each time that it is asked; the last one stays.
#[derive(Clone, Debug, Default)]
struct FakeDaemon {
    revisions: collections::VecDeque<Option<u64>>,
    knows: Vec<gossip::DaemonInfo>,
}

#[derive(Debug, Default)]
struct FakeAsker {
    daemons: sync::Mutex<collections::HashMap<net::SocketAddr, FakeDaemon>>,
}

#[async_trait]
impl survey::DaemonAsker for FakeAsker {
    async fn ask(
        &self,
        address: net::SocketAddr,
        question: message::PeerRequest,
    ) -> Option<message::PeerResponse> {
        assert_eq!(question, message::PeerRequest::InForce);
        let mut daemons = self.daemons.lock().expect("no test panics while it holds the lock");
        let daemon = daemons.get_mut(&address)?;
        let revision = match daemon.revisions.len() {
            1 => daemon.revisions[0],
            _ => daemon.revisions.pop_front().flatten(),
        };
        let own = daemon.knows.first().cloned().expect("a daemon knows itself");
        Some(message::PeerResponse::InForce(message::InForceReport {
            daemon: own.id,
            zone: own.zone,
            revision: quantity::RevisionNumber::new(revision?),
            age: time::Millis::default(),
            known_daemons: daemon.knows.clone(),
        }))
    }
}

/// A daemon of a VM, in one of its lives.
fn daemon_news(name: &str, zone: &str, port: u16, life: u64) -> gossip::DaemonInfo {
    let entry = entry_vm(name, zone, port);
    let mut news = daemons::from_vm_entry(&entry).expect("an entry VM");
    news.status.incarnation = quantity::Incarnation::new(life);
    news
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

struct Bench {
    table: sync::Arc<memory::MemoryTable>,
    cloud: sync::Arc<memory::MemoryCloud>,
    asker: sync::Arc<FakeAsker>,
    out: Vec<u8>,
    progress: Vec<u8>,
}

impl Bench {
    fn new() -> Self {
        Bench {
            table: sync::Arc::default(),
            cloud: sync::Arc::new(memory::MemoryCloud::new(time::Millis::default())),
            asker: sync::Arc::default(),
            out: Vec::new(),
            progress: Vec::new(),
        }
    }

    /// A listed daemon that reports these revisions, one after the other, and knows these daemons.
    fn add_daemon(
        &mut self,
        name: &str,
        port: u16,
        revisions: &[u64],
        knows: &[gossip::DaemonInfo],
    ) {
        let entry = entry_vm(name, "a", port);
        self.cloud.with_fleet(|fleet, now| fleet.put(entry, now));
        self.add_unlisted(name, port, revisions, knows);
    }

    fn add_unlisted(
        &mut self,
        name: &str,
        port: u16,
        revisions: &[u64],
        knows: &[gossip::DaemonInfo],
    ) {
        let own = daemon_news(name, "a", port, 1);
        let address = own.control_address;
        let knows = [own].into_iter().chain(knows.iter().cloned()).collect();
        let revisions = revisions.iter().map(|revision| Some(*revision)).collect();
        let mut daemons = self.asker.daemons.lock().expect("no test panics while it holds it");
        daemons.insert(address, FakeDaemon { revisions, knows });
    }

    fn run(&mut self, words: &[&str]) -> Result<(), outcome::CtlError> {
        use argh::FromArgs as _;
        let args = args::CtlArgs::from_args(&["samphiremoorctl"], words).expect("the words parse");
        let ports = command::CtlPorts {
            table: self.table.clone(),
            cloud: self.cloud.clone(),
            asker: self.asker.clone(),
        };
        let context = command::CommandContext {
            author: sync::Arc::from("ana"),
            wait: time::Millis::new(400),
            seeds: Vec::new(),
            form: args.output,
        };
        let command = args.command.expect("a command");
        let mut runner =
            command::CommandRunner::new(ports, context, &mut self.out, &mut self.progress);
        task::block_on(runner.run(&command))
    }

    fn apply(&mut self, version: u32) -> Result<(), outcome::CtlError> {
        let file = example(version);
        self.run(&["apply", "--no-wait", file.to_str().expect("the path is text")])
    }

    fn head(&self) -> u64 {
        let row = task::block_on(self.table.read(&table::RowKey::new(revision::HEAD_KEY)));
        let row = row.expect("the table answers");
        row.map_or(0, |row| revision::HeadRow::parse(&row.value).expect("a head").revision.get())
    }

    fn printed(&self) -> String {
        String::from_utf8_lossy(&self.out).into_owned()
    }
}

/// Fails the next writes in this way.
fn write_faults(change: impl FnOnce(&mut faults::StoreFaults)) -> faults::StoreFaults {
    let mut store = faults::StoreFaults::default();
    change(&mut store);
    store
}

#[test]
fn records_are_served_as_they_were_written() {
    let mut bench = Bench::new();
    bench.apply(1).expect("version 1 is written");
    bench.apply(2).expect("version 2 is written");
    bench.run(&["get", "service/courier"]).expect("the record is there");
    assert!(bench.printed().contains("schema = 1"), "{}", bench.printed());
    bench.run(&["get", "service/case-files"]).expect("the record is there");
    assert!(bench.printed().contains("schema = 2"), "{}", bench.printed());
    bench.out.clear();
    bench.run(&["--output", "json", "get"]).expect("the records are there");
    let page: serde_json::Value = serde_json::from_slice(&bench.out).expect("JSON");
    assert_eq!(page["revision"], 2);
    assert_eq!(page["records"].as_array().map(Vec::len), Some(10));
}

#[test]
fn withdrawing_what_is_needed_is_refused() {
    let mut bench = Bench::new();
    bench.apply(1).expect("the records are written");
    let refused = bench.run(&["withdraw", "pool/courier-pool"]).expect_err("the service needs it");
    assert_eq!(refused.code(), outcome::REFUSED);
    assert!(refused.to_string().contains("service/courier: no pool serves it"), "{refused}");
    assert_eq!(bench.head(), 1);
}

#[test]
fn change_without_a_change_writes_nothing() {
    let mut bench = Bench::new();
    bench.apply(1).expect("the records are written");
    bench.apply(1).expect("nothing is to be done");
    assert_eq!(bench.head(), 1);
}

#[test]
fn lost_answer_after_the_write_is_found_out() {
    let mut bench = Bench::new();
    bench.table.set_faults(write_faults(|store| store.lost_answers = 1));
    bench.apply(1).expect("the write took effect");
    assert_eq!(bench.head(), 1);
}

#[test]
fn lost_request_is_sent_again() {
    let mut bench = Bench::new();
    bench.table.set_faults(write_faults(|store| store.lost_requests = 2));
    bench.apply(1).expect("the write took effect in the end");
    assert_eq!(bench.head(), 1);
}

#[test]
fn table_outage_changes_nothing() {
    let mut bench = Bench::new();
    bench.table.set_faults(write_faults(|store| store.unavailable = true));
    let refused = bench.apply(1).expect_err("the table does not answer");
    assert_eq!(refused.code(), outcome::REFUSED);
    assert!(refused.to_string().contains("nothing was changed"), "{refused}");
}

#[test]
fn answers_that_stay_lost_are_not_known() {
    let mut bench = Bench::new();
    bench.table.set_faults(write_faults(|store| store.lost_requests = 100));
    let unknown = bench.apply(1).expect_err("no answer comes");
    assert_eq!(unknown.code(), outcome::NOT_KNOWN);
    assert!(unknown.to_string().contains("samphiremoorctl history"), "{unknown}");
}

#[test]
fn change_of_a_record_that_changed_since_is_refused() {
    let mut bench = Bench::new();
    bench.apply(1).expect("the records are written");
    bench.apply(2).expect("other records are written");
    bench.run(&["withdraw", "--no-wait", "workspace/district-clinics"]).expect("it is withdrawn");
    let file = example(1);
    let file = file.to_str().expect("the path is text");
    let refused = bench.run(&["apply", "--base", "2", file]).expect_err("it changed since");
    assert!(refused.to_string().contains("workspace/district-clinics"), "{refused}");
    assert_eq!(refused.code(), outcome::REFUSED);
    bench.run(&["apply", "--no-wait", "--base", "3", file]).expect("the operator saw it");
    assert_eq!(bench.head(), 4);
}

#[test]
fn change_is_accepted_once_every_known_daemon_serves_by_it() {
    let mut bench = Bench::new();
    // The list lacks the second daemon, and it is slow.
    let unlisted = daemon_news("d2", "a", 200, 1);
    bench.add_daemon("d1", 100, &[0, 1], std::slice::from_ref(&unlisted));
    bench.add_unlisted("d2", 200, &[0, 0, 0, 1], &[]);
    let file = example(1);
    bench.run(&["apply", file.to_str().expect("the path is text")]).expect("it is accepted");
    let progress = String::from_utf8_lossy(&bench.progress).into_owned();
    assert!(progress.contains("in force: a 0/2"), "{progress}");
    assert!(progress.contains("in force: a 2/2"), "{progress}");
}

#[test]
fn change_that_a_daemon_lacks_is_not_called_accepted() {
    let mut bench = Bench::new();
    bench.add_daemon("d1", 100, &[1], &[daemon_news("d2", "b", 200, 1)]);
    let file = example(1);
    let words = ["apply", file.to_str().expect("the path is text")];
    let unknown = bench.run(&words).expect_err("d2 does not answer");
    assert_eq!(unknown.code(), outcome::NOT_KNOWN);
    assert!(unknown.to_string().contains("d2 in b (does not answer)"), "{unknown}");
    assert_eq!(bench.head(), 1);
}

#[test]
fn vm_that_leaves_the_list_is_not_awaited() {
    let mut bench = Bench::new();
    bench.add_daemon("d1", 100, &[1], &[]);
    let entry = entry_vm("d2", "a", 200);
    let cloud = bench.cloud.clone();
    let vm = entry.id.clone();
    cloud.with_fleet(|fleet, now| fleet.put(entry, now));
    let removing = task::spawn(async move {
        task::sleep(std::time::Duration::from_millis(100)).await;
        cloud.with_fleet(|fleet, now| fleet.remove(&vm, now));
    });
    let file = example(1);
    bench.run(&["apply", file.to_str().expect("the path is text")]).expect("d1 has it");
    task::block_on(removing);
}

#[test]
fn daemon_that_started_anew_after_its_answer_is_asked_again() {
    let mut bench = Bench::new();
    // d2 answered in its first life; d3 knows it in a second one, which has no revision yet.
    let second_life = daemon_news("d2", "a", 200, 2);
    bench.add_daemon("d1", 100, &[1], &[daemon_news("d3", "a", 300, 1)]);
    bench.add_daemon("d2", 200, &[1, 0], &[]);
    bench.add_unlisted("d3", 300, &[1], &[second_life]);
    let file = example(1);
    let words = ["apply", file.to_str().expect("the path is text")];
    let unknown = bench.run(&words).expect_err("the second life serves by no revision");
    assert!(unknown.to_string().contains("d2 in a (serves by revision 0)"), "{unknown}");
}

#[test]
fn draining_marks_the_vm_and_undo_takes_the_mark_back() {
    let mut bench = Bench::new();
    let refused = bench.run(&["drain", "vm-9"]).expect_err("no such VM");
    assert_eq!(refused.code(), outcome::REFUSED);
    bench.add_daemon("vm-1", 100, &[1], &[]);
    bench.run(&["drain", "vm-1"]).expect("it is marked");
    let vm: id::VmId = "vm-1".parse().expect("a VM");
    let key = table::RowKey::new(&revision::drain_key(&vm));
    assert!(task::block_on(bench.table.read(&key)).expect("the table answers").is_some());
    bench.run(&["drain", "--undo", "vm-1"]).expect("the mark is taken back");
    assert!(task::block_on(bench.table.read(&key)).expect("the table answers").is_none());
}

#[test]
fn racing_operators_each_learn_their_own_outcome() {
    let table: sync::Arc<memory::MemoryTable> = sync::Arc::default();
    let mut first = Bench { table: table.clone(), ..Bench::new() };
    first.apply(1).expect("the records are written");
    let second = task::spawn_blocking(move || {
        let mut bench = Bench { table, ..Bench::new() };
        bench.run(&["withdraw", "--no-wait", "workspace/district-clinics"]).is_ok()
    });
    let file = example(2);
    let words = ["apply", "--no-wait", file.to_str().expect("the path is text")];
    let applied = first.run(&words);
    let withdrawn = task::block_on(second);
    let written = 1 + u64::from(applied.is_ok()) + u64::from(withdrawn);
    assert_eq!(first.head(), written, "{applied:?} {withdrawn}");
}
