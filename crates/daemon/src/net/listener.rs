//! Binds TCP listeners and accepts connections on them.

use mio::net::{TcpListener, TcpStream};
use socket2::{Domain, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

#[cfg(test)]
mod tests;

/// Maximum number of connections that wait to be accepted: many new clients may connect at once.
const LISTEN_BACKLOG: i32 = 1_024;

/// Whether other processes may listen on the same address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sharing {
    /// Only this process may listen.
    Exclusive,
    /// Sets SO_REUSEPORT: a process that replaces this one may listen as well, and while both run, both get
    /// connections.
    Shared,
}

/// Opens a non-blocking listener on `address`.
pub fn listen(address: SocketAddr, sharing: Sharing) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    if sharing == Sharing::Shared {
        socket.set_reuse_port(true)?;
    }
    socket.set_nonblocking(true)?;
    // Disables Nagle's algorithm, which would delay small messages. Accepted connections inherit the option,
    // so that it applies to them from the start.
    socket.set_tcp_nodelay(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(TcpListener::from_std(socket.into()))
}

/// Accepts the next waiting connection; `None` if there is none. After an error, usually a lack of file
/// descriptors, connections remain in the backlog and the poll does not report them again.
pub fn accept_next(listener: &TcpListener) -> io::Result<Option<TcpStream>> {
    loop {
        match listener.accept() {
            Ok((stream, _)) => return Ok(Some(stream)),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(None),
            // The client closed the connection before it was accepted.
            Err(error) if matches!(error.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
            Err(error) => return Err(error),
        }
    }
}
