//! Finds out where a revision is in force.
//!
//! Every daemon that the platform's list or another daemon knows of is asked, and asked again where
//! another daemon knows it in a later life than the one that answered. A revision is accepted once
//! all of them serve by it: then no daemon is left that could give an older one to a daemon that
//! starts. `specs/in_force.pml` is the model of this.

use std::collections;
use std::net;
use std::sync;

use async_std::task;
use async_trait::async_trait;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_control::message;
use samphiremoor_membership::daemons;
use samphiremoor_membership::gossip;
use samphiremoor_peers::client;
use samphiremoor_platform::cloud;
use samphiremoor_view::zone;

/// Daemons that are asked at the same time.
const MAX_ASKED: usize = 32;

/// Rounds of one survey.
const MAX_ROUNDS: usize = 200;

/// Between two rounds of questions.
const ROUND_INTERVAL: time::Millis = time::Millis::new(100);

/// Asks control threads.
#[async_trait]
pub trait DaemonAsker: Send + Sync {
    /// The answer of the daemon at the address; none where it does not answer in time.
    async fn ask(
        &self,
        address: net::SocketAddr,
        question: message::PeerRequest,
    ) -> Option<message::PeerResponse>;
}

/// Asks over nng.
#[derive(Debug)]
pub struct LinkAsker {
    timeout: time::Millis,
    links: sync::Mutex<collections::HashMap<net::SocketAddr, sync::Arc<client::PeerClient>>>,
}

impl LinkAsker {
    /// Asks with a time limit on each answer.
    pub fn new(timeout: time::Millis) -> Self {
        LinkAsker { timeout, links: sync::Mutex::new(collections::HashMap::new()) }
    }

    fn link(&self, address: net::SocketAddr) -> sync::Arc<client::PeerClient> {
        let mut links = self.links.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let link = links
            .entry(address)
            .or_insert_with(|| sync::Arc::new(client::PeerClient::new(address, self.timeout)));
        link.clone()
    }
}

#[async_trait]
impl DaemonAsker for LinkAsker {
    async fn ask(
        &self,
        address: net::SocketAddr,
        question: message::PeerRequest,
    ) -> Option<message::PeerResponse> {
        self.link(address).call(&question).await.ok()
    }
}

/// A daemon and what it answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AskedDaemon {
    /// News on the daemon.
    pub news: gossip::DaemonInfo,
    /// Its report; none where it did not answer.
    pub report: Option<message::InForceReport>,
}

/// Every daemon that anyone knows of, by id.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RevisionSurvey {
    /// The daemons.
    pub daemons: Vec<AskedDaemon>,
}

impl AskedDaemon {
    /// The life in which the daemon answered, or in which it is known where it did not.
    fn life(&self) -> quantity::Incarnation {
        let report = self.report.as_ref();
        let own = report
            .and_then(|report| report.known_daemons.iter().find(|news| news.id == self.news.id));
        own.unwrap_or(&self.news).status.incarnation
    }

    /// Whether the daemon serves by the revision or a higher one.
    pub fn has(&self, revision: quantity::RevisionNumber) -> bool {
        self.report.as_ref().is_some_and(|report| report.revision >= revision)
    }
}

impl RevisionSurvey {
    /// Daemons that are not known to serve by the revision.
    pub fn missing(&self, revision: quantity::RevisionNumber) -> Vec<String> {
        let missing = self.daemons.iter().filter(|daemon| !daemon.has(revision));
        missing.map(|daemon| describe(daemon, revision)).collect()
    }

    /// Availability zones, by id, with the number of daemons that serve by the revision and of all.
    pub fn zones(&self, revision: quantity::RevisionNumber) -> Vec<ZoneCount> {
        let mut counts: collections::BTreeMap<id::ZoneId, ZoneCount> = collections::BTreeMap::new();
        for daemon in &self.daemons {
            let zone = daemon.news.zone.clone();
            let count = counts.entry(zone.clone()).or_insert_with(|| ZoneCount {
                zone,
                in_force: 0,
                daemons: 0,
            });
            count.daemons += 1;
            count.in_force += usize::from(daemon.has(revision));
        }
        counts.into_values().collect()
    }
}

fn describe(daemon: &AskedDaemon, revision: quantity::RevisionNumber) -> String {
    let id = &daemon.news.id;
    let zone = &daemon.news.zone;
    match &daemon.report {
        Some(report) if report.revision < revision => {
            format!("{id} in {zone} (serves by revision {})", report.revision)
        }
        _ => format!("{id} in {zone} (does not answer)"),
    }
}

