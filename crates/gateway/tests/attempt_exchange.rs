//! Exchange of attempt records between daemons over a network that loses datagrams.

use std::cell;
use std::collections;
use std::net;
use std::rc;

use async_std::task;
use async_trait::async_trait;
use samphiremoor_base::time;
use samphiremoor_fleet::attempt_message;
use samphiremoor_fleet::attempt_record;
use samphiremoor_gateway::attempt_exchange;

/// Lifetime of the records.
const LIFETIME: time::Millis = time::Millis::new(20_000);
/// Current time of all daemons.
const NOW: time::MonotonicTime = time::MonotonicTime::new(1_000);

type Daemons = rc::Rc<cell::RefCell<collections::BTreeMap<net::SocketAddr, TestDaemon>>>;

/// A daemon as the network sees it.
struct TestDaemon {
    exchange: rc::Rc<attempt_exchange::AttemptExchange>,
    /// Number of datagrams to the daemon that are lost from now on.
    lost_count: u32,
    received_count: u32,
}

/// Network of one daemon.
struct TestNetwork {
    local: net::SocketAddr,
    daemons: Daemons,
}

#[async_trait(?Send)]
impl attempt_exchange::PeerNetwork for TestNetwork {
    fn candidates(&self) -> Vec<attempt_record::HolderCandidate> {
        let daemons = self.daemons.borrow();
        let peers = daemons.keys().filter(|address| **address != self.local);
        let candidate = |address: &net::SocketAddr| attempt_record::HolderCandidate {
            daemon: format!("daemon-{}", address.port()).parse().expect("the name is valid"),
            zone: "north".parse().expect("the name is valid"),
            address: *address,
            is_live: true,
        };
        peers.map(candidate).collect()
    }

    async fn send_datagram(&self, bytes: &[u8], recipients: &[net::SocketAddr]) {
        for recipient in recipients {
            let exchange = {
                let mut daemons = self.daemons.borrow_mut();
                let daemon = daemons.get_mut(recipient).expect("the daemon exists");
                if daemon.lost_count > 0 {
                    daemon.lost_count -= 1;
                    continue;
                }
                daemon.received_count += 1;
                daemon.exchange.clone()
            };
            let (bytes, sender) = (bytes.to_vec(), self.local);
            task::spawn_local(async move { exchange.receive(&bytes, sender, NOW).await });
        }
    }
}

/// Daemons that know each other.
struct TestCluster {
    addresses: Vec<net::SocketAddr>,
    daemons: Daemons,
}

impl TestCluster {
    fn new(count: u16) -> Self {
        let daemons = Daemons::default();
        let addresses: Vec<_> = (0..count)
            .map(|index| net::SocketAddr::from(([127, 0, 0, 1], 7_000 + index)))
            .collect();
        for address in &addresses {
            let exchange = rc::Rc::new(attempt_exchange::AttemptExchange::default());
            let network = TestNetwork { local: *address, daemons: daemons.clone() };
            exchange.connect(rc::Rc::new(network));
            let daemon = TestDaemon { exchange, lost_count: 0, received_count: 0 };
            daemons.borrow_mut().insert(*address, daemon);
        }
        TestCluster { addresses, daemons }
    }

    fn exchange(&self, index: usize) -> rc::Rc<attempt_exchange::AttemptExchange> {
        self.daemons.borrow()[&self.addresses[index]].exchange.clone()
    }

    /// Loses the next datagrams to a daemon.
    fn lose(&self, index: usize, count: u32) {
        let mut daemons = self.daemons.borrow_mut();
        daemons.get_mut(&self.addresses[index]).expect("the daemon exists").lost_count = count;
    }

    fn received_count(&self, index: usize) -> u32 {
        self.daemons.borrow()[&self.addresses[index]].received_count
    }

    /// Begins a stream at a daemon and copies its record.
    async fn begin(&self, index: usize) {
        self.exchange(index).begin(attempt(), origin(), LIFETIME, NOW);
        self.copy(index).await;
    }

    async fn copy(&self, index: usize) {
        let zone = "north".parse().expect("the name is valid");
        self.exchange(index).copy_records(&zone, NOW).await;
        task::yield_now().await;
    }

    async fn find(&self, index: usize) -> Option<attempt_exchange::FoundOrigin> {
        self.exchange(index).find_origin(attempt(), NOW).await
    }
}

fn attempt() -> attempt_record::AttemptHash {
    attempt_record::AttemptHash::of("q1")
}

