//! Applies a scenario's faults to processes, links, workers, discovery and clients.

use super::connection::Connection;
use super::context::Context;
use super::event_loop::Cluster;
use super::sources::{ProcessKind, ProcessSlot};
use crate::Millis;
use crate::checker::ANSWER_TOLERANCE;
use crate::history::{HistoryEvent, ProcessEvent};
use crate::network_conditions::NetworkConditions;
use crate::scenario::{FaultAction, Link, Node};
use rustix::process::Signal;
use std::collections::BTreeSet;

/// After a reset or half-close of client connections, requests without a response from their scheduler are
/// exempted from the rule on answers for this long.
const BROKEN_CONNECTION_GRACE: Millis = 500.0;

/// Whether a fault begins or ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Begin,
    End,
}

impl Phase {
    /// Returns `during` when the fault begins, and `normal` when it ends.
    pub fn select<T>(self, during: T, normal: T) -> T {
        match self {
            Phase::Begin => during,
            Phase::End => normal,
        }
    }
}

impl Cluster<'_> {
    /// Begins the scenario's fault with this index, with the lease holder and the leader resolved as of now.
    pub fn begin_fault(&mut self, number: usize) {
        let fault = &self.context.scenario.faults[number];
        let roles = &self.context.roles;
        let action = fault.action.resolved(roles.lease_holder, roles.leader);
        self.faults.begin(number, action.clone(), fault.until.is_some());
        self.apply(number, &action, Phase::Begin);
    }

    /// Ends the scenario's fault with this index, if it has begun.
    pub fn end_fault(&mut self, number: usize) {
        if let Some(action) = self.faults.end(number) {
            self.apply(number, &action, Phase::End);
        }
    }

    fn apply(&mut self, number: usize, action: &FaultAction, phase: Phase) {
        match action {
            FaultAction::Network(links, conditions) => {
                self.apply_network(number, links, conditions, phase);
            }
            FaultAction::Reset(links) if phase == Phase::Begin => self.reset_connections(links),
            FaultAction::HalfClose(links) if phase == Phase::Begin => self.half_close_connections(links),
            FaultAction::Reset(_) | FaultAction::HalfClose(_) => {}
            FaultAction::Kill(nodes)
            | FaultAction::Terminate(nodes)
            | FaultAction::Pause(nodes)
            | FaultAction::DuplicateProcess(nodes) => {
                nodes.iter().for_each(|&node| self.apply_to_node(action, node, phase));
            }
            FaultAction::Drain(nodes)
            | FaultAction::Restart(nodes)
            | FaultAction::Slow(nodes, _)
            | FaultAction::Failing(nodes, _) => self.apply_to_workers(action, nodes, phase),
            FaultAction::DiscoveryOutage => self.apply_discovery_outage(number, phase),
            FaultAction::SilentWatches if phase == Phase::Begin => self.discovery.silence_watches(),
            FaultAction::SilentWatches => {}
            FaultAction::DiscoveryOverload(requests_per_s) => {
                self.discovery.set_capacity(&mut self.context, phase.select(Some(*requests_per_s), None));
            }
            FaultAction::DiscoveryDelay(delay) => self.discovery.list.delay = phase.select(*delay, 0.0),
            FaultAction::StaleEndpointList => {
                self.discovery.list.set_stale(phase == Phase::Begin);
                if phase == Phase::End {
                    self.discovery.announce_list(&mut self.context);
                }
            }
            FaultAction::ClockSkew(offset) => self.discovery.list.clock_skew = phase.select(*offset, 0.0),
            FaultAction::Burst(factor) => self.context.clients.rate_factor = phase.select(*factor, 1.0),
        }
    }

    // Links.

    fn apply_network(&mut self, number: usize, links: &[Link], conditions: &NetworkConditions, phase: Phase) {
        match phase {
            Phase::Begin => self.faults.add_conditions(number, links, conditions),
            Phase::End => self.faults.remove_conditions(number),
        }
        let conditions = self.faults.conditions();
        self.context.network.set_conditions(&mut self.context.runtime, conditions);
        self.update_listeners();
        if phase == Phase::Begin {
            let until = self.context.scenario.faults[number].until.unwrap_or(f64::INFINITY);
            self.record_cut_off_clients(links, until);
            self.record_cut_off_from_discovery(links, until);
        }
    }

    fn reset_connections(&mut self, links: &[Link]) {
        self.record_broken_connections(links);
        for id in self.context.network.ids(|connection| uses_any_link(connection, links)) {
            self.context.network.reset(id);
        }
    }

    /// Closes each connection in the direction of its link; the other direction stays open.
    fn half_close_connections(&mut self, links: &[Link]) {
        self.record_broken_connections(links);
        let context = &mut self.context;
        for id in context.network.ids(|connection| uses_any_link(connection, links)) {
            let ends_from_scheduler = (context.network.get(id))
                .is_some_and(|connection| links.contains(&connection.link_from_scheduler()));
            if ends_from_scheduler {
                context.network.end_from_scheduler(&mut context.runtime, id);
            } else {
                context.network.end_to_scheduler(id);
            }
        }
    }

    fn record_broken_connections(&mut self, links: &[Link]) {
        let until = self.context.runtime.clock.since_traffic_start() + BROKEN_CONNECTION_GRACE;
        self.record_cut_off_clients(links, until);
    }

    /// Records until when clients cannot receive responses over these links, so that the checker does not
    /// count missing responses as violations by the schedulers.
    fn record_cut_off_clients(&mut self, links: &[Link], until: Millis) {
        let scheduler = |link: &Link| match (link.from, link.to) {
            (Node::Clients(_), Node::Scheduler(number)) | (Node::Scheduler(number), Node::Clients(_)) => {
                Some(number)
            }
            _ => None,
        };
        let schedulers: BTreeSet<usize> = links.iter().filter_map(scheduler).collect();
        let at = self.context.runtime.clock.since_traffic_start();
        let until = until + ANSWER_TOLERANCE;
        for scheduler in schedulers {
            self.context.runtime.record(HistoryEvent::ClientsCutOff { at, until, scheduler });
        }
    }

    /// Records until when discovery cannot be reached over these links, so that the checker does not hold
    /// schedulers to updates that they could not receive.
    fn record_cut_off_from_discovery(&mut self, links: &[Link], until: Millis) {
        let scheduler = |link: &Link| match (link.from, link.to) {
            (Node::Discovery, Node::Scheduler(number)) | (Node::Scheduler(number), Node::Discovery) => {
                Some(number)
            }
            _ => None,
        };
        let schedulers: BTreeSet<usize> = links.iter().filter_map(scheduler).collect();
        let at = self.context.runtime.clock.since_traffic_start();
        for scheduler in schedulers {
            self.context.runtime.record(HistoryEvent::DiscoveryUnreachable { at, until, scheduler });
        }
    }

    // Processes.

    fn apply_to_node(&mut self, action: &FaultAction, node: Node, phase: Phase) {
        match node {
            Node::Scheduler(number) => self.apply_to_scheduler(action, number, phase),
            // Of the actions applied here, only a kill may target workers.
            Node::Worker(number) if phase == Phase::Begin => self.kill_worker(number),
            Node::Worker(number) => self.start_worker(number),
            _ => {}
        }
    }

    fn apply_to_scheduler(&mut self, action: &FaultAction, scheduler: usize, phase: Phase) {
        let primary = ProcessSlot { scheduler, kind: ProcessKind::Primary };
        let duplicate = ProcessSlot { scheduler, kind: ProcessKind::Duplicate };
        let Context { runtime, supervisor, .. } = &mut self.context;
        match (action, phase) {
            (FaultAction::Kill(_), Phase::Begin) => supervisor.kill(runtime, primary),
            (FaultAction::Terminate(_), Phase::Begin) => supervisor.terminate(runtime, scheduler),
            (FaultAction::Kill(_) | FaultAction::Terminate(_), Phase::End) => {
                // A process that still runs after SIGTERM gets SIGKILL, as in a planned restart.
                if supervisor.is_running(scheduler) {
                    supervisor.kill(runtime, primary);
                }
                self.start_process(primary);
            }
            (FaultAction::Pause(_), Phase::Begin) => {
                let at = runtime.clock.since_traffic_start();
                runtime.record(HistoryEvent::Process { at, scheduler, change: ProcessEvent::Paused });
                supervisor.signal(scheduler, Signal::STOP);
            }
            (FaultAction::Pause(_), Phase::End) => {
                supervisor.signal(scheduler, Signal::CONT);
                // The resumed process first has to work through what arrived during the pause.
                let at = runtime.clock.since_traffic_start() + ANSWER_TOLERANCE;
                runtime.record(HistoryEvent::Process { at, scheduler, change: ProcessEvent::Resumed });
            }
            (FaultAction::DuplicateProcess(_), Phase::Begin) => self.start_process(duplicate),
            (FaultAction::DuplicateProcess(_), Phase::End) => supervisor.kill(runtime, duplicate),
            _ => {}
        }
    }

    fn start_process(&mut self, slot: ProcessSlot) {
        let context = &mut self.context;
        if let Err(error) = context.supervisor.start(&mut context.runtime, slot) {
            context.runtime.fail(error);
        }
    }

    // Discovery.

    /// During an outage, discovery refuses new connections; those open at its beginning are reset.
    fn apply_discovery_outage(&mut self, number: usize, phase: Phase) {
        self.discovery.is_down = phase == Phase::Begin;
        if phase == Phase::Begin {
            let until = self.context.scenario.faults[number].until.unwrap_or(f64::INFINITY);
            let at = self.context.runtime.clock.since_traffic_start();
            for scheduler in 0..self.context.scenario.schedulers {
                self.context.runtime.record(HistoryEvent::DiscoveryUnreachable { at, until, scheduler });
            }
        }
        self.update_listeners();
        if phase == Phase::Begin {
            self.reset_connections_of(Node::Discovery);
        }
    }

    /// Resets all connections between schedulers and a node.
    pub fn reset_connections_of(&mut self, node: Node) {
        for id in self.context.network.ids(|connection| connection.remote_node == node) {
            self.context.network.reset(id);
        }
    }
}

/// Whether a connection uses one of these links in either direction.
fn uses_any_link(connection: &Connection, links: &[Link]) -> bool {
    links.contains(&connection.link_from_scheduler()) || links.contains(&connection.link_to_scheduler())
}
