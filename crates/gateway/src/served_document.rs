//! The operators' document as it is served to other daemons.

use std::cell;
use std::rc;
use std::sync;

use samphiremoor_base::quantity;
use samphiremoor_fleet::document;

/// Number of compressed responses that are kept. Followers of one revision request the same parts.
const MAX_RESPONSES: usize = 8;

/// Parts by the text of their ranges, compressed.
type CompressedParts = (String, rc::Rc<[u8]>);

/// Text of the policy in force, its parts, and responses that were made from them.
pub struct ServedDocument {
    text: sync::Arc<[u8]>,
    revision: quantity::RevisionNumber,
    manifest: cell::OnceCell<document::DocumentManifest>,
    responses: cell::RefCell<Vec<CompressedParts>>,
}

impl Default for ServedDocument {
    fn default() -> Self {
        ServedDocument::new(quantity::RevisionNumber::default(), sync::Arc::from(&[][..]))
    }
}

impl ServedDocument {
    /// Creates the document of a revision.
    pub fn new(revision: quantity::RevisionNumber, text: sync::Arc<[u8]>) -> Self {
        let (manifest, responses) = (cell::OnceCell::new(), cell::RefCell::default());
        ServedDocument { text, revision, manifest, responses }
    }

    /// Returns the text; empty if no policy is in force.
    pub fn text(&self) -> &[u8] {
        &self.text
    }

    /// Returns the list of the text's parts.
    pub fn manifest(&self) -> &document::DocumentManifest {
        self.manifest.get_or_init(|| document::DocumentManifest::split(self.revision, &self.text))
    }

    /// Returns compressed parts. `request` is a revision and ranges of parts, such as `17/0-3,7-8`.
    /// Returns `None` if the document is of another revision or lacks the parts.
    pub fn compressed_parts(&self, request: &str) -> Option<rc::Rc<[u8]>> {
        let (revision, ranges_text) = request.split_once('/')?;
        if revision != self.revision.to_string() {
            return None;
        }
        let mut responses = self.responses.borrow_mut();
        if let Some((_, bytes)) = responses.iter().find(|(known, _)| known == ranges_text) {
            return Some(bytes.clone());
        }
        let ranges = document::decode_ranges(ranges_text).ok()?;
        let bytes: rc::Rc<[u8]> = self.manifest().compress(&self.text, &ranges).ok()?.into();
        if responses.len() == MAX_RESPONSES {
            responses.remove(0);
        }
        responses.push((ranges_text.to_owned(), bytes.clone()));
        Some(bytes)
    }
}
