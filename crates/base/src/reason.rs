//! Reasons for refusing a request and for trying one again. Each has a metric label of its own.

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
            /// Every reason, in the order of declaration.
            pub const ALL: &'static [$name] = &[$($name::$variant,)*];

            /// The metric label, also the last part of a problem's type.
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
    /// Why a request was refused or given up.
    RefusalReason {
        /// The message can't be read as HTTP.
        MalformedHttp => "malformed-http",
        /// The body is not the JSON that the call takes.
        MalformedBody => "malformed-body",
        /// The header section or the body exceeds its limit.
        TooLarge => "too-large",
        /// The caller sent too slowly.
        SlowCaller => "slow-caller",
        /// No key, or a key that no workspace has.
        WrongKey => "wrong-key",
        /// The path names no call.
        UnknownPath => "unknown-path",
        /// The workspace may not use the service, or it does not exist.
        UnknownService => "unknown-service",
        /// No record declares the model or version.
        UnknownModel => "unknown-model",
        /// The request id is not known, or belongs to another workspace.
        UnknownRequest => "unknown-request",
        /// A call that may not be repeated came without an idempotency key.
        MissingIdempotencyKey => "missing-idempotency-key",
        /// The idempotency key was used with another body.
        IdempotencyKeyReused => "idempotency-key-reused",
        /// A header has a value that can't be used.
        BadHeader => "bad-header",
        /// The daemon has too many connections.
        TooManyConnections => "too-many-connections",
        /// The daemon has too many requests in progress.
        TooManyRequests => "too-many-requests",
        /// The workspace is over its share.
        WorkspaceLimit => "workspace-limit",
        /// Load of lower priority is shed.
        Shed => "shed",
        /// The deadline can't be met.
        DeadlineUnreachable => "deadline-unreachable",
        /// The deadline passed.
        DeadlinePassed => "deadline-passed",
        /// No replica serves the request now.
        NoReplica => "no-replica",
        /// The retry budget is spent.
        RetryBudgetSpent => "retry-budget-spent",
        /// The claim could not be written.
        ClaimUnavailable => "claim-unavailable",
        /// The shard has no reachable holder.
        ShardUnavailable => "shard-unavailable",
        /// An earlier run with the key has no known result.
        ClaimWithoutResult => "claim-without-result",
        /// The upstream failed after the call was sent to it.
        UpstreamFailed => "upstream-failed",
        /// The daemon is stopping.
        Stopping => "stopping",
        /// The daemon has no configuration yet.
        NotReady => "not-ready",
        /// Nobody waited for the answer.
        Abandoned => "abandoned",
        /// The daemon that keeps the request can't be reached.
        OwnerUnreachable => "owner-unreachable",
    }
);

reasons!(
    /// Why a request was tried again.
    RetryReason {
        /// No connection to the upstream could be made.
        ConnectFailed => "connect-failed",
        /// The upstream said that it did not run the call.
        RefusedByUpstream => "refused-by-upstream",
        /// The connection closed before the answer was whole.
        ConnectionClosed => "connection-closed",
        /// The connection went silent.
        ConnectionSilent => "connection-silent",
        /// The replica is leaving.
        ReplicaLeaving => "replica-leaving",
        /// The upstream answered with a server error.
        UpstreamError => "upstream-error",
        /// The shard's holder changed.
        HolderChanged => "holder-changed",
    }
);
