//! The list of tests that fail for a real fault which is not mended yet.
//!
//! An entry of `KNOWN-RED.txt` starts with the test's full name in the first column, indented lines
//! below it give the command, the seed, what was seen and the issue. Lines with `#` are comments.

use std::fs;

use crate::run;

/// The file with the list.
const LIST_FILE: &str = "KNOWN-RED.txt";

/// Names of the listed tests; prints each entry.
pub(crate) fn read_list() -> Result<Vec<String>, run::ChoreError> {
    let text = fs::read_to_string(LIST_FILE)
        .map_err(|cause| run::ChoreError::NotStarted { command: LIST_FILE.to_owned(), cause })?;
    let names = names_of(&text);
    match names.is_empty() {
        true => println!("known red: none"),
        false => println!("known red, passed over:\n{text}"),
    }
    Ok(names)
}

fn names_of(text: &str) -> Vec<String> {
    let is_name = |line: &&str| !line.is_empty() && !line.starts_with(['#', ' ', '\t']);
    let first_word = |line: &str| line.split_whitespace().next().unwrap_or(line).to_owned();
    text.lines().filter(is_name).map(first_word).collect()
}
