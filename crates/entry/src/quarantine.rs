//! Calls, and messages of chat calls, under which upstreams crash.
//!
//! Each daemon sends notices of crashes, survivals and verdicts to the daemons of its availability zone;
//! the first daemon of the zone sends them to the first ones of the other zones, which pass them on.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::SystemTime;

use async_std::task;
use samphiremoor_base::event;
use samphiremoor_base::id;
use samphiremoor_base::log_event;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_fleet::clock_instant;
use samphiremoor_fleet::quarantine;
use samphiremoor_fleet::quarantine_rows;
use samphiremoor_fleet::suspect;
use samphiremoor_platform::table;
use samphiremoor_requests::input;
use samphiremoor_view::zone;

use crate::core;
use crate::message_quarantine;
use crate::peer;

/// Interval between checks for news to send.
const NEWS_INTERVAL: time::Millis = time::Millis::new(100);
/// Interval between reads of the operators' rows while there are verdicts.
const ROW_INTERVAL: time::Millis = time::Millis::new(5_000);
/// Pause after a failed read of the operators' rows.
const RETRY_PAUSE: time::Millis = time::Millis::new(1_000);
/// Number of connections by which an upstream is probed.
const PROBE_CONNECTIONS: u32 = 2;
/// Time for which a connection to an upstream that lives stays open.
const PROBE_TIME: time::Millis = time::Millis::new(30);
/// Number of other upstreams that are probed to find out whether this daemon reaches any.
const MAX_WITNESSES: usize = 3;
/// Timeout of a connection to one of them.
const PATH_TIMEOUT: time::Millis = time::Millis::new(150);
/// Timeout of a probe.
const PROBE_TIMEOUT: time::Millis = time::Millis::new(400);
/// Time from the first token of a response after which it has survived.
pub(crate) const SURVIVAL_TIME: time::Millis = time::Millis::new(1_000);

impl core::EntryCore {
    fn quarantine_instant(&self) -> clock_instant::ClockInstant {
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let unix_ms = time::Millis::from(since_epoch.unwrap_or_default()).get();
        clock_instant::ClockInstant { now: self.now(), unix_ms }
    }

    /// Returns the time until a call with these shared messages and this fingerprint may be served, if
    /// one of them is quarantined. The first daemon of all lets one call through when the verdict is
    /// due to be tested.
    pub(crate) fn quarantine_wait(
        &self,
        shared: &[suspect::SuspectId],
        fingerprint: impl FnOnce() -> suspect::RequestFingerprint,
    ) -> Option<time::Millis> {
        let mut suspects = suspect::SuspectIds::from_slice(shared);
        if self.quarantine.with_table(|table| table.has_request_suspects()) {
            suspects.push(suspect::SuspectId::Request(fingerprint()));
        }
        let instant = self.quarantine_instant();
        let is_tester = self.is_first_daemon(|_| true);
        self.quarantine.with_table(|table| {
            let (suspect, wait) = table.find_quarantined(&suspects, instant)?;
            if is_tester && table.begin_test(suspect, instant) {
                return None;
            }
            table.record_refusal(suspect, instant.now);
            Some(wait.max(self.settings.callers.retry_after_ms))
        })
    }

    /// Returns whether upstreams may crash under a call with these suspects.
    pub(crate) fn is_crash_suspect(&self, suspects: &[suspect::SuspectId]) -> bool {
        let instant = self.quarantine_instant();
        self.quarantine.with_table(|table| table.is_suspect(suspects, instant))
    }

    /// Observes that the response to a call with these suspects survived.
    pub(crate) fn observe_survival(&self, suspects: &[suspect::SuspectId]) {
        let instant = self.quarantine_instant();
        let changes = self.quarantine.with_table(|table| table.observe_survival(suspects, instant));
        self.apply_quarantine_changes(&changes, "response");
    }

    /// Returns the failure of a dispatch, or the crash that it turns out to be if that may be the call's
    /// fault. The call is then sent to no other upstream. The response must not have survived there.
    pub(crate) async fn check_failure(
        &self,
        replica: Option<&id::ReplicaId>,
        request: &id::RequestId,
        suspects: &[suspect::SuspectId],
        failure: input::AttemptFailure,
    ) -> input::AttemptFailure {
        let may_be_crash = matches!(
            failure,
            input::AttemptFailure::ConnectionClosed | input::AttemptFailure::InvalidResponse
        );
        let Some(replica) = replica.filter(|_| may_be_crash) else { return failure };
        match self.check_crash(replica, request, suspects).await {
            true => input::AttemptFailure::ReplicaCrashed,
            false => failure,
        }
    }

