//! Link to a replica that can be cut in one direction: what the replica sends still arrives, what is sent
//! to it doesn't, and new channels to it don't open.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

unsafe extern "C" {
    /// The system's call, with which a listener's queue is made shorter. The standard library has no other
    /// way to do so.
    fn listen(socket: i32, backlog: i32) -> i32;
}

/// Connections that fill the queue of a listener nobody accepts from.
const FILLERS: usize = 4;

pub struct Link {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
    listener: TcpListener,
    fillers: Vec<TcpStream>,
}

impl Link {
    /// Opens a link to a replica.
    pub fn open(replica: SocketAddr) -> std::io::Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let is_cut = Arc::new(AtomicBool::new(false));
        let (accepting, cut) = (listener.try_clone()?, is_cut.clone());
        std::thread::spawn(move || {
            while !cut.load(Ordering::SeqCst) {
                match accepting.accept() {
                    Ok((stream, _)) => carry(stream, replica, &cut),
                    Err(cause) if cause.kind() == ErrorKind::WouldBlock => {
                        std::thread::sleep(Duration::from_millis(1));
                    }
                    Err(_) => return,
                }
            }
        });
        Ok(Link { address, is_cut, listener, fillers: Vec::new() })
    }

    /// Cuts the way to the replica.
    pub fn cut(&mut self) {
        self.is_cut.store(true, Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(20));
        // SAFETY: the socket is open, as the listener owns it.
        unsafe { listen(self.listener.as_raw_fd(), 0) };
        for _ in 0..FILLERS {
            let timeout = Duration::from_millis(20);
            self.fillers.extend(TcpStream::connect_timeout(&self.address, timeout));
        }
    }
}

/// Carries a channel.
fn carry(requester: TcpStream, replica: SocketAddr, is_cut: &Arc<AtomicBool>) {
    // Where nothing listens, the channel is reset: it ends with unread bytes or at once.
    let Ok(upstream) = TcpStream::connect_timeout(&replica, Duration::from_millis(200)) else { return };
    let streams = (requester.set_nonblocking(false), requester.set_nodelay(true), upstream.set_nodelay(true));
    let (Ok(()), Ok(()), Ok(())) = streams else { return };
    let (Ok(from_requester), Ok(to_upstream)) = (requester.try_clone(), upstream.try_clone()) else { return };
    let cut = is_cut.clone();
    std::thread::spawn(move || copy(from_requester, to_upstream, Some(&cut)));
    std::thread::spawn(move || copy(upstream, requester, None));
}

/// Passes bytes and their end on, unless the way is cut.
fn copy(mut from: TcpStream, mut to: TcpStream, is_cut: Option<&AtomicBool>) {
    let mut buffer = [0; 65536];
    loop {
        let read = from.read(&mut buffer);
        if is_cut.is_some_and(|is_cut| is_cut.load(Ordering::SeqCst)) {
            return;
        }
        match read {
            Ok(count @ 1..) if to.write_all(&buffer[..count]).is_ok() => {}
            _ => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
        }
    }
}
