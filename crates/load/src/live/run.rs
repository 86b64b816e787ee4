//! Runs a plan against entry daemons.
//!
//! Calls are sent at their planned times, whether or not earlier calls have ended.

use std::collections;
use std::error;
use std::fmt;
use std::sync;
use std::sync::atomic;
use std::time::Duration;
use std::time::Instant;

use async_std::channel;
use async_std::task;
use rand::Rng as _;
use rand::SeedableRng as _;
use samphiremoor_base::id;
use samphiremoor_routing::prefix;
use samphiremoor_settings::secret;
use samphiremoor_standin_engine::tokens;
use serde::Deserialize;
use serde::Serialize;

use crate::experiment::deployment;
use crate::live::call;
use crate::live::standin;
use crate::plan;
use crate::prompt;
use crate::settings;
use crate::tally;

/// Report on a run against entry daemons.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct LiveReport {
    /// Name of the deployment.
    pub deployment: String,
    /// Factor by which the rates of the workload were multiplied.
    pub rate_factor: f64,
    /// Seed of the plan.
    pub seed: u64,
    /// Planned calls.
    pub planned: u64,
    /// Calls that were not sent because `max_in_progress` calls were in progress.
    pub not_sent: u64,
    /// Responses whose text differs from the expected one.
    pub wrong_answers: u64,
    /// Fault injections that stand-ins did not accept.
    pub orders_failed: u64,
    /// Engines whose token counts could not be read.
    pub engines_unread: u64,
    /// Counters and latencies of the run.
    pub run: tally::RunReport,
}

/// Reason why a run did not start.
#[derive(Debug)]
pub enum RunError {
    /// The deployment can't be read.
    Deployment(deployment::DeploymentError),
    /// A key file can't be read.
    Key(secret::SecretError),
    /// The settings name no key file for a workspace of the workload.
    NoKey(id::WorkspaceId),
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RunError::Deployment(cause) => cause.fmt(f),
            RunError::Key(cause) => cause.fmt(f),
            RunError::NoKey(workspace) => {
                write!(f, "workspace {workspace} has no key; add its key file to the table `keys`")
            }
        }
    }
}

impl error::Error for RunError {}

/// Runs the workload of a deployment.
///
/// # Errors
///
/// Returns an error before the first call if the deployment or a key can't be read.
pub async fn run(settings: &settings::LoadSettings) -> Result<LiveReport, RunError> {
    let deployment = deployment::read(&settings.deployment).map_err(RunError::Deployment)?;
    let options = plan::PlanOptions {
        length: settings.length_ms,
        rate_factor: settings.rate_factor,
        seed: settings.seed,
    };
    let mut calls = plan::calls(&deployment.workload, &options);
    calls.truncate(settings.max_calls);
    let keys = read_keys(settings, &calls)?;
    let totals_before = engine_totals(settings).await;
    let faults = task::spawn(inject_faults(settings.faults.clone()));
    let outcome = send_all(settings, &deployment, &calls, &keys).await;
    let orders_failed = faults.await;
    let totals_after = engine_totals(settings).await;
    let mut tally = outcome.tally;
    let prompts = prompt_totals(&calls);
    tally.prompt_tokens = prompts.all_tokens;
    tally.computed_tokens =
        totals_after.computed_tokens.saturating_sub(totals_before.computed_tokens);
    tally.recomputed_tokens = tally.computed_tokens.saturating_sub(prompts.distinct_tokens);
    Ok(LiveReport {
        deployment: deployment.name.clone(),
        rate_factor: settings.rate_factor,
        seed: settings.seed,
        planned: calls.len() as u64,
        not_sent: outcome.not_sent,
        wrong_answers: outcome.wrong_answers,
        orders_failed,
        engines_unread: totals_before.unread_engines.max(totals_after.unread_engines),
        run: tally.report(settings.length_ms, replica_cost(settings)),
    })
}

struct RunOutcome {
    tally: tally::RunTally,
    not_sent: u64,
    wrong_answers: u64,
}

type KeyTable = collections::BTreeMap<id::WorkspaceId, secret::SecretText>;

fn read_keys(
    settings: &settings::LoadSettings,
    calls: &[plan::PlannedCall],
) -> Result<KeyTable, RunError> {
    let mut keys = KeyTable::new();
    let workspaces: collections::BTreeSet<&id::WorkspaceId> =
        calls.iter().map(|call| &call.workspace).collect();
    for workspace in workspaces {
        let file = settings.keys.get(workspace);
        let file = file.ok_or_else(|| RunError::NoKey(workspace.clone()))?;
        keys.insert(workspace.clone(), secret::read(file).map_err(RunError::Key)?);
    }
    Ok(keys)
}

