//! Free loopback ports.

use std::io;
use std::net;
use std::os::linux::net::SocketAddrExt as _;
use std::os::unix;
use std::process;
use std::sync;
use std::sync::atomic;
use std::time;

/// First port of the range. The range lies below the system's ephemeral ports, so that no outgoing
/// connection takes a port before its process listens.
const FIRST_PORT: u32 = 20_000;

/// Number of ports in the range.
const PORT_COUNT: u32 = 12_000;

/// Distance between the first ports of two test processes with successive process ids, so that a
/// process rarely gets a port that an ended process used just before.
const PROCESS_STRIDE: u32 = 131;

/// Timeout of the connection that checks a port. Loopback refuses at once.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

static NEXT_OFFSET: atomic::AtomicU32 = atomic::AtomicU32::new(0);

/// Locks of the ports that this process was given. The system releases them when the process ends.
static PORT_LOCKS: sync::Mutex<Vec<unix::net::UnixDatagram>> = sync::Mutex::new(Vec::new());

/// Returns a loopback address on which nothing listens. Its port is locked: no other call returns
/// it, in any process, until this process ends.
///
/// # Panics
///
/// Panics if no port of the range is free.
pub fn free_address() -> net::SocketAddr {
    let start = process::id().wrapping_mul(PROCESS_STRIDE);
    for _ in 0..PORT_COUNT {
        let offset = start.wrapping_add(NEXT_OFFSET.fetch_add(1, atomic::Ordering::Relaxed));
        let port = (FIRST_PORT + offset % PORT_COUNT) as u16;
        let Some(lock) = lock_port(port) else { continue };
        let address = net::SocketAddr::from(([127, 0, 0, 1], port));
        if refuses_connections(address) {
            PORT_LOCKS.lock().expect("no thread panics while holding the lock").push(lock);
            return address;
        }
    }
    panic!("no free port from {FIRST_PORT} on; stop other test processes");
}

/// Locks a port over all processes of the machine, or returns `None` if it is locked already. An
/// abstract socket is the lock, as it has the same scope as the port, the network namespace, and
/// leaves no file behind.
fn lock_port(port: u16) -> Option<unix::net::UnixDatagram> {
    let name = format!("samphiremoor-test-port-{port}");
    let address = unix::net::SocketAddr::from_abstract_name(name).ok()?;
    unix::net::UnixDatagram::bind_addr(&address).ok()
}

/// Returns whether nothing listens at the address. Does not bind it: processes that other threads
/// start at that moment would inherit the socket and hold the port until they execute their program.
fn refuses_connections(address: net::SocketAddr) -> bool {
    let result = net::TcpStream::connect_timeout(&address, CONNECT_TIMEOUT);
    result.is_err_and(|cause| cause.kind() == io::ErrorKind::ConnectionRefused)
}
