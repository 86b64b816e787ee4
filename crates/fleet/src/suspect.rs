//! Suspects of crashes: segments of prompts and whole requests under which replicas may crash.

use std::error;
use std::fmt;
use std::str;

use samphiremoor_base::digest;
use samphiremoor_base::id;
use smallvec::SmallVec;

use crate::selection;

/// Number of hexadecimal digits of a segment.
const SEGMENT_DIGITS: usize = 16;
/// Number of hexadecimal digits of a request.
const REQUEST_DIGITS: usize = 32;

/// What may crash the replicas that run a request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum SuspectId {
    /// Segment of prompts, by the hash of its name.
    Segment(u64),
    /// Whole request, by its fingerprint.
    Request(RequestFingerprint),
}

impl SuspectId {
    /// Whether the suspect is a whole request.
    pub fn is_request(self) -> bool {
        matches!(self, SuspectId::Request(_))
    }
}

impl fmt::Display for SuspectId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SuspectId::Segment(hash) => write!(f, "{hash:0SEGMENT_DIGITS$x}"),
            SuspectId::Request(fingerprint) => write!(f, "{:0REQUEST_DIGITS$x}", fingerprint.0),
        }
    }
}

/// Error for a text that names no suspect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SuspectError;

impl fmt::Display for SuspectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "not a suspect; give the {SEGMENT_DIGITS} hexadecimal digits of a segment or the \
             {REQUEST_DIGITS} of a request, as the log prints them"
        )
    }
}

impl error::Error for SuspectError {}

impl str::FromStr for SuspectId {
    type Err = SuspectError;

    fn from_str(text: &str) -> Result<Self, SuspectError> {
        if !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(SuspectError);
        }
        match text.len() {
            SEGMENT_DIGITS => u64::from_str_radix(text, 16).ok().map(SuspectId::Segment),
            REQUEST_DIGITS => {
                let fingerprint = u128::from_str_radix(text, 16).ok();
                fingerprint.map(|bits| SuspectId::Request(RequestFingerprint::new(bits)))
            }
            _ => None,
        }
        .ok_or(SuspectError)
    }
}

/// Suspects of one request.
pub type SuspectIds = SmallVec<[SuspectId; 4]>;

/// Fingerprint by which daemons recognize a request that comes again.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestFingerprint(u128);

impl RequestFingerprint {
    /// Creates a fingerprint from its bits.
    pub const fn new(bits: u128) -> Self {
        RequestFingerprint(bits)
    }

    /// Returns the bits of the fingerprint.
    pub const fn bits(self) -> u128 {
        self.0
    }
}

/// What makes two requests the same: all that a replica acts on, and the caller, so that no caller's
/// requests match those of another one.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// Host, or the service if the caller names one.
    pub host: &'a str,
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Workspace of the caller; `None` on a route that needs none.
    pub workspace: Option<&'a id::WorkspaceId>,
    /// Body.
    pub body: &'a [u8],
}

impl RequestIdentity<'_> {
    /// Hashes the identity with a cryptographic hash, since a caller may look for collisions.
    pub fn fingerprint(&self) -> RequestFingerprint {
        let workspace = self.workspace.map_or("", id::WorkspaceId::as_str);
        let texts = [workspace, self.host, self.method, self.target].map(str::as_bytes);
        let parts = texts.into_iter().chain([self.body]);
        RequestFingerprint(digest::truncated_digest(parts))
    }
}

/// Returns the segments of a prompt that other requests may share: all but the last one.
pub fn shared_segments(prompt: Option<&selection::PromptSize>) -> SuspectIds {
    let mut segments = all_segments(prompt);
    segments.pop();
    segments
}

/// Returns all segments of a prompt. The last one may become a shared one as a session proceeds.
pub fn all_segments(prompt: Option<&selection::PromptSize>) -> SuspectIds {
    let segments = prompt.map_or(&[][..], |prompt| &prompt.segments);
    segments.iter().map(|segment| SuspectId::Segment(segment.hash)).collect()
}
