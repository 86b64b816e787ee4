//! What daemons tell each other several times a second.

use std::collections;
use std::net;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use serde::Deserialize;
use serde::Serialize;

use crate::load;
use crate::usage;

/// Use of one workspace at one daemon.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct WorkspaceDemand {
    /// The workspace.
    pub workspace: id::WorkspaceId,
    /// Units that were admitted in the daemon's life.
    pub admitted_units: f64,
    /// Units a second that its callers ask for.
    pub requested_rate: f32,
    /// Units a second that are admitted.
    pub admitted_rate: f32,
}

/// Use of one service at one daemon.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ServiceDemand {
    /// The service.
    pub service: id::ServiceId,
    /// Prompt tokens a second that engines are asked to read.
    pub prompt_rate: f32,
}

/// State of one daemon, or of all daemons of a zone together.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PeerDigest {
    /// The daemon, or the one that speaks for its zone.
    pub daemon: id::DaemonId,
    /// Its availability zone.
    pub zone: id::ZoneId,
    /// Number of daemons that this digest sums up; 0 where it is of one daemon alone.
    pub members: u32,
    /// Its life.
    pub incarnation: quantity::Incarnation,
    /// Address at which it answers peers.
    pub address: net::SocketAddr,
    /// Whether it is about to stop.
    pub is_stopping: bool,
    /// Revision of the policy that it serves by; 0 where it has none.
    pub revision: quantity::RevisionNumber,
    /// Its estimate of the time of day, in Unix milliseconds.
    pub unix_ms: u64,
    /// Age of what it last read in the table itself; absent where it reads nothing there.
    pub table_age: Option<time::Millis>,
    /// Number of its replica entries; another one where they changed.
    pub entries_version: u64,
    /// Version of the row of the duties' lease, where it is held here.
    pub lease_version: Option<quantity::RowVersion>,
    /// Load on replicas.
    pub loads: Vec<load::LoadEntry>,
    /// Use of workspaces.
    pub workspace_demands: Vec<WorkspaceDemand>,
    /// Use of services.
    pub service_demands: Vec<ServiceDemand>,
    /// Runs that began, by window of time.
    pub usage: Vec<usage::WindowCount>,
    /// Replicas that it saw leave or go, with their lives.
    pub departed: Vec<(id::ReplicaId, quantity::Incarnation)>,
}

/// Sums up the digests of a zone's daemons.
#[derive(Clone, Debug, Default)]
pub struct DigestAggregator {
    /// Totals of each daemon as they were last seen, with its life.
    seen: collections::HashMap<(id::DaemonId, id::WorkspaceId), (quantity::Incarnation, f64)>,
    /// Units admitted in the zone since this daemon began to sum; they only rise.
    totals: collections::BTreeMap<id::WorkspaceId, f64>,
}

impl DigestAggregator {
    /// The sum of the own digest and those of the zone's other daemons. What the zone admitted before
    /// a daemon was first seen is not in it.
    pub fn aggregate<'a>(
        &mut self,
        own: &PeerDigest,
        others: impl Iterator<Item = &'a PeerDigest>,
    ) -> PeerDigest {
        let mut sum = PeerDigest {
            members: 1,
            loads: Vec::new(),
            workspace_demands: Vec::new(),
            service_demands: Vec::new(),
            usage: Vec::new(),
            ..own.clone()
        };
        let mut loads: collections::BTreeMap<&id::ReplicaId, load::ReplicaLoad> =
            collections::BTreeMap::new();
        let mut demands: collections::BTreeMap<&id::WorkspaceId, (f32, f32)> =
            collections::BTreeMap::new();
        let mut prompts: collections::BTreeMap<&id::ServiceId, f32> = collections::BTreeMap::new();
        let mut windows: collections::BTreeMap<usage::WindowNumber, usage::WindowCount> =
            collections::BTreeMap::new();
        let others: Vec<&PeerDigest> = others.collect();
        for digest in others.iter().copied().chain([own]) {
            for line in &digest.loads {
                let load = loads.entry(&line.replica).or_default();
                load.running += line.load.running;
                load.pending_tokens += line.load.pending_tokens;
            }
            for line in &digest.workspace_demands {
                self.add_total(digest, line);
                let (demand, admitted) = demands.entry(&line.workspace).or_default();
                *demand += line.requested_rate;
                *admitted += line.admitted_rate;
            }
            for line in &digest.service_demands {
                *prompts.entry(&line.service).or_default() += line.prompt_rate;
            }
            for line in &digest.usage {
                let empty =
                    || usage::WindowCount { window: line.window, ..usage::WindowCount::default() };
                let window = windows.entry(line.window).or_insert_with(empty);
                for (workspace, count) in &line.counts {
                    *window.counts.entry(workspace.clone()).or_default() += count;
                }
            }
        }
        for digest in &others {
            sum.members += 1;
            sum.lease_version = sum.lease_version.max(digest.lease_version);
            sum.departed.extend(digest.departed.iter().cloned());
        }
        sum.departed.sort();
        sum.departed.dedup();
        let load = |(replica, load): (&id::ReplicaId, load::ReplicaLoad)| load::LoadEntry {
            replica: replica.clone(),
            load,
        };
        sum.loads = loads.into_iter().map(load).collect();
        let demand =
            |(workspace, (demand, admitted)): (&id::WorkspaceId, (f32, f32))| WorkspaceDemand {
                workspace: workspace.clone(),
                admitted_units: self.totals.get(workspace).copied().unwrap_or(0.0),
                requested_rate: demand,
                admitted_rate: admitted,
            };
        sum.workspace_demands = demands.into_iter().map(demand).collect();
        let prompt = |(service, prompt_rate): (&id::ServiceId, f32)| ServiceDemand {
            service: service.clone(),
            prompt_rate,
        };
        sum.service_demands = prompts.into_iter().map(prompt).collect();
        sum.usage = windows.into_values().collect();
        sum
    }

    fn add_total(&mut self, digest: &PeerDigest, line: &WorkspaceDemand) {
        let key = (digest.daemon.clone(), line.workspace.clone());
        let now = (digest.incarnation, line.admitted_units);
        let before = match self.seen.insert(key, now) {
            None => line.admitted_units,
            Some((life, total)) if life == digest.incarnation => total,
            Some(_) => 0.0,
        };
        *self.totals.entry(line.workspace.clone()).or_default() +=
            (line.admitted_units - before).max(0.0);
    }
}
