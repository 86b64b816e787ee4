//! Where the control thread's views go.

use std::sync;

use arc_swap::ArcSwapOption;
use samphiremoor_view::zone;

/// Takes views. The daemon serves by a view once `publish` has returned.
pub trait ViewSink: Send + Sync {
    /// Takes a newer view.
    fn publish(&self, view: sync::Arc<zone::ZoneView>);

    /// Ends what limits of time end; called several times a second.
    fn expire_requests(&self);
}

/// Keeps the last view, where nobody serves by it.
#[derive(Debug, Default)]
pub struct LatestView {
    shown: ArcSwapOption<zone::ZoneView>,
}

impl LatestView {
    /// The last view.
    pub fn shown(&self) -> Option<sync::Arc<zone::ZoneView>> {
        self.shown.load_full()
    }
}

impl ViewSink for LatestView {
    fn publish(&self, view: sync::Arc<zone::ZoneView>) {
        self.shown.store(Some(view));
    }

    fn expire_requests(&self) {}
}
