//! What the poll watches, by token. A token is never given twice, so that a late event of something that is closed
//! reaches nothing else.

use crate::ConnectionId;
use mio::event::Source as EventSource;
use mio::{Interest, Registry, Token};
use std::collections::HashMap;
use std::io;

/// The socket on which a scheduler's datagrams to another scheduler, or to all, are received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DatagramRoute {
    /// The sending scheduler.
    pub from: usize,
    /// The receiving one; `None`: all others.
    pub to: Option<usize>,
}

/// Which of the two processes that a scheduler may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ProcessKind {
    /// The one of the scenario's scheduler.
    Primary,
    /// A second one under the same name, started by a fault.
    Duplicate,
}

/// A process of a scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ProcessSlot {
    /// The scheduler.
    pub scheduler: usize,
    /// Which of its processes.
    pub kind: ProcessKind,
}

/// What an event of the poll is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A listener, by its index.
    Listener(usize),
    /// A connection.
    Connection(ConnectionId),
    /// Datagrams of a scheduler.
    Datagrams(DatagramRoute),
    /// The log of a process.
    Log(ProcessSlot),
}

/// All that is registered at the poll.
pub struct Sources {
    registry: Registry,
    by_token: HashMap<Token, Source>,
    next: usize,
}

impl Sources {
    /// Nothing is registered yet.
    pub fn new(registry: Registry) -> Sources {
        Sources { registry, by_token: HashMap::new(), next: 0 }
    }

    /// Registers a source.
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

    /// Ends a registration.
    pub fn deregister(&mut self, io: &mut impl EventSource, token: Token) {
        // A source that is closed already has no registration any more.
        let _ = self.registry.deregister(io);
        self.by_token.remove(&token);
    }

    /// What a token stands for.
    pub fn get(&self, token: Token) -> Option<Source> {
        self.by_token.get(&token).copied()
    }
}
