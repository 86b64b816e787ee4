//! Digests: the state that daemons send to each other several times a second.

use std::collections;
use std::error;
use std::fmt;
use std::net;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::rate;
use samphiremoor_base::time;
use serde::Deserialize;
use serde::Serialize;

use crate::entry_copy;
use crate::load;
use crate::quarantine;
use crate::reachability;
use crate::rollout;
use crate::usage;

/// Time without a digest after which a daemon no longer counts as live: three intervals between digests in
/// a large deployment.
pub const LIVENESS_TIMEOUT: time::Millis = time::Millis::new(1_500);

/// Demand of one workspace at one daemon.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct WorkspaceDemand {
    /// Id of the workspace.
    pub workspace: id::WorkspaceId,
    /// Units admitted in the current incarnation of the daemon.
    pub admitted_units: f64,
    /// Units per second that callers request.
    pub requested_rate: f32,
    /// Units per second that are admitted.
    pub admitted_rate: f32,
}

/// Prefill demand of one service at one daemon.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ServiceDemand {
    /// Id of the service.
    pub service: id::ServiceId,
    /// Uncached prompt tokens per second that requests need prefilled.
    pub prompt_rate: f32,
}

/// Notice of a limit that is new, changed or lifted.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LimitNotice {
    /// The replica.
    pub replica: id::ReplicaId,
    /// Its limit; `None` if it was lifted.
    pub rate: Option<rate::RequestRate>,
    /// When the replica said so, in milliseconds since the Unix epoch.
    pub observed_ms: u64,
}

/// State of one daemon, or the aggregate of all daemons of an availability zone.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PeerDigest {
    /// Id of the daemon, or of the daemon that sends the aggregate of its zone.
    pub daemon: id::DaemonId,
    /// Availability zone of the daemon.
    pub zone: id::ZoneId,
    /// Number of daemons in the aggregate; 0 in the digest of a single daemon.
    pub members: u32,
    /// Incarnation of the daemon.
    pub incarnation: quantity::Incarnation,
    /// Address at which the daemon responds to peers.
    pub address: net::SocketAddr,
    /// Whether the daemon is about to stop.
    pub is_stopping: bool,
    /// Policy revision that the daemon applies; 0 if it has none.
    pub revision: quantity::RevisionNumber,
    /// Wall-clock time estimated by the daemon, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Age of the daemon's last read of the table; `None` if it does not read the table itself.
    pub table_age: Option<time::Millis>,
    /// Version of the daemon's replica entries, which changes with the entries and counts from 0 in
    /// each incarnation.
    pub entries_version: u64,
    /// Row version of the duty lease, if the daemon holds it.
    pub lease_version: Option<quantity::RowVersion>,
    /// Load that the daemon places on replicas.
    pub loads: Vec<load::LoadEntry>,
    /// Demand by workspace.
    pub workspace_demands: Vec<WorkspaceDemand>,
    /// Prefill demand by service.
    pub service_demands: Vec<ServiceDemand>,
    /// Started runs by time window.
    pub usage: Vec<usage::WindowCount>,
    /// Replicas that the daemon saw draining or removed, with their incarnations.
    pub departed: Vec<(id::ReplicaId, quantity::Incarnation)>,
}

/// How a daemon reads the policy from the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PolicyRead {
    /// Age of the last read, in milliseconds; `None` if the last read failed or the daemon does not
    /// read the policy itself.
    pub age: Option<time::Millis>,
}

/// What a daemon tells its peers besides its digest.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DigestNotices {
    /// Notices of limits.
    pub limits: Vec<LimitNotice>,
    /// How the daemon reads the policy; `None` if it is of an earlier release, which does not say.
    pub policy_read: Option<PolicyRead>,
    /// Notices of crashes and of what is quarantined for them.
    pub quarantine: Vec<quarantine::QuarantineNotice>,
    /// Groups of replicas to which the daemon has lost its path.
    pub lost_paths: Vec<reachability::PathGroup>,
    /// Era of the version of the lease row in the digest. Earlier releases don't say.
    pub lease_era: quantity::StoreEra,
    /// Usage reports that were decided.
    pub decided_reports: Vec<usage::WindowCount>,
    /// Rollouts as the daemon or its zone knows them. Earlier releases send none.
    pub rollouts: Vec<rollout::RolloutNotice>,
    /// Fingerprint of the daemon's replica entries. Earlier releases send none.
    pub entries_fingerprint: Option<entry_copy::EntriesFingerprint>,
    /// Time since the boot of the sender's VM at which the digest was made. Earlier releases don't say.
    pub sent_at: Option<time::Millis>,
}

