//! Model of a cluster: processes with leases, receivers of their actions, and the network between them.

use crate::properties::properties;
use brackenledge_leases::{
    Command, Epoch, FencingGuard, LeaseManager, Message, ProcessId, RoleGrant, Settings, Term, View,
};
use stateright::{Model, Property};
use std::collections::BTreeMap;

/// Also the length of one clock tick of the model.
const HEARTBEAT_INTERVAL: u64 = 1_000;
pub const ROLE: u8 = 0;

#[derive(Clone, Debug)]
pub struct Cluster {
    pub nodes: u16,
    pub voters: u16,
    pub ticks: u64,
    pub duplicates: u8,
    pub delays: u8,
    pub crashes: u8,
    pub pauses: u8,
    /// Number of actions that holders may still send.
    pub actions_left: u8,
    /// Two nodes that cannot reach each other during the whole run.
    pub cut: Option<(u16, u16)>,
    pub injected_bug: Option<InjectedBug>,
}

/// Bugs that the model checker must detect when they are added to the model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum InjectedBug {
    /// A process that has restarted without its state votes under its previous incarnation.
    VotesAfterRestart,
    /// Voters count a lease as shorter than its holder does, and grant it again before it has expired.
    LeaseGrantedTooEarly,
    /// Receivers do not check terms.
    NoFencing,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub now: u64,
    pub nodes: Vec<LeaseManager>,
    pub paused: Vec<bool>,
    /// Messages in flight from one node to another, in order.
    pub in_flight: BTreeMap<(u16, u16), Vec<Message>>,
    /// Term of each node that has checked its lease and not acted yet.
    pub checked: Vec<Option<Term>>,
    /// Guard of each node as a receiver of actions.
    pub guards: Vec<FencingGuard>,
    /// Actions that each node has accepted, in order.
    pub accepted: Vec<Vec<(Term, ProcessId)>>,
    pub duplicates: u8,
    pub delays: u8,
    pub crashes: u8,
    pub pauses: u8,
    pub actions_left: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    Deliver(u16, u16),
    Duplicate(u16, u16),
    /// Time advances by one heartbeat interval. All messages in flight are lost, except those on the given
    /// link.
    Tick(Option<(u16, u16)>),
    Crash(u16),
    Pause(u16),
    Resume(u16),
    Check(u16),
    Act(u16, u16),
}

impl Cluster {
    fn settings(&self, node: u16) -> Settings {
        let short = self.injected_bug == Some(InjectedBug::LeaseGrantedTooEarly) && node != 0;
        Settings {
            cluster_size: self.nodes,
            voters: usize::from(self.voters),
            lease_duration: if short { HEARTBEAT_INTERVAL } else { 3 * HEARTBEAT_INTERVAL },
            heartbeat_interval: HEARTBEAT_INTERVAL,
            // The model has one clock for all nodes. Clock drift is tested in `tests/cluster.rs`.
            clock_drift_divisor: u64::MAX,
            bootstrap_timeout: 100 * HEARTBEAT_INTERVAL,
            view_abandon_timeout: 100 * HEARTBEAT_INTERVAL,
            roles: 1,
            member_lease_duration: 0,
        }
    }

    fn process(node: u16) -> ProcessId {
        ProcessId { ordinal: node, incarnation: 1 }
    }

    fn view(&self) -> View {
        View { epoch: Epoch { era: 1, number: 1 }, voters: (0..self.voters).map(Cluster::process).collect() }
    }

    /// Adds the messages that a node sends to those in flight.
    fn execute_commands(&self, state: &mut State, node: u16) {
        while let Some(command) = state.nodes[usize::from(node)].poll_command() {
            let (receivers, message) = match command {
                Command::Send { to, message } => (vec![to], message),
                Command::Broadcast(message) => {
                    ((0..self.nodes).filter(|&other| other != node).collect(), message)
                }
                _ => continue,
            };
            // Encoding and decoding must not change a message.
            assert_eq!(Message::decode(&message.encode()).as_ref(), Ok(&message));
            for to in receivers {
                if self.cut.is_some_and(|(a, b)| (a, b) == (node, to) || (b, a) == (node, to)) {
                    continue;
                }
                let queue = state.in_flight.entry((node, to)).or_default();
                // Member lists are left out: they are sent often and have no effect in this model.
                if !matches!(message, Message::MemberListPart { .. }) && !queue.contains(&message) {
                    queue.push(message.clone());
                }
            }
        }
    }

    fn deliver(&self, state: &mut State, from: u16, to: u16, message: Message) {
        // Receivers learn terms from the leader's view updates.
        if let Message::ViewUpdate { role_grants, .. } = &message {
            for &RoleGrant { role, term, holder } in role_grants {
                state.guards[usize::from(to)].observe(role, term, holder);
            }
        }
        let now = state.now;
        state.nodes[usize::from(to)].handle_message(now, from, message);
        self.execute_commands(state, to);
    }

    fn handle_timeout(&self, state: &mut State, node: u16) {
        let now = state.now;
        state.nodes[usize::from(node)].handle_timeout(now);
        self.execute_commands(state, node);
    }

