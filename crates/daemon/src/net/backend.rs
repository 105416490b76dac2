//! The backend servers' side: a pool of connections, and the dispatches and probes that travel on them.

use super::Context;
use super::buffered_stream::BufferedStream;
use super::discovery::deregister;
use super::event_loop::{Alarm, Connection, Flow, Millis, Owner, drive, push_out};
use brackenledge_discovery::EndpointSignal;
use brackenledge_engine::{AttemptDeadlines, AttemptId, Request};
use brackenledge_policy::{Effect, LoadReport, Outcome, WorkerId};
use brackenledge_protocol::http::{AnswerHead, BODY_MOST, HEAD_MOST, take_answer_head};
use brackenledge_protocol::worker::{read_line, read_load, read_load_header};
use mio::net::TcpStream;
use slab::Slab;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// A line holds a body and little else; JSON may write one byte as six.
const LINE_MOST: usize = 6 * BODY_MOST + 4 * 1024;
/// Idle connections are closed this part of the stated limit after their last use, and this long before it at
/// least: what is written to one that the other side closes meanwhile ends as a reset.
const IDLE_PART: f64 = 0.8;
const IDLE_MARGIN: Millis = 500.0;
/// A second answer may come some milliseconds behind the first, and one without a line in it names no request: on a
/// connection used again at once it would pass for the next request's, and a job that may run for one that never ran.
/// So each rests for some round trips before a request uses it that must not be repeated at will.
const REST: Millis = 20.0;
/// A probe that takes longer than this tells as much as one that fails.
const PROBE_TIME: Millis = 1_000.0;

/// Once a kept connection was reset before it gave one byte back, servers or the network drop idle ones early: for
/// so long each request has a new connection, which costs a server a millisecond or two.
const DISTRUST: Millis = 30_000.0;
/// And for so long the last byte of a request that must not run twice is held back after the rest, a round trip
/// between zones: a connection that is reset meanwhile has not carried it, and it may go elsewhere.
const HOLD: Millis = 12.0;

#[derive(Clone)]
enum Task {
    Dispatch { id: AttemptId, request: Rc<Request>, times: AttemptDeadlines },
    Probe,
}

/// A connection to a backend server. One request at a time travels on it.
struct ServerConnection {
    link: BufferedStream,
    server: WorkerId,
    address: SocketAddr,
    serial: u64,
    connecting: bool,
    task: Option<Task>,
    head: Option<AnswerHead>,
    idle_since: Millis,
    /// It has served a request before.
    kept: bool,
    /// The last byte of its request, while that is held back.
    held: Option<u8>,
    /// Its dispatch has been counted as written whole.
    relayed: bool,
    /// When its job started, as far as is known.
    started: Millis,
}

impl ServerConnection {
    /// Puts the request into the buffer. The backend server is told how long it is worth working.
    fn start(&mut self, task: Task, cx: &mut Context) {
        let now = cx.now;
        self.head = None;
        self.relayed = false;
        self.started = now;
        match &task {
            Task::Probe => {
                let probe = format!("GET /metrics/load HTTP/1.1\r\nHost: {}\r\n\r\n", self.address);
                self.link.buffer.push(probe.as_bytes());
            }
            Task::Dispatch { request, times, .. } => {
                let mut head = format!(
                    "POST {} HTTP/1.1\r\nHost: {}\r\nX-Trace-Id: {}\r\nX-Expires-In-Ms: {:.0}\r\nContent-Length: {}\r\n",
                    request.target,
                    self.address,
                    request.id,
                    (times.response_deadline - now).max(1.0),
                    request.body.len()
                );
                for (name, value) in
                    [("Idempotency-Key", &request.idempotency_key), ("Content-Type", &request.content_type)]
                {
                    if let Some(value) = value {
                        head.extend([name, ": ", value, "\r\n"]);
                    }
                }
                head.push_str("\r\n");
                let hold = request.effect == Effect::Unsafe && *cx.distrust_until > now;
                let (last, rest) = match request.body.split_last() {
                    Some((&last, rest)) => (last, rest),
                    None => (b'\n', &[][..]),
                };
                if hold && request.body.is_empty() {
                    head.pop();
                }
                self.link.buffer.push(head.as_bytes());
                self.link.buffer.push(if hold { rest } else { &request.body });
                if hold {
                    self.held = Some(last);
                    cx.event_loop.set_alarm(now + HOLD, Alarm::Held(self.serial));
                }
            }
        }
        self.task = Some(task);
    }

