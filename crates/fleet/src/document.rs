//! Transfer of large documents between daemons.
//!
//! A document is split into parts at positions that its content determines, so that a change leaves
//! most parts as they were. A daemon reads the list of parts first and then only those that it
//! lacks, in pieces of bounded size, so that it can go on at another daemon after a failure.

use std::collections;
use std::error;
use std::fmt;
use std::io;
use std::io::Read as _;
use std::ops;
use std::sync;

use fastcdc::v2020;
use flate2::read;
use samphiremoor_base::quantity;
use serde::Deserialize;
use serde::Serialize;
use siphasher::sip128;
use smallvec::SmallVec;

/// Minimum, average and maximum size of a part, in bytes. A change costs about one part, and the
/// list of parts takes one hundredth of the document.
const PART_SIZES: (usize, usize, usize) = (512, 2_048, 8_192);
/// Largest number of bytes of parts that are requested at once, before compression.
const MAX_BATCH_BYTES: u64 = 256 * 1024;
/// Largest number of ranges of parts that are requested at once.
const MAX_BATCH_RANGES: usize = 64;

/// Digest of a part's content.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PartDigest(u128);

impl PartDigest {
    /// Computes the digest of a part.
    pub fn of(content: &[u8]) -> Self {
        PartDigest(sip128::SipHasher13::new().hash(content).as_u128())
    }
}

/// A part of a document.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DocumentPart {
    /// Digest of the part's content.
    pub digest: PartDigest,
    /// Length of the part, in bytes.
    pub length: u32,
}

/// List of the parts of one revision of a document.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DocumentManifest {
    /// Revision of the document.
    pub revision: quantity::RevisionNumber,
    /// The parts in their order.
    pub parts: Vec<DocumentPart>,
}

/// Error of assembling a document or reading parts of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DocumentError {
    /// The list of parts is unreadable.
    Manifest,
    /// The list of parts describes a document that is larger than the limit.
    TooLarge(u64),
    /// The ranges of parts are unreadable or outside of the document.
    Ranges,
    /// The content of a part does not have its digest.
    Content,
}

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DocumentError::Manifest => {
                f.write_str("the list of parts is unreadable; read it from another daemon")
            }
            DocumentError::TooLarge(length) => {
                write!(f, "the document has {length} bytes; split it into smaller documents")
            }
            DocumentError::Ranges => {
                f.write_str("the ranges of parts are not in the document; read its list of parts")
            }
            DocumentError::Content => {
                f.write_str("a part does not have its digest; read it from another daemon")
            }
        }
    }
}

impl error::Error for DocumentError {}

/// Ranges of the indexes of parts.
pub type PartRanges = SmallVec<[ops::Range<usize>; 4]>;

/// Encodes ranges as text, such as `0-3,7-8`; the end of a range is excluded.
pub fn encode_ranges(ranges: &[ops::Range<usize>]) -> String {
    let texts: Vec<_> =
        ranges.iter().map(|range| format!("{}-{}", range.start, range.end)).collect();
    texts.join(",")
}

/// Decodes ranges of parts.
///
/// # Errors
///
/// Fails if the text is not a list of ranges.
pub fn decode_ranges(text: &str) -> Result<PartRanges, DocumentError> {
    let decode = |range: &str| {
        let (start, end) = range.split_once('-')?;
        Some(start.parse().ok()?..end.parse().ok()?)
    };
    let ranges: Option<PartRanges> = text.split(',').map(decode).collect();
    ranges.ok_or(DocumentError::Ranges)
}

impl DocumentManifest {
    /// Splits a document into parts.
    pub fn split(revision: quantity::RevisionNumber, text: &[u8]) -> Self {
        let (min, average, max) = PART_SIZES;
        let chunks = v2020::FastCDC::new(text, min, average, max);
        let part = |chunk: v2020::Chunk| DocumentPart {
            digest: PartDigest::of(&text[chunk.offset..chunk.offset + chunk.length]),
            length: chunk.length as u32,
        };
        DocumentManifest { revision, parts: chunks.map(part).collect() }
    }