fn origin() -> attempt_record::StreamOrigin {
    attempt_record::StreamOrigin {
        service: "desk".parse().expect("the name is valid"),
        version: "v1".parse().expect("the version is valid"),
    }
}

#[test]
fn record_is_found_at_any_daemon_after_its_writer_is_gone() {
    task::block_on(async {
        let cluster = TestCluster::new(7);
        cluster.begin(0).await;
        cluster.lose(0, u32::MAX);
        for index in 1..7 {
            let (found, _) = cluster.find(index).await.expect("a holder has the record");
            assert_eq!(found, origin());
        }
    });
}

#[test]
fn own_record_is_found_without_a_datagram() {
    task::block_on(async {
        let cluster = TestCluster::new(2);
        cluster.exchange(0).begin(attempt(), origin(), LIFETIME, NOW);
        let local = attempt_exchange::OriginSource::Local;
        assert_eq!(cluster.find(0).await, Some((origin(), local)));
        assert_eq!(cluster.received_count(1), 0);
    });
}

#[test]
fn lost_query_is_repeated() {
    task::block_on(async {
        let cluster = TestCluster::new(2);
        cluster.exchange(0).begin(attempt(), origin(), LIFETIME, NOW);
        cluster.lose(0, 2);
        let peer = attempt_exchange::OriginSource::Peer(cluster.addresses[0]);
        assert_eq!(cluster.find(1).await, Some((origin(), peer)));
    });
}

// A silent daemon is asked several times, so a lookup that waits for it shows in its datagrams.
#[test]
fn lookup_waits_for_a_silent_daemon_and_asks_no_other_again() {
    task::block_on(async {
        let cluster = TestCluster::new(3);
        cluster.lose(2, 3);
        assert_eq!(cluster.find(0).await, None);
        assert_eq!((cluster.received_count(1), cluster.received_count(2)), (1, 1));
    });
}

#[test]
fn lookup_ends_if_no_daemon_has_the_record() {
    task::block_on(async {
        let cluster = TestCluster::new(7);
        assert_eq!(cluster.find(0).await, None);
        assert!((1..7).all(|index| cluster.received_count(index) == 1));
    });
}

#[test]
fn single_daemon_does_not_know_another_process_s_streams() {
    task::block_on(async {
        assert_eq!(TestCluster::new(1).find(0).await, None);
    });
}

#[test]
fn two_requests_for_one_stream_get_the_same_answer() {
    task::block_on(async {
        let cluster = TestCluster::new(7);
        cluster.begin(0).await;
        let (first, second) = futures_lite::future::zip(cluster.find(1), cluster.find(1)).await;
        assert_eq!(first.map(|(origin, _)| origin), Some(origin()));
        assert_eq!(second.map(|(origin, _)| origin), Some(origin()));
    });
}

#[test]
fn stream_that_ended_is_kept_and_not_copied() {
    task::block_on(async {
        let cluster = TestCluster::new(2);
        cluster.exchange(0).begin(attempt(), origin(), LIFETIME, NOW);
        cluster.exchange(0).complete(attempt());
        cluster.copy(0).await;
        assert_eq!(cluster.received_count(1), 0);
        assert!(cluster.find(0).await.is_some(), "the caller may have lost the last events");
    });
}

#[test]
fn records_of_a_batch_go_in_few_datagrams() {
    task::block_on(async {
        let cluster = TestCluster::new(2);
        for number in 0..50 {
            let attempt = attempt_record::AttemptHash::new(number);
            cluster.exchange(0).begin(attempt, origin(), LIFETIME, NOW);
        }
        cluster.copy(0).await;
        assert_eq!(cluster.received_count(1), 3);
    });
}

#[test]
fn lifetime_of_a_copy_is_bounded() {
    task::block_on(async {
        let cluster = TestCluster::new(1);
        let copy = attempt_message::RecordCopy {
            attempt: attempt(),
            origin: origin(),
            lifetime: time::Millis::new(u64::MAX),
        };
        let message = attempt_message::AttemptMessage::Records(vec![copy]);
        let exchange = cluster.exchange(0);
        exchange.receive(&message.encode(), cluster.addresses[0], NOW).await;
        assert!(exchange.find_origin(attempt(), NOW).await.is_some());
        let later = NOW + time::Millis::new(3_600_000);
        assert!(exchange.find_origin(attempt(), later).await.is_none());
    });
}