    /// Counts its dispatch as relayed once the request's last byte is out; an answer read in the same turn
    /// may come before the poll tells of the write, so every step that ends a dispatch asks first.
    fn count_written(&mut self, cx: &mut Context) {
        if let Some(Task::Dispatch { id, .. }) = &self.task
            && !self.relayed
            && self.written()
        {
            self.relayed = true;
            cx.engine.attempt_sent(*id);
        }
    }

    /// What a dispatch's end says of the way to its zone.
    fn tell_zones(&self, outcome: Outcome, report: Option<LoadReport>, cx: &mut Context) {
        let zone = cx.endpoints.zone(self.server);
        if let Some(zones) = cx.zones {
            zones.on_attempt_finished(self.server, zone, outcome, report);
        }
    }

    /// Ends what travels here, if anything still does.
    fn end(&mut self, outcome: Outcome, report: Option<LoadReport>, cx: &mut Context) {
        self.count_written(cx);
        match self.task.take() {
            Some(Task::Dispatch { id, .. }) => {
                let room = report.and_then(|report| report.free_slots).is_some_and(|free| free >= 1.0);
                let signal = match outcome {
                    Outcome::Full if room => Some(EndpointSignal::ReturnedWithCapacity),
                    Outcome::Full => Some(EndpointSignal::Returned),
                    Outcome::ConnectFailed if self.connecting => Some(EndpointSignal::ConnectionRefused),
                    _ => None,
                };
                if let Some(signal) = signal {
                    cx.endpoints.handle_signal(cx.now, self.server, signal);
                }
                self.tell_zones(outcome, report, cx);
                cx.engine.attempt_ended(id, outcome, report);
            }
            Some(Task::Probe) => cx.engine.health_check_ended(self.server, outcome, report),
            None => {}
        }
    }

    /// Whether the request's last byte has been handed to the system. This must be read off the buffer: a note
    /// taken when a write is reported comes too late for an answer that is read in the same turn, and a job
    /// that may have run would pass for one that never did.
    fn written(&self) -> bool {
        !self.connecting && self.held.is_none() && self.link.buffer.output().is_empty()
    }

    /// What a connection that ends now means for its request: before the last byte is out it can't have run.
    fn broken(&self, cx: &mut Context) -> Outcome {
        if self.task.is_some() && self.head.is_none() && self.kept {
            *cx.distrust_until = cx.now + DISTRUST;
        }
        if self.written() { Outcome::Reset } else { Outcome::ConnectFailed }
    }

    /// Takes one line of an answer to a dispatch; `Close` where it makes no sense.
    fn take_line(&mut self, line: &[u8], id: AttemptId, request_id: &str, cx: &mut Context) -> Flow {
        let line = read_line(line);
        // What names another request, or none, is no answer to this one.
        let Some(line) = line.filter(|line| line.id.as_deref() == Some(request_id)) else {
            return Flow::Close;
        };
        let report = line.load;
        match (line.state.as_str(), line.result) {
            ("started", _) => {
                self.started = cx.now;
                cx.engine.attempt_started(id);
            }
            ("running", _) => cx.engine.attempt_progressed(id, line.share.unwrap_or(0.0)),
            ("done", Some(result)) => {
                self.task = None;
                cx.endpoints.handle_signal(cx.now, self.server, EndpointSignal::JobServed);
                if let Some(zones) = cx.zones {
                    zones.on_job_served(cx.now - self.started);
                }
                self.tell_zones(Outcome::Ok, report, cx);
                cx.engine.attempt_served(id, result, report);
            }
            // An answer without its result can't be given to the client.
            ("done" | "failed", _) => self.end(Outcome::Error, report, cx),
            ("returned", _) => self.end(Outcome::Full, report, cx),
            ("lost", _) => self.end(Outcome::Reset, report, cx),
            // A state that later versions may add says nothing final.
            _ => {}
        }
        Flow::Keep
    }

    /// An answer's message is complete.
    fn on_answer(&mut self, cx: &mut Context) {
        let Some(mut head) = self.head.take() else { return };
        let body = head.body.take_all(&mut self.link.buffer);
        let from_header = head.load.as_deref().map(read_load_header);
        if let Some(Task::Probe) = self.task {
            let report = read_load(&body);
            let outcome = if head.status == 200 { Outcome::Ok } else { Outcome::Error };
            self.end(outcome, from_header.or(report), cx);
            return;
        }
        let outcome = match head.status {
            // It ended without the last line.
            200 => Outcome::Reset,
            503 | 504 if head.never_ran => Outcome::Full,
            // The request itself was no good: that tells nothing of the server's health.
            400..=499 => Outcome::Rejected,
            _ => Outcome::Error,
        };
        self.end(outcome, from_header, cx);
    }

