//! TCP listeners: how they are bound, and how connections are accepted on them.

use mio::net::{TcpListener, TcpStream};
use socket2::{Domain, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

#[cfg(test)]
mod tests;

/// Most connections that wait to be accepted: many new clients may come at once.
const LISTEN_BACKLOG: i32 = 1_024;

/// Whether another process may listen on the same address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sharing {
    /// This process alone.
    Exclusive,
    /// SO_REUSEPORT: a process that replaces this one may listen beside it, so that both are reached while both run.
    Shared,
}

/// A listener on `address` that does not block.
pub fn listen(address: SocketAddr, sharing: Sharing) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    if sharing == Sharing::Shared {
        socket.set_reuse_port(true)?;
    }
    socket.set_nonblocking(true)?;
    // Small messages must not wait for one another. Connections inherit it, so that none is without it for a moment.
    socket.set_tcp_nodelay(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(TcpListener::from_std(socket.into()))
}

/// Accepts the next connection that waits. `None`: none does. After an error, mostly for want of file descriptors, the
/// connections go on waiting, and the poll does not report them again.
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
