//! Runs one case of the review: `standins CASE RECORD`. `TROUBLE=0` leaves out the disruption.

mod common;
mod ended_relay;
mod late_order;
mod restored_store;
mod second_report;

use std::env;
use std::path::Path;
use std::process;

fn main() -> process::ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, path] = &arguments[..] else { common::could_not_run("give a case and a file") };
    let record = common::Record::new(Path::new(path));
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    record.line(&format!("case {case}, disruption {}", if has_trouble { "on" } else { "off" }));
    let result = match &case[..] {
        "ended-relay" => ended_relay::run(&record, has_trouble),
        "late-order" => late_order::run(&record, has_trouble),
        "restored-store" => restored_store::run(&record, has_trouble),
        "second-report" => second_report::run(&record, has_trouble),
        _ => common::could_not_run("no such case"),
    };
    let (text, code) = match result {
        Some(true) => ("the rule held", 0),
        Some(false) => ("the rule was broken", 1),
        None => ("the case could not run", 2),
    };
    record.line(text);
    println!("{case}: {text}");
    process::ExitCode::from(code)
}