    /// Reads on; `Close` where the connection can't be used again.
    fn read_answer(&mut self, cx: &mut Context) -> Flow {
        self.count_written(cx);
        if self.task.is_none() && self.head.is_none() {
            // Nobody asked: it can't be told what later bytes would belong to.
            return Flow::Close;
        }
        if self.head.is_none() {
            match take_answer_head(&mut self.link.buffer, LINE_MOST) {
                Ok(Some(head)) => self.head = Some(head),
                Ok(None) => return Flow::Keep,
                Err(_) => return Flow::Close,
            }
        }
        let Some(head) = &mut self.head else { return Flow::Keep };
        let Ok(ended) = head.body.advance(&mut self.link.buffer) else { return Flow::Close };
        let closes = head.closes;
        let lines = head.status == 200;
        while lines && let Some(Task::Dispatch { id, request, .. }) = self.task.clone() {
            let Some(head) = &mut self.head else { break };
            let line = head.body.take_line(&mut self.link.buffer).or_else(|| {
                // The last line may come without an end.
                (ended && head.body.ready() > 0).then(|| head.body.take_all(&mut self.link.buffer))
            });
            let Some(line) = line else { break };
            if !line.is_empty() && self.take_line(&line, id, &request.id, cx) == Flow::Close {
                return Flow::Close;
            }
        }
        if !ended {
            return Flow::Keep;
        }
        self.on_answer(cx);
        if closes && self.kept {
            // It has kept this connection so far, and now wants it no longer.
            cx.endpoints.handle_signal(cx.now, self.server, EndpointSignal::ConnectionClosed);
        }
        self.idle_since = cx.now;
        self.kept = true;
        // Bytes behind the answer belong to nothing, and a request not wholly written can't be followed.
        let clean = self.link.buffer.input().is_empty() && self.written();
        if closes || !clean { Flow::Close } else { Flow::Keep }
    }
}

impl Connection<Context<'_>> for ServerConnection {
    fn stream(&mut self) -> &mut BufferedStream {
        &mut self.link
    }

    fn connecting(&self) -> bool {
        self.connecting
    }

    fn on_written(&mut self, cx: &mut Context) -> Flow {
        self.count_written(cx);
        Flow::Keep
    }

    fn on_open(&mut self, cx: &mut Context) -> Flow {
        self.connecting = false;
        let Some(task) = self.task.take() else { return Flow::Close };
        // Much may have changed since the connection was asked for: a server that has been told to drain
        // meanwhile must get nothing new, late work serves nobody, and a repeat has its window. Nothing has been
        // written: it is moot.
        let late = matches!(&task, Task::Dispatch { times, .. } if cx.now >= times.write_deadline);
        if late || !cx.endpoints.is_ready(self.server) {
            self.task = Some(task);
            // Nothing was written: it must not count as relayed.
            self.relayed = true;
            self.end(Outcome::Moot, None, cx);
            return Flow::Close;
        }
        self.start(task, cx);
        Flow::Keep
    }

    fn on_input(&mut self, cx: &mut Context) -> Flow {
        let flow = self.read_answer(cx);
        if flow == Flow::Close {
            // Bytes that make no sense end the exchange as a broken connection does.
            let outcome = self.broken(cx);
            self.end(outcome, None, cx);
        }
        flow
    }

    fn on_end(&mut self, cx: &mut Context) {
        if self.head.as_ref().is_some_and(|head| head.body.until_end()) {
            self.on_answer(cx);
        }
        let outcome = self.broken(cx);
        self.end(outcome, None, cx);
    }

    fn max_input(&self) -> usize {
        LINE_MOST + HEAD_MOST
    }
}

/// All connections to backend servers.
pub struct Backend {
    connections: Slab<ServerConnection>,
    /// Idle connections by server, the one used last at the end.
    idle: HashMap<WorkerId, Vec<usize>>,
    out: HashMap<AttemptId, usize>,
    most: usize,
    connect_timeout: Millis,
    idle_time: Millis,
}

