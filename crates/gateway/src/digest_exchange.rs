//! Digests between the daemons.
//!
//! Each daemon sends its digest to the others of its group in one datagram, several times a second; one
//! that is lost is made up for by the next. In a small deployment the group is everybody. In a large
//! one it is the zone; the first daemon of each zone sends the sum of its zone to those of the other
//! zones and hands on what it gets. The first daemon of a group whose reads succeed reads the table for
//! the others. Daemons find each other through rows of their own in the table.

use std::cell;
use std::collections;
use std::net::SocketAddr;
use std::rc;

use async_std::net;
use async_std::task;
use samphiremoor_base::event;
use samphiremoor_base::id;
use samphiremoor_base::log_event;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_fleet::digest;
use samphiremoor_fleet::load;
use samphiremoor_platform::table;
use serde::Deserialize;
use serde::Serialize;

use crate::core;
use crate::peer_records;

/// Interval between two digests: load that is older misleads placement.
const DIGEST_INTERVAL: time::Millis = time::Millis::new(300);
/// Interval between looks whether there is a change that peers should know at once.
const CHANGE_INTERVAL: time::Millis = time::Millis::new(100);
/// The same where a group is a zone; the processor time of a small VM bounds it.
const ZONE_INTERVAL: time::Millis = time::Millis::new(500);
/// Time after which all daemons know of what happened here: an interval and a datagram's way.
const GROUP_TOLD_TIME: time::Millis = time::Millis::new(450);
/// The same where sums of zones are handed on: three intervals.
const ZONE_TOLD_TIME: time::Millis = time::Millis::new(1_400);
/// Most daemons that all tell each other: above it, the messages of a daemon would grow with the
/// deployment.
const GROUP_LIMIT: usize = 16;
/// A daemon that was not heard for this long speaks for its zone no longer.
const SPEAKER_TIME: time::Millis = time::Millis::new(1_500);
/// Daemons of another zone that are told while its speaker is not known.
const SPEAKER_GUESSES: usize = 3;
/// A daemon that was not heard for this long is told seldom, and after the second time forgotten.
const LOST_TIMES: (time::Millis, time::Millis) =
    (time::Millis::new(5_000), time::Millis::new(60_000));
/// Interval between digests to a daemon that was lost.
const LOST_INTERVAL: time::Millis = time::Millis::new(2_000);
/// Interval between reads of the rows of daemons; newcomers make themselves known before.
const ROWS_INTERVAL: time::Millis = time::Millis::new(30_000);
/// Interval between tries to write or read rows while the table is away.
const ROW_PAUSE: time::Millis = time::Millis::new(1_000);
/// A peer reads the table for others while what it read is at most this old: one read may be late. What
/// others know is older by a digest's interval, and must be known within two seconds.
const READ_FRESH: time::Millis = time::Millis::new(900);
/// A peer that was not heard for this long reads for nobody.
const READER_TIME: time::Millis = time::Millis::new(1_200);
/// Largest datagram.
const DATAGRAM_BYTES: usize = 60 * 1024;
/// Prefix of the rows of daemons.
const ROW_PREFIX: &str = "daemon/";
/// Most rows that are read at once.
const ROW_LIMIT: usize = 500;

/// What duties and peers tell each other.
#[derive(Clone, Default)]
pub struct DutySigns {
    /// Version of the row by which this daemon holds the lease.
    pub own: rc::Rc<cell::Cell<Option<quantity::RowVersion>>>,
    /// The version that a peer last said it holds the lease by, and when.
    pub peer: rc::Rc<cell::Cell<Option<(quantity::RowVersion, time::MonotonicTime)>>>,
}

/// Row of a daemon.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
struct DaemonRow {
    address: SocketAddr,
    zone: id::ZoneId,
}

struct KnownPeer {
    address: SocketAddr,
    zone: id::ZoneId,
    heard: Option<time::MonotonicTime>,
    told: Option<time::MonotonicTime>,
    added: time::MonotonicTime,
    /// Its last digest, where it is of the own group.
    digest: Option<digest::PeerDigest>,
}

