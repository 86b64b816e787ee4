//! Resumption of streams by callers: finds the service and the software version at which a stream
//! began, and records where streams begin.

use samphiremoor_base::event;
use samphiremoor_base::id;
use samphiremoor_base::log_event;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_fleet::attempt_record;
use samphiremoor_fleet::policy;
use samphiremoor_fleet::replica;
use samphiremoor_fleet::selection;

use crate::attempt_exchange;
use crate::context;
use crate::core;

/// Time after a caller's deadline for which the record of its attempt is kept, since callers and
/// daemons do not count from the same instant.
const RECORD_MARGIN: time::Millis = time::Millis::new(2_000);

/// Where a request is served.
pub(crate) struct ServiceChoice {
    /// Service of the request.
    pub(crate) service: id::ServiceId,
    /// Software version at which the stream began that the caller resumes.
    pub(crate) required_version: replica::RequiredVersion,
}

/// Chooses the service of a request. A stream that the caller resumes stays at the service and the
/// version at which it began.
///
/// # Errors
///
/// Returns the reason of the refusal if there is no service, or if it is not known where the stream
/// began.
pub(crate) async fn choose_service(
    core: &core::GatewayCore,
    request: &context::IncomingRequest,
) -> Result<ServiceChoice, reason::RefusalReason> {
    let (route, metadata) = (&request.route, &request.metadata);
    let is_resumable = is_resumable(request);
    if let Some(attempt_id) = metadata.resumed_attempt.as_deref()
        && is_resumable
        && route.services.iter().any(|(service, _)| states_versions(core, service))
    {
        let origin = find_origin(core, request, attempt_id).await;
        let origin = origin.ok_or(reason::RefusalReason::UnknownStreamVersion)?;
        let is_routed =
            route.services.iter().any(|(id, weight)| *id == origin.service && *weight > 0);
        if !is_routed {
            return Err(reason::RefusalReason::UnknownService);
        }
        let attempt_record::StreamOrigin { service, version } = origin;
        let required_version = replica::RequiredVersion::Stated(version);
        return Ok(ServiceChoice { service, required_version });
    }
    let service =
        route.pick_service(rand::random()).ok_or(reason::RefusalReason::UnknownService)?;
    let is_unnamed_resume =
        is_resumable && metadata.resumed_attempt.is_none() && metadata.last_event_id.is_some();
    let now = core.now();
    if is_unnamed_resume && !core.state.borrow().versions.is_uniform(service, now) {
        return Err(reason::RefusalReason::UnknownStreamVersion);
    }
    let required_version = replica::RequiredVersion::Any;
    Ok(ServiceChoice { service: service.clone(), required_version })
}

/// Returns where the stream of a caller's earlier attempt began.
async fn find_origin(
    core: &core::GatewayCore,
    request: &context::IncomingRequest,
    attempt_id: &str,
) -> Option<attempt_record::StreamOrigin> {
    let attempt = attempt_record::AttemptHash::of(attempt_id);
    let found = core.attempts.find_origin(attempt, core.now()).await;
    let (origin, source) = found.unzip();
    let (label, peer) = match source {
        Some(attempt_exchange::OriginSource::Local) => ("local", None),
        Some(attempt_exchange::OriginSource::Peer(address)) => ("peer", Some(address)),
        None => ("unknown", None),
    };
    core.metrics.count_resume(label);
    log_event!(
        event::LogEvent::StreamResumed,
        request = request.metadata.request_id.as_deref().unwrap_or("-"),
        resumes = attempt_id,
        origin = label,
        peer = peer.map_or_else(|| "-".to_owned(), |address| address.to_string()),
        service = origin.as_ref().map_or("-", |origin| origin.service.as_str()),
        version = origin.as_ref().map_or("-", |origin| origin.version.as_str()),
    );
    origin
}

fn is_resumable(request: &context::IncomingRequest) -> bool {
    request.route.kind == policy::RouteKind::Stream { resumable: true }
}

/// Returns whether a replica of the service states its version.
fn states_versions(core: &core::GatewayCore, service: &id::ServiceId) -> bool {
    let state = core.state.borrow();
    state.replicas.of_service(service).any(|replica| replica.entry.version.is_some())
}

impl context::RequestContext<'_> {
    /// Returns the attempt under which the stream of this request is recorded: the one that brings
    /// its first event. `None` if callers can't resume the stream.
    pub(crate) fn recorded_attempt(&self) -> Option<attempt_record::AttemptHash> {
        let metadata = &self.request.metadata;
        let attempt_id = metadata.resumed_attempt.as_ref().or(metadata.request_id.as_ref())?;
        is_resumable(self.request).then(|| attempt_record::AttemptHash::of(attempt_id))
    }

    /// Records that the stream begins at a replica, unless callers can't resume the stream or the
    /// replica states no version.
    pub(crate) fn record_origin(&self, selected: &selection::SelectedReplica) {
        let (Some(attempt), Some(version)) = (self.recorded_attempt(), &selected.version) else {
            return;
        };
        let now = self.core.now();
        let origin = attempt_record::StreamOrigin {
            service: self.service.clone(),
            version: version.clone(),
        };
        let lifetime = self.request.caller_deadline.since(now) + RECORD_MARGIN;
        self.core.attempts.begin(attempt, origin, lifetime, now);
    }
}
