//! Lookup of the socket inode of one end of a connection.
//!
//! `/proc/net/tcp` lists every connection of the machine, tens of thousands on a busy one. The
//! kernel's socket diagnosis interface (`NETLINK_SOCK_DIAG`) looks up a single connection.

use std::net;

use rustix::net as system;

/// Size of a request: a netlink header of 16 bytes and `inet_diag_req_v2` of 56 bytes.
const REQUEST_BYTES: usize = 72;

/// Size of the response buffer; a response up to the inode field fits.
const RESPONSE_BYTES: usize = 512;

/// `SOCK_DIAG_BY_FAMILY`: message type of requests, and of responses that found the socket.
const SOCK_DIAG_BY_FAMILY: u16 = 20;

/// `NLM_F_REQUEST`: flag of a request.
const REQUEST_FLAG: u16 = 1;

/// `AF_INET` and `IPPROTO_TCP`.
const IPV4_TCP: [u8; 2] = [2, 6];

/// Offset of the inode in a response: the last field of `inet_diag_msg`, which follows the netlink
/// header.
const INODE_OFFSET: usize = 84;

/// Returns the inode of the socket at `local` that is connected to `remote`, or `None` if there is
/// no such socket.
pub(crate) fn inode_of(local: net::SocketAddr, remote: net::SocketAddr) -> Option<u32> {
    let request = request(local, remote)?;
    let socket = system::socket_with(
        system::AddressFamily::NETLINK,
        system::SocketType::RAW,
        system::SocketFlags::CLOEXEC,
        Some(system::netlink::SOCK_DIAG),
    );
    let socket = socket.ok()?;
    system::send(&socket, &request, system::SendFlags::empty()).ok()?;
    let mut response = [0; RESPONSE_BYTES];
    system::recv(&socket, &mut response, system::RecvFlags::empty()).ok()?;
    let message_type = u16::from_ne_bytes([response[4], response[5]]);
    let inode = response[INODE_OFFSET..].first_chunk().map(|bytes| u32::from_ne_bytes(*bytes));
    inode.filter(|_| message_type == SOCK_DIAG_BY_FAMILY)
}

fn request(local: net::SocketAddr, remote: net::SocketAddr) -> Option<[u8; REQUEST_BYTES]> {
    let (net::SocketAddr::V4(local), net::SocketAddr::V4(remote)) = (local, remote) else {
        return None;
    };
    let mut request = [0; REQUEST_BYTES];
    request[0..4].copy_from_slice(&(REQUEST_BYTES as u32).to_ne_bytes());
    request[4..6].copy_from_slice(&SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    request[6..8].copy_from_slice(&REQUEST_FLAG.to_ne_bytes());
    request[16..18].copy_from_slice(&IPV4_TCP);
    // Matches sockets in every state.
    request[20..24].fill(u8::MAX);
    request[24..26].copy_from_slice(&local.port().to_be_bytes());
    request[26..28].copy_from_slice(&remote.port().to_be_bytes());
    request[28..32].copy_from_slice(&local.ip().octets());
    request[44..48].copy_from_slice(&remote.ip().octets());
    // Sets no cookie, so that any socket with these ends matches.
    request[64..72].fill(u8::MAX);
    Some(request)
}
