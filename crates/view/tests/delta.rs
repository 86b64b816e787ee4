//! A change of a view gives the later view, on the earlier one and on no other.

use proptest::collection;
use proptest::option;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_records::set;
use samphiremoor_view::delta;
use samphiremoor_view::zone;
use smallvec::SmallVec;

/// Few ids, so that the views share many.
const IDS: u8 = 12;

fn age() -> impl Strategy<Value = u64> {
    prop_oneof![4 => 0..1_000_u64, 1 => Just(u64::MAX), 1 => u64::MAX - 3..u64::MAX]
}

fn load() -> impl Strategy<Value = zone::LoadReport> {
    (0..3_u32, age()).prop_map(|(running, age)| zone::LoadReport {
        running,
        age: time::Millis::new(age),
        ..zone::LoadReport::default()
    })
}

fn replica() -> impl Strategy<Value = zone::ReplicaView> {
    (0..IDS, 0..3_u64, proptest::bool::ANY, load()).prop_map(|(id, price, is_live, load)| {
        zone::ReplicaView {
            id: format!("replica-{id:02}").parse().expect("an id"),
            vm: format!("vm-{id:02}").parse().expect("an id"),
            zone: "a".parse().expect("an id"),
            pool: "pool".parse().expect("an id"),
            address: std::net::SocketAddr::from(([127, 0, 0, 1], 9)),
            state: match is_live {
                true => zone::UpstreamState::Live,
                false => zone::UpstreamState::Leaving,
            },
            models: SmallVec::new(),
            price: quantity::MicroPrice::new(price),
            reclaimable: true,
            load,
        }
    })
}

fn daemon() -> impl Strategy<Value = zone::DaemonView> {
    (0..IDS, 0..2_u16).prop_map(|(id, port)| zone::DaemonView {
        id: format!("entry-{id:02}").parse().expect("an id"),
        vm: format!("vm-{id:02}").parse().expect("an id"),
        zone: "a".parse().expect("an id"),
        http_address: std::net::SocketAddr::from(([127, 0, 0, 1], port)),
        peer_address: std::net::SocketAddr::from(([127, 0, 0, 1], 9)),
        state: zone::UpstreamState::Live,
    })
}

/// Views of one life, most in the order of ids and some in none, with ids twice.
fn view() -> impl Strategy<Value = zone::ZoneView> {
    let replicas = collection::vec(replica(), 0..16);
    let daemons = collection::vec(daemon(), 0..8);
    let stop = option::of(Just(zone::StopCause::Drain));
    let rest = (0..9_u64, 0..3_u64, proptest::bool::ANY, proptest::bool::weighted(0.8));
    (replicas, daemons, stop, rest).prop_map(|(mut replicas, mut daemons, own_stop, rest)| {
        let (serial, revision, is_available, is_ordered) = rest;
        if is_ordered {
            replicas.sort_by(|one, other| one.id.cmp(&other.id));
            replicas.dedup_by(|one, other| one.id == other.id);
            daemons.sort_by(|one, other| one.id.cmp(&other.id));
        }
        zone::ZoneView {
            zone: "a".parse().expect("an id"),
            serial,
            incarnation: quantity::Incarnation::new(5),
            records: set::RecordSet {
                revision: quantity::RevisionNumber::new(revision),
                ..set::RecordSet::default()
            },
            replicas,
            daemons,
            platform: match is_available {
                true => zone::PlatformState::Available,
                false => zone::PlatformState::Unavailable,
            },
            own_stop,
        }
    })
}

fn between(base: &zone::ZoneView, view: &zone::ZoneView) -> delta::ViewDelta {
    delta::ViewDelta::between(base, view).expect("both are of one life")
}

proptest::proptest! {
    #![proptest_config(samphiremoor_testkit::config(2_048))]

    #[test]
    fn change_of_any_two_views_gives_the_later_one(base in view(), later in view()) {
        let change = between(&base, &later);
        let bytes = postcard::to_stdvec(&change).expect("a change is plain data");
        let read: delta::ViewDelta = postcard::from_bytes(&bytes).expect("it was written here");
        proptest::prop_assert_eq!(read.apply(base), Ok(later));
    }

    #[test]
    fn change_on_another_view_is_refused(base in view(), later in view(), other in view()) {
        proptest::prop_assume!(other.serial != base.serial);
        let refused = between(&base, &later).apply(other);
        proptest::prop_assert_eq!(refused, Err(delta::DeltaError::WrongBase));
    }

    #[test]
    fn change_of_another_life_is_refused(base in view(), later in view()) {
        let mut other = base.clone();
        other.incarnation = other.incarnation.next();
        proptest::prop_assert_eq!(delta::ViewDelta::between(&other, &later), None);
        let refused = between(&base, &later).apply(other);
        proptest::prop_assert_eq!(refused, Err(delta::DeltaError::WrongBase));
    }

    #[test]
    fn change_that_does_not_fit_ends_nothing(base in view(), first in view(), later in view()) {
        let mut forged = between(&first, &later);
        forged.base = base.serial;
        let _ = forged.apply(base);
    }

    #[test]
    fn loads_that_only_aged_are_left_out(mut base in view(), ageing in 0..500_u64) {
        base.replicas.sort_by(|one, other| one.id.cmp(&other.id));
        base.replicas.dedup_by(|one, other| one.id == other.id);
        for replica in &mut base.replicas {
            replica.load.age = time::Millis::new(replica.load.age.get() % 1_000);
        }
        let mut later = base.clone();
        for replica in &mut later.replicas {
            replica.load.age = time::Millis::new(replica.load.age.get() + ageing);
        }
        let change = between(&base, &later);
        proptest::prop_assert_eq!(change.loads, Vec::new());
        proptest::prop_assert_eq!(change.replicas.added, Vec::new());
    }
}

#[test]
fn change_at_a_place_that_is_not_there_is_refused() {
    let mut view = zone::ZoneView {
        zone: "a".parse().expect("an id"),
        serial: 1,
        incarnation: quantity::Incarnation::new(5),
        records: set::RecordSet::default(),
        replicas: Vec::new(),
        daemons: Vec::new(),
        platform: zone::PlatformState::Available,
        own_stop: None,
    };
    let base = view.clone();
    view.serial = 2;
    let same = between(&base, &view);
    let load = zone::LoadReport::default();
    let loads = vec![delta::LoadChange { place: 0, load }];
    let no_replica = delta::ViewDelta { loads, ..same.clone() };
    assert_eq!(no_replica.apply(base.clone()), Err(delta::DeltaError::WrongPlace));
    let mut no_daemon = same;
    no_daemon.daemons.removed = vec![0];
    assert_eq!(no_daemon.apply(base), Err(delta::DeltaError::WrongPlace));
}
