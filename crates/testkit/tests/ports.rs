//! Free ports stay free until their process listens.

use std::collections;
use std::fs;
use std::io;
use std::io::BufRead as _;
use std::net;
use std::process;
use std::sync::atomic;
use std::thread;

/// Number of addresses that a process takes. The test processes of the workspace take fewer.
const ADDRESS_COUNT: usize = 300;

/// Number of processes that take addresses at once.
const PROCESS_COUNT: usize = 4;

/// A process that holds free addresses until it is dropped.
struct AddressHolder {
    child: process::Child,
}

impl AddressHolder {
    fn start() -> Self {
        let mut command = process::Command::new(env!("CARGO_BIN_EXE_free-addresses"));
        command.arg(ADDRESS_COUNT.to_string());
        command.stdin(process::Stdio::piped()).stdout(process::Stdio::piped());
        AddressHolder { child: command.spawn().expect("the program starts") }
    }

    fn read_addresses(&mut self) -> Vec<net::SocketAddr> {
        let stdout = self.child.stdout.take().expect("the output is a pipe");
        let lines = io::BufReader::new(stdout).lines().take(ADDRESS_COUNT);
        let line_text = lines.map(|line| line.expect("the output is text"));
        line_text.map(|text| text.parse().expect("each line is an address")).collect()
    }
}

impl Drop for AddressHolder {
    fn drop(&mut self) {
        drop(self.child.stdin.take());
        let _ = self.child.wait();
    }
}

#[test]
fn processes_that_run_at_once_get_different_addresses() {
    let mut holders: Vec<_> = (0..PROCESS_COUNT).map(|_| AddressHolder::start()).collect();
    let addresses: Vec<_> = holders.iter_mut().flat_map(AddressHolder::read_addresses).collect();
    assert_eq!(addresses.len(), PROCESS_COUNT * ADDRESS_COUNT);
    let distinct: collections::BTreeSet<_> = addresses.iter().collect();
    assert_eq!(distinct.len(), addresses.len(), "some address was given out twice");
}

#[test]
fn outgoing_connection_cannot_take_a_free_address() {
    let range = fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range");
    let range = range.expect("the system tells its ephemeral ports");
    let bounds: Vec<u16> = range.split_whitespace().map(|text| text.parse().unwrap()).collect();
    for _ in 0..ADDRESS_COUNT {
        let address = samphiremoor_testkit::free_address();
        assert!(!(bounds[0]..=bounds[1]).contains(&address.port()), "{address} is ephemeral");
    }
}

// A process that another thread starts inherits all sockets until it executes its program.
#[test]
fn address_is_free_while_other_threads_start_processes() {
    let is_done = atomic::AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..2 * PROCESS_COUNT {
            scope.spawn(|| {
                while !is_done.load(atomic::Ordering::Relaxed) {
                    let mut command = process::Command::new(env!("CARGO_BIN_EXE_free-addresses"));
                    command.arg("0").stdin(process::Stdio::null());
                    assert!(command.status().expect("the program starts").success());
                }
            });
        }
        let addresses = (0..2 * ADDRESS_COUNT).map(|_| samphiremoor_testkit::free_address());
        let failed: Vec<_> =
            addresses.filter(|address| net::TcpListener::bind(address).is_err()).collect();
        is_done.store(true, atomic::Ordering::Relaxed);
        assert!(failed.is_empty(), "in use: {failed:?}");
    });
}

// A daemon binds both kinds of socket to its address for peers.
#[test]
fn free_address_accepts_a_listener_and_a_datagram_socket() {
    let address = samphiremoor_testkit::free_address();
    let _listener = net::TcpListener::bind(address).expect("no listener has the address");
    let _socket = net::UdpSocket::bind(address).expect("no datagram socket has the address");
}
