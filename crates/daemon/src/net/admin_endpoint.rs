//! The admin endpoint: a listener of its own; each connection carries one line with a call and one reply.
//!
//! Admin clients are connections on the same event loop as the jobs' clients, so an answer never waits for another
//! client. A client that sends no whole line is closed after a timeout, or earlier if a newer one needs its place:
//! the endpoint holds at most `max_clients` connections of [`control::MAX_LINE_BYTES`] bytes each. The calls are parsed in
//! `protocol::control`; the drain's states are the engine's.

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

/// A client that does not read its reply is closed this long, in milliseconds, after the timeout for its line.
const UNREAD_REPLY_TIMEOUT: Millis = 1_000.0;

/// The reply to a call on the cluster where the cluster is off.
const CLUSTER_IS_OFF: &str = "error the tier is off: set tier.on in the operators' file\n";
/// The reply to `ZONES` where zone routing is off.
const ZONE_ROUTING_IS_OFF: &str = "error zones are off: set zones.on in the operators' file\n";

/// One admin client's connection.
struct AdminClient {
    stream: BufferedStream,
    accepted_at: Millis,
    /// Its place in the order of arrival, since clients accepted in one turn have the same `accepted_at`.
    serial: u64,
    /// The reply is in the output buffer: further input is discarded.
    replied: bool,
    class_names: Rc<[String]>,
}

impl AdminClient {
    fn reply(&mut self, text: &str) {
        self.stream.buffer.push(text.as_bytes());
        self.replied = true;
    }

    /// The lines of `INFO`.
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
            Call::Info => lines_reply(self.info_lines(cx)),
            Call::Members => match cx.cluster {
                Some(cluster) => lines_reply(cluster.members_lines()),
                None => CLUSTER_IS_OFF.into(),
            },
            Call::Duties => match cx.cluster {
                Some(cluster) => lines_reply(cluster.duties_lines()),
                None => CLUSTER_IS_OFF.into(),
            },
            Call::Zones => match cx.zones {
                Some(zones) => lines_reply(zones.status_lines(cx.now)),
                None => ZONE_ROUTING_IS_OFF.into(),
            },
            Call::LameDuck => format!("done {}\n", cx.drain.lame_duck(cx.now).reply_text()),
            Call::Rejoin => format!("done {}\n", cx.drain.rejoin().reply_text()),
        }
    }
}

/// A reply of several lines: between `done` and `end`.
fn lines_reply(lines: Vec<String>) -> String {
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
            // A second line after the reply gets no error: nothing follows a reply.
            Parsed::Rejected(_) if self.replied => {}
            Parsed::Rejected(error) => self.reply(&control::error_reply(error)),
        }
        self.stream.buffer.consume(used);
        Flow::Keep
    }

    /// The end of the input ends the line too. The reply is written as far as the socket accepts it now, since the
    /// connection closes after this.
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

/// The endpoint's listener and its clients.
pub struct AdminEndpoint {
    listener: TcpListener,
    clients: Slab<AdminClient>,
    class_names: Rc<[String]>,
    accepted: u64,
    max_clients: usize,
    line_timeout: Millis,
}

impl AdminEndpoint {
    /// An endpoint on a listener that is bound already. `max_clients`: connections held at once; `line_timeout`: the
    /// time in which a client has to send its line.
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
            accepted: 0,
            max_clients,
            line_timeout,
        }
    }

    /// The listener, for the poll.
    pub fn listener(&mut self) -> &mut TcpListener {
        &mut self.listener
    }

    /// Accepts the clients that wait.
    pub fn accept(&mut self, cx: &mut Context) {
        loop {
            match accept_next(&self.listener) {
                Ok(Some(stream)) => self.add_client(stream, cx),
                Ok(None) => return,
                // Out of descriptors: closing one makes room, and the next sweep accepts again.
                Err(_) => {
                    self.close_oldest(cx);
                    return;
                }
            }
        }
    }

    /// Adds a client. Where there are `max_clients` already, the oldest one is closed.
    fn add_client(&mut self, stream: TcpStream, cx: &mut Context) {
        if self.clients.len() >= self.max_clients {
            self.close_oldest(cx);
        }
        self.accepted += 1;
        let entry = self.clients.vacant_entry();
        let at = entry.key();
        let client = entry.insert(AdminClient {
            stream: BufferedStream::new(stream),
            accepted_at: cx.now,
            serial: self.accepted,
            replied: false,
            class_names: Rc::clone(&self.class_names),
        });
        if cx.event_loop.register(&mut client.stream.socket, Owner::AdminClient(at)).is_err() {
            self.clients.remove(at);
            return;
        }
        // Input that came with the connection is answered in this turn.
        self.on_ready(at, cx);
    }

    fn close_oldest(&mut self, cx: &mut Context) {
        let oldest = self.clients.iter().min_by_key(|(_, client)| client.serial).map(|(at, _)| at);
        if let Some(at) = oldest {
            self.remove(at, cx);
        }
    }

    /// The poll reports an event of a client.
    pub fn on_ready(&mut self, at: usize, cx: &mut Context) {
        let Some(client) = self.clients.get_mut(at) else { return };
        match drive(client, cx) {
            Flow::Keep => {}
            Flow::Requeue => cx.event_loop.requeue(Owner::AdminClient(at)),
            Flow::Close => self.remove(at, cx),
        }
    }

    /// Closes the clients that have not sent a whole line in time, and those that have not read their reply in time.
    pub fn sweep(&mut self, cx: &mut Context) {
        let line_timeout = self.line_timeout;
        let is_late = |client: &AdminClient| {
            let reply_timeout = if client.replied { UNREAD_REPLY_TIMEOUT } else { 0.0 };
            cx.now >= client.accepted_at + (line_timeout + reply_timeout)
        };
        let late: Vec<usize> =
            self.clients.iter().filter(|(_, client)| is_late(client)).map(|(at, _)| at).collect();
        for at in late {
            let client = &mut self.clients[at];
            if !client.replied {
                // Written as far as the socket accepts it now: the connection closes in any case.
                client.reply(&control::error_reply(LineError::TooSlow));
                let _ = client.stream.flush();
            }
            self.remove(at, cx);
        }
    }

    fn remove(&mut self, at: usize, cx: &mut Context) {
        let mut client = self.clients.remove(at);
        cx.event_loop.deregister(&mut client.stream.socket);
    }
}
