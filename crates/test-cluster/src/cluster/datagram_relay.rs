//! Forwards datagrams between schedulers under the conditions of their links.

use super::context::Context;
use super::sources::DatagramRoute;
use super::timers::Timer;
use crate::history::HistoryEvent;
use crate::scenario::{Link, Node};

impl Context<'_> {
    /// Forwards the datagrams that a scheduler has sent on a route, to each receiver under the conditions of
    /// its link.
    pub fn relay_datagrams(&mut self, route: DatagramRoute) {
        let sender = self.supervisor.addresses(route.from).datagrams;
        while let Some(bytes) = self.datagrams.receive(route, sender) {
            self.observe_roles(route.from, None, &bytes);
            let receivers = match route.to {
                Some(to) => vec![to],
                None => (0..self.scenario.schedulers).filter(|&to| to != route.from).collect(),
            };
            for to in receivers {
                self.relay_datagram(route.from, to, &bytes);
            }
        }
    }

    fn relay_datagram(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let clock = self.runtime.clock;
        let at = clock.since_traffic_start();
        self.runtime.record(HistoryEvent::PeerMessage { at, scheduler: from, bytes: bytes.len() });
        let link = Link::new(Node::Scheduler(from), Node::Scheduler(to));
        let conditions = self.network.conditions(link);
        let now = clock.now();
        for arrival in conditions.arrivals(now, &mut self.runtime.rng) {
            if arrival <= now {
                self.deliver_datagram(from, to, bytes);
            } else {
                let timer = Timer::Datagram { from, to, bytes: bytes.to_vec() };
                self.runtime.timers.schedule(arrival, timer);
            }
        }
    }

    /// Delivers a datagram to its receiver, and records what it shows of role leases.
    pub fn deliver_datagram(&mut self, from: usize, to: usize, bytes: &[u8]) {
        self.observe_roles(from, Some(to), bytes);
        self.datagrams.deliver(from, to, bytes, self.supervisor.addresses(to).datagrams);
    }

    fn observe_roles(&mut self, from: usize, receiver: Option<usize>, bytes: &[u8]) {
        let at = self.runtime.clock.since_traffic_start();
        let events = self.roles.observe(at, from, receiver, bytes);
        self.runtime.history.extend(events);
    }
}
