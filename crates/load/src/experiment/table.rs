//! Result table of an experiment.

use std::fmt;

use serde::Serialize;

use crate::experiment::capacity;
use crate::experiment::policy;
use crate::experiment::situation;
use crate::tally;

/// A run of an experiment.
#[derive(Clone, Debug, Serialize)]
pub struct ExperimentRow {
    /// Name of the deployment.
    pub deployment: String,
    /// Situation of the run.
    pub situation: situation::Situation,
    /// Routing and admission policy.
    pub policy: policy::PolicyKind,
    /// Purchase policy, if the run bought VMs.
    pub capacity: Option<capacity::CapacityKind>,
    /// Results of the run.
    pub report: tally::RunReport,
}

/// All runs of an experiment, printed as Markdown tables.
///
/// The column of each service shows the percentage of its calls that met every latency target and
/// the 95th percentile of the time to first token.
#[derive(Clone, Debug, Serialize)]
pub struct ExperimentTable {
    /// Seed of all runs.
    pub seed: u64,
    /// Runs, in the order in which they were executed.
    pub rows: Vec<ExperimentRow>,
}

impl fmt::Display for ExperimentTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut heading = None;
        for row in &self.rows {
            let section = (row.deployment.as_str(), row.situation);
            if heading != Some(section) {
                heading = Some(section);
                write_heading(f, row)?;
            }
            write_row(f, row)?;
        }
        Ok(())
    }
}

fn write_heading(f: &mut fmt::Formatter<'_>, row: &ExperimentRow) -> fmt::Result {
    writeln!(f, "\n### {}: {}\n", row.deployment, row.situation)?;
    write!(f, "| policy | responses within target/s | cost per 1000 | busy cost per 1000 ")?;
    for service in &row.report.services {
        write!(f, "| {} ({}) ", service.service, service.priority)?;
    }
    writeln!(f, "| recomputed tokens | redispatched calls | refused or failed |")?;
    let columns = 7 + row.report.services.len();
    writeln!(f, "|{}", " --- |".repeat(columns))
}

fn write_row(f: &mut fmt::Formatter<'_>, row: &ExperimentRow) -> fmt::Result {
    let report = &row.report;
    let name = row.capacity.map_or_else(|| row.policy.to_string(), |kind| kind.to_string());
    write!(
        f,
        "| {} | {:.1} | {:.3} | {} ",
        name,
        report.goodput_per_second,
        report.cost_per_thousand,
        report
            .busy_cost_per_thousand
            .map_or_else(|| "unknown".to_owned(), |cost| format!("{cost:.3}"))
    )?;
    for service in &report.services {
        write!(f, "| {:.1}%, {} ms ", service.within_percent, service.first_p95_ms)?;
    }
    let ends: Vec<String> =
        report.other_ends.iter().map(|(reason, count)| format!("{reason} {count}")).collect();
    let ends = if ends.is_empty() { "none".to_owned() } else { ends.join(", ") };
    writeln!(f, "| {} | {} | {ends} |", report.recomputed_tokens, report.moved)
}
