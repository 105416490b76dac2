//! A non-blocking TCP socket with its input and output buffers. All connections of the event loop use it.

use brackenledge_protocol::http::Buffer;
use mio::net::TcpStream;
use std::io::{self, ErrorKind, Write};

/// State of the receiving half of a connection after a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamState {
    /// The peer may send more.
    Open,
    /// The peer has closed its sending half.
    ReadClosed,
    /// Reading failed: the connection is unusable.
    Broken,
}

/// A socket with its input and output buffers.
pub struct BufferedStream {
    pub socket: TcpStream,
    pub buffer: Buffer,
}

impl BufferedStream {
    pub fn new(socket: TcpStream) -> Self {
        BufferedStream { socket, buffer: Buffer::default() }
    }

    /// Reads until `max_input` bytes of input are buffered or the socket has no more. The poll is
    /// edge-triggered, so a caller that reaches `max_input` must read again without waiting for another
    /// event.
    pub fn fill(&mut self, max_input: usize) -> StreamState {
        while self.buffer.input().len() < max_input {
            match self.buffer.read_from(&mut self.socket) {
                Ok(0) => return StreamState::ReadClosed,
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return StreamState::Broken,
            }
        }
        StreamState::Open
    }

    /// Whether the socket has neither bytes nor an end of stream to read. Asks the socket, so that it also
    /// sees what the poll has not reported yet.
    pub fn has_nothing_to_read(&self) -> bool {
        matches!(self.socket.peek(&mut [0; 1]), Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Writes as much output as the socket accepts. Returns whether the output buffer is empty now.
    pub fn flush(&mut self) -> io::Result<bool> {
        while !self.buffer.output().is_empty() {
            match self.socket.write(self.buffer.output()) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => self.buffer.wrote(count),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(true)
    }
}
