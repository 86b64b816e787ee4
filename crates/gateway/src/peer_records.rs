//! Records that daemons serve to each other over HTTP: the policy's text and the replica entries.

use std::net::SocketAddr;

use samphiremoor_base::time;
use samphiremoor_fleet::replica;
use samphiremoor_httpio::persistent;
use samphiremoor_platform::table;

use crate::core;

/// Timeout of a request to a peer for its policy or its entries.
const RECORDS_TIMEOUT: time::Millis = time::Millis::new(800);
/// Path of the policy's text.
const POLICY_PATH: &str = "/policy";
/// Path of the known replica entries.
const ENTRIES_PATH: &str = "/entries";

/// Responds to a peer's request; the flag is `false` if there is nothing to serve.
pub fn respond(core: &core::GatewayCore, target: &str) -> (bool, Vec<u8>) {
    match target {
        POLICY_PATH => {
            let text = core.state.borrow().policy_text.to_vec();
            (!text.is_empty(), text)
        }
        ENTRIES_PATH => encode_entries(core),
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
        limit: RECORDS_TIMEOUT,
    };
    match client.call(&request).await {
        Ok(response) if response.status == 200 => Ok(response.body),
        Ok(response) => Err(table::PlatformError::NotDone(
            format!("the peer has no such record (status {})", response.status).into(),
        )),
        Err(cause) => Err(table::PlatformError::NotDone(cause.to_string().into())),
    }
}

fn encode_entries(core: &core::GatewayCore) -> (bool, Vec<u8>) {
    let state = core.state.borrow();
    let entries: Vec<_> = state.replicas.iter().map(|known_replica| &known_replica.entry).collect();
    match postcard::to_stdvec(&entries) {
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
pub async fn read_entries(
    address: SocketAddr,
) -> Result<Vec<replica::ReplicaEntry>, table::PlatformError> {
    let bytes = fetch(address, ENTRIES_PATH).await?;
    let decode_error = |cause: postcard::Error| {
        table::PlatformError::NotDone(format!("unreadable entries: {cause}").into())
    };
    postcard::from_bytes(&bytes).map_err(decode_error)
}
