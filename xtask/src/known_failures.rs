//! Reads the list of tests that fail because of a fault that is not fixed yet.
//!
//! An entry of `KNOWN-RED.txt` starts with the full name of the test in the first column. The
//! indented lines below it give the command, the seed, the observed failure and the issue. Lines
//! that start with `#` are comments.

use std::fs;

use crate::run;

/// File with the list.
const LIST_FILE: &str = "KNOWN-RED.txt";

/// Returns the names of the listed tests and prints the list.
pub(crate) fn read_list() -> Result<Vec<String>, run::TaskError> {
    let text = fs::read_to_string(LIST_FILE)
        .map_err(|cause| run::TaskError::NotStarted { command: LIST_FILE.to_owned(), cause })?;
    let names = parse_names(&text);
    match names.is_empty() {
        true => println!("known red: none"),
        false => println!("known red, passed over:\n{text}"),
    }
    Ok(names)
}

fn parse_names(text: &str) -> Vec<String> {
    let is_name = |line: &&str| !line.is_empty() && !line.starts_with(['#', ' ', '\t']);
    let first_word = |line: &str| line.split_whitespace().next().unwrap_or(line).to_owned();
    text.lines().filter(is_name).map(first_word).collect()
}
