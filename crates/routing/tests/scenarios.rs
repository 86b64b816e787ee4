//! Runs the scenarios in `scenarios/routing` against the scored policy.

mod common;

use std::collections;
use std::error;
use std::fmt::Write as _;
use std::str;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_records::set;
use samphiremoor_routing::picker;
use samphiremoor_routing::picker::ReplicaPicker;
use samphiremoor_routing::prefix;
use samphiremoor_routing::scored;
use samphiremoor_view::zone;

type RunResult<T> = Result<T, Box<dyn error::Error>>;

struct SentCall {
    replica: id::ReplicaId,
    prompt: Vec<prefix::PrefixHash>,
    dispatched_at: time::MonotonicTime,
}

struct RoutingRunner {
    picker: scored::ScoredPicker,
    service: set::ServiceRecord,
    view: zone::ZoneView,
    now: time::MonotonicTime,
    calls: collections::BTreeMap<String, SentCall>,
    probe_calls: u64,
}

impl RoutingRunner {
    fn new() -> Self {
        let service = common::service(300, 700);
        RoutingRunner {
            picker: scored::ScoredPicker::default(),
            view: common::view(&service, Vec::new()),
            service,
            now: time::MonotonicTime::new(10_000),
            calls: collections::BTreeMap::new(),
            probe_calls: 0,
        }
    }

    fn explain(&mut self, prompt: &[prefix::PrefixHash], seed: u64) -> Vec<picker::RouteChoice> {
        let workspace = common::workspace();
        let query = query(&self.service, &workspace, prompt, self.now, seed);
        self.picker.explain(&self.view, &query)
    }

    fn pick(&mut self, prompt: &[prefix::PrefixHash], seed: u64) -> Option<picker::RouteChoice> {
        let workspace = common::workspace();
        let query = query(&self.service, &workspace, prompt, self.now, seed);
        self.picker.pick(&self.view, &query)
    }

    /// Sends a call and returns a summary: the chosen replica and the expected hit, or `none`.
    fn send(&mut self, call: &str, prompt: Vec<prefix::PrefixHash>, seed: u64) -> String {
        let Some(choice) = self.pick(&prompt, seed) else { return "none".to_owned() };
        self.picker.on_dispatch(&picker::DispatchReport {
            replica: &choice.replica,
            service: &self.service,
            prefix: &prompt,
            prompt_tokens: common::tokens(&prompt),
            now: self.now,
        });
        let replica = choice.replica.clone();
        let summary = format!("{replica} hit={}", choice.terms.expected_hit);
        self.calls.insert(call.to_owned(), SentCall { replica, prompt, dispatched_at: self.now });
        summary
    }

    fn end(&mut self, call: &str, ttft_ms: Option<u64>, outcome: picker::FinishOutcome) {
        let call = self.calls.remove(call).expect("the scenario ends only calls that it sent");
        self.picker.on_finish(&picker::FinishReport {
            replica: &call.replica,
            service: &self.service.id,
            prefix: &call.prompt,
            prompt_tokens: common::tokens(&call.prompt),
            dispatched_at: call.dispatched_at,
            now: self.now,
            outcome,
            ttft: ttft_ms.map(time::Millis::new),
            usage: None,
        });
    }

    fn change_replica(&mut self, name: &str, change: &ReplicaChange) -> RunResult<()> {
        let position = self.view.replicas.iter().position(|replica| replica.id.as_str() == name);
        let index = position.unwrap_or_else(|| {
            self.view.replicas.push(common::replica(name, "songino"));
            self.view.replicas.len() - 1
        });
        let replica = &mut self.view.replicas[index];
        if let Some(zone) = &change.zone {
            replica.zone = zone.parse()?;
        }
        if let Some(pool) = &change.pool {
            replica.pool = pool.parse()?;
        }
        if let Some(price) = change.price {
            replica.price = quantity::MicroPrice::new(price);
        }
        if let Some(reclaimable) = change.reclaimable {
            replica.reclaimable = reclaimable;
        }
        if let Some(state) = &change.state {
            replica.state = match state.as_str() {
                "joining" => zone::UpstreamState::Joining,
                "leaving" => zone::UpstreamState::Leaving,
                _ => zone::UpstreamState::Live,
            };
        }
        if let Some(version) = &change.version {
            replica.models[0].version = version.parse()?;
        }
        replica.load = change.load;
        let pool = replica.pool.clone();
        if self.view.records.pool(&pool).is_none() {
            let record = set::PoolRecord { id: pool, ..self.view.records.pools[0].clone() };
            self.view.records.pools.push(record);
        }
        self.view.serial += 1;
        Ok(())
    }

