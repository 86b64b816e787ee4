//! Memory and processor time of what an entry daemon decides with, at the size to design for.
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

/// Replicas of a zone.
const REPLICAS: usize = 618;
/// Blocks of prompts that are remembered.
const BLOCKS: usize = 156_000;
/// Blocks of one prompt.
const PROMPT_BLOCKS: usize = 128;
/// Requests in progress.
const IN_PROGRESS: usize = 248;
/// Simulated seconds of the measured load.
const SECONDS: u64 = 120;
/// Views in a second.
const VIEWS_PER_SECOND: u64 = 5;
/// Requests in a second, rounded up from 9.5.
const REQUESTS_PER_SECOND: u64 = 10;
/// Clock ticks of a second in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Bytes of a page in `/proc`.
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

fn view(known: &deployment::Deployment) -> zone::ZoneView {
    let engines: Vec<_> = known.replicas.iter().filter(|known| !known.models.is_empty()).collect();
    let replica = |number: usize| {
        let mut shown = engines[number % engines.len()].clone();
        shown.id = format!("replica-{number}").parse().expect("the id is valid");
        shown.vm = format!("vm-{number}").parse().expect("the id is valid");
        shown
    };
    zone::ZoneView {
        zone: engines[0].zone.clone(),
        serial: 1,
        incarnation: samphiremoor_base::quantity::Incarnation::new(1),
        records: known.records.clone(),
        replicas: (0..REPLICAS).map(replica).collect(),
        daemons: known.daemons.clone(),
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
    open: Vec<gate::PermitId>,
}

impl DaemonState {
    /// One request: admitted, routed, answered; it stays in progress while there is room.
    fn request(&mut self, session: usize, now: time::MonotonicTime) {
        let service =
            self.view.records.services.iter().find(|known| known.id.as_str() == "rental-draft");
        let service = service.expect("the deployment has drafts").clone();
        let workspace: id::WorkspaceId = "municipal-rental".parse().expect("the id is valid");
        let prefix = prompt(session);
        let tokens = PROMPT_BLOCKS as u64 * prefix::BLOCK_TOKENS;
        let prompt_tokens = samphiremoor_base::quantity::TokenCount::new(tokens);
        let asked = gate::AdmissionRequest {
            workspace: &workspace,
            service: &service.id,
            priority: service.priority,
            deadline_left: service.latency.deadline,
            now,
        };
        self.open.extend(self.gate.admit(&asked).ok());
        if self.open.len() > IN_PROGRESS {
            let first = Some(time::Millis::new(100));
            let outcome = gate::PermitOutcome::Complete;
            let permit = self.open.remove(0);
            self.gate.release(permit, &gate::PermitReport { outcome, latency: first, now });
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

    fn show(&mut self, now: time::MonotonicTime) {
        self.view.serial += 1;
        self.gate.configure(&self.view, now);
    }
}

fn main() {
    let folder = env::args().nth(1).unwrap_or_else(|| "deploy/ulaanbaatar".to_owned());
    let known = deployment::read(path::Path::new(&folder)).expect("the deployment can be read");
    let mut shown = view(&known);
    for workspace in &mut shown.records.workspaces {
        workspace.max_in_progress = IN_PROGRESS as u32 * 2;
    }
    let mut state = DaemonState {
        view: shown,
        picker: scored::ScoredPicker::default(),
        gate: adaptive::AdaptiveGate::default(),
        open: Vec::new(),
    };
    let with_view = resident_kib();
    let mut now_ms = 60_000;
    state.show(time::MonotonicTime::new(now_ms));
    for session in 0..BLOCKS / PROMPT_BLOCKS {
        now_ms += 10;
        state.request(session, time::MonotonicTime::new(now_ms));
    }
    let filled = resident_kib();
    println!(
        "{REPLICAS} replicas, routing with {BLOCKS} blocks, limits with {} open: {} KiB",
        state.open.len(),
        filled - with_view
    );
    let before = cpu_seconds();
    for step in 0..SECONDS * VIEWS_PER_SECOND {
        state.show(time::MonotonicTime::new(now_ms));
        for request in 0..REQUESTS_PER_SECOND / VIEWS_PER_SECOND {
            now_ms += 100;
            state.request((step + request) as usize, time::MonotonicTime::new(now_ms));
        }
    }
    let used = (cpu_seconds() - before) * 1_000.0 / SECONDS as f64;
    println!(
        "{VIEWS_PER_SECOND} views and {REQUESTS_PER_SECOND} requests a second: {used:.2} ms/s"
    );
    println!("resident: {} KiB", resident_kib());
}
