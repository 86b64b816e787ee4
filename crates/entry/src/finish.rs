//! End of a request: the problem for the caller, metrics and log lines.

use http_types::StatusCode;
use samphiremoor_base::event;
use samphiremoor_base::log_event;
use samphiremoor_base::outcome;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_httpio::problem;
use samphiremoor_limits::gate;
use samphiremoor_requests::action;

use crate::core;
use crate::kept;

/// Returns the problem that the caller of a failed request receives.
pub fn problem_for_end(end: &action::RequestEnd) -> problem::CallProblem {
    let reason = match end.cause {
        action::EndCause::Refused(reason) => reason,
        // No caller waits at this point, but one that reattaches later must see that no response
        // follows.
        action::EndCause::Abandoned | action::EndCause::Completed => {
            reason::RefusalReason::Abandoned
        }
        action::EndCause::HandedOver => reason::RefusalReason::Stopping,
    };
    let mut problem = problem_for(reason, end.outcome);
    problem.retry_after = end.retry_after;
    problem
}

/// Returns the problem for a refusal reason.
pub fn problem_for(
    reason: reason::RefusalReason,
    outcome: outcome::CallOutcome,
) -> problem::CallProblem {
    // A call that may have run gets no status that promises the opposite.
    let status = match status_for(reason) {
        status if outcome != outcome::CallOutcome::NotRun && promises_not_run(status) => {
            StatusCode::BadGateway
        }
        status => status,
    };
    problem::CallProblem {
        status,
        reason,
        outcome,
        detail: detail_for(reason).to_owned(),
        retry_after: None,
    }
}

/// Returns the problem for callers of a request that was handed over to another daemon.
pub fn handed_over_problem() -> problem::CallProblem {
    let mut problem = problem_for(reason::RefusalReason::Stopping, outcome::CallOutcome::Unknown);
    problem.detail = "another daemon goes on with the request; attach again by its id".to_owned();
    problem.retry_after = Some(ATTACH_DELAY);
    problem
}

/// Returns the problem that ends a stream whose call the upstream rejected as the caller's error.
pub fn rejected_stream_problem() -> problem::CallProblem {
    let mut problem =
        problem_for(reason::RefusalReason::MalformedBody, outcome::CallOutcome::Complete);
    problem.detail = "the upstream refused the call; read its answer by the request id".to_owned();
    problem
}

/// Retry-after for callers of a request that was handed over to another daemon.
const ATTACH_DELAY: time::Millis = time::Millis::new(100);

/// Returns whether callers take a status as a promise that the call has not run and never will.
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::RequestTimeout
            | StatusCode::MisdirectedRequest
            | StatusCode::TooManyRequests
            | StatusCode::ServiceUnavailable
    )
}

/// Returns the HTTP status for a refusal reason of a call that has not run.
pub fn status_for(reason: reason::RefusalReason) -> StatusCode {
    use reason::RefusalReason;
    match reason {
        RefusalReason::MalformedHttp | RefusalReason::MalformedBody | RefusalReason::BadHeader => {
            StatusCode::BadRequest
        }
        RefusalReason::TooLarge => StatusCode::PayloadTooLarge,
        RefusalReason::SlowCaller => StatusCode::RequestTimeout,
        RefusalReason::WrongKey => StatusCode::Unauthorized,
        RefusalReason::UnknownPath
        | RefusalReason::UnknownService
        | RefusalReason::UnknownModel
        | RefusalReason::UnknownRequest => StatusCode::NotFound,
        RefusalReason::MissingIdempotencyKey => StatusCode::PreconditionRequired,
        RefusalReason::IdempotencyKeyReused => StatusCode::UnprocessableEntity,
        RefusalReason::WorkspaceLimit => StatusCode::TooManyRequests,
        RefusalReason::DeadlinePassed | RefusalReason::DeadlineUnreachable => {
            StatusCode::GatewayTimeout
        }
        RefusalReason::UpstreamFailed
        | RefusalReason::ReplicaCrashed
        | RefusalReason::ClaimWithoutResult => StatusCode::BadGateway,
        _ => StatusCode::ServiceUnavailable,
    }
}

