//! HTTP handler of the platform.

use std::collections;
use std::sync;

use async_std::task;
use async_trait::async_trait;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_httpio::server;
use samphiremoor_platform::cloud;
use samphiremoor_platform::cloud::CloudApi as _;
use samphiremoor_platform::fleet;
use samphiremoor_platform::table;
use samphiremoor_platform::table::TableStore as _;
use samphiremoor_platform_client::memory;
use samphiremoor_settings::secret;
use samphiremoor_standin::fault;
use samphiremoor_standin::program;
use samphiremoor_standin::response;
use serde::Serialize;

use crate::control;
use crate::rate;
use crate::settings;

/// Maximum number of rows of a scan without a `limit` parameter.
const DEFAULT_SCAN_LIMIT: usize = 1_000;

/// State of the platform, shared by the handlers of all its addresses.
pub struct PlatformState {
    table: memory::MemoryTable,
    cloud: memory::MemoryCloud,
    clock: time::MonotonicClock,
    calls: program::CallCounter,
    token: Option<secret::SecretText>,
    shared: sync::Mutex<SharedState>,
}

struct SharedState {
    objects: collections::BTreeMap<String, Vec<u8>>,
    faults: control::PlatformFaults,
    writes: rate::TokenBucket,
    reads: rate::TokenBucket,
    weights: rate::BandwidthQueue,
    rate_refusals: u64,
}

