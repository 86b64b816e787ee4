//! Choice of the daemons that a document is read from, and of the reads that a daemon serves.
//!
//! Each daemon that has a revision serves it to a few others at a time and turns away further ones,
//! which by then find more daemons that have it. So the time to reach all daemons grows with the
//! logarithm of their number, and no daemon sends the document to all.

use std::cell;
use std::collections;
use std::net;
use std::ops;
use std::rc;

use samphiremoor_base::quantity;
use samphiremoor_base::time;
use smallvec::SmallVec;

use crate::document;

/// Number of reads that a daemon serves at once.
const MAX_UPLOADS: u32 = 2;
/// Number of daemons that may begin to read from one daemon within [`READER_WINDOW`], whatever the
/// rate of its link.
const MAX_NEW_READERS: usize = 4;
/// Time in which new readers are counted.
const READER_WINDOW: time::Millis = time::Millis::new(1_000);
/// Shortest and longest pause before a daemon that serves enough others is asked again.
const BUSY_PAUSES: (time::Millis, time::Millis) = (time::Millis::new(40), time::Millis::new(120));
/// Pause before a daemon is asked again that did not serve a read.
const FAILURE_PAUSE: time::Millis = time::Millis::new(1_000);
/// Time for which a revision is expected from the daemons of the own group before it is read from
/// another one.
const LOCAL_TIME: time::Millis = time::Millis::new(400);
/// Time without progress after which the document is read from the table as well.
const MAX_STALL: time::Millis = time::Millis::new(700);
/// Largest document, in bytes.
pub const MAX_DOCUMENT_BYTES: u64 = 16 * 1024 * 1024;

/// Bounds the reads that a daemon serves.
#[derive(Clone, Debug, Default)]
pub struct UploadLimit {
    uploads: rc::Rc<cell::Cell<u32>>,
    /// When the last readers began.
    started_at: SmallVec<[time::MonotonicTime; MAX_NEW_READERS]>,
}

/// A read that is being served; ends when dropped.
#[derive(Debug)]
pub struct UploadSlot {
    uploads: rc::Rc<cell::Cell<u32>>,
}

impl UploadLimit {
    /// Takes a slot for a daemon that begins to read, or returns `None` if too many do.
    pub fn admit_reader(&mut self, now: time::MonotonicTime) -> Option<UploadSlot> {
        self.started_at.retain(|started_at| now.since(*started_at) < READER_WINDOW);
        if self.started_at.len() >= MAX_NEW_READERS {
            return None;
        }
        let slot = self.take()?;
        self.started_at.push(now);
        Some(slot)
    }

    /// Takes a slot for a daemon that goes on to read, or returns `None` if none is free.
    pub fn take(&self) -> Option<UploadSlot> {
        let uploads = self.uploads.get();
        if uploads >= MAX_UPLOADS {
            return None;
        }
        self.uploads.set(uploads + 1);
        Some(UploadSlot { uploads: self.uploads.clone() })
    }
}

impl Drop for UploadSlot {
    fn drop(&mut self) {
        self.uploads.set(self.uploads.get().saturating_sub(1));
    }
}

/// A daemon that has a newer revision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DocumentHolder {
    /// Address at which the daemon serves documents.
    pub address: net::SocketAddr,
    /// Whether the daemon belongs to another group, which has a reader of its own.
    pub is_remote: bool,
}

/// Next step of reading a document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FetchStep {
    /// No daemon can be asked now; look again after this time.
    Wait(time::Millis),
    /// Read the list of parts from this daemon.
    ReadManifest(net::SocketAddr),
    /// Read parts of a revision from this daemon.
    ReadParts(net::SocketAddr, quantity::RevisionNumber, document::PartRanges),
    /// Read the whole document from this daemon, which is of an earlier release.
    ReadWhole(net::SocketAddr),
    /// The document is complete.
    Finished(Vec<u8>),
}

/// Outcome of a step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FetchOutcome {
    /// The daemon served these bytes.
    Served(Vec<u8>),
    /// The daemon serves enough others.
    Busy,
    /// The daemon does not serve parts of documents, or not of this revision.
    Unsupported,
    /// The daemon did not respond.
    Failed,
}

/// State of a daemon as a source.
#[derive(Clone, Copy, Debug, Default)]
struct SourceState {
    /// When the daemon may be asked again.
    retry_at: time::MonotonicTime,
    /// Whether the daemon serves whole documents only.
    is_whole_only: bool,
}

/// Reads a newer revision of a document from other daemons.
#[derive(Clone, Debug)]
pub struct DocumentFetch {
    store: document::PartStore,
    manifest: Option<document::DocumentManifest>,
    sources: collections::BTreeMap<net::SocketAddr, SourceState>,
    /// Daemon that served the last read.
    current: Option<net::SocketAddr>,
    started_at: time::MonotonicTime,
    progress_at: time::MonotonicTime,
}

impl DocumentFetch {
    /// Begins to read a revision that another daemon has announced.
    pub fn new(now: time::MonotonicTime) -> Self {
        DocumentFetch {
            store: document::PartStore::default(),
            manifest: None,
            sources: collections::BTreeMap::new(),
            current: None,
            started_at: now,
            progress_at: now,
        }
    }

    /// Adds the parts of the revision in force, which are not read again.
    pub fn add_known(&mut self, manifest: &document::DocumentManifest, text: &[u8]) {
        self.store.add_document(manifest, text);
    }

