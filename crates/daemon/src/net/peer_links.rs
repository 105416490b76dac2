//! Connections between schedulers, for what does not fit a datagram. Of two schedulers the one with the lower ordinal
//! connects. A connection that is lost is made again, and the sessions of `brackenledge-failover` send again on it what
//! had not arrived.

use super::Context;
use super::buffered_stream::BufferedStream;
use super::discovery::deregister;
use super::event_loop::{Connection, Flow, Millis, Owner, drive, push_out};
use super::job_failover::{JobFailover, LinkError};
use brackenledge_failover::{Frame, MAX_FRAME_LEN, ProcessId};
use mio::net::{TcpListener, TcpStream};
use slab::Slab;
use std::io::ErrorKind;
use std::net::SocketAddr;

/// Bytes of output beyond which no further frame is encoded: what a peer does not read waits in its session.
const MAX_OUTPUT: usize = 256 * 1024;
/// Room for input beyond one frame of the greatest length, in bytes.
const INPUT_MARGIN: usize = 64 * 1024;
/// Time between two attempts to connect to a peer, in milliseconds.
const RECONNECT_INTERVAL: Millis = 200.0;
/// A connection whose peer has not identified itself by then is closed.
const IDENTIFICATION_TIMEOUT: Millis = 1_000.0;
/// Most connections beside one for each scheduler: those whose peers have not identified themselves.
const MAX_UNIDENTIFIED: usize = 16;
/// Ends each frame.
const FRAME_END: u8 = 0;

/// Why a connection is to be closed after a frame.
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
    connecting: bool,
    since: Millis,
    /// The ordinal that we connected to; `None`: the peer connected.
    dialed: Option<u16>,
    /// The peer, once it has identified itself.
    peer: Option<ProcessId>,
    /// Schedulers in the cluster.
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
        // Of two processes with one ordinal the older one is not accepted.
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

    fn connecting(&self) -> bool {
        self.connecting
    }

    fn on_open(&mut self, cx: &mut Context) -> Flow {
        self.connecting = false;
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
    /// Our ordinal.
    local: u16,
    connections: Slab<PeerConnection>,
    /// When each peer was last connected to, by ordinal.
    last_attempts: Vec<Millis>,
}

impl PeerLinks {
    /// Links on a listener that is bound already; `addresses` by ordinal, of which ours is `local`.
    pub fn new(listener: TcpListener, addresses: Vec<SocketAddr>, local: u16) -> PeerLinks {
        let last_attempts = vec![f64::NEG_INFINITY; addresses.len()];
        PeerLinks { listener, addresses, local, connections: Slab::new(), last_attempts }
    }

    /// The listener, for the poll.
    pub fn listener(&mut self) -> &mut TcpListener {
        &mut self.listener
    }

    /// Accepts the connections that wait.
    pub fn accept(&mut self, cx: &mut Context) {
        loop {
            match self.listener.accept() {
                Ok((stream, _)) => {
                    if self.connections.len() < self.addresses.len() + MAX_UNIDENTIFIED {
                        self.add(stream, None, cx);
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                // Out of descriptors: the poll reports again while connections wait, and they are accepted then.
                Err(_) => return,
            }
        }
    }

    fn add(&mut self, stream: TcpStream, dialed: Option<u16>, cx: &mut Context) {
        let Some(job_failover) = cx.job_failover else { return };
        let connecting = dialed.is_some();
        let mut connection = PeerConnection {
            stream: BufferedStream::new(stream),
            connecting,
            since: cx.now,
            dialed,
            peer: None,
            cluster_size: self.addresses.len(),
            local: job_failover.local(),
        };
        if !connecting {
            connection.send(&job_failover.hello());
        }
        let at = self.connections.insert(connection);
        if cx.event_loop.watch(&mut self.connections[at].stream.socket, Owner::PeerLink(at)).is_err() {
            self.connections.remove(at);
        }
    }

    /// The poll reports an event of a connection.
    pub fn on_ready(&mut self, at: usize, cx: &mut Context) {
        let Some(connection) = self.connections.get_mut(at) else { return };
        let peer_before = connection.peer;
        let flow = drive(connection, cx);
        let peer = connection.peer;
        if let (None, Some(peer)) = (peer_before, peer) {
            // The newest connection of a peer counts: the one before is lost, whether that has been noticed or not.
            let same = |c: &PeerConnection| c.peer.is_some_and(|other| other.ordinal == peer.ordinal);
            let old = self.connections.iter().find(|(other, c)| *other != at && same(c)).map(|c| c.0);
            if let Some(old) = old {
                self.drop_connection(old, cx);
            }
        }
        match flow {
            Flow::Keep => {}
            Flow::Again => cx.event_loop.call_again(Owner::PeerLink(at)),
            Flow::Close => self.remove(at, cx),
        }
    }

    /// Makes connections that are missing, and closes those whose peers did not identify themselves.
    pub fn handle_timeout(&mut self, cx: &mut Context) {
        let Some(local) = cx.job_failover.as_ref().map(JobFailover::local) else { return };
        // And those that were made under another incarnation of ours.
        let late = |c: &PeerConnection| {
            c.peer.is_none() && cx.now >= c.since + IDENTIFICATION_TIMEOUT || c.local != local
        };
        let late: Vec<usize> = self.connections.iter().filter(|(_, c)| late(c)).map(|(at, _)| at).collect();
        late.into_iter().for_each(|at| self.remove(at, cx));
        for other in (self.local + 1)..self.addresses.len() as u16 {
            let connected = self.connections.iter().any(|(_, c)| c.dialed == Some(other));
            let at = usize::from(other);
            if connected || cx.now < self.last_attempts[at] + RECONNECT_INTERVAL {
                continue;
            }
            self.last_attempts[at] = cx.now;
            if let Ok(stream) = TcpStream::connect(self.addresses[at]) {
                self.add(stream, Some(other), cx);
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
            if written && push_out(connection, cx) == Flow::Close {
                closed.push(at);
            }
        }
        closed.into_iter().for_each(|at| self.remove(at, cx));
    }

    /// Whether all output is written.
    pub fn is_flushed(&self) -> bool {
        self.connections.iter().all(|(_, c)| c.stream.buffer.output().is_empty())
    }

    fn remove(&mut self, at: usize, cx: &mut Context) {
        if let (Some(peer), Some(job_failover)) = (self.connections[at].peer, cx.job_failover.as_mut()) {
            job_failover.link_closed(peer);
        }
        self.drop_connection(at, cx);
    }

    fn drop_connection(&mut self, at: usize, cx: &mut Context) {
        let mut connection = self.connections.remove(at);
        deregister(&mut connection.stream, cx.event_loop);
    }
}
