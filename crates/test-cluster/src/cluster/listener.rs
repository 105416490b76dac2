//! A listener of the proxy: the address at which a scheduler reaches a worker, discovery or another
//! scheduler.

use mio::net::{TcpListener, TcpStream};
use socket2::{Domain, SockRef, Socket, Type};
use std::io;
use std::net::{Ipv4Addr, Shutdown, SocketAddr};

#[cfg(test)]
mod tests;

/// Length of the accept queue of a listener that is open.
const BACKLOG: i32 = 1_024;
/// Connections that fill the accept queue of an unreachable listener. Linux admits one connection with a
/// backlog of 0; the second is one more than that.
const FILLER_CONNECTIONS: usize = 2;

/// Loopback address with port 0, for which the kernel chooses a free port.
pub fn any_loopback_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// The address that a socket is bound to, as an IP address and port.
pub fn local_address(socket: &Socket) -> io::Result<SocketAddr> {
    socket.local_addr()?.as_socket().ok_or_else(|| io::Error::other("the socket has no IP address"))
}

/// A port that is bound but not served. Only sockets that have `SO_REUSEPORT` set and ask for this port
/// number can bind it as well.
#[derive(Debug)]
pub struct ReservedPort {
    _socket: Socket,
    /// Loopback address with the reserved port.
    pub address: SocketAddr,
}

impl ReservedPort {
    /// Reserves a TCP or UDP port (by `kind`) that no other socket is bound to.
    pub fn new(kind: Type) -> io::Result<ReservedPort> {
        let socket = Socket::new(Domain::IPV4, kind, None)?;
        socket.set_reuse_address(kind == Type::STREAM)?;
        socket.bind(&any_loopback_port().into())?;
        // The option must be set after `bind`: with it, the kernel may choose a UDP port of another socket
        // that has the option too.
        socket.set_reuse_port(true)?;
        if kind == Type::DGRAM {
            // A socket connected to itself receives no datagrams from others, so these reach the scheduler's
            // socket on the same port.
            socket.connect(&socket.local_addr()?)?;
        }
        let address = local_address(&socket)?;
        Ok(ReservedPort { _socket: socket, address })
    }
}

/// How a listener treats new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerState {
    /// Connections are accepted.
    Open,
    /// Connections are refused, as by a host without a process on the port.
    Refusing,
    /// Connections are never established, as with a host that drops all packets.
    Unreachable,
}

/// A TCP listener that can refuse connections or be unreachable, and keeps its address throughout.
pub struct Listener {
    listener: TcpListener,
    state: ListenerState,
    /// The proxy's own connections that fill the accept queue while the listener is unreachable.
    fillers: Vec<Socket>,
    address: SocketAddr,
}

impl Listener {
    /// Opens a listener on a reserved port. It is bound by port number, because a listener bound to port 0
    /// loses its port on `shutdown` and would listen on another one afterwards.
    pub fn new() -> io::Result<Listener> {
        let reserved = ReservedPort::new(Type::STREAM)?;
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        socket.set_reuse_address(true)?;
        socket.set_reuse_port(true)?;
        socket.bind(&reserved.address.into())?;
        socket.listen(BACKLOG)?;
        let listener = TcpListener::from_std(socket.into());
        let address = reserved.address;
        Ok(Listener { listener, state: ListenerState::Open, fillers: Vec::new(), address })
    }

    /// The listening socket, to be registered with the poll.
    pub fn socket(&mut self) -> &mut TcpListener {
        &mut self.listener
    }

    /// The address, which stays the same in all states.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// How the listener treats new connections now.
    pub fn state(&self) -> ListenerState {
        self.state
    }

    /// Accepts all established connections; none unless the listener is open.
    pub fn accept(&self) -> Vec<TcpStream> {
        let mut accepted = Vec::new();
        while self.state == ListenerState::Open
            && let Ok((stream, _)) = self.listener.accept()
        {
            accepted.push(stream);
        }
        accepted
    }

    /// Changes the state, and returns the connections that were established before the change.
    pub fn set_state(&mut self, state: ListenerState) -> io::Result<Vec<TcpStream>> {
        let accepted = match self.state {
            ListenerState::Open => self.accept(),
            ListenerState::Refusing => {
                self.listen(BACKLOG)?;
                Vec::new()
            }
            ListenerState::Unreachable => self.drain_queue()?,
        };
        match state {
            ListenerState::Open => {}
            ListenerState::Refusing => SockRef::from(&self.listener).shutdown(Shutdown::Read)?,
            ListenerState::Unreachable => self.fill_queue()?,
        }
        self.state = state;
        Ok(accepted)
    }

    fn listen(&self, backlog: i32) -> io::Result<()> {
        SockRef::from(&self.listener).listen(backlog)
    }

    /// Fills the accept queue, so that the kernel drops further connection attempts as a partitioned network
    /// would.
    fn fill_queue(&mut self) -> io::Result<()> {
        self.listen(0)?;
        for _ in 0..FILLER_CONNECTIONS {
            let filler = Socket::new(Domain::IPV4, Type::STREAM, None)?;
            filler.set_nonblocking(true)?;
            // Returns "in progress", because the socket does not block.
            let _ = filler.connect(&self.address().into());
            self.fillers.push(filler);
        }
        Ok(())
    }

    /// Empties the accept queue, and returns the connections in it that are not the proxy's own.
    fn drain_queue(&mut self) -> io::Result<Vec<TcpStream>> {
        self.listen(BACKLOG)?;
        let filler_addresses: Vec<SocketAddr> =
            self.fillers.drain(..).filter_map(|filler| local_address(&filler).ok()).collect();
        let mut accepted = Vec::new();
        while let Ok((stream, from)) = self.listener.accept() {
            if !filler_addresses.contains(&from) {
                accepted.push(stream);
            }
        }
        Ok(accepted)
    }
}