    /// Encodes the list of parts.
    ///
    /// # Errors
    ///
    /// Fails if the list can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Decodes a list of parts of a document of at most `max_length` bytes.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a list of parts, or the document would be larger.
    pub fn decode(bytes: &[u8], max_length: u64) -> Result<Self, DocumentError> {
        let manifest: DocumentManifest =
            postcard::from_bytes(bytes).map_err(|_| DocumentError::Manifest)?;
        match manifest.length() {
            length if length > max_length => Err(DocumentError::TooLarge(length)),
            _ => Ok(manifest),
        }
    }

    /// Returns the length of the document, in bytes.
    pub fn length(&self) -> u64 {
        self.parts.iter().map(|part| u64::from(part.length)).sum()
    }

    /// Returns the parts of `text`, which is the document, compressed.
    ///
    /// # Errors
    ///
    /// Fails if the ranges are not in the document.
    pub fn compress(
        &self,
        text: &[u8],
        ranges: &[ops::Range<usize>],
    ) -> Result<Vec<u8>, DocumentError> {
        let mut offsets = Vec::with_capacity(self.parts.len() + 1);
        offsets.push(0);
        for part in &self.parts {
            offsets.push(offsets[offsets.len() - 1] + part.length as usize);
        }
        let mut content = Vec::new();
        for range in ranges {
            let (Some(start), Some(end)) = (offsets.get(range.start), offsets.get(range.end))
            else {
                return Err(DocumentError::Ranges);
            };
            content.extend_from_slice(text.get(*start..*end).ok_or(DocumentError::Ranges)?);
        }
        let mut compressed = Vec::new();
        let read = read::DeflateEncoder::new(&content[..], flate2::Compression::fast())
            .read_to_end(&mut compressed);
        read.map_err(|_: io::Error| DocumentError::Content)?;
        Ok(compressed)
    }
}

/// Parts of documents that a daemon has.
#[derive(Clone, Debug, Default)]
pub struct PartStore {
    parts: collections::HashMap<PartDigest, sync::Arc<[u8]>>,
}

impl PartStore {
    /// Adds the parts of a document.
    pub fn add_document(&mut self, manifest: &DocumentManifest, text: &[u8]) {
        let mut rest = text;
        for part in &manifest.parts {
            let Some((content, next)) = rest.split_at_checked(part.length as usize) else { return };
            self.parts.insert(part.digest, content.into());
            rest = next;
        }
    }

    /// Returns the next parts to request: the first ones that are missing, up to a bounded size.
    pub fn missing(&self, manifest: &DocumentManifest) -> PartRanges {
        let mut ranges = PartRanges::new();
        let mut bytes = 0;
        for (index, part) in manifest.parts.iter().enumerate() {
            if self.parts.contains_key(&part.digest) {
                continue;
            }
            let is_adjacent = ranges.last().is_some_and(|range| range.end == index);
            let is_full = bytes + u64::from(part.length) > MAX_BATCH_BYTES
                || !is_adjacent && ranges.len() == MAX_BATCH_RANGES;
            if is_full && !ranges.is_empty() {
                break;
            }
            bytes += u64::from(part.length);
            match ranges.last_mut().filter(|_| is_adjacent) {
                Some(range) => range.end = index + 1,
                None => ranges.push(index..index + 1),
            }
        }
        ranges
    }

    /// Adds the parts in `ranges` of a document from their compressed content.
    ///
    /// # Errors
    ///
    /// Fails if the content is not that of the parts; parts before the wrong one are added.
    pub fn add_compressed(
        &mut self,
        manifest: &DocumentManifest,
        ranges: &[ops::Range<usize>],
        compressed: &[u8],
    ) -> Result<(), DocumentError> {
        let mut decoder = read::DeflateDecoder::new(compressed);
        for range in ranges {
            let parts = manifest.parts.get(range.clone()).ok_or(DocumentError::Ranges)?;
            for part in parts {
                let mut content = vec![0; part.length as usize];
                decoder.read_exact(&mut content).map_err(|_| DocumentError::Content)?;
                if PartDigest::of(&content) != part.digest {
                    return Err(DocumentError::Content);
                }
                self.parts.insert(part.digest, content.into());
            }
        }
        Ok(())
    }

    /// Returns the document, or `None` if a part is missing.
    pub fn assemble(&self, manifest: &DocumentManifest) -> Option<Vec<u8>> {
        let mut text = Vec::with_capacity(manifest.length() as usize);
        for part in &manifest.parts {
            text.extend_from_slice(self.parts.get(&part.digest)?);
        }
        Some(text)
    }
}
