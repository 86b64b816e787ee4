//! Properties of every routing policy, whatever reports it received before.

mod common;

use proptest::prelude::*;
use proptest::test_runner;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_records::set;
use samphiremoor_routing::baseline;
use samphiremoor_routing::picker;
use samphiremoor_routing::picker::ReplicaPicker;
use samphiremoor_routing::prefix;
use samphiremoor_routing::prefix_index;
use samphiremoor_routing::scored;
use samphiremoor_view::zone;

const ZONES: [&str; 4] = ["bayanzurkh", "songino", "khan-uul", "sukhbaatar"];
const MAX_INDEXED_BLOCKS: usize = 500;

fn config() -> test_runner::Config {
    samphiremoor_testkit::config(64)
}

fn pickers() -> Vec<Box<dyn ReplicaPicker>> {
    vec![
        Box::new(baseline::RandomPicker),
        Box::new(baseline::LeastLoadedPicker::default()),
        Box::new(baseline::PrefixOnlyPicker::default()),
        Box::new(scored::ScoredPicker::new(MAX_INDEXED_BLOCKS)),
    ]
}

fn any_replica(number: usize) -> impl Strategy<Value = zone::ReplicaView> {
    let state = prop_oneof![
        4 => Just(zone::UpstreamState::Live),
        1 => Just(zone::UpstreamState::Leaving),
        1 => Just(zone::UpstreamState::Joining),
    ];
    (0..ZONES.len(), state, prop::bool::weighted(0.8), 0u32..20, 0u64..50_000, 1u64..3_000_000)
        .prop_map(move |(zone, state, has_model, running, queued_tokens, price)| {
            let mut replica = common::replica(&format!("r{number}"), ZONES[zone]);
            replica.state = state;
            if !has_model {
                replica.models.clear();
            }
            replica.load.running = running;
            replica.load.queued_tokens = quantity::TokenCount::new(queued_tokens);
            replica.price = quantity::MicroPrice::new(price);
            replica
        })
}

fn any_replicas() -> impl Strategy<Value = Vec<zone::ReplicaView>> {
    (0usize..60).prop_flat_map(|count| (0..count).map(any_replica).collect::<Vec<_>>())
}

/// A call to drive a picker with.
#[derive(Clone, Debug)]
struct PlannedCall {
    session: usize,
    /// Number of blocks in the prompt.
    blocks: usize,
    fails: bool,
    ttft_ms: u64,
    /// Number of blocks that the engine reports as cached.
    cached_blocks: u64,
}

fn any_call() -> impl Strategy<Value = PlannedCall> {
    (0usize..6, 0usize..40, prop::bool::weighted(0.1), 1u64..5_000, 0u64..50).prop_map(
        |(session, blocks, fails, ttft_ms, cached_blocks)| PlannedCall {
            session,
            blocks,
            fails,
            ttft_ms,
            cached_blocks,
        },
    )
}