/// Daemons of an availability zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ZoneCount {
    /// The availability zone.
    pub zone: id::ZoneId,
    /// Daemons that serve by the revision.
    pub in_force: usize,
    /// All daemons.
    pub daemons: usize,
}

/// Asks every daemon of the list, and every daemon that one of them knows of.
pub async fn survey(
    asker: &sync::Arc<dyn DaemonAsker>,
    listed: &[cloud::VmEntry],
    seeds: &[net::SocketAddr],
) -> RevisionSurvey {
    let mut asked: collections::BTreeMap<id::DaemonId, AskedDaemon> = collections::BTreeMap::new();
    let mut waiting: Vec<gossip::DaemonInfo> =
        listed.iter().filter_map(daemons::from_vm_entry).collect();
    for answer in ask_all(asker, seeds).await.into_iter().flatten() {
        waiting.extend(answer.known_daemons);
    }
    for _ in 0..MAX_ROUNDS {
        let round = next_round(&mut waiting, &asked);
        if round.is_empty() {
            break;
        }
        let addresses: Vec<_> = round.iter().map(|news| news.control_address).collect();
        let reports = ask_all(asker, &addresses).await;
        for (news, report) in round.into_iter().zip(reports) {
            if let Some(report) = &report {
                waiting.extend(report.known_daemons.iter().cloned());
            }
            asked.insert(news.id.clone(), AskedDaemon { news, report });
        }
    }
    RevisionSurvey { daemons: asked.into_values().collect() }
}

/// Takes some of the daemons that were not asked yet in the latest life in which they are known.
fn next_round(
    waiting: &mut Vec<gossip::DaemonInfo>,
    asked: &collections::BTreeMap<id::DaemonId, AskedDaemon>,
) -> Vec<gossip::DaemonInfo> {
    // The latest life of each daemon first, and then that one alone.
    waiting.sort_by(|first, second| {
        let lives = second.status.incarnation.cmp(&first.status.incarnation);
        first.id.cmp(&second.id).then(lives)
    });
    waiting.dedup_by(|first, second| first.id == second.id);
    waiting.retain(|news| {
        let last = asked.get(&news.id).map(AskedDaemon::life);
        last.is_none_or(|life| news.status.incarnation > life)
    });
    waiting.drain(..waiting.len().min(MAX_ASKED)).collect()
}

async fn ask_all(
    asker: &sync::Arc<dyn DaemonAsker>,
    addresses: &[net::SocketAddr],
) -> Vec<Option<message::InForceReport>> {
    let calls: Vec<_> = addresses
        .iter()
        .map(|address| {
            let asker = asker.clone();
            let address = *address;
            task::spawn(async move { asker.ask(address, message::PeerRequest::InForce).await })
        })
        .collect();
    let mut reports = Vec::with_capacity(calls.len());
    for call in calls {
        reports.push(match call.await {
            Some(message::PeerResponse::InForce(report)) => Some(report),
            _ => None,
        });
    }
    reports
}

/// Asks until every daemon serves by the revision or the time is over; `progress` is told of each
/// round that differs from the last one.
pub async fn await_revision(
    asker: &sync::Arc<dyn DaemonAsker>,
    cloud: &sync::Arc<dyn cloud::CloudApi>,
    seeds: &[net::SocketAddr],
    revision: quantity::RevisionNumber,
    limit: time::Millis,
    mut progress: impl FnMut(&[ZoneCount]),
) -> RevisionSurvey {
    let clock = time::MonotonicClock::start();
    let mut listed = Vec::new();
    let mut last = Vec::new();
    loop {
        // VMs come and go meanwhile; without the platform the last list has to do.
        listed = cloud.list_vms().await.unwrap_or(listed);
        let survey = survey(asker, &listed, seeds).await;
        let zones = survey.zones(revision);
        if zones != last {
            progress(&zones);
            last = zones;
        }
        let is_over = time::Millis::new(clock.now().get()) >= limit;
        if survey.missing(revision).is_empty() || is_over {
            return survey;
        }
        task::sleep(ROUND_INTERVAL.to_duration()).await;
    }
}

/// The view of a daemon.
pub async fn view_of(
    asker: &sync::Arc<dyn DaemonAsker>,
    daemon: &gossip::DaemonInfo,
) -> Option<zone::ZoneView> {
    match asker.ask(daemon.control_address, message::PeerRequest::View).await {
        Some(message::PeerResponse::View(view)) => view.map(|view| *view),
        _ => None,
    }
}
