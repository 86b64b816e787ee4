//! Settings of the stand-in engine.

use std::net;
use std::time::Duration;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_records::set;
use samphiremoor_settings::load;
use samphiremoor_standin::program;
use serde::Deserialize;

use crate::batch;

/// Contents of the settings file.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// Replica id of the engine.
    pub id: id::ReplicaId,
    /// Address that the engine listens on.
    pub listen: net::SocketAddr,
    /// Models that are loaded at startup.
    #[serde(default)]
    pub models: Vec<set::LoadedModel>,
    /// Whether orders with an old fencing token are refused.
    pub checks_fencing: bool,
    /// Compute speed.
    #[serde(default)]
    pub speed: SpeedSettings,
    /// Memory sizes, model load time and KV cache transfer rate.
    #[serde(default)]
    pub memory: MemorySettings,
    /// Delays and gaps of the reported load and cache events.
    #[serde(default)]
    pub reports: ReportSettings,
}

/// Parameters of the time model.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SpeedSettings {
    /// Prefill speed in prompt tokens per second.
    pub prefill_per_second: u64,
    /// Maximum number of prompt tokens that one step computes.
    pub prefill_chunk: u64,
    /// Duration of a decode step with one sequence, in microseconds.
    pub decode_base_us: u64,
    /// Duration that each additional sequence adds to a decode step, in microseconds.
    pub decode_each_us: u64,
    /// Maximum number of sequences in the batch.
    pub max_batch: usize,
}

impl Default for SpeedSettings {
    fn default() -> Self {
        SpeedSettings {
            prefill_per_second: 8_000,
            prefill_chunk: 1_024,
            decode_base_us: 8_000,
            decode_each_us: 250,
            max_batch: 32,
        }
    }
}

/// Memory sizes, model load time and KV cache transfer rate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MemorySettings {
    /// Capacity of the prefix cache in blocks of 16 tokens.
    pub cache_blocks: usize,
    /// Maximum number of models in memory.
    pub max_models: usize,
    /// Time to load a model, in milliseconds.
    pub load_time: time::Millis,
    /// Size of the KV cache per token, in bytes.
    pub kv_bytes_per_token: quantity::ByteCount,
    /// Import rate of a KV cache, in bytes per second.
    pub kv_bytes_per_second: quantity::ByteCount,
}

impl Default for MemorySettings {
    fn default() -> Self {
        MemorySettings {
            cache_blocks: 4_096,
            max_models: 2,
            load_time: time::Millis::new(500),
            kv_bytes_per_token: quantity::ByteCount::new(100_000),
            kv_bytes_per_second: quantity::ByteCount::new(5_000_000_000),
        }
    }
}

/// Delays and gaps of the reported load and cache events.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReportSettings {
    /// Sampling interval of the load, in milliseconds.
    pub load_interval: time::Millis,
    /// Delay before a cache event is published, in milliseconds.
    pub cache_lag: time::Millis,
    /// Every n-th cache event is dropped; 0 drops none.
    pub cache_gap_every: u64,
}

impl Default for ReportSettings {
    fn default() -> Self {
        ReportSettings {
            load_interval: time::Millis::new(250),
            cache_lag: time::Millis::new(200),
            cache_gap_every: 50,
        }
    }
}

impl From<SpeedSettings> for batch::TimeModel {
    fn from(speed: SpeedSettings) -> Self {
        batch::TimeModel {
            prefill_per_second: speed.prefill_per_second,
            prefill_chunk: speed.prefill_chunk,
            decode_base: Duration::from_micros(speed.decode_base_us),
            decode_each: Duration::from_micros(speed.decode_each_us),
            max_batch: speed.max_batch,
        }
    }
}

impl load::CheckedSettings for EngineSettings {
    fn check(&self) -> Result<(), load::ValueError> {
        program::check_loopback("listen", self.listen)?;
        check_positive("speed.prefill_per_second", self.speed.prefill_per_second)?;
        check_positive("speed.prefill_chunk", self.speed.prefill_chunk)?;
        check_positive("speed.decode_base_us", self.speed.decode_base_us)?;
        check_positive("speed.max_batch", self.speed.max_batch as u64)?;
        check_positive("memory.max_models", self.memory.max_models as u64)?;
        check_positive("memory.kv_bytes_per_second", self.memory.kv_bytes_per_second.get())
    }
}

fn check_positive(key: &'static str, value: u64) -> Result<(), load::ValueError> {
    if value > 0 {
        return Ok(());
    }
    Err(load::ValueError {
        key,
        problem: "must not be zero".to_owned(),
        remedy: "set at least 1".to_owned(),
    })
}
