//! The demonstration ends by itself, and shows what it promises.

use std::process;

use samphiremoor_base::cases;

/// Runs the demonstration once and gives what it printed.
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
    both_deployments_come_into_force => check("is accepted: in force at every daemon", 2);
    a_draft_streams_in_each_zone => check("whole: 24 tokens", 2);
    a_booking_runs_once_for_two_sends => check("\"receipt\":\"bayanzurkh-service-1-1\"", 2);
    a_look_up_is_answered => check("\"receipt\":\"ain-sebaa-service-1-1\"", 1);
    status_names_each_zone => check("1/1      available", 2);
    every_process_ends => check("demo: done, every process has ended", 1);
}