    /// Returns whether no daemon has served anything for so long that the document should be read
    /// from the table.
    pub fn is_stalled(&self, now: time::MonotonicTime) -> bool {
        now.since(self.progress_at) >= MAX_STALL
    }

    /// Returns the next step. `holders` are the daemons that have a newer revision than the one in
    /// force; `draw` is uniform in [0, 1).
    pub fn next_step(
        &mut self,
        holders: &[DocumentHolder],
        now: time::MonotonicTime,
        draw: f64,
    ) -> FetchStep {
        let ranges = self.manifest.as_ref().map(|manifest| self.store.missing(manifest));
        if let (Some(manifest), Some(ranges)) = (&self.manifest, &ranges)
            && ranges.is_empty()
            && let Some(text) = self.store.assemble(manifest)
        {
            return FetchStep::Finished(text);
        }
        let Some(source) = self.choose_source(holders, now, draw) else {
            let times = holders.iter().map(|holder| self.ready_at(holder).since(now));
            let wait = times.min().unwrap_or(BUSY_PAUSES.1);
            return FetchStep::Wait(wait.clamp(time::Millis::new(10), BUSY_PAUSES.1));
        };
        self.current = Some(source);
        let is_whole_only = self.sources.get(&source).is_some_and(|state| state.is_whole_only);
        match (&self.manifest, ranges) {
            _ if is_whole_only => FetchStep::ReadWhole(source),
            (Some(manifest), Some(ranges)) => {
                FetchStep::ReadParts(source, manifest.revision, ranges)
            }
            _ => FetchStep::ReadManifest(source),
        }
    }

    /// Applies the outcome of a step. Returns the document if it was read whole.
    pub fn on_outcome(
        &mut self,
        step: &FetchStep,
        outcome: FetchOutcome,
        now: time::MonotonicTime,
        draw: f64,
    ) -> Option<Vec<u8>> {
        let source = match step {
            FetchStep::ReadManifest(source)
            | FetchStep::ReadParts(source, _, _)
            | FetchStep::ReadWhole(source) => *source,
            FetchStep::Wait(_) | FetchStep::Finished(_) => return None,
        };
        let (shortest, longest) = BUSY_PAUSES;
        let span = longest.saturating_sub(shortest).get() as f64;
        let busy_until = now + shortest + time::Millis::new((span * draw) as u64);
        let state = self.sources.entry(source).or_default();
        let is_progress = match (outcome, step) {
            (FetchOutcome::Served(text), FetchStep::ReadWhole(_)) => return Some(text),
            (FetchOutcome::Served(bytes), FetchStep::ReadManifest(_)) => {
                self.manifest = document::DocumentManifest::decode(&bytes, MAX_DOCUMENT_BYTES).ok();
                self.manifest.is_some()
            }
            (FetchOutcome::Served(bytes), FetchStep::ReadParts(_, _, ranges)) => {
                self.add_parts(ranges, &bytes)
            }
            (FetchOutcome::Busy, _) => {
                state.retry_at = busy_until;
                self.current = None;
                return None;
            }
            (FetchOutcome::Unsupported, FetchStep::ReadManifest(_)) => {
                state.is_whole_only = true;
                return None;
            }
            (FetchOutcome::Unsupported, FetchStep::ReadParts(..)) => {
                // The daemon has another revision by now.
                self.manifest = None;
                return None;
            }
            _ => false,
        };
        match is_progress {
            true => self.progress_at = now,
            false => {
                self.sources.entry(source).or_default().retry_at = now + FAILURE_PAUSE;
                self.current = None;
            }
        }
        None
    }

    /// Adds parts and returns whether they were valid.
    fn add_parts(&mut self, ranges: &[ops::Range<usize>], bytes: &[u8]) -> bool {
        let Some(manifest) = &self.manifest else { return false };
        self.store.add_compressed(manifest, ranges, bytes).is_ok()
    }

    /// Returns when a daemon may be asked.
    fn ready_at(&self, holder: &DocumentHolder) -> time::MonotonicTime {
        let retry_at =
            self.sources.get(&holder.address).map(|state| state.retry_at).unwrap_or_default();
        match holder.is_remote {
            true => retry_at.max(self.started_at + LOCAL_TIME),
            false => retry_at,
        }
    }

    /// Returns the daemon to ask: the one that served the last read, or a random one, in this
    /// group if possible.
    fn choose_source(
        &self,
        holders: &[DocumentHolder],
        now: time::MonotonicTime,
        draw: f64,
    ) -> Option<net::SocketAddr> {
        let ready = holders.iter().filter(|holder| self.ready_at(holder) <= now);
        let ready_holders: Vec<_> = ready.collect();
        if let Some(current) = self.current
            && ready_holders.iter().any(|holder| holder.address == current)
        {
            return Some(current);
        }
        let is_local = |holder: &&&DocumentHolder| !holder.is_remote;
        let local_holders: Vec<_> =
            ready_holders.iter().copied().filter(|h| is_local(&h)).collect();
        let candidates = if local_holders.is_empty() { &ready_holders } else { &local_holders };
        let index = (draw * candidates.len() as f64) as usize;
        candidates.get(index.min(candidates.len().saturating_sub(1))).map(|holder| holder.address)
    }
}
