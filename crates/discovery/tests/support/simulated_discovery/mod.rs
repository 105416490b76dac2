//! A simulation of schedulers on a virtual clock: one discovery service with a queue, faulty connections to
//! it, and lossy messages between schedulers. A run is determined by its seed.
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

/// Time that discovery needs to serve a request.
pub const SERVICE_TIME: Millis = 290.0;
/// How long a list may be used after a request while no watch is open.
pub const MAX_LIST_AGE: Millis = 10_000.0;
const KEEP_ALIVE_INTERVAL: Millis = 2_000.0;
/// Time from the rejection of a request, or the refusal of its connection, to the request's end.
const REJECTION_DELAY: Millis = 0.5;
/// Added to each timer, since rounding could otherwise make it fire slightly early, over and over.
const TIMER_RESOLUTION: Millis = 0.001;

#[derive(Clone, Debug, PartialEq, PartialOrd)]
enum Event {
    Connected(usize, RequestId),
    /// Discovery has served the request at the front of its queue.
    Served(u64),
    Update(usize, RequestId),
    KeepAlive(usize, RequestId),
    Ended(usize, RequestId),
    Message(usize, u16, String),
    Timeout(usize),
}

struct OpenRequest {
    kind: RequestKind,
    /// The revision that the scheduler held when it opened the request, until an update lowers or replaces
    /// it.
    since_revision: u64,
    /// The last revision that discovery has sent in response; `None` while the request waits in the queue.
    sent_revision: Option<u64>,
    keep_alives_only: bool,
    /// Nothing more is delivered.
    silent: bool,
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
    /// By scheduler, whether it is cut off from its peers: no message leaves or reaches it.
    pub cut_off: Vec<bool>,
    /// The fraction of the messages between schedulers that is lost.
    pub message_loss: f64,
    /// Time that discovery needs to serve a request.
    pub service_time: Millis,
    /// Maximum time from a change until it is sent to a watch.
    pub max_update_delay: Millis,
    pub revision: u64,
    /// Requests that have reached discovery.
    pub requests_received: u64,
    /// All requests that schedulers have opened.
    pub requests_opened: u64,
    /// Discovery's current list, by endpoint name.
    pub list: BTreeMap<String, EndpointRecord>,
    history: Vec<Change>,
    open: Vec<BTreeMap<RequestId, OpenRequest>>,
    /// Requests waiting for discovery: time of arrival, scheduler and request.
    queue: VecDeque<(Millis, usize, RequestId)>,
    /// Discovery is serving a request.
    busy: bool,
    /// Pending events: time in microseconds, sequence number, and key in `event_by_id`.
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    event_by_id: BTreeMap<usize, Event>,
    last_event_id: u64,
    /// By scheduler, when its pending timer fires; infinity if none is pending.
    timer_at: Vec<Millis>,
    pub rng: Rng,
    /// Messages that schedulers have sent to one another, including lost ones.
    pub messages_sent: u64,
    /// Total size of these messages, in bytes.
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
            last_event_id: 0,
            timer_at: vec![f64::INFINITY; count],
            rng: Rng::with_seed(seed),
            messages_sent: 0,
            message_bytes_sent: 0,
        }
    }

    /// Makes all schedulers open their watches.
    pub fn start(&mut self) {
        for node in 0..self.nodes.len() {
            self.nodes[node].start_watching(self.now);
            self.execute_commands(node);
        }
    }

    /// Kills a scheduler and starts `replacement` in its place.
    pub fn restart(&mut self, node: usize, replacement: N) {
        self.open[node].clear();
        self.nodes[node] = replacement;
        self.timer_at[node] = f64::INFINITY;
        self.nodes[node].start_watching(self.now);
        self.execute_commands(node);
    }

    fn schedule(&mut self, after: Millis, event: Event) {
        self.last_event_id += 1;
        let key = self.last_event_id as usize;
        self.event_by_id.insert(key, event);
        self.events.push(Reverse((((self.now + after) * 1_000.0).ceil() as u64, self.last_event_id, key)));
    }

    /// Changes one entry of the list, and sends the change to all watches.
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
                let delay = 10.0 + (self.max_update_delay - 10.0) * self.rng.f64();
                self.schedule(delay, Event::Update(node, request));
            }
        }
    }

    /// Restarts discovery: revisions are counted from the beginning, and all watches end.
    pub fn restart_revisions(&mut self) {
        self.revision = 1;
        self.history.clear();
        self.end_requests(|_| true);
    }

    pub fn set_down(&mut self, down: bool) {
        self.down = down;
        if down {
            self.end_requests(|_| true);
        }
    }

    pub fn set_fault(&mut self, node: usize, fault: Fault) {
        self.faults[node] = fault;
        match fault {
            Fault::RefuseConnections => self.end_requests(|at| at == node),
            Fault::KeepAlivesOnly => self.open[node]
                .values_mut()
                .for_each(|open| open.keep_alives_only = open.sent_revision.is_some()),
            Fault::BlackHole | Fault::OneWay => {
                self.open[node].values_mut().for_each(|open| open.silent = true);
            }
            _ => {}
        }
    }

    /// Ends all open requests of the schedulers that `which` selects.
    fn end_requests(&mut self, which: impl Fn(usize) -> bool) {
        for node in (0..self.nodes.len()).filter(|&node| which(node)) {
            for request in self.open[node].keys().copied().collect::<Vec<_>>() {
                self.schedule(1.0, Event::Ended(node, request));
            }
        }
    }

    /// Passes an input to a scheduler and executes its commands.
    pub fn with_node(&mut self, node: usize, input: impl FnOnce(&mut N, Millis)) {
        input(&mut self.nodes[node], self.now);
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
                            since_revision,
                            sent_revision: None,
                            keep_alives_only: false,
                            silent: false,
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
        if next < self.timer_at[node] {
            self.timer_at[node] = next;
            self.schedule((next - self.now).max(0.0) + TIMER_RESOLUTION, Event::Timeout(node));
        }
    }

    /// Advances the simulation to this time.
    pub fn run_until(&mut self, until: Millis) {
        while let Some(&Reverse((at, _, key))) = self.events.peek()
            && at as f64 / 1_000.0 <= until
        {
            self.events.pop();
            self.now = self.now.max(at as f64 / 1_000.0);
            let event = self.event_by_id.remove(&key).expect("every queued event is stored under its id");
            self.handle(event);
        }
        self.now = until;
    }
}
