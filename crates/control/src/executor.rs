//! Executes plan steps through the platform and the upstreams.
//!
//! The control state checks the lease immediately before it returns a step. If the process is
//! paused after that check, the short validity of an order limits the effect.

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

/// Maximum number of attempts to send the start of a VM.
const MAX_START_ATTEMPTS: usize = 3;

/// Time after the receipt of an order in which an upstream may execute it.
const ORDER_VALIDITY: time::Millis = time::Millis::new(2_000);

/// Executes a step and returns the input for the control state, if there is one.
pub async fn execute(
    ports: ports::ControlPorts,
    step: capacity::PlanStep,
    token: quantity::FencingToken,
) -> Option<action::ControlInput> {
    match step {
        capacity::PlanStep::Start(start) => start_vm(&ports, start).await,
        capacity::PlanStep::MarkDraining(vm) => {
            let value = sync::Arc::from(capacity::CAPACITY_AUTHOR);
            write_drain_mark(&ports, &vm, table::RowWrite::Put(drain_mark_key(&vm), value)).await;
            None
        }
        capacity::PlanStep::Release(vm) => {
            release_vm(&ports, &vm).await;
            None
        }
        capacity::PlanStep::DeleteMark(vm) => {
            write_drain_mark(&ports, &vm, table::RowWrite::Delete(drain_mark_key(&vm))).await;
            None
        }
        capacity::PlanStep::Order { upstream, action } => {
            send_order(&ports, &upstream, action, token).await;
            None
        }
    }
}

/// Starts a VM. Each attempt has the same write id, so a start whose response was lost does not
/// start a second VM.
async fn start_vm(
    ports: &ports::ControlPorts,
    start: cloud::StartRequest,
) -> Option<action::ControlInput> {
    for _ in 0..MAX_START_ATTEMPTS {
        let Ok(response) = ports.cloud.start_vm(&start).await else { continue };
        if let cloud::StartResponse::Started(vm) = &response {
            log_event!(event::LogEvent::VmStarted, vm = vm, pool = start.pool);
        }
        return Some(action::ControlInput::StartCompleted(start, response));
    }
    None
}

/// Releases a VM and deletes its drain mark. If the mark cannot be deleted, a later plan repeats
/// the step.
async fn release_vm(ports: &ports::ControlPorts, vm: &id::VmId) {
    if ports.cloud.release_vm(vm).await.is_err() {
        return;
    }
    log_event!(event::LogEvent::VmReleased, vm = vm);
    write_drain_mark(ports, vm, table::RowWrite::Delete(drain_mark_key(vm))).await;
}

/// Writes or deletes a drain mark. Errors are ignored because the next plan repeats the step.
async fn write_drain_mark(ports: &ports::ControlPorts, vm: &id::VmId, write: table::RowWrite) {
    let transaction = table::TableTransaction {
        write_id: vm.as_str().parse().expect("all id types accept the same strings"),
        conditions: Vec::new(),
        writes: vec![write],
    };
    let _ = ports.table.commit(&transaction).await;
}

async fn send_order(
    ports: &ports::ControlPorts,
    upstream: &gossip::UpstreamInfo,
    action: plan::PlanAction,
    token: quantity::FencingToken,
) {
    let action = match action {
        plan::PlanAction::Load { model, .. } => upstream::OrderAction::Load(model),
        plan::PlanAction::Unload { model, .. } => upstream::OrderAction::Unload(model),
        plan::PlanAction::UnifyRole { .. } => {
            upstream::OrderAction::Role(upstream::UpstreamRole::Both)
        }
        plan::PlanAction::Start { .. } | plan::PlanAction::Release { .. } => return,
    };
    let order = upstream::UpstreamOrder { fence: token, valid_ms: ORDER_VALIDITY, action };
    log_event!(event::LogEvent::OrderSent, vm = upstream.vm, fence = token);
    let outcome = ports.upstreams.send_order(upstream.address, &order).await;
    if let upstream::OrderOutcome::Refused(status) = outcome {
        let vm = &upstream.vm;
        log_event!(event::LogEvent::OrderRefused, vm = vm, fence = token, status = status);
    }
}

fn drain_mark_key(vm: &id::VmId) -> table::RowKey {
    table::RowKey::new(&revision::drain_key(vm))
}
