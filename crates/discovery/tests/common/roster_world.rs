//! A world for rosters, on a virtual clock: one discovery service with a queue, the links to it with their faults,
//! and lossy messages between schedulers. A function of its seed.
#![allow(dead_code, missing_docs)]

use brackenledge_discovery::{Call, CallKind, Command, Ending, Listed, Roster, RosterSettings};
use brackenledge_policy::Readiness;
use fastrand::Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

pub type Millis = f64;

/// What opens calls to discovery: the roster, or what stands in its place in a comparison.
pub trait Node {
    fn want(&mut self, now: Millis);
    fn up(&mut self, now: Millis, call: Call);
    fn answered(&mut self, now: Millis, call: Call);
    fn entry(&mut self, now: Millis, call: Call, entry: Listed);
    fn line(&mut self, now: Millis, call: Call, index: u64, snapshot: bool);
    fn beat(&mut self, now: Millis, call: Call);
    fn bytes(&mut self, now: Millis, call: Call, midway: bool);
    fn ended(&mut self, now: Millis, call: Call, ending: Ending);
    fn heard(&mut self, now: Millis, from: u32, text: &str);
    fn handle_timeout(&mut self, now: Millis);
    fn next_timeout(&self) -> Millis;
    fn poll_command(&mut self) -> Option<Command>;
}

impl Node for Roster {
    fn want(&mut self, now: Millis) {
        Roster::want(self, now, true);
    }
    fn up(&mut self, now: Millis, call: Call) {
        self.call_up(now, call);
    }
    fn answered(&mut self, now: Millis, call: Call) {
        self.call_answered(now, call);
    }
    fn entry(&mut self, now: Millis, call: Call, entry: Listed) {
        self.call_entry(now, call, entry);
    }
    fn line(&mut self, now: Millis, call: Call, index: u64, snapshot: bool) {
        self.call_line(now, call, index, snapshot);
    }
    fn beat(&mut self, now: Millis, call: Call) {
        self.call_beat(now, call);
    }
    fn bytes(&mut self, now: Millis, call: Call, midway: bool) {
        self.call_bytes(now, call, midway);
    }
    fn ended(&mut self, now: Millis, call: Call, ending: Ending) {
        self.call_ended(now, call, ending);
    }
    fn heard(&mut self, now: Millis, from: u32, text: &str) {
        Roster::heard(self, now, from, text);
    }
    fn handle_timeout(&mut self, now: Millis) {
        Roster::handle_timeout(self, now);
    }
    fn next_timeout(&self) -> Millis {
        Roster::next_timeout(self)
    }
    fn poll_command(&mut self) -> Option<Command> {
        Roster::poll_command(self)
    }
}

pub fn roster(now: Millis, ordinal: u32, schedulers: u32, messages: bool) -> Roster {
    Roster::new(
        now,
        RosterSettings {
            ordinal,
            schedulers,
            messages,
            pushed: false,
            ask_within: ASK_WITHIN,
            seed: 77 + u64::from(ordinal),
        },
    )
}

/// What is wrong with one scheduler's link to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing is.
    None,
    /// Bytes are accepted and never delivered, and new connections don't come up.
    BlackHole,
    /// Connections come up and requests arrive, but nothing comes back.
    OneWay,
    /// Lines break off in their middle, and the connection ends.
    Cut,
    /// Lines break off in their middle, and the rest never comes.
    Stall,
    /// A watch that was open when it began goes on beating and tells nothing new.
    Stuck,
    /// The machine refuses connections and has ended those that were open.
    Refuses,
}

pub const FAULTS: [Fault; 6] =
    [Fault::BlackHole, Fault::OneWay, Fault::Cut, Fault::Stall, Fault::Stuck, Fault::Refuses];

#[derive(Clone, Debug, PartialEq, PartialOrd)]
enum Event {
    Up(usize, Call),
    /// Discovery has handled the call at its queue's front.
    Served(u64),
    Line(usize, Call),
    Beat(usize, Call),
    Gone(usize, Call),
    Message(usize, u32, String),
    Time(usize),
}

