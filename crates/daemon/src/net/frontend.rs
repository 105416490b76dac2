//! The clients' side: the platform's protocol read into jobs, and answers written back.

use super::Context;
use super::buffered_stream::BufferedStream;
use super::discovery::deregister;
use super::event_loop::{Alarm, Connection, Flow, Millis, Owner, drive};
use brackenledge_engine::{Answer, ClientId, JobRequest, Request};
use brackenledge_failover::Waiter;
use brackenledge_policy::settings::SettingsDocument;
use brackenledge_policy::{Effect, JobId, NewJob, Settings};
use brackenledge_protocol::http::{
    BODY_MOST, Body, HEAD_MOST, HEADERS_MOST, Malformed, has_bare_line_feed, has_word, header, single,
};
use mio::net::TcpListener;
use slab::Slab;
use slog::warn;
use std::io::ErrorKind;
use std::rc::Rc;

/// A client's first request must be complete this long after it connected, and later ones this long after
/// their first byte. Whoever says nothing at all until then is closed: connections are few.
const REQUEST_TIME: Millis = 2_000.0;
/// A request that is incomplete for this long gives way to a new connection where there is no other room.
const STALLED: Millis = 500.0;
/// What a client leaves unread for this long, it won't read.
const UNREAD_TIME: Millis = 5_000.0;
/// A connection that is being closed may still send for this long, so that it reads the last answer.
const LINGER: Millis = 1_000.0;
/// Answers that wait to be written, in bytes, beyond which no further request is read.
const OUTPUT_MOST: usize = 2 * BODY_MOST;
/// Input that is held at most behind a request that waits for its answer.
const AHEAD_MOST: usize = 8 * 1024;
/// The longest id that is passed on.
const ID_MOST: usize = 128;
/// Bytes that are read and dropped at most before a connection is closed under its sender.
const DISCARD_MOST: usize = 1024 * 1024;
/// After an accept failed for want of descriptors, the next one is tried this much later.
const ACCEPT_PAUSE: Millis = 20.0;
/// Clients turned away because too many jobs are held, or the program ends, are asked to stay away this long.
const HELD_RETRY: Millis = 500.0;

/// What the front knows of classes and tenants, to read requests by.
pub struct Rules {
    classes: Vec<String>,
    deadlines: Vec<Millis>,
    effects: Vec<Effect>,
    tenants: Vec<String>,
    most_held: usize,
    /// What clients are told that are turned away before the decision module sees their jobs.
    retry_after: Option<Millis>,
}

impl Rules {
    pub fn new(document: &SettingsDocument, settings: &Settings) -> Self {
        Rules {
            classes: document.class_names(),
            deadlines: settings.classes.iter().map(|class| class.deadline).collect(),
            effects: settings.classes.iter().map(|class| class.effect).collect(),
            tenants: document.tenant_names(),
            most_held: document.most_held().unwrap_or(usize::MAX),
            retry_after: settings.retry_after.then_some(HELD_RETRY.min(settings.max_retry_after)),
        }
    }

