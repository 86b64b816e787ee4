//! The demonstration completes and prints the expected results.

use std::process;

use samphiremoor_base::cases;

/// Runs the demonstration once and returns its output.
fn output() -> &'static str {
    static OUTPUT: std::sync::OnceLock<String> = std::sync::OnceLock::new();
    OUTPUT.get_or_init(|| {
        let done = process::Command::new(env!("CARGO_BIN_EXE_samphiremoor-demo"))
            .stdin(process::Stdio::null())
            .output()
            .expect("the demonstration starts");
        let text = String::from_utf8_lossy(&done.stdout).into_owned();
        let errors = String::from_utf8_lossy(&done.stderr);
        assert!(done.status.success(), "{text}\n{errors}");
        text
    })
}

fn check(part: &str, count: usize) {
    let found = output().matches(part).count();
    assert_eq!(found, count, "{part:?} in {}", output());
}

cases! {
    records_of_both_deployments_come_into_force => check("is accepted: in force at every daemon", 2);
    draft_is_streamed_in_each_zone => check("complete: 24 tokens", 2);
    booking_sent_twice_runs_once => check("\"receipt\":\"bayanzurkh-service-1-1\"", 2);
    look_up_gets_a_response => check("\"receipt\":\"ain-sebaa-service-1-1\"", 1);
    status_lists_each_zone => check("1/1      available", 2);
    every_process_ends => check("demo: done, every process has ended", 1);
}
