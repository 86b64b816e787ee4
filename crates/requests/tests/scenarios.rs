//! Runs the scenarios in `scenarios/requests` against the request state machine.

mod common;

use std::error;
use std::fmt::Write as _;

use samphiremoor_base::outcome;
use samphiremoor_base::quantity;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_requests::action;
use samphiremoor_requests::action::RequestAction;
use samphiremoor_requests::input;
use samphiremoor_requests::input::RequestInput;
use samphiremoor_requests::policy;

#[derive(Default)]
struct RequestRunner {
    request: Option<common::SimulatedRequest>,
}

#[derive(goldenscript::Command)]
enum RequestCommand {
    /// Accepts a request: `once` makes it an at-most-once call, `deadline` is in milliseconds,
    /// `attempts` and `retries` are its limits, and `delivered` tokens are already delivered.
    Accept {
        #[arg(key)]
        once: Option<bool>,
        #[arg(key)]
        deadline: Option<u64>,
        #[arg(key)]
        attempts: Option<u32>,
        #[arg(key)]
        retries: Option<u32>,
        #[arg(key)]
        delivered: Option<u64>,
    },
    /// Reports that the claim is written.
    Claimed,
    /// Reports that the claim is refused; `unknown` says that an earlier run is possible.
    ClaimRefused {
        #[arg(key)]
        unknown: Option<bool>,
    },
    /// Reports the chosen replica.
    Choose(String),
    /// Reports that no replica is available.
    NoReplica,
    /// Delivers the response head of an attempt.
    Head(u32),
    /// Delivers the tokens of an attempt from one offset up to another, exclusive.
    Tokens(u32, u64, u64),
    /// Delivers a response chunk that names another request.
    Foreign(u32),
    /// Ends the response of an attempt.
    Ended(u32),
    /// Fails an attempt.
    Fail(u32, String),
    /// Reports that an attempt is overdue.
    Overdue(u32),
    /// Advances the clock by milliseconds and fires the timer.
    Pass(u64),
    /// Abandons the request: no caller waits any more.
    Abandon,
    /// Hands the request over to another daemon.
    HandOver,
}

fn parse_failure(name: &str) -> input::AttemptFailure {
    match name {
        "not-connected" => input::AttemptFailure::ConnectFailed,
        "refused" => input::AttemptFailure::RefusedNotRun,
        "unconfirmed" => input::AttemptFailure::UnconfirmedRefusal,
        "error" => input::AttemptFailure::ServerError,
        "closed" => input::AttemptFailure::ConnectionClosed,
        "silent" => input::AttemptFailure::ConnectionSilent,
        "invalid" => input::AttemptFailure::InvalidResponse,
        "leaving" => input::AttemptFailure::ReplicaLeaving,
        unknown => panic!("unknown failure {unknown}"),
    }
}

fn format_action(action: &RequestAction) -> String {
    match action {
        RequestAction::WriteClaim => "write-claim".to_owned(),
        RequestAction::ChooseReplica(excluded) => {
            let names: Vec<&str> = excluded.iter().map(|replica| replica.as_str()).collect();
            format!("choose excluded=[{}]", names.join(" "))
        }
        RequestAction::Dispatch(command) => format!(
            "dispatch attempt={} replica={} from={} remaining={}",
            command.attempt, command.replica, command.continue_from, command.remaining
        ),
        RequestAction::DeliverToken(offset) => format!("deliver {offset}"),
        RequestAction::Drop(cause) => format!("drop {}", cause.label()),
        RequestAction::CancelAttempt { attempt, replica } => {
            format!("cancel attempt={attempt} replica={replica}")
        }
        RequestAction::SuspendReplica(replica) => format!("suspend {replica}"),
        RequestAction::CountRetry(reason) => format!("retry {reason}"),
        RequestAction::CountStreamMove => "stream-move".to_owned(),
        RequestAction::SetTimer(fires_at) => format!("set-timer {}", fires_at.get()),
        RequestAction::Finish(end) => {
            let cause = match end.cause {
                action::EndCause::Refused(reason) => reason.label().to_owned(),
                cause => format!("{cause:?}").to_lowercase(),
            };
            let retry_after = end.retry_after.map_or("never".to_owned(), |delay| delay.to_string());
            format!("finish {} {cause} retry-after={retry_after}", end.outcome)
        }
    }
}

impl RequestRunner {
    fn step(&mut self, input: RequestInput) -> String {
        let request = self.request.as_mut().expect("the scenario accepts a request first");
        let mut text = String::new();
        for action in request.step(input) {
            writeln!(text, "{}", format_action(&action)).expect("writing to a String cannot fail");
        }
        text
    }