/// Who speaks for another zone.
struct ZoneSpeaker {
    daemon: id::DaemonId,
    address: SocketAddr,
    incarnation: quantity::Incarnation,
    heard: time::MonotonicTime,
    members: u32,
}

/// The peers and the exchange with them.
struct PeerExchange {
    core: rc::Rc<core::GatewayCore>,
    socket: net::UdpSocket,
    signs: DutySigns,
    state: cell::RefCell<ExchangeState>,
    is_fetching: cell::Cell<bool>,
}

#[derive(Default)]
struct ExchangeState {
    peers: collections::BTreeMap<id::DaemonId, KnownPeer>,
    speakers: collections::BTreeMap<id::ZoneId, ZoneSpeaker>,
    sum: digest::DigestAggregator,
}

/// Starts the exchange on a bound socket.
pub fn start(core: &rc::Rc<core::GatewayCore>, socket: net::UdpSocket, signs: &DutySigns) {
    let exchange = rc::Rc::new(PeerExchange {
        core: core.clone(),
        socket,
        signs: signs.clone(),
        state: cell::RefCell::default(),
        is_fetching: cell::Cell::new(false),
    });
    task::spawn_local(write_row(core.clone()));
    task::spawn_local(read_rows(exchange.clone()));
    task::spawn_local(receive(exchange.clone()));
    task::spawn_local(run_rounds(exchange));
}

/// Names a transaction in logs.
pub fn write_id(core: &core::GatewayCore) -> id::WriteId {
    let text = format!("{}-{}", core.settings.daemon, core.now().get());
    // The daemon's name is an identifier, and so is this.
    text.parse().unwrap_or_else(|_| "write".parse().expect("the text is an identifier"))
}

async fn write_row(core: rc::Rc<core::GatewayCore>) {
    let key = table::RowKey::new(&format!("{ROW_PREFIX}{}", core.settings.daemon));
    let zone = core.settings.availability_zone.clone();
    let row = DaemonRow { address: core.settings.listen.peers, zone };
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

async fn receive(exchange: rc::Rc<PeerExchange>) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        let (length, from) = match exchange.socket.recv_from(&mut buffer).await {
            Ok(found) => found,
            Err(cause) => {
                // A peer that is not up answers datagrams with errors.
                log::trace!("a datagram was refused ({cause})");
                continue;
            }
        };
        let bytes = &buffer[..length];
        let found: digest::PeerDigest = match postcard::from_bytes(bytes) {
            Ok(found) => found,
            Err(cause) => {
                log::warn!("{from} sent no digest ({cause}); run one version on all daemons");
                continue;
            }
        };
        exchange.take(found, from, bytes).await;
    }
}

async fn run_rounds(exchange: rc::Rc<PeerExchange>) {
    loop {
        let own = exchange.own_digest();
        let is_zonal = exchange.is_zonal();
        let group = exchange.group(is_zonal);
        exchange.send(&own, &group).await;
        if is_zonal && let Some((sum, speakers)) = exchange.zone_sum(&own) {
            exchange.send(&sum, &speakers).await;
        }
        exchange.count_daemons(is_zonal);
        exchange.choose_reader(is_zonal);
        exchange.await_round(if is_zonal { ZONE_INTERVAL } else { DIGEST_INTERVAL }).await;
    }
}