    /// The job that a request carries, or why it carries none: a status and a line for whoever sent it.
    fn read(
        &self,
        client: ClientId,
        method: &str,
        target: &str,
        headers: &[httparse::Header],
    ) -> Result<JobRequest, Reject> {
        if method != "POST" {
            return Err((405, "jobs arrive by POST"));
        }
        // What is passed on must read the same to whoever reads it next.
        if !target.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err((400, "the target is not plain text"));
        }
        let only = |name| single(headers, name).map_err(|_| (400, "a header is repeated or not plain text"));
        let mut parts = target.split('?').next().unwrap_or_default().split('/').skip(1);
        let first = parts.next().unwrap_or_default();
        let named = only("X-Qos")?.unwrap_or(first);
        let class = self.classes.iter().position(|class| class == named).ok_or((404, "unknown class"))?;
        if first != named {
            return Err((400, "the path names another class than X-Qos"));
        }
        let id = only("X-Trace-Id")?.filter(|id| !id.is_empty()).ok_or((400, "X-Trace-Id is missing"))?;
        if id.len() > ID_MOST || !id.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err((400, "X-Trace-Id is no id"));
        }
        let tenant = match only("X-Customer")? {
            _ if self.tenants.is_empty() => 0,
            None => return Err((400, "X-Customer is missing")),
            Some(name) => self.tenants.iter().position(|t| t == name).ok_or((403, "unknown tenant"))?,
        };
        let figure = |text: &str| text.parse::<f64>().ok().filter(|value| value.is_finite() && *value >= 0.0);
        let stated = |name, what: Reject| match only(name)? {
            None => Ok(None),
            Some(text) => figure(text).map(Some).ok_or(what),
        };
        let left = stated("X-Expires-In-Ms", (400, "X-Expires-In-Ms is no number"))?;
        let hint = stated("X-Size-Hint", (400, "X-Size-Hint is no number"))?;
        let idempotency_key = only("Idempotency-Key")?.filter(|key| !key.is_empty()).map(str::to_owned);
        if self.effects[class] == Effect::Keyed && idempotency_key.is_none() {
            return Err((400, "Idempotency-Key is missing"));
        }
        let (mut slots, mut memory) = (1.0, 0.0);
        let props = header(headers, "X-Props").unwrap_or_default().split(',');
        for (name, value) in props.filter_map(|prop| prop.split_once('=')) {
            let value = figure(value.trim()).ok_or((400, "X-Props holds what is no number"))?;
            match name.trim() {
                "slots" => slots = value,
                "memory" => memory = value,
                _ => {}
            }
        }
        let job = NewJob {
            id: 0,
            class,
            tenant,
            key: parts.last().filter(|key| !key.is_empty()).map(str::to_owned),
            // Nobody waits longer than the class's deadline, whatever figure is sent.
            time_left: left.unwrap_or(f64::INFINITY).min(self.deadlines[class]),
            effort: hint.map(|micros| micros / 1_000.0),
            slots,
            memory,
            is_retry: header(headers, "X-Second-Try") == Some("1"),
            ran: None,
        };
        Ok(JobRequest {
            client,
            job,
            request: Request {
                id: id.to_owned(),
                target: target.to_owned(),
                idempotency_key,
                content_type: only("Content-Type")?.map(str::to_owned),
                body: Vec::new(),
                effect: self.effects[class],
                reports_attempts: false,
            },
        })
    }
}

