//! Numbered log events. The catalogue in `docs/EVENTS.md` lists all of them.
//!
//! The message of a log line has the form `E0101 request-accepted request=… key=value`.

use std::fmt;

macro_rules! events {
    ($($number:literal $variant:ident $name:literal $level:ident $meaning:literal,)*) => {
        /// A kind of log line.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum LogEvent {
            $(#[doc = $meaning] $variant,)*
        }

        impl LogEvent {
            /// All events, in the order of declaration.
            pub const ALL: &'static [LogEvent] = &[$(LogEvent::$variant,)*];

            /// Returns the number of the event, which never changes between versions.
            pub const fn number(self) -> u16 {
                match self { $(LogEvent::$variant => $number,)* }
            }

            /// Returns the name of the event.
            pub const fn name(self) -> &'static str {
                match self { $(LogEvent::$variant => $name,)* }
            }

            /// Returns the level at which the event is logged.
            pub const fn level(self) -> log::Level {
                match self { $(LogEvent::$variant => log::Level::$level,)* }
            }

            /// Returns the description of the event for the catalogue.
            pub const fn meaning(self) -> &'static str {
                match self { $(LogEvent::$variant => $meaning,)* }
            }
        }
    };
}

// Number ranges: 0xx process, 1xx requests, 2xx claims and leases, 3xx records, 4xx membership,
// 5xx placement and capacity, 6xx duties (singleton tasks of one daemon), 9xx stand-ins.
events! {
    1 ProcessStarted "process-started" Info "The process started and listens on its addresses.",
    2 ProcessStopping "process-stopping" Info "The process shuts down: it accepts no new requests and finishes those in progress.",
    3 ProcessStopped "process-stopped" Info "The process exits.",
    4 StopForced "stop-forced" Warn "The time limit of the shutdown or a second signal ended the wait; requests in progress were handed over or ended with outcome unknown.",
    5 ConnectionRefused "connection-refused" Warn "A connection was refused because the limit on open connections is reached.",
    6 PlatformUnavailable "platform-unavailable" Warn "A call to the platform failed; it is retried with backoff.",
    7 PlatformBack "platform-back" Info "The platform responds again after failed calls.",
    9 SettingsReloaded "settings-reloaded" Info "The settings file was read again; the line says whether the settings changed, and when they take effect.",
    10 StoreRestored "store-restored" Warn "The platform's table returned from an older copy of itself; the line has the last known position before it and the first one after it.",
    8 PeerSilent "peer-silent" Warn "A connection to another daemon timed out and is opened again.",
    101 RequestAccepted "request-accepted" Debug "A request was accepted.",
    102 RequestFinished "request-finished" Info "A request ended; the line has the outcome, status and time.",
    103 RequestRefused "request-refused" Info "A request was refused; the line has the reason.",
    104 RequestRetried "request-retried" Info "A request is retried; the line has the reason and the replica.",
    105 StreamMoved "stream-moved" Info "A response stream continues at its offset on another replica.",
    106 RequestHandedOver "request-handed-over" Info "A request was handed over to another daemon.",
    107 CallerGone "caller-gone" Info "The caller closed its connection before the response was complete.",
    108 ReplicaChosen "replica-chosen" Info "A replica was selected for a request; the line has the load on which the selection was based.",
    109 QuotaUsedUp "quota-used-up" Info "A request exceeds the limit of its workspace; the line has the share of the limit that this daemon enforces.",
    110 SendFailed "send-failed" Info "A dispatch to a replica produced no response that can be relayed; the line has the reason and the known state of the replica.",
    111 ResponseWritten "response-written" Debug "Bytes of a response were written to the caller's connection; the line says whether they begin and whether they end the response.",
    112 ReplicaSilent "replica-silent" Info "A replica has sent no data for a request for too long; the request stays there and may be sent to another replica as well.",
    113 ReplicaResumed "replica-resumed" Info "A silent replica sends data again for a request; the line has the length of the silence.",
    114 ReplicaMissing "replica-missing" Info "No replica can be selected for a request; the line has the software version that its stream requires, if any.",
    115 StreamResumed "stream-resumed" Info "A caller resumes a stream; the line has the attempt that brought the first event, the software version that began it, and the daemon that knew it.",
    116 ConnectionDropped "connection-dropped" Info "A caller's connection without a request in progress was closed, because the limit on open connections is reached.",
    117 BodiesDropped "bodies-dropped" Info "Requests that were received in part and made no progress are dropped, because the memory for received bytes is used up; the line has their number.",
    118 RefusalUnconfirmed "refusal-unconfirmed" Warn "A replica responded with a status that promises callers that the request has not run, and did not state that it has not run it; the caller does not get that status. The line has the status.",
    201 ClaimsWritten "claims-written" Debug "A batch of claims was written.",
    202 ClaimsRefused "claims-refused" Warn "A batch of claims was refused because another daemon holds the lease.",
    203 ClaimsUnsettled "claims-unsettled" Warn "The response to a write of claims was lost; the row is read back.",
    204 LeaseTaken "lease-taken" Info "This daemon acquired a lease; the line has the fencing token.",
    205 LeaseLost "lease-lost" Warn "This daemon no longer holds a lease.",
    206 ShardSealed "shard-sealed" Info "This daemon sealed a shard: it refuses claim copies from earlier holders of the lease.",
    207 ClaimsCopied "claims-copied" Info "Claims are replicated to peers while the table is unavailable.",
    301 RevisionInForce "revision-in-force" Info "A revision of the records took effect in this process.",
    302 RecordRefused "record-refused" Warn "A record was refused; the line has the reason.",
    303 RevisionRelayed "revision-relayed" Debug "A revision of the records was received from a peer.",
    304 DocumentRead "document-read" Info "A daemon read the operators' document from another one; the line has the source, the bytes and the time.",
    305 DocumentUnread "document-unread" Info "A daemon could not read the operators' document, or a part of it, from another one and asks again or elsewhere; the line has the source, the cause and the time.",
    401 UpstreamJoined "upstream-joined" Info "An upstream is in service.",
    402 UpstreamLeaving "upstream-leaving" Info "An upstream is leaving and gets no new requests.",
    403 UpstreamGone "upstream-gone" Info "An upstream was removed.",
    404 DaemonSuspected "daemon-suspected" Warn "A daemon does not respond.",
    405 DaemonBack "daemon-back" Info "A daemon responds and serves, for the first time or again.",
    406 DaemonJoined "daemon-joined" Info "A daemon was discovered, or the state of a daemon changed.",
    407 DaemonGone "daemon-gone" Warn "A daemon was removed.",
    408 UpstreamSuspected "upstream-suspected" Warn "An upstream is unreachable, timed out or has another identity than expected; it gets no requests for a while.",
    409 ReaderChosen "reader-chosen" Info "The daemon that reads the replica entries or the policy in the table on behalf of this one was selected; none means that this daemon reads them itself.",
    410 UpstreamLimited "upstream-limited" Info "An upstream named a limit on the requests that it takes from all daemons together, or changed or lifted it; the line has the limits before and after, in requests per second, and who learned of it.",
    412 UpstreamCrashed "upstream-crashed" Warn "An upstream crashed under requests whose responses had not survived; the line has the suspects of one of them: its shared prompt segments and its fingerprint.",
    413 SuspectQuarantined "suspect-quarantined" Warn "A request, or all requests with a prompt segment, are refused, since upstreams crash under them; the line has the number of crashes, and who decided it.",
    414 SuspectReleased "suspect-released" Info "A request, or all requests with a prompt segment, are served again: a response survived, an operator lifted the verdict, or no request was refused for long.",
    415 CrashRefuted "crash-refuted" Warn "An upstream that was reported to have crashed has answered since; the line has the daemons that reported it, whose reports don't count for some seconds.",
    416 PathSuspected "path-suspected" Warn "The daemon seems to have lost its path to the upstreams of a service in a zone; new connections to them go by way of other daemons as well. The line has the service and the zone.",
    417 PathRestored "path-restored" Info "The daemon reaches the upstreams of a service in a zone directly again.",
    418 TunnelRefused "tunnel-refused" Info "A connection of another daemon to an upstream was not relayed; the line has the daemon, the upstream and the cause.",
    411 LimitRefused "limit-refused" Warn "An upstream named a limit that is no number of requests per second; it counts as absent. The line appears once for each value.",
    419 HeaderIgnored "header-ignored" Warn "A response of an upstream has a value that is not defined, for example whether it leaves; it counts as absent. The line appears once for each value, with what the value is about and the cause.",
    420 UpstreamPaused "upstream-paused" Info "An upstream asked this daemon to send it no request for the seconds in the line. Further ones that it asks for meanwhile are not logged.",
    421 EntryUnreadable "entry-unreadable" Warn "Another writer has left a row among the upstreams' that is no entry; what was known of the upstream holds until its row can be read again or is removed.",
    422 EntriesRepaired "entries-repaired" Warn "The replica entries that were copied from the daemon that reads the table differed from its own and were copied again; the line has its stamp (daemon, incarnation, version) and the fingerprints of both before the copy.",
    423 UpstreamIdentified "upstream-identified" Info "After a pause of this daemon or a gap in a response with neither a length nor chunks, a status check told whether the upstream still listens at its address; the line has the status, 0 if there was no answer in time, and whether the response is whole.",
    424 ReaderOutdated "reader-outdated" Info "The last read of the daemon that reads the replica entries or the policy on behalf of this one is too old to rely on; this daemon reads them itself.",
    501 OrderSent "order-sent" Info "An order was sent to an upstream; the line has the fencing token.",
    502 OrderRefused "order-refused" Warn "An upstream refused an order.",
    503 VmStarted "vm-started" Info "The cloud accepted the start of a VM.",
    504 VmStartRefused "vm-start-refused" Warn "The cloud refused the start of a VM; the line has the time until the next attempt.",
    505 VmReleased "vm-released" Info "A VM was released to the cloud.",
    506 ReclaimNoticed "reclaim-noticed" Warn "The cloud announced the reclaim of a VM.",
    507 CapacityOrdered "capacity-ordered" Info "Replicas in a zone were ordered; the line has the count, the response and the fencing token.",
    601 DutyTaken "duty-taken" Info "This daemon acquired the lease for the duties and performs them; the line has the fencing token.",
    602 DutyLost "duty-lost" Warn "This daemon lost the lease for the duties and no longer performs them.",
    603 UsageReported "usage-reported" Info "The usage of a window was reported; the line has the response.",
    604 UsageReportLost "usage-report-lost" Warn "The usage of a window is not reported: the table has lost whether it was, and with which counts.",
    605 RolloutOrdered "rollout-ordered" Info "An order to move a service to another version became known; the line says whether this daemon was started during it, so that it sends the new version nothing until it is trusted.",
    606 RolloutPhase "rollout-phase" Info "A phase of a rollout began, as this daemon knows it; the line has the phase, with the share of requests in thousandths.",
    607 RolloutVetoed "rollout-vetoed" Warn "The new version of a rollout is bad by the responses that this daemon knows of; it sends it no new requests, and the rollout is rolled back. The line has the reason.",
    608 RolloutStatus "rollout-status" Info "The row that shows operators the state of a rollout was written.",
    609 RolloutIgnored "rollout-ignored" Warn "The order of a rollout names a service that the policy does not declare; it has no effect until the policy does.",
    901 FaultInjected "fault-injected" Info "A stand-in was instructed to inject faults.",
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{:04} {}", self.number(), self.name())
    }
}

/// Logs a numbered event with its fields in the form `key=value`.
#[macro_export]
macro_rules! log_event {
    ($event:expr $(, $key:ident = $value:expr)* $(,)?) => {{
        let event: $crate::event::LogEvent = $event;
        $crate::event::write(event, format_args!(
            concat!($(" ", stringify!($key), "={}"),*) $(, $value)*
        ));
    }};
}

/// Writes one event to the logger. Use [`log_event!`](crate::log_event) instead of calling it.
pub fn write(event: LogEvent, fields: fmt::Arguments<'_>) {
    log::log!(target: "samphiremoor", event.level(), "{event}{fields}");
}
