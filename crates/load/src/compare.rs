//! Two reports side by side.

use std::error;
use std::fmt;
use std::fs;
use std::io;
use std::path;

use crate::live::run;

/// Two runs of the same deployment.
#[derive(Clone, Debug)]
pub struct RunComparison {
    /// The earlier run.
    pub before: run::LiveReport,
    /// The later run.
    pub after: run::LiveReport,
}

/// Why reports can't be compared.
#[derive(Debug)]
pub enum CompareError {
    /// A report can't be read.
    Unreadable(path::PathBuf, io::Error),
    /// A file is no report.
    Malformed(path::PathBuf, serde_json::Error),
    /// The runs had other callers.
    OtherWorkload,
}

impl fmt::Display for CompareError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CompareError::Unreadable(file, cause) => {
                write!(f, "{}: can't be read ({cause}); name a report", file.display())
            }
            CompareError::Malformed(file, cause) => {
                write!(f, "{}: {cause}; name a report of run --json", file.display())
            }
            CompareError::OtherWorkload => f.write_str(
                "the runs differ in deployment, rate or seed; run both with the same ones",
            ),
        }
    }
}

impl error::Error for CompareError {}

/// Reads two reports.
///
/// # Errors
///
/// Refuses files that are no reports, and reports of different workloads.
pub fn read(before: &path::Path, after: &path::Path) -> Result<RunComparison, CompareError> {
    let (before, after) = (read_report(before)?, read_report(after)?);
    let is_same = before.deployment == after.deployment
        && before.seed == after.seed
        && before.rate_factor == after.rate_factor;
    if !is_same {
        return Err(CompareError::OtherWorkload);
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
        let mut line = |name: &str, before: f64, after: f64| {
            let change = if before == 0.0 { 0.0 } else { (after / before - 1.0) * 100.0 };
            writeln!(f, "{name}: {before:.3} {after:.3} ({change:+.1}%)")
        };
        line("answers in target a second", before.goodput_per_second, after.goodput_per_second)?;
        line("cost per 1000", before.cost_per_thousand, after.cost_per_thousand)?;
        line("recomputed tokens", before.recomputed_tokens as f64, after.recomputed_tokens as f64)?;
        line("refusals", before.refusals as f64, after.refusals as f64)?;
        for (left, right) in before.services.iter().zip(&after.services) {
            let name = format!("{} in target, percent", left.service);
            line(&name, left.within_percent, right.within_percent)?;
            let name = format!("{} first p95, ms", left.service);
            line(&name, left.first_p95_ms as f64, right.first_p95_ms as f64)?;
        }
        Ok(())
    }
}
