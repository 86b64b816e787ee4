//! Runs the scenarios in `scenarios/limits` against the adaptive admission policy.

mod common;

use std::collections;
use std::error;
use std::fmt::Write as _;

use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_limits::adaptive;
use samphiremoor_limits::gate;
use samphiremoor_limits::gate::AdmissionGate;

type RunResult<T> = Result<T, Box<dyn error::Error>>;

struct OpenCall {
    workspace: String,
    service: String,
    permit: gate::PermitId,
}

struct LimitsRunner {
    gate: adaptive::AdaptiveGate,
    now: time::MonotonicTime,
    open: Vec<OpenCall>,
}

#[derive(goldenscript::Command)]
enum LimitsCommand {
    /// Sets the number of live replicas.
    Replicas(u32),
    /// Requests admission of `count` calls with `deadline` milliseconds until their deadline.
    Admit {
        workspace: String,
        service: String,
        #[arg(key)]
        count: Option<u32>,
        #[arg(key)]
        deadline: Option<u64>,
    },
    /// Ends the oldest `count` calls of the workspace to the service, with a latency of `latency`
    /// milliseconds.
    Finish {
        workspace: String,
        service: String,
        #[arg(key)]
        count: u32,
        #[arg(key)]
        latency: u64,
    },
    /// Keeps the limit full for `seconds` with calls that report a latency of `latency`
    /// milliseconds, then ends them.
    Serve {
        #[arg(key)]
        seconds: u64,
        #[arg(key)]
        latency: u64,
    },
    /// Advances the clock by a number of milliseconds.
    Advance(u64),
    /// Prints the limit of the pool, the limit of its most urgent services, and the number of
    /// requests in progress.
    Status,
}

impl LimitsRunner {
    fn new() -> Self {
        LimitsRunner {
            gate: adaptive::AdaptiveGate::default(),
            now: time::MonotonicTime::new(1_000),
            open: Vec::new(),
        }
    }

    fn admit(
        &mut self,
        workspace: &str,
        service: &str,
        deadline_ms: u64,
    ) -> Result<(), gate::AdmissionRefusal> {
        let permit = self.gate.admit(&gate::AdmissionRequest {
            workspace: &common::workspace_id(workspace),
            service: &common::service_id(service),
            deadline_left: time::Millis::new(deadline_ms),
            now: self.now,
        })?;
        let (workspace, service) = (workspace.to_owned(), service.to_owned());
        self.open.push(OpenCall { workspace, service, permit });
        Ok(())
    }

    fn admit_many(
        &mut self,
        workspace: &str,
        service: &str,
        count: u32,
        deadline_ms: u64,
    ) -> String {
        let mut refusals: collections::BTreeMap<reason::RefusalReason, (u32, time::Millis)> =
            collections::BTreeMap::new();
        let mut admitted = 0;
        for _ in 0..count {
            match self.admit(workspace, service, deadline_ms) {
                Ok(()) => admitted += 1,
                Err(refusal) => {
                    let (refused, max_retry_after) = refusals.entry(refusal.reason).or_default();
                    *refused += 1;
                    *max_retry_after = refusal.retry_after.max(*max_retry_after);
                }
            }
        }
        let mut line = format!("{workspace} {service}: admitted={admitted}");
        for (reason, (refused, max_retry_after)) in refusals {
            line += &format!(" {reason}={refused} retry_after<={max_retry_after}");
        }
        line
    }

    fn finish_oldest(&mut self, workspace: &str, service: &str, count: u32, latency_ms: u64) {
        for _ in 0..count {
            let is_match = |call: &OpenCall| call.workspace == workspace && call.service == service;
            let Some(position) = self.open.iter().position(is_match) else { return };
            let call = self.open.remove(position);
            self.finish(call.permit, latency_ms);
        }
    }

    fn finish(&mut self, permit: gate::PermitId, latency_ms: u64) {
        let report = gate::PermitReport {
            outcome: gate::PermitOutcome::Complete,
            latency: Some(time::Millis::new(latency_ms)),
            now: self.now,
        };
        self.gate.release(permit, &report);
    }

    fn serve(&mut self, seconds: u64, latency_ms: u64) {
        const STEP_MS: u64 = 50;
        for _ in 0..seconds * 1_000 / STEP_MS {
            while self.admit("utility", "draft", 20_000).is_ok() {}
            self.now = self.now + time::Millis::new(STEP_MS);
            self.finish_oldest("utility", "draft", 2, latency_ms);
        }
        self.finish_oldest("utility", "draft", u32::MAX, latency_ms);
    }
}

impl goldenscript::Runner for LimitsRunner {
    type Command = LimitsCommand;

    fn run(&mut self, command: &LimitsCommand, _: &goldenscript::Context) -> RunResult<String> {
        let mut output = String::new();
        match command {
            LimitsCommand::Replicas(count) => {
                self.gate.configure(&common::view(*count), self.now);
            }
            LimitsCommand::Admit { workspace, service, count, deadline } => {
                let (count, deadline_ms) = (count.unwrap_or(1), deadline.unwrap_or(20_000));
                writeln!(output, "{}", self.admit_many(workspace, service, count, deadline_ms))?;
            }
            LimitsCommand::Finish { workspace, service, count, latency } => {
                self.finish_oldest(workspace, service, *count, *latency);
            }
            LimitsCommand::Serve { seconds, latency } => self.serve(*seconds, *latency),
            LimitsCommand::Advance(duration_ms) => {
                self.now = self.now + time::Millis::new(*duration_ms);
            }
            LimitsCommand::Status => {
                for status in self.gate.status() {
                    let in_progress = status.in_progress;
                    writeln!(
                        output,
                        "limit={:.1} urgent={:.1} in_progress={in_progress}",
                        status.limit, status.urgent_limit
                    )?;
                }
            }
        }
        Ok(output)
    }
}

fn check(name: &str) {
    let path = format!("../../scenarios/limits/{name}");
    goldenscript::run(&mut LimitsRunner::new(), path).expect("the scenario file can be read");
}

samphiremoor_base::cases! {
    least_urgent_services_are_shed_first => check("priority");
    large_workspace_does_not_starve_small_ones => check("share");
    limit_follows_latency => check("adaptive");
    unreachable_deadlines_are_refused => check("deadline");
}
