//! The process ends if a task panics without which it must not run.

use std::env;
use std::process;
use std::time;

use async_std::task;
use samphiremoor_gateway::vital_task;

/// Set in the process that is expected to end.
const CHILD_VARIABLE: &str = "SAMPHIREMOOR_PANICS";
/// Time for which a process lives on whose task does not end it.
const LIFETIME: time::Duration = time::Duration::from_secs(5);

/// Runs this test program again, with `has_panic` set, and returns whether it succeeds.
fn run_child(has_panic: bool) -> bool {
    let program = env::current_exe().expect("the test program has a path");
    let mut command = process::Command::new(program);
    command.args(["--exact", "child_with_a_task"]).env(CHILD_VARIABLE, has_panic.to_string());
    command.stdout(process::Stdio::null()).stderr(process::Stdio::null());
    command.status().expect("the test program starts").success()
}

/// Part of the other test, which runs it in a process of its own.
#[test]
fn child_with_a_task() {
    let Ok(has_panic) = env::var(CHILD_VARIABLE) else { return };
    let has_panic = has_panic == "true";
    let lifetime = if has_panic { LIFETIME } else { LIFETIME / 50 };
    task::block_on(async {
        vital_task::spawn(async move {
            assert!(!has_panic, "the task fails");
        });
        task::sleep(lifetime).await;
    });
}

#[test]
fn daemon_outlives_a_task_that_it_needs() {
    assert!(run_child(false), "a task that ends is no failure");
    let started_at = time::Instant::now();
    assert!(!run_child(true));
    assert!(started_at.elapsed() < LIFETIME);
}
