//! Traits that an adapter to a deployment's protocols implements, and the protocol-neutral types
//! that they use.

use std::sync;

use async_trait::async_trait;
use samphiremoor_base::id;
use samphiremoor_base::position;
use samphiremoor_base::quantity;
use samphiremoor_base::rate;
use samphiremoor_base::time;
use samphiremoor_fleet::capacity;
use samphiremoor_fleet::dispatch;
use samphiremoor_fleet::duty;
use samphiremoor_fleet::policy;
use samphiremoor_fleet::replica;
use samphiremoor_fleet::rollout;
use samphiremoor_fleet::selection;
use samphiremoor_fleet::send_state;
use samphiremoor_fleet::usage;
use samphiremoor_httpio::message;
use samphiremoor_platform::table;

/// Values that the headers of a caller's request carry.
#[derive(Clone, Debug, Default)]
pub struct RequestMetadata {
    /// Request ID that the caller chose.
    pub request_id: Option<sync::Arc<str>>,
    /// Time that the caller waits for the response.
    pub timeout: Option<time::Millis>,
    /// API key of the caller's workspace.
    pub api_key: Option<sync::Arc<str>>,
    /// Token counts and segments of the prompt, if the request has one.
    pub prompt: Option<selection::PromptSize>,
    /// ID of the last event that the caller received from an earlier response to this request.
    pub last_event_id: Option<u64>,
    /// Request ID of the attempt that brought the first event of the stream that the caller resumes.
    pub resumed_attempt: Option<sync::Arc<str>>,
}

/// Values that the headers of one dispatch to a replica carry.
#[derive(Clone, Debug)]
pub struct DispatchMetadata<'a> {
    /// The replica that must respond; any other replica at the address refuses the request.
    pub replica: &'a id::ReplicaId,
    /// Time left until the request's deadline.
    pub time_left: time::Millis,
    /// The caller's workspace.
    pub workspace: Option<&'a id::WorkspaceId>,
    /// Priority of the request.
    pub priority: quantity::PriorityLevel,
    /// ID of the last event that the caller received.
    pub last_event_id: Option<u64>,
    /// Location of the migrated KV cache from which the replica resumes the stream.
    pub kv_location: Option<&'a str>,
    /// Length of the body, in bytes.
    pub body_length: usize,
}

/// Limit that a replica's response names on the requests that it takes from all daemons together.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum NamedLimit {
    /// The response names none.
    #[default]
    Absent,
    /// The limit.
    Rate(rate::RequestRate),
    /// The response names a value that is no rate, for this reason.
    Invalid(sync::Arc<str>, rate::RateError),
}

/// Pause that a replica's response asks this daemon for.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum NamedPause {
    /// The response asks for none.
    #[default]
    Absent,
    /// The length of the pause.
    Length(send_state::PauseLength),
    /// The response names a value that is no time, for this reason.
    Invalid(sync::Arc<str>, send_state::PauseError),
}

/// What a replica's response says about whether the replica leaves.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum NamedDeparture {
    /// The response says nothing.
    #[default]
    Absent,
    /// The replica leaves.
    Leaving,
    /// The response has a value that is not defined.
    Invalid(sync::Arc<str>),
}

/// What a replica's response says besides its status.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResponseMetadata {
    /// Request to which the response belongs.
    pub origin: dispatch::ResponseOrigin,
    /// Whether the replica reports that it did not run the request.
    pub is_not_run: bool,
    /// Whether callers take the status as a promise that the request did not run and never will, while
    /// the replica may have run it. Such a response is never delivered.
    pub is_unconfirmed_refusal: bool,
    /// Whether a different replica now has the address.
    pub is_other_replica: bool,
    /// Limit that the replica names.
    pub limit: NamedLimit,
    /// Whether the replica leaves.
    pub departure: NamedDeparture,
    /// Pause that the replica asks for.
    pub pause: NamedPause,
}