impl PlatformState {
    /// Creates the platform with the VMs, offers and limits of the settings.
    pub fn new(settings: &settings::PlatformSettings, calls: program::CallCounter) -> Self {
        let cloud = memory::MemoryCloud::new(settings.list_lag);
        cloud.with_fleet(|fleet, now| {
            settings.vms.iter().for_each(|entry| fleet.put(entry.clone(), now));
            settings.spares.iter().for_each(|spare| fleet.add_spare(spare.clone()));
            fleet.set_offers(settings.offers.clone());
        });
        let limits = settings.limits;
        let shared = SharedState {
            objects: collections::BTreeMap::new(),
            faults: control::PlatformFaults::default(),
            writes: rate::TokenBucket::new(limits.writes_per_second),
            reads: rate::TokenBucket::new(limits.reads_per_second),
            weights: rate::BandwidthQueue::new(limits.weight_bytes_per_second),
            rate_refusals: 0,
        };
        PlatformState {
            table: memory::MemoryTable::new(),
            cloud,
            clock: time::MonotonicClock::start(),
            calls,
            token: settings.token().expect("the settings check has read the token file"),
            shared: sync::Mutex::new(shared),
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, SharedState> {
        self.shared.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Refuses a call without a valid token. The control paths need no token.
    fn check_token(&self, request: &Request) -> Result<(), response::CallRefusal> {
        let Some(token) = &self.token else { return Ok(()) };
        let given = request.header("Authorization").map(|values| values.as_str());
        let is_valid = given.and_then(|text| text.strip_prefix("Bearer ")) == Some(token.reveal());
        if is_valid || request.url().path().starts_with("/control/") {
            return Ok(());
        }
        let detail = "the call has no valid token; name its file as platform.token_file";
        Err(response::CallRefusal::new(StatusCode::Unauthorized, detail))
    }

    fn is_cut(&self, zone: Option<&id::ZoneId>) -> bool {
        zone.is_some_and(|zone| self.lock().faults.cut_zones.contains(zone))
    }

    fn admit_read(&self) -> Result<(), response::CallRefusal> {
        let now = self.clock.now();
        let mut shared = self.lock();
        let admits = shared.reads.admit(now);
        shared.check_admission(admits)
    }

    fn admit_write(&self) -> Result<(), response::CallRefusal> {
        let now = self.clock.now();
        let mut shared = self.lock();
        let admits = shared.writes.admit(now);
        shared.check_admission(admits)
    }

    fn set_faults(&self, faults: control::PlatformFaults) {
        self.table.set_faults(faults.table);
        self.cloud.set_faults(faults.cloud);
        self.cloud.with_fleet(|fleet, _| fleet.refuse_starts(faults.refuse_starts));
        self.lock().faults = faults;
    }

    fn counts(&self) -> control::PlatformCounts {
        control::PlatformCounts {
            reads: self.table.read_count(),
            writes: self.table.write_count(),
            rate_refusals: self.lock().rate_refusals,
        }
    }
}

impl SharedState {
    fn check_admission(&mut self, admits: bool) -> Result<(), response::CallRefusal> {
        if admits {
            return Ok(());
        }
        self.rate_refusals += 1;
        let detail = "over the rate limit; call less often";
        Err(response::CallRefusal::new(StatusCode::TooManyRequests, detail))
    }
}

/// HTTP handler of one address.
pub struct PlatformHandler {
    state: sync::Arc<PlatformState>,
    zone: Option<id::ZoneId>,
}

impl PlatformHandler {
    /// Creates a handler for callers of `zone`, or for callers that are never cut off if `zone` is
    /// `None`.
    pub fn new(state: sync::Arc<PlatformState>, zone: Option<id::ZoneId>) -> Self {
        PlatformHandler { state, zone }
    }

    async fn route(&self, mut request: Request) -> Result<Response, response::CallRefusal> {
        self.state.check_token(&request)?;
        let path = request.url().path().to_owned();
        let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (request.method(), segments.as_slice()) {
            (Method::Post, ["table", "commit"]) => self.commit(&mut request).await,
            (Method::Get, ["table", "row"]) => self.read_row(&request).await,
            (Method::Get, ["table", "scan"]) => self.scan(&request).await,
            (Method::Get, ["objects", ..]) => self.read_object(&path),
            (Method::Put, ["objects", ..]) => self.write_object(&path, &mut request).await,
            (Method::Post, ["weights"]) => self.fetch_weights(&request).await,
            (Method::Get, ["vms"]) => Ok(platform_response(self.state.cloud.list_vms().await)),
            (Method::Get, ["notices"]) => self.notices(&request).await,
            (Method::Get, ["offers"]) => Ok(platform_response(self.state.cloud.offers().await)),
            (Method::Post, ["vms", "start"]) => self.start_vm(&mut request).await,
            (Method::Post, ["vms", .., "release"]) => self.release_vm(&path).await,
            (method, ["control", ..]) => self.control(method, &path, &mut request).await,
            _ => Err(response::CallRefusal::not_found("the platform has no such call")),
        }
    }

    async fn commit(&self, request: &mut Request) -> Result<Response, response::CallRefusal> {
        let transaction: table::TableTransaction = response::read_json(request).await?;
        self.state.admit_write()?;
        Ok(platform_response(self.state.table.commit(&transaction).await))
    }

    async fn read_row(&self, request: &Request) -> Result<Response, response::CallRefusal> {
        let key = table::RowKey::new(&response::required_parameter(request, "key")?);
        self.state.admit_read()?;
        Ok(platform_response(self.state.table.read(&key).await))
    }

    async fn scan(&self, request: &Request) -> Result<Response, response::CallRefusal> {
        let prefix = response::required_parameter(request, "prefix")?;
        let after =
            response::query_parameter(request, "after").map(|after| table::RowKey::new(&after));
        let limit = response::parsed_parameter(request, "limit", DEFAULT_SCAN_LIMIT)?;
        self.state.admit_read()?;
        Ok(platform_response(self.state.table.scan(&prefix, after.as_ref(), limit).await))
    }

    fn read_object(&self, path: &str) -> Result<Response, response::CallRefusal> {
        let shared = self.state.lock();
        check_object_store(&shared.faults)?;
        let Some(bytes) = shared.objects.get(path) else {
            return Err(response::CallRefusal::not_found("the object does not exist"));
        };
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(bytes.clone());
        Ok(response)
    }

    async fn write_object(
        &self,
        path: &str,
        request: &mut Request,
    ) -> Result<Response, response::CallRefusal> {
        let bytes = response::read_bytes(request).await?;
        let mut shared = self.state.lock();
        check_object_store(&shared.faults)?;
        shared.objects.insert(path.to_owned(), bytes);
        Ok(response::json(&()))
    }

    /// Responds when the transfer has passed through the weight store's simulated bandwidth.
    async fn fetch_weights(&self, request: &Request) -> Result<Response, response::CallRefusal> {
        let bytes = response::parsed_parameter(request, "bytes", 0_u64)?;
        let now = self.state.clock.now();
        let wait = self.state.lock().weights.reserve(bytes, now);
        task::sleep(wait.to_duration()).await;
        Ok(response::json(&bytes))
    }

    async fn notices(&self, request: &Request) -> Result<Response, response::CallRefusal> {
        let serial = response::parsed_parameter(request, "after", 0_u64)?;
        Ok(platform_response(self.state.cloud.notices(serial).await))
    }

    async fn start_vm(&self, request: &mut Request) -> Result<Response, response::CallRefusal> {
        let start: cloud::StartRequest = response::read_json(request).await?;
        Ok(platform_response(self.state.cloud.start_vm(&start).await))
    }

    async fn release_vm(&self, path: &str) -> Result<Response, response::CallRefusal> {
        let name = path.trim_start_matches("/vms/").trim_end_matches("/release");
        let vm = vm_id(name)?;
        Ok(platform_response(self.state.cloud.release_vm(&vm).await))
    }

    async fn control(
        &self,
        method: Method,
        path: &str,
        request: &mut Request,
    ) -> Result<Response, response::CallRefusal> {
        let cloud = &self.state.cloud;
        match (method, path.trim_start_matches("/control/")) {
            (Method::Post, "faults") => {
                self.state.set_faults(response::read_json(request).await?);
                Ok(response::json(&()))
            }
            (Method::Post, "reclaim") => {
                let order: control::ReclaimOrder = response::read_json(request).await?;
                let reclaim = |fleet: &mut fleet::VmFleet, now| {
                    fleet.reclaim(&order.scope, order.remaining(), now)
                };
                Ok(response::json(&cloud.with_fleet(reclaim)))
            }
            (Method::Post, "vms") => {
                let entry = response::read_json(request).await?;
                cloud.with_fleet(|fleet, now| fleet.put(entry, now));
                Ok(response::json(&()))
            }
            (Method::Post, "offers") => {
                let offers = response::read_json(request).await?;
                cloud.with_fleet(|fleet, _| fleet.set_offers(offers));
                Ok(response::json(&()))
            }
            (Method::Post, "spares") => {
                let spare = response::read_json(request).await?;
                cloud.with_fleet(|fleet, _| fleet.add_spare(spare));
                Ok(response::json(&()))
            }
            (Method::Get, "counts") => Ok(response::json(&self.state.counts())),
            (Method::Delete, rest) if rest.starts_with("vms/") => {
                let vm = vm_id(rest.trim_start_matches("vms/"))?;
                cloud.with_fleet(|fleet, now| fleet.remove(&vm, now));
                Ok(response::json(&()))
            }
            _ => Err(response::CallRefusal::not_found("the control path has no such call")),
        }
    }
}

#[async_trait]
impl server::HttpHandler for PlatformHandler {
    async fn handle(&self, request: Request) -> Response {
        let _call_guard = self.state.calls.enter();
        if self.state.is_cut(self.zone.as_ref()) {
            fault::wait_silence_limit().await;
            return response::hang_up();
        }
        let response = self.route(request).await.unwrap_or_else(|refusal| refusal.to_response());
        if self.state.is_cut(self.zone.as_ref()) {
            // The effect of the call remains; only its response is lost in the partition.
            fault::wait_silence_limit().await;
            return response::hang_up();
        }
        response
    }
}

fn platform_response<T: Serialize>(result: Result<T, table::PlatformError>) -> Response {
    match result {
        Ok(value) => response::json(&value),
        Err(table::PlatformError::NotDone(cause)) => {
            response::CallRefusal::new(StatusCode::ServiceUnavailable, &cause).to_response()
        }
        Err(table::PlatformError::Unknown(_)) => response::hang_up(),
    }
}

fn check_object_store(faults: &control::PlatformFaults) -> Result<(), response::CallRefusal> {
    if faults.table.unavailable {
        let detail = "the store is unavailable; try again later";
        return Err(response::CallRefusal::new(StatusCode::ServiceUnavailable, detail));
    }
    Ok(())
}

fn vm_id(text: &str) -> Result<id::VmId, response::CallRefusal> {
    text.parse().map_err(|cause: id::IdError| response::CallRefusal::malformed(&cause.to_string()))
}