    fn publish_events(
        &mut self,
        replica: &str,
        first_number: u64,
        events: &[picker::CacheEvent],
        age_ms: u64,
    ) -> RunResult<()> {
        let replica: id::ReplicaId = replica.parse()?;
        let age = time::Millis::new(age_ms);
        let batch =
            picker::CacheBatch { replica: &replica, first_number, events, age, now: self.now };
        self.picker.on_cache_events(&batch);
        Ok(())
    }

    /// Sends and ends calls until one reaches the replica `target`; that call fails if `ttft_ms` is
    /// `None`.
    fn probe(&mut self, target: &str, ttft_ms: Option<u64>) -> String {
        const DEFAULT_TTFT_MS: u64 = 20;
        const MAX_CALLS: u64 = 200;
        for seed in 0..MAX_CALLS {
            // Prompts are distinct, because a common prefix would keep the calls on one replica.
            self.probe_calls += 1;
            let prompt = common::prompt(&[(&format!("probe{}", self.probe_calls), 1)]);
            let summary = self.send("probe", prompt, seed);
            self.now = self.now + time::Millis::new(1);
            let is_target = summary.starts_with(target);
            let outcome = match (is_target, ttft_ms) {
                (true, None) => picker::FinishOutcome::Failed,
                _ => picker::FinishOutcome::Complete,
            };
            self.end("probe", if is_target { ttft_ms } else { Some(DEFAULT_TTFT_MS) }, outcome);
            if is_target {
                return format!("call reached {target}");
            }
        }
        format!("no call reached {target}")
    }
}

/// Change of a replica by a scenario.
#[derive(Default)]
struct ReplicaChange {
    zone: Option<String>,
    pool: Option<String>,
    price: Option<u64>,
    reclaimable: Option<bool>,
    state: Option<String>,
    version: Option<String>,
    load: zone::LoadReport,
}

#[derive(goldenscript::Command)]
enum RoutingCommand {
    /// Sets the weights in the record of the service, per mille.
    Weights {
        #[arg(key)]
        cost: u16,
        #[arg(key)]
        recomputed: u16,
    },
    /// Adds or changes a replica and replaces its load report: `running` and `queued` requests, the
    /// `tokens` of the queued ones, and the `age` of the report in milliseconds. A pool without a
    /// record gets one with the services of the first pool.
    Replica {
        name: String,
        #[arg(key)]
        zone: Option<String>,
        #[arg(key)]
        pool: Option<String>,
        #[arg(key)]
        price: Option<u64>,
        #[arg(key)]
        reclaimable: Option<bool>,
        #[arg(key)]
        state: Option<String>,
        #[arg(key)]
        version: Option<String>,
        #[arg(key)]
        running: Option<u32>,
        #[arg(key)]
        queued: Option<u32>,
        #[arg(key)]
        tokens: Option<u64>,
        #[arg(key)]
        age: Option<u64>,
    },
    /// Publishes cache events of a replica. `number` is the number of the first event, `age` the
    /// age of the newest one in milliseconds.
    Events {
        replica: String,
        #[arg(key)]
        number: u64,
        #[arg(key)]
        stored: Option<PromptText>,
        #[arg(key)]
        evicted: Option<PromptText>,
        #[arg(key)]
        cleared: Option<bool>,
        #[arg(key)]
        age: Option<u64>,
    },
    /// Advances the clock by a number of milliseconds.
    Pass(u64),
    /// Prints the scored replicas, best first.
    Explain {
        #[arg(key)]
        prompt: PromptText,
    },
    /// Picks a replica with the seed `random` and sends a call.
    Send {
        call: String,
        #[arg(key)]
        prompt: PromptText,
        #[arg(key)]
        random: Option<u64>,
    },
    /// Ends a call whose TTFT was `first` milliseconds; without `first` no token was received.
    End {
        call: String,
        #[arg(key)]
        first: Option<u64>,
        #[arg(key)]
        failed: Option<bool>,
    },
    /// Sends calls until one reaches the replica; the TTFT of that call is `first` milliseconds.
    Probe {
        replica: String,
        #[arg(key)]
        first: u64,
    },
    /// Sends calls until one reaches the replica; that call fails. Does so `times` times.
    Fail {
        replica: String,
        #[arg(key)]
        times: u32,
    },
    /// Prints the health of a replica.
    Health(String),
}

/// A prompt as scenarios write it: names and numbers of blocks, as in `template:20,session:10`.
struct PromptText(Vec<prefix::PrefixHash>);

