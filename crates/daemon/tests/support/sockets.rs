//! Loopback sockets, and their state in the kernel's socket table.

use super::TEST_TIMEOUT;
use socket2::Socket;
use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Time in which a dropped SYN has been retransmitted twice: TCP does so 1 s and 3 s after the first.
pub const SYN_RETRANSMISSION_TIMEOUT: Duration = Duration::from_millis(3_600);

/// Binds a listener to a free loopback port.
pub fn bind_loopback() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

pub fn address_of(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("local_addr")
}

/// Accepts the next connection to a scripted peer. A failure is reported at the caller's line.
#[track_caller]
pub fn accept(listener: &TcpListener) -> TcpStream {
    // A blocking accept would never return if the scheduler has died; the test must fail then.
    listener.set_nonblocking(true).expect("set_nonblocking");
    let since = Instant::now();
    let stream = loop {
        match listener.accept() {
            Ok((stream, _)) => break stream,
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                assert!(since.elapsed() < TEST_TIMEOUT, "no connection to {}", address_of(listener));
            }
            Err(e) => panic!("accept on {}: {e}", address_of(listener)),
        }
        std::thread::sleep(Duration::from_millis(1));
    };
    stream.set_nonblocking(false).expect("set_nonblocking");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set_read_timeout");
    stream
}

/// Whether the peer has closed the connection; blocks until it does, sends a byte, or the read times out.
pub fn is_closed(stream: &mut TcpStream) -> bool {
    matches!(stream.read(&mut [0; 1]), Ok(0) | Err(_))
}

/// Resets a connection: closing a socket with a linger time of zero sends RST.
pub fn reset_connection(stream: TcpStream) {
    Socket::from(stream).set_linger(Some(Duration::ZERO)).expect("set_linger");
}

/// Waits until the peer has read everything that was sent on this connection.
pub fn wait_until_read(stream: &TcpStream) {
    let (local, peer) = (stream.local_addr().expect("local_addr"), stream.peer_addr().expect("peer_addr"));
    let hex = |at: SocketAddr| match at {
        SocketAddr::V4(at) => format!("{:08X}:{:04X}", u32::from_le_bytes(at.ip().octets()), at.port()),
        SocketAddr::V6(_) => unreachable!("all sockets are IPv4"),
    };
    // The table's line for the peer's socket, whose receive queue holds the bytes not yet read.
    let address_columns = format!("{} {}", hex(peer), hex(local));
    let since = Instant::now();
    loop {
        let table = std::fs::read_to_string("/proc/net/tcp").expect("the kernel's socket table");
        let line = table.lines().find(|line| line.contains(&address_columns));
        let queues = line.and_then(|line| line.split_whitespace().nth(4));
        if queues.is_none_or(|queues| queues.ends_with(":00000000")) {
            return;
        }
        assert!(since.elapsed() < TEST_TIMEOUT, "the peer has not read everything");
        std::thread::sleep(Duration::from_millis(1));
    }
}
