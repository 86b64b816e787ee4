//! Records that daemons serve to each other over HTTP: the policy's text, whole or in parts, and the
//! replica entries.

use std::net::SocketAddr;

use samphiremoor_base::id;
use samphiremoor_base::position;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_fleet::document;
use samphiremoor_fleet::document_fetch;
use samphiremoor_fleet::entry_copy;
use samphiremoor_fleet::replica;
use samphiremoor_httpio::client;
use samphiremoor_httpio::persistent;
use samphiremoor_platform::table;
use serde::Deserialize;
use serde::Serialize;

use crate::core;
use crate::internal_response;

/// Timeout for the response of a peer to a request for its entries to begin, and to go on.
const RECORDS_TIMEOUT: time::Millis = time::Millis::new(800);
/// Timeout for the response of a peer to a request for its document to begin, and to go on.
const DOCUMENT_TIMEOUT: time::Millis = time::Millis::new(500);
/// Path of the policy's whole text, which peers of earlier releases read and serve.
const POLICY_PATH: &str = "/policy";
/// Path of the list of the parts of the policy's text.
const MANIFEST_PATH: &str = "/policy/manifest";
/// Prefix of the path of parts of the policy's text, before the revision and ranges of parts.
const PARTS_PREFIX: &str = "/policy/parts/";
/// Path of the known replica entries.
const ENTRIES_PATH: &str = "/entries";

/// Entry of a replica as it is sent to peers. Its layout is that of earlier releases, which know no
/// software versions: they read the list of entries and ignore the list of versions that follows.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
struct EntryWire {
    id: id::ReplicaId,
    service: id::ServiceId,
    address: SocketAddr,
    zone: id::ZoneId,
    slots: u32,
    is_draining: bool,
    incarnation: quantity::Incarnation,
    is_reclaimable: bool,
    time_to_reclaim: Option<time::Millis>,
}

impl From<&replica::ReplicaEntry> for EntryWire {
    fn from(entry: &replica::ReplicaEntry) -> Self {
        EntryWire {
            id: entry.id.clone(),
            service: entry.service.clone(),
            address: entry.address,
            zone: entry.zone.clone(),
            slots: entry.slots,
            is_draining: entry.is_draining,
            incarnation: entry.incarnation,
            is_reclaimable: entry.is_reclaimable,
            time_to_reclaim: entry.time_to_reclaim,
        }
    }
}

impl From<EntryWire> for replica::ReplicaEntry {
    fn from(wire: EntryWire) -> Self {
        replica::ReplicaEntry {
            id: wire.id,
            service: wire.service,
            address: wire.address,
            zone: wire.zone,
            version: None,
            slots: wire.slots,
            is_draining: wire.is_draining,
            incarnation: wire.incarnation,
            is_reclaimable: wire.is_reclaimable,
            time_to_reclaim: wire.time_to_reclaim,
        }
    }
}

/// Software versions of the entries, in their order.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
struct VersionsWire(Vec<Option<String>>);

/// Position of the table that the entries match, if known.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize, Serialize)]
struct PositionWire(Option<position::StorePosition>);

/// Stamp of the entries. Peers of earlier releases send none.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
struct StampWire(Option<entry_copy::EntriesStamp>);

/// Replica entries of a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryList {
    /// The entries.
    pub entries: Vec<replica::ReplicaEntry>,
    /// Position of the table that they match; `None` if the peer does not report it.
    pub position: Option<position::StorePosition>,
    /// Whose entries they are, and in which state; `None` if the peer does not report it.
    pub stamp: Option<entry_copy::EntriesStamp>,
}

