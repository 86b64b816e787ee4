//! Where a request would go, and why.

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

/// A request file.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestFile {
    /// The caller's workspace.
    pub workspace: id::WorkspaceId,
    /// The service, as callers address it.
    pub service: id::ServiceId,
    /// Availability zone of the entry daemon; any zone where none is given.
    #[serde(default)]
    pub zone: Option<id::ZoneId>,
    /// Length of the prompt.
    #[serde(default)]
    pub prompt_tokens: quantity::TokenCount,
}

/// The explanation.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct RouteExplanation {
    /// Availability zone whose view was used.
    pub zone: id::ZoneId,
    /// The revision in force there.
    pub revision: quantity::RevisionNumber,
    /// Replicas that may serve the request, the best first.
    pub candidates: Vec<RouteCandidate>,
    /// Replicas of the service's pools that may not, with the reason.
    pub excluded: Vec<ExcludedReplica>,
}

/// A replica that may serve the request.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct RouteCandidate {
    /// The replica.
    pub replica: id::ReplicaId,
    /// Its availability zone.
    pub zone: id::ZoneId,
    /// Sum of the terms; the least wins.
    pub total: f64,
    /// The terms, in milliseconds of equivalent delay.
    pub terms: String,
}

/// A replica that may not serve the request.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct ExcludedReplica {
    /// The replica.
    pub replica: id::ReplicaId,
    /// Why not.
    pub reason: ExcludeReason,
}

/// Why a replica may not serve a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExcludeReason {
    /// It is not ready, or does not answer its polls.
    NotReady,
    /// It takes no new work.
    Leaving,
    /// It does not have the model, the version or the adapter loaded.
    ModelNotLoaded,
}

impl ExcludeReason {
    /// The text of the command line.
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
/// Refuses a file that can't be read or has unknown or missing keys.
pub fn read(file: &path::Path) -> Result<RequestFile, outcome::CtlError> {
    let text = fs::read_to_string(file)
        .map_err(|cause| outcome::CtlError::UnreadableFile(file.to_owned(), cause))?;
    toml::from_str(&text).map_err(|cause| outcome::CtlError::BadRequest(cause.to_string()))
}

/// Explains where the request would go by the view, without the entry daemons' memory of prompts.
///
/// # Errors
///
/// Refuses a request of an unknown workspace or service, and one that the workspace may not make.
pub fn explain(
    request: &RequestFile,
    view: &zone::ZoneView,
) -> Result<RouteExplanation, outcome::CtlError> {
    let bad = |text: String| outcome::CtlError::BadRequest(text);
    let records = &view.records;
    let workspace = records
        .workspace(&request.workspace)
        .ok_or_else(|| bad(format!("no workspace {}; see get", request.workspace)))?;
    let service = records
        .service(&request.service)
        .filter(|service| workspace.services.contains(&service.id))
        .ok_or_else(|| {
            bad(format!("the workspace may not use a service {}; see get", request.service))
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
