//! Receiver of the views that the control thread publishes.

use std::sync;

use arc_swap::ArcSwapOption;
use samphiremoor_view::zone;

/// Receives views. The daemon serves by a view once `publish` has returned.
pub trait ViewSink: Send + Sync {
    /// Replaces the view that the daemon serves by.
    fn publish(&self, view: sync::Arc<zone::ZoneView>);

    /// Ends requests and drops results whose time limit has passed. The control thread calls it
    /// several times a second.
    fn expire_requests(&self);
}

/// A sink that only stores the latest view.
#[derive(Debug, Default)]
pub struct LatestView {
    latest: ArcSwapOption<zone::ZoneView>,
}

impl LatestView {
    /// Returns the latest view.
    pub fn latest(&self) -> Option<sync::Arc<zone::ZoneView>> {
        self.latest.load_full()
    }
}

impl ViewSink for LatestView {
    fn publish(&self, view: sync::Arc<zone::ZoneView>) {
        self.latest.store(Some(view));
    }

    fn expire_requests(&self) {}
}
