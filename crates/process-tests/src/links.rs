//! Links between availability zones, which tests cut.
//!
//! Each address that VMs of other zones use leads to a relay, which passes bytes on. A relay knows
//! the zone of the process at the other end of a connection, so that a cut between two zones
//! touches neither their inner links nor those to a third one. Bytes that are held back by a cut
//! come late, as TCP sends them again once the network is back. A new connection is closed at once:
//! a relay can't keep the system from accepting it, as a network that is down does.

use std::collections;
use std::fs;
use std::iter;
use std::net;
use std::sync;
use std::sync::atomic;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use async_std::channel;
use async_std::io::ReadExt as _;
use async_std::io::WriteExt as _;
use async_std::net as async_net;
use async_std::task;
use futures_lite::future;

use crate::ports;
use crate::sockets;

/// Time between two looks at a cut that holds bytes back.
const CUT_POLL: Duration = Duration::from_millis(20);

/// Bytes that a relay passes on at a time.
const CHUNK_BYTES: usize = 16_384;

/// The links of one cluster.
#[derive(Clone, Debug)]
pub struct ZoneLinks {
    shared: sync::Arc<SharedLinks>,
    questions: mpsc::Sender<ZoneQuestion>,
}

#[derive(Debug, Default)]
struct SharedLinks {
    has_cuts: atomic::AtomicBool,
    state: sync::Mutex<LinkState>,
}

#[derive(Clone, Debug, Default)]
struct LinkState {
    zones: collections::BTreeMap<u32, String>,
    outside: String,
    cuts: collections::BTreeSet<(String, String)>,
}

/// Asks for the zone of the process that has a connection from `local` to `remote`.
#[derive(Debug)]
struct ZoneQuestion {
    local: net::SocketAddr,
    remote: net::SocketAddr,
    answer: channel::Sender<String>,
}

impl ZoneLinks {
    /// Links without a cut; processes that are not placed later lie in the zone `outside`.
    pub fn start(outside: &str) -> Self {
        let state = LinkState { outside: outside.to_owned(), ..LinkState::default() };
        let shared = SharedLinks { state: sync::Mutex::new(state), ..SharedLinks::default() };
        let shared = sync::Arc::new(shared);
        let (questions, asked) = mpsc::channel();
        let answering = shared.clone();
        thread::spawn(move || answer_questions(&answering, &asked));
        ZoneLinks { shared, questions }
    }

    /// An address that leads to `target`, which lies in the zone.
    ///
    /// # Panics
    ///
    /// Panics where no loopback port is free.
    pub fn relay(&self, zone: &str, target: net::SocketAddr) -> net::SocketAddr {
        let address = ports::free_address();
        let listening = task::block_on(async_net::TcpListener::bind(address));
        let listener = listening.expect("the port was free just now");
        let relay = LinkRelay { links: self.clone(), address, zone: zone.to_owned(), target };
        task::spawn(relay.run(listener));
        address
    }

    /// Notes the zone of a process.
    pub fn place(&self, process: u32, zone: &str) {
        self.shared.lock().zones.insert(process, zone.to_owned());
    }

    /// From now on lets no byte pass from one zone to the other.
    pub fn cut(&self, from: &str, to: &str) {
        self.shared.lock().cuts.insert((from.to_owned(), to.to_owned()));
        self.shared.has_cuts.store(true, atomic::Ordering::Release);
    }

    /// Ends all cuts.
    pub fn mend(&self) {
        self.shared.lock().cuts.clear();
        self.shared.has_cuts.store(false, atomic::Ordering::Release);
    }

    fn has_cuts(&self) -> bool {
        self.shared.has_cuts.load(atomic::Ordering::Acquire)
    }

    fn is_cut(&self, from: &str, to: &str) -> bool {
        let cut = (from.to_owned(), to.to_owned());
        self.has_cuts() && self.shared.lock().cuts.contains(&cut)
    }

    async fn zone_of(&self, local: net::SocketAddr, remote: net::SocketAddr) -> String {
        let (answer, answered) = channel::bounded(1);
        let asking = self.questions.send(ZoneQuestion { local, remote, answer });
        asking.expect("the thread answers as long as there are links");
        answered.recv().await.expect("every question is answered")
    }
}

