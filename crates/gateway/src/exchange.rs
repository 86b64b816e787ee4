//! Digests between the daemons.
//!
//! Of two daemons the one with the lower name asks and both learn; a daemon that was not asked for a
//! while asks by itself. Daemons find each other through rows of their own in the table.

use std::cell;
use std::collections;
use std::net::SocketAddr;
use std::rc;
use std::sync;

use async_std::channel;
use async_std::task;
use samphiremoor_base::event;
use samphiremoor_base::id;
use samphiremoor_base::log_event;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_fleet::digest;
use samphiremoor_peers::link;
use samphiremoor_peers::server;
use samphiremoor_platform::table;
use serde::Deserialize;
use serde::Serialize;

use crate::core;

/// Interval between two exchanges with a peer: load that is older misleads placement.
const EXCHANGE_INTERVAL: time::Millis = time::Millis::new(300);
/// Time for one exchange; peers are some milliseconds away.
const EXCHANGE_TIME: time::Millis = time::Millis::new(500);
/// A peer that did not ask for this long is asked.
const SILENT_TIME: time::Millis = time::Millis::new(1_500);
/// A peer that was not heard for this long is asked seldom, and after the second time forgotten.
const LOST_TIMES: (time::Millis, time::Millis) =
    (time::Millis::new(5_000), time::Millis::new(60_000));
/// Interval between questions to a peer that was lost.
const LOST_INTERVAL: time::Millis = time::Millis::new(2_000);
/// Interval between reads of the rows of daemons; newcomers make themselves known before.
const ROWS_INTERVAL: time::Millis = time::Millis::new(20_000);
/// Interval between tries to write the own row.
const ROW_PAUSE: time::Millis = time::Millis::new(1_000);
/// Digests that wait to be taken over.
const INBOX_SIZE: usize = 512;
/// Prefix of the rows of daemons.
const ROW_PREFIX: &str = "daemon/";
/// Most rows that are read at once.
const ROW_LIMIT: usize = 500;

/// A question between daemons.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub enum PeerQuestion {
    /// The asker's digest, for the other one's.
    Digest(Box<digest::PeerDigest>),
    /// The text of the policy in force.
    Policy,
}

/// The answer.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub enum PeerAnswer {
    /// The digest, once there is one.
    Digest(Option<Box<digest::PeerDigest>>),
    /// The text of the policy, empty where there is none.
    Policy(Vec<u8>),
}

/// What the answering side knows; it runs on threads of its own.
struct PeerBoard {
    own: sync::Mutex<Option<Box<digest::PeerDigest>>>,
    policy: sync::Mutex<sync::Arc<[u8]>>,
    inbox: channel::Sender<Box<digest::PeerDigest>>,
}

impl server::PeerHandler for PeerBoard {
    type Question = PeerQuestion;
    type Answer = PeerAnswer;

    fn answer(&self, question: PeerQuestion) -> server::AnswerFuture<PeerAnswer> {
        let answer = match question {
            PeerQuestion::Digest(found) => {
                // A full inbox drops the digest; the next one follows in a moment.
                let _ = self.inbox.try_send(found);
                PeerAnswer::Digest(lock(&self.own).clone())
            }
            PeerQuestion::Policy => PeerAnswer::Policy(lock(&self.policy).to_vec()),
        };
        Box::pin(std::future::ready(answer))
    }
}

