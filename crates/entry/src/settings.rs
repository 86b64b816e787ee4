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

/// Everything that the settings file holds.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// This daemon.
    pub daemon: id::DaemonId,
    /// Its VM.
    pub vm: id::VmId,
    /// Its availability zone.
    pub zone: id::ZoneId,
    /// Where it serves callers.
    pub http_address: net::SocketAddr,
    /// Where it answers other entry daemons.
    pub peer_address: net::SocketAddr,
    /// Log filter, such as `info`.
    #[serde(default = "default_log")]
    pub log: String,
    /// The control thread.
    pub control: Option<control_settings::ControlSettings>,
    /// A view as JSON in the control thread's place, for development and tests.
    pub view_file: Option<path::PathBuf>,
    /// The platform, which the control thread needs and calls that may not be repeated; without it
    /// they are refused.
    pub platform: Option<platform_settings::PlatformSettings>,
    /// Shards of the idempotency keys.
    #[serde(default)]
    pub shards: shard_settings::ShardSettings,
    /// Limits towards callers.
    #[serde(default)]
    pub callers: CallerSettings,
    /// Limits towards upstreams.
    #[serde(default)]
    pub upstreams: UpstreamSettings,
    /// Retries.
    #[serde(default)]
    pub retries: RetrySettings,
    /// Kept requests.
    #[serde(default)]
    pub kept: KeptSettings,
    /// The planned stop.
    #[serde(default)]
    pub stop: StopSettings,
}

fn default_log() -> String {
    "info".to_owned()
}

/// Limits towards callers.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerSettings {
    /// Connections open at the same time.
    pub max_connections: usize,
    /// Bytes of one body.
    pub max_body_bytes: quantity::ByteCount,
    /// Time for the header section, and for the pause between two requests.
    pub head_timeout_ms: time::Millis,
    /// Time without a byte of a body.
    pub read_timeout_ms: time::Millis,
    /// Time in which a caller must take some of the answer.
    pub write_timeout_ms: time::Millis,
    /// Time without an event after which a stream carries an empty one.
    pub heartbeat_ms: time::Millis,
    /// Requests in progress at the same time.
    pub max_in_progress: u32,
    /// Greatest deadline that a caller may set.
    pub max_deadline_ms: time::Millis,
    /// Time after which a refused caller may try again where nothing better is known.
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

/// Limits towards upstreams.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamSettings {
    /// Time to connect.
    pub connect_timeout_ms: time::Millis,
    /// Time to the head of a model's answer.
    pub head_timeout_ms: time::Millis,
    /// Time from the head of a model's answer to its first token.
    pub first_token_ms: time::Millis,
    /// Time to the head of a plain service's answer.
    pub answer_timeout_ms: time::Millis,
    /// Time without a byte after which a connection is silent.
    pub silence_ms: time::Millis,
    /// Bytes of one answer of a plain service.
    pub max_answer_bytes: quantity::ByteCount,
    /// Time for which a blamed replica gets no requests.
    pub blame_ms: time::Millis,
    /// Polls of engines' cache events in a second, over all engines of the zone.
    pub cache_polls: u64,
    /// Time after which streams on a leaving replica move, so that short ones end there.
    pub leave_grace_ms: time::Millis,
    /// Tokens of prompt and answer from which on their KV cache is moved along.
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

/// Retries.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetrySettings {
    /// Dispatches of one request that bring no new token, the first included.
    pub max_attempts: u32,
    /// Retries earned by each accepted request, in thousandths.
    pub budget_per_mille: quantity::PerMille,
    /// Retries that can be saved up.
    pub budget_burst: u32,
    /// Greatest delay before the first retry.
    pub backoff_base_ms: time::Millis,
    /// Greatest delay before any retry.
    pub backoff_max_ms: time::Millis,
    /// Time for which a request that lost its replica waits for another one.
    pub replica_wait_ms: time::Millis,
    /// Time between two looks for a replica.
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

/// Kept requests, for callers that attach again.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeptSettings {
    /// Time for which an ended request is kept.
    pub retention_ms: time::Millis,
    /// Bytes of prompts and answers that are kept; the oldest ended requests go first.
    pub max_bytes: quantity::ByteCount,
    /// Time without a caller after which a request in progress is cancelled.
    pub abandon_after_ms: time::Millis,
    /// Peers that are asked for a request whose daemon is gone.
    pub successors: usize,
    /// Time after which an unanswered message to a peer is given up.
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

/// The planned stop.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StopSettings {
    /// Time for which the daemon still listens, so that the balancer notices; in its first half the
    /// daemon still takes new work.
    pub grace_ms: time::Millis,
    /// Time after which the requests in progress are handed over; 0 waits without a limit.
    pub limit_ms: time::Millis,
    /// Time after which the requests in progress are handed over where the VM is about to go.
    pub reclaim_ms: time::Millis,
    /// Time for the hand-over itself.
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
        for limit in self.counts() {
            limit.check()?;
        }
        if self.retries.budget_per_mille.get() > 1_000 {
            return Err(load::ValueError {
                key: "retries.budget_per_mille",
                problem: "more than one retry for each request".to_owned(),
                remedy: "set 0 to 1000".to_owned(),
            });
        }
        /// Bytes of a request id beside the daemon's own id: a colon and a UUID.
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

/// A number that must not be zero.
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
            problem: "0 lets nothing through".to_owned(),
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

    /// Each address that is listened on needs a port of its own.
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

    fn counts(&self) -> [PositiveLimit; 15] {
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

    /// Limits of the HTTP server.
    pub fn server_limits(&self) -> server::ServerLimits {
        /// Room for the header section and the framing of a chunked body.
        const FRAMING_BYTES: u64 = 64 * 1024;
        let callers = &self.callers;
        let body = callers.max_body_bytes.get();
        server::ServerLimits {
            max_connections: callers.max_connections,
            max_request: quantity::ByteCount::new(body.saturating_add(FRAMING_BYTES)),
            head_timeout: callers.head_timeout_ms,
            read_timeout: callers.read_timeout_ms,
            write_timeout: callers.write_timeout_ms,
        }
    }

    /// Time limits of a call to an upstream.
    pub fn call_limits(&self) -> client::CallLimits {
        client::CallLimits {
            connect: self.upstreams.connect_timeout_ms,
            head: self.upstreams.head_timeout_ms,
            silence: self.upstreams.silence_ms,
        }
    }

    /// Size of the retry budget.
    pub fn budget_policy(&self) -> budget::BudgetPolicy {
        budget::BudgetPolicy {
            ratio: self.retries.budget_per_mille,
            burst: self.retries.budget_burst,
        }
    }

    /// Policy of a request.
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
