//! Decides when the platform's list, notices and drain marks are read.

use samphiremoor_base::time;
use samphiremoor_head::follow;
use samphiremoor_platform::cloud;

use crate::action;

/// Between two reads of the VM list, the notices and the drain marks by a reader of the zone.
const READER_INTERVAL: time::Millis = time::Millis::new(1_000);

/// Between two reads by every other daemon.
const OTHER_INTERVAL: time::Millis = time::Millis::new(30_000);

/// The least time between two reads of the VM list, for each VM of the last one: long lists are
/// read less often.
const LIST_TIME_PER_VM: time::Millis = time::Millis::new(20);

/// When the platform is read next, beside its head.
#[derive(Debug)]
pub(crate) struct PlatformSchedule {
    next_list_read: time::MonotonicTime,
    next_notice_read: time::MonotonicTime,
    notice_serial: u64,
    list_length: usize,
}

impl PlatformSchedule {
    /// A schedule that reads all at once.
    pub(crate) fn new(now: time::MonotonicTime) -> Self {
        PlatformSchedule {
            next_list_read: now,
            next_notice_read: now,
            notice_serial: 0,
            list_length: 0,
        }
    }

    /// A list of this many VMs was read.
    pub(crate) fn list_read(&mut self, length: usize) {
        self.list_length = length;
    }

    /// A notice was read, and is not asked for again.
    pub(crate) fn notice_read(&mut self, notice: &cloud::ReclaimNotice) {
        self.notice_serial = self.notice_serial.max(notice.serial);
    }

    /// The notices and the drain marks are read with the next reads.
    pub(crate) fn hurry_notices(&mut self, now: time::MonotonicTime) {
        self.next_notice_read = now;
    }

    /// The reads that are due. A daemon that becomes a reader does not wait out its longer interval.
    pub(crate) fn due_reads(
        &mut self,
        now: time::MonotonicTime,
        duty: follow::ReaderRole,
    ) -> Vec<action::PlatformRead> {
        let interval = match duty {
            follow::ReaderRole::Reader => READER_INTERVAL,
            follow::ReaderRole::Other => OTHER_INTERVAL,
        };
        let list_interval = interval.max(self.least_list_interval());
        let mut reads = Vec::new();
        self.next_list_read = self.next_list_read.min(now + list_interval);
        if now >= self.next_list_read {
            self.next_list_read = now + list_interval;
            reads.push(action::PlatformRead::List);
        }
        self.next_notice_read = self.next_notice_read.min(now + interval);
        if now >= self.next_notice_read {
            self.next_notice_read = now + interval;
            reads.push(action::PlatformRead::Notices(self.notice_serial));
            reads.push(action::PlatformRead::Drains);
        }
        reads
    }

    fn least_list_interval(&self) -> time::Millis {
        let length = u64::try_from(self.list_length).unwrap_or(u64::MAX);
        time::Millis::new(length.saturating_mul(LIST_TIME_PER_VM.get()))
    }
}
