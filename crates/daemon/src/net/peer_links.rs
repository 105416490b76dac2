//! Connections between schedulers, for what does not fit a datagram. Of two, the one with the lower number connects;
//! a connection that is lost is made again, and what had not come is said again on it (`handover`'s sessions).

use super::Context;
use super::buffered_stream::BufferedStream;
use super::discovery::deregister;
use super::event_loop::{Connection, Flow, Millis, Owner, drive, push_out};
use super::job_failover::JobFailover;
use brackenledge_failover::{FRAME_MOST, Frame, ProcessId};
use mio::net::{TcpListener, TcpStream};
use slab::Slab;
use std::io::ErrorKind;
use std::net::SocketAddr;

/// Bytes of output beyond which no further frame is made: what a peer does not take waits in its session.
const OUTPUT_MOST: usize = 256 * 1024;
/// A connection is tried again so long after the last one, and given up if it does not come up or say who it is.
const AGAIN: Millis = 200.0;
const COMES_UP: Millis = 1_000.0;
/// Connections held at most beside one for each scheduler: those that have not said who they are.
const STRANGERS_MOST: usize = 16;

struct Peering {
    link: BufferedStream,
    connecting: bool,
    since: Millis,
    /// Whom we connected to, by number.
    dialed: Option<u16>,
    /// Who is there, once they have said so.
    peer: Option<ProcessId>,
    /// Schedulers there are.
    seats: usize,
    /// Who we were when it was made.
    me: ProcessId,
}

impl Peering {
    fn say(&mut self, frame: &Frame) {
        self.link.buffer.push(&frame.write());
    }

    /// Takes a frame in; whether it makes sense, and whether the connection is to stay.
    fn take(&mut self, frame: Frame, cx: &mut Context) -> (bool, Flow) {
        let Some(job_failover) = cx.job_failover else { return (true, Flow::Close) };
        match (frame, self.peer) {
            (Frame::Hello { from, zone }, None) => {
                let other = usize::from(from.ordinal) < self.seats && from.ordinal != self.me.ordinal;
                if !other || self.dialed.is_some_and(|dialed| dialed != from.ordinal) {
                    return (false, Flow::Close);
                }
                // Of two processes under one number the older one is not heard.
                let Some(welcome) = job_failover.greet(from, zone) else { return (true, Flow::Close) };
                self.peer = Some(from);
                self.say(&welcome);
                (true, Flow::Keep)
            }
            (frame, Some(peer)) => match job_failover.frame(peer, frame) {
                Some(true) => (true, Flow::Keep),
                Some(false) => (false, Flow::Close),
                None => (true, Flow::Close),
            },
            _ => (false, Flow::Close),
        }
    }
}

impl Connection<Context<'_>> for Peering {
    fn link(&mut self) -> &mut BufferedStream {
        &mut self.link
    }

    fn connecting(&self) -> bool {
        self.connecting
    }

    fn on_open(&mut self, cx: &mut Context) -> Flow {
        self.connecting = false;
        if let Some(job_failover) = cx.job_failover {
            let hello = job_failover.hello();
            self.say(&hello);
        }
        Flow::Keep
    }

    fn on_input(&mut self, cx: &mut Context) -> Flow {
        loop {
            let input = self.link.buffer.input();
            let Some(end) = input.iter().position(|&byte| byte == 0) else {
                let whole = input.len() <= FRAME_MOST;
                return if whole { Flow::Keep } else { Flow::Close };
            };
            let mut bytes = input[..=end].to_vec();
            self.link.buffer.consume(end + 1);
            let frame = Frame::read(&mut bytes);
            let (sense, flow) = frame.map_or((false, Flow::Close), |frame| self.take(frame, cx));
            if let (false, Some(job_failover)) = (sense, cx.job_failover.as_mut()) {
                job_failover.nonsense += 1;
            }
            if flow == Flow::Close {
                return Flow::Close;
            }
        }
    }

    fn on_end(&mut self, _cx: &mut Context) {}

    fn input_most(&self) -> usize {
        FRAME_MOST + 64 * 1024
    }
}

/// The listener and all connections.
pub struct PeerLinks {
    listener: TcpListener,
    addresses: Vec<SocketAddr>,
    me: u16,
    connections: Slab<Peering>,
    tried: Vec<Millis>,
}

