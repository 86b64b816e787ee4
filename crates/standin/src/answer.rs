//! Answers and bodies in JSON.

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

/// Largest body that a stand-in reads.
pub const MAX_BODY: quantity::ByteCount = quantity::ByteCount::new(8 * 1024 * 1024);

/// Why a stand-in did not carry out a call; the call had no effect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallRefusal {
    /// HTTP status.
    pub status: StatusCode,
    /// What is wrong and what to do about it.
    pub detail: String,
}

impl CallRefusal {
    /// A refusal with a text that names the remedy.
    pub fn new(status: StatusCode, detail: &str) -> Self {
        CallRefusal { status, detail: detail.to_owned() }
    }

    /// The call can't be read.
    pub fn malformed(detail: &str) -> Self {
        CallRefusal::new(StatusCode::BadRequest, detail)
    }

    /// The path or what it names does not exist.
    pub fn not_found(detail: &str) -> Self {
        CallRefusal::new(StatusCode::NotFound, detail)
    }

    /// The refusal as an HTTP answer that says that nothing was run.
    pub fn to_response(&self) -> Response {
        let mut response = Response::new(self.status);
        response.set_body(self.detail.as_str());
        response.insert_header(problem::OUTCOME_HEADER, outcome::CallOutcome::NotRun.label());
        response
    }
}

/// A value as JSON with status 200.
pub fn json<T: Serialize>(value: &T) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    let text = serde_json::to_string(value).expect("answers have text keys and plain values");
    response.set_body(text);
    response.insert_header("Content-Type", "application/json");
    response
}

/// No answer: the connection is closed.
pub fn hang_up() -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.ext_mut().insert(server::CloseConnection);
    response
}

/// Reads a JSON body.
///
/// # Errors
///
/// Refuses a body that is too large, broken, or not the JSON that the call takes.
pub async fn read_json<T: de::DeserializeOwned>(request: &mut Request) -> Result<T, CallRefusal> {
    let bytes = read_bytes(request).await?;
    serde_json::from_slice(&bytes)
        .map_err(|cause| CallRefusal::malformed(&format!("{cause}; correct the body")))
}

/// Reads a body whole.
///
/// # Errors
///
/// Refuses a body that is too large or broken.
pub async fn read_bytes(request: &mut Request) -> Result<Vec<u8>, CallRefusal> {
    body::read(request.take_body(), MAX_BODY)
        .await
        .map_err(|cause| CallRefusal::malformed(&cause.to_string()))
}

/// A parameter of the query.
pub fn parameter(request: &Request, name: &str) -> Option<String> {
    let mut pairs = request.url().query_pairs();
    pairs.find(|(key, _)| key == name).map(|(_, value)| value.into_owned())
}

/// A parameter of the query that has to be there.
///
/// # Errors
///
/// Refuses a call without the parameter.
pub fn required(request: &Request, name: &str) -> Result<String, CallRefusal> {
    parameter(request, name)
        .ok_or_else(|| CallRefusal::malformed(&format!("the parameter {name} is missing")))
}

/// A parsed parameter of the query, or `default` where it is absent.
///
/// # Errors
///
/// Refuses a parameter of another type.
pub fn parsed<T: str::FromStr>(
    request: &Request,
    name: &str,
    default: T,
) -> Result<T, CallRefusal> {
    let Some(text) = parameter(request, name) else { return Ok(default) };
    text.parse().map_err(|_| CallRefusal::malformed(&format!("the parameter {name} can't be read")))
}
