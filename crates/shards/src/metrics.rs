//! Prometheus metrics of the shards.

/// Counters and gauges of one daemon's shards.
#[derive(Clone, Debug)]
pub(crate) struct ShardMetrics {
    /// Number of shards that are open on this daemon.
    pub(crate) open_shards: prometheus::IntGauge,
    /// Number of calls in the indexes of this daemon's shards.
    pub(crate) keys: prometheus::IntGauge,
    /// Number of transactions sent to the table.
    pub(crate) table_writes: prometheus::IntCounter,
    /// Number of copy requests sent to peers.
    pub(crate) copies: prometheus::IntCounter,
    /// Number of leases acquired.
    pub(crate) takeovers: prometheus::IntCounter,
    /// Number of calls run.
    pub(crate) runs: prometheus::IntCounter,
}

impl ShardMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails if the registry already contains metrics of the same names.
    pub(crate) fn register(
        registry: &prometheus::Registry,
    ) -> Result<ShardMetrics, prometheus::Error> {
        let gauge = |name: &str, help: &str| -> Result<prometheus::IntGauge, prometheus::Error> {
            let gauge = prometheus::IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let counter =
            |name: &str, help: &str| -> Result<prometheus::IntCounter, prometheus::Error> {
                let counter = prometheus::IntCounter::new(name, help)?;
                registry.register(Box::new(counter.clone()))?;
                Ok(counter)
            };
        Ok(ShardMetrics {
            open_shards: gauge("samphiremoor_shards_open", "Shards that are open here")?,
            keys: gauge("samphiremoor_shard_keys", "Idempotency keys that are remembered")?,
            table_writes: counter("samphiremoor_shard_table_writes_total", "Transactions sent")?,
            copies: counter("samphiremoor_shard_copies_total", "Copies sent to peers")?,
            takeovers: counter("samphiremoor_shard_leases_taken_total", "Leases taken")?,
            runs: counter("samphiremoor_shard_runs_total", "Calls run at an upstream")?,
        })
    }
}
