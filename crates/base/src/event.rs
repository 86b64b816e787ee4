//! Numbered log events. The catalogue in `docs/EVENTS.md` lists each of them.
//!
//! A line reads `E0101 request-accepted request=… key=value`.

use std::fmt;

macro_rules! events {
    ($($number:literal $variant:ident $name:literal $level:ident $meaning:literal,)*) => {
        /// A kind of log line.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum LogEvent {
            $(#[doc = $meaning] $variant,)*
        }

        impl LogEvent {
            /// Every event, by number.
            pub const ALL: &'static [LogEvent] = &[$(LogEvent::$variant,)*];

            /// The event's number, which never changes.
            pub const fn number(self) -> u16 {
                match self { $(LogEvent::$variant => $number,)* }
            }

            /// The event's name.
            pub const fn name(self) -> &'static str {
                match self { $(LogEvent::$variant => $name,)* }
            }

            /// The level at which the event is logged.
            pub const fn level(self) -> log::Level {
                match self { $(LogEvent::$variant => log::Level::$level,)* }
            }

            /// What the event says, for the catalogue.
            pub const fn meaning(self) -> &'static str {
                match self { $(LogEvent::$variant => $meaning,)* }
            }
        }
    };
}

// Numbers: 0xx process, 1xx requests, 2xx claims and leases, 3xx records, 4xx membership,
// 5xx placement and capacity, 6xx duties of one daemon for all, 9xx stand-ins.
events! {
    1 ProcessStarted "process-started" Info "The process is up and listens.",
    2 ProcessStopping "process-stopping" Info "The process takes no new work and finishes what is in progress.",
    3 ProcessStopped "process-stopped" Info "The process ends.",
    4 StopForced "stop-forced" Warn "The stop's time limit or a second signal cut the wait; work was handed over or ended as unknown.",
    5 ConnectionRefused "connection-refused" Warn "A connection was refused at its limit.",
    6 PlatformUnavailable "platform-unavailable" Warn "A call to the platform failed; it is tried again with backoff.",
    7 PlatformBack "platform-back" Info "The platform answers again.",
    9 SettingsReloaded "settings-reloaded" Info "The settings were read again; what changed is given.",
    8 PeerSilent "peer-silent" Warn "A link to another daemon went silent and is dialled anew.",
    101 RequestAccepted "request-accepted" Debug "A request was accepted.",
    102 RequestFinished "request-finished" Info "A request ended; the outcome, status and time are given.",
    103 RequestRefused "request-refused" Info "A request was refused; the reason is given.",
    104 RequestRetried "request-retried" Info "A request is tried again; the reason and the replica are given.",
    105 StreamMoved "stream-moved" Info "A stream goes on at its offset on another replica.",
    106 RequestHandedOver "request-handed-over" Info "A request was handed to another daemon.",
    107 CallerGone "caller-gone" Info "The caller closed its connection before the answer was whole.",
    108 ReplicaChosen "replica-chosen" Info "A replica was chosen for a request; the load that decided is given.",
    109 QuotaUsedUp "quota-used-up" Info "A request is over its workspace's limit; this daemon's part of the limit is given.",
    110 SendFailed "send-failed" Info "A send to a replica came to no answer that can be passed on; the reason and what is known of the replica are given.",
    201 ClaimsWritten "claims-written" Debug "A batch of claims was written.",
    202 ClaimsRefused "claims-refused" Warn "A batch of claims was refused since the lease has another holder.",
    203 ClaimsUnsettled "claims-unsettled" Warn "The answer to a write of claims was lost; the row is read back.",
    204 LeaseTaken "lease-taken" Info "This daemon holds a lease now; the fencing number is given.",
    205 LeaseLost "lease-lost" Warn "This daemon no longer holds a lease.",
    206 ShardSealed "shard-sealed" Info "A peer refuses claim copies of an earlier holder.",
    207 ClaimsCopied "claims-copied" Info "Claims are kept by peers while the table is unavailable.",
    301 RevisionInForce "revision-in-force" Info "A revision of the records is in force in this process.",
    302 RecordRefused "record-refused" Warn "A record was refused; the reason is given.",
    303 RevisionRelayed "revision-relayed" Debug "A revision was taken from a peer.",
    401 UpstreamJoined "upstream-joined" Info "An upstream is in service.",
    402 UpstreamLeaving "upstream-leaving" Info "An upstream gets no new work.",
    403 UpstreamGone "upstream-gone" Info "An upstream is gone.",
    404 DaemonSuspected "daemon-suspected" Warn "A daemon does not answer.",
    405 DaemonBack "daemon-back" Info "A daemon answers and serves, for the first time or again.",
    406 DaemonJoined "daemon-joined" Info "A daemon is known that was not, or its state changed.",
    407 DaemonGone "daemon-gone" Warn "A daemon is gone.",
    408 UpstreamSuspected "upstream-suspected" Warn "An upstream can't be reached, is silent or is another one than expected; it gets no work for a while.",
    409 ReaderChosen "reader-chosen" Info "Another daemon reads the table for this one, or this one reads itself (none).",
    501 OrderSent "order-sent" Info "An order was sent to an upstream; the fencing number is given.",
    502 OrderRefused "order-refused" Warn "An upstream refused an order.",
    503 VmStarted "vm-started" Info "The cloud accepted the start of a VM.",
    504 VmStartRefused "vm-start-refused" Warn "The cloud refused the start of a VM; the next attempt's time is given.",
    505 VmReleased "vm-released" Info "A VM was given back to the cloud.",
    506 ReclaimNoticed "reclaim-noticed" Warn "The cloud announced the reclaim of a VM.",
    507 CapacityOrdered "capacity-ordered" Info "Replicas of a zone were ordered; the count, the answer and the fencing number are given.",
    601 DutyTaken "duty-taken" Info "This daemon does the duties now; the fencing number is given.",
    602 DutyLost "duty-lost" Warn "This daemon does the duties no longer.",
    603 UsageReported "usage-reported" Info "The usage of a window was reported; the answer is given.",
    901 FaultInjected "fault-injected" Info "A stand-in was told to fail.",
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{:04} {}", self.number(), self.name())
    }
}

/// Logs a numbered event with its fields as `key=value`.
#[macro_export]
macro_rules! log_event {
    ($event:expr $(, $key:ident = $value:expr)* $(,)?) => {{
        let event: $crate::event::LogEvent = $event;
        $crate::event::write(event, format_args!(
            concat!($(" ", stringify!($key), "={}"),*) $(, $value)*
        ));
    }};
}

/// Writes one event; called through [`log_event!`](crate::log_event).
pub fn write(event: LogEvent, fields: fmt::Arguments<'_>) {
    log::log!(target: "samphiremoor", event.level(), "{event}{fields}");
}
