//! Clusters of stand-ins and daemons in a few availability zones.

use std::collections;
use std::fs;
use std::net;
use std::path;
use std::process;
use std::sync;
use std::sync::atomic;
use std::thread;

use async_std::task;
use samphiremoor_platform::fleet;
use samphiremoor_standin_service::wire as service_wire;
use samphiremoor_view::zone;

use crate::child;
use crate::control;
use crate::links;
use crate::operator;
use crate::plan;
use crate::records;
use crate::settings;
use crate::view_file;
use crate::vm;
use crate::wait;

/// Lock that allows one cluster at a time in each test process, which limits the number of
/// concurrent processes.
static CLUSTER_LOCK: sync::Mutex<()> = sync::Mutex::new(());

static CLUSTER_COUNT: atomic::AtomicU32 = atomic::AtomicU32::new(0);

/// Running cluster; its processes are killed when the value is dropped.
pub struct TestCluster {
    /// Address at which the platform is never cut off.
    pub platform_address: net::SocketAddr,
    /// Process of the stand-in platform.
    pub platform: child::DaemonProcess,
    /// Entry VMs, ordered by zone.
    pub entries: Vec<vm::EntryVm>,
    /// Engines, ordered by zone.
    pub engines: Vec<vm::UpstreamVm>,
    /// Plain services, ordered by zone.
    pub services: Vec<vm::UpstreamVm>,
    /// Links between the zones, used if the plan has links. Operators are in the last zone.
    pub links: links::ZoneLinks,
    listed: collections::BTreeMap<String, plan::EntrySpec>,
    spares: Vec<vm::UpstreamVm>,
    plan: plan::ClusterPlan,
    zone_platforms: collections::BTreeMap<String, net::SocketAddr>,
    view_serial: u64,
    directory: path::PathBuf,
    _cluster_lock: sync::MutexGuard<'static, ()>,
}

impl TestCluster {
    /// Starts all processes and waits until the entry daemons are ready.
    ///
    /// # Panics
    ///
    /// Panics if a program is not built or doesn't become ready.
    pub fn start(plan: plan::ClusterPlan) -> Self {
        let cluster_lock = CLUSTER_LOCK.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let directory = new_directory();
        let zone_platforms: collections::BTreeMap<_, _> = plan
            .zones
            .iter()
            .map(|zone| (zone.clone(), samphiremoor_testkit::free_address()))
            .collect();
        let entry_specs = plan.entry_specs();
        let engine_specs = plan.engine_specs();
        let service_specs = plan.service_specs();
        let upstream_specs = [engine_specs.as_slice(), service_specs.as_slice()].concat();
        let links = links::ZoneLinks::start(plan.zones.last().expect("a cluster has zones"));
        let listed_entries: Vec<_> =
            entry_specs.iter().map(|spec| listed_entry(&plan, &links, spec)).collect();
        let listed_upstreams: Vec<_> =
            upstream_specs.iter().map(|spec| listed_upstream(&plan, &links, spec)).collect();
        let platform_address = samphiremoor_testkit::free_address();
        let text = settings::platform(
            platform_address,
            &zone_platforms,
            &listed_entries,
            &listed_upstreams,
        );
        let platform =
            child::DaemonProcess::start("standin-platform", "platform", &text, &directory);
        let mut cluster = TestCluster {
            platform_address,
            platform,
            entries: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            links,
            listed: listed_entries.into_iter().map(|spec| (spec.name.clone(), spec)).collect(),
            spares: Vec::new(),
            plan,
            zone_platforms,
            view_serial: 0,
            directory,
            _cluster_lock: cluster_lock,
        };
        wait::until("the platform listens", || child::listens(platform_address));
        cluster.engines = engine_specs.into_iter().map(|spec| cluster.engine_vm(spec)).collect();
        cluster.services = service_specs.into_iter().map(|spec| cluster.service_vm(spec)).collect();
        cluster.entries = entry_specs.into_iter().map(|spec| cluster.entry_vm(spec)).collect();
        cluster.publish_and_wait_ready();
        cluster
    }

