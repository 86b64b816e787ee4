//! Operator commands of the demonstration, which run `samphiremoorctl`.

use std::fs;
use std::path;
use std::process;

use samphiremoor_process_tests::child;

use crate::settings;
use crate::system;

/// Applies the record files of both deployments, in one change for each deployment.
pub(crate) fn apply_records(system: &system::DemoSystem) -> Result<(), String> {
    for spec in settings::ZONES {
        let files = record_files(spec.deployment)?;
        let mut args = vec!["apply".to_owned()];
        args.extend(files.iter().map(|file| file.display().to_string()));
        println!("\n$ samphiremoorctl apply deploy/{}/records/*.toml", spec.deployment);
        run_ctl(system, &args)?;
    }
    Ok(())
}

/// Prints the status of the system.
pub(crate) fn print_status(system: &system::DemoSystem) -> Result<(), String> {
    println!("\n$ samphiremoorctl status");
    run_ctl(system, &["status".to_owned()])
}

fn record_files(deployment: &str) -> Result<Vec<path::PathBuf>, String> {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    let directory = root.join(deployment).join("records");
    let entries = fs::read_dir(&directory)
        .map_err(|cause| format!("{}: can't be read ({cause})", directory.display()))?;
    let mut files: Vec<_> = entries.filter_map(|entry| Some(entry.ok()?.path())).collect();
    files.sort();
    Ok(files)
}

fn run_ctl(system: &system::DemoSystem, args: &[String]) -> Result<(), String> {
    let status = process::Command::new(child::profile_directory().join("samphiremoorctl"))
        .arg("--settings")
        .arg(system.directory.join("samphiremoorctl.toml"))
        .args(args)
        .stdin(process::Stdio::null())
        .status()
        .map_err(|cause| format!("samphiremoorctl can't be started ({cause})"))?;
    match status.success() {
        true => Ok(()),
        false => Err(format!("samphiremoorctl ended with {status}; see its message above")),
    }
}
