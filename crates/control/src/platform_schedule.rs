//! Decides when the VM list, the reclaim notices and the drain marks are read.

use samphiremoor_base::time;
use samphiremoor_head::follow;
use samphiremoor_platform::cloud;

use crate::action;

/// Time between two reads of the VM list, the reclaim notices and the drain marks by a reader of
/// the zone.
const READER_INTERVAL: time::Millis = time::Millis::new(1_000);

/// Time between two reads by a daemon that is not a reader.
const NON_READER_INTERVAL: time::Millis = time::Millis::new(30_000);

/// Minimum time between two reads of the VM list per VM in the last list, so that long lists are
/// read less often.
const LIST_INTERVAL_PER_VM: time::Millis = time::Millis::new(20);

/// Schedule of the platform reads other than the head row.
#[derive(Debug)]
pub(crate) struct PlatformSchedule {
    next_list_read_at: time::MonotonicTime,
    next_notice_read_at: time::MonotonicTime,
    /// Highest serial number of the notices that were read.
    last_notice_serial: u64,
    /// Number of VMs in the last list that was read.
    vm_count: usize,
}

impl PlatformSchedule {
    /// Creates a schedule in which every read is due.
    pub(crate) fn new(now: time::MonotonicTime) -> Self {
        PlatformSchedule {
            next_list_read_at: now,
            next_notice_read_at: now,
            last_notice_serial: 0,
            vm_count: 0,
        }
    }

    /// Records the number of VMs in a list that was read.
    pub(crate) fn record_list(&mut self, vm_count: usize) {
        self.vm_count = vm_count;
    }

    /// Records a notice that was read, so that it is not requested again.
    pub(crate) fn record_notice(&mut self, notice: &cloud::ReclaimNotice) {
        self.last_notice_serial = self.last_notice_serial.max(notice.serial);
    }

    /// Makes the next reads of the notices and the drain marks due.
    pub(crate) fn request_notices(&mut self, now: time::MonotonicTime) {
        self.next_notice_read_at = now;
    }

    /// Returns the reads that are due and schedules the next ones. A daemon that becomes a reader does not wait for the end of
    /// its longer interval.
    pub(crate) fn due_reads(
        &mut self,
        now: time::MonotonicTime,
        role: follow::ReaderRole,
    ) -> Vec<action::PlatformRead> {
        let interval = match role {
            follow::ReaderRole::Reader => READER_INTERVAL,
            follow::ReaderRole::NonReader => NON_READER_INTERVAL,
        };
        let list_interval = interval.max(self.min_list_interval());
        let mut reads = Vec::new();
        self.next_list_read_at = self.next_list_read_at.min(now + list_interval);
        if now >= self.next_list_read_at {
            self.next_list_read_at = now + list_interval;
            reads.push(action::PlatformRead::List);
        }
        self.next_notice_read_at = self.next_notice_read_at.min(now + interval);
        if now >= self.next_notice_read_at {
            self.next_notice_read_at = now + interval;
            reads.push(action::PlatformRead::Notices(self.last_notice_serial));
            reads.push(action::PlatformRead::DrainMarks);
        }
        reads
    }

    /// Returns the minimum time between two reads of the VM list.
    fn min_list_interval(&self) -> time::Millis {
        let vm_count = u64::try_from(self.vm_count).unwrap_or(u64::MAX);
        time::Millis::new(vm_count.saturating_mul(LIST_INTERVAL_PER_VM.get()))
    }
}
