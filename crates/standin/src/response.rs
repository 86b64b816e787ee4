//! JSON request bodies, query parameters and responses.

use std::str;

use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use samphiremoor_base::outcome;
use samphiremoor_base::quantity;
use samphiremoor_httpio::body;
use samphiremoor_httpio::problem;
use samphiremoor_httpio::server;
use serde::Serialize;
use serde::de;

/// Maximum size of a request body that a stand-in reads.
pub const MAX_BODY: quantity::ByteCount = quantity::ByteCount::new(8 * 1024 * 1024);

/// Refusal of a call. The stand-in has not run the call, so it had no effect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallRefusal {
    /// HTTP status of the response.
    pub status: StatusCode,
    /// Reason for the refusal and the remedy, as the response body.
    pub detail: String,
}

impl CallRefusal {
    /// Creates a refusal whose detail names the remedy.
    pub fn new(status: StatusCode, detail: &str) -> Self {
        CallRefusal { status, detail: detail.to_owned() }
    }

    /// Creates a `400 Bad Request` refusal for a call that can't be parsed.
    pub fn malformed(detail: &str) -> Self {
        CallRefusal::new(StatusCode::BadRequest, detail)
    }

    /// Creates a `404 Not Found` refusal for an unknown path or an unknown object.
    pub fn not_found(detail: &str) -> Self {
        CallRefusal::new(StatusCode::NotFound, detail)
    }

    /// Converts the refusal to an HTTP response whose outcome header says `not-run`.
    pub fn to_response(&self) -> Response {
        let mut response = Response::new(self.status);
        response.set_body(self.detail.as_str());
        response.insert_header(problem::OUTCOME_HEADER, outcome::CallOutcome::NotRun.label());
        response
    }
}

/// Returns a `200 OK` response with the value as JSON.
pub fn json<T: Serialize>(value: &T) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    let text = serde_json::to_string(value).expect("response values serialize to JSON");
    response.set_body(text);
    response.insert_header("Content-Type", "application/json");
    response
}

/// Returns a marker response that makes the server close the connection without responding.
pub fn hang_up() -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.ext_mut().insert(server::CloseConnection);
    response
}

/// Reads and parses a JSON body.
///
/// # Errors
///
/// Returns a refusal if the body is too large, incomplete, or not the JSON that the call expects.
pub async fn read_json<T: de::DeserializeOwned>(request: &mut Request) -> Result<T, CallRefusal> {
    let bytes = read_bytes(request).await?;
    serde_json::from_slice(&bytes)
        .map_err(|cause| CallRefusal::malformed(&format!("{cause}; correct the body")))
}

/// Reads a complete body.
///
/// # Errors
///
/// Returns a refusal if the body is too large or incomplete.
pub async fn read_bytes(request: &mut Request) -> Result<Vec<u8>, CallRefusal> {
    body::read(request.take_body(), MAX_BODY)
        .await
        .map_err(|cause| CallRefusal::malformed(&cause.to_string()))
}

/// Returns a query parameter, or `None` if the URL doesn't contain it.
pub fn query_parameter(request: &Request, name: &str) -> Option<String> {
    let mut pairs = request.url().query_pairs();
    pairs.find(|(key, _)| key == name).map(|(_, value)| value.into_owned())
}

/// Returns a mandatory query parameter.
///
/// # Errors
///
/// Returns a refusal if the URL doesn't contain the parameter.
pub fn required_parameter(request: &Request, name: &str) -> Result<String, CallRefusal> {
    query_parameter(request, name)
        .ok_or_else(|| CallRefusal::malformed(&format!("the parameter {name} is missing")))
}

/// Returns a parsed query parameter, or `default` if the URL doesn't contain it.
///
/// # Errors
///
/// Returns a refusal if the parameter can't be parsed as a `T`.
pub fn parsed_parameter<T: str::FromStr>(
    request: &Request,
    name: &str,
    default: T,
) -> Result<T, CallRefusal> {
    let Some(text) = query_parameter(request, name) else { return Ok(default) };
    text.parse().map_err(|_| CallRefusal::malformed(&format!("the parameter {name} can't be read")))
}
