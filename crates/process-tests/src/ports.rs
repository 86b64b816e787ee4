//! Free loopback ports.

use std::net;
use std::process;
use std::sync::atomic;

/// First port of the range. The range lies below the system's ephemeral ports, so that no outgoing
/// connection takes a port before its process listens.
const FIRST_PORT: u32 = 11_000;

/// Number of ports in the range.
const PORT_COUNT: u32 = 9_000;

/// Distance between the first ports of two test processes with successive process ids, so that
/// processes that run at once rarely try the same ports.
const PROCESS_STRIDE: u32 = 131;

static NEXT_OFFSET: atomic::AtomicU32 = atomic::AtomicU32::new(0);

/// Returns a loopback address that no process listens on. Never returns the same address twice in
/// one process, until the range is exhausted.
pub fn free_address() -> net::SocketAddr {
    let start = process::id().wrapping_mul(PROCESS_STRIDE);
    for _ in 0..PORT_COUNT {
        let offset = start.wrapping_add(NEXT_OFFSET.fetch_add(1, atomic::Ordering::Relaxed));
        let port = (FIRST_PORT + offset % PORT_COUNT) as u16;
        let address = net::SocketAddr::from(([127, 0, 0, 1], port));
        if net::TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no free port from {FIRST_PORT} on; stop other test processes");
}
