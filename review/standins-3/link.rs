//! Link to a process that can be cut: new channels to it don't open, and nothing that is sent to it arrives.
//! What it sends arrives if the cut is in one direction.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

unsafe extern "C" {
    /// The system's call, with which a listener's queue is made shorter. The standard library has no other
    /// way to do so.
    fn listen(socket: i32, backlog: i32) -> i32;
}

/// Connections that fill the queue of a listener nobody accepts from.
const FILLERS: usize = 4;

pub struct Link {
    pub address: SocketAddr,
    /// When a read of the replicas' rows last passed.
    pub last_read: Arc<Mutex<Option<Instant>>>,
    state: Arc<LinkState>,
    listener: TcpListener,
    fillers: Vec<TcpStream>,
}

/// Which ways are cut.
#[derive(Default)]
struct LinkState {
    is_cut: AtomicBool,
    is_cut_back: AtomicBool,
}

impl Link {
    /// Opens a link to a process.
    pub fn open(process: SocketAddr) -> std::io::Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let state = Arc::new(LinkState::default());
        let last_read = Arc::new(Mutex::new(None));
        let (accepting, carried, read) = (listener.try_clone()?, state.clone(), last_read.clone());
        std::thread::spawn(move || {
            while !carried.is_cut.load(Ordering::SeqCst) {
                match accepting.accept() {
                    Ok((stream, _)) => carry(stream, process, &carried, &read),
                    Err(cause) if cause.kind() == ErrorKind::WouldBlock => {
                        std::thread::sleep(Duration::from_millis(1));
                    }
                    Err(_) => return,
                }
            }
        });
        Ok(Link { address, last_read, state, listener, fillers: Vec::new() })
    }

    /// Cuts the way to the process, and the way back if `cuts_both` is set.
    pub fn cut(&mut self, cuts_both: bool) {
        self.state.is_cut_back.store(cuts_both, Ordering::SeqCst);
        self.state.is_cut.store(true, Ordering::SeqCst);
    }

    /// Lets no new channel open any more, after a cut.
    pub fn close(&mut self) {
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
fn carry(
    requester: TcpStream,
    process: SocketAddr,
    state: &Arc<LinkState>,
    last_read: &Arc<Mutex<Option<Instant>>>,
) {
    // Where nothing listens, the channel is reset: it ends with unread bytes or at once.
    let Ok(upstream) = TcpStream::connect_timeout(&process, Duration::from_millis(200)) else { return };
    let options = (requester.set_nonblocking(false), requester.set_nodelay(true), upstream.set_nodelay(true));
    let (Ok(()), Ok(()), Ok(())) = options else { return };
    let (Ok(from_requester), Ok(to_upstream)) = (requester.try_clone(), upstream.try_clone()) else { return };
    let (there, back, last_read) = (state.clone(), state.clone(), last_read.clone());
    std::thread::spawn(move || {
        copy(from_requester, to_upstream, &there.is_cut, |bytes| {
            if bytes.windows(READ_MARK.len()).any(|window| window == READ_MARK) {
                *last_read.lock().expect("no thread panics with the lock") = Some(Instant::now());
            }
        });
    });
    std::thread::spawn(move || copy(upstream, requester, &back.is_cut_back, |_| {}));
}

/// Part of each request that reads the replicas' rows.
const READ_MARK: &[u8] = b"table=servers";

/// Passes bytes and their end on, unless the way is cut.
fn copy(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool, observe: impl Fn(&[u8])) {
    let mut buffer = [0; 65536];
    loop {
        let read = from.read(&mut buffer);
        if is_cut.load(Ordering::SeqCst) {
            return;
        }
        match read {
            Ok(count @ 1..) if to.write_all(&buffer[..count]).is_ok() => observe(&buffer[..count]),
            _ => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
        }
    }
}
