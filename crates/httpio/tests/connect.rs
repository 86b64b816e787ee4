//! Connections that open while the process is paused.

use std::net;
use std::pin;
use std::thread;

use async_std::task;
use samphiremoor_base::time;
use samphiremoor_httpio::connection;

/// Time limit for connecting, of which the pause is several times.
const CONNECT_TIMEOUT: time::Millis = time::Millis::new(20);
const PAUSE: time::Millis = time::Millis::new(100);
/// Connections that are being opened at the pause.
const CONNECTIONS: usize = 16;

// A timer fires as soon as the process goes on; that the connection is open is only known then.
#[test]
fn connection_that_opens_during_a_pause_times_out() {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    task::block_on(async {
        for _ in 0..CONNECTIONS {
            let mut connecting =
                pin::pin!(connection::RawConnection::connect(address, CONNECT_TIMEOUT));
            let early = futures_lite::future::poll_once(connecting.as_mut()).await;
            thread::sleep(PAUSE.to_duration());
            let connected = match early {
                Some(connected) => connected,
                None => connecting.await,
            };
            assert!(connected.is_ok(), "{:?}", connected.err());
        }
    });
}
