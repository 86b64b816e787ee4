//! Links between availability zones, which tests can block.
//!
//! VMs reach an address in another zone through a relay that forwards bytes. A relay determines the
//! zone of the process at the other end of a connection, so a blocked link between two zones
//! affects neither the links within these zones nor the links to a third zone. Bytes that a blocked
//! link delays arrive later, as TCP retransmits them once the network recovers. New connections are
//! closed immediately: a relay can't prevent the system from accepting them, as a failed network
//! would.

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

use crate::sockets;

/// Interval at which a relay checks whether a blocked link is open again.
const BLOCK_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of bytes that a relay forwards at a time.
const CHUNK_BYTES: usize = 16_384;

/// Links between the zones of one cluster.
#[derive(Clone, Debug)]
pub struct ZoneLinks {
    shared: sync::Arc<SharedLinks>,
    lookups: mpsc::Sender<ZoneLookup>,
}

#[derive(Debug, Default)]
struct SharedLinks {
    has_blocks: atomic::AtomicBool,
    state: sync::Mutex<LinkState>,
}

#[derive(Clone, Debug, Default)]
struct LinkState {
    zones: collections::BTreeMap<u32, String>,
    default_zone: String,
    blocked: collections::BTreeSet<(String, String)>,
}

/// Request for the zone of the process that has a connection from `local` to `remote`.
#[derive(Debug)]
struct ZoneLookup {
    local: net::SocketAddr,
    remote: net::SocketAddr,
    zone_sender: channel::Sender<String>,
}

impl ZoneLinks {
    /// Creates links of which none is blocked. Processes without an assigned zone belong to
    /// `default_zone`.
    pub fn start(default_zone: &str) -> Self {
        let state = LinkState { default_zone: default_zone.to_owned(), ..LinkState::default() };
        let shared = SharedLinks { state: sync::Mutex::new(state), ..SharedLinks::default() };
        let shared = sync::Arc::new(shared);
        let (lookups, lookup_receiver) = mpsc::channel();
        let thread_links = shared.clone();
        thread::spawn(move || serve_lookups(&thread_links, &lookup_receiver));
        ZoneLinks { shared, lookups }
    }

    /// Starts a relay to `target`, which is in the zone, and returns the relay's address.
    ///
    /// # Panics
    ///
    /// Panics if no loopback port is free.
    pub fn relay(&self, zone: &str, target: net::SocketAddr) -> net::SocketAddr {
        let address = samphiremoor_testkit::free_address();
        let bound = task::block_on(async_net::TcpListener::bind(address));
        let listener = bound.expect("the port was free a moment ago");
        let relay = ZoneRelay { links: self.clone(), address, zone: zone.to_owned(), target };
        task::spawn(relay.run(listener));
        address
    }

    /// Assigns a process to a zone.
    pub fn set_zone(&self, process: u32, zone: &str) {
        self.shared.lock().zones.insert(process, zone.to_owned());
    }

    /// Blocks all bytes from one zone to the other.
    pub fn block(&self, from: &str, to: &str) {
        self.shared.lock().blocked.insert((from.to_owned(), to.to_owned()));
        self.shared.has_blocks.store(true, atomic::Ordering::Release);
    }

    /// Unblocks all links.
    pub fn heal(&self) {
        self.shared.lock().blocked.clear();
        self.shared.has_blocks.store(false, atomic::Ordering::Release);
    }

    fn has_blocks(&self) -> bool {
        self.shared.has_blocks.load(atomic::Ordering::Acquire)
    }

    fn is_blocked(&self, from: &str, to: &str) -> bool {
        let link = (from.to_owned(), to.to_owned());
        self.has_blocks() && self.shared.lock().blocked.contains(&link)
    }

    async fn zone_of(&self, local: net::SocketAddr, remote: net::SocketAddr) -> String {
        let (zone_sender, zone_receiver) = channel::bounded(1);
        let sent = self.lookups.send(ZoneLookup { local, remote, zone_sender });
        sent.expect("the lookup thread runs as long as links exist");
        zone_receiver.recv().await.expect("every lookup gets a zone")
    }
}