    /// Finds out whether the upstream of a failed dispatch has crashed, and reports the crash. Returns
    /// whether it may be this call's fault.
    async fn check_crash(
        &self,
        replica: &id::ReplicaId,
        request: &id::RequestId,
        suspects: &[suspect::SuspectId],
    ) -> bool {
        if !self.has_crashed(replica).await {
            return false;
        }
        let names: Vec<_> = suspects.iter().map(ToString::to_string).collect();
        log_event!(
            event::LogEvent::UpstreamCrashed,
            replica = replica,
            request = request,
            suspects = names.join(","),
        );
        self.metrics.engine_crashes.inc();
        let instant = self.quarantine_instant();
        let incarnation = quantity::Incarnation::default();
        let (changes, may_repeat) = self.quarantine.with_table(|table| {
            let changes = table.observe_crash(replica, incarnation, suspects, instant);
            (changes, table.may_repeat(suspects, instant))
        });
        self.apply_quarantine_changes(&changes, "crashes");
        !may_repeat
    }

    /// Probes whether an upstream in service refuses connections while others accept them.
    async fn has_crashed(&self, replica: &id::ReplicaId) -> bool {
        let Some(snapshot) = self.view() else { return false };
        let Some(replica_view) = snapshot.replica(replica) else { return false };
        if replica_view.state != zone::UpstreamState::Live {
            return false;
        }
        let now = self.now();
        if let Some(has_crashed) = self.quarantine.probe_result(replica, now) {
            return has_crashed;
        }
        let has_crashed = refuses_connections(replica_view.address).await
            && has_path(&snapshot.view, replica).await;
        self.quarantine.record_probe(replica, has_crashed, now);
        has_crashed
    }

    /// Applies the notices of another daemon.
    pub(crate) fn apply_news(&self, zone: &id::ZoneId, wire: quarantine::NoticesWire) {
        let source = match *zone == self.settings.zone {
            true => quarantine::NoticeSource::Member,
            false => quarantine::NoticeSource::Remote,
        };
        let notices: Vec<quarantine::QuarantineNotice> = wire.into();
        self.apply_notices(&notices, source);
    }

    fn apply_notices(
        &self,
        notices: &[quarantine::QuarantineNotice],
        source: quarantine::NoticeSource,
    ) {
        let instant = self.quarantine_instant();
        let changes: Vec<_> = self.quarantine.with_table(|table| {
            let changes =
                notices.iter().map(|notice| table.observe_notice(notice, source, instant));
            changes.flatten().collect()
        });
        self.apply_quarantine_changes(&changes, "peer");
    }

    fn apply_quarantine_changes(&self, changes: &[quarantine::QuarantineChange], source: &str) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            match change {
                quarantine::QuarantineChange::Quarantined(suspect, crashes) => log_event!(
                    event::LogEvent::SuspectQuarantined,
                    suspect = suspect,
                    crashes = crashes,
                    source = source,
                ),
                quarantine::QuarantineChange::Released(suspect) => {
                    log_event!(event::LogEvent::SuspectReleased, suspect = suspect, source = source)
                }
                quarantine::QuarantineChange::Refuted(replica, _) => {
                    log_event!(event::LogEvent::CrashRefuted, replica = replica, source = source,)
                }
            }
        }
        let (calls, messages) = self.quarantine.with_table(|table| {
            let calls = table.verdicts().filter(|(suspect, _)| suspect.is_request()).count();
            (calls, table.verdicts().count() - calls)
        });
        self.metrics.quarantined_calls.set(i64::try_from(calls).unwrap_or(i64::MAX));
        self.metrics.quarantined_messages.set(i64::try_from(messages).unwrap_or(i64::MAX));
    }

    /// Returns whether no live daemon that `is_counted` precedes this one, in order of their IDs.
    fn is_first_daemon(&self, is_counted: impl Fn(&zone::DaemonView) -> bool) -> bool {
        let Some(snapshot) = self.view() else { return false };
        !snapshot.view.daemons.iter().any(|daemon| {
            daemon.id < self.settings.daemon
                && daemon.state != zone::UpstreamState::Gone
                && is_counted(daemon)
        })
    }

    /// Returns the daemons of this zone and the first one of each other zone.
    fn news_receivers(&self) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let (mut members, mut others) = (Vec::new(), Vec::new());
        let Some(snapshot) = self.view() else { return (members, others) };
        let mut daemons: Vec<_> = snapshot.view.daemons.iter().collect();
        daemons.sort_by(|a, b| a.id.cmp(&b.id));
        let mut known_zones = BTreeSet::new();
        for daemon in daemons {
            if daemon.id == self.settings.daemon || daemon.state == zone::UpstreamState::Gone {
                continue;
            }
            if daemon.zone == self.settings.zone {
                members.push(daemon.peer_address);
            } else if known_zones.insert(daemon.zone.clone()) {
                others.push(daemon.peer_address);
            }
        }
        (members, others)
    }
}