    /// Returns the HTTP address of an entry daemon by its index.
    pub fn entry(&self, index: usize) -> net::SocketAddr {
        self.entries[index].spec.http
    }

    /// Returns the directory of the settings and logs.
    pub fn directory(&self) -> &path::Path {
        &self.directory
    }

    /// Writes the current states of the VMs to the view file.
    pub fn publish_view(&mut self) {
        self.view_serial += 1;
        let upstreams: Vec<_> = self.engines.iter().chain(&self.services).collect();
        let view =
            view_file::zone_view(self.view_serial, &self.plan.zones, &self.entries, &upstreams);
        let text = serde_json::to_string(&view).expect("a view has plain values");
        let new = self.directory.join("view.new");
        fs::write(&new, text).expect("the test's directory is writable");
        // Renaming replaces the file atomically, so that no daemon reads a partial file.
        fs::rename(&new, self.view_path()).expect("the view can be replaced");
    }

    /// Restarts the daemon of an entry VM and waits until it is ready.
    pub fn restart_entry_vm(&mut self, index: usize) {
        self.respawn_entry_vm(index);
        wait_ready(self.entry(index));
    }

    /// Restarts the daemon of an entry VM without waiting until it is ready.
    pub fn respawn_entry_vm(&mut self, index: usize) {
        self.entries[index].entry.kill();
        self.entries[index] = self.entry_vm(self.entries[index].spec.clone());
    }

    /// Replaces a reclaimed entry VM with a new one.
    pub fn replace_entry_vm(&mut self, index: usize) {
        let spec = &mut self.entries[index].spec;
        let mut listed = self.listed.remove(&spec.name).expect("every entry VM is listed");
        spec.name = next_name(&spec.name);
        listed.name.clone_from(&spec.name);
        task::block_on(control::list_entry(self.platform_address, &listed));
        self.listed.insert(listed.name.clone(), listed);
        self.respawn_entry_vm(index);
    }

    /// Restarts an engine and waits until it listens.
    pub fn restart_engine(&mut self, index: usize) {
        let spec = self.engines[index].spec.clone();
        self.engines[index].process.kill();
        self.engines[index] = self.engine_vm(spec);
        wait::until("the engine listens", || child::listens(self.engines[index].spec.address));
    }

    /// Replaces a reclaimed engine VM with a new one.
    pub fn replace_engine_vm(&mut self, index: usize) {
        let spec = &mut self.engines[index].spec;
        spec.name = next_name(&spec.name);
        self.restart_engine(index);
        let listed = listed_upstream(&self.plan, &self.links, &self.engines[index].spec);
        task::block_on(control::list_upstream(self.platform_address, &listed));
    }

    /// Starts an engine at a spare address. The platform makes it the upstream of a VM that is
    /// started later.
    pub fn add_spare_engine(&mut self, zone: &str, name: &str) {
        let spec = plan::UpstreamSpec {
            name: name.to_owned(),
            zone: zone.to_owned(),
            pool: records::ENGINE_POOL,
            address: samphiremoor_testkit::free_address(),
        };
        let valid_id = "the harness's names are identifiers";
        let spare = fleet::SpareAddress {
            zone: zone.parse().expect(valid_id),
            pool: spec.pool.parse().expect(valid_id),
            address: spec.address,
        };
        let vm = self.engine_vm(spec);
        wait::until("the spare engine listens", || child::listens(spare.address));
        self.spares.push(vm);
        task::block_on(control::add_spare(self.platform_address, &spare));
    }

