//! One program as a child process.

use std::env;
use std::fs;
use std::net;
use std::path;
use std::process;
use std::time::Duration;

use rustix::process as signals;

use crate::wait;

/// A running program; it is killed when the value is dropped.
#[derive(Debug)]
pub struct DaemonProcess {
    /// Name for messages and files.
    pub name: String,
    child: process::Child,
    log: path::PathBuf,
}

impl DaemonProcess {
    /// Starts a program with a settings text; its files go to `directory`.
    ///
    /// # Panics
    ///
    /// Panics where the program can't be started.
    pub fn start(program: &str, name: &str, settings: &str, directory: &path::Path) -> Self {
        let file = directory.join(format!("{name}.toml"));
        fs::write(&file, settings).expect("the test's directory takes files");
        let log = directory.join(format!("{name}.log"));
        let output =
            fs::File::options().create(true).append(true).open(&log).expect("the log can be made");
        let lines = output.try_clone().expect("the log can be shared");
        let child = process::Command::new(program_path(program))
            .arg("--settings")
            .arg(&file)
            .stdin(process::Stdio::null())
            .stdout(lines)
            .stderr(output)
            .spawn()
            .unwrap_or_else(|cause| {
                panic!("{program} can't be started ({cause}); run cargo build --workspace --bins")
            });
        DaemonProcess { name: name.to_owned(), child, log }
    }

    /// The process's number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process at once, as a reclaim without notice does.
    pub fn kill(&mut self) {
        // A process that has ended already is as good as killed.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Stops the process without its knowledge, as a paused VM is.
    pub fn pause(&self) {
        self.signal(signals::Signal::STOP);
    }

    /// Lets a paused process go on.
    pub fn resume(&self) {
        self.signal(signals::Signal::CONT);
    }

    /// Asks the process to stop.
    pub fn terminate(&self) {
        self.signal(signals::Signal::TERM);
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Waits for the end of the process and returns whether it was a success.
    pub fn wait_end(&mut self) -> bool {
        wait::until(&format!("{} ends", self.name), || self.has_ended());
        self.child.wait().is_ok_and(|status| status.success())
    }

    /// What the process has logged.
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    fn signal(&self, signal: signals::Signal) {
        let pid = signals::Pid::from_child(&self.child);
        signals::kill_process(pid, signal).expect("the child was not waited for yet");
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Whether something listens at the address.
pub fn listens(address: net::SocketAddr) -> bool {
    const CONNECT_LIMIT: Duration = Duration::from_millis(500);
    net::TcpStream::connect_timeout(&address, CONNECT_LIMIT).is_ok()
}

/// The target directory's profile, which holds this test and the programs.
pub fn profile_directory() -> path::PathBuf {
    let test = env::current_exe().expect("the test's own path is known");
    let directory = test.parent().expect("the test lies in a directory");
    match directory.file_name() {
        Some(name) if name == "deps" => {
            directory.parent().expect("deps lies in the profile's directory").to_owned()
        }
        _ => directory.to_owned(),
    }
}

fn program_path(program: &str) -> path::PathBuf {
    profile_directory().join(program)
}
