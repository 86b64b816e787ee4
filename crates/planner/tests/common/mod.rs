//! Records, offers and replicas for the tests.

#![allow(clippy::unwrap_used, reason = "the lint sees test functions only, not their helpers")]

use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_planner::fleet;
use samphiremoor_platform::cloud;
use samphiremoor_records::set;
use samphiremoor_view::zone;
use smallvec::SmallVec;
use smallvec::smallvec;

pub(crate) const ZONES: [&str; 3] = ["a", "b", "c"];

/// Parses `name@version` or `name@version+adapter`.
pub(crate) fn model(text: &str) -> set::LoadedModel {
    let (name, version) = text.split_once('@').unwrap();
    let (version, adapter) = match version.split_once('+') {
        Some((version, adapter)) => (version, Some(adapter.parse().unwrap())),
        None => (version, None),
    };
    set::LoadedModel { model: name.parse().unwrap(), version: version.parse().unwrap(), adapter }
}

fn service(service_name: &str, model_text: &str) -> set::ServiceRecord {
    set::ServiceRecord {
        id: service_name.parse().unwrap(),
        target: set::ServiceTarget::Model(model(model_text)),
        priority: quantity::PriorityLevel::new(0),
        latency: set::LatencyTarget {
            first: time::Millis::new(1_000),
            between: time::Millis::new(80),
            deadline: time::Millis::new(20_000),
        },
        weights: set::GoalWeights {
            cost: quantity::PerMille::new(500),
            recomputed: quantity::PerMille::new(500),
        },
        repeatable: true,
    }
}

/// Returns the record of a pool of 2 to 12 replicas with a concurrency of 10 each, and the records
/// of its services, one for each model.
pub(crate) fn records(models: &[&str]) -> set::RecordSet {
    let services: Vec<set::ServiceRecord> =
        (0..).zip(models).map(|(number, text)| service(&format!("s{number}"), text)).collect();
    let pool = set::PoolRecord {
        id: "assistant".parse().unwrap(),
        services: services.iter().map(|service| service.id.clone()).collect(),
        zones: ZONES.iter().map(|zone| zone.parse().unwrap()).collect(),
        classes: smallvec!["small".parse().unwrap(), "large".parse().unwrap()],
        min_replicas: 2,
        max_replicas: 12,
        concurrency: 10,
        checks_fencing: true,
    };
    set::RecordSet { services, pools: vec![pool], ..set::RecordSet::default() }
}

pub(crate) fn offer(class: &str, zone: &str, reclaimable: bool, price: u64) -> cloud::VmOffer {
    cloud::VmOffer {
        class: class.parse().unwrap(),
        zone: zone.parse().unwrap(),
        reclaimable,
        price: quantity::MicroPrice::new(price),
    }
}

/// Returns offers of small and large VMs, reclaimable and on demand, in every availability zone.
pub(crate) fn offers() -> Vec<cloud::VmOffer> {
    let mut offers = Vec::new();
    for (price_offset, zone) in (0..).zip(ZONES) {
        offers.push(offer("small", zone, false, 100 + price_offset));
        offers.push(offer("small", zone, true, 30 + price_offset));
        offers.push(offer("large", zone, false, 180 + price_offset));
        offers.push(offer("large", zone, true, 60 + price_offset));
    }
    offers
}

/// Returns a live replica, on a VM of the offer and of the same name, that has loaded the models.
pub(crate) fn replica(name: &str, offer: &cloud::VmOffer, models: &[&str]) -> fleet::FleetReplica {
    fleet::FleetReplica {
        id: name.parse().unwrap(),
        vm: name.parse().unwrap(),
        zone: offer.zone.clone(),
        pool: "assistant".parse().unwrap(),
        class: offer.class.clone(),
        reclaimable: offer.reclaimable,
        price: offer.price,
        state: zone::UpstreamState::Live,
        models: models.iter().map(|text| model(text)).collect(),
        loading: SmallVec::new(),
        role: None,
        load: zone::LoadReport::default(),
    }
}
