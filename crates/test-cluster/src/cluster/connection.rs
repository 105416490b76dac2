//! A proxied connection: the scheduler's socket on one side, a stand-in on the other, and a pipe per
//! direction.

use crate::Millis;
use crate::network_conditions::{NetworkConditions, Packet, Pipe};
use crate::scenario::{Link, Node};
use mio::Token;
use mio::net::TcpStream;
use rand_chacha::ChaCha8Rng;
use socket2::SockRef;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::Shutdown;
use std::time::Duration;

/// Most bytes read from a socket by one call.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// The kind of stand-in that handles a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StandInKind {
    /// The worker given by [`Connection::remote_node`].
    Worker,
    /// The discovery service.
    Discovery,
    /// A client.
    Client,
    /// A health check of the front proxy.
    HealthCheck,
    /// The relay to another scheduler.
    SchedulerLink,
}

/// A position in the bytes to a scheduler. It is reported, and recorded in the history, once all bytes before
/// it have been written to the scheduler's socket.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteMark {
    /// The end of a client's request.
    Request {
        /// Index of the job.
        job: usize,
        /// Id of the request.
        request: String,
    },
    /// The end of an endpoint list update in which these workers accept no new work.
    NotReadyWorkers(Vec<usize>),
}

/// The connection attempt of the socket was refused or timed out.
#[derive(Debug)]
pub struct ConnectFailed;

/// Why a read from a scheduler's socket returned no bytes.
#[derive(Debug, PartialEq, Eq)]
pub enum NoData {
    /// No bytes are available now, the connection is not established yet, or its end has been returned
    /// before.
    WouldBlock,
    /// The scheduler has closed its sending side, or the connection has failed.
    Ended,
}

/// A proxied connection.
pub struct Connection {
    stream: TcpStream,
    /// Token of the socket at the poll.
    pub token: Token,
    /// The scheduler whose side has the real socket.
    pub scheduler: usize,
    /// The node that the stand-in plays.
    pub remote_node: Node,
    pub stand_in_kind: StandInKind,
    /// The proxy has called `connect` on the socket and it has not completed.
    pub is_opening: bool,
    /// Traffic time at which the connection was added.
    pub opened_at: Millis,
    /// The test cluster has reset the connection, because of a fault.
    pub was_reset: bool,
    /// Bytes that have arrived for the stand-in and that it has not consumed yet.
    pub input: Vec<u8>,
    /// Traffic time at which the scheduler sent the first byte since this value was last taken. The worker
    /// stand-in takes it with each complete request.
    pub first_byte_at: Option<Millis>,
    from_scheduler: Pipe,
    to_scheduler: Pipe,
    /// Bytes that have passed the pipe to the scheduler and are not written to the socket yet.
    output: Vec<u8>,
    /// Close the sending side once `output` is written.
    ends_output: bool,
    /// The socket has reported the end of the scheduler's bytes, or an error.
    input_ended: bool,
    /// Bytes given to the pipe to the scheduler so far.
    pushed_bytes: u64,
    /// Bytes written to the socket so far.
    written_bytes: u64,
    /// Each mark with the value of `written_bytes` at which it is reached.
    marks: VecDeque<(u64, WriteMark)>,
}

/// The two ends of a connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionEnds {
    /// The scheduler whose side has the real socket.
    pub scheduler: usize,
    /// The node that the stand-in plays.
    pub remote_node: Node,
    /// The stand-in that handles the connection.
    pub stand_in_kind: StandInKind,
}

impl Connection {
    /// Creates a connection on a socket that is registered with the poll under `token`. `now` is traffic
    /// time.
    pub fn new(
        stream: TcpStream,
        token: Token,
        ends: ConnectionEnds,
        is_opening: bool,
        now: Millis,
    ) -> Connection {
        let ConnectionEnds { scheduler, remote_node, stand_in_kind } = ends;
        Connection {
            stream,
            token,
            scheduler,
            remote_node,
            stand_in_kind,
            is_opening,
            opened_at: now,
            was_reset: false,
            input: Vec::new(),
            first_byte_at: None,
            from_scheduler: Pipe::default(),
            to_scheduler: Pipe::default(),
            output: Vec::new(),
            ends_output: false,
            input_ended: false,
            pushed_bytes: 0,
            written_bytes: 0,
            marks: VecDeque::new(),
        }
    }