/// Returns whether this daemon reaches another upstream, so that a refused connection speaks against the
/// one and not against the path to it. Upstreams of the same pool are tried first.
async fn has_path(view: &zone::ZoneView, replica: &id::ReplicaId) -> bool {
    let pool = view.replicas.iter().find(|other| other.id == *replica).map(|other| &other.pool);
    let is_live = |other: &&zone::ReplicaView| {
        other.id != *replica && other.state == zone::UpstreamState::Live
    };
    let mut others: Vec<_> = view.replicas.iter().filter(is_live).collect();
    others.sort_by_key(|other| Some(&other.pool) != pool);
    for other in others.into_iter().take(MAX_WITNESSES) {
        let connecting = async_std::net::TcpStream::connect(other.address);
        let connected = async_std::future::timeout(PATH_TIMEOUT.to_duration(), connecting).await;
        if matches!(connected, Ok(Ok(_))) {
            return true;
        }
    }
    false
}

/// Returns whether no process listens at an address.
async fn refuses_connections(address: SocketAddr) -> bool {
    for _ in 0..PROBE_CONNECTIONS {
        let connecting = async_std::net::TcpStream::connect(address);
        let connected = async_std::future::timeout(PROBE_TIMEOUT.to_duration(), connecting).await;
        match connected {
            Ok(Ok(stream)) => {
                // A process that ends closes its sockets one after the other, and may have accepted
                // the connection before it closed that one, too.
                let mut byte = [0];
                let closed = stream.peek(&mut byte);
                if async_std::future::timeout(PROBE_TIME.to_duration(), closed).await.is_err() {
                    return false;
                }
            }
            Ok(Err(cause)) => {
                return matches!(
                    cause.kind(),
                    io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset
                );
            }
            Err(_) => return false,
        }
    }
    false
}

/// Sends notices to the other daemons, and quarantines what crashes speak against; never returns.
pub(crate) async fn exchange_news(core: Arc<core::EntryCore>, peers: Arc<peer::PeerClients>) {
    let mut known_daemons = BTreeSet::new();
    loop {
        task::sleep(NEWS_INTERVAL.to_duration()).await;
        let instant = core.quarantine_instant();
        let daemons: BTreeSet<_> = core.view().map_or_else(BTreeSet::new, |snapshot| {
            snapshot.view.daemons.iter().map(|daemon| daemon.peer_address).collect()
        });
        let has_joined = !daemons.is_subset(&known_daemons);
        known_daemons = daemons;
        let changes = core.quarantine.with_table(|table| {
            if has_joined {
                table.on_daemon_joined(instant.now);
            }
            let mut changes = table.evaluate(instant);
            changes.extend(table.sweep(instant.now));
            changes
        });
        core.apply_quarantine_changes(&changes, "crashes");
        send_news(&core, &peers, has_joined);
    }
}

/// Sends the notices that are due.
fn send_news(core: &Arc<core::EntryCore>, peers: &Arc<peer::PeerClients>, has_joined: bool) {
    let now = core.now();
    let is_first = core.is_first_daemon(|daemon| daemon.zone == core.settings.zone);
    let (members, others) = core.news_receivers();
    let mut notices = core.quarantine.with_table(|table| table.member_notices(now));
    if is_first && has_joined {
        notices.extend(core.quarantine.with_table(|table| table.join_notices(now)));
    }
    spawn_notices(core, peers, &members, false, &notices);
    if is_first {
        let notices = core.quarantine.with_table(|table| table.group_notices(now));
        spawn_notices(core, peers, &others, true, &notices);
    }
}

