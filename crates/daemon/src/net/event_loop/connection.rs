//! The trait that a connection's protocol implements, and the reading and writing between its callbacks.

use crate::net::buffered_stream::{BufferedStream, StreamState};

/// Maximum number of bytes read from one connection in one iteration of the event loop. Without it, a peer
/// that sends as fast as it is read would starve all other connections and the alarms.
const MAX_BYTES_PER_ITERATION: usize = 64 * 1024;

/// What the event loop does with a connection after a callback.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    Keep,
    /// Keep the connection and drive it again in the next iteration: there may be more to read.
    Requeue,
    Close,
}

/// A connection's protocol: the callbacks that [`drive`] makes when the poll reports its socket. The context
/// `C` gives a callback access to the rest of the scheduler.
pub trait Connection<C> {
    /// The connection's socket and buffers.
    fn stream(&mut self) -> &mut BufferedStream;
    /// Whether the connection is still being opened: [`Connection::on_open`] has not been called yet.
    fn is_connecting(&self) -> bool {
        false
    }
    /// The connection has been established.
    fn on_open(&mut self, _context: &mut C) -> Flow {
        Flow::Keep
    }
    /// All output has been written to the socket.
    fn on_written(&mut self, _context: &mut C) -> Flow {
        Flow::Keep
    }
    /// The input buffer has new bytes.
    fn on_input(&mut self, context: &mut C) -> Flow;
    /// The peer has closed its sending half, or the connection is broken. All input read before has been
    /// passed to `on_input`. The connection is closed after this call.
    fn on_end(&mut self, context: &mut C);
    /// Maximum number of input bytes that are buffered before `on_input` consumes some.
    fn max_input(&self) -> usize;
}

/// Completes a pending connect if possible, then writes output and reads input with the callbacks for it,
/// until the socket is drained, the input buffer is full, or [`MAX_BYTES_PER_ITERATION`] are read.
pub fn drive<C>(connection: &mut dyn Connection<C>, context: &mut C) -> Flow {
    if connection.is_connecting() {
        match finish_connecting(connection, context) {
            Connecting::Open => {}
            Connecting::Pending => return Flow::Keep,
            Connecting::Closed => return Flow::Close,
        }
    }
    // After a failed write there may still be input to read, such as a response.
    let is_writable = connection.stream().flush().is_ok();
    let mut bytes_left = MAX_BYTES_PER_ITERATION;
    while bytes_left > 0 {
        match read_and_write(connection, context, is_writable, bytes_left) {
            Transfer::More { bytes_read } => bytes_left = bytes_left.saturating_sub(bytes_read),
            Transfer::Finished => return Flow::Keep,
            Transfer::Closed => return Flow::Close,
        }
    }
    Flow::Requeue
}

/// The progress of a connection that is being opened.
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

/// The result of one round of reading and writing.
enum Transfer {
    /// There may be more to read, which the poll does not report again.
    More {
        bytes_read: usize,
    },
    /// The socket is drained, or the input buffer is full.
    Finished,
    Closed,
}

/// Reads up to `max_bytes` of input once, and writes the output that the callbacks add.
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
    // The callbacks may have consumed input, so the buffer may have room again.
    if is_drained || is_input_full(connection) {
        return Transfer::Finished;
    }
    Transfer::More { bytes_read: after.saturating_sub(before) }
}

fn is_input_full<C>(connection: &mut dyn Connection<C>) -> bool {
    connection.stream().buffer.input().len() >= connection.max_input()
}

/// Writes a connection's output as far as the socket accepts it. Calls `on_written` when all output is
/// written, and writes the output that the callback adds.
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
