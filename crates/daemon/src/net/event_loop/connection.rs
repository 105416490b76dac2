//! A connection as the event loop drives it: the trait of its protocol, and the reading and writing between the callbacks.

use crate::net::buffered_stream::{BufferedStream, StreamState};

/// Bytes read from one connection in one turn of the loop. A peer that sends as fast as it is read would otherwise
/// starve all other connections and the timers.
const MAX_BYTES_PER_TURN: usize = 64 * 1024;

/// What is done with a connection after a callback.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    Keep,
    /// Keep it, and drive it again in the next turn: more may wait to be read.
    Again,
    Close,
}

/// A connection's protocol: the callbacks that [`drive`] makes when the poll reports its socket. A callback reaches the rest
/// of the scheduler through its context, `C`.
pub trait Connection<C> {
    /// Its socket with its buffers.
    fn stream(&mut self) -> &mut BufferedStream;
    /// Whether it is being opened: [`Connection::on_open`] has not been called.
    fn is_connecting(&self) -> bool {
        false
    }
    /// It is connected.
    fn on_open(&mut self, _context: &mut C) -> Flow {
        Flow::Keep
    }
    /// All output has been handed to the system.
    fn on_written(&mut self, _context: &mut C) -> Flow {
        Flow::Keep
    }
    /// There is new input in the buffer.
    fn on_input(&mut self, context: &mut C) -> Flow;
    /// The peer has closed its sending half, or the connection is broken. Input that was read before has been passed to
    /// `on_input`; the connection is closed after this.
    fn on_end(&mut self, context: &mut C);
    /// Most bytes of input that are buffered before `on_input` consumes some.
    fn max_input(&self) -> usize;
}

/// Opens a connection if it is ready to be, then writes its output and reads its input, and makes the callbacks for that:
/// until the socket is drained, the input buffer is full, or the turn's share of bytes is read.
pub fn drive<C>(connection: &mut dyn Connection<C>, context: &mut C) -> Flow {
    if connection.is_connecting() {
        match finish_connecting(connection, context) {
            Connecting::Open => {}
            Connecting::Pending => return Flow::Keep,
            Connecting::Closed => return Flow::Close,
        }
    }
    // A failed write does not mean that there is no input: a response may wait to be read.
    let is_writable = connection.stream().flush().is_ok();
    let mut bytes_left = MAX_BYTES_PER_TURN;
    while bytes_left > 0 {
        match read_and_write(connection, context, is_writable, bytes_left) {
            Transfer::More { bytes_read } => bytes_left = bytes_left.saturating_sub(bytes_read),
            Transfer::Finished => return Flow::Keep,
            Transfer::Closed => return Flow::Close,
        }
    }
    Flow::Again
}

/// Where a connection that is being opened stands.
enum Connecting {
    Open,
    Pending,
    Closed,
}

fn finish_connecting<C>(connection: &mut dyn Connection<C>, context: &mut C) -> Connecting {
    let socket = &connection.stream().socket;
    if socket.take_error().ok().flatten().is_some() {
        connection.on_end(context);
        return Connecting::Closed;
    }
    if socket.peer_addr().is_err() {
        return Connecting::Pending;
    }
    if connection.on_open(context) == Flow::Close {
        return Connecting::Closed;
    }
    Connecting::Open
}

/// How one round of reading and writing ended.
enum Transfer {
    /// More may wait to be read, and the poll does not report it again.
    More {
        bytes_read: usize,
    },
    /// The socket is drained, or the input buffer is full.
    Finished,
    Closed,
}

/// Reads input once, of `max_bytes` at most, and writes what the callbacks add to the output.
fn read_and_write<C>(
    connection: &mut dyn Connection<C>,
    context: &mut C,
    is_writable: bool,
    max_bytes: usize,
) -> Transfer {
    let before = connection.stream().buffer.input().len();
    let max_length = connection.max_input().min(before + max_bytes);
    let state = connection.stream().fill(max_length);
    let after = connection.stream().buffer.input().len();
    if after > before && connection.on_input(context) == Flow::Close {
        return Transfer::Closed;
    }
    let is_drained = after < max_length;
    if state != StreamState::Open || !is_writable && (is_drained || is_input_full(connection)) {
        connection.on_end(context);
        return Transfer::Closed;
    }
    if is_writable && flush_output(connection, context) == Flow::Close {
        return Transfer::Closed;
    }
    // Reading or writing may have made room.
    if is_drained || is_input_full(connection) {
        return Transfer::Finished;
    }
    Transfer::More { bytes_read: after.saturating_sub(before) }
}

fn is_input_full<C>(connection: &mut dyn Connection<C>) -> bool {
    connection.stream().buffer.input().len() >= connection.max_input()
}

/// Writes a connection's output as far as the socket accepts it. When all is written it is called back, and what it adds is
/// written too.
pub fn flush_output<C>(connection: &mut dyn Connection<C>, context: &mut C) -> Flow {
    loop {
        match connection.stream().flush() {
            Ok(true) if connection.on_written(context) == Flow::Close => return Flow::Close,
            Ok(true) if !connection.stream().buffer.output().is_empty() => {}
            Ok(_) => return Flow::Keep,
            Err(_) => {
                connection.on_end(context);
                return Flow::Close;
            }
        }
    }
}
