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
    /// Adds an entry VM to the VM list and starts its daemon.
    Daemon { name: String, zone: String },
    /// Adds a ready upstream to the VM list.
    Upstream { name: String, zone: String },
    /// Kills a daemon.
    Kill(String),
    /// Restarts a daemon.
    Start(String),
    /// Drops messages from the first daemon to the second.
    Cut { from: String, to: String },
    /// Restores all links.
    Heal,
    /// Makes the VM list unreadable (`down`) or readable again.
    Platform(String),
    /// Removes the VM from the VM list.
    Unlist(String),
    /// Sets the poll result of an upstream: `silent`, `not-ready`, `draining` or `ready`.
    PollResult { name: String, result: String },
    /// Delivers the reclaim notice of a VM to one daemon.
    Notice {
        #[arg(key)]
        daemon: Option<String>,
        #[arg(key)]
        vm: Option<String>,
    },
    /// Advances the time by a number of milliseconds.
    Run(u64),
    /// Prints the state of a daemon as seen by each other daemon.
    DaemonStates(String),
    /// Prints the state of an upstream in the view of each daemon.
    UpstreamStates(String),
}

impl ClusterRunner {
    fn daemon_states(&self, name: &str) -> String {
        let viewers = self.cluster.daemons.keys().filter(|viewer| viewer.as_str() != name);
        let states = viewers
            .map(|viewer| format!("{viewer}={}", self.cluster.daemon_state(viewer.as_str(), name)));
        states.collect::<Vec<_>>().join(" ") + "\n"
    }

    fn upstream_states(&self, name: &str) -> String {
        let mut text = String::new();
        for viewer in self.cluster.daemons.keys() {
            let view = self.cluster.replica_view(viewer.as_str(), name);
            let state = view.map_or_else(|| "-".to_owned(), |view| view.state.to_string());
            write!(text, "{viewer}={state} ").expect("writing to a String succeeds");
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
            ClusterCommand::PollResult { name, result } => {
                let result = match result.as_str() {
                    "silent" => gossip::PollResult::NoResponse,
                    "not-ready" => gossip::PollResult::NotReady,
                    "draining" => {
                        gossip::PollResult::Draining { load: gossip::QuantizedLoad::default() }
                    }
                    _ => common::ready(0),
                };
                cluster.set_poll_result(name, result);
            }
            ClusterCommand::Notice { daemon, vm } => {
                let now = cluster.now;
                let vm = vm.as_ref().ok_or("name a VM")?.parse()?;
                let daemon = daemon.as_ref().ok_or("name a daemon")?.parse()?;
                let daemon = cluster.daemons.get_mut(&daemon).ok_or("no such daemon")?;
                daemon.mark_leaving(now, &vm);
            }
            ClusterCommand::Run(length) => cluster.run(time::Millis::new(*length)),
            ClusterCommand::DaemonStates(name) => return Ok(self.daemon_states(name)),
            ClusterCommand::UpstreamStates(name) => return Ok(self.upstream_states(name)),
        }
        Ok(String::new())
    }
}

fn check(name: &str) {
    let file = format!("{}/../../scenarios/membership/{name}", env!("CARGO_MANIFEST_DIR"));
    let mut runner = ClusterRunner { cluster: common::Cluster::new() };
    goldenscript::run(&mut runner, file).expect("the scenario runs as written");
}

samphiremoor_base::cases! {
    daemons_start_and_crash => check("daemons");
    network_partitions => check("cuts");
    upstream_states => check("upstreams");
    upstream_returns => check("returns");
}
