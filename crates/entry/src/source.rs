//! Polled sources of zone views, for development and tests, and the thread that polls them.

use std::error;
use std::fmt;
use std::fs;
use std::path;
use std::sync;
use std::thread;

use async_std::task;
use async_trait::async_trait;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_control::sink;
use samphiremoor_httpio::server;
use samphiremoor_view::zone;

/// Interval between two polls.
const POLL_INTERVAL: time::Millis = time::Millis::new(50);

/// Identity of the view that the daemon already has.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KnownView {
    /// Incarnation of the control thread that created the view.
    pub incarnation: quantity::Incarnation,
    /// Serial number of the view.
    pub serial: u64,
}

impl KnownView {
    /// Returns the identity of a view.
    fn of(view: &zone::ZoneView) -> Self {
        KnownView { incarnation: view.incarnation, serial: view.serial }
    }
}

/// Error for a view file that can't be read or parsed.
#[derive(Debug)]
pub struct SourceError {
    file: path::PathBuf,
    cause: String,
}

impl fmt::Display for SourceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: failed to read the view ({}); write a view as JSON",
            self.file.display(),
            self.cause
        )
    }
}

impl error::Error for SourceError {}

/// A source of zone views.
#[async_trait]
pub trait ViewSource: Send + Sync {
    /// Returns the current view, or `None` if it is the view that the caller already has.
    async fn poll(&self, known_view: KnownView) -> Result<Option<zone::ZoneView>, SourceError>;
}

/// Reads the view from a JSON file.
#[derive(Debug)]
pub struct FileSource {
    file: path::PathBuf,
}

impl FileSource {
    /// Creates a source that reads the file at each poll.
    pub fn new(file: path::PathBuf) -> Self {
        FileSource { file }
    }
}

#[async_trait]
impl ViewSource for FileSource {
    async fn poll(&self, known_view: KnownView) -> Result<Option<zone::ZoneView>, SourceError> {
        let source_error = |cause: String| SourceError { file: self.file.clone(), cause };
        let text = fs::read(&self.file).map_err(|cause| source_error(cause.to_string()))?;
        let view: zone::ZoneView =
            serde_json::from_slice(&text).map_err(|cause| source_error(cause.to_string()))?;
        Ok((KnownView::of(&view) != known_view).then_some(view))
    }
}

/// Starts the thread that polls views in place of the control thread, until `shutdown` is
/// triggered.
///
/// # Errors
///
/// Returns an error if the thread can't be spawned.
pub fn start(
    source: Box<dyn ViewSource>,
    sink: sync::Arc<dyn sink::ViewSink>,
    shutdown: server::StopSignal,
) -> std::io::Result<thread::JoinHandle<()>> {
    thread::Builder::new().name("view-source".to_owned()).spawn(move || {
        let mut known_view = KnownView::default();
        while !shutdown.is_triggered() {
            match task::block_on(source.poll(known_view)) {
                Ok(Some(view)) => {
                    known_view = KnownView::of(&view);
                    sink.publish(sync::Arc::new(view));
                }
                Ok(None) => {}
                Err(cause) => log::warn!("{cause}"),
            }
            sink.expire_requests();
            thread::sleep(POLL_INTERVAL.to_duration());
        }
    })
}
