//! Client of the platform over HTTP and JSON.

use std::net;
use std::sync;

use async_trait::async_trait;
use http_types::Method;
use http_types::Request;
use http_types::StatusCode;
use http_types::Url;
use samphiremoor_base::id;
use samphiremoor_base::outcome;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_httpio::body;
use samphiremoor_httpio::client;
use samphiremoor_httpio::problem;
use samphiremoor_settings::secret;
use serde::Serialize;
use serde::de;

use samphiremoor_platform::cloud;
use samphiremoor_platform::table;

/// Maximum size of a response body of the platform.
const MAX_RESPONSE_BODY: quantity::ByteCount = quantity::ByteCount::new(64 * 1024 * 1024);

/// Default timeouts of calls to the platform.
pub const DEFAULT_LIMITS: client::CallLimits = client::CallLimits {
    connect: time::Millis::new(500),
    head: time::Millis::new(2_000),
    silence: time::Millis::new(2_000),
};

/// Client of the platform at one address.
///
/// Each call opens its own connection, so a connection that times out never delays the next call. A
/// read that gets no response is retried once. A write is not retried: it may have taken effect, and
/// the caller must read the state back.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    address: net::SocketAddr,
    limits: client::CallLimits,
    token: Option<secret::SecretText>,
}

impl HttpPlatform {
    /// Creates a client of the platform at `address`.
    pub fn new(address: net::SocketAddr, limits: client::CallLimits) -> Self {
        HttpPlatform { address, limits, token: None }
    }

    /// Sets the bearer token that all calls carry.
    pub fn with_token(self, token: Option<secret::SecretText>) -> Self {
        HttpPlatform { token, ..self }
    }

    fn url(&self, path: &str) -> Result<Url, table::PlatformError> {
        client::url(self.address, path).map_err(|cause| not_done(&cause.to_string()))
    }

    async fn get<R: de::DeserializeOwned>(&self, url: Url) -> Result<R, table::PlatformError> {
        let first = self.call(Request::new(Method::Get, url.clone())).await;
        let last = match first {
            Err(table::PlatformError::Unknown(_)) => {
                self.call(Request::new(Method::Get, url)).await
            }
            last => last,
        };
        // A read has no effect, so a read without a response counts as not done.
        last.map_err(|failure| match failure {
            table::PlatformError::Unknown(cause) => table::PlatformError::NotDone(cause),
            not_done => not_done,
        })
    }

    async fn post<P: Serialize, R: de::DeserializeOwned>(
        &self,
        path: &str,
        payload: &P,
    ) -> Result<R, table::PlatformError> {
        let text = serde_json::to_string(payload).map_err(|cause| not_done(&cause.to_string()))?;
        let mut request = Request::new(Method::Post, self.url(path)?);
        request.set_body(text);
        request.insert_header("Content-Type", "application/json");
        self.call(request).await
    }

    async fn call<R: de::DeserializeOwned>(
        &self,
        mut request: Request,
    ) -> Result<R, table::PlatformError> {
        if let Some(token) = &self.token {
            request.insert_header("Authorization", format!("Bearer {}", token.reveal()));
        }
        let sent = client::send(self.address, request, self.limits).await;
        let mut response = sent.map_err(|failure| call_error(&failure))?;
        if response.status() != StatusCode::Ok {
            return Err(status_error(&response));
        }
        let bytes = body::read(response.take_body(), MAX_RESPONSE_BODY)
            .await
            .map_err(|cause| unknown(&cause.to_string()))?;
        serde_json::from_slice(&bytes).map_err(|cause| unknown(&cause.to_string()))
    }
}

#[async_trait]
impl table::TableStore for HttpPlatform {
    async fn read(
        &self,
        key: &table::RowKey,
    ) -> Result<Option<table::TableRow>, table::PlatformError> {
        let mut url = self.url("/table/row")?;
        url.query_pairs_mut().append_pair("key", key.as_str());
        self.get(url).await
    }

    async fn scan(
        &self,
        prefix: &str,
        after: Option<&table::RowKey>,
        limit: usize,
    ) -> Result<Vec<table::TableRow>, table::PlatformError> {
        let mut url = self.url("/table/scan")?;
        url.query_pairs_mut()
            .append_pair("prefix", prefix)
            .append_pair("limit", &limit.to_string());
        if let Some(after) = after {
            url.query_pairs_mut().append_pair("after", after.as_str());
        }
        self.get(url).await
    }

    async fn commit(
        &self,
        transaction: &table::TableTransaction,
    ) -> Result<table::CommitResponse, table::PlatformError> {
        self.post("/table/commit", transaction).await
    }
}

#[async_trait]
impl cloud::CloudApi for HttpPlatform {
    async fn list_vms(&self) -> Result<Vec<cloud::VmEntry>, table::PlatformError> {
        self.get(self.url("/vms")?).await
    }

    async fn notices(
        &self,
        serial: u64,
    ) -> Result<Vec<cloud::ReclaimNotice>, table::PlatformError> {
        let mut url = self.url("/notices")?;
        url.query_pairs_mut().append_pair("after", &serial.to_string());
        self.get(url).await
    }

    async fn offers(&self) -> Result<Vec<cloud::VmOffer>, table::PlatformError> {
        self.get(self.url("/offers")?).await
    }

    async fn start_vm(
        &self,
        request: &cloud::StartRequest,
    ) -> Result<cloud::StartResponse, table::PlatformError> {
        self.post("/vms/start", request).await
    }

    async fn release_vm(&self, vm: &id::VmId) -> Result<(), table::PlatformError> {
        self.post(&format!("/vms/{vm}/release"), &()).await
    }
}

fn call_error(failure: &client::CallError) -> table::PlatformError {
    match failure {
        client::CallError::NotConnected(_) => not_done(&failure.to_string()),
        client::CallError::TimedOut | client::CallError::Broken(_) => unknown(&failure.to_string()),
    }
}

/// Converts a response with an error status. Only the outcome header of the platform proves that the
/// call had no effect.
fn status_error(response: &http_types::Response) -> table::PlatformError {
    let cause = format!("status {}", response.status());
    let is_not_run = response
        .header(problem::OUTCOME_HEADER)
        .is_some_and(|value| value.as_str() == outcome::CallOutcome::NotRun.label());
    if is_not_run { not_done(&cause) } else { unknown(&cause) }
}

fn not_done(cause: &str) -> table::PlatformError {
    table::PlatformError::NotDone(sync::Arc::from(cause))
}

fn unknown(cause: &str) -> table::PlatformError {
    table::PlatformError::Unknown(sync::Arc::from(cause))
}
