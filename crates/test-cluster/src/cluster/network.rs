//! The proxy's connections and listeners, and the conditions of all links. What happens on connections is queued as
//! events for the stand-ins.

use super::connection::{Connection, Ends, ReadEnd, WriteMark};
use super::listener::Listener;
use super::runtime::Runtime;
use super::sources::Source;
use super::timers::Timer;
use crate::network_conditions::{NetworkConditions, Packet};
use crate::scenario::{Link, Node};
use crate::{ConnectionId, Error, Millis};
use mio::Interest;
use mio::net::TcpStream;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;

/// Something that happened on a connection.
#[derive(Debug)]
pub enum NetworkEvent {
    /// A mark has been written.
    Written {
        /// The scheduler that it was written to.
        scheduler: usize,
        /// When its connection was opened.
        opened_at: Millis,
        /// What it marks.
        mark: WriteMark,
    },
    /// Bytes have arrived for the stand-in.
    Received(ConnectionId, Vec<u8>),
    /// The scheduler has ended its sending, or the connection is gone.
    Ended(ConnectionId),
}

/// A listener and what it stands for.
pub struct ProxyListener {
    /// The listener.
    pub listener: Listener,
    /// The scheduler that knows its address.
    pub scheduler: usize,
    /// The node that the scheduler reaches by it.
    pub far: Node,
}

/// All connections and listeners.
#[derive(Default)]
pub struct Network {
    connections: BTreeMap<ConnectionId, Connection>,
    pub listeners: Vec<ProxyListener>,
    conditions: HashMap<Link, NetworkConditions>,
    events: VecDeque<NetworkEvent>,
    last_id: ConnectionId,
}

impl Network {
    /// Opens a listener for a scheduler; gives its address.
    pub fn add_listener(
        &mut self,
        runtime: &mut Runtime,
        scheduler: usize,
        far: Node,
    ) -> io::Result<SocketAddr> {
        let mut listener = Listener::new()?;
        let source = Source::Listener(self.listeners.len());
        runtime.sources.register(listener.socket(), Interest::READABLE, source)?;
        let address = listener.address();
        self.listeners.push(ProxyListener { listener, scheduler, far });
        Ok(address)
    }

    /// The address under which a scheduler knows a node.
    pub fn listener_address(&self, scheduler: usize, far: Node) -> Option<SocketAddr> {
        let mut listeners = self.listeners.iter();
        let listener = listeners.find(|one| one.scheduler == scheduler && one.far == far)?;
        Some(listener.listener.address())
    }

    /// The conditions of a link.
    pub fn conditions(&self, link: Link) -> NetworkConditions {
        self.conditions.get(&link).cloned().unwrap_or_default()
    }

    /// Whether nothing arrives in one of the two directions between two nodes.
    pub fn is_cut(&self, a: Node, b: Node) -> bool {
        let link = Link::new(a, b);
        self.conditions(link).blackhole || self.conditions(link.reverse()).blackhole
    }

    /// Replaces the conditions of all links, and moves on what these let through.
    pub fn set_conditions(&mut self, runtime: &mut Runtime, conditions: HashMap<Link, NetworkConditions>) {
        self.conditions = conditions;
        for id in self.ids(|_| true) {
            self.advance(runtime, id);
        }
    }

    /// Adds a connection. A failure ends the run.
    pub fn add(
        &mut self,
        runtime: &mut Runtime,
        mut stream: TcpStream,
        ends: Ends,
        is_opening: bool,
    ) -> Option<ConnectionId> {
        // Latency is all that it changes.
        let _ = stream.set_nodelay(true);
        let id = self.last_id + 1;
        let interest = Interest::READABLE | Interest::WRITABLE;
        match runtime.sources.register(&mut stream, interest, Source::Connection(id)) {
            Ok(token) => {
                self.last_id = id;
                let now = runtime.clock.since_start();
                self.connections.insert(id, Connection::new(stream, token, ends, is_opening, now));
                Some(id)
            }
            Err(source) => {
                runtime.fail(Error::Io { operation: "watching a connection", source });
                None
            }
        }
    }

    /// Removes a connection, which ends it once it is dropped.
    pub fn remove(&mut self, runtime: &mut Runtime, id: ConnectionId) -> Option<Connection> {
        let mut connection = self.connections.remove(&id)?;
        let token = connection.token;
        runtime.sources.deregister(connection.stream(), token);
        Some(connection)
    }

    /// A connection, unless it has ended.
    pub fn get(&self, id: ConnectionId) -> Option<&Connection> {
        self.connections.get(&id)
    }

