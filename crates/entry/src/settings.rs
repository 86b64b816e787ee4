//! Settings of the entry daemon.

use std::net;
use std::path;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_control::settings as control_settings;
use samphiremoor_httpio::client;
use samphiremoor_httpio::server;
use samphiremoor_platform_client::settings as platform_settings;
use samphiremoor_requests::backoff;
use samphiremoor_requests::budget;
use samphiremoor_requests::policy;
use samphiremoor_settings::load;
use samphiremoor_shards::settings as shard_settings;
use serde::Deserialize;
use smallvec::SmallVec;
use smallvec::smallvec;

/// Contents of the settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Id of this daemon.
    pub daemon: id::DaemonId,
    /// VM that the daemon runs on.
    pub vm: id::VmId,
    /// Availability zone of the VM.
    pub zone: id::ZoneId,
    /// Address that serves callers.
    pub http_address: net::SocketAddr,
    /// Address that serves other entry daemons.
    pub peer_address: net::SocketAddr,
    /// Log filter, such as `info`.
    #[serde(default = "default_log_filter")]
    pub log: String,
    /// Settings of the control thread.
    pub control: Option<control_settings::ControlSettings>,
    /// File with a view as JSON, used instead of the control thread for development and tests.
    pub view_file: Option<path::PathBuf>,
    /// Settings of the platform client. The control thread requires the platform, and
    /// non-repeatable calls are refused without it.
    pub platform: Option<platform_settings::PlatformSettings>,
    /// Settings of the shards of the idempotency keys.
    #[serde(default)]
    pub shards: shard_settings::ShardSettings,
    /// Limits for callers.
    #[serde(default)]
    pub callers: CallerSettings,
    /// Limits for upstreams.
    #[serde(default)]
    pub upstreams: UpstreamSettings,
    /// Settings of retries.
    #[serde(default)]
    pub retries: RetrySettings,
    /// Settings of kept requests.
    #[serde(default)]
    pub kept: KeptSettings,
    /// Settings of the planned stop.
    #[serde(default)]
    pub stop: StopSettings,
}

fn default_log_filter() -> String {
    "info".to_owned()
}

/// Limits for callers.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerSettings {
    /// Greatest number of open connections.
    pub max_connections: usize,
    /// Size limit of a request body.
    pub max_body_bytes: quantity::ByteCount,
    /// Time limit for the header section, and for the idle time between two requests of a
    /// connection.
    pub head_timeout_ms: time::Millis,
    /// Time limit between two reads of a request body.
    pub read_timeout_ms: time::Millis,
    /// Time limit for a write, within which the caller must read some of the response.
    pub write_timeout_ms: time::Millis,
    /// Idle time after which a heartbeat is sent on a stream.
    pub heartbeat_ms: time::Millis,
    /// Greatest number of requests in progress.
    pub max_in_progress: u32,
    /// Longest time limit that a caller may set for a request.
    pub max_deadline_ms: time::Millis,
    /// Default retry-after of refusals.
    pub retry_after_ms: time::Millis,
}

impl Default for CallerSettings {
    fn default() -> Self {
        CallerSettings {
            max_connections: 4_096,
            max_body_bytes: quantity::ByteCount::new(4 * 1024 * 1024),
            head_timeout_ms: time::Millis::new(30_000),
            read_timeout_ms: time::Millis::new(10_000),
            write_timeout_ms: time::Millis::new(30_000),
            heartbeat_ms: time::Millis::new(1_000),
            max_in_progress: 2_048,
            max_deadline_ms: time::Millis::new(600_000),
            retry_after_ms: time::Millis::new(1_000),
        }
    }
}

/// Limits for upstreams.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamSettings {
    /// Connect timeout.
    pub connect_timeout_ms: time::Millis,
    /// Time limit for the response head of a model.
    pub head_timeout_ms: time::Millis,
    /// Time limit from the response head of a model to its first token.
    pub first_token_ms: time::Millis,
    /// Time limit for the response head of a plain service. A keyed call is not ended by it; its
    /// replica is suspended for other calls.
    pub answer_timeout_ms: time::Millis,
    /// Idle time after which an upstream connection is closed, except that of a keyed call.
    pub silence_ms: time::Millis,
    /// Size limit of a response that is not a stream, and of an exported KV cache.
    pub max_answer_bytes: quantity::ByteCount,
    /// Time for which a suspended replica gets no requests.
    pub blame_ms: time::Millis,
    /// Polls of cache events per second, over all engines of the zone.
    pub cache_polls: u64,
    /// Delay before streams migrate away from a leaving replica, so that short streams can finish
    /// there.
    pub leave_grace_ms: time::Millis,
    /// Least number of prompt and response tokens for which a migration transfers the KV cache.
    /// Shorter requests are recomputed.
    pub kv_transfer_min_tokens: quantity::TokenCount,
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        UpstreamSettings {
            connect_timeout_ms: time::Millis::new(500),
            head_timeout_ms: time::Millis::new(3_000),
            first_token_ms: time::Millis::new(10_000),
            answer_timeout_ms: time::Millis::new(10_000),
            silence_ms: time::Millis::new(3_000),
            max_answer_bytes: quantity::ByteCount::new(4 * 1024 * 1024),
            blame_ms: time::Millis::new(2_000),
            cache_polls: 10,
            leave_grace_ms: time::Millis::new(500),
            kv_transfer_min_tokens: quantity::TokenCount::new(64),
        }
    }
}

