//! Sockets on loopback, and what the system's table says of them.

use super::TEST_TIMEOUT;
use socket2::Socket;
use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// TCP retransmits a SYN that was dropped after 1 and 3 s.
pub const SYN_RETRANSMISSION_TIMEOUT: Duration = Duration::from_millis(3_600);

/// A listener on a port of the system's.
pub fn bind_loopback() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a port of the system's")
}

pub fn address_of(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("local_addr")
}

/// The next connection to a scripted peer. A failure names the line of the test that waits for it.
#[track_caller]
pub fn accept(listener: &TcpListener) -> TcpStream {
    // A scheduler that has died connects no more, and a test must fail then, not wait.
    listener.set_nonblocking(true).expect("set_nonblocking");
    let since = Instant::now();
    let stream = loop {
        match listener.accept() {
            Ok((stream, _)) => break stream,
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                assert!(since.elapsed() < TEST_TIMEOUT, "nobody has connected to {}", address_of(listener));
            }
            Err(e) => panic!("accept on {}: {e}", address_of(listener)),
        }
        std::thread::sleep(Duration::from_millis(1));
    };
    stream.set_nonblocking(false).expect("set_nonblocking");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set_read_timeout");
    stream
}

/// Whether the other side has closed the connection.
pub fn is_closed(stream: &mut TcpStream) -> bool {
    matches!(stream.read(&mut [0; 1]), Ok(0) | Err(_))
}

/// Closes a connection with a reset.
pub fn reset_connection(stream: TcpStream) {
    Socket::from(stream).set_linger(Some(Duration::ZERO)).expect("set_linger");
}

/// Waits until the other side has taken all that was sent: nothing of it is unacknowledged or unread any more.
pub fn wait_until_read(stream: &TcpStream) {
    let (local, peer) = (stream.local_addr().expect("local_addr"), stream.peer_addr().expect("peer_addr"));
    let hex = |at: SocketAddr| match at {
        SocketAddr::V4(at) => format!("{:08X}:{:04X}", u32::from_le_bytes(at.ip().octets()), at.port()),
        SocketAddr::V6(_) => unreachable!("loopback of IPv4"),
    };
    // The other end of it, by its queue of what was received and not read.
    let ends = format!("{} {}", hex(peer), hex(local));
    let since = Instant::now();
    loop {
        let table = std::fs::read_to_string("/proc/net/tcp").expect("the system's table");
        let line = table.lines().find(|line| line.contains(&ends));
        let queues = line.and_then(|line| line.split_whitespace().nth(4));
        if queues.is_none_or(|queues| queues.ends_with(":00000000")) {
            return;
        }
        assert!(since.elapsed() < TEST_TIMEOUT, "it is not read");
        std::thread::sleep(Duration::from_millis(1));
    }
}