type Reject = (u16, &'static str);

/// What a head announced.
enum Awaited {
    Job(Box<JobRequest>),
    Up,
}

enum State {
    /// Between requests, or in a request's head.
    Head,
    /// In its body.
    Body(Awaited, Body),
    /// The engine has its job.
    Job(JobId),
    /// Its job is covered, and may live elsewhere.
    Covered(Waiter),
    /// Nothing more is read; what is left to write goes out.
    Closing,
}

/// A client's connection. It carries one request at a time.
struct ClientConnection {
    link: BufferedStream,
    id: ClientId,
    rules: Rc<Rules>,
    state: State,
    /// When its last answer was written, or it was accepted.
    since: Millis,
    /// When the request that is coming in began.
    begun: Option<Millis>,
    /// When bytes were last received.
    last_input_at: Millis,
    /// When the first bytes of the request that is being received, or that waits for the answer to the one before it, were
    /// received. The time that a request states runs from then.
    receiving_since: Option<Millis>,
    /// Bytes read and dropped since its last answer.
    discarded: usize,
    /// It has said so much behind a request that none of it is read as the next one.
    flooded: bool,
    /// Its sending has been shut down.
    shut: bool,
    keep_alive: bool,
    /// It has sent a whole request before.
    known: bool,
    /// One of those was a job.
    worked: bool,
}

impl ClientConnection {
    fn answer(&mut self, status: u16, extra: &str, body: &[u8], cx: &Context) {
        let reason = match status {
            200 => "OK",
            400 => "Bad Request",
            403 => "Forbidden",
            404 => "Not Found",
            405 => "Method Not Allowed",
            408 => "Request Timeout",
            409 => "Conflict",
            413 => "Content Too Large",
            431 => "Request Header Fields Too Large",
            502 => "Bad Gateway",
            _ => "Service Unavailable",
        };
        self.keep_alive &= !cx.closing() && cx.drain.keeps_connections();
        let connection = if self.keep_alive { "" } else { "Connection: close\r\n" };
        let head = format!(
            "HTTP/1.1 {status} {reason}\r\nContent-Length: {}\r\n{connection}{extra}\r\n",
            body.len()
        );
        self.link.buffer.push(head.as_bytes());
        self.link.buffer.push(body);
        self.state = if self.keep_alive { State::Head } else { State::Closing };
        self.since = cx.now;
        self.begun = None;
        self.discarded = 0;
    }

    /// Refuses what can't be read or served, and reads nothing more: where the next request begins is anyone's
    /// guess, and a request hidden behind a bad one must not pass.
    fn reject(&mut self, (status, text): Reject, cx: &Context) {
        self.keep_alive = false;
        self.answer(status, "Content-Type: text/plain\r\n", format!("{text}\n").as_bytes(), cx);
    }

    /// Reads requests as far as they have come. It stops at a job: the next request waits for its answer.
    fn read(&mut self, cx: &mut Context) {
        loop {
            match &mut self.state {
                State::Head => {
                    if !self.read_head(cx) {
                        return;
                    }
                }
                State::Body(_, body) => {
                    match body.advance(&mut self.link.buffer) {
                        Ok(false) => return,
                        Ok(true) => self.take_request(cx),
                        Err(Malformed::TooLarge) => self.reject((413, "the body is larger than 64 KiB"), cx),
                        Err(Malformed::Framing) => self.reject((400, "the body's framing is broken"), cx),
                    };
                }
                State::Job(_) | State::Covered(_) => {
                    if !self.link.buffer.input().is_empty() {
                        self.receiving_since.get_or_insert(self.last_input_at);
                    }
                    // What a client says early waits for its turn. Where it says too much, nothing of it is read as a
                    // request any more: reading must go on, or its leave, which comes behind, would not be seen.
                    if self.flooded || self.link.buffer.input().len() >= AHEAD_MOST {
                        self.flooded = true;
                        self.keep_alive = false;
                        self.discard();
                    }
                    return;
                }
                State::Closing => {
                    self.discard();
                    return;
                }
            }
        }
    }

    /// Drops what has come.
    fn discard(&mut self) {
        let rest = self.link.buffer.input().len();
        self.link.buffer.consume(rest);
        self.discarded += rest;
    }

    /// Its job, if one is open, is owed nothing any more.
    fn leave(&self, cx: &mut Context) {
        match (&self.state, &mut *cx.job_failover) {
            (State::Job(job), _) => cx.engine.abandon_job(*job),
            (State::Covered(waiter), Some(job_failover)) => job_failover.client_disconnected(*waiter),
            _ => {}
        }
    }

    /// Reads a head; tells whether there is more to do.
    fn read_head(&mut self, cx: &mut Context) -> bool {
        let input = self.link.buffer.input();
        // A client that sends on without reading its answers must not fill the memory with them.
        if input.is_empty() || self.link.buffer.output().len() > OUTPUT_MOST {
            return false;
        }
        // One byte now and then must not keep an unfinished request for ever: its time runs from the first.
        self.begun.get_or_insert(cx.now);
        self.receiving_since.get_or_insert(self.last_input_at);
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
        let mut request = httparse::Request::new(&mut headers);
        let used = match request.parse(input) {
            Ok(httparse::Status::Complete(used)) if has_bare_line_feed(&input[..used]) => {
                self.reject((400, "a line ends without a carriage return"), cx);
                return true;
            }
            Ok(httparse::Status::Complete(used)) if used <= HEAD_MOST => used,
            Ok(httparse::Status::Partial) if input.len() <= HEAD_MOST => return false,
            Ok(_) | Err(httparse::Error::TooManyHeaders) => {
                self.reject((431, "the head is too large"), cx);
                return true;
            }
            Err(_) => {
                self.reject((400, "not an HTTP request"), cx);
                return true;
            }
        };
        let (method, target) = (request.method.unwrap_or_default(), request.path.unwrap_or_default());
        let headers = &*request.headers;
        let connection = header(headers, "Connection");
        self.keep_alive = match request.version {
            Some(1) => !has_word(connection, "close"),
            _ => has_word(connection, "keep-alive"),
        };
        let body = Body::announced(headers, false, BODY_MOST);
        let path = target.split('?').next().unwrap_or_default();
        let awaited = match path {
            "/up" if method == "GET" => Awaited::Up,
            _ => match self.rules.read(self.id, method, target, headers) {
                Ok(arrival) => Awaited::Job(Box::new(arrival)),
                Err(reject) => {
                    self.reject(reject, cx);
                    return true;
                }
            },
        };
        let waits = has_word(header(headers, "Expect"), "100-continue");
        self.link.buffer.consume(used);
        match body {
            Ok(body) => {
                if waits && self.link.buffer.input().is_empty() {
                    self.link.buffer.push(b"HTTP/1.1 100 Continue\r\n\r\n");
                }
                self.state = State::Body(awaited, body);
            }
            Err(Malformed::TooLarge) => self.reject((413, "the body is larger than 64 KiB"), cx),
            Err(Malformed::Framing) => self.reject((400, "the body's framing is broken"), cx),
        }
        true
    }

    /// A request is complete.
    fn take_request(&mut self, cx: &mut Context) {
        let State::Body(awaited, mut body) = std::mem::replace(&mut self.state, State::Head) else { return };
        let body = body.take_all(&mut self.link.buffer);
        self.link.buffer.compact();
        self.begun = None;
        let elapsed = self.receiving_since.take().map_or(0.0, |since| cx.now - since);
        self.known = true;
        self.worked |= matches!(awaited, Awaited::Job(_));
        match awaited {
            Awaited::Up if cx.shutdown.is_some() => self.answer(503, "", b"stopping\n", cx),
            Awaited::Up if !cx.drain.is_ready() => self.answer(503, "", b"draining\n", cx),
            Awaited::Up if !cx.endpoints.can_serve() => self.answer(503, "", b"no server table yet\n", cx),
            Awaited::Up => self.answer(200, "", b"up\n", cx),
            Awaited::Job(arrival)
                if cx.held() >= self.rules.most_held
                    || !cx.drain.admits_jobs(cx.now)
                    || cx.time_left() == 0.0 =>
            {
                cx.engine.rejected_at_admission(arrival.job.class);
                self.give(Answer::Rejected { retry_after: self.rules.retry_after }, cx);
            }
            Awaited::Job(mut arrival) => {
                arrival.request.body = body;
                arrival.job.time_left = (arrival.job.time_left - elapsed).max(0.0).min(cx.time_left());
                if let Some(job_failover) =
                    cx.job_failover.as_mut().filter(|job_failover| job_failover.handles(&arrival))
                {
                    self.state = State::Covered(job_failover.submit(*arrival));
                    return;
                }
                match cx.engine.submit_job(cx.now, *arrival) {
                    Some(job) => self.state = State::Job(job),
                    None => self.reject((409, "a job with this X-Trace-Id is open"), cx),
                }
            }
        }
    }

    /// Writes a job's answer.
    fn give(&mut self, answer: Answer, cx: &Context) {
        match answer {
            Answer::Served(result) => self.answer(200, "", result.as_bytes(), cx),
            Answer::Rejected { retry_after: Some(wait) } => {
                self.answer(503, &format!("Retry-After: {:.3}\r\n", wait / 1_000.0), b"", cx);
            }
            Answer::Rejected { retry_after: None } => self.answer(503, "", b"", cx),
            Answer::Failed => self.answer(502, "", b"", cx),
        }
    }
}

/// What a connection could be closed for that others may come in, the least missed first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Spare {
    /// It has had its last answer.
    Closing,
    /// It has never said a thing. Some open hundreds of these.
    Silent,
    /// Its first request stands still.
    Stalled,
    /// It is between requests, and none so far was a job.
    Onlooker,
    /// It is between requests: its next one comes on a new connection then.
    Idle,
    /// It has come just now, and its request is most likely on the way.
    Fresh,
}