impl Backend {
    /// `most`: connections held at most.
    pub fn new(most: usize, connect_timeout: Millis, idle_limit: Millis) -> Self {
        Backend {
            connections: Slab::new(),
            idle: HashMap::new(),
            out: HashMap::new(),
            most,
            connect_timeout,
            idle_time: (IDLE_PART * idle_limit).min(idle_limit - IDLE_MARGIN).max(0.0),
        }
    }

    /// Starts a dispatch. It ends once, whatever happens.
    pub fn dispatch(
        &mut self,
        id: AttemptId,
        server: WorkerId,
        request: Rc<Request>,
        times: AttemptDeadlines,
        cx: &mut Context,
    ) {
        if !cx.endpoints.is_ready(server) || cx.now >= times.write_deadline {
            cx.engine.attempt_ended(id, Outcome::Moot, None);
            return;
        }
        let zone = cx.endpoints.zone(server);
        if let Some(zones) = cx.zones {
            zones.on_attempt_started(zone);
        }
        let task = Task::Dispatch { id, request, times };
        match self.carry(task, server, cx) {
            Some(at) => {
                self.out.insert(id, at);
                cx.event_loop.set_alarm(times.response_deadline, Alarm::Dispatch(id));
                if times.write_deadline < times.response_deadline {
                    cx.event_loop.set_alarm(times.write_deadline, Alarm::Leave(id));
                }
                self.flush(at, cx);
            }
            None => cx.engine.attempt_ended(id, Outcome::ConnectFailed, None),
        }
    }

    /// Asks a server for its load.
    pub fn probe(&mut self, server: WorkerId, cx: &mut Context) {
        match self.carry(Task::Probe, server, cx) {
            Some(at) => {
                let serial = self.connections[at].serial;
                cx.event_loop.set_alarm(cx.now + PROBE_TIME, Alarm::Probe(serial));
                self.flush(at, cx);
            }
            None => cx.engine.health_check_ended(server, Outcome::ConnectFailed, None),
        }
    }

    /// Gives up a dispatch by closing its connection. What is not wholly written by then never ran.
    pub fn cancel(&mut self, id: AttemptId, outcome: Outcome, cx: &mut Context) {
        let Some(&at) = self.out.get(&id) else { return };
        let connection = &mut self.connections[at];
        let outcome = if connection.written() { outcome } else { Outcome::Moot };
        connection.end(outcome, None, cx);
        self.remove(at, cx);
    }

    /// Gives up a dispatch whose last byte has not left.
    pub fn take_back(&mut self, id: AttemptId, cx: &mut Context) {
        if self.out.get(&id).is_some_and(|&at| !self.connections[at].written()) {
            self.cancel(id, Outcome::Moot, cx);
        }
    }

    /// A dispatch has waited as long as it may.
    pub fn on_dispatch_alarm(&mut self, id: AttemptId, cx: &mut Context) {
        self.cancel(id, Outcome::Timeout, cx);
    }

    /// A connection should be up by now.
    pub fn on_connect_alarm(&mut self, serial: u64, cx: &mut Context) {
        let late = self.connections.iter_mut().find(|(_, c)| c.serial == serial && c.connecting);
        if let Some((at, connection)) = late {
            connection.end(Outcome::ConnectFailed, None, cx);
            self.remove(at, cx);
        }
    }

    /// A request has been held back long enough.
    pub fn on_held_alarm(&mut self, serial: u64, cx: &mut Context) {
        let held = |c: &ServerConnection| c.serial == serial && c.held.is_some();
        let Some((at, connection)) = self.connections.iter_mut().find(|(_, c)| held(c)) else { return };
        connection.link.buffer.push(&connection.held.take().map_or([b'\n'], |last| [last]));
        self.flush(at, cx);
    }

    /// A probe should be back by now.
    pub fn on_probe_alarm(&mut self, serial: u64, cx: &mut Context) {
        let probe = |c: &ServerConnection| c.serial == serial && matches!(c.task, Some(Task::Probe));
        if let Some((at, connection)) = self.connections.iter_mut().find(|(_, c)| probe(c)) {
            connection.end(Outcome::Timeout, None, cx);
            self.remove(at, cx);
        }
    }

    /// The poll has something for a connection.
    pub fn on_ready(&mut self, at: usize, cx: &mut Context) {
        let Some(connection) = self.connections.get_mut(at) else { return };
        let busy = dispatch_of(connection);
        let flow = drive(connection, cx);
        self.after(at, busy, flow, cx);
    }

