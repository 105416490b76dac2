//! Connections between schedulers, for messages that do not fit a datagram. Of two schedulers the one with the lower
//! ordinal connects, and connects again after a connection was lost. The sessions of `brackenledge-failover` retransmit
//! on the new connection what had not arrived.

use super::Context;
use super::buffered_stream::BufferedStream;
use super::connector::connect;
use super::event_loop::{Connection, Flow, Millis, Owner, drive, flush_output};
use super::job_failover::{JobFailover, LinkError};
use super::listener::accept_next;
use brackenledge_failover::{Frame, MAX_FRAME_LEN, ProcessId};
use mio::net::{TcpListener, TcpStream};
use slab::Slab;
use std::net::SocketAddr;

/// Bytes of output beyond which no further frame is encoded. Frames that the peer has not room for wait in its session.
const MAX_OUTPUT: usize = 256 * 1024;
/// Room for input beyond one frame of the greatest length, in bytes.
const INPUT_MARGIN: usize = 64 * 1024;
/// Time between two attempts to connect to a peer, in milliseconds.
const RECONNECT_INTERVAL: Millis = 200.0;
/// A connection whose peer has not identified itself by then is closed.
const IDENTIFICATION_TIMEOUT: Millis = 1_000.0;
/// Most connections beyond one for each scheduler, for peers that have not identified themselves yet.
const MAX_UNIDENTIFIED: usize = 16;
/// The byte that ends each frame.
const FRAME_END: u8 = 0;

/// Why a frame closes its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseReason {
    /// The frame violates the protocol.
    ProtocolError,
    /// A newer process has the peer's ordinal, or failover is off.
    Obsolete,
}

impl From<LinkError> for CloseReason {
    fn from(error: LinkError) -> CloseReason {
        match error {
            LinkError::Protocol(_) => CloseReason::ProtocolError,
            LinkError::Superseded => CloseReason::Obsolete,
        }
    }
}

/// A connection with another scheduler.
struct PeerConnection {
    stream: BufferedStream,
    is_connecting: bool,
    /// When it was dialed or accepted.
    opened_at: Millis,
    /// The ordinal that we connected to; `None`: the peer connected.
    dialed: Option<u16>,
    /// The peer, once it has identified itself.
    peer: Option<ProcessId>,
    /// Number of schedulers in the settings.
    cluster_size: usize,
    /// Our own identity when the connection was made.
    local: ProcessId,
}

impl PeerConnection {
    fn send(&mut self, frame: &Frame) {
        self.stream.buffer.push(&frame.encode());
    }

    fn handle_frame(&mut self, frame: Frame, cx: &mut Context) -> Result<(), CloseReason> {
        let job_failover = cx.job_failover.as_mut().ok_or(CloseReason::Obsolete)?;
        match (frame, self.peer) {
            (Frame::Hello { from, zone }, None) => self.handle_hello(from, zone, job_failover),
            (frame, Some(peer)) => Ok(job_failover.handle_frame(peer, frame)?),
            _ => Err(CloseReason::ProtocolError),
        }
    }

    fn handle_hello(
        &mut self,
        from: ProcessId,
        zone: u32,
        job_failover: &mut JobFailover,
    ) -> Result<(), CloseReason> {
        let is_other = usize::from(from.ordinal) < self.cluster_size && from.ordinal != self.local.ordinal;
        if !is_other || self.dialed.is_some_and(|dialed| dialed != from.ordinal) {
            return Err(CloseReason::ProtocolError);
        }
        // Of two processes with one ordinal only the newer one is accepted.
        let resume = job_failover.accept_peer(from, zone).ok_or(CloseReason::Obsolete)?;
        self.peer = Some(from);
        self.send(&resume);
        Ok(())
    }

    /// The next whole frame's bytes, removed from the input.
    fn next_input_frame(&mut self) -> Option<Vec<u8>> {
        let input = self.stream.buffer.input();
        let end = input.iter().position(|&byte| byte == FRAME_END)?;
        let bytes = input[..=end].to_vec();
        self.stream.buffer.consume(end + 1);
        Some(bytes)
    }
}

