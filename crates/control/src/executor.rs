//! Carries out the steps of a plan through the platform and the upstreams.
//!
//! The control state checks the lease right before it hands a step out; an order's short validity
//! bounds what happens when this process is paused after that.

use std::sync;

use samphiremoor_base::event;
use samphiremoor_base::id;
use samphiremoor_base::log_event;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_membership::gossip;
use samphiremoor_planner::plan;
use samphiremoor_platform::cloud;
use samphiremoor_platform::table;
use samphiremoor_records::revision;

use crate::action;
use crate::capacity;
use crate::ports;
use crate::upstream;

/// Sends of one start.
const START_ATTEMPTS: usize = 3;

/// Time from its receipt in which an upstream may carry an order out.
const ORDER_VALIDITY: time::Millis = time::Millis::new(2_000);

/// Carries out a step; returns what the control state is to know of it.
pub async fn carry_out(
    ports: ports::ControlPorts,
    step: capacity::CapacityStep,
    fence: quantity::FencingToken,
) -> Option<action::ControlInput> {
    match step {
        capacity::CapacityStep::Start(start) => start_vm(&ports, start).await,
        capacity::CapacityStep::Mark(vm) => {
            let value = sync::Arc::from(capacity::CAPACITY_AUTHOR);
            write_mark(&ports, &vm, table::RowWrite::Put(mark_key(&vm), value)).await;
            None
        }
        capacity::CapacityStep::Release(vm) => {
            release_vm(&ports, &vm).await;
            None
        }
        capacity::CapacityStep::Order { upstream, action } => {
            order(&ports, &upstream, action, fence).await;
            None
        }
    }
}

/// The same write id each time: a start whose answer was lost is not made twice.
async fn start_vm(
    ports: &ports::ControlPorts,
    start: cloud::VmStart,
) -> Option<action::ControlInput> {
    for _ in 0..START_ATTEMPTS {
        let Ok(answer) = ports.cloud.start_vm(&start).await else { continue };
        if let cloud::StartResponse::Started(vm) = &answer {
            log_event!(event::LogEvent::VmStarted, vm = vm, pool = start.pool);
        }
        return Some(action::ControlInput::StartAnswered(start, answer));
    }
    None
}

/// A mark that stays after the VM was given back is found by the next plan.
async fn release_vm(ports: &ports::ControlPorts, vm: &id::VmId) {
    if ports.cloud.release_vm(vm).await.is_err() {
        return;
    }
    log_event!(event::LogEvent::VmReleased, vm = vm);
    write_mark(ports, vm, table::RowWrite::Delete(mark_key(vm))).await;
}

/// A mark that could not be written is planned again.
async fn write_mark(ports: &ports::ControlPorts, vm: &id::VmId, write: table::RowWrite) {
    let transaction = table::TableTransaction {
        write_id: vm.as_str().parse().expect("every id type accepts the same texts"),
        conditions: Vec::new(),
        writes: vec![write],
    };
    let _ = ports.table.commit(&transaction).await;
}

async fn order(
    ports: &ports::ControlPorts,
    upstream: &gossip::UpstreamInfo,
    action: plan::PlanAction,
    fence: quantity::FencingToken,
) {
    let action = match action {
        plan::PlanAction::Load { model, .. } => upstream::OrderAction::Load(model),
        plan::PlanAction::Unload { model, .. } => upstream::OrderAction::Unload(model),
        plan::PlanAction::UnifyRole { .. } => {
            upstream::OrderAction::Role(upstream::UpstreamRole::Both)
        }
        plan::PlanAction::Start { .. } | plan::PlanAction::Release { .. } => return,
    };
    let order = upstream::UpstreamOrder { fence, valid_ms: ORDER_VALIDITY, action };
    log_event!(event::LogEvent::OrderSent, vm = upstream.vm, fence = fence);
    let answer = ports.upstreams.order(upstream.address, &order).await;
    if let upstream::OrderOutcome::Refused(status) = answer {
        let vm = &upstream.vm;
        log_event!(event::LogEvent::OrderRefused, vm = vm, fence = fence, status = status);
    }
}

fn mark_key(vm: &id::VmId) -> table::RowKey {
    table::RowKey::new(&revision::drain_key(vm))
}
