//! The sources registered with the poll, by token. Tokens are never reused, so a late event of a closed
//! source is not attributed to another one.

use crate::ConnectionId;
use mio::event::Source as EventSource;
use mio::{Interest, Registry, Token};
use std::collections::HashMap;
use std::io;

/// Identifies the proxy's socket that receives a scheduler's datagrams to another scheduler, or to all
/// others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DatagramRoute {
    /// The sending scheduler.
    pub from: usize,
    /// The receiving scheduler; `None` for a broadcast to all others.
    pub to: Option<usize>,
}

/// Distinguishes the two processes that a scheduler may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ProcessKind {
    /// The scheduler's regular process.
    Primary,
    /// A second process with the same name, started by a duplicate-process fault.
    Duplicate,
}

/// Identifies a process of a scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ProcessSlot {
    /// Index of the scheduler.
    pub scheduler: usize,
    /// Which of the scheduler's processes.
    pub kind: ProcessKind,
}

/// The source of a poll event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A listener of the proxy, by its index in the network's listeners.
    Listener(usize),
    /// The scheduler's side of a proxied connection.
    Connection(ConnectionId),
    /// The proxy's datagram socket of a route.
    Datagrams(DatagramRoute),
    /// The pipe with the log output of a process.
    Log(ProcessSlot),
}

/// The registrations with the poll.
pub struct Sources {
    registry: Registry,
    by_token: HashMap<Token, Source>,
    next: usize,
}

impl Sources {
    /// Creates an empty set of registrations with this poll's registry.
    pub fn new(registry: Registry) -> Sources {
        Sources { registry, by_token: HashMap::new(), next: 0 }
    }

    /// Registers a source under a new token.
    pub fn register(
        &mut self,
        io: &mut impl EventSource,
        interest: Interest,
        source: Source,
    ) -> io::Result<Token> {
        let token = Token(self.next);
        self.registry.register(io, token, interest)?;
        self.next += 1;
        self.by_token.insert(token, source);
        Ok(token)
    }

    /// Removes a registration.
    pub fn deregister(&mut self, io: &mut impl EventSource, token: Token) {
        // Fails if the source is already closed; the kernel has then removed the registration.
        let _ = self.registry.deregister(io);
        self.by_token.remove(&token);
    }

    /// Returns the source registered under a token; `None` once it is deregistered.
    pub fn get(&self, token: Token) -> Option<Source> {
        self.by_token.get(&token).copied()
    }
}