impl SharedLinks {
    fn lock(&self) -> sync::MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Relay from its own address to a target address.
#[derive(Clone, Debug)]
struct ZoneRelay {
    links: ZoneLinks,
    address: net::SocketAddr,
    zone: String,
    target: net::SocketAddr,
}

/// Connection to a relay. The zone of the connecting process is determined at the first check of
/// a blocked link.
#[derive(Debug)]
struct RelayedConnection {
    address: net::SocketAddr,
    zone: sync::OnceLock<String>,
}

/// Sender of bytes on a relayed connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ByteOrigin {
    Client,
    Target,
}

impl ZoneRelay {
    async fn run(self, listener: async_net::TcpListener) {
        while let Ok((stream, address)) = listener.accept().await {
            let connection = RelayedConnection { address, zone: sync::OnceLock::new() };
            task::spawn(self.clone().forward(stream, connection));
        }
    }

    /// Forwards bytes in both directions until one end closes.
    async fn forward(self, client_stream: async_net::TcpStream, connection: RelayedConnection) {
        if self.links.has_blocks() && self.must_refuse(&connection).await {
            return;
        }
        let Ok(target_stream) = async_net::TcpStream::connect(self.target).await else { return };
        let to_target =
            self.forward_one_way(&client_stream, &target_stream, &connection, ByteOrigin::Client);
        let to_client =
            self.forward_one_way(&target_stream, &client_stream, &connection, ByteOrigin::Target);
        future::or(to_target, to_client).await;
        // Fails only if an end is already closed.
        let _ = client_stream.shutdown(net::Shutdown::Both);
        let _ = target_stream.shutdown(net::Shutdown::Both);
    }

    async fn forward_one_way(
        &self,
        mut from: &async_net::TcpStream,
        mut to: &async_net::TcpStream,
        connection: &RelayedConnection,
        origin: ByteOrigin,
    ) {
        let mut chunk = vec![0; CHUNK_BYTES];
        while let Ok(count) = from.read(&mut chunk).await {
            while self.links.has_blocks() && self.is_blocked(connection, origin).await {
                task::sleep(BLOCK_POLL_INTERVAL).await;
            }
            if count == 0 || to.write_all(&chunk[..count]).await.is_err() {
                return;
            }
        }
    }

    /// Returns whether a new connection must fail: TCP needs both directions to establish it.
    async fn must_refuse(&self, connection: &RelayedConnection) -> bool {
        self.is_blocked(connection, ByteOrigin::Client).await
            || self.is_blocked(connection, ByteOrigin::Target).await
    }

    async fn is_blocked(&self, connection: &RelayedConnection, origin: ByteOrigin) -> bool {
        if connection.zone.get().is_none() {
            let zone = self.links.zone_of(connection.address, self.address).await;
            // Both directions may determine the zone concurrently, with the same result.
            let _ = connection.zone.set(zone);
        }
        let client_zone = connection.zone.get().expect("the zone is set above");
        match origin {
            ByteOrigin::Client => self.links.is_blocked(client_zone, &self.zone),
            ByteOrigin::Target => self.links.is_blocked(&self.zone, client_zone),
        }
    }
}

/// Handles zone lookups until all links are dropped. Pending lookups are batched, so that one scan
/// of the processes' sockets serves all of them.
fn serve_lookups(shared: &SharedLinks, lookup_receiver: &mpsc::Receiver<ZoneLookup>) {
    while let Ok(first) = lookup_receiver.recv() {
        let pending: Vec<_> = iter::once(first).chain(lookup_receiver.try_iter()).collect();
        let state = shared.lock().clone();
        let zones = zones_by_socket(&state.zones);
        for lookup in pending {
            let socket = sockets::inode_of(lookup.local, lookup.remote);
            let zone = socket.and_then(|socket| zones.get(&socket).copied());
            // Fails only if the connection has ended in the meantime.
            let _ = lookup.zone_sender.try_send(zone.unwrap_or(&state.default_zone).clone());
        }
    }
}

/// Returns the zones of the assigned processes by the inodes of their sockets.
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
