//! Asks the system for the inode of one end of a connection.
//!
//! The table in `/proc/net/tcp` has every connection of the machine, tens of thousands on a busy
//! one; the system's socket diagnosis looks one up.

use std::net;

use rustix::net as system;

/// Bytes of a question: a header of 16 and `inet_diag_req_v2` of 56.
const QUESTION_BYTES: usize = 72;

/// Bytes of an answer to the end of the inode, and room for more.
const ANSWER_BYTES: usize = 512;

/// `SOCK_DIAG_BY_FAMILY`, the type of questions and of answers that found the socket.
const BY_FAMILY: u16 = 20;

/// `NLM_F_REQUEST`.
const IS_REQUEST: u16 = 1;

/// `AF_INET` and `IPPROTO_TCP`.
const TCP_OVER_IPV4: [u8; 2] = [2, 6];

/// Where an answer holds the inode: after the header, `inet_diag_msg` has it as its last field.
const INODE_AT: usize = 84;

/// The inode of the socket at `local` that is connected to `remote`; none where there is none.
pub(crate) fn inode_of(local: net::SocketAddr, remote: net::SocketAddr) -> Option<u32> {
    let question = question(local, remote)?;
    let socket = system::socket_with(
        system::AddressFamily::NETLINK,
        system::SocketType::RAW,
        system::SocketFlags::CLOEXEC,
        Some(system::netlink::SOCK_DIAG),
    );
    let socket = socket.ok()?;
    system::send(&socket, &question, system::SendFlags::empty()).ok()?;
    let mut answer = [0; ANSWER_BYTES];
    system::recv(&socket, &mut answer, system::RecvFlags::empty()).ok()?;
    let kind = u16::from_ne_bytes([answer[4], answer[5]]);
    let inode = answer[INODE_AT..].first_chunk().map(|bytes| u32::from_ne_bytes(*bytes));
    inode.filter(|_| kind == BY_FAMILY)
}

fn question(local: net::SocketAddr, remote: net::SocketAddr) -> Option<[u8; QUESTION_BYTES]> {
    let (net::SocketAddr::V4(local), net::SocketAddr::V4(remote)) = (local, remote) else {
        return None;
    };
    let mut question = [0; QUESTION_BYTES];
    question[0..4].copy_from_slice(&(QUESTION_BYTES as u32).to_ne_bytes());
    question[4..6].copy_from_slice(&BY_FAMILY.to_ne_bytes());
    question[6..8].copy_from_slice(&IS_REQUEST.to_ne_bytes());
    question[16..18].copy_from_slice(&TCP_OVER_IPV4);
    // Sockets in every state.
    question[20..24].fill(u8::MAX);
    question[24..26].copy_from_slice(&local.port().to_be_bytes());
    question[26..28].copy_from_slice(&remote.port().to_be_bytes());
    question[28..32].copy_from_slice(&local.ip().octets());
    question[44..48].copy_from_slice(&remote.ip().octets());
    // No cookie: whichever socket has these ends.
    question[64..72].fill(u8::MAX);
    Some(question)
}
