//! Plays discovery: answers polls and watches of the endpoint list, and queues requests while it is
//! overloaded.

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

/// Interval between the empty lines sent on each watch as a keep-alive.
const KEEP_ALIVE_INTERVAL: Millis = 2_000.0;

/// While overloaded, discovery rejects a request that has been queued for longer than this.
const MAX_QUEUE_TIME: Millis = 3_000.0;

/// A request queued while discovery is overloaded.
struct QueuedRequest {
    received_at: Millis,
    connection: ConnectionId,
    request: http::Request,
}

/// The endpoint list and the connections that watch it.
pub struct DiscoveryStandIn {
    pub list: EndpointList,
    /// During an outage, new connections are refused.
    pub is_down: bool,
    /// The revision last sent on each watch.
    watches: BTreeMap<ConnectionId, u64>,
    /// Watches that a fault has silenced: they stay open, but nothing more is sent on them.
    silenced: BTreeSet<ConnectionId>,
    /// Time between two responses while discovery is overloaded; `None` when it is not.
    service_interval: Option<Millis>,
    queue: VecDeque<QueuedRequest>,
    /// Workers whose status is not ready in the list last announced: they accept no new work.
    listed_not_ready: BTreeSet<usize>,
}

impl DiscoveryStandIn {
    /// Creates a discovery whose list has all workers of the scenario as ready.
    pub fn new(scenario: &Scenario) -> DiscoveryStandIn {
        let list = EndpointList::new(scenario.workers);
        DiscoveryStandIn {
            list,
            is_down: false,
            watches: BTreeMap::new(),
            silenced: BTreeSet::new(),
            service_interval: None,
            queue: VecDeque::new(),
            listed_not_ready: BTreeSet::new(),
        }
    }

    /// Changes the status of a worker, to be announced after the list's delay. `started_at` is Unix time in
    /// milliseconds if the worker has just started, and `None` otherwise.
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

    /// Applies the changes that are due, and announces the new list.
    pub fn apply_due_changes(&mut self, context: &mut Context) {
        if self.list.apply_due(context.runtime.clock.now()) {
            self.announce_list(context);
        }
    }

    /// Sends nothing more on the watches that are open now, and keeps them open.
    pub fn silence_watches(&mut self) {
        self.silenced.extend(self.watches.keys());
    }

    /// Limits the requests answered per second from now on; `None` removes the limit.
    pub fn set_capacity(&mut self, context: &mut Context, requests_per_s: Option<f64>) {
        self.service_interval = requests_per_s.map(|rate| 1_000.0 / rate);
        context.runtime.schedule_after(self.service_interval.unwrap_or(0.0), Timer::DiscoveryResponse);
    }

    /// Answers the oldest queued request, or all of them if discovery is no longer overloaded. Requests that
    /// have been queued for too long are rejected.
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
            context.runtime.schedule_after(interval, Timer::DiscoveryResponse);
        }
    }

    /// Records the workers that, according to the list, have stopped accepting new work, and sends the list's
    /// changes on each watch.
    pub fn announce_list(&mut self, context: &mut Context) {
        let at = context.runtime.clock.since_traffic_start();
        let not_ready: BTreeSet<usize> = self.list.not_ready_workers().collect();
        for &worker in not_ready.difference(&self.listed_not_ready) {
            context.runtime.record(HistoryEvent::DrainListed { at, worker });
        }
        self.listed_not_ready = not_ready;
        self.send_updates(context);
    }

    fn send_updates(&mut self, context: &mut Context) {
        let revision = self.list.revision();
        for (&id, known_revision) in self.watches.iter_mut().filter(|(id, _)| !self.silenced.contains(id)) {
            let Some(connection) = context.network.get(id).filter(|_| *known_revision != revision) else {
                continue;
            };
            let update = updates_since(&self.list, context, connection.scheduler, *known_revision);
            *known_revision = revision;
            // The history gets an entry for each of these workers once the scheduler's socket has the update.
            let mark = WriteMark::NotReadyWorkers(update.not_ready_workers);
            context.send_marked(id, http::json_chunk(&update.document), mark);
        }
    }

    /// Answers a poll with the complete list, or a watch with the changes since the revision that it names.
    fn respond(&mut self, context: &mut Context, id: ConnectionId, request: &http::Request) {
        let Some(scheduler) = context.network.get(id).map(|connection| connection.scheduler) else { return };
        let is_watch = request.query("follow") == Some("1");
        let known_revision = request.query("since").and_then(|revision| revision.parse().ok()).unwrap_or(0);
        let update = updates_since(&self.list, context, scheduler, if is_watch { known_revision } else { 0 });
        let response = if is_watch {
            self.watches.insert(id, self.list.revision());
            [http::CHUNKED_HEAD, &http::json_chunk(&update.document)].concat()
        } else {
            http::json_response(&update.document)
        };
        context.send_marked(id, response, WriteMark::NotReadyWorkers(update.not_ready_workers));
    }

    /// Sends a keep-alive, an empty line, on each watch that is not silenced, and schedules the next ones.
    pub fn send_keep_alives(&mut self, context: &mut Context) {
        for &id in self.watches.keys().filter(|id| !self.silenced.contains(id)) {
            context.send(id, http::EMPTY_LINE_CHUNK);
        }
        context.runtime.schedule_after(KEEP_ALIVE_INTERVAL, Timer::WatchKeepAlive);
    }
}

/// The list's changes since a revision, with the proxy addresses at which a scheduler reaches the workers.
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
        self.silenced.remove(&id);
    }
}