/// Returns the problem detail for a refusal reason: what failed and what the caller can do.
fn detail_for(reason: reason::RefusalReason) -> &'static str {
    use reason::RefusalReason;
    match reason {
        RefusalReason::MalformedHttp => "the message is not HTTP/1.1; check its form",
        RefusalReason::MalformedBody => "the body is not what the call takes; check its form",
        RefusalReason::BadHeader => "a header has an unusable value; correct it",
        RefusalReason::TooLarge => "the body exceeds its limit; send less",
        RefusalReason::SlowCaller => "the request came too slowly; send it without pauses",
        RefusalReason::WrongKey => "no workspace has this key; send `Authorization: Bearer KEY`",
        RefusalReason::UnknownPath => "the path names no call; docs/API.md lists them",
        RefusalReason::UnknownService => "the workspace has no such service; check its name",
        RefusalReason::UnknownModel => "no record declares this version; leave it out",
        RefusalReason::UnknownRequest => {
            "no such request is kept, and it may have been run; send it anew if that is safe"
        }
        RefusalReason::MissingIdempotencyKey => {
            "this call may not be repeated; send an `Idempotency-Key` of your own"
        }
        RefusalReason::IdempotencyKeyReused => {
            "the key was used with another call; send a new key for a new call"
        }
        RefusalReason::TooManyConnections => "too many connections; try another daemon",
        RefusalReason::TooManyRequests => "too many requests in progress; try again later",
        RefusalReason::StalledBody => "the body made no progress; send it without pauses",
        RefusalReason::WorkspaceLimit => "the workspace is at its limit; send fewer at once",
        RefusalReason::Shed => "load is shed; try again later",
        RefusalReason::DeadlineUnreachable => "the deadline can't be met; allow more time",
        RefusalReason::DeadlinePassed => "the deadline passed; allow more time",
        RefusalReason::NoReplica => "no replica can serve it now; try again later",
        RefusalReason::ReplicaPaused => {
            "the replicas want no requests for a while; try again later"
        }
        RefusalReason::ReplicaLimit => {
            "the replicas take no more requests at present; try again later"
        }
        RefusalReason::Quarantined => {
            "replicas crash under the call or a part of its prompt; change it or try again much later"
        }
        RefusalReason::ReplicaCrashed => {
            "the replica crashed, perhaps under this request; it is not sent to another one"
        }
        RefusalReason::NoReplicaOfVersion => {
            "no replica of the software version that began the stream is left; send the call anew"
        }
        RefusalReason::UnknownStreamVersion => {
            "no daemon knows the software version that began the stream; send the call anew"
        }
        RefusalReason::RetryBudgetSpent => "too many upstreams fail; try again later",
        RefusalReason::ClaimUnavailable => "the claim can't be written now; try again later",
        RefusalReason::ShardUnavailable => "the key's shard has no holder now; try again later",
        RefusalReason::ClaimWithoutResult => {
            "an earlier run of this key has no known result; find out at the service"
        }
        RefusalReason::UpstreamFailed => "the upstream failed after it may have got the call",
        RefusalReason::Stopping => "the daemon is stopping; try another daemon",
        RefusalReason::NotReady => "the daemon has no configuration yet; try again later",
        RefusalReason::Abandoned => "nobody waited for the answer, so it was given up",
        RefusalReason::OwnerUnreachable => {
            "the daemon that keeps the request can't be reached; try again later"
        }
    }
}

/// Maps the end of a request to the outcome that is reported to the admission policy.
pub fn permit_outcome(end: &action::RequestEnd) -> gate::PermitOutcome {
    match end.cause {
        action::EndCause::Completed => gate::PermitOutcome::Complete,
        action::EndCause::Abandoned | action::EndCause::HandedOver => {
            gate::PermitOutcome::Cancelled
        }
        action::EndCause::Refused(
            reason::RefusalReason::DeadlinePassed | reason::RefusalReason::DeadlineUnreachable,
        ) => gate::PermitOutcome::TimedOut,
        action::EndCause::Refused(_) => gate::PermitOutcome::Failed,
    }
}

/// Finishes a kept request: updates the metrics, writes the log line and wakes its readers.
pub fn finish_request(
    core: &core::EntryCore,
    kept: &kept::KeptRequest,
    end: &action::RequestEnd,
    kept_end: kept::KeptEnd,
) {
    if let action::EndCause::Refused(reason) = end.cause {
        core.metrics.count_refusal(reason);
    }
    let now = core.now();
    let total = now.since(kept.info.accepted_at);
    let revision = core.view().map(|snapshot| snapshot.view.records.revision).unwrap_or_default();
    core.metrics.observe_request(&kept.info.service, end.outcome, total.to_duration());
    log_event!(
        event::LogEvent::RequestFinished,
        request = kept.info.id,
        revision = revision,
        workspace = kept.info.workspace,
        service = kept.info.service,
        outcome = end.outcome,
        cause = cause_label(end.cause),
        ms = total.get(),
    );
    core.registry.finish_request(kept, || kept.finish(kept_end, now));
}

/// Aborts a request that is still running when the daemon shuts down. Its callers receive the
/// problem at once.
pub fn abort_request(core: &core::EntryCore, kept: &kept::KeptRequest) {
    let reason = reason::RefusalReason::Stopping;
    core.metrics.count_refusal(reason);
    let mut problem = problem_for(reason, outcome::CallOutcome::Unknown);
    problem.detail =
        "the daemon ended before the answer was whole; send it anew if that is safe".to_owned();
    kept.finish(kept::KeptEnd::Failed(problem), core.now());
}

fn cause_label(cause: action::EndCause) -> &'static str {
    match cause {
        action::EndCause::Completed => "answered",
        action::EndCause::Refused(reason) => reason.label(),
        action::EndCause::Abandoned => "abandoned",
        action::EndCause::HandedOver => "handed-over",
    }
}
