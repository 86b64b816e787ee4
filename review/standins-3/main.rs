//! Stand-ins of clients, replicas and the platform for the cases of the third review, and the cases
//! that need them. Each case exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

mod crashes;
mod dead_reader;
mod deployment;
mod failed_run;
mod http;
mod link;
mod replica;
mod store;

use std::env;
use std::process;
use std::time::{SystemTime, UNIX_EPOCH};

/// Number of events in a whole stream.
pub const EVENTS: u64 = 40;

/// Returns an event of a stream.
pub fn event(request_id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {request_id} {number}\n\n")
}

/// Returns the whole body of a plain answer.
pub fn plain_body(request_id: &str) -> Vec<u8> {
    format!("{request_id:<20}").repeat(40).into_bytes()
}

/// Returns the time of day in milliseconds.
pub fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis())
}

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words[..] {
        ["replica", address, id, mode] => {
            replica::run(address.parse().expect("the address is valid"), id, mode == "failing");
        }
        ["same-id", folder] => process::exit(crashes::run(folder, &crashes::SAME_ID)),
        ["soon", folder] => process::exit(crashes::run(folder, &crashes::SOON)),
        ["one-way", folder] => process::exit(crashes::run(folder, &crashes::ONE_WAY)),
        ["dead-reader", folder] => process::exit(dead_reader::run(folder)),
        ["failed-run", folder] => process::exit(failed_run::run(folder)),
        _ => process::exit(2),
    }
}
