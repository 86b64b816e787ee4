//! Runs `scenarios/head`.

mod common;

use std::error;
use std::fmt::Write as _;

use samphiremoor_base::time;
use samphiremoor_head::follow;

struct HeadRunner {
    simulation: common::Simulation,
}

#[derive(goldenscript::Command)]
enum HeadCommand {
    /// Starts a change by an operator, who reads the head row.
    Begin(String),
    /// Performs the operator's next action; `outcome` says how a write is delivered, `read_fails`
    /// makes a read fail.
    Step {
        operator: String,
        #[arg(key)]
        outcome: Option<String>,
        #[arg(key)]
        read_fails: Option<bool>,
    },
    /// Delivers the oldest delayed write to the table.
    DeliverWrite,
    /// Starts or restarts a daemon, which joins immediately.
    Start(String),
    /// Advances the time by `advance_ms` milliseconds and ticks a daemon, as a reader unless
    /// `reader` is false.
    Tick {
        daemon: String,
        #[arg(key)]
        advance_ms: Option<u64>,
        #[arg(key)]
        reader: Option<bool>,
    },
    /// Delivers the first response in flight to a daemon, or the one at `index`.
    Deliver {
        daemon: String,
        #[arg(key)]
        index: Option<usize>,
    },
    /// Reports the revision of a peer to a daemon.
    PeerRevision { daemon: String, peer: String },
    /// Prints the history and the revisions in force.
    Status,
}

impl HeadRunner {
    fn step_operator(
        &mut self,
        operator: &str,
        outcome: Option<&str>,
        is_read_lost: bool,
    ) -> String {
        let delivery = match outcome {
            Some("response-lost") => common::WriteDelivery::ResponseLost,
            Some("request-lost") => common::WriteDelivery::RequestLost,
            Some("not-applied") => common::WriteDelivery::NotApplied,
            Some("delayed") => common::WriteDelivery::Delayed,
            _ => common::WriteDelivery::Responded,
        };
        self.simulation.step_operator(operator, delivery, is_read_lost);
        let Some(state) = self.simulation.operators.get(operator) else { return String::new() };
        format!("{} {:?}\n", state.write_id, state.action)
    }

    fn status(&self) -> String {
        let mut text = format!("history: {}\n", self.simulation.history().join(" "));
        for (name, daemon) in &self.simulation.daemons {
            let revision = daemon.follower.in_force();
            let in_flight = daemon.inbox.len();
            writeln!(
                text,
                "{name}: revision {revision}, in force: {:?}, {in_flight} in flight",
                daemon.revisions_in_force
            )
            .expect("writing to a String succeeds");
        }
        text
    }
}

impl goldenscript::Runner for HeadRunner {
    type Command = HeadCommand;

    fn run(
        &mut self,
        command: &HeadCommand,
        _: &goldenscript::Context,
    ) -> Result<String, Box<dyn error::Error>> {
        match command {
            HeadCommand::Begin(operator) => self.simulation.begin_change(operator),
            HeadCommand::Step { operator, outcome, read_fails } => {
                return Ok(self.step_operator(
                    operator,
                    outcome.as_deref(),
                    read_fails.unwrap_or(false),
                ));
            }
            HeadCommand::DeliverWrite => self.simulation.deliver_write(),
            HeadCommand::Start(daemon) => self.simulation.start(daemon),
            HeadCommand::Tick { daemon, advance_ms, reader } => {
                self.simulation.now =
                    self.simulation.now + time::Millis::new(advance_ms.unwrap_or(0));
                let role = match reader {
                    Some(false) => follow::ReaderRole::NonReader,
                    _ => follow::ReaderRole::Reader,
                };
                self.simulation.step_daemon(daemon, follow::FollowInput::Tick(role));
            }
            HeadCommand::Deliver { daemon, index } => {
                self.simulation.deliver(daemon, index.unwrap_or(0));
            }
            HeadCommand::PeerRevision { daemon, peer } => {
                self.simulation.report_peer_revision(daemon, peer)
            }
            HeadCommand::Status => return Ok(self.status()),
        }
        Ok(String::new())
    }
}

fn check(name: &str) {
    let file = format!("{}/../../scenarios/head/{name}", env!("CARGO_MANIFEST_DIR"));
    let mut runner = HeadRunner { simulation: common::Simulation::default() };
    goldenscript::run(&mut runner, file).expect("the scenario runs as written");
}

samphiremoor_base::cases! {
    racing_operators => check("race");
    lost_responses => check("lost_response");
    distribution => check("distribution");
}