impl PeerLinks {
    /// On a listener that is bound already; `addresses` by number.
    pub fn new(listener: TcpListener, addresses: Vec<SocketAddr>, me: u16) -> PeerLinks {
        let tried = vec![f64::NEG_INFINITY; addresses.len()];
        PeerLinks { listener, addresses, me, connections: Slab::new(), tried }
    }

    /// The listener, for the poll.
    pub fn listener(&mut self) -> &mut TcpListener {
        &mut self.listener
    }

    /// Takes the connections that wait.
    pub fn accept(&mut self, cx: &mut Context) {
        loop {
            match self.listener.accept() {
                Ok((stream, _)) => {
                    if self.connections.len() < self.addresses.len() + STRANGERS_MOST {
                        self.add(stream, None, cx);
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                // Out of descriptors: the poll tells again while connections wait, and they are tried again.
                Err(_) => return,
            }
        }
    }

    fn add(&mut self, stream: TcpStream, dialed: Option<u16>, cx: &mut Context) {
        let Some(job_failover) = cx.job_failover else { return };
        let (connecting, me, seats) = (dialed.is_some(), job_failover.me(), self.addresses.len());
        let link = BufferedStream::new(stream);
        let mut peering = Peering { link, connecting, since: cx.now, dialed, peer: None, seats, me };
        if !connecting {
            peering.say(&job_failover.hello());
        }
        let at = self.connections.insert(peering);
        if cx.event_loop.watch(&mut self.connections[at].link.stream, Owner::PeerLink(at)).is_err() {
            self.connections.remove(at);
        }
    }

    /// The poll has something for a connection.
    pub fn on_ready(&mut self, at: usize, cx: &mut Context) {
        let Some(connection) = self.connections.get_mut(at) else { return };
        let known = connection.peer;
        let flow = drive(connection, cx);
        let peer = connection.peer;
        if let (None, Some(peer)) = (known, peer) {
            // The newest connection of a peer counts: the one before is gone, whether we have heard of that or not.
            let same = |c: &Peering| c.peer.is_some_and(|other| other.ordinal == peer.ordinal);
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

    /// Tries connections that are missing, and ends those that came to nothing.
    pub fn handle_timeout(&mut self, cx: &mut Context) {
        let Some(me) = cx.job_failover.as_ref().map(JobFailover::me) else { return };
        // Those that came to nothing, and those that were made under another name of ours.
        let late = |c: &Peering| c.peer.is_none() && cx.now >= c.since + COMES_UP || c.me != me;
        let late: Vec<usize> = self.connections.iter().filter(|(_, c)| late(c)).map(|(at, _)| at).collect();
        late.into_iter().for_each(|at| self.remove(at, cx));
        for other in (self.me + 1)..self.addresses.len() as u16 {
            let here = self.connections.iter().any(|(_, c)| c.dialed == Some(other));
            let at = usize::from(other);
            if here || cx.now < self.tried[at] + AGAIN {
                continue;
            }
            self.tried[at] = cx.now;
            if let Ok(stream) = TcpStream::connect(self.addresses[at]) {
                self.add(stream, Some(other), cx);
            }
        }
    }

    /// Sends what there is to say, as far as the peers take it.
    pub fn flush(&mut self, cx: &mut Context) {
        let mut gone = Vec::new();
        for (at, connection) in self.connections.iter_mut() {
            let Some(peer) = connection.peer else { continue };
            let mut new = false;
            while connection.link.buffer.output().len() < OUTPUT_MOST
                && let Some(frame) =
                    cx.job_failover.as_mut().and_then(|job_failover| job_failover.next_frame(peer))
            {
                connection.say(&frame);
                new = true;
            }
            if new && push_out(connection, cx) == Flow::Close {
                gone.push(at);
            }
        }
        gone.into_iter().for_each(|at| self.remove(at, cx));
    }

    /// Whether nothing waits to be written.
    pub fn quiet(&self) -> bool {
        self.connections.iter().all(|(_, c)| c.link.buffer.output().is_empty())
    }

    fn remove(&mut self, at: usize, cx: &mut Context) {
        if let (Some(peer), Some(job_failover)) = (self.connections[at].peer, cx.job_failover.as_mut()) {
            job_failover.link_ended(peer);
        }
        self.drop_connection(at, cx);
    }

    fn drop_connection(&mut self, at: usize, cx: &mut Context) {
        let mut connection = self.connections.remove(at);
        deregister(&mut connection.link, cx.event_loop);
    }
}
