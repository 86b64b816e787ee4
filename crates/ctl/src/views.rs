//! Collects the views of the availability zones from their control threads.

use std::collections;
use std::sync;

use samphiremoor_base::id;
use samphiremoor_view::zone;

use crate::outcome;
use crate::survey;

/// Reads one view for each availability zone, sorted by zone.
///
/// # Errors
///
/// Returns an error if no daemon responded to the survey.
pub async fn collect(
    client: &sync::Arc<dyn survey::DaemonClient>,
    survey: &survey::RevisionSurvey,
) -> Result<Vec<zone::ZoneView>, outcome::CtlError> {
    if survey.daemons.iter().all(|daemon| daemon.report.is_none()) {
        return Err(outcome::CtlError::NoDaemonReachable);
    }
    let mut views: collections::BTreeMap<id::ZoneId, zone::ZoneView> = collections::BTreeMap::new();
    for daemon in survey.daemons.iter().filter(|daemon| daemon.report.is_some()) {
        if views.contains_key(&daemon.info.zone) {
            continue;
        }
        if let Some(view) = survey::read_view(client, &daemon.info).await {
            views.insert(daemon.info.zone.clone(), view);
        }
    }
    Ok(views.into_values().collect())
}

/// Returns the view of the zone, or the first view if no zone is given.
///
/// # Errors
///
/// Returns an error that lists the zones with a view if the requested zone has none.
pub fn find<'a>(
    views: &'a [zone::ZoneView],
    zone: Option<&id::ZoneId>,
) -> Result<&'a zone::ZoneView, outcome::CtlError> {
    let is_requested = |view: &&zone::ZoneView| zone.is_none_or(|zone| view.zone == *zone);
    views.iter().find(is_requested).ok_or_else(|| missing_view_error(views))
}

fn missing_view_error(views: &[zone::ZoneView]) -> outcome::CtlError {
    let zones: Vec<&str> = views.iter().map(|view| view.zone.as_str()).collect();
    let zones = zones.join(", ");
    outcome::CtlError::InvalidRequest(format!(
        "no daemon of the zone responds; use one of: {zones}"
    ))
}