    /// Returns the index of the entry VM that holds a zone's duty lease, and the fencing token.
    /// Returns `None` if no daemon has held the lease yet.
    pub fn duty_holder(&self, zone: &str) -> Option<(usize, u64)> {
        let key = format!("duty/{zone}");
        let row = task::block_on(control::table_row(self.platform_address, &key))?;
        let lease: serde_json::Value = serde_json::from_str(&row.value).ok()?;
        let holder = lease["holder"]["daemon"].as_str()?;
        let index = self.entries.iter().position(|vm| vm.spec.name == holder)?;
        Some((index, lease["fence"].as_u64()?))
    }

    /// Returns the indexes of the daemons in the shard's current copy set, followed by the holder.
    pub fn shard_members(&self, shard: u16) -> Vec<usize> {
        let key = format!("lease/shard/{shard:04}");
        let row = task::block_on(control::table_row(self.platform_address, &key));
        let text = row.expect("the shard has a lease row").value;
        let lease: serde_json::Value = serde_json::from_str(&text).expect("rows are JSON");
        let instances =
            lease["copy_set"].as_array().into_iter().flatten().chain([&lease["holder"]]);
        let names = instances.filter_map(|instance| instance["daemon"].as_str());
        let index = |name| self.entries.iter().position(|vm| vm.spec.name == name);
        names.filter_map(index).collect()
    }

    /// Returns an operator of this cluster.
    pub fn operator(&self) -> operator::TestOperator {
        let specs: Vec<_> = self.listed.values().cloned().collect();
        let text = settings::operator(self.platform_address, &specs);
        operator::TestOperator::new(&text, &self.directory)
    }

    /// Returns the number of shards that an entry daemon has open, or `None` if the daemon doesn't
    /// respond.
    pub fn open_shards(&self, index: usize) -> Option<u64> {
        self.entry_metric(index, "samphiremoor_shards_open")
    }