impl Connection<Context<'_>> for PeerConnection {
    fn stream(&mut self) -> &mut BufferedStream {
        &mut self.stream
    }

    fn is_connecting(&self) -> bool {
        self.is_connecting
    }

    fn on_open(&mut self, cx: &mut Context) -> Flow {
        self.is_connecting = false;
        if let Some(job_failover) = cx.job_failover {
            let hello = job_failover.hello();
            self.send(&hello);
        }
        Flow::Keep
    }

    fn on_input(&mut self, cx: &mut Context) -> Flow {
        while let Some(mut bytes) = self.next_input_frame() {
            let frame = Frame::decode(&mut bytes).map_err(|_| CloseReason::ProtocolError);
            let Err(reason) = frame.and_then(|frame| self.handle_frame(frame, cx)) else { continue };
            if let (CloseReason::ProtocolError, Some(job_failover)) = (reason, cx.job_failover.as_mut()) {
                job_failover.protocol_errors += 1;
            }
            return Flow::Close;
        }
        if self.stream.buffer.input().len() <= MAX_FRAME_LEN { Flow::Keep } else { Flow::Close }
    }

    fn on_end(&mut self, _cx: &mut Context) {}

    fn max_input(&self) -> usize {
        MAX_FRAME_LEN + INPUT_MARGIN
    }
}

/// The listener and all connections with other schedulers.
pub struct PeerLinks {
    listener: TcpListener,
    /// Where each scheduler listens, by ordinal.
    addresses: Vec<SocketAddr>,
    local_ordinal: u16,
    connections: Slab<PeerConnection>,
    /// When each peer was last connected to, by ordinal.
    last_attempts: Vec<Millis>,
}

impl PeerLinks {
    /// Links on a listener that is bound already. `addresses`: where each scheduler listens, by ordinal.
    pub fn new(listener: TcpListener, addresses: Vec<SocketAddr>, local_ordinal: u16) -> PeerLinks {
        let last_attempts = vec![f64::NEG_INFINITY; addresses.len()];
        PeerLinks { listener, addresses, local_ordinal, connections: Slab::new(), last_attempts }
    }

    /// The listener, for the poll.
    pub fn listener(&mut self) -> &mut TcpListener {
        &mut self.listener
    }

    /// Accepts the connections that wait.
    pub fn accept(&mut self, cx: &mut Context) {
        // Out of descriptors, connections wait until the next one comes: a peer that gets no answer connects again.
        while let Ok(Some(stream)) = accept_next(&self.listener) {
            if self.connections.len() < self.addresses.len() + MAX_UNIDENTIFIED {
                self.open(stream, None, cx);
            }
        }
    }

    /// Opens a connection on a stream that was accepted, or dialed to the ordinal `dialed`.
    fn open(&mut self, stream: TcpStream, dialed: Option<u16>, cx: &mut Context) {
        let Some(job_failover) = cx.job_failover else { return };
        let is_connecting = dialed.is_some();
        let mut connection = PeerConnection {
            stream: BufferedStream::new(stream),
            is_connecting,
            opened_at: cx.now,
            dialed,
            peer: None,
            cluster_size: self.addresses.len(),
            local: job_failover.local(),
        };
        if !is_connecting {
            connection.send(&job_failover.hello());
        }
        let at = self.connections.insert(connection);
        if cx.event_loop.register(&mut self.connections[at].stream.socket, Owner::PeerLink(at)).is_err() {
            self.connections.remove(at);
        }
    }

    /// The poll reports an event of a connection.
    pub fn on_ready(&mut self, at: usize, cx: &mut Context) {
        let Some(connection) = self.connections.get_mut(at) else { return };
        let was_identified = connection.peer.is_some();
        let flow = drive(connection, cx);
        if let (false, Some(peer)) = (was_identified, connection.peer) {
            self.replace_connection(peer, at, cx);
        }
        match flow {
            Flow::Keep => {}
            Flow::Requeue => cx.event_loop.requeue(Owner::PeerLink(at)),
            Flow::Close => self.close(at, cx),
        }
    }