/// Settings of retries.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetrySettings {
    /// Greatest number of dispatches of one request without a new token, including the first one.
    pub max_attempts: u32,
    /// Retries that each accepted request adds to the retry budget, in thousandths.
    pub budget_per_mille: quantity::PerMille,
    /// Capacity of the retry budget, in retries.
    pub budget_burst: u32,
    /// Upper bound of the delay before the first retry.
    pub backoff_base_ms: time::Millis,
    /// Upper bound of the delay before any retry.
    pub backoff_max_ms: time::Millis,
    /// Time for which a request whose replica failed waits for another one.
    pub replica_wait_ms: time::Millis,
    /// Interval for retrying the selection of a replica.
    pub replica_poll_ms: time::Millis,
}

impl Default for RetrySettings {
    fn default() -> Self {
        RetrySettings {
            max_attempts: 8,
            budget_per_mille: quantity::PerMille::new(100),
            budget_burst: 100,
            backoff_base_ms: time::Millis::new(20),
            backoff_max_ms: time::Millis::new(1_000),
            replica_wait_ms: time::Millis::new(10_000),
            replica_poll_ms: time::Millis::new(100),
        }
    }
}

/// Settings of kept requests, which callers can reattach to.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeptSettings {
    /// Retention time of a finished request.
    pub retention_ms: time::Millis,
    /// Size limit of the kept requests and responses. The oldest finished requests are evicted
    /// first.
    pub max_bytes: quantity::ByteCount,
    /// Time without a reading caller after which a request in progress is cancelled.
    pub abandon_after_ms: time::Millis,
    /// Number of peers that are queried for a request whose daemon no longer keeps it or is
    /// unreachable.
    pub successors: usize,
    /// Timeout of a request to a peer.
    pub peer_timeout_ms: time::Millis,
}

impl Default for KeptSettings {
    fn default() -> Self {
        KeptSettings {
            retention_ms: time::Millis::new(300_000),
            max_bytes: quantity::ByteCount::new(64 * 1024 * 1024),
            abandon_after_ms: time::Millis::new(30_000),
            successors: 4,
            peer_timeout_ms: time::Millis::new(1_000),
        }
    }
}

/// Settings of the planned stop.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StopSettings {
    /// Time for which the daemon keeps listening, so that the load balancer notices the stop. New
    /// requests are accepted in the first half.
    pub grace_ms: time::Millis,
    /// Time after which the requests in progress are handed over to peers; 0 means no limit.
    pub limit_ms: time::Millis,
    /// Time after which the requests in progress are handed over when the VM is about to be
    /// reclaimed.
    pub reclaim_ms: time::Millis,
    /// Time limit of the handover.
    pub hand_over_ms: time::Millis,
}

impl Default for StopSettings {
    fn default() -> Self {
        StopSettings {
            grace_ms: time::Millis::new(3_000),
            limit_ms: time::Millis::new(0),
            reclaim_ms: time::Millis::new(1_500),
            hand_over_ms: time::Millis::new(3_000),
        }
    }
}

impl load::CheckedSettings for EntrySettings {
    fn check(&self) -> Result<(), load::ValueError> {
        self.check_view()?;
        self.check_addresses()?;
        if let Some(control) = &self.control {
            control.check()?;
        }
        if let Some(platform) = &self.platform {
            platform.check()?;
        }
        self.shards.check()?;
        for limit in self.positive_limits() {
            limit.check()?;
        }
        if self.retries.budget_per_mille.get() > 1_000 {
            return Err(load::ValueError {
                key: "retries.budget_per_mille",
                problem: "allows more than one retry per request".to_owned(),
                remedy: "set 0 to 1000".to_owned(),
            });
        }
        /// Bytes of a request id after the daemon id: a colon and a UUID.
        const REQUEST_SUFFIX_BYTES: usize = 37;
        if self.daemon.as_str().len() + REQUEST_SUFFIX_BYTES > id::MAX_ID_BYTES {
            return Err(load::ValueError {
                key: "daemon",
                problem: "too long for the request ids that start with it".to_owned(),
                remedy: format!("use at most {} bytes", id::MAX_ID_BYTES - REQUEST_SUFFIX_BYTES),
            });
        }
        Ok(())
    }
}

/// A setting that must not be zero.
struct PositiveLimit {
    key: &'static str,
    value: u64,
}

impl PositiveLimit {
    const fn new(key: &'static str, value: u64) -> Self {
        PositiveLimit { key, value }
    }

