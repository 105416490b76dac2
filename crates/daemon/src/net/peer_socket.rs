//! The UDP socket for datagrams between schedulers, which may be lost, late, repeated or out of order.

use brackenledge_protocol::config::PeerConfig;
use mio::net::UdpSocket;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

#[cfg(test)]
mod tests;

/// Upper limit of a datagram in bytes. Longer ones are neither sent nor received.
pub const MAX_DATAGRAM_LENGTH: usize = 256;

/// The socket, and the addresses of the other schedulers.
pub struct PeerSocket {
    pub socket: UdpSocket,
    config: PeerConfig,
    ordinal: u16,
}

impl PeerSocket {
    /// Binds the address with SO_REUSEPORT: a process that replaces this one binds it while this one still runs.
    /// Each datagram then reaches only one of the two, which is a loss to the other.
    pub fn bind(config: PeerConfig, ordinal: u16) -> io::Result<Self> {
        use socket2::{Domain, Socket, Type};
        let socket = Socket::new(Domain::for_address(config.listen), Type::DGRAM, None)?;
        // With the option, a port that the system chooses (port 0) could be one that another such socket has.
        socket.set_reuse_port(config.listen.port() != 0)?;
        socket.set_nonblocking(true)?;
        socket.bind(&config.listen.into())?;
        socket.set_reuse_port(true)?;
        Ok(PeerSocket { socket: UdpSocket::from_std(socket.into()), config, ordinal })
    }

    /// Number of schedulers, this one included.
    pub fn cluster_size(&self) -> usize {
        self.config.peers.len()
    }

    /// Sends a datagram to the scheduler of this ordinal.
    pub fn send_to(&self, ordinal: u16, bytes: &[u8]) {
        if let Some(&address) = self.config.peers.get(usize::from(ordinal)) {
            self.send(address, bytes);
        }
    }

    /// Sends a datagram to all other schedulers: by the broadcast address, where the configuration has one.
    pub fn broadcast(&self, bytes: &[u8]) {
        if let Some(address) = self.config.broadcast {
            self.send(address, bytes);
            return;
        }
        let peers = self.config.peers.iter().enumerate();
        let others = peers.filter(|(ordinal, _)| *ordinal != usize::from(self.ordinal));
        others.for_each(|(_, &address)| self.send(address, bytes));
    }

    /// A datagram that is too long is not sent; one that the socket does not accept is lost.
    fn send(&self, address: SocketAddr, bytes: &[u8]) {
        if bytes.len() <= MAX_DATAGRAM_LENGTH {
            let _ = self.socket.send_to(bytes, address);
        }
    }

    /// The ordinal of the other scheduler that sends from this address.
    fn peer_at(&self, address: SocketAddr) -> Option<u16> {
        let position = self.config.peers.iter().position(|&peer| peer == address)?;
        let ordinal = u16::try_from(position).ok()?;
        (ordinal != self.ordinal).then_some(ordinal)
    }

    /// The next datagram of another scheduler, and that scheduler's ordinal. Datagrams from addresses of no scheduler are
    /// ignored, and so are those that are too long. `None`: nothing more to read.
    pub fn receive<'a>(&self, buffer: &'a mut ReceiveBuffer) -> Option<(u16, &'a [u8])> {
        loop {
            let (length, sender) = match self.socket.recv_from(&mut buffer.0) {
                Ok(received) => received,
                // A read reports that an earlier datagram was sent to a closed port; the next one may succeed.
                Err(error)
                    if matches!(error.kind(), ErrorKind::ConnectionRefused | ErrorKind::Interrupted) =>
                {
                    continue;
                }
                Err(_) => return None,
            };
            if let (Some(from), true) = (self.peer_at(sender), length <= MAX_DATAGRAM_LENGTH) {
                return Some((from, &buffer.0[..length]));
            }
        }
    }
}

/// Room for the longest datagram and one byte more, which shows that a datagram is too long.
pub struct ReceiveBuffer([u8; MAX_DATAGRAM_LENGTH + 1]);

impl ReceiveBuffer {
    pub fn new() -> Self {
        ReceiveBuffer([0; MAX_DATAGRAM_LENGTH + 1])
    }
}
