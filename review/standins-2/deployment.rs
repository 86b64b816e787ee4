//! A small deployment on loopback addresses: the platform's stand-ins in this process, replicas and the
//! project's daemons as processes of their own.

use std::fmt::Write as _;
use std::fs;
use std::io::{self, BufRead as _};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::store;

pub const KILL: i32 = 9;
pub const CONTINUE: i32 = 18;
pub const STOP: i32 = 19;

/// Interval between the liveness reports of a replica.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Silent intervals after which the entry of a replica is removed.
const SILENT_HEARTBEATS: u32 = 3;
/// The machines of `ubfit-samphire.toml` by zone.
const MACHINES: [(&str, usize); 4] =
    [("bayanzurkh", 3), ("songino", 2), ("khan-uul", 2), ("sukhbaatar", 2)];
/// Longest time until all daemons are ready.
const MAX_START: Duration = Duration::from_secs(20);

extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// Sends a signal to a process that this one has started and not waited for.
fn signal(child: &Child, number: i32) {
    unsafe { kill(child.id() as i32, number) };
}

/// Returns an address that is free for TCP and UDP. Its port is none that the system gives to outgoing
/// connections, which might take it before it is listened on.
fn free_address() -> SocketAddr {
    static TRIED: AtomicU16 = AtomicU16::new(0);
    // Runs at the same time begin at different ports.
    let first = (std::process::id() % 180) as u16 * 100;
    loop {
        let port = 10_000 + (first + TRIED.fetch_add(1, Ordering::SeqCst)) % 18_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// What was sent, answered and run, with the seconds since the start.
pub struct Record {
    started: Instant,
    lines: Mutex<String>,
    path: PathBuf,
}

impl Record {
    pub fn new(path: &str) -> Arc<Self> {
        Arc::new(Record { started: Instant::now(), lines: Mutex::default(), path: path.into() })
    }

    pub fn add(&self, line: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.lines.lock().unwrap(), "{at:9.3} {line}");
    }

    /// Returns what follows `prefix` in the lines that have it.
    pub fn find(&self, prefix: &str) -> Vec<String> {
        let lines = self.lines.lock().unwrap();
        let found = lines.lines().filter_map(|line| line.get(10..)?.strip_prefix(prefix));
        found.map(str::to_owned).collect()
    }
}

/// A boot of a replica. It registers itself and reports that it lives until its process ends.
struct Replica {
    id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    script: Vec<String>,
    child: Option<Child>,
    born: u128,
    /// Whether its entry is in the store.
    is_listed: bool,
    died_at: Option<Instant>,
}

impl Replica {
    fn entry(&self, sequence: u64) -> String {
        let Replica { service, address, zone, born, .. } = self;
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":64,"state":"ready","cold_left_ms":0,"born":{born},"sequence":{sequence}}}"#
        )
    }
}

/// One daemon of the project.
pub struct Gateway {
    name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

pub struct Deployment {
    record: Arc<Record>,
    pub store: Arc<store::Store>,
    table: SocketAddr,
    cloud: SocketAddr,
    replicas: Arc<Mutex<Vec<Replica>>>,
    pub gateways: Vec<Gateway>,
    folder: PathBuf,
}

impl Deployment {
    /// Starts the platform, whose store holds this config.
    pub fn new(record: &Arc<Record>, config: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder can be made");
        let store = store::Store::new();
        store.put("op", "config", Some(config));
        let replicas: Arc<Mutex<Vec<Replica>>> = Arc::default();
        thread::spawn({
            let (store, replicas) = (store.clone(), replicas.clone());
            move || report_liveness(&store, &replicas)
        });
        Deployment {
            record: record.clone(),
            table: store.listen(),
            cloud: store::listen_cloud(),
            store,
            replicas,
            gateways: Vec::new(),
            folder,
        }
    }

    /// Starts a replica, which registers itself. `script` says how it answers. Returns its number.
    pub fn add_replica(&self, id: &str, service: &str, zone: &str, script: &[&str]) -> usize {
        let script: Vec<String> = script.iter().map(|word| word.to_string()).collect();
        self.start_replica(Replica {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: free_address(),
            script,
            child: None,
            born: 0,
            is_listed: true,
            died_at: None,
        })
    }

    /// Starts a replica that was killed once more: a new boot with a new id at the same address.
    pub fn reboot_replica(&self, index: usize, id: &str) -> usize {
        let replicas = self.replicas.lock().unwrap();
        let old = &replicas[index];
        let new = Replica {
            id: id.to_owned(),
            service: old.service.clone(),
            zone: old.zone.clone(),
            script: old.script.clone(),
            child: None,
            died_at: None,
            ..*old
        };
        drop(replicas);
        self.start_replica(new)
    }

    fn start_replica(&self, mut replica: Replica) -> usize {
        let mut child = Command::new(std::env::current_exe().expect("this program has a path"))
            .arg("replica")
            .arg(&replica.id)
            .arg(replica.address.to_string())
            .args(&replica.script)
            .stdout(Stdio::piped())
            .spawn()
            .expect("a replica can be started");
        let output = child.stdout.take().expect("the output is piped");
        let record = self.record.clone();
        thread::spawn(move || {
            for line in io::BufReader::new(output).lines().map_while(Result::ok) {
                record.add(&format!("replica: {line}"));
            }
        });
        replica.child = Some(child);
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        replica.born = since_epoch.map_or(0, |since| since.as_millis());
        while TcpStream::connect(replica.address).is_err() {
            thread::sleep(Duration::from_millis(5));
        }
        self.store.put("servers", &replica.id, Some(&replica.entry(0)));
        self.record.add(&format!("replica {} starts at {}", replica.id, replica.address));
        let mut replicas = self.replicas.lock().unwrap();
        replicas.push(replica);
        replicas.len() - 1
    }