async fn send_all(
    settings: &settings::LoadSettings,
    deployment: &deployment::Deployment,
    calls: &[plan::PlannedCall],
    keys: &KeyTable,
) -> RunOutcome {
    let mut outcome =
        RunOutcome { tally: tally::RunTally::default(), not_sent: 0, wrong_answers: 0 };
    let mut generator = rand_chacha::ChaCha8Rng::seed_from_u64(settings.seed);
    let (sender, results) = channel::unbounded();
    let in_progress = sync::Arc::new(atomic::AtomicUsize::new(0));
    let mixes: sync::Arc<[crate::workload::PlainMix]> =
        sync::Arc::from(deployment.workload.plain.clone());
    let run_id = format!("load-{}-{}", settings.seed, std::process::id());
    let start = Instant::now();
    for planned in calls {
        let due_at = start + planned.arrives_at.to_duration();
        task::sleep(due_at.saturating_duration_since(Instant::now())).await;
        let Some(service) = deployment.records.service(&planned.service) else { continue };
        if in_progress.load(atomic::Ordering::Relaxed) >= settings.max_in_progress {
            outcome.not_sent += 1;
            continue;
        }
        let entries = (0..settings.max_tries)
            .map(|_| settings.entries[generator.random_range(0..settings.entries.len())])
            .collect();
        let context = call::CallContext {
            entries,
            key: keys[&planned.workspace].clone(),
            service: service.clone(),
            planned_at: due_at,
            run_id: run_id.clone(),
        };
        let (planned, mixes) = (planned.clone(), mixes.clone());
        let (sender, counter) = (sender.clone(), in_progress.clone());
        counter.fetch_add(1, atomic::Ordering::Relaxed);
        task::spawn(async move {
            let result = call::execute(&context, &mixes, &planned).await;
            counter.fetch_sub(1, atomic::Ordering::Relaxed);
            // The receiver is dropped only after every sender is dropped, so the send succeeds.
            let _ = sender.send((context.service, result)).await;
        });
    }
    drop(sender);
    while let Ok((service, result)) = results.recv().await {
        outcome.tally.refusals += result.refusals;
        outcome.wrong_answers += u64::from(result.has_wrong_text);
        outcome.tally.record_end(&service, result.end);
    }
    outcome
}

/// Injects each fault at its time and returns the number of faults that were not accepted.
async fn inject_faults(mut faults: Vec<settings::FaultSettings>) -> u64 {
    faults.sort_by_key(|fault| fault.at_ms);
    let start = Instant::now();
    let mut failed_count = 0;
    for fault in faults {
        let due_at = start + fault.at_ms.to_duration();
        task::sleep(due_at.saturating_duration_since(Instant::now())).await;
        let is_accepted = standin::post_control(fault.address, &fault.path, &fault.body).await;
        failed_count += u64::from(!is_accepted);
    }
    failed_count
}

#[derive(Clone, Copy, Debug, Default)]
struct EngineTotals {
    computed_tokens: u64,
    /// Engines whose token counts could not be read.
    unread_engines: u64,
}

async fn engine_totals(settings: &settings::LoadSettings) -> EngineTotals {
    let mut totals = EngineTotals::default();
    for engine in &settings.engines {
        match standin::read_counts(engine.address).await {
            Some(counts) => totals.computed_tokens += counts.computed_tokens,
            None => totals.unread_engines += 1,
        }
    }
    totals
}

#[derive(Clone, Copy, Debug, Default)]
struct PromptTotals {
    all_tokens: u64,
    /// Tokens that engines compute even with perfect caching: each distinct block once, and every
    /// partial block, which is not cached.
    distinct_tokens: u64,
}

fn prompt_totals(calls: &[plan::PlannedCall]) -> PromptTotals {
    let mut totals = PromptTotals::default();
    let mut seen_blocks = collections::HashSet::new();
    for planned in calls {
        let plan::CallContent::Model { session, turn } = &planned.content else { continue };
        let text = prompt::prompt_text(&prompt::messages(session, *turn));
        let tokens = tokens::prompt_tokens(&text);
        let blocks = prefix::hash_blocks(&tokens);
        let new_blocks = blocks.iter().filter(|block| seen_blocks.insert(**block)).count() as u64;
        let partial_block_tokens = tokens.len() as u64 - blocks.len() as u64 * prefix::BLOCK_TOKENS;
        totals.all_tokens += tokens.len() as u64;
        totals.distinct_tokens += new_blocks * prefix::BLOCK_TOKENS + partial_block_tokens;
    }
    totals
}

fn replica_cost(settings: &settings::LoadSettings) -> tally::RunCost {
    const MICROS_PER_UNIT: f64 = 1_000_000.0;
    let hours = Duration::as_secs_f64(&settings.length_ms.to_duration()) / 3_600.0;
    let price: u64 = settings.engines.iter().map(|engine| engine.price.get()).sum();
    tally::RunCost { held: price as f64 / MICROS_PER_UNIT * hours, busy: None }
}

impl fmt::Display for LiveReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let run = &self.run;
        writeln!(f, "deployment {} rate {} seed {}", self.deployment, self.rate_factor, self.seed)?;
        writeln!(
            f,
            "planned {} sent {} not sent {} complete {} wrong responses {} refusals {}",
            self.planned, run.sent, self.not_sent, run.complete, self.wrong_answers, run.refusals
        )?;
        writeln!(f, "responses within target per second {:.1}", run.goodput_per_second)?;
        writeln!(f, "cost per 1000 responses within target {:.4}", run.cost_per_thousand)?;
        writeln!(
            f,
            "prompt tokens {} computed {} recomputed {} (engines without counts {})",
            run.prompt_tokens, run.computed_tokens, run.recomputed_tokens, self.engines_unread
        )?;
        for service in &run.services {
            writeln!(
                f,
                "{} priority {}: sent {} within target {:.1}% first token p50 {} p95 {} p99 {} ms other ends {:?}",
                service.service,
                service.priority,
                service.sent,
                service.within_percent,
                service.first_p50_ms,
                service.first_p95_ms,
                service.first_p99_ms,
                service.other_ends
            )?;
        }
        Ok(())
    }
}