    /// Delivers the tokens from `start_offset` up to `end_offset`, exclusive.
    fn receive_tokens(&mut self, attempt: u32, start_offset: u64, end_offset: u64) -> String {
        let attempt = input::AttemptNumber::new(attempt);
        let token_input = |offset| RequestInput::TokenReceived {
            attempt,
            offset: quantity::TokenCount::new(offset),
        };
        (start_offset..end_offset).map(|offset| self.step(token_input(offset))).collect()
    }
}

impl goldenscript::Runner for RequestRunner {
    type Command = RequestCommand;

    fn run(
        &mut self,
        command: &RequestCommand,
        _: &goldenscript::Context,
    ) -> Result<String, Box<dyn error::Error>> {
        let attempt_number = input::AttemptNumber::new;
        Ok(match command {
            RequestCommand::Accept { once, deadline, attempts, retries, delivered } => {
                let defaults = common::RequestParams::default();
                let repeat = match once {
                    Some(true) => policy::RepeatPolicy::AtMostOnce,
                    _ => policy::RepeatPolicy::Repeatable,
                };
                self.request = Some(common::SimulatedRequest::new(common::RequestParams {
                    repeat,
                    deadline_ms: deadline.unwrap_or(defaults.deadline_ms),
                    max_attempts: attempts.unwrap_or(defaults.max_attempts),
                    retries: retries.unwrap_or(defaults.retries),
                    delivered: delivered.unwrap_or(defaults.delivered),
                }));
                self.step(RequestInput::Start)
            }
            RequestCommand::Claimed => self.step(RequestInput::Claimed),
            RequestCommand::ClaimRefused { unknown } => {
                let may_have_run = unknown.unwrap_or(false);
                self.step(RequestInput::ClaimRefused {
                    reason: match may_have_run {
                        true => reason::RefusalReason::ClaimWithoutResult,
                        false => reason::RefusalReason::ClaimUnavailable,
                    },
                    outcome: match may_have_run {
                        true => outcome::CallOutcome::Unknown,
                        false => outcome::CallOutcome::NotRun,
                    },
                    retry_after: (!may_have_run).then_some(time::Millis::new(500)),
                })
            }
            RequestCommand::Choose(replica) => {
                self.step(RequestInput::ReplicaChosen(replica.parse()?))
            }
            RequestCommand::NoReplica => self.step(RequestInput::NoReplica { retry_after: None }),
            RequestCommand::Head(attempt) => {
                self.step(RequestInput::HeadReceived(attempt_number(*attempt)))
            }
            RequestCommand::Tokens(attempt, start_offset, end_offset) => {
                self.receive_tokens(*attempt, *start_offset, *end_offset)
            }
            RequestCommand::Foreign(attempt) => {
                self.step(RequestInput::ForeignResponse(attempt_number(*attempt)))
            }
            RequestCommand::Ended(attempt) => {
                self.step(RequestInput::ResponseComplete(attempt_number(*attempt)))
            }
            RequestCommand::Fail(attempt, name) => self.step(RequestInput::AttemptFailed {
                attempt: attempt_number(*attempt),
                failure: parse_failure(name),
            }),
            RequestCommand::Overdue(attempt) => {
                self.step(RequestInput::AttemptOverdue(attempt_number(*attempt)))
            }
            RequestCommand::Pass(duration_ms) => {
                self.request
                    .as_mut()
                    .expect("the scenario accepts a request first")
                    .advance(*duration_ms);
                self.step(RequestInput::TimerFired)
            }
            RequestCommand::Abandon => self.step(RequestInput::Abandoned),
            RequestCommand::HandOver => self.step(RequestInput::HandedOver),
        })
    }
}

fn check(name: &str) {
    let file = format!("{}/../../scenarios/requests/{name}", env!("CARGO_MANIFEST_DIR"));
    goldenscript::run(&mut RequestRunner::default(), file).expect("the scenario file can be read");
}

samphiremoor_base::cases! {
    replica_killed_mid_stream_is_replaced => check("kill");
    silent_connection_is_redialed_once => check("silence");
    late_and_foreign_responses_are_dropped => check("foreign_responses");
    at_most_once_call_is_never_repeated => check("once");
    retries_and_attempts_are_limited => check("budget");
    deadline_ends_request => check("deadline");
    reclaimed_replicas_are_replaced => check("reclaim");
    overdue_attempt_goes_on => check("overdue");
    handed_over_or_abandoned_request_ends => check("hand_over");
}