struct Open {
    kind: CallKind,
    since: u64,
    /// The version that it has told so far; `None`: it waits its turn.
    told: Option<u64>,
    stuck: bool,
    dead: bool,
}

struct Change {
    index: u64,
    entry: Listed,
}

pub struct World<N> {
    pub now: Millis,
    pub nodes: Vec<N>,
    pub faults: Vec<Fault>,
    /// Discovery is down: it refuses calls, and its watches have ended.
    pub down: bool,
    /// Part of the messages between schedulers that is lost.
    pub loss: f64,
    /// What discovery takes for a call.
    pub service: Millis,
    /// Between a change and the last watch that is told of it.
    pub turns: Millis,
    pub index: u64,
    /// Calls that reached discovery, and those made in vain.
    pub calls: u64,
    pub asked: u64,
    /// What each node was sent last of each server, when it came: by a line, part of one, or a message.
    pub truth: BTreeMap<String, Listed>,
    history: Vec<Change>,
    open: Vec<BTreeMap<Call, Open>>,
    queue: VecDeque<(Millis, usize, Call)>,
    busy: bool,
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    payload: BTreeMap<usize, Event>,
    serial: u64,
    armed: Vec<Millis>,
    pub rng: Rng,
    /// When each orders' `Tell` was sent.
    pub tells: u64,
}

/// Time that discovery takes for a call, of those it waits for its turn at most, and between a change and its line.
pub const SERVICE: Millis = 290.0;
/// For how long a list may be used without a watch after a call.
pub const ASK_WITHIN: Millis = 10_000.0;
const PATIENCE: Millis = 3_000.0;
const TRIP: Millis = 2.0;