impl str::FromStr for PromptText {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let mut segments = Vec::new();
        for segment in text.split(',') {
            let (name, blocks) =
                segment.split_once(':').ok_or("a prompt segment must be NAME:BLOCKS")?;
            segments.push((name, blocks.parse().map_err(|_| "BLOCKS must be a number")?));
        }
        Ok(PromptText(common::prompt(&segments)))
    }
}

fn query<'a>(
    service: &'a set::ServiceRecord,
    workspace: &'a id::WorkspaceId,
    prompt: &'a [prefix::PrefixHash],
    now: time::MonotonicTime,
    seed: u64,
) -> picker::RouteQuery<'a> {
    picker::RouteQuery {
        service,
        workspace,
        prefix: prompt,
        prompt_tokens: common::tokens(prompt),
        excluded: &[],
        now,
        seed,
    }
}

impl goldenscript::Runner for RoutingRunner {
    type Command = RoutingCommand;

    fn run(&mut self, command: &RoutingCommand, _: &goldenscript::Context) -> RunResult<String> {
        let mut output = String::new();
        match command {
            RoutingCommand::Weights { cost, recomputed } => {
                self.service = common::service(*cost, *recomputed);
                self.view.records.services = vec![self.service.clone()];
                self.view.serial += 1;
            }
            RoutingCommand::Replica {
                name,
                zone,
                pool,
                price,
                reclaimable,
                state,
                version,
                running,
                queued,
                tokens,
                age,
            } => {
                let change = ReplicaChange {
                    zone: zone.clone(),
                    pool: pool.clone(),
                    price: *price,
                    reclaimable: *reclaimable,
                    state: state.clone(),
                    version: version.clone(),
                    load: zone::LoadReport {
                        running: running.unwrap_or(0),
                        queued: queued.unwrap_or(0),
                        queued_tokens: quantity::TokenCount::new(tokens.unwrap_or(0)),
                        age: time::Millis::new(age.unwrap_or(0)),
                    },
                };
                self.change_replica(name, &change)?;
            }
            RoutingCommand::Events { replica, number, stored, evicted, cleared, age } => {
                let mut events = Vec::new();
                if let Some(PromptText(blocks)) = stored {
                    events.push(picker::CacheEvent::Stored(blocks.as_slice().into()));
                }
                if let Some(PromptText(blocks)) = evicted {
                    events.push(picker::CacheEvent::Evicted(blocks.as_slice().into()));
                }
                if *cleared == Some(true) {
                    events.push(picker::CacheEvent::Cleared);
                }
                self.publish_events(replica, *number, &events, age.unwrap_or(0))?;
            }
            RoutingCommand::Pass(duration_ms) => {
                self.now = self.now + time::Millis::new(*duration_ms)
            }
            RoutingCommand::Explain { prompt } => {
                for choice in self.explain(&prompt.0, 1) {
                    writeln!(output, "{} {}", choice.replica, choice.terms)?;
                }
            }
            RoutingCommand::Send { call, prompt, random } => {
                let summary = self.send(call, prompt.0.clone(), random.unwrap_or(1));
                writeln!(output, "{summary}")?;
            }
            RoutingCommand::End { call, first, failed } => {
                let outcome = match failed {
                    Some(true) => picker::FinishOutcome::Failed,
                    _ => picker::FinishOutcome::Complete,
                };
                self.end(call, *first, outcome);
            }
            RoutingCommand::Probe { replica, first } => {
                let summary = self.probe(replica, Some(*first));
                writeln!(output, "{summary}")?;
            }
            RoutingCommand::Fail { replica, times } => {
                for _ in 0..*times {
                    let summary = self.probe(replica, None);
                    writeln!(output, "{summary}")?;
                }
            }
            RoutingCommand::Health(replica) => {
                writeln!(output, "{:?}", self.picker.health(&replica.parse()?))?;
            }
        }
        Ok(output)
    }
}

fn check(name: &str) {
    let path = format!("../../scenarios/routing/{name}");
    goldenscript::run(&mut RoutingRunner::new(), path).expect("the scenario file can be read");
}

samphiremoor_base::cases! {
    session_stays_on_the_replica_that_caches_its_prefix => check("session");
    weights_balance_price_against_cached_prefix => check("weights");
    cache_events_update_the_prefix_index => check("cache_events");
    slow_replica_is_ejected_probed_and_reinstated => check("slow_replica");
    replica_that_fails_after_each_probe_is_ejected_for_longer => check("flapping_replica");
    replica_that_changes_its_pool_is_ejected_and_probed => check("pool_change");
    leaving_replicas_and_other_versions_are_not_eligible => check("eligibility");
    load_reports_are_corrected_by_sent_requests => check("queue");
}
