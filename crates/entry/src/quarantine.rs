//! Messages of chat calls under which engines crash.
//!
//! The daemons tell each other of crashes, of messages whose responses went on and of verdicts. Each
//! sends its news to the daemons of its availability zone; the first daemon of the zone sends them to
//! the first ones of the other zones, which pass them on.

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
use samphiremoor_platform::table;
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
/// Number of connections by which an engine is probed.
const PROBE_CONNECTIONS: u32 = 2;
/// Time for which a connection to an engine that lives stays open.
const PROBE_TIME: time::Millis = time::Millis::new(30);
/// Timeout of a probe.
const PROBE_TIMEOUT: time::Millis = time::Millis::new(400);
/// Time from the first token of a response after which it has gone on.
pub(crate) const SURVIVAL_TIME: time::Millis = time::Millis::new(1_000);

impl core::EntryCore {
    fn quarantine_instant(&self) -> clock_instant::ClockInstant {
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let unix_ms = time::Millis::from(since_epoch.unwrap_or_default()).get();
        clock_instant::ClockInstant { now: self.now(), unix_ms }
    }

    /// Returns the time until calls with one of the messages may be served, if one is quarantined. The
    /// first daemon of all lets one call through when the verdict is due to be tested.
    pub(crate) fn quarantine_wait(&self, shared: &[quarantine::SegmentId]) -> Option<time::Millis> {
        let instant = self.quarantine_instant();
        let is_tester = self.is_first_daemon(|_| true);
        self.quarantine.with_table(|table| {
            let (segment, wait) = table.find_quarantined(shared, instant)?;
            if is_tester && table.begin_test(segment, instant) {
                return None;
            }
            table.record_refusal(segment, instant.now);
            Some(wait.max(self.settings.callers.retry_after_ms))
        })
    }

    /// Returns whether a call with these messages may be the one under which engines crash.
    pub(crate) fn is_crash_suspect(&self, shared: &[quarantine::SegmentId]) -> bool {
        let instant = self.quarantine_instant();
        self.quarantine.with_table(|table| table.is_suspect(shared, instant))
    }

    /// Observes that the response to a call with these messages went on.
    pub(crate) fn observe_survival(&self, messages: &[quarantine::SegmentId]) {
        if messages.is_empty() {
            return;
        }
        let instant = self.quarantine_instant();
        let changes = self.quarantine.with_table(|table| table.observe_survival(messages, instant));
        self.apply_quarantine_changes(&changes, "response");
    }

    /// Finds out whether the engine of a failed dispatch has crashed, and reports the crash. Returns
    /// whether it may be this call's fault, so that the call may not be sent to another engine. The
    /// response must not have gone on there.
    pub(crate) async fn check_crash(
        &self,
        replica: &id::ReplicaId,
        request: &id::RequestId,
        shared: &[quarantine::SegmentId],
    ) -> bool {
        if shared.is_empty() || !self.has_crashed(replica).await {
            return false;
        }
        let segments: Vec<_> = shared.iter().map(ToString::to_string).collect();
        log_event!(
            event::LogEvent::UpstreamCrashed,
            replica = replica,
            request = request,
            segments = segments.join(","),
        );
        self.metrics.engine_crashes.inc();
        let instant = self.quarantine_instant();
        let incarnation = quantity::Incarnation::default();
        let (changes, may_repeat) = self.quarantine.with_table(|table| {
            let changes = table.observe_crash(replica, incarnation, shared, instant);
            (changes, table.may_repeat(shared, instant))
        });
        self.apply_quarantine_changes(&changes, "crashes");
        !may_repeat
    }

