//! A socket and the buffer beside it.

use brackenledge_protocol::http::Buffer;
use mio::net::TcpStream;
use std::io::{self, ErrorKind, Write};

/// How far a read came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Filled {
    /// The other side may send more.
    Open,
    /// The other side has ended its sending.
    Ended,
    /// The connection broke.
    Broken,
}

/// A socket and its buffer.
pub struct BufferedStream {
    pub stream: TcpStream,
    pub buffer: Buffer,
}

impl BufferedStream {
    pub fn new(stream: TcpStream) -> Self {
        // Small messages must not wait for one another; a socket without the option still works.
        let _ = stream.set_nodelay(true);
        BufferedStream { stream, buffer: Buffer::default() }
    }

    /// Reads what has come, until there are `most` bytes of input. The poll tells of new input only, so a
    /// caller that stops at `most` has to come back by itself.
    pub fn fill(&mut self, most: usize) -> Filled {
        while self.buffer.input().len() < most {
            match self.buffer.read_from(&mut self.stream) {
                Ok(0) => return Filled::Ended,
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Filled::Broken,
            }
        }
        Filled::Open
    }

    /// Whether nothing has come, not even the connection's end: the poll may not have told of it yet.
    pub fn quiet(&self) -> bool {
        matches!(self.stream.peek(&mut [0; 1]), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    /// Writes what the socket takes; tells whether all is out.
    pub fn flush(&mut self) -> io::Result<bool> {
        while !self.buffer.output().is_empty() {
            match self.stream.write(self.buffer.output()) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => self.buffer.wrote(count),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(true)
    }
}
