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

/// The settings file.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// The engine's name.
    pub id: id::ReplicaId,
    /// Where it serves.
    pub listen: net::SocketAddr,
    /// Models that are loaded from the start.
    #[serde(default)]
    pub models: Vec<set::LoadedModel>,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Speed.
    #[serde(default)]
    pub speed: SpeedSettings,
    /// Memory and loads.
    #[serde(default)]
    pub memory: MemorySettings,
    /// Reports.
    #[serde(default)]
    pub reports: ReportSettings,
}

/// The time model.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SpeedSettings {
    /// Prompt tokens computed in a second.
    pub prefill_per_second: u64,
    /// Prompt tokens of one step.
    pub prefill_chunk: u64,
    /// Microseconds of a step with one sequence.
    pub decode_base_us: u64,
    /// Microseconds that each further sequence adds to a step.
    pub decode_each_us: u64,
    /// Sequences in the batch.
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

/// Memory and loads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MemorySettings {
    /// Blocks of 16 tokens in the prefix cache.
    pub cache_blocks: usize,
    /// Models that fit at the same time.
    pub max_models: usize,
    /// Time to load a model.
    pub load_time: time::Millis,
    /// Bytes of KV cache for each token.
    pub kv_bytes_per_token: quantity::ByteCount,
    /// Bytes of exported KV cache that are imported in a second.
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

/// How late and how whole the reports are.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReportSettings {
    /// Time between two samples of the load.
    pub load_interval: time::Millis,
    /// Time after which a cache event is published.
    pub cache_lag: time::Millis,
    /// One cache event in so many is lost; 0 loses none.
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