/// Sends notices in the form that all releases read, and those that earlier ones don't read apart.
fn spawn_notices(
    core: &core::EntryCore,
    peers: &Arc<peer::PeerClients>,
    receivers: &[SocketAddr],
    is_relayed: bool,
    notices: &[quarantine::QuarantineNotice],
) {
    let wire = quarantine::NoticesWire::from(notices);
    let zone = core.settings.zone.clone();
    if !wire.segments.is_empty() {
        let notices = wire.segments;
        let news = message_quarantine::NewsRequest { zone: zone.clone(), is_relayed, notices };
        spawn_news(peers, receivers, &peer::EntryRequest::News(Box::new(news)));
    }
    if !wire.requests.is_empty() {
        let news = message_quarantine::NewsRequest { zone, is_relayed, notices: wire.requests };
        spawn_news(peers, receivers, &peer::EntryRequest::CallNews(Box::new(news)));
    }
}

fn spawn_news(peers: &Arc<peer::PeerClients>, receivers: &[SocketAddr], news: &peer::EntryRequest) {
    for address in receivers.iter().copied() {
        let (peers, news) = (peers.clone(), news.clone());
        task::spawn(async move {
            if let Err(cause) = peers.send_news(address, &news).await {
                log::debug!("{address} did not take notices of what is quarantined ({cause})");
            }
        });
    }
}

/// Passes the notices of another zone on to this one. `new_request` makes the request to its daemons.
pub(crate) fn relay_news<N>(
    core: &core::EntryCore,
    peers: &Arc<peer::PeerClients>,
    news: message_quarantine::NewsRequest<N>,
    new_request: impl FnOnce(Box<message_quarantine::NewsRequest<N>>) -> peer::EntryRequest,
) {
    if news.is_relayed && news.zone != core.settings.zone {
        let (members, _) = core.news_receivers();
        let news = message_quarantine::NewsRequest { is_relayed: false, ..news };
        spawn_news(peers, &members, &new_request(Box::new(news)));
    }
}

/// Learns the verdicts from the operators' rows, then keeps the rows up to date while this daemon is
/// the first of all; never returns.
pub(crate) async fn follow_rows(core: Arc<core::EntryCore>, store: Arc<dyn table::TableStore>) {
    loop {
        match read_rows(store.as_ref()).await {
            Ok(rows) => {
                let notices = rows.iter().filter_map(|(suspect, row)| row.notice(*suspect));
                let notices: Vec<_> = notices.collect();
                core.apply_notices(&notices, quarantine::NoticeSource::Remote);
                break;
            }
            Err(cause) => log::debug!("failed to read what is quarantined ({cause})"),
        }
        task::sleep(RETRY_PAUSE.to_duration()).await;
    }
    let mut has_rows = false;
    loop {
        task::sleep(ROW_INTERVAL.to_duration()).await;
        let has_verdicts = core.quarantine.with_table(|table| table.verdicts().next().is_some());
        if !core.is_first_daemon(|_| true) || !has_verdicts && !has_rows {
            continue;
        }
        match update_rows(&core, store.as_ref()).await {
            Ok(()) => has_rows = has_verdicts,
            Err(cause) => {
                log::warn!("failed to update the rows of what is quarantined ({cause}); retrying");
            }
        }
    }
}

async fn read_rows(
    store: &dyn table::TableStore,
) -> Result<quarantine_rows::SuspectRows, table::PlatformError> {
    let rows = table::scan_all(store, quarantine_rows::ROW_PREFIX).await?;
    let (rows, unreadable) = quarantine_rows::decode(&rows);
    for key in unreadable {
        log::warn!("row {key} does not name what is quarantined; delete it");
    }
    Ok(rows)
}

/// Lifts the verdicts that an operator has marked, writes the rows of new ones and deletes those of
/// ended ones.
async fn update_rows(
    core: &core::EntryCore,
    store: &dyn table::TableStore,
) -> Result<(), table::PlatformError> {
    let rows = read_rows(store).await?;
    for suspect in quarantine_rows::released(&rows) {
        let instant = core.quarantine_instant();
        let changes = core.quarantine.with_table(|table| table.release(suspect, instant));
        core.apply_quarantine_changes(&changes, "operator");
    }
    let writes = core.quarantine.with_table(|table| quarantine_rows::writes(&rows, table));
    if writes.is_empty() {
        return Ok(());
    }
    let write_id = format!("{}-quarantine-{}", core.settings.daemon, core.now().get());
    let write_id = write_id
        .parse()
        .unwrap_or_else(|_| "quarantine".parse().expect("letters make an identifier"));
    let transaction = table::TableTransaction { write_id, conditions: Vec::new(), writes };
    store.commit(&transaction).await.map(|_| ())
}