/// A response that the gateway generates itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LocalResponse {
    /// The request is malformed or exceeds a limit.
    Malformed,
    /// The request line and headers are too large.
    HeadTooLarge,
    /// The body is too large.
    BodyTooLarge,
    /// The caller sent the request too slowly; it was not run.
    TooSlow,
    /// No workspace has the API key.
    WrongKey,
    /// No route matches the request.
    NoRoute,
    /// The workspace exceeds its rate limit and the request was not run; the caller may retry after
    /// this time.
    OverQuota(time::Millis),
    /// The request was not run; the caller may retry after this time.
    NotRun(time::Millis),
    /// The request may have run, but there is no response.
    Failed,
    /// The request may have run, and its deadline has passed.
    TimedOut,
}

/// Step of the migration of a stream's KV cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MigrationStep {
    /// Copies the KV cache while the stream continues at the source.
    Copy,
    /// Stops the stream at the source, then copies what is new.
    Stop,
}

/// Encodes and decodes the headers of a deployment's protocol.
pub trait HeaderCodec {
    /// Decodes the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns what could not be decoded, as a text for the log.
    fn decode_request(&self, head: &message::RequestHead) -> Result<RequestMetadata, &'static str>;

    /// Encodes the request line and headers of a dispatch to a replica.
    fn encode_dispatch(
        &self,
        head: &message::RequestHead,
        metadata: &DispatchMetadata<'_>,
        out: &mut Vec<u8>,
    );

    /// Decodes the headers of a replica's response to the request with the ID `request_id`.
    fn decode_response(
        &self,
        head: &message::ResponseHead,
        request_id: Option<&str>,
    ) -> ResponseMetadata;

    /// Encodes a request to the replica at `source` that performs one step of the migration of a
    /// stream's KV cache to the replica at `target`.
    fn encode_migration(
        &self,
        request_id: &str,
        source: std::net::SocketAddr,
        target: std::net::SocketAddr,
        step: MigrationStep,
        out: &mut Vec<u8>,
    );

    /// Encodes a request to the replica at `source` that frees a copy of a KV cache.
    fn encode_release(&self, location: &str, source: std::net::SocketAddr, out: &mut Vec<u8>);

    /// Decodes the response to a step of a migration from `source` and returns the location of the
    /// KV cache, or `None` if it was not copied.
    fn decode_migration(
        &self,
        status: u16,
        body: &[u8],
        source: std::net::SocketAddr,
    ) -> Option<sync::Arc<str>>;

    /// Encodes a status check that only `replica` at `address` answers, if it is there.
    fn encode_status_check(
        &self,
        path: &str,
        replica: &id::ReplicaId,
        address: std::net::SocketAddr,
        out: &mut Vec<u8>,
    );

    /// Whether the response to a status check is that of `replica`, be it healthy or not.
    fn confirms_identity(&self, head: &message::ResponseHead, replica: &id::ReplicaId) -> bool;

    /// Encodes a whole response that the gateway generates itself. `closes_connection` says whether
    /// the connection to the caller closes after it.
    fn encode_local(
        &self,
        response: LocalResponse,
        request_id: Option<&str>,
        closes_connection: bool,
        out: &mut Vec<u8>,
    );
}

/// A policy that was read from the table or from a peer.
#[derive(Clone, Debug)]
pub struct PolicyUpdate {
    /// The policy.
    pub policy: policy::ServingPolicy,
    /// Its encoded text from the table, served to peers that can't read the table.
    pub text: sync::Arc<[u8]>,
}

/// What operators wrote into the table.
#[derive(Clone, Debug)]
pub struct OperatorRecords {
    /// The newest policy, if one was read.
    pub policy: Option<PolicyUpdate>,
    /// Orders of rollouts that were read.
    pub orders: Vec<OrderChange>,
    /// Whether there are no other orders that can be read.
    pub are_all: bool,
    /// The table's position.
    pub position: position::StorePosition,
}

/// Change to the order of a rollout.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderChange {
    /// The order was written.
    Put(rollout::RolloutOrder),
    /// The order of this service was removed.
    Withdrawn(id::ServiceId),
}