/// Sends the calls one after another; returns the choice for each call.
fn drive(
    picker: &mut dyn ReplicaPicker,
    service: &set::ServiceRecord,
    view: &zone::ZoneView,
    calls: &[PlannedCall],
) -> Vec<Option<picker::RouteChoice>> {
    let workspace = common::workspace();
    let mut now = time::MonotonicTime::new(1_000);
    let mut choices = Vec::new();
    for (number, call) in calls.iter().enumerate() {
        let prompt = common::prompt(&[(&format!("session{}", call.session), call.blocks)]);
        let prompt_tokens = common::tokens(&prompt);
        let query = picker::RouteQuery {
            service,
            workspace: &workspace,
            prefix: &prompt,
            prompt_tokens,
            excluded: &[],
            now,
            seed: number as u64,
        };
        let choice = picker.pick(view, &query);
        choices.push(choice.clone());
        let Some(choice) = choice else { continue };
        let replica = &choice.replica;
        let dispatched_at = now;
        let prefix = prompt.as_slice();
        picker.on_dispatch(&picker::DispatchReport {
            replica,
            service,
            prefix,
            prompt_tokens,
            now,
        });
        now = now + time::Millis::new(call.ttft_ms);
        let cached = quantity::TokenCount::new(call.cached_blocks * prefix::BLOCK_TOKENS);
        picker.on_finish(&picker::FinishReport {
            replica,
            service: &service.id,
            prefix,
            prompt_tokens,
            dispatched_at,
            now,
            outcome: if call.fails {
                picker::FinishOutcome::Failed
            } else {
                picker::FinishOutcome::Complete
            },
            ttft: (!call.fails).then_some(time::Millis::new(call.ttft_ms)),
            usage: Some(picker::PromptUsage { cached, computed: prompt_tokens }),
        });
    }
    choices
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn pick_returns_an_eligible_replica_if_there_is_one(
        replicas in any_replicas(),
        calls in prop::collection::vec(any_call(), 1..40),
    ) {
        let service = common::service(500, 500);
        let view = common::view(&service, replicas);
        let is_eligible = |replica: &&zone::ReplicaView| {
            picker::is_eligible(&view.records, &service, replica)
        };
        let has_eligible = view.replicas.iter().any(|replica| is_eligible(&replica));
        for mut picker in pickers() {
            for choice in drive(picker.as_mut(), &service, &view, &calls) {
                prop_assert_eq!(choice.is_some(), has_eligible);
                let Some(choice) = choice else { continue };
                let chosen = view.replicas.iter().find(|replica| replica.id == choice.replica);
                prop_assert!(chosen.as_ref().is_some_and(is_eligible));
            }
        }
    }

    #[test]
    fn pick_is_deterministic(
        replicas in any_replicas(),
        calls in prop::collection::vec(any_call(), 1..40),
    ) {
        let service = common::service(300, 700);
        let view = common::view(&service, replicas);
        for (mut first_picker, mut second_picker) in pickers().into_iter().zip(pickers()) {
            let first_run = drive(first_picker.as_mut(), &service, &view, &calls);
            let second_run = drive(second_picker.as_mut(), &service, &view, &calls);
            prop_assert_eq!(first_run, second_run);
        }
    }

    #[test]
    fn excluded_replicas_are_never_chosen(replicas in any_replicas(), seed in any::<u64>()) {
        let service = common::service(500, 500);
        let view = common::view(&service, replicas);
        let workspace = common::workspace();
        let excluded: Vec<_> =
            view.replicas.iter().step_by(2).map(|replica| replica.id.clone()).collect();
        let prefix = common::prompt(&[("a", 4)]);
        let query = picker::RouteQuery {
            service: &service,
            workspace: &workspace,
            prefix: &prefix,
            prompt_tokens: common::tokens(&prefix),
            excluded: &excluded,
            now: time::MonotonicTime::new(1),
            seed,
        };
        for mut picker in pickers() {
            let choice = picker.pick(&view, &query);
            prop_assert!(choice.is_none_or(|choice| !excluded.contains(&choice.replica)));
        }
    }

    #[test]
    fn prefix_index_stays_within_its_capacity(
        prompts in prop::collection::vec((0u32..8, 0usize..300), 1..60),
    ) {
        let mut prefix_index = prefix_index::PrefixIndex::new(MAX_INDEXED_BLOCKS);
        for (number, (slot, block_count)) in prompts.iter().enumerate() {
            let prompt = common::prompt(&[(&format!("prompt{number}"), *block_count)]);
            let now = time::MonotonicTime::new(number as u64);
            prefix_index.record_prompt(
                prefix_index::ReplicaSlot(*slot),
                &prompt,
                common::tokens(&prompt),
                now,
            );
            prop_assert!(prefix_index.len() <= MAX_INDEXED_BLOCKS);
        }
    }

    #[test]
    fn expected_hits_do_not_exceed_the_prompt(
        recorded_prompts in prop::collection::vec((0u32..4, 0usize..40), 1..20),
        queried_blocks in 0usize..60,
    ) {
        let mut prefix_index = prefix_index::PrefixIndex::new(MAX_INDEXED_BLOCKS);
        for (slot, block_count) in recorded_prompts {
            let prompt = common::prompt(&[("shared", block_count)]);
            let now = time::MonotonicTime::new(5);
            prefix_index.record_prompt(
                prefix_index::ReplicaSlot(slot),
                &prompt,
                common::tokens(&prompt),
                now,
            );
        }
        let prompt = common::prompt(&[("shared", queried_blocks)]);
        for hit in prefix_index.expected_hits(&prompt) {
            prop_assert!(hit.tokens <= common::tokens(&prompt));
        }
    }

    #[test]
    fn session_stays_on_its_idle_replica(
        replica_count in 2usize..200,
        first_blocks in 4usize..100,
    ) {
        let service = common::service(500, 500);
        let replicas =
            (0..replica_count).map(|number| common::replica(&format!("r{number}"), "songino"));
        let view = common::view(&service, replicas.collect());
        let mut picker = scored::ScoredPicker::new(10_000);
        let calls: Vec<PlannedCall> = (0..4)
            .map(|turn| PlannedCall {
                session: 0,
                blocks: first_blocks + turn * first_blocks / 4,
                fails: false,
                ttft_ms: 30,
                cached_blocks: 1_000,
            })
            .collect();
        let choices = drive(&mut picker, &service, &view, &calls);
        let first_replica = choices[0].as_ref().map(|choice| choice.replica.clone());
        for choice in &choices {
            prop_assert_eq!(
                choice.as_ref().map(|choice| choice.replica.clone()),
                first_replica.clone()
            );
        }
    }
}
