//! Tests of the lagging list, reclaim notices and starts of the simulated cloud.

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_platform::cloud;
use samphiremoor_platform::fleet;

const LAG: time::Millis = time::Millis::new(100);

fn at(millis: u64) -> time::MonotonicTime {
    time::MonotonicTime::new(millis)
}

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("the text is an identifier")
}

fn offer() -> cloud::VmOffer {
    cloud::VmOffer {
        class: name("small"),
        zone: name("songino"),
        reclaimable: true,
        price: quantity::MicroPrice::new(5),
    }
}

fn fleet_with_spare() -> fleet::VmFleet {
    let mut fleet = fleet::VmFleet::new(LAG);
    fleet.add_spare(fleet::SpareAddress {
        zone: name("songino"),
        pool: name("drafting"),
        address: "127.0.0.1:9".parse().expect("the text is an address"),
    });
    fleet
}

fn start(write_id: &str) -> cloud::StartRequest {
    cloud::StartRequest { write_id: name(write_id), offer: offer(), pool: name("drafting") }
}

fn start_vm(fleet: &mut fleet::VmFleet) -> id::VmId {
    match fleet.start(&start("one"), at(0)) {
        cloud::StartResponse::Started(id) => id,
        cloud::StartResponse::Refused => panic!("the fleet has a spare address"),
    }
}

#[test]
fn retried_start_starts_one_vm() {
    let mut fleet = fleet_with_spare();
    let first = fleet.start(&start("one"), at(0));
    assert_eq!(fleet.start(&start("one"), at(10)), first);
    assert_eq!(fleet.start(&start("two"), at(10)), cloud::StartResponse::Refused);
    assert_eq!(fleet.list(at(100)).len(), 1);
}

#[test]
fn list_lags_behind_start_reclaim_and_removal() {
    let mut fleet = fleet_with_spare();
    let id = start_vm(&mut fleet);
    assert!(fleet.list(at(99)).is_empty());
    assert_eq!(fleet.list(at(100))[0].state, cloud::VmState::Live);
    let scope = fleet::ReclaimScope::Zone(name("songino"));
    assert_eq!(fleet.reclaim(&scope, time::Millis::new(500), at(1_000)), [id]);
    assert_eq!(fleet.list(at(1_099))[0].state, cloud::VmState::Live);
    assert_eq!(fleet.list(at(1_100))[0].state, cloud::VmState::Leaving);
    assert_eq!(fleet.notices(0, at(1_200))[0].remaining, time::Millis::new(300));
    assert!(fleet.notices(1, at(1_200)).is_empty());
    assert!(fleet.list(at(1_600)).is_empty());
}

#[test]
fn refused_starts_use_no_spare_address() {
    let mut fleet = fleet_with_spare();
    fleet.refuse_starts(true);
    assert_eq!(fleet.start(&start("one"), at(0)), cloud::StartResponse::Refused);
    fleet.refuse_starts(false);
    assert_ne!(fleet.start(&start("two"), at(0)), cloud::StartResponse::Refused);
}
