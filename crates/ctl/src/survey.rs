//! Determines at which daemons a revision is in force.
//!
//! A survey sends a request to every daemon in the platform's list and to every daemon that another
//! daemon knows. A daemon is surveyed again if another daemon knows it with a later incarnation
//! than the one that responded. A revision is accepted once all these daemons serve by it, because
//! then no daemon can pass an older revision to a daemon that starts. `specs/in_force.pml` models
//! this protocol.

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

/// Maximum number of concurrent requests.
const MAX_CONCURRENT_REQUESTS: usize = 32;

/// Maximum number of rounds in one survey.
const MAX_ROUNDS: usize = 200;

/// Delay between two surveys while waiting for a revision.
const ROUND_INTERVAL: time::Millis = time::Millis::new(100);

/// Client of the control threads.
#[async_trait]
pub trait DaemonClient: Send + Sync {
    /// Sends a request to the daemon at the address; returns `None` if it does not respond in time.
    async fn request(
        &self,
        address: net::SocketAddr,
        request: message::PeerRequest,
    ) -> Option<message::PeerResponse>;
}

/// Client that connects to the control threads over nng.
#[derive(Debug)]
pub struct PeerDaemonClient {
    timeout: time::Millis,
    clients: sync::Mutex<collections::HashMap<net::SocketAddr, sync::Arc<client::PeerClient>>>,
}

impl PeerDaemonClient {
    /// Creates a client with a timeout for each response.
    pub fn new(timeout: time::Millis) -> Self {
        PeerDaemonClient { timeout, clients: sync::Mutex::new(collections::HashMap::new()) }
    }

    fn client(&self, address: net::SocketAddr) -> sync::Arc<client::PeerClient> {
        let mut clients = self.clients.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let client = clients
            .entry(address)
            .or_insert_with(|| sync::Arc::new(client::PeerClient::new(address, self.timeout)));
        client.clone()
    }
}

#[async_trait]
impl DaemonClient for PeerDaemonClient {
    async fn request(
        &self,
        address: net::SocketAddr,
        request: message::PeerRequest,
    ) -> Option<message::PeerResponse> {
        self.client(address).call(&request).await.ok()
    }
}

/// A daemon and its response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SurveyedDaemon {
    /// Membership information on the daemon.
    pub info: gossip::DaemonInfo,
    /// Report of the daemon, or `None` if it did not respond.
    pub report: Option<message::InForceReport>,
}

/// Result of a survey.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RevisionSurvey {
    /// Surveyed daemons, sorted by id.
    pub daemons: Vec<SurveyedDaemon>,
}

impl SurveyedDaemon {
    /// Returns the incarnation that responded, or the latest known incarnation if none responded.
    fn incarnation(&self) -> quantity::Incarnation {
        let report = self.report.as_ref();
        let own_info = report
            .and_then(|report| report.known_daemons.iter().find(|info| info.id == self.info.id));
        own_info.unwrap_or(&self.info).status.incarnation
    }

    /// Returns whether the daemon serves by the revision or a later one.
    pub fn serves(&self, revision: quantity::RevisionNumber) -> bool {
        self.report.as_ref().is_some_and(|report| report.revision >= revision)
    }
}

impl RevisionSurvey {
    /// Describes the daemons that are not known to serve by the revision.
    pub fn missing(&self, revision: quantity::RevisionNumber) -> Vec<String> {
        let missing = self.daemons.iter().filter(|daemon| !daemon.serves(revision));
        missing.map(|daemon| describe(daemon, revision)).collect()
    }

    /// Counts, for each availability zone, all daemons and those that serve by the revision.
    pub fn zones(&self, revision: quantity::RevisionNumber) -> Vec<ZoneCount> {
        let mut counts: collections::BTreeMap<id::ZoneId, ZoneCount> = collections::BTreeMap::new();
        for daemon in &self.daemons {
            let zone = daemon.info.zone.clone();
            let count = counts.entry(zone.clone()).or_insert_with(|| ZoneCount {
                zone,
                in_force: 0,
                daemons: 0,
            });
            count.daemons += 1;
            count.in_force += usize::from(daemon.serves(revision));
        }
        counts.into_values().collect()
    }
}

fn describe(daemon: &SurveyedDaemon, revision: quantity::RevisionNumber) -> String {
    let id = &daemon.info.id;
    let zone = &daemon.info.zone;
    match &daemon.report {
        Some(report) if report.revision < revision => {
            format!("{id} in {zone} (serves by revision {})", report.revision)
        }
        _ => format!("{id} in {zone} (does not respond)"),
    }
}

