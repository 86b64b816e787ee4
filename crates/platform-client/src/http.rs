//! The platform over HTTP and JSON.

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

/// Largest answer that is read from the platform.
const MAX_ANSWER: quantity::ByteCount = quantity::ByteCount::new(64 * 1024 * 1024);

/// Time limits towards the platform where the settings name none.
pub const DEFAULT_LIMITS: client::CallLimits = client::CallLimits {
    connect: time::Millis::new(500),
    head: time::Millis::new(2_000),
    silence: time::Millis::new(2_000),
};

/// The platform's services at one address.
///
/// Each call has a connection of its own, so one that went silent never delays the next call. A
/// read that got no answer is sent once more; a write is not, since its caller must read it back.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    address: net::SocketAddr,
    limits: client::CallLimits,
    token: Option<secret::SecretText>,
}

impl HttpPlatform {
    /// The platform at `address`.
    pub fn new(address: net::SocketAddr, limits: client::CallLimits) -> Self {
        HttpPlatform { address, limits, token: None }
    }

    /// The same platform, with a bearer token that goes with each call.
    pub fn with_token(self, token: Option<secret::SecretText>) -> Self {
        HttpPlatform { token, ..self }
    }

    fn url(&self, path: &str) -> Result<Url, table::PlatformError> {
        client::url(self.address, path).map_err(|cause| not_done(&cause.to_string()))
    }

    async fn get<A: de::DeserializeOwned>(&self, url: Url) -> Result<A, table::PlatformError> {
        let first = self.call(Request::new(Method::Get, url.clone())).await;
        let settled = match first {
            Err(table::PlatformError::Unknown(_)) => {
                self.call(Request::new(Method::Get, url)).await
            }
            settled => settled,
        };
        // A read has no effect, so one without an answer is not done.
        settled.map_err(|failure| match failure {
            table::PlatformError::Unknown(cause) => table::PlatformError::NotDone(cause),
            not_done => not_done,
        })
    }

    async fn post<Q: Serialize, A: de::DeserializeOwned>(
        &self,
        path: &str,
        question: &Q,
    ) -> Result<A, table::PlatformError> {
        let text = serde_json::to_string(question).map_err(|cause| not_done(&cause.to_string()))?;
        let mut request = Request::new(Method::Post, self.url(path)?);
        request.set_body(text);
        request.insert_header("Content-Type", "application/json");
        self.call(request).await
    }

    async fn call<A: de::DeserializeOwned>(
        &self,
        mut request: Request,
    ) -> Result<A, table::PlatformError> {
        if let Some(token) = &self.token {
            request.insert_header("Authorization", format!("Bearer {}", token.reveal()));
        }
        let sent = client::send(self.address, request, self.limits).await;
        let mut response = sent.map_err(|failure| platform_error(&failure))?;
        if response.status() != StatusCode::Ok {
            return Err(refusal(&response));
        }
        let bytes = body::read(response.take_body(), MAX_ANSWER)
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
        start: &cloud::StartRequest,
    ) -> Result<cloud::StartResponse, table::PlatformError> {
        self.post("/vms/start", start).await
    }

    async fn release_vm(&self, vm: &id::VmId) -> Result<(), table::PlatformError> {
        self.post(&format!("/vms/{vm}/release"), &()).await
    }
}

fn platform_error(failure: &client::CallError) -> table::PlatformError {
    match failure {
        client::CallError::NotConnected(_) => not_done(&failure.to_string()),
        client::CallError::TimedOut | client::CallError::Broken(_) => unknown(&failure.to_string()),
    }
}

/// Only the platform's own word proves that a call had no effect.
fn refusal(response: &http_types::Response) -> table::PlatformError {
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