    /// Removes the entry of a replica, which goes on serving.
    pub fn unlist_replica(&self, index: usize) {
        let mut replicas = self.replicas.lock().unwrap();
        replicas[index].is_listed = false;
        self.store.put("servers", &replicas[index].id, None);
        self.record.add(&format!("the entry of replica {} is removed", replicas[index].id));
    }

    /// Kills the process of a replica.
    pub fn kill_replica(&self, index: usize) {
        let mut replicas = self.replicas.lock().unwrap();
        let replica = &mut replicas[index];
        if let Some(mut child) = replica.child.take() {
            signal(&child, KILL);
            let _ = child.wait();
            replica.died_at = Some(Instant::now());
            self.record.add(&format!("replica {} is killed", replica.id));
        }
    }

    /// Starts a daemon on each machine and waits until all are ready; returns `false` if they don't
    /// become so.
    pub fn start_gateways(&mut self) -> bool {
        for (zone, count) in MACHINES {
            for number in 1..=count {
                self.add_gateway(&format!("front-{zone}-{number}"), zone);
            }
        }
        self.await_ready()
    }

    /// Adds a daemon, with settings as the template of the deploy file gives them on the machines of
    /// `ubfit-samphire.toml`.
    fn add_gateway(&mut self, name: &str, zone: &str) {
        let [callers, ready, peers, metrics] = [(); 4].map(|()| free_address());
        let (table, cloud) = (self.table, self.cloud);
        let settings = self.folder.join(format!("{name}.toml"));
        let text = format!(
            "daemon = \"{name}\"\navailability_zone = \"{zone}\"\nlog = \"info\"\n\n\
             [listen]\ncallers = \"{callers}\"\nready = \"{ready}\"\npeers = \"{peers}\"\nmetrics = \"{metrics}\"\n\n\
             [platform]\ntable = \"{table}\"\ncloud = \"{cloud}\"\nreports_usage = true\norders_replicas = true\n\n\
             [times]\nstop_s = 8\nlease_ms = 3000\ndeparture_ms = 2000\npolicy_ms = 2000\nusage_window_s = 5\nusage_due_s = 10\n\n\
             [shared]\nretry_ratio = 0.2\nretry_slack = 58\nquota_window_s = 8\nquota_over = 0.1\nquota_slack = 140000\nmemory_mb = 260\nmax_fds = 4100\n"
        );
        fs::write(&settings, text).expect("the settings can be written");
        self.gateways.push(Gateway { name: name.to_owned(), callers, ready, settings, child: None });
        self.start_gateway(self.gateways.len() - 1);
    }

    /// Starts a daemon by the command of the deploy file.
    pub fn start_gateway(&mut self, index: usize) {
        let gateway = &mut self.gateways[index];
        let path = self.folder.join(format!("{}.log", gateway.name));
        let log = fs::OpenOptions::new().create(true).append(true).open(path);
        let log = log.expect("the log can be written");
        let child = Command::new("target/release/samphiremoor-gateway")
            .arg("--settings")
            .arg(&gateway.settings)
            .env("ASYNC_STD_THREAD_COUNT", "1")
            .stdout(log.try_clone().expect("a descriptor is free"))
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => gateway.child = Some(child),
            Err(cause) => eprintln!("the daemon can't start ({cause}); run the build of the deploy file"),
        }
        self.record.add(&format!("daemon {} starts", gateway.name));
    }

    /// Sends a signal to a daemon, and waits for its end if it is killed.
    pub fn signal_gateway(&mut self, index: usize, number: i32) {
        let gateway = &mut self.gateways[index];
        let Some(child) = &mut gateway.child else { return };
        signal(child, number);
        self.record.add(&format!("daemon {} gets signal {number}", gateway.name));
        if number == KILL {
            let _ = child.wait();
            gateway.child = None;
        }
    }

    fn is_ready(&self, index: usize) -> bool {
        let Ok(mut connection) = http::Connection::connect(self.gateways[index].ready) else {
            return false;
        };
        let _ = connection.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
        let until = Instant::now() + Duration::from_secs(1);
        http::read_answer(&mut connection, until).status == 200
    }

    /// Waits until all daemons are ready; returns `false` if they don't become so.
    fn await_ready(&self) -> bool {
        let until = Instant::now() + MAX_START;
        while !(0..self.gateways.len()).all(|index| self.is_ready(index)) {
            if Instant::now() > until {
                self.record.add("the daemons don't become ready");
                return false;
            }
            thread::sleep(Duration::from_millis(100));
        }
        true
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let mut replicas = self.replicas.lock().unwrap_or_else(|state| state.into_inner());
        let gateways = self.gateways.iter_mut().map(|gateway| &mut gateway.child);
        for child in gateways.chain(replicas.iter_mut().map(|replica| &mut replica.child)) {
            if let Some(mut child) = child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = fs::write(&self.record.path, &*self.record.lines.lock().unwrap());
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Writes the entries of the replicas that live, and removes those that were silent for too long.
fn report_liveness(store: &store::Store, replicas: &Mutex<Vec<Replica>>) {
    for sequence in 1.. {
        thread::sleep(HEARTBEAT);
        for replica in replicas.lock().unwrap().iter_mut().filter(|replica| replica.is_listed) {
            match replica.died_at {
                None => store.put("servers", &replica.id, Some(&replica.entry(sequence))),
                Some(at) if at.elapsed() >= HEARTBEAT * SILENT_HEARTBEATS => {
                    replica.is_listed = false;
                    store.put("servers", &replica.id, None);
                }
                Some(_) => {}
            }
        }
    }
}
