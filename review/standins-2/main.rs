//! Stand-ins for the platform, replicas and callers, and the cases of the second review.
//!
//! `standins CASE RECORD` plays a case: it exits with 1 if the rule was broken, 0 if it held and 2 if the
//! case could not run. With `TROUBLE=0` the disruption is left out.

mod case6;
mod case7;
mod case8;
mod deployment;
mod http;
mod json;
mod replica;
mod store;

use std::process;

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let play = match words.first().map(String::as_str) {
        Some("replica") => return replica::run(&words[1..]),
        Some("case6") => case6::run,
        Some("case7") => case7::run,
        Some("case8") => case8::run,
        _ => process::exit(2),
    };
    process::exit(play(&words[1], has_trouble));
}
