//! The operators' admin endpoint. It has its own listener; each connection carries a call of one line and its
//! reply.
//!
//! Admin connections are non-blocking and share the event loop with the other connections, so a reply never
//! waits for another client. A connection without a complete line is closed after a timeout, or earlier to
//! make room for a new one: the endpoint has at most `max_clients` connections, with up to
//! [`control::MAX_LINE_BYTES`] bytes of input each. `protocol::control` parses the calls, and `engine::drain`
//! has the states of a drain.

use super::Context;
use super::buffered_stream::BufferedStream;
use super::event_loop::{Connection, Flow, Millis, Owner, drive};
use super::listener::accept_next;
use brackenledge_discovery::Availability;
use brackenledge_engine::stats::{Gauges, render_lines};
use brackenledge_protocol::control::{self, Call, LineError, Parsed};
use mio::net::{TcpListener, TcpStream};
use slab::Slab;
use std::rc::Rc;

/// A connection whose reply is not read is closed this long, in milliseconds, after the timeout for its line.
const UNREAD_REPLY_TIMEOUT: Millis = 1_000.0;

/// Reply to `MEMBERS` and `DUTIES` if the cluster is off.
const CLUSTER_OFF_REPLY: &str = "error the tier is off: set tier.on in the operators' file\n";
/// Reply to `ZONES` if zone routing is off.
const ZONE_ROUTING_OFF_REPLY: &str = "error zones are off: set zones.on in the operators' file\n";

/// The connection of an admin client.
struct AdminClient {
    stream: BufferedStream,
    accepted_at: Millis,
    /// Number in the order of acceptance: connections accepted in the same iteration of the event loop have
    /// the same `accepted_at`.
    serial: u64,
    /// Whether the reply is in the output buffer. Further input is then discarded.
    replied: bool,
    class_names: Rc<[String]>,
}

impl AdminClient {
    fn reply(&mut self, text: &str) {
        self.stream.buffer.push(text.as_bytes());
        self.replied = true;
    }

    /// Returns the lines of the reply to `INFO`.
    fn info_lines(&self, cx: &Context) -> Vec<String> {
        let Availability { listed, ready } = cx.endpoints.availability();
        let gauges = Gauges {
            pending_jobs: cx.engine.pending_jobs(),
            endpoints: listed,
            unready_endpoints: listed - ready,
        };
        let mut lines = render_lines(cx.engine.stats(), &self.class_names, &gauges);
        if let Some(job_failover) = cx.job_failover.as_ref() {
            lines.extend(job_failover.figures(&self.class_names));
        }
        lines
    }

    /// Executes a call and returns its reply.
    fn execute(&mut self, call: Call, cx: &mut Context) -> String {
        match call {
            Call::Ping if cx.endpoints.can_serve() => "done yes\n".into(),
            Call::Ping => "done no\n".into(),
            Call::Info => multiline_reply(self.info_lines(cx)),
            Call::Members => match cx.cluster {
                Some(cluster) => multiline_reply(cluster.members_lines()),
                None => CLUSTER_OFF_REPLY.into(),
            },
            Call::Duties => match cx.cluster {
                Some(cluster) => multiline_reply(cluster.duties_lines()),
                None => CLUSTER_OFF_REPLY.into(),
            },
            Call::Zones => match cx.zones {
                Some(zones) => multiline_reply(zones.status_lines(cx.now)),
                None => ZONE_ROUTING_OFF_REPLY.into(),
            },
            Call::LameDuck => format!("done {}\n", cx.drain.lame_duck(cx.now).reply_text()),
            Call::Rejoin => format!("done {}\n", cx.drain.rejoin().reply_text()),
        }
    }
}

/// Formats a reply of several lines, enclosed by the lines `done` and `end`.
fn multiline_reply(lines: Vec<String>) -> String {
    let lines: String = lines.into_iter().map(|line| line + "\n").collect();
    format!("done\n{lines}end\n")
}

impl Connection<Context<'_>> for AdminClient {
    fn stream(&mut self) -> &mut BufferedStream {
        &mut self.stream
    }

    fn on_written(&mut self, _cx: &mut Context) -> Flow {
        if self.replied { Flow::Close } else { Flow::Keep }
    }

    fn on_input(&mut self, cx: &mut Context) -> Flow {
        let input = self.stream.buffer.input();
        let parsed =
            if self.replied { Parsed::Rejected(LineError::SecondLine) } else { control::parse_line(input) };
        let used = input.len();
        match parsed {
            Parsed::Partial => return Flow::Keep,
            Parsed::Call(call) => {
                let reply = self.execute(call, cx);
                self.reply(&reply);
            }
            // The reply is the last output of a connection, so a second line after it gets no error.
            Parsed::Rejected(_) if self.replied => {}
            Parsed::Rejected(error) => self.reply(&control::error_reply(error)),
        }
        self.stream.buffer.consume(used);
        Flow::Keep
    }

    /// The end of the input also ends the line. As much of the reply is written as the socket accepts at
    /// once, since the connection is closed after this call.
    fn on_end(&mut self, cx: &mut Context) {
        let input = self.stream.buffer.input();
        if self.replied || input.is_empty() {
            return;
        }
        let reply = match control::parse_last_line(input) {
            Ok(call) => self.execute(call, cx),
            Err(error) => control::error_reply(error),
        };
        let used = self.stream.buffer.input().len();
        self.stream.buffer.consume(used);
        self.reply(&reply);
        let _ = self.stream.flush();
    }

    fn max_input(&self) -> usize {
        control::MAX_LINE_BYTES + 1
    }
}

