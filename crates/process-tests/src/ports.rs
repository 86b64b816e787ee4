//! Free loopback ports.

use std::net;
use std::process;
use std::sync::atomic;

/// First port that is tried. The range lies below the one from which the system takes the ports of
/// outgoing connections, so that a port stays free until its process listens.
const FIRST_PORT: u32 = 11_000;

/// Number of ports in the range.
const PORT_COUNT: u32 = 9_000;

/// Ports between the starts of two test processes with successive process numbers.
const PROCESS_STRIDE: u32 = 131;

static TAKEN: atomic::AtomicU32 = atomic::AtomicU32::new(0);

/// A loopback address that nobody listens on; no address is given twice by one process.
pub fn free_address() -> net::SocketAddr {
    let start = process::id().wrapping_mul(PROCESS_STRIDE);
    for _ in 0..PORT_COUNT {
        let offset = start.wrapping_add(TAKEN.fetch_add(1, atomic::Ordering::Relaxed));
        let port = (FIRST_PORT + offset % PORT_COUNT) as u16;
        let address = net::SocketAddr::from(([127, 0, 0, 1], port));
        if net::TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no free port from {FIRST_PORT} on; end other test processes");
}
