//! Limits on the requests that a replica takes from all daemons together.
//!
//! A replica in need names its limit in its responses. The limit is divided by a schedule that all
//! daemons compute alike: permit number `k` of a replica with a limit of `r` requests per second
//! falls due at `k / r` seconds of wall-clock time and belongs to one daemon, by turns. A daemon
//! sends a request only with a permit of its own and keeps an unused one for a while. No two daemons
//! use the same permit, so their sum keeps the limit also if each has far less than one request a
//! second, and without messages between them. Daemons tell each other only of limits that are new,
//! changed or lifted.
//!
//! The load pattern that matters is a replica that takes a few requests a second before many daemons
//! that learn of each other's requests late.

use std::collections;
use std::hash::Hasher as _;

use samphiremoor_base::id;
use samphiremoor_base::rate;
use samphiremoor_base::time;
use siphasher::sip;

use crate::clock_instant;
use crate::digest;
use crate::quota;

/// Lowest rate of permits. A replica that takes fewer requests is asked at this rate whether its
/// limit still holds.
const MIN_RATE: rate::RequestRate = rate::RequestRate::from_millis(100);
/// Time for which an unused permit is kept, besides that of [`KEPT_PERMITS`].
const KEPT_TIME: time::Millis = time::Millis::new(1_000);
/// Number of permits of all daemons in whose time an unused permit is kept, too. The replica may get
/// as many requests at once as fall due in both times.
const KEPT_PERMITS: u64 = 3;
/// Time for which digests repeat a change of a limit.
const NOTICE_REPEAT_TIME: time::Millis = time::Millis::new(5_000);
/// Time for which a lifted limit is remembered, so that late notices of it are recognized.
const LIFTED_MEMORY: time::Millis = time::Millis::new(30_000);

/// Position of a daemon among all daemons.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DaemonTurn {
    /// Number of daemons before this one.
    pub index: u32,
    /// Number of daemons.
    pub daemons: u32,
}

/// Change of a replica's limit, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitChange {
    /// The limit before; `None` if there was none.
    pub before: Option<rate::RequestRate>,
    /// The limit after; `None` if it was lifted.
    pub after: Option<rate::RequestRate>,
}

/// Limits that replicas name, and the permits of this daemon.
#[derive(Clone, Debug)]
pub struct LimitTable {
    limits: collections::BTreeMap<id::ReplicaId, ReplicaLimit>,
    turn: DaemonTurn,
    /// When the daemon started.
    started_at: time::MonotonicTime,
    /// When a daemon last joined or restarted. It knows no limits until it is told.
    joined_at: Option<time::MonotonicTime>,
    /// Number of changes that other daemons need to learn.
    version: u64,
}

/// Limit of one replica.
#[derive(Clone, Debug)]
struct ReplicaLimit {
    /// The limit; `None` if it was lifted.
    rate: Option<rate::RequestRate>,
    /// When the replica last said so, in milliseconds since the Unix epoch.
    observed_ms: u64,
    /// When this daemon last learned that the replica names the limit.
    named_at: time::MonotonicTime,
    /// When this daemon learned of the last change.
    changed_at: time::MonotonicTime,
    /// When the last used permit fell due, in milliseconds since the Unix epoch.
    used_until_ms: u64,
}

impl LimitTable {
    /// Creates the table of a daemon that starts now.
    pub fn new(now: time::MonotonicTime) -> Self {
        LimitTable {
            limits: collections::BTreeMap::new(),
            turn: DaemonTurn { index: 0, daemons: 1 },
            started_at: now,
            joined_at: None,
            version: 0,
        }
    }

    /// Sets the position of this daemon. Kept permits expire, as they may be another daemon's now.
    pub fn set_turn(&mut self, turn: DaemonTurn, instant: clock_instant::ClockInstant) {
        if std::mem::replace(&mut self.turn, turn) == turn {
            return;
        }
        for limit in self.limits.values_mut() {
            limit.used_until_ms = limit.used_until_ms.max(instant.unix_ms);
        }
    }

    /// Observes that a daemon joined or restarted, which must learn of all limits.
    pub fn on_daemon_joined(&mut self, now: time::MonotonicTime) {
        self.joined_at = Some(now);
    }

    /// Observes a response to a request that was sent at `sent_at`, and the limit that it names. A
    /// response without a limit lifts one only if its request was sent after the replica last named
    /// it, as responses may overtake each other.
    pub fn observe_response(
        &mut self,
        replica: &id::ReplicaId,
        named: Option<rate::RequestRate>,
        sent_at: time::MonotonicTime,
        instant: clock_instant::ClockInstant,
    ) -> Option<LimitChange> {
        if let Some(limit) = self.limits.get_mut(replica) {
            if named.is_none() && sent_at <= limit.named_at {
                return None;
            }
            limit.observed_ms = limit.observed_ms.max(instant.unix_ms);
            if named.is_some() {
                limit.named_at = instant.now;
            }
        }
        self.set_rate(replica, named, instant.unix_ms, instant.now)
    }

    /// Observes a notice of a peer, unless a later one is known.
    pub fn observe_notice(
        &mut self,
        notice: &digest::LimitNotice,
        now: time::MonotonicTime,
    ) -> Option<LimitChange> {
        let limit = self.limits.get(&notice.replica);
        if limit.is_some_and(|limit| notice.observed_ms <= limit.observed_ms) {
            return None;
        }
        self.set_rate(&notice.replica, notice.rate, notice.observed_ms, now)
    }