impl ClientConnection {
    /// Whether it could be closed now, and since when.
    fn spare(&self, now: Millis) -> Option<(Spare, Millis)> {
        let quiet = self.link.buffer.output().is_empty();
        let what = match self.state {
            State::Closing if quiet => Spare::Closing,
            State::Head if is_idle(self) && !self.known && now < self.since + STALLED => Spare::Fresh,
            State::Head if is_idle(self) && !self.known => Spare::Silent,
            State::Head if is_idle(self) && !self.worked => Spare::Onlooker,
            State::Head if is_idle(self) => Spare::Idle,
            State::Head | State::Body(..) if !self.known && now >= self.since + STALLED => Spare::Stalled,
            _ => return None,
        };
        Some((what, self.since))
    }
}

impl Connection<Context<'_>> for ClientConnection {
    fn stream(&mut self) -> &mut BufferedStream {
        &mut self.link
    }

    fn on_written(&mut self, cx: &mut Context) -> Flow {
        if matches!(self.state, State::Closing) && self.link.buffer.output().is_empty() && !self.shut {
            // Each shutdown, be it the second of the same direction, makes the poll tell of the socket anew.
            self.shut = true;
            // Closing with input unread would reset the connection, maybe before the answer was read.
            let _ = self.link.socket.shutdown(std::net::Shutdown::Write);
        }
        // Room was made for the answers to requests that came already.
        self.read(cx);
        Flow::Keep
    }

    fn on_input(&mut self, cx: &mut Context) -> Flow {
        self.last_input_at = cx.now;
        self.read(cx);
        // What is dropped is read so that the client sees its last answer, and we its leave, but not for ever. As long
        // as its job is open it is owed that answer, however much it says.
        let over = matches!(self.state, State::Closing) && self.discarded > DISCARD_MOST;
        if over { Flow::Close } else { Flow::Keep }
    }

    // Whoever ends its sending has gone: a close and a half-close look the same from here, and a job whose client
    // has gone must not be sent on. What that means for its job is told where it is removed, as for any other end.
    fn on_end(&mut self, _: &mut Context) {}

    fn max_input(&self) -> usize {
        match self.state {
            State::Head => HEAD_MOST + AHEAD_MOST,
            State::Body(..) | State::Closing => BODY_MOST + HEAD_MOST,
            State::Job(_) | State::Covered(_) => AHEAD_MOST,
        }
    }
}