    /// The scheduler's socket, to be registered with the poll.
    pub fn stream(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    /// The link that carries bytes from the scheduler to the stand-in.
    pub fn link_from_scheduler(&self) -> Link {
        Link::new(Node::Scheduler(self.scheduler), self.remote_node)
    }

    /// The link that carries bytes from the stand-in to the scheduler.
    pub fn link_to_scheduler(&self) -> Link {
        self.link_from_scheduler().reverse()
    }

    /// Whether the scheduler's socket has reported the end of its bytes, or an error.
    pub fn input_ended(&self) -> bool {
        self.input_ended
    }

    /// Whether a client's request has not been written completely to the socket.
    pub fn has_unwritten_request(&self) -> bool {
        self.marks.iter().any(|mark| matches!(mark.1, WriteMark::Request { .. }))
    }

    /// Makes the kernel send a TCP reset when the socket is closed.
    pub fn reset_on_close(&mut self) {
        // Fails only if the socket is no longer connected.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Puts bytes from the stand-in into the pipe to the scheduler. The mark is reached once they have been
    /// written.
    pub fn push_to_scheduler(
        &mut self,
        now: Millis,
        bytes: Vec<u8>,
        mark: Option<WriteMark>,
        conditions: &NetworkConditions,
        rng: &mut ChaCha8Rng,
    ) {
        self.pushed_bytes += bytes.len() as u64;
        self.marks.extend(mark.map(|mark| (self.pushed_bytes, mark)));
        self.to_scheduler.push(now, Packet::Bytes(bytes), conditions, rng);
    }

    /// Puts a packet from the scheduler into the pipe to the stand-in.
    pub fn push_from_scheduler(
        &mut self,
        now: Millis,
        packet: Packet,
        conditions: &NetworkConditions,
        rng: &mut ChaCha8Rng,
    ) {
        self.from_scheduler.push(now, packet, conditions, rng);
    }

    /// Takes the next packet that has arrived for the stand-in.
    pub fn take_from_scheduler(&mut self, now: Millis, conditions: &NetworkConditions) -> Option<Packet> {
        self.from_scheduler.take(now, conditions)
    }

    /// Takes the next packet that has arrived for the scheduler.
    pub fn take_to_scheduler(&mut self, now: Millis, conditions: &NetworkConditions) -> Option<Packet> {
        self.to_scheduler.take(now, conditions)
    }

    /// Cluster time of the next arrival in either direction; `None` if nothing is in transit or it is held
    /// back.
    pub fn next_arrival(&self, to: &NetworkConditions, from: &NetworkConditions) -> Option<Millis> {
        let next = [self.to_scheduler.next_arrival(to), self.from_scheduler.next_arrival(from)];
        next.into_iter().flatten().min_by(f64::total_cmp)
    }

    /// Queues bytes to be written to the socket.
    pub fn extend_output(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    /// Closes the sending side of the socket once all queued bytes are written.
    pub fn end_output(&mut self) {
        self.ends_output = true;
    }

    /// Writes as many queued bytes as the socket accepts, and returns the marks that have been reached.
    pub fn write(&mut self) -> Result<Vec<WriteMark>, ConnectFailed> {
        if self.is_opening {
            match self.stream.take_error() {
                Ok(None) if self.stream.peer_addr().is_ok() => self.is_opening = false,
                Ok(None) => return Ok(Vec::new()),
                Ok(Some(_)) | Err(_) => return Err(ConnectFailed),
            }
        }
        self.write_output();
        if self.ends_output && self.output.is_empty() {
            // Fails only if the scheduler has closed the connection.
            let _ = self.stream.shutdown(Shutdown::Write);
        }
        Ok(self.reached_marks())
    }

    fn write_output(&mut self) {
        while !self.output.is_empty() {
            match self.stream.write(&self.output) {
                Ok(count) => {
                    self.output.drain(..count);
                    self.written_bytes += count as u64;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // Either the send buffer is full, or the socket has failed and the next read reports the
                // error.
                Err(_) => return,
            }
        }
    }

    fn reached_marks(&mut self) -> Vec<WriteMark> {
        let mut reached = Vec::new();
        while self.marks.front().is_some_and(|mark| mark.0 <= self.written_bytes) {
            reached.extend(self.marks.pop_front().map(|mark| mark.1));
        }
        reached
    }

    /// Reads available bytes from the socket, at most [`READ_BUFFER_BYTES`].
    pub fn read(&mut self) -> Result<Vec<u8>, NoData> {
        if self.input_ended || self.is_opening {
            return Err(NoData::WouldBlock);
        }
        let mut buffer = [0; READ_BUFFER_BYTES];
        match self.read_socket(&mut buffer) {
            Ok(count) if count > 0 => Ok(buffer[..count].to_vec()),
            Err(error) if error.kind() == ErrorKind::WouldBlock => Err(NoData::WouldBlock),
            Ok(_) | Err(_) => {
                self.input_ended = true;
                Err(NoData::Ended)
            }
        }
    }

    fn read_socket(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        loop {
            match self.stream.read(buffer) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                result => return result,
            }
        }
    }
}
