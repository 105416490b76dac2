//! Short messages between schedulers, over UDP. They may come late or never.

use super::Context;
use super::cluster::Heard;
use brackenledge_protocol::config::PeerConfig;
use mio::net::UdpSocket;
use std::io::{self, ErrorKind};

/// The longest message; a longer one must never be sent.
const MESSAGE_MOST: usize = 256;

pub struct Peer {
    pub socket: UdpSocket,
    config: PeerConfig,
    ordinal: u32,
}

impl Peer {
    /// Binds the address with SO_REUSEPORT: a process that replaces this one binds it while this one still runs.
    /// Messages are then shared between the two, which the senders take as loss, as they take any.
    pub fn bind(config: PeerConfig, ordinal: u32) -> io::Result<Self> {
        use socket2::{Domain, Socket, Type};
        let socket = Socket::new(Domain::for_address(config.listen), Type::DGRAM, None)?;
        socket.set_reuse_port(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&config.listen.into())?;
        Ok(Peer { socket: UdpSocket::from_std(socket.into()), config, ordinal })
    }

    /// Sends a message to one scheduler, or to all others. What the network does not take is lost.
    pub fn tell(&self, to: Option<u32>, text: &str) {
        self.send(to, text.as_bytes());
    }

    /// Sends bytes that are the tier's own.
    pub fn send(&self, to: Option<u32>, bytes: &[u8]) {
        if bytes.len() > MESSAGE_MOST {
            return;
        }
        let send = |address| {
            let _ = self.socket.send_to(bytes, address);
        };
        match (to, self.config.all) {
            (Some(to), _) => self.config.peers.get(to as usize).copied().into_iter().for_each(send),
            (None, Some(all)) => send(all),
            (None, None) => {
                let others =
                    self.config.peers.iter().enumerate().filter(|(at, _)| *at != self.ordinal as usize);
                others.map(|(_, &address)| address).for_each(send);
            }
        }
    }

    /// How many schedulers there are, ourselves included.
    pub fn seats(&self) -> usize {
        self.config.peers.len()
    }

    /// Takes in what has come. Senders are known by their addresses; others, and what is no text, are ignored.
    pub fn on_input(&mut self, cx: &mut Context) {
        let mut buffer = [0; MESSAGE_MOST + 1];
        loop {
            let (length, sender) = match self.socket.recv_from(&mut buffer) {
                Ok(received) => received,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // Word that an earlier message met a closed port ends one read, not the socket.
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionRefused | ErrorKind::Interrupted) => {
                    continue;
                }
                Err(_) => return,
            };
            let from = self.config.peers.iter().position(|&peer| peer == sender);
            let whole = length <= MESSAGE_MOST;
            let known = from.filter(|&from| whole && from != self.ordinal as usize);
            if let (Some(from), Some(cluster)) = (known, cx.cluster.as_mut())
                && let Some(heard) = cluster.handle_message(from as u16, &buffer[..length])
            {
                // Sums told under a term that holds, or what is the tier's own.
                match (heard, &mut *cx.zones) {
                    (Heard::Sums(text), _) => cx.core.message(from as u32, text),
                    (Heard::Plan(bytes), Some(zones)) => zones.handle_plan(cx.now, &bytes),
                    (Heard::Seen(bytes), Some(zones)) => zones.handle_report(cx.now, from as u16, &bytes),
                    _ => {}
                }
                continue;
            }
            let text = std::str::from_utf8(&buffer[..length]).ok().filter(|_| length <= MESSAGE_MOST);
            if let (Some(from), Some(text)) = (from, text)
                && from != self.ordinal as usize
                && !cx.endpoints.handle_message(cx.now, from as u32, text)
            {
                cx.core.message(from as u32, text.to_owned());
            }
        }
    }
}
