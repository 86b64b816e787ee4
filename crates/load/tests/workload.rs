//! Workload files and the calls that are generated from them.

use std::path;

use samphiremoor_base::time;
use samphiremoor_load::plan;
use samphiremoor_load::prompt;
use samphiremoor_load::workload;
use samphiremoor_settings::load;

fn workload(name: &str) -> workload::WorkloadFile {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    load::load(&root.join(name).join("workload.toml")).expect("the workload file is valid")
}

fn options(seed: u64) -> plan::PlanOptions {
    plan::PlanOptions { length: time::Millis::new(5_000), rate_factor: 1.0, seed }
}

fn check_deterministic(name: &str) {
    let file = workload(name);
    let plan_text = |seed| format!("{:?}", plan::calls(&file, &options(seed)));
    assert_eq!(plan_text(3), plan_text(3));
    assert_ne!(plan_text(3), plan_text(4));
}

fn check_order(name: &str) {
    let calls = plan::calls(&workload(name), &options(1));
    assert!(!calls.is_empty());
    assert!(calls.is_sorted_by_key(|call| call.arrives_at));
    assert!(calls.iter().all(|call| call.arrives_at < time::Millis::new(5_000)));
}

/// The prompt of a later turn starts with the prompt and the response of the earlier turn.
fn check_session_prefix() {
    let session = plan::SessionPlan {
        number: 1,
        service: "rental-draft".parse().expect("the name is valid"),
        template: 0,
        template_tokens: 20,
        turns: vec![plan::TurnPlan { tokens: 5, answer_tokens: 7 }; 2],
    };
    let earlier = prompt::messages(&session, 0);
    let later = prompt::messages(&session, 1);
    let response = prompt::expected_response(&earlier, 7);
    let start = prompt::prompt_text(&earlier) + "assistant:" + &response;
    assert!(prompt::prompt_text(&later).starts_with(&start));
}

fn check_refused(text: &str, expected_key: &str) {
    let result = load::parse::<workload::WorkloadFile>(path::Path::new("w.toml"), text);
    let message = result.expect_err("the file is refused").to_string();
    assert!(message.contains(expected_key), "{message}");
}

const NO_WORKSPACE: &str = r#"
[[plain]]
service = "courier-slot"
calls_per_second = 1.0
path = "book"
idempotency_key = true
body_bytes = [1, 2]
service_ms = [1, 2]
workspaces = []
"#;

samphiremoor_base::cases! {
    ulaanbaatar_plan_is_deterministic => check_deterministic("ulaanbaatar");
    casa_settat_plan_is_deterministic => check_deterministic("casa-settat");
    ulaanbaatar_calls_are_sorted => check_order("ulaanbaatar");
    casa_settat_calls_are_sorted => check_order("casa-settat");
    later_turn_extends_earlier_prompt => check_session_prefix();
    missing_workspaces_are_refused => check_refused(NO_WORKSPACE, "plain.workspaces");
    reversed_ranges_are_refused =>
        check_refused(&NO_WORKSPACE.replace("[1, 2]", "[2, 1]"), "plain.body_bytes");
    unknown_keys_are_refused => check_refused("speed = 1", "speed");
}
