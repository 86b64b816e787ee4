//! Forwarded HTTP headers, and headers that this system defines.

use std::sync::Arc;

use http_types::Response;
use http_types::headers;
use samphiremoor_base::id;
use samphiremoor_httpio::problem;
use samphiremoor_shards::call;

/// Header with the service's priority, sent to upstreams.
pub const PRIORITY_HEADER: &str = "Samphiremoor-Priority";

/// Header that marks a request relayed by another entry daemon.
pub const RELAYED_HEADER: &str = "Samphiremoor-Relayed";

/// Header with the id of the last event that the caller received.
pub const LAST_EVENT_HEADER: &str = "Last-Event-ID";

/// Header with the idempotency key, the same in each retry of one call.
pub const IDEMPOTENCY_HEADER: &str = "Idempotency-Key";

/// Hop-by-hop headers, and headers that this system sets itself; neither are forwarded.
const UNFORWARDED_HEADERS: &[&str] = &[
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

/// Name prefix of the headers that this system defines.
const SYSTEM_HEADER_PREFIX: &str = "samphiremoor-";

/// Returns the headers that are forwarded, with one entry for each value.
pub fn forwarded<'a>(
    headers: impl Iterator<Item = (&'a headers::HeaderName, &'a headers::HeaderValues)>,
) -> Vec<call::CallHeader> {
    let mut forwarded = Vec::new();
    for (name, values) in headers {
        let name = name.as_str();
        if UNFORWARDED_HEADERS.contains(&name) || name.starts_with(SYSTEM_HEADER_PREFIX) {
            continue;
        }
        let name: Arc<str> = Arc::from(name);
        for value in values {
            let value = Arc::from(value.as_str());
            forwarded.push(call::CallHeader { name: name.clone(), value });
        }
    }
    forwarded
}

/// Returns whether an upstream's response belongs to the request. A response without a request id
/// is accepted.
pub fn is_response_to(response: &Response, request: &id::RequestId) -> bool {
    response
        .header(problem::REQUEST_ID_HEADER)
        .is_none_or(|value| value.as_str() == request.as_str())
}