    fn set_rate(
        &mut self,
        replica: &id::ReplicaId,
        rate: Option<rate::RequestRate>,
        observed_ms: u64,
        now: time::MonotonicTime,
    ) -> Option<LimitChange> {
        let before = self.limits.get(replica).and_then(|limit| limit.rate);
        if before == rate {
            return None;
        }
        let used_until_ms = self.limits.get(replica).map_or(0, |limit| limit.used_until_ms);
        let (named_at, changed_at) = (now, now);
        let limit = ReplicaLimit { rate, observed_ms, named_at, changed_at, used_until_ms };
        self.limits.insert(replica.clone(), limit);
        self.version += 1;
        Some(LimitChange { before, after: rate })
    }

    /// Returns the time after which a request may be sent to a replica; zero if at once.
    pub fn wait(
        &self,
        replica: &id::ReplicaId,
        instant: clock_instant::ClockInstant,
    ) -> time::Millis {
        let Some(limit) = self.limits.get(replica) else { return time::Millis::default() };
        let Some(rate) = limit.rate else { return time::Millis::default() };
        // The daemon may not know all others yet.
        let warm_up = quota::WARM_UP_TIME.saturating_sub(instant.now.since(self.started_at));
        let from_ms = instant.unix_ms + warm_up.get();
        let permit = self.permits(replica, rate).first_after(limit.used_until_ms, from_ms);
        time::Millis::new(permit.saturating_sub(instant.unix_ms).max(warm_up.get()))
    }

    /// Uses a permit for a request that is sent to a replica now. Without one, the next one is used
    /// in advance.
    pub fn record_send(&mut self, replica: &id::ReplicaId, instant: clock_instant::ClockInstant) {
        let Some(limit) = self.limits.get(replica) else { return };
        let Some(rate) = limit.rate else { return };
        let permits = self.permits(replica, rate);
        let used_until_ms = permits.first_after(limit.used_until_ms, instant.unix_ms);
        if let Some(limit) = self.limits.get_mut(replica) {
            limit.used_until_ms = used_until_ms;
        }
    }

    fn permits(&self, replica: &id::ReplicaId, rate: rate::RequestRate) -> PermitSchedule {
        let daemons = u64::from(self.turn.daemons.max(1));
        let mut hasher = sip::SipHasher13::new();
        hasher.write(replica.as_str().as_bytes());
        let turn = (u64::from(self.turn.index) + hasher.finish() % daemons) % daemons;
        PermitSchedule { rate: rate.max(MIN_RATE).as_millis(), daemons, turn }
    }

    /// Returns whether a replica names a limit, or did so recently.
    pub fn contains(&self, replica: &id::ReplicaId) -> bool {
        self.limits.contains_key(replica)
    }

    /// Returns the replicas that name a limit.
    pub fn limited_replicas(&self) -> impl Iterator<Item = &id::ReplicaId> {
        let limited = self.limits.iter().filter(|(_, limit)| limit.rate.is_some());
        limited.map(|(replica, _)| replica)
    }

    /// Returns the number of changes that other daemons need to learn.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the recent changes, to report them to the peers, or all limits if a daemon joined
    /// recently.
    pub fn notices(&self, now: time::MonotonicTime) -> Vec<digest::LimitNotice> {
        let is_in_time = |at: time::MonotonicTime| now.since(at) < NOTICE_REPEAT_TIME;
        let has_joined = self.joined_at.is_some_and(is_in_time);
        let is_recent = |limit: &ReplicaLimit| has_joined || is_in_time(limit.changed_at);
        let recent = self.limits.iter().filter(|(_, limit)| is_recent(limit));
        let notice = |(replica, limit): (&id::ReplicaId, &ReplicaLimit)| digest::LimitNotice {
            replica: replica.clone(),
            rate: limit.rate,
            observed_ms: limit.observed_ms,
        };
        recent.map(notice).collect()
    }

    /// Drops the limits of replicas that are not known any more, and those that were lifted long
    /// ago.
    pub fn retain(&mut self, now: time::MonotonicTime, is_known: impl Fn(&id::ReplicaId) -> bool) {
        self.limits.retain(|replica, limit| {
            let is_recent = now.since(limit.changed_at) < LIFTED_MEMORY;
            is_known(replica) && (limit.rate.is_some() || is_recent)
        });
    }
}

/// Permits of one daemon for one replica.
#[derive(Clone, Copy, Debug)]
struct PermitSchedule {
    /// Permits of all daemons per thousand seconds.
    rate: u64,
    daemons: u64,
    /// Remainder of this daemon's permit numbers when divided by the number of daemons.
    turn: u64,
}

impl PermitSchedule {
    /// Returns when the first permit falls due that is not used and not expired at `now_ms`. It may
    /// fall due later than `now_ms`.
    fn first_after(&self, used_until_ms: u64, now_ms: u64) -> u64 {
        let kept_ms = KEPT_TIME.get() + KEPT_PERMITS * 1_000_000 / self.rate;
        let from_ms = used_until_ms.max(now_ms.saturating_sub(kept_ms));
        let next_number = self.number_at(from_ms) + 1;
        let passed_turn = next_number % u128::from(self.daemons);
        let skipped =
            (u128::from(self.daemons + self.turn) - passed_turn) % u128::from(self.daemons);
        self.due_ms(next_number + skipped)
    }

    /// Returns the number of the last permit that is due.
    fn number_at(&self, unix_ms: u64) -> u128 {
        u128::from(unix_ms) * u128::from(self.rate) / 1_000_000
    }

    /// Returns when a permit falls due, in milliseconds since the Unix epoch.
    fn due_ms(&self, number: u128) -> u64 {
        let due_ms = (number * 1_000_000).div_ceil(u128::from(self.rate));
        u64::try_from(due_ms).unwrap_or(u64::MAX)
    }
}
