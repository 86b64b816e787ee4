//! Runs the scripts in `scenarios/claims`.

mod common;

use std::error;
use std::fmt::Write as _;

use samphiremoor_base::time;

struct ClaimRunner {
    cluster: common::ClaimCluster,
}

#[derive(goldenscript::Command)]
enum ClaimCommand {
    /// Lets a daemon acquire the lease.
    Acquire(String),
    /// Submits a request with a key and a body to a daemon.
    Submit { daemon: String, key: String, body: String },
    /// Delivers a duplicate of a request to a daemon.
    Resend { request: usize, daemon: String },
    /// Executes all effects and advances the time by this many milliseconds.
    Run(u64),
    /// Ends the oldest call at the upstream: `respond`, `response-lost` or `refused`.
    Upstream(String),
    /// Makes the table unavailable (`down`) or available (`up`).
    Table(String),
    /// Adds the fault of the next write that has none yet: `response-lost`, `request-lost` or
    /// `delayed`.
    Fault(String),
    /// Applies the delayed writes.
    DeliverDelayedWrites,
    /// Restarts a daemon without its state.
    Crash(String),
    /// Pauses a daemon.
    Pause(String),
    /// Resumes a paused daemon.
    Resume(String),
    /// Lets a daemon release the lease.
    Release(String),
    /// Disconnects two daemons from each other.
    Disconnect { one: String, other: String },
    /// Reconnects all daemons.
    Reconnect,
    /// Disables a protection, for example `fencing`.
    Disable(String),
    /// Prints how often the upstream ran each key.
    Runs,
    /// Prints and clears the violations, which a scenario with a disabled protection expects.
    Violations,
}

fn parse_protection(name: &str) -> Result<common::DisabledProtection, Box<dyn error::Error>> {
    Ok(match name {
        "fencing" => common::DisabledProtection::Fencing,
        "commit-read-back" => common::DisabledProtection::CommitReadBack,
        "sealing" => common::DisabledProtection::Sealing,
        "incarnation-check" => common::DisabledProtection::IncarnationCheck,
        "write-all" => common::DisabledProtection::WriteAll,
        "journal-replay" => common::DisabledProtection::JournalReplay,
        "unsealed-groups" => common::DisabledProtection::UnsealedGroups,
        "unknown-outcome" => common::DisabledProtection::UnknownOutcome,
        _ => return Err("unknown protection".into()),
    })
}

fn daemon_index(name: &str) -> usize {
    usize::from(name.as_bytes()[0] - b'a')
}

impl ClaimRunner {
    fn run_for(&mut self, duration_ms: u64) {
        const STEP_MS: u64 = 10;
        self.cluster.run_until_idle();
        for _ in 0..duration_ms / STEP_MS {
            self.cluster.advance(time::Millis::new(STEP_MS));
            self.cluster.run_until_idle();
        }
    }

    fn end_oldest_run(&mut self, end: &str) -> Result<(), Box<dyn error::Error>> {
        if self.cluster.running.is_empty() {
            return Err("the upstream runs no call".into());
        }
        let end = match end {
            "respond" => common::UpstreamEnd::Response,
            "response-lost" => common::UpstreamEnd::ResponseLost,
            _ => common::UpstreamEnd::Refused,
        };
        self.cluster.end_run(0, end);
        self.cluster.run_until_idle();
        Ok(())
    }

    fn runs(&self) -> String {
        let mut text = String::new();
        for (key, count) in &self.cluster.runs {
            writeln!(text, "{key} ran {count}").expect("writing to a String does not fail");
        }
        let running = self.cluster.running.len();
        writeln!(text, "{running} at the upstream").expect("writing to a String does not fail");
        text
    }
}

impl goldenscript::Runner for ClaimRunner {
    type Command = ClaimCommand;

    fn run(
        &mut self,
        command: &ClaimCommand,
        _: &goldenscript::Context,
    ) -> Result<String, Box<dyn error::Error>> {
        match command {
            ClaimCommand::Acquire(name) => self.cluster.acquire(daemon_index(name)),
            ClaimCommand::Submit { daemon: name, key, body } => {
                self.cluster.submit(daemon_index(name), key, body);
            }
            ClaimCommand::Resend { request, daemon: name } => {
                self.cluster.resend(*request, daemon_index(name));
            }
            ClaimCommand::Run(duration_ms) => self.run_for(*duration_ms),
            ClaimCommand::Upstream(end) => self.end_oldest_run(end)?,
            ClaimCommand::Table(state) => self.cluster.is_table_down = state == "down",
            ClaimCommand::Fault(fault) => self.cluster.faults.push_back(match fault.as_str() {
                "response-lost" => common::WriteFault::ResponseLost,
                "request-lost" => common::WriteFault::RequestLost,
                _ => common::WriteFault::Delayed,
            }),
            ClaimCommand::DeliverDelayedWrites => self.cluster.deliver_delayed_writes(),
            ClaimCommand::Crash(name) => self.cluster.crash(daemon_index(name)),
            ClaimCommand::Pause(name) => {
                self.cluster.paused.insert(daemon_index(name));
            }
            ClaimCommand::Resume(name) => {
                self.cluster.paused.remove(&daemon_index(name));
            }
            ClaimCommand::Release(name) => self.cluster.release(daemon_index(name)),
            ClaimCommand::Disconnect { one, other } => {
                let (one, other) = (daemon_index(one), daemon_index(other));
                self.cluster.disconnected.insert((one.min(other), one.max(other)));
            }
            ClaimCommand::Reconnect => self.cluster.disconnected.clear(),
            ClaimCommand::Disable(name) => {
                self.cluster.disabled_protection = parse_protection(name)?
            }
            ClaimCommand::Runs => return Ok(self.runs()),
            ClaimCommand::Violations => {
                let violations: Vec<String> = self.cluster.violations.drain(..).collect();
                return Ok(violations.join("\n") + "\n");
            }
        }
        let lines: Vec<String> = self.cluster.log.drain(..).collect();
        Ok(lines.iter().map(|line| format!("{line}\n")).collect())
    }

    fn end_script(&mut self) -> Result<(), Box<dyn error::Error>> {
        match self.cluster.violations.first() {
            Some(violation) => Err(violation.clone().into()),
            None => Ok(()),
        }
    }
}

fn check(name: &str) {
    let file = format!("{}/../../scenarios/claims/{name}", env!("CARGO_MANIFEST_DIR"));
    let cluster = common::ClaimCluster::new(3, common::DisabledProtection::None);
    goldenscript::run(&mut ClaimRunner { cluster }, file).expect("the scenario file can be read");
}

samphiremoor_base::cases! {
    second_submission_gets_same_result => check("same_key");
    claim_with_lost_table_response_is_copied_first => check("lost_response");
    delayed_write_is_rejected => check("delayed_write");
    crash_before_result_gives_unknown => check("crash");
    resumed_holder_runs_nothing => check("paused_holder");
    claims_are_copied_while_table_is_unavailable => check("table_unavailable");
    restarted_peer_blocks_claims_during_outage => check("peer_restart");
    disconnected_holder_refuses_as_not_run => check("disconnected_holder");
    refused_call_can_be_submitted_again => check("not_run");
    other_body_is_refused => check("other_body");
    second_refusal_outlives_the_first => check("repeated_refusal");
    released_lease_hands_over_results => check("release");
    violation_without_fencing => check("without_fencing");
    violation_without_journal_replay => check("without_journal_replay");
    violation_without_sealing => check("without_sealing");
    violation_without_unknown_outcome => check("without_unknown_outcome");
    crashed_successor_leaves_copies_to_the_next => check("crashed_successor");
}
