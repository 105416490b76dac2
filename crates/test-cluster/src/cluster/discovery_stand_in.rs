//! Discovery's connections: polls and watches of the endpoint list.

use super::connection::{Connection, WriteMark};
use super::context::Context;
use super::stand_in::StandIn;
use super::timers::Timer;
use crate::scenario::{Node, Scenario};
use crate::stand_ins::discovery::{EndpointList, EndpointStatus, ListUpdate};
use crate::stand_ins::http;
use crate::{ConnectionId, Millis};
use std::collections::BTreeMap;

/// Watches get an empty line this often.
const KEEP_ALIVE_INTERVAL: Millis = 2_000.0;

/// The endpoint list, and the watches of it.
pub struct DiscoveryStandIn {
    pub list: EndpointList,
    /// Connections are refused.
    pub is_down: bool,
    /// The revision that each watch has got last.
    watches: BTreeMap<ConnectionId, u64>,
}

impl DiscoveryStandIn {
    /// A list of workers that have been ready for long.
    pub fn new(scenario: &Scenario) -> DiscoveryStandIn {
        let list = EndpointList::new(scenario.workers);
        DiscoveryStandIn { list, is_down: false, watches: BTreeMap::new() }
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
            self.send_updates(context);
        }
    }

    /// Sends each watch what is new to it.
    pub fn send_updates(&mut self, context: &mut Context) {
        let revision = self.list.revision();
        for (&id, known) in &mut self.watches {
            let Some(connection) = context.network.get(id).filter(|_| *known != revision) else { continue };
            let update = updates_since(&self.list, context, connection.scheduler, *known);
            *known = revision;
            let mark = WriteMark::ClosedWorkers(update.closed_workers);
            context.send_marked(id, http::json_chunk(&update.document), mark);
        }
    }

    /// Sends each watch an empty line, and schedules the next ones.
    pub fn send_keep_alives(&mut self, context: &mut Context) {
        for &id in self.watches.keys() {
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
        let scheduler = connection.scheduler;
        let Some(request) = http::take_request(&mut connection.input) else { return };
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

    fn handle_end(&mut self, _context: &mut Context, id: ConnectionId, _connection: Connection) {
        self.watches.remove(&id);
    }
}
