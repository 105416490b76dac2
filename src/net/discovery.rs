//! Discovery: the server table, and the calls that fill it.

use super::Context;
use super::config::{Endpoint, ServerList};
use super::event_loop::{Alarm, Connection, EventLoop, Flow, Millis, Owner, drive};
use super::http::{AnswerHead, Link, take_answer_head};
use brackenledge::{ListKind, Readiness, WorkerEntry, WorkerId};
use mio::net::TcpStream;
use slab::Slab;
use slog::warn;
use std::collections::HashMap;
use std::net::SocketAddr;

/// A list, or one line of a watch, is no longer than this.
const LIST_MOST: usize = 1024 * 1024;
/// A call waits no longer than 3 s at discovery, and a watch sends at least an empty line every 2 s: after this
/// long without a byte the other machine is gone, which TCP alone would never tell.
const CALL_SILENCE: Millis = 4_500.0;
const WATCH_SILENCE: Millis = 2_500.0;
/// A watch asked for that has no answer by then may be waiting its turn, or its connection may be dead, and with it
/// all that is told meanwhile would be missed: a second one is asked for beside it, and the first to answer stays.
const CALL_DOUBT: Millis = 1_200.0;
/// A connection that is not up by then won't be soon: its machine is cut off, and TCP alone would try again after 1,
/// 3 and 7 s only. Meanwhile it counts as not asked.
const COME_UP: Millis = 400.0;
/// Wait before a watch that broke is opened again: discovery counts what it has written to the broken one as told,
/// so the first wait is short; each failure in a row doubles it, or an outage would end in a storm of calls.
const WATCH_AGAIN: Millis = 60.0;
const WATCH_AGAIN_MOST: Millis = 2_000.0;
/// The same just after discovery has moved: what it has to tell must be known soon, and a call that fails
/// now is no word of an outage.
const MOVED_AGAIN: Millis = 250.0;
const MOVED_LIFE: Millis = 4_000.0;

/// A backend server as the table has it.
struct Server {
    address: Option<SocketAddr>,
    readiness: Readiness,
}

/// The server table: discovery's list, with servers numbered by first mention.
pub struct ServerTable {
    servers: Vec<Server>,
    ids: HashMap<String, WorkerId>,
    zones: Vec<String>,
    kinds: Vec<String>,
    version: Option<u64>,
    told: bool,
}

impl ServerTable {
    pub fn new(zones: Vec<String>, kinds: Vec<String>) -> Self {
        ServerTable { servers: Vec::new(), ids: HashMap::new(), zones, kinds, version: None, told: false }
    }

    /// Whether jobs can be served: discovery has spoken, or the list from before the start names a server
    /// that takes work. An empty one says nothing, and a front that sent jobs on it would see them denied.
    pub fn serves(&self) -> bool {
        self.told || self.servers.iter().any(|server| server.readiness == Readiness::Ready)
    }

    /// Where a server listens.
    pub fn address(&self, id: WorkerId) -> Option<SocketAddr> {
        self.servers.get(id)?.address
    }

    /// Whether a server takes new work, as far as told.
    pub fn ready(&self, id: WorkerId) -> bool {
        self.servers.get(id).is_some_and(|server| server.readiness == Readiness::Ready)
    }

    /// Takes a list in; gives what the module is to hear of it.
    pub fn learn(&mut self, list: ServerList) -> Vec<WorkerEntry> {
        if list.snapshot {
            self.servers.iter_mut().for_each(|server| server.readiness = Readiness::Gone);
        }
        self.version = Some(list.index);
        list.endpoints.into_iter().map(|endpoint| self.learn_one(endpoint)).collect()
    }

    fn learn_one(&mut self, endpoint: Endpoint) -> WorkerEntry {
        let id = self.ids.get(&endpoint.name).copied().unwrap_or(self.servers.len());
        if id == self.servers.len() {
            self.ids.insert(endpoint.name.clone(), id);
            self.servers.push(Server { address: None, readiness: Readiness::Gone });
        }
        // A state that the protocol does not name is no leave to send.
        let readiness = match endpoint.status.as_deref() {
            None | Some("ready") => Readiness::Ready,
            Some("gone") => Readiness::Gone,
            Some(_) => Readiness::Draining,
        };
        let server = &mut self.servers[id];
        server.readiness = readiness;
        if let Ok(address) = endpoint.address.parse() {
            server.address = Some(address);
        }
        let place = |names: &[String], name: Option<&String>| {
            let at = name.and_then(|name| names.iter().position(|known| known == name));
            at.map_or(u32::MAX, |at| at as u32)
        };
        WorkerEntry {
            id,
            zone: place(&self.zones, endpoint.zone.as_ref()),
            kind: place(&self.kinds, endpoint.kind.as_ref()),
            cell: endpoint.group.unwrap_or(0),
            readiness,
            weight: endpoint.weight.unwrap_or(1.0),
            launched: endpoint.since_ms.filter(|&since| since > 0.0),
            name: endpoint.name,
        }
    }
}

