//! Records that the tests run with.

use samphiremoor_base::digest;
use samphiremoor_base::quantity;
use samphiremoor_records::file;
use samphiremoor_records::set;

/// API key of the workspace that most tests use.
pub const KEY: &str = "test-key-rental";

/// API key of a second workspace.
pub const OTHER_KEY: &str = "test-key-clinics";

/// Id of the model service.
pub const DRAFT: &str = "rental-draft";

/// Id of the plain service whose calls must not be repeated.
pub const BOOKING: &str = "courier-slot";

/// Id of the plain service whose calls may be repeated.
pub const LOOKUP: &str = "slot-lookup";

/// Id of the pool of engines.
pub const ENGINE_POOL: &str = "assistant-pool";

/// Id of the pool of plain services.
pub const SERVICE_POOL: &str = "courier-pool";

/// Returns the text of the record file for the given zones.
pub fn text(zones: &[String]) -> String {
    let zones = format!("{zones:?}");
    let first = digest::HexDigest::of(KEY.as_bytes());
    let second = digest::HexDigest::of(OTHER_KEY.as_bytes());
    format!(
        r#"schema = 1

[[workspace]]
id = "rental"
key_digest = "{first}"
services = ["{DRAFT}", "{BOOKING}", "{LOOKUP}"]
share = 500
max_in_progress = 512

[[workspace]]
id = "clinics"
key_digest = "{second}"
services = ["{DRAFT}", "{BOOKING}", "{LOOKUP}"]
share = 500
max_in_progress = 512

[[service]]
id = "{DRAFT}"
model = "steppe-8b"
version = "1"
priority = 0
first_ms = 2000
between_ms = 100
deadline_ms = 60000
cost_weight = 800
recomputed_weight = 200
repeatable = true

[[service]]
id = "{BOOKING}"
priority = 0
first_ms = 1000
deadline_ms = 15000
cost_weight = 800
recomputed_weight = 200
repeatable = false

[[service]]
id = "{LOOKUP}"
priority = 1
first_ms = 1000
deadline_ms = 15000
cost_weight = 800
recomputed_weight = 200
repeatable = true

[[pool]]
id = "{ENGINE_POOL}"
services = ["{DRAFT}"]
zones = {zones}
classes = ["gpu-small"]
min_replicas = 1
max_replicas = 16
concurrency = 16
checks_fencing = true

[[pool]]
id = "{SERVICE_POOL}"
services = ["{BOOKING}", "{LOOKUP}"]
zones = {zones}
classes = ["cpu-small"]
min_replicas = 1
max_replicas = 16
concurrency = 64
checks_fencing = false
"#
    )
}

/// Returns the same records as parsed, at revision 1.
pub fn record_set(zones: &[String]) -> set::RecordSet {
    let read = file::parse(&text(zones)).expect("the records are valid");
    set::RecordSet { revision: quantity::RevisionNumber::new(1), ..read.set }
}
