//! A small deployment on loopback addresses: the platform, replicas and gateways.

use std::fs;
use std::io::{BufRead, BufReader, Write as _};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{Connection, wait_until};
use crate::link::Link;
use crate::now_ms;
use crate::store::Store;

/// What was sent, answered and run, for `record.txt`.
#[derive(Clone)]
pub struct Record(Arc<Mutex<(fs::File, Vec<String>)>>);

impl Record {
    pub fn create(folder: &str) -> std::io::Result<Record> {
        let file = fs::File::create(Path::new(folder).join("record.txt"))?;
        Ok(Record(Arc::new(Mutex::new((file, Vec::new())))))
    }

    /// Adds a line that begins with its time.
    pub fn add(&self, line: String) {
        let mut record = self.0.lock().expect("no thread panics with the lock");
        let _ = writeln!(record.0, "{line}");
        println!("{line}");
        record.1.push(line);
    }

    pub fn note(&self, text: &str) {
        self.add(format!("{} {text}", now_ms()));
    }

    /// Returns the first line that contains a text.
    pub fn find(&self, text: &str) -> Option<String> {
        let record = self.0.lock().expect("no thread panics with the lock");
        record.1.iter().find(|line| line.contains(text)).cloned()
    }
}

impl Record {
    /// Returns all lines that contain a text.
    pub fn find_all(&self, text: &str) -> Vec<String> {
        let record = self.0.lock().expect("no thread panics with the lock");
        record.1.iter().filter(|line| line.contains(text)).cloned().collect()
    }
}

/// Process that ends with this value.
pub struct Process(pub Child);

