//! Resets of connections by servers that have begun to respond.

use std::io::Read as _;
use std::net;
use std::thread;
use std::time;

/// When a server resets a connection on which it has begun to respond.
#[derive(Clone, Copy, Debug)]
pub enum ResetTime {
    /// Right behind its bytes.
    AtOnce,
    /// Some milliseconds later, while the writer of the request waits.
    Later,
    /// After it has read a part of the request meanwhile.
    AfterReading,
}

impl ResetTime {
    /// Resets a connection at this time.
    pub fn reset(self, mut stream: net::TcpStream) {
        match self {
            ResetTime::AtOnce => {}
            ResetTime::Later => thread::sleep(time::Duration::from_millis(20)),
            ResetTime::AfterReading => {
                let mut bytes = vec![0; 64 * 1024];
                for _ in 0..8 {
                    let _ = stream.read(&mut bytes);
                }
            }
        }
        let no_linger = Some(time::Duration::ZERO);
        rustix::net::sockopt::set_socket_linger(&stream, no_linger)
            .expect("the socket accepts the option");
    }
}
