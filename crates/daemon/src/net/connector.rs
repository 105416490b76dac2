//! Opens outgoing TCP connections.

use mio::net::TcpStream;
use rustix::io::Errno;
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::SocketAddr;

#[cfg(test)]
mod tests;

/// Starts a non-blocking connection. It may still be in progress on return: the poll reports when it is open.
pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    // Disables Nagle's algorithm, which would delay small messages. Set before connecting, so that it always
    // applies.
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&address.into()) {
        Err(error) if error.raw_os_error() != Some(Errno::INPROGRESS.raw_os_error()) => Err(error),
        _ => Ok(TcpStream::from_std(socket.into())),
    }
}