fn lock<T>(shared: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

struct KnownPeer {
    link: sync::Arc<link::PeerLink>,
    incarnation: quantity::Incarnation,
    heard: Option<time::MonotonicTime>,
    asked: Option<time::MonotonicTime>,
    added: time::MonotonicTime,
    is_asking: bool,
}

/// The peers and the exchange with them.
pub struct PeerExchange {
    core: rc::Rc<core::GatewayCore>,
    board: sync::Arc<PeerBoard>,
    peers: cell::RefCell<collections::BTreeMap<id::DaemonId, KnownPeer>>,
    duty: rc::Rc<cell::Cell<Option<quantity::FenceNumber>>>,
    duty_seen: rc::Rc<cell::Cell<Option<time::MonotonicTime>>>,
    is_fetching: cell::Cell<bool>,
    _server: server::PeerServer,
}

/// Row of a daemon.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
struct DaemonRow {
    address: SocketAddr,
}

/// What duties and peers tell each other.
#[derive(Clone, Default)]
pub struct DutySigns {
    /// Fencing number that this daemon holds.
    pub own: rc::Rc<cell::Cell<Option<quantity::FenceNumber>>>,
    /// When a peer last said that it holds the lease.
    pub peer_at: rc::Rc<cell::Cell<Option<time::MonotonicTime>>>,
}

/// Starts the exchange.
///
/// # Errors
///
/// Fails where the address for peers can't be listened on.
pub fn start(
    core: &rc::Rc<core::GatewayCore>,
    signs: &DutySigns,
) -> Result<(), server::ListenError> {
    let (inbox, digests) = channel::bounded(INBOX_SIZE);
    let board = sync::Arc::new(PeerBoard {
        own: sync::Mutex::new(None),
        policy: sync::Mutex::new(sync::Arc::from(&[][..])),
        inbox,
    });
    let server = server::PeerServer::start(core.settings.listen.peers, board.clone())?;
    let exchange = rc::Rc::new(PeerExchange {
        core: core.clone(),
        board,
        peers: cell::RefCell::new(collections::BTreeMap::new()),
        duty: signs.own.clone(),
        duty_seen: signs.peer_at.clone(),
        is_fetching: cell::Cell::new(false),
        _server: server,
    });
    task::spawn_local(write_row(core.clone()));
    task::spawn_local(read_rows(exchange.clone()));
    task::spawn_local(take_digests(exchange.clone(), digests));
    task::spawn_local(run_rounds(exchange));
    Ok(())
}

async fn write_row(core: rc::Rc<core::GatewayCore>) {
    let key = table::RowKey::new(&format!("{ROW_PREFIX}{}", core.settings.daemon));
    let row = DaemonRow { address: core.settings.listen.peers };
    let value = serde_json::to_string(&row).unwrap_or_default();
    loop {
        let transaction = table::TableTransaction {
            write_id: write_id(&core),
            conditions: Vec::new(),
            writes: vec![table::RowWrite::Put(key.clone(), value.as_str().into())],
        };
        match core.adapter.table.commit(&transaction).await {
            Ok(_) => return,
            Err(cause) => {
                log::debug!("the daemon's row is not written ({cause}); it is tried again");
                task::sleep(ROW_PAUSE.to_duration()).await;
            }
        }
    }
}

/// Names a transaction in logs.
pub fn write_id(core: &core::GatewayCore) -> id::WriteId {
    let text = format!("{}-{}", core.settings.daemon, core.now().get());
    // The daemon's name is an identifier, and so is this.
    text.parse().unwrap_or_else(|_| "write".parse().expect("the text is an identifier"))
}

async fn read_rows(exchange: rc::Rc<PeerExchange>) {
    loop {
        let core = &exchange.core;
        let pause = match core.adapter.table.scan(ROW_PREFIX, None, ROW_LIMIT).await {
            Ok(rows) => {
                for row in rows {
                    exchange.add_row(&row);
                }
                ROWS_INTERVAL
            }
            Err(cause) => {
                log::debug!("the daemons' rows are not read ({cause}); it is tried again");
                ROW_PAUSE
            }
        };
        task::sleep(pause.to_duration()).await;
    }
}

async fn take_digests(
    exchange: rc::Rc<PeerExchange>,
    digests: channel::Receiver<Box<digest::PeerDigest>>,
) {
    while let Ok(found) = digests.recv().await {
        exchange.take(&found);
    }
}

async fn run_rounds(exchange: rc::Rc<PeerExchange>) {
    loop {
        let own = Box::new(exchange.own_digest());
        *lock(&exchange.board.own) = Some(own.clone());
        *lock(&exchange.board.policy) = exchange.core.state.borrow().policy_text.clone();
        for (daemon, link) in exchange.due() {
            task::spawn_local(ask(exchange.clone(), daemon, link, own.clone()));
        }
        task::sleep(EXCHANGE_INTERVAL.to_duration()).await;
    }
}

async fn ask(
    exchange: rc::Rc<PeerExchange>,
    daemon: id::DaemonId,
    link: sync::Arc<link::PeerLink>,
    own: Box<digest::PeerDigest>,
) {
    let answer = link.call(&PeerQuestion::Digest(own)).await;
    if let Some(peer) = exchange.peers.borrow_mut().get_mut(&daemon) {
        peer.is_asking = false;
    }
    if let Ok(PeerAnswer::Digest(Some(found))) = answer {
        exchange.take(&found);
    }
}

async fn fetch_policy(exchange: rc::Rc<PeerExchange>, link: sync::Arc<link::PeerLink>) {
    let answer = link.call(&PeerQuestion::Policy).await;
    exchange.is_fetching.set(false);
    let Ok(PeerAnswer::Policy(text)) = answer else { return };
    match exchange.core.adapter.records.parse_policy(&text) {
        Some(update) => exchange.core.adopt_policy(update, "peer"),
        None => log_event!(event::LogEvent::RecordRefused, source = "peer", bytes = text.len()),
    }
}

impl PeerExchange {
    fn add_row(&self, row: &table::TableRow) {
        let name = row.key.as_str().strip_prefix(ROW_PREFIX).unwrap_or_default();
        let (Ok(daemon), Ok(found)) = (name.parse(), serde_json::from_str::<DaemonRow>(&row.value))
        else {
            log::warn!("row {} is no daemon's row; delete it", row.key);
            return;
        };
        self.add(&daemon, found.address);
    }

    fn add(&self, daemon: &id::DaemonId, address: SocketAddr) {
        if *daemon == self.core.settings.daemon {
            return;
        }
        let mut peers = self.peers.borrow_mut();
        if peers.get(daemon).is_some_and(|peer| peer.link.address() == address) {
            return;
        }
        let peer = KnownPeer {
            link: sync::Arc::new(link::PeerLink::new(address, EXCHANGE_TIME)),
            incarnation: quantity::Incarnation::default(),
            heard: None,
            asked: None,
            added: self.core.now(),
            is_asking: false,
        };
        peers.insert(daemon.clone(), peer);
        log_event!(event::LogEvent::DaemonJoined, daemon = daemon, address = address);
    }

    /// Peers to ask now.
    fn due(&self) -> Vec<(id::DaemonId, sync::Arc<link::PeerLink>)> {
        let now = self.core.now();
        let own = &self.core.settings.daemon;
        let mut peers = self.peers.borrow_mut();
        peers.retain(|daemon, peer| {
            let is_kept = now.since(peer.heard.unwrap_or(peer.added)) < LOST_TIMES.1;
            if !is_kept {
                log_event!(event::LogEvent::DaemonGone, daemon = daemon);
            }
            is_kept
        });
        let mut due = Vec::new();
        for (daemon, peer) in peers.iter_mut() {
            let silent = now.since(peer.heard.unwrap_or(peer.added));
            let is_lost = silent >= LOST_TIMES.0;
            let is_turn = own < daemon || peer.heard.is_none() || silent >= SILENT_TIME;
            let is_soon = is_lost && peer.asked.is_some_and(|at| now.since(at) < LOST_INTERVAL);
            if peer.is_asking || !is_turn || is_soon {
                continue;
            }
            peer.is_asking = true;
            peer.asked = Some(now);
            due.push((daemon.clone(), peer.link.clone()));
        }
        due
    }

    fn own_digest(&self) -> digest::PeerDigest {
        let core = &self.core;
        let now = core.now();
        let mut state = core.state.borrow_mut();
        let loads = state.replicas.iter().filter(|known| known.own.running > 0);
        let loads = loads
            .map(|known| digest::LoadLine { replica: known.entry.id.clone(), load: known.own })
            .collect();
        let prompts = state
            .prompts
            .iter_mut()
            .map(|(service, meter)| digest::ServiceDemand {
                service: service.clone(),
                prompt_rate: meter.rate(now) as f32,
            })
            .collect();
        digest::PeerDigest {
            daemon: core.settings.daemon.clone(),
            incarnation: core.incarnation,
            address: core.settings.listen.peers,
            is_stopping: state.stopping.is_some(),
            revision: state.policy.as_ref().map(|policy| policy.revision).unwrap_or_default(),
            wall_ms: u64::try_from(state.wall.own(now)).unwrap_or(0),
            duty: self.duty.get(),
            loads,
            demands: state.quota.lines(now),
            prompts,
            usage: state.usage.own_lines(),
            left: state.left.iter().map(|(_, id, born)| (id.clone(), *born)).collect(),
        }
    }

    /// Takes over a peer's digest.
    fn take(self: &rc::Rc<Self>, found: &digest::PeerDigest) {
        let core = &self.core;
        let now = core.now();
        self.add(&found.daemon, found.address);
        let mut link = None;
        if let Some(peer) = self.peers.borrow_mut().get_mut(&found.daemon) {
            if found.incarnation < peer.incarnation {
                return;
            }
            peer.incarnation = found.incarnation;
            peer.heard = Some(now);
            link = Some(peer.link.clone());
        }
        if found.duty.is_some() {
            self.duty_seen.set(Some(now));
        }
        let mut state = core.state.borrow_mut();
        state.replicas.note_peer(&found.daemon, &found.loads, now);
        state.quota.note_peer(&found.daemon, found.incarnation, &found.demands, now);
        state.usage.note_peer(&found.daemon, found.incarnation, &found.usage);
        state.wall.note_peer(&found.daemon, found.wall_ms as i64, now);
        state.note_peer_prompts(&found.daemon, &found.prompts, now);
        let known = state.policy.as_ref().map_or(0, |policy| policy.revision.get());
        let mut left = Vec::new();
        for (replica, born) in &found.left {
            left.extend(state.replicas.note_left(replica, *born));
        }
        drop(state);
        core.note_changes(&left, "peer");
        if let Some(link) = link.filter(|_| found.revision.get() > known)
            && !self.is_fetching.replace(true)
        {
            task::spawn_local(fetch_policy(self.clone(), link));
        }
    }
}
