//! Views that are pulled, for development and tests, and the thread that pulls them.

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

/// Time between two pulls.
const PULL_INTERVAL: time::Millis = time::Millis::new(50);

/// The view that is known already.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KnownView {
    /// Life of the control thread that made it.
    pub incarnation: quantity::Incarnation,
    /// Its serial.
    pub serial: u64,
}

impl KnownView {
    /// The name of a view.
    fn of(view: &zone::ZoneView) -> Self {
        KnownView { incarnation: view.incarnation, serial: view.serial }
    }
}

/// The view file can't be read as a view.
#[derive(Debug)]
pub struct SourceError {
    file: path::PathBuf,
    cause: String,
}

impl fmt::Display for SourceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: no view ({}); write a view as JSON", self.file.display(), self.cause)
    }
}

impl error::Error for SourceError {}

/// Gives views.
#[async_trait]
pub trait ViewSource: Send + Sync {
    /// The view, where it is not the known one.
    async fn pull(&self, known: KnownView) -> Result<Option<zone::ZoneView>, SourceError>;
}

/// Reads a file.
#[derive(Debug)]
pub struct FileSource {
    file: path::PathBuf,
}

impl FileSource {
    /// A source that reads the file at each pull.
    pub fn new(file: path::PathBuf) -> Self {
        FileSource { file }
    }
}

#[async_trait]
impl ViewSource for FileSource {
    async fn pull(&self, known: KnownView) -> Result<Option<zone::ZoneView>, SourceError> {
        let fail = |cause: String| SourceError { file: self.file.clone(), cause };
        let text = fs::read(&self.file).map_err(|cause| fail(cause.to_string()))?;
        let view: zone::ZoneView =
            serde_json::from_slice(&text).map_err(|cause| fail(cause.to_string()))?;
        Ok((KnownView::of(&view) != known).then_some(view))
    }
}

/// Starts the thread that pulls views in the control thread's place, until `ending` is given.
///
/// # Errors
///
/// Fails where the system starts no thread.
pub fn start(
    source: Box<dyn ViewSource>,
    sink: sync::Arc<dyn sink::ViewSink>,
    ending: server::StopSignal,
) -> std::io::Result<thread::JoinHandle<()>> {
    thread::Builder::new().name("view-source".to_owned()).spawn(move || {
        let mut known = KnownView::default();
        while !ending.is_triggered() {
            match task::block_on(source.pull(known)) {
                Ok(Some(view)) => {
                    known = KnownView::of(&view);
                    sink.publish(sync::Arc::new(view));
                }
                Ok(None) => {}
                Err(cause) => log::warn!("{cause}"),
            }
            sink.expire_requests();
            thread::sleep(PULL_INTERVAL.to_duration());
        }
    })
}
