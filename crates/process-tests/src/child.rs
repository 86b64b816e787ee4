//! Programs as child processes.

use std::env;
use std::fs;
use std::net;
use std::path;
use std::process;
use std::time::Duration;

use rustix::process as signals;

use crate::wait;

/// Running program; the process is killed when the value is dropped.
#[derive(Debug)]
pub struct DaemonProcess {
    /// Name in messages and file names.
    pub name: String,
    child: process::Child,
    log: path::PathBuf,
}

impl DaemonProcess {
    /// Starts a program with the settings text. Settings and log are written to `directory`.
    ///
    /// # Panics
    ///
    /// Panics if the program can't be started.
    pub fn start(program: &str, name: &str, settings: &str, directory: &path::Path) -> Self {
        let file = directory.join(format!("{name}.toml"));
        fs::write(&file, settings).expect("the test's directory is writable");
        let log = directory.join(format!("{name}.log"));
        let stderr = fs::File::options()
            .create(true)
            .append(true)
            .open(&log)
            .expect("the log file can be created");
        let stdout = stderr.try_clone().expect("the log file can be duplicated");
        let child = process::Command::new(program_path(program))
            .arg("--settings")
            .arg(&file)
            .stdin(process::Stdio::null())
            .stdout(stdout)
            .stderr(stderr)
            .spawn()
            .unwrap_or_else(|cause| {
                panic!("can't start {program}: {cause}; run cargo build --workspace --bins")
            });
        DaemonProcess { name: name.to_owned(), child, log }
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process with SIGKILL, like a reclaim without notice.
    pub fn kill(&mut self) {
        // Fails only if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Suspends the process with SIGSTOP, like the pause of a VM.
    pub fn pause(&self) {
        self.signal(signals::Signal::STOP);
    }

    /// Resumes a suspended process.
    pub fn resume(&self) {
        self.signal(signals::Signal::CONT);
    }

    /// Asks the process to stop with SIGTERM.
    pub fn terminate(&self) {
        self.signal(signals::Signal::TERM);
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Waits for the end of the process. Returns whether its exit code is 0.
    pub fn wait_end(&mut self) -> bool {
        wait::until(&format!("{} ends", self.name), || self.has_ended());
        self.child.wait().is_ok_and(|status| status.success())
    }

    /// Returns the process's log so far.
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    fn signal(&self, signal: signals::Signal) {
        let pid = signals::Pid::from_child(&self.child);
        signals::kill_process(pid, signal).expect("the child has not been reaped");
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns whether a process listens at the address.
pub fn listens(address: net::SocketAddr) -> bool {
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
    net::TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).is_ok()
}

/// Returns the profile directory of the target directory, which contains this test and the
/// programs.
pub fn profile_directory() -> path::PathBuf {
    let test = env::current_exe().expect("the path of the test is known");
    let directory = test.parent().expect("the test is in a directory");
    match directory.file_name() {
        Some(name) if name == "deps" => {
            directory.parent().expect("deps is in the profile directory").to_owned()
        }
        _ => directory.to_owned(),
    }
}

fn program_path(program: &str) -> path::PathBuf {
    profile_directory().join(program)
}
