//! Discovery's connections: polls and watches of the endpoint list, and what it does when it is overloaded.

use super::connection::{Connection, WriteMark};
use super::context::Context;
use super::stand_in::StandIn;
use super::timers::Timer;
use crate::history::HistoryEvent;
use crate::scenario::{Node, Scenario};
use crate::stand_ins::discovery::{EndpointList, EndpointStatus, ListUpdate};
use crate::stand_ins::http;
use crate::{ConnectionId, Millis};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Watches get an empty line this often.
const KEEP_ALIVE_INTERVAL: Millis = 2_000.0;

/// Overloaded, discovery rejects a request that has waited for so long.
const MAX_QUEUE_TIME: Millis = 3_000.0;

/// A request that waits for overloaded discovery.
struct QueuedRequest {
    received_at: Millis,
    connection: ConnectionId,
    request: http::Request,
}

/// The endpoint list, and the watches of it.
pub struct DiscoveryStandIn {
    pub list: EndpointList,
    /// Connections are refused.
    pub is_down: bool,
    /// The revision that each watch has got last.
    watches: BTreeMap<ConnectionId, u64>,
    /// Watches that have fallen silent: what they would be sent is lost.
    silent: BTreeSet<ConnectionId>,
    /// Time between two requests that overloaded discovery answers, while it is.
    service_interval: Option<Millis>,
    queue: VecDeque<QueuedRequest>,
    /// Workers that accept nothing new by the list that is served.
    listed_closed: BTreeSet<usize>,
}

impl DiscoveryStandIn {
    /// A list of workers that have been ready for long.
    pub fn new(scenario: &Scenario) -> DiscoveryStandIn {
        let list = EndpointList::new(scenario.workers);
        DiscoveryStandIn {
            list,
            is_down: false,
            watches: BTreeMap::new(),
            silent: BTreeSet::new(),
            service_interval: None,
            queue: VecDeque::new(),
            listed_closed: BTreeSet::new(),
        }
    }

    /// A worker has changed. `started_at` is Unix time where it has just started.
    pub fn change(
        &mut self,
        context: &mut Context,
        worker: usize,
        status: EndpointStatus,
        started_at: Option<Millis>,
    ) {
        self.list.change(context.runtime.clock.now(), worker, status, started_at);
        if let Some(next) = self.list.next_change() {
            context.runtime.timers.schedule(next, Timer::EndpointChange);
        }
    }

    /// Announces the changes that are due.
    pub fn handle_timeout(&mut self, context: &mut Context) {
        if self.list.apply_due(context.runtime.clock.now()) {
            self.announce_list(context);
        }
    }

    /// Open watches get nothing more, and stay open.
    pub fn silence_watches(&mut self) {
        self.silent.extend(self.watches.keys());
    }

    /// Answers so many requests a second from now on; `None`: all of them at once.
    pub fn set_capacity(&mut self, context: &mut Context, requests_per_s: Option<f64>) {
        self.service_interval = requests_per_s.map(|rate| 1_000.0 / rate);
        context.runtime.schedule_after(self.service_interval.unwrap_or(0.0), Timer::DiscoveryRequest);
    }

    /// Answers the request that has waited for longest, or all of them where discovery is not overloaded any more.
    pub fn serve_next(&mut self, context: &mut Context) {
        let now = context.runtime.clock.now();
        while let Some(QueuedRequest { received_at, connection, request }) = self.queue.pop_front() {
            if context.network.get(connection).is_none() {
                continue;
            }
            if now > received_at + MAX_QUEUE_TIME {
                context.send(connection, http::UNAVAILABLE);
                continue;
            }
            self.respond(context, connection, &request);
            if self.service_interval.is_some() {
                break;
            }
        }
        if let Some(interval) = self.service_interval {
            context.runtime.schedule_after(interval, Timer::DiscoveryRequest);
        }
    }

    /// Records what the list that is served says now, and sends each watch what is new to it.
    pub fn announce_list(&mut self, context: &mut Context) {
        let at = context.runtime.clock.since_start();
        let closed: BTreeSet<usize> = self.list.closed_workers().collect();
        for &worker in closed.difference(&self.listed_closed) {
            context.runtime.record(HistoryEvent::DrainListed { at, worker });
        }
        self.listed_closed = closed;
        self.send_updates(context);
    }

    fn send_updates(&mut self, context: &mut Context) {
        let revision = self.list.revision();
        for (&id, known) in self.watches.iter_mut().filter(|(id, _)| !self.silent.contains(id)) {
            let Some(connection) = context.network.get(id).filter(|_| *known != revision) else { continue };
            let update = updates_since(&self.list, context, connection.scheduler, *known);
            *known = revision;
            let mark = WriteMark::ClosedWorkers(update.closed_workers);
            context.send_marked(id, http::json_chunk(&update.document), mark);
        }
    }

    /// Answers a poll, or a watch with what has changed since the revision that it names.
    fn respond(&mut self, context: &mut Context, id: ConnectionId, request: &http::Request) {
        let Some(scheduler) = context.network.get(id).map(|connection| connection.scheduler) else { return };
        let is_watch = request.query("follow") == Some("1");
        let known = request.query("since").and_then(|revision| revision.parse().ok()).unwrap_or(0);
        let update = updates_since(&self.list, context, scheduler, if is_watch { known } else { 0 });
        let response = if is_watch {
            self.watches.insert(id, self.list.revision());
            [http::CHUNKED_HEAD, &http::json_chunk(&update.document)].concat()
        } else {
            http::json_response(&update.document)
        };
        context.send_marked(id, response, WriteMark::ClosedWorkers(update.closed_workers));
    }

    /// Sends each watch an empty line, and schedules the next ones.
    pub fn send_keep_alives(&mut self, context: &mut Context) {
        for &id in self.watches.keys().filter(|id| !self.silent.contains(id)) {
            context.send(id, http::EMPTY_LINE_CHUNK);
        }
        context.runtime.schedule_after(KEEP_ALIVE_INTERVAL, Timer::WatchKeepAlive);
    }
}

/// What has changed since a revision, with the addresses that a scheduler knows.
fn updates_since(list: &EndpointList, context: &Context, scheduler: usize, revision: u64) -> ListUpdate {
    let address = |worker| {
        let address = context.network.listener_address(scheduler, Node::Worker(worker));
        address.map_or_else(String::new, |address| address.to_string())
    };
    let zone = |worker| context.scenario.zones[context.scenario.zone_of(worker)].clone();
    list.since(revision, address, zone)
}

impl StandIn for DiscoveryStandIn {
    fn handle_input(&mut self, context: &mut Context, id: ConnectionId) {
        let Some(connection) = context.network.get_mut(id) else { return };
        let Some(request) = http::take_request(&mut connection.input) else { return };
        if self.service_interval.is_some() {
            let received_at = context.runtime.clock.now();
            self.queue.push_back(QueuedRequest { received_at, connection: id, request });
        } else {
            self.respond(context, id, &request);
        }
    }

    fn handle_end(&mut self, _context: &mut Context, id: ConnectionId, _connection: Connection) {
        self.watches.remove(&id);
        self.silent.remove(&id);
    }
}
