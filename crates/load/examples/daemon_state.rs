//! Measures the memory and CPU time of an entry daemon's routing and admission state at the design
//! size.
//!
//!     cargo run --release -p samphiremoor-load --example daemon_state -- deploy/ulaanbaatar

use std::env;
use std::fs;
use std::path;

use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_limits::adaptive;
use samphiremoor_limits::gate;
use samphiremoor_limits::gate::AdmissionGate as _;
use samphiremoor_load::experiment::deployment;
use samphiremoor_routing::picker;
use samphiremoor_routing::picker::ReplicaPicker as _;
use samphiremoor_routing::prefix;
use samphiremoor_routing::scored;
use samphiremoor_view::zone;

/// Replicas in the view.
const REPLICAS: usize = 618;
/// Prompt blocks in the routing state.
const BLOCKS: usize = 156_000;
/// Blocks in one prompt.
const PROMPT_BLOCKS: usize = 128;
/// Maximum number of requests in progress.
const IN_PROGRESS: usize = 248;
/// Duration of the measured load, in simulated seconds.
const SECONDS: u64 = 120;
/// Views per second.
const VIEWS_PER_SECOND: u64 = 5;
/// Requests per second; the design rate is 9.5.
const REQUESTS_PER_SECOND: u64 = 10;
/// Clock ticks per second in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Page size of the values in `/proc`, in bytes.
const PAGE_BYTES: u64 = 4_096;

fn resident_kib() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    pages * PAGE_BYTES / 1_024
}

fn cpu_seconds() -> f64 {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let words = after_name.split_whitespace().skip(11).take(2);
    words.filter_map(|word| word.parse::<f64>().ok()).sum::<f64>() / TICKS_PER_SECOND
}

fn view(deployment: &deployment::Deployment) -> zone::ZoneView {
    let engines: Vec<_> =
        deployment.replicas.iter().filter(|replica| !replica.models.is_empty()).collect();
    let numbered_replica = |number: usize| {
        let mut view = engines[number % engines.len()].clone();
        view.id = format!("replica-{number}").parse().expect("the id is valid");
        view.vm = format!("vm-{number}").parse().expect("the id is valid");
        view
    };
    zone::ZoneView {
        zone: engines[0].zone.clone(),
        serial: 1,
        incarnation: samphiremoor_base::quantity::Incarnation::new(1),
        records: deployment.records.clone(),
        replicas: (0..REPLICAS).map(numbered_replica).collect(),
        daemons: deployment.daemons.clone(),
        platform: zone::PlatformState::Available,
        own_stop: None,
    }
}

fn prompt(session: usize) -> Vec<prefix::PrefixHash> {
    let mut hashes = Vec::with_capacity(PROMPT_BLOCKS);
    for block in 0..PROMPT_BLOCKS {
        let text = format!("{session}#{block}");
        hashes.push(prefix::chain_block(hashes.last().copied(), text.as_bytes()));
    }
    hashes
}

struct DaemonState {
    view: zone::ZoneView,
    picker: scored::ScoredPicker,
    gate: adaptive::AdaptiveGate,
    permits: Vec<gate::PermitId>,
}

impl DaemonState {
    /// Admits, routes and completes one request; its permit is held until [`IN_PROGRESS`] is
    /// exceeded.
    fn run_request(&mut self, session: usize, now: time::MonotonicTime) {
        let service =
            self.view.records.services.iter().find(|service| service.id.as_str() == "rental-draft");
        let service = service.expect("the deployment has the service").clone();
        let workspace: id::WorkspaceId = "municipal-rental".parse().expect("the id is valid");
        let prefix = prompt(session);
        let tokens = PROMPT_BLOCKS as u64 * prefix::BLOCK_TOKENS;
        let prompt_tokens = samphiremoor_base::quantity::TokenCount::new(tokens);
        let request = gate::AdmissionRequest {
            workspace: &workspace,
            service: &service.id,
            deadline_left: service.latency.deadline,
            now,
        };
        self.permits.extend(self.gate.admit(&request).ok());
        if self.permits.len() > IN_PROGRESS {
            let ttft = Some(time::Millis::new(100));
            let outcome = gate::PermitOutcome::Complete;
            let permit = self.permits.remove(0);
            self.gate.release(permit, &gate::PermitReport { outcome, latency: ttft, now });
        }
        let query = picker::RouteQuery {
            service: &service,
            workspace: &workspace,
            prefix: &prefix,
            prompt_tokens,
            excluded: &[],
            now,
            seed: session as u64,
        };
        let Some(choice) = self.picker.pick(&self.view, &query) else { return };
        let replica = &choice.replica;
        let service = &service;
        let prefix = &prefix;
        self.picker.on_dispatch(&picker::DispatchReport {
            replica,
            service,
            prefix,
            prompt_tokens,
            now,
        });
        self.picker.on_finish(&picker::FinishReport {
            replica,
            service: &service.id,
            prefix,
            prompt_tokens,
            dispatched_at: now,
            now,
            outcome: picker::FinishOutcome::Complete,
            ttft: Some(time::Millis::new(100)),
            usage: None,
        });
    }

    fn apply_view(&mut self, now: time::MonotonicTime) {
        self.view.serial += 1;
        self.gate.configure(&self.view, now);
    }
}

fn main() {
    let directory = env::args().nth(1).unwrap_or_else(|| "deploy/ulaanbaatar".to_owned());
    let deployment =
        deployment::read(path::Path::new(&directory)).expect("the deployment can be read");
    let mut view = view(&deployment);
    for workspace in &mut view.records.workspaces {
        workspace.max_in_progress = IN_PROGRESS as u32 * 2;
    }
    let mut state = DaemonState {
        view,
        picker: scored::ScoredPicker::default(),
        gate: adaptive::AdaptiveGate::default(),
        permits: Vec::new(),
    };
    let initial_kib = resident_kib();
    let mut now_ms = 60_000;
    state.apply_view(time::MonotonicTime::new(now_ms));
    for session in 0..BLOCKS / PROMPT_BLOCKS {
        now_ms += 10;
        state.run_request(session, time::MonotonicTime::new(now_ms));
    }
    let filled_kib = resident_kib();
    println!(
        "{REPLICAS} replicas, routing with {BLOCKS} blocks, limits with {} open permits: {} KiB",
        state.permits.len(),
        filled_kib - initial_kib
    );
    let cpu_seconds_before = cpu_seconds();
    for step in 0..SECONDS * VIEWS_PER_SECOND {
        state.apply_view(time::MonotonicTime::new(now_ms));
        for request in 0..REQUESTS_PER_SECOND / VIEWS_PER_SECOND {
            now_ms += 100;
            state.run_request((step + request) as usize, time::MonotonicTime::new(now_ms));
        }
    }
    let ms_per_second = (cpu_seconds() - cpu_seconds_before) * 1_000.0 / SECONDS as f64;
    println!(
        "{VIEWS_PER_SECOND} views and {REQUESTS_PER_SECOND} requests a second: {ms_per_second:.2} ms/s"
    );
    println!("resident: {} KiB", resident_kib());
}
