//! Formats the output of the commands.

use std::fmt::Write as _;

use samphiremoor_base::quantity;
use samphiremoor_planner::plan;
use samphiremoor_records::entry;
use samphiremoor_records::revision;
use serde::Serialize;

use crate::args;
use crate::columns;
use crate::explain;
use crate::status;

/// Number of millionths in a currency unit.
const MICROS: u64 = 1_000_000;

/// A change in the output of `history`.
#[derive(Debug, Serialize)]
struct HistoryLine<'a> {
    revision: quantity::RevisionNumber,
    write_id: &'a str,
    author: &'a str,
    written_at: u64,
    changed: Vec<String>,
}

/// A record in the output of `get`.
#[derive(Debug, Serialize)]
struct RecordLine<'a> {
    key: String,
    schema: u32,
    text: &'a str,
}

/// JSON output of `get`.
#[derive(Debug, Serialize)]
struct RecordPage<'a> {
    revision: quantity::RevisionNumber,
    records: Vec<RecordLine<'a>>,
}

/// Formats records in the text in which they were written.
pub fn records(
    format: args::OutputFormat,
    revision: quantity::RevisionNumber,
    entries: &[&entry::RecordEntry],
) -> String {
    if format == args::OutputFormat::Json {
        let line = |entry: &&'_ entry::RecordEntry| RecordLine {
            key: entry.key.to_string(),
            schema: entry.schema,
            text: "",
        };
        let mut records: Vec<RecordLine<'_>> = entries.iter().map(line).collect();
        for (record, entry) in records.iter_mut().zip(entries) {
            record.text = &entry.text;
        }
        return json(&RecordPage { revision, records });
    }
    let mut text = format!("# revision {revision}\n");
    for entry in entries {
        append(&mut text, format_args!("\n# {}\n{}", entry.key, entry.text));
    }
    text
}

/// Formats changes, the newest first.
pub fn history(format: args::OutputFormat, rows: &[revision::RevisionRow]) -> String {
    let lines: Vec<HistoryLine<'_>> = rows.iter().map(history_line).collect();
    if format == args::OutputFormat::Json {
        return json(&lines);
    }
    let mut rows = vec![columns::header("REVISION WRITTEN-AT AUTHOR WRITE-ID CHANGED")];
    for line in lines {
        rows.push(vec![
            line.revision.to_string(),
            format_timestamp(line.written_at),
            line.author.to_owned(),
            line.write_id.to_owned(),
            line.changed.join(","),
        ]);
    }
    columns::align(&rows)
}

/// Formats seconds since the Unix epoch as a UTC timestamp.
fn format_timestamp(seconds: u64) -> String {
    let timestamp =
        i64::try_from(seconds).ok().and_then(|seconds| jiff::Timestamp::from_second(seconds).ok());
    timestamp.map_or_else(|| seconds.to_string(), |timestamp| timestamp.to_string())
}

fn history_line(row: &revision::RevisionRow) -> HistoryLine<'_> {
    HistoryLine {
        revision: row.revision,
        write_id: row.write_id.as_str(),
        author: &row.author,
        written_at: row.written_at,
        changed: row.changed.iter().map(ToString::to_string).collect(),
    }
}

/// Formats the status.
pub fn status(format: args::OutputFormat, status: &status::SystemStatus) -> String {
    if format == args::OutputFormat::Json {
        return json(status);
    }
    let mut text = match status.written {
        Some(revision) => format!("written: revision {revision}\n\n"),
        None => "written: unknown, the table does not respond\n\n".to_owned(),
    };
    let mut zones = vec![columns::header("ZONE REVISION AGE DAEMONS PLATFORM")];
    zones.extend(status.zones.iter().map(zone_row));
    text.push_str(&columns::align(&zones));
    text.push('\n');
    const TITLES: &str =
        "SERVICE LIVE JOINING LEAVING COST/H RUNNING QUEUED CAPACITY TARGET LATENCY";
    let mut services = vec![columns::header(TITLES)];
    services.extend(status.services.iter().map(service_row));
    text.push_str(&columns::align(&services));
    text
}

