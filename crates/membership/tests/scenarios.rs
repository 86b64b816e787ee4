//! Runs `scenarios/membership`.

mod common;

use std::error;
use std::fmt::Write as _;

use samphiremoor_base::time;
use samphiremoor_membership::gossip;

struct ClusterRunner {
    cluster: common::Cluster,
}

#[derive(goldenscript::Command)]
enum ClusterCommand {
    /// A listed entry VM whose daemon starts.
    Daemon { name: String, zone: String },
    /// A listed upstream that is ready.
    Upstream { name: String, zone: String },
    /// A daemon dies.
    Kill(String),
    /// A daemon starts anew.
    Start(String),
    /// Messages from the first to the second are lost.
    Cut { from: String, to: String },
    /// Every cut ends.
    Heal,
    /// The platform's list can't be read, or can be read again.
    Platform(String),
    /// The VM is in the list no more.
    Unlist(String),
    /// An upstream answers this from now on: silent, not-ready, draining, or ready.
    Answers { name: String, answer: String },
    /// The cloud announces to one daemon that the VM is reclaimed.
    Notice {
        #[arg(key)]
        daemon: Option<String>,
        #[arg(key)]
        vm: Option<String>,
    },
    /// Lets milliseconds pass.
    Run(u64),
    /// Prints what each daemon thinks of this one.
    Views(String),
    /// Prints what each daemon shows of this upstream.
    Shown(String),
}

impl ClusterRunner {
    fn views(&self, name: &str) -> String {
        let viewers = self.cluster.daemons.keys().filter(|viewer| viewer.as_str() != name);
        let views = viewers
            .map(|viewer| format!("{viewer}={}", self.cluster.standing(viewer.as_str(), name)));
        views.collect::<Vec<_>>().join(" ") + "\n"
    }

    fn shown(&self, name: &str) -> String {
        let mut text = String::new();
        for viewer in self.cluster.daemons.keys() {
            let shown = self.cluster.shown(viewer.as_str(), name);
            let state = shown.map_or_else(|| "-".to_owned(), |view| view.state.to_string());
            write!(text, "{viewer}={state} ").expect("a String takes every text");
        }
        text.trim_end().to_owned() + "\n"
    }
}

impl goldenscript::Runner for ClusterRunner {
    type Command = ClusterCommand;

    fn run(
        &mut self,
        command: &ClusterCommand,
        _: &goldenscript::Context,
    ) -> Result<String, Box<dyn error::Error>> {
        let cluster = &mut self.cluster;
        match command {
            ClusterCommand::Daemon { name, zone } => cluster.add_daemon(name, zone),
            ClusterCommand::Upstream { name, zone } => cluster.add_upstream(name, zone),
            ClusterCommand::Kill(name) => cluster.kill(name),
            ClusterCommand::Start(name) => cluster.start(name),
            ClusterCommand::Cut { from, to } => {
                cluster.cuts.insert((from.parse()?, to.parse()?));
            }
            ClusterCommand::Heal => cluster.cuts.clear(),
            ClusterCommand::Platform(state) => cluster.is_platform_down = state == "down",
            ClusterCommand::Unlist(name) => cluster.unlist(name),
            ClusterCommand::Answers { name, answer } => {
                let answer = match answer.as_str() {
                    "silent" => gossip::PollResult::Silent,
                    "not-ready" => gossip::PollResult::NotReady,
                    "draining" => {
                        gossip::PollResult::Draining { load: gossip::LoadLevel::default() }
                    }
                    _ => common::ready(0),
                };
                cluster.answer(name, answer);
            }
            ClusterCommand::Notice { daemon, vm } => {
                let now = cluster.now;
                let vm = vm.as_ref().ok_or("name a VM")?.parse()?;
                let daemon = daemon.as_ref().ok_or("name a daemon")?.parse()?;
                let daemon = cluster.daemons.get_mut(&daemon).ok_or("no such daemon")?;
                daemon.leave(now, &vm);
            }
            ClusterCommand::Run(length) => cluster.run(time::Millis::new(*length)),
            ClusterCommand::Views(name) => return Ok(self.views(name)),
            ClusterCommand::Shown(name) => return Ok(self.shown(name)),
        }
        Ok(String::new())
    }
}

fn check(name: &str) {
    let file = format!("{}/../../scenarios/membership/{name}", env!("CARGO_MANIFEST_DIR"));
    let mut runner = ClusterRunner { cluster: common::Cluster::new() };
    goldenscript::run(&mut runner, file).expect("the scenario file can be read");
}

samphiremoor_base::cases! {
    daemons_come_and_go => check("daemons");
    cuts_between_daemons => check("cuts");
    upstreams_come_and_go => check("upstreams");
    upstreams_return => check("returns");
}
