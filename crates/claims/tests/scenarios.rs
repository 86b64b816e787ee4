//! Runs `scenarios/claims`.

mod common;

use std::error;
use std::fmt::Write as _;

use samphiremoor_base::time;

struct ClaimRunner {
    cluster: common::ClaimCluster,
}

#[derive(goldenscript::Command)]
enum ClaimCommand {
    /// A daemon takes the lease.
    Take(String),
    /// A request with a key and a body reaches a daemon.
    Send { daemon: String, key: String, body: String },
    /// A copy of a request reaches a daemon.
    Again { request: usize, daemon: String },
    /// Lets messages and writes through, and milliseconds pass.
    Run(u64),
    /// The upstream ends the oldest call: answer, answer-lost or refused.
    Upstream(String),
    /// The table is down, or up again.
    Table(String),
    /// The next write is disturbed: answer-lost, request-lost or late.
    Fault(String),
    /// Delayed writes take effect.
    LateWrites,
    /// A daemon starts anew and has lost everything.
    Crash(String),
    /// A daemon is paused.
    Pause(String),
    /// A paused daemon goes on.
    Resume(String),
    /// A daemon gives the shard away.
    Release(String),
    /// Two daemons can't reach each other.
    Cut { one: String, other: String },
    /// Every cut ends.
    Heal,
    /// Takes a protection out.
    Without(String),
    /// Prints how often the upstream ran each key.
    Runs,
    /// Prints what must not have happened, which a scenario without a protection shows.
    Violations,
}

fn weakness(name: &str) -> Result<common::Weakness, Box<dyn error::Error>> {
    Ok(match name {
        "fence" => common::Weakness::NoFence,
        "settling" => common::Weakness::NoSettle,
        "seal" => common::Weakness::NoSeal,
        "incarnation" => common::Weakness::NoIncarnation,
        "write-all" => common::Weakness::NoWriteAll,
        "journal" => common::Weakness::NoJournal,
        "inheritance" => common::Weakness::NoInherit,
        "certainty" => common::Weakness::GuessNotRun,
        _ => return Err("no such protection".into()),
    })
}

fn daemon(name: &str) -> usize {
    usize::from(name.as_bytes()[0] - b'a')
}

impl ClaimRunner {
    fn run_for(&mut self, length: u64) {
        const STEP_MS: u64 = 10;
        self.cluster.settle();
        for _ in 0..length / STEP_MS {
            self.cluster.advance(time::Millis::new(STEP_MS));
            self.cluster.settle();
        }
    }

    fn upstream(&mut self, end: &str) -> Result<(), Box<dyn error::Error>> {
        if self.cluster.running.is_empty() {
            return Err("the upstream has no call".into());
        }
        let end = match end {
            "answer" => common::UpstreamEnd::Answer,
            "answer-lost" => common::UpstreamEnd::AnswerLost,
            _ => common::UpstreamEnd::Refused,
        };
        self.cluster.end_run(0, end);
        self.cluster.settle();
        Ok(())
    }

    fn runs(&self) -> String {
        let mut text = String::new();
        for (key, count) in &self.cluster.runs {
            writeln!(text, "{key} ran {count}").expect("a String takes every text");
        }
        let running = self.cluster.running.len();
        writeln!(text, "{running} at the upstream").expect("a String takes every text");
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
            ClaimCommand::Take(name) => self.cluster.take(daemon(name)),
            ClaimCommand::Send { daemon: name, key, body } => {
                self.cluster.submit(daemon(name), key, body);
            }
            ClaimCommand::Again { request, daemon: name } => {
                self.cluster.send_again(*request, daemon(name));
            }
            ClaimCommand::Run(length) => self.run_for(*length),
            ClaimCommand::Upstream(end) => self.upstream(end)?,
            ClaimCommand::Table(state) => self.cluster.is_table_down = state == "down",
            ClaimCommand::Fault(fault) => self.cluster.faults.push_back(match fault.as_str() {
                "answer-lost" => common::WriteFault::AnswerLost,
                "request-lost" => common::WriteFault::RequestLost,
                _ => common::WriteFault::Late,
            }),
            ClaimCommand::LateWrites => self.cluster.deliver_late_writes(),
            ClaimCommand::Crash(name) => self.cluster.crash(daemon(name)),
            ClaimCommand::Pause(name) => {
                self.cluster.paused.insert(daemon(name));
            }
            ClaimCommand::Resume(name) => {
                self.cluster.paused.remove(&daemon(name));
            }
            ClaimCommand::Release(name) => self.cluster.release(daemon(name)),
            ClaimCommand::Cut { one, other } => {
                let (one, other) = (daemon(one), daemon(other));
                self.cluster.cuts.insert((one.min(other), one.max(other)));
            }
            ClaimCommand::Heal => self.cluster.cuts.clear(),
            ClaimCommand::Without(name) => self.cluster.weakness = weakness(name)?,
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
    let cluster = common::ClaimCluster::new(3, common::Weakness::None);
    goldenscript::run(&mut ClaimRunner { cluster }, file).expect("the scenario file can be read");
}

samphiremoor_base::cases! {
    same_key_same_answer => check("same_key");
    lost_answer_of_the_table => check("lost_answer");
    late_write_of_the_table => check("late_write");
    crash_before_the_result => check("crash");
    paused_holder_wakes => check("paused_holder");
    table_is_down => check("table_down");
    peer_restarts => check("peer_restart");
    zone_is_cut_off => check("cut_off");
    call_was_not_run => check("not_run");
    other_body_is_refused => check("other_body");
    planned_release => check("release");
    violation_without_fence => check("without_fence");
    violation_without_journal => check("without_journal");
    violation_without_seal => check("without_seal");
    violation_without_certainty => check("without_certainty");
    successor_fails_before_it_opens => check("failed_successor");
}
