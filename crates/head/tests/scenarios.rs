//! Runs `scenarios/head`.

mod common;

use std::error;
use std::fmt::Write as _;

use samphiremoor_base::time;
use samphiremoor_head::follow;

struct HeadRunner {
    world: common::World,
}

#[derive(goldenscript::Command)]
enum HeadCommand {
    /// An operator reads the head and begins a change.
    Begin(String),
    /// Carries out the operator's next step; `fate` is that of a write, `lost` fails a read.
    Step {
        operator: String,
        #[arg(key)]
        fate: Option<String>,
        #[arg(key)]
        lost: Option<bool>,
    },
    /// The oldest delayed write reaches the table.
    Land,
    /// A daemon starts, or starts anew; it has joined.
    Start(String),
    /// Lets milliseconds pass and ticks a daemon as a reader, or as another one.
    Tick {
        daemon: String,
        #[arg(key)]
        pass: Option<u64>,
        #[arg(key)]
        reader: Option<bool>,
    },
    /// The first answer on its way to the daemon arrives, or the one at `place`.
    Deliver {
        daemon: String,
        #[arg(key)]
        place: Option<usize>,
    },
    /// The daemon hears which revision a peer has.
    Hear { daemon: String, peer: String },
    /// Prints the history and the revisions in force.
    Status,
}

impl HeadRunner {
    fn step(&mut self, operator: &str, fate: Option<&str>, is_lost: bool) -> String {
        let fate = match fate {
            Some("answer-lost") => common::WriteFate::AnswerLost,
            Some("request-lost") => common::WriteFate::RequestLost,
            Some("not-done") => common::WriteFate::NotDone,
            Some("delayed") => common::WriteFate::Delayed,
            _ => common::WriteFate::Answered,
        };
        self.world.step(operator, fate, is_lost);
        let Some(found) = self.world.operators.get(operator) else { return String::new() };
        format!("{} {:?}\n", found.write_id, found.action)
    }

    fn status(&self) -> String {
        let mut text = format!("history: {}\n", self.world.history().join(" "));
        for (name, daemon) in &self.world.daemons {
            let revision = daemon.follower.in_force();
            let waiting = daemon.inbox.len();
            writeln!(
                text,
                "{name}: revision {revision}, lived {:?}, {waiting} on the way",
                daemon.lived
            )
            .expect("a String takes every text");
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
            HeadCommand::Begin(operator) => self.world.begin(operator),
            HeadCommand::Step { operator, fate, lost } => {
                return Ok(self.step(operator, fate.as_deref(), lost.unwrap_or(false)));
            }
            HeadCommand::Land => self.world.land(),
            HeadCommand::Start(daemon) => self.world.start(daemon),
            HeadCommand::Tick { daemon, pass, reader } => {
                self.world.now = self.world.now + time::Millis::new(pass.unwrap_or(0));
                let duty = match reader {
                    Some(false) => follow::ReaderRole::Other,
                    _ => follow::ReaderRole::Reader,
                };
                self.world.give(daemon, follow::FollowInput::Tick(duty));
            }
            HeadCommand::Deliver { daemon, place } => {
                self.world.deliver(daemon, place.unwrap_or(0));
            }
            HeadCommand::Hear { daemon, peer } => self.world.hear(daemon, peer),
            HeadCommand::Status => return Ok(self.status()),
        }
        Ok(String::new())
    }
}

fn check(name: &str) {
    let file = format!("{}/../../scenarios/head/{name}", env!("CARGO_MANIFEST_DIR"));
    let mut runner = HeadRunner { world: common::World::default() };
    goldenscript::run(&mut runner, file).expect("the scenario runs as written");
}

samphiremoor_base::cases! {
    racing_operators => check("race");
    lost_answers => check("lost_answer");
    distribution => check("distribution");
}
