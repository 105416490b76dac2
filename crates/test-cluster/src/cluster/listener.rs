//! A listener of the proxy: the address under which a scheduler knows a worker, discovery or another scheduler.

use mio::net::{TcpListener, TcpStream};
use socket2::{Domain, SockRef, Socket, Type};
use std::io;
use std::net::{Ipv4Addr, Shutdown, SocketAddr};

#[cfg(test)]
mod tests;

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1_024;
/// Connections that fill the queue of a listener that is unreachable: one more than its length of zero admits.
const FILLERS: usize = 2;

/// A port of loopback that the system chooses.
pub fn any_loopback_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// The address that a socket is bound to.
pub fn local_address(socket: &Socket) -> io::Result<SocketAddr> {
    socket.local_addr()?.as_socket().ok_or_else(|| io::Error::other("no address"))
}

/// A port that is bound and not served. Only sockets with `SO_REUSEPORT` that ask for this very port can bind it too.
#[derive(Debug)]
pub struct ReservedPort {
    _socket: Socket,
    /// Its address.
    pub address: SocketAddr,
}

impl ReservedPort {
    /// Reserves a port for streams or datagrams that no other socket has.
    pub fn new(kind: Type) -> io::Result<ReservedPort> {
        let socket = Socket::new(Domain::IPV4, kind, None)?;
        socket.set_reuse_address(kind == Type::STREAM)?;
        socket.bind(&any_loopback_port().into())?;
        // Only now: among ports for datagrams the system would choose also those of other sockets with this option.
        socket.set_reuse_port(true)?;
        if kind == Type::DGRAM {
            // Connected to itself: datagrams of others are for whoever else binds the port.
            socket.connect(&socket.local_addr()?)?;
        }
        let address = local_address(&socket)?;
        Ok(ReservedPort { _socket: socket, address })
    }
}

/// How a listener treats connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerState {
    /// They are accepted.
    Open,
    /// They are refused.
    Refusing,
    /// They never come up.
    Unreachable,
}

/// A listener.
pub struct Listener {
    listener: TcpListener,
    state: ListenerState,
    /// Own connections that fill the queue while it is unreachable.
    fillers: Vec<Socket>,
    address: SocketAddr,
}

impl Listener {
    /// An open listener on a port of its own. It is bound by the port's number: a listener that is bound to whichever port
    /// the system chooses loses that port when it is shut down, and serves on another one afterwards.
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

    /// Its socket, for the poll.
    pub fn socket(&mut self) -> &mut TcpListener {
        &mut self.listener
    }

    /// Its address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// How it treats connections.
    pub fn state(&self) -> ListenerState {
        self.state
    }

    /// The connections that have come up.
    pub fn accept(&self) -> Vec<TcpStream> {
        let mut accepted = Vec::new();
        while self.state == ListenerState::Open
            && let Ok((stream, _)) = self.listener.accept()
        {
            accepted.push(stream);
        }
        accepted
    }

    /// Changes how it treats connections. Gives those that had come up before the change.
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

    /// Fills the queue, so that the system drops who connects, as a network that is cut does.
    fn fill_queue(&mut self) -> io::Result<()> {
        self.listen(0)?;
        for _ in 0..FILLERS {
            let filler = Socket::new(Domain::IPV4, Type::STREAM, None)?;
            filler.set_nonblocking(true)?;
            // In progress, as it does not block.
            let _ = filler.connect(&self.address().into());
            self.fillers.push(filler);
        }
        Ok(())
    }

    /// Empties the queue; gives the connections in it that are not fillers.
    fn drain_queue(&mut self) -> io::Result<Vec<TcpStream>> {
        self.listen(BACKLOG)?;
        let own: Vec<SocketAddr> =
            self.fillers.drain(..).filter_map(|filler| local_address(&filler).ok()).collect();
        let mut accepted = Vec::new();
        while let Ok((stream, from)) = self.listener.accept() {
            if !own.contains(&from) {
                accepted.push(stream);
            }
        }
        Ok(accepted)
    }
}