/// One call: a watch, or the whole list once.
struct Call {
    link: Link,
    watch: bool,
    serial: u64,
    connecting: bool,
    head: Option<AnswerHead>,
    heard_at: Millis,
    /// A watch that broke, or a call that ended without its answer, has failed; one that is done has not.
    done: bool,
    again: Again,
    /// It has waited long enough to be doubted.
    doubted: bool,
}

/// What opens a watch again that failed.
#[derive(Clone, Copy)]
enum Again {
    /// The module, once it wants to.
    Module,
    /// Its own alarm: changes arrive without the module's asking, and it is told nothing.
    Pushed,
    /// The same until then, for discovery has just moved.
    Moved(Millis),
}

impl Call {
    fn take_list(&mut self, bytes: &[u8], cx: &mut Context) -> Flow {
        let list = std::str::from_utf8(bytes).ok();
        let Some(list) = list.and_then(|text| miniserde::json::from_str::<ServerList>(text).ok()) else {
            // What makes no sense ends the call; the list held stays.
            return Flow::Close;
        };
        let kind = if list.snapshot { ListKind::Full } else { ListKind::Delta };
        let entries = cx.table.learn(list);
        cx.table.told = true;
        cx.core.servers(kind, entries);
        Flow::Keep
    }
}

impl Connection<Context<'_>> for Call {
    fn link(&mut self) -> &mut Link {
        &mut self.link
    }

    fn connecting(&self) -> bool {
        self.connecting
    }

    fn on_open(&mut self, _: &mut Context) -> Flow {
        self.connecting = false;
        Flow::Keep
    }

    fn on_input(&mut self, cx: &mut Context) -> Flow {
        self.heard_at = cx.now;
        if self.head.is_none() {
            match take_answer_head(&mut self.link.buffer, LIST_MOST) {
                Ok(Some(head)) if head.status == 200 => self.head = Some(head),
                Ok(None) => return Flow::Keep,
                _ => return Flow::Close,
            }
        }
        let Some(head) = &mut self.head else { return Flow::Keep };
        let Ok(ended) = head.body.advance(&mut self.link.buffer) else { return Flow::Close };
        if ended && !self.watch {
            let all = head.body.take_all(&mut self.link.buffer);
            self.done = self.take_list(&all, cx) == Flow::Keep;
            return Flow::Close;
        }
        while self.watch
            && let Some(line) = self.head.as_mut().and_then(|h| h.body.take_line(&mut self.link.buffer))
        {
            if !line.is_empty() && self.take_list(&line, cx) == Flow::Close {
                return Flow::Close;
            }
        }
        if ended { Flow::Close } else { Flow::Keep }
    }

    fn on_end(&mut self, cx: &mut Context) {
        // A list that lasts until the connection ends is whole now.
        if let Some(head) = self.head.as_mut().filter(|head| !self.watch && head.body.until_end()) {
            let all = head.body.take_all(&mut self.link.buffer);
            self.head = None;
            if !all.is_empty() && self.take_list(&all, cx) == Flow::Keep {
                self.done = true;
            }
        }
    }

    fn input_most(&self) -> usize {
        LIST_MOST + super::http::HEAD_MOST
    }
}

/// The client of the discovery service.
pub struct Discovery {
    address: SocketAddr,
    calls: Slab<Call>,
    again: Again,
    /// Calls that failed since the last one that answered.
    failures: u32,
}

impl Discovery {
    pub fn new(address: SocketAddr, pushed: bool) -> Self {
        let again = if pushed { Again::Pushed } else { Again::Module };
        Discovery { address, calls: Slab::new(), again, failures: 0 }
    }

    /// Discovery has a new address. The old one is about to end its calls, which would be no outage: the watch
    /// goes on at the new one at once, from the version that the table holds.
    pub fn move_to(&mut self, address: SocketAddr, cx: &mut Context) {
        self.address = address;
        if !matches!(self.again, Again::Pushed) {
            self.again = Again::Moved(cx.now + MOVED_LIFE);
        }
        self.watch(true, cx);
    }

    /// An alarm asks for a watch, unless one has been opened meanwhile.
    pub fn watch_again(&mut self, cx: &mut Context) {
        if !self.calls.iter().any(|(_, call)| call.watch) {
            self.watch(true, cx);
        }
    }

    /// Subscribes to changes since the version held, or ends the subscription.
    pub fn watch(&mut self, on: bool, cx: &mut Context) {
        self.only_watch(None, cx);
        if on {
            self.open_watch(cx);
        }
    }

