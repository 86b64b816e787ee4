//! VMs of a running cluster.

use samphiremoor_view::zone;

use crate::child;
use crate::plan;

/// VM that runs an entry daemon.
#[derive(Debug)]
pub struct EntryVm {
    /// Name and addresses of the VM.
    pub spec: plan::EntrySpec,
    /// Process of the entry daemon.
    pub entry: child::DaemonProcess,
    /// State that the view file reports.
    pub state: zone::UpstreamState,
}

/// VM that runs an upstream.
#[derive(Debug)]
pub struct UpstreamVm {
    /// Name and address of the VM.
    pub spec: plan::UpstreamSpec,
    /// Process of the upstream.
    pub process: child::DaemonProcess,
    /// State that the view file reports.
    pub state: zone::UpstreamState,
}
