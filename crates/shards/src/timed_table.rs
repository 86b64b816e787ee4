//! A table whose calls end within a time limit.

use std::future::Future;
use std::sync;

use async_std::future;
use async_trait::async_trait;
use samphiremoor_base::time;
use samphiremoor_platform::table;

/// Timeout of a call. A transaction that times out may still take effect.
const CALL_TIMEOUT: time::Millis = time::Millis::new(5_000);

/// The platform's table with [`CALL_TIMEOUT`] for each call, whatever limits its client has.
pub(crate) struct TimedTable {
    inner: sync::Arc<dyn table::TableStore>,
}

impl TimedTable {
    /// Limits the calls to `inner`.
    pub(crate) fn new(inner: sync::Arc<dyn table::TableStore>) -> Self {
        TimedTable { inner }
    }
}

#[async_trait]
impl table::TableStore for TimedTable {
    async fn read(
        &self,
        key: &table::RowKey,
    ) -> Result<Option<table::TableRow>, table::PlatformError> {
        limit(self.inner.read(key)).await
    }

    async fn scan(
        &self,
        prefix: &str,
        after: Option<&table::RowKey>,
        row_limit: usize,
    ) -> Result<Vec<table::TableRow>, table::PlatformError> {
        limit(self.inner.scan(prefix, after, row_limit)).await
    }

    async fn commit(
        &self,
        transaction: &table::TableTransaction,
    ) -> Result<table::CommitResponse, table::PlatformError> {
        limit(self.inner.commit(transaction)).await
    }
}

/// Waits for the result of a call until [`CALL_TIMEOUT`]; after it, the effect is unknown.
async fn limit<T>(
    call: impl Future<Output = Result<T, table::PlatformError>>,
) -> Result<T, table::PlatformError> {
    let timed_out = || Err(table::PlatformError::Unknown("timed out".into()));
    future::timeout(CALL_TIMEOUT.to_duration(), call).await.unwrap_or_else(|_| timed_out())
}
