//! A proxied connection: the scheduler's socket on one side, a stand-in on the other, a pipe for each direction.

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

/// Bytes read from a socket at a time.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Which stand-in is at the far end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FarEnd {
    /// The worker that [`Connection::far`] names.
    Worker,
    /// Discovery.
    Discovery,
    /// A client.
    Client,
    /// The front proxy's health check.
    HealthCheck,
    /// A connection to another scheduler.
    SchedulerLink,
}

/// Something to be recorded once the bytes before it have been written.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteMark {
    /// A client's request.
    Request {
        /// Its job.
        job: usize,
        /// Its id.
        request: String,
    },
    /// An endpoint list that says of these workers that they accept nothing new.
    ClosedWorkers(Vec<usize>),
}

/// The socket's connection was refused or timed out.
#[derive(Debug)]
pub struct ConnectFailed;

/// What has been read from a scheduler's socket.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadEnd {
    /// Nothing more for now.
    Blocked,
    /// The scheduler has ended its sending, or the connection.
    Ended,
}

/// A proxied connection.
pub struct Connection {
    stream: TcpStream,
    pub token: Token,
    /// The scheduler at its near end.
    pub scheduler: usize,
    /// The node at its far end.
    pub far: Node,
    pub far_end: FarEnd,
    /// Its `connect` has not finished yet.
    pub is_opening: bool,
    pub opened_at: Millis,
    /// A fault has reset it.
    pub is_broken: bool,
    /// Bytes that have arrived for the stand-in and that it has not used yet.
    pub input: Vec<u8>,
    /// When the first byte since the stand-in took this last left the scheduler.
    pub first_byte_at: Option<Millis>,
    from_scheduler: Pipe,
    to_scheduler: Pipe,
    output: Vec<u8>,
    ends_output: bool,
    input_ended: bool,
    pushed_bytes: u64,
    written_bytes: u64,
    /// By the number of bytes that must be written before.
    marks: VecDeque<(u64, WriteMark)>,
}

/// What a connection is between.
#[derive(Clone, Copy, Debug)]
pub struct Ends {
    /// The scheduler at its near end.
    pub scheduler: usize,
    /// The node at its far end.
    pub far: Node,
    /// The stand-in for that.
    pub far_end: FarEnd,
}

impl Connection {
    /// A connection on a socket that is registered under this token.
    pub fn new(stream: TcpStream, token: Token, ends: Ends, is_opening: bool, now: Millis) -> Connection {
        let Ends { scheduler, far, far_end } = ends;
        Connection {
            stream,
            token,
            scheduler,
            far,
            far_end,
            is_opening,
            opened_at: now,
            is_broken: false,
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

    /// Its socket, for the poll.
    pub fn stream(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    /// The direction from the scheduler.
    pub fn link_from_scheduler(&self) -> Link {
        Link::new(Node::Scheduler(self.scheduler), self.far)
    }

    /// The direction to the scheduler.
    pub fn link_to_scheduler(&self) -> Link {
        self.link_from_scheduler().reverse()
    }

    /// Whether the scheduler sends nothing any more.
    pub fn input_ended(&self) -> bool {
        self.input_ended
    }

    /// Whether a request on it has not been written completely.
    pub fn has_unwritten_request(&self) -> bool {
        self.marks.iter().any(|mark| matches!(mark.1, WriteMark::Request { .. }))
    }

    /// The system sends a reset when the socket is closed.
    pub fn reset_on_close(&mut self) {
        // Fails only for a socket that has no connection any more.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// A stand-in sends bytes, with what to record once they are written.
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

    /// The scheduler has sent something.
    pub fn push_from_scheduler(
        &mut self,
        now: Millis,
        packet: Packet,
        conditions: &NetworkConditions,
        rng: &mut ChaCha8Rng,
    ) {
        self.from_scheduler.push(now, packet, conditions, rng);
    }

    /// What has arrived for the stand-in.
    pub fn take_from_scheduler(&mut self, now: Millis, conditions: &NetworkConditions) -> Option<Packet> {
        self.from_scheduler.take(now, conditions)
    }

    /// What has arrived for the scheduler.
    pub fn take_to_scheduler(&mut self, now: Millis, conditions: &NetworkConditions) -> Option<Packet> {
        self.to_scheduler.take(now, conditions)
    }

    /// When something arrives next, in either direction.
    pub fn next_arrival(&self, to: &NetworkConditions, from: &NetworkConditions) -> Option<Millis> {
        let next = [self.to_scheduler.next_arrival(to), self.from_scheduler.next_arrival(from)];
        next.into_iter().flatten().min_by(f64::total_cmp)
    }

    /// Queues bytes for the socket.
    pub fn extend_output(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    /// Ends the socket's sending after what is queued.
    pub fn end_output(&mut self) {
        self.ends_output = true;
    }

    /// Writes what the socket takes; gives the marks that have been reached.
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
            // Fails only where the scheduler has ended the connection.
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
                // The socket is full, or has failed: then the next read reports it.
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

    /// Reads the next bytes from the socket.
    pub fn read(&mut self) -> Result<Vec<u8>, ReadEnd> {
        if self.input_ended || self.is_opening {
            return Err(ReadEnd::Blocked);
        }
        let mut buffer = [0; READ_BUFFER_BYTES];
        match self.read_socket(&mut buffer) {
            Ok(count) if count > 0 => Ok(buffer[..count].to_vec()),
            Err(error) if error.kind() == ErrorKind::WouldBlock => Err(ReadEnd::Blocked),
            Ok(_) | Err(_) => {
                self.input_ended = true;
                Err(ReadEnd::Ended)
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
