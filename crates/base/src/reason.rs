//! Reasons for refusing and for retrying a request. Each reason has its own metric label.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

macro_rules! reasons {
    ($(#[$doc:meta])* $name:ident { $($(#[$vdoc:meta])* $variant:ident => $label:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        #[derive(Deserialize, Serialize)]
        pub enum $name {
            $($(#[$vdoc])* $variant,)*
        }

        impl $name {
            /// All reasons, in the order of declaration.
            pub const ALL: &'static [$name] = &[$($name::$variant,)*];

            /// Returns the metric label, which is also the last part of a problem type.
            pub const fn label(self) -> &'static str {
                match self {
                    $($name::$variant => $label,)*
                }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.label())
            }
        }
    };
}

reasons!(
    /// Reason why a request was refused or failed.
    RefusalReason {
        /// The message is not valid HTTP.
        MalformedHttp => "malformed-http",
        /// The body is not valid JSON of the expected form.
        MalformedBody => "malformed-body",
        /// The header section or the body exceeds its size limit.
        TooLarge => "too-large",
        /// The caller sent the request too slowly.
        SlowCaller => "slow-caller",
        /// The request has no API key, or a key that belongs to no workspace.
        WrongKey => "wrong-key",
        /// No endpoint has the path.
        UnknownPath => "unknown-path",
        /// The service does not exist, or the workspace is not permitted to use it.
        UnknownService => "unknown-service",
        /// No record declares the model or its version.
        UnknownModel => "unknown-model",
        /// The request id is unknown or belongs to another workspace.
        UnknownRequest => "unknown-request",
        /// A call that is not safe to retry has no idempotency key.
        MissingIdempotencyKey => "missing-idempotency-key",
        /// The idempotency key was used before with another body.
        IdempotencyKeyReused => "idempotency-key-reused",
        /// A header has an invalid value.
        BadHeader => "bad-header",
        /// The limit on open connections of the daemon is reached.
        TooManyConnections => "too-many-connections",
        /// The limit on requests in progress of the daemon is reached.
        TooManyRequests => "too-many-requests",
        /// The request was received in part, made no progress, and the memory for all is used up.
        StalledBody => "stalled-body",
        /// The workspace exceeds its share of the capacity.
        WorkspaceLimit => "workspace-limit",
        /// The request is shed because of overload.
        Shed => "shed",
        /// The request can't be completed before its deadline.
        DeadlineUnreachable => "deadline-unreachable",
        /// The deadline of the request passed.
        DeadlinePassed => "deadline-passed",
        /// No replica can serve the request now.
        NoReplica => "no-replica",
        /// The replicas that can serve the request get no more requests than the limits that they
        /// named.
        ReplicaLimit => "replica-limit",
        /// The replicas that can serve the request want none from this daemon for a while.
        ReplicaPaused => "replica-paused",
        /// Replicas crash under the request, or under a segment of its prompt.
        Quarantined => "quarantined",
        /// A replica crashed under the request, which is not sent to another one.
        ReplicaCrashed => "replica-crashed",
        /// No replica of the software version that began the stream can serve the request now.
        NoReplicaOfVersion => "no-replica-of-version",
        /// The software version that began the stream is not known.
        UnknownStreamVersion => "unknown-stream-version",
        /// The retry budget is exhausted.
        RetryBudgetSpent => "retry-budget-spent",
        /// The claim on the idempotency key could not be written.
        ClaimUnavailable => "claim-unavailable",
        /// The holder of the shard's lease is unknown or unreachable.
        ShardUnavailable => "shard-unavailable",
        /// An earlier call with the idempotency key has no known result.
        ClaimWithoutResult => "claim-without-result",
        /// The upstream failed after the call was sent to it.
        UpstreamFailed => "upstream-failed",
        /// The daemon is shutting down.
        Stopping => "stopping",
        /// The daemon has not loaded a configuration yet.
        NotReady => "not-ready",
        /// No caller waited for the response.
        Abandoned => "abandoned",
        /// The daemon that owns the request is unreachable.
        OwnerUnreachable => "owner-unreachable",
    }
);

reasons!(
    /// Reason why a request was retried.
    RetryReason {
        /// The connection to the upstream could not be opened.
        ConnectFailed => "connect-failed",
        /// The upstream refused the call and reported that it did not run it.
        RefusedByUpstream => "refused-by-upstream",
        /// The upstream responded with a status that promises that the call did not run, and did not
        /// state that it did not run it.
        UnconfirmedRefusal => "unconfirmed-refusal",
        /// The connection closed before the response was complete.
        ConnectionClosed => "connection-closed",
        /// The connection timed out without data.
        ConnectionSilent => "connection-silent",
        /// The replica is being removed from service.
        ReplicaLeaving => "replica-leaving",
        /// The upstream responded with a server error.
        UpstreamError => "upstream-error",
        /// The lease of the shard got another holder.
        HolderChanged => "holder-changed",
    }
);
