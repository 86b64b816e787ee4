//! Exchange of attempt records with the other daemons, so that a caller can resume its stream at
//! any of them.
//!
//! Records of streams that began are copied to their holders in batches; records of other daemons'
//! streams are looked up when a caller resumes one.

use std::cell;
use std::net::SocketAddr;
use std::rc;

use async_std::channel;
use async_std::task;
use async_trait::async_trait;
use futures_lite::future;
use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_fleet::attempt_message;
use samphiremoor_fleet::attempt_record;
use samphiremoor_fleet::reachability;

/// Interval at which a query is sent again, since datagrams get lost.
const QUERY_INTERVAL: time::Millis = time::Millis::new(50);
/// Number of times that a query is sent before the record counts as unknown. Daemons that are slow
/// to answer may stall for a hundred milliseconds.
const MAX_QUERIES: u32 = 4;
/// Largest number of records in one datagram, which then fits into one packet of most networks.
const MAX_BATCH: usize = 24;

/// Datagrams to the other daemons.
#[async_trait(?Send)]
pub trait PeerNetwork {
    /// Returns all known daemons but this one.
    fn candidates(&self) -> Vec<attempt_record::HolderCandidate>;

    /// Returns the daemons that may relay connections to the replicas of a group.
    fn relays(&self, _group: &reachability::PathGroup) -> Vec<reachability::RelayCandidate> {
        Vec::new()
    }

    /// Returns whether the daemon at an address is believed to run and not to stop.
    fn is_live(&self, _daemon: SocketAddr) -> bool {
        false
    }

    /// Sends a datagram to each recipient. It may get lost.
    async fn send_datagram(&self, bytes: &[u8], recipients: &[SocketAddr]);
}

/// Where the origin of a resumed stream was found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OriginSource {
    /// In this daemon's own store.
    Local,
    /// At a peer.
    Peer(SocketAddr),
}

/// Origin of a resumed stream and where it was found.
pub type FoundOrigin = (attempt_record::StreamOrigin, OriginSource);

/// Attempt records of this daemon and its lookups at peers.
#[derive(Default)]
pub struct AttemptExchange {
    network: cell::OnceCell<rc::Rc<dyn PeerNetwork>>,
    store: cell::RefCell<attempt_record::AttemptStore>,
    /// Own attempts whose records were not copied to their holders yet.
    uncopied: cell::RefCell<Vec<attempt_record::AttemptHash>>,
    lookups: cell::RefCell<Vec<rc::Rc<ActiveLookup>>>,
}

/// A lookup that waits for answers.
struct ActiveLookup {
    attempt: attempt_record::AttemptHash,
    lookup: cell::RefCell<attempt_record::AttemptLookup>,
    /// Receives the result; `None` if no peer has the record.
    result: channel::Sender<Option<FoundOrigin>>,
}

/// Removes a lookup when dropped, also if its request ends while it waits.
struct LookupGuard<'a> {
    exchange: &'a AttemptExchange,
    lookup: rc::Rc<ActiveLookup>,
}

impl Drop for LookupGuard<'_> {
    fn drop(&mut self) {
        self.exchange.lookups.borrow_mut().retain(|lookup| !rc::Rc::ptr_eq(lookup, &self.lookup));
    }
}

impl AttemptExchange {
    /// Sets the network to the other daemons.
    pub fn connect(&self, network: rc::Rc<dyn PeerNetwork>) {
        if self.network.set(network).is_err() {
            log::warn!("the attempt exchange is connected already; keeping its network");
        }
    }

    /// Stores the record of an attempt that brings the first event of a stream, and queues it for
    /// its holders.
    pub fn begin(
        &self,
        attempt: attempt_record::AttemptHash,
        origin: attempt_record::StreamOrigin,
        lifetime: time::Millis,
        now: time::MonotonicTime,
    ) {
        let expires_at = now + lifetime.min(attempt_record::MAX_LIFETIME);
        let record = attempt_record::AttemptRecord { attempt, origin, expires_at };
        self.store.borrow_mut().insert(record, now);
        self.uncopied.borrow_mut().push(attempt);
    }

    /// Takes the record of a stream that was written to its end from the queue. It stays in the
    /// store, since the caller may lose what was written last.
    pub fn complete(&self, attempt: attempt_record::AttemptHash) {
        self.uncopied.borrow_mut().retain(|uncopied| *uncopied != attempt);
    }

