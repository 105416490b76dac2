//! TCP connections between schedulers, for messages that do not fit in a datagram. Of two schedulers, the one
//! with the lower ordinal connects, and reconnects after a connection was lost. The sessions of
//! `brackenledge-failover` retransmit on the new connection the messages that had not arrived.

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

/// Number of buffered output bytes from which on no further frame is encoded. Until the peer reads on, its
/// frames stay in its session.
const MAX_OUTPUT: usize = 256 * 1024;
/// Capacity of the input buffer beyond one frame of maximum length, in bytes.
const INPUT_MARGIN: usize = 64 * 1024;
/// Minimum time between two attempts to connect to the same peer, in milliseconds.
const RECONNECT_INTERVAL: Millis = 200.0;
/// A connection whose peer has not identified itself within this time, in milliseconds, is closed.
const IDENTIFICATION_TIMEOUT: Millis = 1_000.0;
/// Maximum number of connections in addition to one per scheduler, for peers that have not identified
/// themselves yet.
const MAX_UNIDENTIFIED: usize = 16;
/// The byte that ends each frame.
const FRAME_END: u8 = 0;

/// Why a frame closes its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseReason {
    /// The frame violates the protocol.
    ProtocolError,
    /// The session is with a later incarnation of the peer or was discarded, or failover is disabled.
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
    /// When this process started to connect, or accepted the connection.
    opened_at: Millis,
    /// The ordinal that this process connected to; `None` if the connection was accepted.
    dialed: Option<u16>,
    /// The peer, once it has identified itself.
    peer: Option<ProcessId>,
    /// Number of schedulers in the configuration.
    cluster_size: usize,
    /// The identity of this process when the connection was opened.
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
        // Of two processes with the same ordinal, only the one with the later incarnation is accepted.
        let resume = job_failover.accept_peer(from, zone).ok_or(CloseReason::Obsolete)?;
        self.peer = Some(from);
        self.send(&resume);
        Ok(())
    }

    /// Removes the next complete frame from the input and returns its bytes.
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
    /// The address at which each scheduler listens, by ordinal.
    addresses: Vec<SocketAddr>,
    local_ordinal: u16,
    connections: Slab<PeerConnection>,
    /// When the last attempt to connect to each peer began, by ordinal.
    last_attempts: Vec<Millis>,
}

impl PeerLinks {
    /// `listener` is already bound. `addresses`: the address at which each scheduler listens, by ordinal.
    pub fn new(listener: TcpListener, addresses: Vec<SocketAddr>, local_ordinal: u16) -> PeerLinks {
        let last_attempts = vec![f64::NEG_INFINITY; addresses.len()];
        PeerLinks { listener, addresses, local_ordinal, connections: Slab::new(), last_attempts }
    }

    /// The listener, for registration with the event loop.
    pub fn listener(&mut self) -> &mut TcpListener {
        &mut self.listener
    }

    /// Accepts all pending connections.
    pub fn accept(&mut self, cx: &mut Context) {
        // If descriptors run out, pending connections stay in the backlog until the next one arrives. A peer
        // that gets no response in time reconnects.
        while let Ok(Some(stream)) = accept_next(&self.listener) {
            if self.connections.len() < self.addresses.len() + MAX_UNIDENTIFIED {
                self.open(stream, None, cx);
            }
        }
    }

    /// Adds a connection for a stream that was accepted, or that connects to the ordinal `dialed`.
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

    /// Handles a readiness event of the connection in slot `at`.
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

    /// Removes the previous connection of a peer that has identified itself on a new one. The previous
    /// connection is lost, even if no error was reported for it.
    fn replace_connection(&mut self, peer: ProcessId, newest: usize, cx: &mut Context) {
        let is_same_peer =
            |connection: &PeerConnection| connection.peer.is_some_and(|other| other.ordinal == peer.ordinal);
        let mut connections = self.connections.iter();
        let replaced = connections.find(|(at, connection)| *at != newest && is_same_peer(connection));
        if let Some((at, _)) = replaced {
            self.remove(at, cx);
        }
    }

    /// Closes obsolete connections, and connects to peers without one.
    pub fn handle_timeout(&mut self, cx: &mut Context) {
        let Some(local) = cx.job_failover.as_ref().map(JobFailover::local) else { return };
        self.close_obsolete(local, cx);
        self.connect_missing(cx);
    }

    /// Closes connections whose peer did not identify itself in time, and those opened under an earlier
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

    /// Connects to each scheduler with a higher ordinal to which there is no connection.
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

    /// Encodes and writes pending frames, as far as the output buffers and sockets accept them.
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

    /// Whether the output buffers of all connections are empty.
    pub fn is_flushed(&self) -> bool {
        self.connections.iter().all(|(_, connection)| connection.stream.buffer.output().is_empty())
    }

    /// Closes a connection, and reports to failover that the peer has no link.
    fn close(&mut self, at: usize, cx: &mut Context) {
        if let (Some(peer), Some(job_failover)) = (self.connections[at].peer, cx.job_failover.as_mut()) {
            job_failover.link_closed(peer);
        }
        self.remove(at, cx);
    }

    /// Closes a connection without reporting it to failover, for which the peer's link continues on another
    /// connection.
    fn remove(&mut self, at: usize, cx: &mut Context) {
        let mut connection = self.connections.remove(at);
        cx.event_loop.deregister(&mut connection.stream.socket);
    }
}