/// Encodes replica entries for peers, with the position of the table that they match and their stamp.
///
/// # Errors
///
/// Fails if an entry can't be encoded.
pub fn encode_entries(
    entries: &[&replica::ReplicaEntry],
    position: Option<position::StorePosition>,
    stamp: entry_copy::EntriesStamp,
) -> Result<Vec<u8>, postcard::Error> {
    let wires: Vec<_> = entries.iter().map(|entry| EntryWire::from(*entry)).collect();
    let version = |entry: &&replica::ReplicaEntry| entry.version.as_ref().map(ToString::to_string);
    let versions = VersionsWire(entries.iter().map(version).collect());
    let encoded = postcard::to_extend(&versions, postcard::to_stdvec(&wires)?)?;
    let encoded = postcard::to_extend(&PositionWire(position), encoded)?;
    postcard::to_extend(&StampWire(Some(stamp)), encoded)
}

/// Decodes the first value of `bytes`, or returns the default if there are none. Also returns the
/// bytes after it.
fn take_optional<'a, T: Default + Deserialize<'a>>(
    bytes: &'a [u8],
) -> Result<(T, &'a [u8]), postcard::Error> {
    match bytes {
        [] => Ok((T::default(), bytes)),
        _ => postcard::take_from_bytes(bytes),
    }
}

/// Decodes the replica entries of a peer. Those of peers of earlier releases lack the stamp, the
/// position and the stamp, or all that follows the entries.
///
/// # Errors
///
/// Fails if the bytes are not a list of entries, followed by nothing, or by a list of versions, a
/// position and a stamp, of which the last ones may be missing.
pub fn decode_entries(bytes: &[u8]) -> Result<EntryList, postcard::Error> {
    let (wires, rest): (Vec<EntryWire>, _) = postcard::take_from_bytes(bytes)?;
    let (VersionsWire(versions), rest) = take_optional(rest)?;
    let (PositionWire(position), rest) = take_optional(rest)?;
    let (StampWire(stamp), _) = take_optional(rest)?;
    let mut entries: Vec<_> = wires.into_iter().map(replica::ReplicaEntry::from).collect();
    for (entry, version) in entries.iter_mut().zip(versions) {
        entry.version = version.and_then(|version| version.parse().ok());
    }
    Ok(EntryList { entries, position, stamp })
}

/// Responds to a peer's request.
pub fn respond(core: &core::GatewayCore, target: &str) -> internal_response::InternalResponse {
    match target {
        POLICY_PATH => {
            let text = core.state.borrow().document.text().to_vec();
            core.metrics.count_document_bytes(text.len());
            (!text.is_empty(), text).into()
        }
        MANIFEST_PATH => serve_manifest(core),
        ENTRIES_PATH => serve_entries(core).into(),
        _ => match target.strip_prefix(PARTS_PREFIX) {
            Some(request) => serve_parts(core, request),
            None => (false, Vec::new()).into(),
        },
    }
}

/// Serves the list of parts of the document to a daemon that begins to read it.
fn serve_manifest(core: &core::GatewayCore) -> internal_response::InternalResponse {
    let mut state = core.state.borrow_mut();
    if state.document.text().is_empty() {
        return (false, Vec::new()).into();
    }
    let slot = state.uploads.admit_reader(core.now());
    let encode = || state.document.manifest().encode();
    serve_slot(core, slot, || match encode() {
        Ok(bytes) => Some(bytes),
        Err(cause) => {
            log::warn!("failed to encode the list of parts ({cause}); peers must read the table");
            None
        }
    })
}

/// Serves parts of the document.
fn serve_parts(core: &core::GatewayCore, request: &str) -> internal_response::InternalResponse {
    let state = core.state.borrow();
    serve_slot(core, state.uploads.take(), || {
        state.document.compressed_parts(request).map(|bytes| bytes.to_vec())
    })
}

