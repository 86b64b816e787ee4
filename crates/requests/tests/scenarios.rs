//! Runs `scenarios/requests`.

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
    trial: Option<common::Trial>,
}

#[derive(goldenscript::Command)]
enum RequestCommand {
    /// A request is accepted.
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
    /// The claim is written.
    Claimed,
    /// No claim is written; nothing ran, or an earlier run is possible.
    ClaimRefused {
        #[arg(key)]
        unknown: Option<bool>,
    },
    /// A replica is chosen.
    Choose(String),
    /// No replica can be chosen.
    NoReplica,
    /// The head of an answer arrives.
    Head(u32),
    /// Tokens from one offset up to another arrive.
    Tokens(u32, u64, u64),
    /// A chunk of another request arrives.
    Foreign(u32),
    /// The answer is whole.
    Ended(u32),
    /// A dispatch fails.
    Fail(u32, String),
    /// Lets milliseconds pass and wakes the request.
    Pass(u64),
    /// Nobody waits any more.
    Abandon,
    /// Another daemon goes on.
    HandOver,
}

fn failure(name: &str) -> input::AttemptFailure {
    match name {
        "not-connected" => input::AttemptFailure::ConnectFailed,
        "refused" => input::AttemptFailure::RefusedNotRun,
        "error" => input::AttemptFailure::ServerError,
        "closed" => input::AttemptFailure::ConnectionClosed,
        "silent" => input::AttemptFailure::ConnectionSilent,
        "wrong" => input::AttemptFailure::InvalidResponse,
        "leaving" => input::AttemptFailure::ReplicaLeaving,
        other => panic!("no failure {other}"),
    }
}

fn describe(action: &RequestAction) -> String {
    match action {
        RequestAction::WriteClaim => "write-claim".to_owned(),
        RequestAction::ChooseReplica(avoided) => {
            let names: Vec<&str> = avoided.iter().map(|replica| replica.as_str()).collect();
            format!("choose avoid=[{}]", names.join(" "))
        }
        RequestAction::Dispatch(order) => format!(
            "dispatch attempt={} replica={} from={} remaining={}",
            order.attempt, order.replica, order.continue_from, order.remaining
        ),
        RequestAction::DeliverToken(offset) => format!("deliver {offset}"),
        RequestAction::Drop(cause) => format!("drop {}", cause.label()),
        RequestAction::CancelAttempt { attempt, replica } => {
            format!("cancel attempt={attempt} replica={replica}")
        }
        RequestAction::SuspendReplica(replica) => format!("blame {replica}"),
        RequestAction::CountRetry(reason) => format!("retry {reason}"),
        RequestAction::CountStreamMove => "move".to_owned(),
        RequestAction::SetTimer(wake) => format!("wake-at {}", wake.get()),
        RequestAction::Finish(end) => {
            let cause = match end.cause {
                action::EndCause::Refused(reason) => reason.label().to_owned(),
                cause => format!("{cause:?}").to_lowercase(),
            };
            let later = end.retry_after.map_or("never".to_owned(), |length| length.to_string());
            format!("finish {} {cause} retry-after={later}", end.outcome)
        }
    }
}

impl RequestRunner {
    fn give(&mut self, input: RequestInput) -> String {
        let trial = self.trial.as_mut().expect("a request was accepted");
        let mut text = String::new();
        for action in trial.give(input) {
            writeln!(text, "{}", describe(&action)).expect("a String takes every text");
        }
        text
    }

    fn tokens(&mut self, attempt: u32, from: u64, to: u64) -> String {
        let attempt = input::AttemptNumber::new(attempt);
        let arrived = |offset| RequestInput::TokenReceived {
            attempt,
            offset: quantity::TokenCount::new(offset),
        };
        (from..to).map(|offset| self.give(arrived(offset))).collect()
    }
}

impl goldenscript::Runner for RequestRunner {
    type Command = RequestCommand;

    fn run(
        &mut self,
        command: &RequestCommand,
        _: &goldenscript::Context,
    ) -> Result<String, Box<dyn error::Error>> {
        let number = input::AttemptNumber::new;
        Ok(match command {
            RequestCommand::Accept { once, deadline, attempts, retries, delivered } => {
                let plain = common::TrialRequest::default();
                let repeat = match once {
                    Some(true) => policy::RepeatPolicy::AtMostOnce,
                    _ => policy::RepeatPolicy::Repeatable,
                };
                self.trial = Some(common::Trial::new(common::TrialRequest {
                    repeat,
                    deadline_ms: deadline.unwrap_or(plain.deadline_ms),
                    max_attempts: attempts.unwrap_or(plain.max_attempts),
                    retries: retries.unwrap_or(plain.retries),
                    delivered: delivered.unwrap_or(plain.delivered),
                }));
                self.give(RequestInput::Start)
            }
            RequestCommand::Claimed => self.give(RequestInput::Claimed),
            RequestCommand::ClaimRefused { unknown } => {
                let is_unknown = unknown.unwrap_or(false);
                self.give(RequestInput::ClaimRefused {
                    reason: match is_unknown {
                        true => reason::RefusalReason::ClaimWithoutResult,
                        false => reason::RefusalReason::ClaimUnavailable,
                    },
                    outcome: match is_unknown {
                        true => outcome::CallOutcome::Unknown,
                        false => outcome::CallOutcome::NotRun,
                    },
                    retry_after: (!is_unknown).then_some(time::Millis::new(500)),
                })
            }
            RequestCommand::Choose(replica) => {
                self.give(RequestInput::ReplicaChosen(replica.parse()?))
            }
            RequestCommand::NoReplica => self.give(RequestInput::NoReplica { retry_after: None }),
            RequestCommand::Head(attempt) => {
                self.give(RequestInput::HeadReceived(number(*attempt)))
            }
            RequestCommand::Tokens(attempt, from, to) => self.tokens(*attempt, *from, *to),
            RequestCommand::Foreign(attempt) => {
                self.give(RequestInput::ForeignResponse(number(*attempt)))
            }
            RequestCommand::Ended(attempt) => {
                self.give(RequestInput::ResponseComplete(number(*attempt)))
            }
            RequestCommand::Fail(attempt, name) => self.give(RequestInput::AttemptFailed {
                attempt: number(*attempt),
                failure: failure(name),
            }),
            RequestCommand::Pass(length) => {
                self.trial.as_mut().expect("a request was accepted").pass(*length);
                self.give(RequestInput::TimerFired)
            }
            RequestCommand::Abandon => self.give(RequestInput::Abandoned),
            RequestCommand::HandOver => self.give(RequestInput::HandedOver),
        })
    }
}

fn check(name: &str) {
    let file = format!("{}/../../scenarios/requests/{name}", env!("CARGO_MANIFEST_DIR"));
    goldenscript::run(&mut RequestRunner::default(), file).expect("the scenario runs as written");
}

samphiremoor_base::cases! {
    kill_in_the_middle => check("kill");
    silent_connection => check("silence");
    late_and_crossed_answers => check("crossed");
    once_only_call => check("once");
    retry_budget_and_attempts => check("budget");
    deadline => check("deadline");
    reclaim_wave => check("reclaim");
    hand_over => check("hand_over");
}
