//! Records that daemons serve to each other over HTTP: the policy's text and the replica entries.

use std::net::SocketAddr;

use samphiremoor_base::id;
use samphiremoor_base::position;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_fleet::replica;
use samphiremoor_httpio::persistent;
use samphiremoor_platform::table;
use serde::Deserialize;
use serde::Serialize;

use crate::core;

/// Timeout of a request to a peer for its policy or its entries.
const RECORDS_TIMEOUT: time::Millis = time::Millis::new(800);
/// Path of the policy's text.
const POLICY_PATH: &str = "/policy";
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

/// Replica entries of a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryList {
    /// The entries.
    pub entries: Vec<replica::ReplicaEntry>,
    /// Position of the table that they match; `None` if the peer does not report it.
    pub position: Option<position::StorePosition>,
}

/// Encodes replica entries for peers, with the position of the table that they match.
///
/// # Errors
///
/// Fails if an entry can't be encoded.
pub fn encode_entries(
    entries: &[&replica::ReplicaEntry],
    position: Option<position::StorePosition>,
) -> Result<Vec<u8>, postcard::Error> {
    let wires: Vec<_> = entries.iter().map(|entry| EntryWire::from(*entry)).collect();
    let version = |entry: &&replica::ReplicaEntry| entry.version.as_ref().map(ToString::to_string);
    let versions = VersionsWire(entries.iter().map(version).collect());
    let encoded = postcard::to_extend(&versions, postcard::to_stdvec(&wires)?)?;
    postcard::to_extend(&PositionWire(position), encoded)
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

/// Decodes the replica entries of a peer. Those of peers of earlier releases have no position, or
/// neither versions nor position.
///
/// # Errors
///
/// Fails if the bytes are not a list of entries, followed by nothing, a list of versions, or a list
/// of versions and a position.
pub fn decode_entries(bytes: &[u8]) -> Result<EntryList, postcard::Error> {
    let (wires, rest): (Vec<EntryWire>, _) = postcard::take_from_bytes(bytes)?;
    let (VersionsWire(versions), rest) = take_optional(rest)?;
    let (PositionWire(position), _) = take_optional(rest)?;
    let mut entries: Vec<_> = wires.into_iter().map(replica::ReplicaEntry::from).collect();
    for (entry, version) in entries.iter_mut().zip(versions) {
        entry.version = version.and_then(|version| version.parse().ok());
    }
    Ok(EntryList { entries, position })
}

/// Responds to a peer's request; the flag is `false` if there is nothing to serve.
pub fn respond(core: &core::GatewayCore, target: &str) -> (bool, Vec<u8>) {
    match target {
        POLICY_PATH => {
            let text = core.state.borrow().policy_text.to_vec();
            core.metrics.count_document_bytes(text.len());
            (!text.is_empty(), text)
        }
        ENTRIES_PATH => serve_entries(core),
        _ => (false, Vec::new()),
    }
}

/// Reads the policy's text from a peer.
///
/// # Errors
///
/// Fails if the peer does not respond or has no policy.
pub async fn read_policy(address: SocketAddr) -> Result<Vec<u8>, table::PlatformError> {
    fetch(address, POLICY_PATH).await
}

async fn fetch(address: SocketAddr, path: &str) -> Result<Vec<u8>, table::PlatformError> {
    let client = persistent::PersistentClient::new(address, RECORDS_TIMEOUT);
    let request = persistent::ClientRequest {
        method: "GET",
        target: path,
        fields: &[],
        body: &[],
        limit: persistent::CallLimit::Whole(RECORDS_TIMEOUT),
    };
    match client.call(&request).await {
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
    match encode_entries(&entries, state.replicas.position()) {
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
