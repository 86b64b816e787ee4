//! Reads a deployment (records, replicas and workload) from its directory.

use std::collections;
use std::error;
use std::fmt;
use std::fs;
use std::io;
use std::path;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_platform::cloud;
use samphiremoor_records::bundle;
use samphiremoor_records::file;
use samphiremoor_records::set;
use samphiremoor_settings::load;
use samphiremoor_view::zone;
use serde::Deserialize;
use smallvec::SmallVec;

use crate::workload;

/// Record files in the directory of a deployment.
const RECORD_FILES: [&str; 3] =
    ["records/workspaces.toml", "records/services.toml", "records/pools.toml"];

/// A deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name of the directory.
    pub name: String,
    /// Records.
    pub records: set::RecordSet,
    /// Replicas, live and with every model of their pools loaded.
    pub replicas: Vec<zone::ReplicaView>,
    /// Entry daemons.
    pub daemons: Vec<zone::DaemonView>,
    /// VM offers of the cloud.
    pub offers: Vec<cloud::VmOffer>,
    /// Workload of the callers.
    pub workload: workload::WorkloadFile,
}

/// The part of the stand-in platform's settings that an experiment uses.
#[derive(Debug, Deserialize)]
struct FleetFile {
    vms: Vec<cloud::VmEntry>,
    offers: Vec<cloud::VmOffer>,
}

/// Reason why a deployment can't be read.
#[derive(Debug)]
pub enum DeploymentError {
    /// A file can't be read.
    Unreadable(path::PathBuf, io::Error),
    /// A file has invalid content.
    Malformed(path::PathBuf, String),
}

impl fmt::Display for DeploymentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DeploymentError::Unreadable(file, cause) => write!(
                f,
                "{}: can't be read ({cause}); pass the directory of a deployment",
                file.display()
            ),
            DeploymentError::Malformed(file, cause) => {
                write!(f, "{}: {cause}; correct the file", file.display())
            }
        }
    }
}

impl error::Error for DeploymentError {}

/// Reads a deployment from its directory.
///
/// # Errors
///
/// Returns an error that names the first file that can't be read or has invalid content.
pub fn read(directory: &path::Path) -> Result<Deployment, DeploymentError> {
    let records = read_records(directory)?;
    let fleet_path = directory.join("standin-platform.toml");
    let fleet: FleetFile = toml::from_str(&read_text(&fleet_path)?)
        .map_err(|cause| DeploymentError::Malformed(fleet_path.clone(), cause.to_string()))?;
    let workload_path = directory.join("workload.toml");
    let workload = load::load(&workload_path)
        .map_err(|cause| DeploymentError::Malformed(workload_path.clone(), cause.to_string()))?;
    let name = directory.file_name().unwrap_or_default().to_string_lossy().into_owned();
    let replicas = fleet.vms.iter().filter_map(|vm| replica(&records, vm)).collect();
    let daemons = fleet.vms.iter().filter_map(daemon).collect();
    Ok(Deployment { name, records, replicas, daemons, offers: fleet.offers, workload })
}

fn read_text(file: &path::Path) -> Result<String, DeploymentError> {
    fs::read_to_string(file).map_err(|cause| DeploymentError::Unreadable(file.to_owned(), cause))
}

fn read_records(directory: &path::Path) -> Result<set::RecordSet, DeploymentError> {
    let mut bundle = bundle::RecordBundle::default();
    for name in RECORD_FILES {
        let path = directory.join(name);
        let parsed = file::parse(&read_text(&path)?)
            .map_err(|cause| DeploymentError::Malformed(path.clone(), cause.to_string()))?;
        parsed.entries.into_iter().for_each(|entry| bundle.put(entry));
    }
    bundle.to_set(quantity::RevisionNumber::new(1)).map_err(|cause| {
        DeploymentError::Malformed(directory.join("records"), format!("{cause:?}"))
    })
}

fn replica(records: &set::RecordSet, vm: &cloud::VmEntry) -> Option<zone::ReplicaView> {
    let cloud::VmRole::Upstream { pool, address } = &vm.role else { return None };
    Some(zone::ReplicaView {
        id: vm.id.as_str().parse().ok()?,
        vm: vm.id.clone(),
        zone: vm.zone.clone(),
        pool: pool.clone(),
        address: *address,
        state: zone::UpstreamState::Live,
        models: models_of(records, pool),
        price: vm.price,
        reclaimable: vm.reclaimable,
        load: zone::LoadReport::default(),
    })
}

/// Returns the models that the services of the pool use.
pub fn models_of(records: &set::RecordSet, pool: &id::RecordId) -> SmallVec<[set::LoadedModel; 2]> {
    let services = records.pool(pool).map(|record| record.services.clone()).unwrap_or_default();
    let models: collections::BTreeSet<set::LoadedModel> = services
        .iter()
        .filter_map(|service| match &records.service(service)?.target {
            set::ServiceTarget::Model(model) => Some(model.clone()),
            set::ServiceTarget::Plain => None,
        })
        .collect();
    models.into_iter().collect()
}

fn daemon(vm: &cloud::VmEntry) -> Option<zone::DaemonView> {
    let cloud::VmRole::Entry { http_address, peer_address, .. } = &vm.role else { return None };
    Some(zone::DaemonView {
        id: vm.id.as_str().parse().ok()?,
        vm: vm.id.clone(),
        zone: vm.zone.clone(),
        http_address: *http_address,
        peer_address: *peer_address,
        state: zone::UpstreamState::Live,
    })
}
