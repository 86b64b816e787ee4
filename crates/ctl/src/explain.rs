//! Explains the choice of a replica for a request.

use std::fs;
use std::path;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_records::set;
use samphiremoor_routing::picker;
use samphiremoor_routing::scored;
use samphiremoor_view::zone;
use serde::Deserialize;
use serde::Serialize;

use crate::outcome;

/// Request file of the command `explain`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestFile {
    /// Workspace of the caller.
    pub workspace: id::WorkspaceId,
    /// Id of the service, as callers address it.
    pub service: id::ServiceId,
    /// Availability zone of the entry daemon; any zone if none is given.
    #[serde(default)]
    pub zone: Option<id::ZoneId>,
    /// Length of the prompt in tokens.
    #[serde(default)]
    pub prompt_tokens: quantity::TokenCount,
}

/// Explanation of a routing decision.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct RouteExplanation {
    /// Availability zone whose view was used.
    pub zone: id::ZoneId,
    /// Revision in force in that zone.
    pub revision: quantity::RevisionNumber,
    /// Replicas that may serve the request, the best first.
    pub candidates: Vec<RouteCandidate>,
    /// Replicas of the service's pools that may not serve the request, with the reasons.
    pub excluded: Vec<ExcludedReplica>,
}

/// A replica that may serve the request.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct RouteCandidate {
    /// Id of the replica.
    pub replica: id::ReplicaId,
    /// Availability zone of the replica.
    pub zone: id::ZoneId,
    /// Sum of the terms; the replica with the smallest sum is selected.
    pub total: f64,
    /// Terms of the score, in milliseconds of equivalent delay.
    pub terms: String,
}

/// A replica that may not serve the request.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct ExcludedReplica {
    /// Id of the replica.
    pub replica: id::ReplicaId,
    /// Reason for the exclusion.
    pub reason: ExcludeReason,
}

/// Reason why a replica may not serve a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExcludeReason {
    /// The replica is not ready, or does not respond to polls.
    NotReady,
    /// The replica takes no new work.
    Leaving,
    /// The replica does not have the model, its version or its adapter loaded.
    ModelNotLoaded,
}

impl ExcludeReason {
    /// Returns the name that is printed for the reason.
    pub const fn label(self) -> &'static str {
        match self {
            ExcludeReason::NotReady => "not-ready",
            ExcludeReason::Leaving => "leaving",
            ExcludeReason::ModelNotLoaded => "model-not-loaded",
        }
    }
}

/// Reads a request file.
///
/// # Errors
///
/// Returns an error if the file can't be read or has unknown or missing keys.
pub fn read(file: &path::Path) -> Result<RequestFile, outcome::CtlError> {
    let text = fs::read_to_string(file)
        .map_err(|cause| outcome::CtlError::UnreadableFile(file.to_owned(), cause))?;
    toml::from_str(&text).map_err(|cause| outcome::CtlError::InvalidRequest(cause.to_string()))
}

/// Explains the routing decision that the view gives for the request.
///
/// The prefixes that the entry daemons expect in the replicas' caches are not considered.
///
/// # Errors
///
/// Returns an error if the workspace or the service is unknown, or if the workspace may not call
/// the service.
pub fn explain(
    request: &RequestFile,
    view: &zone::ZoneView,
) -> Result<RouteExplanation, outcome::CtlError> {
    let invalid = |text: String| outcome::CtlError::InvalidRequest(text);
    let records = &view.records;
    let workspace = records
        .workspace(&request.workspace)
        .ok_or_else(|| invalid(format!("no workspace {}; see get", request.workspace)))?;
    let service = records
        .service(&request.service)
        .filter(|service| workspace.services.contains(&service.id))
        .ok_or_else(|| {
            invalid(format!("the workspace may not use a service {}; see get", request.service))
        })?;
    let query = picker::RouteQuery {
        service,
        workspace: &request.workspace,
        prefix: &[],
        prompt_tokens: request.prompt_tokens,
        excluded: &[],
        now: time::MonotonicTime::new(1),
        seed: 0,
    };
    let choices = scored::ScoredPicker::default().explain(view, &query);
    Ok(RouteExplanation {
        zone: view.zone.clone(),
        revision: records.revision,
        candidates: choices.into_iter().map(|choice| candidate(view, choice)).collect(),
        excluded: excluded(records, service, view),
    })
}

fn candidate(view: &zone::ZoneView, choice: picker::RouteChoice) -> RouteCandidate {
    let replica = view.replicas.iter().find(|replica| replica.id == choice.replica);
    RouteCandidate {
        zone: replica.map_or_else(|| view.zone.clone(), |replica| replica.zone.clone()),
        replica: choice.replica,
        total: choice.terms.total(),
        terms: choice.terms.to_string(),
    }
}

fn excluded(
    records: &set::RecordSet,
    service: &set::ServiceRecord,
    view: &zone::ZoneView,
) -> Vec<ExcludedReplica> {
    let pools: Vec<&id::RecordId> = records.pools_of(&service.id).map(|pool| &pool.id).collect();
    let others = view.replicas.iter().filter(|replica| {
        pools.contains(&&replica.pool) && !picker::is_eligible(records, service, replica)
    });
    let exclude = |replica: &zone::ReplicaView| ExcludedReplica {
        replica: replica.id.clone(),
        reason: match replica.state {
            zone::UpstreamState::Joining => ExcludeReason::NotReady,
            zone::UpstreamState::Leaving | zone::UpstreamState::Gone => ExcludeReason::Leaving,
            zone::UpstreamState::Live => ExcludeReason::ModelNotLoaded,
        },
    };
    others.map(exclude).collect()
}
