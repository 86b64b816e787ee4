//! Compares the reports of two runs.

use std::error;
use std::fmt;
use std::fs;
use std::io;
use std::path;

use crate::live::run;

/// Reports of two runs with the same workload.
#[derive(Clone, Debug)]
pub struct RunComparison {
    /// Report of the earlier run.
    pub before: run::LiveReport,
    /// Report of the later run.
    pub after: run::LiveReport,
}

/// Reason why two reports can't be compared.
#[derive(Debug)]
pub enum CompareError {
    /// A report file can't be read.
    Unreadable(path::PathBuf, io::Error),
    /// A file is not a report.
    Malformed(path::PathBuf, serde_json::Error),
    /// The runs had different workloads.
    WorkloadMismatch,
}

impl fmt::Display for CompareError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CompareError::Unreadable(file, cause) => {
                write!(f, "{}: can't be read ({cause}); pass a report file", file.display())
            }
            CompareError::Malformed(file, cause) => {
                write!(f, "{}: {cause}; pass a report written by `run --json`", file.display())
            }
            CompareError::WorkloadMismatch => f.write_str(
                "the runs differ in deployment, rate factor or seed; use the same values for both",
            ),
        }
    }
}

impl error::Error for CompareError {}

/// Reads two reports.
///
/// # Errors
///
/// Returns an error if a file is not a report or if the workloads differ.
pub fn read(before: &path::Path, after: &path::Path) -> Result<RunComparison, CompareError> {
    let (before, after) = (read_report(before)?, read_report(after)?);
    let is_same_workload = before.deployment == after.deployment
        && before.seed == after.seed
        && before.rate_factor == after.rate_factor;
    if !is_same_workload {
        return Err(CompareError::WorkloadMismatch);
    }
    Ok(RunComparison { before, after })
}

fn read_report(file: &path::Path) -> Result<run::LiveReport, CompareError> {
    let text = fs::read_to_string(file)
        .map_err(|cause| CompareError::Unreadable(file.to_owned(), cause))?;
    serde_json::from_str(&text).map_err(|cause| CompareError::Malformed(file.to_owned(), cause))
}

impl fmt::Display for RunComparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (before, after) = (&self.before.run, &self.after.run);
        let mut write_metric = |name: &str, before: f64, after: f64| {
            let change = if before == 0.0 { 0.0 } else { (after / before - 1.0) * 100.0 };
            writeln!(f, "{name}: {before:.3} {after:.3} ({change:+.1}%)")
        };
        write_metric(
            "responses within target per second",
            before.goodput_per_second,
            after.goodput_per_second,
        )?;
        write_metric(
            "cost per 1000 responses within target",
            before.cost_per_thousand,
            after.cost_per_thousand,
        )?;
        write_metric(
            "recomputed tokens",
            before.recomputed_tokens as f64,
            after.recomputed_tokens as f64,
        )?;
        write_metric("refusals", before.refusals as f64, after.refusals as f64)?;
        for (before_service, after_service) in before.services.iter().zip(&after.services) {
            let name = format!("{} within target, percent", before_service.service);
            write_metric(&name, before_service.within_percent, after_service.within_percent)?;
            let name = format!("{} time to first token p95, ms", before_service.service);
            write_metric(
                &name,
                before_service.first_p95_ms as f64,
                after_service.first_p95_ms as f64,
            )?;
        }
        Ok(())
    }
}
