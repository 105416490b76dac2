//! Schedulers on a virtual clock: one discovery service with a queue, connections to it with their faults, and lossy
//! messages between schedulers. A function of its seed.
#![allow(dead_code, missing_docs)]

use brackenledge_discovery::{
    Command, DiscoverySettings, EndpointDirectory, EndpointRecord, RequestEnd, RequestId, RequestKind,
};
use brackenledge_policy::Readiness;
use fastrand::Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

pub type Millis = f64;

/// A scheduler as seen by discovery and its peers: an endpoint directory, or what stands in for it in a comparison.
pub trait Node {
    fn start_watching(&mut self, now: Millis);
    fn connected(&mut self, now: Millis, request: RequestId);
    fn response_head(&mut self, now: Millis, request: RequestId);
    fn entry(&mut self, now: Millis, request: RequestId, entry: EndpointRecord);
    fn update(&mut self, now: Millis, request: RequestId, revision: u64, snapshot: bool);
    fn keep_alive(&mut self, now: Millis, request: RequestId);
    fn bytes(&mut self, now: Millis, request: RequestId, mid_update: bool);
    fn request_end(&mut self, now: Millis, request: RequestId, end: RequestEnd);
    fn message(&mut self, now: Millis, from: u32, text: &str);
    fn handle_timeout(&mut self, now: Millis);
    fn next_timeout(&self) -> Millis;
    fn poll_command(&mut self) -> Option<Command>;
}

impl Node for EndpointDirectory {
    fn start_watching(&mut self, now: Millis) {
        EndpointDirectory::set_watching(self, now, true);
    }
    fn connected(&mut self, now: Millis, request: RequestId) {
        self.handle_connected(now, request);
    }
    fn response_head(&mut self, now: Millis, request: RequestId) {
        self.handle_response_head(now, request);
    }
    fn entry(&mut self, now: Millis, request: RequestId, entry: EndpointRecord) {
        self.handle_entry(now, request, entry);
    }
    fn update(&mut self, now: Millis, request: RequestId, revision: u64, snapshot: bool) {
        self.handle_update(now, request, revision, snapshot);
    }
    fn keep_alive(&mut self, now: Millis, request: RequestId) {
        self.handle_keep_alive(now, request);
    }
    fn bytes(&mut self, now: Millis, request: RequestId, mid_update: bool) {
        self.handle_bytes(now, request, mid_update);
    }
    fn request_end(&mut self, now: Millis, request: RequestId, end: RequestEnd) {
        self.handle_request_end(now, request, end);
    }
    fn message(&mut self, now: Millis, from: u32, text: &str) {
        EndpointDirectory::handle_message(self, now, from, text);
    }
    fn handle_timeout(&mut self, now: Millis) {
        EndpointDirectory::handle_timeout(self, now);
    }
    fn next_timeout(&self) -> Millis {
        EndpointDirectory::next_timeout(self)
    }
    fn poll_command(&mut self) -> Option<Command> {
        EndpointDirectory::poll_command(self)
    }
}

pub fn directory(now: Millis, ordinal: u32, schedulers: u32, messages: bool) -> EndpointDirectory {
    EndpointDirectory::new(
        now,
        DiscoverySettings {
            ordinal,
            schedulers,
            gossip: messages,
            push_mode: false,
            max_list_age: MAX_LIST_AGE,
            seed: 77 + u64::from(ordinal),
        },
    )
}

/// What is wrong with one scheduler's connections to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing is.
    None,
    /// Bytes are accepted and never delivered, and new connections don't come up.
    BlackHole,
    /// Connections come up and requests arrive, but nothing comes back.
    OneWay,
    /// Updates break off in their middle, and the connection ends.
    EndMidUpdate,
    /// Updates break off in their middle, and the rest never comes.
    StallMidUpdate,
    /// A watch that was open when it began sends keep-alives and no news.
    NoNews,
    /// The machine refuses connections and has ended those that were open.
    RefuseConnections,
}

pub const FAULTS: [Fault; 6] = [
    Fault::BlackHole,
    Fault::OneWay,
    Fault::EndMidUpdate,
    Fault::StallMidUpdate,
    Fault::NoNews,
    Fault::RefuseConnections,
];

