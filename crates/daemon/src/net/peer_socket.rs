//! Datagrams between schedulers, over UDP. They may be lost, late, repeated or out of order.

use brackenledge_protocol::config::PeerConfig;
use mio::net::UdpSocket;
use std::io::{self, ErrorKind};

/// Upper limit of a datagram in bytes. Longer ones are neither sent nor taken.
pub const MAX_DATAGRAM_LENGTH: usize = 256;

/// The socket, and the addresses of the other schedulers.
pub struct PeerSocket {
    pub socket: UdpSocket,
    config: PeerConfig,
    ordinal: u32,
}

impl PeerSocket {
    /// Binds the address with SO_REUSEPORT: a process that replaces this one binds it while this one still runs.
    /// Datagrams are then shared between the two, which the senders take as loss.
    pub fn bind(config: PeerConfig, ordinal: u32) -> io::Result<Self> {
        use socket2::{Domain, Socket, Type};
        let socket = Socket::new(Domain::for_address(config.listen), Type::DGRAM, None)?;
        socket.set_reuse_port(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&config.listen.into())?;
        Ok(PeerSocket { socket: UdpSocket::from_std(socket.into()), config, ordinal })
    }

    /// Number of schedulers, this one included.
    pub fn cluster_size(&self) -> usize {
        self.config.peers.len()
    }

    /// Sends a text to one scheduler, or to all others.
    pub fn send_text(&self, to: Option<u32>, text: &str) {
        self.send(to, text.as_bytes());
    }

    /// Sends bytes to one scheduler, or to all others. What the network does not take is lost.
    pub fn send(&self, to: Option<u32>, bytes: &[u8]) {
        if bytes.len() > MAX_DATAGRAM_LENGTH {
            return;
        }
        let send = |address| {
            let _ = self.socket.send_to(bytes, address);
        };
        match (to, self.config.broadcast) {
            (Some(to), _) => self.config.peers.get(to as usize).copied().into_iter().for_each(send),
            (None, Some(all)) => send(all),
            (None, None) => {
                let peers = self.config.peers.iter().enumerate();
                let others = peers.filter(|(ordinal, _)| *ordinal != self.ordinal as usize);
                others.map(|(_, &address)| address).for_each(send);
            }
        }
    }

    /// The next datagram of another scheduler, with its ordinal. Senders are known by their addresses: datagrams of
    /// others are ignored, and so are those that are too long. `None`: nothing more to read.
    pub fn receive<'a>(&self, buffer: &'a mut ReceiveBuffer) -> Option<(u32, &'a [u8])> {
        loop {
            let (length, sender) = match self.socket.recv_from(&mut buffer.0) {
                Ok(received) => received,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return None,
                // That an earlier datagram met a closed port ends one read, not the socket.
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionRefused | ErrorKind::Interrupted) => {
                    continue;
                }
                Err(_) => return None,
            };
            let from = self.config.peers.iter().position(|&peer| peer == sender);
            let other = from.filter(|&from| from != self.ordinal as usize);
            if let (Some(from), true) = (other, length <= MAX_DATAGRAM_LENGTH) {
                return Some((from as u32, &buffer.0[..length]));
            }
        }
    }
}

/// Room for one datagram, and a byte more: so one that is too long is found out.
pub struct ReceiveBuffer([u8; MAX_DATAGRAM_LENGTH + 1]);

impl ReceiveBuffer {
    pub fn new() -> Self {
        ReceiveBuffer([0; MAX_DATAGRAM_LENGTH + 1])
    }
}
