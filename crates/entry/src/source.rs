//! Where the view comes from, and the thread that pulls it.

use std::error;
use std::fmt;
use std::fs;
use std::path;
use std::sync;
use std::thread;

use async_std::task;
use async_trait::async_trait;
use samphiremoor_base::quantity;
use samphiremoor_peers::link;
use samphiremoor_view::delta;
use samphiremoor_view::message;
use samphiremoor_view::zone;

/// The view that is known already.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KnownView {
    /// Life of the control daemon that made it.
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

/// Why no view came.
#[derive(Debug)]
pub enum SourceError {
    /// The control daemon does not answer.
    Link(link::LinkError),
    /// The control daemon told a change that does not hold on the known view.
    Delta(delta::DeltaError),
    /// The view file can't be read as a view.
    File(path::PathBuf, String),
}

impl fmt::Display for SourceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SourceError::Link(cause) => write!(f, "no view from the control daemon: {cause}"),
            SourceError::Delta(cause) => write!(f, "no view from the control daemon: {cause}"),
            SourceError::File(file, cause) => {
                write!(f, "{}: no view ({cause}); write a view as JSON", file.display())
            }
        }
    }
}

impl error::Error for SourceError {}

/// Gives views.
#[async_trait]
pub trait ViewSource: Send + Sync {
    /// The view, where it is not the known one.
    async fn pull(&self, known: KnownView) -> Result<Option<zone::ZoneView>, SourceError>;
}

/// Asks the control daemon of this VM for what changed since the last view.
///
/// After a failure it asks for the whole view: a control daemon of an older version knows no
/// changes and does not answer the question for them.
#[derive(Debug)]
pub struct ControlSource {
    link: link::PeerLink,
    base: sync::Mutex<Option<zone::ZoneView>>,
}

impl ControlSource {
    /// A source over a link.
    pub fn new(link: link::PeerLink) -> Self {
        ControlSource { link, base: sync::Mutex::default() }
    }

    async fn ask(
        &self,
        known: KnownView,
        base: Option<zone::ZoneView>,
    ) -> Result<PulledView, SourceError> {
        let KnownView { incarnation, serial } = known;
        let question = match base {
            Some(_) => message::ViewQuestion::Since { incarnation, serial },
            None => message::ViewQuestion::View { incarnation, serial },
        };
        match self.link.call(&question).await.map_err(SourceError::Link)? {
            message::ViewAnswer::Changed(view) => Ok(PulledView::New(*view)),
            message::ViewAnswer::Same | message::ViewAnswer::NotReady => {
                Ok(PulledView::Known(base))
            }
            message::ViewAnswer::Delta(delta) => {
                let base = base.ok_or(SourceError::Delta(delta::DeltaError::WrongBase))?;
                delta.apply(base).map(PulledView::New).map_err(SourceError::Delta)
            }
        }
    }

    fn base(&self) -> sync::MutexGuard<'_, Option<zone::ZoneView>> {
        self.base.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

#[async_trait]
impl ViewSource for ControlSource {
    async fn pull(&self, known: KnownView) -> Result<Option<zone::ZoneView>, SourceError> {
        // A failure leaves no base behind, so that the whole view is asked for next.
        let base = self.base().take().filter(|base| KnownView::of(base) == known);
        match self.ask(known, base).await? {
            PulledView::New(view) => {
                *self.base() = Some(view.clone());
                Ok(Some(view))
            }
            PulledView::Known(base) => {
                *self.base() = base;
                Ok(None)
            }
        }
    }
}

/// What came of a question.
enum PulledView {
    /// A newer view.
    New(zone::ZoneView),
    /// Nothing newer than the base, where there is one.
    Known(Option<zone::ZoneView>),
}

/// Reads a file, for development and tests.
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
        let fail = |cause: String| SourceError::File(self.file.clone(), cause);
        let text = fs::read(&self.file).map_err(|cause| fail(cause.to_string()))?;
        let view: zone::ZoneView =
            serde_json::from_slice(&text).map_err(|cause| fail(cause.to_string()))?;
        Ok((KnownView::of(&view) != known).then_some(view))
    }
}

/// What the pulling thread tells its owner.
pub trait ViewSink: Send + Sync {
    /// A newer view came.
    fn changed(&self, view: zone::ZoneView);

    /// The source answered.
    fn answered(&self);

    /// The source failed.
    fn failed(&self, cause: &SourceError);

    /// Whether the thread is to end.
    fn is_ended(&self) -> bool;
}

/// Starts the thread that owns the control state: it pulls the view and publishes it.
///
/// # Errors
///
/// Fails where the system starts no thread.
pub fn start(
    source: Box<dyn ViewSource>,
    sink: sync::Arc<dyn ViewSink>,
    interval: std::time::Duration,
) -> std::io::Result<thread::JoinHandle<()>> {
    thread::Builder::new().name("control-state".to_owned()).spawn(move || {
        let mut known = KnownView::default();
        while !sink.is_ended() {
            match task::block_on(source.pull(known)) {
                Ok(Some(view)) => {
                    known = KnownView::of(&view);
                    sink.answered();
                    sink.changed(view);
                }
                Ok(None) => sink.answered(),
                Err(cause) => sink.failed(&cause),
            }
            thread::sleep(interval);
        }
    })
}