    /// Probes whether an engine in service refuses connections.
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
        let has_crashed = refuses_connections(replica_view.address).await;
        self.quarantine.record_probe(replica, has_crashed, now);
        has_crashed
    }

    /// Applies the news of another daemon.
    pub(crate) fn apply_news(&self, news: &message_quarantine::NewsRequest) {
        let source = match news.zone == self.settings.zone {
            true => quarantine::NoticeSource::Member,
            false => quarantine::NoticeSource::Remote,
        };
        self.apply_notices(&news.notices, source);
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
                quarantine::QuarantineChange::Quarantined(segment, crashes) => log_event!(
                    event::LogEvent::SegmentQuarantined,
                    segment = segment,
                    crashes = crashes,
                    source = source,
                ),
                quarantine::QuarantineChange::Released(segment) => {
                    log_event!(event::LogEvent::SegmentReleased, segment = segment, source = source,)
                }
            }
        }
        let count = self.quarantine.with_table(|table| table.verdicts().count());
        self.metrics.quarantined_messages.set(i64::try_from(count).unwrap_or(i64::MAX));
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

/// Sends news to the other daemons, and finds the messages that crashes speak against; never returns.
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

/// Sends the news that are due.
fn send_news(core: &Arc<core::EntryCore>, peers: &Arc<peer::PeerClients>, has_joined: bool) {
    let now = core.now();
    let is_first = core.is_first_daemon(|daemon| daemon.zone == core.settings.zone);
    let (members, others) = core.news_receivers();
    let news = |is_relayed, notices| {
        let zone = core.settings.zone.clone();
        message_quarantine::NewsRequest { zone, is_relayed, notices }
    };
    let mut notices = core.quarantine.with_table(|table| table.member_notices(now));
    if is_first && has_joined {
        notices.extend(core.quarantine.with_table(|table| table.join_notices(now)));
    }
    spawn_news(peers, members, news(false, notices));
    if is_first {
        let notices = core.quarantine.with_table(|table| table.group_notices(now));
        spawn_news(peers, others, news(true, notices));
    }
}

fn spawn_news(
    peers: &Arc<peer::PeerClients>,
    receivers: Vec<SocketAddr>,
    news: message_quarantine::NewsRequest,
) {
    if news.notices.is_empty() {
        return;
    }
    for address in receivers {
        let (peers, news) = (peers.clone(), news.clone());
        task::spawn(async move {
            if let Err(cause) = peers.send_news(address, &news).await {
                log::debug!("{address} did not take news of quarantined messages ({cause})");
            }
        });
    }
}

/// Passes the news of another zone on to this one.
pub(crate) fn relay_news(
    core: &core::EntryCore,
    peers: &Arc<peer::PeerClients>,
    news: message_quarantine::NewsRequest,
) {
    if news.is_relayed && news.zone != core.settings.zone {
        let (members, _) = core.news_receivers();
        spawn_news(peers, members, message_quarantine::NewsRequest { is_relayed: false, ..news });
    }
}

/// Learns the verdicts from the operators' rows, then keeps the rows up to date while this daemon is
/// the first of all; never returns.
pub(crate) async fn follow_rows(core: Arc<core::EntryCore>, store: Arc<dyn table::TableStore>) {
    loop {
        match read_rows(store.as_ref()).await {
            Ok(rows) => {
                let notices = rows.iter().filter_map(|(segment, row)| row.notice(*segment));
                let notices: Vec<_> = notices.collect();
                core.apply_notices(&notices, quarantine::NoticeSource::Remote);
                break;
            }
            Err(cause) => log::debug!("failed to read the quarantined messages ({cause})"),
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
                log::warn!("failed to update the rows of quarantined messages ({cause}); retrying");
            }
        }
    }
}

async fn read_rows(
    store: &dyn table::TableStore,
) -> Result<quarantine_rows::SegmentRows, table::PlatformError> {
    let rows = table::scan_all(store, quarantine_rows::ROW_PREFIX).await?;
    let (rows, unreadable) = quarantine_rows::decode(&rows);
    for key in unreadable {
        log::warn!("row {key} is not that of a quarantined message; delete it");
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
    for segment in quarantine_rows::released(&rows) {
        let instant = core.quarantine_instant();
        let changes = core.quarantine.with_table(|table| table.release(segment, instant));
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