    fn check(&self) -> Result<(), load::ValueError> {
        if self.value > 0 {
            return Ok(());
        }
        Err(load::ValueError {
            key: self.key,
            problem: "must not be 0".to_owned(),
            remedy: "set at least 1".to_owned(),
        })
    }
}

impl EntrySettings {
    fn check_view(&self) -> Result<(), load::ValueError> {
        if self.control.is_some() == self.view_file.is_some() {
            return Err(load::ValueError {
                key: "control",
                problem: "the view needs one source".to_owned(),
                remedy: "write the table [control], or view_file for development".to_owned(),
            });
        }
        if self.control.is_some() && self.platform.is_none() {
            return Err(load::ValueError {
                key: "platform",
                problem: "the control thread has no platform".to_owned(),
                remedy: "write the table [platform] with its address".to_owned(),
            });
        }
        Ok(())
    }

    /// Checks that no two listeners share an address.
    fn check_addresses(&self) -> Result<(), load::ValueError> {
        let mut addresses: SmallVec<[_; 4]> =
            smallvec![("http_address", self.http_address), ("peer_address", self.peer_address),];
        if let Some(control) = &self.control {
            addresses.push(("control.address", control.address));
            let listen = control.listen.filter(|listen| *listen != control.address);
            addresses.extend(listen.map(|address| ("control.listen", address)));
        }
        for (index, (key, address)) in addresses.iter().enumerate() {
            if addresses[..index].iter().any(|(_, other)| other == address) {
                return Err(load::ValueError {
                    key,
                    problem: format!("{address} is used twice"),
                    remedy: "give each address a port of its own".to_owned(),
                });
            }
        }
        Ok(())
    }

    fn positive_limits(&self) -> [PositiveLimit; 15] {
        let callers = &self.callers;
        let upstreams = &self.upstreams;
        [
            PositiveLimit::new("callers.max_connections", callers.max_connections as u64),
            PositiveLimit::new("callers.max_body_bytes", callers.max_body_bytes.get()),
            PositiveLimit::new("callers.head_timeout_ms", callers.head_timeout_ms.get()),
            PositiveLimit::new("callers.read_timeout_ms", callers.read_timeout_ms.get()),
            PositiveLimit::new("callers.write_timeout_ms", callers.write_timeout_ms.get()),
            PositiveLimit::new("callers.heartbeat_ms", callers.heartbeat_ms.get()),
            PositiveLimit::new("callers.max_in_progress", u64::from(callers.max_in_progress)),
            PositiveLimit::new("callers.max_deadline_ms", callers.max_deadline_ms.get()),
            PositiveLimit::new("upstreams.connect_timeout_ms", upstreams.connect_timeout_ms.get()),
            PositiveLimit::new("upstreams.head_timeout_ms", upstreams.head_timeout_ms.get()),
            PositiveLimit::new("upstreams.first_token_ms", upstreams.first_token_ms.get()),
            PositiveLimit::new("upstreams.answer_timeout_ms", upstreams.answer_timeout_ms.get()),
            PositiveLimit::new("upstreams.cache_polls", upstreams.cache_polls),
            PositiveLimit::new("upstreams.silence_ms", upstreams.silence_ms.get()),
            PositiveLimit::new("retries.max_attempts", u64::from(self.retries.max_attempts)),
        ]
    }

    /// Returns the limits of the HTTP server.
    pub fn server_limits(&self) -> server::ServerLimits {
        /// Allowance for the header section and the framing of a chunked body.
        const FRAMING_BYTES: u64 = 64 * 1024;
        let callers = &self.callers;
        let max_body_bytes = callers.max_body_bytes.get();
        server::ServerLimits {
            max_connections: callers.max_connections,
            max_request: quantity::ByteCount::new(max_body_bytes.saturating_add(FRAMING_BYTES)),
            head_timeout: callers.head_timeout_ms,
            read_timeout: callers.read_timeout_ms,
            write_timeout: callers.write_timeout_ms,
        }
    }

    /// Returns the time limits of a call to an upstream.
    pub fn call_limits(&self) -> client::CallLimits {
        client::CallLimits {
            connect: self.upstreams.connect_timeout_ms,
            head: self.upstreams.head_timeout_ms,
            silence: self.upstreams.silence_ms,
        }
    }

    /// Returns the policy of the retry budget.
    pub fn budget_policy(&self) -> budget::BudgetPolicy {
        budget::BudgetPolicy {
            ratio: self.retries.budget_per_mille,
            burst: self.retries.budget_burst,
        }
    }

    /// Returns the policy of a request's state machine.
    pub fn request_policy(&self, repeat: policy::RepeatPolicy) -> policy::RequestPolicy {
        policy::RequestPolicy {
            repeat,
            max_attempts: self.retries.max_attempts,
            backoff: backoff::BackoffPolicy {
                base: self.retries.backoff_base_ms,
                max: self.retries.backoff_max_ms,
            },
            replica_wait: self.retries.replica_wait_ms,
            replica_poll: self.retries.replica_poll_ms,
            retry_after: self.callers.retry_after_ms,
        }
    }
}