impl SharedLinks {
    fn lock(&self) -> sync::MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// One address that leads to another.
#[derive(Clone, Debug)]
struct LinkRelay {
    links: ZoneLinks,
    address: net::SocketAddr,
    zone: String,
    target: net::SocketAddr,
}

/// A connection to a relay. The zone of its process is looked up at the first cut.
#[derive(Debug)]
struct RelayedCaller {
    address: net::SocketAddr,
    zone: sync::OnceLock<String>,
}

/// Where bytes come from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ByteOrigin {
    Caller,
    Target,
}

impl LinkRelay {
    async fn run(self, listener: async_net::TcpListener) {
        while let Ok((stream, address)) = listener.accept().await {
            let caller = RelayedCaller { address, zone: sync::OnceLock::new() };
            task::spawn(self.clone().pass(stream, caller));
        }
    }

    /// Passes bytes on in both directions until one end closes.
    async fn pass(self, near: async_net::TcpStream, caller: RelayedCaller) {
        if self.links.has_cuts() && self.is_closed(&caller).await {
            return;
        }
        let Ok(far) = async_net::TcpStream::connect(self.target).await else { return };
        let there = self.pass_one_way(&near, &far, &caller, ByteOrigin::Caller);
        let back = self.pass_one_way(&far, &near, &caller, ByteOrigin::Target);
        future::or(there, back).await;
        // An end that is gone fails to be closed, which is as good.
        let _ = near.shutdown(net::Shutdown::Both);
        let _ = far.shutdown(net::Shutdown::Both);
    }

    async fn pass_one_way(
        &self,
        mut from: &async_net::TcpStream,
        mut to: &async_net::TcpStream,
        caller: &RelayedCaller,
        origin: ByteOrigin,
    ) {
        let mut chunk = vec![0; CHUNK_BYTES];
        while let Ok(count) = from.read(&mut chunk).await {
            while self.links.has_cuts() && self.is_cut(caller, origin).await {
                task::sleep(CUT_POLL).await;
            }
            if count == 0 || to.write_all(&chunk[..count]).await.is_err() {
                return;
            }
        }
    }

    /// Whether a new connection can't come about: TCP needs both directions for it.
    async fn is_closed(&self, caller: &RelayedCaller) -> bool {
        self.is_cut(caller, ByteOrigin::Caller).await
            || self.is_cut(caller, ByteOrigin::Target).await
    }

    async fn is_cut(&self, caller: &RelayedCaller, origin: ByteOrigin) -> bool {
        if caller.zone.get().is_none() {
            let zone = self.links.zone_of(caller.address, self.address).await;
            // Both directions may look it up at once, and find the same.
            let _ = caller.zone.set(zone);
        }
        let caller_zone = caller.zone.get().expect("the zone was set just now");
        match origin {
            ByteOrigin::Caller => self.links.is_cut(caller_zone, &self.zone),
            ByteOrigin::Target => self.links.is_cut(&self.zone, caller_zone),
        }
    }
}

/// Answers until no link is left. All questions that wait are answered from one look at the
/// processes.
fn answer_questions(shared: &SharedLinks, asked: &mpsc::Receiver<ZoneQuestion>) {
    while let Ok(first) = asked.recv() {
        let waiting: Vec<_> = iter::once(first).chain(asked.try_iter()).collect();
        let state = shared.lock().clone();
        let zones = zones_by_socket(&state.zones);
        for question in waiting {
            let socket = sockets::inode_of(question.local, question.remote);
            let zone = socket.and_then(|socket| zones.get(&socket).copied());
            // A connection that has ended meanwhile does not wait for the answer.
            let _ = question.answer.try_send(zone.unwrap_or(&state.outside).clone());
        }
    }
}

/// Zones of the placed processes by the inodes of their sockets.
fn zones_by_socket(
    zones: &collections::BTreeMap<u32, String>,
) -> collections::HashMap<u32, &String> {
    let mut by_socket = collections::HashMap::new();
    for (process, zone) in zones {
        let Ok(files) = fs::read_dir(format!("/proc/{process}/fd")) else { continue };
        let targets = files.flatten().filter_map(|file| fs::read_link(file.path()).ok());
        by_socket.extend(targets.filter_map(|target| {
            let inode = target.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?;
            Some((inode.parse().ok()?, zone))
        }));
    }
    by_socket
}
