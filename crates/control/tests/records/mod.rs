//! Record changes by an operator.

use std::sync;

use async_std::task;
use samphiremoor_head::change;
use samphiremoor_platform::table;
use samphiremoor_platform::table::TableStore as _;
use samphiremoor_platform_client::memory;
use samphiremoor_records::bundle;
use samphiremoor_records::file;
use samphiremoor_records::revision;

/// Writes the example records as the next revision, with a limit that differs for each change.
pub(crate) fn write(table: &memory::MemoryTable, change_number: usize) {
    let head_key = table::RowKey::new(revision::HEAD_KEY);
    let row = task::block_on(table.read(&head_key)).expect("the table is in memory");
    let base = row.map(|row| change::BaseHead {
        row: revision::HeadRow::parse(&row.value).expect("the row can be parsed"),
        version: row.version,
    });
    let author = change::ChangeAuthor {
        write_id: format!("change-{change_number}").parse().expect("a valid write id"),
        name: sync::Arc::from("test"),
        written_at: 0,
    };
    let driver = change::ChangeDriver::new(
        base.as_ref(),
        &example_bundle(change_number),
        Vec::new(),
        author,
    );
    task::block_on(table.commit(driver.transaction())).expect("the table is in memory");
}

fn example_bundle(change_number: usize) -> bundle::RecordBundle {
    let text = include_str!("../../../../deploy/examples/records-v1.toml");
    let text =
        text.replace("max_in_progress = 64", &format!("max_in_progress = {}", 64 + change_number));
    bundle::RecordBundle::new(file::parse(&text).expect("the example can be parsed").entries)
}
