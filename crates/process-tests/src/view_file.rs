//! Contents of the view file, which replaces the control threads in some tests.

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_records::set;
use samphiremoor_view::zone;
use smallvec::SmallVec;

use crate::plan;
use crate::records;
use crate::vm;

/// Returns a view of the cluster with the current states of its VMs.
pub(crate) fn zone_view(
    serial: u64,
    zones: &[String],
    entries: &[vm::EntryVm],
    upstreams: &[&vm::UpstreamVm],
) -> zone::ZoneView {
    zone::ZoneView {
        zone: parse_id(&zones[0]),
        serial,
        incarnation: quantity::Incarnation::new(1),
        records: records::record_set(zones),
        replicas: upstreams.iter().map(|vm| replica_view(vm)).collect(),
        daemons: entries.iter().map(daemon_view).collect(),
        platform: zone::PlatformState::Available,
        own_stop: None,
    }
}

fn replica_view(vm: &vm::UpstreamVm) -> zone::ReplicaView {
    zone::ReplicaView {
        id: parse_id(&vm.spec.name),
        vm: parse_id(&vm.spec.name),
        zone: parse_id(&vm.spec.zone),
        pool: parse_id(vm.spec.pool),
        address: vm.spec.address,
        state: vm.state,
        models: models(&vm.spec),
        price: quantity::MicroPrice::new(100_000),
        reclaimable: true,
        load: zone::LoadReport { age: time::Millis::new(100), ..Default::default() },
    }
}

fn models(place: &plan::UpstreamSpec) -> SmallVec<[set::LoadedModel; 2]> {
    if place.pool != records::ENGINE_POOL {
        return SmallVec::new();
    }
    let model =
        set::LoadedModel { model: parse_id("steppe-8b"), version: parse_id("1"), adapter: None };
    SmallVec::from_iter([model])
}

fn daemon_view(vm: &vm::EntryVm) -> zone::DaemonView {
    zone::DaemonView {
        id: parse_id(&vm.spec.name),
        vm: parse_id(&vm.spec.name),
        zone: parse_id(&vm.spec.zone),
        http_address: vm.spec.http,
        peer_address: vm.spec.peer,
        state: vm.state,
    }
}

fn parse_id<T: TryFrom<String, Error = id::IdError>>(text: &str) -> T {
    T::try_from(text.to_owned()).expect("the harness's names are identifiers")
}