/// Serves what `encode` returns, or turns the reader away if there is no slot for it.
fn serve_slot(
    core: &core::GatewayCore,
    slot: Option<document_fetch::UploadSlot>,
    encode: impl FnOnce() -> Option<Vec<u8>>,
) -> internal_response::InternalResponse {
    let Some(slot) = slot else {
        return internal_response::InternalResponse {
            status: internal_response::InternalStatus::Busy,
            body: Vec::new(),
            slot: None,
        };
    };
    let Some(body) = encode() else { return (false, Vec::new()).into() };
    core.metrics.count_document_bytes(body.len());
    internal_response::InternalResponse {
        status: internal_response::InternalStatus::Found,
        body,
        slot: Some(slot),
    }
}

/// Performs a step of reading the document from a peer.
///
/// # Errors
///
/// Fails if the peer does not respond.
pub async fn read_document(
    step: &document_fetch::FetchStep,
) -> Result<document_fetch::FetchOutcome, client::CallError> {
    let (address, target) = match step {
        document_fetch::FetchStep::ReadManifest(address) => (*address, MANIFEST_PATH.to_owned()),
        document_fetch::FetchStep::ReadParts(address, revision, ranges) => {
            let ranges = document::encode_ranges(ranges);
            (*address, format!("{PARTS_PREFIX}{revision}/{ranges}"))
        }
        document_fetch::FetchStep::ReadWhole(address) => (*address, POLICY_PATH.to_owned()),
        document_fetch::FetchStep::Wait(_) | document_fetch::FetchStep::Finished(_) => {
            return Ok(document_fetch::FetchOutcome::Unsupported);
        }
    };
    let limit = persistent::CallLimit::Progress { head: DOCUMENT_TIMEOUT, step: DOCUMENT_TIMEOUT };
    let response = get(address, &target, limit).await?;
    Ok(match response.status {
        200 => document_fetch::FetchOutcome::Served(response.body),
        429 => document_fetch::FetchOutcome::Busy,
        _ => document_fetch::FetchOutcome::Unsupported,
    })
}

async fn get(
    address: SocketAddr,
    target: &str,
    limit: persistent::CallLimit,
) -> Result<persistent::ClientResponse, client::CallError> {
    let client = persistent::PersistentClient::new(address, DOCUMENT_TIMEOUT);
    let request =
        persistent::ClientRequest { method: "GET", target, fields: &[], body: &[], limit };
    client.call(&request).await
}

async fn fetch(address: SocketAddr, path: &str) -> Result<Vec<u8>, table::PlatformError> {
    let limit = persistent::CallLimit::Progress { head: RECORDS_TIMEOUT, step: RECORDS_TIMEOUT };
    match get(address, path, limit).await {
        Ok(response) if response.status == 200 => Ok(response.body),
        Ok(response) => Err(table::PlatformError::NotDone(
            format!("the peer has no such record (status {})", response.status).into(),
        )),
        Err(cause) => Err(table::PlatformError::NotDone(cause.to_string().into())),
    }
}

fn serve_entries(core: &core::GatewayCore) -> (bool, Vec<u8>) {
    let state = core.state.borrow();
    let entries: Vec<_> = state.replicas.iter().map(|known_replica| &known_replica.entry).collect();
    let stamp = entry_copy::EntriesStamp {
        daemon: core.settings.daemon.clone(),
        incarnation: core.incarnation,
        version: state.replicas.version(),
    };
    match encode_entries(&entries, state.replicas.position(), stamp) {
        Ok(bytes) => (!entries.is_empty(), bytes),
        Err(cause) => {
            log::warn!("failed to encode the replica entries ({cause}); peers must read the table");
            (false, Vec::new())
        }
    }
}

/// Reads the known replica entries from a peer.
///
/// # Errors
///
/// Fails if the peer does not respond or knows no entries.
pub async fn read_entries(address: SocketAddr) -> Result<EntryList, table::PlatformError> {
    let bytes = fetch(address, ENTRIES_PATH).await?;
    let decode_error = |cause: postcard::Error| {
        table::PlatformError::NotDone(format!("unreadable entries: {cause}").into())
    };
    decode_entries(&bytes).map_err(decode_error)
}
