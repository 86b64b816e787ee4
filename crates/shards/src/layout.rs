//! The layout of the shards, which all daemons read from the table.

use std::sync;

use async_std::task;
use samphiremoor_base::time;
use samphiremoor_claims::key;
use samphiremoor_platform::table;

/// Key of the row that contains the layout.
const LAYOUT_KEY: &str = "shards/layout";

/// Delay between attempts to read the layout.
const LAYOUT_RETRY_DELAY: time::Millis = time::Millis::new(100);

/// Reads the layout, or creates one with `shard_count` shards if there is none. Retries until the
/// table contains a layout.
pub(crate) async fn read_or_create_layout(
    table: &dyn table::TableStore,
    shard_count: u16,
) -> key::ShardLayout {
    loop {
        match read_layout(table).await {
            Ok(Some(layout)) => return layout,
            Ok(None) => create_layout(table, shard_count).await,
            Err(_) => {}
        }
        task::sleep(LAYOUT_RETRY_DELAY.to_duration()).await;
    }
}

async fn read_layout(
    table: &dyn table::TableStore,
) -> Result<Option<key::ShardLayout>, table::PlatformError> {
    let row = table.read(&table::RowKey::new(LAYOUT_KEY)).await?;
    Ok(row.and_then(|row| serde_json::from_str(&row.value).ok()))
}

/// Writes a new layout, unless another daemon has already written one.
async fn create_layout(table: &dyn table::TableStore, shard_count: u16) {
    let layout = key::ShardLayout { count: shard_count, hash_key: rand::random() };
    let text = serde_json::to_string(&layout).expect("a layout has no fallible values");
    let key = table::RowKey::new(LAYOUT_KEY);
    let transaction = table::TableTransaction {
        write_id: "shard-layout".parse().expect("letters and dashes make an identifier"),
        conditions: vec![table::RowCondition::Absent(key.clone())],
        writes: vec![table::RowWrite::Put(key, sync::Arc::from(text))],
    };
    // Whatever the outcome, the next read returns the layout that was written first.
    let _ = table.commit(&transaction).await;
}
