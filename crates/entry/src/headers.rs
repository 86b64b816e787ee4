//! Headers that are passed on, and those that this system sets.

use std::sync::Arc;

use http_types::Response;
use http_types::headers;
use samphiremoor_base::id;
use samphiremoor_httpio::problem;
use samphiremoor_shards::call;

/// Header that carries the service's priority to upstreams.
pub const PRIORITY_HEADER: &str = "Samphiremoor-Priority";

/// Header that marks a call which another entry daemon passed on.
pub const RELAYED_HEADER: &str = "Samphiremoor-Relayed";

/// Header that names the last event that the caller got.
pub const LAST_EVENT_HEADER: &str = "Last-Event-ID";

/// Header by which callers mark repeated sends of one call.
pub const IDEMPOTENCY_HEADER: &str = "Idempotency-Key";

/// Headers of one connection or of this system, which are not passed on.
const OWN_HEADERS: &[&str] = &[
    "authorization",
    "connection",
    "content-length",
    "date",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Prefix of this system's headers.
const SYSTEM_PREFIX: &str = "samphiremoor-";

/// The headers that are passed on.
pub fn forwarded<'a>(
    headers: impl Iterator<Item = (&'a headers::HeaderName, &'a headers::HeaderValues)>,
) -> Vec<call::CallHeader> {
    let mut lines = Vec::new();
    for (name, values) in headers {
        let name = name.as_str();
        if OWN_HEADERS.contains(&name) || name.starts_with(SYSTEM_PREFIX) {
            continue;
        }
        let name: Arc<str> = Arc::from(name);
        for value in values {
            let value = Arc::from(value.as_str());
            lines.push(call::CallHeader { name: name.clone(), value });
        }
    }
    lines
}

/// Whether an upstream's answer is to the request; an upstream that names none is trusted.
pub fn answers_request(response: &Response, request: &id::RequestId) -> bool {
    response
        .header(problem::REQUEST_ID_HEADER)
        .is_none_or(|value| value.as_str() == request.as_str())
}