/// Encodes a digest and notices as one message. Earlier releases read the digest, or the digest and
/// some of the notices, and ignore what follows.
///
/// # Errors
///
/// Fails if the digest can't be encoded.
pub fn encode(digest: &PeerDigest, notices: &DigestNotices) -> Result<Vec<u8>, postcard::Error> {
    let wire = quarantine::NoticesWire::from(&notices.quarantine[..]);
    let encoded = postcard::to_extend(&notices.limits, postcard::to_stdvec(digest)?)?;
    let encoded = postcard::to_extend(&(notices.policy_read, &wire.segments), encoded)?;
    let encoded = postcard::to_extend(&(&wire.requests, &notices.lost_paths), encoded)?;
    let encoded = postcard::to_extend(&(notices.lease_era, &notices.decided_reports), encoded)?;
    let encoded = postcard::to_extend(&(&notices.rollouts, notices.entries_fingerprint), encoded)?;
    postcard::to_extend(&notices.sent_at, encoded)
}

/// Error of a message that is no digest.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DigestError {
    /// The bytes are not encoded as a digest.
    Encoding(postcard::Error),
    /// A rate or a sum is not finite.
    Number,
}

impl fmt::Display for DigestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DigestError::Encoding(cause) => {
                write!(f, "{cause}; run the same version on all daemons")
            }
            DigestError::Number => {
                f.write_str("a rate is not finite; restart the daemon that sent it")
            }
        }
    }
}

impl error::Error for DigestError {}

impl From<postcard::Error> for DigestError {
    fn from(cause: postcard::Error) -> Self {
        DigestError::Encoding(cause)
    }
}

impl PeerDigest {
    /// Whether the digest is of an earlier process of the daemon than `last`, which arrived `silence` ago.
    ///
    /// Incarnations begin with the wall clock, which may be set back between two starts. So a lower one
    /// is of a later process if the other process is not heard any more.
    pub fn is_outdated(&self, last: &PeerDigest, silence: time::Millis) -> bool {
        self.incarnation < last.incarnation && silence < LIVENESS_TIMEOUT
    }

    /// Whether all rates and sums are finite.
    fn has_finite_numbers(&self) -> bool {
        let demands = self.workspace_demands.iter().all(|demand| {
            demand.admitted_units.is_finite()
                && demand.requested_rate.is_finite()
                && demand.admitted_rate.is_finite()
        });
        demands && self.service_demands.iter().all(|demand| demand.prompt_rate.is_finite())
    }
}

/// Decodes a digest and the notices that follow, if any.
///
/// # Errors
///
/// Fails if the bytes are not a digest, or a digest and notices, or if a rate is not finite.
pub fn decode(bytes: &[u8]) -> Result<(PeerDigest, DigestNotices), DigestError> {
    let (digest, rest): (PeerDigest, _) = postcard::take_from_bytes(bytes)?;
    if !digest.has_finite_numbers() {
        return Err(DigestError::Number);
    }
    let mut notices = DigestNotices::default();
    if rest.is_empty() {
        return Ok((digest, notices));
    }
    let (limits, rest) = postcard::take_from_bytes(rest)?;
    notices.limits = limits;
    if !rest.is_empty() {
        let mut wire = quarantine::NoticesWire::default();
        let ((policy_read, segments), rest) = postcard::take_from_bytes(rest)?;
        (notices.policy_read, wire.segments) = (policy_read, segments);
        if !rest.is_empty() {
            let ((requests, lost_paths), rest) = postcard::take_from_bytes(rest)?;
            (wire.requests, notices.lost_paths) = (requests, lost_paths);
            if !rest.is_empty() {
                let ((lease_era, decided_reports), rest) = postcard::take_from_bytes(rest)?;
                (notices.lease_era, notices.decided_reports) = (lease_era, decided_reports);
                if !rest.is_empty() {
                    let (rollouts, rest) = postcard::take_from_bytes(rest)?;
                    notices.rollouts = rollouts;
                    if !rest.is_empty() {
                        let (entries_fingerprint, rest) = postcard::take_from_bytes(rest)?;
                        notices.entries_fingerprint = entries_fingerprint;
                        if !rest.is_empty() {
                            notices.sent_at = postcard::from_bytes(rest)?;
                        }
                    }
                }
            }
        }
        notices.quarantine = wire.into();
    }
    Ok((digest, notices))
}

