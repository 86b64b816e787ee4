//! Responses on the operator addresses and the peer address.

use samphiremoor_fleet::document_fetch;

/// Status of a response on an operator or peer address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InternalStatus {
    /// The body is what was requested.
    Found,
    /// The daemon serves enough others; the request may be repeated.
    Busy,
    /// There is nothing to serve.
    Unavailable,
}

impl InternalStatus {
    /// Returns the status code and its reason.
    pub fn line(self) -> &'static str {
        match self {
            InternalStatus::Found => "200 OK",
            InternalStatus::Busy => "429 Too Many Requests",
            InternalStatus::Unavailable => "503 Service Unavailable",
        }
    }
}

/// Response on an operator or peer address.
#[derive(Debug)]
pub struct InternalResponse {
    /// Status of the response.
    pub status: InternalStatus,
    /// Body of the response.
    pub body: Vec<u8>,
    /// Slot that is taken until the response is written.
    pub slot: Option<document_fetch::UploadSlot>,
}

impl From<(bool, Vec<u8>)> for InternalResponse {
    /// Converts a body; the flag says whether there is something to serve.
    fn from((is_found, body): (bool, Vec<u8>)) -> Self {
        let status = if is_found { InternalStatus::Found } else { InternalStatus::Unavailable };
        InternalResponse { status, body, slot: None }
    }
}
