//! The proxy's datagrams: each scheduler has a socket of the proxy for each other scheduler, and one for all of them.

use super::listener::any_loopback_port;
use super::runtime::Runtime;
use super::sources::{DatagramRoute, Source};
use mio::Interest;
use mio::net::UdpSocket;
use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

/// More than the longest datagram of a scheduler.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// The sockets on which datagrams are received, and from which they are delivered.
#[derive(Default)]
pub struct DatagramProxy {
    sockets: HashMap<DatagramRoute, UdpSocket>,
}

impl DatagramProxy {
    /// Opens the socket of a route.
    pub fn open(&mut self, runtime: &mut Runtime, route: DatagramRoute) -> io::Result<()> {
        let mut socket = UdpSocket::bind(any_loopback_port())?;
        runtime.sources.register(&mut socket, Interest::READABLE, Source::Datagrams(route))?;
        self.sockets.insert(route, socket);
        Ok(())
    }

    /// The address to which a scheduler sends datagrams of a route; `None`: it has no socket.
    pub fn address(&self, route: DatagramRoute) -> Option<io::Result<SocketAddr>> {
        self.sockets.get(&route).map(UdpSocket::local_addr)
    }

    /// The next datagram that the scheduler with this address has sent.
    pub fn receive(&self, route: DatagramRoute, sender: SocketAddr) -> Option<Vec<u8>> {
        let socket = self.sockets.get(&route)?;
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            match socket.recv_from(&mut buffer) {
                Ok((length, from)) if from == sender => return Some(buffer[..length].to_vec()),
                Ok(_) => {}
                Err(error) if is_transient(&error) => {}
                Err(_) => return None,
            }
        }
    }

    /// Sends a datagram to its receiver, from the socket that this knows as the sender's.
    pub fn deliver(&self, from: usize, to: usize, bytes: &[u8], receiver: SocketAddr) {
        let back = DatagramRoute { from: to, to: Some(from) };
        if let Some(socket) = self.sockets.get(&back) {
            // A receiver that is down loses it.
            let _ = socket.send_to(bytes, receiver);
        }
    }
}

/// An interrupted call, or the report that an earlier datagram found no receiver.
fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::ConnectionRefused | ErrorKind::Interrupted)
}
