//! The discovery service: its queue, its watches, and which of its bytes reach a scheduler despite faults.

use super::{Event, Fault, KEEP_ALIVE_INTERVAL, Millis, Node, REJECTION_DELAY, TIMER_RESOLUTION, World};
use brackenledge_discovery::{EndpointRecord, RequestEnd, RequestId, RequestKind};
use std::collections::BTreeMap;

const MAX_QUEUE_TIME: Millis = 3_000.0;
const NETWORK_DELAY: Millis = 2.0;

impl<N: Node> World<N> {
    pub(super) fn serve_next(&mut self) {
        // A request that has waited too long fails without being served. One that its scheduler has given up
        // is served nevertheless.
        while !self.busy && self.queue.front().is_some_and(|request| self.now - request.0 > MAX_QUEUE_TIME) {
            let (_, node, request) = self.queue.pop_front().expect("the queue is not empty");
            self.schedule(REJECTION_DELAY, Event::Ended(node, request));
        }
        if !self.busy && !self.queue.is_empty() {
            self.busy = true;
            self.last_event_id += 1;
            let last_event_id = self.last_event_id;
            self.schedule(self.service_time, Event::Served(last_event_id));
        }
    }

    pub(super) fn handle(&mut self, event: Event) {
        let node = match event {
            Event::Connected(node, request) => self.on_connected(node, request),
            Event::Served(_) => match self.on_served() {
                Some(node) => node,
                None => return,
            },
            Event::Update(node, request) => {
                self.send_update(node, request);
                node
            }
            Event::KeepAlive(node, request) => self.on_keep_alive(node, request),
            Event::Ended(node, request) => self.on_ended(node, request),
            Event::Message(to, from, text) => {
                self.nodes[to].message(self.now, from, &text);
                to
            }
            Event::Timeout(node) => self.on_timeout(node),
        };
        self.execute_commands(node);
    }

    /// Whether nothing that discovery sends reaches this scheduler.
    fn loses_responses(&self, node: usize) -> bool {
        matches!(self.faults[node], Fault::BlackHole | Fault::OneWay)
    }

    fn on_connected(&mut self, node: usize, request: RequestId) -> usize {
        if self.open[node].contains_key(&request) {
            self.requests_received += 1;
            self.nodes[node].connected(self.now, request);
            if self.down {
                self.schedule(REJECTION_DELAY, Event::Ended(node, request));
            } else {
                self.queue.push_back((self.now, node, request));
                self.serve_next();
            }
        }
        node
    }

    /// The request at the front of the queue has been served. Sends the response head unless the request was
    /// given up. Returns its scheduler.
    fn on_served(&mut self) -> Option<usize> {
        self.busy = false;
        let (since, node, request) = self.queue.pop_front()?;
        self.serve_next();
        let loses_responses = self.loses_responses(node);
        if self.down || self.now - since > MAX_QUEUE_TIME {
            self.schedule(REJECTION_DELAY, Event::Ended(node, request));
        } else if let Some(open) = self.open[node].get_mut(&request) {
            open.sent_revision = Some(open.since_revision.min(self.revision));
            if !loses_responses && !open.silent {
                self.nodes[node].response_head(self.now, request);
                self.schedule(NETWORK_DELAY, Event::Update(node, request));
                if self.open[node].get(&request).is_some_and(|open| open.kind == RequestKind::Watch) {
                    self.schedule(KEEP_ALIVE_INTERVAL, Event::KeepAlive(node, request));
                }
            }
        }
        Some(node)
    }

    fn on_keep_alive(&mut self, node: usize, request: RequestId) -> usize {
        if self.open[node].get(&request).is_some_and(|open| !open.silent) {
            if !self.loses_responses(node) {
                self.nodes[node].bytes(self.now, request, false);
                self.nodes[node].keep_alive(self.now, request);
            }
            self.schedule(KEEP_ALIVE_INTERVAL, Event::KeepAlive(node, request));
        }
        node
    }

    fn on_ended(&mut self, node: usize, request: RequestId) -> usize {
        if let Some(open) = self.open[node].remove(&request) {
            let end = match open.sent_revision {
                Some(_) => RequestEnd::Closed,
                None if self.faults[node] == Fault::RefuseConnections => RequestEnd::NoConnection,
                None => RequestEnd::Rejected,
            };
            self.nodes[node].request_end(self.now, request, end);
        }
        node
    }

    fn on_timeout(&mut self, node: usize) -> usize {
        if self.now + TIMER_RESOLUTION >= self.timer_at[node] {
            self.timer_at[node] = f64::INFINITY;
        }
        self.nodes[node].handle_timeout(self.now);
        node
    }

    /// Sends what has changed since the last update on this request.
    fn send_update(&mut self, node: usize, request: RequestId) {
        if self.loses_responses(node) {
            return;
        }
        let (now, revision) = (self.now, self.revision);
        let Some(open) = self.open[node].get_mut(&request) else { return };
        let sent_revision = open.sent_revision.unwrap_or(0);
        let first = sent_revision == open.since_revision.min(revision) && open.kind == RequestKind::Watch;
        if open.silent
            || open.keep_alives_only
            || sent_revision > revision
            || (sent_revision == revision && !first && open.kind == RequestKind::Watch)
        {
            return;
        }
        // A scheduler that holds no revision, or one that discovery does not know, receives the whole list.
        let known = self.history.first().is_some_and(|change| change.revision <= sent_revision + 1)
            || sent_revision == revision;
        let snapshot = open.kind == RequestKind::Poll
            || open.since_revision == 0
            || open.since_revision > revision
            || !known;
        open.sent_revision = Some(revision);
        open.since_revision = open.since_revision.min(revision);
        if snapshot {
            open.since_revision = revision;
        }
        let entries: Vec<EndpointRecord> = if snapshot {
            self.list.values().cloned().collect()
        } else {
            let mut latest: BTreeMap<&str, &EndpointRecord> = BTreeMap::new();
            for change in self.history.iter().filter(|change| change.revision > sent_revision) {
                latest.insert(&change.entry.name, &change.entry);
            }
            latest.into_values().cloned().collect()
        };
        let fault = self.faults[node];
        let breaks_off = matches!(fault, Fault::EndMidUpdate | Fault::StallMidUpdate) && !entries.is_empty();
        let entries_sent = if breaks_off { self.rng.usize(..entries.len()) } else { entries.len() };
        for entry in entries.into_iter().take(entries_sent) {
            self.nodes[node].entry(now, request, entry);
        }
        if breaks_off {
            self.nodes[node].bytes(now, request, true);
            if fault == Fault::EndMidUpdate {
                self.schedule(2.0, Event::Ended(node, request));
            } else if let Some(open) = self.open[node].get_mut(&request) {
                open.silent = true;
            }
            return;
        }
        self.nodes[node].update(now, request, revision, snapshot);
        self.nodes[node].bytes(now, request, false);
        let is_poll = self.open[node].get(&request).is_some_and(|open| open.kind == RequestKind::Poll);
        if is_poll {
            self.open[node].remove(&request);
            self.nodes[node].request_end(now, request, RequestEnd::Complete);
        }
    }
}