    /// A connection, unless it has ended.
    pub fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.connections.get_mut(&id)
    }

    /// The connections with a property, in the order in which they were opened.
    pub fn ids(&self, has_property: impl Fn(&Connection) -> bool) -> Vec<ConnectionId> {
        let all = self.connections.iter().filter(|(_, connection)| has_property(connection));
        all.map(|(id, _)| *id).collect()
    }

    /// What happened since the last call, one event at a time.
    pub fn poll_event(&mut self) -> Option<NetworkEvent> {
        self.events.pop_front()
    }

    /// Ends a connection as a machine does that does not exist any more.
    pub fn reset(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.is_broken = true;
        connection.reset_on_close();
        self.events.push_back(NetworkEvent::Ended(id));
    }

    /// The scheduler's side seems to have ended its sending.
    pub fn end_from_scheduler(&mut self, runtime: &mut Runtime, id: ConnectionId) {
        self.push_from_scheduler(runtime, id, Packet::End);
    }

    /// The stand-in's side seems to have ended its sending.
    pub fn end_to_scheduler(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.end_output();
        }
        self.write(id);
    }

    /// A stand-in sends bytes, with what to record once they are written.
    pub fn send(&mut self, runtime: &mut Runtime, id: ConnectionId, bytes: Vec<u8>, mark: Option<WriteMark>) {
        let Some(link) = self.get(id).map(Connection::link_to_scheduler) else { return };
        let (now, conditions) = (runtime.clock.now(), self.conditions(link));
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.push_to_scheduler(now, bytes, mark, &conditions, &mut runtime.rng);
        }
        self.advance(runtime, id);
    }

    /// Passes bytes on that have been under way already.
    pub fn forward(&mut self, id: ConnectionId, bytes: &[u8]) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.extend_output(bytes);
        }
        self.write(id);
    }

    fn push_from_scheduler(&mut self, runtime: &mut Runtime, id: ConnectionId, packet: Packet) {
        let Some(link) = self.get(id).map(Connection::link_from_scheduler) else { return };
        let (now, conditions) = (runtime.clock.now(), self.conditions(link));
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.push_from_scheduler(now, packet, &conditions, &mut runtime.rng);
        }
    }

    /// Moves on what has arrived, in both directions.
    pub fn advance(&mut self, runtime: &mut Runtime, id: ConnectionId) {
        let Some(link) = self.get(id).map(Connection::link_from_scheduler) else { return };
        let (from, to) = (self.conditions(link), self.conditions(link.reverse()));
        let now = runtime.clock.now();
        self.advance_to_scheduler(id, now, &to);
        self.advance_from_scheduler(id, now, &from);
        if let Some(next) = self.get(id).and_then(|connection| connection.next_arrival(&to, &from)) {
            runtime.timers.schedule(next, Timer::Arrival(id));
        }
    }

    fn advance_to_scheduler(&mut self, id: ConnectionId, now: Millis, conditions: &NetworkConditions) {
        let mut has_output = false;
        while let Some(connection) = self.connections.get_mut(&id)
            && let Some(packet) = connection.take_to_scheduler(now, conditions)
        {
            has_output = true;
            match packet {
                Packet::Bytes(bytes) => connection.extend_output(&bytes),
                Packet::End => connection.end_output(),
                Packet::Reset => return self.reset(id),
            }
        }
        if has_output {
            self.write(id);
        }
    }

    fn advance_from_scheduler(&mut self, id: ConnectionId, now: Millis, conditions: &NetworkConditions) {
        while let Some(connection) = self.connections.get_mut(&id)
            && let Some(packet) = connection.take_from_scheduler(now, conditions)
        {
            match packet {
                Packet::Bytes(bytes) => self.events.push_back(NetworkEvent::Received(id, bytes)),
                Packet::End => self.events.push_back(NetworkEvent::Ended(id)),
                Packet::Reset => return self.reset(id),
            }
        }
    }

    /// Writes what the scheduler's socket takes.
    pub fn write(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        match connection.write() {
            Ok(marks) => {
                let (scheduler, opened_at) = (connection.scheduler, connection.opened_at);
                let written = |mark| NetworkEvent::Written { scheduler, opened_at, mark };
                self.events.extend(marks.into_iter().map(written));
            }
            Err(_) => self.events.push_back(NetworkEvent::Ended(id)),
        }
    }

    /// Reads what the scheduler has sent.
    pub fn read(&mut self, runtime: &mut Runtime, id: ConnectionId) {
        while let Some(connection) = self.connections.get_mut(&id) {
            match connection.read() {
                Ok(bytes) => {
                    connection.first_byte_at.get_or_insert(runtime.clock.since_start());
                    self.push_from_scheduler(runtime, id, Packet::Bytes(bytes));
                }
                Err(ReadEnd::Ended) => {
                    self.push_from_scheduler(runtime, id, Packet::End);
                    break;
                }
                Err(ReadEnd::Blocked) => break,
            }
        }
        self.advance(runtime, id);
    }
}
