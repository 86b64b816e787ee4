//! Runs `scenarios/lease`.

mod common;

use std::error;
use std::fmt::Write as _;

use samphiremoor_base::time;

const SHARDS: u16 = 8;

struct LeaseRunner {
    cluster: common::LeaseCluster,
}

#[derive(goldenscript::Command)]
enum LeaseCommand {
    /// A daemon starts, or starts anew.
    Start(String),
    /// A daemon dies.
    Kill(String),
    /// A daemon stops as planned.
    Stop(String),
    /// A daemon is paused.
    Pause(String),
    /// A paused daemon goes on.
    Resume(String),
    /// A daemon can't reach the table.
    Cut(String),
    /// Every cut ends.
    Heal,
    /// The table is down, or up again.
    Table(String),
    /// The next answers of the table are lost.
    LoseAnswers(u32),
    /// A daemon may hold no shards, or may again: no or yes.
    Candidate { name: String, state: String },
    /// Lets milliseconds pass.
    Run(u64),
    /// Prints how many shards each daemon holds, and how many are held at all.
    Shares,
    /// Prints transactions and takeovers since the last time.
    Counts,
}

impl LeaseRunner {
    fn shares(&self) -> String {
        let mut text = String::new();
        for (name, count) in self.cluster.counts() {
            write!(text, "{name}={count} ").expect("a String takes every text");
        }
        let held = self.cluster.holders().iter().flatten().count();
        writeln!(text, "held={held}").expect("a String takes every text");
        text
    }

    fn counts(&mut self) -> String {
        let writes = std::mem::take(&mut self.cluster.writes);
        let takeovers = std::mem::take(&mut self.cluster.takeovers);
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
            LeaseCommand::Cut(name) => {
                cluster.cut.insert(name.clone());
            }
            LeaseCommand::Heal => cluster.cut.clear(),
            LeaseCommand::Table(state) => cluster.is_table_down = state == "down",
            LeaseCommand::LoseAnswers(count) => cluster.lost_answers = *count,
            LeaseCommand::Candidate { name, state } => {
                cluster.set_candidate(name, state == "yes");
            }
            LeaseCommand::Run(length) => cluster.run(time::Millis::new(*length)),
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
    let mut runner = LeaseRunner { cluster: common::LeaseCluster::new(SHARDS) };
    goldenscript::run(&mut runner, file).expect("the scenario file can be read");
}

samphiremoor_base::cases! {
    shards_are_spread => check("spread");
    dead_holder_is_replaced => check("dead_holder");
    paused_holder_wakes => check("paused_holder");
    planned_stop => check("planned_stop");
    table_outage => check("table_outage");
    lost_answers => check("lost_answers");
    restart => check("restart");
}