/// Number of daemons in an availability zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ZoneCount {
    /// Id of the availability zone.
    pub zone: id::ZoneId,
    /// Daemons that serve by the revision or a later one.
    pub in_force: usize,
    /// All daemons.
    pub daemons: usize,
}

/// Surveys every daemon of the list and every daemon that another daemon knows.
pub async fn survey(
    client: &sync::Arc<dyn DaemonClient>,
    listed: &[cloud::VmEntry],
    seeds: &[net::SocketAddr],
) -> RevisionSurvey {
    let mut surveyed: collections::BTreeMap<id::DaemonId, SurveyedDaemon> =
        collections::BTreeMap::new();
    let mut pending: Vec<gossip::DaemonInfo> =
        listed.iter().filter_map(daemons::from_vm_entry).collect();
    for report in request_all(client, seeds).await.into_iter().flatten() {
        pending.extend(report.known_daemons);
    }
    for _ in 0..MAX_ROUNDS {
        let round = next_round(&mut pending, &surveyed);
        if round.is_empty() {
            break;
        }
        let addresses: Vec<_> = round.iter().map(|info| info.control_address).collect();
        let reports = request_all(client, &addresses).await;
        for (info, report) in round.into_iter().zip(reports) {
            if let Some(report) = &report {
                pending.extend(report.known_daemons.iter().cloned());
            }
            surveyed.insert(info.id.clone(), SurveyedDaemon { info, report });
        }
    }
    RevisionSurvey { daemons: surveyed.into_values().collect() }
}

/// Removes from `pending` up to [`MAX_CONCURRENT_REQUESTS`] daemons whose latest known incarnation
/// was not surveyed yet.
fn next_round(
    pending: &mut Vec<gossip::DaemonInfo>,
    surveyed: &collections::BTreeMap<id::DaemonId, SurveyedDaemon>,
) -> Vec<gossip::DaemonInfo> {
    // Keeps only the latest incarnation of each daemon.
    pending.sort_by(|first, second| {
        let by_incarnation = second.status.incarnation.cmp(&first.status.incarnation);
        first.id.cmp(&second.id).then(by_incarnation)
    });
    pending.dedup_by(|first, second| first.id == second.id);
    pending.retain(|info| {
        let surveyed_incarnation = surveyed.get(&info.id).map(SurveyedDaemon::incarnation);
        surveyed_incarnation.is_none_or(|incarnation| info.status.incarnation > incarnation)
    });
    pending.drain(..pending.len().min(MAX_CONCURRENT_REQUESTS)).collect()
}

async fn request_all(
    client: &sync::Arc<dyn DaemonClient>,
    addresses: &[net::SocketAddr],
) -> Vec<Option<message::InForceReport>> {
    let calls: Vec<_> = addresses
        .iter()
        .map(|address| {
            let client = client.clone();
            let address = *address;
            task::spawn(async move { client.request(address, message::PeerRequest::InForce).await })
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

/// Repeats the survey until every daemon serves by the revision or the timeout has passed.
///
/// Calls `progress` whenever the counts differ from those of the previous survey.
pub async fn await_revision(
    client: &sync::Arc<dyn DaemonClient>,
    cloud: &sync::Arc<dyn cloud::CloudApi>,
    seeds: &[net::SocketAddr],
    revision: quantity::RevisionNumber,
    timeout: time::Millis,
    mut progress: impl FnMut(&[ZoneCount]),
) -> RevisionSurvey {
    let clock = time::MonotonicClock::start();
    let mut listed = Vec::new();
    let mut last_zones = Vec::new();
    loop {
        // VMs may be added or removed between surveys. If the platform does not respond, the
        // previous list is used.
        listed = cloud.list_vms().await.unwrap_or(listed);
        let survey = survey(client, &listed, seeds).await;
        let zones = survey.zones(revision);
        if zones != last_zones {
            progress(&zones);
            last_zones = zones;
        }
        let is_timed_out = time::Millis::new(clock.now().get()) >= timeout;
        if survey.missing(revision).is_empty() || is_timed_out {
            return survey;
        }
        task::sleep(ROUND_INTERVAL.to_duration()).await;
    }
}

/// Reads the view of a daemon.
pub async fn read_view(
    client: &sync::Arc<dyn DaemonClient>,
    daemon: &gossip::DaemonInfo,
) -> Option<zone::ZoneView> {
    match client.request(daemon.control_address, message::PeerRequest::View).await {
        Some(message::PeerResponse::View(view)) => view.map(|view| *view),
        _ => None,
    }
}
