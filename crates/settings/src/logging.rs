//! Starts the logger of a program.

use std::io::Write as _;

/// Logs to standard error, a line each: time, level, program, event and fields.
///
/// The level comes from `filter`, or from the environment variable `RUST_LOG` where it is set.
pub fn start(program: &'static str, filter: &str) {
    let env = env_logger::Env::default().default_filter_or(filter);
    env_logger::Builder::from_env(env)
        .format(move |out, record| {
            let time = out.timestamp_millis();
            writeln!(out, "{time} {} {program} {}", record.level(), record.args())
        })
        .init();
}