/// The endpoint's listener and connections.
pub struct AdminEndpoint {
    listener: TcpListener,
    clients: Slab<AdminClient>,
    class_names: Rc<[String]>,
    accepted_count: u64,
    max_clients: usize,
    line_timeout: Millis,
}

impl AdminEndpoint {
    /// Creates the endpoint on a bound listener. `max_clients`: maximum number of open connections;
    /// `line_timeout`: time from a connection's acceptance in which its line must arrive.
    pub fn new(
        listener: TcpListener,
        class_names: Vec<String>,
        max_clients: usize,
        line_timeout: Millis,
    ) -> Self {
        AdminEndpoint {
            listener,
            clients: Slab::new(),
            class_names: class_names.into(),
            accepted_count: 0,
            max_clients,
            line_timeout,
        }
    }

    /// Returns the listener, to register it with the poll.
    pub fn listener(&mut self) -> &mut TcpListener {
        &mut self.listener
    }

    /// Accepts all waiting connections.
    pub fn accept(&mut self, cx: &mut Context) {
        loop {
            match accept_next(&self.listener) {
                Ok(Some(stream)) => self.add_client(stream, cx),
                Ok(None) => return,
                // Out of descriptors: closing a connection frees one, and the next sweep accepts again.
                Err(_) => {
                    self.close_oldest(cx);
                    return;
                }
            }
        }
    }

    /// Adds a connection. If there are `max_clients` already, the oldest one is closed first.
    fn add_client(&mut self, stream: TcpStream, cx: &mut Context) {
        if self.clients.len() >= self.max_clients {
            self.close_oldest(cx);
        }
        self.accepted_count += 1;
        let entry = self.clients.vacant_entry();
        let slot = entry.key();
        let client = entry.insert(AdminClient {
            stream: BufferedStream::new(stream),
            accepted_at: cx.now,
            serial: self.accepted_count,
            replied: false,
            class_names: Rc::clone(&self.class_names),
        });
        if cx.event_loop.register(&mut client.stream.socket, Owner::AdminClient(slot)).is_err() {
            self.clients.remove(slot);
            return;
        }
        // Input that has already arrived is handled in this iteration.
        self.on_ready(slot, cx);
    }

    fn close_oldest(&mut self, cx: &mut Context) {
        let oldest = self.clients.iter().min_by_key(|(_, client)| client.serial).map(|(slot, _)| slot);
        if let Some(slot) = oldest {
            self.remove(slot, cx);
        }
    }

    /// Handles a readiness event of a connection.
    pub fn on_ready(&mut self, slot: usize, cx: &mut Context) {
        let Some(client) = self.clients.get_mut(slot) else { return };
        match drive(client, cx) {
            Flow::Keep => {}
            Flow::Requeue => cx.event_loop.requeue(Owner::AdminClient(slot)),
            Flow::Close => self.remove(slot, cx),
        }
    }

    /// Closes the connections whose line is not complete in time or whose reply is not read in time.
    pub fn sweep(&mut self, cx: &mut Context) {
        let line_timeout = self.line_timeout;
        let is_timed_out = |client: &AdminClient| {
            let reply_timeout = if client.replied { UNREAD_REPLY_TIMEOUT } else { 0.0 };
            cx.now >= client.accepted_at + (line_timeout + reply_timeout)
        };
        let timed_out: Vec<usize> =
            self.clients.iter().filter(|(_, client)| is_timed_out(client)).map(|(slot, _)| slot).collect();
        for slot in timed_out {
            let client = &mut self.clients[slot];
            if !client.replied {
                // As much is written as the socket accepts at once, since the connection is closed next.
                client.reply(&control::error_reply(LineError::TooSlow));
                let _ = client.stream.flush();
            }
            self.remove(slot, cx);
        }
    }

    fn remove(&mut self, slot: usize, cx: &mut Context) {
        let mut client = self.clients.remove(slot);
        cx.event_loop.deregister(&mut client.stream.socket);
    }
}
