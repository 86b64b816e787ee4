//! Messages between the entry daemon and the control daemon of one VM.

use samphiremoor_base::quantity;
use serde::Deserialize;
use serde::Serialize;

use crate::delta;
use crate::zone;

/// What an entry daemon asks its control daemon.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum ViewQuestion {
    /// The whole view, if it is not the one named.
    View {
        /// Life of the control daemon that made the known view.
        incarnation: quantity::Incarnation,
        /// Serial of the known view.
        serial: u64,
    },
    /// What changed since the view named, or the whole view where that is not known any more.
    Since {
        /// Life of the control daemon that made the known view.
        incarnation: quantity::Incarnation,
        /// Serial of the known view.
        serial: u64,
    },
}

/// What the control daemon answers.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum ViewAnswer {
    /// The known view is the present one.
    Same,
    /// A newer view.
    Changed(Box<zone::ZoneView>),
    /// No revision is known yet.
    NotReady,
    /// What changed since the known view.
    Delta(Box<delta::ViewDelta>),
}
