//! TCP listeners.

use mio::net::TcpListener;
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::SocketAddr;

/// Connections that wait to be accepted: many new clients may come at once.
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
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(TcpListener::from_std(socket.into()))
}