    fn tick(&self, state: &mut State, delayed: Option<(u16, u16)>) {
        let retained =
            delayed.and_then(|link| state.in_flight.remove(&link).map(|messages| (link, messages)));
        state.delays -= u8::from(retained.is_some());
        state.in_flight = retained.into_iter().collect();
        state.now += HEARTBEAT_INTERVAL;
        for node in 0..self.nodes {
            if !state.paused[usize::from(node)] {
                self.handle_timeout(state, node);
            }
        }
    }

    fn crash(&self, state: &mut State, node: u16) {
        state.crashes -= 1;
        let at = usize::from(node);
        let settings = self.settings(node);
        let mut restarted = if self.injected_bug == Some(InjectedBug::VotesAfterRestart) {
            LeaseManager::in_view(state.now, Cluster::process(node), settings, self.view())
        } else {
            LeaseManager::new(state.now, ProcessId { ordinal: node, incarnation: 2 }, 2, settings)
        };
        restarted.set_alive_members((0..self.nodes).map(Cluster::process));
        (state.nodes[at], state.checked[at]) = (restarted, None);
        state.guards[at] = FencingGuard::default();
        state.accepted[at].clear();
    }

    fn act(&self, state: &mut State, node: u16, to: u16, term: Term) {
        // A node that has crashed has checked no lease since, so the holder is the first incarnation.
        let holder = Cluster::process(node);
        let guard = &mut state.guards[usize::from(to)];
        let accepted = match self.injected_bug {
            Some(InjectedBug::NoFencing) => true,
            _ => guard.accept(ROLE, term, holder).is_ok(),
        };
        if accepted {
            state.accepted[usize::from(to)].push((term, holder));
        }
    }
}

impl Model for Cluster {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let number = usize::from(self.nodes);
        let mut nodes: Vec<LeaseManager> = (0..self.nodes)
            .map(|node| LeaseManager::in_view(0, Cluster::process(node), self.settings(node), self.view()))
            .collect();
        for node in &mut nodes {
            node.set_alive_members((0..self.nodes).map(Cluster::process));
        }
        vec![State {
            now: 0,
            nodes,
            paused: vec![false; number],
            in_flight: BTreeMap::new(),
            checked: vec![None; number],
            guards: vec![FencingGuard::default(); number],
            accepted: vec![Vec::new(); number],
            duplicates: self.duplicates,
            delays: self.delays,
            crashes: self.crashes,
            pauses: self.pauses,
            actions_left: self.actions_left,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for (&(from, to), queue) in &state.in_flight {
            if !queue.is_empty() && !state.paused[usize::from(to)] {
                actions.push(Action::Deliver(from, to));
                if state.duplicates > 0 {
                    actions.push(Action::Duplicate(from, to));
                }
            }
        }
        if state.now < self.ticks * HEARTBEAT_INTERVAL {
            actions.push(Action::Tick(None));
            if state.delays > 0 {
                actions.extend(state.in_flight.keys().map(|&link| Action::Tick(Some(link))));
            }
        }
        for node in 0..self.nodes {
            let at = usize::from(node);
            if state.paused[at] {
                actions.push(Action::Resume(node));
                continue;
            }
            if state.pauses > 0 {
                actions.push(Action::Pause(node));
            }
            if state.crashes > 0 {
                actions.push(Action::Crash(node));
            }
            match state.checked[at] {
                None if state.actions_left > 0 && state.nodes[at].holds_lease(state.now, ROLE).is_some() => {
                    actions.push(Action::Check(node));
                }
                Some(_) if state.actions_left > 0 => {
                    let others = (0..self.nodes).filter(|&other| other != node);
                    actions.extend(others.map(|other| Action::Act(node, other)));
                }
                _ => {}
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Deliver(from, to) => {
                let queue = state.in_flight.get_mut(&(from, to))?;
                let message = queue.remove(0);
                if queue.is_empty() {
                    state.in_flight.remove(&(from, to));
                }
                self.deliver(&mut state, from, to, message);
            }
            Action::Duplicate(from, to) => {
                state.duplicates -= 1;
                let message = state.in_flight.get(&(from, to))?.first()?.clone();
                self.deliver(&mut state, from, to, message);
            }
            Action::Tick(delayed) => self.tick(&mut state, delayed),
            Action::Crash(node) => self.crash(&mut state, node),
            Action::Pause(node) => {
                state.pauses -= 1;
                state.paused[usize::from(node)] = true;
            }
            Action::Resume(node) => {
                state.paused[usize::from(node)] = false;
                // If it had checked its lease before the pause, it acts on that result before it handles
                // the timeout.
                if state.checked[usize::from(node)].is_none() {
                    self.handle_timeout(&mut state, node);
                }
            }
            Action::Check(node) => {
                state.checked[usize::from(node)] =
                    state.nodes[usize::from(node)].holds_lease(state.now, ROLE);
            }
            Action::Act(node, to) => {
                state.actions_left -= 1;
                let term = state.checked[usize::from(node)].take()?;
                self.act(&mut state, node, to, term);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        properties()
    }
}
