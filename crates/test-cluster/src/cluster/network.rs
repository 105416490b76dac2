//! The proxy's connections and listeners, and the conditions of all links. Activity on connections is queued
//! as events for the stand-ins.

use super::connection::{Connection, ConnectionEnds, NoData, WriteMark};
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

/// An event on a proxied connection.
#[derive(Debug)]
pub enum NetworkEvent {
    /// All bytes up to a mark have been written to the scheduler's socket.
    Written {
        /// The receiving scheduler.
        scheduler: usize,
        /// Traffic time at which the connection was opened.
        opened_at: Millis,
        /// The mark that has been reached.
        mark: WriteMark,
    },
    /// Bytes have arrived for the stand-in.
    Received(ConnectionId, Vec<u8>),
    /// The scheduler has closed its sending side, or the connection is closed.
    Ended(ConnectionId),
}

/// A listener of the proxy, which represents one node to one scheduler.
pub struct ProxyListener {
    pub listener: Listener,
    /// The only scheduler that has this address in its configuration or endpoint list.
    pub scheduler: usize,
    /// The node that the scheduler reaches at this address.
    pub remote_node: Node,
}

/// All proxied connections and listeners, with the conditions of the links.
#[derive(Default)]
pub struct Network {
    connections: BTreeMap<ConnectionId, Connection>,
    pub listeners: Vec<ProxyListener>,
    conditions: HashMap<Link, NetworkConditions>,
    events: VecDeque<NetworkEvent>,
    last_id: ConnectionId,
}

impl Network {
    /// Opens a listener that represents a node to a scheduler, and returns its address.
    pub fn add_listener(
        &mut self,
        runtime: &mut Runtime,
        scheduler: usize,
        remote_node: Node,
    ) -> io::Result<SocketAddr> {
        let mut listener = Listener::new()?;
        let source = Source::Listener(self.listeners.len());
        runtime.sources.register(listener.socket(), Interest::READABLE, source)?;
        let address = listener.address();
        self.listeners.push(ProxyListener { listener, scheduler, remote_node });
        Ok(address)
    }

    /// The address at which a scheduler reaches a node; `None` if it has no listener for it.
    pub fn listener_address(&self, scheduler: usize, remote_node: Node) -> Option<SocketAddr> {
        let mut listeners = self.listeners.iter();
        let listener =
            listeners.find(|entry| entry.scheduler == scheduler && entry.remote_node == remote_node)?;
        Some(listener.listener.address())
    }

    /// The conditions of a link; the default ones if no fault affects it.
    pub fn conditions(&self, link: Link) -> NetworkConditions {
        self.conditions.get(&link).cloned().unwrap_or_default()
    }

    /// Whether at least one of the two directions between two nodes is a black hole, so that no connection
    /// between them can be established.
    pub fn is_blackholed(&self, a: Node, b: Node) -> bool {
        let link = Link::new(a, b);
        self.conditions(link).blackhole || self.conditions(link.reverse()).blackhole
    }

    /// Replaces the conditions of all links, and delivers the packets that may now pass.
    pub fn set_conditions(&mut self, runtime: &mut Runtime, conditions: HashMap<Link, NetworkConditions>) {
        self.conditions = conditions;
        for id in self.ids(|_| true) {
            self.advance(runtime, id);
        }
    }

    /// Adds a connection and registers it with the poll. If that fails, the run ends with the error.
    pub fn add(
        &mut self,
        runtime: &mut Runtime,
        mut stream: TcpStream,
        ends: ConnectionEnds,
        is_opening: bool,
    ) -> Option<ConnectionId> {
        // A failure only affects latency.
        let _ = stream.set_nodelay(true);
        let id = self.last_id + 1;
        let interest = Interest::READABLE | Interest::WRITABLE;
        match runtime.sources.register(&mut stream, interest, Source::Connection(id)) {
            Ok(token) => {
                self.last_id = id;
                let now = runtime.clock.since_traffic_start();
                self.connections.insert(id, Connection::new(stream, token, ends, is_opening, now));
                Some(id)
            }
            Err(source) => {
                runtime.fail(Error::Io { operation: "registering a connection with the poll", source });
                None
            }
        }
    }

    /// Removes and returns a connection. Its socket is closed when it is dropped.
    pub fn remove(&mut self, runtime: &mut Runtime, id: ConnectionId) -> Option<Connection> {
        let mut connection = self.connections.remove(&id)?;
        let token = connection.token;
        runtime.sources.deregister(connection.stream(), token);
        Some(connection)
    }

    /// Returns a connection; `None` once it has been removed.
    pub fn get(&self, id: ConnectionId) -> Option<&Connection> {
        self.connections.get(&id)
    }

    /// Returns a connection; `None` once it has been removed.
    pub fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.connections.get_mut(&id)
    }

    /// Ids of the connections that satisfy a predicate, in the order in which they were opened.
    pub fn ids(&self, has_property: impl Fn(&Connection) -> bool) -> Vec<ConnectionId> {
        let all = self.connections.iter().filter(|(_, connection)| has_property(connection));
        all.map(|(id, _)| *id).collect()
    }

    /// Takes the oldest event that has not been handled yet.
    pub fn poll_event(&mut self) -> Option<NetworkEvent> {
        self.events.pop_front()
    }

    /// Resets a connection in both directions, as when the host at the other end is gone.
    pub fn reset(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.was_reset = true;
        connection.reset_on_close();
        self.events.push_back(NetworkEvent::Ended(id));
    }

    /// Simulates that the scheduler has closed its sending side.
    pub fn end_from_scheduler(&mut self, runtime: &mut Runtime, id: ConnectionId) {
        self.push_from_scheduler(runtime, id, Packet::End);
    }

    /// Simulates that the stand-in has closed its sending side.
    pub fn end_to_scheduler(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.end_output();
        }
        self.write(id);
    }

    /// Sends bytes from a stand-in under the conditions of the link. The mark is reported once they have been
    /// written.
    pub fn send(&mut self, runtime: &mut Runtime, id: ConnectionId, bytes: Vec<u8>, mark: Option<WriteMark>) {
        let Some(link) = self.get(id).map(Connection::link_to_scheduler) else { return };
        let (now, conditions) = (runtime.clock.now(), self.conditions(link));
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.push_to_scheduler(now, bytes, mark, &conditions, &mut runtime.rng);
        }
        self.advance(runtime, id);
    }

    /// Writes bytes to the scheduler without delay, for bytes that have already passed a link's conditions.
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

    /// Delivers the packets that have arrived in both directions, and schedules a timer for the next arrival.
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

    /// Writes as many pending bytes as the scheduler's socket accepts.
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

    /// Reads all available bytes from the scheduler's socket.
    pub fn read(&mut self, runtime: &mut Runtime, id: ConnectionId) {
        while let Some(connection) = self.connections.get_mut(&id) {
            match connection.read() {
                Ok(bytes) => {
                    connection.first_byte_at.get_or_insert(runtime.clock.since_traffic_start());
                    self.push_from_scheduler(runtime, id, Packet::Bytes(bytes));
                }
                Err(NoData::Ended) => {
                    self.push_from_scheduler(runtime, id, Packet::End);
                    break;
                }
                Err(NoData::WouldBlock) => break,
            }
        }
        self.advance(runtime, id);
    }
}