    /// Closes connections without a task that are old, or whose server is gone or has moved.
    pub fn sweep(&mut self, cx: &mut Context) {
        let (now, idle_time) = (cx.now, self.idle_time);
        let stale = |c: &ServerConnection| {
            now >= c.idle_since + idle_time
                || !cx.endpoints.is_ready(c.server)
                || cx.endpoints.address(c.server) != Some(c.address)
        };
        let free = self.connections.iter().filter(|(_, c)| c.task.is_none());
        let stale: Vec<usize> = free.filter(|(_, c)| stale(c)).map(|(at, _)| at).collect();
        stale.into_iter().for_each(|at| self.remove(at, cx));
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&mut self, server: WorkerId, cx: &mut Context) {
        for at in self.idle.remove(&server).unwrap_or_default() {
            self.remove(at, cx);
        }
    }

    /// Finds or opens a connection for a task; `None`: none can be had.
    fn carry(&mut self, task: Task, server: WorkerId, cx: &mut Context) -> Option<usize> {
        let address = cx.endpoints.address(server)?;
        let rest = match &task {
            Task::Dispatch { request, .. } if request.effect != Effect::Safe => REST,
            _ => 0.0,
        };
        while let Some(at) = self.rested(server, cx.now - rest) {
            let connection = &mut self.connections[at];
            // The address may have changed, and what has been idle too long may be closed over there.
            let fresh = cx.now < connection.idle_since + self.idle_time && cx.now >= *cx.distrust_until;
            if connection.address == address && fresh && connection.link.has_nothing_to_read() {
                connection.start(task, cx);
                return Some(at);
            }
            self.remove(at, cx);
        }
        if self.connections.len() >= self.most {
            let idle = self.idle.values().flatten().copied();
            let oldest = idle
                .min_by(|&a, &b| self.connections[a].idle_since.total_cmp(&self.connections[b].idle_since))?;
            self.remove(oldest, cx);
        }
        let stream = TcpStream::connect(address).ok()?;
        let serial = cx.event_loop.next_serial();
        let at = self.connections.insert(ServerConnection {
            link: BufferedStream::new(stream),
            server,
            address,
            serial,
            connecting: true,
            task: Some(task),
            head: None,
            idle_since: cx.now,
            kept: false,
            held: None,
            relayed: false,
            started: 0.0,
        });
        if cx.event_loop.watch(&mut self.connections[at].link.socket, Owner::Backend(at)).is_err() {
            self.connections.remove(at);
            return None;
        }
        cx.event_loop.set_alarm(cx.now + self.connect_timeout, Alarm::Connect(serial));
        Some(at)
    }

    /// Takes the idle connection to a server that was used last, of those that have been idle since then.
    fn rested(&mut self, server: WorkerId, since: Millis) -> Option<usize> {
        let pool = self.idle.get_mut(&server)?;
        let at = pool.iter().rposition(|&at| self.connections[at].idle_since <= since)?;
        Some(pool.remove(at))
    }

    fn flush(&mut self, at: usize, cx: &mut Context) {
        let connection = &mut self.connections[at];
        if connection.connecting {
            return;
        }
        let busy = dispatch_of(connection);
        let flow = push_out(connection, cx);
        self.after(at, busy, flow, cx);
    }

    /// Puts a connection where it belongs after a callback; `busy` is the dispatch it carried before.
    fn after(&mut self, at: usize, busy: Option<AttemptId>, flow: Flow, cx: &mut Context) {
        let connection = &self.connections[at];
        let ended = busy.filter(|_| connection.task.is_none());
        if let Some(id) = ended {
            self.out.remove(&id);
        }
        match flow {
            Flow::Keep => {}
            Flow::Again => cx.event_loop.call_again(Owner::Backend(at)),
            Flow::Close => return self.remove(at, cx),
        }
        let free = connection.task.is_none() && connection.head.is_none();
        let pool = self.idle.entry(connection.server).or_default();
        if free && !pool.contains(&at) {
            pool.push(at);
        }
    }

    fn remove(&mut self, at: usize, cx: &mut Context) {
        let mut connection = self.connections.remove(at);
        self.out.retain(|_, carrier| *carrier != at);
        if let Some(pool) = self.idle.get_mut(&connection.server) {
            pool.retain(|&other| other != at);
        }
        deregister(&mut connection.link, cx.event_loop);
    }
}

fn dispatch_of(connection: &ServerConnection) -> Option<AttemptId> {
    match &connection.task {
        Some(Task::Dispatch { id, .. }) => Some(*id),
        _ => None,
    }
}