/// Row that shows the state of a rollout.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutStatus {
    /// Version of the row.
    pub version: quantity::RowVersion,
    /// State and new version of the rollout; `None` if the row can't be read.
    pub shown: Option<(rollout::RowState, replica::SoftwareVersion)>,
}

/// Changes to replica entries after a cursor.
#[derive(Clone, Debug)]
pub enum EntryChanges {
    /// Entries that were written or removed after the position, and the next position.
    Since(Vec<EntryChange>, position::StorePosition),
    /// The change history does not cover the position; all entries must be read.
    HistoryTruncated,
}

/// Change to one replica entry.
#[derive(Clone, Debug)]
pub enum EntryChange {
    /// The entry was written.
    Put(replica::ReplicaEntry),
    /// The entry was removed.
    Removed(id::ReplicaId),
    /// The entry was overwritten by a row that is none, which says nothing about the replica.
    Unreadable(id::ReplicaId),
}

/// Reads the policy and the replica entries that operators and replicas write into the table.
#[async_trait]
pub trait RecordSource: Send + Sync {
    /// Reads the newest policy, if there is one, all orders of rollouts, and the table's position.
    async fn policy(&self) -> Result<OperatorRecords, table::PlatformError>;

    /// Waits at most `wait` for a policy or an order that was written after the position `after`.
    /// Reads the newest ones if the change history does not cover the position.
    async fn next_policy(
        &self,
        after: position::StorePosition,
        wait: time::Millis,
    ) -> Result<OperatorRecords, table::PlatformError>;

    /// Parses a policy from its encoded text.
    fn parse_policy(&self, text: &[u8]) -> Option<PolicyUpdate>;

    /// Reads all replica entries, and the table's position.
    async fn entries(
        &self,
    ) -> Result<(replica::ListedEntries, position::StorePosition), table::PlatformError>;

    /// Reads the replica entries that changed after the position, waiting at most `wait` for a change.
    async fn entry_changes(
        &self,
        after: position::StorePosition,
        wait: time::Millis,
    ) -> Result<EntryChanges, table::PlatformError>;
}

/// Reads and writes the rows that show operators the states of rollouts.
#[async_trait]
pub trait RolloutRecords: Send + Sync {
    /// Reads the row of a service, if there is one.
    ///
    /// # Errors
    ///
    /// Fails if the table does not respond.
    async fn status(
        &self,
        service: &id::ServiceId,
    ) -> Result<Option<RolloutStatus>, table::PlatformError>;

    /// Writes the row of an order's service if the order is still in the table and the row has the
    /// version `expected`, or does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the table does not respond. The row may then have been written.
    async fn write_status(
        &self,
        write_id: id::WriteId,
        order: &rollout::RolloutOrder,
        state: rollout::RowState,
        expected: Option<quantity::RowVersion>,
    ) -> Result<table::CommitResponse, table::PlatformError>;
}

/// Calls to the cloud that only the holder of the duty lease makes. The fencing token lets the
/// cloud refuse calls of an earlier holder.
#[async_trait]
pub trait CloudApi: Send + Sync {
    /// Reports the number of runs in a usage window.
    async fn report_usage(
        &self,
        holder: &id::DaemonId,
        permit: duty::CallPermit,
        report: &usage::WindowCount,
    ) -> Result<(), table::PlatformError>;

    /// Orders replicas from the cloud.
    async fn order_replicas(
        &self,
        holder: &id::DaemonId,
        permit: duty::CallPermit,
        order: &capacity::CapacityOrder,
    ) -> capacity::OrderOutcome;
}

/// The parts of an adapter to a deployment.
#[derive(Clone)]
pub struct DeploymentAdapter {
    /// Codec of request and response headers.
    pub codec: sync::Arc<dyn HeaderCodec + Send + Sync>,
    /// Reader of the policy and the replica entries.
    pub records: sync::Arc<dyn RecordSource>,
    /// Rows that show the states of rollouts.
    pub rollouts: sync::Arc<dyn RolloutRecords>,
    /// Table of the gateway's own rows.
    pub table: sync::Arc<dyn table::TableStore>,
    /// Client of the cloud.
    pub cloud: sync::Arc<dyn CloudApi>,
}