    /// Copies the queued records to their holders.
    pub async fn copy_records(&self, local_zone: &id::ZoneId, now: time::MonotonicTime) {
        let attempts = std::mem::take(&mut *self.uncopied.borrow_mut());
        let Some(network) = self.network.get().filter(|_| !attempts.is_empty()) else { return };
        let candidates = network.candidates();
        let mut batches: Vec<(SocketAddr, Vec<attempt_message::RecordCopy>)> = Vec::new();
        for attempt in attempts {
            let store = self.store.borrow();
            let Some(record) = store.get(attempt, now) else { continue };
            let copy = attempt_message::RecordCopy {
                attempt,
                origin: record.origin.clone(),
                lifetime: record.expires_at.since(now),
            };
            for holder in attempt_record::choose_holders(attempt, local_zone, &candidates) {
                match batches.iter_mut().find(|(address, _)| *address == holder) {
                    Some((_, copies)) => copies.push(copy.clone()),
                    None => batches.push((holder, vec![copy.clone()])),
                }
            }
        }
        for (holder, copies) in batches {
            for batch in copies.chunks(MAX_BATCH) {
                let message = attempt_message::AttemptMessage::Records(batch.to_vec());
                network.send_datagram(&message.encode(), &[holder]).await;
            }
        }
    }

    /// Returns the origin of a stream, from this daemon's store or from a peer; `None` if no daemon
    /// that can be asked has its record.
    pub async fn find_origin(
        &self,
        attempt: attempt_record::AttemptHash,
        now: time::MonotonicTime,
    ) -> Option<FoundOrigin> {
        if let Some(record) = self.store.borrow().get(attempt, now) {
            return Some((record.origin.clone(), OriginSource::Local));
        }
        let network = self.network.get()?;
        let asked = attempt_record::likely_holders(attempt, &network.candidates());
        if asked.is_empty() {
            return None;
        }
        let (sender, receiver) = channel::bounded(1);
        let lookup = rc::Rc::new(ActiveLookup {
            attempt,
            lookup: cell::RefCell::new(attempt_record::AttemptLookup::new(asked)),
            result: sender,
        });
        self.lookups.borrow_mut().push(lookup.clone());
        let guard = LookupGuard { exchange: self, lookup };
        let query = attempt_message::AttemptMessage::Query(attempt).encode();
        let ask = async {
            for _ in 0..MAX_QUERIES {
                let unanswered = guard.lookup.lookup.borrow().unanswered().to_vec();
                network.send_datagram(&query, &unanswered).await;
                task::sleep(QUERY_INTERVAL.to_duration()).await;
            }
            None
        };
        let answer = async { receiver.recv().await.ok().flatten() };
        future::or(answer, ask).await
    }

    /// Handles a message of a peer.
    pub async fn receive(&self, bytes: &[u8], sender: SocketAddr, now: time::MonotonicTime) {
        match attempt_message::AttemptMessage::decode(bytes) {
            Ok(attempt_message::AttemptMessage::Records(copies)) => {
                let mut store = self.store.borrow_mut();
                for copy in copies {
                    let attempt_message::RecordCopy { attempt, origin, lifetime } = copy;
                    let expires_at = now + lifetime.min(attempt_record::MAX_LIFETIME);
                    let record = attempt_record::AttemptRecord { attempt, origin, expires_at };
                    store.insert(record, now);
                }
            }
            Ok(attempt_message::AttemptMessage::Query(attempt)) => {
                let Some(network) = self.network.get() else { return };
                let origin =
                    self.store.borrow().get(attempt, now).map(|record| record.origin.clone());
                let answer = attempt_message::AttemptMessage::Answer(attempt, origin);
                network.send_datagram(&answer.encode(), &[sender]).await;
            }
            Ok(attempt_message::AttemptMessage::Answer(attempt, origin)) => {
                self.on_answer(attempt, sender, origin);
            }
            Err(cause) => {
                log::warn!(
                    "{sender} sent an invalid message about attempts ({cause}); run the same \
                     version on all daemons"
                );
            }
        }
    }

    fn on_answer(
        &self,
        attempt: attempt_record::AttemptHash,
        sender: SocketAddr,
        origin: Option<attempt_record::StreamOrigin>,
    ) {
        for active in self.lookups.borrow().iter().filter(|active| active.attempt == attempt) {
            let result = match active.lookup.borrow_mut().on_answer(sender, origin.clone()) {
                attempt_record::LookupState::Pending => continue,
                attempt_record::LookupState::Found(origin) => {
                    Some((origin, OriginSource::Peer(sender)))
                }
                attempt_record::LookupState::Unknown => None,
            };
            // The channel is full if an earlier answer was positive.
            active.result.try_send(result).ok();
        }
    }
}
