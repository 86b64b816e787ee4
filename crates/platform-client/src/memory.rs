//! An in-memory platform for tests: the semantics of the real platform, with fault injection.

use std::sync;
use std::sync::atomic;

use async_std::task;
use async_trait::async_trait;
use samphiremoor_base::id;
use samphiremoor_base::time;

use samphiremoor_platform::cloud;
use samphiremoor_platform::faults;
use samphiremoor_platform::fleet;
use samphiremoor_platform::rows;
use samphiremoor_platform::table;

/// An in-memory table. Daemons in one test share the table through an `Arc`.
#[derive(Debug, Default)]
pub struct MemoryTable {
    rows: sync::Mutex<rows::RowSet>,
    faults: sync::Mutex<faults::StoreFaults>,
    read_count: atomic::AtomicU64,
    write_count: atomic::AtomicU64,
}

impl MemoryTable {
    /// Creates an empty table without faults.
    pub fn new() -> Self {
        MemoryTable::default()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: faults::StoreFaults) {
        *lock(&self.faults) = faults;
    }

    /// Returns the number of reads and scans so far, with the refused ones.
    pub fn read_count(&self) -> u64 {
        self.read_count.load(atomic::Ordering::Relaxed)
    }

    /// Returns the number of transactions so far, with the refused ones.
    pub fn write_count(&self) -> u64 {
        self.write_count.load(atomic::Ordering::Relaxed)
    }

    async fn inject_read_faults(&self) -> Result<(), table::PlatformError> {
        self.read_count.fetch_add(1, atomic::Ordering::Relaxed);
        let faults = *lock(&self.faults);
        sleep_for(faults.delay).await;
        if faults.unavailable { Err(unavailable()) } else { Ok(()) }
    }
}

#[async_trait]
impl table::TableStore for MemoryTable {
    async fn read(
        &self,
        key: &table::RowKey,
    ) -> Result<Option<table::TableRow>, table::PlatformError> {
        self.inject_read_faults().await?;
        Ok(lock(&self.rows).read(key))
    }

    async fn scan(
        &self,
        prefix: &str,
        after: Option<&table::RowKey>,
        limit: usize,
    ) -> Result<Vec<table::TableRow>, table::PlatformError> {
        self.inject_read_faults().await?;
        Ok(lock(&self.rows).scan(prefix, after, limit))
    }

    async fn commit(
        &self,
        transaction: &table::TableTransaction,
    ) -> Result<table::CommitResponse, table::PlatformError> {
        self.write_count.fetch_add(1, atomic::Ordering::Relaxed);
        let delay = lock(&self.faults).delay;
        sleep_for(delay).await;
        let outcome = lock(&self.faults).next_write();
        match outcome {
            faults::WriteOutcome::Applied => Ok(lock(&self.rows).commit(transaction)),
            faults::WriteOutcome::Refused => Err(unavailable()),
            faults::WriteOutcome::RequestLost => Err(response_lost()),
            faults::WriteOutcome::ResponseLost => {
                lock(&self.rows).commit(transaction);
                Err(response_lost())
            }
        }
    }
}

/// An in-memory cloud.
#[derive(Debug)]
pub struct MemoryCloud {
    fleet: sync::Mutex<fleet::VmFleet>,
    faults: sync::Mutex<faults::StoreFaults>,
    clock: time::MonotonicClock,
}

impl MemoryCloud {
    /// Creates a cloud without VMs whose list lags by `list_lag`.
    pub fn new(list_lag: time::Millis) -> Self {
        MemoryCloud {
            fleet: sync::Mutex::new(fleet::VmFleet::new(list_lag)),
            faults: sync::Mutex::new(faults::StoreFaults::default()),
            clock: time::MonotonicClock::start(),
        }
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: faults::StoreFaults) {
        *lock(&self.faults) = faults;
    }

    /// Runs `action` on the fleet with the current time, under the lock.
    pub fn with_fleet<T>(
        &self,
        action: impl FnOnce(&mut fleet::VmFleet, time::MonotonicTime) -> T,
    ) -> T {
        action(&mut lock(&self.fleet), self.clock.now())
    }

    async fn inject_read_faults(&self) -> Result<(), table::PlatformError> {
        let faults = *lock(&self.faults);
        sleep_for(faults.delay).await;
        if faults.unavailable { Err(unavailable()) } else { Ok(()) }
    }

    async fn write<T>(
        &self,
        action: impl FnOnce(&mut fleet::VmFleet, time::MonotonicTime) -> T,
    ) -> Result<T, table::PlatformError> {
        let delay = lock(&self.faults).delay;
        sleep_for(delay).await;
        let outcome = lock(&self.faults).next_write();
        match outcome {
            faults::WriteOutcome::Applied => Ok(self.with_fleet(action)),
            faults::WriteOutcome::Refused => Err(unavailable()),
            faults::WriteOutcome::RequestLost => Err(response_lost()),
            faults::WriteOutcome::ResponseLost => {
                self.with_fleet(action);
                Err(response_lost())
            }
        }
    }
}

#[async_trait]
impl cloud::CloudApi for MemoryCloud {
    async fn list_vms(&self) -> Result<Vec<cloud::VmEntry>, table::PlatformError> {
        self.inject_read_faults().await?;
        Ok(self.with_fleet(|fleet, now| fleet.list(now)))
    }

    async fn notices(
        &self,
        serial: u64,
    ) -> Result<Vec<cloud::ReclaimNotice>, table::PlatformError> {
        self.inject_read_faults().await?;
        Ok(self.with_fleet(|fleet, now| fleet.notices(serial, now)))
    }

    async fn offers(&self) -> Result<Vec<cloud::VmOffer>, table::PlatformError> {
        self.inject_read_faults().await?;
        Ok(self.with_fleet(|fleet, _| fleet.offers().to_vec()))
    }

    async fn start_vm(
        &self,
        request: &cloud::StartRequest,
    ) -> Result<cloud::StartResponse, table::PlatformError> {
        self.write(|fleet, now| fleet.start(request, now)).await
    }

    async fn release_vm(&self, vm: &id::VmId) -> Result<(), table::PlatformError> {
        self.write(|fleet, now| fleet.release(vm, now)).await
    }
}

async fn sleep_for(delay: time::Millis) {
    if delay > time::Millis::default() {
        task::sleep(delay.to_duration()).await;
    }
}

fn unavailable() -> table::PlatformError {
    table::PlatformError::NotDone(sync::Arc::from("the platform is unavailable"))
}

fn response_lost() -> table::PlatformError {
    table::PlatformError::Unknown(sync::Arc::from("the response was lost"))
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