fn zone_row(zone: &status::ZoneStatus) -> Vec<String> {
    let platform = zone.platform.map(|state| format!("{state:?}").to_lowercase());
    vec![
        zone.zone.to_string(),
        or_dash(zone.revision),
        or_dash(zone.age_ms),
        format!("{}/{}", zone.answering, zone.daemons),
        or_dash(platform),
    ]
}

fn service_row(service: &status::ServiceStatus) -> Vec<String> {
    let price = service.price_per_hour.get();
    vec![
        service.service.to_string(),
        service.replicas.live.to_string(),
        service.replicas.joining.to_string(),
        service.replicas.leaving.to_string(),
        format!("{}.{:02}", price / MICROS, price % MICROS / (MICROS / 100)),
        service.running.to_string(),
        service.queued.to_string(),
        service.capacity.to_string(),
        service.target_first_ms.to_string(),
        latency_label(service.latency).to_owned(),
    ]
}

fn latency_label(latency: status::LatencyOutlook) -> &'static str {
    match latency {
        status::LatencyOutlook::WithinTarget => "within-target",
        status::LatencyOutlook::AtRisk => "at-risk",
        status::LatencyOutlook::NoReplica => "no-replica",
    }
}

/// Formats the explanation of a routing decision.
pub fn explanation(format: args::OutputFormat, explanation: &explain::RouteExplanation) -> String {
    if format == args::OutputFormat::Json {
        return json(explanation);
    }
    let mut text =
        format!("zone {} serves by revision {}\n", explanation.zone, explanation.revision);
    for candidate in &explanation.candidates {
        append(
            &mut text,
            format_args!("{}  {}  {}\n", candidate.replica, candidate.zone, candidate.terms),
        );
    }
    if explanation.candidates.is_empty() {
        text.push_str("no replica may serve the request now\n");
    }
    for excluded in &explanation.excluded {
        let reason = excluded.reason.label();
        append(&mut text, format_args!("{}  excluded  {reason}\n", excluded.replica));
    }
    text
}

/// JSON output of `plan`.
#[derive(Debug, Serialize)]
struct PlanPage {
    pools: Vec<PoolLine>,
    actions: Vec<ActionLine>,
}

#[derive(Debug, Serialize)]
struct PoolLine {
    pool: String,
    demand: u32,
    wanted: u32,
    after_loss: u32,
    held: u32,
    price_per_hour: quantity::MicroPrice,
}

#[derive(Debug, Serialize)]
struct ActionLine {
    action: String,
    reason: &'static str,
}

/// Formats a plan.
pub fn plan(format: args::OutputFormat, plan: &plan::FleetPlan) -> String {
    if format == args::OutputFormat::Text {
        return plan.to_string();
    }
    let pool = |pool: &plan::PoolPlan| PoolLine {
        pool: pool.pool.to_string(),
        demand: pool.demand,
        wanted: pool.wanted,
        after_loss: pool.after_loss,
        held: pool.held,
        price_per_hour: pool.price,
    };
    let action = |planned: &plan::PlannedAction| ActionLine {
        action: planned.action.to_string(),
        reason: planned.reason.label(),
    };
    json(&PlanPage {
        pools: plan.pools.iter().map(pool).collect(),
        actions: plan.actions.iter().map(action).collect(),
    })
}

fn or_dash<T: std::fmt::Display>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

fn append(text: &mut String, part: std::fmt::Arguments<'_>) {
    text.write_fmt(part).expect("writing to a String never fails");
}

/// Formats a value as JSON with a trailing newline.
pub fn json(value: &impl Serialize) -> String {
    let text =
        serde_json::to_string_pretty(value).expect("the output types can be serialized as JSON");
    text + "\n"
}
