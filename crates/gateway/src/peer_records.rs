//! Records that daemons tell each other on request: the policy's text and the replica entries.

use std::net::SocketAddr;

use samphiremoor_base::time;
use samphiremoor_fleet::replica;
use samphiremoor_httpio::persistent;
use samphiremoor_platform::table;

use crate::core;

/// Time for a peer to tell its policy or its entries.
const RECORDS_TIME: time::Millis = time::Millis::new(800);
/// Path under which a daemon tells the text of its policy.
const POLICY_PATH: &str = "/policy";
/// Path under which a daemon tells the replica entries that it knows.
const ENTRIES_PATH: &str = "/entries";

/// Answers a peer's question; false where there is nothing to tell.
pub fn answer(core: &core::GatewayCore, target: &str) -> (bool, Vec<u8>) {
    match target {
        POLICY_PATH => {
            let text = core.state.borrow().policy_text.to_vec();
            (!text.is_empty(), text)
        }
        ENTRIES_PATH => encode_entries(core),
        _ => (false, Vec::new()),
    }
}

/// Reads the text of a peer's policy.
///
/// # Errors
///
/// Fails where the peer does not answer or has none.
pub async fn read_policy(address: SocketAddr) -> Result<Vec<u8>, table::PlatformError> {
    ask(address, POLICY_PATH).await
}

async fn ask(address: SocketAddr, path: &str) -> Result<Vec<u8>, table::PlatformError> {
    let client = persistent::PersistentClient::new(address, RECORDS_TIME);
    let call = persistent::ClientRequest {
        method: "GET",
        target: path,
        fields: &[],
        body: &[],
        limit: RECORDS_TIME,
    };
    match client.call(&call).await {
        Ok(answer) if answer.status == 200 => Ok(answer.body),
        Ok(answer) => Err(table::PlatformError::NotDone(
            format!("a peer has none ({})", answer.status).into(),
        )),
        Err(cause) => Err(table::PlatformError::NotDone(cause.to_string().into())),
    }
}

fn encode_entries(core: &core::GatewayCore) -> (bool, Vec<u8>) {
    let state = core.state.borrow();
    let entries: Vec<_> = state.replicas.iter().map(|known| &known.entry).collect();
    match postcard::to_stdvec(&entries) {
        Ok(bytes) => (!entries.is_empty(), bytes),
        Err(cause) => {
            log::warn!("the entries can't be written ({cause}); peers read the table");
            (false, Vec::new())
        }
    }
}

/// Reads the replica entries that a peer knows.
///
/// # Errors
///
/// Fails where the peer does not answer or knows none.
pub async fn read_entries(
    address: SocketAddr,
) -> Result<Vec<replica::ReplicaEntry>, table::PlatformError> {
    let bytes = ask(address, ENTRIES_PATH).await?;
    let unreadable = |cause: postcard::Error| {
        table::PlatformError::NotDone(format!("unreadable entries: {cause}").into())
    };
    postcard::from_bytes(&bytes).map_err(unreadable)
}