impl Process {
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([name, &self.0.id().to_string()]).status();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Replica and its row.
pub struct Replica {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    /// Link by which the gateways reach it; none if they reach it directly.
    pub link: Option<Link>,
    /// Whether it leaves.
    pub is_leaving: bool,
    /// Whether it fails a share of its bookings.
    pub is_failing: bool,
    pub process: Option<Process>,
    pub born: u128,
    pub sequence: u64,
}

/// Gateway.
pub struct Gateway {
    pub process: Process,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    /// Link to the store; none if it reaches that directly.
    pub store_link: Option<Link>,
}

/// The deployment. Its processes end with this value.
pub struct Deployment {
    pub store: Arc<Store>,
    pub replicas: Vec<Replica>,
    pub gateways: Vec<Gateway>,
    pub record: Record,
    folder: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns an address with a free port that the system doesn't give to outgoing connections.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let offset = std::process::id().wrapping_mul(97) + NEXT.fetch_add(1, Ordering::SeqCst);
        let address = SocketAddr::from(([127, 0, 0, 1], 18_000 + (offset % 14_000) as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

impl Deployment {
    /// Starts the platform with a config.
    pub fn start(record: Record, config: &str) -> Deployment {
        let folder = std::env::temp_dir().join(format!("samphiremoor-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder can be written");
        let store = Store::start();
        store.put("op", "config", config);
        Deployment { store, replicas: Vec::new(), gateways: Vec::new(), record, folder }
    }

    /// Adds a replica and starts it. The gateways reach it by a link if `has_link` is set.
    pub fn add_replica(&mut self, id: &str, service: &str, has_link: bool) {
        self.add_replica_with(id, service, has_link, false);
    }

    /// Adds a replica that fails a share of its bookings, and starts it.
    pub fn add_failing_replica(&mut self, id: &str, service: &str) {
        self.add_replica_with(id, service, false, true);
    }

    fn add_replica_with(&mut self, id: &str, service: &str, has_link: bool, is_failing: bool) {
        let (id, service) = (id.to_owned(), service.to_owned());
        let address = free_address();
        let link = has_link.then(|| Link::open(address).expect("a link opens"));
        self.replicas.push(Replica {
            id,
            service,
            address,
            link,
            is_leaving: false,
            is_failing,
            process: None,
            born: 0,
            sequence: 0,
        });
        self.start_replica(self.replicas.len() - 1);
    }

    /// Starts a replica, which writes its row.
    pub fn start_replica(&mut self, index: usize) {
        let replica = &mut self.replicas[index];
        let program = std::env::current_exe().expect("the program has a path");
        let mut command = Command::new(program);
        let mode = if replica.is_failing { "failing" } else { "sound" };
        command.args(["replica", &replica.address.to_string(), &replica.id, mode]);
        let mut child = command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().expect("a replica starts");
        let output = child.stdout.take().expect("the output is a pipe");
        let record = self.record.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                record.add(line);
            }
        });
        replica.process = Some(Process(child));
        replica.born = now_ms();
        self.write_rows();
    }

    /// Lets a replica leave. It says so in its answers, and its row does when this returns.
    pub fn leave(&mut self, index: usize) {
        let replica = &mut self.replicas[index];
        replica.is_leaving = true;
        let input = replica.process.as_mut().and_then(|process| process.0.stdin.as_mut());
        input.map(|input| input.write_all(b"leave\n"));
        self.write_rows();
    }

    /// Ends a replica that leaves, whose row goes with it.
    pub fn end_replica(&mut self, index: usize) {
        let replica = self.replicas.remove(index);
        self.store.remove("servers", &replica.id);
    }

    /// Writes the rows of the replicas that run.
    pub fn write_rows(&mut self) {
        for replica in self.replicas.iter_mut().filter(|replica| replica.process.is_some()) {
            replica.sequence += 1;
            let state = if replica.is_leaving { "draining" } else { "ready" };
            let Replica { id, service, address, link, born, sequence, .. } = replica;
            let address = link.as_ref().map_or(*address, |link| link.address);
            let row = format!(
                r#"{{"service":"{service}","address":"{address}","zone":"songino","version":"v1","slots":6,"state":"{state}","cold_left_ms":0,"sequence":{sequence},"born":{born}}}"#
            );
            self.store.put("servers", id, &row);
        }
    }

    /// Starts a gateway with the command of the deploy file, and the settings of its template.
    pub fn add_gateway(&mut self, name: &str) {
        self.add_gateway_with(name, None);
    }

    /// Starts a gateway that reaches the store by a link.
    pub fn add_linked_gateway(&mut self, name: &str) {
        let link = Link::open(self.store.address).expect("a link opens");
        self.add_gateway_with(name, Some(link));
    }

    fn add_gateway_with(&mut self, name: &str, store_link: Option<Link>) {
        let [callers, ready, peers, metrics] = [(); 4].map(|()| free_address());
        let platform = store_link.as_ref().map_or(self.store.address, |link| link.address);
        let settings = format!(
            r#"daemon = "{name}"
availability_zone = "songino"
log = "info"
[listen]
callers = "{callers}"
ready = "{ready}"
peers = "{peers}"
metrics = "{metrics}"
[platform]
table = "{platform}"
cloud = "{platform}"
reports_usage = true
orders_replicas = true
[times]
stop_s = 8
lease_ms = 3000
departure_ms = 2000
policy_ms = 2000
usage_window_s = 5
usage_due_s = 10
[shared]
retry_ratio = 0.2
retry_slack = 58
quota_window_s = 8
quota_over = 0.1
quota_slack = 140000
memory_mb = 260
max_fds = 4100
"#
        );
        let file = self.folder.join(format!("{name}.toml"));
        fs::write(&file, settings).expect("the temporary folder can be written");
        let log = fs::File::create(self.folder.join(format!("{name}.log"))).expect("as above");
        let mut command = Command::new("target/release/samphiremoor-gateway");
        command.arg("--settings").arg(&file).env("ASYNC_STD_THREAD_COUNT", "1");
        let errors = log.try_clone().expect("a file can be opened twice");
        let child = command.stdout(log).stderr(errors).spawn().expect("the gateway starts");
        self.gateways.push(Gateway { process: Process(child), callers, ready, store_link });
    }

    /// Waits until all gateways are ready.
    pub fn wait_ready(&self) -> bool {
        let is_ready = |gateway: &Gateway| {
            let Ok(mut connection) = Connection::open(gateway.ready) else { return false };
            let request = format!("GET /readyz HTTP/1.1\r\nHost: {}\r\n\r\n", gateway.ready);
            connection.write(request.as_bytes()).is_ok()
                && connection.message().is_ok_and(|response| response.status() == 200)
        };
        wait_until(Duration::from_secs(10), || self.gateways.iter().all(is_ready))
    }

    /// Returns the lines of a gateway's log that contain a text.
    pub fn log_lines(&self, name: &str, text: &str) -> Vec<String> {
        let log = fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}