#[derive(Clone, Debug, PartialEq, PartialOrd)]
enum Event {
    Connected(usize, RequestId),
    /// Discovery has served the request at its queue's front.
    Served(u64),
    Update(usize, RequestId),
    KeepAlive(usize, RequestId),
    Ended(usize, RequestId),
    Message(usize, u32, String),
    Timeout(usize),
}

struct OpenRequest {
    kind: RequestKind,
    since: u64,
    /// The revision that it has sent so far; `None`: it waits its turn.
    sent_revision: Option<u64>,
    without_news: bool,
    dead: bool,
}

struct Change {
    revision: u64,
    entry: EndpointRecord,
}

pub struct World<N> {
    pub now: Millis,
    pub nodes: Vec<N>,
    pub faults: Vec<Fault>,
    /// Discovery is down: it rejects requests, and its watches have ended.
    pub down: bool,
    /// The part of the messages between schedulers that is lost.
    pub message_loss: f64,
    /// What discovery takes to serve a request.
    pub service_time: Millis,
    /// Between a change and the last watch that it is sent to.
    pub max_update_delay: Millis,
    pub revision: u64,
    /// Requests that reached discovery, and all that were opened.
    pub requests_received: u64,
    pub requests_opened: u64,
    /// The list, by name.
    pub list: BTreeMap<String, EndpointRecord>,
    history: Vec<Change>,
    open: Vec<BTreeMap<RequestId, OpenRequest>>,
    queue: VecDeque<(Millis, usize, RequestId)>,
    busy: bool,
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    event_by_id: BTreeMap<usize, Event>,
    last_event: u64,
    armed: Vec<Millis>,
    pub rng: Rng,
    /// Messages between schedulers.
    pub messages_sent: u64,
}

/// Time that discovery takes to serve a request.
pub const SERVICE_TIME: Millis = 290.0;
/// For how long a list may be used without a watch after a request.
pub const MAX_LIST_AGE: Millis = 10_000.0;
const MAX_QUEUE_TIME: Millis = 3_000.0;
const NETWORK_DELAY: Millis = 2.0;

pub fn endpoint(name: &str, readiness: Readiness) -> EndpointRecord {
    EndpointRecord {
        name: name.into(),
        address: "10.0.0.1:80".parse().ok(),
        zone: 0,
        kind: 0,
        cell: 0,
        readiness,
        weight: 1.0,
        started_at: None,
    }
}

impl<N: Node> World<N> {
    pub fn new(nodes: Vec<N>, seed: u64) -> Self {
        let count = nodes.len();
        World {
            now: 0.0,
            nodes,
            faults: vec![Fault::None; count],
            down: false,
            message_loss: 0.0,
            service_time: SERVICE_TIME,
            max_update_delay: 120.0,
            revision: 0,
            requests_received: 0,
            requests_opened: 0,
            list: BTreeMap::new(),
            history: Vec::new(),
            open: (0..count).map(|_| BTreeMap::new()).collect(),
            queue: VecDeque::new(),
            busy: false,
            events: BinaryHeap::new(),
            event_by_id: BTreeMap::new(),
            last_event: 0,
            armed: vec![f64::INFINITY; count],
            rng: Rng::with_seed(seed),
            messages_sent: 0,
        }
    }

    /// All nodes subscribe.
    pub fn start(&mut self) {
        for node in 0..self.nodes.len() {
            self.nodes[node].start_watching(self.now);
            self.carry_out(node);
        }
    }

    /// A scheduler is killed and restarts from nothing.
    pub fn restart(&mut self, node: usize, fresh: N) {
        self.open[node].clear();
        self.nodes[node] = fresh;
        self.armed[node] = f64::INFINITY;
        self.nodes[node].start_watching(self.now);
        self.carry_out(node);
    }

    fn schedule(&mut self, after: Millis, event: Event) {
        self.last_event += 1;
        let key = self.last_event as usize;
        self.event_by_id.insert(key, event);
        self.events.push(Reverse((((self.now + after) * 1_000.0).ceil() as u64, self.last_event, key)));
    }