    fn open_watch(&mut self, cx: &mut Context) {
        let since = cx.table.version.unwrap_or(0);
        self.call(true, &format!("/discovery/hosts?follow=1&since={since}"), cx);
    }

    /// Only one subscription is held: what it tells, it tells for all the others too.
    fn only_watch(&mut self, stays: Option<usize>, cx: &mut Context) {
        let others = self.calls.iter().filter(|&(at, call)| call.watch && Some(at) != stays);
        let others: Vec<usize> = others.map(|(at, _)| at).collect();
        others.into_iter().for_each(|at| self.remove(at, cx));
    }

    /// Asks for the whole list once.
    pub fn fetch(&mut self, cx: &mut Context) {
        self.call(false, "/discovery/hosts", cx);
    }

    fn call(&mut self, watch: bool, target: &str, cx: &mut Context) {
        let Ok(stream) = TcpStream::connect(self.address) else {
            self.fail(watch, self.again, cx);
            return;
        };
        let serial = cx.event_loop.next_serial();
        let mut link = Link::new(stream);
        let request =
            format!("GET {target} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n", self.address);
        link.buffer.push(request.as_bytes());
        let again = self.again;
        let call = Call {
            link,
            watch,
            serial,
            connecting: true,
            head: None,
            heard_at: cx.now,
            done: false,
            again,
            doubted: false,
        };
        let at = self.calls.insert(call);
        if cx.event_loop.watch(&mut self.calls[at].link.stream, Owner::Discovery(at)).is_err() {
            self.calls.remove(at);
            self.fail(watch, self.again, cx);
            return;
        }
        cx.event_loop.set_alarm(cx.now + COME_UP, Alarm::Discovery(serial));
    }

    /// The poll has something for a call.
    pub fn on_ready(&mut self, at: usize, cx: &mut Context) {
        let Some(call) = self.calls.get_mut(at) else { return };
        if drive(call, cx) == Flow::Close {
            self.end(at, cx);
        } else if call.watch && call.head.is_some() {
            self.failures = 0;
            self.only_watch(Some(at), cx);
        }
    }

    /// A call's silence alarm has come due: it is dead if nothing came, else the alarm moves on.
    pub fn on_alarm(&mut self, serial: u64, cx: &mut Context) {
        let Some((at, call)) = self.calls.iter_mut().find(|(_, call)| call.serial == serial) else { return };
        let answered = call.watch && call.head.is_some();
        let limit = match call {
            Call { connecting: true, .. } => COME_UP,
            _ if answered => WATCH_SILENCE,
            _ => CALL_SILENCE,
        };
        let (doubt, until) = (call.heard_at + CALL_DOUBT, call.heard_at + limit);
        if cx.now < until {
            if cx.now < doubt && !call.doubted {
                cx.event_loop.set_alarm(doubt.min(until), Alarm::Discovery(serial));
                return;
            }
            cx.event_loop.set_alarm(until, Alarm::Discovery(serial));
            let doubts = call.watch && !answered && !std::mem::replace(&mut call.doubted, true);
            // No more than two at a time, or schedulers in doubt would fill discovery's queue.
            if doubts && self.calls.iter().filter(|(_, call)| call.watch).count() == 1 {
                self.open_watch(cx);
            }
            return;
        }
        call.on_end(cx);
        self.end(at, cx);
    }

    /// A call has ended, and failed unless it is done. While another watch is still out, that one may answer yet.
    fn end(&mut self, at: usize, cx: &mut Context) {
        let Call { watch, done, again, .. } = self.calls[at];
        self.remove(at, cx);
        let another = watch && self.calls.iter().any(|(_, call)| call.watch);
        if !done && !another {
            self.fail(watch, again, cx);
        }
    }

    fn fail(&mut self, watch: bool, again: Again, cx: &mut Context) {
        warn!(cx.log, "a discovery call failed, or its watch ended");
        let wait = (WATCH_AGAIN * f64::from(1 << self.failures.min(6))).min(WATCH_AGAIN_MOST);
        self.failures += 1;
        match again {
            Again::Moved(until) if cx.now < until => {
                cx.event_loop.set_alarm(cx.now + MOVED_AGAIN, Alarm::Watch);
            }
            _ if watch => cx.event_loop.set_alarm(cx.now + wait, Alarm::Watch),
            _ => cx.core.servers(ListKind::Failed, Vec::new()),
        }
    }

    fn remove(&mut self, at: usize, cx: &mut Context) {
        let mut call = self.calls.remove(at);
        deregister(&mut call.link, cx.event_loop);
    }
}

/// Takes a socket off the poll before it is closed.
pub fn deregister(link: &mut Link, event_loop: &EventLoop) {
    // A socket that the poll does not know any more is closed all the same.
    let _ = event_loop.registry().deregister(&mut link.stream);
}