    /// A peer has identified itself on its newest connection: the one before, if any, is lost, noticed or not.
    fn replace_connection(&mut self, peer: ProcessId, newest: usize, cx: &mut Context) {
        let is_same_peer =
            |connection: &PeerConnection| connection.peer.is_some_and(|other| other.ordinal == peer.ordinal);
        let mut connections = self.connections.iter();
        let replaced = connections.find(|(at, connection)| *at != newest && is_same_peer(connection));
        if let Some((at, _)) = replaced {
            self.remove(at, cx);
        }
    }

    /// Closes connections that are of no use, and connects to peers that are not connected.
    pub fn handle_timeout(&mut self, cx: &mut Context) {
        let Some(local) = cx.job_failover.as_ref().map(JobFailover::local) else { return };
        self.close_obsolete(local, cx);
        self.connect_missing(cx);
    }

    /// Closes connections whose peers did not identify themselves in time, and those that were opened under an earlier
    /// incarnation of this process.
    fn close_obsolete(&mut self, local: ProcessId, cx: &mut Context) {
        let is_obsolete = |connection: &PeerConnection| {
            let is_late = cx.now >= connection.opened_at + IDENTIFICATION_TIMEOUT;
            (connection.peer.is_none() && is_late) || connection.local != local
        };
        let connections = self.connections.iter();
        let obsolete: Vec<usize> =
            connections.filter(|(_, connection)| is_obsolete(connection)).map(|(at, _)| at).collect();
        obsolete.into_iter().for_each(|at| self.close(at, cx));
    }

    /// Connects to the schedulers of higher ordinals that are not connected.
    fn connect_missing(&mut self, cx: &mut Context) {
        for peer in (self.local_ordinal + 1)..self.addresses.len() as u16 {
            let is_dialed = self.connections.iter().any(|(_, connection)| connection.dialed == Some(peer));
            let index = usize::from(peer);
            if is_dialed || cx.now < self.last_attempts[index] + RECONNECT_INTERVAL {
                continue;
            }
            self.last_attempts[index] = cx.now;
            if let Ok(stream) = connect(self.addresses[index]) {
                self.open(stream, Some(peer), cx);
            }
        }
    }

    /// Encodes and writes the frames that wait, as far as the peers read them.
    pub fn flush(&mut self, cx: &mut Context) {
        let mut closed = Vec::new();
        for (at, connection) in self.connections.iter_mut() {
            let Some(peer) = connection.peer else { continue };
            let mut written = false;
            while connection.stream.buffer.output().len() < MAX_OUTPUT
                && let Some(frame) =
                    cx.job_failover.as_mut().and_then(|job_failover| job_failover.poll_frame(peer))
            {
                connection.send(&frame);
                written = true;
            }
            if written && flush_output(connection, cx) == Flow::Close {
                closed.push(at);
            }
        }
        closed.into_iter().for_each(|at| self.close(at, cx));
    }

    /// Whether all output is written.
    pub fn is_flushed(&self) -> bool {
        self.connections.iter().all(|(_, connection)| connection.stream.buffer.output().is_empty())
    }

    /// Closes a connection, and tells failover that the peer has no link.
    fn close(&mut self, at: usize, cx: &mut Context) {
        if let (Some(peer), Some(job_failover)) = (self.connections[at].peer, cx.job_failover.as_mut()) {
            job_failover.link_closed(peer);
        }
        self.remove(at, cx);
    }

    /// Closes a connection without telling failover, for which the peer's link goes on.
    fn remove(&mut self, at: usize, cx: &mut Context) {
        let mut connection = self.connections.remove(at);
        cx.event_loop.deregister(&mut connection.stream.socket);
    }
}
