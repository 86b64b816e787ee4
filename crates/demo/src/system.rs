//! Starts and stops the processes of the demonstration.

use std::fs;
use std::net;
use std::path;
use std::process;

use samphiremoor_process_tests::child;
use samphiremoor_process_tests::wait;

use crate::settings;

/// Returns the API key of an example workspace.
pub(crate) fn key_of(workspace: &str) -> String {
    format!("example-key-{workspace}")
}

/// Entry VM of a zone.
pub(crate) struct DemoZone {
    /// Availability zone of the VM.
    pub(crate) spec: settings::ZoneSpec,
    /// Addresses of the entry daemon.
    pub(crate) addresses: settings::EntryAddresses,
    entry: child::DaemonProcess,
}

/// The running demonstration; dropping it kills its processes.
pub(crate) struct DemoSystem {
    /// Zones of the demonstration.
    pub(crate) zones: Vec<DemoZone>,
    /// Directory of the settings files and logs.
    pub(crate) directory: path::PathBuf,
    upstreams: Vec<child::DaemonProcess>,
    platform: child::DaemonProcess,
}

impl DemoSystem {
    /// Starts the stand-ins and the daemons. The daemons serve callers only after records are
    /// applied.
    pub(crate) fn start() -> Self {
        let directory = new_directory();
        let endpoint = new_platform_endpoint(&directory);
        let entries: Vec<_> =
            settings::ZONES.iter().map(|spec| (*spec, entry_addresses())).collect();
        let specs = upstream_specs();
        let text = settings::platform(&endpoint, &entries, &specs);
        let platform =
            child::DaemonProcess::start("standin-platform", "platform", &text, &directory);
        wait::until("the platform listens", || child::listens(endpoint.address));
        let upstreams = specs.iter().map(|spec| start_upstream(spec, &directory)).collect();
        for spec in &specs {
            wait::until("the upstream listens", || child::listens(spec.address));
        }
        let zones = entries
            .into_iter()
            .map(|(spec, addresses)| start_zone(spec, addresses, &endpoint, &directory))
            .collect::<Vec<_>>();
        let ctl = settings::ctl(zones[0].addresses.control, &endpoint);
        fs::write(directory.join("samphiremoorctl.toml"), ctl).expect("the directory is writable");
        println!("demo: {} zones, logs in {}", zones.len(), directory.display());
        DemoSystem { zones, directory, upstreams, platform }
    }

    /// Waits until every entry daemon is ready.
    pub(crate) fn wait_ready(&self) {
        for zone in &self.zones {
            wait::until("the entry daemon is ready", || is_ready(zone.addresses.http));
        }
    }

    /// Prints the addresses, keys, models and paths for further requests, one per line.
    pub(crate) fn print_endpoints(&self) {
        for zone in &self.zones {
            println!("entry {} {}", zone.spec.zone, zone.addresses.http);
        }
        for (workspace, model, path) in [
            ("winter-delivery", "rental-draft", "/v1/services/courier-slot/bookings"),
            ("resident-app", "rental-question", "/v1/services/courier-slot/bookings"),
            ("counters-casablanca", "letter-draft", "/v1/services/redirect-check/orders"),
            ("partner-agencies", "letter-draft", "/v1/services/redirect-check/orders"),
        ] {
            println!("workspace {workspace} {} {model} {path}", key_of(workspace));
        }
    }

    /// Stops the daemons with SIGTERM, as an operator does, and then kills the stand-ins.
    pub(crate) fn stop(&mut self) {
        for zone in &self.zones {
            zone.entry.terminate();
        }
        for zone in &mut self.zones {
            zone.entry.wait_end();
        }
        self.upstreams.clear();
        self.platform.kill();
    }
}

fn new_directory() -> path::PathBuf {
    let directory = child::profile_directory().join("demo").join(process::id().to_string());
    fs::create_dir_all(&directory).expect("the target directory is writable");
    directory
}

/// Creates a token for this demonstration and returns the endpoint of its platform.
fn new_platform_endpoint(directory: &path::Path) -> settings::PlatformEndpoint {
    let token_file = directory.join("platform.token");
    let token = uuid::Uuid::now_v7().to_string();
    fs::write(&token_file, token).expect("the directory is writable");
    settings::PlatformEndpoint { address: samphiremoor_testkit::free_address(), token_file }
}

fn entry_addresses() -> settings::EntryAddresses {
    settings::EntryAddresses {
        http: samphiremoor_testkit::free_address(),
        peer: samphiremoor_testkit::free_address(),
        control: samphiremoor_testkit::free_address(),
    }
}

fn upstream_specs() -> Vec<settings::UpstreamSpec> {
    let mut specs = Vec::new();
    for spec in settings::ZONES {
        for (index, engine) in settings::ENGINES.iter().enumerate() {
            specs.push(settings::UpstreamSpec {
                name: format!("{}-engine-{}", spec.zone, index + 1),
                zone: spec.zone,
                pool: engine.pool,
                class: "gpu-small",
                address: samphiremoor_testkit::free_address(),
            });
        }
        specs.push(settings::UpstreamSpec {
            name: format!("{}-service-1", spec.zone),
            zone: spec.zone,
            pool: spec.service_pool,
            class: "cpu-small",
            address: samphiremoor_testkit::free_address(),
        });
    }
    specs
}

fn start_upstream(spec: &settings::UpstreamSpec, directory: &path::Path) -> child::DaemonProcess {
    let engine = settings::ENGINES.iter().find(|engine| engine.pool == spec.pool);
    let (program, text) = match engine {
        Some(engine) => ("standin-engine", settings::engine(spec, engine.models)),
        None => ("standin-service", settings::service(spec)),
    };
    child::DaemonProcess::start(program, &spec.name, &text, directory)
}

fn start_zone(
    spec: settings::ZoneSpec,
    addresses: settings::EntryAddresses,
    platform: &settings::PlatformEndpoint,
    directory: &path::Path,
) -> DemoZone {
    let text = settings::entry(spec.zone, &addresses, platform);
    let name = format!("entry-{}", spec.zone);
    let entry = child::DaemonProcess::start("samphiremoor-entry", &name, &text, directory);
    wait::until("the daemon listens", || {
        child::listens(addresses.http) && child::listens(addresses.control)
    });
    DemoZone { spec, addresses, entry }
}

fn is_ready(address: net::SocketAddr) -> bool {
    async_std::task::block_on(crate::requests::read_status(address, "/readyz")) == Some(200)
}