/// Aggregates the digests of a zone's daemons.
#[derive(Clone, Debug, Default)]
pub struct DigestAggregator {
    /// Units last reported as admitted, by daemon and workspace, with the daemon's incarnation.
    last_reported:
        collections::HashMap<(id::DaemonId, id::WorkspaceId), (quantity::Incarnation, f64)>,
    /// Units admitted in the zone since this daemon began to aggregate. They never decrease.
    admitted_units: collections::BTreeMap<id::WorkspaceId, f64>,
}

impl DigestAggregator {
    /// Aggregates the digests of this daemon and of the other daemons of its zone, whose run counts
    /// are `usage`. Fields that are not combined are those of this daemon. Units that a daemon
    /// admitted before its first digest are left out.
    pub fn aggregate<'a>(
        &mut self,
        local: &PeerDigest,
        others: impl Iterator<Item = &'a PeerDigest>,
        usage: Vec<usage::WindowCount>,
    ) -> PeerDigest {
        let mut aggregate = PeerDigest {
            members: 1,
            loads: Vec::new(),
            workspace_demands: Vec::new(),
            service_demands: Vec::new(),
            usage,
            ..local.clone()
        };
        let mut loads: collections::BTreeMap<&id::ReplicaId, load::ReplicaLoad> =
            collections::BTreeMap::new();
        // Requested and admitted rates.
        let mut rates: collections::BTreeMap<&id::WorkspaceId, (f32, f32)> =
            collections::BTreeMap::new();
        let mut prompt_rates: collections::BTreeMap<&id::ServiceId, f32> =
            collections::BTreeMap::new();
        let others: Vec<&PeerDigest> = others.collect();
        for digest in others.iter().copied().chain([local]) {
            for entry in &digest.loads {
                let load = loads.entry(&entry.replica).or_default();
                *load = load.plus(entry.load);
            }
            for demand in &digest.workspace_demands {
                self.add_admitted(digest, demand);
                let (requested, admitted) = rates.entry(&demand.workspace).or_default();
                *requested += demand.requested_rate;
                *admitted += demand.admitted_rate;
            }
            for demand in &digest.service_demands {
                *prompt_rates.entry(&demand.service).or_default() += demand.prompt_rate;
            }
        }
        for digest in &others {
            aggregate.members = aggregate.members.saturating_add(1);
            aggregate.lease_version = aggregate.lease_version.max(digest.lease_version);
            aggregate.departed.extend(digest.departed.iter().cloned());
        }
        aggregate.departed.sort();
        aggregate.departed.dedup();
        let load_entry = |(replica, load): (&id::ReplicaId, load::ReplicaLoad)| load::LoadEntry {
            replica: replica.clone(),
            load,
        };
        aggregate.loads = loads.into_iter().map(load_entry).collect();
        let workspace_demand =
            |(workspace, (requested, admitted)): (&id::WorkspaceId, (f32, f32))| WorkspaceDemand {
                workspace: workspace.clone(),
                admitted_units: self.admitted_units.get(workspace).copied().unwrap_or(0.0),
                requested_rate: requested,
                admitted_rate: admitted,
            };
        aggregate.workspace_demands = rates.into_iter().map(workspace_demand).collect();
        let service_demand = |(service, prompt_rate): (&id::ServiceId, f32)| ServiceDemand {
            service: service.clone(),
            prompt_rate,
        };
        aggregate.service_demands = prompt_rates.into_iter().map(service_demand).collect();
        aggregate
    }

    /// Adds the units that a daemon has admitted since its previous digest to the zone's.
    fn add_admitted(&mut self, digest: &PeerDigest, demand: &WorkspaceDemand) {
        let key = (digest.daemon.clone(), demand.workspace.clone());
        let reported = (digest.incarnation, demand.admitted_units);
        let previous_units = match self.last_reported.insert(key, reported) {
            None => demand.admitted_units,
            Some((incarnation, units)) if incarnation == digest.incarnation => units,
            Some(_) => 0.0,
        };
        *self.admitted_units.entry(demand.workspace.clone()).or_default() +=
            (demand.admitted_units - previous_units).max(0.0);
    }
}