    /// The list changes.
    pub fn change(&mut self, entry: EndpointRecord) {
        self.revision += 1;
        if entry.readiness == Readiness::Gone {
            self.list.remove(&entry.name);
        } else {
            self.list.insert(entry.name.clone(), entry.clone());
        }
        self.history.push(Change { revision: self.revision, entry });
        for node in 0..self.nodes.len() {
            let watches = self.open[node]
                .iter()
                .filter(|(_, o)| o.kind == RequestKind::Watch && o.sent_revision.is_some());
            for request in watches.map(|(&request, _)| request).collect::<Vec<_>>() {
                let spread = 10.0 + (self.max_update_delay - 10.0) * self.rng.f64();
                self.schedule(spread, Event::Update(node, request));
            }
        }
    }

    /// Discovery restarts: it counts revisions from the beginning, and all watches end.
    pub fn restart_revisions(&mut self) {
        self.revision = 1;
        self.history.clear();
        self.end_watches(|_| true);
    }

    pub fn set_down(&mut self, down: bool) {
        self.down = down;
        if down {
            self.end_watches(|_| true);
        }
    }

    pub fn set_fault(&mut self, node: usize, fault: Fault) {
        self.faults[node] = fault;
        match fault {
            Fault::RefuseConnections => self.end_watches(|at| at == node),
            Fault::NoNews => {
                self.open[node].values_mut().for_each(|open| open.without_news = open.sent_revision.is_some())
            }
            Fault::BlackHole | Fault::OneWay => {
                self.open[node].values_mut().for_each(|open| open.dead = true);
            }
            _ => {}
        }
    }

    fn end_watches(&mut self, which: impl Fn(usize) -> bool) {
        for node in (0..self.nodes.len()).filter(|&node| which(node)) {
            for request in self.open[node].keys().copied().collect::<Vec<_>>() {
                self.schedule(1.0, Event::Ended(node, request));
            }
        }
    }

    /// Gives a node an input, and carries out its commands.
    pub fn with_node(&mut self, node: usize, what: impl FnOnce(&mut N, Millis)) {
        what(&mut self.nodes[node], self.now);
        self.carry_out(node);
    }

    fn carry_out(&mut self, node: usize) {
        while let Some(command) = self.nodes[node].poll_command() {
            match command {
                Command::OpenRequest { request, kind, since_revision } => {
                    self.requests_opened += 1;
                    self.open[node].insert(
                        request,
                        OpenRequest {
                            kind,
                            since: since_revision,
                            sent_revision: None,
                            without_news: false,
                            dead: false,
                        },
                    );
                    match self.faults[node] {
                        Fault::BlackHole => {}
                        Fault::RefuseConnections => self.schedule(0.5, Event::Ended(node, request)),
                        _ => self.schedule(0.5, Event::Connected(node, request)),
                    }
                }
                Command::CancelRequest { request } => {
                    self.open[node].remove(&request);
                }
                Command::SendMessage { to, text } => {
                    assert!(text.len() <= 256);
                    self.messages_sent += 1;
                    if self.rng.f64() >= self.message_loss {
                        let delay = 3.2 + 18.8 * self.rng.f64();
                        self.schedule(delay, Event::Message(to as usize, node as u32, text));
                    }
                }
                Command::UpdateEndpoints { .. } | Command::Event(_) => {}
            }
        }
        let next = self.nodes[node].next_timeout();
        if next < self.armed[node] {
            self.armed[node] = next;
            // A thousandth on, lest rounding bring it a hair early for ever.
            self.schedule((next - self.now).max(0.0) + 0.001, Event::Timeout(node));
        }
    }

    /// Runs until this time.
    pub fn run_until(&mut self, until: Millis) {
        while let Some(&Reverse((at, _, key))) = self.events.peek()
            && at as f64 / 1_000.0 <= until
        {
            self.events.pop();
            self.now = self.now.max(at as f64 / 1_000.0);
            let event = self.event_by_id.remove(&key).expect("an event");
            self.handle(event);
        }
        self.now = until;
    }

