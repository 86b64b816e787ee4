//! Starts the logger of a program.

use std::io;
use std::io::Write as _;
use std::sync::atomic;
use std::sync::mpsc;
use std::thread;
use std::time;

/// Lines that wait for the output at most; further ones are dropped and counted.
const WAITING_LINES: usize = 8_192;
/// Lines are gathered for this long, so that the output is written seldom.
const GATHER_TIME: time::Duration = time::Duration::from_millis(100);

/// Lines that were dropped since the output did not take them.
static DROPPED_LINES: atomic::AtomicU64 = atomic::AtomicU64::new(0);

/// Logs to standard error, a line each: time, level, program, event and fields.
///
/// The level comes from `filter`, or from the environment variable `RUST_LOG` where it is set.
pub fn start(program: &'static str, filter: &str) {
    let env = env_logger::Env::default().default_filter_or(filter);
    env_logger::Builder::from_env(env)
        .format(move |out, record| {
            let time = out.timestamp_millis();
            writeln!(out, "{time} {} {program} {}", record.level(), record.args())
        })
        .init();
}

/// Logs to standard output as [`start`] does to standard error, without ever waiting for the output.
///
/// # Errors
///
/// Fails where no thread can be started.
pub fn start_nonblocking(program: &'static str, filter: &str) -> io::Result<()> {
    let (sender, receiver) = mpsc::sync_channel(WAITING_LINES);
    thread::Builder::new().name("log".to_owned()).spawn(move || write_lines(&receiver))?;
    let env = env_logger::Env::default().default_filter_or(filter);
    env_logger::Builder::from_env(env)
        .target(env_logger::Target::Pipe(Box::new(LineSender(sender))))
        .format(move |out, record| {
            let time = out.timestamp_millis();
            writeln!(out, "{time} {} {program} {}", record.level(), record.args())
        })
        .init();
    Ok(())
}

/// Waits until the lines that were logged so far had time to be written.
pub fn flush() {
    thread::sleep(GATHER_TIME * 2);
}

/// Hands lines to the thread that writes them.
struct LineSender(mpsc::SyncSender<Vec<u8>>);

impl io::Write for LineSender {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.0.try_send(bytes.to_vec()).is_err() {
            DROPPED_LINES.fetch_add(1, atomic::Ordering::Relaxed);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(receiver: &mpsc::Receiver<Vec<u8>>) {
    while let Ok(mut lines) = receiver.recv() {
        thread::sleep(GATHER_TIME);
        while let Ok(line) = receiver.try_recv() {
            lines.extend_from_slice(&line);
        }
        let dropped = DROPPED_LINES.swap(0, atomic::Ordering::Relaxed);
        if dropped > 0 {
            lines.extend_from_slice(format!("log lines dropped: {dropped}\n").as_bytes());
        }
        // Nobody reads the output: there is nowhere left to say so.
        let _ = io::stdout().write_all(&lines);
    }
}