    /// Returns a metric without labels of an entry daemon, or `None` if the daemon doesn't respond.
    pub fn entry_metric(&self, index: usize, name: &str) -> Option<u64> {
        let text = task::block_on(control::get_text(self.entry(index), "/metrics"))?;
        let mut lines = text.lines();
        lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok())
    }

    /// Returns the number of runs of a key, summed over all services.
    pub fn runs_of(&self, key: &str) -> u64 {
        let counts = self.service_counts();
        counts.iter().filter_map(|counts| counts.keys.get(key)).map(|count| count.runs).sum()
    }

    /// Waits until one of the `candidates` has an open shard, and returns its index.
    pub fn shard_holder(&self, candidates: &[usize]) -> usize {
        let mut holder = None;
        wait::until("a shard is open", || {
            let has_open = |index: &usize| self.open_shards(*index).is_some_and(|open| open > 0);
            holder = candidates.iter().copied().find(has_open);
            holder.is_some()
        });
        holder.expect("the wait ended with a holder")
    }

    /// Returns the counts of the services that respond.
    pub fn service_counts(&self) -> Vec<service_wire::ServiceCounts> {
        let addresses = self.services.iter().map(|vm| vm.spec.address);
        addresses.filter_map(|at| task::block_on(control::service_counts(at))).collect()
    }

    /// Waits until an engine decodes tokens, and returns its index.
    pub fn busy_engine(&self) -> usize {
        let mut busy = None;
        wait::until("an engine computes", || {
            busy = (0..self.engines.len()).find(|index| self.decoded_tokens(*index) > 0);
            busy.is_some()
        });
        busy.expect("the wait ended with an engine")
    }

    /// Returns the number of tokens that an engine has decoded since its start.
    pub fn decoded_tokens(&self, index: usize) -> u64 {
        let address = self.engines[index].spec.address;
        let counts = task::block_on(control::engine_counts(address));
        counts.map_or(0, |counts| counts.answer_tokens)
    }

    fn publish_and_wait_ready(&mut self) {
        match self.plan.view {
            plan::ViewSource::File => self.publish_view(),
            plan::ViewSource::Control => {
                let operator = self.operator();
                let file = operator.write_file("records.toml", &records::text(&self.plan.zones));
                operator.apply_until_in_force(&file);
            }
        }
        for index in 0..self.entries.len() {
            wait_ready(self.entry(index));
        }
    }

    fn engine_vm(&self, spec: plan::UpstreamSpec) -> vm::UpstreamVm {
        let text = settings::engine(&spec, &self.plan);
        self.upstream_vm("standin-engine", spec, &text)
    }

    fn service_vm(&self, spec: plan::UpstreamSpec) -> vm::UpstreamVm {
        let text = settings::service(&spec, &self.plan);
        self.upstream_vm("standin-service", spec, &text)
    }

    fn upstream_vm(
        &self,
        program: &'static str,
        spec: plan::UpstreamSpec,
        text: &str,
    ) -> vm::UpstreamVm {
        let process = child::DaemonProcess::start(program, &spec.name, text, &self.directory);
        vm::UpstreamVm { spec, process, state: zone::UpstreamState::Live }
    }

    fn entry_vm(&self, spec: plan::EntrySpec) -> vm::EntryVm {
        let view_path = self.view_path();
        let is_file = self.plan.view == plan::ViewSource::File;
        let platform = self.zone_platforms[&spec.zone];
        let listed = &self.listed[&spec.name];
        let view = match is_file {
            true => settings::EntryView::File(&view_path),
            false => settings::EntryView::Control(listed),
        };
        let text = settings::entry(&spec, &self.plan, view, platform);
        let entry =
            child::DaemonProcess::start("samphiremoor-entry", &spec.name, &text, &self.directory);
        self.links.set_zone(entry.id(), &spec.zone);
        vm::EntryVm { spec, entry, state: zone::UpstreamState::Live }
    }

    fn view_path(&self) -> path::PathBuf {
        self.directory.join("view.json")
    }
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        // The files of a failed test are kept for debugging.
        if !thread::panicking() {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

/// Waits until an entry daemon is ready for new requests.
pub fn wait_ready(entry: net::SocketAddr) {
    wait::until(&format!("the entry daemon at {entry} is ready"), || {
        task::block_on(control::status_of(entry, "/readyz")) == Some(200)
    });
}

/// Returns the spec with the addresses at which other VMs reach the entry VM.
fn listed_entry(
    plan: &plan::ClusterPlan,
    links: &links::ZoneLinks,
    spec: &plan::EntrySpec,
) -> plan::EntrySpec {
    if !plan.has_links {
        return spec.clone();
    }
    plan::EntrySpec {
        http: links.relay(&spec.zone, spec.http),
        peer: links.relay(&spec.zone, spec.peer),
        control: links.relay(&spec.zone, spec.control),
        ..spec.clone()
    }
}

/// Returns the spec with the address at which other VMs reach the upstream.
fn listed_upstream(
    plan: &plan::ClusterPlan,
    links: &links::ZoneLinks,
    spec: &plan::UpstreamSpec,
) -> plan::UpstreamSpec {
    if !plan.has_links {
        return spec.clone();
    }
    plan::UpstreamSpec { address: links.relay(&spec.zone, spec.address), ..spec.clone() }
}

/// Returns the name of the VM that replaces a reclaimed one. The cloud never reuses a name, and the
/// reclaim notice for the old name is still listed.
fn next_name(name: &str) -> String {
    let split = name.rsplit_once("-r");
    let base_and_number =
        split.and_then(|(base, number)| Some((base, number.parse::<u32>().ok()?)));
    let (base, number) = base_and_number.unwrap_or((name, 1));
    format!("{base}-r{}", number + 1)
}

fn new_directory() -> path::PathBuf {
    let number = CLUSTER_COUNT.fetch_add(1, atomic::Ordering::Relaxed);
    let name = format!("{}-{number}", process::id());
    let directory = child::profile_directory().join("process-tests").join(name);
    fs::create_dir_all(&directory).expect("the target directory is writable");
    directory
}
