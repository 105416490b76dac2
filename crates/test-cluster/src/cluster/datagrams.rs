//! The proxy's datagram sockets: for each scheduler, one per other scheduler and one for broadcasts to all of
//! them.

use super::listener::any_loopback_port;
use super::runtime::Runtime;
use super::sources::{DatagramRoute, Source};
use mio::Interest;
use mio::net::UdpSocket;
use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

/// Size of the receive buffer; longer than any datagram that a scheduler sends.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// The sockets that receive the schedulers' datagrams and from which these are delivered.
#[derive(Default)]
pub struct DatagramProxy {
    sockets: HashMap<DatagramRoute, UdpSocket>,
}

impl DatagramProxy {
    /// Opens the socket of a route and registers it with the poll.
    pub fn open(&mut self, runtime: &mut Runtime, route: DatagramRoute) -> io::Result<()> {
        let mut socket = UdpSocket::bind(any_loopback_port())?;
        runtime.sources.register(&mut socket, Interest::READABLE, Source::Datagrams(route))?;
        self.sockets.insert(route, socket);
        Ok(())
    }

    /// The address to which a scheduler sends datagrams of a route; `None` if the route has no socket.
    pub fn address(&self, route: DatagramRoute) -> Option<io::Result<SocketAddr>> {
        self.sockets.get(&route).map(UdpSocket::local_addr)
    }

    /// Receives the next datagram of a route. Datagrams that do not come from `sender` are dropped.
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

    /// Sends a datagram to `receiver` from the socket that the receiving scheduler knows as the sender's
    /// address.
    pub fn deliver(&self, from: usize, to: usize, bytes: &[u8], receiver: SocketAddr) {
        let reverse_route = DatagramRoute { from: to, to: Some(from) };
        if let Some(socket) = self.sockets.get(&reverse_route) {
            // If the receiver is down, the datagram is lost.
            let _ = socket.send_to(bytes, receiver);
        }
    }
}

/// Whether receiving can be retried: the call was interrupted, or reported that an earlier datagram had no
/// receiver.
fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::ConnectionRefused | ErrorKind::Interrupted)
}