pub fn server(name: &str, readiness: Readiness) -> Listed {
    Listed {
        name: name.into(),
        address: "10.0.0.1:80".parse().ok(),
        zone: 0,
        kind: 0,
        cell: 0,
        readiness,
        weight: 1.0,
        launched: None,
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
            loss: 0.0,
            service: SERVICE,
            turns: 120.0,
            index: 0,
            calls: 0,
            asked: 0,
            truth: BTreeMap::new(),
            history: Vec::new(),
            open: (0..count).map(|_| BTreeMap::new()).collect(),
            queue: VecDeque::new(),
            busy: false,
            events: BinaryHeap::new(),
            payload: BTreeMap::new(),
            serial: 0,
            armed: vec![f64::INFINITY; count],
            rng: Rng::with_seed(seed),
            tells: 0,
        }
    }

    /// All nodes subscribe.
    pub fn start(&mut self) {
        for node in 0..self.nodes.len() {
            self.nodes[node].want(self.now);
            self.carry_out(node);
        }
    }

    /// A scheduler is killed and begins again from nothing.
    pub fn restart(&mut self, node: usize, fresh: N) {
        self.open[node].clear();
        self.nodes[node] = fresh;
        self.armed[node] = f64::INFINITY;
        self.nodes[node].want(self.now);
        self.carry_out(node);
    }

    fn at(&mut self, after: Millis, event: Event) {
        self.serial += 1;
        let key = self.serial as usize;
        self.payload.insert(key, event);
        self.events.push(Reverse((((self.now + after) * 1_000.0).ceil() as u64, self.serial, key)));
    }

    /// The list changes.
    pub fn change(&mut self, entry: Listed) {
        self.index += 1;
        if entry.readiness == Readiness::Gone {
            self.truth.remove(&entry.name);
        } else {
            self.truth.insert(entry.name.clone(), entry.clone());
        }
        self.history.push(Change { index: self.index, entry });
        for node in 0..self.nodes.len() {
            let watches =
                self.open[node].iter().filter(|(_, o)| o.kind == CallKind::Watch && o.told.is_some());
            for call in watches.map(|(&call, _)| call).collect::<Vec<_>>() {
                let spread = 10.0 + (self.turns - 10.0) * self.rng.f64();
                self.at(spread, Event::Line(node, call));
            }
        }
    }

    /// Discovery starts anew: it counts versions from the beginning, and all watches end.
    pub fn renumber(&mut self) {
        self.index = 1;
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
            Fault::Refuses => self.end_watches(|at| at == node),
            Fault::Stuck => self.open[node].values_mut().for_each(|open| open.stuck = open.told.is_some()),
            Fault::BlackHole | Fault::OneWay => {
                self.open[node].values_mut().for_each(|open| open.dead = true);
            }
            _ => {}
        }
    }

    fn end_watches(&mut self, which: impl Fn(usize) -> bool) {
        for node in (0..self.nodes.len()).filter(|&node| which(node)) {
            for call in self.open[node].keys().copied().collect::<Vec<_>>() {
                self.at(1.0, Event::Gone(node, call));
            }
        }
    }

    /// Tells a node something, and does what it orders.
    pub fn tell(&mut self, node: usize, what: impl FnOnce(&mut N, Millis)) {
        what(&mut self.nodes[node], self.now);
        self.carry_out(node);
    }

    fn carry_out(&mut self, node: usize) {
        while let Some(order) = self.nodes[node].poll_command() {
            match order {
                Command::Ask { call, kind, since } => {
                    self.asked += 1;
                    self.open[node].insert(call, Open { kind, since, told: None, stuck: false, dead: false });
                    match self.faults[node] {
                        Fault::BlackHole => {}
                        Fault::Refuses => self.at(0.5, Event::Gone(node, call)),
                        _ => self.at(0.5, Event::Up(node, call)),
                    }
                }
                Command::Drop { call } => {
                    self.open[node].remove(&call);
                }
                Command::Tell { to, text } => {
                    assert!(text.len() <= 256);
                    self.tells += 1;
                    if self.rng.f64() >= self.loss {
                        let trip = 3.2 + 18.8 * self.rng.f64();
                        self.at(trip, Event::Message(to as usize, node as u32, text));
                    }
                }
                Command::Learn { .. } | Command::Log(_) => {}
            }
        }
        let next = self.nodes[node].next_timeout();
        if next < self.armed[node] {
            self.armed[node] = next;
            // A thousandth on, lest rounding bring it a hair early for ever.
            self.at((next - self.now).max(0.0) + 0.001, Event::Time(node));
        }
    }

    /// Plays on until this time.
    pub fn run_until(&mut self, until: Millis) {
        while let Some(&Reverse((at, _, key))) = self.events.peek()
            && at as f64 / 1_000.0 <= until
        {
            self.events.pop();
            self.now = self.now.max(at as f64 / 1_000.0);
            let event = self.payload.remove(&key).expect("an event");
            self.play(event);
        }
        self.now = until;
    }

    fn serve_next(&mut self) {
        // A call that has waited too long fails, and costs nothing more; one that was given up is handled all the same.
        while !self.busy && self.queue.front().is_some_and(|call| self.now - call.0 > PATIENCE) {
            let (_, node, call) = self.queue.pop_front().expect("a call");
            self.at(0.5, Event::Gone(node, call));
        }
        if !self.busy && !self.queue.is_empty() {
            self.busy = true;
            self.serial += 1;
            let serial = self.serial;
            self.at(self.service, Event::Served(serial));
        }
    }

    fn play(&mut self, event: Event) {
        let now = self.now;
        let node = match event {
            Event::Up(node, call) => {
                if self.open[node].contains_key(&call) {
                    self.calls += 1;
                    self.nodes[node].up(now, call);
                    if self.down {
                        self.at(0.5, Event::Gone(node, call));
                    } else {
                        self.queue.push_back((now, node, call));
                        self.serve_next();
                    }
                }
                node
            }
            Event::Served(_) => {
                self.busy = false;
                let Some((since, node, call)) = self.queue.pop_front() else { return };
                self.serve_next();
                if self.down || now - since > PATIENCE {
                    self.at(0.5, Event::Gone(node, call));
                } else if let Some(open) = self.open[node].get_mut(&call) {
                    open.told = Some(open.since.min(self.index));
                    if !matches!(self.faults[node], Fault::BlackHole | Fault::OneWay) && !open.dead {
                        self.nodes[node].answered(now, call);
                        self.at(TRIP, Event::Line(node, call));
                        if self.open[node].get(&call).is_some_and(|open| open.kind == CallKind::Watch) {
                            self.at(2_000.0, Event::Beat(node, call));
                        }
                    }
                }
                node
            }
            Event::Line(node, call) => {
                self.tell_line(node, call);
                node
            }
            Event::Beat(node, call) => {
                if let Some(open) = self.open[node].get(&call)
                    && !open.dead
                {
                    if !matches!(self.faults[node], Fault::BlackHole | Fault::OneWay) {
                        self.nodes[node].bytes(now, call, false);
                        self.nodes[node].beat(now, call);
                    }
                    self.at(2_000.0, Event::Beat(node, call));
                }
                node
            }
            Event::Gone(node, call) => {
                if let Some(open) = self.open[node].remove(&call) {
                    let ending = match open.told {
                        Some(_) => Ending::Broken,
                        None if self.faults[node] == Fault::Refuses => Ending::NoConnection,
                        None => Ending::Refused,
                    };
                    self.nodes[node].ended(now, call, ending);
                }
                node
            }
            Event::Message(to, from, text) => {
                self.nodes[to].heard(now, from, &text);
                to
            }
            Event::Time(node) => {
                if now + 0.001 >= self.armed[node] {
                    self.armed[node] = f64::INFINITY;
                }
                self.nodes[node].handle_timeout(now);
                node
            }
        };
        self.carry_out(node);
    }

    /// Discovery writes what has changed since it last did on this call.
    fn tell_line(&mut self, node: usize, call: Call) {
        let (now, index) = (self.now, self.index);
        let Some(open) = self.open[node].get_mut(&call) else { return };
        let told = open.told.unwrap_or(0);
        let first = told == open.since.min(index) && open.kind == CallKind::Watch;
        if open.dead
            || open.stuck
            || told > index
            || (told == index && !first && open.kind == CallKind::Watch)
        {
            return;
        }
        // Who holds nothing, or more than there is, gets the whole list.
        let known = self.history.first().is_some_and(|change| change.index <= told + 1) || told == index;
        let snapshot = open.kind == CallKind::Fetch || open.since == 0 || open.since > index || !known;
        open.told = Some(index);
        open.since = open.since.min(index);
        if snapshot {
            open.since = index;
        }
        let entries: Vec<Listed> = if snapshot {
            self.truth.values().cloned().collect()
        } else {
            let mut latest: BTreeMap<&str, &Listed> = BTreeMap::new();
            for change in self.history.iter().filter(|change| change.index > told) {
                latest.insert(&change.entry.name, &change.entry);
            }
            latest.into_values().cloned().collect()
        };
        let fault = self.faults[node];
        let cut = matches!(fault, Fault::Cut | Fault::Stall) && !entries.is_empty();
        let whole = if cut { self.rng.usize(..entries.len()) } else { entries.len() };
        for entry in entries.into_iter().take(whole) {
            self.nodes[node].entry(now, call, entry);
        }
        if cut {
            self.nodes[node].bytes(now, call, true);
            if fault == Fault::Cut {
                self.at(2.0, Event::Gone(node, call));
            } else if let Some(open) = self.open[node].get_mut(&call) {
                open.dead = true;
            }
            return;
        }
        self.nodes[node].line(now, call, index, snapshot);
        self.nodes[node].bytes(now, call, false);
        let fetched = self.open[node].get(&call).is_some_and(|open| open.kind == CallKind::Fetch);
        if fetched {
            self.open[node].remove(&call);
            self.nodes[node].ended(now, call, Ending::Done);
        }
    }
}
