//! Logger of the programs.

use std::io;
use std::io::Write as _;
use std::sync::atomic;
use std::sync::mpsc;
use std::thread;
use std::time;

/// Maximum number of lines that wait to be written; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 8_192;
/// Interval at which lines are written in batches, to reduce the number of writes.
const FLUSH_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Number of lines that were dropped because the queue was full, since the last write.
static DROPPED_LINES: atomic::AtomicU64 = atomic::AtomicU64::new(0);

/// Initializes the logger, which writes to standard error.
///
/// A line contains the time, the level, the program, the event and its fields. The environment
/// variable `RUST_LOG` sets the level filter; if it is not set, `filter` does.
pub fn start(program: &'static str, filter: &str) {
    let env = env_logger::Env::default().default_filter_or(filter);
    env_logger::Builder::from_env(env)
        .format(move |out, record| {
            let time = out.timestamp_millis();
            writeln!(out, "{time} {} {program} {}", record.level(), record.args())
        })
        .init();
}

/// Initializes a logger that writes to standard output from its own thread.
///
/// The format of the lines and the filter are those of [`start`]. Logging never blocks: if the queue
/// of lines is full, further lines are dropped.
///
/// # Errors
///
/// Fails if the thread can't be started.
pub fn start_nonblocking(program: &'static str, filter: &str) -> io::Result<()> {
    let (sender, receiver) = mpsc::sync_channel(MAX_QUEUED_LINES);
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

/// Waits long enough for the lines that were logged so far to be written.
pub fn flush() {
    thread::sleep(FLUSH_INTERVAL * 2);
}

/// Sends lines to the thread that writes them.
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
        thread::sleep(FLUSH_INTERVAL);
        while let Ok(line) = receiver.try_recv() {
            lines.extend_from_slice(&line);
        }
        let dropped = DROPPED_LINES.swap(0, atomic::Ordering::Relaxed);
        if dropped > 0 {
            lines.extend_from_slice(format!("log lines dropped: {dropped}\n").as_bytes());
        }
        // A failed write can't be logged: standard output is the log.
        let _ = io::stdout().write_all(&lines);
    }
}
