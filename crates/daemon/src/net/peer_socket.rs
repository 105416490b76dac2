//! The UDP socket for datagrams between schedulers. Datagrams may be lost, delayed, duplicated or reordered.

use brackenledge_protocol::config::PeerConfig;
use mio::net::UdpSocket;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

#[cfg(test)]
mod tests;

/// Maximum length of a datagram in bytes. Longer ones are neither sent nor received.
pub const MAX_DATAGRAM_LENGTH: usize = 256;

/// The socket, and the addresses of all schedulers.
pub struct PeerSocket {
    /// Registered with the event loop by the owner.
    pub socket: UdpSocket,
    config: PeerConfig,
    ordinal: u16,
}

impl PeerSocket {
    /// Binds the configured address with SO_REUSEPORT, so that a replacement process can bind it while this
    /// one is still running. Each datagram then reaches only one of the two processes, and is lost for the
    /// other.
    pub fn bind(config: PeerConfig, ordinal: u16) -> io::Result<Self> {
        use socket2::{Domain, Socket, Type};
        let socket = Socket::new(Domain::for_address(config.listen), Type::DGRAM, None)?;
        // If the option were set, the system could choose for port 0 a port that another such socket already
        // uses.
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

    /// Sends a datagram to the scheduler with this ordinal.
    pub fn send_to(&self, ordinal: u16, bytes: &[u8]) {
        if let Some(&address) = self.config.peers.get(usize::from(ordinal)) {
            self.send(address, bytes);
        }
    }

    /// Sends a datagram to all other schedulers, through the broadcast address if one is configured.
    pub fn broadcast(&self, bytes: &[u8]) {
        if let Some(address) = self.config.broadcast {
            self.send(address, bytes);
            return;
        }
        let peers = self.config.peers.iter().enumerate();
        let others = peers.filter(|(ordinal, _)| *ordinal != usize::from(self.ordinal));
        others.for_each(|(_, &address)| self.send(address, bytes));
    }

    /// Sends a datagram unless it is too long. If the socket does not accept it, it is lost.
    fn send(&self, address: SocketAddr, bytes: &[u8]) {
        if bytes.len() <= MAX_DATAGRAM_LENGTH {
            let _ = self.socket.send_to(bytes, address);
        }
    }

    /// The ordinal of the scheduler with this address, unless it is this one.
    fn peer_at(&self, address: SocketAddr) -> Option<u16> {
        let position = self.config.peers.iter().position(|&peer| peer == address)?;
        let ordinal = u16::try_from(position).ok()?;
        (ordinal != self.ordinal).then_some(ordinal)
    }

    /// Receives the next datagram from another scheduler, with that scheduler's ordinal. Datagrams from
    /// unknown addresses and datagrams that are too long are skipped. Returns `None` when there is nothing
    /// more to read.
    pub fn receive<'a>(&self, buffer: &'a mut ReceiveBuffer) -> Option<(u16, &'a [u8])> {
        loop {
            let (length, sender) = match self.socket.recv_from(&mut buffer.0) {
                Ok(received) => received,
                // `ConnectionRefused` reports that an earlier datagram was sent to a closed port. Reading can
                // go on.
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

/// Buffer for the longest datagram and one more byte, by which datagrams that are too long are detected.
pub struct ReceiveBuffer([u8; MAX_DATAGRAM_LENGTH + 1]);

impl ReceiveBuffer {
    pub fn new() -> Self {
        ReceiveBuffer([0; MAX_DATAGRAM_LENGTH + 1])
    }
}