    fn serve_next(&mut self) {
        // A request that has waited too long fails, and costs nothing more; one that was given up is served all the same.
        while !self.busy && self.queue.front().is_some_and(|request| self.now - request.0 > MAX_QUEUE_TIME) {
            let (_, node, request) = self.queue.pop_front().expect("a request");
            self.schedule(0.5, Event::Ended(node, request));
        }
        if !self.busy && !self.queue.is_empty() {
            self.busy = true;
            self.last_event += 1;
            let last_event = self.last_event;
            self.schedule(self.service_time, Event::Served(last_event));
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        let node = match event {
            Event::Connected(node, request) => {
                if self.open[node].contains_key(&request) {
                    self.requests_received += 1;
                    self.nodes[node].connected(now, request);
                    if self.down {
                        self.schedule(0.5, Event::Ended(node, request));
                    } else {
                        self.queue.push_back((now, node, request));
                        self.serve_next();
                    }
                }
                node
            }
            Event::Served(_) => {
                self.busy = false;
                let Some((since, node, request)) = self.queue.pop_front() else { return };
                self.serve_next();
                if self.down || now - since > MAX_QUEUE_TIME {
                    self.schedule(0.5, Event::Ended(node, request));
                } else if let Some(open) = self.open[node].get_mut(&request) {
                    open.sent_revision = Some(open.since.min(self.revision));
                    if !matches!(self.faults[node], Fault::BlackHole | Fault::OneWay) && !open.dead {
                        self.nodes[node].response_head(now, request);
                        self.schedule(NETWORK_DELAY, Event::Update(node, request));
                        if self.open[node].get(&request).is_some_and(|open| open.kind == RequestKind::Watch) {
                            self.schedule(2_000.0, Event::KeepAlive(node, request));
                        }
                    }
                }
                node
            }
            Event::Update(node, request) => {
                self.send_update(node, request);
                node
            }
            Event::KeepAlive(node, request) => {
                if let Some(open) = self.open[node].get(&request)
                    && !open.dead
                {
                    if !matches!(self.faults[node], Fault::BlackHole | Fault::OneWay) {
                        self.nodes[node].bytes(now, request, false);
                        self.nodes[node].keep_alive(now, request);
                    }
                    self.schedule(2_000.0, Event::KeepAlive(node, request));
                }
                node
            }
            Event::Ended(node, request) => {
                if let Some(open) = self.open[node].remove(&request) {
                    let end = match open.sent_revision {
                        Some(_) => RequestEnd::Closed,
                        None if self.faults[node] == Fault::RefuseConnections => RequestEnd::NoConnection,
                        None => RequestEnd::Rejected,
                    };
                    self.nodes[node].request_end(now, request, end);
                }
                node
            }
            Event::Message(to, from, text) => {
                self.nodes[to].message(now, from, &text);
                to
            }
            Event::Timeout(node) => {
                if now + 0.001 >= self.armed[node] {
                    self.armed[node] = f64::INFINITY;
                }
                self.nodes[node].handle_timeout(now);
                node
            }
        };
        self.carry_out(node);
    }

    /// Discovery writes what has changed since it last did on this request.
    fn send_update(&mut self, node: usize, request: RequestId) {
        let (now, revision) = (self.now, self.revision);
        let Some(open) = self.open[node].get_mut(&request) else { return };
        let sent_revision = open.sent_revision.unwrap_or(0);
        let first = sent_revision == open.since.min(revision) && open.kind == RequestKind::Watch;
        if open.dead
            || open.without_news
            || sent_revision > revision
            || (sent_revision == revision && !first && open.kind == RequestKind::Watch)
        {
            return;
        }
        // Who holds nothing, or more than there is, gets the whole list.
        let known = self.history.first().is_some_and(|change| change.revision <= sent_revision + 1)
            || sent_revision == revision;
        let snapshot = open.kind == RequestKind::Poll || open.since == 0 || open.since > revision || !known;
        open.sent_revision = Some(revision);
        open.since = open.since.min(revision);
        if snapshot {
            open.since = revision;
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
                open.dead = true;
            }
            return;
        }
        self.nodes[node].update(now, request, revision, snapshot);
        self.nodes[node].bytes(now, request, false);
        let fetched = self.open[node].get(&request).is_some_and(|open| open.kind == RequestKind::Poll);
        if fetched {
            self.open[node].remove(&request);
            self.nodes[node].request_end(now, request, RequestEnd::Complete);
        }
    }
}