/// The listener and all clients' connections.
pub struct Frontend {
    listener: TcpListener,
    rules: Rc<Rules>,
    clients: Slab<ClientConnection>,
    most: usize,
    accept_waits: bool,
    /// The last accept failed, which the log has been told.
    accept_fails: bool,
}

impl Frontend {
    /// `most`: connections held at most.
    pub fn new(listener: TcpListener, rules: Rules, most: usize) -> Self {
        Frontend {
            listener,
            rules: Rc::new(rules),
            clients: Slab::new(),
            most,
            accept_waits: false,
            accept_fails: false,
        }
    }

    /// What clients are told that are turned away for no reason of the decision module's.
    pub fn retry_after(&self) -> Option<Millis> {
        self.rules.retry_after
    }

    /// Takes the connections that wait.
    pub fn accept(&mut self, cx: &mut Context) {
        self.accept_waits = false;
        loop {
            if self.clients.len() >= self.most && !self.make_room(cx) {
                self.accept_later(cx);
                return;
            }
            match self.listener.accept() {
                Ok((stream, _)) => {
                    self.accept_fails = false;
                    self.take(BufferedStream::new(stream), cx);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // The connection was given up before it was taken.
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                Err(e) => {
                    // Out of descriptors, mostly. The poll won't tell of the ones that wait again, and trying
                    // at once would spin.
                    if !std::mem::replace(&mut self.accept_fails, true) {
                        warn!(cx.log, "accept_failed"; "error" => %e);
                    }
                    self.make_room(cx);
                    self.accept_later(cx);
                    return;
                }
            }
        }
    }

    fn accept_later(&mut self, cx: &mut Context) {
        if !std::mem::replace(&mut self.accept_waits, true) {
            cx.event_loop.set_alarm(cx.now + ACCEPT_PAUSE, Alarm::Accept);
        }
    }

    fn take(&mut self, link: BufferedStream, cx: &mut Context) {
        let entry = self.clients.vacant_entry();
        let id = entry.key();
        let client = entry.insert(ClientConnection {
            link,
            id,
            rules: Rc::clone(&self.rules),
            state: State::Head,
            since: cx.now,
            begun: None,
            last_input_at: cx.now,
            receiving_since: None,
            discarded: 0,
            flooded: false,
            shut: false,
            keep_alive: true,
            known: false,
            worked: false,
        });
        if cx.event_loop.watch(&mut client.link.socket, Owner::Frontend(id)).is_err() {
            self.clients.remove(id);
        }
    }

    /// Closes the client that is missed least; tells whether there was one.
    fn make_room(&mut self, cx: &mut Context) -> bool {
        let spare = self.clients.iter().filter_map(|(at, client)| Some((at, client.spare(cx.now)?)));
        let least = spare.min_by(|(_, a), (_, b)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        match least {
            Some((at, (Spare::Closing | Spare::Stalled, _))) => {
                self.remove(at, cx);
                true
            }
            Some((at, _)) => self.close_idle(at, cx),
            None => false,
        }
    }

    /// Closes an idle client, unless a request of it has come meanwhile.
    fn close_idle(&mut self, at: usize, cx: &mut Context) -> bool {
        self.on_ready(at, cx);
        let idle = self.clients.get(at).is_some_and(is_idle);
        if idle {
            self.remove(at, cx);
        }
        idle
    }

    /// The poll has something for a client.
    pub fn on_ready(&mut self, at: usize, cx: &mut Context) {
        let Some(client) = self.clients.get_mut(at) else { return };
        match drive(client, cx) {
            Flow::Keep => {}
            Flow::Again => cx.event_loop.call_again(Owner::Frontend(at)),
            Flow::Close => self.remove(at, cx),
        }
    }

    /// A job's answer. Its client may have gone, and another may have its place.
    pub fn answer(&mut self, at: ClientId, job: JobId, answer: Answer, cx: &mut Context) {
        let Some(client) = self.clients.get_mut(at) else { return };
        if !matches!(client.state, State::Job(held) if held == job) {
            return;
        }
        self.give(at, answer, cx);
    }

    /// The answer to a client whose job is covered.
    pub fn answer_covered(&mut self, at: ClientId, waiter: Waiter, answer: Answer, cx: &mut Context) {
        let Some(client) = self.clients.get(at) else { return };
        if matches!(client.state, State::Covered(held) if held == waiter) {
            self.give(at, answer, cx);
        }
    }

    fn give(&mut self, at: ClientId, answer: Answer, cx: &mut Context) {
        let client = &mut self.clients[at];
        client.give(answer, cx);
        // A next request may have come already, of which the poll won't tell again.
        client.read(cx);
        self.on_ready(at, cx);
    }

    /// Ends what has taken too long: requests that don't come to an end, and connections being closed.
    pub fn sweep(&mut self, cx: &mut Context) {
        let now = cx.now;
        let late = |client: &ClientConnection| match client.state {
            State::Job(_) | State::Covered(_) => false,
            State::Closing => now >= client.since + LINGER && client.link.buffer.output().is_empty(),
            _ if client.known => client.begun.is_some_and(|begun| now >= begun + REQUEST_TIME),
            _ => now >= client.since + REQUEST_TIME,
        };
        let unread = |client: &ClientConnection| {
            !client.link.buffer.output().is_empty() && now >= client.since + UNREAD_TIME
        };
        let late = |client: &ClientConnection| late(client) || unread(client);
        let late: Vec<usize> =
            self.clients.iter().filter(|(_, client)| late(client)).map(|(at, _)| at).collect();
        for at in late {
            let client = &mut self.clients[at];
            // Whoever has said nothing is owed nothing, nor is one that does not read.
            if client.begun.is_none() || unread(client) {
                self.remove(at, cx);
            } else {
                client.reject((408, "the request did not come to its end"), cx);
                self.on_ready(at, cx);
            }
        }
    }

    /// Closes every client between requests.
    pub fn close_all_idle(&mut self, cx: &mut Context) {
        let idle: Vec<usize> = self.clients.iter().filter(|(_, c)| is_idle(c)).map(|(at, _)| at).collect();
        for at in idle {
            self.close_idle(at, cx);
        }
    }

    /// Whether a client still has something to get or to say. One that has had its last answer and not ended its side
    /// yet may have more on the way: with that unread the process's end would reset the connection, maybe before the
    /// answer was read. It has [`LINGER`] for that.
    pub fn busy(&self) -> bool {
        self.clients.iter().any(|(_, client)| !is_idle(client))
    }

    /// The one way by which a client's connection ends here: what it was owed ends with it.
    fn remove(&mut self, at: usize, cx: &mut Context) {
        let mut client = self.clients.remove(at);
        client.leave(cx);
        deregister(&mut client.link, cx.event_loop);
    }
}

fn is_idle(client: &ClientConnection) -> bool {
    let buffer = &client.link.buffer;
    matches!(client.state, State::Head) && buffer.input().is_empty() && buffer.output().is_empty()
}
