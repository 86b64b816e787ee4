//! Runs the scripts in `scenarios/lease`.

#[allow(dead_code, reason = "other test files use the rest of the harness")]
mod common;

use std::error;
use std::fmt::Write as _;

use samphiremoor_base::time;

const SHARD_COUNT: u16 = 8;

struct LeaseRunner {
    cluster: common::LeaseCluster,
}

#[derive(goldenscript::Command)]
enum LeaseCommand {
    /// Starts or restarts a daemon.
    Start(String),
    /// Kills a daemon.
    Kill(String),
    /// Stops a daemon gracefully.
    Stop(String),
    /// Pauses a daemon.
    Pause(String),
    /// Resumes a paused daemon.
    Resume(String),
    /// Disconnects a daemon from the table.
    Disconnect(String),
    /// Reconnects all daemons to the table.
    Reconnect,
    /// Makes the table unavailable (`down`) or available (`up`).
    Table(String),
    /// Loses the responses to this many upcoming transactions.
    LoseResponses(u32),
    /// Sets whether a daemon may hold shards (`yes` or `no`).
    Candidate { name: String, state: String },
    /// Advances the time by this many milliseconds.
    Run(u64),
    /// Prints the number of shards that each daemon holds, and the number of shards with a holder.
    Shares,
    /// Prints the number of transactions and takeovers since the last `counts` command.
    Counts,
}

impl LeaseRunner {
    fn shares(&self) -> String {
        let mut text = String::new();
        for (name, count) in self.cluster.held_counts() {
            write!(text, "{name}={count} ").expect("writing to a String does not fail");
        }
        let held = self.cluster.holders().iter().flatten().count();
        writeln!(text, "held={held}").expect("writing to a String does not fail");
        text
    }

    fn counts(&mut self) -> String {
        let writes = std::mem::take(&mut self.cluster.write_count);
        let takeovers = std::mem::take(&mut self.cluster.takeover_count);
        format!("writes={writes} takeovers={takeovers}\n")
    }
}

impl goldenscript::Runner for LeaseRunner {
    type Command = LeaseCommand;

    fn run(
        &mut self,
        command: &LeaseCommand,
        _: &goldenscript::Context,
    ) -> Result<String, Box<dyn error::Error>> {
        let cluster = &mut self.cluster;
        match command {
            LeaseCommand::Start(name) => cluster.start(name),
            LeaseCommand::Kill(name) => cluster.kill(name),
            LeaseCommand::Stop(name) => cluster.stop(name),
            LeaseCommand::Pause(name) => {
                cluster.paused.insert(name.clone());
            }
            LeaseCommand::Resume(name) => {
                cluster.paused.remove(name);
            }
            LeaseCommand::Disconnect(name) => {
                cluster.disconnected.insert(name.clone());
            }
            LeaseCommand::Reconnect => cluster.disconnected.clear(),
            LeaseCommand::Table(state) => cluster.is_table_down = state == "down",
            LeaseCommand::LoseResponses(count) => cluster.lost_responses = *count,
            LeaseCommand::Candidate { name, state } => {
                cluster.set_candidate(name, state == "yes");
            }
            LeaseCommand::Run(millis) => cluster.run(time::Millis::new(*millis)),
            LeaseCommand::Shares => return Ok(self.shares()),
            LeaseCommand::Counts => return Ok(self.counts()),
        }
        Ok(String::new())
    }

    fn end_script(&mut self) -> Result<(), Box<dyn error::Error>> {
        match self.cluster.violations.first() {
            Some(violation) => Err(violation.clone().into()),
            None => Ok(()),
        }
    }
}

fn check(name: &str) {
    let file = format!("{}/../../scenarios/lease/{name}", env!("CARGO_MANIFEST_DIR"));
    let mut runner = LeaseRunner { cluster: common::LeaseCluster::new(SHARD_COUNT) };
    goldenscript::run(&mut runner, file).expect("the scenario file can be read");
}

samphiremoor_base::cases! {
    shards_are_distributed_evenly => check("even_distribution");
    shards_of_killed_holder_are_taken_over => check("killed_holder");
    paused_holder_loses_its_shards => check("paused_holder");
    stopped_daemon_releases_its_shards => check("planned_stop");
    table_outage_changes_no_holder => check("table_outage");
    commit_with_lost_response_is_found_by_scan => check("lost_responses");
    restarted_daemon_is_a_new_holder => check("restart");
}
