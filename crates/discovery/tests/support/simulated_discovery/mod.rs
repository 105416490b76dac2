//! Schedulers on a virtual clock: one discovery service with a queue, connections to it with their faults, and lossy
//! messages between schedulers. A function of its seed.
#![allow(dead_code, missing_docs, unused_imports)]

mod fault;
mod node;
mod service;

pub use fault::{FAULTS, Fault};
pub use node::{Millis, Node, directory, endpoint};

use brackenledge_discovery::{Command, EndpointRecord, RequestId, RequestKind};
use brackenledge_policy::Readiness;
use fastrand::Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// Time that discovery takes to serve a request.
pub const SERVICE_TIME: Millis = 290.0;
/// For how long a list may be used without a watch after a request.
pub const MAX_LIST_AGE: Millis = 10_000.0;
const KEEP_ALIVE_INTERVAL: Millis = 2_000.0;
/// Between a request that is rejected, or its connection, and its end.
const REJECTION_DELAY: Millis = 0.5;
/// Added to each timer, lest rounding bring it a little early again and again.
const TIMER_RESOLUTION: Millis = 0.001;

#[derive(Clone, Debug, PartialEq, PartialOrd)]
enum Event {
    Connected(usize, RequestId),
    /// Discovery has served the request at its queue's front.
    Served(u64),
    Update(usize, RequestId),
    KeepAlive(usize, RequestId),
    Ended(usize, RequestId),
    Message(usize, u16, String),
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
    /// Schedulers that are cut off from all others: no message leaves or reaches them.
    pub cut_off: Vec<bool>,
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
    /// Messages between schedulers, and their bytes.
    pub messages_sent: u64,
    pub message_bytes_sent: u64,
}

impl<N: Node> World<N> {
    pub fn new(nodes: Vec<N>, seed: u64) -> Self {
        let count = nodes.len();
        World {
            now: 0.0,
            nodes,
            faults: vec![Fault::None; count],
            down: false,
            cut_off: vec![false; count],
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
            message_bytes_sent: 0,
        }
    }

    /// All nodes subscribe.
    pub fn start(&mut self) {
        for node in 0..self.nodes.len() {
            self.nodes[node].start_watching(self.now);
            self.execute_commands(node);
        }
    }

    /// A scheduler is killed and restarts from nothing.
    pub fn restart(&mut self, node: usize, fresh: N) {
        self.open[node].clear();
        self.nodes[node] = fresh;
        self.armed[node] = f64::INFINITY;
        self.nodes[node].start_watching(self.now);
        self.execute_commands(node);
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
        self.execute_commands(node);
    }

    fn execute_commands(&mut self, node: usize) {
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
                        Fault::RefuseConnections => {
                            self.schedule(REJECTION_DELAY, Event::Ended(node, request))
                        }
                        _ => self.schedule(0.5, Event::Connected(node, request)),
                    }
                }
                Command::CancelRequest { request } => {
                    self.open[node].remove(&request);
                }
                Command::SendMessage { to, text } => {
                    assert!(text.len() <= 256);
                    self.messages_sent += 1;
                    self.message_bytes_sent += text.len() as u64;
                    let is_cut_off = self.cut_off[node] || self.cut_off[usize::from(to)];
                    if !is_cut_off && self.rng.f64() >= self.message_loss {
                        let delay = 3.2 + 18.8 * self.rng.f64();
                        self.schedule(delay, Event::Message(usize::from(to), node as u16, text));
                    }
                }
                Command::UpdateEndpoints { .. } | Command::Event(_) => {}
            }
        }
        let next = self.nodes[node].next_timeout();
        if next < self.armed[node] {
            self.armed[node] = next;
            // A thousandth on, lest rounding bring it a hair early for ever.
            self.schedule((next - self.now).max(0.0) + TIMER_RESOLUTION, Event::Timeout(node));
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
}