async fn fetch_policy(exchange: rc::Rc<PeerExchange>, address: SocketAddr) {
    let answer = peer_records::read_policy(address).await;
    exchange.is_fetching.set(false);
    let text = match answer {
        Ok(text) => text,
        Err(cause) => {
            log::debug!("{address} does not tell its policy ({cause}); the next digest asks anew");
            return;
        }
    };
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
        self.add(&daemon, found.address, &found.zone);
    }

    fn add(&self, daemon: &id::DaemonId, address: SocketAddr, zone: &id::ZoneId) {
        if *daemon == self.core.settings.daemon {
            return;
        }
        let mut state = self.state.borrow_mut();
        if state.peers.get(daemon).is_some_and(|peer| peer.address == address) {
            return;
        }
        let peer = KnownPeer {
            address,
            zone: zone.clone(),
            heard: None,
            told: None,
            added: self.core.now(),
            digest: None,
        };
        state.peers.insert(daemon.clone(), peer);
        log_event!(event::LogEvent::DaemonJoined, daemon = daemon, address = address);
    }

    fn is_zonal(&self) -> bool {
        self.state.borrow().peers.len() + 1 > GROUP_LIMIT
    }

    fn is_own_zone(&self, zone: &id::ZoneId) -> bool {
        *zone == self.core.settings.availability_zone
    }

    /// Members of the own group to tell now. Those that were not heard for long are forgotten.
    fn group(&self, is_zonal: bool) -> Vec<SocketAddr> {
        let now = self.core.now();
        let mut state = self.state.borrow_mut();
        state.peers.retain(|daemon, peer| {
            let is_in_group = !is_zonal || self.is_own_zone(&peer.zone);
            let silent = now.since(peer.heard.unwrap_or(peer.added));
            let is_kept = !is_in_group || silent < LOST_TIMES.1;
            if !is_kept {
                log_event!(event::LogEvent::DaemonGone, daemon = daemon);
            }
            is_kept
        });
        let mut due = Vec::new();
        for peer in state.peers.values_mut() {
            if is_zonal && !self.is_own_zone(&peer.zone) {
                continue;
            }
            let is_lost = now.since(peer.heard.unwrap_or(peer.added)) >= LOST_TIMES.0;
            let is_soon = is_lost && peer.told.is_some_and(|at| now.since(at) < LOST_INTERVAL);
            if !is_soon {
                peer.told = Some(now);
                due.push(peer.address);
            }
        }
        due
    }

    /// Whether this daemon speaks for its zone: the first one that lives does.
    fn is_speaker(&self, state: &ExchangeState, now: time::MonotonicTime) -> bool {
        let own = &self.core.settings.daemon;
        let mut before = state.peers.range(..own.clone());
        !before.any(|(_, peer)| self.is_own_zone(&peer.zone) && is_fresh(peer, now))
    }

    /// The sum of the zone and the daemons of other zones that it is told to, where this daemon speaks
    /// for its zone.
    fn zone_sum(&self, own: &digest::PeerDigest) -> Option<(digest::PeerDigest, Vec<SocketAddr>)> {
        let now = self.core.now();
        let mut state = self.state.borrow_mut();
        if !self.is_speaker(&state, now) {
            return None;
        }
        let ExchangeState { peers, speakers, sum } = &mut *state;
        let fresh = peers.values().filter(|peer| is_fresh(peer, now));
        let sum = sum.aggregate(own, fresh.filter_map(|peer| peer.digest.as_ref()));
        let mut told = Vec::new();
        let mut guesses: collections::BTreeMap<&id::ZoneId, usize> = collections::BTreeMap::new();
        for peer in peers.values().filter(|peer| !self.is_own_zone(&peer.zone)) {
            let speaker = speakers.get(&peer.zone);
            match speaker.filter(|known| now.since(known.heard) < SPEAKER_TIME) {
                Some(known) if known.address == peer.address => told.push(peer.address),
                Some(_) => {}
                None => {
                    let count = guesses.entry(&peer.zone).or_default();
                    *count += 1;
                    if *count <= SPEAKER_GUESSES {
                        told.push(peer.address);
                    }
                }
            }
        }
        Some((sum, told))
    }

    async fn send(&self, digest: &digest::PeerDigest, to: &[SocketAddr]) {
        let bytes = match postcard::to_stdvec(digest) {
            Ok(bytes) => bytes,
            Err(cause) => {
                log::warn!("a digest can't be written ({cause}); it is left out");
                return;
            }
        };
        self.send_bytes(&bytes, to).await;
    }

    async fn send_bytes(&self, bytes: &[u8], to: &[SocketAddr]) {
        for address in to {
            if let Err(cause) = self.socket.send_to(bytes, address).await {
                log::trace!("{address} takes no datagram ({cause}); the next digest follows");
            }
        }
    }

    fn count_daemons(&self, is_zonal: bool) {
        let now = self.core.now();
        let state = self.state.borrow();
        let fresh = state.peers.values().filter(|peer| is_fresh(peer, now)).count();
        let summed = state.speakers.values().filter(|_| is_zonal).map(|known| known.members);
        let count = 1 + fresh as u32 + summed.sum::<u32>();
        let known = state.peers.len() + 1;
        let told_time = if is_zonal { ZONE_TOLD_TIME } else { GROUP_TOLD_TIME };
        let mut core = self.core.state.borrow_mut();
        core.daemons = count;
        core.quota.set_propagation(known, told_time);
    }

    /// Waits for the next round, which comes early where replicas came or left.
    async fn await_round(&self, interval: time::Millis) {
        let begun = self.core.now();
        let number = || self.core.state.borrow().replicas.version();
        let before = number();
        while self.core.now().since(begun) < interval && number() == before {
            task::sleep(CHANGE_INTERVAL.to_duration()).await;
        }
    }

    /// The first daemon before this one whose reads of the table succeed reads for this one too. Where
    /// the table turns it away, the next one takes over, and each reads itself if need be.
    fn choose_reader(&self, is_zonal: bool) {
        let now = self.core.now();
        let state = self.state.borrow();
        let before = state.peers.range(..self.core.settings.daemon.clone());
        let reader = before.map(|(_, peer)| peer).find(|peer| {
            let is_in_group = !is_zonal || self.is_own_zone(&peer.zone);
            let is_heard = peer.heard.is_some_and(|heard| now.since(heard) < READER_TIME);
            let reads = peer.digest.as_ref().is_some_and(|digest| {
                !digest.is_stopping && digest.table_age.is_some_and(|age| age < READ_FRESH)
            });
            is_in_group && is_heard && reads
        });
        let number =
            |peer: &KnownPeer| peer.digest.as_ref().map_or(0, |digest| digest.entries_version);
        let reader = reader.map(|peer| (peer.address, number(peer)));
        let before = std::mem::replace(&mut self.core.state.borrow_mut().reader, reader);
        let address = |reader: Option<(SocketAddr, u64)>| reader.map(|(address, _)| address);
        if address(before) != address(reader) {
            let name =
                address(reader).map_or_else(|| "none".to_owned(), |address| address.to_string());
            log_event!(event::LogEvent::ReaderChosen, reader = name);
        }
    }

    fn own_digest(&self) -> digest::PeerDigest {
        let core = &self.core;
        let now = core.now();
        let mut state = core.state.borrow_mut();
        let loads = state.replicas.iter().filter(|known| known.local_load.running > 0);
        let loads = loads
            .map(|known| load::LoadEntry {
                replica: known.entry.id.clone(),
                load: known.local_load,
            })
            .collect();
        let prompts = state
            .prompts
            .iter()
            .map(|(service, sum)| digest::ServiceDemand {
                service: service.clone(),
                prompt_rate: sum.per_second(now) as f32,
            })
            .collect();
        digest::PeerDigest {
            daemon: core.settings.daemon.clone(),
            zone: core.settings.availability_zone.clone(),
            members: 0,
            incarnation: core.incarnation,
            address: core.settings.listen.peers,
            is_stopping: state.stopping.is_some(),
            revision: state.policy.as_ref().map(|policy| policy.revision).unwrap_or_default(),
            unix_ms: u64::try_from(state.wall.local(now)).unwrap_or(0),
            table_age: self.table_age(&state, now),
            entries_version: state.replicas.version(),
            lease_version: self.signs.own.get(),
            loads,
            workspace_demands: state.quota.local_demands(now),
            service_demands: prompts,
            usage: state.usage.local_windows(),
            departed: state.left.iter().map(|(_, id, born)| (id.clone(), *born)).collect(),
        }
    }

    /// Age of what this daemon read, where others may follow it: it reads itself, and its entries hold
    /// none that is only kept through an outage.
    fn table_age(&self, state: &core::CoreState, now: time::MonotonicTime) -> Option<time::Millis> {
        let is_offered = state.reader.is_none() && state.replicas.matches_table(now);
        state.table_read.filter(|_| is_offered).map(|at| now.since(at))
    }

    /// Takes over a digest that came, and hands a zone's sum on to the own zone.
    async fn take(self: &rc::Rc<Self>, found: digest::PeerDigest, from: SocketAddr, bytes: &[u8]) {
        let is_zonal = self.is_zonal();
        if found.members == 0 {
            self.add(&found.daemon, found.address, &found.zone);
            if !is_zonal || self.is_own_zone(&found.zone) {
                self.take_member(found);
            }
            return;
        }
        if !is_zonal || self.is_own_zone(&found.zone) {
            return;
        }
        let (Some(is_new), is_first_hand) = (self.note_speaker(&found), from == found.address)
        else {
            return;
        };
        let key = format!("zone:{}", found.zone).parse();
        let Ok(key) = key else { return };
        if is_new {
            // What the zone admitted before this speaker began to sum is in no total of its.
            self.core.state.borrow_mut().quota.remove_peer(&key);
        }
        let is_speaker = self.is_speaker(&self.state.borrow(), self.core.now());
        let members: Vec<SocketAddr> = match is_first_hand && is_speaker {
            true => {
                let state = self.state.borrow();
                let members = state.peers.values().filter(|peer| self.is_own_zone(&peer.zone));
                members.map(|peer| peer.address).collect()
            }
            false => Vec::new(),
        };
        self.apply(&key, quantity::Incarnation::default(), &found);
        self.send_bytes(bytes, &members).await;
    }

    fn take_member(self: &rc::Rc<Self>, found: digest::PeerDigest) {
        let now = self.core.now();
        if let Some(peer) = self.state.borrow_mut().peers.get_mut(&found.daemon) {
            let known = peer.digest.as_ref().map(|known| known.incarnation);
            if known.is_some_and(|known| found.incarnation < known) {
                return;
            }
            peer.heard = Some(now);
            peer.digest = Some(found.clone());
        }
        self.apply(&found.daemon.clone(), found.incarnation, &found);
    }

    /// Notes who speaks for a zone: whether it is another one than before, or nothing where a daemon
    /// that comes before it does.
    fn note_speaker(&self, found: &digest::PeerDigest) -> Option<bool> {
        let now = self.core.now();
        let mut state = self.state.borrow_mut();
        let known = state.speakers.get(&found.zone);
        if known.is_some_and(|known| {
            known.daemon < found.daemon && now.since(known.heard) < SPEAKER_TIME
        }) {
            return None;
        }
        let is_new = known.is_none_or(|known| {
            known.daemon != found.daemon || known.incarnation != found.incarnation
        });
        let speaker = ZoneSpeaker {
            daemon: found.daemon.clone(),
            address: found.address,
            incarnation: found.incarnation,
            heard: now,
            members: found.members,
        };
        state.speakers.insert(found.zone.clone(), speaker);
        Some(is_new)
    }

    /// Takes over what a digest says, under the name of a daemon or of a zone.
    fn apply(
        self: &rc::Rc<Self>,
        key: &id::DaemonId,
        life: quantity::Incarnation,
        found: &digest::PeerDigest,
    ) {
        let core = &self.core;
        let now = core.now();
        if let Some(version) = found.lease_version {
            self.signs.peer.set(Some((version, now)));
        }
        let mut state = core.state.borrow_mut();
        state.replicas.set_peer_loads(key, &found.loads, now);
        state.quota.observe_peer_demands(key, life, &found.workspace_demands, now);
        state.usage.merge_peer(key, life, &found.usage);
        state.wall.observe_peer(key, i64::try_from(found.unix_ms).unwrap_or(0), now);
        state.note_peer_prompts(key, &found.service_demands, now);
        let known = state.policy.as_ref().map_or(0, |policy| policy.revision.get());
        let mut left = Vec::new();
        for (replica, born) in &found.departed {
            left.extend(state.replicas.on_peer_departure(replica, *born));
        }
        drop(state);
        core.note_changes(&left, "peer");
        if found.revision.get() > known && !self.is_fetching.replace(true) {
            task::spawn_local(fetch_policy(self.clone(), found.address));
        }
    }
}

fn is_fresh(peer: &KnownPeer, now: time::MonotonicTime) -> bool {
    peer.heard.is_some_and(|heard| now.since(heard) < SPEAKER_TIME)
}
